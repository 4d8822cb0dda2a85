//! The setup of a run, its metrics, and the settings and plans derived from the setup.

use super::*;

/// Everything that determines a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    /// The fleet.
    pub fleet: FleetSpec,
    /// The clients' requests.
    pub load: LoadSpec,
    /// Faults, restarts, plan changes and purges, by time.
    pub script: Vec<ScriptEvent>,
    /// Plans by name; the first is active from the start.
    pub plans: Vec<PlanShape>,
    /// Settings of topology changes of the cache tree.
    pub tree: topology::Settings,
    /// How long clients send new requests.
    pub length_ms: Ms,
    /// Routers apply a new plan in steps, with a handover from the old sources; otherwise at once and without a handover.
    pub staged: bool,
    /// Nodes reject requests that have already visited them.
    pub loop_detection: bool,
    /// The seed of every random draw.
    pub seed: u64,
}

/// Metrics of one request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassMetrics {
    /// The name of the class.
    pub name: String,
    /// Requests, without the clients' retries.
    pub requests: u64,
    /// Requests served within the latency objective.
    pub in_time: u64,
    /// Requests served after the latency objective.
    pub late: u64,
    /// Sizes of the requested parts in KB.
    pub requested_kb: Vec<f64>,
    /// Sizes of the served parts in KB, in time or late.
    pub served_kb: Vec<f64>,
}

/// The requests that arrived within one second, each weighted by its class's priority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondMetrics {
    /// The weight of all requests.
    pub requested_weight: f64,
    /// The weight of the requests served within the latency objective.
    pub in_time_weight: f64,
}

impl SecondMetrics {
    /// The weighted share of requests served in time; NaN for a second without requests.
    pub fn weighted_in_time_share(&self) -> f64 {
        if self.requested_weight > 0.0 {
            self.in_time_weight / self.requested_weight
        } else {
            f64::NAN
        }
    }
}

/// A state of a plan change that a router entered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeStateEntry {
    /// The index of the router.
    pub router: usize,
    /// When the router entered the state.
    pub at: Ms,
    /// The version of the plan.
    pub version: u64,
    /// The state.
    pub state: topology::ChangeState,
}

/// The metrics of a run.
#[derive(Clone, Debug)]
pub struct RunMetrics {
    /// Metrics by class.
    pub classes: Vec<ClassMetrics>,
    /// The share of requests served within the latency objective, weighted by class.
    pub weighted_in_time_share: f64,
    /// Like `weighted_in_time_share`, with late answers counted at their class's share for late answers.
    pub weighted_answered_share: f64,
    /// Metrics by second of arrival.
    pub seconds: Vec<SecondMetrics>,
    /// Requests that were served.
    pub served: u64,
    /// Final answers that rejected the request, clients' retries included.
    pub rejected: u64,
    /// Final answers that reported a failure, clients' retries included.
    pub failed: u64,
    /// Attempts started by routers.
    pub attempts: u64,
    /// Events handled by decision modules.
    pub decisions: u64,
    /// The median time from a client's first request to the answer.
    pub latency_p50_ms: f64,
    /// The 99th percentile of the time from a client's first request to the answer.
    pub latency_p99_ms: f64,
    /// The fleet's counts.
    pub counts: Counts,
    /// Violations by rule: their number, and a description of the first.
    pub violations: BTreeMap<Rule, (u64, String)>,
    /// States of plan changes in the order in which routers entered them.
    pub change_states: Vec<ChangeStateEntry>,
    /// Why routers rejected plans.
    pub rejected_plans: Vec<String>,
}

impl RunMetrics {
    /// The metrics of a run that has not begun.
    pub(super) fn new(setup: &Setup) -> Self {
        let classes =
            setup.load.classes.iter().map(|c| ClassMetrics { name: c.name.clone(), ..Default::default() });
        Self {
            classes: classes.collect(),
            weighted_in_time_share: 0.0,
            weighted_answered_share: 0.0,
            seconds: vec![SecondMetrics::default(); (setup.length_ms / 1000.0).ceil() as usize + 1],
            served: 0,
            rejected: 0,
            failed: 0,
            attempts: 0,
            decisions: 0,
            latency_p50_ms: 0.0,
            latency_p99_ms: 0.0,
            counts: Counts::default(),
            violations: BTreeMap::new(),
            change_states: Vec::new(),
            rejected_plans: Vec::new(),
        }
    }

    /// True if every router has completed each plan change that it started.
    pub fn all_changes_completed(&self) -> bool {
        let mut last: HashMap<usize, topology::ChangeState> = HashMap::new();
        self.change_states.iter().for_each(|entry| {
            last.insert(entry.router, entry.state);
        });
        last.values().all(|s| *s == topology::ChangeState::Completed)
    }
}

