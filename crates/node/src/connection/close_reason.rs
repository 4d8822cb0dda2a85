//! Why a connection is closed or no longer read.

use crate::resp::Malformed;

/// Why the owner closes a client's connection on which no request is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleReason {
    /// It has been idle for longer than the idle timeout.
    Idle,
    /// Other clients wait for its slot.
    Room,
    /// The process shuts down.
    End,
}

/// Why no more is read on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer closed it, or it failed.
    Ended,
    /// The peer sent bytes that can't be decoded.
    Unreadable(Malformed),
    /// No complete message came within the time for the first one.
    Silent,
    /// A message was begun and not completed in time.
    Unfinished,
    /// The owner asked for the close, and no message crossed the request.
    Quiet(IdleReason),
    /// The owner dropped the client.
    Dropped,
}
