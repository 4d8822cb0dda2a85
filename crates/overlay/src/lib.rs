//! Dissemination overlay of the fleet: which routers are linked, and how an update reaches each router once. Decided without I/O and clock.
//!
//! Links follow from an agreed [`RouterList`]: a router dials two parents. Control machines are on top, a few relays of each region below
//! them, and tiers of the region's routers below the relays. The primary parent pushes updates in batches; other links announce them, and the
//! router fetches what the primary parent does not send in time. Digests between neighbors find everything else.
//!
//! [`Overlay::handle`] takes the time and an [`Event`], and returns [`Action`]s; [`Overlay::next_timer`] says when
//! [`Event::TimersDue`] is due.
//!
//! | module | decides |
//! | --- | --- |
//! | `router_list`, `topology` | places of the listed routers; which routers a router dials |
//! | `link_selection`, `candidates` | dials, closed links, the primary parent |
//! | `publication`, `escalation` | which router publishes an update that several know; how the update reaches that router |
//! | `deduplication` | which updates are new |
//! | `forwarding`, `rate_limit` | what goes into the next frames; the budget |
//! | `repair`, `anti_entropy` | fetching missing updates; comparison of digests, and the lag of a router |
//! | `update_log`, `frame`, `link` | known updates; the wire format; the state of one link |
//!
//! Delivery is best effort: an update reaches all running routers that are connected, or a router that misses it reports
//! [`Action::GapDetected`]. `docs/overlay.md` has the guarantees and their reasons.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod anti_entropy;
#[cfg(test)]
mod byte_tests;
mod candidates;
mod counters;
mod deduplication;
mod escalation;
mod forwarding;
mod frame;
mod injected_bug;
mod link;
mod link_selection;
mod overlay;
mod publication;
mod rate_limit;
mod repair;
mod router_list;
mod settings;
mod topology;
mod update_log;

pub use anti_entropy::{Behind, StateSizes};
pub use counters::Counters;
#[cfg(feature = "broken")]
pub use injected_bug::InjectedBug;
pub use overlay::{LinkStatus, Overlay};
pub use router_list::{RouterEntry, RouterList, Shape};
pub use settings::{Settings, CATCH_UP_MS};
pub use topology::{choices, Choice};

use basaltgw_types::{Member, RouterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Kind of an update, in the order of priority. The updates of one kind and router arrive in the order of their publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Purges.
    Purge,
    /// Tables, rules, settings.
    Table,
    /// Evidence.
    Evidence,
    /// Everything else, as far as the budget allows.
    Background,
}

impl Kind {
    /// All kinds in the order of priority.
    pub const ALL: [Kind; 4] = [Kind::Purge, Kind::Table, Kind::Evidence, Kind::Background];
}

/// End of a link that dialed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// This router.
    Local,
    /// The neighbor.
    Remote,
}

/// Publisher of an update: one incarnation of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// Short form of its name; see [`Overlay::router_name`].
    pub router: u32,
    /// Random number of the incarnation.
    pub incarnation: u32,
}

/// Input of [`Overlay::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The agreed list has changed.
    RouterListChanged(Arc<RouterList>),
    /// A link is established.
    LinkUp(Member, Side),
    /// A link is closed.
    LinkDown(Member),
    /// A dial failed.
    DialFailed(RouterId),
    /// A frame arrived.
    FrameReceived(Member, Vec<u8>),
    /// Publish an update. During the retention, updates of one kind with equal bytes are the same update: a publisher that means another one
    /// includes a number.
    Publish(Kind, Vec<u8>),
    /// An update that this router knows without the overlay, as others probably do: one of them publishes it.
    AlreadyKnown(Kind, Vec<u8>),
    /// The time of [`Overlay::next_timer`] has come.
    TimersDue,
}

/// Output of [`Overlay::handle`], to be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Dial a router; [`Event::LinkUp`] or [`Event::DialFailed`] follows.
    Dial(RouterId),
    /// Close a link after its sent frames; [`Event::LinkDown`] need not follow.
    Close(Member),
    /// Send a frame. The kind is the highest priority of its parts.
    Send(Member, Kind, Vec<u8>),
    /// A new update with its publisher: this router itself for one that a child escalated.
    Deliver(Kind, Vec<u8>, Origin),
    /// Updates that no neighbor has any more, or that have converged while this router was not connected.
    GapDetected {
        /// Publisher.
        origin: Origin,
        /// Kind of the updates.
        kind: Kind,
        /// First missed number.
        from: u64,
        /// Last missed number.
        to: u64,
    },
    /// Line for the log.
    Log(String),
}

/// Error of an overlay. The state is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverlayError {
    /// A setting is out of its bounds.
    #[error("overlay.{setting}: expected {expected}")]
    Setting {
        /// Its name in the configuration.
        setting: &'static str,
        /// The expected values.
        expected: &'static str,
    },
    /// A router is listed twice.
    #[error("list: {0} is listed twice")]
    DuplicateRouter(RouterId),
    /// A frame is malformed.
    #[error("overlay frame: {0}")]
    MalformedFrame(String),
    /// A frame is too long.
    #[error("overlay frame: expected at most {max_bytes} bytes, found {found_bytes}")]
    TooLong {
        /// Largest accepted size in bytes.
        max_bytes: usize,
        /// Size of the frame in bytes.
        found_bytes: usize,
    },
}
