//! Runs an experiment's runs, one beside the other, and holds the figures against what must hold.

use crate::experiment::{Experiment, Must, Variant};
use basaltgw::api::{Action, Event, Ms, Settings};
use basaltgw::rules::Router;
use basaltgw_model::sim::{run, Decide, Figures, Setup};
use std::cell::Cell;
use std::collections::BTreeMap;
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

impl Decide for Timed {
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
        Box::new(Timed { router: Router::new(set, seed), spent: Rc::clone(&spent) }) as Box<dyn Decide>
    };
    let figures = run(setup, make)?;
    let mut row = row(&figures);
    row.insert("decision_us".into(), spent.get().as_secs_f64() * 1e6 / figures.decisions.max(1) as f64);
    row.insert("wall_s".into(), begun.elapsed().as_secs_f64());
    row.insert("resident_mb".into(), resident_mb());
    let seconds =
        figures.seconds.iter().map(|(asked, got)| if *asked > 0.0 { got / asked } else { f64::NAN });
    let mut words: Vec<String> = figures
        .broken
        .iter()
        .map(|(rule, (n, first))| format!("{rule:?} broken {n} times, first {first}"))
        .collect();
    words.extend(figures.refusals.iter().take(3).map(|r| format!("plan refused: {r}")));
    Ok(Done { routers, variant, row, seconds: seconds.collect(), words })
}

/// Memory of this process now.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    line.and_then(|l| l.split_whitespace().nth(1))
        .and_then(|n| n.parse::<f64>().ok())
        .map_or(f64::NAN, |kb| kb / 1024.0)
}

fn row(f: &Figures) -> Row {
    let filled: u64 = f.counts.archive.values().map(|n| u64::from(*n)).sum();
    let asked: u64 = f.classes.iter().map(|c| c.asked).sum();
    let all = [
        ("worth", f.worth),
        ("worth_with_late", f.worth_late),
        ("asked", asked as f64),
        ("served", f.served as f64),
        ("refused", f.refused as f64),
        ("failed", f.failed as f64),
        ("attempts", f.attempts as f64),
        ("decisions", f.decisions as f64),
        ("p50_ms", f.p50),
        ("p99_ms", f.p99),
        ("archive_fills", filled as f64),
        ("archive_parts", f.counts.archive.len() as f64),
        ("archive_fetched_again", f.counts.again as f64),
        ("archive_again_after_kill", f.counts.again_after_kill as f64),
        ("archive_fills_most", f.counts.archive.values().copied().max().unwrap_or(0).into()),
        ("loops_offered", f.counts.loops_offered as f64),
        ("loops_carried", f.counts.loops_carried as f64),
        ("handed_over", f.counts.handed as f64),
        ("between_nodes", f.counts.between as f64),
        ("cold_most", f.counts.cold_most),
        ("fell_over", f.counts.fell as f64),
        ("rules_broken", f.broken.values().map(|b| b.0).sum::<u64>() as f64),
        ("changes_ended", f.states.iter().filter(|s| s.3 == basaltgw_hierarchy::State::Gone).count() as f64),
        ("settled", f64::from(u8::from(f.settled()))),
        ("plans_refused", f.refusals.len() as f64),
    ];
    all.into_iter().map(|(name, value)| (name.to_string(), value)).collect()
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
            let one = play(&experiment.setup(*variant, times, seed), *variant)?;
            told(&one);
            done.push(one);
        }
    }
    Ok(done)
}
