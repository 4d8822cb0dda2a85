//! A decayed histogram of a site's latencies, with buckets of a fixed ratio and a bounded size.
//!
//! Sketches such as HDR histogram and t-digest weigh all samples alike; here old samples decay, and an attempt that was
//! cancelled counts as a sample known only to be longer (a censored one).

use basaltgw_types::Ms;
use std::fmt;

/// Number of buckets: 0.25 ms times 1.25 to the 72nd is about 40 minutes.
const BUCKETS: usize = 72;
/// Upper bound of the first bucket, in milliseconds.
const FIRST_BUCKET_MS: Ms = 0.25;
/// Ratio of a bucket's bounds, about the jitter of an idle link.
const BUCKET_RATIO: f64 = 1.25;
/// Factor applied to all weights at each sample: the last 50 samples have about two thirds of the weight.
const DECAY_PER_SAMPLE: f64 = 0.98;
/// Probability mass of the assumed tail: a few dozen samples don't show the 99th percentile.
const TAIL_PROBABILITY: f64 = 0.03;
/// The quantile at which the assumed tail starts.
const TAIL_START_QUANTILE: f64 = 0.9;
/// The assumed tail extends up to this factor of its start, uniform in the logarithm.
const TAIL_FACTOR: f64 = 8.0;
/// Weight of the prior before any sample.
const PRIOR_WEIGHT_SAMPLES: f64 = 3.0;

/// A decayed histogram of latencies.
#[derive(Clone, PartialEq)]
pub(crate) struct LatencyHistogram {
    /// Weight of each bucket.
    weights: [f32; BUCKETS],
    /// Sums of the weights up to each bucket, stored because they are read far more often than changed.
    cumulative_weights: [f32; BUCKETS],
    /// The bucket at which the assumed tail starts.
    tail_start: f64,
}

/// Lists the buckets that have weight.
impl fmt::Debug for LatencyHistogram {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.weights.iter().enumerate().filter(|(_, weight)| **weight > 0.0)).finish()
    }
}

/// A latency's position in buckets, with fractions; the first bucket ends at 0.
fn log_position(t: Ms) -> f64 {
    (t / FIRST_BUCKET_MS).ln() / BUCKET_RATIO.ln()
}

fn bucket_index(t: Ms) -> usize {
    (log_position(t).ceil().max(0.0) as usize).min(BUCKETS - 1)
}

fn bucket_upper_bound(index: usize) -> Ms {
    FIRST_BUCKET_MS * BUCKET_RATIO.powi(index as i32)
}

impl LatencyHistogram {
    /// The wide prior around `usual`, in milliseconds, before any sample.
    pub fn prior(usual: Ms) -> Self {
        let mut histogram =
            Self { weights: [0.0; BUCKETS], cumulative_weights: [0.0; BUCKETS], tail_start: 0.0 };
        for (factor, weight) in [(0.5, 1.0), (1.0, 2.0), (2.0, 2.0), (4.0, 1.0)] {
            histogram.add_weight(usual * factor, weight * PRIOR_WEIGHT_SAMPLES / 6.0);
        }
        histogram
    }

    fn add_weight(&mut self, t: Ms, weight: f64) {
        self.weights[bucket_index(t)] += weight as f32;
        self.update_cumulative();
    }

    fn update_cumulative(&mut self) {
        let mut sum = 0.0;
        for (weight, cumulative) in self.weights.iter().zip(&mut self.cumulative_weights) {
            sum += weight;
            *cumulative = sum;
        }
        self.tail_start = self.quantile_bucket(TAIL_START_QUANTILE) as f64;
    }

    fn total(&self) -> f64 {
        f64::from(self.cumulative_weights[BUCKETS - 1])
    }

    fn decay(&mut self) {
        self.weights.iter_mut().for_each(|weight| *weight *= DECAY_PER_SAMPLE as f32);
    }

    /// Records an answer after `t` milliseconds that counts as `weight` samples.
    pub fn record(&mut self, t: Ms, weight: f64) {
        (0..weight.ceil() as usize).for_each(|_| self.decay());
        self.add_weight(t, weight);
    }

    /// Records an attempt that was cancelled after `t` milliseconds: its weight is distributed over the buckets above
    /// in proportion to theirs, or goes to the next bucket if those are nearly empty.
    pub fn record_timeout(&mut self, t: Ms, weight: f64) {
        self.decay();
        let first_above = bucket_index(t) + 1;
        let weights_above = self.weights.iter().skip(first_above);
        let total_above = weights_above.map(|weight| f64::from(*weight)).sum::<f64>();
        if total_above <= weight * 0.5 {
            return self.add_weight(bucket_upper_bound(first_above), weight);
        }
        let factor = 1.0 + weight / total_above;
        let weights_above = self.weights.iter_mut().skip(first_above);
        weights_above.for_each(|weight| *weight = (f64::from(*weight) * factor) as f32);
        self.update_cumulative();
    }

    /// The probability that an answer takes at most `t`; 0 to 1.
    pub fn probability_within(&self, t: Ms) -> f64 {
        if t <= 0.0 || self.total() <= 0.0 {
            return 0.0;
        }
        let position = log_position(t);
        let last = (position.ceil().max(0.0) as usize).min(BUCKETS - 1);
        let below = if last == 0 { 0.0 } else { f64::from(self.cumulative_weights[last - 1]) };
        let fraction_of_last = (position - last as f64 + 1.0).clamp(0.0, 1.0);
        let weight = below + fraction_of_last * f64::from(self.weights[last]);
        let observed = (weight / self.total()).clamp(0.0, 1.0);
        let tail = ((position - self.tail_start) * BUCKET_RATIO.ln() / TAIL_FACTOR.ln()).clamp(0.0, 1.0);
        (1.0 - TAIL_PROBABILITY) * observed + TAIL_PROBABILITY * tail
    }

    fn quantile_bucket(&self, share: f64) -> usize {
        let target = (share * self.total()) as f32;
        let reaches_target = |cumulative: &f32| *cumulative >= target;
        self.cumulative_weights.iter().position(reaches_target).unwrap_or(BUCKETS - 1)
    }

    /// The latency in milliseconds that this share of answers does not exceed.
    pub fn quantile(&self, share: f64) -> Ms {
        bucket_upper_bound(self.quantile_bucket(share))
    }
}

#[cfg(test)]
mod tests;
