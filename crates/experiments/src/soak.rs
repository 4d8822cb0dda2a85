//! The soak experiment (`on: soak`): router processes under faults drawn from a seed, checked against the rules and the routers' invariants.

mod seed_plan;

use crate::experiment::{has_form, read_text};
use crate::out::Provenance;
use crate::runs::router_program;
use basaltgw_config::yaml::{compile_schema, Document, YamlError};
use basaltgw_emulator::{run_soak, SoakReport, SocketRunMetrics};
use basaltgw_simulator::spec::{FleetSpec, LoadSpec};
use seed_plan::SeedPlan;
use serde::Deserialize;
use std::fmt::Write;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// The size of a run of one seed.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// The number of zones.
    pub zones: usize,
    /// Routers of each zone.
    pub routers_per_zone: usize,
    /// The time during which clients send requests.
    pub length_ms: f64,
    /// The number of groups of faults; the faults of a group begin at about the same time.
    pub groups: usize,
    /// Faults of caches and parents, run by the emulator's script.
    #[serde(rename = "moments")]
    pub node_faults: usize,
}

/// The file of a soak experiment.
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
    quick: Size,
    full: Size,
    fleet: FleetSpec,
    load: LoadSpec,
}

/// The built-in experiment: name and text of the file.
pub const BUILT_IN: (&str, &str) = ("soak", include_str!("../experiments/soak.yaml"));

/// The maximum p99 delay of the load generator, ms. A run above it measures the machine and not the routers.
const MAX_GENERATOR_DELAY_MS: f64 = 100.0;
/// The maximum share of requests whose missing response is not judged because the harness was late.
const MAX_UNJUDGED_SHARE: f64 = 0.02;

/// Whether the experiment has this form.
pub fn is_soak(name: &str) -> bool {
    has_form(BUILT_IN, name, "soak")
}

/// Loads the experiment by its name or its file, and returns it with the text of the file.
pub fn load(name: &str) -> Result<(Experiment, String), YamlError> {
    let text = read_text(BUILT_IN, name).unwrap_or_default();
    let document = Document::parse(name, &text, &compile_schema("{}"))?;
    Ok((document.deserialize()?, text))
}

/// Options of a soak run.
pub struct Options<'a> {
    /// Whether the short form runs.
    pub quick: bool,
    /// The seed in place of the one in the file.
    pub seed: Option<u64>,
    /// Several seeds in place of one.
    pub seeds: Option<RangeInclusive<u64>>,
    /// Seeds that run at the same time.
    pub jobs: usize,
    /// The router program, if not the one beside this program.
    pub router: Option<PathBuf>,
    /// The directory for the table, and for files and logs of failed seeds.
    pub out: Option<&'a Path>,
}

/// The result of one seed.
struct SeedResult {
    seed: u64,
    metrics: SocketRunMetrics,
    report: SoakReport,
}

impl SeedResult {
    /// Whether a rule or an invariant was violated.
    fn violated(&self) -> bool {
        !self.metrics.violations.is_empty() || !self.report.violations.is_empty()
    }

    /// Describes the violations, and what makes the run invalid; empty if the seed passed.
    fn failures(&self) -> Vec<String> {
        let mut failures: Vec<String> = Vec::new();
        for (rule, (count, first)) in &self.metrics.violations {
            failures.push(format!("rule {rule:?} violated {count} times, first: {first}"));
        }
        for (invariant, (count, details)) in &self.report.violations {
            failures.push(format!("invariant {invariant:?} violated {count} times"));
            failures.extend(details.iter().map(|detail| format!("    {detail}")));
        }
        let untriggered = self.report.untriggered();
        if !untriggered.is_empty() {
            failures.push(format!("planned faults that never occurred: {}", untriggered.join(", ")));
        }
        if self.metrics.generator_late_p99_ms > MAX_GENERATOR_DELAY_MS {
            let delay = self.metrics.generator_late_p99_ms;
            failures.push(format!(
                "the load generator was late by {delay:.0} ms: the machine is too busy for a valid run"
            ));
        }
        let unjudged = self.report.unjudged as f64 / self.metrics.requests.max(1) as f64;
        if unjudged > MAX_UNJUDGED_SHARE {
            failures.push(format!(
                "{:.1}% of the requests could not be judged, because the harness was late",
                unjudged * 100.0
            ));
        }
        failures
    }
}

