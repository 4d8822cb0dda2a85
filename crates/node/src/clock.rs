//! The router's clock: spans of real time, whatever becomes of the machine's wall clock.

use crate::breaks::{broken, Break};
use async_io::Timer;
use basaltgw::api::Ms;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time as the module is told it: milliseconds on the monotonic clock, counted from an origin that the whole process shares.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    at_start: Ms,
}

impl Clock {
    /// A clock that says `at_start` now.
    pub fn starting_at(at_start: Ms) -> Self {
        Self { start: Instant::now(), at_start }
    }

    /// Milliseconds; never less than before, and as many more as have passed.
    pub fn now(&self) -> Ms {
        if broken(Break::WallClock) {
            return wall_now();
        }
        self.at_start + self.start.elapsed().as_micros() as f64 / 1000.0
    }
}

impl Default for Clock {
    /// A clock that starts at what the wall clock says.
    fn default() -> Self {
        Self::starting_at(wall_now())
    }
}

/// The machine's wall clock in Unix milliseconds. It may be wrong, and may be stepped: no span is taken from it.
pub fn wall_now() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_micros() as f64 / 1000.0)
}

/// A time-out to race a socket against.
pub async fn late<T>(after: Duration) -> io::Result<T> {
    Timer::after(after).await;
    Err(io::ErrorKind::TimedOut.into())
}
