//! Forwarding: which links get an update by push, and which parts go into the next frames.
//!
//! Inputs: the update log, links, the rate limit, time in milliseconds. Each tick fills one frame for each link, in the order of kinds
//! ([`Kind::ALL`]), so that under a short budget the most urgent kind goes to all links first. Links take turns in being filled first; peers
//! always precede, because a peer that is late publishes the update itself.

use crate::frame::{pack, Part, MAX_UNPACKED_BYTES};
use crate::injected_bug::InjectedBug;
use crate::link::{FetchRequest, Link, Role};
use crate::overlay::Overlay;
use crate::update_log::StreamId;
use crate::{Action, Kind, Origin};
use basaltgw_types::{Ms, RouterId};

/// Largest number of streams in one announcement.
const MAX_ANNOUNCED: usize = 512;
/// Bytes of a frame that are reserved for parts without updates, such as a vector and a digest.
pub(crate) const RESERVED_FRAME_BYTES: usize = 40_960;
/// Upper bound of the encoded size of a part with updates, without the updates.
const PART_OVERHEAD_BYTES: usize = 16;
/// Upper bound of the encoded size of an update besides its bytes.
const UPDATE_OVERHEAD_BYTES: usize = 6;
/// Largest number of parts in a frame to which updates are added.
const MAX_UPDATE_PARTS: usize = 256;

/// Updates to add to a frame.
#[derive(Clone, Copy)]
struct UpdateRange {
    stream: StreamId,
    from: u64,
    to: u64,
    /// Kind whose priority applies.
    priority: Kind,
}

impl Overlay {
    /// Adds the next update of a stream to the log, and delivers it unless its content was delivered before.
    pub(crate) fn accept(&mut self, now: Ms, stream: StreamId, update: Vec<u8>, actions: &mut Vec<Action>) {
        if self.bugs.has(InjectedBug::DropsForwarding) {
            let number = self.log.last(stream) + 1;
            self.log.skip(now, stream, number);
        } else {
            self.log.push(now, stream, &update);
        }
        let kind = stream.kind();
        let hash = self.deduplication.hash(kind, &update);
        self.counters.pending_resolved += u64::from(self.deduplication.pending.remove(&hash).is_some());
        if self.deduplication.insert(hash) || self.bugs.has(InjectedBug::DeliversDuplicates) {
            self.counters.delivered += 1;
            let origin = Origin { router: stream.router(), incarnation: stream.incarnation() };
            actions.push(Action::Deliver(kind, update, origin));
        } else {
            self.counters.duplicate_contents += 1;
        }
    }

    /// A stream has advanced: marks it on the links that lack the updates. Updates of a peer go to no other peer, because it pushes to all.
    pub(crate) fn on_stream_advanced(
        &mut self,
        stream: StreamId,
        previous_last: u64,
        last: u64,
        from: Option<&RouterId>,
    ) {
        let sender = from.and_then(|from| self.links.get(from));
        let is_from_peer = sender.is_some_and(|link| link.role == Role::Peer);
        let drops = from.is_some() && self.bugs.has(InjectedBug::DropsForwarding);
        for (router, link) in &mut self.links {
            let neighbor_last = link.neighbor_last.entry(stream).or_insert(previous_last);
            if is_from_peer && link.role == Role::Peer && from != Some(router) {
                *neighbor_last = last.max(*neighbor_last);
            }
            if *neighbor_last < last && !drops {
                link.dirty.insert(stream);
            }
        }
    }

    /// Periodic work, every `batch_ms`.
    pub(crate) fn tick(&mut self, now: Ms, actions: &mut Vec<Action>) {
        // The phase is random, so that the routers of a fleet do not tick at the same time.
        let is_first = self.next_tick_at == 0.0;
        let phase = if is_first { self.random() } else { 1.0 };
        self.next_tick_at = now + self.settings.batch_ms * phase;
        self.tick_count = self.tick_count.wrapping_add(1);
        self.rate_limit.refill(now);
        self.expire(now);
        self.close_silent(now, actions);
        self.select_links(now, actions);
        self.fetch_missing(now);
        self.compare(now);
        self.advance_pending(now);
        self.send_frames(now, actions);
    }

