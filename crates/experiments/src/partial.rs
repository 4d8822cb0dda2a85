//! The experiment on partial answers (`on: partial`): router processes in three branches with clients, under faults of one site after the other;
//! and in simulated time, the same decisions compared with three baselines.

mod client;
mod processes;

use crate::comparison::{ChartLabels, ExperimentResult};
use crate::experiment::{check_bounds_of_one_run, has_form, read_text, Bound};
use crate::runs::Figures;
use basaltgw_config::yaml::{compile_schema, Document, YamlError};
use basaltgw_scatter_gather::sim::{compare_strategies, find_violations, Fault, Setup, StrategyKind};
use serde::Deserialize;
use std::time::Instant;

/// A value for each form of the experiment.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ByForm<T> {
    quick: T,
    full: T,
}

impl<T: Copy> ByForm<T> {
    fn get(&self, quick: bool) -> T {
        if quick {
            self.quick
        } else {
            self.full
        }
    }
}

/// The file of the experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of the experiment.
    pub name: String,
    /// The purpose of the experiment in a sentence.
    pub about: String,
    #[allow(dead_code)] // `has_form` reads this key.
    on: String,
    seed: u64,
    /// Duration of each fault.
    fault_ms: ByForm<u64>,
    /// Clients of each router.
    #[serde(rename = "clients")]
    clients_per_router: u64,
    /// Time between an answer and the next request of a client.
    #[serde(rename = "rest_ms")]
    pause_ms: u64,
    /// The number of objects that clients request.
    objects: u64,
    /// The deadline of requests.
    #[serde(rename = "within_ms")]
    deadline_ms: u64,
    /// Range of the latency of a slow site.
    slow_ms: [f64; 2],
    /// Range of the time between two changes of a flapping site.
    flap_ms: [f64; 2],
    /// Routers in simulated time.
    simulated_routers: ByForm<usize>,
    /// The text of the routers' rules file.
    rules: String,
    #[serde(rename = "must")]
    bounds: Vec<Bound>,
    /// The figures in the last line of output.
    #[serde(rename = "shown")]
    summary_figures: Vec<String>,
}

/// The built-in experiment: name and text of the file.
pub const BUILT_IN: (&str, &str) = ("partial", include_str!("../experiments/partial.yaml"));
/// Range of the keys `clients` and `objects`.
const COUNTS: std::ops::RangeInclusive<u64> = 1..=10_000;

/// Whether the experiment has this form.
pub fn is_partial(name: &str) -> bool {
    has_form(BUILT_IN, name, "partial")
}

/// Loads the experiment by its name or its file, and returns it with the text of the file.
pub fn load(name: &str) -> Result<(Experiment, String), YamlError> {
    let text = read_text(BUILT_IN, name).unwrap_or_default();
    let document = Document::parse(name, &text, &compile_schema("{}"))?;
    let experiment: Experiment = document.deserialize()?;
    for (key, n) in [("clients", experiment.clients_per_router), ("objects", experiment.objects)] {
        if !COUNTS.contains(&n) {
            let message = format!("expected from {} to {}, found {n}", COUNTS.start(), COUNTS.end());
            return Err(document.error_at(&format!("/{key}"), message));
        }
    }
    check_bounds_of_one_run(&document, "", &experiment.bounds)?;
    Ok((experiment, text))
}

/// Runs all strategies under each fault in simulated time. The names of the figures contain the `Debug` names of faults and strategies. The figure
/// `*_ahead` is the difference between the answered weight of the engine and that of the best baseline.
fn run_simulated(routers: usize, seed: u64) -> Result<(Figures, Vec<String>), String> {
    let (mut figures, mut messages) = (Figures::new(), Vec::new());
    for fault in Fault::ALL {
        let rows = compare_strategies(&Setup::new(routers, fault, seed)).map_err(|e| e.to_string())?;
        let name = format!("sim_{fault:?}").to_lowercase();
        let weights = |of_engine: bool| {
            let rows = rows.iter().filter(move |row| (row.strategy == StrategyKind::Weighed) == of_engine);
            rows.map(|row| row.result.answered_weight_share)
        };
        let ahead = weights(true).sum::<f64>() - weights(false).fold(0.0, f64::max);
        figures.insert(format!("{name}_ahead"), ahead);
        for row in &rows {
            let weight = row.result.answered_weight_share;
            figures.insert(format!("{name}_worth_{:?}", row.strategy).to_lowercase(), weight);
        }
        let violations = find_violations(&rows);
        figures.insert(format!("{name}_broken"), violations.len() as f64);
        messages.extend(violations);
    }
    Ok((figures, messages))
}

/// Runs the experiment on router processes and in simulated time; returns its result with the text of its file.
pub fn run(name: &str, quick: bool, seed: Option<u64>) -> Result<(ExperimentResult, String), String> {
    let (experiment, text) = load(name).map_err(|e| e.to_string())?;
    let seed = seed.unwrap_or(experiment.seed);
    println!("{}: {} Seed {seed}.", experiment.name, experiment.about);
    let started = Instant::now();
    let mut run = processes::run(&experiment, quick, seed)?;
    let simulated_routers = experiment.simulated_routers.get(quick);
    let (simulated_figures, simulated_messages) = run_simulated(simulated_routers, seed)?;
    run.figures.extend(simulated_figures);
    run.messages.extend(simulated_messages);
    run.figures.insert("simulated_routers".into(), simulated_routers as f64);
    run.figures.insert("wall_s".into(), started.elapsed().as_secs_f64());
    run.messages.iter().for_each(|message| println!("      {message}"));
    let result = ExperimentResult {
        name: experiment.name,
        seed,
        runs: vec![run],
        bounds: experiment.bounds,
        summary_figures: experiment.summary_figures,
        chart: ChartLabels { title: "answers", unit: "share complete or in part" },
    };
    Ok((result, text))
}

#[cfg(test)]
mod tests;
