//! Purges that some router has heard and that have not settled: what a router that starts anew has to heed, also where discovery is down.

use basaltgw_registers::{Change, Kind, Record, RecordKey};
use basaltgw_types::Ms;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Purges kept at the most; one more pushes the oldest out, and counts its whole group as purged when it happened.
pub const MOST_PURGES: usize = 65_536;

/// A purge of an object, or of a whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Purge {
    /// The group.
    pub group: u64,
    /// The object; `None` for all of the group.
    pub object: Option<u64>,
    /// When it happened, in Unix milliseconds, as the change log says.
    pub time: u64,
}

impl Purge {
    /// As a hold and its change; alike at every router.
    pub fn record_change(&self) -> (RecordKey, Change) {
        let object = self.object.map_or(0, |o| o ^ 0x9e37_79b9_7f4a_7c15);
        let low = object.wrapping_mul(0x2545_f491_4f6c_dd1d)
            ^ self.group
            ^ (u64::from(self.object.is_some()) << 63);
        let name = u128::from(self.time) << 64 | u128::from(low);
        let (group, object, time) = (self.group, self.object, self.time);
        (RecordKey { kind: Kind::Purge, name }, Change::Purge { group, object, time })
    }

    /// Whether it has settled: caches have no older copy any more, so many milliseconds after it at this Unix time.
    pub fn settled(&self, now: Ms, settles: Ms) -> bool {
        self.time as f64 + settles <= now
    }

    /// As a word for all, the same bytes at every router. The time is first, for one word's time is much like that of the one before, and
    /// what is alike at the start isn't sent again.
    pub fn to_update(&self) -> Vec<u8> {
        let rest = postcard::to_stdvec(&(self.group, self.object)).unwrap_or_default();
        [&self.time.to_be_bytes()[..], &rest].concat()
    }

    /// The purge of such a word; `None` if it is none, or has bytes left over.
    pub fn from_update(word: &[u8]) -> Option<Self> {
        let (time, rest) = word.split_first_chunk()?;
        let ((group, object), left) = postcard::take_from_bytes(rest).ok()?;
        left.is_empty().then_some(Self { group, object, time: u64::from_be_bytes(*time) })
    }

    /// The purge that a hold keeps.
    pub fn from_record(hold: &Record) -> Option<Self> {
        match hold {
            Record::Purged { group, object, time } => {
                Some(Self { group: *group, object: *object, time: *time })
            }
            Record::Leased { .. }
            | Record::Released { .. }
            | Record::Completed(_)
            | Record::OutcomeUnknown
            | Record::Ticket { .. } => None,
            Record::Continuation { .. } | Record::Table { .. } | Record::Tombstone => None,
        }
    }
}

/// Those known here, by what they name: the latest of each.
#[derive(Debug, Default)]
pub struct Purges {
    latest: BTreeMap<(u64, Option<u64>), u64>,
}

impl Purges {
    /// True if it was not known yet.
    pub fn observe(&mut self, purge: Purge) -> bool {
        let key = (purge.group, purge.object);
        let new = self.latest.get(&key).is_none_or(|t| *t < purge.time);
        if new {
            self.latest.insert(key, purge.time);
            if self.latest.len() > MOST_PURGES {
                self.widen();
            }
        }
        new
    }

    /// Makes room: of the group with the most objects a whole purge is kept, as late as the latest of them.
    fn widen(&mut self) {
        let mut many: BTreeMap<u64, usize> = BTreeMap::new();
        self.latest.keys().for_each(|(group, _)| *many.entry(*group).or_default() += 1);
        let Some(group) = many.into_iter().max_by_key(|(_, n)| *n).map(|(g, _)| g) else { return };
        let latest = self.latest.iter().filter(|((g, _), _)| *g == group).map(|(_, t)| *t).max().unwrap_or(0);
        self.latest.retain(|(g, _), _| *g != group);
        self.latest.insert((group, None), latest);
    }

    /// Forgets what has settled: older than so many milliseconds at this Unix time.
    pub fn settle(&mut self, now: Ms, settles: Ms) {
        self.take_settled(now, settles);
    }

    /// Forgets it likewise, and gives it.
    pub fn take_settled(&mut self, now: Ms, settles: Ms) -> Vec<Purge> {
        let gone: Vec<Purge> = self.all().filter(|p| p.settled(now, settles)).collect();
        for purge in &gone {
            self.latest.remove(&(purge.group, purge.object));
        }
        gone
    }

    /// True if one of that group and object is known.
    pub fn contains(&self, key: (u64, Option<u64>)) -> bool {
        self.latest.contains_key(&key)
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = Purge> + '_ {
        self.latest.iter().map(|((group, object), time)| Purge {
            group: *group,
            object: *object,
            time: *time,
        })
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// True if none.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }
}
