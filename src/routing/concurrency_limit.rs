//! How many requests a cache, a source and the zone's link take at once.
//!
//! A limit follows additive increase, multiplicative decrease. Inputs: requests in flight (expected fills
//! for a source and the link), their mean over a time window, and the latency ratio of responses: the time
//! that a response took over the sending time of its object, as a logarithm. There is no limit until the
//! first congestion: high latency, a rejection or a timeout. Where a router has few requests in flight
//! itself, its peers are assumed to have as many, and the limit applies to the mean number in flight, which
//! may be below one. `feedback` records the outcomes.

use super::endpoints::ServerIndex;
use super::request::Attempt;
use super::Router;
use crate::api::*;
use crate::averages::{DecayingRate, MovingAverage};

/// Weight of a sample in the mean latency ratio.
const RATIO_SAMPLE_WEIGHT: f64 = 0.1;
/// Factor by which congestion decreases a limit.
pub(super) const CONGESTION_FACTOR: f64 = 0.9;
/// Factor by which a timeout decreases a limit: work for the request was wasted.
pub(super) const TIMEOUT_FACTOR: f64 = 0.5;
/// Least time between two decreases.
const DECREASE_INTERVAL_MS: Ms = 150.0;
/// Least limit after a decrease while many requests are in flight. A limit below it applies to the mean
/// number in flight.
const MIN_LIMIT: f64 = 4.0;
/// Requests in flight, of all routers, below which the routers are not the cause of latency. A router that
/// has this number in flight itself has many, one with fewer has few.
const MIN_IN_FLIGHT_FOR_CONGESTION: f64 = 6.0;
/// Time constant of the mean number in flight and of the sample rate.
const IN_FLIGHT_WINDOW_MS: Ms = 1000.0;
/// Least number of responses between two decreases where few requests are in flight.
const MIN_RESPONSES: u32 = 3;
/// Time constant with which the mean latency ratio follows the responses where they are rare.
const SPARSE_WINDOW_MS: Ms = 1500.0;
/// Exponent of the latency threshold where responses are so few that the mean needs longer than
/// `SPARSE_WINDOW_MS`: a lower threshold finds congestion with fewer responses.
const SPARSE_THRESHOLD_EXPONENT: f64 = 0.75;
/// Least limit after a decrease while few requests are in flight, so that the limit applies to their mean
/// number.
const MIN_MEAN_LIMIT: f64 = 0.1;
/// Largest increase by one response, as a share of the limit.
const MAX_RELATIVE_INCREASE: f64 = 0.1;
/// A limit changes only while at least this share of it is used.
const MIN_UTILIZATION: f64 = 0.7;
/// A class whose mean sending time is below this share of the longest class's may exceed limits by a factor:
/// its responses have more priority weight for the same capacity.
const SHORT_CLASS_SHARE: f64 = 0.5;
/// Factor by which a class with a short sending time may exceed limits.
const SHORT_CLASS_HEADROOM: f64 = 1.5;

/// A limit on requests or fills in flight.
pub(super) struct ConcurrencyLimit {
    limit: f64,
    last_decrease_at: Ms,
    responses_since_decrease: u32,
    mean_latency_ratio_log: MovingAverage,
    last_sample_at: Ms,
    /// Samples per millisecond, each with its weight in the mean.
    sample_rate: DecayingRate,
    /// Mean number of requests in flight: the sum of their durations, divided by the time.
    mean_in_flight: DecayingRate,
    /// Number of routers that share the cache, the source or the link.
    senders: f64,
}

impl ConcurrencyLimit {
    /// A limit that is infinite until the first congestion, on what `senders` routers share.
    pub fn new(now: Ms, senders: usize) -> Self {
        Self {
            limit: f64::INFINITY,
            last_decrease_at: f64::NEG_INFINITY,
            responses_since_decrease: 0,
            mean_latency_ratio_log: MovingAverage::default(),
            last_sample_at: now,
            sample_rate: DecayingRate::new(now, IN_FLIGHT_WINDOW_MS),
            mean_in_flight: DecayingRate::new(now, IN_FLIGHT_WINDOW_MS),
            senders: senders as f64,
        }
    }

    /// Number of routers that share the cache, the source or the link.
    pub fn senders(&self) -> f64 {
        self.senders
    }

    /// Whether the limit is at least one request.
    pub fn is_at_least_one(&self) -> bool {
        self.limit >= 1.0
    }

    /// The mean latency ratio, as a logarithm, if there is a sample.
    pub fn mean_latency_ratio_log(&self) -> Option<f64> {
        self.mean_latency_ratio_log.get()
    }

    /// Whether one more request is admitted: with it, the number in flight is within the limit, or the limit
    /// is below `MIN_LIMIT` and the mean number in flight is within it.
    pub fn permits(&self, now: Ms, in_flight: f64, headroom_factor: f64) -> bool {
        let mean = self.mean_in_flight.rate(now);
        in_flight + 1.0 <= self.limit * headroom_factor
            || (self.limit < MIN_LIMIT && mean <= self.limit * headroom_factor)
    }

    /// Adds the time in milliseconds that a request was in flight.
    pub fn record_duration(&mut self, now: Ms, duration: Ms) {
        self.mean_in_flight.add(now, duration);
    }

