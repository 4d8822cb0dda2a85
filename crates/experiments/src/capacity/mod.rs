//! The capacity experiment (`on: capacity`): the cost of each part as one axis grows, curves through the measured points, and the value of
//! each curve at the expected size of the fleet.
//!
//! - [`data`]: the data path, measured with the decision module in this process;
//! - [`control`]: the control plane of a mesh, and [`overlay`]: that of routers with links to a few others, both in simulated time;
//! - [`scenarios`]: scripted faults of a fleet with the overlay;
//! - [`parallel`]: simulated runs on several threads;
//! - [`processes`]: router processes on loopback, with `--real`;
//! - [`file`]: the experiment's file; [`meter`]: memory and processor time of a piece of work;
//! - [`row`]: a row of the table; [`figures`]: rows from the figures of simulated runs;
//! - [`fit`]: the form of a curve; [`curve`]: the curves of a run;
//! - [`table`]: tables and charts; [`page`]: compares the figures of a page with the tables.

mod control;
mod curve;
mod data;
mod figures;
mod file;
#[cfg(test)]
mod file_tests;
mod fit;
#[cfg(test)]
mod fit_tests;
mod meter;
#[cfg(test)]
mod meter_tests;
mod overlay;
pub mod page;
mod parallel;
#[cfg(test)]
mod parallel_tests;
mod processes;
mod row;
mod scenarios;
#[cfg(test)]
mod scenarios_tests;
mod table;

use crate::experiment::Variant;
use crate::out::{format_short, Provenance};
use crate::runs::{check_bound, router_program, RunResult};
use curve::{curves, Curve};
pub use file::{is_capacity, load, BUILT_IN};
use row::Row;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Instant;

/// Options of a capacity run.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// Whether the short form runs, which takes less than a minute.
    pub quick: bool,
    /// Whether router processes are measured as well.
    pub real: bool,
    /// The seed in place of the one in the file.
    pub seed: Option<u64>,
    /// The directory for tables and charts.
    pub out: Option<&'a Path>,
}

/// Measures, prints and writes all figures; returns whether all bounds are met.
pub fn run(name: &str, options: Options) -> Result<bool, String> {
    let (experiment, text) = load(name).map_err(|e| e.to_string())?;
    let seed = options.seed.unwrap_or(experiment.seed);
    println!("{}: {} Seed {seed}.", experiment.name, experiment.about);
    let started = Instant::now();
    let sizes = if options.quick { &experiment.sizes.quick } else { &experiment.sizes.full };
    let mut rows = data::rows(&experiment.expected, &sizes.data, seed);
    rows.extend(control::rows(&sizes.control, seed)?);
    rows.extend(overlay::rows(&sizes.overlay, seed)?);
    rows.extend(parallel::load_rows());
    if options.real {
        rows.extend(processes::rows(&router_program()?, seed)?);
    }
    let curves = curves(&rows, &experiment);
    rows.iter().for_each(Row::print);
    curves.iter().for_each(Curve::print);
    let mut figures = named_figures(&rows, &curves);
    figures.insert("wall_s".into(), started.elapsed().as_secs_f64());
    let result = RunResult {
        routers: experiment.expected.routers,
        variant: Variant::Described,
        figures,
        seconds: Vec::new(),
        messages: Vec::new(),
    };
    let bounds = || experiment.bounds.iter().chain(&sizes.bounds);
    let mut met = 0;
    for bound in bounds() {
        let check = check_bound(bound, &[&result])?;
        met += usize::from(check.met);
        check.print();
    }
    if let Some(dir) = options.out {
        table::write_files(dir, &experiment.name, &rows, &curves, &Provenance::new(seed, &text))?;
    }
    let summary = experiment
        .summary_figures
        .iter()
        .filter_map(|figure| Some(format!("{figure} {}", format_short(*result.figures.get(figure)?))))
        .collect::<Vec<_>>();
    println!("{}: {met} of {} held; {}", experiment.name, bounds().count(), summary.join(", "));
    Ok(met == bounds().count())
}

/// Returns all points, and the reliable values of curves at the expected positions, by the names that bounds use.
fn named_figures(rows: &[Row], curves: &[Curve]) -> BTreeMap<String, f64> {
    let mut figures: BTreeMap<String, f64> = rows.iter().map(|row| (row.key(), row.value)).collect();
    for curve in curves {
        if let (Ok(fit), Some(x)) = (&curve.fit, curve.expected_x) {
            if fit.is_reliable_at(x) {
                figures.insert(curve.key(x), fit.value_at(x));
            }
        }
    }
    figures
}
