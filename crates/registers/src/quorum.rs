//! Whether a round's votes reach a quorum.
//!
//! A round needs a quorum in each group of the replicas, and in a replica synchronisation the vote of the local replica as well. It has failed
//! as soon as a group can't reach its quorum any more. Inputs: the replica groups, the votes of the present phase.

use crate::round::{Phase, Round, Vote};
use crate::InjectedBug;
use basaltgw_types::{Member, QuorumGroup};

/// Whether the votes reach a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuorumState {
    /// Votes are missing.
    Pending,
    /// Every group has its quorum.
    Reached,
    /// Some group can't reach its quorum any more.
    Unreachable,
}

/// Counts the votes of the present phase. `required` is the local replica, if its vote is needed in addition to the quorums.
pub(crate) fn quorum_state(round: &Round, required: Option<&Member>, bug: InjectedBug) -> QuorumState {
    let granted = |m: &&Member| round.votes.get(*m).is_some_and(Vote::is_granted);
    let denied = |m: &&Member| round.votes.get(*m).is_some_and(|v| !v.is_granted());
    let single_vote_suffices =
        bug == InjectedBug::CommitWithoutQuorum && matches!(round.phase, Phase::Accepting { .. });
    let needed = |g: &QuorumGroup| if single_vote_suffices { 1 } else { g.quorum };
    let reached = |g: &QuorumGroup| g.members.iter().filter(granted).count() >= needed(g);
    let unreachable = |g: &QuorumGroup| g.members.len() - g.members.iter().filter(denied).count() < g.quorum;
    let groups = &round.replicas.groups;
    if groups.iter().any(unreachable) || required.is_some_and(|me| denied(&me)) {
        return QuorumState::Unreachable;
    }
    match !groups.is_empty() && groups.iter().all(reached) && required.is_none_or(|me| granted(&me)) {
        true => QuorumState::Reached,
        false => QuorumState::Pending,
    }
}
