//! What a run is made of, and what comes of it.

use super::*;

/// A run.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    /// The fleet.
    pub fleet: FleetSpec,
    /// What is asked.
    pub load: LoadSpec,
    /// What happens.
    pub script: Vec<Moment>,
    /// Plans by name; the first is in use from the start.
    pub plans: Vec<PlanShape>,
    /// How a reshape goes.
    pub tree: tree::Settings,
    /// How long requests come in.
    pub length_ms: Ms,
    /// Plans are taken over by portions; else all at once, and nobody asks an old home.
    pub staged: bool,
    /// Nodes heed trails.
    pub trails: bool,
    /// The seed of everything.
    pub seed: u64,
}

/// A class's figures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// Requests, clients' repeats aside.
    pub asked: u64,
    /// Answered within the aim, and after it.
    pub in_time: u64,
    /// See `in_time`.
    pub late: u64,
    /// Sizes in KB of what was asked, and of what was answered in time or late.
    pub asked_kb: Vec<f64>,
    /// See `asked_kb`.
    pub answered_kb: Vec<f64>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// By class.
    pub classes: Vec<ClassFigures>,
    /// Worth answered within its wanted time, over the worth asked.
    pub worth: f64,
    /// The same with late answers at their worth.
    pub worth_late: f64,
    /// By second of arrival: worth asked, worth in time.
    pub seconds: Vec<(f64, f64)>,
    /// Answers, refusals, failures as routers gave them.
    pub served: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`.
    pub failed: u64,
    /// Attempts.
    pub attempts: u64,
    /// Events handed to deciders.
    pub decisions: u64,
    /// Time from the first try to the answer, in ms: the median and the 99th of a hundred.
    pub p50: f64,
    /// See `p50`.
    pub p99: f64,
    /// The fleet's counts.
    pub counts: Counts,
    /// Rules broken: how often, and the first in words.
    pub broken: BTreeMap<Rule, (u64, String)>,
    /// States entered by routers, in order: router, when, version, state.
    pub states: Vec<(usize, Ms, u64, tree::ChangeState)>,
    /// Plans refused by routers.
    pub refusals: Vec<String>,
}

impl Figures {
    /// Routers that are through with every change that they began.
    pub fn settled(&self) -> bool {
        let mut last: HashMap<usize, tree::ChangeState> = HashMap::new();
        self.states.iter().for_each(|(router, _, _, state)| {
            last.insert(*router, *state);
        });
        last.values().all(|s| *s == tree::ChangeState::Completed)
    }
}

/// The settings that routers of a zone are started with.
pub fn settings(fleet: &FleetSpec, load: &LoadSpec, zone: usize) -> Settings {
    let cold = |c: &crate::spec::ColdSpec| SlowStartPolicy {
        initial_share: c.share,
        ramp_duration: c.span_ms,
        overload_factor: c.multiple,
        overload_window: c.window_ms,
    };
    let class = |c: &crate::spec::ClassSpec| Class {
        name: c.name.clone(),
        latency_objective: c.aim_ms,
        latency_objective_stretch: AIM_STRETCH,
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
        edge_slow_start: cold(&fleet.rules.cold_edge),
        parent_slow_start: cold(&fleet.rules.cold_parent),
        drain_grace: fleet.rules.drain_grace_ms,
        purge_grace: fleet.rules.purge_grace_ms,
        purge_convergence_time: fleet.rules.purge_settles_ms,
        hedging: false,
        cancel: true,
        retry_after: true,
        max_retry_after: 500.0,
        max_attempts: MOST_ATTEMPTS,
        direct_to_parents: true,
        fill_joining: true,
        peer_fill: PeerFill::None,
        response_rate_kb_per_s: fleet.net.pace_kb_per_ms * 1000.0,
        must_watch_endpoints: false,
        approximate_weights: true,
        dynamic_weights: false,
        tick: 2.0,
    }
}

/// The aim is longer by this multiple of the request's own sending time.
pub const AIM_STRETCH: f64 = 2.0;
const MOST_ATTEMPTS: usize = 8;
/// How often a router's reshape looks at the time.
pub(super) const TICK_MS: Ms = 50.0;

/// A plan of a shape, under a version.
pub fn plan(shape: &PlanShape, version: u64, all: &[NodeInfo]) -> PlanSpec {
    let of = |tier: u8| all.iter().filter(move |n| n.tier == tier).map(|n| &n.id).collect::<Vec<_>>();
    let (hubs, districts, edges) = (of(1), of(2), of(3));
    let node = |id: &NodeId, tier: u8, sources: Vec<NodeId>| NodeSpec {
        id: id.clone(),
        tier: Tier(tier),
        location: String::new(),
        weight: 1.0,
        demand: 0.0,
        capacity: f64::INFINITY,
        sources,
    };
    // Next to each other by place, so that neighbours share some.
    let fan = |of: &[&NodeId], listed: &[usize], at: usize, fan: usize| -> Vec<NodeId> {
        (0..fan.min(listed.len())).map(|k| of[listed[(at + k) % listed.len()]].clone()).collect()
    };
    let mut nodes = vec![node(&all[0].id, 0, Vec::new())];
    nodes.extend(shape.hubs.iter().map(|h| node(hubs[*h], 1, vec![all[0].id.clone()])));
    for (at, d) in shape.districts.iter().enumerate() {
        let mut sources = fan(&hubs, &shape.hubs, at, shape.district_fan);
        let laterals = shape.laterals.iter().filter(|[from, _]| from == d);
        sources.extend(laterals.map(|[_, to]| districts[*to].clone()));
        nodes.push(node(districts[*d], 2, sources));
    }
    for (at, e) in edges.iter().enumerate() {
        nodes.push(node(e, 3, fan(&districts, &shape.districts, at, shape.edge_fan)));
    }
    PlanSpec { version: Version(version), nodes }
}