    /// Drops expired updates, streams and hashes.
    fn expire(&mut self, now: Ms) {
        let settings = &self.settings;
        self.counters.log_full += self.log.trim(now, settings.retention_ms, settings.max_log_bytes);
        let own: Vec<StreamId> = Kind::ALL.map(|kind| self.own_stream(kind)).into();
        let forgotten = self.log.forget(now, settings.forget_ms, |stream| own.contains(&stream));
        self.counters.forgotten += forgotten.len() as u64;
        for stream in &forgotten {
            self.repairs.by_stream.remove(stream);
            for link in self.links.values_mut() {
                link.neighbor_last.remove(stream);
                link.dirty.remove(stream);
            }
        }
        self.deduplication.rotate(now, self.settings.retention_ms);
    }

    /// Fills and sends one frame for each link that has parts to send.
    fn send_frames(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let mut order: Vec<RouterId> = self.links.keys().cloned().collect();
        if order.is_empty() {
            return;
        }
        let offset = self.tick_count % order.len();
        order.rotate_left(offset);
        order.sort_by_key(|router| self.links.get(router).is_none_or(|link| link.role != Role::Peer));
        let mut used_bytes = vec![0usize; order.len()];
        for router in &order {
            self.links.get_mut(router).into_iter().for_each(Link::enqueue_answers);
            self.announce(now, router);
        }
        for kind in Kind::ALL {
            let mut has_waited = false;
            for (router, used_bytes) in order.iter().zip(&mut used_bytes) {
                has_waited |= !self.push_updates(now, router, kind, used_bytes);
                has_waited |= !self.answer_fetches(now, router, kind, used_bytes);
            }
            self.counters.budget_waits[kind as usize] += u64::from(has_waited);
        }
        for (router, used_bytes) in order.iter().zip(used_bytes) {
            self.send_frame(now, router, used_bytes, actions);
        }
    }

    /// Announces new updates on a link without push.
    fn announce(&mut self, now: Ms, router: &RouterId) {
        let (log, settings) = (&self.log, &self.settings);
        let is_due = |link: &&mut Link| !link.pushes && link.next_announcement_at <= now;
        let Some(link) = self.links.get_mut(router).filter(is_due) else { return };
        let (neighbor_last, dirty) = (&link.neighbor_last, &mut link.dirty);
        dirty.retain(|stream| {
            let is_known = neighbor_last.get(stream).is_some_and(|last| *last >= log.last(*stream));
            !is_known && !log.is_omitted(*stream)
        });
        if link.dirty.is_empty() {
            return;
        }
        let streams: Vec<StreamId> = link.dirty.iter().take(MAX_ANNOUNCED).copied().collect();
        for stream in &streams {
            link.dirty.remove(stream);
        }
        link.next_announcement_at = now + settings.announce_ms - settings.batch_ms / 2.0;
        let named = streams.into_iter().map(|stream| (stream, log.last(stream))).collect();
        link.enqueue(Part::Announcement(named));
    }

    /// Pushes updates of a kind on a link; false if some have to wait.
    fn push_updates(&mut self, now: Ms, router: &RouterId, kind: Kind, used_bytes: &mut usize) -> bool {
        let is_due = |link: &&Link| link.pushes && !link.dirty.is_empty() && link.next_push_at <= now;
        let Some(link) = self.links.get(router).filter(is_due) else { return true };
        for stream in link.dirty.range(StreamId::range_of(kind)).copied().collect::<Vec<_>>() {
            let neighbor_last =
                self.links.get(router).and_then(|link| link.neighbor_last.get(&stream).copied());
            let (from, to) = (neighbor_last.unwrap_or(0) + 1, self.log.last(stream));
            let range = UpdateRange { stream, from, to, priority: kind };
            let sent = self.add_updates(router, range, used_bytes);
            let Some(link) = self.links.get_mut(router) else { return true };
            // Updates that are not retained any more are found unavailable by the comparison of digests.
            if sent >= to || self.log.first(stream) > to {
                link.dirty.remove(&stream);
            }
            link.observe_last(stream, sent);
            if sent < to {
                return false;
            }
        }
        true
    }

    /// Adds fetched updates of a kind; false if some have to wait. A backfill has the lowest priority.
    fn answer_fetches(&mut self, now: Ms, router: &RouterId, kind: Kind, used_bytes: &mut usize) -> bool {
        let priority = |request: &FetchRequest| match request.is_backfill {
            true => Kind::Background,
            false => request.stream.kind(),
        };
        let requests = self.links.get(router).map(|link| link.fetch_requests.clone()).unwrap_or_default();
        for request in requests.into_iter().filter(|request| priority(request) == kind) {
            if !self.answer_fetch(now, router, request, kind, used_bytes) {
                return false;
            }
        }
        true
    }

