//! Neighbours compare what they have by short digests; from that each router knows how far behind it may be.

use crate::broken::InjectedBug;
use crate::link::{Link, Role, Stand, Target};
use crate::overlay::Overlay;
use crate::streams::StreamId;
use crate::wire::{Digest, Part, Vector, BUCKETS};
use crate::{Kind, Origin};
use basaltgw_types::{Ms, RouterId};

/// A target that is not met within so many comparisons gives way to a newer one.
const TARGET_COMPARES: f64 = 4.0;
/// So many neighbours have to be compared with before a router is up to date.
const SOURCES: usize = 2;

/// How far behind a router may be.
#[derive(Clone, Debug, PartialEq)]
pub struct Behind {
    /// What was said longer ago than this is had, ms; nothing if that can't be said. The time that frames take on links comes on top.
    pub age: Option<Ms>,
    /// Words that neighbours are known to have and that have not come, by whose they are and of which kind.
    pub missing: Vec<(Origin, Kind, u64)>,
}

/// How large a router's state is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateSizes {
    /// Links that are up.
    pub links: usize,
    /// Routers that may be dialled.
    pub candidates: usize,
    /// Streams that are known.
    pub streams: usize,
    /// Words that are kept, and their bytes with what keeping costs.
    pub words: usize,
    /// See `words`.
    pub word_bytes: usize,
    /// Words that were told of late.
    pub told: usize,
    /// Words that wait for others to say them.
    pub held: usize,
    /// Spans that are being fetched.
    pub missing: usize,
}

impl Overlay {
    /// How far behind this router may be.
    pub fn behind(&self, now: Ms) -> Behind {
        let short = |(stream, span): (&StreamId, &crate::fetch::Span)| {
            let origin = Origin { router: stream.router(), incarnation: stream.life() };
            let missing = span.upto.saturating_sub(self.streams.upto(*stream));
            (missing > 0).then_some((origin, stream.kind(), missing))
        };
        Behind { age: self.age(now), missing: self.missing.spans.iter().filter_map(short).collect() }
    }

    /// How large the state is.
    pub fn state_sizes(&self) -> StateSizes {
        StateSizes {
            links: self.links.len(),
            candidates: self.groups.iter().map(|g| g.candidates.len()).sum(),
            streams: self.streams.len(),
            words: self.streams.words(),
            word_bytes: self.streams.bytes,
            told: self.told.len(),
            held: self.told.held.len(),
            missing: self.missing.spans.len(),
        }
    }

    /// How long ago this router had all there was.
    ///
    /// Control machines have it from each other; relays too, while they reach none. All others have it from above: as old as it was there.
    pub(crate) fn age(&self, now: Ms) -> Option<Ms> {
        if self.faults.has(InjectedBug::NewcomerIsUpToDate) {
            return Some(0.0);
        }
        let list = self.list.as_ref()?;
        let core = |l: &&Link| l.stand != Stand::Tier;
        let control = self.links.values().any(|l| l.stand == Stand::Control);
        let alone = match self.my_stand()? {
            Stand::Control => Some(if control { list.control().len() } else { list.relays().len() + 1 }),
            Stand::Relay if control => None,
            Stand::Relay => Some(list.relays().len()),
            Stand::Tier => None,
        };
        let Some(others) = alone else {
            let above = self.links.values().filter(|l| l.role == Role::Parent);
            let ages = above.filter_map(|l| l.compared).filter_map(|(at, age)| age.map(|a| now - at + a));
            return ages.min_by(f64::total_cmp).filter(|_| self.settled);
        };
        // Relays of the own region are cut off with it.
        let same =
            |l: &&Link| if control { l.stand == Stand::Control } else { l.outside || list.one_region() };
        let compared = self.links.values().filter(core).filter(same).filter_map(|l| l.compared);
        let mut ages: Vec<Ms> = compared.map(|(at, _)| now - at).collect();
        ages.sort_by(f64::total_cmp);
        // With one other only, that one is all there is.
        match SOURCES.min(others - 1) {
            0 => Some(0.0),
            need => ages.get(need - 1).copied(),
        }
    }

