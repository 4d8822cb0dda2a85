//! What answers in part owe: a hold each, kept before it is said, and known at whichever router is asked for the rest.

use super::{Counted, GatherNo, Gathered, Owing, Owner, Stage};
use crate::caches::RequestNo;
use crate::clients::Reply;
use crate::fleet::start::draw;
use basaltgw::api::Ms;
use basaltgw_registers::{Change, Kind, Record, RecordKey, Response};
use std::sync::Arc;

/// So much of a gather's time is left for its answer to be written, once its debt is waited for no longer.
const SPARE_MS: Ms = 15.0;

/// Parts that are owed.
pub(super) struct Debt {
    /// Its hold's name.
    pub name: u128,
    /// Of which object, and which version of it.
    pub object: u64,
    pub version: Arc<str>,
    pub missing: Vec<u64>,
}

fn key(name: u128) -> RecordKey {
    RecordKey { kind: Kind::Continuation, name }
}

impl Owner {
    /// Asks the fleet about a gather's hold; false if there is no time or room.
    fn debt_asked(&mut self, no: GatherNo, name: u128, change: Change) -> bool {
        let deadline = self.gathering.as_ref().and_then(|g| g.open.get(&no)).map_or(0.0, |o| o.deadline);
        let Some(fleet) = &mut self.fleet else { return false };
        let within = fleet.terms.promise.min(deadline - self.now - SPARE_MS);
        within > 0.0 && fleet.ask(RequestNo(no.0), key(name), change, within).is_some()
    }

    /// A client asks for what is owed under this name.
    pub(super) fn debt_looked(&mut self, no: GatherNo, name: u128) {
        let Some(open) = self.gathering.as_mut().and_then(|g| g.open.get_mut(&no)) else { return };
        let (object, version) = (open.request.object.0, Arc::from(""));
        open.debt = Some(Debt { name, object, version, missing: Vec::new() });
        if !self.debt_asked(no, name, Change::Read) {
            let back = self.fleet.as_ref().map_or(0.0, |f| f.terms.stay_away);
            self.gather_reply(no, Reply::Refused(back));
        }
    }

    /// An answer leaves parts out: that they are owed is said once it is kept.
    pub(super) fn debt_begins(
        &mut self,
        no: GatherNo,
        version: Arc<str>,
        said: Gathered,
        held: Vec<Counted>,
    ) {
        let Some(open) = self.gathering.as_mut().and_then(|g| g.open.get_mut(&no)) else { return };
        let missing: Vec<u64> = said.missing.iter().map(|n| u64::from(*n)).collect();
        let debt = Debt { name: draw(), object: open.request.object.0, version, missing };
        let (name, object, version) = (debt.name, debt.object, Arc::clone(&debt.version));
        let change = Change::SetContinuation { object, version, missing: debt.missing.clone() };
        open.stage = Stage::Owing(Box::new(Owing { debt, said, held, decided: self.now }));
        if !self.debt_asked(no, name, change) {
            self.debt_said(no, false);
        }
    }

    /// Gives the answer that waited for its debt.
    fn debt_said(&mut self, no: GatherNo, kept: bool) {
        let Some(g) = &mut self.gathering else { return };
        let Some(open) = g.open.get_mut(&no) else { return };
        let Stage::Owing(owing) = std::mem::replace(&mut open.stage, Stage::Out) else { return };
        let Owing { debt, mut said, held, decided } = *owing;
        // What is not kept is missing all the same, but not owed.
        said.debt = kept.then_some(debt.name);
        match kept {
            true => g.counters.debts_kept += 1,
            false => g.counters.debts_unkept += 1,
        }
        self.gather_say(no, said, held, decided);
    }

    /// The fleet's answer to a gather's question; handed back if it is another's.
    pub(in crate::owner) fn gather_verdict(&mut self, no: RequestNo, verdict: Response) -> Option<Response> {
        let no = GatherNo(no.0);
        let Some(open) = self.gathering.as_mut().and_then(|g| g.open.get_mut(&no)) else {
            return Some(verdict);
        };
        match &open.stage {
            Stage::Looking => self.debt_found(no, verdict),
            Stage::Owing(_) => {
                self.debt_said(no, matches!(verdict, Response::Committed(Record::Continuation { .. })))
            }
            Stage::Out => {}
        }
        None
    }

    /// How the debt stands that a client asks for.
    fn debt_found(&mut self, no: GatherNo, verdict: Response) {
        let Some(g) = &mut self.gathering else { return };
        let Some(open) = g.open.get_mut(&no) else { return };
        let stands = match verdict {
            Response::Committed(hold) => Some(hold),
            Response::Conflict(hold) => hold,
            Response::Unavailable { retry_after: stay_away, .. } => {
                return self.gather_reply(no, Reply::Refused(stay_away))
            }
        };
        let asked = |missing: &[u64]| open.parts.iter().all(|(p, _)| missing.contains(&u64::from(p.0)));
        match (stands, &mut open.debt) {
            (Some(Record::Continuation { object, version, missing }), Some(debt))
                if object == debt.object && asked(&missing) =>
            {
                (debt.version, debt.missing) = (version, missing);
                self.gather_begin(no);
            }
            // It was never owed so, or has been given, or its time is over.
            (_, _) => {
                g.counters.debts_unknown += 1;
                self.gather_reply(no, Reply::Failed);
            }
        }
    }

    /// Parts of a debt are given; nobody waits for that to be put down.
    pub(super) fn debt_shrinks(&mut self, debt: Debt, given: &[u64]) {
        let missing: Vec<u64> = debt.missing.iter().copied().filter(|p| !given.contains(p)).collect();
        let Debt { name, object, version, .. } = debt;
        if missing.is_empty() {
            self.gathering.iter_mut().for_each(|g| g.counters.debts_paid += 1);
            self.fleet.iter_mut().for_each(|f| f.pursue(key(name), Change::Expire));
        } else {
            let change = Change::SetContinuation { object, version, missing };
            self.fleet.iter_mut().for_each(|f| f.pursue(key(name), change.clone()));
        }
    }

    /// Nobody will ask for it.
    pub(super) fn debt_ends(&mut self, debt: &Debt) {
        self.fleet.iter_mut().for_each(|f| f.pursue(key(debt.name), Change::Expire));
    }
}
