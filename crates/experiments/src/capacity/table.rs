//! What is kept of a measurement: all points, the curves, and charts with the budgets as lines.

use super::row::Row;
use super::Curve;
use crate::out::{chart, Line, Origin};
use std::fmt::Write;
use std::path::Path;

/// Steps of a curve in a chart.
const STEPS: usize = 60;

/// All points.
fn points(rows: &[Row], origin: &Origin) -> String {
    let mut text = String::from("axis,x,figure,value,unit,kind,seed,commit,cores,file\n");
    for r in rows {
        let o = origin;
        let _ = writeln!(
            text,
            "{},{},{},{},{},{},{},{},{},{}",
            r.axis,
            r.x,
            r.figure,
            number(r.value),
            r.unit,
            r.kind.name(),
            o.seed,
            o.commit,
            o.cores,
            o.file
        );
    }
    text
}

/// Seven digits, however large or small.
fn number(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e15 {
        format!("{value:.0}")
    } else {
        format!("{value:.6e}")
    }
}

/// The curves.
fn fits(curves: &[Curve]) -> String {
    let mut text = String::from(
        "axis,figure,unit,form,base,slope,largest_residual,reckon,from,to,at,value,budget,points\n",
    );
    for c in curves {
        let _ = write!(text, "{},{},{}", c.axis, c.figure, c.unit);
        let given = |n: Option<f64>| n.map_or_else(String::new, number);
        let _ = match &c.fit {
            Ok(f) => write!(
                text,
                ",{},{},{},{},{},{},{},{},{}",
                f.form.name(),
                number(f.base),
                number(f.slope),
                number(f.residual),
                if f.sound() && c.at.is_none_or(|at| f.sound_at(at)) { "yes" } else { "no" },
                f.range.0,
                f.range.1,
                given(c.at),
                given(c.at.map(|at| f.at(at))),
            ),
            Err(_) => write!(text, ",none,,,,no,,,{},", given(c.at)),
        };
        let _ = writeln!(text, ",{},{}", given(c.budget), c.points.len());
    }
    text
}

/// Keeps everything in a folder.
pub fn keep(dir: &Path, name: &str, rows: &[Row], curves: &[Curve], origin: &Origin) -> Result<(), String> {
    let say = |e: std::io::Error| format!("{}: {e}", dir.display());
    std::fs::create_dir_all(dir).map_err(say)?;
    std::fs::write(dir.join(format!("{name}.csv")), points(rows, origin)).map_err(say)?;
    std::fs::write(dir.join(format!("{name}-fits.csv")), fits(curves)).map_err(say)?;
    for c in curves.iter().filter(|c| c.budget.is_some()) {
        let file = format!("{name}-{}-{}.svg", c.axis, c.figure).replace(' ', "-");
        let title = format!("{name}, seed {}: {} by {}", origin.seed, c.figure, c.axis);
        chart(&dir.join(file), &title, (c.axis, c.unit), &lines(c))?;
    }
    Ok(())
}

/// The points, the curve to where the axis is expected to be, and the budget.
fn lines(c: &Curve) -> Vec<Line> {
    let last = c.points.iter().map(|p| p.0).chain(c.at).fold(0.0, f64::max);
    let first = c.points.iter().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let mut lines = vec![("measured".to_string(), c.points.clone())];
    if let Ok(fit) = &c.fit {
        let at = |n: usize| first + (last - first) * n as f64 / STEPS as f64;
        let sound = if fit.sound() { "" } else { ", not to reckon with" };
        let line = (0..=STEPS).map(|n| (at(n), fit.at(at(n)))).collect();
        lines.push((format!("{}{sound}", fit.form.name()), line));
    }
    lines.extend(c.budget.map(|b| ("budget".to_string(), vec![(0.0, b), (last, b)])));
    lines
}
