//! Which routers of a fleet link with which, and how words for all of them reach each once. Decided without I/O or clock.
//!
//! Links follow from an agreed [`List`]: a router dials two routers above it, control machines on top, a few relays in each region, tiers of
//! the region's routers below. Words go down and up the first of the two links at once, in batches; of the second a router only hears what is
//! new, and fetches there what doesn't come by the first. Short digests between neighbours find all else.
//!
//! - [`Overlay`]: the decisions; [`Event`] in, [`Action`] out; it wants to be woken at [`Overlay::due`];
//! - [`List`], [`choices`]: who links to whom;
//! - [`Settings`]: times and bounds, with units; [`Counters`]: all that was refused, dropped, late, by cause.
//!
//! Nothing is agreed on here and nothing that must be safe may rest on it: a word comes to all who live and hang together, or the router that
//! missed one is told so ([`Action::Missed`]). `docs/overlay.md` has the reasons, what is promised and what is not.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod ask;
mod broken;
#[cfg(test)]
mod byte_tests;
mod compare;
mod counters;
mod fetch;
mod flow;
mod link;
mod list;
mod overlay;
mod pace;
mod place;
mod settings;
mod standing;
mod streams;
mod told;
mod wire;

#[cfg(feature = "broken")]
pub use broken::InjectedBug;
pub use compare::{Behind, StateSizes};
pub use counters::Counters;
pub use list::{RouterEntry, RouterList, Shape};
pub use overlay::Overlay;
pub use place::{choices, Choice};
pub use settings::{Settings, CATCH_UP_MS};

use basaltgw_types::{Member, RouterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What words are about; those of each kind come in the order in which their router said them, and the kinds go in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Purges.
    Purge,
    /// Tables, rules, settings.
    Table,
    /// Evidence.
    Evidence,
    /// All else, when there is room.
    Background,
}

impl Kind {
    /// All, the first first.
    pub const ALL: [Kind; 4] = [Kind::Purge, Kind::Table, Kind::Evidence, Kind::Background];
}

/// Who dialled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// This router.
    Local,
    /// The other.
    Remote,
}

/// Who said a word: one life of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The short form of its name; see [`Overlay::named`].
    pub router: u32,
    /// Drawn at its start.
    pub incarnation: u32,
}

/// What the overlay is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The agreed list has changed.
    RouterListChanged(Arc<RouterList>),
    /// A link is up.
    LinkUp(Member, Side),
    /// A link is gone.
    LinkDown(Member),
    /// A dial came to nothing.
    DialFailed(RouterId),
    /// A frame came.
    FrameReceived(Member, Vec<u8>),
    /// A word for all. Words of one kind with the same bytes are one word for as long as words are kept: whoever means another puts its
    /// number in.
    Publish(Kind, Vec<u8>),
    /// A word that is known here by another way, and likely at the other routers too: the router above is asked whether it knows it, and it
    /// is said by whoever has nobody above.
    AlreadyKnown(Kind, Vec<u8>),
    /// The time of [`Overlay::due`] has come.
    TimersDue,
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Dial a router; [`Event::Up`] or [`Event::Refused`] follows.
    Dial(RouterId),
    /// Close a link, once what was sent on it has gone; no [`Event::Down`] need follow.
    Close(Member),
    /// Send a frame; its most urgent kind is named.
    Send(Member, Kind, Vec<u8>),
    /// A word that was not known here, and who said it; this router itself if it came up from one below.
    Deliver(Kind, Vec<u8>, Origin),
    /// Words that nobody has any more, or that have settled while this router did not hear: copies made before must be held to be stale.
    GapDetected {
        /// Whose.
        origin: Origin,
        /// Of which kind.
        kind: Kind,
        /// The first.
        from: u64,
        /// The last.
        to: u64,
    },
    /// A line for the operators.
    Log(String),
}

/// Why something was refused; nothing changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OverlayError {
    /// A setting that can't be.
    #[error("overlay.{0}: expected {1}")]
    Setting(&'static str, &'static str),
    /// A router is listed twice.
    #[error("list: {0} is listed twice")]
    Twice(RouterId),
    /// A frame can't be read.
    #[error("a frame of an overlay: {0}")]
    Garbled(String),
    /// A frame is longer than any overlay writes.
    #[error("a frame of an overlay: expected at most {most} bytes, found {found}")]
    TooLong {
        /// The bound.
        most: usize,
        /// Its bytes.
        found: usize,
    },
}
