//! The router's monotonic clock, and reads of the wall clock.

use crate::breaks::{broken, Break};
use async_io::Timer;
use basaltgw::api::Ms;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock of the decision module: monotonic, in milliseconds from an origin that the whole process shares.
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

/// The wall clock in Unix milliseconds. It may be wrong and may be stepped, so no duration is computed from it.
pub fn wall_now() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_micros() as f64 / 1000.0)
}

/// Fails with `TimedOut` after a time; raced against an operation on a socket.
///
/// # Errors
/// Always.
pub async fn late<T>(after: Duration) -> io::Result<T> {
    Timer::after(after).await;
    Err(io::ErrorKind::TimedOut.into())
}
