//! Links between routers: a thread of its own, length-delimited and checksummed frames, a hello, and bounded lanes.
//!
//! It carries bytes for others and decides nothing. Rings join it to its two users (the owner's thread and the copies' thread): a full ring
//! or lane refuses at once, and what was taken and could not be written is told as unsent. A slow, silent, garbling or flooding peer costs only
//! its own link. Addresses that were not listed are not spoken to.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(test)]
mod byte_tests;
mod codec;
mod counts;
mod hub;
mod lanes;
pub mod limits;
mod link;
mod outbox;
#[cfg(test)]
mod outbox_tests;
mod port;
mod settings;
mod thread;
mod wants;

pub use counts::Counts;
pub use port::{CommandError, Links, Port, TransportEnded, TransportHandle, TransportUser};
pub use settings::{DialPolicy, Settings};
pub use thread::start;

/// The frames as bytes, for tests that play a peer.
pub mod frames {
    pub use crate::codec::{BadFrame, Codec, Frame, Kind};
}

pub use basaltgw_types::link::{Hello, Lane, LinkError, PROTOCOL_VERSION};
use basaltgw_types::{Domain, Member, RouterId, TableHash, TableVersion};
use std::net::SocketAddr;

/// A peer as the configuration lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerConfig {
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
    pub max_queued_frames: usize,
    /// Their bytes; also the bytes of bodies that each of a user's two rings holds. At least one frame.
    pub max_queued_bytes: usize,
    /// The longest frame, in bytes.
    pub max_frame_bytes: usize,
    /// Entries of a ring.
    pub ring_entries: usize,
}

/// What is asked of the links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkCommand {
    /// Carry bytes to a router. `no` comes back in [`Told::Unsent`] if they were not written whole.
    Send {
        /// The sender's number for it.
        number: u64,
        /// To whom; only to this life of it.
        to: Member,
        /// On which lane.
        lane: Lane,
        /// What.
        body: Vec<u8>,
    },
    /// A router is wanted from now on, or no more; only where [`Dials::Wanted`]. While any user wants it, it is dialled until a link is up; each
    /// try that comes to nothing is answered by [`Told::Unreached`]. If a link is up it is told again: it is not closed for being idle then.
    SetWanted(RouterId, bool),
    /// The table by which the own hello goes from now on.
    AdvertiseTable(TableVersion, TableHash),
    /// End in order.
    Shutdown,
}

/// What the links tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A link came up, or its peer goes by another table.
    LinkUp(Hello),
    /// A link is down.
    LinkDown(Member, LinkError),
    /// A router that this user wants was dialled and not reached. It is dialled again while it is wanted.
    DialFailed(RouterId),
    /// Bytes came.
    MessageReceived {
        /// From whom.
        from: Member,
        /// On which lane.
        lane: Lane,
        /// What.
        body: Vec<u8>,
    },
    /// What was to be sent was not written whole: it may have reached nobody, or (if `Broken`) somebody.
    SendFailed {
        /// The sender's number.
        number: u64,
        /// To whom.
        to: Member,
        /// Why.
        error: LinkError,
    },
}