/// The settings of a zone's routers.
pub fn router_settings(fleet: &FleetSpec, load: &LoadSpec, zone: usize) -> Settings {
    let slow_start = |c: &crate::spec::ColdSpec| SlowStartPolicy {
        initial_share: c.share,
        ramp_duration: c.span_ms,
        overload_factor: c.multiple,
        overload_window: c.window_ms,
    };
    let class = |c: &crate::spec::ClassSpec| Class {
        name: c.name.clone(),
        latency_objective: c.aim_ms,
        latency_objective_stretch: LATENCY_OBJECTIVE_STRETCH,
        deadline: c.deadline_ms,
        idempotency: if c.effect == EffectSpec::Safe {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        },
        key_scope: KeyScope::All,
        key_window: 0.0,
        priority_weight: c.worth,
        late_weight_share: c.late_worth,
        fresh_for: c.fresh_ms,
        stale_for: c.grace_ms,
        uncacheable: c.effect == EffectSpec::Unsafe,
    };
    Settings {
        zone: ZoneId(zone),
        zone_routers: fleet.routers_per_zone,
        routers: fleet.routers_per_zone * fleet.zones,
        zone_parent_group: vec![ZoneId(0); fleet.zones + 1],
        classes: load.classes.iter().map(class).collect(),
        edge_slow_start: slow_start(&fleet.rules.cold_edge),
        parent_slow_start: slow_start(&fleet.rules.cold_parent),
        drain_grace: fleet.rules.drain_grace_ms,
        purge_grace: fleet.rules.purge_grace_ms,
        purge_convergence_time: fleet.rules.purge_settles_ms,
        hedging: false,
        cancel: true,
        retry_after: true,
        max_retry_after: MAX_RETRY_AFTER_MS,
        max_attempts: MAX_ATTEMPTS,
        direct_to_parents: true,
        fill_joining: true,
        peer_fill: PeerFill::None,
        response_rate_kb_per_s: fleet.net.pace_kb_per_ms * 1000.0,
        must_watch_endpoints: false,
        approximate_weights: true,
        dynamic_weights: false,
        tick: ROUTER_TICK_MS,
    }
}

/// The latency objective is extended by this multiple of the response's sending time.
pub const LATENCY_OBJECTIVE_STRETCH: f64 = 2.0;
/// The most attempts of a router for one request.
const MAX_ATTEMPTS: usize = 8;
/// The longest Retry-After of a router.
const MAX_RETRY_AFTER_MS: Ms = 500.0;
/// The interval at which a router handles its inputs.
const ROUTER_TICK_MS: Ms = 2.0;
/// The interval of ticks to a router's topology manager.
pub(super) const TOPOLOGY_TICK_MS: Ms = 50.0;

/// The plan of a shape under a version, for the nodes of the fleet.
pub fn plan_spec(shape: &PlanShape, version: u64, all: &[NodeInfo]) -> PlanSpec {
    let ids_of = |tier: u8| all.iter().filter(move |n| n.tier == tier).map(|n| &n.id).collect::<Vec<_>>();
    let (hubs, districts, edges) = (ids_of(1), ids_of(2), ids_of(3));
    let node = |id: &NodeId, tier: u8, sources: Vec<NodeId>| NodeSpec {
        id: id.clone(),
        tier: Tier(tier),
        location: String::new(),
        weight: 1.0,
        demand: 0.0,
        capacity: f64::INFINITY,
        sources,
    };
    // Consecutive sources from the node's own position on, so that neighbouring nodes share some of them.
    let sources_of = |ids: &[&NodeId], planned: &[usize], position: usize, fan: usize| -> Vec<NodeId> {
        (0..fan.min(planned.len())).map(|k| ids[planned[(position + k) % planned.len()]].clone()).collect()
    };
    let mut nodes = vec![node(&all[0].id, 0, Vec::new())];
    nodes.extend(shape.hubs.iter().map(|h| node(hubs[*h], 1, vec![all[0].id.clone()])));
    for (position, d) in shape.districts.iter().enumerate() {
        let mut sources = sources_of(&hubs, &shape.hubs, position, shape.district_fan);
        let laterals = shape.laterals.iter().filter(|[from, _]| from == d);
        sources.extend(laterals.map(|[_, to]| districts[*to].clone()));
        nodes.push(node(districts[*d], 2, sources));
    }
    for (position, e) in edges.iter().enumerate() {
        nodes.push(node(e, 3, sources_of(&districts, &shape.districts, position, shape.edge_fan)));
    }
    PlanSpec { version: Version(version), nodes }
}
