//! The figures of a run, by the names under which they leave the process.

use super::NOT_REACHED;
use crate::rig::faults::FaultKind;
use crate::rig::history::TimedEvent;
use crate::rig::load::LoadStatistics;
use crate::rig::{Event, HistoryCounts, LinkStatistics, Outcome, RequestKind, Rig, Rule, Violation};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};

/// Figures by name.
type Figures = BTreeMap<String, f64>;

/// Prefixes of the router counters that are added up over all routers.
const SUMMED_COUNTERS: [&str; 7] =
    ["holds_", "peers_", "table_", "gather_", "storage_", "rosters_", "shards_"];
/// Longer latencies are recorded as this one, in milliseconds.
const MAX_LATENCY_MS: u64 = 600_000;
/// The significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

fn named<const N: usize>(figures: [(&str, u64); N]) -> Figures {
    figures.map(|(name, value)| (name.to_string(), value as f64)).into()
}

pub(super) fn history_figures(counts: &HistoryCounts, violations: &[Violation]) -> Figures {
    let mut figures = named([
        ("asked", counts.requests),
        ("served", counts.served),
        ("refused", counts.rejected),
        ("refused_apart", counts.rejected_while_isolated),
        ("failed", counts.failed),
        ("lost", counts.lost),
        ("checkouts", counts.checkouts),
        ("presented_again", counts.checkouts_presented_again),
        ("served_by_more", counts.served_by_several_routers),
        ("ran", counts.executed),
        ("ran_again", counts.executed_more_than_once),
        ("ran_again_resent", counts.executed_again_after_resend),
        ("purged_reads", counts.reads_after_purge),
        ("rules_broken", violations.len() as u64),
    ]);
    for rule in Rule::ALL {
        let count = violations.iter().filter(|violation| violation.rule == rule).count();
        figures.insert(format!("broken_{}", rule.figure_name()), count as f64);
    }
    figures
}

pub(super) fn load_figures(load: &LoadStatistics) -> Figures {
    named([
        ("again_unheard", load.resent_without_response),
        ("again_refused", load.resent_after_rejection),
        ("not_asked", load.not_sent),
        ("generator_late_ms", load.max_delay_ms),
    ])
}

pub(super) fn link_figures(links: &LinkStatistics) -> Figures {
    named([
        ("link_bytes", links.delivered_bytes),
        ("link_dropped_bytes", links.dropped_bytes),
        ("link_broken_pieces", links.corrupted_chunks),
        ("link_repeated_pieces", links.duplicated_chunks),
        ("link_resets", links.resets),
        ("link_held_pieces", links.delayed_by_cut),
    ])
}

/// The number of faults of each kind, and of all that were injected.
pub(super) fn fault_figures(faults: &BTreeMap<&'static str, u64>) -> Figures {
    let mut figures: Figures = FaultKind::ALL.map(|kind| (format!("faults_{}", kind.name()), 0.0)).into();
    figures.extend(faults.iter().map(|(name, count)| (format!("faults_{name}"), *count as f64)));
    let injected = faults.iter().filter(|(name, _)| **name != NOT_REACHED);
    figures.insert("faults".into(), injected.map(|(_, count)| *count as f64).sum());
    figures
}

/// The counters of the control plane, added up over all routers.
pub(super) fn router_figures(rig: &Rig) -> Figures {
    let mut figures = Figures::new();
    for (name, value) in (0..rig.len()).flat_map(|router| rig.counters(router)) {
        if SUMMED_COUNTERS.iter().any(|prefix| name.starts_with(prefix)) {
            *figures.entry(format!("routers_{name}")).or_insert(0.0) += value;
        }
    }
    figures
}

/// The median and the 99th percentile of the latencies of served reads and checkouts, in milliseconds.
pub(super) fn latency_figures(rig: &Rig) -> Figures {
    let (events, _) = rig.history.events();
    let mut figures = Figures::new();
    for (name, reads) in [("read", true), ("checkout", false)] {
        let [p50, p99] = latency_percentiles(&events, reads);
        figures.insert(format!("{name}_p50_ms"), p50);
        figures.insert(format!("{name}_p99_ms"), p99);
    }
    figures
}

/// The 50th and the 99th percentile of the latencies of served reads or checkouts, in milliseconds.
fn latency_percentiles(events: &[TimedEvent], reads: bool) -> [f64; 2] {
    let Ok(mut latencies) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS) else {
        return [f64::NAN; 2];
    };
    let mut sent_at = BTreeMap::new();
    for TimedEvent { at_ms, event } in events {
        match event {
            Event::RequestSent { request, kind, .. } if matches!(kind, RequestKind::Read { .. }) == reads => {
                sent_at.insert(*request, *at_ms);
            }
            Event::ResponseReceived { request, outcome: Outcome::Served(_) } => {
                if let Some(sent_at) = sent_at.get(request) {
                    // The histogram begins at 1, so latencies are recorded with 1 added.
                    latencies.saturating_record(at_ms - sent_at + 1);
                }
            }
            _ => {}
        }
    }
    [0.5, 0.99].map(|quantile| latencies.value_at_quantile(quantile).saturating_sub(1) as f64)
}

/// For each second of the run: checkouts that were first presented in it, and how many of these were served in the end.
pub(super) fn served_by_second(rig: &Rig, start_ms: u64, duration_ms: f64) -> Vec<(f64, f64)> {
    let (events, _) = rig.history.events();
    let (mut first_presented, mut ids, mut served) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
    for TimedEvent { at_ms, event } in &events {
        match event {
            Event::RequestSent { request, id, kind: RequestKind::Checkout, .. } => {
                first_presented.entry(id).or_insert(*at_ms);
                ids.insert(*request, id);
            }
            Event::ResponseReceived { request, outcome: Outcome::Served(_) } => {
                served.extend(ids.get(request).copied());
            }
            _ => {}
        }
    }
    let mut seconds = vec![(0.0, 0.0); (duration_ms / 1000.0).ceil() as usize];
    for (id, at_ms) in first_presented {
        if let Some((presented, served_in_the_end)) =
            seconds.get_mut((at_ms.saturating_sub(start_ms) / 1000) as usize)
        {
            *presented += 1.0;
            *served_in_the_end += f64::from(u8::from(served.contains(id)));
        }
    }
    seconds
}
