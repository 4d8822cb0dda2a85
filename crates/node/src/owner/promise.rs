//! Requests that may run once only, where the fleet keeps them: taken on by enough routers before they are sent, and their outcome put
//! down before it is said. Without a fleet nothing here is in the way.

use super::batch::Due;
use super::news::Purged;
use super::requests::Open;
use super::Owner;
use crate::caches::RequestNo;
use crate::clients::{Reply, WireId};
use crate::fleet::{ControlNotification, Fleet};
use crate::outbox::Counted;
use crate::permissions::not_executed;
use basaltgw::api::{AttemptResult, ClassId, Event, GroupId, Idempotency, Ms, ObjectId};
use basaltgw_registers::{Change, Kind, Outcome, Record, RecordKey, RequestNumber, Response};
use std::sync::Arc;

/// What another router has out is asked after so often, until its outcome is known or the client's time is over.
const LOOK_MS: Ms = 30.0;
/// So much of a request's time is left for its answer to be written, once its promise is waited for no longer.
const SPARE_MS: Ms = 15.0;
/// A verdict is due by its time; the copies' thread may wait for a disk that stands still, and the client may not wait for that. No more than
/// [`SPARE_MS`], so that it is answered before its own time is over.
const STALLED_MS: Ms = 8.0;
/// After such a stop what is read for so long may have lain in the sockets meanwhile: links to peers take about as long to come up again.
const LAIN_MS: Ms = 1_500.0;
/// A process that has not come to its queues for so long may have been stopped, and others may have taken over what it held: what
/// it has not sent yet it gives back instead.
const STOPPED_MS: Ms = 750.0;

/// How far a request is with the fleet.
#[derive(Debug, Default)]
pub(super) enum Promise {
    /// It needs none, or there is no fleet.
    #[default]
    None,
    /// The keepers are asked to take it.
    Asked,
    /// Another router has it.
    Elsewhere,
    /// It is this router's to send.
    Mine { turn: u32, ran: bool, served: bool },
    /// Its outcome is being put down, and then said.
    Ending { body: Counted },
    /// The fleet has been told, or is being told, how it ended.
    Over,
}

impl Promise {
    /// The module has its last word on it.
    pub(super) fn decided(&self) -> bool {
        matches!(self, Self::Ending { .. })
    }

    /// The module knows of the request.
    pub(super) fn begun(&self) -> bool {
        !matches!(self, Self::Asked | Self::Elsewhere)
    }

    /// An attempt has ended so.
    pub(super) fn attempt(&mut self, end: AttemptResult) {
        if let Self::Mine { ran, served, .. } = self {
            *ran |= !not_executed(end);
            *served |= end == AttemptResult::Served;
        }
    }
}

/// The hold of a request, by the client's id of it.
pub(super) fn effect(id: &WireId) -> RecordKey {
    // The id is 16 hex digits; what is not is no request.
    let name = u128::from(u64::from_str_radix(&id.0, 16).unwrap_or(u64::MAX));
    RecordKey { kind: Kind::Execution, name }
}

impl Owner {
    /// True if the request has to be taken on by the fleet before it may be tried: the keepers are asked, or it is turned away.
    pub(super) fn promise(&mut self, no: RequestNo) -> bool {
        let Some(fleet) = &mut self.fleet else { return false };
        let Some(open) = self.requests.get_mut(no) else { return false };
        let once = |class: ClassId| {
            fleet
                .effects
                .get(class.0)
                .is_some_and(|e| matches!(e, Idempotency::IdempotencyKey | Idempotency::NonIdempotent))
        };
        if !fleet.terms.effects || !open.class.is_some_and(once) {
            return false;
        }
        open.promise = Promise::Asked;
        let (change, stay_away) = (Change::Acquire(fleet.me.clone()), fleet.terms.stay_away);
        if !self.ask_fleet(no, change) {
            self.fleet.iter_mut().for_each(|f| f.counters.turned_away += 1);
            self.not_taken(no, stay_away);
        }
        true
    }

