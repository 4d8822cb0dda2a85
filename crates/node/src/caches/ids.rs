//! Ids of connections and attempts, how a connection can end, and what cancelling an attempt can result in.

use crate::clients::message::WireId;
use crate::connection::CloseReason;
use basaltgw::api::AttemptNo;

/// The number of a connection to a server, unique in the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);
/// The number of a request in the owner's table, unique in the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestNo(pub u64);
/// The key of an attempt in the owner's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The request's number.
    pub request: RequestNo,
    /// The attempt's place among the request's attempts, from 0.
    pub attempt: AttemptNo,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// It was not established.
    ConnectFailed,
    /// It was not established, since this machine lacked a resource; this says nothing about the server.
    LocalShortage,
    /// It was established, and closed for this reason.
    Closed(CloseReason),
}

/// The result of cancelling an attempt.
#[derive(Debug)]
pub enum CancelOutcome {
    /// No byte of it was written: it was not executed.
    NotSent,
    /// The server may execute it until it answers the probe with this tag, or the connection is closed.
    AwaitingConfirmation(WireId),
    /// Its connection is already closed.
    Closed,
}
