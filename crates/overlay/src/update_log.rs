//! Known updates by stream, in order. Recent updates are retained for neighbors that fetch them.

use crate::frame::BUCKETS;
use crate::router_list::{short_name, SHORT_NAME_BITS};
use crate::Kind;
use basaltgw_structures::hash::mix;
use basaltgw_types::{Ms, RouterId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::RangeInclusive;

/// Id of a stream: the updates of one kind from one incarnation of a router. Each kind is ordered and does not wait for the others.
///
/// Two bits for the kind, 30 for the hash of the router's name, 32 for its random incarnation: the numbers of updates restart with each
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct StreamId(pub u64);

/// Position of the kind in a stream id.
const KIND_SHIFT: u32 = 62;
/// Position of the router's short name in a stream id.
const ROUTER_SHIFT: u32 = 32;

impl StreamId {
    pub fn new(kind: Kind, router: &RouterId, incarnation: u32) -> Self {
        Self(
            (kind as u64) << KIND_SHIFT
                | u64::from(short_name(router)) << ROUTER_SHIFT
                | u64::from(incarnation),
        )
    }

    /// All ids of a kind.
    pub fn range_of(kind: Kind) -> RangeInclusive<Self> {
        let first = (kind as u64) << KIND_SHIFT;
        Self(first)..=Self(first | ((1 << KIND_SHIFT) - 1))
    }

    pub fn kind(self) -> Kind {
        Kind::ALL[(self.0 >> KIND_SHIFT) as usize]
    }

    /// Short form of the router's name.
    pub fn router(self) -> u32 {
        (self.0 >> ROUTER_SHIFT) as u32 & ((1 << SHORT_NAME_BITS) - 1)
    }

    pub fn incarnation(self) -> u32 {
        self.0 as u32
    }

    fn bucket(self) -> usize {
        mix(self.0, 0) as usize % BUCKETS
    }

    /// Hash of the stream with its last number.
    pub fn hash(self, last: u64) -> u64 {
        mix(self.0, mix(last, 1))
    }
}

/// Resolution of the stored times: coarse, to store them in four bytes.
const TICK_MS: Ms = 100.0;
const TICKS_PER_SECOND: u32 = 10;

#[derive(Clone, Debug)]
struct Stream {
    /// Last number up to which all updates are known or unavailable.
    last: u64,
    /// Tick of the last change.
    changed: u32,
    retained: VecDeque<Retained>,
    /// The retained updates.
    bytes: VecDeque<u8>,
    /// Offset of the first retained byte, modulo 2^32.
    base: u32,
}

/// Retained update.
#[derive(Clone, Copy, Debug)]
struct Retained {
    /// Offset of its end, modulo 2^32.
    end: u32,
    /// Tick at which it arrived.
    arrived: u32,
}

/// Known streams, with the hashes by which neighbors compare them.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateLog {
    all: BTreeMap<StreamId, Stream>,
    /// By tick of the last change.
    by_change: BTreeSet<(u32, StreamId)>,
    /// By tick of the oldest retained update.
    by_oldest: BTreeSet<(u32, StreamId)>,
    /// XOR of the hashes of all streams.
    hash: u64,
    /// XOR of the hashes of the streams of each bucket.
    buckets: Vec<u64>,
    /// Bytes of the retained updates with their overhead.
    pub bytes: usize,
    /// Injected bug: see `InjectedBug::DigestOmitsStreams`.
    pub omits_odd: bool,
}

/// Memory of a retained update besides its bytes, in bytes.
const UPDATE_OVERHEAD_BYTES: usize = 8;

/// The tick of a time.
pub(crate) fn ticks(now: Ms) -> u32 {
    (now / TICK_MS) as u32
}

