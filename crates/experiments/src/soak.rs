//! The soak experiment (`on: soak`): routers as processes, faults drawn from a seed, judged by the rules and by invariants.

mod draw;

use crate::experiment::{is_of_form, text_of};
use crate::out::Origin;
use crate::runs::binary;
use basaltgw_config::yaml::{compile_schema, Document, YamlError};
use basaltgw_emulator::{run_soak, SoakReport, SocketRunMetrics};
use basaltgw_simulator::spec::{FleetSpec, LoadSpec};
use serde::Deserialize;
use std::fmt::Write;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// How much is played.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Zones.
    pub zones: usize,
    /// Routers in each.
    pub routers_per_zone: usize,
    /// How long requests come in.
    pub length_ms: f64,
    /// Groups of faults at about the same time.
    pub groups: usize,
    /// Faults of nodes by the model's script.
    pub moments: usize,
}

/// The experiment's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    #[allow(dead_code)] // Read before the rest, to tell the form of the file.
    on: String,
    seed: u64,
    quick: Size,
    full: Size,
    fleet: FleetSpec,
    load: LoadSpec,
}

/// The one that the program brings along.
pub const OWN: (&str, &str) = ("soak", include_str!("../experiments/soak.yaml"));

/// A run's generator may be so late before the run tells of the machine and not of the routers.
const LATE_MS: f64 = 100.0;
/// Of the answers so many may go unjudged since the harness was late, as a share.
const UNJUDGED_MOST: f64 = 0.02;

/// Whether it is of this form.
pub fn is(name: &str) -> bool {
    is_of_form(OWN, name, "soak")
}

/// Reads it, by its name or its file.
pub fn find(name: &str) -> Result<(Experiment, String), YamlError> {
    let text = text_of(OWN, name).unwrap_or_default();
    let document = Document::parse(name, &text, &compile_schema("{}"))?;
    Ok((document.deserialize()?, text))
}

/// What is asked for.
pub struct Asked<'a> {
    /// The short form.
    pub quick: bool,
    /// One seed instead of the file's.
    pub seed: Option<u64>,
    /// Many seeds instead of one.
    pub seeds: Option<RangeInclusive<u64>>,
    /// So many seeds side by side.
    pub jobs: usize,
    /// Another router program than the one beside this one.
    pub router: Option<PathBuf>,
    /// Where a table is kept.
    pub out: Option<&'a Path>,
}

/// What came of a seed.
struct Played {
    seed: u64,
    sockets: SocketRunMetrics,
    report: SoakReport,
}

impl Played {
    /// Whether a rule or an invariant was broken.
    fn violated(&self) -> bool {
        !self.sockets.violations.is_empty() || !self.report.violations.is_empty()
    }

    /// What did not hold, in words.
    fn faults(&self) -> Vec<String> {
        let mut all: Vec<String> = Vec::new();
        for (rule, (count, first)) in &self.sockets.violations {
            all.push(format!("rule {rule:?} broken {count} times, first {first}"));
        }
        for (invariant, (count, told)) in &self.report.violations {
            all.push(format!("invariant {invariant:?} violated {count} times"));
            all.extend(told.iter().map(|t| format!("    {t}")));
        }
        let missed = self.report.untriggered();
        if !missed.is_empty() {
            all.push(format!("planned and never came about: {}", missed.join(", ")));
        }
        if self.sockets.generator_late_p99_ms > LATE_MS {
            all.push(format!(
                "the machine was late by {:.0} ms: this does not count",
                self.sockets.generator_late_p99_ms
            ));
        }
        let unjudged = self.report.unjudged as f64 / self.sockets.requests.max(1) as f64;
        if unjudged > UNJUDGED_MOST {
            all.push(format!("{:.1}% of the answers could not be judged", unjudged * 100.0));
        }
        all
    }
}

