//! Fills: a cache fetches what it lacks, joined by the requests that wait for it.

use super::*;
use crate::Ms;
use basaltgw::api::{AttemptResult, FillReport, Rank};
use basaltgw_hierarchy::{AfterFailure, FillKey, NodeId, VisitedPath};

/// A fill that a node runs.
pub(super) struct Fill {
    pub(super) ask: u64,
    pub(super) source: NodeIx,
    pub(super) tried: Vec<NodeId>,
    pub(super) trail: VisitedPath,
    pub(super) hops: u32,
    pub(super) spec: FillSpec,
    pub(super) begun: Ms,
}

#[derive(Clone, Copy)]
pub(super) struct FillSpec {
    pub(super) group: u64,
    pub(super) kb: f64,
    pub(super) rank: Rank,
    pub(super) since: Ms,
    pub(super) held_only: bool,
    /// A router named the source; the node looks for no other.
    pub(super) named: bool,
    pub(super) deadline: Ms,
}

impl Fleet {
    pub(super) fn fill_spec(&self, no: u64, since: Ms) -> FillSpec {
        let ask = &self.asks[&no];
        let named = matches!(ask.asker, Asker::Router(_));
        let rank = if named { ask.rank } else { Rank::Middle };
        let held_only = named && ask.held_only;
        let deadline = self.now + self.spec.net.fill_ms;
        FillSpec { group: ask.group, kb: ask.kb, rank, since, held_only, named, deadline }
    }

    // ---- Fills ----

    /// Asks the source that was named, or the next that the node's side of the plan names.
    pub(super) fn fill(
        &mut self,
        at: NodeIx,
        key: FillKey,
        spec: FillSpec,
        (trail, hops): (VisitedPath, u32),
        tried: Vec<NodeId>,
        named: Option<NodeIx>,
    ) {
        let (now, n) = (self.now, &self.nodes[at.0]);
        let unseen = VisitedPath::default();
        let mut offered = 0;
        let heeded = if self.heeds_trails { &trail } else { &unseen };
        let id = |ix: NodeIx| &self.nodes[ix.0].info.id;
        // Who waits for this fill must not be asked for it.
        let waiting = n.shield.waiting_nodes(key).filter(|_| self.heeds_trails);
        let asked: Vec<NodeId> = tried.iter().chain(waiting).cloned().collect();
        let wrong = n.wrong.filter(|(_, until)| now < *until).map(|(to, _)| (to, false));
        let next = match named {
            Some(source) => Some((source, spec.held_only)),
            None => wrong.filter(|(to, _)| !tried.contains(id(*to))).or_else(|| match n.side.plan() {
                Some(_) => {
                    let next = n.side.next_source(now, key.object, heeded, &asked)?;
                    // Its plan names somebody whom the fill has passed: a loop that is seen before it is sent.
                    let blind = n.side.next_source(now, key.object, &unseen, &tried);
                    offered = u64::from(self.heeds_trails && blind.is_some_and(|b| trail.contains(&b.node)));
                    Some((self.find(&next.node)?, next.cached_only))
                }
                None => Some((ARCHIVE, false)).filter(|_| tried.is_empty()),
            }),
        };
        let Some((source, held_only)) = next else {
            let told = self.nodes[at.0].shield.abandon(key);
            told.into_iter().for_each(|w| self.word(w.0, AttemptResult::Error, FillReport::SourceFailed));
            return;
        };
        self.counts.between += 1;
        self.counts.loops_offered += offered;
        self.asks_ever += 1;
        let no = self.asks_ever;
        let source_id = self.nodes[source.0].info.id.clone();
        self.nodes[at.0].shield.set_source(key, &source_id, source == ARCHIVE || held_only);
        self.nodes[at.0]
            .fills
            .insert(key, Fill { ask: no, source, tried, trail: trail.clone(), hops, spec, begun: now });
        let inside = Inside {
            asker: Asker::Node(at, key),
            at: source,
            key,
            group: spec.group,
            kb: spec.kb,
            from: None,
            rank: Rank::Middle,
            since: spec.since,
            since_grace: spec.since,
            join: true,
            held_only,
            effect: None,
            deadline: spec.deadline,
            trail,
            hops,
            came: f64::INFINITY,
            token: 0,
            joined: false,
        };
        self.asks.insert(no, inside);
        let (from, to) = (self.nodes[at.0].info.zone, self.nodes[source.0].info.zone);
        let way = self.way(from, to);
        self.at(now + way, Ev::Arrive(no));
        self.at(now + self.spec.net.fill_ms, Ev::FillLate(at, key, no));
    }

