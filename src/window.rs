//! Sums over time: a decaying rate, and moving averages.

/// A rate that decays with a time constant, corrected for a short past.
#[derive(Clone, Debug)]
pub struct DecayingRate {
    sum: f64,
    at: f64,
    born: f64,
    tau: f64,
}

impl DecayingRate {
    /// A rate of nothing since `now`.
    pub fn new(now: f64, tau: f64) -> Self {
        Self { sum: 0.0, at: now, born: now, tau }
    }

    /// Adds a weight.
    pub fn add(&mut self, now: f64, weight: f64) {
        self.sum = self.sum * (-(now - self.at) / self.tau).exp() + weight;
        self.at = now;
    }

    /// The rate per millisecond.
    pub fn rate(&self, now: f64) -> f64 {
        let sum = self.sum * (-(now - self.at) / self.tau).exp();
        sum / (self.tau * (1.0 - (-(now - self.born) / self.tau).exp())).max(1.0)
    }
}

/// A moving average; of its first samples it is the plain mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    value: Option<f64>,
    samples: u32,
}

impl Average {
    /// Takes a sample in with that weight.
    pub fn add(&mut self, sample: f64, share: f64) {
        self.samples = self.samples.saturating_add(1);
        let share = share.max(1.0 / f64::from(self.samples));
        self.value = Some(self.value.map_or(sample, |v| v + share * (sample - v)));
    }

    /// One of so many samples.
    pub fn of(mean: f64, samples: u32) -> Self {
        Self { value: Some(mean).filter(|_| samples > 0), samples }
    }

    /// How many samples there were.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// The average, if there was a sample.
    pub fn get(&self) -> Option<f64> {
        self.value
    }

    /// The average, if there were at least so many samples.
    pub fn after(&self, samples: u32) -> Option<f64> {
        self.value.filter(|_| self.samples >= samples)
    }
}

/// The values in rising order.
pub fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut all: Vec<f64> = values.collect();
    all.sort_unstable_by(f64::total_cmp);
    all
}
