//! What has to last: gathered until a turn ends, handed out as one commit, and what waits for it.
//!
//! Several commits may be out at once, for a disk takes its time: each knows what rests on it.

use super::{Control, DiskWrite, Purge, Purges, Step};
use crate::api::Action;
use crate::purges::MOST_PURGES;
use basaltgw_registers as holds;
use basaltgw_storage::{Space, Write};
use basaltgw_types::Ms;
use std::collections::BTreeSet;

/// Where holds are on the disk.
pub const REGISTERS_SPACE: Space = Space(1);
/// Where purges are.
pub const PURGES_SPACE: Space = Space(2);
/// Where the table's register is as it was last adopted, under the empty key.
pub const TABLE_SPACE: Space = Space(3);

/// The purges of [`PURGES`], as they were found on the disk; `None` if one can't be read.
pub fn decode_purges(records: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>) -> Option<Purges> {
    let mut purges = Purges::default();
    for (key, time) in records {
        let (group, object) = postcard::from_bytes(&key).ok()?;
        purges.observe(Purge { group, object, time: u64::from_be_bytes(time.try_into().ok()?) });
    }
    Some(purges)
}

/// The register of [`ADOPTED`], as it was found on the disk, for [`crate::TableKeeper::new`].
///
/// # Errors
/// If it can't be read.
pub fn decode_table_register(bytes: &[u8]) -> Result<(u64, Vec<u8>), postcard::Error> {
    postcard::from_bytes(bytes)
}

/// What goes into one commit.
#[derive(Debug, Default)]
pub(super) struct Commit {
    /// Batches of holds, by the holds' numbers.
    pub batches: Vec<(u64, Vec<DiskWrite>)>,
    /// Purges newly heard.
    pub kept: Vec<Purge>,
    /// Purges that have settled.
    pub gone: BTreeSet<(u64, Option<u64>)>,
    /// The table's register as it was adopted.
    adopted: Option<(u64, Vec<u8>)>,
    /// What waits until that is on the disk.
    after: Vec<Step>,
    /// Since when purges are in it, newly heard or settled.
    purges_since: Option<Ms>,
}

impl Commit {
    pub fn keep(&mut self, now: Ms, purge: Purge) {
        self.purges_since.get_or_insert(now);
        self.kept.push(purge);
    }

    /// Purges that have settled go from the disk.
    pub fn forget(&mut self, now: Ms, settled: impl Iterator<Item = (u64, Option<u64>)>) {
        self.gone.extend(settled);
        if !self.gone.is_empty() {
            self.purges_since.get_or_insert(now);
        }
    }

    /// Since when it waits, if there is nothing in it but purges: nobody waits for those.
    pub fn only_purges_since(&self) -> Option<Ms> {
        self.purges_since.filter(|_| self.batches.is_empty() && self.adopted.is_none())
    }

    /// The register is to last, and these steps wait for it.
    pub fn adopt(&mut self, register: (u64, Vec<u8>), after: impl Iterator<Item = Step>) {
        self.adopted = Some(register);
        self.after.extend(after);
    }

    fn is_empty(&self) -> bool {
        self.batches.is_empty() && self.kept.is_empty() && self.gone.is_empty() && self.adopted.is_none()
    }

    pub(super) fn writes(&mut self) -> Vec<Write> {
        let mut writes = Vec::new();
        let adopted = self.adopted.as_ref().and_then(|a| postcard::to_stdvec(a).ok());
        writes.extend(adopted.map(|a| Write::Put(TABLE_SPACE, Vec::new(), a)));
        for (_, records) in &mut self.batches {
            writes.extend(records.drain(..).map(|record| match record {
                DiskWrite::Put(key, value) => Write::Put(REGISTERS_SPACE, key, value),
                DiskWrite::Remove(key) => Write::Remove(REGISTERS_SPACE, key),
            }));
        }
        // What settled and was heard again since is kept.
        self.kept.iter().for_each(|p| {
            self.gone.remove(&(p.group, p.object));
        });
        let gone = self.gone.iter().filter_map(|key| postcard::to_stdvec(key).ok());
        writes.extend(gone.map(|key| Write::Remove(PURGES_SPACE, key)));
        for purge in &self.kept {
            if let Ok(key) = postcard::to_stdvec(&(purge.group, purge.object)) {
                writes.push(Write::Put(PURGES_SPACE, key, purge.time.to_be_bytes().to_vec()));
            }
        }
        writes
    }
}

impl Control {
    /// Hands out all that has to last as one commit, if there is anything.
    pub(super) fn settle(&mut self, now: Ms) {
        if self.next.is_empty() || self.purges_wait(now) {
            return;
        }
        let mut commit = std::mem::take(&mut self.next);
        let writes = commit.writes();
        // A removal that waits to be tried again must not undo what is kept now.
        commit.kept.iter().for_each(|p| {
            self.unforgotten.remove(&(p.group, p.object));
        });
        self.commits_ever += 1;
        self.open.insert(self.commits_ever, commit);
        self.out.push(Action::Commit(self.commits_ever, writes));
    }

    /// A commit is on the disk, or is not: says what rests on it.
    pub(super) fn stored(&mut self, now: Ms, no: u64, ok: bool) {
        let Some(commit) = self.open.remove(&no) else { return };
        match ok {
            true => self.counts.commits += 1,
            false => self.counts.commits_failed += 1,
        }
        let Commit { batches, kept: _, gone, adopted, after, purges_since: _ } = commit;
        batches.into_iter().for_each(|(batch, _)| self.ask_holds(now, holds::Event::BatchStored(batch, ok)));
        if !ok {
            self.forget_later(gone);
        }
        let Some((serial, _)) = adopted else { return };
        if ok {
            self.lasts = self.lasts.max(serial);
            // Registers before it that are still out need not last any more.
            let before =
                self.open.range_mut(..no).flat_map(|(_, earlier)| std::mem::take(&mut earlier.after));
            let steps = before.collect::<Vec<_>>().into_iter().chain(after).collect();
            self.steps(now, steps);
        } else if serial > self.lasts {
            self.adopt_later(no, adopted, after);
        }
    }

    /// The disk did not take the register: it is tried again, and with it what waits for it, unless a later one is on its way already.
    fn adopt_later(&mut self, no: u64, adopted: Option<(u64, Vec<u8>)>, after: Vec<Step>) {
        let later = self.open.range_mut(no..).map(|(_, c)| c).find(|c| c.adopted.is_some());
        let heir = later.unwrap_or(&mut self.next);
        if heir.adopted.is_none() {
            heir.adopted = adopted;
        }
        heir.after.splice(0..0, after);
    }

    /// Nor the removal of settled purges: it is tried again with the next look.
    fn forget_later(&mut self, gone: BTreeSet<(u64, Option<u64>)>) {
        let again = |key: &(u64, Option<u64>)| !self.parts.purges.contains(*key);
        self.unforgotten.extend(gone.into_iter().filter(again));
        while self.unforgotten.len() > MOST_PURGES {
            self.unforgotten.pop_last();
        }
    }
}
