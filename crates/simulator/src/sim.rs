//! Routers round the decision module, and all that they talk to, in simulated time.

mod days;
mod requests;
mod setup;

use setup::TICK_MS;
pub use setup::{plan, settings, ClassFigures, Figures, Setup, AIM_STRETCH};

use crate::arrivals::{Arrival, Arrivals};
use crate::checker::{Checker, Final, Ran, Rule, Seen};
use crate::fleet::{nodes, Ask, AskId, Counts, Fleet, NodeInfo, NodeIx, Reply, Told, Trouble, ARCHIVE};
use crate::spec::{EffectSpec, FleetSpec, LoadSpec, Moment, PlanShape, What};
use crate::{micros, rng, Ms, Rng};
use basaltgw::api::*;
use basaltgw::routing::Router;
use basaltgw_config::plan::table;
use basaltgw_hierarchy as tree;
use basaltgw_hierarchy::{FillKey, NodeId, NodeSpec, Plan, PlanSpec, Tier, TopologyManager, Version};
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;

/// Whoever decides: the module, or one that is wrong on purpose.
pub trait Decide {
    /// Takes an event in and appends what is to be done.
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>);
}

impl Decide for Router {
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        Router::handle(self, now, event, acts);
    }
}

enum Ev {
    Arrive(usize),
    Again(usize, Client),
    Timer(usize, u64),
    Late(usize, u64, usize),
    Outcome(usize, Outcome),
    List(usize, Vec<Endpoint>),
    Purge(usize, Option<u64>, u64, Ms),
    Offer(usize, PlanSpec),
    TakeBack(usize),
    Tick(usize),
    Script(usize),
    Start(NodeIx),
    Purges,
    Tidy,
}

/// A member who asks, over all tries.
#[derive(Clone, Debug)]
struct Client {
    what: Arrival,
    tries: u32,
}

struct Attempt {
    node: NodeIx,
    source: Option<NodeIx>,
    sent: Ms,
    out: bool,
}

struct Open {
    client: Client,
    due: Ms,
    answered: bool,
    attempts: Vec<Attempt>,
}

struct Seat {
    decider: Box<dyn Decide>,
    zone: usize,
    arrivals: Arrivals,
    next: Option<Arrival>,
    reshape: TopologyManager,
    open: IndexMap<u64, Open>,
    /// Its list is not told before this.
    list_from: Ms,
}

struct Sim<'a> {
    setup: &'a Setup,
    nodes: Vec<NodeInfo>,
    entries: Vec<Endpoint>,
    by_id: HashMap<ServerId, NodeIx>,
    fleet: Fleet,
    seats: Vec<Seat>,
    checker: Checker,
    evs: HashMap<u64, Ev>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    evs_ever: u64,
    requests_ever: u64,
    version: u64,
    current: usize,
    before: usize,
    rng: Rng,
    now: Ms,
    figures: Figures,
    waits: Histogram<u64>,
}

/// Runs a setup with deciders that `make` makes for each router.
pub fn run(setup: &Setup, make: impl Fn(usize, Settings, u64) -> Box<dyn Decide>) -> Result<Figures, String> {
    let mut sim = Sim::new(setup, make)?;
    sim.begin()?;
    let end =
        setup.length_ms + setup.load.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max) + 1_000.0;
    sim.play(end)?;
    Ok(sim.finish())
}

fn entry(n: &NodeInfo, listed: EndpointState, started: Option<Ms>) -> Endpoint {
    Endpoint {
        id: ServerId(n.id.0.clone()),
        zone: ZoneId(n.zone),
        role: match n.tier {
            0 => Role::Origin,
            1 | 2 => Role::Parent,
            _ => Role::Edge,
        },
        cell: 0,
        state: listed,
        weight: 1.0,
        started,
    }
}

