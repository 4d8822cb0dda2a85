//! When a table is due, and what becomes of one that does not come on.

use super::{Step, TableManager};
use crate::words::Message;
use basaltgw_placement::{moves, Event, Offer, OfferNo, Refused, Register, Stage, Table};
use basaltgw_types::{Member, Ms};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What is open is asked for again after so long without a word.
const AGAIN_MS: Ms = 1_000.0;
/// Between two offers of this router: a fleet that settles is not to be asked for a table with each router that comes.
const OFFER_MS: Ms = 1_500.0;
/// A table that is on its way in and has not come on for so long is taken back: one whom it needs is lost.
const STUCK_MS: Ms = 6_000.0;
impl TableManager {
    /// New rules: compiled and offered with the next tick.
    pub fn rules(&mut self, name: String, text: String) {
        self.given.rules = vec![(name, text)];
        self.rules_offered = false;
    }

    /// New rules that meet another router's offer are refused: whoever wrote them did not know of it.
    pub(super) fn beside(&mut self) -> Vec<Step> {
        let next = self.adoption.register().and_then(Register::next);
        let Some(next) = next.filter(|n| !self.rules_offered && n.by != self.given.me.router) else {
            return Vec::new();
        };
        let (version, hash) = (next.table.version(), next.table.hash());
        log::warn!("the new rules are refused: {}", Refused::Busy { by: next.by.clone(), version, hash });
        self.rules_offered = true;
        vec![Step::Refused]
    }

    fn offer(&mut self, now: Ms, offer: Offer) -> Vec<Step> {
        self.offers += 1;
        self.offered = now;
        self.handle(now, Event::Asked(OfferNo(self.offers), offer))
    }

    /// What is to be tried again, and what has become due.
    pub fn tick(&mut self, now: Ms) -> Vec<Step> {
        let mut steps = self.found(now);
        if now < self.again + AGAIN_MS {
            return steps;
        }
        self.again = now;
        let Some(register) = self.adoption.register().cloned() else { return steps };
        let unmet = |m: &Member| !self.standing && !self.met.contains_key(&m.router);
        for (member, _) in register.table().routers().filter(|(m, _)| unmet(m)) {
            self.lost.entry(member.router.clone()).or_insert(now);
        }
        if register.next().is_some() {
            steps.extend(self.beside());
            // What was said of this turn may have been lost on its way.
            let turn = register.turn();
            let (checked, filled) = self.adoption.heard();
            let me = &self.given.me;
            let word = match (checked.contains(me), filled.contains(me)) {
                (_, true) => Some(Message::ReplicaSynced { term: turn }),
                (true, false) => Some(Message::TableDurable { term: turn }),
                (false, false) => None,
            };
            let stuck = now >= self.changed + STUCK_MS;
            steps.extend(word.map(|w| if stuck { Step::SayAll(w) } else { self.evidence(w) }));
            let speaks = self.first() || self.standing && self.speaks_for(self.lost.keys());
            if stuck && speaks && !self.asking {
                log::warn!("the table on its way in has not come on and is taken back: {register}");
                steps.extend(self.offer(now, Offer::TakeBack));
                self.changed = now;
            }
            steps.extend(self.handle(now, Event::Again));
        } else if now >= self.offered + OFFER_MS && !self.asking && *register.stage() == Stage::Idle {
            steps.extend(self.due(now, &register));
        }
        steps
    }

    /// Among those of the table that are met, or with standing links not lost, this one speaks for all.
    fn first(&self) -> bool {
        let Some(register) = self.adoption.register() else { return false };
        let met = |m: &Member| match self.standing {
            true => !self.lost.contains_key(&m.router),
            false => self.met.values().any(|met| met == m),
        };
        let mut there = register.table().routers().filter(|(m, _)| met(m));
        there.next().is_some_and(|(m, _)| *m == self.given.me)
    }

    /// Offers what is due: new rules by whoever has them, other routers by the first of those that are met.
    fn due(&mut self, now: Ms, register: &Register) -> Vec<Step> {
        let table = register.table();
        let held: BTreeSet<Member> = table.routers().map(|(m, _)| m.clone()).collect();
        let mut wanted: BTreeSet<Member> = self.met.values().cloned().collect();
        for member in &held {
            let gone = self.lost.get(&member.router).is_some_and(|at| now >= at + self.given.replace_after);
            if !gone && !self.met.contains_key(&member.router) {
                wanted.insert(member.clone());
            }
        }
        if !self.rules_offered && self.is_member() {
            self.rules_offered = true;
            return self.next(now, wanted, table, true);
        }
        let same = held.is_subset(&wanted) && (wanted == self.considered || wanted == held);
        // What could not be compiled is not tried again until someone else is there.
        let speaks = match self.standing {
            true => self.speaks_for(held.symmetric_difference(&wanted).map(|m| &m.router)),
            false => self.first(),
        };
        if same || self.failed.as_ref() == Some(&wanted) || !speaks {
            return Vec::new();
        }
        let missing: Vec<&Member> = held.difference(&wanted).collect();
        let back = missing.iter().find_map(|old| {
            let new = self.met.get(&old.router)?;
            Some(((*old).clone(), new.clone()))
        });
        match back {
            Some((old, new)) => {
                log::info!("{old} has come back as {new}, and takes its place");
                let mut steps = self.offer(now, Offer::Replace { old, new });
                steps.push(Step::Replaced);
                steps
            }
            None => self.next(now, wanted, table, false),
        }
    }

    fn next(&mut self, now: Ms, members: BTreeSet<Member>, table: &Table, rules: bool) -> Vec<Step> {
        let made = self.compile(&members, Some(table));
        self.considered = members;
        match made {
            // Who comes and keeps nothing is no reason for another table.
            Ok(next) if !rules && moves(table, &next).copies() == 0 => {
                self.offered = now;
                Vec::new()
            }
            Ok(next) => self.offer(now, Offer::Next(Arc::new(next))),
            Err(faults) => {
                self.offered = now;
                self.failed = Some(self.considered.clone());
                log::error!("the table stays as it is:\n{faults}");
                vec![Step::Refused]
            }
        }
    }
}
