//! A round of a request: one ballot, its phase, and the votes of the replicas.

use crate::ballot::Ballot;
use crate::message::{AcceptedValue, RejectReason};
use crate::value::Value;
use basaltgw_types::{Member, ReplicaSet};
use std::collections::BTreeMap;

/// Whether an accept message carries the request's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Proposal {
    /// The request's change.
    Change,
    /// The record that was found, to be made durable on a quorum.
    Recovery,
}

/// The phase of a round.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Before the first round, or between two.
    Waiting,
    /// Prepare messages were sent.
    Preparing,
    /// Accept messages were sent.
    Accepting { value: Value, proposal: Proposal, next: Option<Ballot> },
}

/// A replica's vote in the present phase.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Vote {
    /// The replica has promised the ballot; with the value that it has accepted before.
    Promised(Option<AcceptedValue>),
    /// The replica has accepted the value.
    Accepted,
    /// The replica has rejected the request.
    Rejected(RejectReason),
    /// The replica is unreachable.
    Unreachable,
}

impl Vote {
    /// True for a promise or an acceptance.
    pub fn is_granted(&self) -> bool {
        match self {
            Self::Promised(_) | Self::Accepted => true,
            Self::Rejected(_) | Self::Unreachable => false,
        }
    }

    /// True if another message of the same ballot can't change the replica's vote.
    pub fn is_final(&self) -> bool {
        self.is_granted() || matches!(self, Self::Rejected(RejectReason::BallotTooOld(_)))
    }
}

/// The accepted value of the highest ballot among the promises.
#[derive(Clone, Debug)]
pub(crate) struct HighestAccepted {
    pub accepted: AcceptedValue,
    /// True if the promises show that a quorum of each group has accepted it.
    pub is_chosen: bool,
}

/// The present round of a request.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub phase: Phase,
    pub ballot: Option<Ballot>,
    pub epoch: u64,
    pub replicas: ReplicaSet,
    pub votes: BTreeMap<Member, Vote>,
}

impl Default for Round {
    fn default() -> Self {
        Self {
            phase: Phase::Waiting,
            ballot: None,
            epoch: 0,
            replicas: ReplicaSet { groups: Vec::new() },
            votes: BTreeMap::new(),
        }
    }
}

impl Round {
    /// True if the member is one of the replicas.
    pub fn involves(&self, member: &Member) -> bool {
        crate::partition::is_replica(&self.replicas, member)
    }

    /// All replicas, each once.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = Vec::new();
        for member in self.replicas.groups.iter().flat_map(|g| &g.members) {
            if !members.contains(member) {
                members.push(member.clone());
            }
        }
        members
    }

    /// True if the phase expects such a vote.
    pub fn expects(&self, vote: &Vote) -> bool {
        match (&self.phase, vote) {
            (Phase::Preparing, Vote::Promised(_)) | (Phase::Accepting { .. }, Vote::Accepted) => true,
            (Phase::Preparing | Phase::Accepting { .. }, Vote::Rejected(_)) => true,
            (Phase::Waiting | Phase::Preparing | Phase::Accepting { .. }, _) => false,
        }
    }

    /// The accepted value of the highest ballot, as far as the promises show.
    ///
    /// With `local_copy_of`, it counts as chosen only if that member has accepted it too.
    pub fn highest_accepted(&self, local_copy_of: Option<&Member>) -> Option<HighestAccepted> {
        let highest = self.votes.keys().filter_map(|m| self.accepted_by(m)).max_by_key(|a| &a.ballot)?;
        let has_it = |m: &&Member| self.accepted_by(m).is_some_and(|a| a.ballot == highest.ballot);
        let by_quorums =
            self.replicas.groups.iter().all(|g| g.members.iter().filter(has_it).count() >= g.quorum);
        let is_chosen = by_quorums && local_copy_of.is_none_or(|me| has_it(&me));
        Some(HighestAccepted { accepted: highest.clone(), is_chosen })
    }

    /// The accepted value that a replica has reported with its promise.
    fn accepted_by(&self, member: &Member) -> Option<&AcceptedValue> {
        match self.votes.get(member) {
            Some(Vote::Promised(accepted)) => accepted.as_ref(),
            Some(Vote::Accepted | Vote::Rejected(_) | Vote::Unreachable) | None => None,
        }
    }

    /// The reasons of the rejections.
    pub fn rejections(&self) -> impl Iterator<Item = &RejectReason> + Clone {
        self.votes.values().filter_map(|v| match v {
            Vote::Rejected(reason) => Some(reason),
            Vote::Promised(_) | Vote::Accepted | Vote::Unreachable => None,
        })
    }
}
