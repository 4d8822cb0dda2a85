//! Which routers are dialled, and when a link is considered down.

use crate::limits::{KEEPALIVE_INTERVAL, PEER_TIMEOUT};
use std::time::Duration;

/// Keepalives in a peer timeout at the least: two may be lost or late.
const MIN_KEEPALIVES: u32 = 3;

/// Which of the listed routers are dialled. Links that they dial are accepted from all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialPolicy {
    /// All of them.
    All,
    /// Those that a user wants ([`crate::LinkCommand::SetWanted`]).
    OnDemand {
        /// The time without users' frames after which a link is closed that was dialled here and is not wanted any more.
        idle: Duration,
    },
}

/// The settings of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Which routers are dialled.
    pub dial_policy: DialPolicy,
    /// The interval of keepalives on a link without other frames.
    pub keepalive_interval: Duration,
    /// The time without a byte after which a link is considered down; at least three keepalive intervals of the peer.
    pub peer_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            dial_policy: DialPolicy::All,
            keepalive_interval: KEEPALIVE_INTERVAL,
            peer_timeout: PEER_TIMEOUT,
        }
    }
}

impl Settings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// The first setting that is out of range, under the name of its key.
    pub(crate) fn check(&self) -> Result<(), String> {
        match self.keepalive_interval.checked_mul(MIN_KEEPALIVES) {
            _ if self.keepalive_interval.is_zero() => Err("alive: expected more than 0".into()),
            Some(least) if least <= self.peer_timeout => Ok(()),
            Some(_) | None => Err(format!(
                "silent: expected {MIN_KEEPALIVES} times {:?} or more, found {:?}",
                self.keepalive_interval, self.peer_timeout
            )),
        }
    }
}
