//! Purges that some router has heard and that have not settled: what a router that starts anew has to heed, also where discovery is down.

use basaltgw::api::{GroupId, ObjectId};
use basaltgw_holds::{Change, Hold, HoldKey, Kind};
use basaltgw_ids::Ms;
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
    /// One of the change log.
    pub fn new(group: GroupId, object: Option<ObjectId>, time: Ms) -> Self {
        Self { group: group.0, object: object.map(|o| o.0), time: time.max(0.0) as u64 }
    }

    /// As a hold and its change; alike at every router.
    pub fn change(&self) -> (HoldKey, Change) {
        let object = self.object.map_or(0, |o| o ^ 0x9e37_79b9_7f4a_7c15);
        let low = object.wrapping_mul(0x2545_f491_4f6c_dd1d)
            ^ self.group
            ^ (u64::from(self.object.is_some()) << 63);
        let name = u128::from(self.time) << 64 | u128::from(low);
        let (group, object, time) = (self.group, self.object, self.time);
        (HoldKey { kind: Kind::Purge, name }, Change::Purge { group, object, time })
    }

    /// The purge that a hold keeps.
    pub fn of(hold: &Hold) -> Option<Self> {
        match hold {
            Hold::Purged { group, object, time } => {
                Some(Self { group: *group, object: *object, time: *time })
            }
            Hold::Out { .. } | Hold::Free { .. } | Hold::Done(_) | Hold::Doubt | Hold::Ticket { .. } => None,
            Hold::Debt { .. } | Hold::Table { .. } | Hold::Ended => None,
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
    pub fn heard(&mut self, purge: Purge) -> bool {
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
        self.latest.retain(|_, time| *time as f64 + settles > now);
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_latest_purge_of_each_is_kept_and_settles() {
        let mut purges = Purges::default();
        let one = Purge { group: 7, object: Some(1), time: 1_000 };
        assert!(purges.heard(one) && !purges.heard(one));
        assert!(!purges.heard(Purge { time: 900, ..one }) && purges.heard(Purge { time: 1_100, ..one }));
        assert!(purges.heard(Purge { group: 7, object: None, time: 1_000 }));
        purges.settle(7_050.0, 6_000.0);
        assert_eq!(purges.all().collect::<Vec<_>>(), [Purge { time: 1_100, ..one }]);
    }

    #[test]
    fn too_many_purges_become_one_of_their_group() {
        let mut purges = Purges::default();
        for n in 0..=MOST_PURGES as u64 {
            purges.heard(Purge { group: n % 2, object: Some(n), time: n });
        }
        assert!(purges.len() <= MOST_PURGES / 2 + 2);
        assert!(purges.all().any(|p| p.object.is_none() && p.time >= MOST_PURGES as u64 - 1));
    }

    #[test]
    fn purges_have_a_name_of_their_own() {
        let names = |g, o, t| Purge { group: g, object: o, time: t }.change().0.name;
        let all = [
            names(1, None, 5),
            names(1, Some(0), 5),
            names(2, None, 5),
            names(1, None, 6),
            names(1, Some(2), 5),
        ];
        assert_eq!(all.iter().collect::<std::collections::BTreeSet<_>>().len(), all.len());
    }
}
