//! What routers hold for others, and how it is copied, decided without I/O: a register for each hold, changed by compare-and-swap Paxos (CASPaxos,
//! Rystsov 2018) on the keepers that the table names, so that nobody leads, nobody waits for an election, and an idle hold costs nothing.
//!
//! A hold has an owner, an end and a bound, and only moves forward ([`Change`]). It is answered [`Verdict::Kept`] only when it is on the disks of
//! enough keepers of every group of its shard; where that can't be had in time the verdict is [`Verdict::Unkept`], at once. No step trusts a clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acceptor;
#[cfg(test)]
mod byte_tests;
mod counters;
mod disk;
mod ends;
mod fill;
mod holds;
mod message;
#[cfg(test)]
mod model_tests;
mod proposer;
mod retry;
mod round;
mod settings;
mod step;

pub use counters::Counters;
pub use holds::{InjectedBug, OpenError, Registers};
pub use settings::{InvalidSetting, Settings};
pub use step::{fits, step, Refused};

use basaltgw_types::{Member, Ms, RouterId, ShardMap};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The four kinds of holds, and the table's own register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A keyed or unsafe request that has been taken on.
    Execution,
    /// A purge that was heard and has not settled.
    Purge,
    /// A time to come back that a refusal named.
    Ticket,
    /// Parts that a partial answer still owes.
    Continuation,
    /// Which table holds, and which is on its way in; kept by the root group.
    Table,
}

/// A hold's name; its shard comes from it alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// Its kind.
    pub kind: Kind,
    /// A hash of what it is about (a request's id, an object, a ticket's number).
    pub name: u128,
}

/// A router's question, numbered by the asker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// How an effect came out, for whoever asks again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served, with these bytes (bounded by the settings; a longer answer is `ServedUntold`).
    Served(Vec<u8>),
    /// Served; the bytes were too many to keep.
    ServedBodyOmitted,
    /// It ran, or may have, and failed.
    Failed,
}

/// What a register holds. Ends are counted on the keepers' own clocks from when they heard, as spans: they free room, and safety does not rest on them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An effect that its owner may have sent on.
    Leased {
        /// Who alone may send it.
        owner: Member,
        /// The takers before it that proved it never ran, counted: an earlier owner's word no longer counts.
        term: u32,
    },
    /// An effect whose owner proved that it never ran: whoever comes may take it.
    Released {
        /// See [`Hold::Out`].
        term: u32,
    },
    /// An effect that has ended.
    Completed(Outcome),
    /// An effect whose owner was lost with it out: it never invites a repeat.
    OutcomeUnknown,
    /// A purge of an object or a whole group, in Unix milliseconds of its cause.
    Purged {
        /// The group.
        group: u64,
        /// The object; `None` for all of the group.
        object: Option<u64>,
        /// When it happened, as the change log says.
        time: u64,
    },
    /// A place in a server's budget, named to a client.
    Ticket {
        /// The server for which it was.
        server: Arc<str>,
        /// Who named it.
        by: RouterId,
        /// True once it was used.
        used: bool,
    },
    /// Parts owed.
    Continuation {
        /// The object.
        object: u64,
        /// The version of what was answered: the rest must be of it too.
        version: Arc<str>,
        /// Those still missing.
        missing: Vec<u64>,
    },
    /// The table's register, in the bytes of its owner (`crates/placement`); `serial` grows with each change.
    Table {
        /// Changes so far.
        serial: u64,
        /// Their content.
        body: Vec<u8>,
    },
    /// It has ended and was cleared away: a late word on it finds this for as long as words may be under way.
    Tombstone,
}

