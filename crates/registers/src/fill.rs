//! How a keeper comes to what it is to keep: a new one from the group before it, one that was away from its fellows; by portions, at a pace.
//!
//! While a place moves, its lists count only from members that go by the joint epoch: they refuse the words of earlier epochs from then on, and
//! enough of them meet every group of disks that such words could have come to. Each hold listed is then looked at under both groups, which
//! brings it to enough disks of both.

use crate::acceptor::{among, keepers};
use crate::holds::Registers;
use crate::message::{Ballot, Body, Letter, Listed, Place};
use crate::proposer::Ended;
use crate::round::{Ask, Origin};
use crate::{Action, Change, RecordKey, Response};
use basaltgw_types::{Member, Ms, ReplicaSet, Shard, ShardMap};
use std::collections::{BTreeMap, VecDeque};

/// The timer of filling.
pub(crate) const FILL: u64 = 1;

/// Rests between two words that a look may take, and that lists are waited for before another place has its turn.
const PATIENCE: f64 = 10.0;

/// What is to be done, in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Task {
    /// A place that is newly kept here.
    Fill(Place),
    /// All of those are done: say so.
    Tell,
    /// A place that was kept here already, after an absence.
    CatchUp(Place),
}

/// A portion of a place.
#[derive(Clone, Debug)]
pub(crate) struct Portion {
    task: Task,
    place: Place,
    /// Names after this one are listed.
    after: Option<RecordKey>,
    /// Who is asked, and how many must answer.
    listers: Vec<Member>,
    need: usize,
    heard: BTreeMap<Member, (Vec<Listed>, bool)>,
    /// Until the lists are whole.
    listing: bool,
    /// Up to where they are; `None`: to the end.
    upto: Option<RecordKey>,
    /// With the highest ballot that a list told of it.
    todo: BTreeMap<RecordKey, Ballot>,
    under_way: BTreeMap<RecordKey, Ballot>,
    began: Ms,
    said: Ms,
    /// A look failed: none before then.
    rest: Ms,
}

/// What is being filled.
#[derive(Clone, Debug, Default)]
pub(crate) struct Filling {
    tasks: VecDeque<Task>,
    pub(crate) portion: Option<Portion>,
    armed: bool,
}

/// Places under a map, each with its keepers.
fn places(map: &ShardMap) -> impl Iterator<Item = (Place, &ReplicaSet)> {
    let shards = map.shards.iter().zip(0u16..).map(|(k, s)| (Place::Shard(Shard(s)), k));
    std::iter::once((Place::Root, &map.root)).chain(shards)
}

impl Registers {
    /// Another map: what is newly kept here is filled, after what a restart may have missed.
    pub(crate) fn refill(&mut self, before: Option<&ShardMap>, map: &ShardMap, acts: &mut Vec<Action>) {
        let me = &self.acceptor.me;
        let (mut fill, mut catch_up) = (Vec::new(), Vec::new());
        for (place, now) in places(map) {
            let newer = now.groups.iter().skip(1).any(|g| g.members.contains(me));
            let older = now.groups.first().is_some_and(|g| g.members.contains(me));
            let kept = before.and_then(|m| keepers(m, place)).is_some_and(|k| among(k, me));
            match (older, newer) {
                // Also who kept it before may lack what a majority of the others kept, and is counted among the newer.
                (_, true) => fill.push(Task::Fill(place)),
                (true, false) if !kept => catch_up.push(Task::CatchUp(place)),
                (true, false) | (false, false) => {}
            }
        }
        self.filling.portion = None;
        // What was to be caught up with is still to be, if it is kept here.
        let open = std::mem::take(&mut self.filling.tasks).into_iter().filter(|task| match task {
            Task::CatchUp(place) => {
                keepers(map, *place).is_some_and(|k| among(k, me)) && !catch_up.contains(task)
            }
            Task::Fill(_) | Task::Tell => false,
        });
        let open: Vec<Task> = open.collect();
        self.filling.tasks.extend(fill.into_iter().chain([Task::Tell]).chain(catch_up).chain(open));
        self.arm_fill(acts);
    }

