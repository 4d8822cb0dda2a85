//! Detects pauses of the process: times without a turn of the event loop, because the machine paused, the process was stopped, or a batch
//! took long.
//!
//! Bytes that were received during a pause count as received at its start, the earliest possible time; a later time would put deadlines too
//! late. No attempt is written before these bytes are read, since they may contain its cancellation.

use crate::breaks::{broken, Break};
use async_io::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The event loop has a turn at least this often, since the owner sleeps for no longer.
pub const MAX_TURN_INTERVAL: Duration = Duration::from_millis(100);
/// At least this long between two turns is a pause. A shorter delay goes unnoticed; less [`MAX_TURN_INTERVAL`], it is shorter than the
/// slack of the deadlines that are passed to servers.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);
/// Bytes that a connection reads within this time after a pause may have been received during the pause.
const BACKLOG_READ_WINDOW: Duration = Duration::from_millis(250);
/// After a pause, no attempt is written for this long, in which the sockets are read.
const READ_FIRST_WINDOW: Duration = Duration::from_millis(10);

/// A past pause.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// When the next turn of the loop was due at the latest.
    start: Instant,
    /// The first turn after the pause.
    end: Instant,
}

/// The last turn of the event loop, and the last pause.
#[derive(Debug)]
pub struct PauseDetector {
    last_turn: Cell<Instant>,
    last_pause: Cell<Option<Pause>>,
    count: Cell<u64>,
}

impl Default for PauseDetector {
    fn default() -> Self {
        Self { last_turn: Cell::new(Instant::now()), last_pause: Cell::default(), count: Cell::default() }
    }
}

impl PauseDetector {
    /// Records a turn of the event loop; called by its tasks. Returns the current time.
    pub fn on_turn(&self) -> Instant {
        let now = Instant::now();
        let before = self.last_turn.replace(now);
        if now.saturating_duration_since(before) >= PAUSE_THRESHOLD {
            // Bytes that were received during an earlier pause may not have been read before this one.
            let earlier = self.last_pause.get().filter(|pause| before < pause.end + BACKLOG_READ_WINDOW);
            let start = earlier.map_or(before + MAX_TURN_INTERVAL, |pause| pause.start);
            self.last_pause.set(Some(Pause { start, end: now }));
            self.count.set(self.count.get() + 1);
        }
        now
    }

    /// The number of pauses since the start.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// The longest time for which bytes that a connection reads now may have waited in its socket, which was empty at `empty_since`. Zero
    /// without a recent pause, since sockets are then read at once.
    pub fn max_wait_in_socket(&self, empty_since: Instant) -> Duration {
        let now = self.on_turn();
        if broken(Break::StaleDeadline) {
            return Duration::ZERO;
        }
        let pause = self
            .last_pause
            .get()
            .filter(|pause| empty_since < pause.end && now < pause.end + BACKLOG_READ_WINDOW);
        pause.map_or(Duration::ZERO, |pause| now.saturating_duration_since(pause.start.max(empty_since)))
    }

    /// Since when a connection that is accepted now may have waited in the listener's backlog.
    pub fn backlog_since(&self) -> Instant {
        let now = self.on_turn();
        let pause = self.last_pause.get().filter(|pause| now < pause.end + BACKLOG_READ_WINDOW);
        pause.map_or(now, |pause| pause.start)
    }

    /// Waits, if a pause has just ended, until the sockets are read.
    pub async fn wait_for_reads(&self) {
        loop {
            let now = self.on_turn();
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
