//! The asker's side: one question after another of the CASPaxos rounds, until the change is on enough disks or can't be.

use crate::acceptor::{hold_bytes, keepers, place};
use crate::message::{encode, Ballot, Body, Led, Letter, Value, Why};
use crate::round::{Ask, Origin, Out, Phase, Tally, Vote};
use crate::{
    step, Action, Change, Counters, InjectedBug, Record, RecordKey, Response, Settings, UnavailableReason,
};
use basaltgw_types::{Member, Ms, ShardMap};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Timers and words of a question are numbered in the low bits, the question in those above.
pub(crate) const LOW_BITS: u32 = 24;

/// The most members remembered as out of reach.
const MOST_GONE: usize = 4_096;

/// How early a timer may come and still count as due, in milliseconds.
pub(crate) const EARLY_MS: Ms = 0.01;

/// Room for names and numbers in a message beside its hold.
const MESSAGE_BYTES: usize = 1_024;

/// A hold whose next ballot enough keepers have promised along with the last change.
#[derive(Clone, Debug)]
pub(crate) struct Primed {
    pub epoch: u64,
    pub next: Ballot,
    pub value: Value,
}

/// Questions under way, and what helps the next ones.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    pub me: Member,
    pub set: Settings,
    pub how: InjectedBug,
    /// Words to the own keeper.
    pub home: VecDeque<Letter>,
    pub counters: Counters,
    map: Option<Arc<ShardMap>>,
    pub run: u64,
    ready: bool,
    pub counter: u64,
    pub asks: BTreeMap<u64, Ask>,
    pub next_ask: u64,
    pub primed: BTreeMap<RecordKey, Primed>,
    pub primed_order: VecDeque<RecordKey>,
    gone: BTreeSet<Member>,
    pub rolls: u64,
    pub seed: u64,
    pub round_ms: f64,
}

/// What a question came to, for whoever asked.
pub(crate) type Ended = (Origin, RecordKey, Response);

impl Proposer {
    pub fn new(me: Member, set: Settings, run: u64, seed: u64) -> Self {
        Self {
            me,
            round_ms: set.retransmit_interval_ms,
            set,
            how: InjectedBug::Sound,
            home: VecDeque::new(),
            counters: Counters::default(),
            map: None,
            run,
            ready: false,
            counter: 0,
            asks: BTreeMap::new(),
            next_ask: 1,
            primed: BTreeMap::new(),
            primed_order: VecDeque::new(),
            gone: BTreeSet::new(),
            rolls: 0,
            seed,
        }
    }

    /// True if a member is not known to be out of reach.
    pub fn reaches(&self, member: &Member) -> bool {
        *member == self.me || !self.gone.contains(member)
    }

    /// A question. Answers it at once if it can't be had.
    pub fn ask(&mut self, now: Ms, mut ask: Ask, acts: &mut Vec<Action>) -> Option<Ended> {
        if !step::fits(ask.key.kind, &ask.change) {
            return Some(self.unkept(ask, UnavailableReason::InvalidTransition));
        }
        if let Change::Complete(_, _, outcome) = &mut ask.change {
            if matches!(outcome, crate::Outcome::Served(b) if b.len() > self.set.max_outcome_bytes) {
                *outcome = crate::Outcome::ServedBodyOmitted;
            }
        }
        if self.asks.len() >= self.set.max_open_requests {
            return Some(self.unkept(ask, UnavailableReason::ResourceExhausted));
        }
        let id = self.next_ask;
        self.next_ask += 1;
        self.go_on(now, id, ask, acts)
    }

    /// This run's number is on the disk, or will not be for now: what waited for it begins, or is refused.
    pub fn run_stored(&mut self, now: Ms, ok: bool, acts: &mut Vec<Action>) -> Vec<Ended> {
        self.ready |= ok;
        let waits = |ask: &Ask| ask.phase == Phase::Waiting && ask.tries == 0;
        let ids: Vec<u64> = self.asks.iter().filter(|(_, ask)| waits(ask)).map(|(id, _)| *id).collect();
        let asks = ids.into_iter().filter_map(|id| Some((id, self.asks.remove(&id)?)));
        let asks: Vec<(u64, Ask)> = asks.collect();
        let mut ended = Vec::new();
        for (id, ask) in asks {
            match self.ready {
                true => ended.extend(self.go_on(now, id, ask, acts)),
                false => ended.push(self.unkept(ask, UnavailableReason::StorageFailed)),
            }
        }
        ended
    }