    /// A member is reached again: what both keep may have gone on without this one.
    pub(crate) fn catch_up(&mut self, with: &Member, acts: &mut Vec<Action>) {
        let Some(map) = self.acceptor.map.clone() else { return };
        for (place, found) in places(&map) {
            let task = Task::CatchUp(place);
            let both = found
                .groups
                .first()
                .is_some_and(|g| [with, &self.acceptor.me].iter().all(|m| g.members.contains(m)));
            if both && !self.filling.tasks.contains(&task) {
                self.filling.tasks.push_back(task);
            }
        }
        self.arm_fill(acts);
    }

    fn arm_fill(&mut self, acts: &mut Vec<Action>) {
        let idle = self.filling.tasks.is_empty() && self.filling.portion.is_none();
        if !idle && !std::mem::replace(&mut self.filling.armed, true) {
            acts.push(Action::Timer(self.set.sync_pause_ms, FILL));
        }
    }

    /// The pace of filling: a step of one portion.
    pub(crate) fn fill(&mut self, now: Ms, ended: &mut Vec<Ended>, acts: &mut Vec<Action>) {
        self.filling.armed = false;
        match self.filling.portion.take() {
            None => self.next_task(now, ended, acts),
            Some(portion) if portion.listing => self.still_listing(now, portion, ended, acts),
            Some(portion) if now < portion.rest => self.filling.portion = Some(portion),
            Some(mut portion) => {
                while portion.under_way.len() < self.set.sync_batch {
                    let Some((key, ballot)) = portion.todo.pop_first() else { break };
                    // A word that was merely on its way has come by now.
                    if matches!(portion.task, Task::CatchUp(_)) && !self.lacks(&key, &ballot) {
                        continue;
                    }
                    portion.under_way.insert(key, ballot);
                    let look = Ask::new(
                        Origin::Fill,
                        key,
                        Change::Read,
                        now,
                        PATIENCE * self.set.retransmit_interval_ms,
                    );
                    ended.extend(self.proposer.ask(now, look, acts));
                }
                let done = portion.under_way.is_empty() && portion.todo.is_empty();
                match (done, portion.upto) {
                    (false, _) => self.filling.portion = Some(portion),
                    (true, Some(upto)) => {
                        self.list(now, portion.task, portion.place, Some(upto), ended, acts)
                    }
                    (true, None) => {
                        if let (Task::Fill(_), Place::Shard(shard)) = (portion.task, portion.place) {
                            acts.push(Action::ShardSynced(self.acceptor.epoch(), Some(shard)));
                        }
                        self.next_task(now, ended, acts);
                    }
                }
            }
        }
        self.arm_fill(acts);
    }

    fn next_task(&mut self, now: Ms, ended: &mut Vec<Ended>, acts: &mut Vec<Action>) {
        match self.filling.tasks.pop_front() {
            None => {}
            Some(Task::Tell) => acts.push(Action::ShardSynced(self.acceptor.epoch(), None)),
            Some(task @ (Task::Fill(place) | Task::CatchUp(place))) => {
                self.list(now, task, place, None, ended, acts)
            }
        }
    }

    /// Begins a portion: asks for the lists.
    fn list(
        &mut self,
        now: Ms,
        task: Task,
        place: Place,
        after: Option<RecordKey>,
        ended: &mut Vec<Ended>,
        acts: &mut Vec<Action>,
    ) {
        let me = &self.acceptor.me;
        let map = self.acceptor.map.clone();
        let group = map.as_deref().and_then(|m| keepers(m, place)).and_then(|k| k.groups.first());
        let Some(group) = group else { return };
        let listers: Vec<Member> = group.members.iter().filter(|m| *m != me).cloned().collect();
        // What this keeper has counts as its own list.
        let need = group.quorum - usize::from(listers.len() < group.members.len()).min(group.quorum);
        let heard = BTreeMap::new();
        let (todo, under_way) = (BTreeMap::new(), BTreeMap::new());
        let portion = Portion {
            task,
            place,
            after,
            listers,
            need,
            heard,
            listing: true,
            upto: None,
            todo,
            under_way,
            began: now,
            said: now,
            rest: now,
        };
        self.filling.portion = Some(portion);
        self.say_list(now, ended, acts);
        self.listed_enough();
    }

