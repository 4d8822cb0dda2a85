//! How the weight of a slow server is lowered, so that it gets fewer objects.
//!
//! Inputs: latency ratios, which compare the time that a server took with the sending time of what it sent,
//! as logarithms. A server is compared with the usual ratio of its role: the median of the edge caches, the
//! lowest of the parents, which are few. Its penalty is the logarithm of the share of its listed weight that
//! it keeps. It decays over time, because a server that gets no requests has no chance to show that it has
//! recovered. The rendezvous order changes only once a penalty has moved far enough, since each change moves
//! objects.

use super::endpoints::ServerIndex;
use super::request::{FinishedAttempt, RequestIndex, Route};
use super::{Router, SWEEP_MS};
use crate::api::*;
use crate::averages::{sorted, MovingAverage};

/// Weight of a response in a server's mean latency ratio.
const RATIO_SAMPLE_WEIGHT: f64 = 0.2;
/// Largest change of a penalty by one latency ratio.
const PENALTY_STEP_LOG: f64 = 0.3;
/// A latency ratio that exceeds the usual one by less than this gives weight back to the server, one that
/// exceeds it by more takes weight away.
const TOLERATED_EXCESS_LOG: f64 = 0.25;
/// Least share of the listed weight that a server keeps.
const MIN_WEIGHT_SHARE: f64 = 0.05;
/// Difference between the present and the applied penalty above which the rendezvous order is recomputed.
const REORDER_THRESHOLD_LOG: f64 = 0.1;
/// Time constant with which penalties decay.
const DECAY_MS: Ms = 20_000.0;
/// Sending time that is assumed for an object without samples, as a share of its class's mean: most objects
/// are smaller.
const UNKNOWN_OBJECT_SHARE: f64 = 0.6;
/// An attempt in flight is reported as slow each time that its latency ratio has grown by this factor.
const SLOW_REPORT_FACTOR: f64 = 2.0;

/// The latency ratio of a server and the penalty on its weight; all values are logarithms.
#[derive(Default)]
pub(super) struct WeightPenalty {
    latency_ratio_log: MovingAverage,
    penalty_log: f64,
    /// The penalty in the current rendezvous order.
    applied_log: f64,
}

impl WeightPenalty {
    /// The mean latency ratio, if there was a response.
    pub fn latency_ratio_log(&self) -> Option<f64> {
        self.latency_ratio_log.get()
    }

    /// The present penalty, 0 or below.
    pub fn penalty_log(&self) -> f64 {
        self.penalty_log
    }

    /// The penalty in the current rendezvous order.
    pub fn applied_log(&self) -> f64 {
        self.applied_log
    }

    /// Makes the present penalty the applied one.
    pub fn apply(&mut self) {
        self.applied_log = self.penalty_log;
    }

    /// Clears the latency ratio and the penalty, not the applied one.
    pub fn reset(&mut self) {
        (self.latency_ratio_log, self.penalty_log) = (MovingAverage::default(), 0.0);
    }

    /// Takes over the values of a snapshot.
    pub fn restore(&mut self, penalty_log: f64, latency_ratio_log: Option<f64>) {
        self.penalty_log = penalty_log.clamp(MIN_WEIGHT_SHARE.ln(), 0.0);
        if let Some(ratio_log) = latency_ratio_log {
            self.latency_ratio_log = MovingAverage::from_mean(ratio_log, 1);
        }
    }

    fn adjust(&mut self, usual_log: f64, ratio_log: f64) {
        let change = PENALTY_STEP_LOG * (usual_log + TOLERATED_EXCESS_LOG - ratio_log).clamp(-1.0, 1.0);
        self.penalty_log = (self.penalty_log + change).clamp(MIN_WEIGHT_SHARE.ln(), 0.0);
    }

    fn decay(&mut self) {
        self.penalty_log *= (-SWEEP_MS / DECAY_MS).exp();
    }

    fn needs_reorder(&self) -> bool {
        (self.penalty_log - self.applied_log).abs() > REORDER_THRESHOLD_LOG
    }
}

/// An attempt in flight whose latency ratio has grown.
struct SlowAttempt {
    request: RequestIndex,
    number: AttemptNo,
    ratio_log: f64,
}

impl Router {
    /// The logarithm of the ratio between a time in milliseconds and the sending time of a request's
    /// response.
    pub(super) fn latency_ratio_log(&self, request: RequestIndex, elapsed: Ms) -> f64 {
        let pending = &self.requests[request];
        let sending_time = self
            .statistics
            .sending_time(&pending.request)
            .unwrap_or(self.statistics.mean_sending_time(pending.class) * UNKNOWN_OBJECT_SHARE);
        (elapsed.max(1.0) / sending_time.max(1.0)).ln()
    }

    /// The usual latency ratio of a role's servers.
    fn usual_ratio_log(&self, role: Role) -> Option<f64> {
        let up = self.endpoints.up(role);
        let ratios =
            sorted(up.iter().filter_map(|server| self.endpoints[*server].penalty.latency_ratio_log()));
        let position = if role == Role::Edge { ratios.len().saturating_sub(1) / 2 } else { 0 };
        ratios.get(position).copied()
    }

