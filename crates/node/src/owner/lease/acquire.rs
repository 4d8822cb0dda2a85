//! Acquires the lease of a request, and polls one that another router holds.

use super::{execution_key, Execution, Lease, RESPONSE_WRITE_MARGIN_MS};
use crate::caches::RequestNo;
use crate::clients::Reply;
use crate::owner::timers::TimerKind;
use crate::owner::Owner;
use basaltgw::api::{Idempotency, Ms};
use basaltgw_registers::{Change, Outcome, Record, RequestNumber, Response, UnavailableReason};

/// How often a lease that another router holds is polled.
const LEASE_POLL_INTERVAL_MS: Ms = 30.0;
/// How long after its timeout the response to a change is still awaited, since the disk may block the replication thread. At most
/// [`RESPONSE_WRITE_MARGIN_MS`], so that the client is answered within its deadline.
const LEASE_REPLY_GRACE_MS: Ms = 8.0;

impl Owner {
    /// Whether a request has to be leased before it may be attempted.
    pub(in crate::owner) fn requires_lease(&self, number: RequestNo) -> bool {
        let (Some(fleet), Some(pending)) = (&self.fleet, self.requests.get(number)) else { return false };
        let idempotency = pending.class.and_then(|class| fleet.settings.idempotency.get(class.0));
        let runs_once = matches!(idempotency, Some(Idempotency::IdempotencyKey | Idempotency::NonIdempotent));
        fleet.settings.replicate_executions && runs_once
    }

    /// Requests the lease from the replicas, or rejects the request if there is no time or capacity for that.
    pub(in crate::owner) fn acquire_lease(&mut self, number: RequestNo) {
        if let Some(pending) = self.requests.get_mut(number) {
            pending.lease = Lease::Acquiring;
            pending.take_fingerprint();
        }
        if self.request_lease(number) {
            return;
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.counters.rejected += 1;
            let retry_after = fleet.settings.retry_after;
            self.reject_unexecuted(number, retry_after);
        }
    }

    fn request_lease(&mut self, number: RequestNo) -> bool {
        let Some(me) = self.fleet.as_ref().map(|fleet| fleet.me.clone()) else { return false };
        self.change_record(number, Change::Acquire(me))
    }

    /// Requests a change of a request's record, with the configured timeout or the request's remaining time if that is shorter; false if
    /// there is no time or capacity.
    pub(super) fn change_record(&mut self, number: RequestNo, change: Change) -> bool {
        let (Some(fleet), Some(pending)) = (&mut self.fleet, self.requests.get(number)) else {
            return false;
        };
        let time_left = pending.deadline - self.time.now - RESPONSE_WRITE_MARGIN_MS;
        let timeout = fleet.settings.lease_timeout.min(time_left);
        if timeout <= 0.0 {
            return false;
        }
        let key = execution_key(&pending.request.id);
        let Some(change_number) = fleet.change_record(number, key, change, timeout) else { return false };
        let overdue = self.time.now + timeout + LEASE_REPLY_GRACE_MS;
        self.schedule.timers.set(overdue, TimerKind::LeaseTimeout { request: number, change: change_number });
        true
    }

    /// Rejects a request that this router has not executed. If it must run once and may have been sent to another router too, that router may
    /// have executed it, and it is failed instead.
    pub(in crate::owner) fn reject_unexecuted(&mut self, number: RequestNo, retry_after: Ms) {
        // After a pause of the process its input may be stale, and the client may have sent the request to another router since.
        let runs_once = self.requires_lease(number);
        let stale = self.fleet.as_ref().is_some_and(|fleet| self.time.now < fleet.stale_input_until);
        let repeated = self.requests.get(number).is_some_and(|pending| pending.request.repeated);
        let may_be_repeated = runs_once && (stale || repeated);
        if may_be_repeated {
            self.count_unknown_outcome();
        }
        self.answer(number, if may_be_repeated { Reply::Failed } else { Reply::Rejected(retry_after) });
    }

    pub(super) fn count_unknown_outcome(&mut self) {
        self.fleet.iter_mut().for_each(|fleet| fleet.counters.unknown_outcomes += 1);
    }

    /// Handles the replication thread's response to a change of a record.
    pub(in crate::owner) fn on_record_response(&mut self, change_number: RequestNumber, response: Response) {
        let Some(fleet) = &mut self.fleet else { return };
        let Some(change) = fleet.pending.remove(&change_number) else { return };
        let number = change.request;
        let Some(response) = self.on_continuation_response(number, response) else { return };
        let Some(pending) = self.requests.get_mut(number).filter(|pending| !pending.lease.is_released())
        else {
            return self.release_unwanted(change, &response);
        };
        match std::mem::take(&mut pending.lease) {
            Lease::Completing { body } => {
                pending.lease = Lease::Released;
                self.on_outcome_stored(number, &body, &response);
            }
            Lease::Acquiring | Lease::HeldByOther => self.on_acquire(number, response),
            lease @ (Lease::NotRequired | Lease::Held { .. } | Lease::Released) => pending.lease = lease,
        }
    }

