//! Detects pauses of the process: the event loop stood still, since the machine paused, the process was stopped, or a batch took long.
//!
//! Bytes that arrived during a pause count as received at its start, the earliest possible time, so that no deadline is taken for later
//! than it is. No attempt is written before they are read, since a cancellation may be among them.

use crate::breaks::{broken, Break};
use async_io::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The event loop runs at least this often: the owner sleeps for no longer.
pub const MAX_TURN: Duration = Duration::from_millis(100);
/// A turn that takes this long is a pause. Less [`MAX_TURN`], it is a delay that goes unnoticed; that is shorter than the slack of a deadline
/// that is passed on to servers.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);
/// Bytes that a connection reads first within this time after a pause may have arrived during it.
const BACKLOG_READ_WINDOW: Duration = Duration::from_millis(250);
/// No attempt is written for this long after a pause, while the sockets are read.
const READ_FIRST_WINDOW: Duration = Duration::from_millis(10);

/// A past pause.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// The latest time at which the loop ran or should have run before it.
    start: Instant,
    /// When the loop ran again.
    end: Instant,
}

/// When the loop last ran, and its last pause.
#[derive(Debug)]
pub struct Stalls {
    last_turn: Cell<Instant>,
    last_pause: Cell<Option<Pause>>,
    count: Cell<u64>,
}

impl Default for Stalls {
    fn default() -> Self {
        Self { last_turn: Cell::new(Instant::now()), last_pause: Cell::default(), count: Cell::default() }
    }
}

impl Stalls {
    /// Notes that the loop runs; called by its tasks. Returns the current time.
    pub fn turn(&self) -> Instant {
        let now = Instant::now();
        let before = self.last_turn.replace(now);
        if now.saturating_duration_since(before) >= PAUSE_THRESHOLD {
            // Bytes from an earlier pause may not have been read before this one.
            let earlier = self.last_pause.get().filter(|pause| before < pause.end + BACKLOG_READ_WINDOW);
            let start = earlier.map_or(before + MAX_TURN, |pause| pause.start);
            self.last_pause.set(Some(Pause { start, end: now }));
            self.count.set(self.count.get() + 1);
        }
        now
    }

    /// Pauses so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// How long ago bytes that a connection reads now may have arrived, if its socket was empty at `empty_since`. Zero while the loop runs,
    /// since sockets are then read at once.
    pub fn waited(&self, empty_since: Instant) -> Duration {
        let now = self.turn();
        if broken(Break::StaleDeadline) {
            return Duration::ZERO;
        }
        let pause = self
            .last_pause
            .get()
            .filter(|pause| empty_since < pause.end && now < pause.end + BACKLOG_READ_WINDOW);
        pause.map_or(Duration::ZERO, |pause| now.saturating_duration_since(pause.start.max(empty_since)))
    }

    /// Since when a connection that is accepted now may have waited in the backlog.
    pub fn accepted(&self) -> Instant {
        let now = self.turn();
        let pause = self.last_pause.get().filter(|pause| now < pause.end + BACKLOG_READ_WINDOW);
        pause.map_or(now, |pause| pause.start)
    }

    /// Waits until the sockets are read after a pause that is just over.
    pub async fn read_first(&self) {
        loop {
            let now = self.turn();
            let rest = self
                .last_pause
                .get()
                .map(|pause| (pause.end + READ_FIRST_WINDOW).saturating_duration_since(now));
            match rest.filter(|rest| !rest.is_zero()) {
                Some(rest) => Timer::after(rest).await,
                None => return,
            };
        }
    }
}

#[cfg(test)]
mod tests;
