//! The system's Unix clock, kept from going backwards.

use async_io::Timer;
use basaltgw::api::Ms;
use std::cell::Cell;
use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time as the module is told it.
#[derive(Debug, Default)]
pub struct Clock(Cell<Ms>);

impl Clock {
    /// Unix milliseconds, never less than before.
    pub fn now(&self) -> Ms {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_micros() as f64 / 1000.0);
        self.0.set(now.max(self.0.get()));
        self.0.get()
    }
}

/// A time-out to race a socket against.
pub async fn late<T>(after: Duration) -> io::Result<T> {
    Timer::after(after).await;
    Err(io::ErrorKind::TimedOut.into())
}
