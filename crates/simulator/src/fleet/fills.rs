//! Fills: a node fetches a missing part from a source on behalf of all requests that wait for it.

use super::*;
use crate::Ms;
use basaltgw::api::{AttemptResult, FillReport, Rank};
use basaltgw_hierarchy::{AfterFailure, FillKey, NodeId, VisitedPath};

/// A fill in progress at a node.
pub(super) struct Fill {
    /// The number of the request to the source.
    pub(super) request_number: u64,
    pub(super) source: NodeIndex,
    /// Sources that failed before.
    pub(super) tried: Vec<NodeId>,
    pub(super) path: VisitedPath,
    pub(super) hops: u32,
    pub(super) spec: FillSpec,
    pub(super) started_at: Ms,
}

/// The parameters of a fill, the same for every source it tries.
#[derive(Clone, Copy)]
pub(super) struct FillSpec {
    pub(super) group: u64,
    pub(super) size_kb: f64,
    pub(super) rank: Rank,
    pub(super) min_origin_time: Ms,
    pub(super) cached_only: bool,
    /// A router named the source; the node tries no other.
    pub(super) source_named: bool,
    pub(super) deadline: Ms,
}

impl Fleet {
    /// The parameters of a fill for a pending request.
    pub(super) fn fill_spec(&self, number: u64, min_origin_time: Ms) -> FillSpec {
        let request = &self.requests[&number];
        let source_named = matches!(request.requester, Requester::Router(_));
        let rank = if source_named { request.rank } else { Rank::Middle };
        let cached_only = source_named && request.cached_only;
        let deadline = self.now + self.spec.net.fill_ms;
        FillSpec {
            group: request.group,
            size_kb: request.size_kb,
            rank,
            min_origin_time,
            cached_only,
            source_named,
            deadline,
        }
    }

    /// The source of a fill and whether it may serve only from its store, or `None` if there is no further source; and the number of loops
    /// that the choice avoided.
    fn choose_source(
        &self,
        at: NodeIndex,
        key: FillKey,
        spec: &FillSpec,
        path: &VisitedPath,
        tried: &[NodeId],
        named: Option<NodeIndex>,
    ) -> (Option<(NodeIndex, bool)>, u64) {
        let (now, node) = (self.now, &self.nodes[at.0]);
        let empty_path = VisitedPath::default();
        let mut loops_detected = 0;
        let checked_path = if self.loop_detection { path } else { &empty_path };
        let id = |node: NodeIndex| &self.nodes[node.0].info.id;
        // A node that waits for this fill must not be its source.
        let waiting = node.shield.waiting_nodes(key).filter(|_| self.loop_detection);
        let excluded: Vec<NodeId> = tried.iter().chain(waiting).cloned().collect();
        let wrong = node.wrong_source.filter(|(_, until)| now < *until).map(|(source, _)| (source, false));
        let next = match named {
            Some(source) => Some((source, spec.cached_only)),
            None => wrong.filter(|(source, _)| !tried.contains(id(*source))).or_else(|| {
                match node.selector.plan() {
                    Some(_) => {
                        let next = node.selector.next_source(now, key.object, checked_path, &excluded)?;
                        // A loop is detected before sending where the plan alone would name a node on the path.
                        let unchecked = node.selector.next_source(now, key.object, &empty_path, tried);
                        loops_detected = u64::from(
                            self.loop_detection && unchecked.is_some_and(|u| path.contains(&u.node)),
                        );
                        Some((self.node_by_id(&next.node)?, next.cached_only))
                    }
                    None => Some((ORIGIN, false)).filter(|_| tried.is_empty()),
                }
            }),
        };
        (next, loops_detected)
    }

    /// Requests a part from the named source, or else from the next source that the node's part of the plan names.
    pub(super) fn fill(
        &mut self,
        at: NodeIndex,
        key: FillKey,
        spec: FillSpec,
        (path, hops): (VisitedPath, u32),
        tried: Vec<NodeId>,
        named: Option<NodeIndex>,
    ) {
        let now = self.now;
        let (next, loops_detected) = self.choose_source(at, key, &spec, &path, &tried, named);
        let Some((source, cached_only)) = next else {
            let waiters = self.nodes[at.0].shield.abandon(key);
            waiters
                .into_iter()
                .for_each(|waiter| self.send_empty(waiter.0, AttemptResult::Error, FillReport::SourceFailed));
            return;
        };
        self.counts.requests_between_nodes += 1;
        self.counts.loops_detected += loops_detected;
        self.last_request_number += 1;
        let number = self.last_request_number;
        let source_id = self.nodes[source.0].info.id.clone();
        self.nodes[at.0].shield.set_source(key, &source_id, source == ORIGIN || cached_only);
        self.nodes[at.0].fills.insert(
            key,
            Fill { request_number: number, source, tried, path: path.clone(), hops, spec, started_at: now },
        );
        let request = PendingRequest {
            requester: Requester::Node(at, key),
            at: source,
            key,
            group: spec.group,
            size_kb: spec.size_kb,
            fill_source: None,
            rank: Rank::Middle,
            min_origin_time: spec.min_origin_time,
            min_stale_origin_time: spec.min_origin_time,
            join_fill: true,
            cached_only,
            write: None,
            deadline: spec.deadline,
            path,
            hops,
            arrived_at: f64::INFINITY,
            response_number: 0,
            joined: false,
        };
        self.requests.insert(number, request);
        let (from, to) = (self.nodes[at.0].info.zone, self.nodes[source.0].info.zone);
        let latency = self.latency(from, to);
        self.schedule(now + latency, Event::RequestArrives { number });
        self.schedule(now + self.spec.net.fill_ms, Event::FillTimeout { node: at, key, number });
    }