/// What may be done to a hold; each moves it forward or is refused with what stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Take an effect on: from nothing or `Free`.
    Acquire(Member),
    /// Its owner proves that it never ran.
    Release(Member, u32),
    /// Its owner ends it.
    Complete(Member, u32, Outcome),
    /// Its owner is lost, or asks no more: nobody may send it again. From `Out` only.
    MarkOutcomeUnknown(u32),
    /// Keep a purge.
    Purge {
        /// See [`Hold::Purged`].
        group: u64,
        /// See [`Hold::Purged`].
        object: Option<u64>,
        /// See [`Hold::Purged`].
        time: u64,
    },
    /// Name a ticket.
    IssueTicket {
        /// See [`Hold::Ticket`].
        server: Arc<str>,
        /// See [`Hold::Ticket`].
        by: RouterId,
    },
    /// Use a ticket: once.
    UseTicket,
    /// Owe parts, or fewer of them.
    SetContinuation {
        /// See [`Hold::Debt`].
        object: u64,
        /// See [`Hold::Debt`].
        version: Arc<str>,
        /// See [`Hold::Debt`].
        missing: Vec<u64>,
    },
    /// Set the table's register, if it stands at this serial.
    SetTable {
        /// The serial that is expected.
        from: u64,
        /// The new content.
        body: Vec<u8>,
    },
    /// Only read: what stands is made sure of on enough keepers.
    Read,
    /// Its end has come.
    Expire,
}

/// The answer to a question: exactly one for each.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The change was made and is on enough disks; this is what stands.
    Committed(Record),
    /// It was not made, for what stands (`None`: nothing does).
    Conflict(Option<Record>),
    /// Enough keepers can't be had in time. `never`: no keeper can ever come to hold the change, so the request provably never ran;
    /// else it may yet be found made. With a time to come back.
    Unavailable {
        /// See [`Verdict::Unkept`].
        not_executed: bool,
        /// Why, in a word for counters.
        reason: UnavailableReason,
        /// Milliseconds.
        retry_after: Ms,
    },
}

/// Why something is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnavailableReason {
    /// There is no table yet.
    NoPlacement,
    /// Too few keepers are reached: a minority, or a cut.
    NoQuorum,
    /// The time given has passed.
    DeadlineExceeded,
    /// Others were quicker too often.
    Contended,
    /// A bound is met (here or at a keeper).
    ResourceExhausted,
    /// The own disk takes nothing.
    StorageFailed,
    /// The table that was gone by is an old one.
    StalePlacement,
    /// The own incarnation may not vouch (yet).
    NotCaughtUp,
    /// The change is none for a hold of that kind.
    InvalidTransition,
}

impl UnavailableReason {
    /// The end of the name of its counter, `holds_unkept_NAME`, as operators' pages have it.
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

/// What the package is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A question: the change is to be on enough disks within `within` milliseconds.
    Request {
        /// Its number.
        number: RequestNumber,
        /// About which hold.
        key: RecordKey,
        /// What is to change.
        change: Change,
        /// Time for it.
        timeout: Ms,
    },
    /// Bytes of another router's holds.
    MessageReceived(Member, Vec<u8>),
    /// What was sent under this number was not written; it may have reached nobody.
    SendFailed(u64),
    /// A router is reached, or not any more: advisory, so that nothing is waited for that can't come.
    PeerReachable(Member, bool),
    /// Who keeps what from now on.
    ShardMap(Arc<ShardMap>),
    /// Batch `no` is on the disk, or (`false`) will never be.
    BatchStored(u64, bool),
    /// A timer came due.
    Timer(u64),
}

/// A record for the disk: opaque to whoever stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWrite {
    /// Set.
    Put(Vec<u8>, Vec<u8>),
    /// Removed.
    Remove(Vec<u8>),
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Carry bytes to another router's holds, under a number for [`Event::Unsent`].
    Send(u64, Member, Vec<u8>),
    /// Put records on the disk, all or none, and say so under this number.
    Store(u64, Vec<DiskWrite>),
    /// The answer to a question.
    Respond(RequestNumber, RecordKey, Response),
    /// Wake it after this time.
    Timer(Ms, u64),
    /// Under the map of this epoch a shard is filled here, or (`None`, once for each map and run) all that the map newly gives this keeper.
    /// The table's owner may go on once all new keepers have said so.
    ShardSynced(u64, Option<basaltgw_types::Shard>),
    /// Another goes by this later epoch of the map: it is to be fetched, from that member or any.
    StaleEpoch(u64, Member),
    /// A line for the operators.
    Log(String),
}
