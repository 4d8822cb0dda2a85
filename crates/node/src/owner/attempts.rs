//! Attempts: sent, given up, timed out, and how they ended.

use super::batch::Due;
use super::requests::Open;
use super::{name, number, Owner};
use crate::breaks::{broken, Break};
use crate::caches::{with_wait, Answer, Ask, AttemptKey, ConnId, Down, GivenUp, RequestNo};
use crate::clients::{Reply, WireId};
use crate::inbox::Over;
use crate::limits::LONGEST_WAIT_MS;
use crate::outbox::{Counted, FetchRoute, FetchTerms, FetchTime, OutgoingMessage, Stage};
use crate::permissions::{may_begin, may_repeat, BeginState, EarlierAttempt};
use basaltgw::api::{
    AttemptNo, AttemptResult, AttemptSpec, Event, FillReport, LoadReport, Ms, Outcome, ServerId,
};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An attempt that was asked for.
pub(super) struct Attempt {
    pub server: ServerId,
    pub source: Option<ServerId>,
    sent: Ms,
    /// The connection on which it went.
    on: Option<ConnId>,
    /// Where it is on its way; `None` once it is over.
    pub way: Option<(ConnId, Rc<OutgoingMessage>)>,
    /// How it ended, once it has.
    end: Option<AttemptResult>,
}

impl Attempt {
    /// As a later attempt sees it.
    pub(super) fn earlier(&self, now: Ms) -> EarlierAttempt {
        EarlierAttempt { end: self.end, age: now - self.sent }
    }

    /// How far it has got; `None` once it is over.
    pub(super) fn stage(&self) -> Option<Stage> {
        self.way.as_ref().map(|(_, parcel)| parcel.stage())
    }
}

/// An attempt that was given up, and is out until its server has shown that it knows, or its connection is over.
pub(super) struct AbortingAttempt {
    key: AttemptKey,
    end: AttemptResult,
    pub on: ConnId,
    pub tag: WireId,
    pub since: Ms,
}

/// How an attempt came out, besides its end.
pub(super) struct AttemptReport {
    note: FillReport,
    waited: Ms,
    load: LoadReport,
    /// The answer carried the object's bytes.
    whole: bool,
}

const NO_REPORT: AttemptReport = AttemptReport {
    note: FillReport::NotReported,
    waited: 0.0,
    load: LoadReport { inflight: None, util: None, hits: None, link: None },
    whole: false,
};

impl Owner {
    /// Makes an attempt, if it may begin; else the module is told that it was not sent.
    pub(super) fn begin(&mut self, fetch: AttemptSpec) {
        let Some(no) = number(&fetch.request) else { return };
        // Its client is gone, and the owner has yet to come to that: the module hears that this was the last.
        let client_waits = self.requests.get(no).is_some_and(Open::client_waits);
        if !client_waits {
            self.owed_no_longer(no);
        }
        let Some(open) = self.requests.get(no) else { return };
        let n = AttemptNo(open.attempts.len());
        self.counters.attempts.made.one();
        let asked = Some(fetch.timeout).filter(|t| *t != 0.0);
        let until = asked.map_or(open.deadline, |t| open.deadline.min(self.now + t));
        let state = BeginState {
            client_waits,
            answered: open.answered,
            time_left: until - self.now,
            attempts: n.0,
            max_attempts: self.max_attempts,
            listed: self.servers.contains_key(&fetch.server),
        };
        let repeat = may_repeat(&self.retry_policy(open), open.attempts.iter().map(|a| a.earlier(self.now)));
        let refusal = match (may_begin(&state), repeat) {
            (Ok(()), Ok(())) => None,
            (Err(refusal), _) => Some(refusal.to_string()),
            (_, Err(refusal)) => Some(refusal.to_string()),
        };
        let way = match refusal {
            None => self.send(no, n, &fetch, until),
            Some(refusal) => {
                log::debug!("request {}, attempt {}: not begun, {refusal}", no.0, n.0);
                None
            }
        };
        let source = Some(fetch.fill_source).filter(|s| *s != fetch.server);
        let (sent, on) = (way.is_some(), way.as_ref().map(|w| w.0));
        let Some(open) = self.requests.get_mut(no) else { return };
        open.attempts.push(Attempt { server: fetch.server, source, sent: self.now, on, way, end: None });
        if sent {
            self.timers.set(until, Due::Attempt(no, n));
            if fetch.start_before.is_finite() {
                self.timers.set(fetch.start_before, Due::Begin(no, n));
            }
        } else {
            // Also where all connections are in use: the limit is the router's own, and tells nothing of the server.
            self.report((no, n), AttemptResult::NotSent, NO_REPORT, true);
        }
    }

