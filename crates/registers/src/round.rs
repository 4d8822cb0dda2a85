//! One question under way: its rounds, the votes of the present one, and what may still be made of it.

use crate::message::{Ballot, Value, Why};
use crate::{Change, InjectedBug, RecordKey, RequestNumber, UnavailableReason};
use basaltgw_types::{Member, Ms, QuorumGroup, ReplicaSet};
use std::collections::BTreeMap;

/// Who asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The router.
    Asked(RequestNumber),
    /// This keeper, as a hold's end has come.
    Upkeep,
    /// This keeper, which fills up: only done once it has the hold itself.
    Fill,
}

/// How far a round is.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Before the first round, or between two.
    Waiting,
    /// A ballot was named to all keepers.
    Preparing,
    /// A value was sent to all keepers; `changed` if it is this question's change.
    Accepting { value: Value, changed: bool, next: Option<Ballot> },
}

/// A keeper's vote in the present phase.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Vote {
    Promised(Option<(Ballot, Value)>),
    Accepted,
    Refused(Why),
    /// It is not reached.
    Gone,
}

/// A word on its way.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Out {
    pub to: Member,
    pub ballot: Ballot,
    /// True if it carries this question's change.
    pub carries: bool,
}

/// What the votes come to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Tally {
    /// Nothing yet.
    Open,
    /// Enough in every group.
    Enough,
    /// Some group can't come to enough any more.
    Lost,
}

/// A question under way.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub origin: Origin,
    pub key: RecordKey,
    pub change: Change,
    /// When it came, and by when it must be answered.
    pub since: Ms,
    pub until: Ms,
    pub tries: u32,
    pub phase: Phase,
    pub ballot: Option<Ballot>,
    pub epoch: u64,
    pub keepers: ReplicaSet,
    pub votes: BTreeMap<Member, Vote>,
    /// The ballots at which it proposed its change.
    pub proposed: Vec<Ballot>,
    /// Words not known to be unwritten: those of the present round, and all that carry the change.
    pub outs: BTreeMap<u32, Out>,
    pub words: u32,
    /// Its change went to the own keeper.
    pub home: bool,
    /// The present timer's number: earlier ones are void.
    pub timer: u32,
    /// Why the last round came to nothing.
    pub last: UnavailableReason,
}

impl Ask {
    pub fn new(origin: Origin, key: RecordKey, change: Change, now: Ms, within: Ms) -> Self {
        Self {
            origin,
            key,
            change,
            since: now,
            until: now + within.max(0.0),
            tries: 0,
            phase: Phase::Waiting,
            ballot: None,
            epoch: 0,
            keepers: ReplicaSet { groups: Vec::new() },
            votes: BTreeMap::new(),
            proposed: Vec::new(),
            outs: BTreeMap::new(),
            words: 0,
            home: false,
            timer: 0,
            last: UnavailableReason::DeadlineExceeded,
        }
    }

    /// True if no keeper can have its change: no word that carries it was ever written.
    pub fn never(&self) -> bool {
        !self.home && !self.outs.values().any(|out| out.carries)
    }

    /// Forgets the votes and words of the round before; words that carry the change are kept, since they may yet arrive.
    pub fn turn(&mut self, phase: Phase) {
        self.phase = phase;
        self.votes.clear();
        self.outs.retain(|_, out| out.carries);
    }

    /// All keepers, each once.
    pub fn members(&self) -> Vec<Member> {
        let mut all: Vec<Member> = Vec::new();
        for member in self.keepers.groups.iter().flat_map(|g| &g.members) {
            if !all.contains(member) {
                all.push(member.clone());
            }
        }
        all
    }

    /// Counts the votes of the present phase.
    pub fn tally(&self, me: &Member, how: InjectedBug) -> Tally {
        let mine = |m: &&Member| self.votes.get(*m).is_some_and(Vote::good);
        let lost = |m: &&Member| self.votes.get(*m).is_some_and(|v| !v.good());
        let told = how == InjectedBug::SaysBeforeCopied && matches!(self.phase, Phase::Accepting { .. });
        let groups = &self.keepers.groups;
        let enough =
            |g: &QuorumGroup| g.members.iter().filter(mine).count() >= if told { 1 } else { g.quorum };
        let beyond = |g: &QuorumGroup| g.members.len() - g.members.iter().filter(lost).count() < g.quorum;
        let must = self.origin == Origin::Fill && groups.iter().any(|g| g.members.contains(me));
        let home = self.votes.get(me);
        if groups.iter().any(beyond) || must && home.is_some_and(|v| !v.good()) {
            return Tally::Lost;
        }
        match !groups.is_empty() && groups.iter().all(enough) && (!must || home.is_some_and(Vote::good)) {
            true => Tally::Enough,
            false => Tally::Open,
        }
    }

    /// What was accepted by the highest ballot, as far as the promises tell, and whether it certainly is on enough disks as it is.
    pub fn highest(&self, me: &Member) -> Option<(&Ballot, &Value, bool)> {
        let told = |m: &Member| match self.votes.get(m) {
            Some(Vote::Promised(Some((ballot, value)))) => Some((ballot, value)),
            Some(Vote::Promised(None) | Vote::Accepted | Vote::Refused(_) | Vote::Gone) | None => None,
        };
        let (ballot, value) = self.votes.keys().filter_map(told).max_by_key(|t| t.0)?;
        let has = |m: &&Member| told(m).is_some_and(|t| t.0 == ballot);
        let enough = self.keepers.groups.iter().all(|g| g.members.iter().filter(has).count() >= g.quorum);
        Some((ballot, value, enough && (self.origin != Origin::Fill || has(&me))))
    }

    /// The refusals of this round.
    pub fn refusals(&self) -> impl Iterator<Item = &Why> {
        self.votes.values().filter_map(|v| match v {
            Vote::Refused(why) => Some(why),
            Vote::Promised(_) | Vote::Accepted | Vote::Gone => None,
        })
    }
}

impl Vote {
    pub fn good(&self) -> bool {
        match self {
            Vote::Promised(_) | Vote::Accepted => true,
            Vote::Refused(_) | Vote::Gone => false,
        }
    }
}