/// Runs a seed. If the run fails, the routers' files and logs are moved to a directory in `out`.
fn run_seed(
    experiment: &Experiment,
    quick: bool,
    seed: u64,
    program: &Path,
    out: Option<&Path>,
) -> Result<SeedResult, String> {
    let size = if quick { experiment.quick } else { experiment.full };
    let plan = SeedPlan::draw(&experiment.fleet, &experiment.load, size, seed);
    let mut dir = tempfile::tempdir()
        .map_err(|e| format!("cannot create a temporary directory for the routers' files: {e}"))?;
    let (metrics, report) = run_soak(&plan.setup, &plan.faults, &plan.limits, program, dir.path())?;
    let result = SeedResult { seed, metrics, report };
    if let Some(out) = out.filter(|_| !result.failures().is_empty()) {
        let target = out.join(format!("seed-{seed}"));
        dir.disable_cleanup(true);
        std::fs::create_dir_all(out)
            .and_then(|()| std::fs::rename(dir.path(), &target))
            .map_err(|e| format!("{}: {e}", target.display()))?;
        let faults: String = plan.faults.iter().map(|fault| format!("{fault:?}\n")).collect();
        std::fs::write(target.join("plan.txt"), faults).map_err(|e| format!("{}: {e}", target.display()))?;
    }
    Ok(result)
}

/// Returns the line of output for a seed.
fn summary_line(result: &SeedResult, failures: usize) -> String {
    let metrics = &result.metrics;
    format!(
        "  seed {:6}: {} {} requests, {} served, {} refused, {} failed, {} attempts, {} processes, {} faults, {} unjudged, \
         at most {:.2} of the memory",
        result.seed,
        if failures == 0 { "held  " } else { "FAILED" },
        metrics.requests,
        metrics.served,
        metrics.rejected,
        metrics.failed,
        metrics.attempts,
        result.report.processes,
        result.report.planned.values().sum::<u64>(),
        result.report.unjudged,
        result.report.highest_memory_share
    )
}

/// Returns the table of all seeds as CSV, with a column for each kind of fault that was triggered.
fn csv(results: &[SeedResult], provenance: &Provenance, quick: bool) -> String {
    let kinds: std::collections::BTreeSet<&str> =
        results.iter().flat_map(|r| r.report.triggered.keys().copied()).collect();
    let mut text =
        "seed,form,commit,cores,held,asked,served,refused,failed,attempts,processes,late_p99_ms,unjudged,\
                    rules_broken,invariants_violated"
            .to_string();
    kinds.iter().for_each(|kind| {
        let _ = write!(text, ",{kind}");
    });
    text.push('\n');
    for result in results {
        let metrics = &result.metrics;
        let _ = write!(
            text,
            "{},{},{},{},{},{},{},{},{},{},{},{:.1},{},{},{}",
            result.seed,
            if quick { "quick" } else { "full" },
            provenance.commit,
            provenance.cores,
            u8::from(result.failures().is_empty()),
            metrics.requests,
            metrics.served,
            metrics.rejected,
            metrics.failed,
            metrics.attempts,
            result.report.processes,
            metrics.generator_late_p99_ms,
            result.report.unjudged,
            metrics.violations.values().map(|violation| violation.0).sum::<u64>(),
            result.report.violations.values().map(|violation| violation.0).sum::<u64>(),
        );
        for kind in &kinds {
            let _ = write!(text, ",{}", result.report.triggered.get(kind).copied().unwrap_or(0));
        }
        text.push('\n');
    }
    text
}

/// The environment variable that selects the bug of a router program built with the feature `breaks`.
const BUG_VARIABLE: &str = "GW_BREAK";

/// The bugs of such a program: the values of [`BUG_VARIABLE`].
const INJECTED_BUGS: [&str; 8] = [
    "purge_ignored",
    "second_answer",
    "repeat_after_execution",
    "cancel_ignored",
    "close_over_request",
    "drain_ignored",
    "wall_clock",
    "stale_deadline",
];

/// The seeds that run with each injected bug unless `--seeds` gives others.
const BUG_SEEDS: RangeInclusive<u64> = 1..=8;

/// Runs seeds with each injected bug, until a run violates a rule or an invariant: the bug is caught. Returns whether all bugs were caught.
pub fn check_injected_bugs(name: &str, options: &Options<'_>) -> Result<bool, String> {
    let (experiment, _) = load(name).map_err(|e| e.to_string())?;
    let program =
        options.router.clone().ok_or("--breaks: expected --router, a program with the feature `breaks`")?;
    let seeds = options.seeds.clone().unwrap_or(BUG_SEEDS);
    let mut caught = 0;
    for bug in INJECTED_BUGS {
        // Router processes inherit the environment variable.
        std::env::set_var(BUG_VARIABLE, bug);
        let violations = first_violations(&experiment, options, &program, &seeds)?;
        match violations.iter().min_by_key(|violation| violation.seed) {
            Some(SeedViolation { seed, description }) => {
                caught += 1;
                println!("  {bug}: caught by {} seeds, first {seed}: {description}", violations.len());
            }
            None => println!("  {bug}: NOT caught by seeds {} to {}", seeds.start(), seeds.end()),
        }
    }
    std::env::remove_var(BUG_VARIABLE);
    println!("{name} --breaks: {caught} of {} caught", INJECTED_BUGS.len());
    Ok(caught == INJECTED_BUGS.len())
}

