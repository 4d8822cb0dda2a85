//! Commits: the one being collected, those in flight, and what waits for them.
//!
//! Several commits may be in flight, and they finish in the order of their numbers. Register batches are reported with their own outcome. An
//! adopted table register is durable once it or a later one is; a failed one is committed again together with the actions that wait for it.
//! A failed removal of a purge is repeated with the next maintenance, while a failed addition is not: the purge is learned again.

use super::commit::Commit;
use super::Control;
use crate::api::Action;
use crate::purges::{Purge, PurgeKey, Purges, MAX_PURGES};
use crate::table::{TableAction, TableRegister};
use basaltgw_registers as registers;
use basaltgw_registers::DiskWrite;
use basaltgw_storage::Write;
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Commits being collected and in flight.
#[derive(Debug, Default)]
pub(super) struct CommitLog {
    next: Commit,
    in_flight: BTreeMap<u64, Commit>,
    last_number: u64,
    /// Serial of the latest table register made durable by this process.
    durable_table_serial: u64,
    /// Converged purges whose removal failed.
    failed_removals: BTreeSet<PurgeKey>,
}

impl CommitLog {
    pub fn add_batch(&mut self, number: u64, writes: Vec<DiskWrite>) {
        self.next.add_batch(number, writes);
    }

    pub fn add_purge(&mut self, now: Ms, purge: Purge) {
        self.next.add_purge(now, purge);
    }

    /// Removes these purges, and those whose removal failed before.
    pub fn remove_purges(&mut self, now: Ms, converged: &[Purge]) {
        let failed = std::mem::take(&mut self.failed_removals);
        self.next.remove_purges(now, failed.into_iter());
        self.next.remove_purges(now, converged.iter().map(Purge::key));
    }

    /// Stores the adopted register content; the actions wait until it is durable.
    pub fn set_table_register(
        &mut self,
        register: TableRegister,
        actions: impl Iterator<Item = TableAction>,
    ) {
        self.next.set_table_register(register, actions);
    }

    /// Since when the collected commit has purges, if it has nothing else.
    pub fn only_purges_since(&self) -> Option<Ms> {
        self.next.only_purges_since()
    }

    /// Moves the collected commit in flight; returns its number and writes, or `None` if it is empty.
    fn start_next(&mut self) -> Option<(u64, Vec<Write>)> {
        if self.next.is_empty() {
            return None;
        }
        let mut commit = std::mem::take(&mut self.next);
        let writes = commit.take_writes();
        // A repeated removal must not undo an addition.
        for purge in &commit.added_purges {
            self.failed_removals.remove(&purge.key());
        }
        self.last_number += 1;
        self.in_flight.insert(self.last_number, commit);
        Some((self.last_number, writes))
    }

    /// Records a durable table register. Returns the actions that waited for it or for an earlier one.
    fn on_table_durable(&mut self, number: u64, serial: u64, waiting: Vec<TableAction>) -> Vec<TableAction> {
        self.durable_table_serial = self.durable_table_serial.max(serial);
        let earlier =
            self.in_flight.range_mut(..number).flat_map(|(_, c)| std::mem::take(&mut c.waiting_actions));
        let mut actions: Vec<TableAction> = earlier.collect();
        actions.extend(waiting);
        actions
    }

    /// Commits a table register again after a failure, unless a later one is durable. If a later one is in flight, the actions wait for that.
    fn retry_table(&mut self, number: u64, register: TableRegister, waiting: Vec<TableAction>) {
        if register.serial <= self.durable_table_serial {
            return;
        }
        let mut later = self.in_flight.range_mut(number..).map(|(_, commit)| commit);
        let commit = later.find(|commit| commit.table_register.is_some()).unwrap_or(&mut self.next);
        commit.table_register.get_or_insert(register);
        commit.waiting_actions.splice(0..0, waiting);
    }

    /// Keeps failed removals for the next maintenance, except those of purges that were observed again.
    fn retry_removals(&mut self, removed: BTreeSet<PurgeKey>, known: &Purges) {
        self.failed_removals.extend(removed.into_iter().filter(|key| !known.contains(*key)));
        while self.failed_removals.len() > MAX_PURGES {
            self.failed_removals.pop_last();
        }
    }

    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }
}

impl Control {
    /// Commits all collected writes, unless only purges are collected and may wait for more.
    pub(super) fn flush(&mut self, now: Ms) {
        if self.may_delay_commit(now) {
            return;
        }
        if let Some((number, writes)) = self.commits.start_next() {
            self.actions.push(Action::Commit(number, writes));
        }
    }

    /// Handles the end of a commit: executes the actions that waited for it, or collects what has to be committed again.
    pub(super) fn on_commit_finished(&mut self, now: Ms, number: u64, durable: bool) {
        let Some(commit) = self.commits.in_flight.remove(&number) else { return };
        match durable {
            true => self.counts.commits += 1,
            false => self.counts.commits_failed += 1,
        }
        for batch in commit.batches {
            self.handle_registers(now, registers::Event::BatchStored(batch.number, durable));
        }
        if !durable {
            self.commits.retry_removals(commit.removed_purges, &self.parts.purges);
        }
        let Some(register) = commit.table_register else { return };
        if durable {
            let actions = self.commits.on_table_durable(number, register.serial, commit.waiting_actions);
            self.execute_table_actions(now, actions);
        } else {
            self.commits.retry_table(number, register, commit.waiting_actions);
        }
    }
}
