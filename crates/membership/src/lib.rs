//! SWIM membership: which routers exist, in which state, and gossiped evidence on sites. All of it is advisory.
//!
//! Events in, actions out; time and random numbers are handed in. A router that returns with another disk is another incarnation, and its
//! former one is down for good. Addresses, domains and evidence are gossiped along with the membership.
//!
//! # The SWIM library
//!
//! SWIM with suspicion (Das, Gupta, Motivala, *SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol*, DSN 2002)
//! by the library `foca` 2 (MPL-2.0): without I/O, clock, timers or random numbers of its own, so that it runs in simulated time. The
//! alternatives `memberlist` and `chitchat` bring sockets and an async runtime. This package decides what the library leaves open: which of
//! two identities of one name is current, how routers learn of it ([`Event::LinkUp`]: hellos are exchanged before anything else), limits on
//! members, and evidence, whose age must grow while it waits (the library forwards broadcasts byte by byte).
//!
//! # Two incarnations of one name
//!
//! An identity lists the incarnations that it has replaced. A router learns of them from the hellos of routers that know one, and raises its
//! generation above theirs. A former incarnation that learns of its successor leaves at once ([`State::Down`] of itself), whatever its
//! generation. Clocks are not involved. If two machines are given one name by mistake and start together, both list the other: the generation
//! decides, then the random incarnation, and one leaves. A router that was considered down without having been replaced (a partition, a pause)
//! returns as itself with a higher generation.
//!
//! # Guarantees
//!
//! Every timer, map and message is bounded ([`Settings`]). The age of evidence is at most what is reported plus the time on the wire. States
//! are opinions and may differ between routers; nothing that must be safe may depend on them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(test)]
mod byte_tests;
mod evidence;
mod identity;
mod inbound;
mod membership;
mod message;
mod runtime;
mod settings;

pub use membership::{Counters, Membership, Peer};
pub use settings::Settings;

use basaltgw_types::{Domain, Member, Ms, RouterId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A router as the membership knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// The router and its incarnation.
    pub member: Member,
    /// The address on which it accepts links.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
}

/// Observations of a site (a zone's caches, a router).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The name of the site.
    pub site: Arc<str>,
    /// Requests without a response.
    pub missed: u32,
    /// Requests with a response.
    pub answered: u32,
    /// The latency of the responses, in milliseconds.
    pub latency_ms: Ms,
    /// The age of the observations, in milliseconds; clocks of different routers are not compared.
    pub age_ms: Ms,
}

/// The state of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It answers probes.
    Alive,
    /// It has not answered a probe, neither directly nor through other routers, and is considered down after a timeout.
    Suspect,
    /// It is considered down. It returns as the same member if it was cut off or paused, but never once another incarnation of its name is
    /// known. Reported for this router itself if another incarnation has replaced it; it sends nothing more then.
    Down,
}

/// An input of [`Membership::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A link to a listed router is up. It precedes the router's messages.
    LinkUp(Presence),
    /// The bytes of a message from another membership.
    MessageReceived(Member, Vec<u8>),
    /// Evidence that this router has observed.
    LocalEvidence(Evidence),
    /// The timer with this token has expired; timers are passed in the order in which they expire. An unknown token has no effect.
    Timer(u64),
    /// This router shuts down.
    Leave,
}

/// An output of [`Membership::handle`], to be executed by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends bytes to another membership.
    Send(Member, Vec<u8>),
    /// Starts a timer.
    Timer {
        /// The time after which it expires, in milliseconds.
        delay: Ms,
        /// The number that [`Event::Timer`] returns.
        token: u64,
    },
    /// A router's state, address or domain has changed.
    StateChanged(Presence, State),
    /// Another router has reported evidence.
    RemoteEvidence(Member, Evidence),
    /// A log line.
    Log(String),
}

/// Why an event was rejected. A rejected event has changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The router is not one that the configuration lists.
    #[error("{0} is not a listed router")]
    NotListed(RouterId),
    /// A message names another router than its sender, or comes under the name of this router.
    #[error("{from}: a message in the name of {claimed}")]
    SenderMismatch {
        /// The sender.
        from: Member,
        /// The router that the message names.
        claimed: Member,
    },
    /// A message can't be decoded.
    #[error("membership message: {0}")]
    MalformedMessage(String),
    /// A message is longer than any that a membership sends.
    #[error("membership message: expected at most {max_bytes} bytes, found {found_bytes}")]
    TooLong {
        /// The limit.
        max_bytes: usize,
        /// The message's bytes.
        found_bytes: usize,
    },
    /// A limit is reached.
    #[error("{limited}: the limit of {limit} is reached")]
    LimitReached {
        /// What is limited.
        limited: &'static str,
        /// The limit.
        limit: usize,
    },
    /// A field of evidence is out of range.
    #[error("evidence: {field}: {problem}")]
    InvalidEvidence {
        /// The first field that is out of range.
        field: &'static str,
        /// What was expected, and what was found.
        problem: String,
    },
    /// A setting is out of range.
    #[error("roster.{setting}: expected {expected}")]
    Setting {
        /// Its name in the configuration.
        setting: &'static str,
        /// The expected values.
        expected: &'static str,
    },
}
