//! Links between routers: frames with length and checksum, a handshake, and bounded queues, in a thread of their own.
//!
//! The transport carries bytes for others and decides nothing. Rings connect it to its two users (the owner's thread and the replication
//! thread). A full ring or queue rejects at once, and frames that were accepted but not written are reported by [`LinkEvent::SendFailed`]. A
//! slow, silent, malformed or flooding peer affects only its own link. Unlisted addresses get no response.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[cfg(test)]
mod byte_tests;
mod codec;
mod connection;
mod connection_manager;
mod counters;
mod dialling;
mod dials;
mod frame_stream;
mod handshake;
pub mod limits;
mod port;
mod priority_queues;
mod settings;
mod thread;
mod user_endpoint;

pub use counters::Counters;
pub use port::{CommandError, Links, Port, TransportEnded, TransportHandle, TransportUser};
pub use settings::{DialPolicy, Settings};
pub use thread::start;

/// The codec of frames, for tests that act as a peer and for the fleet simulation.
pub mod frames {
    pub use crate::codec::{BadFrame, Codec, Frame, Kind};
}

pub use basaltgw_types::link::{Hello, Lane, LinkError, PROTOCOL_VERSION};
use basaltgw_types::{Domain, Member, RouterId, TableHash, TableVersion};
use std::net::SocketAddr;

/// A peer as the configuration lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerConfig {
    /// The name.
    pub router: RouterId,
    /// The address on which it accepts links.
    pub address: SocketAddr,
    /// The failure domain, which its hello must name.
    pub domain: Domain,
}

/// The limits of each queue of each link, and of the rings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Frames in a queue.
    pub max_queued_frames: usize,
    /// Body bytes in a queue, and in each of a user's two rings; at least `max_frame_bytes`.
    pub max_queued_bytes: usize,
    /// The longest body of a frame, in bytes.
    pub max_frame_bytes: usize,
    /// Entries of a ring.
    pub ring_entries: usize,
}

/// A command to the transport.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkCommand {
    /// Sends bytes to a router. Its number is returned by [`LinkEvent::SendFailed`] if they were not written completely.
    Send {
        /// Chosen by the user, and not interpreted.
        number: u64,
        /// The recipient; only this incarnation of it.
        to: Member,
        /// The lane.
        lane: Lane,
        /// The bytes.
        body: Vec<u8>,
    },
    /// Whether the user wants a link to a router; only with [`DialPolicy::OnDemand`]. While any user wants one, the router is dialled until a
    /// link is up, and each failure is reported by [`LinkEvent::DialFailed`]. An existing link is reported again, and not closed as idle.
    SetWanted {
        /// The router.
        router: RouterId,
        /// Whether the user wants a link to it from now on.
        wanted: bool,
    },
    /// Sets the table that this router's hello names from now on.
    AdvertiseTable(TableVersion, TableHash),
    /// Shuts the transport down gracefully.
    Shutdown,
}

/// An event of the transport.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A link is up, or its peer uses another table.
    LinkUp(Hello),
    /// A link is down, for this reason.
    LinkDown(Member, LinkError),
    /// A dial to a router that this user wants has failed. It is repeated while the router is wanted.
    DialFailed(RouterId),
    /// A frame was received.
    MessageReceived {
        /// The sender.
        from: Member,
        /// The lane.
        lane: Lane,
        /// The bytes.
        body: Vec<u8>,
    },
    /// A frame was not written completely. The recipient did not receive it, or (with [`LinkError::ConnectionLost`]) may have.
    SendFailed {
        /// Its number in [`LinkCommand::Send`].
        number: u64,
        /// The recipient.
        to: Member,
        /// The cause.
        error: LinkError,
    },
}
