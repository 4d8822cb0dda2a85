//! The acceptor: what this replica has promised and accepted, for each register.
//!
//! It decides whether a prepare or accept request is granted. Inputs: the request's ballot and epoch, the register's promise, the limits of
//! the settings. A promise or accepted value is durable before its reply is sent; rejections are sent at once, since they commit to nothing.

use crate::ballot::Ballot;
use crate::durable_log::{DurableLog, OpenedLog, Register};
use crate::message::{AcceptedValue, Body, Envelope, ListReply, RegisterSummary, RejectReason};
use crate::partition::{is_replica, replicas_of, Partition};
use crate::value::Value;
use crate::{Action, DiskRecord, InjectedBug, OpenError, Record, RecordKey, Settings};
use basaltgw_types::{Member, Ms, ShardMap};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// The estimated memory of a register without its record's payload.
const REGISTER_OVERHEAD_BYTES: usize = 320;

/// A register with what only this run knows of it.
#[derive(Clone, Debug)]
pub(crate) struct StoredRegister {
    pub register: Register,
    /// Since when the register has its present record, in monotonic milliseconds; at the earliest the start of this run.
    pub record_since: Ms,
    bytes: usize,
}

impl StoredRegister {
    /// The accepted record.
    pub fn record(&self) -> Option<&Record> {
        self.register.accepted.as_ref().map(|accepted| &accepted.value.record)
    }
}

/// The registers of this replica.
#[derive(Clone, Debug)]
pub(crate) struct Acceptor {
    pub me: Member,
    pub map: Option<Arc<ShardMap>>,
    pub log: DurableLog,
    registers: BTreeMap<RecordKey, StoredRegister>,
    bytes: usize,
}

/// What an acceptor checks a request against in addition to its own state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptorRules<'a> {
    pub settings: &'a Settings,
    pub injected_bug: InjectedBug,
}

impl Acceptor {
    /// Restores the registers from the disk.
    ///
    /// # Errors
    /// As [`DurableLog::open`].
    pub fn new<R: Into<DiskRecord>>(
        me: Member,
        records: impl IntoIterator<Item = R>,
    ) -> Result<Self, OpenError> {
        let OpenedLog { log, registers: found } = DurableLog::open(&me, records)?;
        let mut acceptor = Self { me, map: None, log, registers: BTreeMap::new(), bytes: 0 };
        for (key, register) in found {
            let bytes = register_bytes(&register);
            acceptor.bytes += bytes;
            acceptor.registers.insert(key, StoredRegister { register, record_since: 0.0, bytes });
        }
        Ok(acceptor)
    }

    /// Starts the run: the ages of restored records count from now.
    pub fn start(&mut self, now: Ms) {
        self.registers.values_mut().for_each(|stored| stored.record_since = now);
    }

    /// The epoch of the shard map; 0 before the first map.
    pub fn epoch(&self) -> u64 {
        self.map.as_ref().map_or(0, |m| m.epoch)
    }

    /// The registers by key.
    pub fn registers(&self) -> &BTreeMap<RecordKey, StoredRegister> {
        &self.registers
    }

    /// The record that this replica has accepted.
    pub fn record(&self, key: &RecordKey) -> Option<&Record> {
        self.registers.get(key)?.record()
    }

    /// The estimated memory of the registers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Handles a request. Returns a rejection to be sent at once; other replies wait in the durable log.
    pub fn handle(
        &mut self,
        now: Ms,
        from: &Member,
        request: Envelope,
        rules: AcceptorRules<'_>,
    ) -> Option<Envelope> {
        let (request_id, epoch) = (request.request_id, self.epoch());
        let reply = |body| Envelope { to: from.clone(), epoch, request_id, body };
        match request.body {
            Body::Prepare { key, ballot } => {
                if let Some(reason) = self.rejection(&key, &ballot, request.epoch, rules) {
                    return Some(reply(Body::Rejected { ballot, reason }));
                }
                let body = self.prepare(now, key, ballot);
                self.log.write_register(key, reply(body));
            }
            Body::Accept { key, ballot, value, next } => {
                if let Some(reason) = self.rejection(&key, &ballot, request.epoch, rules) {
                    return Some(reply(Body::Rejected { ballot, reason }));
                }
                let body = self.accept(now, key, ballot, value, next);
                self.log.write_register(key, reply(body));
            }
            Body::ListRequest { partition, after, limit } => {
                // Only a replica of the requester's epoch may reply: from then on it rejects the messages of earlier epochs.
                if request.epoch == epoch && epoch > 0 {
                    let limit = (limit as usize).min(rules.settings.sync_batch);
                    let list = self.list(partition, after, limit);
                    self.log.reply_after_writes(reply(Body::ListReply(list)));
                }
            }
            Body::Promised { .. } | Body::Accepted { .. } | Body::Rejected { .. } | Body::ListReply(_) => {}
        }
        None
    }

