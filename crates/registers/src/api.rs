//! The events that drive a replica, the actions that it requests, and the responses to requests.

use crate::{Change, Record, RecordKey};
use basaltgw_types::{Member, Ms, Shard, ShardMap};
use std::sync::Arc;

/// The number of a request, assigned by the requester.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// The response to a request; each request gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The change was made and is durable on a quorum; contains the new record.
    Committed(Record),
    /// The change does not apply to the present record, which it contains (`None`: there is no record).
    Conflict(Option<Record>),
    /// The request could not be completed in time.
    Unavailable {
        /// True if no replica can ever store the change, so that the request was provably not executed; otherwise it may still take effect.
        not_executed: bool,
        /// The cause.
        reason: UnavailableReason,
        /// The Retry-After for the requester, in milliseconds.
        retry_after: Ms,
    },
}

/// Why a request could not be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnavailableReason {
    /// No shard map was received yet.
    NoPlacement,
    /// Too few replicas of a group are reachable.
    NoQuorum,
    /// The request's timeout has passed.
    DeadlineExceeded,
    /// Other proposers won each round.
    Contended,
    /// A limit is reached, here or at a replica.
    ResourceExhausted,
    /// A disk rejects writes: this router's, or a replica's (see [`Counters::storage_rejections`](crate::Counters::storage_rejections)).
    StorageFailed,
    /// This router and a replica use different shard maps; either may be outdated.
    StalePlacement,
    /// This incarnation may not vote yet. Not produced at present; the counter of this name remains.
    NotCaughtUp,
    /// The change does not apply to records of that kind.
    InvalidTransition,
}

impl UnavailableReason {
    /// The end of the counter's name, `holds_unkept_NAME`, as the operators' pages spell it.
    pub fn counter_name(self) -> &'static str {
        match self {
            Self::NoPlacement => "notable",
            Self::NoQuorum => "toofew",
            Self::DeadlineExceeded => "late",
            Self::Contended => "contended",
            Self::ResourceExhausted => "full",
            Self::StorageFailed => "nodisk",
            Self::StalePlacement => "oldtable",
            Self::NotCaughtUp => "notfilled",
            Self::InvalidTransition => "misfit",
        }
    }
}

/// An input of [`Registers::handle`](crate::Registers::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A request to commit a change.
    Request {
        /// The request's number.
        number: RequestNumber,
        /// The record.
        key: RecordKey,
        /// The change.
        change: Change,
        /// The time for a response, in milliseconds.
        timeout: Ms,
    },
    /// The bytes of a message from another replica.
    MessageReceived(Member, Vec<u8>),
    /// The message of this number was not written to the link.
    SendFailed(u64),
    /// Whether a peer is reachable. Requests do not wait for unreachable peers; safety does not depend on it.
    PeerReachable(Member, bool),
    /// The shard map from now on.
    ShardMap(Arc<ShardMap>),
    /// The batch of this number is durable, or (`false`) was not written.
    BatchStored(u64, bool),
    /// The timer of this token expired.
    Timer(u64),
}

/// An entry of the durable storage; its bytes are opaque to the storage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskRecord {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
}

impl From<(Vec<u8>, Vec<u8>)> for DiskRecord {
    fn from((key, value): (Vec<u8>, Vec<u8>)) -> Self {
        Self { key, value }
    }
}

/// A write to the durable storage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWrite {
    /// Sets the value of a key.
    Put(Vec<u8>, Vec<u8>),
    /// Removes a key.
    Remove(Vec<u8>),
}

/// An output of [`Registers::handle`](crate::Registers::handle), to be executed by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends bytes to another replica, under a number for [`Event::SendFailed`].
    Send(u64, Member, Vec<u8>),
    /// Writes a batch atomically, and reports it by [`Event::BatchStored`] under this number.
    Store(u64, Vec<DiskWrite>),
    /// Responds to a request.
    Respond(RequestNumber, RecordKey, Response),
    /// Starts a timer: the delay in milliseconds, and the token for [`Event::Timer`].
    Timer(Ms, u64),
    /// Under the shard map of this epoch the shard is synchronised here, or (`None`, once for each map and run) all shards new to this
    /// replica are. The table's owner proceeds once all new replicas have reported this.
    ShardSynced(u64, Option<Shard>),
    /// The member uses the shard map of this later epoch; it is to be fetched.
    StaleEpoch(u64, Member),
    /// A log line.
    Log(String),
}
