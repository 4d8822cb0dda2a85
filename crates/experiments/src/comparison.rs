//! Experiments that compare runs: prints the figures, checks the bounds, and writes a table and charts.

use crate::command_line::RunCommand;
use crate::experiment::{Bound, Experiment, Variant};
use crate::out::{csv, format_short, write_chart, Line, Provenance};
use crate::runs::{check_bound, run_all, RunResult};
use crate::{fleet, partial};
use std::path::Path;

/// The results of an experiment, with the bounds to check and the labels of the output.
pub struct ExperimentResult {
    /// The name of the experiment.
    pub name: String,
    /// The seed of its runs.
    pub seed: u64,
    /// The results of its runs.
    pub runs: Vec<RunResult>,
    /// The bounds of figures.
    pub bounds: Vec<Bound>,
    /// The figures in the last line of output.
    pub summary_figures: Vec<String>,
    /// The chart by second.
    pub chart: ChartLabels,
}

/// What the chart by second shows.
#[derive(Clone, Copy)]
pub struct ChartLabels {
    /// What the values are: the title of the chart.
    pub title: &'static str,
    /// The unit of the values: the label of the vertical axis.
    pub unit: &'static str,
}

/// Runs an experiment and returns whether all bounds are met. The last line of output is a summary.
pub fn run(command: &RunCommand) -> Result<bool, String> {
    let RunCommand { name, quick, seed, out, .. } = command;
    let (result, text) = match fleet::load(name).map_err(|e| e.to_string())? {
        Some((experiment, text)) => (run_on_fleet(&experiment, *quick, *seed)?, text),
        None if partial::is_partial(name) => partial::run(name, *quick, *seed)?,
        None => {
            let (experiment, text) = Experiment::load(name).map_err(|e| e.to_string())?;
            (run_by_scale(&experiment, *quick, *seed)?, text)
        }
    };
    let (met, count) = check_bounds(&result)?;
    if let Some(dir) = out {
        write_files(dir, &result, &Provenance::new(result.seed, &text))?;
    }
    let ExperimentResult { name, runs, summary_figures, .. } = result;
    let last = runs.iter().rev().find(|r| r.variant == Variant::Described);
    let summary: Vec<String> = summary_figures
        .iter()
        .filter_map(|figure| Some(format!("{figure} {}", format_short(*last?.figures.get(figure)?))))
        .collect();
    println!("{name}: {met} of {count} held; {}", summary.join(", "));
    Ok(met == count)
}

/// Checks and prints all bounds at each size; returns the number of bounds that are met, and of all.
fn check_bounds(result: &ExperimentResult) -> Result<(usize, usize), String> {
    let mut sizes: Vec<usize> = result.runs.iter().map(|r| r.routers).collect();
    sizes.dedup();
    let (mut met, mut count) = (0, 0);
    for routers in &sizes {
        let runs: Vec<&RunResult> = result.runs.iter().filter(|r| r.routers == *routers).collect();
        for bound in &result.bounds {
            let check = check_bound(bound, &runs)?;
            count += 1;
            met += usize::from(check.met);
            check.print();
        }
    }
    Ok((met, count))
}

fn run_on_fleet(
    experiment: &fleet::Experiment,
    quick: bool,
    seed: Option<u64>,
) -> Result<ExperimentResult, String> {
    let seed = seed.unwrap_or(experiment.seed);
    println!("{}: {} Seed {seed}.", experiment.name, experiment.about);
    let print = |result: &RunResult| {
        let figure = |name: &String| result.figures.get(name).copied().unwrap_or(f64::NAN);
        let names = experiment.summary_figures.iter();
        let figures: Vec<String> =
            names.map(|name| format!("{name} {}", format_short(figure(name)))).collect();
        println!("  {} routers, {:9}: {}", result.routers, result.variant.name(), figures.join(", "));
        result.messages.iter().for_each(|message| println!("      {message}"));
    };
    let runs = fleet::run_all(experiment, quick, seed, print)?;
    Ok(ExperimentResult {
        name: experiment.name.clone(),
        seed,
        runs,
        bounds: experiment.bounds.clone(),
        summary_figures: experiment.summary_figures.clone(),
        chart: ChartLabels { title: "checkouts served", unit: "share of those first presented" },
    })
}

fn run_by_scale(experiment: &Experiment, quick: bool, seed: Option<u64>) -> Result<ExperimentResult, String> {
    let seed = seed.unwrap_or(experiment.seed);
    println!("{}: {} Seed {seed}.", experiment.name, experiment.about);
    let print = |result: &RunResult| {
        let figure = |name: &str| result.figures.get(name).copied().unwrap_or(f64::NAN);
        println!(
            "  {:5} routers, {:9}: worth {:.4}, loops offered {:.0} carried {:.0}, archive fills {:.0} of which again {:.0}, \
             rules broken {:.0}, {:.1} s",
            result.routers,
            result.variant.name(),
            figure("worth"),
            figure("loops_offered"),
            figure("loops_carried"),
            figure("archive_fills"),
            figure("archive_fetched_again"),
            figure("rules_broken"),
            figure("wall_s"),
        );
        result.messages.iter().for_each(|message| println!("      {message}"));
    };
    let runs = run_all(experiment, quick, seed, print)?;
    let summary = ["worth", "loops_offered", "loops_carried", "archive_fetched_again", "rules_broken"];
    Ok(ExperimentResult {
        name: experiment.name.clone(),
        seed,
        runs,
        bounds: experiment.bounds.clone(),
        summary_figures: summary.map(str::to_string).to_vec(),
        chart: ChartLabels { title: "answered in time, by weight", unit: "share of the requested weight" },
    })
}

/// Writes the table, the chart by second of the largest size, and a chart of decision times if there are several sizes.
fn write_files(dir: &Path, result: &ExperimentResult, provenance: &Provenance) -> Result<(), String> {
    let message = |e: std::io::Error| format!("{}: {e}", dir.display());
    let ExperimentResult { name, runs, chart, .. } = result;
    std::fs::create_dir_all(dir).map_err(message)?;
    std::fs::write(dir.join(format!("{name}.csv")), csv(runs, provenance)).map_err(message)?;
    let largest = runs.iter().map(|r| r.routers).max().unwrap_or(0);
    let line = |result: &RunResult| {
        let points = result.seconds.iter().enumerate().map(|(second, value)| (second as f64, *value));
        (result.variant.name().to_string(), points.collect())
    };
    let lines: Vec<Line> = runs.iter().filter(|r| r.routers == largest).map(line).collect();
    let title = format!("{name}, {largest} routers, seed {}: {}", provenance.seed, chart.title);
    write_chart(&dir.join(format!("{name}-worth.svg")), &title, ("second", chart.unit), &lines)?;
    let described: Vec<&RunResult> = runs.iter().filter(|r| r.variant == Variant::Described).collect();
    if described.len() > 1 {
        let points =
            described.iter().filter_map(|r| Some((r.routers as f64, *r.figures.get("decision_us")?)));
        let lines = [("a decision".to_string(), points.collect())];
        let title = format!("{name}: time of a decision");
        write_chart(&dir.join(format!("{name}-decision.svg")), &title, ("routers", "microseconds"), &lines)?;
    }
    Ok(())
}
