//! The rounds of a request: which messages are sent, and how the votes are evaluated.
//!
//! After a quorum of promises the change is applied to the accepted value of the highest ballot. If the change does not apply, that value is
//! made durable on a quorum before it is reported, unless the promises show that it is. Inputs: the votes, the ballots at which this request
//! proposed its change, the shard map.

use super::Proposer;
use crate::backoff::{classify, retry_delay, RoundFailure};
use crate::ballot::Ballot;
use crate::context::Context;
use crate::encoding::encode;
use crate::message::{Body, Envelope, RejectReason};
use crate::partition::replicas_of;
use crate::prepared_cache::Prepared;
use crate::quorum::{quorum_state, QuorumState};
use crate::request::{Origin, PendingRequest, Purpose, SentMessage};
use crate::round::{Phase, Proposal, Vote};
use crate::token::Token;
use crate::transition::transition;
use crate::value::{ChangeStatus, Value};
use crate::{Action, Record, Response, UnavailableReason};
use basaltgw_types::{Member, ReplicaSet};

/// The most bytes of an accept message without its record's payload.
const ACCEPT_OVERHEAD_BYTES: usize = 1_024;

/// Reciprocal of the weight of a request's duration in the moving average.
const MEAN_SMOOTHING_DIVISOR: f64 = 16.0;

/// Whether the messages of a phase are sent for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transmission {
    First,
    Repeated,
}

/// The replicas of a request under the present map.
struct Placement {
    epoch: u64,
    replicas: ReplicaSet,
}

impl Proposer {
    /// Starts a round, or fails the request if no round can succeed.
    pub(super) fn start_round(&mut self, id: u64, mut request: PendingRequest, context: &mut Context<'_>) {
        let placement = match self.admit_round(&request, context) {
            Ok(placement) => placement,
            Err(reason) => return self.fail(request, reason, context),
        };
        Self::enter(&mut request, Phase::Waiting);
        if self.run_state == super::RunState::Starting {
            self.set_timer(id, &mut request, f64::MAX, context);
            self.pending.by_id.insert(id, request);
            return;
        }
        request.attempts += 1;
        request.round.epoch = placement.epoch;
        request.round.replicas = placement.replicas;
        self.counters.rounds += 1;
        if let Some(prepared) = self.prepared.take(&request.key, placement.epoch) {
            if let Ok(record) = transition(Some(&prepared.value.record), &request.change) {
                self.counters.one_phase_rounds += 1;
                request.round.ballot = Some(prepared.next.clone());
                let value = Value::after_change(record, Some(&prepared.value), prepared.next);
                return self.propose(id, request, value, Proposal::Change, context);
            }
        }
        request.round.ballot = Some(self.ballots.next());
        Self::enter(&mut request, Phase::Preparing);
        self.send_phase(id, request, context);
    }

    /// The placement for a round, or why no round can succeed.
    fn admit_round(
        &self,
        request: &PendingRequest,
        context: &Context<'_>,
    ) -> Result<Placement, UnavailableReason> {
        let map = self.topology.map.as_deref().ok_or(UnavailableReason::NoPlacement)?;
        let replicas = replicas_of(map, &request.key).ok_or(UnavailableReason::NoPlacement)?;
        if self.is_expired(request, context.now) {
            return Err(UnavailableReason::DeadlineExceeded);
        }
        if !self.quorums_reachable(replicas) {
            return Err(UnavailableReason::NoQuorum);
        }
        if request.attempts >= self.settings.max_attempts {
            return Err(request.last_failure);
        }
        Ok(Placement { epoch: map.epoch, replicas: replicas.clone() })
    }

    /// Sends a value to all replicas.
    fn propose(
        &mut self,
        id: u64,
        mut request: PendingRequest,
        value: Value,
        proposal: Proposal,
        context: &mut Context<'_>,
    ) {
        if value.record.payload_bytes() + ACCEPT_OVERHEAD_BYTES > self.settings.max_message_bytes {
            return self.fail(request, UnavailableReason::ResourceExhausted, context);
        }
        let is_change = proposal == Proposal::Change;
        let has_successor = matches!(value.record, Record::Leased { .. } | Record::Continuation { .. });
        let by_router = matches!(request.origin, Origin::Router(_));
        let next = (is_change && has_successor && by_router).then(|| self.ballots.next());
        let latest = value.changes.first().filter(|_| is_change);
        if let Some(ballot) = latest.filter(|ballot| !request.proposed.contains(ballot)) {
            request.proposed.push(ballot.clone());
        }
        Self::enter(&mut request, Phase::Accepting { value, proposal, next });
        self.send_phase(id, request, context);
    }

