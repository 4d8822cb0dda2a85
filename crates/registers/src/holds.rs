//! One router's part in the holds: asker, and keeper of what its map gives it.

use crate::acceptor::Acceptor;
use crate::ends::{Sweep, SWEEP};
use crate::fill::{Filling, FILL};
use crate::message::{encode, Body, Letter};
use crate::proposer::{Ended, Proposer};
use crate::round::{Ask, Origin};
use crate::{Action, Counters, Event, InvalidSetting, Record, RecordKey, Response, Settings};
use basaltgw_types::{Member, Ms, ReplicaSet, ShardMap};
use std::sync::Arc;

/// Why holds can't begin.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OpenError {
    /// A setting.
    #[error(transparent)]
    Settings(#[from] InvalidSetting),
    /// A record that can't be read.
    #[error("holds: record {key}: {why}")]
    Record {
        /// Its key, the first bytes in hex.
        key: String,
        /// What was expected.
        why: String,
    },
    /// Registers without the facts of whose they are.
    #[error("holds: registers, but no record of whose they are: expected it beside them")]
    NoMeta,
    /// Records of another member: its votes can't be gone on with.
    #[error("holds: records of {found}, expected those of {expected}")]
    Foreign {
        /// Whose they are.
        found: Member,
        /// Whose they should be.
        expected: Member,
    },
}

/// A way to be broken on purpose, for checkers that must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Not at all.
    Sound,
    /// Says that a change is kept once a single keeper has it.
    SaysBeforeCopied,
    /// A keeper goes back behind the ballot that it promised.
    VoteTakenBack,
}

/// The holds of one router.
#[derive(Clone, Debug)]
pub struct Registers {
    pub(crate) set: Settings,
    pub(crate) acceptor: Acceptor,
    pub(crate) proposer: Proposer,
    pub(crate) sweep: Sweep,
    pub(crate) filling: Filling,
    now: Ms,
    begun: bool,
    replies: u64,
    /// The latest epoch said to be ahead, and when: said again after a while, in case it was not fetched.
    behind: (u64, Ms),
}

impl Registers {
    /// Takes up what the disk holds: all records that were ever stored and not removed. `seed` draws waits.
    ///
    /// # Errors
    /// If a setting can't be, or a record can't be read or is another member's.
    pub fn new(
        me: Member,
        set: Settings,
        records: Vec<(Vec<u8>, Vec<u8>)>,
        seed: u64,
    ) -> Result<Self, OpenError> {
        set.check()?;
        let acceptor = Acceptor::new(me.clone(), records)?;
        let proposer = Proposer::new(me, set.clone(), acceptor.disk.meta.run, seed);
        let behind = (0, f64::NEG_INFINITY);
        let (sweep, filling) = (Sweep::default(), Filling::default());
        Ok(Self { set, acceptor, proposer, sweep, filling, now: 0.0, begun: false, replies: 0, behind })
    }

    /// Breaks it.
    #[cfg(any(test, feature = "broken"))]
    pub fn break_as(&mut self, how: InjectedBug) {
        self.proposer.how = how;
    }

