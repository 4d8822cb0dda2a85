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
pub type AttemptKey = (RequestNo, AttemptNo);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// It never came up.
    NeverUp,
    /// It never came up, since this machine was short of a resource; this says nothing about the server.
    Shortage,
    /// It was up.
    Ended(CloseReason),
}

/// How an attempt was cancelled.
#[derive(Debug)]
pub enum GivenUp {
    /// No byte of it was written: it was not executed.
    Never,
    /// The server may have it until it answers under this tag, or its connection is closed.
    Behind(WireId),
    /// Its connection is closed.
    Closed,
}