    /// Starts a phase: the votes of the last one are void.
    fn enter(request: &mut PendingRequest, phase: Phase) {
        request.round.phase = phase;
        request.round.votes.clear();
        request.sent.start_round();
    }

    /// Sends the messages of a phase that has just started.
    fn send_phase(&mut self, id: u64, mut request: PendingRequest, context: &mut Context<'_>) {
        self.send_round(id, &mut request, Transmission::First, context);
        self.set_timer(id, &mut request, self.settings.retransmit_interval_ms, context);
        self.advance(id, request, context);
    }

    /// Sends the present phase's message to all replicas whose vote may still change.
    pub(super) fn send_round(
        &mut self,
        id: u64,
        request: &mut PendingRequest,
        transmission: Transmission,
        context: &mut Context<'_>,
    ) {
        let Some(ballot) = request.round.ballot.clone() else { return };
        let key = request.key;
        let (body, purpose) = match &request.round.phase {
            Phase::Waiting => return,
            Phase::Preparing => (Body::Prepare { key, ballot: ballot.clone() }, Purpose::Recover),
            Phase::Accepting { value, proposal, next } => {
                let (value, next) = (value.clone(), next.clone());
                let purpose = match proposal {
                    Proposal::Change => Purpose::Propose,
                    Proposal::Recovery => Purpose::Recover,
                };
                (Body::Accept { key, ballot: ballot.clone(), value, next }, purpose)
            }
        };
        for to in request.round.members() {
            let vote = request.round.votes.get(&to);
            // Messages to the local replica are never lost, so they are not repeated.
            let in_progress = transmission == Transmission::Repeated && to == self.me && vote.is_none();
            if vote.is_some_and(Vote::is_final) || in_progress {
                continue;
            }
            let epoch = request.round.epoch;
            let envelope = Envelope { to, epoch, request_id: id, body: body.clone() };
            self.send_to_replica(request, envelope, &ballot, purpose, context);
        }
    }

    fn send_to_replica(
        &mut self,
        request: &mut PendingRequest,
        envelope: Envelope,
        ballot: &Ballot,
        purpose: Purpose,
        context: &mut Context<'_>,
    ) {
        if envelope.to == self.me {
            request.sent.record_local(purpose);
            self.local_requests.push_back(envelope);
            return;
        }
        if !self.can_reach(&envelope.to) {
            request.round.votes.insert(envelope.to, Vote::Unreachable);
            return;
        }
        let Some(bytes) = encode(&envelope) else { return };
        let message = SentMessage { to: envelope.to.clone(), ballot: ballot.clone(), purpose };
        let sequence = request.sent.record(message);
        self.counters.messages += 1;
        let token = Token { request_id: envelope.request_id, sequence };
        context.act(Action::Send(token.to_u64(), envelope.to, bytes));
    }

    /// Handles a replica's reply to a prepare or accept message.
    pub fn on_reply(&mut self, from: &Member, reply: Envelope, context: &mut Context<'_>) {
        let id = reply.request_id;
        let Some(request) = self.pending.by_id.get(&id) else {
            self.counters.late_votes += 1;
            return;
        };
        let (ballot, vote) = match reply.body {
            Body::Promised { ballot, accepted } => (ballot, Vote::Promised(accepted)),
            Body::Accepted { ballot } => (ballot, Vote::Accepted),
            Body::Rejected { ballot, reason } => (ballot, Vote::Rejected(reason)),
            Body::Prepare { .. } | Body::Accept { .. } | Body::ListRequest { .. } | Body::ListReply(_) => {
                return
            }
        };
        let round = &request.round;
        let other_epoch = matches!(&vote, Vote::Rejected(reason) if reason.is_epoch_mismatch());
        let is_current = round.expects(&vote)
            && round.involves(from)
            && round.ballot.as_ref() == Some(&ballot)
            && (reply.epoch == round.epoch || other_epoch);
        let has_granted = round.votes.get(from).is_some_and(Vote::is_granted);
        if !is_current {
            self.counters.late_votes += 1;
            return;
        }
        if let Vote::Rejected(reason) = &vote {
            self.counters.count_rejection(reason);
            if let RejectReason::BallotTooOld(counter) = reason {
                self.ballots.observe(*counter);
            }
        }
        // A duplicate message may be rejected after the first one was granted.
        if !has_granted {
            self.record_vote(id, from.clone(), vote, context);
        }
    }

    pub(super) fn record_vote(&mut self, id: u64, from: Member, vote: Vote, context: &mut Context<'_>) {
        if let Some(mut request) = self.pending.by_id.remove(&id) {
            request.round.votes.insert(from, vote);
            self.advance(id, request, context);
        }
    }