    /// By how much the latency ratio of a server exceeds the usual one of its role.
    fn excess_ratio_log(&self, server: ServerIndex) -> f64 {
        let server = &self.endpoints[server];
        let usual = self.usual_ratio_log(server.entry.role);
        server.penalty.latency_ratio_log().zip(usual).map_or(0.0, |(ratio, usual)| (ratio - usual).max(0.0))
    }

    /// Adjusts the penalties of the servers that an outcome measures.
    pub(super) fn adjust_penalties(&mut self, attempt: &FinishedAttempt, outcome: &Outcome) {
        let Route { server, source, .. } = attempt.route;
        // A response without a body does not show how fast a body would have been sent.
        let measured = outcome.body_complete && self.endpoints.is_edge(server);
        let ratio_log = self.latency_ratio_log(attempt.request, outcome.latency - outcome.source_wait);
        let source_excess = source.map_or(0.0, |source| self.excess_ratio_log(source));
        let server_excess = self.excess_ratio_log(server);
        match (outcome.result, outcome.fill_report, source) {
            (AttemptResult::Served, FillReport::Hit, _) if measured => {
                self.adjust_served(server, ratio_log);
            }
            (
                AttemptResult::Served,
                FillReport::FilledBySource | FillReport::FilledByOrigin,
                Some(source),
            ) if measured => {
                self.adjust_served(server, ratio_log - source_excess);
                self.adjust_served(source, ratio_log - server_excess);
            }
            (_, FillReport::SourceRejected | FillReport::SourceFailed, Some(source)) => {
                // An infinite ratio lowers the weight by the largest step.
                self.adjust_penalty(source, f64::INFINITY);
            }
            (AttemptResult::TimedOut, ..) => self.attribute_latency(&attempt.route, ratio_log),
            _ => {}
        }
    }

    /// Adjusts the penalty of a server by the latency ratio of a response.
    fn adjust_served(&mut self, server: ServerIndex, ratio_log: f64) {
        // The sample is compared with the usual ratio as it was before the sample.
        let usual_log = self.comparable_ratio_log(server, ratio_log);
        let penalty = &mut self.endpoints[server].penalty;
        penalty.latency_ratio_log.add(ratio_log, RATIO_SAMPLE_WEIGHT);
        penalty.adjust(usual_log, ratio_log);
    }

    /// Adjusts the penalty of a server by a latency ratio that was not measured on a complete response.
    fn adjust_penalty(&mut self, server: ServerIndex, ratio_log: f64) {
        let usual_log = self.comparable_ratio_log(server, ratio_log);
        self.endpoints[server].penalty.adjust(usual_log, ratio_log);
    }

    /// The usual latency ratio that a server is compared with; the sample itself while its role has none. The
    /// result is finite, so that an infinite sample moves the penalty by one step and not to NaN.
    fn comparable_ratio_log(&self, server: ServerIndex, ratio_log: f64) -> f64 {
        self.usual_ratio_log(self.endpoints[server].entry.role).unwrap_or(ratio_log).min(f64::MAX)
    }

    /// Attributes a latency ratio to the server of a route or to its source, whichever is slower than usual
    /// by more.
    fn attribute_latency(&mut self, route: &Route, ratio_log: f64) {
        let slower =
            |source: &ServerIndex| self.excess_ratio_log(*source) > self.excess_ratio_log(route.server);
        let attributed = route.source.filter(slower).unwrap_or(route.server);
        self.adjust_penalty(attributed, ratio_log);
    }

    /// Adjusts penalties by attempts that have been in flight for long, before their outcomes arrive.
    pub(super) fn penalize_slow_attempts(&mut self) {
        let mut slow = Vec::new();
        for (request, pending) in self.requests.unanswered() {
            for (number, attempt) in pending.attempts.iter().enumerate().filter(|(_, a)| !a.finished) {
                let ratio_log = self.latency_ratio_log(request, self.now - attempt.sent_at);
                let has_grown = ratio_log > attempt.reported_ratio_log + SLOW_REPORT_FACTOR.ln();
                if self.endpoints.is_edge(attempt.route.server) && has_grown {
                    slow.push(SlowAttempt { request, number: AttemptNo(number), ratio_log });
                }
            }
        }
        for SlowAttempt { request, number, ratio_log } in slow {
            let attempt = &mut self.requests[request].attempts[number.0];
            attempt.reported_ratio_log = ratio_log;
            let route = attempt.route;
            self.attribute_latency(&route, ratio_log);
        }
    }

    /// Decays all penalties and reorders the roles in which a penalty has moved far enough.
    pub(super) fn decay_penalties(&mut self) {
        self.endpoints.iter_mut().for_each(|server| server.penalty.decay());
        for role in [Role::Edge, Role::Parent] {
            let moved = |server: &ServerIndex| self.endpoints[*server].penalty.needs_reorder();
            if self.endpoints.up(role).iter().any(moved) {
                self.endpoints.reorder(role);
            }
        }
    }
}
