//! The proposer: runs rounds of prepare and accept for each request, until a quorum has the change or the request fails.
//!
//! This file decides what a request does next: start a round, wait, retry, or fail. `rounds.rs` decides by the votes of a round.
//! Inputs: the shard map, which members are reachable, timers and the links' reports; times in monotonic milliseconds.

mod rounds;

use crate::backoff::{self, Jitter};
use crate::ballot::BallotGenerator;
use crate::context::{CompletedRequest, Context};
use crate::message::Envelope;
use crate::partition::{is_replica, Partition};
use crate::prepared_cache::PreparedCache;
use crate::request::PendingRequest;
use crate::round::{Phase, Vote};
use crate::token::Token;
use crate::{
    transition, Action, Change, Counters, InjectedBug, Outcome, Response, Settings, UnavailableReason,
};
use basaltgw_types::{Member, Ms, QuorumGroup, ReplicaSet, ShardMap};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The most members remembered as unreachable.
const MAX_UNREACHABLE_MEMBERS: usize = 4_096;

/// How early a timer may expire and still count as due.
const TIMER_TOLERANCE_MS: Ms = 0.01;

/// The requests in flight, by id.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequests {
    by_id: BTreeMap<u64, PendingRequest>,
    next_id: u64,
}

impl PendingRequests {
    /// The ids of the requests that match.
    fn ids_where(&self, matches: impl Fn(&PendingRequest) -> bool) -> Vec<u64> {
        self.by_id.iter().filter(|(_, request)| matches(request)).map(|(id, _)| *id).collect()
    }
}

/// Which members the proposer may reach, and under which map.
#[derive(Clone, Debug, Default)]
struct Topology {
    map: Option<Arc<ShardMap>>,
    unreachable: BTreeSet<Member>,
}

/// Whether ballots may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// This run's number is not durable yet.
    Starting,
    /// It is durable: the run's ballots are unique.
    Durable,
}

/// The proposer of one router.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    pub counters: Counters,
    pub injected_bug: InjectedBug,
    /// Requests to the local replica.
    pub local_requests: VecDeque<Envelope>,
    me: Member,
    settings: Settings,
    topology: Topology,
    run_state: RunState,
    ballots: BallotGenerator,
    pending: PendingRequests,
    prepared: PreparedCache,
    jitter: Jitter,
    /// The mean duration of a successful request, in milliseconds.
    mean_request_ms: Ms,
}

impl Proposer {
    /// The proposer of a run; `seed` determines the jitter.
    pub fn new(me: Member, settings: Settings, run: u64, seed: u64) -> Self {
        Self {
            counters: Counters::default(),
            injected_bug: InjectedBug::None,
            local_requests: VecDeque::new(),
            ballots: BallotGenerator::new(me.clone(), run),
            me,
            mean_request_ms: settings.retransmit_interval_ms,
            settings,
            topology: Topology::default(),
            run_state: RunState::Starting,
            pending: PendingRequests { by_id: BTreeMap::new(), next_id: 1 },
            prepared: PreparedCache::default(),
            jitter: Jitter::new(seed),
        }
    }

    /// True if the member is not known to be unreachable.
    pub fn can_reach(&self, member: &Member) -> bool {
        *member == self.me || !self.topology.unreachable.contains(member)
    }

    /// Raises the ballots above a counter that was observed.
    pub fn observe_ballot(&mut self, counter: u64) {
        self.ballots.observe(counter);
    }

    /// Starts a request, or fails it at once.
    pub fn start(&mut self, mut request: PendingRequest, context: &mut Context<'_>) {
        if !transition::applies_to(request.key.kind, &request.change) {
            return self.fail(request, UnavailableReason::InvalidTransition, context);
        }
        if let Change::Complete(_, _, outcome) = &mut request.change {
            if outcome.body().is_some_and(|body| body.len() > self.settings.max_outcome_bytes) {
                *outcome = Outcome::ServedBodyOmitted;
            }
        }
        if self.pending.by_id.len() >= self.settings.max_open_requests {
            return self.fail(request, UnavailableReason::ResourceExhausted, context);
        }
        let id = self.pending.next_id;
        self.pending.next_id += 1;
        self.start_round(id, request, context);
    }

    /// Handles that the batch with this run's number is durable, or has failed: requests that waited for it start, or fail.
    pub fn on_run_stored(&mut self, durable: bool, context: &mut Context<'_>) {
        if durable {
            self.run_state = RunState::Durable;
        }
        let waits = |r: &PendingRequest| r.round.phase == Phase::Waiting && r.attempts == 0;
        let ids = self.pending.ids_where(waits);
        let waiting: Vec<(u64, PendingRequest)> =
            ids.into_iter().filter_map(|id| Some((id, self.pending.by_id.remove(&id)?))).collect();
        for (id, request) in waiting {
            match self.run_state {
                RunState::Durable => self.start_round(id, request, context),
                RunState::Starting => self.fail(request, UnavailableReason::StorageFailed, context),
            }
        }
    }