    /// Asks for a change of a request's hold, with as much time as the request has and the settings give; false if there is no time or
    /// no room.
    fn ask_fleet(&mut self, no: RequestNo, change: Change) -> bool {
        let Some(fleet) = &mut self.fleet else { return false };
        let Some(open) = self.requests.get(no) else { return false };
        let within = fleet.terms.promise.min(open.deadline - self.now - SPARE_MS);
        let asked = (within > 0.0).then(|| fleet.ask(no, effect(&open.request.id), change, within)).flatten();
        asked
            .into_iter()
            .for_each(|ask| self.timers.set(self.now + within + STALLED_MS, Due::Promise(no, ask)));
        asked.is_some()
    }

    /// A request can't be promised: it never ran here and is turned away at once. Of one that its client has presented elsewhere too nobody
    /// here knows whether it ran there: that is no refusal.
    fn not_taken(&mut self, no: RequestNo, stay_away: Ms) {
        // What lay in the sockets of a process that was stopped may have been presented elsewhere since.
        let lay = self.fleet.as_ref().is_some_and(|f| self.now < f.stopped_until);
        let again = lay || self.requests.get(no).is_some_and(|o| o.request.again);
        if again {
            self.fleet.iter_mut().for_each(|f| f.counters.in_doubt += 1);
        }
        self.answer(no, if again { Reply::Failed } else { Reply::Refused(stay_away) });
    }

    /// The copies' thread has spoken.
    pub(super) fn fleet_told(&mut self) {
        self.fleet.iter_mut().for_each(|f| {
            f.flush();
        });
        while let Some(told) = self.fleet.as_mut().and_then(Fleet::next) {
            match told {
                ControlNotification::Response(ask, verdict) => self.verdict(ask, verdict),
                ControlNotification::Purge(purge) => {
                    let (group, object) = (GroupId(purge.group), purge.object.map(ObjectId));
                    self.purged_elsewhere(Purged { object, group, time: purge.time as Ms });
                }
                ControlNotification::PurgesKnown(known) => self.purges_known(known),
                ControlNotification::PurgesMissed => {
                    log::warn!(
                        "purges were missed: copies of before now are not served until they have settled"
                    );
                    self.all_purged();
                    self.recall(|_, _| true);
                }
                ControlNotification::Policies(policies) => {
                    self.gathering.iter_mut().for_each(|g| g.policies = Arc::clone(&policies))
                }
                ControlNotification::Evidence(from, word) => {
                    self.gather_tell(basaltgw_scatter_gather::Event::Heard(from, word))
                }
                ControlNotification::Table(version, hash) => {
                    log::info!("goes by table {} ({hash})", version.0)
                }
            }
        }
        self.gather_heard();
        if let Some(why) = self.fleet.as_mut().and_then(Fleet::lost) {
            self.fleet_lost(&why);
        }
    }

    /// A thread of the fleet is gone, and so is what it vouched for: the process ends in order.
    fn fleet_lost(&mut self, why: &str) {
        if let Some(fleet) = self.fleet.as_mut().filter(|f| f.fault.is_none() && !f.ending) {
            fleet.fault = Some(why.to_string());
            log::error!("the fleet's threads have ended, and so does the router: {why}");
            self.ending.ask(self.now);
        }
    }

    /// What was purged before this start is known, or everything counts as purged now.
    fn purges_known(&mut self, known: bool) {
        if let Some(fleet) = self.fleet.as_mut().filter(|f| !f.purges_known) {
            fleet.purges_known = true;
            if !known {
                log::warn!("purges of before this start can't be had: copies of before it are not served until they have settled");
                self.all_purged();
            }
        }
    }

    /// All groups count as purged now.
    fn all_purged(&mut self) {
        // Purged now, whatever the platform's time: this must not be reckoned older later.
        self.platform.settle();
        let now = self.platform.unix_at_most(self.now);
        for group in (0..=crate::limits::MOST_GROUP).map(GroupId) {
            self.tell(Event::Purged(group, None, 0.0));
            self.gather_purged(None, group, now);
        }
    }