    /// Puts an attempt on a connection; `None` if none may be opened.
    fn send(
        &mut self,
        no: RequestNo,
        n: AttemptNo,
        fetch: &AttemptSpec,
        until: Ms,
    ) -> Option<(ConnId, Rc<OutgoingMessage>)> {
        let open = self.requests.get(no)?;
        let place = *self.servers.get(&fetch.server)?;
        let now = Instant::now();
        // Monotonic times of the owner's clock, in the terms of the writers.
        let instant = |at: Ms| now + millis((at - self.clock.now()).clamp(0.0, LONGEST_WAIT_MS));
        let begin_by = fetch.start_before.is_finite().then(|| instant(fetch.start_before));
        let source = Some(&fetch.fill_source).filter(|s| **s != fetch.server);
        let body = open.body.as_ref().map_or(&[][..], Counted::bytes);
        let ask = Ask {
            id: &open.request.id,
            class: &open.request.class,
            object: &open.request.object_text,
            part: open.request.part.0,
            wait: until - self.now,
            from: source,
            rank: fetch.rank,
            oldest: fetch.max_age,
            share: fetch.join_fill,
            peek: fetch.cached_only,
            renew: fetch.revalidate,
            seen: open.request.got.as_deref(),
            key: open.request.key.as_deref(),
            body,
        };
        let terms = FetchTerms {
            begin_by,
            wanted: open.wanted.clone(),
            time: Some(FetchTime {
                until: instant(until),
                client_until: instant(open.deadline),
                made: now,
                tell_wait: with_wait,
            }),
            drained: Rc::default(),
            drain_grace: millis(self.drain_grace),
            ids: (no.0, n.0),
            invariants: Rc::clone(&self.invariants),
            stalls: Rc::clone(&self.stalls),
            route: open.class.map(|class| FetchRoute {
                to: [Some(fetch.server.clone()), source.cloned()],
                class: class.0,
                watch: Rc::clone(&self.slow_start),
            }),
        };
        if let Some(effect) = open.class.and_then(|c| self.classes.get(c.0)).map(|c| c.idempotency) {
            let earlier = open.attempts.iter().map(|a| a.end);
            self.invariants.attempted(effect, earlier, format_args!("request {}, attempt {}", no.0, n.0));
        }
        let used: Vec<ConnId> = open.attempts.iter().filter_map(|a| a.on).collect();
        let of = (&open.request.id, &used[..], !body.is_empty());
        self.caches.send(self.now, (&fetch.server, place), (no, n), of, (ask.encode(), terms))
    }

    /// A connection is over, and with it what was open on it.
    pub(super) fn conn_down(&mut self, at: ConnId, down: Down) {
        match down {
            Down::NeverUp => self.counters.conns.failed.one(),
            Down::Shortage => self.counters.conns.shortages.one(),
            Down::Ended(Over::Ended | Over::Silent | Over::Quiet(_) | Over::Dropped) => {}
            Down::Ended(Over::Unreadable(_)) => self.counters.conns.unreadable.one(),
            Down::Ended(Over::Unfinished) => self.counters.conns.unfinished.one(),
        }
        self.reap_aborted(|leaving| leaving.on == at);
        for key in self.caches.down(at) {
            let end = match (down, self.requests.attempt(key).and_then(Attempt::stage)) {
                (Down::NeverUp, _) => AttemptResult::NoConnection,
                // Nothing was written, and the server is not at fault.
                (Down::Shortage, _) => AttemptResult::NotSent,
                (Down::Ended(_), Some(Stage::Written)) => AttemptResult::ConnectionLost,
                // Its last byte was not written.
                (Down::Ended(_), _) => AttemptResult::NotSent,
            };
            self.end(key, end, NO_REPORT, false);
        }
    }

    /// Gives an attempt up at its server. It ends so, in a later batch, or as `never` if it was not sent. What is on its way is out
    /// until its abort is written: on another connection the request's next attempt could overtake that, and two would be out.
    /// `later`: the module is told in the next batch, since it is its own action.
    pub(super) fn give_up(
        &mut self,
        (no, n): AttemptKey,
        (end, never): (AttemptResult, AttemptResult),
        later: bool,
    ) {
        let Some(open) = self.requests.get(no) else { return };
        let Some((conn, parcel)) = open.attempts.get(n.0).and_then(|a| a.way.as_ref()) else { return };
        if self.leaving.iter().any(|l| l.key == (no, n)) {
            return;
        }
        match self.caches.give_up(*conn, &open.request.id, parcel) {
            GivenUp::Never => self.end((no, n), never, NO_REPORT, later),
            GivenUp::Closed => self.end((no, n), end, NO_REPORT, later),
            GivenUp::Behind(tag) => {
                self.leaving.push(AbortingAttempt { key: (no, n), end, on: *conn, tag, since: self.now })
            }
        }
    }

    /// What was given up and has left its server is over; gives how many that were.
    pub(super) fn reap_aborted(&mut self, gone: impl Fn(&AbortingAttempt) -> bool) -> u64 {
        let all = std::mem::take(&mut self.leaving).into_iter();
        let (over, leaving): (Vec<_>, Vec<_>) = all.partition(gone);
        self.leaving = leaving;
        let many = over.len() as u64;
        over.into_iter().for_each(|l| self.end(l.key, l.end, NO_REPORT, false));
        many
    }

