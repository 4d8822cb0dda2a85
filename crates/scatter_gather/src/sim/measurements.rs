//! Collects the results of a run.

use super::load::{DEADLINE_MS, LATENCY_OBJECTIVE_MS, LATE_WEIGHT_SHARE};
use super::RunResult;
use crate::api::{PartNo, Verdict};
use crate::counters::Counters;
use basaltgw_types::Ms;
use std::collections::BTreeMap;

/// Interval over which arrivals at the faulty site are counted, in milliseconds.
const LOAD_STEP_MS: Ms = 200.0;
/// Window after the fault over which the faulty site's load is averaged, in milliseconds.
const RECOVERY_WINDOW_MS: Ms = 1_000.0;
/// Window after the fault in which the peak of the faulty site's load is taken, in milliseconds.
const RECOVERY_PEAK_WINDOW_MS: Ms = 3_000.0;

/// A sum of priority weights.
#[derive(Clone, Copy, Debug, Default)]
struct WeightSum {
    all: f64,
    /// Of requests that arrived during the fault.
    in_fault: f64,
}

impl WeightSum {
    fn add(&mut self, weight: f64, in_fault: bool) {
        self.all += weight;
        self.in_fault += if in_fault { weight } else { 0.0 };
    }
}

/// A request that waits for its answer.
#[derive(Debug)]
pub struct PendingAnswer {
    /// Arrival time of the request, in milliseconds.
    pub arrived_at: Ms,
    /// Whether the request arrived during the fault.
    pub in_fault: bool,
    /// Priority weights of the requested parts.
    pub weights: BTreeMap<PartNo, f64>,
}

/// What is counted during a run.
#[derive(Debug, Default)]
pub struct Measurements {
    result: RunResult,
    requested_weight: WeightSum,
    answered_weight: WeightSum,
    answer_times: Vec<Ms>,
    requested_parts: u64,
    /// Attempts at the faulty site that were cancelled or missed the latency objective, probes excluded.
    waits_for_faulty_site: u64,
    /// Attempts that arrived at the faulty site, by intervals of [`LOAD_STEP_MS`].
    faulty_site_arrivals: Vec<u32>,
}

impl Measurements {
    pub fn record_request(&mut self, request: &PendingAnswer) {
        self.requested_weight.add(request.weights.values().sum(), request.in_fault);
        self.result.requests += 1;
        self.requested_parts += request.weights.len() as u64;
    }

    pub fn record_arrival_at_faulty_site(&mut self, now: Ms) {
        let step = (now / LOAD_STEP_MS) as usize;
        let arrivals = &mut self.faulty_site_arrivals;
        arrivals.resize(arrivals.len().max(step + 1), 0);
        arrivals[step] += 1;
    }

    pub fn record_wait_for_faulty_site(&mut self) {
        self.waits_for_faulty_site += 1;
    }

    /// Records an answer that the client receives `latency` milliseconds after its request.
    pub fn record_answer(&mut self, request: &PendingAnswer, verdict: Verdict, latency: Ms) {
        self.answer_times.push(latency);
        let used = match verdict {
            Verdict::Complete { used } => {
                self.result.complete += 1;
                used
            }
            Verdict::Partial { used, .. } => {
                self.result.partial += 1;
                used
            }
            Verdict::Rejected { .. } => {
                self.result.rejected += 1;
                return;
            }
            Verdict::Failed | Verdict::Invalid(_) => {
                self.result.failed += 1;
                return;
            }
        };
        let value = match latency {
            t if t <= LATENCY_OBJECTIVE_MS => 1.0,
            t if t <= DEADLINE_MS => LATE_WEIGHT_SHARE,
            _ => 0.0,
        };
        let weight = value * used.iter().filter_map(|part| request.weights.get(&part.part)).sum::<f64>();
        self.answered_weight.add(weight, request.in_fault);
    }

    /// The results, with the counters of each router and the start and end of the fault.
    pub fn into_result(mut self, counters: &[&Counters], fault_window: (Ms, Ms)) -> RunResult {
        let (requested, answered) = (self.requested_weight, self.answered_weight);
        let share = answered.all / requested.all.max(f64::MIN_POSITIVE);
        let in_fault = if requested.in_fault > 0.0 { answered.in_fault / requested.in_fault } else { share };
        self.answer_times.sort_by(f64::total_cmp);
        let answers = self.answer_times.len();
        let count = |of: fn(&Counters) -> u64| counters.iter().copied().map(of).sum::<u64>();
        let first_attempts = count(|c| c.first_attempts);
        let attempts = first_attempts + count(|c| c.retries + c.hedges + c.probes);
        let (recovery_load, recovery_peak_load) = self.recovery_loads(fault_window);
        RunResult {
            answered_weight_share: share,
            answered_weight_share_in_fault: in_fault,
            mean_ms: self.answer_times.iter().sum::<f64>() / answers.max(1) as f64,
            p99_ms: self.answer_times.get(answers * 99 / 100).copied().unwrap_or(0.0),
            probes: count(|c| c.probes),
            attempts_per_part: attempts as f64 / self.requested_parts.max(1) as f64,
            hedge_share: count(|c| c.hedges) as f64 / first_attempts.max(1) as f64,
            waits_for_faulty_site: self.waits_for_faulty_site as f64 / counters.len() as f64,
            recovery_load,
            recovery_peak_load,
            ..self.result
        }
    }

    /// Mean and peak load of the faulty site after the fault, over its mean before the fault.
    fn recovery_loads(&self, (begin, end): (Ms, Ms)) -> (f64, f64) {
        let arrivals = |from: Ms, to: Ms| {
            let (skipped, taken) = ((from / LOAD_STEP_MS) as usize, (to / LOAD_STEP_MS) as usize);
            self.faulty_site_arrivals.iter().take(taken).skip(skipped)
        };
        let before: u32 = arrivals(begin / 2.0, begin).sum();
        let usual = f64::from(before) / ((begin / 2.0) / LOAD_STEP_MS).max(1.0);
        let peak = arrivals(end, end + RECOVERY_PEAK_WINDOW_MS).max().copied().unwrap_or(0);
        let after: u32 = arrivals(end, end + RECOVERY_WINDOW_MS).sum();
        let mean = f64::from(after) / (usual * RECOVERY_WINDOW_MS / LOAD_STEP_MS).max(1.0);
        (mean, f64::from(peak) / usual.max(1.0))
    }
}
