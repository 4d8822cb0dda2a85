//! Limit of the traffic of one overlay: a token bucket that sent and received bytes both consume.

use basaltgw_types::Ms;

const MS_PER_SECOND: f64 = 1_000.0;

/// Token bucket in bytes.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    /// Negative after more bytes were received than were available. Bounded, so that a flood can't stop all sending.
    available: f64,
    refilled_at: Ms,
    bytes_per_s: f64,
    burst_bytes: f64,
}

impl RateLimit {
    pub fn new(bytes_per_s: f64, burst_bytes: f64) -> Self {
        Self { available: burst_bytes, refilled_at: 0.0, bytes_per_s, burst_bytes }
    }

    pub fn refill(&mut self, now: Ms) {
        let span = (now - self.refilled_at).max(0.0);
        self.available = (self.available + span / MS_PER_SECOND * self.bytes_per_s).min(self.burst_bytes);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Consumes bytes that were sent or received.
    pub fn consume(&mut self, bytes: usize) {
        self.available = (self.available - bytes as f64).max(-self.burst_bytes);
    }

    /// Whether purges may be sent: they may overdraw the bucket by half of its size.
    pub fn allows_purges(&self) -> bool {
        self.available > -self.burst_bytes / 2.0
    }

    /// Whether updates of other kinds may be sent.
    pub fn allows_others(&self) -> bool {
        self.available > 0.0
    }
}
