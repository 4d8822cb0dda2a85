//! What is said of a link between two routers, as the packages on both sides of it have it.

use crate::{Domain, Member, TableHash, TableVersion};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The version of the frames; another is refused with its number named.
pub const PROTOCOL_VERSION: u16 = 1;

/// What a frame is for: each lane has its own bounds, and is written in this order where several wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lane {
    /// What is heard of routers.
    Membership,
    /// Copies of holds, and the table's register.
    Registers,
    /// Tables, in portions.
    Table,
    /// Parts that a gather asks for, and their answers.
    ScatterGather,
}

/// The first message on a link, both ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// See [`PROTOCOL`].
    pub protocol: u16,
    /// The fleet's name: links between fleets are refused.
    pub cluster: Arc<str>,
    /// Who speaks.
    pub member: Member,
    /// Where it stands.
    pub domain: Domain,
    /// The table that it goes by.
    pub table: (TableVersion, TableHash),
}

/// Why a link is down, or a frame was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkError {
    /// There is no link to it now.
    NotConnected,
    /// Its lane is full.
    QueueFull,
    /// The link broke with it unwritten, or in part.
    ConnectionLost,
    /// The peer was silent.
    PeerTimeout,
    /// The peer sent what can't be read.
    MalformedFrame,
    /// The peer sent more than it may.
    RateExceeded,
    /// The peer is not the one that is listed, or of another fleet or protocol.
    PeerMismatch,
    /// Another life of the router has taken its place.
    Replaced,
    /// Whoever dialled the link has closed it in order: it was idle and not wanted. Says nothing of the peer's health.
    Idle,
}
