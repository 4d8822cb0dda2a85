//! Anti-entropy: neighbors compare digests of their known updates, which also shows each router how far behind it may be.
//!
//! Inputs: digests, buckets and vectors of neighbors, time in milliseconds. A digest names the streams that changed recently and hashes all
//! others. After [`MIN_DIFFERING_DIGESTS`] consecutive differing digests the neighbors compare the hashes of buckets, and then vectors of the
//! differing ones.

use crate::frame::{Digest, Part, Vector, BUCKETS};
use crate::injected_bug::InjectedBug;
use crate::link::{Level, Link, Role, SyncTarget, Synced};
use crate::overlay::Overlay;
use crate::repair::Repair;
use crate::update_log::StreamId;
use crate::{Kind, Origin};
use basaltgw_types::{Ms, RouterId};

/// A sync target that is not reached within this many comparisons is replaced by a newer one.
const TARGET_TIMEOUT_COMPARES: f64 = 4.0;
/// Number of neighbors to compare with before a router counts as caught up: one may lack what the other has.
const MIN_COMPARED: usize = 2;
/// Consecutive differing digests after which the neighbors compare buckets.
const MIN_DIFFERING_DIGESTS: usize = 2;
/// Largest number of streams remembered for a neighbor, as a multiple of the streams in a digest.
const NEIGHBOR_STREAMS_FACTOR: usize = 4;
const MS_PER_SECOND: f64 = 1_000.0;

/// How far behind a router may be.
#[derive(Clone, Debug, PartialEq)]
pub struct Behind {
    /// Every update published longer ago than this many milliseconds is known; `None` if no such time is known. Excludes the delay of links.
    pub age: Option<Ms>,
    /// Number of updates that neighbors have and this router lacks, by origin and kind.
    pub missing: Vec<(Origin, Kind, u64)>,
}

/// Sizes of an overlay's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateSizes {
    /// Established links.
    pub links: usize,
    /// Routers that may be dialed.
    pub candidates: usize,
    /// Known streams.
    pub streams: usize,
    /// Retained updates.
    pub retained_updates: usize,
    /// Bytes of retained updates with their overhead.
    pub retained_bytes: usize,
    /// Hashes of recently delivered updates.
    pub delivered_hashes: usize,
    /// Updates that wait for another router to publish them.
    pub pending_updates: usize,
    /// Streams being repaired.
    pub repairs: usize,
}

impl Overlay {
    /// How far behind this router may be.
    pub fn behind(&self, now: Ms) -> Behind {
        let missing = |(stream, repair): (&StreamId, &Repair)| {
            let origin = Origin { router: stream.router(), incarnation: stream.incarnation() };
            let count = repair.last.saturating_sub(self.log.last(*stream));
            (count > 0).then_some((origin, stream.kind(), count))
        };
        Behind { age: self.age(now), missing: self.repairs.by_stream.iter().filter_map(missing).collect() }
    }

    /// Sizes of the state.
    pub fn state_sizes(&self) -> StateSizes {
        StateSizes {
            links: self.links.len(),
            candidates: self.groups.iter().map(|group| group.candidates.len()).sum(),
            streams: self.log.len(),
            retained_updates: self.log.retained_count(),
            retained_bytes: self.log.bytes,
            delivered_hashes: self.deduplication.len(),
            pending_updates: self.deduplication.pending.len(),
            repairs: self.repairs.by_stream.len(),
        }
    }

    /// Milliseconds since this router had caught up.
    ///
    /// Control machines compare with each other, and so do relays while they reach no control machine. All other routers are as far as their
    /// parents were when they compared.
    pub(crate) fn age(&self, now: Ms) -> Option<Ms> {
        if self.bugs.has(InjectedBug::ReportsCaughtUpAtStart) {
            return Some(0.0);
        }
        let list = self.list.as_ref()?;
        let reaches_control = self.links.values().any(|link| link.level == Level::Control);
        let group_size = match self.own_level()? {
            Level::Control if reaches_control => list.control().len(),
            Level::Control => list.relays().len() + 1,
            Level::Relay if reaches_control => return self.age_of_parents(now),
            Level::Relay => list.relays().len(),
            Level::Tier => return self.age_of_parents(now),
        };
        // A partition of the region includes its relays: they are no independent evidence.
        let is_evidence = |link: &&Link| match reaches_control {
            true => link.level == Level::Control,
            false => link.level != Level::Tier && (link.is_outside || list.has_one_region()),
        };
        let synced = self.links.values().filter(is_evidence).filter_map(|link| link.synced);
        let mut ages: Vec<Ms> = synced.map(|synced| now - synced.at).collect();
        ages.sort_by(f64::total_cmp);
        // With a single other router, that one is sufficient.
        match MIN_COMPARED.min(group_size - 1) {
            0 => Some(0.0),
            needed => ages.get(needed - 1).copied(),
        }
    }

    fn age_of_parents(&self, now: Ms) -> Option<Ms> {
        let parents = self.links.values().filter(|link| link.role == Role::Parent);
        let synced = parents.filter_map(|link| link.synced);
        let ages = synced.filter_map(|synced| synced.age.map(|age| now - synced.at + age));
        ages.min_by(f64::total_cmp).filter(|_| self.has_compared)
    }

