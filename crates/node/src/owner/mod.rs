//! The owner of the decision module: the single task that has all state of requests and exchanges events and actions with the module.
//!
//! - `state`: the parts of its state; `timers` and `batch`: queues, timers and batches; `inputs`: one arm for each input;
//! - `clients` and `client_inputs`: clients' connections; `requester`: where a request comes from and its response goes;
//! - `requests`, `admission` and `executed_ids`: a request from its admission to its response, and its id after that; `attempts`: its attempts; `lease`: its lease in a fleet;
//! - `watch_events`: endpoint lists and purges of the change log; `fleet_events`: notifications of the fleet's threads;
//! - `scatter_gather`: requests for several parts; `snapshot`: what the next process takes over; `memory_pressure`.

mod admission;
mod attempts;
mod batch;
mod client_inputs;
mod clients;
mod executed_ids;
mod fleet_events;
mod inputs;
mod lease;
mod memory_pressure;
mod requester;
mod requests;
mod scatter_gather;
mod snapshot;
mod state;
#[cfg(test)]
mod tests;
mod timers;
mod watch_events;

use crate::caches::{RequestNo, ServerPool};
use crate::connection::ConnectionSlots;
use crate::counters::Counters;
use crate::fleet::Fleet;
use crate::shutdown::GracefulShutdown;
use crate::tree::Tree;
use crate::ConnectionContext;
use basaltgw::api::RequestId;
use basaltgw::routing::snapshot::Snapshot;
use basaltgw::routing::Router;
use basaltgw_config::{RouterConfig, RouterSettings};
pub use batch::ExitReport;
use clients::Clients;
use executed_ids::ExecutedIds;
use requests::Requests;
use scatter_gather::ScatterGather;
use state::{Memory, Monitors, RoutingConfig, Schedule, Time, Upstream};
use std::rc::Rc;
use std::sync::Arc;

/// The owner of the decision module.
pub struct Owner {
    router: Router,
    config: RoutingConfig,
    time: Time,
    memory: Memory,
    monitors: Monitors,
    clients: Clients,
    requests: Requests,
    executed_ids: ExecutedIds,
    upstream: Upstream,
    schedule: Schedule,
    /// The fleet of routers, if the settings file has one.
    fleet: Option<Fleet>,
    /// Scatter-gather requests, if the settings file enables them.
    scatter_gather: Option<ScatterGather>,
    shutdown: GracefulShutdown,
    counters: Counters,
}

/// The id under which the decision module knows a request.
fn request_id(number: RequestNo) -> RequestId {
    RequestId(Arc::from(number.0.to_string()))
}

/// The number of the request that the decision module knows under this id.
fn request_no(id: &RequestId) -> Option<RequestNo> {
    id.0.parse().ok().map(RequestNo)
}

impl Owner {
    /// An owner whose decision module has handled the endpoint lists and purges in the configuration. `settings` are those of the settings
    /// file.
    pub fn new(
        config: &RouterConfig,
        settings: &RouterSettings,
        context: &ConnectionContext,
        caches: ServerPool,
    ) -> Self {
        let mut owner = Self {
            router: Router::new(config.settings.clone(), config.seed),
            config: RoutingConfig::new(config),
            time: Time::new(context.clock),
            memory: Memory::new(context),
            monitors: Monitors::new(config, context),
            clients: Clients::default(),
            requests: Requests::new(config.transport.max_open_requests),
            executed_ids: ExecutedIds::default(),
            upstream: Upstream::new(caches, Tree::new(settings.hierarchy.as_ref())),
            schedule: Schedule::default(),
            fleet: None,
            scatter_gather: None,
            shutdown: GracefulShutdown::default(),
            counters: Counters::default(),
        };
        owner.router.expect_write_events();
        owner.handle_known_events(&config.known_events);
        if let Some(hierarchy) = &settings.hierarchy {
            owner.offer_plan(hierarchy);
        }
        owner
    }

    /// The slots of clients' connections, for the task that accepts them.
    pub fn client_slots(&self) -> Rc<ConnectionSlots> {
        Rc::clone(&self.clients.slots)
    }

    /// Restores a snapshot of an earlier process; its times are Unix times in milliseconds.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let snapshot = self.map_to_local_times(snapshot);
        let (servers, purges) = (snapshot.servers.len(), snapshot.purges.len());
        let restored = self.router.restore(self.time.now, snapshot);
        self.counters.files.servers_restored.set(restored as u64);
        log::info!("snapshot restored: {restored} of {servers} servers, {purges} purges");
    }

    /// Joins a fleet. From now on, requests that must not run twice are leased if the fleet's settings require it.
    pub fn join_fleet(&mut self, mut fleet: Fleet) {
        if let Some(config) = fleet.scatter_gather.take() {
            match ScatterGather::new(config) {
                Ok(scatter_gather) => self.scatter_gather = Some(scatter_gather),
                Err(error) => log::error!("scatter-gather requests are disabled: {error}"),
            }
        }
        self.fleet = Some(fleet);
    }
}
