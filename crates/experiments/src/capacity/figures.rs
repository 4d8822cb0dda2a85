//! Rows from the figures of simulated runs: which figures become rows, their names in the table, and the means of rows of the same point.

use super::row::{Kind, Row};
use basaltgw_fleet_simulation::run::Figures;

/// A figure of a simulated run that becomes a row.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunFigure {
    /// The name of the figure in the run.
    pub(super) run_name: &'static str,
    /// The name of the figure in the table.
    pub(super) name: &'static str,
    /// The unit of the figure.
    pub(super) unit: &'static str,
    /// How the run obtains the figure.
    pub(super) kind: Kind,
}

/// A figure in simulated time: its name in the run, its name in the table, its unit.
pub(super) const fn simulated(run_name: &'static str, name: &'static str, unit: &'static str) -> RunFigure {
    RunFigure { run_name, name, unit, kind: Kind::Simulated }
}

/// A figure measured on this machine during the run: its name in the run, its name in the table, its unit.
pub(super) const fn measured(run_name: &'static str, name: &'static str, unit: &'static str) -> RunFigure {
    RunFigure { run_name, name, unit, kind: Kind::Measured }
}

/// Returns the figure of a run with this name.
///
/// # Errors
/// If the run has no such figure.
pub(super) fn figure(figures: &Figures, name: &str) -> Result<f64, String> {
    figures.values.get(name).copied().ok_or_else(|| format!("the simulated run has no figure {name}"))
}

/// Returns the rows of a run at position `x` of an axis.
pub(super) fn rows(
    axis: &'static str,
    x: usize,
    figures: &Figures,
    names: &[RunFigure],
) -> Result<Vec<Row>, String> {
    let row = |RunFigure { run_name, name, unit, kind }: &RunFigure| {
        Ok(Row::new((axis, x as f64), (*name, figure(figures, run_name)?, *unit), *kind))
    };
    names.iter().map(row).collect()
}

/// Replaces rows of the same point by one row with their mean.
pub(super) fn means(rows: Vec<Row>) -> Vec<Row> {
    let mut means: Vec<(Row, f64)> = Vec::new();
    for row in rows {
        match means.iter_mut().find(|(r, _)| (r.axis, r.x, r.figure) == (row.axis, row.x, row.figure)) {
            Some((mean, count)) => {
                *count += 1.0;
                mean.value += (row.value - mean.value) / *count;
            }
            None => means.push((row, 1.0)),
        }
    }
    means.into_iter().map(|(row, _)| row).collect()
}
