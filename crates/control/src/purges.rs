//! Purges that caches may not have applied yet. A router that starts needs them even while the change log is unavailable.
//!
//! A purge has converged once no cache serves an older copy any more: `convergence_time` milliseconds after its Unix time. A converged purge
//! is forgotten.

use basaltgw_registers::{Change, Kind, Record, RecordKey};
use basaltgw_types::Ms;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Largest number of known purges. One more replaces all purges of the largest group by one purge of the whole group.
pub const MAX_PURGES: usize = 65_536;

/// Multiplier and mask that spread the objects of purges over the names of registers. All routers use the same ones.
const OBJECT_MULTIPLIER: u64 = 0x2545_f491_4f6c_dd1d;
const OBJECT_MASK: u64 = 0x9e37_79b9_7f4a_7c15;

/// What a purge invalidates: an object or a whole group. Encoded as the key of a purge on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PurgeKey {
    /// Group of the object.
    pub group: u64,
    /// Object; `None` for the whole group.
    pub object: Option<u64>,
}

impl From<(u64, Option<u64>)> for PurgeKey {
    fn from((group, object): (u64, Option<u64>)) -> Self {
        Self { group, object }
    }
}

/// Purge of an object, or of a whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Purge {
    /// Group of the object.
    pub group: u64,
    /// Object; `None` for the whole group.
    pub object: Option<u64>,
    /// Time of the purge in Unix milliseconds, as given by the change log.
    pub time: u64,
}

impl Purge {
    /// The purge of `key` at `time`, in Unix milliseconds.
    pub fn new(key: PurgeKey, time: u64) -> Self {
        Self { group: key.group, object: key.object, time }
    }

    /// What the purge invalidates.
    pub fn key(&self) -> PurgeKey {
        PurgeKey { group: self.group, object: self.object }
    }

    /// Register and change that replicate the purge; the same at every router. The name of the register consists of the time and a hash of the
    /// object and its group.
    pub fn record_change(&self) -> (RecordKey, Change) {
        let object = self.object.map_or(0, |o| o ^ OBJECT_MASK);
        let low =
            object.wrapping_mul(OBJECT_MULTIPLIER) ^ self.group ^ (u64::from(self.object.is_some()) << 63);
        let name = u128::from(self.time) << 64 | u128::from(low);
        let (group, object, time) = (self.group, self.object, self.time);
        (RecordKey { kind: Kind::Purge, name }, Change::Purge { group, object, time })
    }

    /// Whether the purge has converged at `now` (Unix milliseconds), given the convergence time in milliseconds.
    pub fn has_converged(&self, now: Ms, convergence_time: Ms) -> bool {
        self.time as f64 + convergence_time <= now
    }

    /// Encodes the purge as an update for all routers; the bytes are the same at every router. The time comes first because the overlay
    /// omits the prefix that an update shares with the previous one.
    pub fn to_update(&self) -> Vec<u8> {
        let key = postcard::to_stdvec(&self.key()).unwrap_or_default();
        [&self.time.to_be_bytes()[..], &key].concat()
    }

    /// Decodes an update; `None` if the bytes are malformed or have a remainder.
    pub fn from_update(update: &[u8]) -> Option<Self> {
        let (time, encoded_key) = update.split_first_chunk()?;
        let (key, remainder) = postcard::take_from_bytes(encoded_key).ok()?;
        remainder.is_empty().then_some(Self::new(key, u64::from_be_bytes(*time)))
    }

    /// The purge in a register's record; `None` for records of other kinds.
    pub fn from_record(record: &Record) -> Option<Self> {
        match record {
            Record::Purged { group, object, time } => {
                Some(Self { group: *group, object: *object, time: *time })
            }
            Record::Leased { .. } | Record::Released { .. } => None,
            Record::Completed(_) | Record::OutcomeUnknown => None,
            Record::Ticket { .. } | Record::Continuation { .. } => None,
            Record::Table { .. } | Record::Tombstone => None,
        }
    }
}

/// Known purges that have not converged: the latest one of each key.
#[derive(Debug, Default)]
pub struct Purges {
    /// Unix milliseconds of the latest purge.
    latest: BTreeMap<PurgeKey, u64>,
}

impl Purges {
    /// Adds a purge; true if it is later than any known one of its key.
    pub fn observe(&mut self, purge: Purge) -> bool {
        let key = purge.key();
        let is_new = self.latest.get(&key).is_none_or(|time| *time < purge.time);
        if is_new {
            self.latest.insert(key, purge.time);
            if self.latest.len() > MAX_PURGES {
                self.merge_largest_group();
            }
        }
        is_new
    }

    /// Replaces the purges of the largest group by one of the whole group, with the latest of their times.
    fn merge_largest_group(&mut self) {
        let mut sizes: BTreeMap<u64, usize> = BTreeMap::new();
        self.latest.keys().for_each(|key| *sizes.entry(key.group).or_default() += 1);
        let Some(group) = sizes.into_iter().max_by_key(|(_, size)| *size).map(|(g, _)| g) else { return };
        let times = self.latest.iter().filter(|(key, _)| key.group == group).map(|(_, time)| *time);
        let latest = times.max().unwrap_or(0);
        self.latest.retain(|key, _| key.group != group);
        self.latest.insert(PurgeKey { group, object: None }, latest);
    }

    /// Removes the converged purges; see [`Purge::has_converged`].
    pub fn remove_converged(&mut self, now: Ms, convergence_time: Ms) {
        self.take_converged(now, convergence_time);
    }

    /// Removes and returns the converged purges; see [`Purge::has_converged`].
    pub fn take_converged(&mut self, now: Ms, convergence_time: Ms) -> Vec<Purge> {
        let converged: Vec<Purge> = self.all().filter(|p| p.has_converged(now, convergence_time)).collect();
        for purge in &converged {
            self.latest.remove(&purge.key());
        }
        converged
    }

    /// Whether a purge of this key is known.
    pub fn contains(&self, key: impl Into<PurgeKey>) -> bool {
        self.latest.contains_key(&key.into())
    }

    /// All known purges, in the order of their keys.
    pub fn all(&self) -> impl Iterator<Item = Purge> + '_ {
        self.latest.iter().map(|(key, time)| Purge::new(*key, *time))
    }

    /// Number of known purges.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Whether no purge is known.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }
}
