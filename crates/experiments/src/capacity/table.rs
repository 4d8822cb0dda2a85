//! Output files of the experiment: a table of all points, a table of the curves, and charts of the figures that have a budget.

use super::curve::Curve;
use super::row::Row;
use crate::out::{write_chart, Line, Provenance};
use std::fmt::Write;
use std::path::Path;

/// Segments of a curve in a chart.
const CURVE_SEGMENTS: usize = 60;

/// Returns the table of all points.
fn points_csv(rows: &[Row], provenance: &Provenance) -> String {
    let mut text = String::from("axis,x,figure,value,unit,kind,seed,commit,cores,file\n");
    let Provenance { seed, commit, cores, file_hash } = provenance;
    for row in rows {
        let _ = writeln!(
            text,
            "{},{},{},{},{},{},{seed},{commit},{cores},{file_hash}",
            row.axis,
            row.x,
            row.figure,
            number(row.value),
            row.unit,
            row.kind.name(),
        );
    }
    text
}

/// Formats a whole number in full, any other one with seven digits.
fn number(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e15 {
        format!("{value:.0}")
    } else {
        format!("{value:.6e}")
    }
}

/// Returns the table of the curves.
fn fits_csv(curves: &[Curve]) -> String {
    let mut text = String::from(
        "axis,figure,unit,form,base,slope,largest_residual,reckon,from,to,at,value,budget,points\n",
    );
    for curve in curves {
        let _ = write!(text, "{},{},{}", curve.axis, curve.figure, curve.unit);
        let optional = |n: Option<f64>| n.map_or_else(String::new, number);
        let expected_x = curve.expected_x;
        let _ = match &curve.fit {
            Ok(fit) => {
                let reliable = fit.is_reliable() && expected_x.is_none_or(|x| fit.is_reliable_at(x));
                write!(
                    text,
                    ",{},{},{},{},{},{},{},{},{}",
                    fit.form.name(),
                    number(fit.base),
                    number(fit.slope),
                    number(fit.residual),
                    if reliable { "yes" } else { "no" },
                    fit.range.0,
                    fit.range.1,
                    optional(expected_x),
                    optional(expected_x.map(|x| fit.value_at(x))),
                )
            }
            Err(_) => write!(text, ",none,,,,no,,,{},", optional(expected_x)),
        };
        let _ = writeln!(text, ",{},{}", optional(curve.budget), curve.points.len());
    }
    text
}

/// Writes the tables and charts into a directory.
pub fn write_files(
    dir: &Path,
    name: &str,
    rows: &[Row],
    curves: &[Curve],
    provenance: &Provenance,
) -> Result<(), String> {
    let message = |e: std::io::Error| format!("{}: {e}", dir.display());
    std::fs::create_dir_all(dir).map_err(message)?;
    std::fs::write(dir.join(format!("{name}.csv")), points_csv(rows, provenance)).map_err(message)?;
    std::fs::write(dir.join(format!("{name}-fits.csv")), fits_csv(curves)).map_err(message)?;
    for curve in curves.iter().filter(|curve| curve.budget.is_some()) {
        let file = format!("{name}-{}-{}.svg", curve.axis, curve.figure).replace(' ', "-");
        let title = format!("{name}, seed {}: {} by {}", provenance.seed, curve.figure, curve.axis);
        write_chart(&dir.join(file), &title, (curve.axis, curve.unit), &chart_lines(curve))?;
    }
    Ok(())
}

/// Returns the lines of a chart: the points, the curve up to the expected position, and the budget.
fn chart_lines(curve: &Curve) -> Vec<Line> {
    let last = curve.points.iter().map(|p| p.0).chain(curve.expected_x).fold(0.0, f64::max);
    let first = curve.points.iter().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let mut lines = vec![("measured".to_string(), curve.points.clone())];
    if let Ok(fit) = &curve.fit {
        let x = |n: usize| first + (last - first) * n as f64 / CURVE_SEGMENTS as f64;
        let reliability = if fit.is_reliable() { "" } else { ", unreliable" };
        let points = (0..=CURVE_SEGMENTS).map(|n| (x(n), fit.value_at(x(n)))).collect();
        lines.push((format!("{}{reliability}", fit.form.name()), points));
    }
    lines.extend(curve.budget.map(|budget| ("budget".to_string(), vec![(0.0, budget), (last, budget)])));
    lines
}
