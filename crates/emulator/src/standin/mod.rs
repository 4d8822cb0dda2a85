//! Stand-ins on loopback for all that a router talks to, for tests: what goes wrong in one of them fails the test at once.

mod cache;
mod changelog;
mod client;
mod config;

pub use cache::{content, Cache, Do, Proof, Seen};
pub use changelog::{frame, record, ChangeLog};
pub use client::{Client, Got};
pub use config::{configuration, three, with_second, Listed, EDGE, EDGE_2, ORIGIN, PARENT};

use basaltgw_resp::MessageLimits;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longer than anything takes on a machine that is merely busy.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// What a stand-in reads at most in one message.
pub(crate) const WIDE: MessageLimits = MessageLimits { max_elements: 8, max_bytes: 300_000 };
/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(5);

/// The system's clock, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64
}

/// Waits until something holds.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    assert!(comes(PATIENCE, holds), "never: {what}");
}

/// Waits for something for so long; whether it came.
pub fn comes(patience: Duration, holds: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > patience {
            return false;
        }
        thread::sleep(LOOK);
    }
    true
}
