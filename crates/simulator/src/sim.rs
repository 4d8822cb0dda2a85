//! Runs routers, each with its decision module, and everything that they communicate with in simulated time.

mod events;
mod requests;
mod setup;

use setup::TOPOLOGY_TICK_MS;
pub use setup::{
    plan_spec, router_settings, ChangeStateEntry, ClassMetrics, RunMetrics, SecondMetrics, Setup,
    LATENCY_OBJECTIVE_STRETCH,
};

use crate::arrivals::{Arrival, Arrivals};
use crate::checker::{Checker, ClientResult, Execution, Observation, Rule};
use crate::fleet::{
    nodes, Counts, Fleet, FleetEvent, NodeFault, NodeIndex, NodeInfo, NodeRequest, NodeRequestId,
    NodeResponse, ORIGIN,
};
use crate::spec::{EffectSpec, FleetSpec, LoadSpec, PlanShape, ScriptAction, ScriptEvent};
use crate::{micros, random_stream, rng, Ms, Rng};
use basaltgw::api::*;
use basaltgw::routing::Router;
use basaltgw_config::fill_plan;
use basaltgw_hierarchy as topology;
use basaltgw_hierarchy::{FillKey, NodeId, NodeSpec, Plan, PlanSpec, Tier, TopologyManager, Version};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;

/// The decision module of a router: the real one, or a faulty one for tests of the checker.
pub trait DecisionModule {
    /// Handles an event and appends the resulting actions.
    fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>);
}

impl DecisionModule for Router {
    fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        Router::handle(self, now, event, actions);
    }
}

/// An event of the run that is due at some time; the fleet has events of its own.
enum SimEvent {
    Arrival { router: usize },
    Retry { router: usize, client: Client },
    Timer { router: usize, token: u64 },
    AttemptTimeout { router: usize, number: u64, attempt: usize },
    Outcome { router: usize, outcome: Outcome },
    EndpointUpdate { router: usize, endpoints: Vec<Endpoint> },
    Purge { router: usize, object: Option<u64>, group: u64, purged_at: Ms },
    PlanOffer { router: usize, plan: PlanSpec },
    PlanRollback { router: usize },
    TopologyTick { router: usize },
    Script { index: usize },
    NodeStart { node: NodeIndex },
    NextPurge,
    ExpireRequests,
}

/// A client with its request, over all retries.
#[derive(Clone, Debug)]
struct Client {
    arrival: Arrival,
    retries: u32,
}

/// An attempt of an open request.
struct Attempt {
    node: NodeIndex,
    fill_source: Option<NodeIndex>,
    started_at: Ms,
    running: bool,
}

/// A client's request from its arrival until it is answered and all its attempts have ended.
struct OpenRequest {
    client: Client,
    deadline: Ms,
    answered: bool,
    attempts: Vec<Attempt>,
}

/// A router with its clients and its open requests.
struct RouterState {
    decision_module: Box<dyn DecisionModule>,
    zone: usize,
    arrivals: Arrivals,
    next_arrival: Option<Arrival>,
    topology: TopologyManager,
    open_requests: IndexMap<u64, OpenRequest>,
    /// The router receives no changes of the endpoint list before this.
    list_updates_from: Ms,
}

/// The state of a run.
struct Sim<'a> {
    setup: &'a Setup,
    nodes: Vec<NodeInfo>,
    /// The endpoint list, by node index; spare and stopped nodes are listed as removed.
    endpoints: Vec<Endpoint>,
    node_indices: HashMap<ServerId, NodeIndex>,
    fleet: Fleet,
    routers: Vec<RouterState>,
    checker: Checker,
    events: HashMap<u64, SimEvent>,
    /// Due times of events in microseconds, with the events' numbers, which are the keys of `events`.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    last_event_number: u64,
    last_request_number: u64,
    plan_version: u64,
    /// The indices of the current plan and the one before it.
    current_plan: usize,
    previous_plan: usize,
    rng: Rng,
    now: Ms,
    metrics: RunMetrics,
    /// Latencies of served requests in microseconds.
    latencies: Histogram<u64>,
}

/// The time after the last deadline for which a run continues, so that late answers are still observed.
const END_MARGIN_MS: Ms = 1_000.0;
/// The longest latency that the histogram distinguishes, in microseconds, and the precision of its values in decimal digits.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
const LATENCY_DIGITS: u8 = 3;
/// The seeds of routers' decision modules begin here, after the fleet's and the run's own streams of random numbers.
const ROUTER_SEED_OFFSET: u64 = 7;

/// Runs a setup. `new_module` creates the decision module of a router from its index, settings and seed.
///
/// # Errors
/// If a plan is invalid, or an event of the script names an unknown plan or node.
pub fn run(
    setup: &Setup,
    new_module: impl Fn(usize, Settings, u64) -> Box<dyn DecisionModule>,
) -> Result<RunMetrics, String> {
    let mut sim = Sim::new(setup, new_module)?;
    sim.begin()?;
    let max_deadline = setup.load.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    sim.play(setup.length_ms + max_deadline + END_MARGIN_MS)?;
    Ok(sim.finish())
}

fn endpoint(n: &NodeInfo, state: EndpointState, started: Option<Ms>) -> Endpoint {
    Endpoint {
        id: ServerId(n.id.0.clone()),
        zone: ZoneId(n.zone),
        role: match n.tier {
            0 => Role::Origin,
            1 | 2 => Role::Parent,
            _ => Role::Edge,
        },
        cell: 0,
        state,
        weight: 1.0,
        started,
    }
}

