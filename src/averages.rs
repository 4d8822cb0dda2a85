//! Running statistics: an exponentially decaying rate and a moving average.

/// Weight of a new sample in averages of latencies, sending times and shares, 0 to 1.
pub const SAMPLE_WEIGHT: f64 = 0.05;

/// A rate that decays exponentially, corrected for a history shorter than the time constant.
///
/// Times are in milliseconds and must not decrease between calls.
#[derive(Clone, Debug)]
pub struct DecayingRate {
    sum: f64,
    updated: f64,
    started: f64,
    time_constant: f64,
}

impl DecayingRate {
    /// A rate of zero that starts at `now` and decays with a time constant in milliseconds.
    pub fn new(now: f64, time_constant: f64) -> Self {
        Self { sum: 0.0, updated: now, started: now, time_constant }
    }

    /// Adds a weight at the time `now`.
    pub fn add(&mut self, now: f64, weight: f64) {
        self.sum = self.sum * (-(now - self.updated) / self.time_constant).exp() + weight;
        self.updated = now;
    }

    /// The rate at the time `now`, as weight per millisecond.
    pub fn rate(&self, now: f64) -> f64 {
        let sum = self.sum * (-(now - self.updated) / self.time_constant).exp();
        let observed = self.time_constant * (1.0 - (-(now - self.started) / self.time_constant).exp());
        sum / observed.max(1.0)
    }
}

/// An exponentially weighted moving average that begins as the plain mean of its first samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingAverage {
    value: Option<f64>,
    samples: u32,
}

impl MovingAverage {
    /// An average that already contains `samples` samples of the given mean.
    pub fn from_mean(mean: f64, samples: u32) -> Self {
        Self { value: Some(mean).filter(|_| samples > 0), samples }
    }

    /// Adds a sample with at least the given weight, 0 to 1.
    pub fn add(&mut self, sample: f64, min_weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = min_weight.max(1.0 / f64::from(self.samples));
        self.value = Some(self.value.map_or(sample, |value| value + weight * (sample - value)));
    }

    /// Number of samples.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// The average; `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        self.value
    }

    /// The average; `None` before the given number of samples.
    pub fn get_after(&self, samples: u32) -> Option<f64> {
        self.value.filter(|_| self.samples >= samples)
    }
}

/// The values in ascending order.
pub fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut all: Vec<f64> = values.collect();
    all.sort_unstable_by(f64::total_cmp);
    all
}
