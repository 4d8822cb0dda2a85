//! The ends of holds, and the dropping of what need not be remembered any more; by portions, on this keeper's own clock.

use crate::acceptor::{keepers, place, Kept};
use crate::holds::Registers;
use crate::proposer::Ended;
use crate::round::{Ask, Origin};
use crate::{Action, Change, Record, RecordKey, Response, Settings};
use basaltgw_types::{Ms, ShardMap};
use std::collections::BTreeSet;
use std::ops::Bound;

/// The timer of the sweep; those of questions are numbered far above.
pub(crate) const SWEEP: u64 = 0;

/// Registers looked at for each that may be ended at one look.
const LOOKS: usize = 16;

/// Rests between two words that an upkeep's question may take.
const PATIENCE: f64 = 10.0;

/// Where the sweep is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sweep {
    after: Option<RecordKey>,
    /// Holds that are being ended.
    under_way: BTreeSet<RecordKey>,
}

/// What is due for a register.
#[derive(Clone, Debug, PartialEq)]
enum Due {
    Nothing,
    Drop,
    Change(Change),
}

/// How long a hold is kept as it is, if it ends at all.
fn span(hold: &Record, set: &Settings) -> Option<Ms> {
    match hold {
        Record::Leased { .. } | Record::Released { .. } | Record::Completed(_) | Record::OutcomeUnknown => {
            Some(set.execution_retention_ms)
        }
        Record::Purged { .. } => Some(set.purge_retention_ms),
        Record::Ticket { .. } => Some(set.ticket_retention_ms),
        Record::Continuation { .. } => Some(set.continuation_retention_ms),
        Record::Tombstone => Some(set.tombstone_retention_ms),
        Record::Table { .. } => None,
    }
}

impl Registers {
    /// One look, at a portion of the registers.
    pub(crate) fn sweep(&mut self, now: Ms, ended: &mut Vec<Ended>, acts: &mut Vec<Action>) {
        acts.push(Action::Timer(self.set.expiry_interval_ms, SWEEP));
        self.acceptor.disk.try_again();
        let Some(map) = self.acceptor.map.clone() else { return };
        let from = self.sweep.after.map_or(Bound::Unbounded, Bound::Excluded);
        let there =
            self.acceptor.registers().range((from, Bound::Unbounded)).take(LOOKS * self.set.expiry_batch);
        let (mut looked, mut due) = (None, Vec::new());
        for (key, kept) in there {
            looked = Some(*key);
            match self.due(now, &map, key, kept) {
                Due::Nothing => {}
                what => due.push((*key, what)),
            }
            if due.len() >= self.set.expiry_batch {
                break;
            }
        }
        // Past the last one it begins again.
        self.sweep.after = looked;
        for (key, what) in due {
            match what {
                Due::Nothing => {}
                Due::Drop => {
                    self.acceptor.drop(&key);
                    self.proposer.counters.dropped += 1;
                }
                Due::Change(change) => {
                    let within = PATIENCE * self.set.retransmit_interval_ms;
                    self.sweep.under_way.insert(key);
                    ended.extend(self.proposer.ask(
                        now,
                        Ask::new(Origin::Upkeep, key, change, now, within),
                        acts,
                    ));
                }
            }
        }
    }

    fn due(&self, now: Ms, map: &ShardMap, key: &RecordKey, kept: &Kept) -> Due {
        let found = place(map, key).and_then(|p| keepers(map, p));
        let Some(found) = found else { return Due::Drop };
        let me = &self.acceptor.me;
        let rank = found.groups.iter().rev().find_map(|g| g.members.iter().position(|m| m == me));
        // Who keeps it no more need not; what it promised stays as the floor.
        let Some(rank) = rank else { return Due::Drop };
        let age = now - kept.since;
        let Some((_, value)) = &kept.register.accepted else {
            return if age >= self.set.tombstone_retention_ms { Due::Drop } else { Due::Nothing };
        };
        let Some(span) = span(&value.hold, &self.set) else { return Due::Nothing };
        if value.hold == Record::Tombstone {
            return if age >= span { Due::Drop } else { Due::Nothing };
        }
        // The first of a group ends it; the others only if that one did not.
        if age < span + rank as f64 * self.set.expiry_stagger_ms || self.sweep.under_way.contains(key) {
            return Due::Nothing;
        }
        match &value.hold {
            Record::Leased { term: turn, .. } => Due::Change(Change::MarkOutcomeUnknown(*turn)),
            Record::Released { .. }
            | Record::Completed(_)
            | Record::OutcomeUnknown
            | Record::Purged { .. } => Due::Change(Change::Expire),
            Record::Ticket { .. } | Record::Continuation { .. } => Due::Change(Change::Expire),
            Record::Tombstone | Record::Table { .. } => Due::Nothing,
        }
    }

    /// An end was made, or not; then a later look finds it again.
    pub(crate) fn swept(&mut self, key: &RecordKey, verdict: &Response) {
        self.sweep.under_way.remove(key);
        match verdict {
            Response::Committed(Record::OutcomeUnknown) => self.proposer.counters.doubted += 1,
            Response::Committed(_) => self.proposer.counters.ended += 1,
            Response::Conflict(_) | Response::Unavailable { .. } => {}
        }
    }
}
