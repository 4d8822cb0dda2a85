//! What goes to the disk, and what waits for it: one batch is out at a time, and all that comes meanwhile goes in the next (group commit).

use crate::message::{decode, encode, BadBytes, Ballot, Body, Letter, Value, Why};
use crate::{Action, DiskWrite, OpenError, RecordKey};
use basaltgw_types::Member;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The first byte of a record's key: the member's own facts.
const META: u8 = 0;
/// The first byte of a record's key: a register.
const REGISTER: u8 = 1;

/// What a member must not forget beside its registers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Meta {
    /// Whose records these are.
    pub me: Member,
    /// Runs of the program on this folder; part of each ballot.
    pub run: u64,
    /// The latest epoch that it went by: words of earlier ones are refused for good.
    pub epoch: u64,
    /// The highest counter promised in any register since dropped: an absent register has promised as much.
    pub floor: u64,
}

/// An acceptor's register, as it is on the disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Register {
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Value)>,
    /// The epoch under which that was accepted.
    pub epoch: u64,
}

/// A batch on its way.
#[derive(Clone, Debug)]
struct Batch {
    no: u64,
    replies: Vec<Letter>,
    meta: bool,
}

/// What changed since the last batch, and the answers that wait for it.
#[derive(Clone, Debug)]
pub(crate) struct Disk {
    pub meta: Meta,
    meta_dirty: bool,
    /// True once this run's number is on the disk: before, no ballot may be named.
    pub runs: bool,
    dirty: BTreeSet<RecordKey>,
    gone: BTreeSet<RecordKey>,
    waiting: Vec<Letter>,
    out: Option<Batch>,
    /// The last batch failed: the own facts alone are not tried again before something else happens.
    failed: bool,
    batches: u64,
    pub records: u64,
}

/// What became of a batch.
pub(crate) struct Stored {
    /// The answers that may go now; after a failure they are refusals.
    pub replies: Vec<Letter>,
    /// True if the own facts were in it.
    pub meta: bool,
}

impl Disk {
    /// Reads what the disk holds, and begins a run.
    ///
    /// # Errors
    /// If a record is of another version, of another member, or not whole.
    pub fn open(
        me: &Member,
        records: Vec<(Vec<u8>, Vec<u8>)>,
    ) -> Result<(Self, BTreeMap<RecordKey, Register>), OpenError> {
        let mut registers = BTreeMap::new();
        let mut found: Option<Meta> = None;
        for (key, value) in records {
            let bad = |why: BadBytes| OpenError::Record { key: hex(&key), why: why.to_string() };
            match key.split_first() {
                Some((&META, [])) => found = Some(decode(&value).map_err(bad)?),
                Some((&REGISTER, rest)) => {
                    let name: RecordKey = decode(rest).map_err(bad)?;
                    registers.insert(name, decode(&value).map_err(bad)?);
                }
                Some(_) | None => return Err(bad(BadBytes::Form)),
            }
        }
        if found.is_none() && !registers.is_empty() {
            return Err(OpenError::NoMeta);
        }
        let mut meta = found.unwrap_or(Meta { me: me.clone(), run: 0, epoch: 0, floor: 0 });
        if meta.me != *me {
            return Err(OpenError::Foreign { found: meta.me, expected: me.clone() });
        }
        meta.run = meta.run.saturating_add(1);
        let disk = Self {
            meta,
            meta_dirty: true,
            runs: false,
            dirty: BTreeSet::new(),
            gone: BTreeSet::new(),
            waiting: Vec::new(),
            out: None,
            failed: false,
            batches: 0,
            records: 0,
        };
        Ok((disk, registers))
    }

    /// Answers that wait, in this batch and the next.
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.out.as_ref().map_or(0, |b| b.replies.len())
    }

    /// Batches so far.
    pub fn batches(&self) -> u64 {
        self.batches
    }

    /// The own facts have changed.
    pub fn touch(&mut self) {
        self.meta_dirty = true;
    }

    /// After a failure: the next occasion may try the own facts again.
    pub fn try_again(&mut self) {
        self.failed = false;
    }

    /// A register has changed, and an answer goes once it is stored.
    pub fn change(&mut self, key: RecordKey, reply: Letter) {
        self.gone.remove(&key);
        self.dirty.insert(key);
        self.waiting.push(reply);
    }

    /// An answer that says nothing of a register, but must not go before what was put before it is stored.
    pub fn after(&mut self, reply: Letter) {
        self.waiting.push(reply);
    }

    /// A register was dropped, which had promised up to that counter.
    pub fn drop(&mut self, key: RecordKey, counter: u64) {
        self.dirty.remove(&key);
        self.gone.insert(key);
        if counter > self.meta.floor {
            self.meta.floor = counter;
            self.meta_dirty = true;
        }
    }

    /// Sends the next batch out, if there is one and none is out.
    pub fn flush(&mut self, registers: impl Fn(&RecordKey) -> Option<Register>, acts: &mut Vec<Action>) {
        let alone = self.dirty.is_empty() && self.gone.is_empty() && self.waiting.is_empty();
        if self.out.is_some() || alone && (self.failed || !self.meta_dirty) {
            return;
        }
        let meta = std::mem::take(&mut self.meta_dirty);
        let facts = meta.then(|| encode(&self.meta)).flatten().map(|v| DiskWrite::Put(vec![META], v));
        let mut records: Vec<DiskWrite> = facts.into_iter().collect();
        for key in std::mem::take(&mut self.dirty) {
            let bytes = registers(&key).and_then(|r| encode(&r));
            records.extend(record_key(&key).zip(bytes).map(|(k, v)| DiskWrite::Put(k, v)));
        }
        let gone = std::mem::take(&mut self.gone);
        records.extend(gone.iter().filter_map(record_key).map(DiskWrite::Remove));
        self.batches += 1;
        self.records += records.len() as u64;
        self.out = Some(Batch { no: self.batches, replies: std::mem::take(&mut self.waiting), meta });
        acts.push(Action::Store(self.batches, records));
    }

    /// All that decides how it goes on.
    #[cfg(test)]
    pub fn digest(&self) -> String {
        let out = self.out.as_ref().map(|b| &b.replies);
        format!("{:?} {:?} {:?} {:?} {out:?}", self.meta, self.dirty, self.gone, self.waiting)
    }

    /// A batch came back. After a failure its answers become refusals: never silence.
    pub fn stored(&mut self, no: u64, ok: bool) -> Option<Stored> {
        let batch = self.out.take_if(|b| b.no == no)?;
        self.failed = !ok;
        let mut replies = batch.replies;
        if ok {
            self.runs |= batch.meta;
        } else {
            self.meta_dirty |= batch.meta;
            for reply in &mut replies {
                let ballot = match &reply.body {
                    Body::Promised(b, _) | Body::Accepted(b) => b.clone(),
                    Body::Refused(..) | Body::Listed(..) | Body::List(..) => continue,
                    Body::Prepare(_, b) | Body::Accept(_, b, ..) => b.clone(),
                };
                reply.body = Body::Refused(ballot, Why::NoDisk);
            }
            // What tells of other registers must not go before they are stored.
            replies.retain(|reply| matches!(reply.body, Body::Refused(..)));
        }
        Some(Stored { replies, meta: batch.meta })
    }
}

/// The key of a register's record.
pub(crate) fn record_key(key: &RecordKey) -> Option<Vec<u8>> {
    let mut bytes = vec![REGISTER];
    bytes.extend(encode(key)?);
    Some(bytes)
}

/// Bytes for people.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().take(40).map(|b| format!("{b:02x}")).collect()
}
