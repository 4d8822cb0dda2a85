//! The path of a request from its admission to its response.
//!
//! Every request is admitted by [`Owner::admit`] and answered by [`Owner::answer`]: admission -> lease, if it must not run twice -> routing
//! -> attempts -> outcome stored in the lease's record -> response.

use super::lease::SendResponse;
use super::requester::{Delivered, IncomingRequest, Requester};
use super::{request_id, Owner};
use crate::caches::RequestNo;
use crate::clients::{Reply, WireId};
use crate::permissions::{may_run_again, AttemptState, EarlierAttempt, RetryRefusal};
use basaltgw::api::{AttemptResult, ClassId, Event, Idempotency, Request};

impl Owner {
    /// Admits a request if there is capacity, else rejects it. Any step that a request needs before its first attempt belongs between
    /// registration and routing, like the lease.
    pub(super) fn admit(&mut self, incoming: IncomingRequest) {
        if self.requests.is_full() {
            return self.reject_unadmitted(incoming.requester);
        }
        let requester = incoming.requester;
        let received_at = incoming.deadline - incoming.request.deadline_ms;
        let shutting_down = !self.shutdown.accepts(received_at);
        let lacks_memory = self.memory.lacks_room_for(&incoming.request);
        let body_discarded = incoming.request.body_discarded;
        let number = self.requests.insert(incoming, &self.memory.budgets.requests.meter);
        self.register_admitted(requester, number);
        if shutting_down {
            // A connection in use has to come to an end before the process is killed.
            self.counters.clients.rejected_at_shutdown.increment();
            self.reject_unexecuted(number, 0.0);
        } else if self.clients.is_throttled(requester, self.time.now) {
            self.counters.clients.rejected_for_misuse.increment();
            self.reject_unexecuted(number, 0.0);
        } else if lacks_memory {
            self.counters.clients.rejected_for_memory.increment();
            self.counters.clients.bodies_discarded.add(body_discarded.into());
            self.reject_unexecuted(number, 0.0);
        } else if self.requires_lease(number) {
            self.acquire_lease(number);
        } else {
            self.route(number);
        }
    }

    /// Hands an admitted request to the decision module.
    pub(super) fn route(&mut self, number: RequestNo) {
        let Some(pending) = self.requests.get(number) else { return };
        let event = Event::Request(Request {
            id: request_id(number),
            class: pending.class,
            object: pending.request.object,
            part: pending.request.part,
            group: pending.request.group,
            size_kb: pending.request.size_kb,
            write: pending.is_write(),
            budget: pending.deadline - self.time.now,
        });
        self.dispatch(event);
    }

    /// Replaces a rejection, which invites the client to send its request again, by a failure if the request could be executed twice.
    fn without_unsafe_rejection<'a>(&self, number: RequestNo, reply: Reply<'a>) -> Reply<'a> {
        let (Reply::Rejected(_), Some(pending)) = (reply, self.requests.get(number)) else { return reply };
        let policy = self.config.retry_policy(pending.class);
        match may_run_again(&policy, pending.earlier_attempts(self.time.now)) {
            Ok(()) => reply,
            Err(refusal) => {
                log::debug!("request {}: failed instead of rejected: {refusal}", number.0);
                Reply::Failed
            }
        }
    }

    /// Answers a request, unless it has been answered. All responses of the decision module and of servers go through this function.
    pub(super) fn answer(&mut self, number: RequestNo, reply: Reply<'_>) {
        let reply = self.without_unsafe_rejection(number, reply);
        if let (Reply::Rejected(_), Some(pending)) = (reply, self.requests.get(number)) {
            let idempotency = self.config.retry_policy(pending.class).idempotency;
            let ids = format_args!("request {}", number.0);
            self.monitors.invariants.check_rejection(idempotency, pending.results(), ids);
        }
        // The outcome of a leased request must be durable before its response is sent.
        match self.record_outcome(number, reply) {
            SendResponse::Now => self.reply(number, reply),
            SendResponse::OnceStored => {}
        }
    }

    /// Hands a response to the requester, unless the request has been answered.
    pub(super) fn reply(&mut self, number: RequestNo, reply: Reply<'_>) {
        let Some(answered) = self.requests.mark_answered(number) else { return };
        if self.deliver(answered.requester, reply, answered.copy) == Delivered::ToClient {
            self.counters.clients.count_reply(&reply);
        }
        self.remove_if_complete(number);
    }

    /// Handles a requester that no longer waits: its request is cancelled.
    pub(super) fn on_requester_left(&mut self, number: RequestNo) {
        if self.cancel_scatter_gather(number) {
            return;
        }
        let routed = self.requests.get(number).is_some_and(|pending| !pending.lease.is_awaited());
        if self.abandon(number) {
            if routed {
                self.dispatch(Event::ClientDisconnected(request_id(number)));
            }
            // No byte of these attempts is written, so cancelling them needs no decision of the decision module.
            self.withdraw_unsent(number);
        }
        self.remove_if_complete(number);
    }

    /// Marks a request as answered without sending a response; false if it was answered before.
    pub(super) fn abandon(&mut self, number: RequestNo) -> bool {
        let Some(answered) = self.requests.mark_answered(number) else { return false };
        self.counters.clients.cancelled.add(matches!(answered.requester, Requester::Client(..)).into());
        true
    }

    /// Removes a request that is complete, settles its lease, and remembers its id if it must not run again.
    pub(super) fn remove_if_complete(&mut self, number: RequestNo) {
        self.settle_abandoned_lease(number);
        // The record of a leased request remembers it.
        let is_leased = self.requires_lease(number);
        let Some(pending) = self.requests.remove_if_complete(number).filter(|_| !is_leased) else { return };
        let runs_once = self.config.retry_policy(pending.class).idempotency != Idempotency::Idempotent;
        if let Some(since) = pending.executed_since(self.time.now).filter(|_| runs_once) {
            self.executed_ids.record(&pending.request.id, since);
        }
    }

    /// Whether a request of this class and id may run, or an earlier one under its id may have been executed.
    pub(super) fn check_id(&self, class: ClassId, id: &WireId) -> Result<(), RetryRefusal> {
        let earlier = self.executed_ids.executed_since(id).map(|since| EarlierAttempt {
            state: AttemptState::Ended(AttemptResult::Cancelled),
            age: self.time.now - since,
        });
        may_run_again(&self.config.retry_policy(Some(class)), earlier)
    }
}
