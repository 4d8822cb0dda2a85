//! The counters of the registers.

use crate::message::RejectReason;
use crate::UnavailableReason;
use std::collections::BTreeMap;

/// The counters of the registers since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests of the router.
    pub requests: u64,
    /// Responses `Committed`.
    pub committed: u64,
    /// Responses `Conflict`.
    pub conflicts: u64,
    /// Requests that failed, by cause; those of expiry and replica synchronisation too.
    pub unavailable: BTreeMap<UnavailableReason, u64>,
    /// Rounds started.
    pub rounds: u64,
    /// Rounds without a prepare phase.
    pub one_phase_rounds: u64,
    /// Messages sent to other members.
    pub messages: u64,
    /// Retransmissions: one each time that the messages of a round are sent again.
    pub retransmissions: u64,
    /// Messages that the link did not write.
    pub send_failures: u64,
    /// Replies that do not belong to a request's present phase, ballot or replicas.
    pub late_votes: u64,
    /// Rejections received because a later ballot was promised.
    pub ballot_rejections: u64,
    /// Rejections received because of another epoch.
    pub epoch_rejections: u64,
    /// Rejections received because the member is not a replica of the register.
    pub not_replica_rejections: u64,
    /// Rejections received because the replica's disk rejects writes.
    pub storage_rejections: u64,
    /// Rejections received because a limit of the replica is reached.
    pub resource_rejections: u64,
    /// Messages dropped because they are malformed or too long.
    pub malformed_messages: u64,
    /// Messages dropped because they are for another incarnation of this router, or for another router.
    pub misaddressed_messages: u64,
    /// Batches that the disk did not write.
    pub failed_batches: u64,
    /// Shard maps dropped because their epoch is before the present one.
    pub stale_maps: u64,
    /// Shard maps dropped because two quorums of a group need not intersect.
    pub invalid_maps: u64,
    /// Records that expired here.
    pub expired: u64,
    /// Executions that expired while leased; their outcome is now unknown.
    pub outcomes_unknown: u64,
    /// Registers removed here: tombstones, or no longer replicated by this member.
    pub removed: u64,
    /// Records copied by the replica synchronisation.
    pub synced: u64,
}

impl Counters {
    /// Counts a rejection that was received.
    pub(crate) fn count_rejection(&mut self, reason: &RejectReason) {
        let count = match reason {
            RejectReason::BallotTooOld(_) => &mut self.ballot_rejections,
            RejectReason::StaleEpoch | RejectReason::FutureEpoch => &mut self.epoch_rejections,
            RejectReason::NotReplica => &mut self.not_replica_rejections,
            RejectReason::StorageFailed => &mut self.storage_rejections,
            RejectReason::ResourceExhausted => &mut self.resource_rejections,
        };
        *count += 1;
    }
}
