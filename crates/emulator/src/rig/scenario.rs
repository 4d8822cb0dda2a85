//! A whole run of the rig: load, faults, purges, a last look at every promise; and its figures.

use super::faults::{schedule, FaultInjector, FaultKind, RandomFaults, ScheduledFault};
use super::load::{Load, LoadGenerator, LoadStatistics};
use super::{check_history, Event, HistoryCounts, Limits, Outcome, Rig, Rule, Spec, Violation};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// All routers have to serve within this time after their start.
const STARTED: Duration = Duration::from_secs(20);
/// Promises that are asked for again at the end; of more, the last.
const MOST_AUDITED: usize = 400;
/// Promises asked for at once.
const ROW: usize = 24;
/// How long a client of the last look waits, in milliseconds.
const AUDIT_MS: u64 = 5_000;

/// What is played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The rig.
    pub spec: Spec,
    /// What clients ask.
    pub load: Load,
    /// Milliseconds of each piece on every link between routers.
    pub link_delay_ms: (f64, f64),
    /// How long requests come in, in milliseconds.
    pub duration_ms: f64,
    /// Purges a second, told to all.
    pub purges_per_s: f64,
    /// Faults at fixed times.
    pub scripted_faults: Vec<ScheduledFault>,
    /// Faults drawn from the seed.
    pub random_faults: Option<RandomFaults>,
}

/// What came of it.
pub struct ScenarioReport {
    /// What clients saw while requests came in, faults included.
    pub counts: HistoryCounts,
    /// Rules broken, until the last look ended.
    pub violations: Vec<Violation>,
    /// Figures by name, these included.
    pub figures: BTreeMap<String, f64>,
    /// By second: checkouts presented for the first time, and those of them that were served in the end.
    pub seconds: Vec<(f64, f64)>,
    /// What did not mend.
    pub unrecovered: Vec<String>,
}

