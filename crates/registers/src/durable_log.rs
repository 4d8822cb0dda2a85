//! The durable log of batches: what is written to the disk, and the replies that are sent once it is durable.
//!
//! One batch is in flight at a time; everything that changes meanwhile goes into the next one (group commit). A reply is sent only after the
//! batch that contains its register is durable. If a batch fails, its replies become rejections, so that no requester waits until its timeout.

use crate::ballot::Ballot;
use crate::encoding::{decode, encode, DecodeError};
use crate::message::{AcceptedValue, Body, Envelope, RejectReason};
use crate::{Action, DiskRecord, DiskWrite, OpenError, RecordKey};
use basaltgw_types::Member;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The first byte of a stored record's key: the replica's metadata.
const META: u8 = 0;
/// The first byte of a stored record's key: a register.
const REGISTER: u8 = 1;
/// Bytes of a key that an error message shows.
const MAX_HEX_BYTES: usize = 40;

/// What a replica stores beside its registers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaMeta {
    /// The member that the records belong to.
    pub me: Member,
    /// Process starts with this disk; part of each ballot.
    pub run: u64,
    /// The latest epoch of a shard map; messages of earlier epochs are always rejected.
    pub epoch: u64,
    /// The highest counter promised in any register that was removed; an absent register counts as having promised it.
    pub removed_ballot_floor: u64,
}

/// An acceptor's register, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Register {
    pub promised: Ballot,
    pub accepted: Option<AcceptedValue>,
    /// The epoch under which the value was accepted.
    pub epoch: u64,
}

/// A batch that is being written.
#[derive(Clone, Debug)]
struct Batch {
    number: u64,
    replies: Vec<Envelope>,
    has_meta: bool,
}

/// Changes since the last batch, and the replies that wait for them.
#[derive(Clone, Debug)]
pub(crate) struct DurableLog {
    pub meta: ReplicaMeta,
    meta_dirty: bool,
    dirty: BTreeSet<RecordKey>,
    removed: BTreeSet<RecordKey>,
    waiting_replies: Vec<Envelope>,
    in_flight: Option<Batch>,
    /// The last batch failed: metadata alone is not written again before [`DurableLog::allow_retry`].
    last_batch_failed: bool,
    batch_count: u64,
    record_count: u64,
}

/// A log with the registers that its disk contains.
pub(crate) struct OpenedLog {
    pub log: DurableLog,
    pub registers: BTreeMap<RecordKey, Register>,
}

/// A batch that is durable, or has failed.
pub(crate) struct FinishedBatch {
    /// The replies that may be sent now; after a failure they are rejections.
    pub replies: Vec<Envelope>,
    /// True if the batch contained the metadata.
    pub has_meta: bool,
}

impl DurableLog {
    /// Reads the stored records, and starts a run.
    ///
    /// # Errors
    /// If a record is malformed, of another version, or of another member.
    pub fn open<R: Into<DiskRecord>>(
        me: &Member,
        records: impl IntoIterator<Item = R>,
    ) -> Result<OpenedLog, OpenError> {
        let mut registers = BTreeMap::new();
        let mut found: Option<ReplicaMeta> = None;
        for record in records {
            let DiskRecord { key, value } = record.into();
            let malformed = |error: DecodeError| OpenError::Record { key: hex(&key), error };
            match key.split_first() {
                Some((&META, [])) => found = Some(decode(&value).map_err(malformed)?),
                Some((&REGISTER, rest)) => {
                    let name: RecordKey = decode(rest).map_err(malformed)?;
                    registers.insert(name, decode(&value).map_err(malformed)?);
                }
                Some(_) | None => return Err(malformed(DecodeError::Malformed)),
            }
        }
        if found.is_none() && !registers.is_empty() {
            return Err(OpenError::NoMeta);
        }
        let fresh = ReplicaMeta { me: me.clone(), run: 0, epoch: 0, removed_ballot_floor: 0 };
        let mut meta = found.unwrap_or(fresh);
        if meta.me != *me {
            return Err(OpenError::Foreign { found: meta.me, expected: me.clone() });
        }
        meta.run = meta.run.saturating_add(1);
        Ok(OpenedLog { log: Self::new(meta), registers })
    }

    /// An empty log, whose metadata is to be written.
    fn new(meta: ReplicaMeta) -> Self {
        Self {
            meta,
            meta_dirty: true,
            dirty: BTreeSet::new(),
            removed: BTreeSet::new(),
            waiting_replies: Vec::new(),
            in_flight: None,
            last_batch_failed: false,
            batch_count: 0,
            record_count: 0,
        }
    }

    /// Replies that wait for the batch in flight or the next one.
    pub fn pending_replies(&self) -> usize {
        self.waiting_replies.len() + self.in_flight.as_ref().map_or(0, |b| b.replies.len())
    }

