//! Content of one atomic commit.

use super::storage::{PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE};
use crate::purges::{Purge, PurgeKey};
use crate::table::{TableAction, TableRegister};
use basaltgw_registers::DiskWrite;
use basaltgw_storage::Write;
use basaltgw_types::Ms;
use std::collections::BTreeSet;

/// Writes of registers that are reported together when durable.
#[derive(Debug)]
pub(super) struct RegisterBatch {
    /// Number given by the registers.
    pub number: u64,
    writes: Vec<DiskWrite>,
}

/// Writes of one commit, and the actions that wait until they are durable.
#[derive(Debug, Default)]
pub(super) struct Commit {
    pub batches: Vec<RegisterBatch>,
    pub added_purges: Vec<Purge>,
    pub removed_purges: BTreeSet<PurgeKey>,
    pub table_register: Option<TableRegister>,
    /// Actions that wait for `table_register`.
    pub waiting_actions: Vec<TableAction>,
    /// Since when the commit has purges to add or remove.
    purges_since: Option<Ms>,
}

impl Commit {
    pub fn add_batch(&mut self, number: u64, writes: Vec<DiskWrite>) {
        self.batches.push(RegisterBatch { number, writes });
    }

    pub fn add_purge(&mut self, now: Ms, purge: Purge) {
        self.purges_since.get_or_insert(now);
        self.added_purges.push(purge);
    }

    pub fn remove_purges(&mut self, now: Ms, keys: impl Iterator<Item = PurgeKey>) {
        self.removed_purges.extend(keys);
        if !self.removed_purges.is_empty() {
            self.purges_since.get_or_insert(now);
        }
    }

    /// Stores the adopted register content; the actions wait until it is durable.
    pub fn set_table_register(
        &mut self,
        register: TableRegister,
        actions: impl Iterator<Item = TableAction>,
    ) {
        self.table_register = Some(register);
        self.waiting_actions.extend(actions);
    }

    /// Since when the commit has purges, if it has nothing else: nothing waits for purges to be durable.
    pub fn only_purges_since(&self) -> Option<Ms> {
        self.purges_since.filter(|_| self.batches.is_empty() && self.table_register.is_none())
    }

    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
            && self.added_purges.is_empty()
            && self.removed_purges.is_empty()
            && self.table_register.is_none()
    }

    /// The writes, in the order table, registers, removed purges, added purges. Register writes are moved out.
    pub fn take_writes(&mut self) -> Vec<Write> {
        let register = self.table_register.as_ref().and_then(|r| postcard::to_stdvec(r).ok());
        let mut writes: Vec<Write> =
            register.into_iter().map(|bytes| Write::Put(TABLE_SPACE, Vec::new(), bytes)).collect();
        for batch in &mut self.batches {
            writes.extend(batch.writes.drain(..).map(register_write));
        }
        // A purge that converged and was observed again stays.
        for purge in &self.added_purges {
            self.removed_purges.remove(&purge.key());
        }
        let removed = self.removed_purges.iter().filter_map(|key| postcard::to_stdvec(key).ok());
        writes.extend(removed.map(|key| Write::Remove(PURGES_SPACE, key)));
        writes.extend(self.added_purges.iter().filter_map(purge_write));
        writes
    }
}

fn register_write(write: DiskWrite) -> Write {
    match write {
        DiskWrite::Put(key, value) => Write::Put(REGISTERS_SPACE, key, value),
        DiskWrite::Remove(key) => Write::Remove(REGISTERS_SPACE, key),
    }
}

fn purge_write(purge: &Purge) -> Option<Write> {
    let key = postcard::to_stdvec(&purge.key()).ok()?;
    Some(Write::Put(PURGES_SPACE, key, purge.time.to_be_bytes().to_vec()))
}
