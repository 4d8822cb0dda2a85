//! What the packages want, and what this process has out.

use super::{Asker, Control, Due, Pursuit, AGAIN_MS, MOST_PURSUITS, PURSUIT_MS, TAKEOVER_MS};
use crate::api::{Action, ControlNotification};
use crate::gathers::policies;
use crate::table::Step;
use crate::words::Message;
use basaltgw_membership as roster;
use basaltgw_registers as holds;
use basaltgw_registers::{Change, Record, RecordKey, RequestNumber, Response};
use basaltgw_scatter_gather as gather;
use basaltgw_types::link::Lane;
use basaltgw_types::Ms;
use std::sync::Arc;

impl Control {
    pub(super) fn ask(&mut self, now: Ms, asker: Asker, (key, change): (RecordKey, Change), within: Ms) {
        self.asks += 1;
        let no = RequestNumber(self.asks);
        self.asked.insert(no, asker);
        self.ask_holds(now, holds::Event::Request { number: no, key, change, timeout: within });
    }

    pub(super) fn ask_holds(&mut self, now: Ms, event: holds::Event) {
        let mut acts = Vec::new();
        self.parts.registers.handle(now, event, &mut acts);
        for act in acts {
            match act {
                holds::Action::Send(no, to, body) => self.send(no, to, Lane::Registers, body),
                holds::Action::Store(no, records) => self.next.batches.push((no, records)),
                holds::Action::Respond(no, key, verdict) => match self.asked.remove(&no) {
                    Some(Asker::Owner(no)) => self.tell(ControlNotification::Response(no, verdict)),
                    Some(Asker::Taker(no, _)) => {
                        self.taken(now, no, key, &verdict);
                        self.tell(ControlNotification::Response(no, verdict));
                    }
                    Some(Asker::Ender(no, change)) => {
                        match &verdict {
                            Response::Unavailable { .. } => self.begin(now, key, Some(change)),
                            Response::Committed(_) | Response::Conflict(_) => self.stands(now, key, &verdict),
                        }
                        self.tell(ControlNotification::Response(no, verdict));
                    }
                    Some(Asker::Pursuit(no)) => self.pursued(now, no, verdict),
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
                holds::Action::StaleEpoch(_, who) => self.say(&who, &Message::TableRequest),
                holds::Action::ShardSynced(_, Some(_)) => {}
                holds::Action::ShardSynced(epoch, None) => {
                    let steps = self.parts.table.filled(now, epoch);
                    self.steps(now, steps);
                }
                holds::Action::Log(text) => log::info!("{text}"),
            }
        }
    }

    /// What is this process's own to send is known here. What was not kept and may be found taken all the same is given back, whoever
    /// waits; so is what nobody will hear of.
    fn taken(&mut self, now: Ms, no: RequestNumber, key: RecordKey, verdict: &Response) {
        match verdict {
            Response::Committed(Record::Leased { owner, term: turn }) if *owner == self.parts.me => {
                self.mine.insert(key, (*turn, no));
                // It may run from now on: what was left of an earlier taking is no reason to give this one back.
                self.pursuits.retain(|_, p| p.key != key || p.change.is_some());
                if self.ending.is_some() {
                    self.begin(now, key, Some(Change::Release(owner.clone(), *turn)));
                }
            }
            Response::Unavailable { not_executed: false, .. } if !self.mine.contains_key(&key) => {
                self.begin(now, key, None)
            }
            Response::Unavailable { .. } => {}
            Response::Committed(_) | Response::Conflict(_) => self.stands(now, key, verdict),
        }
    }

    /// What is known not to be out here any more is forgotten, and who has it is asked whether that is still so.
    fn stands(&mut self, now: Ms, key: RecordKey, verdict: &Response) {
        let stands = match verdict {
            Response::Committed(hold) => Some(hold),
            Response::Conflict(hold) => hold.as_ref(),
            Response::Unavailable { .. } => return,
        };
        let Some(Record::Leased { owner, term: turn }) = stands else {
            // A word that was long under way may tell of a turn before the one that is out now.
            let later = match stands {
                Some(Record::Released { term: turn }) => {
                    self.mine.get(&key).is_some_and(|(mine, _)| mine >= turn)
                }
                _ => false,
            };
            if !later {
                self.mine.remove(&key);
            }
            return;
        };
        if *owner == self.parts.me {
            // An earlier life of the process had it out. What is being given back will be free.
            if !self.mine.contains_key(&key) && !self.pursued_now(&key) {
                self.doubt(now, key, *turn);
            }
        } else if self.reached.get(&owner.router) == Some(owner) {
            self.say(&owner.clone(), &Message::LeaseQuery { key, term: *turn });
        } else {
            let owner = owner.clone();
            let other = self.reached.contains_key(&owner.router);
            match self.lost.get(&owner.router) {
                Some(at) if now >= at + TAKEOVER_MS => self.doubt(now, key, *turn),
                Some(_) => self.keep_dialling(&owner.router),
                // Not being linked says nothing of it: it is asked, and lost only if it can't be.
                None if self.standing.is_some() && !other => {
                    self.say(&owner, &Message::LeaseQuery { key, term: *turn })
                }
                None => self.doubt(now, key, *turn),
            }
        }
    }

    /// Whoever has it out may have been lost with it: nobody sends it again. One such question at a time for each hold.
    pub(super) fn doubt(&mut self, now: Ms, key: RecordKey, turn: u32) {
        if self.doubts.insert(key) {
            self.ask(now, Asker::Doubt, (key, Change::MarkOutcomeUnknown(turn)), AGAIN_MS);
        }
    }

    /// A change is to be put down, however long that takes.
    pub(super) fn begin(&mut self, now: Ms, key: RecordKey, change: Option<Change>) {
        let pursuit = Pursuit { key, change, until: now + PURSUIT_MS };
        if self.pursuits.len() >= MOST_PURSUITS {
            return self.give_up(&pursuit);
        }
        self.pursuits_ever += 1;
        self.pursuits.insert(self.pursuits_ever, pursuit);
        self.pursue(now, self.pursuits_ever);
    }

    /// True if a change of that hold is being put down.
    pub(super) fn pursued_now(&self, key: &RecordKey) -> bool {
        self.pursuits.values().any(|p| p.key == *key)
    }

    /// It is not put down: nobody here vouches for it any more, so whoever asks for it finds it in doubt instead of out.
    fn give_up(&mut self, pursuit: &Pursuit) {
        self.counts.pursuits_dropped += 1;
        self.forget(pursuit);
    }

    /// What a change was about is out here no more, unless it was taken again since.
    fn forget(&mut self, pursuit: &Pursuit) {
        if let Some(Change::Release(_, turn) | Change::Complete(_, turn, _)) = &pursuit.change {
            if self.mine.get(&pursuit.key).is_some_and(|(mine, _)| mine == turn) {
                self.mine.remove(&pursuit.key);
            }
        }
    }

    pub(super) fn pursue(&mut self, now: Ms, no: u64) {
        let Some(pursuit) = self.pursuits.get(&no) else { return };
        if now >= pursuit.until {
            self.pursuits.remove(&no).into_iter().for_each(|p| self.give_up(&p));
            return;
        }
        let change = pursuit.change.clone().unwrap_or(Change::Read);
        self.ask(now, Asker::Pursuit(no), (pursuit.key, change), AGAIN_MS);
    }

    pub(super) fn pursued(&mut self, now: Ms, no: u64, verdict: Response) {
        let Some(pursuit) = self.pursuits.get_mut(&no) else { return };
        let key = pursuit.key;
        match (verdict, &pursuit.change) {
            (Response::Unavailable { .. }, _) => self.timer(now + AGAIN_MS, Due::Pursuit(no)),
            (
                Response::Committed(Record::Leased { owner, term: turn })
                | Response::Conflict(Some(Record::Leased { owner, term: turn })),
                None,
            ) if owner == self.parts.me => {
                // The same request may have come again and been taken just now: that one is not given back.
                let takes = |asker: &Asker| matches!(asker, Asker::Taker(_, taken) if *taken == key);
                if self.asked.values().any(takes) {
                    self.timer(now + AGAIN_MS, Due::Pursuit(no));
                } else {
                    pursuit.change = Some(Change::Release(owner, turn));
                    self.pursue(now, no);
                }
            }
            (Response::Committed(_) | Response::Conflict(_), _) => {
                self.pursuits.remove(&no).into_iter().for_each(|p| self.forget(&p));
            }
        }
    }

    pub(super) fn count_unkept(&mut self, key: RecordKey, verdict: &Response) {
        match verdict {
            Response::Committed(_) | Response::Conflict(_) => {}
            Response::Unavailable { reason: why, .. } => {
                self.counts.unkept_unasked += 1;
                log::debug!("a change of a {:?} is not kept: {why:?}", key.kind);
            }
        }
    }

    pub(super) fn ask_roster(&mut self, now: Ms, event: roster::Event) {
        let mut acts = Vec::new();
        if let Err(e) = self.parts.membership.handle(now, event, &mut acts) {
            self.counts.unreadable += 1;
            log::debug!("the roster: {e}");
        }
        for act in acts {
            match act {
                roster::Action::Send(to, body) => self.send(0, to, Lane::Membership, body),
                roster::Action::Timer(after, token) => self.timer(now + after, Due::Roster(token)),
                roster::Action::StateChanged(presence, state) => {
                    log::info!("router {} is {state:?}", presence.member)
                }
                roster::Action::RemoteEvidence(from, word) if self.parts.scatter_gather_classes.is_some() => {
                    let roster::Evidence { site, missed, answered, latency, age } = word;
                    let word = gather::Evidence { site: gather::Site(site), missed, answered, latency, age };
                    self.tell(ControlNotification::Evidence(from.router, word));
                }
                roster::Action::RemoteEvidence(..) => {}
                roster::Action::Log(text) => log::info!("{text}"),
            }
        }
    }

    /// Tells the owner by which policies gathers go.
    pub(super) fn policies(&mut self) {
        let table = self.parts.table.table();
        let all = self
            .parts
            .scatter_gather_classes
            .as_ref()
            .zip(table)
            .map(|(classes, table)| policies(table, classes));
        all.into_iter().for_each(|all| self.tell(ControlNotification::Policies(Arc::new(all))));
    }

    /// What the table's owner wants. What follows on something that has to last waits for its commit.
    pub(super) fn steps(&mut self, now: Ms, steps: Vec<Step>) {
        let mut steps = steps.into_iter();
        while let Some(step) = steps.next() {
            match step {
                Step::Keep(serial, body) => {
                    self.next.adopt((serial, body), steps);
                    return;
                }
                Step::Found(map) => self.ask_holds(now, holds::Event::ShardMap(map)),
                Step::Map(map) => {
                    let table = (map.version, map.hash);
                    (self.counts.table_version, self.counts.table_epoch) = (map.version.0, map.epoch);
                    self.out.push(Action::AdvertiseTable(table.0, table.1));
                    self.ask_holds(now, holds::Event::ShardMap(map));
                    self.tell(ControlNotification::Table(table.0, table.1));
                    self.policies();
                }
                Step::Ask(key, change, within) => self.ask(now, Asker::Table, (key, change), within),
                Step::SayAll(word) => self.say_members(&word),
                Step::SayNear(word, and) => self.say_near(&word, and.as_ref()),
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
