//! Runs an experiment's runs, one beside the other, and holds the figures against what must hold.

use crate::experiment::{Experiment, Must, On, Variant};
use basaltgw::api::{Action, Event, Ms, Settings};
use basaltgw::routing::Router;
use basaltgw_emulator::SocketRunMetrics;
use basaltgw_simulator::checker::Rule;
use basaltgw_simulator::fleet::Counts;
use basaltgw_simulator::sim::{run, DecisionModule, RunMetrics, SecondMetrics, Setup};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A run's figures by name.
pub type Row = BTreeMap<String, f64>;

/// What came of one run.
pub struct Done {
    /// Routers in it.
    pub routers: usize,
    /// Which.
    pub variant: Variant,
    /// Its figures.
    pub row: Row,
    /// Worth in time over worth asked, by second.
    pub seconds: Vec<f64>,
    /// Rules broken, in words, and plans refused.
    pub words: Vec<String>,
}

/// The module with a watch beside it.
struct Timed {
    router: Router,
    spent: Rc<Cell<Duration>>,
}

impl DecisionModule for Timed {
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        let begun = Instant::now();
        self.router.handle(now, event, acts);
        self.spent.set(self.spent.get() + begun.elapsed());
    }
}

/// Plays one run.
pub fn play(setup: &Setup, variant: Variant) -> Result<Done, String> {
    let routers = setup.fleet.zones * setup.fleet.routers_per_zone;
    let spent = Rc::new(Cell::new(Duration::ZERO));
    let begun = Instant::now();
    let make = |_: usize, set: Settings, seed| {
        Box::new(Timed { router: Router::new(set, seed), spent: Rc::clone(&spent) })
            as Box<dyn DecisionModule>
    };
    let figures = run(setup, make)?;
    let mut row = row(&figures);
    row.insert("decision_us".into(), spent.get().as_secs_f64() * 1e6 / figures.decisions.max(1) as f64);
    row.insert("wall_s".into(), begun.elapsed().as_secs_f64());
    row.insert("resident_mb".into(), resident_mb());
    let seconds = figures.seconds.iter().map(SecondMetrics::weighted_in_time_share);
    let mut words = broken_words(&figures.violations);
    words.extend(figures.rejected_plans.iter().take(3).map(|r| format!("plan refused: {r}")));
    Ok(Done { routers, variant, row, seconds: seconds.collect(), words })
}

/// The generator may be so late before a run on sockets tells of the machine and not of the routers.
const LATE_MS: f64 = 50.0;

/// The router's program: the one beside this one.
pub fn binary() -> Result<PathBuf, String> {
    let here = std::env::current_exe().map_err(|e| e.to_string())?;
    let binary = here.with_file_name("basaltgw");
    match binary.exists() {
        true => Ok(binary),
        false => Err(format!("{}: no such file; cargo build --release makes it", binary.display())),
    }
}

/// Plays one run on sockets; once more if the machine was late.
pub fn play_on_sockets(setup: &Setup, variant: Variant) -> Result<Done, String> {
    let binary = binary()?;
    let dir = tempfile::tempdir().map_err(|e| format!("a folder for routers: {e}"))?;
    let mut tries = 0;
    let (sockets, wall) = loop {
        let begun = Instant::now();
        let sockets = basaltgw_emulator::run(setup, &binary, dir.path())?;
        tries += 1;
        if sockets.generator_late_p99_ms <= LATE_MS {
            break (sockets, begun.elapsed());
        }
        if tries == 2 {
            return Err(format!(
                "the machine was late by {:.0} ms, twice; this does not count",
                sockets.generator_late_p99_ms
            ));
        }
    };
    let mut row = of_sockets(&sockets);
    row.insert("wall_s".into(), wall.as_secs_f64());
    let seconds = sockets.seconds.iter().map(SecondMetrics::weighted_in_time_share);
    let routers = setup.fleet.zones * setup.fleet.routers_per_zone;
    Ok(Done { routers, variant, row, seconds: seconds.collect(), words: broken_words(&sockets.violations) })
}

fn broken_words(broken: &BTreeMap<Rule, (u64, String)>) -> Vec<String> {
    broken.iter().map(|(rule, (n, first))| format!("{rule:?} broken {n} times, first {first}")).collect()
}

fn of_sockets(s: &SocketRunMetrics) -> Row {
    let router = |name: &str| s.router_counters.get(name).copied().unwrap_or(f64::NAN);
    let own = [
        ("worth", s.weighted_in_time_share),
        ("worth_with_late", s.weighted_answered_share),
        ("asked", s.requests as f64),
        ("served", s.served as f64),
        ("refused", s.rejected as f64),
        ("failed", s.failed as f64),
        ("attempts", s.attempts as f64),
        ("wrong_bytes", s.wrong_bodies as f64),
        ("p50_ms", s.latency_p50_ms),
        ("p99_ms", s.latency_p99_ms),
        ("generator_late_ms", s.generator_late_p99_ms),
        ("rules_broken", s.violations.values().map(|b| b.0).sum::<u64>() as f64),
        ("plans_refused", router("plans_refused") + router("reloads_refused")),
        ("plans_ended", router("plans_ended")),
        ("loops_told", router("loops")),
    ];
    own.into_iter().chain(of_counts(&s.counts)).map(|(name, value)| (name.to_string(), value)).collect()
}

