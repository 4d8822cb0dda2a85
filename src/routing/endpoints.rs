//! The endpoint list: which servers exist, which of them are up, and their rendezvous order.
//!
//! Inputs: the endpoint list with its weights, and the weight penalties of `weight_penalty`. Edge caches
//! count as up in the router's own zone only, parents and the origin in every zone. A removed server keeps
//! its state while attempts or recent sends refer to it, so that a server that reappears is recognised;
//! after that its index is reused, which bounds memory by the list's length.

use super::concurrency_limit::ConcurrencyLimit;
use super::fill_sources::FillSources;
use super::outlier_ejection::OutlierState;
use super::request::Route;
use super::slow_start::{SendLedger, Warmup};
use super::weight_penalty::WeightPenalty;
use super::Router;
use crate::api::*;
use crate::hash::fnv1a;
use basaltgw_structures::Candidates;
use indexmap::IndexMap;
use std::ops::{Index, IndexMut};
use std::sync::Arc;

#[cfg(test)]
mod tests;

/// Weight of a server whose listed weight is unknown or follows its load.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Position of a server in [`Endpoints`]; stays the same while anything refers to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ServerIndex(usize);

/// The state of a server.
pub(super) struct Server {
    pub entry: Endpoint,
    /// Hash of its id, for the rendezvous order.
    pub hash: u64,
    pub outlier: OutlierState,
    pub warmup: Warmup,
    pub limit: ConcurrencyLimit,
    pub penalty: WeightPenalty,
    /// Attempts in flight that name this server as their server or as their fill source.
    pub in_flight: usize,
    /// Sending time, in milliseconds, of the attempts in flight that were sent to the server itself.
    pub in_flight_cost: Ms,
    /// Recent sends; those to a parent include fills.
    pub ledger: SendLedger,
}

impl Server {
    /// A server that was just listed.
    pub fn new(entry: Endpoint, hash: u64, now: Ms, limit: ConcurrencyLimit) -> Self {
        Self {
            hash,
            outlier: OutlierState::new(now),
            warmup: Warmup::new(entry.started, now),
            limit,
            penalty: WeightPenalty::default(),
            in_flight: 0,
            in_flight_cost: 0.0,
            ledger: SendLedger::default(),
            entry,
        }
    }

    /// The listed weight with the penalty applied, relative to other servers.
    pub fn weight(&self) -> f64 {
        self.entry.weight * self.penalty.applied_log().exp()
    }

    /// Replaces the list entry. A later process start voids what was observed of the former process.
    fn update(&mut self, entry: Endpoint, now: Ms) {
        if entry.started > self.entry.started {
            self.warmup.process_started(entry.started, now);
            self.outlier = OutlierState::new(now);
            self.penalty.reset();
        }
        // A list that is late or has no start does not replace a later start that is known.
        let started = entry.started.into_iter().chain(self.entry.started).reduce(f64::max);
        self.entry = Endpoint { started, ..entry };
    }

    /// Whether the server's index can be reused for another server.
    fn is_reusable(&self) -> bool {
        self.entry.state == EndpointState::Removed && self.ledger.is_empty()
    }
}

/// One value for each role.
#[derive(Clone, Debug, Default)]
pub(super) struct ByRole<T>([T; 3]);

impl<T> Index<Role> for ByRole<T> {
    type Output = T;

    fn index(&self, role: Role) -> &T {
        &self.0[role as usize]
    }
}

impl<T> IndexMut<Role> for ByRole<T> {
    fn index_mut(&mut self, role: Role) -> &mut T {
        &mut self.0[role as usize]
    }
}

/// Servers in rendezvous order.
#[derive(Default)]
pub(super) struct ServerOrder(Candidates);

impl ServerOrder {
    /// Orders servers by their hashes and the given weights.
    pub fn new(weighted: impl Iterator<Item = (ServerIndex, f64)>, endpoints: &Endpoints) -> Self {
        Self(Candidates::new(weighted.map(|(server, weight)| (server.0, endpoints[server].hash, weight))))
    }

    /// The servers in the order of a key, found one at a time.
    pub fn iter(&self, key: u64) -> impl Iterator<Item = ServerIndex> + '_ {
        self.0.order(key).map(ServerIndex)
    }

    /// All servers in the order of a key.
    pub fn sorted(&self, key: u64) -> Vec<ServerIndex> {
        self.0.sorted(key).into_iter().map(ServerIndex).collect()
    }
}

/// The servers of a router: those on the endpoint list, and removed ones that something still refers to.
#[derive(Default)]
pub(super) struct Endpoints {
    servers: IndexMap<ServerId, Server>,
    up: ByRole<Vec<ServerIndex>>,
    order: ByRole<ServerOrder>,
}

impl Endpoints {
    /// The server of an id. A new one takes the index of a removed server that is not `in_use`, if there is
    /// one.
    pub fn find_or_insert(
        &mut self,
        id: &ServerId,
        new: impl FnOnce() -> Server,
        in_use: impl Fn(ServerIndex) -> bool,
    ) -> &mut Server {
        let servers = &mut self.servers;
        let index = servers.get_index_of(id).unwrap_or_else(|| {
            let is_free = |index: &usize| servers[*index].is_reusable() && !in_use(ServerIndex(*index));
            let free = (0..servers.len()).find(is_free);
            match free.filter(|index| servers.replace_index(*index, id.clone()).is_ok()) {
                Some(index) => {
                    servers[index] = new();
                    index
                }
                None => servers.insert_full(id.clone(), new()).0,
            }
        });
        &mut servers[index]
    }

