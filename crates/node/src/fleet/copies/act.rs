//! What the packages want, and what this process has out.

use super::{Asker, Copies, Due, AGAIN_MS, TAKEOVER_MS};
use crate::fleet::gather::policies;
use crate::fleet::table::Step;
use crate::fleet::words::Word;
use crate::fleet::Told;
use basaltgw_gather as gather;
use basaltgw_holds as holds;
use basaltgw_holds::{AskNo, Change, Hold, HoldKey, Verdict};
use basaltgw_ids::Ms;
use basaltgw_peers::{Lane, Order};
use basaltgw_roster as roster;
use std::sync::Arc;

impl Copies {
    pub(super) fn ask(&mut self, now: Ms, asker: Asker, (key, change): (HoldKey, Change), within: Ms) {
        self.asks += 1;
        let no = AskNo(self.asks);
        self.asked.insert(no, asker);
        self.holds(now, holds::Event::Ask { no, key, change, within });
    }

    pub(super) fn holds(&mut self, now: Ms, event: holds::Event) {
        let mut acts = Vec::new();
        self.parts.holds.handle(now, event, &mut acts);
        for act in acts {
            match act {
                holds::Action::Send(no, to, body) => self.send(no, to, Lane::Holds, body),
                holds::Action::Store(no, records) => self.to_store.push((no, records)),
                holds::Action::Answer(no, key, verdict) => match self.asked.remove(&no) {
                    Some(Asker::Owner(no)) => {
                        self.kept(now, key, &verdict);
                        self.tell(Told::Verdict(no, verdict));
                    }
                    Some(Asker::Pursuit(no)) => {
                        self.kept(now, key, &verdict);
                        self.pursued(now, no, verdict);
                    }
                    Some(Asker::Table) => {
                        let steps = self.parts.table.answered(now, verdict);
                        self.steps(now, steps);
                    }
                    Some(Asker::Doubt) => {
                        self.doubts.remove(&key);
                        self.count_unkept(key, &verdict);
                    }
                    Some(Asker::Nobody) => self.count_unkept(key, &verdict),
                    None => {}
                },
                holds::Action::Timer(after, token) => self.timer(now + after, Due::Holds(token)),
                holds::Action::Behind(_, who) => self.say(&who, &Word::TableWanted),
                holds::Action::Filled(_, Some(_)) => {}
                holds::Action::Filled(epoch, None) => {
                    let steps = self.parts.table.filled(now, epoch);
                    self.steps(now, steps);
                }
                holds::Action::Report(text) => log::info!("{text}"),
            }
        }
    }

    /// What is this process's own to send is known here, and who has what it asked for is asked whether that is still so.
    pub(super) fn kept(&mut self, now: Ms, key: HoldKey, verdict: &Verdict) {
        let stands = match verdict {
            Verdict::Kept(Hold::Out { owner, turn }) if *owner == self.parts.me => {
                self.mine.insert(key, *turn);
                return;
            }
            Verdict::Kept(hold) => Some(hold),
            Verdict::Stands(hold) => hold.as_ref(),
            Verdict::Unkept { .. } => return,
        };
        let Some(Hold::Out { owner, turn }) = stands else {
            self.mine.remove(&key);
            return;
        };
        if *owner == self.parts.me {
            // An earlier life of the process had it out, or it was turned away here.
            if !self.mine.contains_key(&key) {
                self.doubt(now, key, *turn);
            }
        } else if self.reached.get(&owner.router) == Some(owner) {
            self.say(&owner.clone(), &Word::Still { key, turn: *turn });
        } else if self.lost.get(&owner.router).is_none_or(|at| now >= at + TAKEOVER_MS) {
            self.doubt(now, key, *turn);
        }
    }

    /// Whoever has it out may have been lost with it: nobody sends it again. One such question at a time for each hold.
    pub(super) fn doubt(&mut self, now: Ms, key: HoldKey, turn: u32) {
        if self.doubts.insert(key) {
            self.ask(now, Asker::Doubt, (key, Change::Doubt(turn)), AGAIN_MS);
        }
    }

