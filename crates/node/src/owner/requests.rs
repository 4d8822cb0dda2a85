//! The table of open requests: a request is in it until its response is given and none of its attempts is in flight.

use super::attempts::Attempt;
use super::lease::Lease;
use super::requester::{IncomingRequest, Requester};
use crate::caches::{AttemptKey, CopyTag, RequestNo};
use crate::clients::{RequestMessage, WireId};
use crate::connection::RequestLiveness;
use crate::outbox::{BufferMeter, BufferedBytes, DeliveryState};
use crate::permissions::EarlierAttempt;
use basaltgw::api::{AttemptNo, AttemptResult, ClassId, Ms};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An open request.
pub(super) struct PendingRequest {
    requester: Requester,
    pub(super) class: Option<ClassId>,
    pub(super) request: Box<RequestMessage>,
    /// Its body, metered while an attempt may have to send it.
    pub(super) body: Option<BufferedBytes>,
    pub(super) deadline: Ms,
    /// Tells whether a client still waits, if one does at all.
    pub(super) liveness: Option<RequestLiveness>,
    /// Its response is given, or nobody waits for one.
    pub(super) answered: bool,
    pub(super) attempts: Vec<Attempt>,
    pub(super) lease: Lease,
    /// The copy that its response is made of.
    pub(super) copy: Option<CopyTag>,
}

impl PendingRequest {
    fn new(incoming: IncomingRequest, meter: &Rc<BufferMeter>) -> Self {
        let IncomingRequest { requester, class, mut request, deadline, liveness } = incoming;
        let body = Some(BufferedBytes::new(std::mem::take(&mut request.body), &[meter]));
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
            copy: None,
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.answered && !self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether its client still waits, as far as the reader of its connection knows.
    pub(super) fn client_waits(&self) -> bool {
        self.liveness.as_ref().is_none_or(RequestLiveness::is_waiting)
    }

    /// Whether it has a body, while that is stored.
    pub(super) fn is_write(&self) -> bool {
        self.body.as_ref().is_some_and(|body| !body.bytes().is_empty())
    }

    /// Its attempts, as the rule on further ones takes them.
    pub(super) fn earlier_attempts(&self, now: Ms) -> impl Iterator<Item = EarlierAttempt> + '_ {
        self.attempts.iter().map(move |attempt| attempt.earlier(now))
    }

    /// The results of its attempts, `None` of those in flight.
    pub(super) fn results(&self) -> impl Iterator<Item = Option<AttemptResult>> + '_ {
        self.attempts.iter().map(|attempt| attempt.result)
    }
}

/// The requester of an answered request, and the copy that the response is made of.
pub(super) struct Answered {
    pub(super) requester: Requester,
    pub(super) copy: Option<CopyTag>,
}

/// The open requests.
pub(super) struct Requests {
    pending: BTreeMap<RequestNo, PendingRequest>,
    last_number: u64,
    /// The requesters' ids of the open requests.
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

    /// The matching attempts of which no byte is written.
    pub(super) fn unsent_attempts(
        &self,
        matches: impl Fn(&PendingRequest, &Attempt) -> bool,
    ) -> Vec<AttemptKey> {
        let mut keys = Vec::new();
        for (number, pending) in &self.pending {
            let unsent = |a: &Attempt| a.stage() == Some(DeliveryState::Queued) && matches(pending, a);
            let attempts = pending.attempts.iter().enumerate().filter(|(_, a)| unsent(a));
            keys.extend(attempts.map(|(n, _)| AttemptKey { request: *number, attempt: AttemptNo(n) }));
        }
        keys
    }

    /// Requests that wait for their lease.
    pub(super) fn waiting_for_lease(&self) -> Vec<RequestNo> {
        self.unanswered(|pending| pending.lease.is_awaited())
    }

    /// Leased requests that were not executed and have no attempt on the wire.
    pub(super) fn leased_unsent(&self) -> Vec<RequestNo> {
        let on_wire =
            |a: &Attempt| matches!(a.stage(), Some(DeliveryState::Partial | DeliveryState::Written));
        self.unanswered(|pending| pending.lease.is_held_unexecuted() && !pending.attempts.iter().any(on_wire))
    }

    fn unanswered(&self, matches: impl Fn(&PendingRequest) -> bool) -> Vec<RequestNo> {
        self.pending.iter().filter(|(_, p)| !p.answered && matches(p)).map(|(number, _)| *number).collect()
    }

    /// A number that no other request has.
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

    /// Marks a request as answered; `None` if it was so before.
    pub(super) fn mark_answered(&mut self, number: RequestNo) -> Option<Answered> {
        let pending = self.pending.get_mut(&number).filter(|pending| !pending.answered)?;
        pending.answered = true;
        pending.body = None;
        Some(Answered { requester: pending.requester, copy: pending.copy.take() })
    }

    /// Removes a request if it is complete.
    pub(super) fn remove_if_complete(&mut self, number: RequestNo) {
        if !self.pending.get(&number).is_some_and(PendingRequest::is_complete) {
            return;
        }
        if let Some(pending) = self.pending.remove(&number) {
            self.ids.remove(&pending.request.id);
        }
    }
}
