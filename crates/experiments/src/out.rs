//! Output files of an experiment: a table (CSV), charts (SVG), and an HTML page of both.

use crate::runs::RunResult;
use plotters::prelude::*;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;

/// Where the figures of a run come from.
pub struct Provenance {
    /// The seed.
    pub seed: u64,
    /// The commit that was checked out.
    pub commit: String,
    /// The number of cores of the machine.
    pub cores: usize,
    /// A hash of the experiment's file.
    pub file_hash: String,
}

impl Provenance {
    /// Returns the provenance of a run on this machine with this seed and text of the experiment's file.
    pub fn new(seed: u64, text: &str) -> Self {
        let file_hash = format!("{:016x}", basaltgw::hash::fnv1a(text));
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        Self { seed, commit: checked_out_commit(), cores, file_hash }
    }
}

/// Returns the commit that is checked out, `unknown` outside of a repository.
fn checked_out_commit() -> String {
    let output = std::process::Command::new("git").args(["rev-parse", "--short=9", "HEAD"]).output();
    let text = output.ok().filter(|o| o.status.success()).and_then(|o| String::from_utf8(o.stdout).ok());
    text.map_or_else(|| "unknown".to_string(), |t| t.trim().to_string())
}

/// Returns the table of all runs as CSV; figures that a run does not have are NaN.
pub fn csv(results: &[RunResult], provenance: &Provenance) -> String {
    let names: BTreeSet<&String> = results.iter().flat_map(|r| r.figures.keys()).collect();
    let mut text = String::from("routers,run,seed,commit,cores,file");
    names.iter().for_each(|name| {
        let _ = write!(text, ",{name}");
    });
    text.push('\n');
    let Provenance { seed, commit, cores, file_hash } = provenance;
    for result in results {
        let _ =
            write!(text, "{},{},{seed},{commit},{cores},{file_hash}", result.routers, result.variant.name());
        for name in &names {
            let value = result.figures.get(*name).copied().unwrap_or(f64::NAN);
            let _ = write!(text, ",{}", number(value));
        }
        text.push('\n');
    }
    text
}

/// Formats a whole number in full, any other one with five decimals.
fn number(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e15 {
        format!("{value:.0}")
    } else {
        format!("{value:.5}")
    }
}

/// Formats a figure for a line of output: a whole number of two digits or more in full, any other one with four decimals.
pub fn format_short(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() >= 10.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.4}")
    }
}

/// Colours of the lines of a chart, in their order.
const COLOURS: [RGBColor; 4] =
    [RGBColor(0, 90, 160), RGBColor(120, 120, 120), RGBColor(200, 80, 0), RGBColor(150, 0, 100)];
/// Width and height of a chart in pixels.
const CHART_SIZE: (u32, u32) = (760, 340);
/// Height of a chart as a multiple of its largest value.
const HEADROOM: f64 = 1.08;
/// Minimum length of an axis: an axis of length 0 cannot be drawn.
const MIN_AXIS: f64 = 1e-9;

/// A line of a chart: its name and its points.
pub type Line = (String, Vec<(f64, f64)>);

/// Writes a chart of these lines as SVG; `axes` are the labels of the horizontal and the vertical axis.
pub fn write_chart(path: &Path, title: &str, axes: (&str, &str), lines: &[Line]) -> Result<(), String> {
    draw_chart(path, title, axes, lines).map_err(|e| format!("{}: {e}", path.display()))
}

fn draw_chart(
    path: &Path,
    title: &str,
    (x_label, y_label): (&str, &str),
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| line.1.iter()).filter(|p| is_finite(p));
    let max = |coordinate: fn(&(f64, f64)) -> f64| points().map(coordinate).fold(0.0, f64::max).max(MIN_AXIS);
    let (right, top) = (max(|p| p.0), max(|p| p.1) * HEADROOM);
    let root = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 17))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(x_label).y_desc(y_label).light_line_style(WHITE).draw()?;
    for (i, (name, points)) in lines.iter().enumerate() {
        let colour = COLOURS[i % COLOURS.len()];
        let finite: Vec<(f64, f64)> = points.iter().copied().filter(is_finite).collect();
        chart
            .draw_series(LineSeries::new(finite, colour.stroke_width(2)))?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(RGBColor(200, 200, 200))
        .draw()?;
    root.present()?;
    Ok(())
}

fn is_finite((x, y): &(f64, f64)) -> bool {
    x.is_finite() && y.is_finite()
}

/// Returns an HTML page of all tables and charts in a directory.
pub fn html_report(dir: &Path) -> Result<String, String> {
    let mut files: Vec<_> = std::fs::read_dir(dir)
        .map_err(|e| format!("{}: {e}", dir.display()))?
        .flatten()
        .map(|f| f.path())
        .collect();
    files.sort();
    let mut page = String::from(
        "<!doctype html><meta charset=utf-8><title>basaltgw-experiments</title><style>body{font:14px sans-serif;margin:2em}\
         table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 6px;text-align:right}</style>\n",
    );
    for path in files {
        let name = path.file_stem().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        let text = || std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()));
        match path.extension().and_then(|e| e.to_str()) {
            Some("csv") => {
                let _ = writeln!(page, "<h2>{}</h2>\n{}", escape(&name), transposed_table(&text()?));
            }
            Some("svg") => {
                let _ = writeln!(page, "<div>{}</div>", text()?);
            }
            _ => {}
        }
    }
    Ok(page)
}

/// Returns an HTML table with a column for each run, since a run has many figures and there are few runs.
fn transposed_table(csv: &str) -> String {
    let rows: Vec<Vec<&str>> = csv.lines().map(|l| l.split(',').collect()).collect();
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let mut html = String::from("<table>");
    for column in 0..columns {
        html.push_str("<tr>");
        for (i, row) in rows.iter().enumerate() {
            let tag = if i == 0 { "th" } else { "td" };
            let _ = write!(html, "<{tag}>{}</{tag}>", escape(row.get(column).copied().unwrap_or_default()));
        }
        html.push_str("</tr>\n");
    }
    html + "</table>"
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
