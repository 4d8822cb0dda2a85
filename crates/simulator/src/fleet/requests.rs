//! Requests at a node: lookups, misses, responses.

use super::*;
use crate::cold::ColdLoad;
use crate::{micros, Ms};
use basaltgw::api::{AttemptResult, FillReport};
use basaltgw_hierarchy::{Admission, FillRequest, VisitedPath, WaiterId};
use rand::RngExt;
use std::cmp::Reverse;

impl Fleet {
    /// Handles a request that arrives at its node.
    pub(super) fn request_arrives(&mut self, number: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.arrived_at = now;
        let (at, requester) = (request.at, request.requester);
        let weight = request.size_kb / self.spec.net.pace_kb_per_ms;
        let n = &mut self.nodes[at.0];
        if !n.up {
            // An unreachable machine does not respond; a machine without the process refuses the connection.
            if !n.vanished {
                self.send_empty(number, AttemptResult::NoConnection, FillReport::NotReported);
            } else if matches!(requester, Requester::Router(_)) {
                let no_connection =
                    NodeResponse::without_copy(AttemptResult::NoConnection, FillReport::NotReported);
                self.respond(number, no_connection, CONNECT_TIMEOUT_MS);
            }
            return;
        }
        if now < n.hung_until {
            return;
        }
        if n.cold_load.as_mut().is_some_and(|c| c.record(now, weight)) {
            n.up = false;
            self.counts.cold_overloads += 1;
            self.output.push(FleetEvent::ColdNodeOverloaded { node: at });
            self.drop_pending(at, true);
            return;
        }
        self.counts.max_cold_limit_share =
            self.counts.max_cold_limit_share.max(n.cold_load.as_ref().map_or(0.0, ColdLoad::max_limit_share));
        let visit = n.selector.visit(&self.requests[&number].path);
        if at == ORIGIN {
            return self.origin_request(number);
        }
        if visit.is_err() {
            self.counts.loops_detected += 1;
            if self.loop_detection {
                return self.send_empty(number, AttemptResult::CacheMiss, FillReport::LoopDetected);
            }
            self.counts.loops_forwarded += 1;
            if self.requests[&number].hops > MAX_HOPS {
                return self.send_empty(number, AttemptResult::Error, FillReport::SourceFailed);
            }
        }
        self.look_up(number);
    }

    /// Serves a request at the origin.
    pub(super) fn origin_request(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let (key, group, size_kb) = (request.key, request.group, request.size_kb);
        if let Some(write) = request.write {
            self.output.push(FleetEvent::WriteExecuted { write });
        } else if matches!(request.requester, Requester::Node(..)) || request.cached_only {
            let object_purges = self.object_purges.get(&key.object).map_or(0, |p| p.0);
            let group_purges = self.group_purges.get(&group).map_or(0, |p| p.0);
            let min_origin_time = request.min_origin_time;
            let last = self.last_origin_fill.insert((key, object_purges + group_purges), self.now);
            *self.counts.origin_fills.entry((key, object_purges + group_purges)).or_insert(0) += 1;
            // The copy served before, since the same purge, would have been recent enough.
            if last.is_some_and(|at| at >= min_origin_time) {
                let lost_in_crash = self.lost_in_crash.remove(&key);
                self.counts.repeated_origin_fills += u64::from(!lost_in_crash);
                self.counts.repeated_origin_fills_after_crash += u64::from(lost_in_crash);
            }
            self.counts.origin_kb += size_kb;
        }
        self.serve(number, self.now, FillReport::FilledByOrigin, 0.0);
    }

    /// Serves a stored copy, or handles a miss.
    pub(super) fn look_up(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let (at, key, min_origin_time, min_stale_origin_time) =
            (request.at, request.key, request.min_origin_time, request.min_stale_origin_time);
        match self.nodes[at.0].store.get(key) {
            Some(copy) if copy.origin_time >= min_origin_time => {
                self.serve(number, copy.origin_time, FillReport::Hit, 0.0)
            }
            Some(copy) if copy.origin_time >= min_stale_origin_time => {
                self.serve(number, copy.origin_time, FillReport::Stale, 0.0);
                self.revalidate(number);
            }
            Some(_) | None => self.miss(number),
        }
    }

