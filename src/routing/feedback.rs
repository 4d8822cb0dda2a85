//! How an outcome changes the concurrency limits of the cache, the source and the zone's link.
//!
//! Inputs: the outcome of an attempt with its latency in milliseconds, its fill report and the probability
//! that it needed a fill. A failure counts against the server that caused it: what a parent's origin did
//! counts against the origin, so that the parent's own copies stay available. `weight_penalty` evaluates the
//! same outcomes for the servers' weights, `outlier_ejection` for their health.

use super::concurrency_limit::{CONGESTION_FACTOR, TIMEOUT_FACTOR};
use super::endpoints::ServerIndex;
use super::request::FinishedAttempt;
use super::Router;
use crate::api::*;
use crate::averages::{sorted, SAMPLE_WEIGHT};

/// Mean latency ratio above which a cache counts as congested.
const CACHE_RATIO_THRESHOLD: f64 = 3.0;
/// Mean latency ratio above which the link counts as congested. A class with a lower stretch of its latency
/// objective lowers the threshold to that, since slower responses are late.
const LINK_RATIO_THRESHOLD: f64 = 2.0;
/// Share of its class's latency objective that a hit is assumed to take at an idle cache.
const HIT_OBJECTIVE_SHARE: f64 = 0.5;

impl Router {
    /// Updates the limits of the servers and the link that an attempt used, the weight penalties, and its
    /// class's share of fills. `in_flight` is the number of attempts at its server, including itself.
    pub(super) fn record_feedback(&mut self, attempt: &FinishedAttempt, in_flight: f64, outcome: &Outcome) {
        self.record_durations(attempt, outcome);
        if let Some(source) = attempt.route.source {
            self.record_source_feedback(source, outcome);
        }
        self.adjust_penalties(attempt, outcome);
        let is_edge = self.endpoints.is_edge(attempt.route.server);
        // A request that is executed at the origin measures its execution, not the link.
        if !is_edge && self.requests[attempt.request].rank == Rank::None {
            return;
        }
        if is_edge {
            self.statistics.record_fill(attempt.class, outcome);
        }
        // A response without a body does not show how fast a body would have been sent.
        if outcome.result == AttemptResult::Served && !outcome.body_complete {
            return;
        }
        match (outcome.result, outcome.fill_report) {
            (AttemptResult::Served, FillReport::Hit) if is_edge => {
                self.record_hit_latency(attempt, in_flight, outcome);
            }
            (
                AttemptResult::Served,
                FillReport::Hit | FillReport::FilledBySource | FillReport::FilledByOrigin,
            ) => self.record_fill_latency(attempt, outcome),
            // A timeout of an attempt that certainly needs a fill counts against the link.
            (AttemptResult::TimedOut, _) if attempt.fill_probability >= 1.0 => {
                let fills = self.expected_link_fills();
                self.zone_link.decrease(self.now, fills, CONGESTION_FACTOR);
            }
            (AttemptResult::Rejected, FillReport::NotReported) => {
                let limit = &mut self.endpoints[attempt.route.server].limit;
                limit.decrease(self.now, in_flight, CONGESTION_FACTOR);
            }
            _ => {}
        }
    }

    /// Adds the time that an attempt was in flight at its server, over the link, at its source and at the
    /// origin.
    fn record_durations(&mut self, attempt: &FinishedAttempt, outcome: &Outcome) {
        let fill_share = match outcome.fill_report {
            FillReport::Hit | FillReport::Stale | FillReport::Joined | FillReport::LoopDetected => 0.0,
            FillReport::NotReported => attempt.fill_probability,
            _ => 1.0,
        };
        let (now, latency) = (self.now, outcome.latency);
        self.endpoints[attempt.route.server].limit.record_duration(now, latency);
        self.zone_link.record_duration(now, latency * fill_share);
        let Some(source) = attempt.route.source else { return };
        self.endpoints[source].limit.record_duration(now, latency * fill_share);
        let origin_share = if self.reached_origin(source, outcome) {
            1.0
        } else if outcome.fill_report == FillReport::NotReported {
            self.statistics.origin_fill_share.get().unwrap_or(1.0)
        } else {
            0.0
        };
        if let Some(origin) = self.endpoints.origin().filter(|origin| *origin != source) {
            self.endpoints[origin].limit.record_duration(now, latency * fill_share * origin_share);
        }
    }

    /// Whether a fill timed out at a source that has responded to other attempts since, so that the origin
    /// delayed the fill.
    fn delayed_by_origin(&self, source: ServerIndex, outcome: &Outcome) -> bool {
        outcome.fill_report == FillReport::SourceFailed
            && self.endpoints[source].outlier.silent_since > self.now - outcome.latency
    }