    /// Adds the latency ratio of a response, as a logarithm, and changes the limit: down while the mean ratio
    /// is above the threshold, else up.
    pub fn record_latency(&mut self, now: Ms, ratio_log: f64, threshold: f64, in_flight: f64) {
        // Where responses are rare, one moves the mean by as much as the time since the last one decays it.
        let elapsed_weight = 1.0 - ((self.last_sample_at - now) / SPARSE_WINDOW_MS).exp();
        self.mean_latency_ratio_log.add(ratio_log, RATIO_SAMPLE_WEIGHT.max(elapsed_weight));
        self.last_sample_at = now;
        self.sample_rate.add(now, RATIO_SAMPLE_WEIGHT);
        let sparse =
            in_flight < MIN_IN_FLIGHT_FOR_CONGESTION && self.sample_rate.rate(now) * SPARSE_WINDOW_MS < 1.0;
        let threshold_log = if sparse { SPARSE_THRESHOLD_EXPONENT * threshold.ln() } else { threshold.ln() };
        if self.mean_latency_ratio_log.get().is_some_and(|mean| mean > threshold_log) {
            self.decrease(now, in_flight, CONGESTION_FACTOR);
        } else {
            self.increase(now, in_flight);
        }
    }

    /// Increases the limit by about one in each round of responses, if it is used.
    pub fn increase(&mut self, now: Ms, in_flight: f64) {
        self.responses_since_decrease += 1;
        if in_flight.max(self.mean_in_flight.rate(now)) >= MIN_UTILIZATION * self.limit {
            self.limit += (1.0 / self.limit).min(self.limit * MAX_RELATIVE_INCREASE);
        }
    }

    /// Sets the limit to `factor` times the smaller of itself and the requests in flight (their mean number
    /// where few are in flight), but not below the least limit; at most once in each interval, and only if
    /// the limit is used and the routers' requests can be the cause of the congestion.
    pub fn decrease(&mut self, now: Ms, in_flight: f64, factor: f64) {
        self.responses_since_decrease += 1;
        let mean = self.mean_in_flight.rate(now);
        let many_in_flight = in_flight >= MIN_IN_FLIGHT_FOR_CONGESTION;
        let used = self.limit.is_infinite() || in_flight.max(mean) >= MIN_UTILIZATION * self.limit;
        let is_cause = many_in_flight
            || (self.responses_since_decrease >= MIN_RESPONSES
                && mean * self.senders >= MIN_IN_FLIGHT_FOR_CONGESTION);
        if used && is_cause && now - self.last_decrease_at >= DECREASE_INTERVAL_MS {
            let (min_limit, in_use) =
                if many_in_flight { (MIN_LIMIT, in_flight) } else { (MIN_MEAN_LIMIT, mean) };
            self.limit = (self.limit.min(in_use) * factor).max(min_limit);
            (self.last_decrease_at, self.responses_since_decrease) = (now, 0);
        }
    }
}

impl Router {
    /// The factor by which a class may exceed limits.
    pub(super) fn headroom_factor(&self, class: ClassId) -> f64 {
        let longest = self.statistics.longest_mean_sending_time();
        if self.statistics.mean_sending_time(class) < SHORT_CLASS_SHARE * longest {
            SHORT_CLASS_HEADROOM
        } else {
            1.0
        }
    }

    /// Whether a cache takes one more request.
    pub(super) fn permits_request(&self, server: ServerIndex, headroom_factor: f64) -> bool {
        let server = &self.endpoints[server];
        server.limit.permits(self.now, server.in_flight as f64, headroom_factor)
    }

    /// Whether a source takes one more fill.
    pub(super) fn permits_fill(&self, source: ServerIndex, headroom_factor: f64) -> bool {
        let fills = self.expected_fills_from(source);
        self.endpoints[source].limit.permits(self.now, fills, headroom_factor)
    }

    /// Whether the zone's link takes one more fill.
    pub(super) fn link_permits_fill(&self, headroom_factor: f64) -> bool {
        self.zone_link.permits(self.now, self.expected_link_fills(), headroom_factor)
    }

    /// Whether the origin admits a fill. While its limit is below one, it gets one fill at a time, because it
    /// reports nothing about a fill in progress.
    pub(super) fn origin_admits_fill(&self, origin: ServerIndex) -> bool {
        let busy = || self.requests.iter().any(|pending| pending.may_fill_from_origin());
        self.endpoints[origin].limit.is_at_least_one() || !busy()
    }

    /// Expected number of fills in progress over the zone's link.
    pub(super) fn expected_link_fills(&self) -> f64 {
        self.requests.in_flight().map(|attempt| attempt.fill_probability).sum()
    }

    /// Expected number of fills in progress from a source; from the origin also those that reach it through
    /// parents.
    pub(super) fn expected_fills_from(&self, source: ServerIndex) -> f64 {
        let is_origin = self.endpoints[source].entry.role == Role::Origin;
        let origin_share =
            if is_origin { self.statistics.origin_fill_share.get().unwrap_or(1.0) } else { 0.0 };
        let expected = |attempt: &Attempt| {
            let route = &attempt.route;
            if route.server == source || route.source == Some(source) {
                attempt.fill_probability
            } else if route.cached_only || route.source.is_none() {
                0.0
            } else {
                attempt.fill_probability * origin_share
            }
        };
        self.requests.in_flight().map(expected).sum()
    }
}