    fn verdict(&mut self, ask: RequestNumber, verdict: Response) {
        let Some(fleet) = &mut self.fleet else { return };
        let Some((no, key)) = fleet.asks.remove(&ask) else { return };
        let Some(verdict) = self.gather_verdict(no, verdict) else { return };
        let Some(fleet) = &mut self.fleet else { return };
        let waits = |open: &Open| !matches!(open.promise, Promise::Over);
        let Some(open) = self.requests.get_mut(no).filter(|o| waits(o)) else {
            // Nobody waits for it any more. What was taken for a client that has left is given back: it was never sent.
            match verdict {
                Response::Committed(Record::Leased { owner, term: turn }) if owner == fleet.me => {
                    fleet.give_back(key, turn)
                }
                Response::Committed(_) | Response::Conflict(_) | Response::Unavailable { .. } => {}
            }
            return;
        };
        match std::mem::take(&mut open.promise) {
            Promise::Ending { body } => {
                open.promise = Promise::Over;
                match verdict {
                    Response::Committed(_) | Response::Conflict(Some(Record::Completed(_))) => {}
                    Response::Conflict(_) => {
                        // Others were told that nobody knows.
                        self.fleet.iter_mut().for_each(|f| f.counters.fenced += 1);
                        return self.pay_out(no, Reply::Failed);
                    }
                    // It was served, whoever keeps that; the copies' thread goes on putting it down.
                    Response::Unavailable { .. } => {}
                }
                self.pay_out(no, Reply::Served(body.bytes()));
            }
            Promise::Asked | Promise::Elsewhere => self.taken(no, verdict),
            other @ (Promise::None | Promise::Mine { .. } | Promise::Over) => open.promise = other,
        }
    }

    /// The time for a verdict is over, and none has come: the copies' thread stands still. The verdict that comes later finds nobody, and
    /// what was taken by it is given back then; what was to be put down is put down still.
    pub(super) fn stalled(&mut self, no: RequestNo, ask: RequestNumber) {
        let Some(fleet) = self.fleet.as_mut().filter(|f| f.asks.contains_key(&ask)) else { return };
        let Some(open) = self.requests.get_mut(no) else { return };
        match std::mem::take(&mut open.promise) {
            Promise::Asked | Promise::Elsewhere => {
                fleet.counters.stalled += 1;
                open.promise = Promise::Over;
                let stay_away = fleet.terms.stay_away;
                self.not_taken(no, stay_away);
            }
            Promise::Ending { body } => {
                fleet.counters.stalled += 1;
                open.promise = Promise::Over;
                self.pay_out(no, Reply::Served(body.bytes()));
            }
            other @ (Promise::None | Promise::Mine { .. } | Promise::Over) => open.promise = other,
        }
    }

    /// What came of asking the keepers to take a request, or how it stands.
    fn taken(&mut self, no: RequestNo, verdict: Response) {
        let Some(fleet) = &mut self.fleet else { return };
        let Some(open) = self.requests.get_mut(no) else { return };
        let stands = match verdict {
            Response::Committed(Record::Leased { owner, term: turn }) if owner == fleet.me => {
                fleet.counters.promised += 1;
                open.promise = Promise::Mine { turn, ran: false, served: false };
                if open.answered {
                    // The client has left meanwhile.
                    return self.forget(no);
                }
                return self.go_on(no);
            }
            Response::Committed(stands) => Some(stands),
            Response::Conflict(stands) => stands,
            // It may yet be found taken: the copies' thread gives it back then.
            Response::Unavailable { not_executed: _, retry_after: stay_away, reason: why } => {
                fleet.counters.unkept += 1;
                log::debug!("a request is turned away, its promise is not kept: {why:?}");
                open.promise = Promise::Over;
                return self.not_taken(no, stay_away);
            }
        };
        open.promise = Promise::Over;
        match stands {
            Some(Record::Completed(Outcome::Served(bytes))) => {
                fleet.counters.told_again += 1;
                self.answer(no, Reply::Served(&bytes));
            }
            Some(Record::Leased { .. } | Record::Released { .. }) => {
                if open.answered {
                    return self.forget(no);
                }
                open.promise = Promise::Elsewhere;
                fleet.counters.looks += 1;
                self.timers.set(self.now + LOOK_MS, Due::Look(no));
            }
            // Nobody may say that it never ran.
            Some(
                Record::Completed(Outcome::ServedBodyOmitted | Outcome::Failed)
                | Record::OutcomeUnknown
                | Record::Tombstone,
            )
            | None => {
                fleet.counters.in_doubt += 1;
                self.answer(no, Reply::Failed);
            }
            Some(
                Record::Purged { .. }
                | Record::Ticket { .. }
                | Record::Continuation { .. }
                | Record::Table { .. },
            ) => {
                fleet.counters.in_doubt += 1;
                self.answer(no, Reply::Failed);
            }
        }
    }

