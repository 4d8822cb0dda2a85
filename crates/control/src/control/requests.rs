//! Register requests that wait for a response, and who requested them.

use super::background::BackgroundChangeNumber;
use basaltgw_registers::{Change, RecordKey, RequestNumber};
use std::collections::BTreeMap;

/// Who requested a change of a register.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Requester {
    /// The owner, under its own number.
    Owner(RequestNumber),
    /// The owner, to acquire a lease.
    OwnerAcquire { number: RequestNumber, key: RecordKey },
    /// The owner, to record the outcome of an execution. If unavailable, the change continues in the background.
    OwnerComplete { number: RequestNumber, change: Change },
    /// Nothing waits for the response.
    Unawaited,
    /// Nothing waits for the response; the outcome of a lease is marked as unknown.
    MarkOutcomeUnknown,
    /// The table manager.
    TableManager,
    /// A background change.
    BackgroundChange(BackgroundChangeNumber),
}

impl Requester {
    /// The owner's request of this number.
    pub fn of_owner(number: RequestNumber, key: RecordKey, change: &Change) -> Self {
        match change {
            Change::Acquire(_) => Self::OwnerAcquire { number, key },
            Change::Complete(..) => Self::OwnerComplete { number, change: change.clone() },
            Change::Release(..) | Change::MarkOutcomeUnknown(_) => Self::Owner(number),
            Change::Purge { .. } | Change::SetContinuation { .. } => Self::Owner(number),
            Change::IssueTicket { .. } | Change::UseTicket => Self::Owner(number),
            Change::SetTable { .. } | Change::Read | Change::Expire => Self::Owner(number),
        }
    }

    /// Whether a shutdown waits for the response: a lease or an update of another router depends on it.
    fn delays_shutdown(&self) -> bool {
        match self {
            Self::OwnerAcquire { .. } | Self::OwnerComplete { .. } => true,
            Self::Unawaited | Self::BackgroundChange(_) => true,
            Self::Owner(_) | Self::MarkOutcomeUnknown | Self::TableManager => false,
        }
    }
}

/// Pending register requests by number.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requesters: BTreeMap<RequestNumber, Requester>,
    last_number: u64,
}

impl PendingRequests {
    /// Adds a request and returns its number.
    pub fn add(&mut self, requester: Requester) -> RequestNumber {
        self.last_number += 1;
        let number = RequestNumber(self.last_number);
        self.requesters.insert(number, requester);
        number
    }

    /// Removes a request that has a response.
    pub fn remove(&mut self, number: RequestNumber) -> Option<Requester> {
        self.requesters.remove(&number)
    }

    /// Whether the owner has a pending request to acquire this lease.
    pub fn is_acquiring(&self, lease: &RecordKey) -> bool {
        let acquires =
            |requester: &Requester| matches!(requester, Requester::OwnerAcquire { key, .. } if key == lease);
        self.requesters.values().any(acquires)
    }

    /// Whether a shutdown has to wait for a response.
    pub fn delays_shutdown(&self) -> bool {
        self.requesters.values().any(Requester::delays_shutdown)
    }

    pub fn len(&self) -> usize {
        self.requesters.len()
    }
}
