//! The curves of a run: one through each figure that has several points along an axis.

use super::file::Experiment;
use super::fit::{fit, Fit};
use super::row::{Kind, Row};
use super::scenarios;
use crate::out::format_short;

/// A curve through one figure along one axis.
pub struct Curve {
    /// The axis.
    pub axis: &'static str,
    /// The figure.
    pub figure: &'static str,
    /// The unit of the figure.
    pub unit: &'static str,
    /// The points (x, y).
    pub points: Vec<(f64, f64)>,
    /// The fitted curve, or why there is none.
    pub fit: Result<Fit, String>,
    /// The expected position on the axis.
    pub expected_x: Option<f64>,
    /// The budget of the figure.
    pub budget: Option<f64>,
}

impl Curve {
    /// Returns the name of the curve's value at x, for bounds and pages.
    pub fn key(&self, x: f64) -> String {
        format!("{} {}~{x}", self.figure, self.axis)
    }

    /// Prints the curve and its value at the expected position.
    pub fn print(&self) {
        let Self { axis, figure, unit, .. } = self;
        match (&self.fit, self.expected_x) {
            (Ok(fit), Some(x)) => println!(
                "  {figure} by {axis}: {}; at {}: {} {unit}{}",
                fit.describe(),
                format_short(x),
                format_short(fit.value_at(x)),
                if fit.is_reliable_at(x) { "" } else { " (unreliable)" }
            ),
            (Ok(fit), None) => println!("  {figure} by {axis}: {}", fit.describe()),
            (Err(e), _) => println!("  {figure} by {axis}: no curve: {e}"),
        }
    }
}

/// Returns a curve through each figure that has several points along an axis.
pub(super) fn curves(rows: &[Row], experiment: &Experiment) -> Vec<Curve> {
    let mut curves: Vec<Curve> = Vec::new();
    for row in rows {
        let same = |curve: &&mut Curve| (curve.axis, curve.figure) == (row.axis, row.figure);
        match curves.iter_mut().find(same) {
            Some(curve) => curve.points.push((row.x, row.value)),
            None => curves.push(Curve {
                axis: row.axis,
                figure: row.figure,
                unit: row.unit,
                points: vec![(row.x, row.value)],
                fit: Err(String::new()),
                expected_x: experiment.expected_positions.get(row.axis).copied(),
                budget: experiment
                    .budgets
                    .iter()
                    .find(|budget| budget.axis == row.axis && budget.figure == row.figure)
                    .map(|budget| budget.at_most),
            }),
        }
    }
    curves.retain(|curve| curve.points.len() > 1 && curve.axis != scenarios::AXIS);
    for curve in &mut curves {
        let computed =
            |row: &Row| (row.axis, row.figure, row.kind) == (curve.axis, curve.figure, Kind::Computed);
        curve.fit = match rows.iter().any(computed) {
            true => Err("computed, not measured".into()),
            false => fit(&curve.points),
        };
    }
    curves
}
