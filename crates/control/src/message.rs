//! Messages between control planes on [`basaltgw_types::link::Lane::Table`]: purge sync, table state, lease queries and overlay frames.
//!
//! Encoding is postcard: the order of variants and fields is the wire format.

use crate::purges::Purge;
use basaltgw_registers::RecordKey;
use serde::{Deserialize, Serialize};

/// Largest number of purges in one [`Message::PurgeSync`].
pub const MAX_PURGES_PER_MESSAGE: usize = 512;
/// Largest overlay frame, also the limit in the overlay's own settings.
pub const MAX_OVERLAY_FRAME_BYTES: usize = 64 << 10;

/// Message on the table lane.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the receiver's known purges.
    PurgeSyncRequest,
    /// Part of the sender's known purges.
    PurgeSync {
        /// At most [`MAX_PURGES_PER_MESSAGE`] purges.
        purges: Vec<Purge>,
        /// Whether this part completes the sender's purges.
        last: bool,
    },
    /// Requests the state of the table register.
    TableRequest,
    /// State of the table register at the sender. Advisory: a receiver never returns to an older state.
    TableState {
        /// Number of changes of the register.
        serial: u64,
        /// Encoded `basaltgw_placement::Register`.
        body: Vec<u8>,
    },
    /// The register content of this term is durable at the sender, which accepts no older shard map any more.
    TableDurable {
        /// Term of the register content.
        term: u64,
    },
    /// Asks the owner of a lease whether it still holds it. If not, the receiver marks the outcome as unknown.
    LeaseQuery {
        /// Register of the lease.
        key: RecordKey,
        /// Term of the lease.
        term: u32,
    },
    /// As [`Self::TableDurable`], and the sender has synced every shard that the content newly assigns to it.
    ReplicaSynced {
        /// Term of the register content.
        term: u64,
    },
    /// The overlay starts or stops using the link.
    OverlayLink {
        /// Whether the overlay uses the link from now on.
        open: bool,
    },
    /// Frame of the overlay, at most [`MAX_OVERLAY_FRAME_BYTES`] long.
    OverlayFrame(Vec<u8>),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` if the bytes are malformed, exceed a limit or have a remainder.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (message, remainder): (Self, _) = postcard::take_from_bytes(bytes).ok()?;
        (remainder.is_empty() && message.is_within_limits()).then_some(message)
    }

    fn is_within_limits(&self) -> bool {
        match self {
            Self::PurgeSync { purges, .. } => purges.len() <= MAX_PURGES_PER_MESSAGE,
            Self::OverlayFrame(frame) => frame.len() <= MAX_OVERLAY_FRAME_BYTES,
            Self::PurgeSyncRequest | Self::TableRequest | Self::TableState { .. } => true,
            Self::TableDurable { .. } | Self::ReplicaSynced { .. } | Self::LeaseQuery { .. } => true,
            Self::OverlayLink { .. } => true,
        }
    }
}