    /// Asks again how a request stands that another router has, and takes it if it was given back.
    pub(super) fn look(&mut self, no: RequestNo) {
        let Some(fleet) = &mut self.fleet else { return };
        let Some(open) = self.requests.get(no) else { return };
        if !matches!(open.promise, Promise::Elsewhere) || open.answered {
            return;
        }
        let change = Change::Acquire(fleet.me.clone());
        if !self.ask_fleet(no, change) {
            // It may run at the other router: whoever waits is not invited to repeat it.
            self.fleet.iter_mut().for_each(|f| f.counters.in_doubt += 1);
            self.answer(no, Reply::Failed);
        }
    }

    /// Puts down how a promised request ends. True if the answer has to wait for that.
    pub(super) fn ends(&mut self, no: RequestNo, reply: Reply<'_>) -> bool {
        let Some(fleet) = &mut self.fleet else { return false };
        let Some(open) = self.requests.get_mut(no) else { return false };
        let Promise::Mine { turn, .. } = open.promise else { return open.promise.decided() };
        let key = effect(&open.request.id);
        open.promise = Promise::Over;
        let bytes = match reply {
            // Given up is answered at once; that it never ran is put down beside that.
            Reply::Refused(_) => {
                fleet.give_back(key, turn);
                return false;
            }
            Reply::Failed => {
                fleet.put_down(key, turn, Outcome::Failed);
                return false;
            }
            Reply::Served(bytes) => bytes,
            Reply::Same => &[],
        };
        let outcome = fleet.outcome(bytes);
        let change = Change::Complete(fleet.me.clone(), turn, outcome.clone());
        if self.ask_fleet(no, change) {
            let body = Counted::new(bytes.to_vec(), &[&self.meter]);
            if let Some(open) = self.requests.get_mut(no) {
                open.promise = Promise::Ending { body };
            }
            return true;
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.put_down(key, turn, outcome);
        }
        false
    }

    /// A request is over whose client had left before it ended: its hold ends by what came of its attempts.
    pub(super) fn ended_unheard(&mut self, no: RequestNo) {
        let Some(fleet) = &mut self.fleet else { return };
        let Some(open) = self.requests.get_mut(no).filter(|o| o.over()) else { return };
        let Promise::Mine { turn, ran, served } = open.promise else { return };
        let key = effect(&open.request.id);
        open.promise = Promise::Over;
        match (ran, served) {
            (false, _) => fleet.give_back(key, turn),
            (true, true) => fleet.put_down(key, turn, Outcome::ServedBodyOmitted),
            (true, false) => fleet.put_down(key, turn, Outcome::Failed),
        }
    }

    /// The process may have been stopped for `gap`: what it holds and has not sent is given back, not sent.
    pub(super) fn woken(&mut self, gap: Ms) {
        if gap < STOPPED_MS || self.fleet.is_none() {
            return;
        }
        self.fleet.iter_mut().for_each(|f| f.stopped_until = self.now + LAIN_MS);
        // What it has asked to take, another may have taken meanwhile: nothing true can be said of it in time.
        for no in self.requests.asking() {
            self.fleet.iter_mut().for_each(|f| f.counters.in_doubt += 1);
            self.answer(no, Reply::Failed);
        }
        let unsent = self.requests.held_unsent();
        log::warn!(
            "was not at its queues for {gap:.0} ms: {} promised requests are given back unsent",
            unsent.len()
        );
        for no in unsent {
            self.take_back(no);
            self.tell(Event::ClientDisconnected(super::name(no)));
            let stay_away = self.fleet.as_ref().map_or(0.0, |f| f.terms.stay_away);
            self.answer(no, Reply::Refused(stay_away));
        }
    }

    /// Prints what the fleet counts.
    pub(super) fn fleet_words(&self) -> String {
        self.fleet.as_ref().map(Fleet::words).unwrap_or_default() + &self.gather_words()
    }
}
