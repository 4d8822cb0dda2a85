//! Escalation: queries of pending updates at the publisher or parent, and the updates that it does not know.
//!
//! A query names updates by short hashes under the neighbor's key; once repeated, or between control machines, by full hashes. Unknown updates
//! are escalated to the neighbor, which publishes or escalates them in turn. Without an answer a query is repeated after
//! `query_retry_ms`, between control machines after twice `publisher_wait_ms`.

use crate::deduplication::{keyed_hash, short_hash, PendingUpdate};
use crate::frame::{pack, Part, MAX_HASHES};
use crate::injected_bug::InjectedBug;
use crate::link::{Level, Role};
use crate::overlay::Overlay;
use crate::router_list::short_name;
use crate::{Action, Kind, Origin};
use basaltgw_types::{Ms, RouterId};
use std::collections::BTreeSet;

/// Largest number of escalated updates in one frame.
const MAX_ESCALATED: usize = 256;
/// Largest total size of escalated updates in one frame, in bytes.
const MAX_ESCALATED_BYTES: usize = 16_384;

/// Updates to query or escalate, by the neighbor that receives them.
#[derive(Default)]
pub(crate) struct Escalations(Vec<(RouterId, Vec<u64>)>);

impl Overlay {
    /// Adds queries and escalated updates to the next frames. Without capacity they remain due.
    pub(crate) fn send_escalations(&mut self, now: Ms, escalations: Escalations) {
        for (router, hashes) in escalations.0 {
            let Some(neighbor_key) = self.links.get(&router).and_then(|link| link.hash_key) else { continue };
            let batch = self.take_escalation_batch(now, neighbor_key, hashes);
            self.counters.queried += (batch.short.len() + batch.full.len()) as u64;
            self.counters.escalated += batch.updates.len() as u64;
            if let Some(link) = self.links.get_mut(&router) {
                for part in batch.into_parts() {
                    link.enqueue(part);
                }
            }
        }
    }

    /// Collects what fits into one frame, and marks it as sent.
    fn take_escalation_batch(&mut self, now: Ms, neighbor_key: u64, hashes: Vec<u64>) -> EscalationBatch {
        let is_control = self.own_level() == Some(Level::Control);
        let (retry_ms, publisher_wait_ms) = (self.settings.query_retry_ms, self.settings.publisher_wait_ms);
        let mut batch = EscalationBatch::default();
        for hash in hashes {
            let Some(pending) = self.deduplication.pending.get_mut(&hash) else { continue };
            if !batch.has_capacity(pending) {
                continue;
            }
            let query_hash = keyed_hash(neighbor_key, pending.kind, &pending.update);
            let is_old = now - pending.since >= retry_ms;
            if pending.escalates() {
                batch.bytes += pending.update.len();
                batch.updates.push((pending.kind, pending.update.clone()));
            } else if is_control || pending.was_sent_before || is_old {
                batch.full.push(query_hash.to_le_bytes());
            } else {
                batch.short.push(short_hash(query_hash));
            }
            self.counters.queried_again += u64::from(pending.was_sent_before);
            (pending.is_sent, pending.was_sent_before) = (true, true);
            pending.due = now + if is_control { 2.0 * publisher_wait_ms } else { retry_ms };
        }
        batch
    }

    /// A neighbor queries updates by short hashes; no state is stored for it.
    pub(crate) fn on_query(&mut self, router: &RouterId, hashes: &[[u8; 4]]) {
        let claims_all =
            self.bugs.has(InjectedBug::ClaimsToKnowAll) || self.bugs.has(InjectedBug::ShortHashesCollide);
        let is_unknown = |hash: &[u8; 4]| !claims_all && !self.deduplication.contains_short(*hash);
        let unknown: Vec<[u8; 4]> = hashes.iter().copied().filter(is_unknown).collect();
        self.answer_unknown(router, &unknown);
    }

    /// A neighbor queries updates by full hashes. Updates pending here are neither known nor unknown.
    pub(crate) fn on_full_query(&mut self, router: &RouterId, hashes: &[[u8; 8]]) {
        let claims_all = self.bugs.has(InjectedBug::ClaimsToKnowAll);
        let (mut unknown, mut known) = (Vec::new(), Vec::new());
        for bytes in hashes {
            let hash = u64::from_le_bytes(*bytes);
            match claims_all || self.deduplication.contains(hash) {
                true if self.deduplication.pending.contains_key(&hash) => {}
                true => known.push(*bytes),
                false => unknown.push(short_hash(hash)),
            }
        }
        self.answer_unknown(router, &unknown);
        if let Some(link) = self.links.get_mut(router) {
            self.counters.requests_dropped += u64::from(!link.answers.add_known(&known));
        }
    }

    fn answer_unknown(&mut self, router: &RouterId, unknown: &[[u8; 4]]) {
        self.counters.unknown += unknown.len() as u64;
        if let Some(link) = self.links.get_mut(router) {
            self.counters.requests_dropped += u64::from(!link.answers.add_unknown(unknown));
        }
    }