    /// Starts a background fill after a stale copy was served.
    pub(super) fn revalidate(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let (at, key) = (request.at, request.key);
        if request.fill_source.is_none()
            || self.nodes[at.0].shield.is_filling(key)
            || !self.has_fill_capacity(at)
        {
            return;
        }
        let path = VisitedPath::default();
        // A fresh copy is sufficient: demanding a new one would send every cache's fill on to the origin.
        let min_origin_time = request.min_origin_time;
        let me = self.nodes[at.0].info.id.clone();
        // No request waits for this fill.
        let (waiter, deadline) = (WaiterId(0), f64::INFINITY);
        let fill_request =
            FillRequest { me: &me, waiter, deadline, min_origin_time, path: &path, cached_only: false };
        let spec = self.fill_spec(number, min_origin_time);
        if self.nodes[at.0].shield.request(self.now, key, fill_request, &self.topology)
            == Admission::StartFill
        {
            let path = self.nodes[at.0].selector.visit(&path).unwrap_or_default();
            let fill_source = self.requests[&number].fill_source;
            self.fill(at, key, spec, (path, 1), Vec::new(), fill_source);
        }
    }

    /// True if the node accepts another fill.
    pub(super) fn has_fill_capacity(&self, at: NodeIndex) -> bool {
        let n = &self.nodes[at.0];
        n.fills.len() < n.info.machine.fills && self.now >= n.refuses_fills_until
    }

    /// Handles a request for a part of which the node has no usable copy: fills it, joins a fill, or responds with a miss.
    pub(super) fn miss(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let (at, key, fill_source, min_origin_time) =
            (request.at, request.key, request.fill_source, request.min_origin_time);
        let from_router = matches!(request.requester, Requester::Router(_));
        let cached_only = !from_router && request.cached_only;
        let filling = self.nodes[at.0].shield.is_filling(key);
        if from_router
            && fill_source.is_none()
            && (self.nodes[at.0].info.tier == 3 || !(filling && request.join_fill))
        {
            let fill_report = if filling { FillReport::Joined } else { FillReport::NotReported };
            return self.send_empty(number, AttemptResult::CacheMiss, fill_report);
        }
        if !filling && !cached_only && !self.has_fill_capacity(at) {
            let result = if from_router { AttemptResult::Error } else { AttemptResult::Rejected };
            return self.send_empty(number, result, FillReport::FillLimitReached);
        }
        let me = self.nodes[at.0].info.id.clone();
        let fill_request = FillRequest {
            me: &me,
            waiter: WaiterId(number),
            deadline: request.deadline,
            min_origin_time,
            path: &request.path,
            cached_only,
        };
        let (requester, path) = (request.requester, request.path.clone());
        match self.nodes[at.0].shield.request(self.now, key, fill_request, &self.topology) {
            Admission::StartFill => {
                let path = self.nodes[at.0].selector.visit(&path).unwrap_or(path);
                let (spec, hops) = (self.fill_spec(number, min_origin_time), self.requests[&number].hops + 1);
                self.fill(at, key, spec, (path, hops), Vec::new(), fill_source);
            }
            Admission::Joined => {
                if let Some(request) = self.requests.get_mut(&number) {
                    request.joined = true;
                }
            }
            Admission::Miss if cached_only => {
                if let Requester::Node(node, _) = requester {
                    let id = self.nodes[node.0].info.id.clone();
                    self.nodes[at.0].selector.record_handover(key.object, &id);
                }
                self.send_empty(number, AttemptResult::CacheMiss, FillReport::SourceMiss);
            }
            Admission::Miss => {
                self.counts.loops_detected += 1;
                self.send_empty(number, AttemptResult::CacheMiss, FillReport::LoopDetected);
            }
            Admission::LimitReached => {
                self.send_empty(number, AttemptResult::Rejected, FillReport::FillLimitReached)
            }
            Admission::FailedRecently => {
                self.send_empty(number, AttemptResult::Error, FillReport::OriginFailed)
            }
        }
    }

