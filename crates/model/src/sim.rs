//! Routers round the decision module, and all that they talk to, in simulated time.

use crate::arrivals::{Arrival, Arrivals};
use crate::checker::{Checker, Final, Ran, Rule, Seen};
use crate::fleet::{nodes, Ask, AskId, Counts, Fleet, NodeInfo, NodeIx, Reply, Told, Trouble, ARCHIVE};
use crate::spec::{EffectSpec, FleetSpec, LoadSpec, Moment, PlanShape, What};
use crate::{micros, rng, Ms, Rng};
use basaltgw::api::*;
use basaltgw::rules::Router;
use basaltgw_config::plan::table;
use basaltgw_hierarchy as tree;
use basaltgw_hierarchy::{FillKey, NodeId, NodeSpec, Plan, PlanSpec, Reshape, Tier, Version};
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
    pub states: Vec<(usize, Ms, u64, tree::State)>,
    /// Plans refused by routers.
    pub refusals: Vec<String>,
}

impl Figures {
    /// Routers that are through with every change that they began.
    pub fn settled(&self) -> bool {
        let mut last: HashMap<usize, tree::State> = HashMap::new();
        self.states.iter().for_each(|(router, _, _, state)| {
            last.insert(*router, *state);
        });
        last.values().all(|s| *s == tree::State::Gone)
    }
}

/// The settings that routers of a zone are started with.
pub fn settings(fleet: &FleetSpec, load: &LoadSpec, zone: usize) -> Settings {
    let cold = |c: &crate::spec::ColdSpec| ColdRule {
        share: c.share,
        span: c.span_ms,
        multiple: c.multiple,
        window: c.window_ms,
    };
    let class = |c: &crate::spec::ClassSpec| Class {
        name: c.name.clone(),
        aim: c.aim_ms,
        aim_stretch: AIM_STRETCH,
        deadline: c.deadline_ms,
        effect: if c.effect == EffectSpec::Safe { Effect::Safe } else { Effect::Unsafe },
        key_scope: KeyScope::All,
        key_window: 0.0,
        worth: c.worth,
        late_worth: c.late_worth,
        fresh: c.fresh_ms,
        grace: c.grace_ms,
        uncacheable: c.effect == EffectSpec::Unsafe,
    };
    Settings {
        zone: ZoneId(zone),
        zone_routers: fleet.routers_per_zone,
        routers: fleet.routers_per_zone * fleet.zones,
        zone_hub: vec![ZoneId(0); fleet.zones + 1],
        classes: load.classes.iter().map(class).collect(),
        cold_edge: cold(&fleet.rules.cold_edge),
        cold_parent: cold(&fleet.rules.cold_parent),
        drain_grace: fleet.rules.drain_grace_ms,
        purge_grace: fleet.rules.purge_grace_ms,
        purge_settles: fleet.rules.purge_settles_ms,
        second_copies: false,
        cancel: true,
        retry_after: true,
        max_retry_after: 500.0,
        max_attempts: MOST_ATTEMPTS,
        direct: true,
        joins: true,
        lateral: Lateral::None,
        pace_kb_per_s: fleet.net.pace_kb_per_ms * 1000.0,
        must_subscribe: false,
        rough_sizes: true,
        weights_move: false,
        tick: 2.0,
    }
}

/// The aim is longer by this multiple of the request's own sending time.
pub const AIM_STRETCH: f64 = 2.0;
const MOST_ATTEMPTS: usize = 8;
/// How often a router's reshape looks at the time.
const TICK_MS: Ms = 50.0;

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

enum Ev {
    Arrive(usize),
    Again(usize, Client),
    Timer(usize, u64),
    Late(usize, u64, usize),
    Outcome(usize, Outcome),
    List(usize, Vec<ServerEntry>),
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
    reshape: Reshape,
    open: IndexMap<u64, Open>,
    /// Its list is not told before this.
    list_from: Ms,
}

struct Sim<'a> {
    setup: &'a Setup,
    nodes: Vec<NodeInfo>,
    entries: Vec<ServerEntry>,
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

