//! Leases: a router acquires the lease of a request that must not run twice before it sends the first attempt, and stores the outcome
//! before it answers. Without a fleet no request is leased.
//!
//! `acquire` acquires the lease or finds that another router has it; `outcome` stores the outcome, or releases the lease of a request that
//! was not executed. The inputs are the responses of the replication thread, the results of attempts, and times in milliseconds. The states
//! of [`Lease`] follow each other: `Acquiring` -> `Held`, or `Acquiring` -> `HeldByOther`, the state while the lease is polled, -> `Held`
//! or `Released`; then `Held` -> `Completing` -> `Released`, or `Held` -> `Released` if the response need not wait. A request that is
//! answered while it waits for its lease is removed in that state; a lease that is granted later is released.

mod acquire;
mod fingerprint;
mod outcome;
#[cfg(test)]
mod tests;

use crate::clients::WireId;
use crate::outbox::BufferedBytes;
use crate::permissions::not_executed;
use basaltgw::api::{AttemptResult, Ms};
use basaltgw_registers::{Kind, RecordKey};
pub(super) use fingerprint::request_fingerprint;

/// The time before a request's deadline that is reserved for writing its response; the lease is not awaited during it.
pub(super) const RESPONSE_WRITE_MARGIN_MS: Ms = 15.0;

/// Whether a leased request was executed, by the results of its attempts. The order of the variants is that of their precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Execution {
    /// No server has executed it.
    NotExecuted,
    /// A server may have executed it.
    PossiblyExecuted,
    /// A server has executed it, and its response was received.
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
    /// When the outcome is stored; the response of the replication thread triggers it.
    OnceStored,
}

/// The state of a request's lease.
#[derive(Debug, Default)]
pub(super) enum Lease {
    /// The request needs no lease, or there is no fleet.
    #[default]
    NotRequired,
    /// The lease is requested from the replicas.
    Acquiring,
    /// Another router holds the lease, which is polled.
    HeldByOther,
    /// This router holds the lease, in this term, and may send attempts.
    Held { term: u32, execution: Execution },
    /// The outcome is being stored; then the body is sent to the requester.
    Completing { body: BufferedBytes },
    /// The lease has ended: it is released or completed, or a change in the background does that.
    Released,
}

impl Lease {
    /// Whether the request is not yet routed, since it waits for the lease.
    pub(super) fn is_awaited(&self) -> bool {
        matches!(self, Self::Acquiring | Self::HeldByOther)
    }

    /// Whether the response is known and its outcome is being stored.
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

/// The key of a request's record, from the id that the client gave the request.
fn execution_key(id: &WireId) -> RecordKey {
    // Decoded requests have ids of 16 hex digits only; others would share one record.
    let name = u128::from(u64::from_str_radix(&id.0, 16).unwrap_or(u64::MAX));
    RecordKey { kind: Kind::Execution, name }
}