    /// Adopts a shard map; the rounds under the last one are restarted.
    pub fn set_map(&mut self, map: &Arc<ShardMap>, context: &mut Context<'_>) {
        self.topology.map = Some(map.clone());
        let is_listed = |m: &Member| Partition::all(map).any(|p| is_replica(p.replicas, m));
        self.topology.unreachable.retain(is_listed);
        self.prepared.clear();
        for (id, mut request) in std::mem::take(&mut self.pending.by_id) {
            request.attempts = request.attempts.saturating_sub(1);
            self.start_round(id, request, context);
        }
    }

    /// Handles that a member has become reachable.
    pub fn on_reachable(&mut self, member: &Member) {
        self.topology.unreachable.remove(member);
    }

    /// Handles that a member has become unreachable: rounds do not wait for its vote.
    pub fn on_unreachable(&mut self, member: &Member, context: &mut Context<'_>) {
        if self.topology.unreachable.len() < MAX_UNREACHABLE_MEMBERS {
            self.topology.unreachable.insert(member.clone());
        }
        let waits = |r: &PendingRequest| {
            r.round.phase != Phase::Waiting && !r.round.votes.contains_key(member) && r.round.involves(member)
        };
        for id in self.pending.ids_where(waits) {
            self.record_vote(id, member.clone(), Vote::Unreachable, context);
        }
    }

    /// Handles that a message was not written to the link.
    pub fn on_send_failed(&mut self, number: u64, context: &mut Context<'_>) {
        self.counters.send_failures += 1;
        let token = Token::from_u64(number);
        let Some(request) = self.pending.by_id.get_mut(&token.request_id) else { return };
        let Some(message) = request.sent.remove(token.sequence) else { return };
        let round = &request.round;
        let awaited =
            round.ballot.as_ref() == Some(&message.ballot) && !round.votes.contains_key(&message.to);
        if awaited && !request.sent.has_copy(&message) {
            self.record_vote(token.request_id, message.to, Vote::Unreachable, context);
        }
    }

    /// Handles the timer of a request: the request fails, starts its next round, or retransmits.
    pub fn on_timer(&mut self, number: u64, context: &mut Context<'_>) {
        let Token { request_id: id, sequence } = Token::from_u64(number);
        let Some(mut request) = self.pending.by_id.remove(&id) else { return };
        if request.timer_sequence != sequence {
            self.pending.by_id.insert(id, request);
            return;
        }
        let between_rounds = request.round.phase == Phase::Waiting;
        if self.is_expired(&request, context.now) {
            let reason = match between_rounds && request.attempts > 0 {
                true => request.last_failure,
                false => UnavailableReason::DeadlineExceeded,
            };
            return self.fail(request, reason, context);
        }
        if between_rounds {
            return self.start_round(id, request, context);
        }
        self.counters.retransmissions += 1;
        self.send_round(id, &mut request, rounds::Transmission::Repeated, context);
        self.set_timer(id, &mut request, self.settings.retransmit_interval_ms, context);
        self.pending.by_id.insert(id, request);
    }

    /// Fails a request.
    fn fail(&mut self, request: PendingRequest, reason: UnavailableReason, context: &mut Context<'_>) {
        *self.counters.unavailable.entry(reason).or_default() += 1;
        let retry_after =
            backoff::retry_after(reason, self.mean_request_ms, &self.settings, &mut self.jitter);
        let not_executed = request.sent.never_proposed();
        let response = Response::Unavailable { not_executed, reason, retry_after };
        Self::complete(request, response, context);
    }

    fn complete(request: PendingRequest, response: Response, context: &mut Context<'_>) {
        context.completed.push(CompletedRequest { origin: request.origin, key: request.key, response });
    }

    /// Sets the timer of a request, at its deadline at the latest; the timer before it is void.
    fn set_timer(&self, id: u64, request: &mut PendingRequest, delay: Ms, context: &mut Context<'_>) {
        let token = request.next_timer(id);
        let delay = delay.min(request.deadline - context.now).max(0.0);
        context.act(Action::Timer(delay, token));
    }

    fn is_expired(&self, request: &PendingRequest, now: Ms) -> bool {
        now + TIMER_TOLERANCE_MS >= request.deadline
    }

    /// True if a quorum of each group may be reached.
    fn quorums_reachable(&self, replicas: &ReplicaSet) -> bool {
        let reachable = |g: &QuorumGroup| g.members.iter().filter(|m| self.can_reach(m)).count() >= g.quorum;
        replicas.groups.iter().all(reachable)
    }

    /// All state that influences later behaviour, without counters.
    #[cfg(test)]
    pub fn digest(&self) -> String {
        format!("{:?} {:?} {:?}", self.pending, self.ballots, self.prepared.entries())
    }

    /// True if requests are in flight.
    #[cfg(test)]
    pub fn has_requests(&self) -> bool {
        !self.pending.by_id.is_empty()
    }

    /// True if the request waits between two rounds.
    #[cfg(test)]
    pub fn is_between_rounds(&self, id: u64) -> bool {
        self.pending.by_id.get(&id).is_some_and(|r| r.round.phase == Phase::Waiting)
    }
}
