//! A keeper's side: what it has promised and accepted, for each register. Every answer waits for the disk.

use crate::disk::{Disk, Register};
use crate::message::{Ballot, Body, Letter, Listed, Place, Value, Why};
use crate::{Action, InjectedBug, Kind, OpenError, Record, RecordKey, Settings};
use basaltgw_structures::hash::mix;
use basaltgw_types::{Member, Ms, ReplicaSet, Shard, ShardMap};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// What a register takes beside its hold's own bytes, about.
const REGISTER_BYTES: usize = 320;

/// A register with what only this run knows of it.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub register: Register,
    /// Since when what it holds is held, on this clock; after a restart, since that.
    pub since: Ms,
    bytes: usize,
}

/// The registers of this keeper.
#[derive(Clone, Debug)]
pub(crate) struct Acceptor {
    pub me: Member,
    pub map: Option<Arc<ShardMap>>,
    pub disk: Disk,
    registers: BTreeMap<RecordKey, Kept>,
    bytes: usize,
}

/// Where a hold is kept under a map.
pub(crate) fn place(map: &ShardMap, key: &RecordKey) -> Option<Place> {
    if key.kind == Kind::Table {
        return Some(Place::Root);
    }
    let shards = u64::try_from(map.shards.len()).ok().filter(|n| *n > 0)?;
    let low = mix(key.name as u64, key.kind as u64);
    u16::try_from(mix((key.name >> 64) as u64, low) % shards).ok().map(|s| Place::Shard(Shard(s)))
}

/// Who keeps a place.
pub(crate) fn keepers(map: &ShardMap, place: Place) -> Option<&ReplicaSet> {
    match place {
        Place::Root => Some(&map.root),
        Place::Shard(Shard(s)) => map.shards.get(usize::from(s)),
    }
}

/// True if a member is among the keepers.
pub(crate) fn among(keepers: &ReplicaSet, member: &Member) -> bool {
    keepers.groups.iter().any(|g| g.members.contains(member))
}

impl Acceptor {
    /// Takes up what the disk holds.
    ///
    /// # Errors
    /// As [`Disk::open`].
    pub fn new(me: Member, records: Vec<(Vec<u8>, Vec<u8>)>) -> Result<Self, OpenError> {
        let (disk, found) = Disk::open(&me, records)?;
        let mut it = Self { me, map: None, disk, registers: BTreeMap::new(), bytes: 0 };
        for (key, register) in found {
            let bytes = weight(&register);
            it.bytes += bytes;
            it.registers.insert(key, Kept { register, since: 0.0, bytes });
        }
        Ok(it)
    }

    /// The run begins: what the disk held is held since now, as far as this clock can tell.
    pub fn begin(&mut self, now: Ms) {
        self.registers.values_mut().for_each(|kept| kept.since = now);
    }

    /// The epoch that it goes by; 0 before the first map.
    pub fn epoch(&self) -> u64 {
        self.map.as_ref().map_or(0, |m| m.epoch)
    }

    /// Registers, by name.
    pub fn registers(&self) -> &BTreeMap<RecordKey, Kept> {
        &self.registers
    }

    /// What it holds there itself.
    pub fn hold(&self, key: &RecordKey) -> Option<&Record> {
        self.registers.get(key)?.register.accepted.as_ref().map(|(_, v)| &v.hold)
    }

    /// Bytes of registers, by estimate.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Answers a word. The answer waits for the disk, except for a refusal, which says nothing that could be lost.
    pub fn hear(
        &mut self,
        now: Ms,
        from: &Member,
        letter: Letter,
        set: &Settings,
        how: InjectedBug,
    ) -> Option<Letter> {
        let (round, epoch) = (letter.round, self.epoch());
        let answer = |body| Letter { to: from.clone(), epoch, round, body };
        let (key, ballot) = match &letter.body {
            Body::Prepare(key, ballot) | Body::Accept(key, ballot, ..) => (*key, ballot.clone()),
            Body::List(place, after, most) => {
                // Only who goes by the asker's epoch may tell: from then on it refuses the words of earlier ones.
                if letter.epoch == epoch && epoch > 0 {
                    let most = (*most as usize).min(set.sync_batch);
                    let (keys, more) = self.list(*place, *after, most);
                    self.disk.after(answer(Body::Listed(*place, *after, keys, more)));
                }
                return None;
            }
            Body::Promised(..) | Body::Accepted(_) | Body::Refused(..) | Body::Listed(..) => return None,
        };
        let known = self.registers.contains_key(&key);
        let why = match letter.epoch.cmp(&epoch) {
            std::cmp::Ordering::Less => Some(Why::OldTable),
            std::cmp::Ordering::Greater => Some(Why::NotYet),
            std::cmp::Ordering::Equal if !self.keeps(&key) => Some(Why::NoKeeper),
            std::cmp::Ordering::Equal if self.disk.waiting() >= set.max_pending_replies => Some(Why::Full),
            std::cmp::Ordering::Equal if known => None,
            std::cmp::Ordering::Equal => {
                let room = self.registers.len() < set.max_registers && self.bytes < set.max_bytes;
                (!room).then_some(Why::Full)
            }
        };
        let why = why.or_else(|| self.outvoted(&key, &ballot, how));
        if let Some(why) = why {
            return Some(answer(Body::Refused(ballot, why)));
        }
        let body = match letter.body {
            Body::Prepare(..) => self.prepare(now, key, ballot),
            Body::Accept(_, _, value, next) => self.accept(now, key, ballot, value, next),
            Body::List(..) | Body::Promised(..) | Body::Accepted(_) => return None,
            Body::Refused(..) | Body::Listed(..) => return None,
        };
        self.disk.change(key, answer(body));
        None
    }

