//! Repair: fetching updates that neighbors have and this router lacks.
//!
//! Inputs: streams of neighbors, received updates, time in milliseconds. Updates usually arrive by push within `late_ms`, or twice that by
//! other paths; then they are fetched, from another neighbor after each `fetch_ms`. A primary parent that lags [`MAX_PRIMARY_LAGS`] times in
//! a row is replaced.

use crate::frame::{Part, Vector};
use crate::link::{Link, Role};
use crate::overlay::Overlay;
use crate::update_log::StreamId;
use crate::{Action, Origin};
use basaltgw_types::{Ms, RouterId};
use std::collections::BTreeMap;

/// Largest number of neighbors noted for a stream.
const MAX_SOURCES: usize = 4;
/// Largest number of fetches in one tick.
const MAX_FETCHES_PER_TICK: usize = 64;
/// Number of lags in a row after which the primary parent is replaced.
const MAX_PRIMARY_LAGS: u32 = 2;

/// Fetch that waits for updates.
#[derive(Clone, Debug)]
struct Fetch {
    from: RouterId,
    sent_at: Ms,
}

/// Missing updates of one stream.
#[derive(Clone, Debug)]
pub(crate) struct Repair {
    /// When the updates are fetched.
    due: Ms,
    /// Last missing number.
    pub last: u64,
    /// Neighbors that have the updates.
    sources: Vec<RouterId>,
    fetch: Option<Fetch>,
    attempts: usize,
    is_backfill: bool,
}

impl Repair {
    fn is_fetching_from(&self, router: &RouterId) -> bool {
        self.fetch.as_ref().is_some_and(|fetch| fetch.from == *router)
    }
}

/// Missing updates by stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repairs {
    pub by_stream: BTreeMap<StreamId, Repair>,
}

impl Repairs {
    /// The link to a neighbor is lost.
    pub fn on_link_lost(&mut self, router: &RouterId) {
        for repair in self.by_stream.values_mut() {
            repair.sources.retain(|source| source != router);
            if repair.is_fetching_from(router) {
                repair.fetch = None;
            }
        }
    }

    /// Adds a neighbor that has a stream up to `last`; false if `max` streams are being repaired.
    fn add_source(
        &mut self,
        stream: StreamId,
        last: u64,
        from: &RouterId,
        due: Ms,
        is_backfill: bool,
        max: usize,
    ) -> bool {
        if self.by_stream.len() >= max && !self.by_stream.contains_key(&stream) {
            return false;
        }
        let new = || Repair { due, last, sources: Vec::new(), fetch: None, attempts: 0, is_backfill };
        let repair = self.by_stream.entry(stream).or_insert_with(new);
        repair.due = repair.due.min(due);
        repair.last = repair.last.max(last);
        if !repair.sources.contains(from) {
            repair.sources.truncate(MAX_SOURCES - 1);
            repair.sources.push(from.clone());
        }
        true
    }
}

impl Overlay {
    fn is_own(&self, stream: StreamId) -> bool {
        stream == self.own_stream(stream.kind())
    }

    /// A neighbor has these streams up to these numbers. What is missing here is fetched if it does not arrive in time; a backfill at once.
    pub(crate) fn on_neighbor_streams(
        &mut self,
        now: Ms,
        from: &RouterId,
        named: &Vector,
        is_backfill: bool,
    ) {
        let late_ms = self.settings.late_ms;
        let Some(link) = self.links.get_mut(from) else { return };
        // A child's updates travel up the tree and down again, and neighbors outside the region may have updates long before the own parents.
        let wait = match (is_backfill, link.role, link.is_outside) {
            (true, _, _) => 0.0,
            (false, Role::Parent, false) | (false, Role::Peer, _) => late_ms,
            (false, Role::Child, _) | (false, Role::Parent, true) => 2.0 * late_ms,
        };
        for (stream, last) in named {
            if self.log.contains(*stream) {
                link.observe_last(*stream, *last);
            }
        }
        for (stream, last) in named {
            if *last > self.log.last(*stream) {
                self.add_repair(now + wait, from, *stream, *last, is_backfill);
            }
        }
    }

    fn add_repair(&mut self, due: Ms, from: &RouterId, stream: StreamId, last: u64, is_backfill: bool) {
        if self.is_own(stream) {
            return;
        }
        let max = self.settings.max_repairs;
        if !self.repairs.add_source(stream, last, from, due, is_backfill, max) {
            self.counters.missing_full += 1;
        }
    }

    /// Fetches the missing updates that are due.
    pub(crate) fn fetch_missing(&mut self, now: Ms) {
        for (source, part) in self.due_fetches(now) {
            let is_parent = self.links.get(&source).is_some_and(|link| link.role == Role::Parent);
            if is_parent && self.primary.as_ref().is_some_and(|primary| *primary != source) {
                self.primary_lags += 1;
            }
            if let Some(link) = self.links.get_mut(&source) {
                self.counters.fetches += u64::from(link.enqueue(part));
            }
        }
        if self.primary_lags >= MAX_PRIMARY_LAGS {
            self.replace_lagging_primary(now);
        }
    }