    /// Handles an overdue response to a change: the replication thread is blocked, and the request is answered without it. If the response
    /// arrives later, a lease that it grants is released, and an outcome is still stored.
    pub(in crate::owner) fn on_lease_timeout(&mut self, number: RequestNo, change_number: RequestNumber) {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.pending.contains_key(&change_number))
        else {
            return;
        };
        let Some(pending) = self.requests.get_mut(number) else { return };
        match std::mem::take(&mut pending.lease) {
            Lease::Acquiring | Lease::HeldByOther => {
                fleet.counters.timeouts += 1;
                pending.lease = Lease::Released;
                let retry_after = fleet.settings.retry_after;
                self.reject_unexecuted(number, retry_after);
            }
            Lease::Completing { body } => {
                fleet.counters.timeouts += 1;
                pending.lease = Lease::Released;
                self.reply(number, Reply::Served(body.bytes()));
            }
            lease @ (Lease::NotRequired | Lease::Held { .. } | Lease::Released) => pending.lease = lease,
        }
    }

    /// Handles the response to an attempt to acquire a lease, the first one or a poll.
    fn on_acquire(&mut self, number: RequestNo, response: Response) {
        let Some(fleet) = &mut self.fleet else { return };
        match response {
            Response::Committed(Record::Leased { owner, term }) if owner == fleet.me => {
                self.on_lease_granted(number, term);
            }
            Response::Committed(record) => self.on_record_found(number, Some(record)),
            Response::Conflict(record) => self.on_record_found(number, record),
            // The lease may still be granted; then the replication thread releases it.
            Response::Unavailable { not_executed: _, retry_after, reason } => {
                self.on_lease_unavailable(number, reason, retry_after);
            }
        }
    }

    fn on_lease_granted(&mut self, number: RequestNo, term: u32) {
        let (Some(fleet), Some(pending)) = (&mut self.fleet, self.requests.get_mut(number)) else { return };
        fleet.counters.acquired += 1;
        pending.lease = Lease::Held { term, execution: Execution::NotExecuted };
        if pending.answered {
            // The client has left while the lease was being acquired.
            self.remove_if_complete(number);
        } else {
            self.route(number);
        }
    }

    fn on_lease_unavailable(&mut self, number: RequestNo, reason: UnavailableReason, retry_after: Ms) {
        let (Some(fleet), Some(pending)) = (&mut self.fleet, self.requests.get_mut(number)) else { return };
        fleet.counters.unavailable += 1;
        log::debug!("request {}: lease not granted: {reason:?}, retry_after={retry_after:.0} ms", number.0);
        pending.lease = Lease::Released;
        self.reject_unexecuted(number, retry_after);
    }

    /// Handles a record that shows that another router has leased the request, or how the request ended.
    fn on_record_found(&mut self, number: RequestNo, record: Option<Record>) {
        let (Some(fleet), Some(pending)) = (&mut self.fleet, self.requests.get_mut(number)) else { return };
        pending.lease = Lease::Released;
        match record {
            Some(Record::Completed(Outcome::ServedRequest { request, body }))
                if pending.fingerprint == Some(request) =>
            {
                fleet.counters.replayed_outcomes += 1;
                self.answer(number, Reply::Served(&body));
            }
            // Another request has this id. Its outcome is none of this client's, and the id can't be executed a second time.
            Some(Record::Completed(Outcome::ServedRequest { .. })) => {
                log::debug!("request {}: another request was executed under its id", number.0);
                fleet.counters.id_conflicts += 1;
                self.answer(number, Reply::Failed);
            }
            Some(Record::Leased { .. } | Record::Released { .. }) => {
                if pending.answered {
                    return self.remove_if_complete(number);
                }
                pending.lease = Lease::HeldByOther;
                fleet.counters.polls += 1;
                let at = self.time.now + LEASE_POLL_INTERVAL_MS;
                self.schedule.timers.set(at, TimerKind::LeasePoll(number));
            }
            // The request may have been executed.
            Some(
                Record::Completed(Outcome::Served(_) | Outcome::ServedBodyOmitted | Outcome::Failed)
                | Record::OutcomeUnknown
                | Record::Tombstone
                | Record::Purged { .. }
                | Record::Ticket { .. }
                | Record::Continuation { .. }
                | Record::Table { .. },
            )
            | None => {
                fleet.counters.unknown_outcomes += 1;
                self.answer(number, Reply::Failed);
            }
        }
    }

    /// Tries again to acquire a lease that another router held.
    pub(in crate::owner) fn poll_lease(&mut self, number: RequestNo) {
        let Some(pending) = self.requests.get(number) else { return };
        if !matches!(pending.lease, Lease::HeldByOther) || pending.answered {
            return;
        }
        if !self.request_lease(number) {
            // The other router may execute the request, so the client must not be invited to retry.
            self.count_unknown_outcome();
            self.answer(number, Reply::Failed);
        }
    }
}