impl<'a> Sim<'a> {
    fn new(setup: &'a Setup, make: impl Fn(usize, Settings, u64) -> Box<dyn Decide>) -> Result<Self, String> {
        let set =
            if setup.staged { setup.tree } else { tree::Settings { handover_duration: 0.0, ..setup.tree } };
        let mut fleet = Fleet::new(&setup.fleet, setup.load.groups, set, setup.seed);
        fleet.heeds_trails = setup.trails;
        let nodes = nodes(&setup.fleet);
        let listed = |n: &NodeInfo| if n.spare { EndpointState::Removed } else { EndpointState::Up };
        let entries: Vec<Endpoint> = nodes.iter().map(|n| entry(n, listed(n), None)).collect();
        let by_id = entries.iter().enumerate().map(|(i, e)| (e.id.clone(), NodeIx(i))).collect();
        let mut seats = Vec::new();
        for zone in 1..=setup.fleet.zones {
            for _ in 0..setup.fleet.routers_per_zone {
                let r = seats.len();
                let of = settings(&setup.fleet, &setup.load, zone);
                seats.push(Seat {
                    decider: make(r, of, basaltgw::hash::mix(setup.seed, r as u64 + 7)),
                    zone,
                    arrivals: Arrivals::new(&setup.load, setup.seed, r as u64),
                    next: None,
                    reshape: TopologyManager::new(setup.tree),
                    open: IndexMap::new(),
                    list_from: 0.0,
                });
            }
        }
        let classes =
            setup.load.classes.iter().map(|c| ClassFigures { name: c.name.clone(), ..Default::default() });
        let figures = Figures {
            classes: classes.collect(),
            worth: 0.0,
            worth_late: 0.0,
            seconds: vec![(0.0, 0.0); (setup.length_ms / 1000.0).ceil() as usize + 1],
            served: 0,
            refused: 0,
            failed: 0,
            attempts: 0,
            decisions: 0,
            p50: 0.0,
            p99: 0.0,
            counts: Counts::default(),
            broken: BTreeMap::new(),
            states: Vec::new(),
            refusals: Vec::new(),
        };
        let waits = Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|e| e.to_string())?;
        Ok(Self {
            checker: Checker::new(&setup.fleet.rules),
            setup,
            nodes,
            entries,
            by_id,
            fleet,
            seats,
            evs: HashMap::new(),
            due: BinaryHeap::new(),
            evs_ever: 0,
            requests_ever: 0,
            version: 0,
            current: 0,
            before: 0,
            rng: rng(setup.seed, 2),
            now: 0.0,
            figures,
            waits,
        })
    }

    fn at(&mut self, at: Ms, ev: Ev) {
        self.evs_ever += 1;
        self.evs.insert(self.evs_ever, ev);
        self.due.push(Reverse((micros(at), self.evs_ever)));
    }

    fn between(&mut self, [least, most]: [f64; 2]) -> Ms {
        least + (most - least).max(0.0) * self.rng.random::<f64>()
    }

    /// The nodes that routers of a zone are told of.
    fn told_of(&self, zone: usize, i: usize) -> bool {
        self.nodes[i].zone == 0 || self.nodes[i].zone == zone
    }

    fn finish(mut self) -> Figures {
        self.checker.tidy(self.now);
        let classes = &self.setup.load.classes;
        let sum = |worth: &dyn Fn(&ClassFigures, &crate::spec::ClassSpec) -> f64| -> f64 {
            self.figures.classes.iter().zip(classes).map(|(f, c)| worth(f, c) * c.worth).sum()
        };
        let asked = sum(&|f, _| f.asked as f64).max(f64::MIN_POSITIVE);
        let (in_time, late) = (sum(&|f, _| f.in_time as f64), sum(&|f, c| f.late as f64 * c.late_worth));
        self.figures.worth = in_time / asked;
        self.figures.worth_late = (in_time + late) / asked;
        self.figures.p50 = self.waits.value_at_quantile(0.5) as f64 / 1000.0;
        self.figures.p99 = self.waits.value_at_quantile(0.99) as f64 / 1000.0;
        self.figures.counts = self.fleet.counts.clone();
        self.figures.broken.clone_from(self.checker.report());
        self.figures
    }
}

fn ask_id(router: usize, no: u64, n: usize) -> AskId {
    AskId { router, number: no << 4 | n.min(15) as u64 }
}

fn number(id: &RequestId) -> Option<u64> {
    id.0.parse().ok()
}