impl UpdateLog {
    pub fn new() -> Self {
        Self { buckets: vec![0; BUCKETS], ..Self::default() }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn retained_count(&self) -> usize {
        self.all.values().map(|s| s.retained.len()).sum()
    }

    pub fn contains(&self, stream: StreamId) -> bool {
        self.all.contains_key(&stream)
    }

    /// Last number up to which all updates are known or unavailable.
    pub fn last(&self, stream: StreamId) -> u64 {
        self.all.get(&stream).map_or(0, |s| s.last)
    }

    /// First retained number; the next number if none is retained.
    pub fn first(&self, stream: StreamId) -> u64 {
        self.all.get(&stream).map_or(1, Stream::first)
    }

    /// First number that arrived within a span, and a lower bound of the age of the one before it, in milliseconds.
    pub fn first_within(&self, stream: StreamId, now: Ms, span: Ms) -> (u64, Ms) {
        let Some(s) = self.all.get(&stream) else {
            return (1, 0.0);
        };
        let since = ticks(now - span.min(now));
        let old = s.retained.partition_point(|update| update.arrived < since);
        // Expired updates arrived before the retained ones.
        let last = s.retained.get(old.saturating_sub(1)).map_or(s.changed, |update| update.arrived);
        (s.first() + old as u64, f64::from(ticks(now).saturating_sub(last)) * TICK_MS)
    }

    /// Whether a stream is omitted from digests, by an injected bug.
    pub fn is_omitted(&self, stream: StreamId) -> bool {
        self.omits_odd && stream.0 & 1 == 1
    }

    /// Adds a stream to the hashes, or removes it.
    fn toggle(&mut self, stream: StreamId, last: u64) {
        if self.is_omitted(stream) {
            return;
        }
        let hash = stream.hash(last);
        self.hash ^= hash;
        self.buckets[stream.bucket()] ^= hash;
    }

    /// Advances a stream to a number.
    fn advance(&mut self, stream: StreamId, last: u64, changed: u32) {
        let new = || Stream { last: 0, changed, retained: VecDeque::new(), bytes: VecDeque::new(), base: 0 };
        let is_known = self.all.contains_key(&stream);
        let s = self.all.entry(stream).or_insert_with(new);
        let (old, old_changed) = (s.last, s.changed);
        (s.last, s.changed) = (last, changed);
        self.by_change.remove(&(old_changed, stream));
        self.by_change.insert((changed, stream));
        if is_known {
            self.toggle(stream, old);
        }
        self.toggle(stream, last);
    }

    /// Appends the next update of a stream; returns its number.
    pub fn push(&mut self, now: Ms, stream: StreamId, update: &[u8]) -> u64 {
        let tick = ticks(now);
        let number = self.last(stream) + 1;
        self.advance(stream, number, tick);
        let Some(s) = self.all.get_mut(&stream) else {
            return number;
        };
        if s.retained.is_empty() {
            self.by_oldest.insert((tick, stream));
        }
        let end = s.base.wrapping_add((s.bytes.len() + update.len()) as u32);
        s.retained.push_back(Retained { end, arrived: tick });
        s.bytes.extend(update);
        self.bytes += update.len() + UPDATE_OVERHEAD_BYTES;
        number
    }

    /// Advances a stream past unavailable updates.
    pub fn skip(&mut self, now: Ms, stream: StreamId, last: u64) {
        if last <= self.last(stream) {
            return;
        }
        // The retained updates precede the gap, and a stream retains one contiguous span.
        while self.drop_oldest_of(stream) {}
        self.advance(stream, last, ticks(now));
    }

    /// Drops the oldest retained update of a stream; false if there is none.
    fn drop_oldest_of(&mut self, stream: StreamId) -> bool {
        let Some(s) = self.all.get_mut(&stream) else {
            return false;
        };
        let Some(Retained { end, arrived }) = s.retained.pop_front() else {
            return false;
        };
        let len = end.wrapping_sub(s.base) as usize;
        s.bytes.drain(..len.min(s.bytes.len()));
        s.base = end;
        self.bytes = self.bytes.saturating_sub(len + UPDATE_OVERHEAD_BYTES);
        self.by_oldest.remove(&(arrived, stream));
        match s.retained.front() {
            Some(next) => {
                self.by_oldest.insert((next.arrived, stream));
            }
            None => s.bytes.shrink_to_fit(),
        }
        true
    }

    /// Drops updates older than `retention` milliseconds, and the oldest ones beyond `max_bytes`; returns the number of the latter.
    pub fn trim(&mut self, now: Ms, retention: Ms, max_bytes: usize) -> u64 {
        let cutoff = ticks(now - retention.min(now));
        let mut dropped_early = 0;
        while let Some((arrived, stream)) = self.by_oldest.first().copied() {
            let is_expired = arrived < cutoff;
            if !is_expired && self.bytes <= max_bytes {
                break;
            }
            dropped_early += u64::from(!is_expired);
            self.drop_oldest_of(stream);
        }
        dropped_early
    }

    /// Forgets and returns the streams without a change for `span` milliseconds, except those that `keep` selects.
    pub fn forget(&mut self, now: Ms, span: Ms, keep: impl Fn(StreamId) -> bool) -> Vec<StreamId> {
        let cutoff = ticks(now - span.min(now));
        let old = self.by_change.iter().take_while(|(changed, _)| *changed < cutoff);
        let old: Vec<StreamId> = old.map(|(_, stream)| *stream).filter(|s| !keep(*s)).collect();
        for stream in &old {
            while self.drop_oldest_of(*stream) {}
            if let Some(s) = self.all.remove(stream) {
                self.by_change.remove(&(s.changed, *stream));
                self.toggle(*stream, s.last);
            }
        }
        old
    }

    /// Retained updates of a stream from a number on.
    pub fn updates_from(&self, stream: StreamId, from: u64) -> impl Iterator<Item = Vec<u8>> + '_ {
        let s = self.all.get(&stream);
        let skip = s.map_or(0, |s| from.saturating_sub(s.first()) as usize);
        s.into_iter().flat_map(move |s| (skip..s.retained.len()).map(move |at| s.update(at)))
    }

