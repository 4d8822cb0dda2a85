//! Why a second connection to the change log is opened.

use std::fmt;

/// Why a second connection is opened beside the active one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconnectReason {
    /// No complete frame was received for longer than the interval between frames.
    Silent,
    /// Empty frames name events that were not received.
    MissingEvents,
}

impl fmt::Display for ReconnectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Silent => "no frame in time",
            Self::MissingEvents => "events missing",
        })
    }
}