    /// Handles a source's response to the fill request `number`.
    pub(super) fn fill_response(
        &mut self,
        at: NodeIndex,
        key: FillKey,
        number: u64,
        cached_only: bool,
        response: NodeResponse,
    ) {
        let n = &mut self.nodes[at.0];
        if !n.up || n.fills.get(&key).is_none_or(|f| f.request_number != number) {
            return;
        }
        let Some(fill) = n.fills.get_mut(&key) else { return };
        match (response.result, response.fill_report) {
            (AttemptResult::Served, _) => {
                let (source, started_at, spec) = (fill.source, fill.started_at, fill.spec);
                n.fills.swap_remove(&key);
                self.counts.cached_only_hits += u64::from(cached_only);
                self.fill_served(at, key, source, started_at, spec, response);
            }
            (AttemptResult::CacheMiss, FillReport::LoopDetected | FillReport::SourceMiss)
                if !fill.spec.source_named =>
            {
                let (spec, path, hops) = (fill.spec, fill.path.clone(), fill.hops);
                let mut tried = std::mem::take(&mut fill.tried);
                let source = fill.source;
                tried.push(self.nodes[source.0].info.id.clone());
                self.nodes[at.0].shield.clear_source(key);
                self.fill(at, key, spec, (path, hops), tried, None);
            }
            (AttemptResult::CacheMiss, fill_report) => {
                n.fills.swap_remove(&key);
                let waiters = n.shield.abandon(key);
                let fill_report = if fill_report == FillReport::LoopDetected {
                    fill_report
                } else {
                    FillReport::SourceMiss
                };
                waiters
                    .into_iter()
                    .for_each(|waiter| self.send_empty(waiter.0, AttemptResult::CacheMiss, fill_report));
            }
            (result, fill_report) => {
                let fill_report = match (result, fill_report) {
                    (_, FillReport::OriginFailed) => FillReport::OriginFailed,
                    _ if fill.source == ORIGIN => FillReport::OriginFailed,
                    (AttemptResult::Rejected, _) => FillReport::SourceRejected,
                    _ => FillReport::SourceFailed,
                };
                self.fill_failed(at, key, fill_report, true);
            }
        }
    }

    /// Stores a copy that a source served and serves it to the waiters.
    fn fill_served(
        &mut self,
        at: NodeIndex,
        key: FillKey,
        source: NodeIndex,
        started_at: Ms,
        spec: FillSpec,
        response: NodeResponse,
    ) {
        let n = &mut self.nodes[at.0];
        let purges = [n.object_purges.get(&key.object), n.group_purges.get(&spec.group)];
        let latest_purge = purges.into_iter().flatten().fold(f64::NEG_INFINITY, |a, b| a.max(*b));
        if response.origin_time >= latest_purge {
            n.store.put(key, response.origin_time, spec.size_kb, spec.rank);
        }
        let completed = n.shield.complete(key, response.origin_time);
        let from_origin = source == ORIGIN || response.fill_report == FillReport::FilledByOrigin;
        let fill_report = if from_origin { FillReport::FilledByOrigin } else { FillReport::FilledBySource };
        for waiter in completed.served {
            let joined = self.requests.get(&waiter.0).is_some_and(|r| r.joined);
            let fill_report = if joined { FillReport::Joined } else { fill_report };
            self.serve(waiter.0, response.origin_time, fill_report, self.now - started_at);
        }
        completed.outdated.into_iter().for_each(|waiter| self.miss(waiter.0));
    }

    /// Ends a failed attempt at a fill: tries the next source if `may_retry`, or else fails the waiters.
    pub(super) fn fill_failed(
        &mut self,
        at: NodeIndex,
        key: FillKey,
        fill_report: FillReport,
        may_retry: bool,
    ) {
        let Some(fill) = self.nodes[at.0].fills.swap_remove(&key) else { return };
        let mut tried = fill.tried;
        tried.push(self.nodes[fill.source.0].info.id.clone());
        // Where a router named the source, the router decides about retries, and the node does not remember the failure.
        if fill.spec.source_named {
            let waiters = self.nodes[at.0].shield.abandon(key);
            return waiters
                .into_iter()
                .for_each(|waiter| self.send_empty(waiter.0, AttemptResult::Error, fill_report));
        }
        let n = &mut self.nodes[at.0];
        let next = n.selector.next_source(self.now, key.object, &fill.path, &tried);
        let after_failure = n.shield.fail(self.now, key, may_retry && next.is_some(), &self.topology);
        match after_failure {
            AfterFailure::Retry => self.fill(at, key, fill.spec, (fill.path, fill.hops), tried, None),
            AfterFailure::Notify(waiters) => waiters
                .into_iter()
                .for_each(|waiter| self.send_empty(waiter.0, AttemptResult::Error, fill_report)),
        }
    }
}