    /// At most `max` streams that changed within a span, the latest first, with their last numbers.
    pub fn recent(&self, now: Ms, span: Ms, max: usize) -> Vec<(StreamId, u64)> {
        let since = ticks(now - span.min(now));
        let recent = self.by_change.iter().rev().take_while(|(changed, _)| *changed >= since);
        let recent = recent.filter(|(_, stream)| !self.is_omitted(*stream)).take(max);
        recent.map(|(_, stream)| (*stream, self.last(*stream))).collect()
    }

    /// Hash and number of all streams except the named ones.
    pub fn hash_without(&self, named: &[(StreamId, u64)]) -> (u64, u32) {
        let known: BTreeSet<StreamId> = named.iter().map(|(s, _)| *s).filter(|s| self.contains(*s)).collect();
        let hash = known.iter().fold(self.hash, |hash, s| hash ^ s.hash(self.last(*s)));
        (hash, (self.all.len() - known.len()) as u32)
    }

    /// Hashes of the buckets of all streams except the named ones.
    pub fn buckets_without(&self, named: &[(StreamId, u64)]) -> Vec<u32> {
        let known: BTreeSet<StreamId> = named.iter().map(|(s, _)| *s).filter(|s| self.contains(*s)).collect();
        let mut buckets = self.buckets.clone();
        known.iter().for_each(|s| buckets[s.bucket()] ^= s.hash(self.last(*s)));
        buckets.into_iter().map(|hash| (hash ^ (hash >> 32)) as u32).collect()
    }

    /// At most `max` streams of the buckets with other hashes, beginning with bucket `start`: last numbers, and seconds since the last change.
    pub fn differing(
        &self,
        now: Ms,
        named: &[(StreamId, u64)],
        other_hashes: &[u32],
        start: usize,
        max: usize,
    ) -> Vec<(StreamId, u64, u32)> {
        let own_hashes = self.buckets_without(named);
        let differ: BTreeSet<usize> = (0..BUCKETS).filter(|b| own_hashes[*b] != other_hashes[*b]).collect();
        if differ.is_empty() {
            return Vec::new();
        }
        let in_bucket =
            |b: usize| self.all.iter().filter(move |(id, _)| id.bucket() == b && !self.is_omitted(**id));
        let order = (0..BUCKETS).map(|b| (b + start) % BUCKETS).filter(|b| differ.contains(b));
        let idle_seconds = |s: &Stream| ticks(now).saturating_sub(s.changed) / TICKS_PER_SECOND;
        order.flat_map(in_bucket).take(max).map(|(id, s)| (*id, s.last, idle_seconds(s))).collect()
    }
}

impl Stream {
    fn first(&self) -> u64 {
        self.last + 1 - self.retained.len() as u64
    }

    fn update(&self, at: usize) -> Vec<u8> {
        let previous = at.checked_sub(1).and_then(|previous| self.retained.get(previous));
        let start = previous.map_or(self.base, |update| update.end);
        let end = self.retained.get(at).map_or(start, |update| update.end);
        let (from, to) = (start.wrapping_sub(self.base) as usize, end.wrapping_sub(self.base) as usize);
        self.bytes.range(from..to).copied().collect()
    }
}