/// Plays it.
///
/// # Errors
/// If routers do not start.
pub fn run_scenario(game: &Scenario) -> Result<ScenarioReport, String> {
    let mut rig = Rig::start(game.spec.clone())?;
    for r in 0..rig.len() {
        if !rig.wait_until_serving(r, STARTED) {
            let text = rig.routers[r].log();
            return Err(format!(
                "router {r} does not serve: {}",
                text.lines().last().unwrap_or("it said nothing")
            ));
        }
    }
    rig.wait_until_bootstrapped(STARTED)?;
    rig.set_default_delay(game.link_delay_ms);
    let faults = schedule(
        &game.scripted_faults,
        game.random_faults.as_ref(),
        rig.len(),
        game.duration_ms,
        game.spec.seed,
    );
    let clients = LoadGenerator::new(&rig, &game.load);
    let stop = AtomicBool::new(false);
    let begun = rig.history.now_ms();
    let (told, done, unmended, lost) = std::thread::scope(|scope| {
        let load = scope.spawn(|| clients.run(&stop));
        let mut player = FaultInjector::new(&mut rig);
        let mut purges = 0.0;
        let mut faults = faults.iter().peekable();
        loop {
            let now = (player.rig().history.now_ms() - begun) as f64;
            if now >= game.duration_ms {
                break;
            }
            if let Some(m) = faults.next_if(|m| m.at_ms <= now) {
                player.inject(m);
                continue;
            }
            if game.purges_per_s > 0.0 && purges * 1000.0 / game.purges_per_s <= now {
                purges += 1.0;
                let object = 1 + (purges as u64 * 7) % game.load.objects.max(1);
                let all: Vec<usize> = (0..player.rig().len()).collect();
                player.rig().purge(object, &all);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let late = faults.count() as u64;
        let mut done = std::mem::take(&mut player.done);
        done.insert("not_reached", late);
        let unmended = std::mem::take(&mut player.unrecovered);
        let lost = std::mem::take(&mut player.lost);
        stop.store(true, Ordering::SeqCst);
        (load.join().unwrap_or_default(), done, unmended, lost)
    });
    let (events, left_out) = rig.history.events();
    let (before, counted) = check_history(&events, left_out, &Limits::default());
    // Without a fleet nothing was promised beyond one router, and a last look would only run effects again.
    let (audited, same, doubt) = if game.spec.fleet { audit(&rig) } else { (0, 0, 0) };
    let (events, left_out) = rig.history.events();
    let broken =
        if game.spec.fleet { check_history(&events, left_out, &Limits::default()).0 } else { before };
    let mut figures = figures(&rig, &counted, &broken, told);
    figures.extend(FaultKind::ALL.map(|what| (format!("faults_{}", what.name()), 0.0)));
    figures.extend(done.iter().map(|(name, n)| (format!("faults_{name}"), *n as f64)));
    figures.insert(
        "faults".into(),
        done.iter().filter(|(n, _)| **n != "not_reached").map(|(_, n)| *n as f64).sum(),
    );
    figures.extend(rig.of_tables(&lost));
    let other = audited - same - doubt;
    let last =
        [("audited", audited), ("audit_same", same), ("audit_in_doubt", doubt), ("audit_other", other)];
    figures.extend(last.map(|(name, n)| (name.to_string(), n as f64)));
    figures.insert("unmended".into(), unmended.len() as f64);
    let seconds = seconds(&events, begun, game.duration_ms);
    Ok(ScenarioReport { counts: counted, violations: broken, figures, seconds, unrecovered: unmended })
}

/// Asks for what was served once more, each through another router than the one that served it.
fn audit(rig: &Rig) -> (u64, u64, u64) {
    let (events, _) = rig.history.events();
    let mut asked = BTreeMap::new();
    let mut served: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
    for e in &events {
        match &e.event {
            Event::RequestSent { request: ask, router, id, kind: super::RequestKind::Checkout, .. } => {
                asked.insert(*ask, (id, *router));
            }
            Event::ResponseReceived { request: ask, outcome: Outcome::Served(bytes) } => {
                if let Some((id, router)) = asked.get(ask) {
                    served.insert((*id).clone(), (*router, bytes.clone()));
                }
            }
            _ => {}
        }
    }
    let all: Vec<_> = served.into_iter().rev().take(MOST_AUDITED).collect();
    let (mut audited, mut same, mut doubt) = (0, 0, 0);
    for row in all.chunks(ROW) {
        let callers: Vec<_> = (0..rig.len()).map(|r| rig.connect_client(r).ok()).collect();
        let asks: Vec<_> = row
            .iter()
            .filter_map(|(id, (router, bytes))| {
                let caller = callers[(router + 1) % rig.len()].as_ref()?;
                Some((caller.checkout(id, AUDIT_MS), bytes))
            })
            .collect();
        for (ask, bytes) in asks {
            audited += 1;
            match rig.history.wait_for_outcome(ask, Duration::from_millis(AUDIT_MS + 1_000)) {
                Some(Some(Outcome::Served(got))) if got == *bytes => same += 1,
                Some(Some(Outcome::Failed(_))) => doubt += 1,
                Some(Some(Outcome::Served(_) | Outcome::Rejected { .. }) | None) | None => {}
            }
        }
    }
    (audited, same, doubt)
}

fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::OneResponse => "one_answer",
        Rule::ExecutedOnce => "once",
        Rule::SameOutcome => "same_outcome",
        Rule::ServedNeverRejected => "kept_word",
        Rule::RejectedNeverExecuted => "refused_never_ran",
        Rule::Linearizable => "linearizable",
        Rule::PurgeTakesEffect => "purged",
        Rule::HistoryComplete => "whole",
    }
}

const RULES: [Rule; 8] = [
    Rule::OneResponse,
    Rule::ExecutedOnce,
    Rule::SameOutcome,
    Rule::ServedNeverRejected,
    Rule::RejectedNeverExecuted,
    Rule::Linearizable,
    Rule::PurgeTakesEffect,
    Rule::HistoryComplete,
];

