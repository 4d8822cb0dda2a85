//! Requests from the time that they are taken in until their answer is given and their attempts are over.

use super::asker::{Asked, Asker};
use super::attempts::Attempt;
use super::promise::Promise;
use super::{name, Owner};
use crate::caches::{AttemptKey, CopyTag, RequestNo};
use crate::clients::presence::Wanted;
use crate::clients::{Do, Reply, WireId};
use crate::outbox::{Counted, Meter, Stage};
use crate::permissions::{may_repeat, RetryPolicy};
use basaltgw::api::{AttemptNo, ClassId, Event, Idempotency, KeyScope, Ms, Request};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Of a request whose class the settings do not have.
const NO_RETRIES: RetryPolicy =
    RetryPolicy { idempotency: Idempotency::NonIdempotent, key_scope: KeyScope::Cell, key_window: 0.0 };

/// A request whose answer is owed, or whose attempts are not all over.
pub(super) struct Open {
    asker: Asker,
    pub class: Option<ClassId>,
    pub request: Box<Do>,
    /// Its body is counted while it may have to be sent.
    pub body: Option<Counted>,
    pub deadline: Ms,
    /// Whether a client still waits for it, where one is known.
    pub wanted: Option<Wanted>,
    /// Nothing more may be written to the asker for it.
    pub answered: bool,
    pub attempts: Vec<Attempt>,
    /// How far it is with the fleet.
    pub promise: Promise,
    /// The copy that it is answered with.
    pub copy: Option<CopyTag>,
}

impl Open {
    pub(super) fn over(&self) -> bool {
        self.answered && self.attempts.iter().all(|a| a.way.is_none())
    }

    /// Its client still waits, as far as the reader of its connection knows.
    pub(super) fn client_waits(&self) -> bool {
        self.wanted.as_ref().is_none_or(Wanted::holds)
    }

    /// It has a body, while that is kept.
    pub(super) fn is_write(&self) -> bool {
        self.body.as_ref().is_some_and(|b| !b.bytes().is_empty())
    }
}

/// The requests that are open.
pub(super) struct Requests {
    open: BTreeMap<RequestNo, Open>,
    ever: u64,
    /// The askers' ids of those.
    ids: BTreeSet<WireId>,
    /// So many have a place.
    most: usize,
}

impl Requests {
    pub(super) fn new(most: usize) -> Self {
        Self { open: BTreeMap::new(), ever: 0, ids: BTreeSet::new(), most }
    }

    /// A request is open under this id.
    pub(super) fn knows(&self, id: &WireId) -> bool {
        self.ids.contains(id)
    }

    pub(super) fn full(&self) -> bool {
        self.open.len() >= self.most
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub(super) fn get(&self, no: RequestNo) -> Option<&Open> {
        self.open.get(&no)
    }

    pub(super) fn get_mut(&mut self, no: RequestNo) -> Option<&mut Open> {
        self.open.get_mut(&no)
    }

    pub(super) fn attempt(&self, (no, n): AttemptKey) -> Option<&Attempt> {
        self.open.get(&no)?.attempts.get(n.0)
    }

    pub(super) fn attempt_mut(&mut self, (no, n): AttemptKey) -> Option<&mut Attempt> {
        self.open.get_mut(&no)?.attempts.get_mut(n.0)
    }

    /// Attempts of which nothing is written and to which this applies.
    pub(super) fn waiting(&self, which: impl Fn(&Open, &Attempt) -> bool) -> Vec<AttemptKey> {
        let mut keys = Vec::new();
        for (no, open) in &self.open {
            let waits = |a: &Attempt| a.stage() == Some(Stage::Waiting) && which(open, a);
            let attempts = open.attempts.iter().enumerate().filter(|(_, a)| waits(a));
            keys.extend(attempts.map(|(n, _)| (*no, AttemptNo(n))));
        }
        keys
    }

    /// Requests that wait for their promise.
    pub(super) fn asking(&self) -> Vec<RequestNo> {
        let waits = |o: &Open| !o.answered && !o.promise.begun();
        self.open.iter().filter(|(_, o)| waits(o)).map(|(no, _)| *no).collect()
    }

    /// Promised requests of which nothing is out.
    pub(super) fn held_unsent(&self) -> Vec<RequestNo> {
        let out = |a: &Attempt| matches!(a.stage(), Some(Stage::Begun | Stage::Written));
        let unsent =
            |o: &Open| matches!(o.promise, Promise::Mine { ran: false, .. }) && !o.attempts.iter().any(out);
        self.open.iter().filter(|(_, o)| !o.answered && unsent(o)).map(|(no, _)| *no).collect()
    }

    /// A number that no other request has.
    pub(super) fn number(&mut self) -> RequestNo {
        self.ever += 1;
        RequestNo(self.ever)
    }

    fn insert(&mut self, mut asked: Asked, meter: &Rc<Meter>) -> RequestNo {
        let no = self.number();
        let body = Some(Counted::new(std::mem::take(&mut asked.request.body), &[meter]));
        let Asked { asker, class, request, deadline, wanted } = asked;
        self.ids.insert(request.id.clone());
        let open = Open {
            asker,
            class,
            request,
            body,
            deadline,
            wanted,
            answered: false,
            attempts: Vec::new(),
            promise: Promise::None,
            copy: None,
        };
        self.open.insert(no, open);
        no
    }

    /// Its answer is given, or owed no longer; who is to have it, unless it was so before.
    fn settle(&mut self, no: RequestNo) -> Option<(Asker, Option<CopyTag>)> {
        let open = self.open.get_mut(&no).filter(|o| !o.answered)?;
        open.answered = true;
        open.body = None;
        Some((open.asker, open.copy.take()))
    }

    fn forget(&mut self, no: RequestNo) {
        if self.open.get(&no).is_some_and(Open::over) {
            let open = self.open.remove(&no);
            open.into_iter().for_each(|o| {
                self.ids.remove(&o.request.id);
            });
        }
    }
}

impl Owner {
    /// Takes a request in if there is a place. The one way from a front to the module: what has to be done before a request may be
    /// tried belongs between the two halves of this.
    pub(super) fn admit(&mut self, asked: Asked) {
        if self.requests.full() {
            return self.turn_away(asked.asker);
        }
        let asker = asked.asker;
        let no = self.requests.insert(asked, &self.meter);
        self.owe(asker, no);
        if !self.promise(no) {
            self.go_on(no);
        }
    }