    pub(super) fn pursue(&mut self, now: Ms, no: u64) {
        let Some(pursuit) = self.pursuits.get(&no) else { return };
        if now >= pursuit.until {
            self.counts.pursuits_dropped += 1;
            self.pursuits.remove(&no);
            return;
        }
        let change = pursuit.change.clone().unwrap_or(Change::Look);
        self.ask(now, Asker::Pursuit(no), (pursuit.key, change), AGAIN_MS);
    }

    pub(super) fn pursued(&mut self, now: Ms, no: u64, verdict: Verdict) {
        let Some(pursuit) = self.pursuits.get_mut(&no) else { return };
        match (verdict, &pursuit.change) {
            (Verdict::Unkept { .. }, _) => self.timer(now + AGAIN_MS, Due::Pursuit(no)),
            (
                Verdict::Kept(Hold::Out { owner, turn }) | Verdict::Stands(Some(Hold::Out { owner, turn })),
                None,
            ) if owner == self.parts.me => {
                pursuit.change = Some(Change::Back(owner, turn));
                self.pursue(now, no);
            }
            (Verdict::Kept(_) | Verdict::Stands(_), _) => {
                self.mine.remove(&pursuit.key);
                self.pursuits.remove(&no);
            }
        }
    }

    pub(super) fn count_unkept(&mut self, key: HoldKey, verdict: &Verdict) {
        match verdict {
            Verdict::Kept(_) | Verdict::Stands(_) => {}
            Verdict::Unkept { why, .. } => {
                self.counts.unkept_unasked += 1;
                log::debug!("a change of a {:?} is not kept: {why:?}", key.kind);
            }
        }
    }

    pub(super) fn roster(&mut self, now: Ms, event: roster::Event) {
        let mut acts = Vec::new();
        if let Err(e) = self.parts.roster.handle(now, event, &mut acts) {
            self.counts.unreadable += 1;
            log::debug!("the roster: {e}");
        }
        for act in acts {
            match act {
                roster::Action::Send(to, body) => self.send(0, to, Lane::Roster, body),
                roster::Action::Timer(after, token) => self.timer(now + after, Due::Roster(token)),
                roster::Action::State(presence, state) => {
                    log::info!("router {} is {state:?}", presence.member)
                }
                roster::Action::Told(from, word) if self.parts.gathers.is_some() => {
                    let roster::Evidence { site, missed, answered, latency, age } = word;
                    let word = gather::Evidence { site: gather::Site(site), missed, answered, latency, age };
                    self.tell(Told::Evidence(from.router, word));
                }
                roster::Action::Told(..) => {}
                roster::Action::Report(text) => log::info!("{text}"),
            }
        }
    }

    /// Tells the owner by which policies gathers go.
    pub(super) fn policies(&mut self) {
        let table = self.parts.table.table();
        let all = self.parts.gathers.as_ref().zip(table).map(|(classes, table)| policies(table, classes));
        all.into_iter().for_each(|all| self.tell(Told::Policies(Arc::new(all))));
    }

    /// What the table's owner wants. What follows on something that has to last waits for the commit at the turn's end.
    pub(super) fn steps(&mut self, now: Ms, steps: Vec<Step>) {
        let mut steps = steps.into_iter();
        while let Some(step) = steps.next() {
            match step {
                Step::Keep(serial, body) => {
                    self.to_adopt = Some((serial, body));
                    self.after_commit.extend(steps);
                    return;
                }
                Step::Found(map) => self.holds(now, holds::Event::Map(map)),
                Step::Map(map) => {
                    let table = (map.version, map.hash);
                    (self.counts.table_version, self.counts.table_epoch) = (map.version.0, map.epoch);
                    let _ = self.parts.port.send(Order::Table(table.0, table.1));
                    self.holds(now, holds::Event::Map(map));
                    self.tell(Told::Table(table.0, table.1));
                    self.policies();
                }
                Step::Ask(key, change, within) => self.ask(now, Asker::Table, (key, change), within),
                Step::SayAll(word) => self.say_all(&word),
                Step::Own(word) => {
                    let me = self.parts.me.clone();
                    self.word(now, &me, word);
                }
                Step::Adopted => self.counts.tables_adopted += 1,
                Step::TakenBack => self.counts.tables_taken_back += 1,
                Step::Refused => self.counts.tables_refused += 1,
                Step::Replaced => self.counts.members_replaced += 1,
            }
        }
    }
}