/// What both ways count alike.
fn of_counts(c: &Counts) -> [(&'static str, f64); 12] {
    let filled: u64 = c.origin_fills.values().map(|n| u64::from(*n)).sum();
    [
        ("archive_fills", filled as f64),
        ("archive_parts", c.origin_fills.len() as f64),
        ("archive_fetched_again", c.repeated_origin_fills as f64),
        ("archive_again_after_kill", c.repeated_origin_fills_after_crash as f64),
        ("archive_fills_most", c.origin_fills.values().copied().max().unwrap_or(0).into()),
        ("loops_offered", c.loops_detected as f64),
        ("loops_carried", c.loops_forwarded as f64),
        ("handed_over", c.cached_only_hits as f64),
        ("between_nodes", c.requests_between_nodes as f64),
        ("cold_most", c.max_cold_limit_share),
        ("fell_over", c.cold_overloads as f64),
        ("archive_kb", c.origin_kb),
    ]
}

/// Memory of this process now.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    line.and_then(|l| l.split_whitespace().nth(1))
        .and_then(|n| n.parse::<f64>().ok())
        .map_or(f64::NAN, |kb| kb / 1024.0)
}

fn row(f: &RunMetrics) -> Row {
    let asked: u64 = f.classes.iter().map(|c| c.requests).sum();
    let own = [
        ("worth", f.weighted_in_time_share),
        ("worth_with_late", f.weighted_answered_share),
        ("asked", asked as f64),
        ("served", f.served as f64),
        ("refused", f.rejected as f64),
        ("failed", f.failed as f64),
        ("attempts", f.attempts as f64),
        ("decisions", f.decisions as f64),
        ("p50_ms", f.latency_p50_ms),
        ("p99_ms", f.latency_p99_ms),
        ("rules_broken", f.violations.values().map(|b| b.0).sum::<u64>() as f64),
        (
            "changes_ended",
            f.change_states.iter().filter(|s| s.state == basaltgw_hierarchy::ChangeState::Completed).count()
                as f64,
        ),
        ("settled", f64::from(u8::from(f.all_changes_completed()))),
        ("plans_refused", f.rejected_plans.len() as f64),
    ];
    own.into_iter().chain(of_counts(&f.counts)).map(|(name, value)| (name.to_string(), value)).collect()
}

/// Whether something holds among the runs of one size; and in words.
pub fn held(must: &Must, runs: &[&Done]) -> Result<(bool, String), String> {
    let of = |variant: Variant| -> Result<f64, String> {
        let run =
            runs.iter().find(|d| d.variant == variant).ok_or_else(|| format!("no run {}", variant.name()))?;
        let known = || run.row.keys().cloned().collect::<Vec<_>>().join(", ");
        run.row
            .get(&must.figure)
            .copied()
            .ok_or_else(|| format!("unknown figure {}; known: {}", must.figure, known()))
    };
    let value = of(must.run)?;
    let unit = must.times_of.map(of).transpose()?.unwrap_or(1.0);
    let bounds = [
        must.is.map(|b| (value == b * unit, format!("is {}", b * unit))),
        must.at_least.map(|b| (value >= b * unit, format!("at least {:.4}", b * unit))),
        must.at_most.map(|b| (value <= b * unit, format!("at most {:.4}", b * unit))),
    ];
    let bounds: Vec<(bool, String)> = bounds.into_iter().flatten().collect();
    let good = bounds.iter().all(|b| b.0);
    let wanted: Vec<String> = bounds.into_iter().map(|b| b.1).collect();
    let routers = runs.first().map_or(0, |d| d.routers);
    let line =
        format!("{routers} routers, {}: {} {value:.4}, {}", must.run.name(), must.figure, wanted.join(", "));
    Ok((good, line))
}

/// Plays all runs of an experiment.
pub fn all(
    experiment: &Experiment,
    quick: bool,
    seed: u64,
    mut told: impl FnMut(&Done),
) -> Result<Vec<Done>, String> {
    let scales: Vec<usize> = match experiment.scales.is_empty() {
        true => vec![1],
        false => experiment.scales.iter().filter(|s| !(quick && s.full)).map(|s| s.times).collect(),
    };
    let mut done = Vec::new();
    for times in scales {
        for variant in &experiment.runs {
            let setup = experiment.setup(*variant, times, seed);
            let one = match experiment.on {
                On::Simulated => play(&setup, *variant)?,
                On::Sockets => play_on_sockets(&setup, *variant)?,
                On::Fleet => return Err("an experiment on a fleet has another form".into()),
            };
            told(&one);
            done.push(one);
        }
    }
    Ok(done)
}
