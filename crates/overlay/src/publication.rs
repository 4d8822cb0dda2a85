//! Publication of updates that several routers know without the overlay, such as purges of the change log: one of them publishes the update.
//!
//! Inputs: the router list, links, the content hash of the update, time in milliseconds. A router first leaves the update to others for a
//! while ([`Overlay::publication_delay`]). If it has not received it by then, it queries its parent, and escalates to the parent what that
//! does not know. So an update reaches a router without a parent, which publishes it. With control machines that is the first of them in an
//! order by the content hash; if that one does not answer, the next one publishes in its place.

use crate::deduplication::{content_hash, PendingUpdate};
use crate::escalation::Escalations;
use crate::link::{Level, Link, Role};
use crate::overlay::{EscalationParent, Overlay};
use crate::router_list::Place;
use crate::{Action, Kind};
use basaltgw_structures::hash::{fnv1a, mix};
use basaltgw_types::{Ms, RouterId};
use std::cmp::Reverse;

/// Queries due within this many batches join the present ones: one frame instead of several.
const QUERY_AHEAD_BATCHES: f64 = 2.0;
/// Smallest delay of a query: updates from the parent usually arrive a little late.
const MIN_QUERY_DELAY_BATCHES: f64 = 2.0;
/// Relays of a partitioned region publish this many `publisher_wait_ms` apart: their updates travel through all tiers.
const PARTITION_TURN_WAITS: f64 = 4.0;
/// A neighbor that was silent for this many `compare_ms` is not queried.
const RESPONSIVE_COMPARES: f64 = 2.0;
/// A relay without a message from a parent for this many `compare_ms` may have no parent.
const PARENT_LOST_COMPARES: f64 = 3.0;

/// Which router publishes an update.
enum Publisher {
    /// This router, this long after it learned of the update.
    This { delay: Ms },
    /// A linked router.
    Other(RouterId),
    /// No reachable router.
    Unreachable,
}

impl Overlay {
    /// Stores an update that other routers probably know as well, until one of them publishes it.
    pub(crate) fn on_already_known(
        &mut self,
        now: Ms,
        kind: Kind,
        update: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        let hash = self.deduplication.hash(kind, &update);
        if !self.deduplication.insert(hash) {
            return;
        }
        let content_hash = content_hash(kind, &update);
        let delay = match self.publisher(now, content_hash) {
            Publisher::This { delay } => delay,
            Publisher::Other(_) | Publisher::Unreachable => self.publication_delay(now, content_hash),
        };
        let has_capacity = self.deduplication.pending.len() < self.settings.max_pending;
        if delay <= 0.0 || !has_capacity || update.len() > self.settings.max_update_bytes {
            self.counters.pending_full += u64::from(!has_capacity);
            self.publish_new(now, kind, update, actions);
        } else {
            self.deduplication.pending.insert(hash, PendingUpdate::new(now, now + delay, kind, update));
        }
    }

    /// The router that publishes an update: the first responsive control machine in an order by the update, or without any a router without
    /// a parent. A router or tier that has only lost its links for a moment has a parent.
    fn publisher(&self, now: Ms, content_hash: u64) -> Publisher {
        let Some(list) = &self.list else { return Publisher::Unreachable };
        match self.own_level() {
            Some(Level::Control) if self.links.is_empty() && list.len() > 1 => Publisher::Unreachable,
            Some(Level::Control) => match self.control_order(now, content_hash).first() {
                Some(first) if *first != &self.me => Publisher::Other((*first).clone()),
                Some(_) | None => Publisher::This { delay: 0.0 },
            },
            Some(level @ (Level::Relay | Level::Tier)) => match self.responsive_parent(now) {
                Some(link) => Publisher::Other(link.member.router.clone()),
                None if level == Level::Relay => self.publisher_without_parent(now, content_hash),
                None => Publisher::Unreachable,
            },
            None => Publisher::Unreachable,
        }
    }

    /// This router and the responsive control machines, in the order in which they publish an update.
    fn control_order(&self, now: Ms, content_hash: u64) -> Vec<&RouterId> {
        let is_candidate = |link: &&Link| link.role == Role::Peer && self.is_responsive(now, link);
        let others = self.links.values().filter(is_candidate).map(|link| &link.member.router);
        let mut order: Vec<&RouterId> = others.chain([&self.me]).collect();
        order.sort_by_key(|router| Reverse(mix(content_hash, fnv1a(&router.0))));
        order
    }

    fn is_responsive(&self, now: Ms, link: &Link) -> bool {
        now - link.last_received_at <= RESPONSIVE_COMPARES * self.settings.compare_ms
    }

