//! The cost of an attempt in slow start: the mean sending time of its class, estimated high while few
//! responses are known.
//!
//! Inputs: latencies and sending times of attempts in milliseconds. Short responses are known first, so that
//! a mean of the responses so far is too low while many requests are open: shortly after the router's start,
//! in a burst, and where clients give up before a long response is complete. The estimate therefore counts
//! open and abandoned attempts as well, each as one that takes longer than it has taken so far (the
//! product-limit estimator of Kaplan and Meier). What no response tells of them counts as the class's
//! deadline. A cost that is too low would let a warming server be sent more than its budget.

use crate::api::{AttemptResult, ClassId, Ms, Outcome, Request};
use crate::routing::endpoints::ServerIndex;
use crate::routing::request::FinishedAttempt;
use crate::routing::statistics::Statistics;
use crate::routing::Router;

#[cfg(test)]
mod tests;

/// Number of ended attempts at which the weight of earlier ones is halved, so that the estimate follows a
/// changing mix.
const MAX_SAMPLES: f64 = 1_000.0;
/// As [`MAX_SAMPLES`], as a multiple of the open attempts: with fewer ended ones, the open ones would count
/// too much.
const MAX_SAMPLES_PER_OPEN: f64 = 16.0;
/// Standard errors that are added to the mean; the budget's own tolerance covers the rest.
const ADDED_STANDARD_ERRORS: f64 = 0.5;
/// Ratio of the latencies at the ends of a bucket.
const BUCKET_RATIO: f64 = 1.05;
/// Number of buckets. The first begins at 1 ms, the last at about 20 minutes.
const BUCKETS: usize = 288;

/// Ended attempts whose latencies are in one bucket. Counts are weighted.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Attempts with a known cost, the shortest latency of them, the sum of their costs and of the squares.
    known: f64,
    shortest: Ms,
    cost_sum: f64,
    cost_square_sum: f64,
    /// Attempts that ended before their cost was known.
    abandoned: f64,
}

/// Mean and variance of the cost of a class's attempts, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Moments {
    mean: Ms,
    variance: f64,
}

/// The estimated cost of a class's attempts.
#[derive(Clone, Debug, Default)]
pub(in crate::routing) struct CostEstimate {
    /// Ended attempts by latency; empty before the first.
    ended: Vec<Bucket>,
    /// Open attempts by their age so far.
    open: Vec<f64>,
    /// The number of ended attempts.
    samples: f64,
    /// The estimate at the last [`Self::update`]; `None` without a known cost.
    moments: Option<Moments>,
}

fn bucket_of(latency: Ms) -> usize {
    let bucket = (latency.max(1.0).ln() / BUCKET_RATIO.ln()) as usize;
    bucket.min(BUCKETS - 1)
}

impl CostEstimate {
    /// An estimate of which only the mean is known; the deviation is taken to be as large.
    pub fn from_mean(mean: Ms, samples: u32) -> Self {
        let mut estimate = Self::default();
        let samples = f64::from(samples).min(MAX_SAMPLES);
        if samples > 0.0 {
            let bucket = estimate.bucket(mean);
            (bucket.known, bucket.shortest) = (samples, mean);
            bucket.cost_sum = samples * mean;
            bucket.cost_square_sum = 2.0 * samples * mean * mean;
            estimate.samples = samples;
            estimate.moments = Some(Moments { mean, variance: mean * mean });
        }
        estimate
    }

    fn bucket(&mut self, latency: Ms) -> &mut Bucket {
        if self.ended.is_empty() {
            self.ended = vec![Bucket::default(); BUCKETS];
        }
        &mut self.ended[bucket_of(latency)]
    }

    /// Adds an ended attempt with the cost of its object.
    pub fn add(&mut self, latency: Ms, cost: Ms) {
        let bucket = self.bucket(latency);
        bucket.shortest = if bucket.known > 0.0 { bucket.shortest.min(latency) } else { latency };
        bucket.known += 1.0;
        bucket.cost_sum += cost;
        bucket.cost_square_sum += cost * cost;
        self.samples += 1.0;
    }

    /// Adds an attempt that ended before the cost of its object was known.
    pub fn add_abandoned(&mut self, latency: Ms) {
        self.bucket(latency).abandoned += 1.0;
        self.samples += 1.0;
    }

    /// Forgets the open attempts, to be added again by their present age.
    pub fn clear_open(&mut self) {
        self.open.clear();
        self.open.resize(BUCKETS, 0.0);
    }

    /// Adds an open attempt of this age.
    pub fn add_open(&mut self, age: Ms) {
        let index = bucket_of(age);
        // One that is younger than the attempts of its bucket were at their ends has not lasted as long.
        let is_younger =
            self.ended.get(index).is_some_and(|bucket| bucket.known > 0.0 && age < bucket.shortest);
        if let Some(count) = self.open.get_mut(index.saturating_sub(usize::from(is_younger))) {
            *count += 1.0;
        }
    }

    /// Computes the estimate from the ended and the open attempts. No cost exceeds `longest`.
    pub fn update(&mut self, longest: Ms) {
        let open: f64 = self.open.iter().sum();
        while self.samples > MAX_SAMPLES.max(MAX_SAMPLES_PER_OPEN * open) {
            self.halve();
        }
        self.moments = self.has_known_cost().then(|| self.product_limit(open, longest));
    }

    fn has_known_cost(&self) -> bool {
        self.ended.iter().any(|bucket| bucket.known > 0.0)
    }