/// The first violation in the run of a seed.
struct SeedViolation {
    seed: u64,
    description: String,
}

/// Runs seeds in batches until a batch has a violation; returns the first violation of each seed of that batch. A seed that cannot be run counts
/// as one without a violation.
fn first_violations(
    experiment: &Experiment,
    options: &Options<'_>,
    program: &Path,
    seeds: &RangeInclusive<u64>,
) -> Result<Vec<SeedViolation>, String> {
    let all: Vec<u64> = seeds.clone().collect();
    let found: Mutex<Vec<SeedViolation>> = Mutex::default();
    for batch in all.chunks(options.jobs.max(1)) {
        std::thread::scope(|scope| {
            for seed in batch {
                scope.spawn(|| {
                    let result = run_seed(experiment, options.quick, *seed, program, None);
                    let violated = result.ok().filter(SeedResult::violated);
                    let first = violated.and_then(|result| result.failures().into_iter().next());
                    if let (Some(description), Ok(mut found)) = (first, found.lock()) {
                        found.push(SeedViolation { seed: *seed, description });
                    }
                });
            }
        });
        if found.lock().is_ok_and(|found| !found.is_empty()) {
            break;
        }
    }
    found.into_inner().map_err(|e| e.to_string())
}

/// The results of several seeds.
#[derive(Default)]
struct SeedResults {
    completed: Vec<SeedResult>,
    /// For each seed that could not be run, the reason.
    errors: Vec<String>,
}

/// Runs the seeds of these options; returns whether all passed.
pub fn run(name: &str, options: &Options<'_>) -> Result<bool, String> {
    let (experiment, text) = load(name).map_err(|e| e.to_string())?;
    let seed = options.seed.unwrap_or(experiment.seed);
    let seeds = options.seeds.clone().unwrap_or(seed..=seed);
    let program = match &options.router {
        Some(program) => program.clone(),
        None => router_program()?,
    };
    println!("{}: {} Seeds {} to {}.", experiment.name, experiment.about, seeds.start(), seeds.end());
    let next = AtomicU64::new(*seeds.start());
    let results = Mutex::new(SeedResults::default());
    let worker = || loop {
        let seed = next.fetch_add(1, Ordering::SeqCst);
        if seed > *seeds.end() {
            return;
        }
        let result = run_seed(&experiment, options.quick, seed, &program, options.out);
        let Ok(mut results) = results.lock() else { return };
        match result {
            Ok(result) => {
                print_result(name, &result, options.quick);
                results.completed.push(result);
            }
            Err(e) => results.errors.push(format!("seed {seed}: {e}")),
        }
    };
    std::thread::scope(|scope| {
        (0..options.jobs.max(1)).for_each(|_| {
            scope.spawn(worker);
        });
    });
    let SeedResults { mut completed, errors } = results.into_inner().map_err(|e| e.to_string())?;
    completed.sort_by_key(|result| result.seed);
    if let Some(first) = errors.first() {
        return Err(format!("{} seeds could not be run, first: {first}", errors.len()));
    }
    if let Some(dir) = options.out {
        let message = |e: std::io::Error| format!("{}: {e}", dir.display());
        std::fs::create_dir_all(dir).map_err(message)?;
        let form = if options.quick { "quick" } else { "full" };
        let table = csv(&completed, &Provenance::new(*seeds.start(), &text), options.quick);
        std::fs::write(dir.join(format!("soak-{form}.csv")), table).map_err(message)?;
    }
    let passed = completed.iter().filter(|result| result.failures().is_empty()).count();
    let requests: u64 = completed.iter().map(|result| result.metrics.requests).sum();
    let faults: u64 = completed.iter().map(|result| result.report.planned.values().sum::<u64>()).sum();
    println!(
        "{}: {passed} of {} held; requests {requests}, faults {faults}",
        experiment.name,
        completed.len()
    );
    Ok(passed == completed.len())
}

/// Prints the result of a seed; if it failed, with the reasons and the command that repeats it.
fn print_result(name: &str, result: &SeedResult, quick: bool) {
    let failures = result.failures();
    println!("{}", summary_line(result, failures.len()));
    if !failures.is_empty() {
        failures.iter().for_each(|failure| println!("      {failure}"));
        let quick = if quick { " --quick" } else { "" };
        println!("      repeat with: basaltgw-experiments run {name}{quick} --seed {}", result.seed);
    }
}
