//! The cost of an attempt in slow start: the mean sending time of its class, estimated high while few are
//! known.
//!
//! Inputs: sending times of the class's objects in milliseconds. A cost that is too low would let a warming
//! server be sent more than its budget, so a class without samples costs as much as the most expensive one.

use crate::api::{ClassId, Ms, Request};
use crate::routing::statistics::Statistics;

#[cfg(test)]
mod tests;

/// Number of samples at which the weight of a new one stops falling, so that the estimate follows a changing
/// mix.
const MAX_SAMPLES: u32 = 1_000;
/// Standard errors that are added to the mean; the budget's own tolerance covers the rest.
const ADDED_STANDARD_ERRORS: f64 = 0.5;

/// Mean and variance of sending times in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::routing) struct CostEstimate {
    samples: u32,
    mean: Ms,
    variance: f64,
}

impl CostEstimate {
    /// An estimate of which only the mean is known; the deviation is taken to be as large.
    pub fn from_mean(mean: Ms, samples: u32) -> Self {
        Self { samples: samples.min(MAX_SAMPLES), mean, variance: mean * mean }
    }

    /// Adds the sending time of an object.
    pub fn add(&mut self, sample: Ms) {
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        let weight = 1.0 / f64::from(self.samples);
        let difference = sample - self.mean;
        self.mean += weight * difference;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
    }

    /// The mean plus its assumed error; `None` before the first sample.
    pub fn upper_bound(&self) -> Option<Ms> {
        // One sample has no deviation; the sample itself replaces it.
        let deviation = if self.samples < 2 { self.mean } else { self.variance.sqrt() };
        let standard_error = deviation / f64::from(self.samples.max(1)).sqrt();
        (self.samples > 0).then_some(self.mean + ADDED_STANDARD_ERRORS * standard_error)
    }
}

impl Statistics {
    /// The cost of an attempt of a class.
    pub(in crate::routing) fn attempt_cost(&self, class: ClassId) -> Ms {
        let cost_of_unknown_class = || self.highest_cost().max(self.mean_sending_time(class));
        self.class(class).cost.upper_bound().unwrap_or_else(cost_of_unknown_class)
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