    /// Checks the sync targets, and adds the digests that are due to the next frames.
    pub(crate) fn compare(&mut self, now: Ms) {
        self.check_sync_targets();
        if !self.links.values().any(|link| link.next_digest_at <= now) {
            return;
        }
        let recent = self.log.recent(now, self.settings.recent_ms, self.settings.max_recent);
        let (hash, count) = self.log.hash_without(&recent);
        let age = self.age(now).map(|age| age.min(f64::from(u32::MAX)) as u32);
        for link in self.links.values_mut().filter(|link| link.next_digest_at <= now) {
            link.next_digest_at = now + self.settings.compare_ms;
            // The digest announces the recent streams, and pushed updates share its frame.
            if !link.pushes {
                for (stream, _) in &recent {
                    link.dirty.remove(stream);
                }
            }
            link.next_announcement_at = now + self.settings.announce_ms - self.settings.batch_ms / 2.0;
            link.next_push_at = now;
            link.enqueue(Part::Digest(Digest { recent: recent.clone(), hash, count, age }));
            if link.neighbor_last.len() > NEIGHBOR_STREAMS_FACTOR * self.settings.max_recent {
                let is_recent = |stream: &StreamId| recent.iter().any(|(other, _)| other == stream);
                let dirty = &link.dirty;
                link.neighbor_last.retain(|stream, _| is_recent(stream) || dirty.contains(stream));
            }
        }
    }

    /// Records the neighbors whose sync target is reached. This router has compared once that holds for enough parents and peers; a neighbor
    /// of them must have caught up itself (see [`Self::age`]), but not all, or a starting fleet would wait for itself.
    fn check_sync_targets(&mut self) {
        let log = &self.log;
        for link in self.links.values_mut() {
            let is_reached =
                |target: &SyncTarget| target.recent.iter().all(|(stream, last)| log.last(*stream) >= *last);
            if link.sync_target.as_ref().is_some_and(is_reached) {
                let target = link.sync_target.take();
                link.synced = target.map(|target| Synced { at: target.at, age: target.age });
            }
        }
        let is_source = |link: &&Link| link.role != Role::Child || link.level != Level::Tier;
        let sources = self.links.values().filter(is_source);
        let compared = sources.filter(|link| link.synced.is_some()).count();
        let others = self.list.as_ref().map_or(0, |list| list.len()).saturating_sub(1);
        self.has_compared |= compared >= MIN_COMPARED.min(others);
    }

    /// Compares a neighbor's digest, and begins a comparison of buckets if it keeps differing.
    pub(crate) fn on_digest(&mut self, now: Ms, from: &RouterId, digest: Digest) {
        self.on_neighbor_streams(now, from, &digest.recent, false);
        let (hash, count) = self.log.hash_without(&digest.recent);
        let max_recent = digest.recent.len().min(self.settings.max_recent);
        let Some(link) = self.links.get_mut(from) else { return };
        if (hash, count) == (digest.hash, digest.count) {
            link.differing_digests = 0;
            let timeout = TARGET_TIMEOUT_COMPARES * self.settings.compare_ms;
            let is_expired = |target: &SyncTarget| now - target.at >= timeout;
            if link.sync_target.as_ref().is_none_or(is_expired) {
                let age = digest.age.map(f64::from);
                let recent = digest.recent.into_iter().take(max_recent).collect();
                link.sync_target = Some(SyncTarget { at: now, age, recent });
            }
            return;
        }
        self.counters.differing_digests += 1;
        link.differing_digests = link.differing_digests.saturating_add(1);
        // A closer comparison must not displace requested updates: without budget the next digest starts it.
        if usize::from(link.differing_digests) >= MIN_DIFFERING_DIGESTS && self.rate_limit.allows_others() {
            link.differing_digests = 0;
            self.counters.vectors += 1;
            let named = self.log.recent(now, self.settings.recent_ms, self.settings.max_recent);
            let hashes = self.log.buckets_without(&named);
            link.enqueue(Part::Buckets { named, hashes });
        }
    }

    /// A neighbor's buckets: answers with the streams of the differing ones.
    pub(crate) fn on_buckets(&mut self, now: Ms, from: &RouterId, named: &Vector, hashes: &[u32]) {
        if !self.rate_limit.allows_others() {
            return;
        }
        let start = (self.random() * BUCKETS as f64) as usize;
        let entries = self.log.differing(now, named, hashes, start, self.settings.page);
        if let Some(link) = self.links.get_mut(from).filter(|_| !entries.is_empty()) {
            link.enqueue(Part::Vector(entries));
        }
    }

    /// A neighbor's streams in the differing buckets. A stream that is about to be forgotten everywhere isn't learned again.
    pub(crate) fn on_vector(&mut self, now: Ms, from: &RouterId, entries: &[(StreamId, u64, u32)]) {
        let forget_ms = self.settings.forget_ms;
        let margin_ms = 2.0 * self.settings.retention_ms;
        let is_current = |(stream, _, idle_s): &&(StreamId, u64, u32)| {
            self.log.contains(*stream) || f64::from(*idle_s) * MS_PER_SECOND + margin_ms < forget_ms
        };
        let named: Vector =
            entries.iter().filter(is_current).map(|(stream, last, _)| (*stream, *last)).collect();
        self.on_neighbor_streams(now, from, &named, true);
    }
}