    /// Another map: rounds of the one before count no more and begin again.
    pub fn remap(&mut self, now: Ms, map: &Arc<ShardMap>, acts: &mut Vec<Action>) -> Vec<Ended> {
        self.map = Some(map.clone());
        let groups = || map.shards.iter().chain([&map.root]).flat_map(|k| &k.groups);
        self.gone.retain(|m| groups().any(|g| g.members.contains(m)));
        self.primed.clear();
        self.primed_order.clear();
        let asks = std::mem::take(&mut self.asks);
        let mut ended = Vec::new();
        for (id, mut ask) in asks {
            ask.tries = ask.tries.saturating_sub(1);
            ended.extend(self.go_on(now, id, ask, acts));
        }
        ended
    }

    /// Who is reached.
    pub fn reached(&mut self, now: Ms, member: &Member, yes: bool, acts: &mut Vec<Action>) -> Vec<Ended> {
        if yes {
            self.gone.remove(member);
            return Vec::new();
        }
        if self.gone.len() < MOST_GONE {
            self.gone.insert(member.clone());
        }
        let waits = |ask: &Ask| {
            ask.phase != Phase::Waiting
                && !ask.votes.contains_key(member)
                && ask.keepers.groups.iter().any(|g| g.members.contains(member))
        };
        let ids: Vec<u64> = self.asks.iter().filter(|(_, ask)| waits(ask)).map(|(id, _)| *id).collect();
        let mut ended = Vec::new();
        for id in ids {
            ended.extend(self.vote(now, id, member.clone(), Vote::Gone, acts));
        }
        ended
    }

    /// A word was not written.
    pub fn unsent(&mut self, now: Ms, no: u64, acts: &mut Vec<Action>) -> Option<Ended> {
        self.counters.unsent += 1;
        let (id, word) = (no >> LOW_BITS, (no & ((1 << LOW_BITS) - 1)) as u32);
        let ask = self.asks.get_mut(&id)?;
        let out = ask.outs.remove(&word)?;
        // Said twice, it may have been written the other time.
        let twice = ask.outs.values().any(|o| o.to == out.to && o.ballot == out.ballot);
        let present = ask.ballot.as_ref() == Some(&out.ballot) && !ask.votes.contains_key(&out.to);
        (present && !twice).then(|| self.vote(now, id, out.to, Vote::Gone, acts)).flatten()
    }

    /// An answer of a keeper.
    pub fn hear(&mut self, now: Ms, from: &Member, letter: Letter, acts: &mut Vec<Action>) -> Option<Ended> {
        let id = letter.round;
        let Some(ask) = self.asks.get(&id) else { return self.late() };
        let (ballot, vote) = match letter.body {
            Body::Promised(ballot, told) => (ballot, Vote::Promised(told)),
            Body::Accepted(ballot) => (ballot, Vote::Accepted),
            Body::Refused(ballot, why) => (ballot, Vote::Refused(why)),
            Body::Prepare(..) | Body::Accept(..) | Body::List(..) | Body::Listed(..) => return None,
        };
        let by_epoch = matches!(vote, Vote::Refused(Why::OldTable | Why::NotYet));
        let fits = match (&ask.phase, &vote) {
            (Phase::Preparing, Vote::Promised(_)) | (Phase::Accepting { .. }, Vote::Accepted) => true,
            (Phase::Preparing | Phase::Accepting { .. }, Vote::Refused(_)) => true,
            (Phase::Waiting | Phase::Preparing | Phase::Accepting { .. }, _) => false,
        };
        let member = ask.keepers.groups.iter().any(|g| g.members.contains(from));
        if !fits
            || !member
            || ask.ballot.as_ref() != Some(&ballot)
            || (letter.epoch != ask.epoch && !by_epoch)
        {
            return self.late();
        }
        if let Vote::Refused(why) = &vote {
            self.counters.refused(why);
            if let Why::Outvoted(counter) = why {
                self.counter = self.counter.max(*counter);
            }
        }
        // A vote given is not taken back by the same word coming twice.
        if ask.votes.get(from).is_some_and(Vote::good) {
            return None;
        }
        self.vote(now, id, from.clone(), vote, acts)
    }