    /// A source answered.
    pub(super) fn filled(&mut self, at: NodeIx, key: FillKey, no: u64, held_only: bool, r: Reply) {
        let n = &mut self.nodes[at.0];
        if !n.up || n.fills.get(&key).is_none_or(|f| f.ask != no) {
            return;
        }
        let Some(fill) = n.fills.get_mut(&key) else { return };
        match (r.end, r.note) {
            (AttemptResult::Served, _) => {
                let (source, begun, spec) = (fill.source, fill.begun, fill.spec);
                n.fills.swap_remove(&key);
                self.counts.handed += u64::from(held_only);
                let groups = [n.purged.get(&key.object), n.purged_groups.get(&spec.group)];
                let purged = groups.into_iter().flatten().fold(f64::NEG_INFINITY, |a, b| a.max(*b));
                if r.born >= purged {
                    n.store.put(key, r.born, spec.kb, spec.rank);
                }
                let completed = n.shield.complete(key, r.born);
                let origin = source == ARCHIVE || r.note == FillReport::FilledByOrigin;
                let note = if origin { FillReport::FilledByOrigin } else { FillReport::FilledBySource };
                for w in completed.served {
                    let joined = self.asks.get(&w.0).is_some_and(|a| a.joined);
                    let note = if joined { FillReport::Joined } else { note };
                    self.serve(w.0, r.born, note, self.now - begun);
                }
                completed.outdated.into_iter().for_each(|w| self.miss(w.0));
            }
            (AttemptResult::CacheMiss, FillReport::LoopDetected | FillReport::SourceMiss)
                if !fill.spec.named =>
            {
                let (spec, trail, hops) = (fill.spec, fill.trail.clone(), fill.hops);
                let mut tried = std::mem::take(&mut fill.tried);
                let source = fill.source;
                tried.push(self.nodes[source.0].info.id.clone());
                self.nodes[at.0].shield.clear_source(key);
                self.fill(at, key, spec, (trail, hops), tried, None);
            }
            (AttemptResult::CacheMiss, note) => {
                n.fills.swap_remove(&key);
                let told = n.shield.abandon(key);
                let note = if note == FillReport::LoopDetected { note } else { FillReport::SourceMiss };
                told.into_iter().for_each(|w| self.word(w.0, AttemptResult::CacheMiss, note));
            }
            (end, note) => {
                let note = match (end, note) {
                    (_, FillReport::OriginFailed) => FillReport::OriginFailed,
                    _ if fill.source == ARCHIVE => FillReport::OriginFailed,
                    (AttemptResult::Rejected, _) => FillReport::SourceRejected,
                    _ => FillReport::SourceFailed,
                };
                self.fill_failed(at, key, note, true);
            }
        }
    }

    pub(super) fn fill_failed(&mut self, at: NodeIx, key: FillKey, note: FillReport, again: bool) {
        let Some(fill) = self.nodes[at.0].fills.swap_remove(&key) else { return };
        let mut tried = fill.tried;
        tried.push(self.nodes[fill.source.0].info.id.clone());
        // Whose source a router named leaves it to the router; nor does it remember what failed.
        if fill.spec.named {
            let told = self.nodes[at.0].shield.abandon(key);
            return told.into_iter().for_each(|w| self.word(w.0, AttemptResult::Error, note));
        }
        let n = &mut self.nodes[at.0];
        let next = n.side.next_source(self.now, key.object, &fill.trail, &tried);
        let then = n.shield.fail(self.now, key, again && next.is_some(), &self.set);
        match then {
            AfterFailure::Retry => self.fill(at, key, fill.spec, (fill.trail, fill.hops), tried, None),
            AfterFailure::Notify(told) => {
                told.into_iter().for_each(|w| self.word(w.0, AttemptResult::Error, note))
            }
        }
    }
}
