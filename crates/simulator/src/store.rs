//! What a cache holds: copies by rank and by when they were used last, within a size.

use crate::Ms;
use basaltgw::api::Rank;
use basaltgw_hierarchy::FillKey;
use std::collections::{BTreeSet, HashMap};

/// A copy of one part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Copy {
    /// When the archive gave it out.
    pub born: Ms,
    /// Its size.
    pub kb: f64,
    /// How it is kept against others.
    pub rank: Rank,
    used: u64,
}

/// Copies within a size: the lowest rank leaves first, then what was used longest ago, and nothing for a copy of lower rank.
#[derive(Clone, Debug, Default)]
pub struct Store {
    room_kb: f64,
    held_kb: f64,
    uses: u64,
    copies: HashMap<FillKey, Copy>,
    order: BTreeSet<(Rank, u64, FillKey)>,
}

impl Store {
    /// An empty store of that size.
    pub fn new(room_kb: f64) -> Self {
        Self { room_kb, ..Self::default() }
    }

    /// The copy of a part, which counts as used now.
    pub fn get(&mut self, key: FillKey) -> Option<Copy> {
        self.uses += 1;
        let copy = self.copies.get_mut(&key)?;
        self.order.remove(&(copy.rank, copy.used, key));
        copy.used = self.uses;
        self.order.insert((copy.rank, copy.used, key));
        Some(*copy)
    }

    /// Keeps a copy, if there is room for it among those of no higher rank. An older one of the same part makes place for it.
    pub fn put(&mut self, key: FillKey, born: Ms, kb: f64, rank: Rank) {
        if rank == Rank::None || kb > self.room_kb || self.copies.get(&key).is_some_and(|c| c.born > born) {
            return;
        }
        self.drop(key);
        while self.held_kb + kb > self.room_kb {
            match self.order.first().copied().filter(|(lowest, ..)| *lowest <= rank) {
                Some((_, _, out)) => self.drop(out),
                None => return,
            }
        }
        self.uses += 1;
        self.held_kb += kb;
        self.order.insert((rank, self.uses, key));
        self.copies.insert(key, Copy { born, kb, rank, used: self.uses });
    }

    fn drop(&mut self, key: FillKey) {
        if let Some(copy) = self.copies.remove(&key) {
            self.order.remove(&(copy.rank, copy.used, key));
            self.held_kb -= copy.kb;
        }
    }

    /// Drops copies of purged objects that were given out before.
    pub fn purge(&mut self, at: Ms, purged: impl Fn(u64) -> bool) {
        let old: Vec<FillKey> =
            self.copies.iter().filter(|(k, c)| c.born < at && purged(k.object)).map(|(k, _)| *k).collect();
        old.into_iter().for_each(|key| self.drop(key));
    }

    /// The parts it holds, in no order.
    pub fn keys(&self) -> impl Iterator<Item = FillKey> + '_ {
        self.copies.keys().copied()
    }

    /// How many copies it holds.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// True if it holds none.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }
}

#[cfg(test)]
mod tests;
