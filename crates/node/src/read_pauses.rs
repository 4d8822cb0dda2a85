//! Counts the pauses of reading that the router itself imposes on its connections for want of memory.

use std::cell::Cell;
use std::time::Duration;

/// The pauses of reading from one kind of peer.
#[derive(Debug, Default)]
pub struct ReadPauses {
    count: Cell<u64>,
    longest: Cell<Duration>,
}

impl ReadPauses {
    /// Records a pause that has ended.
    pub fn record(&self, duration: Duration) {
        self.count.set(self.count.get() + 1);
        self.longest.set(self.longest.get().max(duration));
    }

    /// The number of pauses that have ended.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// The longest of these pauses, in milliseconds.
    pub fn longest_ms(&self) -> f64 {
        self.longest.get().as_secs_f64() * 1000.0
    }
}
