//! Stops of the process: the loop that runs everything stood still, since the machine paused, the process was stopped, or a batch took long.
//!
//! What lay in the sockets meanwhile came at an unknown time of the stop. It is taken for as early as it can have come, so that no client
//! is thought to wait for longer than it does; and no attempt begins before what lay there has been read.

use crate::breaks::{broken, Break};
use async_io::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The loop turns at least this often: the owner sleeps for no longer.
pub const LONGEST_TURN: Duration = Duration::from_millis(100);
/// A turn that takes this long is a stop. With [`LONGEST_TURN`] less than the slack of a deadline that is passed on.
const STOP: Duration = Duration::from_millis(150);
/// What a connection reads first within this time after a stop may have come during it.
const BACKLOG_READ: Duration = Duration::from_millis(250);
/// No attempt begins for this long after a stop, while what lay in the sockets is read.
const READ_FIRST: Duration = Duration::from_millis(10);

/// A stop that is over.
#[derive(Clone, Copy, Debug)]
struct Stop {
    /// The loop turned until then, or would have soon after.
    from: Instant,
    /// It turns again since then.
    to: Instant,
}

/// When the loop last turned, and its last stop.
#[derive(Debug)]
pub struct Stalls {
    turned: Cell<Instant>,
    last: Cell<Option<Stop>>,
    count: Cell<u64>,
}

impl Default for Stalls {
    fn default() -> Self {
        Self { turned: Cell::new(Instant::now()), last: Cell::default(), count: Cell::default() }
    }
}

impl Stalls {
    /// The loop turns: told by whatever runs in it.
    pub fn turn(&self) -> Instant {
        let now = Instant::now();
        let before = self.turned.replace(now);
        if now.saturating_duration_since(before) >= STOP {
            // What lay in the sockets from an earlier stop may not have been read before this one.
            let earlier = self.last.get().filter(|stop| before < stop.to + BACKLOG_READ);
            let from = earlier.map_or(before + LONGEST_TURN, |stop| stop.from);
            self.last.set(Some(Stop { from, to: now }));
            self.count.set(self.count.get() + 1);
        }
        now
    }

    /// Stops so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// How long ago what is read now on a connection may have come, on which nothing more was to be read at `empty_since`. While the loop
    /// turns, a connection that is waited for is read at once.
    pub fn waited(&self, empty_since: Instant) -> Duration {
        let now = self.turn();
        if broken(Break::StaleDeadline) {
            return Duration::ZERO;
        }
        let stop = self.last.get().filter(|stop| empty_since < stop.to && now < stop.to + BACKLOG_READ);
        stop.map_or(Duration::ZERO, |stop| now.saturating_duration_since(stop.from.max(empty_since)))
    }

    /// Since when a connection that is accepted now may have waited.
    pub fn accepted(&self) -> Instant {
        let now = self.turn();
        let stop = self.last.get().filter(|stop| now < stop.to + BACKLOG_READ);
        stop.map_or(now, |stop| stop.from)
    }

    /// Waits until what lay in the sockets during a stop that is just over has been read.
    pub async fn read_first(&self) {
        loop {
            let now = self.turn();
            let rest = self.last.get().map(|stop| (stop.to + READ_FIRST).saturating_duration_since(now));
            match rest.filter(|rest| !rest.is_zero()) {
                Some(rest) => Timer::after(rest).await,
                None => return,
            };
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stopped_for(stop: Duration) -> (Stalls, Instant) {
        let stalls = Stalls::default();
        let start = stalls.turn();
        stalls.turned.set(start - stop);
        (stalls, start - stop)
    }

    #[test]
    fn what_is_read_after_a_stop_has_waited_since_its_beginning() {
        let (stalls, start) = stopped_for(Duration::from_secs(2));
        let waited = stalls.waited(start);
        assert!(waited >= Duration::from_millis(1_900), "{waited:?}");
        // The socket was known to be empty later than that.
        let since = stalls.turned.get() - Duration::from_millis(500);
        assert!(stalls.waited(since) < Duration::from_secs(1));
        // And after the stop.
        assert_eq!(stalls.waited(Instant::now()), Duration::ZERO);
        assert_eq!(stalls.count(), 1);
    }

    #[test]
    fn two_stops_with_little_between_them_are_one() {
        let (stalls, start) = stopped_for(Duration::from_secs(3));
        let between = start + Duration::from_secs(1);
        stalls.last.set(Some(Stop { from: start + LONGEST_TURN, to: between }));
        stalls.turned.set(between + Duration::from_millis(40));
        assert!(stalls.waited(start) >= Duration::from_millis(2_800));
        // One that came long after is another.
        let (stalls, start) = stopped_for(Duration::from_secs(3));
        stalls.last.set(Some(Stop { from: start, to: start + Duration::from_secs(1) }));
        stalls.turned.set(start + Duration::from_secs(2));
        assert!(stalls.waited(start) < Duration::from_secs(1));
    }

    #[test]
    fn turn_of_usual_length_is_no_stop() {
        let (stalls, start) = stopped_for(LONGEST_TURN);
        assert_eq!(stalls.waited(start), Duration::ZERO);
        assert_eq!(stalls.count(), 0);
    }

    #[test]
    fn attempts_wait_for_what_lay_in_the_sockets() {
        let (stalls, _) = stopped_for(Duration::from_secs(1));
        let begun = Instant::now();
        async_io::block_on(stalls.read_first());
        assert!(begun.elapsed() >= READ_FIRST);
        let begun = Instant::now();
        async_io::block_on(stalls.read_first());
        assert!(begun.elapsed() < READ_FIRST, "once is enough");
    }
}
