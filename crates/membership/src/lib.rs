//! Which routers there are and what is heard of them, by SWIM: evidence for others, never a decision.
//!
//! State in, events in, actions out; time and random numbers are handed in. A router that returns with another folder is another
//! incarnation; its former self is gone for good. Where routers are and in which domain goes round with the membership, and so does evidence on
//! sites (a few bytes each, with an end), which is advisory only.
//!
//! # What it stands on
//!
//! SWIM with suspicion (Das, Gupta, Motivala, *SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol*, DSN 2002)
//! as the library `foca` 2 (MPL-2.0) has it: no I/O, no clock, timers and random numbers handed in, so that it runs in simulated time here.
//! Weighed besides: `memberlist` and `chitchat` (they bring sockets and an async runtime), own code (the probing and suspicion are a hundred
//! small cases that the library has tests for). What the library leaves to its user is decided here: which of two lives of one name is the
//! current one, how they learn of each other ([`Event::Met`]: each says what it knows of the other before anything else), bounds on members,
//! and evidence, whose age has to grow while it waits (its broadcasts go on with the bytes that came).
//!
//! # Two lives of one name
//!
//! A life names the folders that it came in place of. It is told of them when it meets a router that knows one, and puts itself after them; a
//! former life that hears of its successor is over at once ([`State::Down`] of itself), whatever number it had reached. Clocks have no say. Two
//! machines that are given one name by mistake and come at once both put themselves after the other: the numbers, then the folders' random
//! names decide, and one is over. Who was held to be down without another life in its place (a cut, a pause) comes back as itself, counted up.
//!
//! # Promised, and not
//!
//! Every timer, map and message is bounded ([`Settings`]). Ages of evidence are at least what they say: time on the wire isn't counted. States are
//! opinions and may differ between routers at any moment; nothing that must be safe may rest on them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(test)]
mod byte_tests;
mod evidence;
mod life;
mod roster;
mod settings;
mod sink;
mod talk;
mod wire;

pub use roster::{Counters, Membership};
pub use settings::Settings;

use basaltgw_types::{Domain, Member, Ms, RouterId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A router as the membership knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Who.
    pub member: Member,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Where it stands.
    pub domain: Domain,
}

/// What is heard of a site (a zone's caches, a router), for others to weigh.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Which site.
    pub site: Arc<str>,
    /// Missed and answered of late, and the latency of those that were answered, in milliseconds.
    pub missed: u32,
    /// See `missed`.
    pub answered: u32,
    /// See `missed`.
    pub latency: Ms,
    /// How old it is, in milliseconds: nobody's clock is compared with another's.
    pub age: Ms,
}

/// How a router is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It answers.
    Alive,
    /// It has not answered, and others are asked.
    Suspect,
    /// It is held to be down. It returns as the same member if it was only cut off or paused, and never once another incarnation of its
    /// name is heard of. Told of the own member: another incarnation has taken its place, and the roster says no more.
    Down,
}

/// What the roster is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A link to a listed router is up, and its hello said this. The first event about a router; its bytes come after it.
    LinkUp(Presence),
    /// Bytes of another roster.
    MessageReceived(Member, Vec<u8>),
    /// Something was heard of a site here.
    LocalEvidence(Evidence),
    /// A timer came due; those that are due together come in the order of their times. One that is not known any more does nothing.
    Timer(u64),
    /// The own router ends in order.
    Leave,
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Carry bytes to another roster.
    Send(Member, Vec<u8>),
    /// Wake it after this time.
    Timer(Ms, u64),
    /// A router's state has changed.
    StateChanged(Presence, State),
    /// Others have heard something of a site.
    RemoteEvidence(Member, Evidence),
    /// A line for the operators.
    Log(String),
}

/// Why an event was refused; nothing changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The router is not one that the configuration lists.
    #[error("{0}: expected a router that is listed")]
    NotListed(RouterId),
    /// A message speaks for another than its sender, or for the own name.
    #[error("{from}: a message that speaks for {says}")]
    SenderMismatch {
        /// Who sent it.
        from: Member,
        /// For whom it speaks.
        says: Member,
    },
    /// A message can't be read.
    #[error("a message of a roster: {0}")]
    MalformedMessage(String),
    /// A message is longer than any roster writes.
    #[error("a message of a roster: expected at most {most} bytes, found {found}")]
    TooLong {
        /// The bound.
        most: usize,
        /// Its bytes.
        found: usize,
    },
    /// A bound is met.
    #[error("{0}: {1} are known, which is as many as may be")]
    LimitReached(&'static str, usize),
    /// A field of evidence that can't be.
    #[error("evidence: {0}: {1}")]
    Evidence(&'static str, String),
    /// A setting that can't be.
    #[error("roster.{0}: expected {1}")]
    Setting(&'static str, &'static str),
}
