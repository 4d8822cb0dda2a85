//! Runs of an experiment, in simulated time or on sockets, their figures, and the check of the figures against bounds.

use crate::experiment::{Bound, Environment, Experiment, Variant};
use basaltgw::api::{Action, Event, Ms, Settings};
use basaltgw::routing::Router;
use basaltgw_emulator::SocketRunMetrics;
use basaltgw_hierarchy::ChangeState;
use basaltgw_simulator::checker::Rule;
use basaltgw_simulator::fleet::Counts;
use basaltgw_simulator::sim::{run, DecisionModule, RunMetrics, SecondMetrics, Setup};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The figures of a run by name.
pub type Figures = BTreeMap<String, f64>;

/// The result of one run.
pub struct RunResult {
    /// The number of routers.
    pub routers: usize,
    /// How the run differs from the experiment file.
    pub variant: Variant,
    /// The figures of the run.
    pub figures: Figures,
    /// The values of the chart by second, each a share; [`crate::comparison::ChartLabels`] says of what.
    pub seconds: Vec<f64>,
    /// Violated rules, rejected plans, and faults that did not heal.
    pub messages: Vec<String>,
}

/// A decision module that adds up the time of its calls.
struct TimedRouter {
    router: Router,
    /// The time of the calls of all routers of the run.
    spent: Rc<Cell<Duration>>,
}

impl DecisionModule for TimedRouter {
    fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        let started = Instant::now();
        self.router.handle(now, event, actions);
        self.spent.set(self.spent.get() + started.elapsed());
    }
}

/// The maximum number of rejected plans that the messages of a run describe.
const MAX_REPORTED_PLANS: usize = 3;

/// Runs a setup in simulated time.
pub fn run_simulated(setup: &Setup, variant: Variant) -> Result<RunResult, String> {
    let routers = setup.fleet.zones * setup.fleet.routers_per_zone;
    let spent = Rc::new(Cell::new(Duration::ZERO));
    let started = Instant::now();
    let new_router = |_: usize, settings: Settings, seed| {
        Box::new(TimedRouter { router: Router::new(settings, seed), spent: Rc::clone(&spent) })
            as Box<dyn DecisionModule>
    };
    let metrics = run(setup, new_router)?;
    let mut figures = simulated_figures(&metrics);
    let decision_us = spent.get().as_secs_f64() * 1e6 / metrics.decisions.max(1) as f64;
    figures.insert("decision_us".into(), decision_us);
    figures.insert("wall_s".into(), started.elapsed().as_secs_f64());
    figures.insert("resident_mb".into(), resident_mb());
    let seconds = metrics.seconds.iter().map(SecondMetrics::weighted_in_time_share).collect();
    let mut messages = describe_violations(&metrics.violations);
    let rejected = metrics.rejected_plans.iter().take(MAX_REPORTED_PLANS);
    messages.extend(rejected.map(|reason| format!("plan rejected: {reason}")));
    Ok(RunResult { routers, variant, figures, seconds, messages })
}

/// The maximum p99 delay of the load generator, ms. A run above it measures the machine and not the routers.
const MAX_GENERATOR_DELAY_MS: f64 = 50.0;

/// How often a run on sockets is tried until the load generator is on time.
const MAX_TRIES: usize = 2;

/// Returns the path of the router program, which is expected in the directory of this program.
pub fn router_program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("cannot find the path of this program: {e}"))?;
    let program = own.with_file_name("basaltgw");
    match program.exists() {
        true => Ok(program),
        false => Err(format!("{}: no such file; build it with cargo build --release", program.display())),
    }
}