    /// True if this member keeps that hold under its map.
    fn keeps(&self, key: &RecordKey) -> bool {
        let map = self.map.as_deref();
        let found = map.and_then(|m| place(m, key).and_then(|p| keepers(m, p)));
        found.is_some_and(|k| among(k, &self.me))
    }

    /// Why a ballot comes too late, if it does. A register that was dropped has promised up to the floor.
    fn outvoted(&self, key: &RecordKey, ballot: &Ballot, how: InjectedBug) -> Option<Why> {
        if how == InjectedBug::VoteTakenBack {
            return None;
        }
        let promised = match self.registers.get(key) {
            Some(kept) if *ballot >= kept.register.promised => return None,
            Some(kept) => kept.register.promised.counter,
            None if ballot.counter > self.disk.meta.floor => return None,
            None => self.disk.meta.floor,
        };
        Some(Why::Outvoted(promised))
    }

    fn prepare(&mut self, now: Ms, key: RecordKey, ballot: Ballot) -> Body {
        let fresh = || Kept {
            register: Register { promised: ballot.clone(), accepted: None, epoch: 0 },
            since: now,
            bytes: REGISTER_BYTES,
        };
        if !self.registers.contains_key(&key) {
            self.bytes += REGISTER_BYTES;
        }
        let kept = self.registers.entry(key).or_insert_with(fresh);
        kept.register.promised = ballot.clone();
        Body::Promised(ballot, kept.register.accepted.clone())
    }

    fn accept(
        &mut self,
        now: Ms,
        key: RecordKey,
        ballot: Ballot,
        value: Value,
        next: Option<Ballot>,
    ) -> Body {
        let moved = self.hold(&key) != Some(&value.hold);
        let before = self.registers.get(&key).map(|k| (k.since, k.bytes));
        let promised = next.filter(|n| *n > ballot).unwrap_or_else(|| ballot.clone());
        let register = Register { promised, accepted: Some((ballot.clone(), value)), epoch: self.epoch() };
        let bytes = weight(&register);
        self.bytes = self.bytes + bytes - before.map_or(0, |b| b.1);
        let since = before.filter(|_| !moved).map_or(now, |b| b.0);
        self.registers.insert(key, Kept { register, since, bytes });
        Body::Accepted(ballot)
    }

    /// Forgets a register; what it promised is kept as the floor.
    pub fn drop(&mut self, key: &RecordKey) {
        if let Some(kept) = self.registers.remove(key) {
            self.bytes -= kept.bytes;
            self.disk.drop(*key, kept.register.promised.counter);
        }
    }

    /// Sends the next batch to the disk, if one is due.
    pub fn flush(&mut self, acts: &mut Vec<Action>) {
        let registers = &self.registers;
        self.disk.flush(|key| registers.get(key).map(|kept| kept.register.clone()), acts);
    }

    /// The registers of a place, in order, after one.
    fn list(&self, of: Place, after: Option<RecordKey>, most: usize) -> (Vec<Listed>, bool) {
        let Some(map) = self.map.as_deref() else { return (Vec::new(), false) };
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let there = self.registers.range((from, Bound::Unbounded));
        let mut there = there.filter(|(key, _)| place(map, key) == Some(of));
        let ballot = |kept: &Kept| kept.register.accepted.as_ref().map(|a| a.0.clone());
        let keys = there.by_ref().take(most).map(|(key, kept)| (*key, ballot(kept))).collect();
        (keys, there.next().is_some())
    }
}

/// About how many bytes a register takes.
fn weight(register: &Register) -> usize {
    let own = register.accepted.as_ref().map_or(0, |(_, value)| hold_bytes(&value.hold));
    REGISTER_BYTES + own
}

/// The bytes of a hold that have no bound of their own.
pub(crate) fn hold_bytes(hold: &Record) -> usize {
    match hold {
        Record::Completed(crate::Outcome::Served(bytes)) => bytes.len(),
        Record::Completed(crate::Outcome::ServedBodyOmitted | crate::Outcome::Failed) => 0,
        Record::Ticket { server, .. } => server.len(),
        Record::Continuation { version, missing, .. } => version.len() + 8 * missing.len(),
        Record::Table { body, .. } => body.len(),
        Record::Leased { .. }
        | Record::Released { .. }
        | Record::OutcomeUnknown
        | Record::Purged { .. }
        | Record::Tombstone => 0,
    }
}