fn entry(n: &NodeInfo, listed: Listed, started: Option<Ms>) -> ServerEntry {
    ServerEntry {
        id: ServerId(n.id.0.clone()),
        zone: ZoneId(n.zone),
        role: match n.tier {
            0 => Role::Origin,
            1 | 2 => Role::Parent,
            _ => Role::Edge,
        },
        cell: 0,
        listed,
        weight: 1.0,
        started,
    }
}

impl<'a> Sim<'a> {
    fn new(setup: &'a Setup, make: impl Fn(usize, Settings, u64) -> Box<dyn Decide>) -> Result<Self, String> {
        let set = if setup.staged { setup.tree } else { tree::Settings { handover: 0.0, ..setup.tree } };
        let mut fleet = Fleet::new(&setup.fleet, setup.load.groups, set, setup.seed);
        fleet.heeds_trails = setup.trails;
        let nodes = nodes(&setup.fleet);
        let listed = |n: &NodeInfo| if n.spare { Listed::Gone } else { Listed::Up };
        let entries: Vec<ServerEntry> = nodes.iter().map(|n| entry(n, listed(n), None)).collect();
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
                    reshape: Reshape::new(setup.tree),
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

    fn begin(&mut self) -> Result<(), String> {
        let first = self.setup.plans.first().map(|shape| plan(shape, 1, &self.nodes));
        if let Some(spec) = &first {
            self.version = 1;
            let checked = Plan::check(spec.clone()).map_err(|e| e.to_string())?;
            self.fleet.plan(0.0, &Arc::new(checked), [0.0, 0.0]);
        }
        for r in 0..self.seats.len() {
            let zone = self.seats[r].zone;
            let all: Vec<ServerEntry> = (0..self.entries.len())
                .filter(|i| self.told_of(zone, *i))
                .map(|i| self.entries[i].clone())
                .filter(|e| e.listed != Listed::Gone)
                .collect();
            self.list(r, ListMode::Whole, all);
            if let Some(spec) = &first {
                self.reshape(r, tree::Event::Offer(spec.clone()));
            }
            self.draw(r);
            self.at(TICK_MS, Ev::Tick(r));
        }
        self.figures.states.clear();
        for i in 0..self.setup.script.len() {
            let at = self.setup.script[i].at_ms;
            self.at(at, Ev::Script(i));
        }
        if self.setup.load.purges_per_s > 0.0 {
            self.at(0.0, Ev::Purges);
        }
        self.at(1_000.0, Ev::Tidy);
        Ok(())
    }

    fn draw(&mut self, r: usize) {
        let next = self.seats[r].arrivals.next().filter(|a| a.at < self.setup.length_ms);
        if let Some(at) = next.as_ref().map(|a| a.at) {
            self.at(at, Ev::Arrive(r));
        }
        self.seats[r].next = next;
    }

    fn play(&mut self, end: Ms) -> Result<(), String> {
        let mut told = Vec::new();
        loop {
            let own = self.due.peek().map(|Reverse((at, _))| *at as f64 / 1000.0);
            let fleet = self.fleet.next_due();
            let next = own.into_iter().chain(fleet).fold(f64::INFINITY, f64::min);
            if next > end {
                return Ok(());
            }
            self.now = self.now.max(next);
            if fleet.is_some_and(|t| t <= next) {
                self.fleet.advance(next, &mut told);
                for t in told.drain(..) {
                    match t {
                        Told::Answer(id, reply) => self.replied(id, reply),
                        Told::Effect(effect) => self.checker.see(self.now, Seen::Effect(effect)),
                        Told::Fell(node) => self.checker.see(self.now, Seen::Fell(node)),
                    }
                }
                continue;
            }
            let Some(Reverse((_, no))) = self.due.pop() else { return Ok(()) };
            if let Some(ev) = self.evs.remove(&no) {
                self.event(ev)?;
            }
        }
    }

    fn event(&mut self, ev: Ev) -> Result<(), String> {
        match ev {
            Ev::Arrive(r) => {
                if let Some(what) = self.seats[r].next.take() {
                    let class = &self.setup.load.classes[what.class];
                    let second = (what.at / 1000.0) as usize;
                    self.figures.classes[what.class].asked += 1;
                    self.figures.classes[what.class].asked_kb.push(what.kb);
                    self.figures.seconds[second].0 += class.worth;
                    self.take(r, Client { what, tries: 0 });
                }
                self.draw(r);
            }
            Ev::Again(r, client) => self.take(r, client),
            Ev::Timer(r, token) => self.decide(r, Event::Timer(token)),
            Ev::Late(r, no, n) => {
                let out = self.seats[r].open.get(&no).and_then(|o| o.attempts.get(n)).is_some_and(|a| a.out);
                if out {
                    self.fleet.abort(self.now, ask_id(r, no, n));
                    self.ended(
                        r,
                        no,
                        n,
                        Reply { end: End::Late, note: Note::Untold, born: 0.0, waited: 0.0 },
                        false,
                    );
                }
            }
            Ev::Outcome(r, outcome) => self.decide(r, Event::Outcome(outcome)),
            Ev::List(r, entries) => {
                let until = self.seats[r].list_from;
                if self.now < until {
                    self.at(until, Ev::List(r, entries));
                } else {
                    self.list(r, ListMode::Changes, entries);
                }
            }
            Ev::Purge(r, object, group, at) => {
                self.checker.see(self.now, Seen::Purged(r, object, group, at));
                self.decide(r, Event::Purged(GroupId(group), object.map(ObjectId), self.now - at));
            }
            Ev::Offer(r, spec) => {
                if !self.setup.staged {
                    self.seats[r].reshape = Reshape::new(self.setup.tree);
                }
                self.reshape(r, tree::Event::Offer(spec));
            }
            Ev::TakeBack(r) => self.reshape(r, tree::Event::TakeBack),
            Ev::Tick(r) => {
                self.reshape(r, tree::Event::Tick);
                self.at(self.now + TICK_MS, Ev::Tick(r));
            }
            Ev::Script(i) => self.moment(i)?,
            Ev::Start(node) => self.started(node),
            Ev::Purges => {
                let class = self.rng.random_range(0..self.setup.load.classes.len());
                let of = &self.setup.load.classes[class];
                let rank = self.rng.random_range(0..of.objects.clamp(1, 200));
                self.purge(Some(crate::arrivals::object(class, rank)), 0);
                let gap: f64 = self.rng.random();
                let next = self.now - (1.0 - gap).ln() * 1000.0 / self.setup.load.purges_per_s;
                if next < self.setup.length_ms {
                    self.at(next, Ev::Purges);
                }
            }
            Ev::Tidy => {
                self.checker.tidy(self.now);
                self.at(self.now + 1_000.0, Ev::Tidy);
            }
        }
        Ok(())
    }

    // ---- The script ----

    fn moment(&mut self, i: usize) -> Result<(), String> {
        let m = self.setup.script[i].clone();
        let find = |name: &Option<String>, fleet: &Fleet| {
            let name = name.as_deref().ok_or_else(|| format!("script[{i}]: expected a node"))?;
            fleet.named(name).ok_or_else(|| format!("script[{i}]: unknown node {name}"))
        };
        let (now, until) = (self.now, self.now + m.for_ms);
        match m.what {
            What::MassPurge => {
                let groups = (m.factor * self.setup.load.groups as f64).round() as u64;
                (0..groups).for_each(|g| self.purge(None, g));
            }
            What::StaleList => self.seats.iter_mut().for_each(|s| s.list_from = until),
            What::Plan => {
                let name = m.plan.as_deref().unwrap_or_default();
                let found = self.setup.plans.iter().position(|p| p.name == name);
                let at = found.ok_or_else(|| format!("script[{i}]: unknown plan {name:?}"))?;
                (self.before, self.current) = (self.current, at);
                self.version += 1;
                let spec = plan(&self.setup.plans[at], self.version, &self.nodes);
                self.tell_caches(&spec)?;
                for r in 0..self.seats.len() {
                    let after = self.between(self.setup.fleet.news.plan_ms);
                    self.at(now + after, Ev::Offer(r, spec.clone()));
                }
            }
            What::TakeBack => {
                std::mem::swap(&mut self.before, &mut self.current);
                self.version += 1;
                let spec = plan(&self.setup.plans[self.current], self.version, &self.nodes);
                self.tell_caches(&spec)?;
                for r in 0..self.seats.len() {
                    let after = self.between(self.setup.fleet.news.plan_ms);
                    let ev = if self.setup.staged { Ev::TakeBack(r) } else { Ev::Offer(r, spec.clone()) };
                    self.at(now + after, ev);
                }
            }
            What::Crash | What::Vanish => {
                let node = find(&m.node, &self.fleet)?;
                let trouble = if m.what == What::Crash { Trouble::Crash } else { Trouble::Vanish };
                self.fleet.trouble(now, node, trouble);
                match m.for_ms > 0.0 {
                    true => self.at(until, Ev::Start(node)),
                    false => self.listed(node, Listed::Gone, None),
                }
            }
            What::Start => {
                let node = find(&m.node, &self.fleet)?;
                self.started(node);
            }
            What::Drain => {
                let node = find(&m.node, &self.fleet)?;
                self.listed(node, Listed::Draining, None);
            }
            What::Stop => {
                let node = find(&m.node, &self.fleet)?;
                self.listed(node, Listed::Gone, None);
                self.fleet.trouble(now, node, Trouble::Crash);
            }
            What::Hang => self.fleet.trouble(now, find(&m.node, &self.fleet)?, Trouble::Hang(until)),
            What::Slow => {
                self.fleet.trouble(now, find(&m.node, &self.fleet)?, Trouble::Slow(m.factor, until))
            }
            What::RefuseFills => {
                self.fleet.trouble(now, find(&m.node, &self.fleet)?, Trouble::RefuseFills(until))
            }
            What::LoseAnswers => {
                self.fleet.trouble(now, find(&m.node, &self.fleet)?, Trouble::LoseAnswers(m.factor, until));
            }
            What::WrongSource => {
                let (node, to) = (find(&m.node, &self.fleet)?, find(&m.to, &self.fleet)?);
                self.fleet.trouble(now, node, Trouble::WrongSource(to, until));
            }
        }
        Ok(())
    }

    fn tell_caches(&mut self, spec: &PlanSpec) -> Result<(), String> {
        let checked = Arc::new(Plan::check(spec.clone()).map_err(|e| e.to_string())?);
        self.fleet.plan(self.now, &checked, self.setup.fleet.news.plan_ms);
        Ok(())
    }

    fn started(&mut self, node: NodeIx) {
        self.fleet.start(self.now, node);
        self.listed(node, Listed::Up, Some(self.now));
    }

    /// The list changes; routers hear of it each at their own moment.
    fn listed(&mut self, node: NodeIx, listed: Listed, started: Option<Ms>) {
        let entry = entry(&self.nodes[node.0], listed, started);
        self.entries[node.0] = entry.clone();
        for r in 0..self.seats.len() {
            if self.told_of(self.seats[r].zone, node.0) {
                let after = self.between(self.setup.fleet.news.list_ms);
                self.at(self.now + after, Ev::List(r, vec![entry.clone()]));
            }
        }
    }

    fn purge(&mut self, object: Option<u64>, group: u64) {
        self.fleet.purge(self.now, object, group);
        for r in 0..self.seats.len() {
            let after = self.between(self.setup.fleet.news.purge_ms);
            self.at(self.now + after, Ev::Purge(r, object, group, self.now));
        }
    }

    // ---- Routers ----

    fn list(&mut self, r: usize, mode: ListMode, entries: Vec<ServerEntry>) {
        for e in &entries {
            let node = self.by_id[&e.id];
            self.checker.see(self.now, Seen::Drained(r, node, e.listed != Listed::Up));
            let id = self.nodes[node.0].id.clone();
            self.reshape(r, tree::Event::Listed(id, e.listed == Listed::Up, e.started));
        }
        self.decide(r, Event::Servers(mode, entries));
    }

    fn reshape(&mut self, r: usize, event: tree::Event) {
        let mut acts = Vec::new();
        self.seats[r].reshape.handle(self.now, event, &mut acts);
        for act in acts {
            match act {
                tree::Act::Use(of) => self.decide(r, Event::Sources(Some(Arc::new(table(&of))))),
                tree::Act::Entered(version, state, _) => {
                    self.figures.states.push((r, self.now, version.0, state));
                }
                tree::Act::Refused(why) => self.figures.refusals.push(why.to_string()),
                tree::Act::SetAside(..) => {}
            }
        }
    }

    fn take(&mut self, r: usize, client: Client) {
        self.requests_ever += 1;
        let no = self.requests_ever;
        let class = &self.setup.load.classes[client.what.class];
        let what = &client.what;
        let due = what.at + class.deadline_ms;
        let unsafe_ = class.effect == EffectSpec::Unsafe;
        self.checker.see(self.now, Seen::Taken((r, no), unsafe_, what.object, what.group, due));
        let request = Request {
            id: RequestId(Arc::from(no.to_string())),
            class: Some(ClassId(what.class)),
            object: ObjectId(what.object),
            part: Part(what.part),
            group: GroupId(what.group),
            size_kb: what.kb,
            write: unsafe_,
            budget: due - self.now,
        };
        self.seats[r].open.insert(no, Open { client, due, answered: false, attempts: Vec::new() });
        self.decide(r, Event::Request(request));
    }

    fn decide(&mut self, r: usize, event: Event) {
        let mut acts = Vec::new();
        self.figures.decisions += 1;
        self.seats[r].decider.handle(self.now, event, &mut acts);
        for act in acts {
            match act {
                Action::Fetch(fetch) => self.fetch(r, fetch),
                Action::Cancel(request, n) => {
                    let Some(no) = number(&request) else { continue };
                    let out =
                        self.seats[r].open.get(&no).and_then(|o| o.attempts.get(n.0)).is_some_and(|a| a.out);
                    if out {
                        self.fleet.abort(self.now, ask_id(r, no, n.0));
                        let called_off =
                            Reply { end: End::Cancelled, note: Note::Untold, born: 0.0, waited: 0.0 };
                        self.ended(r, no, n.0, called_off, true);
                    }
                }
                Action::Refuse(request, stay) => self.answer(r, &request, Final::Refused, stay),
                Action::Fail(request) => self.answer(r, &request, Final::Failed, 0.0),
                Action::Timer(after, token) => self.at(self.now + after, Ev::Timer(r, token)),
                Action::Subscribe | Action::Report(_) => {}
            }
        }
    }

    fn fetch(&mut self, r: usize, fetch: Fetch) {
        let Some(no) = number(&fetch.request) else { return };
        let (node, source) =
            (self.by_id.get(&fetch.server).copied(), self.by_id.get(&fetch.fill_from).copied());
        let Some(open) = self.seats[r].open.get_mut(&no) else { return };
        let n = open.attempts.len();
        let Some(node) = node else { return };
        let source = source.filter(|s| *s != node);
        let what = &open.client.what;
        let class = &self.setup.load.classes[what.class];
        let until = if fetch.timeout > 0.0 { (self.now + fetch.timeout).min(open.due) } else { open.due };
        let fresh = Some(class.fresh_ms).filter(|f| *f > 0.0);
        let grace = if fetch.max_age.is_none() && fetch.renew { class.grace_ms } else { 0.0 };
        let ask = Ask {
            id: ask_id(r, no, n),
            key: FillKey { object: what.object, part: what.part },
            group: what.group,
            kb: what.kb,
            from: source,
            rank: fetch.rank,
            max_age: fetch.max_age.or(fresh),
            grace,
            join: fetch.join,
            held_only: fetch.held_only,
            effect: (class.effect == EffectSpec::Unsafe).then_some(no),
            wait: until - self.now,
        };
        open.attempts.push(Attempt { node, source, sent: self.now, out: true });
        self.figures.attempts += 1;
        self.checker.see(self.now, Seen::Sent((r, no), n, node, source));
        let zone = self.seats[r].zone;
        self.fleet.ask(self.now, zone, node, ask);
        self.at(until, Ev::Late(r, no, n));
    }

    fn replied(&mut self, id: AskId, reply: Reply) {
        let (no, n) = (id.number >> 4, (id.number & 15) as usize);
        self.ended(id.router, no, n, reply, false);
    }

    /// An attempt is over: the client gets what was served, and the module is told.
    fn ended(&mut self, r: usize, no: u64, n: usize, reply: Reply, later: bool) {
        let Some(open) = self.seats[r].open.get_mut(&no) else { return };
        let Some(attempt) = open.attempts.get_mut(n).filter(|a| a.out) else { return };
        attempt.out = false;
        let (node, source, sent) = (attempt.node, attempt.source, attempt.sent);
        let object = open.client.what.object;
        let unsafe_ = self.setup.load.classes[open.client.what.class].effect == EffectSpec::Unsafe;
        let first = !open.answered;
        let ran = match reply.end {
            End::Served => Ran::Served((!unsafe_).then_some(reply.born)),
            End::Full | End::NoConnection | End::NotSent | End::Miss => Ran::Never,
            End::Error | End::Late | End::Broken | End::Cancelled => Ran::Maybe,
        };
        self.checker.see(self.now, Seen::Ended((r, no), n, ran));
        if reply.end == End::Served && first {
            self.served(r, no);
        }
        if let Some(source) = source {
            let how = match (reply.end, reply.note) {
                (End::Served, Note::FilledBySource | Note::FilledByOrigin) => Some(tree::How::Answered),
                (_, Note::SourceRefused) => Some(tree::How::Refused),
                (_, Note::SourceFailed) => Some(tree::How::Failed),
                (_, Note::Looped) => Some(tree::How::Looped),
                // Whose fault it is is not known; a newcomer gets no more while answers are late.
                (End::Late, _) => Some(tree::How::Failed),
                _ => None,
            };
            let id = |ix: NodeIx| self.nodes[ix.0].id.clone();
            if let Some(how) = how.filter(|_| source != ARCHIVE) {
                self.reshape(r, tree::Event::Ended { asker: id(node), source: id(source), object, how });
            }
        }
        let outcome = Outcome {
            request: RequestId(Arc::from(no.to_string())),
            attempt: AttemptNo(n),
            server: self.entries[node.0].id.clone(),
            end: reply.end,
            delay: self.now - sent,
            last: !first || reply.end == End::Served,
            note: reply.note,
            source_wait: reply.waited,
            load: Load::default(),
        };
        if later {
            self.at(self.now, Ev::Outcome(r, outcome));
        } else {
            self.decide(r, Event::Outcome(outcome));
        }
        self.forget(r, no);
    }

    fn forget(&mut self, r: usize, no: u64) {
        let over = |o: &Open| o.answered && o.attempts.iter().all(|a| !a.out);
        if self.seats[r].open.get(&no).is_some_and(over) {
            self.seats[r].open.swap_remove(&no);
        }
    }

    fn served(&mut self, r: usize, no: u64) {
        let Some(open) = self.seats[r].open.get_mut(&no) else { return };
        open.answered = true;
        let what = &open.client.what;
        let class = &self.setup.load.classes[what.class];
        let took = self.now - what.at;
        let aim = class.aim_ms + AIM_STRETCH * what.kb / self.setup.fleet.net.pace_kb_per_ms;
        let figures = &mut self.figures.classes[what.class];
        figures.answered_kb.push(what.kb);
        if took <= aim {
            figures.in_time += 1;
            self.figures.seconds[(what.at / 1000.0) as usize].1 += class.worth;
        } else {
            figures.late += 1;
        }
        self.figures.served += 1;
        self.waits.saturating_record(micros(took).max(1));
        self.checker.see(self.now, Seen::Answered((r, no), Final::Served));
    }

    fn answer(&mut self, r: usize, request: &RequestId, how: Final, stay: Ms) {
        let Some(no) = number(request) else { return };
        self.checker.see(self.now, Seen::Answered((r, no), how));
        let Some(open) = self.seats[r].open.get_mut(&no).filter(|o| !o.answered) else { return };
        open.answered = true;
        match how {
            Final::Refused => self.figures.refused += 1,
            Final::Served | Final::Failed => self.figures.failed += 1,
        }
        let mut client = open.client.clone();
        let class = &self.setup.load.classes[client.what.class];
        let again = self.now + self.setup.load.backoff_ms.max(stay);
        let may = class.effect == EffectSpec::Safe || how == Final::Refused;
        if may && client.tries < self.setup.load.retries && again < client.what.at + class.deadline_ms {
            client.tries += 1;
            self.at(again, Ev::Again(r, client));
        }
        self.forget(r, no);
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