    /// Whether a fill from a source was passed on to the origin.
    fn reached_origin(&self, source: ServerIndex, outcome: &Outcome) -> bool {
        self.delayed_by_origin(source, outcome)
            || matches!(outcome.fill_report, FillReport::FilledByOrigin | FillReport::OriginFailed)
    }

    /// Updates the limit of the source, or of the origin where the fill reached it.
    fn record_source_feedback(&mut self, source: ServerIndex, outcome: &Outcome) {
        let now = self.now;
        let delayed_by_origin = self.delayed_by_origin(source, outcome);
        let reached_origin = self.reached_origin(source, outcome);
        let responsible = self.endpoints.origin().filter(|_| reached_origin).unwrap_or(source);
        let fills = self.expected_fills_from(responsible) + 1.0;
        let limit = &mut self.endpoints[responsible].limit;
        match outcome.fill_report {
            FillReport::FilledBySource | FillReport::FilledByOrigin => limit.increase(now, fills),
            FillReport::OriginFailed if outcome.result != AttemptResult::Rejected => {
                limit.decrease(now, fills, TIMEOUT_FACTOR);
            }
            FillReport::SourceFailed if delayed_by_origin => limit.decrease(now, fills, TIMEOUT_FACTOR),
            FillReport::SourceRejected | FillReport::OriginFailed => {
                limit.decrease(now, fills, CONGESTION_FACTOR);
            }
            _ => {}
        }
        if reached_origin || outcome.fill_report == FillReport::FilledBySource {
            self.statistics.origin_fill_share.add(f64::from(u8::from(reached_origin)), SAMPLE_WEIGHT);
        }
    }

    /// Updates a cache's limit by the latency of a hit.
    fn record_hit_latency(&mut self, attempt: &FinishedAttempt, in_flight: f64, outcome: &Outcome) {
        let ratio_log = self.latency_ratio_log(attempt.request, outcome.latency - outcome.source_wait);
        // The sending time of an object is its shortest one, which is too long if the router started under
        // overload. The latency objective shows the overload in that case.
        let hit_latency_log = &mut self.statistics.class_mut(attempt.class).hit_latency_log;
        hit_latency_log.add(outcome.latency.max(1.0).ln(), SAMPLE_WEIGHT);
        let objective = HIT_OBJECTIVE_SHARE * self.settings.classes[attempt.class.0].latency_objective;
        let mean_log = hit_latency_log.get().filter(|_| objective > 0.0);
        let objective_ratio_log = mean_log.map(|mean_log| mean_log - objective.ln());
        if self.statistics.sending_time(&self.requests[attempt.request].request).is_some() {
            let ratio_log = ratio_log.max(objective_ratio_log.unwrap_or(ratio_log));
            let limit = &mut self.endpoints[attempt.route.server].limit;
            limit.record_latency(self.now, ratio_log, CACHE_RATIO_THRESHOLD, in_flight);
        }
    }

    /// Updates the link's limit by the latency of a fill.
    fn record_fill_latency(&mut self, attempt: &FinishedAttempt, outcome: &Outcome) {
        let ratio_log = self.latency_ratio_log(attempt.request, outcome.latency - outcome.source_wait);
        // Where the cache's hits are slower than those of its zone's median cache, the cache is the cause of
        // the difference and not the link.
        let cache_ratio_log = self.endpoints[attempt.route.server].limit.mean_latency_ratio_log();
        let cache_excess = cache_ratio_log
            .zip(self.median_hit_ratio_log())
            .map_or(0.0, |(cache, median)| (cache - median).max(0.0));
        let cacheable = self.settings.classes.iter().filter(|class| !class.uncacheable);
        let stretches = cacheable.map(|class| class.latency_objective_stretch);
        let threshold = stretches.filter(|stretch| *stretch > 1.0).fold(LINK_RATIO_THRESHOLD, f64::min);
        let fills = self.expected_link_fills();
        self.zone_link.record_latency(self.now, ratio_log - cache_excess, threshold, fills);
    }

    /// The median of the mean latency ratios of hits, as a logarithm, over the zone's caches.
    fn median_hit_ratio_log(&self) -> Option<f64> {
        let caches = self.endpoints.up(Role::Edge).iter();
        let ratios =
            sorted(caches.filter_map(|server| self.endpoints[*server].limit.mean_latency_ratio_log()));
        ratios.get(ratios.len() / 2).copied()
    }
}