/// Runs a setup on sockets, and a second time if the machine delayed the load generator.
pub fn run_on_sockets(setup: &Setup, variant: Variant) -> Result<RunResult, String> {
    let program = router_program()?;
    let dir = tempfile::tempdir()
        .map_err(|e| format!("cannot create a temporary directory for the routers' files: {e}"))?;
    let mut tries = 0;
    let (metrics, wall) = loop {
        let started = Instant::now();
        let metrics = basaltgw_emulator::run(setup, &program, dir.path())?;
        tries += 1;
        if metrics.generator_late_p99_ms <= MAX_GENERATOR_DELAY_MS {
            break (metrics, started.elapsed());
        }
        if tries == MAX_TRIES {
            return Err(format!(
                "the load generator was late by {:.0} ms in the last of {tries} tries: the machine is too busy for a valid run",
                metrics.generator_late_p99_ms
            ));
        }
    };
    let mut figures = socket_figures(&metrics);
    figures.insert("wall_s".into(), wall.as_secs_f64());
    let routers = setup.fleet.zones * setup.fleet.routers_per_zone;
    let seconds = metrics.seconds.iter().map(SecondMetrics::weighted_in_time_share).collect();
    let messages = describe_violations(&metrics.violations);
    Ok(RunResult { routers, variant, figures, seconds, messages })
}

/// Returns the answered share of what was requested in a second, NaN if nothing was requested.
pub fn answered_share((requested, answered): &(f64, f64)) -> f64 {
    if *requested > 0.0 {
        answered / requested
    } else {
        f64::NAN
    }
}

fn describe_violations(violations: &BTreeMap<Rule, (u64, String)>) -> Vec<String> {
    let describe = |(rule, (count, first)): (&Rule, &(u64, String))| {
        format!("rule {rule:?} violated {count} times, first: {first}")
    };
    violations.iter().map(describe).collect()
}

fn named_figures<const N: usize>(own: [(&str, f64); N], counts: &Counts) -> Figures {
    own.into_iter().chain(count_figures(counts)).map(|(name, value)| (name.to_string(), value)).collect()
}

fn socket_figures(metrics: &SocketRunMetrics) -> Figures {
    let router = |name: &str| metrics.router_counters.get(name).copied().unwrap_or(f64::NAN);
    let own = [
        ("worth", metrics.weighted_in_time_share),
        ("worth_with_late", metrics.weighted_answered_share),
        ("asked", metrics.requests as f64),
        ("served", metrics.served as f64),
        ("refused", metrics.rejected as f64),
        ("failed", metrics.failed as f64),
        ("attempts", metrics.attempts as f64),
        ("wrong_bytes", metrics.wrong_bodies as f64),
        ("p50_ms", metrics.latency_p50_ms),
        ("p99_ms", metrics.latency_p99_ms),
        ("generator_late_ms", metrics.generator_late_p99_ms),
        ("rules_broken", metrics.violations.values().map(|violation| violation.0).sum::<u64>() as f64),
        ("plans_refused", router("plans_refused") + router("reloads_refused")),
        ("plans_ended", router("plans_ended")),
        ("loops_told", router("loops")),
    ];
    named_figures(own, &metrics.counts)
}

/// Returns the figures that runs in simulated time and on sockets share.
fn count_figures(counts: &Counts) -> [(&'static str, f64); 12] {
    let origin_fills: u64 = counts.origin_fills.values().map(|n| u64::from(*n)).sum();
    [
        ("archive_fills", origin_fills as f64),
        ("archive_parts", counts.origin_fills.len() as f64),
        ("archive_fetched_again", counts.repeated_origin_fills as f64),
        ("archive_again_after_kill", counts.repeated_origin_fills_after_crash as f64),
        ("archive_fills_most", counts.origin_fills.values().copied().max().unwrap_or(0).into()),
        ("loops_offered", counts.loops_detected as f64),
        ("loops_carried", counts.loops_forwarded as f64),
        ("handed_over", counts.cached_only_hits as f64),
        ("between_nodes", counts.requests_between_nodes as f64),
        ("cold_most", counts.max_cold_limit_share),
        ("fell_over", counts.cold_overloads as f64),
        ("archive_kb", counts.origin_kb),
    ]
}

/// Returns the resident memory of this process in MB, NaN if the kernel does not report it.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    line.and_then(|l| l.split_whitespace().nth(1))
        .and_then(|n| n.parse::<f64>().ok())
        .map_or(f64::NAN, |kb| kb / 1024.0)
}