    /// Answers one request as far as possible; false if a part of it has to wait.
    fn answer_fetch(
        &mut self,
        now: Ms,
        router: &RouterId,
        request: FetchRequest,
        priority: Kind,
        used_bytes: &mut usize,
    ) -> bool {
        let stream = request.stream;
        let (first, age) = self.log.first_within(stream, now, self.settings.convergence_ms);
        if !self.log.contains(stream) || request.from < first {
            self.counters.unavailable += 1;
            let unavailable = Part::Unavailable { stream, first, age: age as u32 };
            if !self.links.get_mut(router).is_some_and(|link| link.enqueue(unavailable)) {
                return false;
            }
        }
        let (from, to) = (request.from.max(first), request.to.min(self.log.last(stream)));
        let range = UpdateRange { stream, from, to, priority };
        let sent = if from <= to { self.add_updates(router, range, used_bytes) } else { to };
        let Some(link) = self.links.get_mut(router) else { return true };
        link.fetch_requests.retain(|other| other.stream != stream);
        if sent < to {
            link.fetch_requests.push_front(FetchRequest { from: sent + 1, ..request });
            return false;
        }
        // The fetched updates close the gap before the pushed ones.
        if link.neighbor_last.get(&stream).is_some_and(|last| *last + 1 >= from) {
            link.observe_last(stream, sent);
        }
        true
    }

    /// Adds updates to the frame for a link as far as frame and budget allow; returns the last number added.
    fn add_updates(&mut self, router: &RouterId, range: UpdateRange, used_bytes: &mut usize) -> u64 {
        let UpdateRange { stream, from, to, priority } = range;
        let capacity = self.settings.max_frame_bytes - RESERVED_FRAME_BYTES;
        let first = from.max(self.log.first(stream));
        let link = self.links.get(router);
        let part_count = link.map_or(MAX_UPDATE_PARTS, |link| link.parts.len());
        let is_peer = link.is_some_and(|link| link.role == Role::Peer);
        let (mut updates, mut previous, mut unpacked_bytes) = (Vec::new(), Vec::new(), 0);
        let mut next = first;
        for update in self.log.updates_from(stream, first) {
            let has_budget = match priority {
                Kind::Purge => is_peer || self.rate_limit.allows_purges(),
                Kind::Table | Kind::Evidence | Kind::Background => self.rate_limit.allows_others(),
            };
            let part_overhead = if updates.is_empty() { PART_OVERHEAD_BYTES } else { 0 };
            let cost = update.len() + UPDATE_OVERHEAD_BYTES + part_overhead;
            let is_full = (*used_bytes > 0 && *used_bytes + cost > capacity)
                || unpacked_bytes + update.len() > MAX_UNPACKED_BYTES;
            if next > to || !has_budget || is_full || part_count >= MAX_UPDATE_PARTS {
                break;
            }
            let packed = pack(&previous, &update);
            let cost = cost - usize::from(packed.shared_prefix_len);
            *used_bytes += cost;
            unpacked_bytes += update.len();
            self.rate_limit.consume(cost);
            updates.push(packed);
            previous = update;
            next += 1;
        }
        if updates.is_empty() {
            return from - 1;
        }
        self.counters.sent += updates.len() as u64;
        if let Some(link) = self.links.get_mut(router) {
            link.parts.push(Part::Updates { stream, first, updates });
        }
        next - 1
    }

    /// Sends the collected parts of a link as one frame, if there are any.
    fn send_frame(&mut self, now: Ms, router: &RouterId, used_bytes: usize, actions: &mut Vec<Action>) {
        let has_parts = |link: &&mut Link| !link.parts.is_empty();
        let Some(link) = self.links.get_mut(router).filter(has_parts) else { return };
        let parts = std::mem::take(&mut link.parts);
        let kind = parts.iter().map(Part::kind).min().unwrap_or(Kind::Background);
        if link.role == Role::Peer && used_bytes > 0 {
            // Ticks are `batch_ms` apart: half of that is the rounding tolerance.
            link.next_push_at = now + self.settings.peer_batch_ms - self.settings.batch_ms / 2.0;
        }
        let bytes = link.names.encode(parts);
        let cost = bytes.len() + self.settings.frame_overhead_bytes;
        self.rate_limit.consume(cost.saturating_sub(used_bytes));
        self.counters.frames_sent += 1;
        self.counters.bytes_sent += cost as u64;
        actions.push(Action::Send(link.member.clone(), kind, bytes));
    }
}