    /// The position of a server.
    pub fn index_of(&self, id: &ServerId) -> Option<ServerIndex> {
        self.servers.get_index_of(id).map(ServerIndex)
    }

    /// The server of an id, if it is known.
    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// All servers, removed ones too.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// All servers, removed ones too.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.values_mut()
    }

    /// The servers of a role that are up.
    pub fn up(&self, role: Role) -> &[ServerIndex] {
        &self.up[role]
    }

    /// The servers of a role that are up, in rendezvous order.
    pub fn order(&self, role: Role) -> &ServerOrder {
        &self.order[role]
    }

    /// The origin, if it is up.
    pub fn origin(&self) -> Option<ServerIndex> {
        self.up(Role::Origin).first().copied()
    }

    /// Whether a server is an edge cache.
    pub fn is_edge(&self, server: ServerIndex) -> bool {
        self[server].entry.role == Role::Edge
    }

    /// Recomputes which servers are up, and their order, for a router of a zone.
    fn rebuild(&mut self, zone: ZoneId) {
        for role in [Role::Edge, Role::Parent, Role::Origin] {
            let in_scope = |s: &Server| role != Role::Edge || s.entry.zone == zone;
            let is_up =
                |s: &Server| s.entry.role == role && s.entry.state == EndpointState::Up && in_scope(s);
            let up = self.servers.values().enumerate().filter(|(_, server)| is_up(server));
            self.up[role] = up.map(|(index, _)| ServerIndex(index)).collect();
            self.reorder(role);
        }
    }

    /// Applies the weight penalties of a role's servers and recomputes their order.
    pub fn reorder(&mut self, role: Role) {
        for ServerIndex(index) in &self.up[role] {
            self.servers[*index].penalty.apply();
        }
        let weighted = self.up[role].iter().map(|server| (*server, self[*server].weight()));
        self.order[role] = ServerOrder::new(weighted, self);
    }

    /// Counts an attempt as in flight at the servers of its route. At an ejected server it is a probe.
    pub fn begin_attempt(&mut self, route: &Route, cost: Ms, now: Ms) {
        let server = &mut self[route.server];
        if server.in_flight == 0 {
            server.outlier.silent_since = now;
        }
        server.in_flight_cost += cost;
        for index in route.servers() {
            let server = &mut self[index];
            server.in_flight += 1;
            server.outlier.record_send();
        }
    }

    /// Counts an attempt as no longer in flight.
    pub fn end_attempt(&mut self, route: &Route, cost: Ms) {
        let server = &mut self[route.server];
        server.in_flight_cost = (server.in_flight_cost - cost).max(0.0);
        for index in route.servers() {
            let server = &mut self[index];
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// Moves listed process starts into the past, in milliseconds. An inferred start is a time of this
    /// router's own clock and is not moved.
    fn shift_listed_starts(&mut self, by: Ms) {
        for server in self.servers.values_mut() {
            server.warmup.shift_listed(server.entry.started, by);
            server.entry.started = server.entry.started.map(|started| started - by);
        }
    }
}

impl Index<ServerIndex> for Endpoints {
    type Output = Server;

    fn index(&self, index: ServerIndex) -> &Server {
        &self.servers[index.0]
    }
}

impl IndexMut<ServerIndex> for Endpoints {
    fn index_mut(&mut self, index: ServerIndex) -> &mut Server {
        &mut self.servers[index.0]
    }
}

impl Router {
    /// Applies an update of the endpoint list.
    pub(super) fn on_endpoints(
        &mut self,
        update: EndpointUpdate,
        entries: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        match update {
            EndpointUpdate::Failed => {
                if self.settings.must_watch_endpoints {
                    actions.push(Action::WatchEndpoints);
                }
                return;
            }
            EndpointUpdate::Complete => {
                self.endpoints.iter_mut().for_each(|s| s.entry.state = EndpointState::Removed);
            }
            EndpointUpdate::Delta => {}
        }
        for entry in entries {
            self.update_endpoint(entry);
        }
        self.endpoints.rebuild(self.settings.zone);
        self.fill_sources.rebuild(&self.endpoints);
    }

    /// Adds a server or replaces its entry.
    fn update_endpoint(&mut self, mut entry: Endpoint) {
        let Self { endpoints, requests, settings, now, .. } = self;
        // Weights that follow the servers' load would move every object's home with each list.
        let is_stable = !settings.dynamic_weights && entry.weight > 0.0;
        entry.weight = if is_stable { entry.weight } else { DEFAULT_WEIGHT };
        let senders = if entry.role == Role::Edge { settings.zone_routers } else { settings.routers };
        let new = || {
            let limit = ConcurrencyLimit::new(*now, senders);
            Server::new(entry.clone(), fnv1a(&entry.id.0), *now, limit)
        };
        let server = endpoints.find_or_insert(&entry.id, new, |index| requests.any_refers_to(index));
        server.update(entry, *now);
    }

    /// Replaces the plan of fill sources.
    pub(super) fn on_fill_plan(&mut self, plan: Option<Arc<FillPlan>>) {
        self.fill_sources = FillSources::new(plan);
        self.fill_sources.rebuild(&self.endpoints);
    }

    /// Moves purges and listed process starts into the past, in milliseconds.
    pub(super) fn on_clock_corrected(&mut self, shift: Ms) {
        self.purges.shift(shift);
        self.endpoints.shift_listed_starts(shift);
    }
}
