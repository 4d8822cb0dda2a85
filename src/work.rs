//! What an attempt of a class weighs: the mean time that its objects take to be sent, reckoned upwards while little is known.

use crate::api::Ms;

/// Samples beyond which a new one weighs no less, so that a mix that shifts is followed.
const MOST_SAMPLES: u32 = 1_000;
/// Standard errors of the mean that are added to it: the bound's own allowance for chance covers the rest.
const ERRORS_ADDED: f64 = 0.5;

/// Mean and deviation of sending times.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkEstimate {
    samples: u32,
    mean: Ms,
    variance: f64,
}

impl WorkEstimate {
    /// An estimate of which only the mean of so many samples is known: they are taken to deviate by as much.
    pub fn of(mean: Ms, samples: u32) -> Self {
        Self { samples: samples.min(MOST_SAMPLES), mean, variance: mean * mean }
    }

    /// Takes in the sending time of an object.
    pub fn add(&mut self, sample: Ms) {
        self.samples = (self.samples + 1).min(MOST_SAMPLES);
        let share = 1.0 / f64::from(self.samples);
        let off = sample - self.mean;
        self.mean += share * off;
        self.variance = (1.0 - share) * (self.variance + share * off * off);
    }

    /// The mean, and so much more as it may be wrong by; `None` before the first sample.
    pub fn upper(&self) -> Option<Ms> {
        // One sample says nothing of the deviation; the sample itself stands for it.
        let deviation = if self.samples < 2 { self.mean } else { self.variance.sqrt() };
        let error = deviation / f64::from(self.samples.max(1)).sqrt();
        (self.samples > 0).then_some(self.mean + ERRORS_ADDED * error)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn estimate_errs_upwards_while_little_is_known() {
        let mut work = WorkEstimate::default();
        assert_eq!(work.upper(), None);
        work.add(100.0);
        assert_eq!(work.upper(), Some(150.0));
        (0..500).for_each(|n| work.add(if n % 2 == 0 { 50.0 } else { 150.0 }));
        assert!((100.0..106.0).contains(&work.upper().expect("samples")));
        assert!(WorkEstimate::of(100.0, 25).upper() > Some(105.0));
    }

    #[test]
    fn estimate_recovers_from_a_wrong_sample_and_follows_a_shift() {
        let mut work = WorkEstimate::default();
        work.add(0.001);
        (0..100).for_each(|_| work.add(100.0));
        assert!(work.upper() >= Some(99.0));
        (0..3_000).for_each(|_| work.add(200.0));
        assert!(work.upper() > Some(190.0));
    }
}