    /// Continues a request whose votes have changed.
    fn advance(&mut self, id: u64, request: PendingRequest, context: &mut Context<'_>) {
        let required = Some(&self.me).filter(|me| request.requires_local_copy(me));
        let state = quorum_state(&request.round, required, self.injected_bug);
        match (state, request.round.phase.clone()) {
            (QuorumState::Pending, _) | (_, Phase::Waiting) => {
                self.pending.by_id.insert(id, request);
            }
            (QuorumState::Unreachable, _) => self.on_quorum_unreachable(id, request, context),
            (QuorumState::Reached, Phase::Preparing) => self.on_promised(id, request, context),
            (QuorumState::Reached, Phase::Accepting { value, proposal, next }) => {
                self.on_accepted(request, value, proposal, next, context);
            }
        }
    }

    /// Handles that a quorum has promised: applies the change to the accepted value, or makes that value durable.
    fn on_promised(&mut self, id: u64, request: PendingRequest, context: &mut Context<'_>) {
        let local = Some(&self.me).filter(|_| request.origin == Origin::ReplicaSync);
        let highest = request.round.highest_accepted(local);
        // A proposal of this request at a later ballot may be stored at a replica that did not vote; only a still later ballot excludes it.
        let is_chosen = highest
            .as_ref()
            .is_some_and(|h| h.is_chosen && request.proposed.iter().all(|by| *by < h.accepted.ballot));
        let found = highest.map(|h| h.accepted.value);
        let status = |by: &Ballot| found.as_ref().map_or(ChangeStatus::Absent, |value| value.status_of(by));
        let statuses: Vec<ChangeStatus> = request.proposed.iter().map(status).collect();
        if let Some(value) = found.as_ref().filter(|_| statuses.contains(&ChangeStatus::Latest)) {
            return self.propose(id, request, value.clone(), Proposal::Change, context);
        }
        if statuses.iter().any(|s| matches!(s, ChangeStatus::Superseded | ChangeStatus::Unknown)) {
            // The change was made, or may have been, and others followed: neither "committed" nor "not made" is certain.
            return self.fail(request, UnavailableReason::Contended, context);
        }
        let applied = transition(found.as_ref().map(|value| &value.record), &request.change);
        match (applied, found, request.round.ballot.clone()) {
            (Ok(record), found, Some(ballot)) => {
                let value = Value::after_change(record, found.as_ref(), ballot);
                self.propose(id, request, value, Proposal::Change, context);
            }
            (Err(_), None, _) if request.proposed.is_empty() => {
                Self::complete(request, Response::Conflict(None), context);
            }
            (Err(_), Some(value), _) if is_chosen => {
                Self::complete(request, Response::Conflict(Some(value.record)), context);
            }
            (Err(_), Some(value), _) => self.propose(id, request, value, Proposal::Recovery, context),
            (Err(_), None, _) | (Ok(_), _, None) => {
                self.fail(request, UnavailableReason::Contended, context);
            }
        }
    }

    /// Handles that a quorum has accepted: the request is complete.
    fn on_accepted(
        &mut self,
        request: PendingRequest,
        value: Value,
        proposal: Proposal,
        next: Option<Ballot>,
        context: &mut Context<'_>,
    ) {
        self.mean_request_ms +=
            (context.now - request.started_at - self.mean_request_ms) / MEAN_SMOOTHING_DIVISOR;
        if let Some(next) = next {
            let prepared = Prepared { epoch: request.round.epoch, next, value: value.clone() };
            self.prepared.insert(request.key, prepared, self.settings.max_prepared);
        }
        let response = match proposal {
            Proposal::Change => Response::Committed(value.record),
            Proposal::Recovery => Response::Conflict(Some(value.record)),
        };
        Self::complete(request, response, context);
    }

    /// Handles that a group can't reach its quorum: the request waits for another round, or fails.
    fn on_quorum_unreachable(&mut self, id: u64, mut request: PendingRequest, context: &mut Context<'_>) {
        let reason = match classify(request.round.rejections()) {
            RoundFailure::Final(reason) => return self.fail(request, reason, context),
            RoundFailure::Retryable(reason) => reason,
        };
        request.last_failure = reason;
        if request.attempts >= self.settings.max_attempts {
            return self.fail(request, reason, context);
        }
        let delay = retry_delay(reason, request.attempts, &self.settings, &mut self.jitter);
        Self::enter(&mut request, Phase::Waiting);
        self.set_timer(id, &mut request, delay, context);
        self.pending.by_id.insert(id, request);
    }
}