    /// Takes back what waits to be written of a request, and ends what its connection took back itself.
    pub(super) fn take_back(&mut self, no: RequestNo) {
        let Some(open) = self.requests.get(no) else { return };
        let unsent = |a: &Attempt| matches!(a.stage(), Some(Stage::Waiting | Stage::TakenBack));
        let attempts = open.attempts.iter().enumerate().filter(|(_, a)| unsent(a));
        let keys: Vec<AttemptKey> = attempts.map(|(n, _)| (no, AttemptNo(n))).collect();
        keys.into_iter()
            .for_each(|key| self.give_up(key, (AttemptResult::Cancelled, AttemptResult::NotSent), true));
    }

    pub(super) fn time_out(&mut self, key: AttemptKey) {
        let attempt = self.requests.attempt(key);
        let Some((conn, _)) = attempt.and_then(|a| a.way.as_ref()) else { return };
        let never =
            if self.caches.coming_up(*conn) { AttemptResult::NoConnection } else { AttemptResult::NotSent };
        self.give_up(key, (AttemptResult::TimedOut, never), false);
    }

    /// Its time to begin is over: it ends unless it was begun.
    pub(super) fn begun_late(&mut self, key: AttemptKey) {
        let stage = self.requests.attempt(key).and_then(Attempt::stage);
        if matches!(stage, Some(Stage::Waiting | Stage::TakenBack)) {
            self.counters.attempts.window_over.one();
            self.give_up(key, (AttemptResult::NotSent, AttemptResult::NotSent), false);
        }
    }

    /// A server answered.
    pub(super) fn outcome(&mut self, at: ConnId, answer: Answer) {
        // A server that knows of what was given up has answered no request by that.
        if self.leaving.iter().any(|l| l.on == at && l.tag == answer.id) {
            self.reap_aborted(|l| l.tag == answer.id);
            return;
        }
        let key = self.caches.answered(self.now, at, &answer.id);
        let (Some(key), Some(end)) = (key, answer.end) else {
            self.counters.attempts.late_answers.more(answer.end.is_some().into());
            return;
        };
        let write = self.requests.get(key.0).is_some_and(Open::is_write);
        if end == AttemptResult::Served && answer.copy.is_none() && !write {
            // A read's answer without its copy's tag is spoilt, and so is the connection. What else is open on it is out until its
            // socket is closed.
            self.counters.conns.unreadable.one();
            self.caches.end(at);
            self.recall(|_, a| a.way.as_ref().is_some_and(|(conn, _)| *conn == at));
            return self.end(key, AttemptResult::ConnectionLost, NO_REPORT, false);
        }
        if let Some(copy) = &answer.copy {
            let grown = self.platform.observe(self.now, copy.born as Ms);
            self.grown_older(grown);
        }
        if end == AttemptResult::Served {
            self.requests.get_mut(key.0).into_iter().for_each(|o| o.copy.clone_from(&answer.copy));
            let reply = if answer.same { Reply::Same } else { Reply::Served(answer.body.bytes()) };
            self.answer(key.0, reply);
        }
        let whole = end == AttemptResult::Served && !answer.same;
        let telling = AttemptReport { note: answer.note, waited: answer.waited, load: answer.load, whole };
        self.end(key, end, telling, false);
    }

    /// An attempt is over: the module is told, at once or (of what its own action led to) in the next batch.
    fn end(&mut self, key: AttemptKey, end: AttemptResult, telling: AttemptReport, later: bool) {
        let attempt = self.requests.attempt_mut(key);
        if attempt.is_some_and(|a| a.way.take().is_some()) {
            self.report(key, end, telling, later);
        }
    }

    fn report(&mut self, (no, n): AttemptKey, end: AttemptResult, telling: AttemptReport, later: bool) {
        let breaks = broken(Break::RepeatAfterExecution) && end != AttemptResult::Served;
        let end = if breaks { AttemptResult::NotSent } else { end };
        let Some(open) = self.requests.get_mut(no) else { return };
        open.promise.attempt(end);
        let Some(attempt) = open.attempts.get_mut(n.0) else { return };
        attempt.end = Some(end);
        self.counters.attempts.ended(end);
        let planned = match &attempt.source {
            Some(source) => {
                let pair = (&attempt.server, source);
                self.tree.ended(self.now, pair, open.request.object, (end, telling.note))
            }
            None => Vec::new(),
        };
        let delay = self.now - attempt.sent;
        if let Some(class) = open.class.filter(|_| telling.whole) {
            self.slow_start.answered(class.0, open.request.object, (delay - telling.waited).max(1.0));
        }
        let event = Event::Outcome(Outcome {
            request: name(no),
            attempt: n,
            server: attempt.server.clone(),
            result: end,
            latency: delay,
            completes_request: open.answered || open.promise.decided(),
            fill_report: telling.note,
            source_wait: telling.waited,
            load: telling.load,
            body_complete: telling.whole,
        });
        self.pending.extend(planned);
        if later {
            self.pending.push_back(event);
        } else {
            self.tell(event);
        }
        self.forget(no);
    }
}

fn millis(span: Ms) -> Duration {
    Duration::from_secs_f64(span.max(0.0) / 1000.0)
}
