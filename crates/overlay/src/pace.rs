//! How much may be sent: a bucket that what comes and what goes both draw on.

use basaltgw_types::Ms;

#[derive(Clone, Debug)]
pub(crate) struct Pace {
    /// May be below nothing: what came can't be helped.
    left: f64,
    at: Ms,
    pub rate: f64,
    pub burst: f64,
}

impl Pace {
    pub fn new(rate: f64, burst: f64) -> Self {
        Self { left: burst, at: 0.0, rate, burst }
    }

    pub fn refill(&mut self, now: Ms) {
        let span = (now - self.at).max(0.0);
        self.left = (self.left + span / 1000.0 * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Bytes that came or went. What is owed is bounded, or a flood would end all sending.
    pub fn take(&mut self, bytes: usize) {
        self.left = (self.left - bytes as f64).max(-self.burst);
    }

    /// True if purges may go: they may draw on the time to come.
    pub fn purges(&self) -> bool {
        self.left > -self.burst / 2.0
    }

    /// True if all else may.
    pub fn others(&self) -> bool {
        self.left > 0.0
    }
}