/// Plays a seed; the routers' files and logs are kept in a folder of `out` if something did not hold.
fn play_seed(
    e: &Experiment,
    quick: bool,
    seed: u64,
    binary: &Path,
    out: Option<&Path>,
) -> Result<Played, String> {
    let size = if quick { e.quick } else { e.full };
    let drawn = draw::draw(&e.fleet, &e.load, size, seed);
    let mut dir = tempfile::tempdir().map_err(|e| format!("a folder for routers: {e}"))?;
    let (sockets, report) = run_soak(&drawn.setup, &drawn.plan, &drawn.limits, binary, dir.path())?;
    let played = Played { seed, sockets, report };
    if let Some(out) = out.filter(|_| !played.faults().is_empty()) {
        let kept = out.join(format!("seed-{seed}"));
        dir.disable_cleanup(true);
        std::fs::create_dir_all(out)
            .and_then(|()| std::fs::rename(dir.path(), &kept))
            .map_err(|e| format!("{}: {e}", kept.display()))?;
        let plan: String = drawn.plan.iter().map(|p| format!("{p:?}\n")).collect();
        std::fs::write(kept.join("plan.txt"), plan).map_err(|e| format!("{}: {e}", kept.display()))?;
    }
    Ok(played)
}

fn line(p: &Played, faults: usize) -> String {
    let s = &p.sockets;
    format!(
        "  seed {:6}: {} {} requests, {} served, {} refused, {} failed, {} attempts, {} processes, {} faults, {} unjudged",
        p.seed,
        if faults == 0 { "held  " } else { "FAILED" },
        s.requests,
        s.served,
        s.rejected,
        s.failed,
        s.attempts,
        p.report.processes,
        p.report.planned.values().sum::<u64>(),
        p.report.unjudged
    )
}

fn csv(all: &[Played], origin: &Origin, quick: bool) -> String {
    let kinds: std::collections::BTreeSet<&str> =
        all.iter().flat_map(|p| p.report.triggered.keys().copied()).collect();
    let mut text =
        "seed,form,commit,cores,held,asked,served,refused,failed,attempts,processes,late_p99_ms,unjudged,\
                    rules_broken,invariants_violated"
            .to_string();
    kinds.iter().for_each(|kind| {
        let _ = write!(text, ",{kind}");
    });
    text.push('\n');
    for p in all {
        let s = &p.sockets;
        let _ = write!(
            text,
            "{},{},{},{},{},{},{},{},{},{},{},{:.1},{},{},{}",
            p.seed,
            if quick { "quick" } else { "full" },
            origin.commit,
            origin.cores,
            u8::from(p.faults().is_empty()),
            s.requests,
            s.served,
            s.rejected,
            s.failed,
            s.attempts,
            p.report.processes,
            s.generator_late_p99_ms,
            p.report.unjudged,
            s.violations.values().map(|b| b.0).sum::<u64>(),
            p.report.violations.values().map(|v| v.0).sum::<u64>(),
        );
        for kind in &kinds {
            let _ = write!(text, ",{}", p.report.triggered.get(kind).copied().unwrap_or(0));
        }
        text.push('\n');
    }
    text
}

/// Rules that a router program built with the feature `breaks` breaks on purpose, by the name that it knows each under.
const BREAKS: [&str; 8] = [
    "purge_ignored",
    "second_answer",
    "repeat_after_execution",
    "cancel_ignored",
    "close_over_request",
    "drain_ignored",
    "wall_clock",
    "stale_deadline",
];

