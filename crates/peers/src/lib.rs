//! Links between routers: a thread of its own, length-delimited and checksummed frames, a hello, and bounded lanes.
//!
//! It carries bytes for others and decides nothing. Rings join it to its two users (the owner's thread and the copies' thread): a full ring
//! or lane refuses at once, and what was taken and could not be written is told as unsent. A slow, silent, garbling or flooding peer costs only
//! its own link. Addresses that were not listed are not spoken to.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codec;
mod counts;
mod hub;
mod lanes;
pub mod limits;
mod link;
mod port;
mod thread;

pub use counts::Counts;
pub use port::{Ended, Links, Port, Refused, Rest, User};
pub use thread::start;

/// The frames as bytes, for tests that play a peer.
pub mod frames {
    pub use crate::codec::{BadFrame, Codec, Frame, Kind};
}

use basaltgw_ids::{Domain, Member, RouterId, TableHash, TableVersion};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The version of the frames; another is refused with its number named.
pub const PROTOCOL: u16 = 1;

/// What a frame is for: each lane has its own bounds, and is written in this order where several wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lane {
    /// What is heard of routers.
    Roster,
    /// Copies of holds, and the table's register.
    Holds,
    /// Tables, in portions.
    Table,
    /// Parts that a gather asks for, and their answers.
    Gather,
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

/// A peer as the configuration lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub router: RouterId,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Where it stands; its hello must agree.
    pub domain: Domain,
}

/// Bounds of each lane of each link, and of the rings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Frames that wait to be written on a lane.
    pub frames: usize,
    /// Their bytes; also the bytes of bodies that each of a user's two rings holds. At least one frame.
    pub bytes: usize,
    /// The longest frame, in bytes.
    pub frame: usize,
    /// Entries of a ring.
    pub ring: usize,
}

/// What is asked of the links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Carry bytes to a router. `no` comes back in [`Told::Unsent`] if they were not written whole.
    Send {
        /// The sender's number for it.
        no: u64,
        /// To whom; only to this life of it.
        to: Member,
        /// On which lane.
        lane: Lane,
        /// What.
        body: Vec<u8>,
    },
    /// The table by which the own hello goes from now on.
    Table(TableVersion, TableHash),
    /// End in order.
    End,
}

/// Why a link is down, or a frame was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Why {
    /// There is no link to it now.
    NoLink,
    /// Its lane is full.
    Full,
    /// The link broke with it unwritten, or in part.
    Broken,
    /// The peer was silent.
    Silent,
    /// The peer sent what can't be read.
    Garbled,
    /// The peer sent more than it may.
    Flooded,
    /// The peer is not the one that is listed, or of another fleet or protocol.
    Stranger,
    /// Another life of the router has taken its place.
    Replaced,
}

/// What the links tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// A link came up, or its peer goes by another table.
    Up(Hello),
    /// A link is down.
    Down(Member, Why),
    /// Bytes came.
    Got {
        /// From whom.
        from: Member,
        /// On which lane.
        lane: Lane,
        /// What.
        body: Vec<u8>,
    },
    /// What was to be sent was not written whole: it may have reached nobody, or (if `Broken`) somebody.
    Unsent {
        /// The sender's number.
        no: u64,
        /// To whom.
        to: Member,
        /// Why.
        why: Why,
    },
}
