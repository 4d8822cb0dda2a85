//! The table of open requests: a request stays in it until it is answered and none of its attempts is in flight.

use super::attempts::Attempt;
use super::lease::{request_fingerprint, Lease};
use super::requester::{IncomingRequest, Requester};
use crate::caches::{AttemptKey, CopyTag, RequestNo};
use crate::clients::{RequestMessage, WireId};
use crate::connection::RequestLiveness;
use crate::limits::{EARLY_CANCELLATION_SHARE, OPEN_REQUEST_BYTES};
use crate::outbox::{BufferMeter, BufferReservation, BufferedBytes, DeliveryState, MessageSize};
use crate::permissions::EarlierAttempt;
use basaltgw::api::{AttemptNo, AttemptResult, ClassId, Ms};
use basaltgw_registers::RequestFingerprint;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An open request.
pub(super) struct PendingRequest {
    requester: Requester,
    pub(super) class: Option<ClassId>,
    pub(super) request: Box<RequestMessage>,
    /// The body; `None` once the request is answered and no further attempt may need it.
    pub(super) body: Option<BufferedBytes>,
    pub(super) deadline: Ms,
    /// Whether the client still waits; `None` if the requester is not a client.
    pub(super) liveness: Option<RequestLiveness>,
    /// The request was answered, or its requester no longer waits.
    pub(super) answered: bool,
    pub(super) attempts: Vec<Attempt>,
    pub(super) lease: Lease,
    /// What tells the request from others under its id; `None` if it needs no lease.
    pub(super) fingerprint: Option<RequestFingerprint>,
    /// The version of the copy in the response.
    pub(super) copy: Option<CopyTag>,
    /// Counts the memory of the request beside its body.
    _reservation: BufferReservation,
}

impl PendingRequest {
    fn new(incoming: IncomingRequest, meter: &Rc<BufferMeter>) -> Self {
        let IncomingRequest { requester, class, mut request, deadline, liveness } = incoming;
        let body = Some(BufferedBytes::new(std::mem::take(&mut request.body), &[meter]));
        let overhead_bytes = OPEN_REQUEST_BYTES + request.text_bytes();
        Self {
            requester,
            class,
            request,
            body,
            deadline,
            liveness,
            answered: false,
            attempts: Vec::new(),
            lease: Lease::NotRequired,
            fingerprint: None,
            copy: None,
            _reservation: BufferReservation::of(meter, MessageSize { bytes: 0, overhead_bytes }),
        }
    }

    /// Computes the fingerprint, before the body may be dropped.
    pub(super) fn take_fingerprint(&mut self) {
        let body = self.body.as_ref().map_or(&[][..], BufferedBytes::bytes);
        self.fingerprint = Some(request_fingerprint(&self.request, body));
    }

    pub(super) fn is_complete(&self) -> bool {
        self.answered && !self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether the client still waits, as far as the reader of its connection knows; true if the requester is not a client.
    pub(super) fn client_waits(&self) -> bool {
        self.liveness.as_ref().is_none_or(RequestLiveness::is_waiting)
    }

    /// Whether a client that cancels the request now has not waited for long.
    pub(super) fn is_early(&self, now: Ms) -> bool {
        let received_at = self.deadline - self.request.deadline_ms;
        now - received_at < EARLY_CANCELLATION_SHARE * self.request.deadline_ms
    }

    /// Whether the request has a body; false once the body is dropped.
    pub(super) fn is_write(&self) -> bool {
        self.body.as_ref().is_some_and(|body| !body.bytes().is_empty())
    }

    /// The attempts so far, for the rule that decides on further ones.
    pub(super) fn earlier_attempts(&self, now: Ms) -> impl Iterator<Item = EarlierAttempt> + '_ {
        self.attempts.iter().map(move |attempt| attempt.earlier(now))
    }

    /// When the first attempt was started that may have been executed.
    pub(super) fn executed_since(&self, now: Ms) -> Option<Ms> {
        let executed = self.earlier_attempts(now).filter(EarlierAttempt::may_have_executed);
        executed.map(|attempt| now - attempt.age).reduce(f64::min)
    }

    /// The result of each attempt, `None` of one in flight.
    pub(super) fn results(&self) -> impl Iterator<Item = Option<AttemptResult>> + '_ {
        self.attempts.iter().map(|attempt| attempt.result)
    }
}