/// Plays seeds against each deliberate break; true if each was caught by one of them at least.
pub fn play_breaks(name: &str, asked: &Asked<'_>) -> Result<bool, String> {
    let (experiment, _) = find(name).map_err(|e| e.to_string())?;
    let program =
        asked.router.clone().ok_or("--breaks: expected --router, a program with the feature `breaks`")?;
    let seeds = asked.seeds.clone().unwrap_or(1..=8);
    let mut caught = 0;
    for broken in BREAKS {
        // Routers inherit it.
        std::env::set_var("GW_BREAK", broken);
        let all: Vec<u64> = seeds.clone().collect();
        let found: Mutex<Vec<(u64, String)>> = Mutex::default();
        for some in all.chunks(asked.jobs.max(1)) {
            std::thread::scope(|scope| {
                for seed in some {
                    scope.spawn(|| {
                        let played = play_seed(&experiment, asked.quick, *seed, &program, None);
                        let violated = played.ok().filter(Played::violated);
                        let fault = violated.and_then(|p| p.faults().into_iter().next());
                        if let (Some(fault), Ok(mut found)) = (fault, found.lock()) {
                            found.push((*seed, fault));
                        }
                    });
                }
            });
            if found.lock().is_ok_and(|found| !found.is_empty()) {
                break;
            }
        }
        let found = found.into_inner().map_err(|e| e.to_string())?;
        match found.iter().min_by_key(|(seed, _)| *seed) {
            Some((seed, fault)) => {
                caught += 1;
                println!("  {broken}: caught by {} seeds, first {seed}: {fault}", found.len());
            }
            None => println!("  {broken}: NOT caught by seeds {} to {}", seeds.start(), seeds.end()),
        }
    }
    std::env::remove_var("GW_BREAK");
    println!("{name} --breaks: {caught} of {} caught", BREAKS.len());
    Ok(caught == BREAKS.len())
}

/// Plays the seeds that are asked for; true if all held.
pub fn play(name: &str, asked: &Asked<'_>, origin: fn(u64, &str) -> Origin) -> Result<bool, String> {
    let (experiment, text) = find(name).map_err(|e| e.to_string())?;
    let one = asked.seed.unwrap_or(experiment.seed);
    let seeds = asked.seeds.clone().unwrap_or(one..=one);
    let program = match &asked.router {
        Some(program) => program.clone(),
        None => binary()?,
    };
    println!("{}: {} Seeds {} to {}.", experiment.name, experiment.about, seeds.start(), seeds.end());
    let next = AtomicU64::new(*seeds.start());
    let done = Mutex::new((Vec::new(), Vec::new()));
    let worker = || loop {
        let seed = next.fetch_add(1, Ordering::SeqCst);
        if seed > *seeds.end() {
            return;
        }
        let played = play_seed(&experiment, asked.quick, seed, &program, asked.out);
        let Ok(mut done) = done.lock() else { return };
        match played {
            Ok(played) => {
                let faults = played.faults();
                println!("{}", line(&played, faults.len()));
                if !faults.is_empty() {
                    faults.iter().for_each(|f| println!("      {f}"));
                    let quick = if asked.quick { " --quick" } else { "" };
                    println!("      again: basaltgw-experiments run {name}{quick} --seed {seed}");
                }
                done.0.push(played);
            }
            Err(e) => done.1.push(format!("seed {seed}: {e}")),
        }
    };
    std::thread::scope(|scope| {
        (0..asked.jobs.max(1)).for_each(|_| {
            scope.spawn(worker);
        });
    });
    let (mut all, errors) = done.into_inner().map_err(|e| e.to_string())?;
    all.sort_by_key(|p: &Played| p.seed);
    if let Some(first) = errors.first() {
        return Err(format!("{} seeds were not played, first {first}", errors.len()));
    }
    if let Some(dir) = asked.out {
        let say = |e: std::io::Error| format!("{}: {e}", dir.display());
        std::fs::create_dir_all(dir).map_err(say)?;
        let form = if asked.quick { "quick" } else { "full" };
        let table = csv(&all, &origin(*seeds.start(), &text), asked.quick);
        std::fs::write(dir.join(format!("soak-{form}.csv")), table).map_err(say)?;
    }
    let held = all.iter().filter(|p| p.faults().is_empty()).count();
    let asked_in_all: u64 = all.iter().map(|p| p.sockets.requests).sum();
    let faults: u64 = all.iter().map(|p| p.report.planned.values().sum::<u64>()).sum();
    println!("{}: {held} of {} held; requests {asked_in_all}, faults {faults}", experiment.name, all.len());
    Ok(held == all.len())
}
