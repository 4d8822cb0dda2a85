//! Which words are had: by stream, in order. The words of the last while are kept for those who fetch.

use crate::list::short;
use crate::wire::BUCKETS;
use crate::Kind;
use basaltgw_structures::hash::mix;
use basaltgw_types::{Ms, RouterId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One kind of words of one life of a router. Kinds have streams of their own, so that none waits for another and each is in order.
///
/// Two bits of the kind, 30 of the router's name, 32 drawn at its start: a router that starts anew numbers anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct StreamId(pub u64);

impl StreamId {
    pub fn new(kind: Kind, router: &RouterId, life: u32) -> Self {
        Self((kind as u64) << 62 | u64::from(short(router)) << 32 | u64::from(life))
    }

    pub fn kind(self) -> Kind {
        Kind::ALL[(self.0 >> 62) as usize]
    }

    /// The short form of the router's name.
    pub fn router(self) -> u32 {
        (self.0 >> 32) as u32 & 0x3fff_ffff
    }

    pub fn life(self) -> u32 {
        self.0 as u32
    }

    fn bucket(self) -> usize {
        mix(self.0, 0) as usize % BUCKETS
    }

    pub fn hash(self, upto: u64) -> u64 {
        mix(self.0, mix(upto, 1))
    }
}

/// Tenths of a second are near enough for when a word goes, and small.
const TICK_MS: Ms = 100.0;

#[derive(Clone, Debug)]
struct Stream {
    /// All up to here is had, or was gone.
    upto: u64,
    changed: u32,
    /// Of each kept word its end in `bytes`, counted from the stream's start, and when it came.
    kept: VecDeque<(u32, u32)>,
    bytes: VecDeque<u8>,
    /// Where `bytes` starts.
    base: u32,
}

/// Streams by which a router and its neighbours compare.
#[derive(Clone, Debug, Default)]
pub(crate) struct Streams {
    all: BTreeMap<StreamId, Stream>,
    /// By when they changed.
    by_change: BTreeSet<(u32, StreamId)>,
    /// By when their oldest kept word came.
    by_oldest: BTreeSet<(u32, StreamId)>,
    hash: u64,
    buckets: Vec<u64>,
    pub bytes: usize,
    /// Broken on purpose: see [`crate::broken::Broken::DigestSkips`].
    pub skips_odd: bool,
}

/// What a kept word costs besides its bytes.
const WORD_COST: usize = 8;

pub(crate) fn ticks(now: Ms) -> u32 {
    (now / TICK_MS) as u32
}

impl Streams {
    pub fn new() -> Self {
        Self { buckets: vec![0; BUCKETS], ..Self::default() }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn words(&self) -> usize {
        self.all.values().map(|s| s.kept.len()).sum()
    }

    pub fn known(&self, stream: StreamId) -> bool {
        self.all.contains_key(&stream)
    }

    /// Up to which number all is had, or gone.
    pub fn upto(&self, stream: StreamId) -> u64 {
        self.all.get(&stream).map_or(0, |s| s.upto)
    }

    /// The first number that is kept; the next one if none is.
    pub fn first(&self, stream: StreamId) -> u64 {
        self.all.get(&stream).map_or(1, Stream::first)
    }

    /// From which number on kept words came within a span, and how long ago the one before that came, or longer, ms.
    pub fn within(&self, stream: StreamId, now: Ms, span: Ms) -> (u64, Ms) {
        let Some(s) = self.all.get(&stream) else {
            return (1, 0.0);
        };
        let since = ticks(now - span.min(now));
        let old = s.kept.partition_point(|(_, came)| *came < since);
        // Of those that are not kept it is known that they came before those that are.
        let last = s.kept.get(old.saturating_sub(1)).map_or(s.changed, |(_, came)| *came);
        (s.first() + old as u64, f64::from(ticks(now).saturating_sub(last)) * TICK_MS)
    }

    /// True if a stream is left out of what is shown, which only a broken build does.
    pub fn skips(&self, stream: StreamId) -> bool {
        self.skips_odd && stream.0 & 1 == 1
    }

    fn toggle(&mut self, stream: StreamId, upto: u64) {
        if self.skips(stream) {
            return;
        }
        let hash = stream.hash(upto);
        self.hash ^= hash;
        self.buckets[stream.bucket()] ^= hash;
    }

    /// Moves a stream on to a number; true if it did.
    fn advance(&mut self, stream: StreamId, upto: u64, changed: u32) {
        let new = || Stream { upto: 0, changed, kept: VecDeque::new(), bytes: VecDeque::new(), base: 0 };
        let known = self.all.contains_key(&stream);
        let s = self.all.entry(stream).or_insert_with(new);
        let (old, was) = (s.upto, s.changed);
        (s.upto, s.changed) = (upto, changed);
        self.by_change.remove(&(was, stream));
        self.by_change.insert((changed, stream));
        if known {
            self.toggle(stream, old);
        }
        self.toggle(stream, upto);
    }

    /// Takes the next word of a stream.
    pub fn push(&mut self, now: Ms, stream: StreamId, word: &[u8]) -> u64 {
        let tick = ticks(now);
        let upto = self.upto(stream) + 1;
        self.advance(stream, upto, tick);
        let Some(s) = self.all.get_mut(&stream) else {
            return upto;
        };
        if s.kept.is_empty() {
            self.by_oldest.insert((tick, stream));
        }
        let end = s.base.wrapping_add((s.bytes.len() + word.len()) as u32);
        s.kept.push_back((end, tick));
        s.bytes.extend(word);
        self.bytes += word.len() + WORD_COST;
        upto
    }

    /// Goes past words that nobody has any more; how many were not had.
    pub fn skip(&mut self, now: Ms, stream: StreamId, upto: u64) -> u64 {
        let had = self.upto(stream);
        if upto <= had {
            return 0;
        }
        // What is kept ends before the gap, and nobody could be told so in one span.
        while self.drop_oldest_of(stream) {}
        self.advance(stream, upto, ticks(now));
        upto - had
    }

    /// Drops the oldest kept word of a stream, if there is one.
    fn drop_oldest_of(&mut self, stream: StreamId) -> bool {
        let Some(s) = self.all.get_mut(&stream) else {
            return false;
        };
        let Some((end, came)) = s.kept.pop_front() else {
            return false;
        };
        let len = end.wrapping_sub(s.base) as usize;
        s.bytes.drain(..len.min(s.bytes.len()));
        s.base = end;
        self.bytes = self.bytes.saturating_sub(len + WORD_COST);
        self.by_oldest.remove(&(came, stream));
        match s.kept.front() {
            Some((_, next)) => {
                self.by_oldest.insert((*next, stream));
            }
            None => s.bytes.shrink_to_fit(),
        }
        true
    }

    /// Drops words that are older than that, and the oldest beyond a number of bytes; how many of the latter.
    pub fn trim(&mut self, now: Ms, keep: Ms, most: usize) -> u64 {
        let before = ticks(now - keep.min(now));
        let mut early = 0;
        while let Some((came, stream)) = self.by_oldest.first().copied() {
            let old = came < before;
            if !old && self.bytes <= most {
                break;
            }
            early += u64::from(!old);
            self.drop_oldest_of(stream);
        }
        early
    }

    /// Forgets streams in which nothing was said for so long; which.
    pub fn forget(&mut self, now: Ms, span: Ms, but: impl Fn(StreamId) -> bool) -> Vec<StreamId> {
        let before = ticks(now - span.min(now));
        let old = self.by_change.iter().take_while(|(changed, _)| *changed < before);
        let old: Vec<StreamId> = old.map(|(_, stream)| *stream).filter(|s| !but(*s)).collect();
        for stream in &old {
            while self.drop_oldest_of(*stream) {}
            if let Some(s) = self.all.remove(stream) {
                self.by_change.remove(&(s.changed, *stream));
                self.toggle(*stream, s.upto);
            }
        }
        old
    }

    /// Words of a stream from a number on, as far as they are kept.
    pub fn words_from(&self, stream: StreamId, from: u64) -> impl Iterator<Item = Vec<u8>> + '_ {
        let s = self.all.get(&stream);
        let skip = s.map_or(0, |s| from.saturating_sub(s.first()) as usize);
        s.into_iter().flat_map(move |s| (skip..s.kept.len()).map(move |at| s.word(at)))
    }

    /// The streams that changed last, within a span.
    pub fn hot(&self, now: Ms, span: Ms, most: usize) -> Vec<(StreamId, u64)> {
        let since = ticks(now - span.min(now));
        let hot = self.by_change.iter().rev().take_while(|(changed, _)| *changed >= since);
        let hot = hot.filter(|(_, stream)| !self.skips(*stream)).take(most);
        hot.map(|(_, stream)| (*stream, self.upto(*stream))).collect()
    }

    /// The hash and the number of all streams but those named.
    pub fn hash_without(&self, named: &[(StreamId, u64)]) -> (u64, u32) {
        let had: BTreeSet<StreamId> = named.iter().map(|(s, _)| *s).filter(|s| self.known(*s)).collect();
        let hash = had.iter().fold(self.hash, |hash, s| hash ^ s.hash(self.upto(*s)));
        (hash, (self.all.len() - had.len()) as u32)
    }

    /// The hashes of the buckets of all streams but those named.
    pub fn buckets_without(&self, named: &[(StreamId, u64)]) -> Vec<u32> {
        let had: BTreeSet<StreamId> = named.iter().map(|(s, _)| *s).filter(|s| self.known(*s)).collect();
        let mut buckets = self.buckets.clone();
        had.iter().for_each(|s| buckets[s.bucket()] ^= s.hash(self.upto(*s)));
        buckets.into_iter().map(|hash| (hash ^ (hash >> 32)) as u32).collect()
    }

    /// The streams in the buckets that differ from those, from a bucket on, as many as may be.
    pub fn differing(
        &self,
        now: Ms,
        named: &[(StreamId, u64)],
        theirs: &[u32],
        start: usize,
        most: usize,
    ) -> Vec<(StreamId, u64, u32)> {
        let ours = self.buckets_without(named);
        let differ: BTreeSet<usize> = (0..BUCKETS).filter(|b| ours[*b] != theirs[*b]).collect();
        if differ.is_empty() {
            return Vec::new();
        }
        let in_bucket =
            |b: usize| self.all.iter().filter(move |(id, _)| id.bucket() == b && !self.skips(**id));
        let order = (0..BUCKETS).map(|b| (b + start) % BUCKETS).filter(|b| differ.contains(b));
        let idle = |s: &Stream| ticks(now).saturating_sub(s.changed) / 10;
        order.flat_map(in_bucket).take(most).map(|(id, s)| (*id, s.upto, idle(s))).collect()
    }
}

impl Stream {
    fn first(&self) -> u64 {
        self.upto + 1 - self.kept.len() as u64
    }

    fn word(&self, at: usize) -> Vec<u8> {
        let start = at.checked_sub(1).and_then(|b| self.kept.get(b)).map_or(self.base, |(end, _)| *end);
        let end = self.kept.get(at).map_or(start, |(end, _)| *end);
        let (from, to) = (start.wrapping_sub(self.base) as usize, end.wrapping_sub(self.base) as usize);
        self.bytes.range(from..to).copied().collect()
    }
}
