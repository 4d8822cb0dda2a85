//! A cache's store of limited size; it evicts by rank, then least recently used.

use crate::Ms;
use basaltgw::api::Rank;
use basaltgw_hierarchy::FillKey;
use std::collections::{BTreeSet, HashMap};

/// A stored copy of one part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedCopy {
    /// When the origin served the copy.
    pub origin_time: Ms,
    /// The size of the copy.
    pub size_kb: f64,
    /// The rank under which the copy is stored; lower ranks are evicted first.
    pub rank: Rank,
    last_use: u64,
}

/// Copies up to a total size. The lowest rank is evicted first, within a rank the least recently used copy; a copy never evicts one of
/// higher rank.
#[derive(Clone, Debug, Default)]
pub struct Store {
    capacity_kb: f64,
    used_kb: f64,
    /// Counts uses, as a logical clock for the order of eviction.
    uses: u64,
    copies: HashMap<FillKey, CachedCopy>,
    eviction_order: BTreeSet<(Rank, u64, FillKey)>,
}

impl Store {
    /// Creates an empty store.
    pub fn new(capacity_kb: f64) -> Self {
        Self { capacity_kb, ..Self::default() }
    }

    /// The copy of a part; marks the copy as used.
    pub fn get(&mut self, key: FillKey) -> Option<CachedCopy> {
        self.uses += 1;
        let copy = self.copies.get_mut(&key)?;
        self.eviction_order.remove(&(copy.rank, copy.last_use, key));
        copy.last_use = self.uses;
        self.eviction_order.insert((copy.rank, copy.last_use, key));
        Some(*copy)
    }

    /// Stores a copy if evicting copies of no higher rank makes enough room. It replaces an older copy of the same part, and is dropped
    /// where the stored copy is newer.
    pub fn put(&mut self, key: FillKey, origin_time: Ms, size_kb: f64, rank: Rank) {
        if rank == Rank::None
            || size_kb > self.capacity_kb
            || self.copies.get(&key).is_some_and(|c| c.origin_time > origin_time)
        {
            return;
        }
        self.drop(key);
        while self.used_kb + size_kb > self.capacity_kb {
            match self.eviction_order.first().copied().filter(|(lowest, ..)| *lowest <= rank) {
                Some((_, _, evicted)) => self.drop(evicted),
                None => return,
            }
        }
        self.uses += 1;
        self.used_kb += size_kb;
        self.eviction_order.insert((rank, self.uses, key));
        self.copies.insert(key, CachedCopy { origin_time, size_kb, rank, last_use: self.uses });
    }

    fn drop(&mut self, key: FillKey) {
        if let Some(copy) = self.copies.remove(&key) {
            self.eviction_order.remove(&(copy.rank, copy.last_use, key));
            self.used_kb -= copy.size_kb;
        }
    }

    /// Drops copies of purged objects that the origin served before the purge.
    pub fn purge(&mut self, purged_at: Ms, purged: impl Fn(u64) -> bool) {
        let old: Vec<FillKey> = self
            .copies
            .iter()
            .filter(|(k, c)| c.origin_time < purged_at && purged(k.object))
            .map(|(k, _)| *k)
            .collect();
        old.into_iter().for_each(|key| self.drop(key));
    }

    /// The stored parts, in no order.
    pub fn keys(&self) -> impl Iterator<Item = FillKey> + '_ {
        self.copies.keys().copied()
    }

    /// The number of copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// True if there are no copies.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }
}

#[cfg(test)]
mod tests;
