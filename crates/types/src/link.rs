//! A link between two routers: its lanes, its handshake, and why it is down. Shared by the transport and the packages that use it.

use crate::{Domain, Member, TableHash, TableVersion};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The version of the frame format. A peer with another version is refused, with its version in the message.
pub const PROTOCOL_VERSION: u16 = 1;

/// A link's queues of frames. Each lane has its own limits; where several have frames to write, they are written in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lane {
    /// Membership gossip.
    Membership,
    /// Messages between replicas of registers, that of the placement table included.
    Registers,
    /// Messages between control planes: the table's state, purge sync, lease queries, overlay frames.
    Table,
    /// Scatter-gather sub-requests and their answers.
    ScatterGather,
}

/// The first message on a link, both ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// The fleet's name; links between fleets are refused.
    pub cluster: Arc<str>,
    /// The sender.
    pub member: Member,
    /// The sender's failure domain.
    pub domain: Domain,
    /// The placement table that the sender uses; version 0 and a hash of zeros without one.
    pub table: (TableVersion, TableHash),
}

/// Why a link is down, or a frame was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkError {
    /// There is no link to the peer.
    NotConnected,
    /// The frame's lane is full.
    QueueFull,
    /// The connection was lost; the frame was not written, or in part only.
    ConnectionLost,
    /// The peer sent nothing for too long.
    PeerTimeout,
    /// The peer sent bytes that can't be decoded.
    MalformedFrame,
    /// The peer sent more than its rate limit.
    RateExceeded,
    /// The peer is not the listed router, or belongs to another fleet or protocol version.
    PeerMismatch,
    /// Another incarnation of the router has taken its place.
    Replaced,
    /// The router that dialled the link has closed it, since it was idle and not needed. This says nothing about the peer's health.
    Idle,
}