    /// A timer of a question.
    pub fn timer(&mut self, now: Ms, no: u64, acts: &mut Vec<Action>) -> Option<Ended> {
        let (id, timer) = (no >> LOW_BITS, (no & ((1 << LOW_BITS) - 1)) as u32);
        let mut ask = self.asks.remove(&id)?;
        if ask.timer != timer {
            self.asks.insert(id, ask);
            return None;
        }
        if now + EARLY_MS >= ask.until {
            let why = if ask.phase == Phase::Waiting && ask.tries > 0 {
                ask.last
            } else {
                UnavailableReason::DeadlineExceeded
            };
            return Some(self.unkept(ask, why));
        }
        if ask.phase == Phase::Waiting {
            return self.go_on(now, id, ask, acts);
        }
        self.counters.said_again += 1;
        self.say(id, &mut ask, true, acts);
        self.arm(now, id, &mut ask, self.set.retransmit_interval_ms, acts);
        self.asks.insert(id, ask);
        None
    }

    /// Begins a round, or answers that none can be.
    fn go_on(&mut self, now: Ms, id: u64, mut ask: Ask, acts: &mut Vec<Action>) -> Option<Ended> {
        let map = self.map.clone();
        let found = map.as_deref().and_then(|m| Some((m.epoch, keepers(m, place(m, &ask.key)?)?)));
        let Some((epoch, found)) = found else {
            return Some(self.unkept(ask, UnavailableReason::NoPlacement));
        };
        if now + EARLY_MS >= ask.until {
            return Some(self.unkept(ask, UnavailableReason::DeadlineExceeded));
        }
        let few =
            |g: &basaltgw_types::QuorumGroup| g.members.iter().filter(|m| self.reaches(m)).count() < g.quorum;
        if found.groups.iter().any(few) {
            return Some(self.unkept(ask, UnavailableReason::NoQuorum));
        }
        if ask.tries >= self.set.max_attempts {
            let why = ask.last;
            return Some(self.unkept(ask, why));
        }
        ask.turn(Phase::Waiting);
        if !self.ready {
            self.arm(now, id, &mut ask, f64::MAX, acts);
            self.asks.insert(id, ask);
            return None;
        }
        ask.tries += 1;
        ask.epoch = epoch;
        ask.keepers = found.clone();
        self.counters.rounds += 1;
        if let Some(primed) = self.primed.remove(&ask.key).filter(|p| p.epoch == epoch) {
            if let Ok(hold) = step::step(Some(&primed.value.hold), &ask.change) {
                self.counters.short += 1;
                ask.ballot = Some(primed.next.clone());
                return self.propose(
                    now,
                    id,
                    ask,
                    Value::made(hold, Some(&primed.value), primed.next),
                    true,
                    acts,
                );
            }
        }
        ask.ballot = Some(self.ballot());
        ask.turn(Phase::Preparing);
        self.say(id, &mut ask, false, acts);
        self.arm(now, id, &mut ask, self.set.retransmit_interval_ms, acts);
        self.settle(now, id, ask, acts)
    }

    /// Sends a value to all keepers.
    fn propose(
        &mut self,
        now: Ms,
        id: u64,
        mut ask: Ask,
        value: Value,
        changed: bool,
        acts: &mut Vec<Action>,
    ) -> Option<Ended> {
        if hold_bytes(&value.hold) + MESSAGE_BYTES > self.set.max_message_bytes {
            return Some(self.unkept(ask, UnavailableReason::ResourceExhausted));
        }
        let goes_on = matches!(value.hold, Record::Leased { .. } | Record::Continuation { .. });
        let next = (changed && goes_on && matches!(ask.origin, Origin::Asked(_))).then(|| self.ballot());
        if let Some(by) = value.changes.first().filter(|by| changed && !ask.proposed.contains(by)) {
            ask.proposed.push(by.clone());
        }
        ask.turn(Phase::Accepting { value, changed, next });
        self.say(id, &mut ask, false, acts);
        self.arm(now, id, &mut ask, self.set.retransmit_interval_ms, acts);
        self.settle(now, id, ask, acts)
    }