    /// Batches so far.
    pub fn batch_count(&self) -> u64 {
        self.batch_count
    }

    /// Records written or removed by the batches so far.
    pub fn record_count(&self) -> u64 {
        self.record_count
    }

    /// Raises the epoch in the metadata.
    pub fn raise_epoch(&mut self, epoch: u64) {
        if epoch > self.meta.epoch {
            self.meta.epoch = epoch;
            self.meta_dirty = true;
        }
    }

    /// After a failed batch, allows the metadata to be written again.
    pub fn allow_retry(&mut self) {
        self.last_batch_failed = false;
    }

    /// Writes a changed register with the next batch, and sends the reply once it is durable.
    pub fn write_register(&mut self, key: RecordKey, reply: Envelope) {
        self.removed.remove(&key);
        self.dirty.insert(key);
        self.waiting_replies.push(reply);
    }

    /// Sends a reply that describes other registers once all earlier changes are durable.
    pub fn reply_after_writes(&mut self, reply: Envelope) {
        self.waiting_replies.push(reply);
    }

    /// Removes a register that had promised up to this counter.
    pub fn remove_register(&mut self, key: RecordKey, promised_counter: u64) {
        self.dirty.remove(&key);
        self.removed.insert(key);
        if promised_counter > self.meta.removed_ballot_floor {
            self.meta.removed_ballot_floor = promised_counter;
            self.meta_dirty = true;
        }
    }

    /// Starts the next batch, if there is something to write and no batch is in flight.
    pub fn flush(&mut self, registers: impl Fn(&RecordKey) -> Option<Register>, actions: &mut Vec<Action>) {
        let only_meta = self.dirty.is_empty() && self.removed.is_empty() && self.waiting_replies.is_empty();
        if self.in_flight.is_some() || only_meta && (self.last_batch_failed || !self.meta_dirty) {
            return;
        }
        let has_meta = std::mem::take(&mut self.meta_dirty);
        let meta = has_meta.then(|| encode(&self.meta)).flatten();
        let mut writes: Vec<DiskWrite> = meta.map(|v| DiskWrite::Put(vec![META], v)).into_iter().collect();
        for key in std::mem::take(&mut self.dirty) {
            let bytes = registers(&key).and_then(|r| encode(&r));
            writes.extend(register_key(&key).zip(bytes).map(|(k, v)| DiskWrite::Put(k, v)));
        }
        let removed = std::mem::take(&mut self.removed);
        writes.extend(removed.iter().filter_map(register_key).map(DiskWrite::Remove));
        self.batch_count += 1;
        self.record_count += writes.len() as u64;
        let replies = std::mem::take(&mut self.waiting_replies);
        self.in_flight = Some(Batch { number: self.batch_count, replies, has_meta });
        actions.push(Action::Store(self.batch_count, writes));
    }

    /// Finishes the batch in flight; `None` if it has another number.
    pub fn finish_batch(&mut self, number: u64, durable: bool) -> Option<FinishedBatch> {
        let batch = self.in_flight.take_if(|b| b.number == number)?;
        self.last_batch_failed = !durable;
        self.meta_dirty |= batch.has_meta && !durable;
        let replies = match durable {
            true => batch.replies,
            false => batch.replies.into_iter().filter_map(rejection).collect(),
        };
        Some(FinishedBatch { replies, has_meta: batch.has_meta })
    }

    /// All state that influences later behaviour.
    #[cfg(test)]
    pub fn digest(&self) -> String {
        let in_flight = self.in_flight.as_ref().map(|b| &b.replies);
        format!(
            "{:?} {:?} {:?} {:?} {in_flight:?}",
            self.meta, self.dirty, self.removed, self.waiting_replies
        )
    }
}

/// The reply after a failed batch. Lists are dropped: they describe registers that are not durable.
fn rejection(reply: Envelope) -> Option<Envelope> {
    let reason = RejectReason::StorageFailed;
    let body = match reply.body {
        Body::Promised { ballot, .. }
        | Body::Accepted { ballot }
        | Body::Prepare { ballot, .. }
        | Body::Accept { ballot, .. } => Body::Rejected { ballot, reason },
        Body::Rejected { .. } => reply.body,
        Body::ListReply(_) | Body::ListRequest { .. } => return None,
    };
    Some(Envelope { body, ..reply })
}

/// The key under which a register is stored.
pub(crate) fn register_key(key: &RecordKey) -> Option<Vec<u8>> {
    let mut bytes = vec![REGISTER];
    bytes.extend(encode(key)?);
    Some(bytes)
}

/// The first bytes of a key in hex.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().take(MAX_HEX_BYTES).map(|b| format!("{b:02x}")).collect()
}