    /// Decides what follows from an event.
    pub fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let now = self.now;
        let mut ended: Vec<Ended> = Vec::new();
        if !std::mem::replace(&mut self.begun, true) {
            self.acceptor.begin(now);
            acts.push(Action::Timer(self.set.expiry_interval_ms, SWEEP));
        }
        match event {
            Event::Request { number: no, key, change, timeout: within } => {
                self.proposer.counters.asked += 1;
                self.acceptor.disk.try_again();
                let ask = Ask::new(Origin::Asked(no), key, change, now, within);
                ended.extend(self.proposer.ask(now, ask, acts));
            }
            Event::MessageReceived(from, bytes) => self.bytes(now, &from, &bytes, &mut ended, acts),
            Event::SendFailed(no) => ended.extend(self.proposer.unsent(now, no, acts)),
            Event::PeerReachable(member, yes) => {
                let back = yes && !self.proposer.reaches(&member);
                ended.extend(self.proposer.reached(now, &member, yes, acts));
                if back {
                    self.catch_up(&member, acts);
                }
            }
            Event::ShardMap(map) => self.map(now, map, &mut ended, acts),
            Event::BatchStored(no, ok) => self.stored(now, no, ok, &mut ended, acts),
            Event::Timer(SWEEP) => self.sweep(now, &mut ended, acts),
            Event::Timer(FILL) => self.fill(now, &mut ended, acts),
            Event::Timer(no) => ended.extend(self.proposer.timer(now, no, acts)),
        }
        while let Some(letter) = self.proposer.home.pop_front() {
            let me = self.acceptor.me.clone();
            self.letter(now, &me, letter, &mut ended, acts);
        }
        for one in ended {
            self.answer(one, acts);
        }
        self.acceptor.flush(acts);
    }

    /// What this keeper knows to stand there: advisory, others may know better.
    pub fn stands(&self, key: &RecordKey) -> Option<&Record> {
        self.acceptor.hold(key)
    }

    /// The purges kept here, with their age in milliseconds as far as this run knows.
    pub fn purges(&self) -> impl Iterator<Item = (&RecordKey, &Record, Ms)> {
        let kept = self.acceptor.registers().iter();
        kept.filter_map(|(key, kept)| match kept.register.accepted.as_ref().map(|a| &a.1.hold) {
            Some(hold @ Record::Purged { .. }) => Some((key, hold, self.now - kept.since)),
            Some(_) | None => None,
        })
    }

    /// What was counted.
    pub fn counters(&self) -> &Counters {
        &self.proposer.counters
    }

    /// Registers kept here, and their bytes by estimate.
    pub fn size(&self) -> (usize, usize) {
        (self.acceptor.registers().len(), self.acceptor.bytes())
    }

    /// Batches and records given to the disk.
    pub fn stores(&self) -> (u64, u64) {
        (self.acceptor.disk.batches(), self.acceptor.disk.records)
    }

    /// The epoch that is gone by; 0 before the first map.
    pub fn epoch(&self) -> u64 {
        self.acceptor.epoch()
    }

    /// All that decides how it goes on, and nothing that is only counted: for model checks.
    #[cfg(test)]
    pub(crate) fn digest(&self) -> String {
        let Proposer { asks, next_ask, counter, primed, .. } = &self.proposer;
        let (registers, disk, epoch) = (self.acceptor.registers(), self.acceptor.disk.digest(), self.epoch());
        format!("{registers:?} {disk} {epoch} {asks:?} {next_ask} {counter} {primed:?} {:?}", self.filling)
    }

    /// True if an answer of another could mean anything to it.
    #[cfg(test)]
    pub(crate) fn listens(&self) -> bool {
        !self.proposer.asks.is_empty() || self.filling.portion.is_some()
    }

    /// True if that question waits for its timer.
    #[cfg(test)]
    pub(crate) fn waits(&self, id: u64) -> bool {
        self.proposer.asks.get(&id).is_some_and(|ask| ask.phase == crate::round::Phase::Waiting)
    }

    fn bytes(
        &mut self,
        now: Ms,
        from: &Member,
        bytes: &[u8],
        ended: &mut Vec<Ended>,
        acts: &mut Vec<Action>,
    ) {
        let letter = (bytes.len() <= self.set.max_message_bytes).then(|| Letter::read(bytes));
        match letter {
            Some(Ok(letter)) if letter.to == self.acceptor.me => self.letter(now, from, letter, ended, acts),
            Some(Ok(_)) => self.proposer.counters.not_for_me += 1,
            Some(Err(_)) | None => self.proposer.counters.bad_bytes += 1,
        }
    }

    fn letter(
        &mut self,
        now: Ms,
        from: &Member,
        letter: Letter,
        ended: &mut Vec<Ended>,
        acts: &mut Vec<Action>,
    ) {
        self.ahead(now, letter.epoch, from, acts);
        match &letter.body {
            Body::Prepare(..) | Body::Accept(..) | Body::List(..) => {
                let how = self.proposer.how;
                let answer = self.acceptor.hear(now, from, letter, &self.set, how);
                answer.into_iter().for_each(|a| self.send(now, a, ended, acts));
            }
            Body::Promised(..) | Body::Accepted(_) | Body::Refused(..) => {
                ended.extend(self.proposer.hear(now, from, letter, acts));
            }
            Body::Listed(..) => self.listed(from, letter.epoch, letter.body),
        }
    }

    /// Another goes by a later epoch.
    fn ahead(&mut self, now: Ms, epoch: u64, from: &Member, acts: &mut Vec<Action>) {
        let told = self.behind.0 >= epoch && now < self.behind.1 + self.set.retransmit_interval_ms;
        if epoch > self.acceptor.epoch() && !told {
            self.behind = (epoch, now);
            acts.push(Action::StaleEpoch(epoch, from.clone()));
        }
    }

    /// Sends an answer, or a word that is said again if nothing comes of it.
    pub(crate) fn send(&mut self, now: Ms, answer: Letter, ended: &mut Vec<Ended>, acts: &mut Vec<Action>) {
        if answer.to == self.acceptor.me {
            let me = answer.to.clone();
            return self.letter(now, &me, answer, ended, acts);
        }
        if let Some(bytes) = encode(&answer) {
            // Answers' numbers stay below those of questions: if one is not written, the asker says its word again.
            self.replies = (self.replies + 1) & ((1 << crate::proposer::LOW_BITS) - 1);
            self.proposer.counters.messages += 1;
            acts.push(Action::Send(self.replies, answer.to, bytes));
        }
    }

    fn stored(&mut self, now: Ms, no: u64, ok: bool, ended: &mut Vec<Ended>, acts: &mut Vec<Action>) {
        let Some(stored) = self.acceptor.disk.stored(no, ok) else { return };
        self.proposer.counters.not_stored += u64::from(!ok);
        for reply in stored.replies {
            self.send(now, reply, ended, acts);
        }
        if stored.meta {
            ended.extend(self.proposer.run_stored(now, ok, acts));
        }
    }

    fn map(&mut self, now: Ms, map: Arc<ShardMap>, ended: &mut Vec<Ended>, acts: &mut Vec<Action>) {
        if !map.shards.iter().chain([&map.root]).all(meets) || map.shards.len() > usize::from(u16::MAX) {
            self.proposer.counters.bad_maps += 1;
            acts.push(Action::Log(format!(
                "holds: map of epoch {} dropped: a group's halves need not meet",
                map.epoch
            )));
            return;
        }
        if map.epoch < self.acceptor.disk.meta.epoch.max(1) || map.epoch == self.acceptor.epoch() {
            self.proposer.counters.old_maps += 1;
            return;
        }
        if map.epoch > self.acceptor.disk.meta.epoch {
            self.acceptor.disk.meta.epoch = map.epoch;
            self.acceptor.disk.touch();
        }
        let before = self.acceptor.map.replace(map.clone());
        ended.extend(self.proposer.remap(now, &map, acts));
        self.refill(before.as_deref(), &map, acts);
    }

    fn answer(&mut self, (origin, key, verdict): Ended, acts: &mut Vec<Action>) {
        match origin {
            Origin::Asked(no) => {
                match &verdict {
                    Response::Committed(_) => self.proposer.counters.kept += 1,
                    Response::Conflict(_) => self.proposer.counters.stands += 1,
                    Response::Unavailable { .. } => {}
                }
                acts.push(Action::Respond(no, key, verdict));
            }
            Origin::Upkeep => self.swept(&key, &verdict),
            Origin::Fill => self.filled(self.now, &key, &verdict),
        }
    }
}

/// True if any two quorums of each group meet, and no member counts twice.
fn meets(keepers: &ReplicaSet) -> bool {
    let sound = |g: &basaltgw_types::QuorumGroup| {
        let once = (1..g.members.len()).all(|i| !g.members[..i].contains(&g.members[i]));
        once && g.quorum <= g.members.len() && 2 * g.quorum > g.members.len()
    };
    !keepers.groups.is_empty() && keepers.groups.iter().all(sound)
}
