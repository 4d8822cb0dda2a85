//! Records, the values of the registers, and the changes that may be requested of them.

use basaltgw_types::{Member, RouterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The four kinds of records, and the register of the placement table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The execution of a request that is not idempotent, or that has an idempotency key.
    Execution,
    /// A purge that has not converged yet.
    Purge,
    /// A Retry-After ticket that a rejection named.
    Ticket,
    /// The parts that are missing from a partial response.
    Continuation,
    /// The placement table in effect and the one that replaces it; replicated by the root group.
    Table,
}

/// The key of a register; the shard follows from the key alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The kind of the record.
    pub kind: Kind,
    /// A hash of the subject: a request's id, an object, a ticket's number.
    pub name: u128,
}

/// The outcome of an execution, for clients that repeat the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served with this body, for a request that is not recorded. Only earlier builds store this; it answers no other request.
    Served(Vec<u8>),
    /// Served; the body was too long to store.
    ServedBodyOmitted,
    /// The request was or may have been executed, and failed.
    Failed,
    /// Served with this body, of at most `max_outcome_bytes`; a longer one is stored as `ServedBodyOmitted`.
    ServedRequest {
        /// The request that was served. The body answers no other request, whatever its id.
        request: RequestFingerprint,
        /// The body.
        body: Vec<u8>,
    },
}

/// A hash of all that determines what the execution of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFingerprint(pub u128);

impl Outcome {
    /// The stored body, if there is one.
    pub fn body(&self) -> Option<&[u8]> {
        match self {
            Self::Served(body) | Self::ServedRequest { body, .. } => Some(body),
            Self::ServedBodyOmitted | Self::Failed => None,
        }
    }
}

/// The value of a register.
///
/// Retention is measured on each replica's own monotonic clock. It frees memory; safety does not depend on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An execution that its owner may have started.
    Leased {
        /// The only member that may execute the request.
        owner: Member,
        /// The number of earlier owners that released the lease; messages of an earlier term are rejected.
        term: u32,
    },
    /// An execution that its owner proved not executed; any member may acquire it.
    Released {
        /// The term of the next lease.
        term: u32,
    },
    /// An execution that has completed.
    Completed(Outcome),
    /// An execution whose owner was lost while it held the lease; it is never retried.
    OutcomeUnknown,
    /// A purge of an object or of a whole group.
    Purged {
        /// The group.
        group: u64,
        /// The object; `None` for the whole group.
        object: Option<u64>,
        /// The time of the purge in the change log, in Unix milliseconds.
        time: u64,
    },
    /// Reserved capacity of a server, named to a client.
    Ticket {
        /// The server.
        server: Arc<str>,
        /// The router that issued the ticket.
        by: RouterId,
        /// True once the ticket was used.
        used: bool,
    },
    /// The missing parts of a partial response.
    Continuation {
        /// The object.
        object: u64,
        /// The version of the response; the missing parts must be of the same version.
        version: Arc<str>,
        /// The indexes of the missing parts.
        missing: Vec<u64>,
    },
    /// The placement table, in the encoding of `crates/placement`.
    Table {
        /// The number of changes so far.
        serial: u64,
        /// The encoded content.
        body: Vec<u8>,
    },
    /// The record has expired. Replicas store the tombstone while delayed messages may still arrive.
    Tombstone,
}

impl Record {
    /// The bytes of the parts whose length varies; the other parts have a fixed bound.
    pub(crate) fn payload_bytes(&self) -> usize {
        match self {
            Self::Completed(outcome) => outcome.body().map_or(0, <[u8]>::len),
            Self::Ticket { server, .. } => server.len(),
            Self::Continuation { version, missing, .. } => version.len() + 8 * missing.len(),
            Self::Table { body, .. } => body.len(),
            Self::Leased { .. }
            | Self::Released { .. }
            | Self::OutcomeUnknown
            | Self::Purged { .. }
            | Self::Tombstone => 0,
        }
    }
}

/// A change to a record. If it does not apply, the response is the present record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Acquires the lease of an execution: from no record or `Released`.
    Acquire(Member),
    /// Releases the lease of this term; the owner proves that the request was not executed.
    Release(Member, u32),
    /// Completes the execution of this term; from the owner only.
    Complete(Member, u32, Outcome),
    /// Marks the outcome of this term's execution as unknown: no member may execute the request again. From `Leased` only.
    MarkOutcomeUnknown(u32),
    /// Stores a purge.
    Purge {
        /// See [`Record::Purged`].
        group: u64,
        /// See [`Record::Purged`].
        object: Option<u64>,
        /// See [`Record::Purged`], in Unix milliseconds.
        time: u64,
    },
    /// Issues a ticket.
    IssueTicket {
        /// See [`Record::Ticket`].
        server: Arc<str>,
        /// See [`Record::Ticket`].
        by: RouterId,
    },
    /// Uses a ticket, once.
    UseTicket,
    /// Creates a continuation, or reduces its missing parts.
    SetContinuation {
        /// See [`Record::Continuation`].
        object: u64,
        /// See [`Record::Continuation`].
        version: Arc<str>,
        /// See [`Record::Continuation`].
        missing: Vec<u64>,
    },
    /// Replaces the placement table if its register has this serial.
    SetTable {
        /// The expected serial.
        from: u64,
        /// The new content.
        body: Vec<u8>,
    },
    /// Reads the record, after making sure that a quorum stores it.
    Read,
    /// Replaces the record with a tombstone after its retention.
    Expire,
}