    /// Sees who was caught up with, and sends digests where they are due.
    pub(crate) fn compare(&mut self, now: Ms) {
        let streams = &self.streams;
        for link in self.links.values_mut() {
            let met = |t: &Target| t.hot.iter().all(|(s, upto)| streams.upto(*s) >= *upto);
            if link.target.as_ref().is_some_and(met) {
                link.compared = link.target.take().map(|t| (t.at, t.age));
            }
        }
        // Two, so that what one has not is found at the other; one of them has to know that it is up to date (see [`Overlay::age`]). Would
        // both have to, a fleet that starts would wait for itself.
        let from = self.links.values().filter(|l| l.role != Role::Child || l.stand != Stand::Tier);
        let compared = from.filter(|l| l.compared.is_some()).count();
        let others = self.list.as_ref().map_or(0, |l| l.len()).saturating_sub(1);
        self.settled |= compared >= SOURCES.min(others);
        if !self.links.values().any(|l| l.digest_at <= now) {
            return;
        }
        let hot = streams.hot(now, self.settings.hot_ms, self.settings.most_hot);
        let (hash, count) = streams.hash_without(&hot);
        let age = self.age(now).map(|a| a.min(f64::from(u32::MAX)) as u32);
        for link in self.links.values_mut().filter(|l| l.digest_at <= now) {
            link.digest_at = now + self.settings.compare_ms;
            // It names what is new, and takes words along, as a frame goes anyway.
            hot.iter().filter(|_| !link.push).for_each(|(s, _)| {
                link.dirty.remove(s);
            });
            link.news_at = now + self.settings.announce_ms - self.settings.batch_ms / 2.0;
            link.words_at = now;
            link.say(Part::Digest(Digest { hot: hot.clone(), hash, count, age }));
            // What went cold needs no memory of who has it.
            if link.knows.len() > 4 * self.settings.most_hot {
                let hot = |s: &StreamId| hot.iter().any(|(h, _)| h == s);
                let dirty = &link.dirty;
                link.knows.retain(|s, _| hot(s) || dirty.contains(s));
            }
        }
    }

    /// A neighbour's digest.
    pub(crate) fn digest(&mut self, now: Ms, from: &RouterId, digest: Digest) {
        self.claims(now, from, &digest.hot, false);
        let (hash, count) = self.streams.hash_without(&digest.hot);
        let named = digest.hot.len().min(self.settings.most_hot);
        let Some(link) = self.links.get_mut(from) else {
            return;
        };
        if (hash, count) == (digest.hash, digest.count) {
            link.differ = 0;
            let stale = |t: &Target| now - t.at >= TARGET_COMPARES * self.settings.compare_ms;
            if link.target.as_ref().is_none_or(stale) {
                let age = digest.age.map(f64::from);
                let hot = digest.hot.into_iter().take(named).collect();
                link.target = Some(Target { at: now, age, hot });
            }
            return;
        }
        self.counters.differed += 1;
        link.differ = link.differ.saturating_add(1);
        // Comparing more closely must not take the room of the words that are asked for: whoever has none left asks at the next digest.
        if usize::from(link.differ) >= SOURCES && self.pace.others() {
            link.differ = 0;
            self.counters.vectors += 1;
            let named = self.streams.hot(now, self.settings.hot_ms, self.settings.most_hot);
            let hashes = self.streams.buckets_without(&named);
            link.say(Part::Buckets { named, hashes });
        }
    }

    /// A neighbour's buckets: it is told of the streams in those that differ.
    pub(crate) fn buckets(&mut self, now: Ms, from: &RouterId, named: &Vector, hashes: &[u32]) {
        if !self.pace.others() {
            return;
        }
        let start = (self.draw() * BUCKETS as f64) as usize;
        let entries = self.streams.differing(now, named, hashes, start, self.settings.page);
        if let Some(link) = self.links.get_mut(from).filter(|_| !entries.is_empty()) {
            link.say(Part::Vector(entries));
        }
    }

    /// Streams that a neighbour has, where buckets differ.
    pub(crate) fn vector(&mut self, now: Ms, from: &RouterId, entries: &[(StreamId, u64, u32)]) {
        let forget = self.settings.forget_ms;
        // What is about to be forgotten everywhere isn't learned again.
        let alive = |e: &&(StreamId, u64, u32)| {
            self.streams.known(e.0) || f64::from(e.2) * 1000.0 + 2.0 * self.settings.keep_ms < forget
        };
        let named: Vector = entries.iter().filter(alive).map(|(s, upto, _)| (*s, *upto)).collect();
        self.claims(now, from, &named, true);
    }
}
