//! A request of the proposer until it is completed: its attempts, and which replicas may have received its change.

use crate::ballot::Ballot;
use crate::round::Round;
use crate::token::{next_sequence, Token};
use crate::{Change, RecordKey, RequestNumber, UnavailableReason};
use basaltgw_types::{Member, Ms};
use std::collections::BTreeMap;

/// Who made a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The router.
    Router(RequestNumber),
    /// The expiry scan of this replica.
    Expiry,
    /// The replica synchronisation; completed only once this replica has the record itself.
    ReplicaSync,
}

/// What a message is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To prepare, or to make the present record durable.
    Recover,
    /// To propose the request's change.
    Propose,
}

/// A message that was handed to a link.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SentMessage {
    pub to: Member,
    pub ballot: Ballot,
    pub purpose: Purpose,
}

/// The messages of a request that may have been written: those of the present round, and all that contain the change.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentMessages {
    by_sequence: BTreeMap<u32, SentMessage>,
    last_sequence: u32,
    /// The change was delivered to the local replica.
    proposed_locally: bool,
}

impl SentMessages {
    /// Records a message; returns its sequence number.
    pub fn record(&mut self, message: SentMessage) -> u32 {
        self.last_sequence = next_sequence(self.last_sequence);
        self.by_sequence.insert(self.last_sequence, message);
        self.last_sequence
    }

    /// Records a message to the local replica, which is always delivered.
    pub fn record_local(&mut self, purpose: Purpose) {
        self.proposed_locally |= purpose == Purpose::Propose;
    }

    /// Removes a message that was not written.
    pub fn remove(&mut self, sequence: u32) -> Option<SentMessage> {
        self.by_sequence.remove(&sequence)
    }

    /// True if a retransmission of the message may have been written.
    pub fn has_copy(&self, message: &SentMessage) -> bool {
        self.by_sequence.values().any(|m| m.to == message.to && m.ballot == message.ballot)
    }

    /// Removes the messages of the last round, except for those that contain the change, which may still arrive.
    pub fn start_round(&mut self) {
        self.by_sequence.retain(|_, message| message.purpose == Purpose::Propose);
    }

    /// True if no replica can have the change, because no message that contains it was ever written.
    pub fn never_proposed(&self) -> bool {
        !self.proposed_locally && self.by_sequence.values().all(|m| m.purpose != Purpose::Propose)
    }
}

/// A request that is not complete yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub origin: Origin,
    pub key: RecordKey,
    pub change: Change,
    pub started_at: Ms,
    pub deadline: Ms,
    pub attempts: u32,
    pub round: Round,
    /// The ballots at which the change was proposed.
    pub proposed: Vec<Ballot>,
    pub sent: SentMessages,
    /// The sequence number of the present timer; earlier timers are void.
    pub timer_sequence: u32,
    /// Why the last round failed.
    pub last_failure: UnavailableReason,
}

impl PendingRequest {
    pub fn new(origin: Origin, key: RecordKey, change: Change, now: Ms, timeout: Ms) -> Self {
        Self {
            origin,
            key,
            change,
            started_at: now,
            deadline: now + timeout.max(0.0),
            attempts: 0,
            round: Round::default(),
            proposed: Vec::new(),
            sent: SentMessages::default(),
            timer_sequence: 0,
            last_failure: UnavailableReason::DeadlineExceeded,
        }
    }

    /// Replaces the timer; returns the token of the new one.
    pub fn next_timer(&mut self, request_id: u64) -> u64 {
        self.timer_sequence = next_sequence(self.timer_sequence);
        Token { request_id, sequence: self.timer_sequence }.to_u64()
    }

    /// True if the local replica must have the record before the request is completed.
    pub fn requires_local_copy(&self, me: &Member) -> bool {
        self.origin == Origin::ReplicaSync && self.round.involves(me)
    }
}
