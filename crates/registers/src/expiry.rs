//! Which records have expired, and which registers may be removed.
//!
//! A record expires after the retention of its kind, measured on this replica's clock since it accepted the record. The first replica of the
//! latest group requests the change; each further one waits `expiry_stagger_ms` longer, so that it acts only if those before it did not. A
//! leased execution may be running, so its outcome becomes unknown before it expires. A tombstone is removed after its own retention, and a
//! register that this member no longer replicates at once. Inputs: the shard map, the registers, the retentions in milliseconds.

use crate::acceptor::{Acceptor, StoredRegister};
use crate::partition::replicas_of;
use crate::{Change, Record, RecordKey, Settings};
use basaltgw_types::{Member, Ms, ReplicaSet, ShardMap};
use std::collections::BTreeSet;
use std::ops::Bound;

/// Registers that one scan examines, for each that it may change or remove.
const EXAMINED_PER_CHANGE: usize = 16;

/// What is due for a register.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum DueStep {
    /// The register is removed.
    Remove,
    /// The change is requested.
    Request(Change),
}

/// A register for which something is due.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DueRegister {
    pub key: RecordKey,
    pub step: DueStep,
}

/// The scan's position, and the changes that it has requested.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExpiryScan {
    after: Option<RecordKey>,
    in_flight: BTreeSet<RecordKey>,
}

impl ExpiryScan {
    /// Scans the next registers. The changes returned count as in flight until [`ExpiryScan::on_response`].
    pub fn scan(&mut self, now: Ms, acceptor: &Acceptor, settings: &Settings) -> Vec<DueRegister> {
        let Some(map) = acceptor.map.as_deref() else { return Vec::new() };
        let start = self.after.map_or(Bound::Unbounded, Bound::Excluded);
        let registers = acceptor.registers().range((start, Bound::Unbounded));
        let (mut examined, mut due) = (None, Vec::new());
        for (key, stored) in registers.take(EXAMINED_PER_CHANGE * settings.expiry_batch) {
            examined = Some(*key);
            let step = match rank(map, key, &acceptor.me) {
                None => Some(DueStep::Remove),
                Some(rank) => self.due_step(now, key, stored, rank, settings),
            };
            due.extend(step.map(|step| DueRegister { key: *key, step }));
            if due.len() >= settings.expiry_batch {
                break;
            }
        }
        // After the last register the scan starts again.
        self.after = examined;
        let requested = due.iter().filter(|d| matches!(d.step, DueStep::Request(_)));
        self.in_flight.extend(requested.map(|d| d.key));
        due
    }

    /// Handles the response to a requested change; if the change failed, a later scan requests it again.
    pub fn on_response(&mut self, key: &RecordKey) {
        self.in_flight.remove(key);
    }

    /// What is due for a register of which this member is the replica of that rank.
    fn due_step(
        &self,
        now: Ms,
        key: &RecordKey,
        stored: &StoredRegister,
        rank: usize,
        settings: &Settings,
    ) -> Option<DueStep> {
        let age = now - stored.record_since;
        let record = match stored.record() {
            None | Some(Record::Tombstone) => {
                return (age >= settings.tombstone_retention_ms).then_some(DueStep::Remove);
            }
            Some(record) => record,
        };
        let delay = retention(record, settings)? + rank as f64 * settings.expiry_stagger_ms;
        if age < delay || self.in_flight.contains(key) {
            return None;
        }
        expiring_change(record).map(DueStep::Request)
    }
}

/// The member's position in the latest group that contains it.
fn rank(map: &ShardMap, key: &RecordKey, me: &Member) -> Option<usize> {
    let replicas: &ReplicaSet = replicas_of(map, key)?;
    replicas.groups.iter().rev().find_map(|g| g.members.iter().position(|m| m == me))
}

/// The time after which a record expires; `None` if it never does.
fn retention(record: &Record, settings: &Settings) -> Option<Ms> {
    match record {
        Record::Leased { .. } | Record::Released { .. } | Record::Completed(_) | Record::OutcomeUnknown => {
            Some(settings.execution_retention_ms)
        }
        Record::Purged { .. } => Some(settings.purge_retention_ms),
        Record::Ticket { .. } => Some(settings.ticket_retention_ms),
        Record::Continuation { .. } => Some(settings.continuation_retention_ms),
        Record::Tombstone => Some(settings.tombstone_retention_ms),
        Record::Table { .. } => None,
    }
}

/// The change that a record's expiry requests.
fn expiring_change(record: &Record) -> Option<Change> {
    match record {
        Record::Leased { term, .. } => Some(Change::MarkOutcomeUnknown(*term)),
        Record::Released { .. }
        | Record::Completed(_)
        | Record::OutcomeUnknown
        | Record::Purged { .. }
        | Record::Ticket { .. }
        | Record::Continuation { .. } => Some(Change::Expire),
        Record::Tombstone | Record::Table { .. } => None,
    }
}