    /// Why a prepare or accept request is rejected, if it is.
    fn rejection(
        &self,
        key: &RecordKey,
        ballot: &Ballot,
        request_epoch: u64,
        rules: AcceptorRules<'_>,
    ) -> Option<RejectReason> {
        match request_epoch.cmp(&self.epoch()) {
            Ordering::Less => Some(RejectReason::StaleEpoch),
            Ordering::Greater => Some(RejectReason::FutureEpoch),
            Ordering::Equal if !self.replicates(key) => Some(RejectReason::NotReplica),
            Ordering::Equal if !self.has_capacity(key, rules.settings) => {
                Some(RejectReason::ResourceExhausted)
            }
            Ordering::Equal => self.ballot_rejection(key, ballot, rules.injected_bug),
        }
    }

    /// True if this member replicates the register under its map.
    fn replicates(&self, key: &RecordKey) -> bool {
        let replicas = self.map.as_deref().and_then(|map| replicas_of(map, key));
        replicas.is_some_and(|replicas| is_replica(replicas, &self.me))
    }

    /// True if the limits admit one more reply, and the register if it is new.
    fn has_capacity(&self, key: &RecordKey, settings: &Settings) -> bool {
        let admits_register = self.registers.contains_key(key)
            || self.registers.len() < settings.max_registers && self.bytes < settings.max_bytes;
        self.log.pending_replies() < settings.max_pending_replies && admits_register
    }

    /// Rejects a ballot below the promised one. An absent register counts as having promised the floor of those removed.
    fn ballot_rejection(&self, key: &RecordKey, ballot: &Ballot, bug: InjectedBug) -> Option<RejectReason> {
        if bug == InjectedBug::ForgetPromise {
            return None;
        }
        let floor = self.log.meta.removed_ballot_floor;
        let promised = match self.registers.get(key) {
            Some(stored) if *ballot >= stored.register.promised => return None,
            Some(stored) => stored.register.promised.counter,
            None if ballot.counter > floor => return None,
            None => floor,
        };
        Some(RejectReason::BallotTooOld(promised))
    }

    fn prepare(&mut self, now: Ms, key: RecordKey, ballot: Ballot) -> Body {
        if !self.registers.contains_key(&key) {
            self.bytes += REGISTER_OVERHEAD_BYTES;
        }
        let stored = self.registers.entry(key).or_insert_with(|| StoredRegister {
            register: Register { promised: ballot.clone(), accepted: None, epoch: 0 },
            record_since: now,
            bytes: REGISTER_OVERHEAD_BYTES,
        });
        stored.register.promised = ballot.clone();
        Body::Promised { ballot, accepted: stored.register.accepted.clone() }
    }

    fn accept(
        &mut self,
        now: Ms,
        key: RecordKey,
        ballot: Ballot,
        value: Value,
        next: Option<Ballot>,
    ) -> Body {
        let unchanged = self.record(&key) == Some(&value.record);
        let before = self.registers.get(&key);
        let record_since = before.filter(|_| unchanged).map_or(now, |b| b.record_since);
        let bytes_before = before.map_or(0, |b| b.bytes);
        let promised = next.filter(|n| *n > ballot).unwrap_or_else(|| ballot.clone());
        let accepted = Some(AcceptedValue { ballot: ballot.clone(), value });
        let register = Register { promised, accepted, epoch: self.epoch() };
        let bytes = register_bytes(&register);
        self.bytes = self.bytes + bytes - bytes_before;
        self.registers.insert(key, StoredRegister { register, record_since, bytes });
        Body::Accepted { ballot }
    }

    /// Removes a register. The floor of removed ballots takes the place of its promise.
    pub fn remove(&mut self, key: &RecordKey) {
        if let Some(stored) = self.registers.remove(key) {
            self.bytes -= stored.bytes;
            self.log.remove_register(*key, stored.register.promised.counter);
        }
    }

    /// Starts the next batch, if one is due.
    pub fn flush(&mut self, actions: &mut Vec<Action>) {
        let registers = &self.registers;
        self.log.flush(|key| registers.get(key).map(|stored| stored.register.clone()), actions);
    }

    /// Lists the registers of a partition, in the order of their keys, after one key.
    fn list(&self, partition: Partition, after: Option<RecordKey>, limit: usize) -> ListReply {
        let Some(map) = self.map.as_deref() else {
            return ListReply { partition, after, registers: Vec::new(), has_more: false };
        };
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let registers = self.registers.range((start, Bound::Unbounded));
        let mut listed = registers.filter(|(key, _)| Partition::of(map, key) == Some(partition));
        let summary = |(key, stored): (&RecordKey, &StoredRegister)| RegisterSummary {
            key: *key,
            accepted: stored.register.accepted.as_ref().map(|a| a.ballot.clone()),
        };
        let registers = listed.by_ref().take(limit).map(summary).collect();
        ListReply { partition, after, registers, has_more: listed.next().is_some() }
    }
}

/// The estimated memory of a register.
fn register_bytes(register: &Register) -> usize {
    let payload = register.accepted.as_ref().map_or(0, |a| a.value.record.payload_bytes());
    REGISTER_OVERHEAD_BYTES + payload
}
