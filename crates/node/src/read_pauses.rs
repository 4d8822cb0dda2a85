//! The pauses of reading that the router itself imposes on its connections: how many last, and those that were for want of memory.

use crate::limits::{MAX_RETRY_INTERVAL, READERS_PER_RETRY_INTERVAL, RETRY_INTERVAL};
use std::cell::Cell;
use std::time::Duration;

/// The pauses of reading from one kind of peer.
#[derive(Debug, Default)]
pub struct ReadPauses {
    count: Cell<u64>,
    longest: Cell<Duration>,
    /// Connections whose reading is paused now, for any reason.
    paused_now: Cell<usize>,
}

/// A connection whose reading is paused, until this is dropped.
pub struct PausedReader<'a>(&'a ReadPauses);

impl Drop for PausedReader<'_> {
    fn drop(&mut self) {
        self.0.paused_now.set(self.0.paused_now.get().saturating_sub(1));
    }
}

impl ReadPauses {
    /// Counts a connection as paused until the result is dropped.
    pub fn pause(&self) -> PausedReader<'_> {
        self.paused_now.set(self.paused_now.get() + 1);
        PausedReader(self)
    }

    /// How often a paused connection is checked: the more are paused, the more rarely each, so that all checks together take a bounded
    /// share of the processor's time.
    pub fn retry_interval(&self) -> Duration {
        let factor = self.paused_now.get().div_ceil(READERS_PER_RETRY_INTERVAL).max(1);
        RETRY_INTERVAL.saturating_mul(u32::try_from(factor).unwrap_or(u32::MAX)).min(MAX_RETRY_INTERVAL)
    }

    /// Records a pause for want of memory that has ended.
    pub fn record(&self, duration: Duration) {
        self.count.set(self.count.get() + 1);
        self.longest.set(self.longest.get().max(duration));
    }

    /// The number of pauses for want of memory that have ended.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// The longest of these pauses, in milliseconds.
    pub fn longest_ms(&self) -> f64 {
        self.longest.get().as_secs_f64() * 1000.0
    }
}
