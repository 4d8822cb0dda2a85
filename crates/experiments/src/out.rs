//! What is kept of an experiment: a table (CSV), charts (SVG), and a page that shows them.

use crate::runs::Done;
use plotters::prelude::*;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;

/// What a run was made from.
pub struct Origin {
    /// The seed.
    pub seed: u64,
    /// The commit that was checked out.
    pub commit: String,
    /// The machine's cores.
    pub cores: usize,
    /// A hash of the experiment's file.
    pub file: String,
}

/// The table of all runs.
pub fn csv(done: &[Done], origin: &Origin) -> String {
    let names: BTreeSet<&String> = done.iter().flat_map(|d| d.row.keys()).collect();
    let mut text = String::from("routers,run,seed,commit,cores,file");
    names.iter().for_each(|n| {
        let _ = write!(text, ",{n}");
    });
    text.push('\n');
    for d in done {
        let o = origin;
        let _ =
            write!(text, "{},{},{},{},{},{}", d.routers, d.variant.name(), o.seed, o.commit, o.cores, o.file);
        for n in &names {
            let value = d.row.get(*n).copied().unwrap_or(f64::NAN);
            let _ = write!(text, ",{}", number(value));
        }
        text.push('\n');
    }
    text
}

fn number(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e15 {
        format!("{value:.0}")
    } else {
        format!("{value:.5}")
    }
}

/// A figure as it is said in a line.
pub fn short(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() >= 10.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.4}")
    }
}

const COLOURS: [RGBColor; 4] =
    [RGBColor(0, 90, 160), RGBColor(120, 120, 120), RGBColor(200, 80, 0), RGBColor(150, 0, 100)];

/// A line: its name and its points.
pub type Line = (String, Vec<(f64, f64)>);

/// A chart of some lines.
pub fn chart(path: &Path, title: &str, (x, y): (&str, &str), lines: &[Line]) -> Result<(), String> {
    let points = || lines.iter().flat_map(|l| l.1.iter()).filter(|(x, y)| x.is_finite() && y.is_finite());
    let most = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(0.0, f64::max).max(1e-9);
    let (right, top) = (most(|p| p.0), most(|p| p.1) * 1.08);
    let root = SVGBackend::new(path, (760, 340)).into_drawing_area();
    let fail = |e: &dyn std::fmt::Display| e.to_string();
    root.fill(&WHITE).map_err(|e| fail(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 17))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(|e| fail(&e))?;
    chart.configure_mesh().x_desc(x).y_desc(y).light_line_style(WHITE).draw().map_err(|e| fail(&e))?;
    for (i, (name, points)) in lines.iter().enumerate() {
        let colour = COLOURS[i % COLOURS.len()];
        let shown: Vec<(f64, f64)> =
            points.iter().copied().filter(|(x, y)| x.is_finite() && y.is_finite()).collect();
        chart
            .draw_series(LineSeries::new(shown, colour.stroke_width(2)))
            .map_err(|e| fail(&e))?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(RGBColor(200, 200, 200))
        .draw()
        .map_err(|e| fail(&e))?;
    root.present().map_err(|e| fail(&e))
}

/// One page of all tables and charts in a folder.
pub fn report(dir: &Path) -> Result<String, String> {
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
                let _ = writeln!(page, "<h2>{}</h2>\n{}", escape(&name), turned(&text()?));
            }
            Some("svg") => {
                let _ = writeln!(page, "<div>{}</div>", text()?);
            }
            _ => {}
        }
    }
    Ok(page)
}

/// A table with a column for each run, since there are many figures and few runs.
fn turned(csv: &str) -> String {
    let rows: Vec<Vec<&str>> = csv.lines().map(|l| l.split(',').collect()).collect();
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let mut html = String::from("<table>");
    for c in 0..columns {
        html.push_str("<tr>");
        for (r, row) in rows.iter().enumerate() {
            let tag = if r == 0 { "th" } else { "td" };
            let _ = write!(html, "<{tag}>{}</{tag}>", escape(row.get(c).copied().unwrap_or_default()));
        }
        html.push_str("</tr>\n");
    }
    html + "</table>"
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
