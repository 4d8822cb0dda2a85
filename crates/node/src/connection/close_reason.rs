//! Why a connection is closed or no longer read.

use crate::resp::DecodeError;

/// Why the owner closes a client's connection on which no request is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleReason {
    /// The connection has been idle for longer than the idle timeout.
    IdleTimeout,
    /// Other clients wait for its slot.
    SlotNeeded,
    /// The process shuts down.
    Shutdown,
    /// The client cancelled too many of its requests early.
    Misuse,
}

/// Why nothing more is read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed the connection, or it failed.
    PeerClosed,
    /// The peer sent bytes that can't be decoded.
    Malformed(DecodeError),
    /// The first message was not complete in time.
    NoFirstMessage,
    /// A message that had begun was not complete in time.
    IncompleteMessage,
    /// The owner requested the close, and no message of the client crossed the request.
    IdleClose(IdleReason),
    /// The owner dropped the client.
    Dropped,
}
