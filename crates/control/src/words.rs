//! What the control parts of two routers say to each other besides holds and membership.

use super::purges::Purge;
use basaltgw_registers::RecordKey;
use serde::{Deserialize, Serialize};

/// Purges in one message.
pub const PURGES_AT_ONCE: usize = 512;
/// Bytes of a frame of the overlay: the bound that its own settings have.
pub const MOST_SPREAD: usize = 64 << 10;

/// A message on the table's lane.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Say which purges you know.
    PurgeSyncRequest,
    /// Some that are known; `last` if these are all that were left.
    PurgeSync {
        /// At most [`PURGES_AT_ONCE`].
        purges: Vec<Purge>,
        /// See above.
        last: bool,
    },
    /// Say what stands in the table's register.
    TableRequest,
    /// The table's register as it stands here: advisory, whoever takes it over goes by no older one.
    TableState {
        /// Its serial.
        serial: u64,
        /// Its content.
        body: Vec<u8>,
    },
    /// The register's content of a turn was read here and is on the disk; no map before it is vouched by any more.
    TableDurable {
        /// The turn.
        term: u64,
    },
    /// Have you still got this out? If not, say so to its keepers.
    LeaseQuery {
        /// Which hold.
        key: RecordKey,
        /// Under which turn.
        term: u32,
    },
    /// Besides, all holds are here that this router is to keep by it.
    ReplicaSynced {
        /// The turn.
        term: u64,
    },
    /// The link is used by the overlay from now on, or no more.
    OverlayLink {
        /// See above.
        open: bool,
    },
    /// A frame of the overlay: words for all, and what neighbours say to each other about them.
    OverlayFrame(Vec<u8>),
}

impl Message {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads one; `None` if it is none, or has bytes left over.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (word, rest) = postcard::take_from_bytes(bytes).ok()?;
        let fits = match &word {
            Self::PurgeSync { purges: some, .. } => some.len() <= PURGES_AT_ONCE,
            Self::PurgeSyncRequest | Self::TableRequest | Self::TableState { .. } => true,
            Self::TableDurable { .. } | Self::ReplicaSynced { .. } | Self::LeaseQuery { .. } => true,
            Self::OverlayLink { .. } => true,
            Self::OverlayFrame(frame) => frame.len() <= MOST_SPREAD,
        };
        (rest.is_empty() && fits).then_some(word)
    }
}