    /// Drops finished repairs, and returns the due fetches with their receivers.
    fn due_fetches(&mut self, now: Ms) -> Vec<(RouterId, Part)> {
        let (links, log, settings) = (&self.links, &self.log, &self.settings);
        self.repairs.by_stream.retain(|stream, repair| log.last(*stream) < repair.last);
        let mut fetches = Vec::new();
        for (stream, repair) in &mut self.repairs.by_stream {
            if repair.fetch.as_ref().is_some_and(|fetch| now - fetch.sent_at >= settings.fetch_ms) {
                repair.fetch = None;
                repair.attempts += 1;
                self.counters.fetched_again += 1;
            }
            repair.sources.retain(|source| links.contains_key(source));
            let is_due = repair.fetch.is_none() && repair.due <= now && !repair.sources.is_empty();
            if !is_due || fetches.len() >= MAX_FETCHES_PER_TICK {
                continue;
            }
            let source = repair.sources[repair.attempts % repair.sources.len()].clone();
            repair.fetch = Some(Fetch { from: source.clone(), sent_at: now });
            let (from, to) = (log.last(*stream) + 1, repair.last);
            let part = Part::Fetch { stream: *stream, from, to, is_backfill: repair.is_backfill };
            fetches.push((source, part));
        }
        fetches
    }

    /// Replaces the primary parent if another parent may push.
    fn replace_lagging_primary(&mut self, now: Ms) {
        self.primary_lags = 0;
        let may_push = |link: &&Link| link.role == Role::Parent && link.push_rejected_until <= now;
        if self.links.values().filter(may_push).count() < 2 {
            return;
        }
        if let Some(link) = self.primary.as_ref().and_then(|primary| self.links.get_mut(primary)) {
            link.push_rejected_until = now + self.settings.link_rejected_backoff_ms;
            self.counters.lagging_primaries += 1;
        }
        self.choose_primary(now);
    }

    /// Accepts consecutive updates of a stream from a neighbor, or starts a repair if earlier ones are missing.
    pub(crate) fn on_updates(
        &mut self,
        now: Ms,
        from: &RouterId,
        stream: StreamId,
        first: u64,
        updates: Vec<Vec<u8>>,
        actions: &mut Vec<Action>,
    ) {
        let (known_last, last) = (self.log.last(stream), first + updates.len() as u64 - 1);
        self.counters.received += updates.len() as u64;
        if self.is_own(stream) {
            self.counters.duplicate_numbers += updates.len() as u64;
            return;
        }
        if !self.log.contains(stream) && self.log.len() >= self.settings.max_streams {
            self.counters.streams_full += 1;
            return;
        }
        if let Some(link) = self.links.get_mut(from) {
            link.observe_last(stream, last);
            self.counters.received_from_other_regions +=
                if link.is_outside { updates.len() as u64 } else { 0 };
        }
        if first > known_last + 1 {
            self.counters.gaps += 1;
            self.add_repair(now, from, stream, last, false);
            return;
        }
        let duplicates = (known_last + 1 - first).min(updates.len() as u64);
        self.counters.duplicate_numbers += duplicates;
        for update in updates.into_iter().skip(duplicates as usize) {
            self.accept(now, stream, update, actions);
        }
        if self.log.bytes > self.settings.max_log_bytes {
            let (retention, max_bytes) = (self.settings.retention_ms, self.settings.max_log_bytes);
            self.counters.log_full += self.log.trim(now, retention, max_bytes);
        }
        let new_last = self.log.last(stream);
        if new_last > known_last {
            if self.primary.as_ref() == Some(from) {
                self.primary_lags = 0;
            }
            self.continue_repair(now, from, stream);
            self.on_stream_advanced(stream, known_last, new_last, Some(from));
        }
    }

    /// Ends a fetch that was answered, so that the next one may follow at once.
    fn continue_repair(&mut self, now: Ms, from: &RouterId, stream: StreamId) {
        if let Some(repair) = self.repairs.by_stream.get_mut(&stream) {
            if repair.is_fetching_from(from) {
                repair.fetch = None;
                repair.due = now;
            }
        }
    }

    /// Skips the updates of a stream before `first`, which a neighbor does not have; the last of them is at least `age` milliseconds old. Only
    /// the neighbor from which updates are being fetched may report them, and only those.
    pub(crate) fn on_unavailable(
        &mut self,
        now: Ms,
        from: &RouterId,
        stream: StreamId,
        first: u64,
        age: Ms,
        actions: &mut Vec<Action>,
    ) {
        let known_last = self.log.last(stream);
        let repair = self.repairs.by_stream.get(&stream).filter(|repair| repair.is_fetching_from(from));
        let Some(last) = repair.map(|repair| repair.last.min(first - 1)) else {
            self.counters.stray_events += 1;
            return;
        };
        let has_capacity = self.log.contains(stream) || self.log.len() < self.settings.max_streams;
        if last <= known_last || !has_capacity {
            self.counters.streams_full += u64::from(!has_capacity);
            return;
        }
        self.log.skip(now, stream, last);
        // Updates that had converged before this router started were not missed.
        let min_age = age.min(self.settings.retention_ms);
        if self.started_at.is_some_and(|started_at| now - started_at < min_age) {
            self.counters.converged_spans += 1;
        } else {
            self.counters.reported_gaps += 1;
            let origin = Origin { router: stream.router(), incarnation: stream.incarnation() };
            let (kind, from) = (stream.kind(), known_last + 1);
            actions.push(Action::GapDetected { origin, kind, from, to: last });
        }
        self.continue_repair(now, from, stream);
        self.on_stream_advanced(stream, known_last, last, Some(from));
    }
}