    /// Says the present word to all keepers that have not answered it.
    fn say(&mut self, id: u64, ask: &mut Ask, again: bool, acts: &mut Vec<Action>) {
        let Some(ballot) = ask.ballot.clone() else { return };
        let (body, carries) = match &ask.phase {
            Phase::Waiting => return,
            Phase::Preparing => (Body::Prepare(ask.key, ballot.clone()), false),
            Phase::Accepting { value, changed, next } => {
                (Body::Accept(ask.key, ballot.clone(), value.clone(), next.clone()), *changed)
            }
        };
        for to in ask.members() {
            // What has answered for good is not asked again, nor is the own keeper, to which no word is lost.
            let vote = ask.votes.get(&to);
            let done = vote.is_some_and(|v| v.good() || matches!(v, Vote::Refused(Why::Outvoted(_))));
            if done || (again && to == self.me && vote.is_none()) {
                continue;
            }
            let letter = Letter { to: to.clone(), epoch: ask.epoch, round: id, body: body.clone() };
            if to == self.me {
                ask.home |= carries;
                self.home.push_back(letter);
                continue;
            }
            if !self.reaches(&to) {
                ask.votes.insert(to, Vote::Gone);
                continue;
            }
            let Some(bytes) = encode(&letter) else { continue };
            ask.words = (ask.words + 1) & ((1 << LOW_BITS) - 1);
            ask.outs.insert(ask.words, Out { to: to.clone(), ballot: ballot.clone(), carries });
            self.counters.messages += 1;
            acts.push(Action::Send((id << LOW_BITS) | u64::from(ask.words), to, bytes));
        }
    }

    /// Counts a vote.
    fn vote(&mut self, now: Ms, id: u64, from: Member, vote: Vote, acts: &mut Vec<Action>) -> Option<Ended> {
        let mut ask = self.asks.remove(&id)?;
        ask.votes.insert(from, vote);
        self.settle(now, id, ask, acts)
    }

    /// Goes on as the votes allow.
    fn settle(&mut self, now: Ms, id: u64, ask: Ask, acts: &mut Vec<Action>) -> Option<Ended> {
        match (ask.tally(&self.me, self.how), ask.phase.clone()) {
            (Tally::Open, _) | (_, Phase::Waiting) => {
                self.asks.insert(id, ask);
                None
            }
            (Tally::Lost, _) => self.lost(now, id, ask, acts),
            (Tally::Enough, Phase::Preparing) => self.prepared(now, id, ask, acts),
            (Tally::Enough, Phase::Accepting { value, changed, next }) => {
                self.round_ms += (now - ask.since - self.round_ms) / 16.0;
                if let Some(next) = next {
                    self.prime(ask.key, Primed { epoch: ask.epoch, next, value: value.clone() });
                }
                let verdict = match changed {
                    true => Response::Committed(value.hold),
                    false => Response::Conflict(Some(value.hold)),
                };
                Some((ask.origin, ask.key, verdict))
            }
        }
    }

    /// Enough keepers have promised: the change is made to what they told, or what they told is made sure of.
    fn prepared(&mut self, now: Ms, id: u64, ask: Ask, acts: &mut Vec<Action>) -> Option<Ended> {
        let told = ask.highest(&self.me).map(|(ballot, value, sure)| {
            // What this question proposed by a later ballot may lie with a keeper that was not heard: only a still later one outbids it.
            (value.clone(), sure && ask.proposed.iter().all(|by| by < ballot))
        });
        let led = |by: &Ballot| told.as_ref().map_or(Led::Not, |(value, _)| value.led(by));
        let led: Vec<Led> = ask.proposed.iter().map(led).collect();
        if let Some((value, _)) = told.as_ref().filter(|_| led.contains(&Led::Last)) {
            return self.propose(now, id, ask, value.clone(), true, acts);
        }
        if led.iter().any(|led| matches!(led, Led::Before | Led::Unknown)) {
            // It was made, or may have been, and others went on from there: neither "kept" nor "not made" would be true.
            return Some(self.unkept(ask, UnavailableReason::Contended));
        }
        match (step::step(told.as_ref().map(|t| &t.0.hold), &ask.change), told, ask.ballot.clone()) {
            (Ok(hold), told, Some(ballot)) => {
                let value = Value::made(hold, told.as_ref().map(|t| &t.0), ballot);
                self.propose(now, id, ask, value, true, acts)
            }
            (Err(_), None, _) if ask.proposed.is_empty() => {
                Some((ask.origin, ask.key, Response::Conflict(None)))
            }
            (Err(_), Some((value, true)), _) => {
                Some((ask.origin, ask.key, Response::Conflict(Some(value.hold))))
            }
            (Err(_), Some((value, false)), _) => self.propose(now, id, ask, value, false, acts),
            (Err(_), None, _) | (Ok(_), _, None) => Some(self.unkept(ask, UnavailableReason::Contended)),
        }
    }
}
