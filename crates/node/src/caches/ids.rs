//! Ids of connections and attempts, and how each can end.

use crate::clients::message::WireId;
use crate::connection::CloseReason;
use basaltgw::api::AttemptNo;

/// A connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);
/// A request in the owner's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNo(pub u64);
/// An attempt in the owner's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Its request.
    pub request: RequestNo,
    /// Its number within the request.
    pub attempt: AttemptNo,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// It never came up.
    ConnectFailed,
    /// It never came up, since this machine was short of a resource; this says nothing about the server.
    LocalShortage,
    /// It was up.
    Closed(CloseReason),
}

/// How an attempt was cancelled.
#[derive(Debug)]
pub enum CancelOutcome {
    /// No byte of it was written: it was not executed.
    NotSent,
    /// The server may have it until it answers under this tag, or its connection is closed.
    AwaitingConfirmation(WireId),
    /// Its connection is closed.
    Closed,
}