    /// Tells the module of a request that was taken in.
    pub(super) fn go_on(&mut self, no: RequestNo) {
        let Some(open) = self.requests.get(no) else { return };
        let event = Event::Request(Request {
            id: name(no),
            class: open.class,
            object: open.request.object,
            part: open.request.part,
            group: open.request.group,
            size_kb: open.request.size_kb,
            write: open.is_write(),
            budget: open.deadline - self.now,
        });
        self.tell(event);
    }

    /// The retry policy of a request's class; a request without a class has no attempts.
    pub(super) fn retry_policy(&self, open: &Open) -> RetryPolicy {
        let class = open.class.and_then(|c| self.classes.get(c.0));
        class.map_or(NO_RETRIES, RetryPolicy::of)
    }

    /// A refusal invites the client to repeat its request: where a repeat could run twice it is a failure instead.
    fn harmless<'a>(&self, no: RequestNo, reply: Reply<'a>) -> Reply<'a> {
        let Some(open) = self.requests.get(no) else { return reply };
        let Reply::Refused(_) = reply else { return reply };
        let earlier = open.attempts.iter().map(|a| a.earlier(self.now));
        match may_repeat(&self.retry_policy(open), earlier) {
            Ok(()) => reply,
            Err(refusal) => {
                log::debug!("request {}: failed and not refused, {refusal}", no.0);
                Reply::Failed
            }
        }
    }

    /// Gives the one answer. All answers of the module and of servers go through this.
    pub(super) fn answer(&mut self, no: RequestNo, reply: Reply<'_>) {
        let reply = self.harmless(no, reply);
        // What ran is put down before it is said.
        if let (Reply::Refused(_), Some(open)) = (reply, self.requests.get(no)) {
            let (policy, earlier) =
                (self.retry_policy(open), open.attempts.iter().map(|a| a.earlier(self.now).end));
            self.invariants.refused(policy.idempotency, earlier, format_args!("request {}", no.0));
        }
        if !self.ends(no, reply) {
            self.pay_out(no, reply);
        }
    }

    pub(super) fn pay_out(&mut self, no: RequestNo, reply: Reply<'_>) {
        let Some((asker, copy)) = self.requests.settle(no) else { return };
        if self.pay(asker, reply, copy) {
            self.counters.clients.answered(&reply);
        }
        self.forget(no);
    }

    /// The asker waits no longer.
    pub(super) fn left(&mut self, no: RequestNo) {
        if self.gather_left(no) {
            return;
        }
        let told = self.requests.get(no).is_some_and(|o| o.promise.begun());
        if self.owed_no_longer(no) {
            if told {
                self.tell(Event::ClientDisconnected(name(no)));
            }
            // Nothing of it is at a server, so this takes no leave to call it off.
            self.take_back(no);
        }
        self.forget(no);
    }

    /// Nobody waits for it any more; true if somebody did.
    pub(super) fn owed_no_longer(&mut self, no: RequestNo) -> bool {
        let Some((asker, _)) = self.requests.settle(no) else { return false };
        self.counters.clients.left.more(matches!(asker, Asker::Client(..)).into());
        true
    }

    /// What is answered and has nothing out is over.
    pub(super) fn forget(&mut self, no: RequestNo) {
        self.ended_unheard(no);
        self.requests.forget(no);
    }
}
