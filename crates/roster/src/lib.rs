//! Which routers there are and what is heard of them, by SWIM: evidence for others, never a decision.
//!
//! State in, events in, actions out; time and random numbers are handed in. A router that returns with another folder is another
//! incarnation; its former self is gone for good. Where routers are and in which domain goes round with the membership, and so does evidence on
//! sites (a few bytes each, with an end), which is advisory only.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use basaltgw_ids::{Domain, Member, Ms};
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
    /// It is held to be down, and not to return under this incarnation.
    Down,
}

/// What the roster is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A link to a router is up.
    Met(Presence),
    /// Bytes of another roster.
    Bytes(Member, Vec<u8>),
    /// Something was heard of a site here.
    Heard(Evidence),
    /// A timer came due.
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
    State(Presence, State),
    /// Others have heard something of a site.
    Told(Member, Evidence),
    /// A line for the operators.
    Report(String),
}
