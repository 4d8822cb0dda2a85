//! Stores the outcome of a leased request, or releases its lease.

use super::{execution_key, Execution, Lease, SendResponse};
use crate::caches::RequestNo;
use crate::clients::Reply;
use crate::fleet::PendingChange;
use crate::outbox::BufferedBytes;
use crate::owner::{request_id, Owner};
use basaltgw::api::{Event, Ms};
use basaltgw_registers::{Change, Outcome, Record, Response};

/// Input that is read within this time after a pause of the process may be stale: links to peers take about as long to be re-established.
const STALE_INPUT_WINDOW_MS: Ms = 1_500.0;
/// A process that has handled no batch for this long may have been paused, and other routers may have taken over its leases. The leases of
/// requests that were not sent are then released.
const PAUSE_THRESHOLD_MS: Ms = 750.0;

impl Owner {
    /// Stores the outcome of a leased request; returns whether the response has to wait for that.
    pub(in crate::owner) fn record_outcome(&mut self, number: RequestNo, reply: Reply<'_>) -> SendResponse {
        let (Some(fleet), Some(pending)) = (&mut self.fleet, self.requests.get_mut(number)) else {
            return SendResponse::Now;
        };
        let Lease::Held { term, .. } = pending.lease else {
            let completing = pending.lease.is_completing();
            return if completing { SendResponse::OnceStored } else { SendResponse::Now };
        };
        let key = execution_key(&pending.request.id);
        let fingerprint = pending.fingerprint;
        pending.lease = Lease::Released;
        let body = match reply {
            // Rejections and failures are sent at once, and the record is changed in the background.
            Reply::Rejected(_) => {
                fleet.release(key, term);
                return SendResponse::Now;
            }
            Reply::Failed => {
                fleet.complete(key, term, Outcome::Failed);
                return SendResponse::Now;
            }
            Reply::Served(body) => body,
            Reply::NotModified => &[],
        };
        let outcome = fleet.stored_outcome(fingerprint, body);
        let change = Change::Complete(fleet.me.clone(), term, outcome.clone());
        if self.change_record(number, change) {
            let body = BufferedBytes::new(body.to_vec(), &[&self.memory.budgets.responses.meter]);
            if let Some(pending) = self.requests.get_mut(number) {
                pending.lease = Lease::Completing { body };
            }
            return SendResponse::OnceStored;
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.complete(key, term, outcome);
        }
        SendResponse::Now
    }

    /// Handles the response to the change that stores an outcome.
    pub(super) fn on_outcome_stored(&mut self, number: RequestNo, body: &BufferedBytes, response: &Response) {
        match response {
            Response::Committed(_) | Response::Conflict(Some(Record::Completed(_))) => {}
            Response::Conflict(_) => {
                // Another router has marked the outcome as unknown, and others may have learned that.
                self.fleet.iter_mut().for_each(|fleet| fleet.counters.fenced += 1);
                return self.reply(number, Reply::Failed);
            }
            // The request was served all the same; the replication thread continues to try to store that.
            Response::Unavailable { .. } => {}
        }
        self.reply(number, Reply::Served(body.bytes()));
    }

    /// Releases a lease that was granted when nobody waited for it any more; the request was not sent.
    pub(super) fn release_unwanted(&mut self, change: PendingChange, response: &Response) {
        let Some(fleet) = &mut self.fleet else { return };
        match response {
            Response::Committed(Record::Leased { owner, term }) if *owner == fleet.me => {
                fleet.release(change.key, *term);
            }
            Response::Committed(_) | Response::Conflict(_) | Response::Unavailable { .. } => {}
        }
    }

    /// Releases or completes the lease of a complete request whose requester has left, by the results of its attempts.
    pub(in crate::owner) fn settle_abandoned_lease(&mut self, number: RequestNo) {
        let Some(fleet) = &mut self.fleet else { return };
        let Some(pending) = self.requests.get_mut(number).filter(|pending| pending.is_complete()) else {
            return;
        };
        let Lease::Held { term, execution } = pending.lease else { return };
        let key = execution_key(&pending.request.id);
        pending.lease = Lease::Released;
        match execution {
            Execution::NotExecuted => fleet.release(key, term),
            Execution::Served => fleet.complete(key, term, Outcome::ServedBodyOmitted),
            Execution::PossiblyExecuted => fleet.complete(key, term, Outcome::Failed),
        }
    }

    /// Handles the time since the last batch, in milliseconds. If it is so long that the process may have been paused, the leases of unsent
    /// requests are released.
    pub(in crate::owner) fn on_batch_gap(&mut self, gap: Ms) {
        let Some(fleet) = self.fleet.as_mut().filter(|_| gap >= PAUSE_THRESHOLD_MS) else { return };
        fleet.stale_input_until = self.time.now + STALE_INPUT_WINDOW_MS;
        let retry_after = fleet.settings.retry_after;
        // Another router may have leased these requests during the pause; their outcome can't be known in time.
        for number in self.requests.waiting_for_lease() {
            self.count_unknown_outcome();
            self.answer(number, Reply::Failed);
        }
        let unsent = self.requests.leased_unsent();
        log::warn!(
            "no batch for {gap:.0} ms, the process may have been paused: releasing the leases of {} unsent requests",
            unsent.len()
        );
        for number in unsent {
            self.withdraw_unsent(number);
            self.dispatch(Event::ClientDisconnected(request_id(number)));
            self.answer(number, Reply::Rejected(retry_after));
        }
    }
}