    /// Says it again for silence; after a while another place has its turn.
    fn still_listing(
        &mut self,
        now: Ms,
        mut portion: Portion,
        ended: &mut Vec<Ended>,
        acts: &mut Vec<Action>,
    ) {
        let again = now >= portion.said + self.set.retransmit_interval_ms;
        if now < portion.began + PATIENCE * self.set.retransmit_interval_ms {
            portion.said = if again { now } else { portion.said };
            self.filling.portion = Some(portion);
            if again {
                self.say_list(now, ended, acts);
            }
            return;
        }
        let tell = self.filling.tasks.iter().position(|t| *t == Task::Tell);
        match (portion.task, tell) {
            // Not before what is newly kept is filled, all of it, is it said to be.
            (Task::Fill(_), Some(at)) => self.filling.tasks.insert(at, portion.task),
            (Task::Fill(_) | Task::CatchUp(_) | Task::Tell, _) => self.filling.tasks.push_back(portion.task),
        }
        self.next_task(now, ended, acts);
    }

    fn say_list(&mut self, now: Ms, ended: &mut Vec<Ended>, acts: &mut Vec<Action>) {
        let Some(portion) = &self.filling.portion else { return };
        let body =
            Body::List(portion.place, portion.after, u32::try_from(self.set.sync_batch).unwrap_or(u32::MAX));
        let silent =
            portion.listers.iter().filter(|m| !portion.heard.contains_key(*m) && self.proposer.reaches(m));
        let epoch = self.acceptor.epoch();
        let letter = |to: &Member| Letter { to: to.clone(), epoch, round: 0, body: body.clone() };
        let letters: Vec<Letter> = silent.map(letter).collect();
        letters.into_iter().for_each(|letter| self.send(now, letter, ended, acts));
    }

    /// A list came.
    pub(crate) fn listed(&mut self, from: &Member, epoch: u64, body: Body) {
        let (Body::Listed(place, after, keys, more), Some(portion)) = (body, &mut self.filling.portion)
        else {
            return;
        };
        let fits = portion.listing && portion.place == place && portion.after == after;
        // An empty list that has more would lead nowhere.
        if fits
            && epoch == self.acceptor.epoch()
            && portion.listers.contains(from)
            && (!more || !keys.is_empty())
        {
            portion.heard.insert(from.clone(), (keys, more));
            self.listed_enough();
        }
    }

    /// Once enough lists are there, they are whole up to where the first of them breaks off.
    fn listed_enough(&mut self) {
        let Some(portion) = &mut self.filling.portion else { return };
        if portion.heard.len() < portion.need {
            return;
        }
        portion.listing = false;
        // What was promised along with a listed change is one above it: the looks begin beyond.
        let listed =
            portion.heard.values().flat_map(|(keys, _)| keys).filter_map(|(_, ballot)| ballot.as_ref());
        let highest = listed.map(|b| b.counter.saturating_add(1)).max().unwrap_or(0);
        self.proposer.counter = self.proposer.counter.max(highest);
        let breaks = portion.heard.values().filter(|(_, more)| *more).filter_map(|(keys, _)| keys.last());
        portion.upto = breaks.map(|last| last.0).min();
        let upto = portion.upto;
        let within = |key: &RecordKey| upto.is_none_or(|u| *key <= u);
        for (key, ballot) in portion.heard.values().flat_map(|(keys, _)| keys) {
            if let Some(ballot) = ballot.as_ref().filter(|_| within(key)) {
                let highest = portion.todo.entry(*key).or_insert_with(|| ballot.clone());
                *highest = highest.clone().max(ballot.clone());
            }
        }
        portion.heard.clear();
    }

    /// True if what this keeper has there is older than that ballot.
    fn lacks(&self, key: &RecordKey, ballot: &Ballot) -> bool {
        let own = self.acceptor.registers().get(key).and_then(|kept| kept.register.accepted.as_ref());
        own.is_none_or(|own| own.0 < *ballot)
    }

    /// A look that filling asked for has ended; one that failed comes again after a rest.
    pub(crate) fn filled(&mut self, now: Ms, key: &RecordKey, verdict: &Response) {
        let Some(portion) = &mut self.filling.portion else { return };
        if let Some(ballot) = portion.under_way.remove(key) {
            match verdict {
                Response::Committed(_) | Response::Conflict(_) => self.proposer.counters.filled += 1,
                Response::Unavailable { .. } => {
                    portion.todo.insert(*key, ballot);
                    portion.rest = now + self.set.retransmit_interval_ms;
                }
            }
        }
    }

    /// Places yet to be filled or caught up with here.
    pub fn to_fill(&self) -> usize {
        let places = self.filling.tasks.iter().filter(|t| **t != Task::Tell).count();
        places + usize::from(self.filling.portion.is_some())
    }
}