    /// The publisher for a relay without a responsive parent.
    fn publisher_without_parent(&self, now: Ms, content_hash: u64) -> Publisher {
        let Some((list, index)) = self.list.as_ref().and_then(|l| Some((l, l.index(&self.me)?))) else {
            return Publisher::Unreachable;
        };
        let is_root = self.groups.iter().all(|group| group.candidates.is_empty());
        let lost_parent = now - self.parent_received_at >= PARENT_LOST_COMPARES * self.settings.compare_ms;
        if !is_root && (!lost_parent || self.links.is_empty()) {
            return Publisher::Unreachable;
        }
        if is_root || list.has_one_region() || self.links.values().any(|link| link.is_outside) {
            return Publisher::This { delay: 0.0 };
        }
        // The region is partitioned: its relays take turns.
        let score = |router: &RouterId| mix(content_hash, fnv1a(&router.0));
        let region = &list.at(index).region;
        let own_relays = list.relays().iter().map(|i| list.at(*i)).filter(|entry| entry.region == *region);
        let earlier = own_relays.filter(|entry| score(&entry.router) > score(&self.me)).count();
        Publisher::This { delay: earlier as f64 * PARTITION_TURN_WAITS * self.settings.publisher_wait_ms }
    }

    /// The primary parent if it is responsive, or else another responsive parent.
    fn responsive_parent(&self, now: Ms) -> Option<&Link> {
        let is_responsive = |link: &&Link| self.is_responsive(now, link);
        let primary = self.primary.as_ref().and_then(|primary| self.links.get(primary));
        primary
            .filter(is_responsive)
            .or_else(|| self.links.values().filter(is_responsive).find(|link| link.role == Role::Parent))
    }

    /// How long an update is left to others before the parent is queried. Lower tiers query sooner, because an update that only they know has
    /// the longest path to a publisher.
    fn publication_delay(&self, now: Ms, content_hash: u64) -> Ms {
        let settings = &self.settings;
        let place = self.list.as_ref().and_then(|list| Some(list.place(list.index(&self.me)?)));
        match place {
            Some(Place::Control) => {
                // The second control machine queries the first; the others follow once it had time to.
                let order = self.control_order(now, content_hash);
                let rank = order.iter().position(|router| *router == &self.me).unwrap_or(0);
                settings.publisher_wait_ms * rank.clamp(1, 2) as f64
            }
            Some(Place::Tier { tier, .. }) => {
                let sooner = tier as f64 * settings.batch_ms / 2.0;
                (settings.query_delay_ms - sooner).max(MIN_QUERY_DELAY_BATCHES * settings.batch_ms)
            }
            None => settings.query_delay_ms,
        }
    }

    /// Publishes, queries and escalates the pending updates that are due.
    pub(crate) fn advance_pending(&mut self, now: Ms) {
        self.observe_parents(now);
        if self.deduplication.pending.is_empty() {
            return;
        }
        self.update_escalation_parent(now);
        let pending = &self.deduplication.pending;
        if !pending.values().any(|update| update.due <= now) || !self.rate_limit.allows_purges() {
            return;
        }
        let is_control = self.own_level() == Some(Level::Control);
        let ahead = now + QUERY_AHEAD_BATCHES * self.settings.batch_ms;
        let is_due = |update: &PendingUpdate| {
            update.due <= now || (!is_control && !update.is_sent && update.due <= ahead)
        };
        let due: Vec<u64> =
            pending.iter().filter(|(_, update)| is_due(update)).map(|(hash, _)| *hash).collect();
        let mut escalations = Escalations::default();
        for hash in due {
            self.advance_update(now, hash, &mut escalations);
        }
        self.send_escalations(now, escalations);
    }

    /// Updates the time at which a parent last sent anything.
    fn observe_parents(&mut self, now: Ms) {
        let first = if self.parent_received_at == 0.0 { now } else { self.parent_received_at };
        let parents = self.links.values().filter(|link| link.role == Role::Parent);
        self.parent_received_at = parents.map(|link| link.last_received_at).fold(first, f64::max);
    }

    /// After a change of the parent, what was sent to the former one is due again.
    fn update_escalation_parent(&mut self, now: Ms) {
        let parent = self.responsive_parent(now).map(|link| EscalationParent {
            router: link.member.router.clone(),
            established_at: link.established_at,
        });
        if parent == self.escalation_parent {
            return;
        }
        self.escalation_parent = parent;
        if self.own_level() == Some(Level::Control) {
            return;
        }
        for update in self.deduplication.pending.values_mut().filter(|update| update.is_sent) {
            (update.is_sent, update.due) = (false, now);
        }
    }

    fn advance_update(&mut self, now: Ms, hash: u64, escalations: &mut Escalations) {
        let Some(pending) = self.deduplication.pending.get(&hash) else { return };
        let content_hash = content_hash(pending.kind, &pending.update);
        let (is_sent, due, since) = (pending.is_sent, pending.due, pending.since);
        let is_control = self.own_level() == Some(Level::Control);
        match self.publisher(now, content_hash) {
            Publisher::This { delay } => {
                if since + delay <= now {
                    self.publish_pending(now, hash);
                }
            }
            // The control machine that was queried did not answer in time.
            Publisher::Other(_) if is_control && is_sent && due <= now => {
                self.counters.published_for_others += 1;
                self.publish_pending(now, hash);
            }
            Publisher::Other(router) => escalations.add(router, hash),
            Publisher::Unreachable => {}
        }
    }

    pub(crate) fn publish_pending(&mut self, now: Ms, hash: u64) {
        if let Some(pending) = self.deduplication.pending.remove(&hash) {
            self.counters.published_escalated += u64::from(pending.is_escalated);
            self.publish(now, pending.kind, &pending.update);
        }
    }
}
