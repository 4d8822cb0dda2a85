//! Whom a router dials, and how its links are seen to live.

use crate::limits::{KEEPALIVE, SILENT};
use std::time::Duration;

/// Signs of life that fit into the time after which a link is silent, at the least: two may be lost or late.
const SIGNS: u32 = 3;

/// Which of the listed routers are dialled. Links that others dial are taken from each of them either way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialPolicy {
    /// All.
    All,
    /// Those that a user wants ([`crate::Order::Want`]).
    OnDemand {
        /// A link that was dialled here, that nobody here wants any more and on which nothing but signs of life has gone for so long is closed.
        idle: Duration,
    },
}

/// How links are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Who is dialled.
    pub dial_policy: DialPolicy,
    /// Without anything else to write, a sign of life is written each time.
    pub keepalive_interval: Duration,
    /// A link on which no byte came for so long is silent. At least three signs of life of the peer.
    pub peer_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { dial_policy: DialPolicy::All, keepalive_interval: KEEPALIVE, peer_timeout: SILENT }
    }
}

impl Settings {
    /// What is the matter with them, if anything.
    pub(crate) fn fault(&self) -> Result<(), String> {
        match self.keepalive_interval.checked_mul(SIGNS) {
            _ if self.keepalive_interval.is_zero() => Err("alive: expected more than 0".into()),
            Some(least) if least <= self.peer_timeout => Ok(()),
            Some(_) | None => Err(format!(
                "silent: expected {SIGNS} times {:?} or more, found {:?}",
                self.keepalive_interval, self.peer_timeout
            )),
        }
    }
}