/// The requester of a request that was just marked as answered, and the version of the copy in the response.
pub(super) struct Answered {
    pub(super) requester: Requester,
    pub(super) copy: Option<CopyTag>,
}

/// The open requests.
pub(super) struct Requests {
    pending: BTreeMap<RequestNo, PendingRequest>,
    last_number: u64,
    /// The ids that requesters gave the open requests.
    ids: BTreeSet<WireId>,
    max_open: usize,
}

impl Requests {
    pub(super) fn new(max_open: usize) -> Self {
        Self { pending: BTreeMap::new(), last_number: 0, ids: BTreeSet::new(), max_open }
    }

    /// Whether a request is open under this id.
    pub(super) fn contains_id(&self, id: &WireId) -> bool {
        self.ids.contains(id)
    }

    pub(super) fn is_full(&self) -> bool {
        self.pending.len() >= self.max_open
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn get(&self, number: RequestNo) -> Option<&PendingRequest> {
        self.pending.get(&number)
    }

    pub(super) fn get_mut(&mut self, number: RequestNo) -> Option<&mut PendingRequest> {
        self.pending.get_mut(&number)
    }

    pub(super) fn attempt(&self, key: AttemptKey) -> Option<&Attempt> {
        self.pending.get(&key.request)?.attempts.get(key.attempt.0)
    }

    pub(super) fn attempt_mut(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        self.pending.get_mut(&key.request)?.attempts.get_mut(key.attempt.0)
    }

    /// The matching attempts that are queued and of which no byte is written.
    pub(super) fn unsent_attempts(
        &self,
        matches: impl Fn(&PendingRequest, &Attempt) -> bool,
    ) -> Vec<AttemptKey> {
        let mut keys = Vec::new();
        for (number, pending) in &self.pending {
            let unsent =
                |a: &Attempt| a.delivery_state() == Some(DeliveryState::Queued) && matches(pending, a);
            let attempts = pending.attempts.iter().enumerate().filter(|(_, a)| unsent(a));
            keys.extend(attempts.map(|(n, _)| AttemptKey { request: *number, attempt: AttemptNo(n) }));
        }
        keys
    }

    /// The requests that wait for their lease.
    pub(super) fn waiting_for_lease(&self) -> Vec<RequestNo> {
        self.unanswered(|pending| pending.lease.is_awaited())
    }

    /// The leased requests that were not executed and of which no attempt in flight has a written byte.
    pub(super) fn leased_unsent(&self) -> Vec<RequestNo> {
        let is_sent =
            |a: &Attempt| matches!(a.delivery_state(), Some(DeliveryState::Partial | DeliveryState::Written));
        self.unanswered(|pending| pending.lease.is_held_unexecuted() && !pending.attempts.iter().any(is_sent))
    }

    fn unanswered(&self, matches: impl Fn(&PendingRequest) -> bool) -> Vec<RequestNo> {
        self.pending.iter().filter(|(_, p)| !p.answered && matches(p)).map(|(number, _)| *number).collect()
    }

    /// A new number for a request.
    pub(super) fn next_number(&mut self) -> RequestNo {
        self.last_number += 1;
        RequestNo(self.last_number)
    }

    pub(super) fn insert(&mut self, incoming: IncomingRequest, meter: &Rc<BufferMeter>) -> RequestNo {
        let number = self.next_number();
        self.ids.insert(incoming.request.id.clone());
        self.pending.insert(number, PendingRequest::new(incoming, meter));
        number
    }

    /// Marks a request as answered; `None` if it was marked before.
    pub(super) fn mark_answered(&mut self, number: RequestNo) -> Option<Answered> {
        let pending = self.pending.get_mut(&number).filter(|pending| !pending.answered)?;
        pending.answered = true;
        pending.body = None;
        Some(Answered { requester: pending.requester, copy: pending.copy.take() })
    }

    /// Removes a request if it is complete, and returns it.
    pub(super) fn remove_if_complete(&mut self, number: RequestNo) -> Option<PendingRequest> {
        if !self.pending.get(&number).is_some_and(PendingRequest::is_complete) {
            return None;
        }
        let pending = self.pending.remove(&number)?;
        self.ids.remove(&pending.request.id);
        Some(pending)
    }
}