impl<'a> Sim<'a> {
    fn new(
        setup: &'a Setup,
        new_module: impl Fn(usize, Settings, u64) -> Box<dyn DecisionModule>,
    ) -> Result<Self, String> {
        let topology_settings = if setup.staged {
            setup.tree
        } else {
            topology::Settings { handover_duration: 0.0, ..setup.tree }
        };
        let mut fleet = Fleet::new(&setup.fleet, setup.load.groups, topology_settings, setup.seed);
        fleet.loop_detection = setup.loop_detection;
        let nodes = nodes(&setup.fleet);
        let listed = |n: &NodeInfo| if n.spare { EndpointState::Removed } else { EndpointState::Up };
        let endpoints: Vec<Endpoint> = nodes.iter().map(|n| endpoint(n, listed(n), None)).collect();
        let node_indices = endpoints.iter().enumerate().map(|(i, e)| (e.id.clone(), NodeIndex(i))).collect();
        let routers = new_routers(setup, new_module);
        let metrics = RunMetrics::new(setup);
        let latencies =
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, LATENCY_DIGITS).map_err(|e| e.to_string())?;
        Ok(Self {
            checker: Checker::new(&setup.fleet.rules),
            setup,
            nodes,
            endpoints,
            node_indices,
            fleet,
            routers,
            events: HashMap::new(),
            due: BinaryHeap::new(),
            last_event_number: 0,
            last_request_number: 0,
            plan_version: 0,
            current_plan: 0,
            previous_plan: 0,
            rng: rng(setup.seed, random_stream::SIM),
            now: 0.0,
            metrics,
            latencies,
        })
    }

    fn schedule(&mut self, at: Ms, event: SimEvent) {
        self.last_event_number += 1;
        self.events.insert(self.last_event_number, event);
        self.due.push(Reverse((micros(at), self.last_event_number)));
    }

    /// Draws uniformly from a range.
    fn draw_from(&mut self, [min, max]: [f64; 2]) -> Ms {
        min + (max - min).max(0.0) * self.rng.random::<f64>()
    }

    /// True if the endpoint list of a zone's routers contains the node with index `node`: one of their zone, a parent or the origin.
    fn is_listed_in(&self, zone: usize, node: usize) -> bool {
        self.nodes[node].zone == 0 || self.nodes[node].zone == zone
    }

    fn finish(mut self) -> RunMetrics {
        self.checker.expire(self.now);
        let classes = &self.setup.load.classes;
        let weighted_sum = |count: &dyn Fn(&ClassMetrics, &crate::spec::ClassSpec) -> f64| -> f64 {
            self.metrics.classes.iter().zip(classes).map(|(m, c)| count(m, c) * c.worth).sum()
        };
        let requested = weighted_sum(&|m, _| m.requests as f64).max(f64::MIN_POSITIVE);
        let (in_time, late) =
            (weighted_sum(&|m, _| m.in_time as f64), weighted_sum(&|m, c| m.late as f64 * c.late_worth));
        self.metrics.weighted_in_time_share = in_time / requested;
        self.metrics.weighted_answered_share = (in_time + late) / requested;
        self.metrics.latency_p50_ms = self.latencies.value_at_quantile(0.5) as f64 / 1000.0;
        self.metrics.latency_p99_ms = self.latencies.value_at_quantile(0.99) as f64 / 1000.0;
        self.metrics.counts = self.fleet.counts.clone();
        self.metrics.violations.clone_from(self.checker.violations());
        self.metrics
    }
}

fn new_routers(
    setup: &Setup,
    new_module: impl Fn(usize, Settings, u64) -> Box<dyn DecisionModule>,
) -> Vec<RouterState> {
    let mut routers = Vec::new();
    for zone in 1..=setup.fleet.zones {
        for _ in 0..setup.fleet.routers_per_zone {
            let r = routers.len();
            let settings = router_settings(&setup.fleet, &setup.load, zone);
            let seed = basaltgw::hash::mix(setup.seed, r as u64 + ROUTER_SEED_OFFSET);
            routers.push(RouterState {
                decision_module: new_module(r, settings, seed),
                zone,
                arrivals: Arrivals::new(&setup.load, setup.seed, r as u64),
                next_arrival: None,
                topology: TopologyManager::new(setup.tree),
                open_requests: IndexMap::new(),
                list_updates_from: 0.0,
            });
        }
    }
    routers
}

/// The low bits of a [`NodeRequestId`]'s number that contain the attempt; routers make fewer attempts than fit.
const ATTEMPT_BITS: u32 = 4;
const MAX_ATTEMPT_NUMBER: u64 = (1 << ATTEMPT_BITS) - 1;

/// The id of an attempt's request to a node: the client request's number and, in the low bits, the attempt.
fn node_request_id(router: usize, number: u64, attempt: usize) -> NodeRequestId {
    NodeRequestId { router, number: number << ATTEMPT_BITS | (attempt as u64).min(MAX_ATTEMPT_NUMBER) }
}

/// The client request's number and the attempt of an id.
fn request_and_attempt(id: NodeRequestId) -> (u64, usize) {
    (id.number >> ATTEMPT_BITS, (id.number & MAX_ATTEMPT_NUMBER) as usize)
}

/// The number of a client's request by its id for the decision module.
fn request_number(id: &RequestId) -> Option<u64> {
    id.0.parse().ok()
}