fn figures(
    rig: &Rig,
    c: &HistoryCounts,
    broken: &[Violation],
    told: LoadStatistics,
) -> BTreeMap<String, f64> {
    let carried = rig.router_link_statistics();
    let own = [
        ("asked", c.requests),
        ("served", c.served),
        ("refused", c.rejected),
        ("refused_apart", c.rejected_while_isolated),
        ("failed", c.failed),
        ("lost", c.lost),
        ("checkouts", c.checkouts),
        ("presented_again", c.checkouts_presented_again),
        ("served_by_more", c.served_by_several_routers),
        ("ran", c.executed),
        ("ran_again", c.executed_more_than_once),
        ("ran_again_resent", c.executed_again_after_resend),
        ("purged_reads", c.reads_after_purge),
        ("again_unheard", told.again_unheard),
        ("again_refused", told.again_refused),
        ("not_asked", told.not_asked),
        ("generator_late_ms", told.late_most),
        ("link_bytes", carried.delivered_bytes),
        ("link_dropped_bytes", carried.dropped_bytes),
        ("link_broken_pieces", carried.corrupted_chunks),
        ("link_repeated_pieces", carried.duplicated_chunks),
        ("link_resets", carried.resets),
        ("link_held_pieces", carried.delayed_by_cut),
        ("rules_broken", broken.len() as u64),
    ];
    let mut all: BTreeMap<String, f64> = own.map(|(name, n)| (name.to_string(), n as f64)).into();
    for rule in RULES {
        let n = broken.iter().filter(|b| b.rule == rule).count();
        all.insert(format!("broken_{}", rule_name(rule)), n as f64);
    }
    let (events, _) = rig.history.events();
    for (name, reads) in [("read", true), ("checkout", false)] {
        let [p50, p99] = waits(&events, reads);
        all.insert(format!("{name}_p50_ms"), p50);
        all.insert(format!("{name}_p99_ms"), p99);
    }
    let fleet = ["holds_", "peers_", "table_", "gather_", "storage_", "rosters_", "shards_"];
    for r in 0..rig.len() {
        for (name, value) in
            rig.counters(r).into_iter().filter(|(n, _)| fleet.iter().any(|f| n.starts_with(f)))
        {
            *all.entry(format!("routers_{name}")).or_insert(0.0) += value;
        }
    }
    all
}

/// From question to answer `200`: the median and the 99th of a hundred, in milliseconds.
fn waits(events: &[super::history::TimedEvent], reads: bool) -> [f64; 2] {
    let Ok(mut waits) = Histogram::<u64>::new_with_bounds(1, 600_000, 3) else { return [f64::NAN; 2] };
    let mut asked = BTreeMap::new();
    for e in events {
        match &e.event {
            Event::RequestSent { request: ask, kind: about, .. }
                if matches!(about, super::RequestKind::Read { .. }) == reads =>
            {
                asked.insert(*ask, e.at_ms);
            }
            Event::ResponseReceived { request: ask, outcome: Outcome::Served(_) } => {
                if let Some(at) = asked.get(ask) {
                    waits.saturating_record(e.at_ms - at + 1);
                }
            }
            _ => {}
        }
    }
    [0.5, 0.99].map(|q| waits.value_at_quantile(q).saturating_sub(1) as f64)
}

fn seconds(events: &[super::history::TimedEvent], begun: u64, length_ms: f64) -> Vec<(f64, f64)> {
    let mut all = vec![(0.0, 0.0); (length_ms / 1000.0).ceil() as usize];
    let (mut first, mut ids, mut served) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
    for e in events {
        match &e.event {
            Event::RequestSent { request: ask, id, kind: super::RequestKind::Checkout, .. } => {
                first.entry(id).or_insert(e.at_ms);
                ids.insert(*ask, id);
            }
            Event::ResponseReceived { request: ask, outcome: Outcome::Served(_) } => {
                served.extend(ids.get(ask).copied())
            }
            _ => {}
        }
    }
    for (id, at) in first {
        if let Some(second) = all.get_mut((at.saturating_sub(begun) / 1000) as usize) {
            second.0 += 1.0;
            second.1 += f64::from(u8::from(served.contains(id)));
        }
    }
    all
}
