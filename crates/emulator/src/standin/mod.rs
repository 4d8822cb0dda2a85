//! Stand-ins on loopback for a router's servers, change log and clients, for tests of one router.
//!
//! A failure of a stand-in itself panics at once and so fails the test.

mod cache;
mod changelog;
mod client;
mod config;

pub use cache::{part_body, Cache, FetchBehaviour, ProbeBehaviour, ReceivedFetch};
pub use changelog::{frame, frame_kind, record, ChangeLog};
pub use client::{append_message, append_request, Client, ClientAnswer};
pub use config::{
    add_second_edge, configuration, edge_parent_origin, ListedServer, EDGE, EDGE_2, EDGE_KIND, ORIGIN,
    ORIGIN_KIND, PARENT,
};

pub use basaltgw::api::EndpointState;
use basaltgw_resp::MessageLimits;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest wait for a condition; far longer than any takes on a busy machine.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// The size limits of a message to a stand-in.
pub(crate) const MESSAGE_LIMITS: MessageLimits = MessageLimits { max_elements: 8, max_bytes: 300_000 };
/// The time between two evaluations of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The wall-clock time, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("wall clock after 1970").as_millis() as u64
}

/// Waits until `condition` is true; panics after [`WAIT_LIMIT`].
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    assert!(wait_up_to(WAIT_LIMIT, condition), "condition not met within {WAIT_LIMIT:?}: {description}");
}

/// Waits until `condition` is true, for at most `timeout`; returns whether it became true.
pub fn wait_up_to(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > timeout {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}
