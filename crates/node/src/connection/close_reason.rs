//! Why a connection is closed or no longer read.

use crate::resp::DecodeError;

/// Why the owner closes a client's connection on which no request is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleReason {
    /// It has been idle for longer than the idle timeout.
    IdleTimeout,
    /// Other clients wait for its slot.
    SlotNeeded,
    /// The process shuts down.
    Shutdown,
}

/// Why no more is read on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it, or it failed.
    PeerClosed,
    /// The peer sent bytes that can't be decoded.
    Malformed(DecodeError),
    /// No complete message came within the time for the first one.
    NoFirstMessage,
    /// A message was begun and not completed in time.
    IncompleteMessage,
    /// The owner asked for the close, and no message crossed the request.
    IdleClose(IdleReason),
    /// The owner dropped the client.
    Dropped,
}
