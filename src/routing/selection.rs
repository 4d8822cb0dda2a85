//! Which cache a request goes to, and which source fills a miss.
//!
//! Inputs: the rendezvous orders of the servers that are up, the servers that the request's earlier attempts
//! exclude, health, slow start, concurrency limits, and the sending time in milliseconds of what is in
//! flight. An object's home is the first usable cache in its order, so that all routers of a zone share one
//! copy; parts of an object whose home is overloaded spread over the other caches. While the link or a source
//! is at its limit, a request is only looked up at its cache.

use super::endpoints::{Server, ServerIndex};
use super::request::{LookupResult, RequestIndex, Route};
use super::Router;
use crate::api::*;
use crate::hash::mix;

/// A home is overloaded above this multiple of the candidates' mean load. Load is sending time in flight, in
/// milliseconds, per unit of weight; each candidate is counted with one more mean request.
const MAX_RELATIVE_LOAD: f64 = 1.25;

impl Router {
    /// Whether a request is executed at the origin and its response never cached.
    pub(super) fn runs_at_origin(&self, request: &Request, class: ClassId) -> bool {
        self.settings.classes[class.0].uncacheable || request.write
    }

    /// The route of a request's next attempt; `None` if no server can take it now.
    pub(super) fn select_route(&self, index: RequestIndex) -> Option<Route> {
        let pending = &self.requests[index];
        if self.runs_at_origin(&pending.request, pending.class) {
            self.select_origin_route(index)
        } else {
            self.select_cache_route(index)
        }
    }

    /// A route to an edge cache, with a source for a miss. While the link or the source is at its limit the
    /// route is a lookup without a source; while the origin is, the source answers from its cache only.
    fn select_cache_route(&self, index: RequestIndex) -> Option<Route> {
        let pending = &self.requests[index];
        let headroom = self.headroom_factor(pending.class);
        let origin = self.endpoints.origin();
        let edge = self.select_edge(index);
        let source = self.select_source(index, edge);
        let may_fill =
            source.is_some_and(|s| self.permits_fill(s, headroom)) && self.link_permits_fill(headroom);
        let origin_ready =
            origin.is_none_or(|o| self.permits_fill(o, headroom) && self.origin_admits_fill(o));
        let Some(server) = edge else {
            // Without a warm cache in the zone, a parent serves the request, with the origin as its source.
            let parent = source.filter(|_| may_fill && self.settings.direct_to_parents)?;
            let source = origin.filter(|origin| origin_ready && parent != *origin);
            return (!self.has_warm_edge()).then_some(Route { server: parent, source, cached_only: false });
        };
        match pending.lookup {
            LookupResult::FillInProgress => Some(Route { server, source, cached_only: false }),
            LookupResult::ParentMiss if may_fill && origin_ready => {
                Some(Route { server, source, cached_only: false })
            }
            // While the origin is at its limit, the parent serves only what it has cached.
            LookupResult::Unknown | LookupResult::EdgeMiss if may_fill => {
                Some(Route { server, source, cached_only: !origin_ready && source != origin })
            }
            // While the link or the source is at its limit, a lookup without them: only a miss needs them.
            LookupResult::Unknown => Some(Route { server, source: None, cached_only: false }),
            LookupResult::EdgeMiss | LookupResult::ParentMiss => None,
        }
    }

    fn has_warm_edge(&self) -> bool {
        self.endpoints.up(Role::Edge).iter().any(|server| self.is_warm(*server))
    }

    /// The edge cache: the first in rendezvous order that takes the request, unless it is overloaded.
    fn select_edge(&self, index: RequestIndex) -> Option<ServerIndex> {
        let pending = &self.requests[index];
        let headroom = self.headroom_factor(pending.class);
        let attempt_cost = self.statistics.attempt_cost(pending.class);
        let mut candidates = self.endpoints.order(Role::Edge).sorted(pending.request.object.0);
        candidates.retain(|server| self.is_usable(*server) && !pending.excludes(*server));
        candidates.retain(|server| {
            self.permits_request(*server, headroom) && self.has_slow_start_capacity(*server, attempt_cost)
        });
        self.spread_load(index, &candidates)
    }

