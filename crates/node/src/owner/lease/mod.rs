//! Leases: a request that must not run twice is leased by this router before any of its attempts is sent, and its outcome is stored before it
//! is answered. Without a fleet no request needs one.
//!
//! `acquire` leases a request or learns that another router has; `outcome` stores how it ended, or releases the lease of a request that was
//! not executed. The inputs are the responses of the replication thread, the results of attempts, and times in milliseconds. A request moves
//! through the states of [`Lease`]: `Acquiring` -> `Held`, or `Acquiring` -> `HeldElsewhere`, which is kept while the lease is polled and ends in
//! `Held` or `Released`; `Held` -> `Completing` -> `Released`, or `Held` -> `Released` if the response need not wait. A request that is answered
//! while it waits for its lease is removed in that state; a lease that is granted later is released.

mod acquire;
mod outcome;
#[cfg(test)]
mod tests;

use crate::clients::WireId;
use crate::outbox::BufferedBytes;
use crate::permissions::not_executed;
use basaltgw::api::{AttemptResult, Ms};
use basaltgw_registers::{Kind, RecordKey};

/// How much of a request's time is reserved for writing its response, once the lease is not waited for any longer.
pub(super) const RESPONSE_WRITE_MARGIN_MS: Ms = 15.0;

/// Whether a leased request was executed, from the results of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Execution {
    /// No server has executed it.
    NotExecuted,
    /// A server may have.
    PossiblyExecuted,
    /// A server has.
    Served,
}

impl Execution {
    fn from_result(result: AttemptResult) -> Self {
        match result {
            AttemptResult::Served => Self::Served,
            result if not_executed(result) => Self::NotExecuted,
            _ => Self::PossiblyExecuted,
        }
    }
}

/// When the response of a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendResponse {
    /// At once.
    Now,
    /// Once its outcome is stored, which the lease takes care of.
    OnceStored,
}

/// The state of a request's lease.
#[derive(Debug, Default)]
pub(super) enum Lease {
    /// The request needs none, or there is no fleet.
    #[default]
    NotRequired,
    /// The replicas are asked for it.
    Acquiring,
    /// Another router holds it.
    HeldElsewhere,
    /// This router holds it, in this term, and may send attempts.
    Held { term: u32, execution: Execution },
    /// The outcome is being stored; then it is sent to the requester.
    Completing { body: BufferedBytes },
    /// It is over: released, completed, or left to the background.
    Released,
}

impl Lease {
    /// Whether the request is not routed yet: it waits for the lease.
    pub(super) fn is_awaited(&self) -> bool {
        matches!(self, Self::Acquiring | Self::HeldElsewhere)
    }

    /// Whether the response is decided and its outcome is being stored.
    pub(super) fn is_completing(&self) -> bool {
        matches!(self, Self::Completing { .. })
    }

    pub(super) fn is_held_unexecuted(&self) -> bool {
        matches!(self, Self::Held { execution: Execution::NotExecuted, .. })
    }

    fn is_released(&self) -> bool {
        matches!(self, Self::Released)
    }

    pub(super) fn on_attempt_result(&mut self, result: AttemptResult) {
        if let Self::Held { execution, .. } = self {
            *execution = (*execution).max(Execution::from_result(result));
        }
    }
}

/// The record of a request, by the client's id of it.
fn execution_key(id: &WireId) -> RecordKey {
    // The client side admits ids of 16 hex digits only; others would share one record.
    let name = u128::from(u64::from_str_radix(&id.0, 16).unwrap_or(u64::MAX));
    RecordKey { kind: Kind::Execution, name }
}
