//! The schedule of a run's faults: scripted ones, and random ones drawn from a seed.

use super::FaultKind;
use basaltgw_simulator::{draw, rng};
use serde::Deserialize;
use std::time::Duration;

/// The random stream of the faults.
const FAULT_STREAM: u64 = 9_001;
/// The duration of a scripted fault that names none.
const DEFAULT_DURATION_MS: f64 = 1_000.0;

/// A fault, its time and its parameters.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// When the fault begins, in milliseconds; later if the routers have not recovered from the previous one.
    pub at_ms: f64,
    /// The kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// The router that fails, counted from 0.
    #[serde(default)]
    pub router: usize,
    /// The other router, if the fault needs two; the next one by default.
    #[serde(rename = "other")]
    pub other_router: Option<usize>,
    /// How long the fault lasts, in milliseconds.
    #[serde(rename = "for_ms", default = "default_duration_ms")]
    pub duration_ms: f64,
    /// The new rules, if the fault changes the rules.
    pub rules: Option<String>,
    /// The rules of the second operator, for [`FaultKind::ConflictingRules`].
    #[serde(rename = "rules_other")]
    pub other_rules: Option<String>,
}

fn default_duration_ms() -> f64 {
    DEFAULT_DURATION_MS
}

impl ScheduledFault {
    /// How long the fault lasts.
    pub(super) fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration_ms.max(0.0) / 1000.0)
    }
}

/// How faults are drawn from the seed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RandomFaults {
    /// The range of the time from the end of a fault to the next one, in milliseconds.
    pub gap_ms: [f64; 2],
    /// The range of a fault's duration, in milliseconds.
    #[serde(rename = "for_ms")]
    pub duration_ms: [f64; 2],
    /// The kinds of faults. Each occurs once, in random order, before any occurs again.
    pub kinds: Vec<FaultKind>,
}

/// The scripted and random faults of a run, in order of time.
pub fn schedule(
    scripted: &[ScheduledFault],
    random: Option<&RandomFaults>,
    routers: usize,
    run_ms: f64,
    seed: u64,
) -> Vec<ScheduledFault> {
    let mut faults = scripted.to_vec();
    if let Some(random) = random.filter(|random| !random.kinds.is_empty()) {
        faults.extend(draw_faults(random, routers, run_ms, seed));
    }
    faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    faults
}

fn draw_faults(random: &RandomFaults, routers: usize, run_ms: f64, seed: u64) -> Vec<ScheduledFault> {
    let mut rng = rng(seed, FAULT_STREAM);
    let mut draw_from = |[min, max]: [f64; 2]| min + (max - min).max(0.0) * draw(&mut rng);
    let mut faults = Vec::new();
    let mut remaining_kinds = Vec::new();
    let mut at_ms = 0.0;
    loop {
        at_ms += draw_from(random.gap_ms);
        let duration_ms = draw_from(random.duration_ms);
        if at_ms + duration_ms > run_ms {
            return faults;
        }
        if remaining_kinds.is_empty() {
            remaining_kinds.clone_from(&random.kinds);
        }
        let kind = remaining_kinds.swap_remove(draw_from([0.0, remaining_kinds.len() as f64]) as usize);
        let router = draw_from([0.0, routers as f64]) as usize;
        let other = (router + 1 + draw_from([0.0, (routers - 1) as f64]) as usize) % routers;
        faults.push(ScheduledFault {
            at_ms,
            kind,
            router,
            other_router: Some(other),
            duration_ms,
            rules: None,
            other_rules: None,
        });
        at_ms += duration_ms;
    }
}
