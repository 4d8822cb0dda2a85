//! Registers whose next ballot a quorum has promised along with the last change, so that the next change skips the prepare phase.

use crate::ballot::Ballot;
use crate::value::Value;
use crate::RecordKey;
use std::collections::{BTreeMap, VecDeque};

/// A promised ballot with the value that it follows.
#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    pub epoch: u64,
    pub next: Ballot,
    pub value: Value,
}

/// The latest prepared registers, up to a limit; the oldest are evicted.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreparedCache {
    by_key: BTreeMap<RecordKey, Prepared>,
    insertion_order: VecDeque<RecordKey>,
}

impl PreparedCache {
    /// Adds a register, and evicts the oldest ones above `limit`; a limit of 0 disables the cache.
    pub fn insert(&mut self, key: RecordKey, prepared: Prepared, limit: usize) {
        if limit == 0 {
            return;
        }
        if self.by_key.insert(key, prepared).is_none() {
            self.insertion_order.push_back(key);
        }
        while self.insertion_order.len() > limit {
            let oldest = self.insertion_order.pop_front();
            oldest.and_then(|key| self.by_key.remove(&key));
        }
    }

    /// Takes a register out, if it was prepared under this epoch.
    pub fn take(&mut self, key: &RecordKey, epoch: u64) -> Option<Prepared> {
        self.by_key.remove(key).filter(|p| p.epoch == epoch)
    }

    /// Removes all registers.
    pub fn clear(&mut self) {
        self.by_key.clear();
        self.insertion_order.clear();
    }

    /// The prepared registers, for the digest of model checks.
    #[cfg(test)]
    pub fn entries(&self) -> &BTreeMap<RecordKey, Prepared> {
        &self.by_key
    }
}
