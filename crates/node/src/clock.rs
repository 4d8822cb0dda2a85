//! The router's monotonic clock, and reads of the wall clock.

use crate::breaks::{broken, Break};
use async_io::Timer;
use basaltgw::api::Ms;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock of the decision module: monotonic, in milliseconds since an origin that is the same in the whole process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    at_start: Ms,
}

impl Clock {
    /// A clock whose time is `at_start` now.
    pub fn starting_at(at_start: Ms) -> Self {
        Self { start: Instant::now(), at_start }
    }

    /// The time in milliseconds.
    pub fn now(&self) -> Ms {
        if broken(Break::WallClock) {
            return wall_now();
        }
        self.at_start + self.start.elapsed().as_micros() as f64 / 1000.0
    }
}

impl Default for Clock {
    /// A clock that starts at the wall clock's time.
    fn default() -> Self {
        Self::starting_at(wall_now())
    }
}

/// The wall clock in Unix milliseconds. It may be wrong and may be set forward or back, so no duration is computed from it.
pub fn wall_now() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_micros() as f64 / 1000.0)
}

/// Completes after a time with the error `TimedOut`; to be raced against an operation on a socket.
///
/// # Errors
/// Always.
pub async fn timed_out_after<T>(after: Duration) -> io::Result<T> {
    Timer::after(after).await;
    Err(io::ErrorKind::TimedOut.into())
}