    fn halve(&mut self) {
        self.samples /= 2.0;
        for bucket in &mut self.ended {
            bucket.known /= 2.0;
            bucket.cost_sum /= 2.0;
            bucket.cost_square_sum /= 2.0;
            bucket.abandoned /= 2.0;
        }
    }

    /// The moments by the product-limit estimator. Of the attempts that lasted into a bucket, those with a
    /// known cost there get their share of the probability that is left; what is left at the end has the
    /// cost `longest`.
    fn product_limit(&self, open: f64, longest: Ms) -> Moments {
        let ended: f64 = self.ended.iter().map(|bucket| bucket.known + bucket.abandoned).sum();
        let (mut lasting, mut left) = (ended + open, 1.0);
        let (mut mean, mut mean_square) = (0.0, 0.0);
        for (index, bucket) in self.ended.iter().enumerate() {
            if bucket.known > 0.0 {
                let share = left * (bucket.known / lasting.max(bucket.known));
                mean += share * bucket.cost_sum / bucket.known;
                mean_square += share * bucket.cost_square_sum / bucket.known;
                left -= share;
            }
            let open = self.open.get(index).copied().unwrap_or(0.0);
            lasting -= bucket.known + bucket.abandoned + open;
        }
        mean += left * longest;
        mean_square += left * longest * longest;
        Moments { mean, variance: (mean_square - mean * mean).max(0.0) }
    }

    /// The mean plus its assumed error; `None` without a known cost.
    pub fn upper_bound(&self) -> Option<Ms> {
        let Moments { mean, variance } = self.moments?;
        // One sample has no deviation; the sample itself replaces it.
        let deviation = if self.samples < 2.0 { mean } else { variance.sqrt() };
        let standard_error = deviation / self.samples.max(1.0).sqrt();
        Some(mean + ADDED_STANDARD_ERRORS * standard_error)
    }
}

impl Statistics {
    /// The cost of an attempt of a class. While only those of other classes are known, it may be the class's
    /// deadline, unless the class is never cached and its attempts therefore tell no cost.
    pub(in crate::routing) fn attempt_cost(&self, class: ClassId) -> Ms {
        let statistics = self.class(class);
        let cost_of_unknown_class = || {
            let highest = self.highest_cost();
            let longest = if statistics.is_cached && highest > 0.0 { statistics.deadline } else { 0.0 };
            longest.max(highest).max(self.mean_sending_time(class))
        };
        statistics.cost.upper_bound().unwrap_or_else(cost_of_unknown_class)
    }

    /// The cost of a request's fill at its source.
    pub(in crate::routing) fn fill_cost(&self, request: &Request, class: ClassId) -> Ms {
        self.sending_time(request).unwrap_or(0.0).max(self.attempt_cost(class))
    }

    /// The highest cost among the classes with samples; 0 if there is none.
    pub(in crate::routing) fn highest_cost(&self) -> Ms {
        self.classes().filter_map(|class| class.cost.upper_bound()).fold(0.0, f64::max)
    }
}

impl Router {
    /// Records the cost of an ended attempt. Every attempt that has reached a server costs as much as its
    /// object, served or not.
    pub(in crate::routing) fn record_cost(&mut self, attempt: &FinishedAttempt, outcome: &Outcome) {
        let cost = self.statistics.object_cost(&self.requests[attempt.request].request);
        let sending_time = self.observed_sending_time(attempt.route.server, attempt.sent_at);
        let estimate = &mut self.statistics.class_mut(attempt.class).cost;
        match (outcome.result, cost) {
            (AttemptResult::NotSent | AttemptResult::NoConnection, _) => {}
            (_, Some(cost)) => estimate.add(outcome.latency, cost),
            // The response was not complete, however long it took.
            (AttemptResult::TimedOut | AttemptResult::Cancelled | AttemptResult::ConnectionLost, None) => {
                sending_time.into_iter().for_each(|time| estimate.add_abandoned(time));
            }
            // Nothing was sent of the object.
            (
                AttemptResult::Served
                | AttemptResult::CacheMiss
                | AttemptResult::Rejected
                | AttemptResult::Error,
                None,
            ) => {}
        }
        // The first known cost of a class counts at once.
        if cost.is_some() && self.statistics.class(attempt.class).cost.upper_bound().is_none() {
            self.update_costs();
        }
    }

    /// For how long a server may have sent the response to an attempt that is not complete; `None` if nothing
    /// shows it. A server that has fallen silent shows nothing of what it still sends.
    fn observed_sending_time(&self, server: ServerIndex, sent_at: Ms) -> Option<Ms> {
        let last_response = self.endpoints[server].outlier.silent_since.min(self.now);
        Some(last_response - sent_at).filter(|time| *time > 0.0)
    }

    /// Updates the costs of all classes by the attempts that are open now.
    pub(in crate::routing) fn update_costs(&mut self) {
        self.statistics.classes_mut().for_each(|class| class.cost.clear_open());
        for pending in self.requests.iter() {
            for attempt in pending.in_flight() {
                let sending_time = self.observed_sending_time(attempt.route.server, attempt.sent_at);
                let estimate = &mut self.statistics.class_mut(pending.class).cost;
                sending_time.into_iter().for_each(|time| estimate.add_open(time));
            }
        }
        self.statistics.classes_mut().for_each(|class| class.cost.update(class.deadline));
    }
}