    /// A neighbor does not know queried updates: they are escalated to it.
    pub(crate) fn on_unknown(&mut self, now: Ms, router: &RouterId, hashes: &[[u8; 4]]) {
        let Some(neighbor_key) = self.links.get(router).and_then(|link| link.hash_key) else {
            self.counters.stray_events += 1;
            return;
        };
        let unknown: BTreeSet<[u8; 4]> = hashes.iter().copied().collect();
        let is_unknown = |pending: &PendingUpdate| {
            let query_hash = keyed_hash(neighbor_key, pending.kind, &pending.update);
            pending.is_sent && unknown.contains(&short_hash(query_hash))
        };
        if self.bugs.has(InjectedBug::DropsQueriedUpdates) {
            self.deduplication.pending.retain(|_, pending| !is_unknown(pending));
        }
        for pending in self.deduplication.pending.values_mut().filter(|pending| is_unknown(pending)) {
            (pending.is_escalated, pending.is_sent, pending.due) = (true, false, now);
        }
    }

    /// A neighbor knows queried updates: they arrive by their streams.
    pub(crate) fn on_known(&mut self, router: &RouterId, hashes: &[[u8; 8]]) {
        let Some(neighbor_key) = self.links.get(router).and_then(|link| link.hash_key) else {
            self.counters.stray_events += 1;
            return;
        };
        let known: BTreeSet<u64> = hashes.iter().map(|hash| u64::from_le_bytes(*hash)).collect();
        let before = self.deduplication.pending.len();
        let is_known = |pending: &PendingUpdate| {
            pending.is_sent && known.contains(&keyed_hash(neighbor_key, pending.kind, &pending.update))
        };
        self.deduplication.pending.retain(|_, pending| !is_known(pending));
        self.counters.pending_resolved += (before - self.deduplication.pending.len()) as u64;
    }

    /// Updates that a child escalates because they are not known here, or another control machine because this one is to publish them.
    pub(crate) fn on_escalation(
        &mut self,
        now: Ms,
        router: &RouterId,
        kind: Kind,
        updates: Vec<Vec<u8>>,
        actions: &mut Vec<Action>,
    ) {
        let is_from_peer = self.links.get(router).is_some_and(|link| link.role == Role::Peer);
        for update in updates {
            let hash = self.deduplication.hash(kind, &update);
            if self.deduplication.pending.len() >= self.settings.max_pending && !is_from_peer {
                self.counters.escalations_rejected += 1;
                continue;
            }
            if self.deduplication.insert(hash) {
                let origin = Origin { router: short_name(&self.me), incarnation: self.incarnation };
                actions.push(Action::Deliver(kind, update.clone(), origin));
                let pending =
                    PendingUpdate { is_escalated: true, ..PendingUpdate::new(now, now, kind, update) };
                self.deduplication.pending.insert(hash, pending);
            }
            // The peer chose this router as the publisher, and would choose it again: no other router is queried.
            if is_from_peer {
                self.publish_pending(now, hash);
            }
        }
    }
}

impl Escalations {
    pub fn add(&mut self, router: RouterId, hash: u64) {
        match self.0.iter_mut().find(|(receiver, _)| *receiver == router) {
            Some((_, hashes)) => hashes.push(hash),
            None => self.0.push((router, vec![hash])),
        }
    }
}

/// Queries and escalated updates for one frame.
#[derive(Default)]
struct EscalationBatch {
    short: Vec<[u8; 4]>,
    full: Vec<[u8; 8]>,
    updates: Vec<(Kind, Vec<u8>)>,
    /// Total size of `updates`.
    bytes: usize,
}

impl EscalationBatch {
    fn has_capacity(&self, pending: &PendingUpdate) -> bool {
        if !pending.escalates() {
            return self.short.len().max(self.full.len()) < MAX_HASHES;
        }
        self.updates.is_empty()
            || (self.updates.len() < MAX_ESCALATED
                && self.bytes + pending.update.len() <= MAX_ESCALATED_BYTES)
    }

    fn into_parts(self) -> impl Iterator<Item = Part> {
        let short = (!self.short.is_empty()).then_some(Part::Query(self.short));
        let full = (!self.full.is_empty()).then_some(Part::FullQuery(self.full));
        short.into_iter().chain(full).chain(escalation_parts(self.updates))
    }
}

/// Updates by kind, each packed relative to the previous one.
fn escalation_parts(mut escalated: Vec<(Kind, Vec<u8>)>) -> Vec<Part> {
    escalated.sort();
    let mut parts: Vec<Part> = Vec::new();
    let mut previous: Option<(Kind, Vec<u8>)> = None;
    for (kind, update) in escalated {
        let same_kind = previous.as_ref().filter(|(previous_kind, _)| *previous_kind == kind);
        let packed = pack(same_kind.map_or(&[][..], |(_, update)| update.as_slice()), &update);
        match (parts.last_mut(), same_kind) {
            (Some(Part::Escalation { updates, .. }), Some(_)) => updates.push(packed),
            _ => parts.push(Part::Escalation { kind, updates: vec![packed] }),
        }
        previous = Some((kind, update));
    }
    parts
}