fn simulated_figures(metrics: &RunMetrics) -> Figures {
    let requests: u64 = metrics.classes.iter().map(|c| c.requests).sum();
    let states = metrics.change_states.iter();
    let completed = states.filter(|change| change.state == ChangeState::Completed).count();
    let own = [
        ("worth", metrics.weighted_in_time_share),
        ("worth_with_late", metrics.weighted_answered_share),
        ("asked", requests as f64),
        ("served", metrics.served as f64),
        ("refused", metrics.rejected as f64),
        ("failed", metrics.failed as f64),
        ("attempts", metrics.attempts as f64),
        ("decisions", metrics.decisions as f64),
        ("p50_ms", metrics.latency_p50_ms),
        ("p99_ms", metrics.latency_p99_ms),
        ("rules_broken", metrics.violations.values().map(|violation| violation.0).sum::<u64>() as f64),
        ("changes_ended", completed as f64),
        ("settled", f64::from(u8::from(metrics.all_changes_completed()))),
        ("plans_refused", metrics.rejected_plans.len() as f64),
    ];
    named_figures(own, &metrics.counts)
}

/// One of the limits of a bound, compared with the value of its figure.
struct LimitCheck {
    met: bool,
    /// The limit, as the line of its bound shows it.
    description: String,
}

impl LimitCheck {
    fn new(met: bool, description: String) -> Self {
        Self { met, description }
    }
}

/// The result of the comparison of a bound with the runs of one size.
pub struct BoundCheck {
    /// Whether the figure is within the bound.
    pub met: bool,
    /// The run, the figure, its value and the bound.
    pub line: String,
}

impl BoundCheck {
    /// Prints the check as one line.
    pub fn print(&self) {
        println!("  {} {}", if self.met { "held  " } else { "FAILED" }, self.line);
    }
}

/// Compares a bound with the runs of one size.
///
/// # Errors
/// If the bound names a run or a figure that does not exist.
pub fn check_bound(bound: &Bound, runs: &[&RunResult]) -> Result<BoundCheck, String> {
    let figure_of = |variant: Variant| -> Result<f64, String> {
        let run = runs
            .iter()
            .find(|r| r.variant == variant)
            .ok_or_else(|| format!("bound of {}: no run {}", bound.figure, variant.name()))?;
        let known = || run.figures.keys().cloned().collect::<Vec<_>>().join(", ");
        run.figures
            .get(&bound.figure)
            .copied()
            .ok_or_else(|| format!("unknown figure {}; known: {}", bound.figure, known()))
    };
    let value = figure_of(bound.run)?;
    let factor = bound.times_of.map(figure_of).transpose()?.unwrap_or(1.0);
    let limits = [
        bound.is.map(|limit| LimitCheck::new(value == limit * factor, format!("is {}", limit * factor))),
        bound
            .at_least
            .map(|limit| LimitCheck::new(value >= limit * factor, format!("at least {:.4}", limit * factor))),
        bound
            .at_most
            .map(|limit| LimitCheck::new(value <= limit * factor, format!("at most {:.4}", limit * factor))),
    ];
    let limits: Vec<LimitCheck> = limits.into_iter().flatten().collect();
    let met = limits.iter().all(|limit| limit.met);
    let expected = limits.into_iter().map(|limit| limit.description).collect::<Vec<_>>().join(", ");
    let routers = runs.first().map_or(0, |r| r.routers);
    let line = format!("{routers} routers, {}: {} {value:.4}, {expected}", bound.run.name(), bound.figure);
    Ok(BoundCheck { met, line })
}

/// Runs all variants of an experiment at all its sizes; `on_result` is called after each run.
pub fn run_all(
    experiment: &Experiment,
    quick: bool,
    seed: u64,
    mut on_result: impl FnMut(&RunResult),
) -> Result<Vec<RunResult>, String> {
    let scales: Vec<usize> = match experiment.scales.is_empty() {
        true => vec![1],
        false => experiment.scales.iter().filter(|s| !(quick && s.full)).map(|s| s.times).collect(),
    };
    let mut results = Vec::new();
    for times in scales {
        for variant in &experiment.runs {
            let setup = experiment.setup(*variant, times, seed);
            let result = match experiment.environment {
                Environment::Simulated => run_simulated(&setup, *variant)?,
                Environment::Sockets => run_on_sockets(&setup, *variant)?,
                Environment::Fleet => {
                    let name = &experiment.name;
                    return Err(format!("{name}: an experiment with `on: fleet` has a file of another form"));
                }
            };
            on_result(&result);
            results.push(result);
        }
    }
    Ok(results)
}