    /// Sends a response without a body.
    pub(super) fn send_empty(&mut self, number: u64, result: AttemptResult, fill_report: FillReport) {
        self.respond(number, NodeResponse::without_copy(result, fill_report), EMPTY_RESPONSE_MS);
    }

    /// Sends a copy: it occupies a slot of the node and, to an edge cache, the link of the requester's zone.
    pub(super) fn serve(&mut self, number: u64, origin_time: Ms, fill_report: FillReport, source_wait: Ms) {
        let Some(request) = self.requests.get(&number) else { return };
        let (at, size_kb, now) = (request.at, request.size_kb, self.now);
        let link = match request.requester {
            Requester::Node(node, _) => Some(self.nodes[node.0].info.zone).filter(|z| *z > 0),
            Requester::Router(_) => None,
        };
        let n = &mut self.nodes[at.0];
        let slowdown = if now < n.slowdown.until { n.slowdown.factor } else { 1.0 };
        let capacity_share = n.cold_load.as_ref().map_or(1.0, |c| c.capacity_share(now));
        let sending_time = size_kb / self.spec.net.pace_kb_per_ms * slowdown / capacity_share;
        let Some(Reverse(free_at)) = n.slots_free_at.pop() else { return };
        let start = now.max(free_at as f64 / 1000.0);
        if start - now > n.info.machine.queue_ms {
            n.slots_free_at.push(Reverse(free_at));
            return self.send_empty(number, AttemptResult::Rejected, FillReport::NotReported);
        }
        let mut end = start + sending_time;
        n.slots_free_at.push(Reverse(micros(end)));
        let loss = if now < n.response_loss.until { n.response_loss.probability } else { 0.0 };
        if let Some(zone) = link {
            let done = self.link_free_at[zone].max(start) + size_kb / self.spec.net.link_kb_per_ms;
            self.link_free_at[zone] = done;
            end = end.max(done);
        } else {
            self.counts.edge_served_kb += size_kb;
        }
        if loss > 0.0 && self.rng.random::<f64>() < loss {
            return;
        }
        self.respond(
            number,
            NodeResponse { result: AttemptResult::Served, fill_report, origin_time, source_wait },
            end - now,
        );
    }

    /// Sends a response to the requester after a delay. It replaces an earlier response that has not arrived.
    pub(super) fn respond(&mut self, number: u64, response: NodeResponse, after: Ms) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.response_number += 1;
        let (response_number, at, requester) = (request.response_number, request.at, request.requester);
        let from = self.nodes[at.0].info.zone;
        let to = match requester {
            Requester::Router(_) => from,
            Requester::Node(node, _) => self.nodes[node.0].info.zone,
        };
        let latency = self.latency(from, to);
        self.schedule(
            self.now + after + latency,
            Event::ResponseArrives { number, response_number, response },
        );
    }

    /// Handles a response that arrives at the requester; void responses are ignored.
    pub(super) fn response_arrives(&mut self, number: u64, response_number: u64, response: NodeResponse) {
        if self.requests.get(&number).is_none_or(|r| r.response_number != response_number) {
            return;
        }
        // A hung node sends nothing, and the response is not sent later either.
        let at = self.requests[&number].at;
        if self.now < self.nodes[at.0].hung_until {
            return;
        }
        let Some(request) = self.requests.swap_remove(&number) else { return };
        match request.requester {
            Requester::Router(id) => {
                self.request_numbers.remove(&id);
                self.output.push(FleetEvent::Response { request: id, response });
            }
            Requester::Node(node, key) => {
                self.fill_response(node, key, number, request.cached_only, response)
            }
        }
    }
}
