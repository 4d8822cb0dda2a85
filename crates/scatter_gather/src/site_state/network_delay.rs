//! Estimates a site's network round trip: smoothed mean and deviation, as for TCP's retransmission timeout (RFC 6298).

use basaltgw_types::Ms;

/// Gain of the smoothed mean and deviation.
const GAIN: f64 = 0.125;
/// Mean deviations that the estimate adds to the mean.
const DEVIATIONS: f64 = 2.0;

/// A smoothed round trip, in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct NetworkDelay {
    mean: Ms,
    deviation: Ms,
}

impl NetworkDelay {
    /// Records a response's latency and the part of it that the site measured itself.
    pub fn record(&mut self, latency: Ms, processing_time: Ms) {
        let error = (latency - processing_time).clamp(0.0, latency) - self.mean;
        self.mean += GAIN * error;
        self.deviation += GAIN * (error.abs() - self.deviation);
    }

    /// The round trip with an allowance for its variation.
    pub fn estimate(&self) -> Ms {
        self.mean + DEVIATIONS * self.deviation
    }
}