    /// The first candidate; if it is overloaded, another one by the part's own order.
    fn spread_load(&self, index: RequestIndex, candidates: &[ServerIndex]) -> Option<ServerIndex> {
        let pending = &self.requests[index];
        let key = pending.request.object.0;
        let server = |index: &ServerIndex| -> &Server { &self.endpoints[*index] };
        let load = |index: &ServerIndex| server(index).in_flight_cost / server(index).weight();
        let cost = self.statistics.mean_sending_time(pending.class);
        let total_weight = candidates.iter().map(|index| server(index).weight()).sum::<f64>();
        let mean_load =
            candidates.iter().map(|index| server(index).in_flight_cost).sum::<f64>() / total_weight;
        let max_load = MAX_RELATIVE_LOAD * (mean_load + cost * candidates.len() as f64 / total_weight);
        let home = candidates.first().copied()?;
        if load(&home) <= max_load {
            return Some(home);
        }
        let part_key = mix(key, pending.request.part.0 + 1);
        let mut spread =
            self.endpoints.order(Role::Edge).iter(part_key).filter(|index| candidates.contains(index));
        spread.find(|index| load(index) <= max_load).or(Some(home))
    }

    /// The source of a miss at an edge cache: the object's home among all listed parents, or among those that
    /// the plan names for the cache, else the next in rendezvous order, else the origin if the plan allows
    /// it.
    fn select_source(&self, index: RequestIndex, edge: Option<ServerIndex>) -> Option<ServerIndex> {
        let pending = &self.requests[index];
        let object = pending.request.object.0;
        let fill_cost = self.statistics.fill_cost(&pending.request, pending.class);
        let is_ready = |server: &ServerIndex| {
            self.is_usable(*server)
                && !pending.excludes(*server)
                && self.has_slow_start_capacity(*server, fill_cost)
        };
        // Without a selected cache, the sources that the plan names for the first one that is up.
        let edge = edge.or(self.endpoints.up(Role::Edge).first().copied());
        let plan = edge.and_then(|edge| self.fill_sources.for_edge(edge));
        let key = mix(object, 0);
        let parent = match plan {
            None => self.endpoints.order(Role::Parent).iter(key).find(is_ready),
            Some(plan) => {
                let assigned = |source: &ServerIndex| plan.assigns(object, *source, &self.endpoints);
                let home = plan.order().iter(key).find(|source| assigned(source) && is_ready(source));
                // A source outside its present share is better than none.
                home.or_else(|| plan.order().iter(key).find(is_ready))
            }
        };
        let may_use_origin = plan.is_none_or(|plan| plan.allows_origin());
        let origin = self.endpoints.origin().filter(|_| may_use_origin);
        parent.or_else(|| origin.filter(|origin| self.is_usable(*origin)))
    }

    /// The route of a request that is executed at the origin: directly, else through a parent; through an
    /// edge cache if parents and the origin take no requests directly.
    fn select_origin_route(&self, index: RequestIndex) -> Option<Route> {
        let pending = &self.requests[index];
        let untried = |server: &ServerIndex| !pending.attempts.iter().any(|a| a.route.server == *server);
        let origin = self.endpoints.origin();
        let direct = origin.filter(|origin| self.settings.direct_to_parents && untried(origin));
        if let Some(server) = direct.filter(|origin| self.is_usable(*origin)) {
            return Some(Route { server, source: None, cached_only: false });
        }
        let role = if self.settings.direct_to_parents { Role::Parent } else { Role::Edge };
        let mut order = self.endpoints.order(role).iter(mix(pending.request.object.0, 0));
        let server = order.find(|server| self.is_warm(*server) && untried(server)).or(direct)?;
        Some(Route { server, source: origin, cached_only: false })
    }
}
