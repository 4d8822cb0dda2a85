//! Caches, the archive and the links between them: asks of routers go in, answers come out. Time is handed in.
//!
//! A request takes a place among a node's slots for its sending time; a miss is filled from the source that the router named (at an edge cache)
//! or that the node's side of the plan names (above). Without a plan a parent asks the archive. Fills of one part are one, whoever asks.

use crate::arrivals::group_of;
use crate::cold::ColdCount;
use crate::spec::{FleetSpec, Machine};
use crate::store::Store;
use crate::{micros, rng, Ms, Rng};
use basaltgw::api::{AttemptResult, FillReport, Rank};
use basaltgw_hierarchy::{
    Asks, CacheSide, Came, FillKey, NodeId, Plan, Settings, Shield, Then, Trail, Waiter,
};
use indexmap::IndexMap;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

/// A node's place in the fleet. The archive is the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIx(pub usize);

/// The archive.
pub const ARCHIVE: NodeIx = NodeIx(0);

/// What a node is.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeInfo {
    /// Its id on the list.
    pub id: NodeId,
    /// Its name for people and scripts.
    pub name: String,
    /// Its tier: 0 the archive, 1 hubs, 2 districts, 3 edge caches.
    pub tier: u8,
    /// Its zone; 0 for all that are no edge caches.
    pub zone: usize,
    /// Not listed at the start.
    pub spare: bool,
    /// Its machine.
    pub machine: Machine,
}

/// The nodes of a fleet: the archive, hubs, districts, edge caches by zone.
pub fn nodes(spec: &FleetSpec) -> Vec<NodeInfo> {
    let mut all = Vec::new();
    let mut add = |name: String, tier: u8, zone: usize, spare: bool, machine: &Machine| {
        let id = NodeId::new(&format!("s-{:08x}", 0x00c0_0000 + all.len()));
        all.push(NodeInfo { id, name, tier, zone, spare, machine: machine.clone() });
    };
    add("archive".into(), 0, 0, false, &spec.archive);
    for i in 0..spec.hubs {
        add(format!("hub-{i}"), 1, 0, i + spec.spare_hubs >= spec.hubs, &spec.hub);
    }
    for i in 0..spec.districts {
        add(format!("district-{i}"), 2, 0, i + spec.spare_districts >= spec.districts, &spec.district);
    }
    for zone in 1..=spec.zones {
        (0..spec.edges_per_zone).for_each(|i| add(format!("edge-{zone}-{i}"), 3, zone, false, &spec.edge));
    }
    all
}

/// A router's ask, by numbers of the router's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskId {
    /// Which router.
    pub router: usize,
    /// A number that the router uses once.
    pub number: u64,
}

/// What a router asks of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// What it is called.
    pub id: AskId,
    /// What is asked for.
    pub key: FillKey,
    /// Its group.
    pub group: u64,
    /// Its size.
    pub kb: f64,
    /// The source of a miss.
    pub from: Option<NodeIx>,
    /// How the copy is kept.
    pub rank: Rank,
    /// The oldest copy that will do; `None` for any.
    pub max_age: Option<Ms>,
    /// An ageing copy may be served for so long past `max_age` and is renewed behind; 0 for not.
    pub grace: Ms,
    /// A fill that is under way may be joined.
    pub join: bool,
    /// The source gives only what it holds.
    pub held_only: bool,
    /// It has an effect, by the client's number for it.
    pub effect: Option<u64>,
    /// For how long the router waits.
    pub wait: Ms,
}

/// An answer, or the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    /// How the ask ended.
    pub end: AttemptResult,
    /// How it came about.
    pub note: FillReport,
    /// When the archive gave out the copy.
    pub born: Ms,
    /// The time to the source's answer.
    pub waited: Ms,
}

/// What a node is suffering from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Its process dies.
    Crash,
    /// It answers nothing until then.
    Hang(Ms),
    /// Its machine is away until it starts again.
    Vanish,
    /// It takes so many times as long until then.
    Slow(f64, Ms),
    /// It refuses fills until then.
    RefuseFills(Ms),
    /// It loses a share of its answers until then.
    LoseAnswers(f64, Ms),
    /// It asks this one for all that it lacks until then.
    WrongSource(NodeIx, Ms),
}

/// What is told of the fleet's inside, for checkers and figures.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// A router's ask was answered.
    Answer(AskId, Reply),
    /// A write ran at the archive.
    Effect(u64),
    /// A node was brought down by what reached it while it was cold.
    Fell(NodeIx),
}

/// Counts of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Fills at the archive, by object's part and by how often that object was purged before.
    pub archive: BTreeMap<(FillKey, u32), u32>,
    /// Fills that a plan would have sent back to a node that they had passed, and asks that met themselves or would have waited
    /// for themselves.
    pub loops_offered: u64,
    /// Asks that met themselves and went on all the same.
    pub loops_carried: u64,
    /// Fills at the archive of what it had given out since the last purge, as late as was asked for: nobody should need those.
    pub again: u64,
    /// The same of what was held or under way at a hub or district that has died since.
    pub again_after_kill: u64,
    /// Asks between nodes.
    pub between: u64,
    /// Asks for what is held that found something.
    pub handed: u64,
    /// The largest share of a cold node's limit that was reached.
    pub cold_most: f64,
    /// Nodes that fell over.
    pub fell: u64,
    /// KB that came from the archive, and that edge caches gave out.
    pub archive_kb: f64,
    /// See `archive_kb`.
    pub edge_kb: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asker {
    Router(AskId),
    Node(NodeIx, FillKey),
}

/// An ask that has arrived at a node, or is on its way there.
struct Inside {
    asker: Asker,
    at: NodeIx,
    key: FillKey,
    group: u64,
    kb: f64,
    from: Option<NodeIx>,
    rank: Rank,
    since: Ms,
    /// An older one will do if it is renewed.
    since_grace: Ms,
    join: bool,
    held_only: bool,
    effect: Option<u64>,
    deadline: Ms,
    /// The nodes that it has passed before this one, and how many times it went on.
    trail: Trail,
    hops: u32,
    came: Ms,
    /// Its answer that is under way, if it has this number.
    token: u64,
    joined: bool,
}

/// A fill that a node runs.
struct Fill {
    ask: u64,
    source: NodeIx,
    tried: Vec<NodeId>,
    trail: Trail,
    hops: u32,
    spec: FillSpec,
    begun: Ms,
}

#[derive(Clone, Copy)]
struct FillSpec {
    group: u64,
    kb: f64,
    rank: Rank,
    since: Ms,
    held_only: bool,
    /// A router named the source; the node looks for no other.
    named: bool,
    deadline: Ms,
}

struct Node {
    info: NodeInfo,
    up: bool,
    hung: Ms,
    vanished: bool,
    slow: (f64, Ms),
    refuses: Ms,
    loses: (f64, Ms),
    wrong: Option<(NodeIx, Ms)>,
    store: Store,
    side: CacheSide,
    shield: Shield,
    fills: IndexMap<FillKey, Fill>,
    /// When each slot is free.
    free: BinaryHeap<Reverse<u64>>,
    cold: Option<ColdCount>,
    /// Purges it has heard of: older copies are not kept.
    purged: HashMap<u64, Ms>,
    purged_groups: HashMap<u64, Ms>,
}

enum Ev {
    Arrive(u64),
    Reply(u64, u64, Reply),
    FillLate(NodeIx, FillKey, u64),
    Purge(NodeIx, Option<u64>, u64, Ms),
    Plan(NodeIx, Arc<Plan>),
    Overdue,
}

/// How often waiters' deadlines are looked at.
const OVERDUE_MS: Ms = 25.0;
/// An ask that goes round ends after this, where nobody heeds trails.
const MOST_HOPS: u32 = 32;
/// A router calls a machine that says nothing unreachable after this.
const CONNECT_MS: Ms = 400.0;
/// What an answer without a body takes.
const WORD_MS: Ms = 0.3;

/// All caches and links of a run.
pub struct Fleet {
    spec: FleetSpec,
    set: Settings,
    nodes: Vec<Node>,
    names: HashMap<NodeId, NodeIx>,
    /// By zone: when its link is free.
    links: Vec<Ms>,
    asks: IndexMap<u64, Inside>,
    /// A router's asks.
    by_id: HashMap<AskId, u64>,
    asks_ever: u64,
    evs: HashMap<u64, Ev>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    evs_ever: u64,
    /// By object: purges, and the last one.
    purges: HashMap<u64, (u32, Ms)>,
    group_purges: HashMap<u64, (u32, Ms)>,
    groups: u64,
    /// When the archive last gave out a part, by how often it was purged before.
    given: HashMap<(FillKey, u32), Ms>,
    /// What was lost with hubs and districts since it was last given out.
    killed: HashSet<FillKey>,
    /// Nodes heed trails. Without it a loop goes round until it has gone on so often.
    pub heeds_trails: bool,
    rng: Rng,
    now: Ms,
    out: Vec<Told>,
    /// Counts so far.
    pub counts: Counts,
}

impl Fleet {
    /// A fleet at rest, all but spares up and warm.
    pub fn new(spec: &FleetSpec, groups: u64, set: Settings, seed: u64) -> Self {
        let nodes: Vec<Node> = nodes(spec)
            .into_iter()
            .map(|info| Node {
                up: !info.spare,
                hung: 0.0,
                vanished: false,
                slow: (1.0, 0.0),
                refuses: 0.0,
                loses: (0.0, 0.0),
                wrong: None,
                store: Store::new(info.machine.store_kb),
                side: CacheSide::new(info.id.clone()),
                shield: Shield::default(),
                fills: IndexMap::new(),
                free: (0..info.machine.slots).map(|_| Reverse(0)).collect(),
                cold: None,
                purged: HashMap::new(),
                purged_groups: HashMap::new(),
                info,
            })
            .collect();
        let names = nodes.iter().enumerate().map(|(i, n)| (n.info.id.clone(), NodeIx(i))).collect();
        let mut fleet = Self {
            links: vec![0.0; spec.zones + 1],
            spec: spec.clone(),
            set,
            nodes,
            names,
            asks: IndexMap::new(),
            by_id: HashMap::new(),
            asks_ever: 0,
            evs: HashMap::new(),
            due: BinaryHeap::new(),
            evs_ever: 0,
            purges: HashMap::new(),
            group_purges: HashMap::new(),
            groups,
            given: HashMap::new(),
            killed: HashSet::new(),
            heeds_trails: true,
            rng: rng(seed, 1),
            now: 0.0,
            out: Vec::new(),
            counts: Counts::default(),
        };
        fleet.at(OVERDUE_MS, Ev::Overdue);
        fleet
    }

    /// The node of a list's id.
    pub fn find(&self, id: &NodeId) -> Option<NodeIx> {
        self.names.get(id).copied()
    }

    /// The node of a name for people.
    pub fn named(&self, name: &str) -> Option<NodeIx> {
        self.nodes.iter().position(|n| n.info.name == name).map(NodeIx)
    }

    /// What a node is.
    pub fn info(&self, node: NodeIx) -> &NodeInfo {
        &self.nodes[node.0].info
    }

    /// How many nodes there are.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// True without nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Ms> {
        self.due.peek().map(|Reverse((at, _))| *at as f64 / 1000.0)
    }

    fn at(&mut self, at: Ms, ev: Ev) {
        self.evs_ever += 1;
        self.evs.insert(self.evs_ever, ev);
        self.due.push(Reverse((micros(at), self.evs_ever)));
    }

    /// One way from a zone to another.
    fn way(&mut self, from: usize, to: usize) -> Ms {
        let base = if from == to && from != 0 { self.spec.net.near_ms } else { self.spec.net.far_ms };
        base * (1.0 + self.spec.net.jitter * self.rng.random::<f64>())
    }

    // ---- From outside ----

    /// A router asks a node, from its zone.
    pub fn ask(&mut self, now: Ms, zone: usize, to: NodeIx, ask: Ask) {
        self.now = now;
        self.asks_ever += 1;
        let no = self.asks_ever;
        let since = ask.max_age.map_or(f64::NEG_INFINITY, |age| now - age);
        self.by_id.insert(ask.id, no);
        self.asks.insert(
            no,
            Inside {
                asker: Asker::Router(ask.id),
                at: to,
                key: ask.key,
                group: ask.group,
                kb: ask.kb,
                from: ask.from.filter(|f| *f != to),
                rank: ask.rank,
                since,
                since_grace: since - ask.grace,
                join: ask.join,
                held_only: ask.held_only,
                effect: ask.effect,
                deadline: now + ask.wait,
                trail: Trail::default(),
                hops: 0,
                came: f64::INFINITY,
                token: 0,
                joined: false,
            },
        );
        let to_zone = self.nodes[to.0].info.zone;
        let way = self.way(zone, to_zone);
        self.at(now + way, Ev::Arrive(no));
    }

    /// A router gives an ask up: nothing more comes of it, and a fill that it began runs on.
    pub fn abort(&mut self, now: Ms, id: AskId) {
        self.now = now;
        if let Some(no) = self.by_id.remove(&id) {
            if let Some(ask) = self.asks.swap_remove(&no) {
                self.nodes[ask.at.0].shield.left(ask.key, Waiter(no));
            }
        }
    }

    /// A node's trouble begins.
    pub fn trouble(&mut self, now: Ms, node: NodeIx, trouble: Trouble) {
        self.now = now;
        let n = &mut self.nodes[node.0];
        match trouble {
            Trouble::Crash => {
                n.up = false;
                self.lost(node, true);
            }
            Trouble::Vanish => {
                (n.up, n.vanished) = (false, true);
                self.lost(node, false);
            }
            Trouble::Hang(until) => {
                n.hung = until;
                self.silence(node);
            }
            Trouble::Slow(factor, until) => n.slow = (factor.max(1.0), until),
            Trouble::RefuseFills(until) => n.refuses = until,
            Trouble::LoseAnswers(share, until) => n.loses = (share, until),
            Trouble::WrongSource(to, until) => n.wrong = Some((to, until)),
        }
    }

    /// A node starts, cold and empty.
    pub fn start(&mut self, now: Ms, node: NodeIx) {
        self.now = now;
        let rules = &self.spec.rules;
        let rule = if self.nodes[node.0].info.tier == 3 { rules.cold_edge } else { rules.cold_parent };
        let n = &mut self.nodes[node.0];
        (n.up, n.vanished, n.hung) = (true, false, 0.0);
        n.store = Store::new(n.info.machine.store_kb);
        n.side.started(now, &self.set);
        n.shield.clear();
        n.fills.clear();
        n.free = (0..n.info.machine.slots).map(|_| Reverse(0)).collect();
        n.cold = Some(ColdCount::new(rule, n.info.machine.slots as f64, now));
    }

    /// A plan comes out: each node takes it over at its own moment.
    pub fn plan(&mut self, now: Ms, plan: &Arc<Plan>, late: [f64; 2]) {
        self.now = now;
        for i in 0..self.nodes.len() {
            let after = self.between(late);
            self.at(now + after, Ev::Plan(NodeIx(i), Arc::clone(plan)));
        }
    }

    /// An object, or a group, is purged now; nodes hear of it later.
    pub fn purge(&mut self, now: Ms, object: Option<u64>, group: u64) {
        self.now = now;
        let count = match object {
            Some(object) => self.purges.entry(object).or_insert((0, 0.0)),
            None => self.group_purges.entry(group).or_insert((0, 0.0)),
        };
        *count = (count.0 + 1, now);
        let late = self.spec.news.cache_purge_ms;
        for i in 1..self.nodes.len() {
            let after = self.between(late);
            self.at(now + after, Ev::Purge(NodeIx(i), object, group, now));
        }
    }

    fn between(&mut self, [least, most]: [f64; 2]) -> Ms {
        least + (most - least).max(0.0) * self.rng.random::<f64>()
    }

    /// Does what is due by now; what is told is appended.
    pub fn advance(&mut self, now: Ms, told: &mut Vec<Told>) {
        while let Some(Reverse((at, no))) =
            self.due.peek().copied().filter(|Reverse((at, _))| *at <= micros(now))
        {
            self.due.pop();
            self.now = self.now.max(at as f64 / 1000.0);
            let Some(ev) = self.evs.remove(&no) else { continue };
            match ev {
                Ev::Arrive(ask) => self.arrive(ask),
                Ev::Reply(ask, token, reply) => self.reply(ask, token, reply),
                Ev::FillLate(node, key, ask) => {
                    let current = self.nodes[node.0].fills.get(&key).is_some_and(|f| f.ask == ask);
                    if current && self.asks.swap_remove(&ask).is_some() {
                        self.fill_failed(node, key, FillReport::SourceFailed, true);
                    }
                }
                Ev::Purge(node, object, group, at) => self.hear_purge(node, object, group, at),
                Ev::Plan(node, plan) => {
                    let (now, set) = (self.now, self.set);
                    self.nodes[node.0].side.take(now, plan, &set);
                }
                Ev::Overdue => {
                    self.at(self.now + OVERDUE_MS, Ev::Overdue);
                    for i in 0..self.nodes.len() {
                        if self.nodes[i].shield.is_empty() {
                            continue;
                        }
                        for w in self.nodes[i].shield.overdue(self.now) {
                            self.word(w.0, AttemptResult::Error, FillReport::SourceFailed);
                        }
                    }
                }
            }
        }
        self.now = self.now.max(now);
        told.append(&mut self.out);
    }

    // ---- Troubles ----

    /// What was asked of a node that is lost: it is told where the connection ends, else nothing comes.
    fn lost(&mut self, node: NodeIx, told: bool) {
        let n = &self.nodes[node.0];
        if (1..=2).contains(&n.info.tier) {
            self.killed.extend(n.store.keys().chain(n.fills.keys().copied()));
        }
        self.nodes[node.0].fills.clear();
        self.nodes[node.0].shield.clear();
        let there: Vec<u64> =
            self.asks.iter().filter(|(_, a)| a.at == node && a.came <= self.now).map(|(n, _)| *n).collect();
        for no in there {
            if told {
                self.send(
                    no,
                    Reply {
                        end: AttemptResult::ConnectionLost,
                        note: FillReport::NotReported,
                        born: 0.0,
                        waited: 0.0,
                    },
                    0.0,
                );
            } else if let Some(ask) = self.asks.get_mut(&no) {
                ask.token += 1;
            }
        }
    }

    /// Nothing of what is under way at a node comes.
    fn silence(&mut self, node: NodeIx) {
        self.asks.values_mut().filter(|a| a.at == node).for_each(|a| a.token += 1);
    }

    fn hear_purge(&mut self, node: NodeIx, object: Option<u64>, group: u64, at: Ms) {
        let n = &mut self.nodes[node.0];
        match object {
            Some(object) => {
                n.purged.insert(object, at);
                n.shield.purged(object);
                n.store.purge(at, |o| o == object);
            }
            None => {
                n.purged_groups.insert(group, at);
                let groups = self.groups;
                n.store.purge(at, |o| group_of(o, groups) == group);
            }
        }
    }

    // ---- Asks ----

    fn arrive(&mut self, no: u64) {
        let now = self.now;
        let Some(ask) = self.asks.get_mut(&no) else { return };
        ask.came = now;
        let (at, asker) = (ask.at, ask.asker);
        let weight = ask.kb / self.spec.net.pace_kb_per_ms;
        let n = &mut self.nodes[at.0];
        if !n.up {
            // A machine that has vanished says nothing; one whose process is gone refuses the connection.
            if !n.vanished {
                self.word(no, AttemptResult::NoConnection, FillReport::NotReported);
            } else if matches!(asker, Asker::Router(_)) {
                let silent = Reply {
                    end: AttemptResult::NoConnection,
                    note: FillReport::NotReported,
                    born: 0.0,
                    waited: 0.0,
                };
                self.send(no, silent, CONNECT_MS);
            }
            return;
        }
        if now < n.hung {
            return;
        }
        if n.cold.as_mut().is_some_and(|c| c.reached(now, weight)) {
            n.up = false;
            self.counts.fell += 1;
            self.out.push(Told::Fell(at));
            self.lost(at, true);
            return;
        }
        self.counts.cold_most = self.counts.cold_most.max(n.cold.as_ref().map_or(0.0, ColdCount::most));
        let through = n.side.passes(&self.asks[&no].trail);
        if at == ARCHIVE {
            return self.at_archive(no);
        }
        if through.is_err() {
            self.counts.loops_offered += 1;
            if self.heeds_trails {
                return self.word(no, AttemptResult::CacheMiss, FillReport::LoopDetected);
            }
            self.counts.loops_carried += 1;
            if self.asks[&no].hops > MOST_HOPS {
                return self.word(no, AttemptResult::Error, FillReport::SourceFailed);
            }
        }
        self.look(no);
    }

    fn at_archive(&mut self, no: u64) {
        let Some(ask) = self.asks.get(&no) else { return };
        let (key, group, kb) = (ask.key, ask.group, ask.kb);
        if let Some(effect) = ask.effect {
            self.out.push(Told::Effect(effect));
        } else if matches!(ask.asker, Asker::Node(..)) || ask.held_only {
            let purges = self.purges.get(&key.object).map_or(0, |p| p.0);
            let groups = self.group_purges.get(&group).map_or(0, |p| p.0);
            let since = ask.since;
            let last = self.given.insert((key, purges + groups), self.now);
            *self.counts.archive.entry((key, purges + groups)).or_insert(0) += 1;
            // What was given out before for this purge would still have done.
            if last.is_some_and(|at| at >= since) {
                let excused = self.killed.remove(&key);
                self.counts.again += u64::from(!excused);
                self.counts.again_after_kill += u64::from(excused);
            }
            self.counts.archive_kb += kb;
        }
        self.serve(no, self.now, FillReport::FilledByOrigin, 0.0);
    }

    /// Looks for a copy, and fills what is not held.
    fn look(&mut self, no: u64) {
        let Some(ask) = self.asks.get(&no) else { return };
        let (at, key, since, since_grace) = (ask.at, ask.key, ask.since, ask.since_grace);
        match self.nodes[at.0].store.get(key) {
            Some(copy) if copy.born >= since => self.serve(no, copy.born, FillReport::Hit, 0.0),
            Some(copy) if copy.born >= since_grace => {
                self.serve(no, copy.born, FillReport::Stale, 0.0);
                self.renew(no);
            }
            Some(_) | None => self.miss(no),
        }
    }

    /// Fetches anew behind what was just served.
    fn renew(&mut self, no: u64) {
        let Some(ask) = self.asks.get(&no) else { return };
        let (at, key) = (ask.at, ask.key);
        if ask.from.is_none() || self.nodes[at.0].shield.under_way(key) || !self.has_place(at) {
            return;
        }
        let trail = Trail::default();
        // Nobody waits for it.
        // A copy that is fresh will do, or every cache would have the archive asked.
        let since = ask.since;
        let me = self.nodes[at.0].info.id.clone();
        let (waiter, deadline) = (Waiter(0), f64::INFINITY);
        let asks = Asks { me: &me, waiter, deadline, since, trail: &trail, held_only: false };
        let spec = self.fill_spec(no, since);
        if self.nodes[at.0].shield.ask(self.now, key, asks, &self.set) == Came::Begin {
            let through = self.nodes[at.0].side.passes(&trail).unwrap_or_default();
            let from = self.asks[&no].from;
            self.fill(at, key, spec, (through, 1), Vec::new(), from);
        }
    }

    fn has_place(&self, at: NodeIx) -> bool {
        let n = &self.nodes[at.0];
        n.fills.len() < n.info.machine.fills && self.now >= n.refuses
    }

    fn fill_spec(&self, no: u64, since: Ms) -> FillSpec {
        let ask = &self.asks[&no];
        let named = matches!(ask.asker, Asker::Router(_));
        let rank = if named { ask.rank } else { Rank::Middle };
        let held_only = named && ask.held_only;
        let deadline = self.now + self.spec.net.fill_ms;
        FillSpec { group: ask.group, kb: ask.kb, rank, since, held_only, named, deadline }
    }

    fn miss(&mut self, no: u64) {
        let Some(ask) = self.asks.get(&no) else { return };
        let (at, key, from, since) = (ask.at, ask.key, ask.from, ask.since);
        let of_router = matches!(ask.asker, Asker::Router(_));
        let held_only = !of_router && ask.held_only;
        let under_way = self.nodes[at.0].shield.under_way(key);
        if of_router && from.is_none() && (self.nodes[at.0].info.tier == 3 || !(under_way && ask.join)) {
            let note = if under_way { FillReport::Joined } else { FillReport::NotReported };
            return self.word(no, AttemptResult::CacheMiss, note);
        }
        if !under_way && !held_only && !self.has_place(at) {
            let end = if of_router { AttemptResult::Error } else { AttemptResult::Rejected };
            return self.word(no, end, FillReport::FillLimitReached);
        }
        let me = self.nodes[at.0].info.id.clone();
        let asks =
            Asks { me: &me, waiter: Waiter(no), deadline: ask.deadline, since, trail: &ask.trail, held_only };
        let asker = match ask.asker {
            Asker::Router(_) => None,
            Asker::Node(node, _) => Some(self.nodes[node.0].info.id.clone()),
        };
        let trail = ask.trail.clone();
        match self.nodes[at.0].shield.ask(self.now, key, asks, &self.set) {
            Came::Begin => {
                let through = self.nodes[at.0].side.passes(&trail).unwrap_or(trail);
                let (spec, hops) = (self.fill_spec(no, since), self.asks[&no].hops + 1);
                self.fill(at, key, spec, (through, hops), Vec::new(), from);
            }
            Came::Joined => {
                if let Some(ask) = self.asks.get_mut(&no) {
                    ask.joined = true;
                }
            }
            Came::Lacks if held_only => {
                asker.into_iter().for_each(|to| self.nodes[at.0].side.hand_over(key.object, &to));
                self.word(no, AttemptResult::CacheMiss, FillReport::SourceMiss);
            }
            Came::Lacks => {
                self.counts.loops_offered += 1;
                self.word(no, AttemptResult::CacheMiss, FillReport::LoopDetected);
            }
            Came::Full => self.word(no, AttemptResult::Rejected, FillReport::FillLimitReached),
            Came::Failed => self.word(no, AttemptResult::Error, FillReport::OriginFailed),
        }
    }

    // ---- Fills ----

    /// Asks the source that was named, or the next that the node's side of the plan names.
    fn fill(
        &mut self,
        at: NodeIx,
        key: FillKey,
        spec: FillSpec,
        (trail, hops): (Trail, u32),
        tried: Vec<NodeId>,
        named: Option<NodeIx>,
    ) {
        let (now, n) = (self.now, &self.nodes[at.0]);
        let unseen = Trail::default();
        let mut offered = 0;
        let heeded = if self.heeds_trails { &trail } else { &unseen };
        let id = |ix: NodeIx| &self.nodes[ix.0].info.id;
        // Who waits for this fill must not be asked for it.
        let waiting = n.shield.waiting(key).filter(|_| self.heeds_trails);
        let asked: Vec<NodeId> = tried.iter().chain(waiting).cloned().collect();
        let wrong = n.wrong.filter(|(_, until)| now < *until).map(|(to, _)| (to, false));
        let next = match named {
            Some(source) => Some((source, spec.held_only)),
            None => wrong.filter(|(to, _)| !tried.contains(id(*to))).or_else(|| match n.side.plan() {
                Some(_) => {
                    let next = n.side.next(now, key.object, heeded, &asked)?;
                    // Its plan names somebody whom the fill has passed: a loop that is seen before it is sent.
                    let blind = n.side.next(now, key.object, &unseen, &tried);
                    offered = u64::from(self.heeds_trails && blind.is_some_and(|b| trail.holds(&b.to)));
                    Some((self.find(&next.to)?, next.held_only))
                }
                None => Some((ARCHIVE, false)).filter(|_| tried.is_empty()),
            }),
        };
        let Some((source, held_only)) = next else {
            let told = self.nodes[at.0].shield.ended(key);
            told.into_iter().for_each(|w| self.word(w.0, AttemptResult::Error, FillReport::SourceFailed));
            return;
        };
        self.counts.between += 1;
        self.counts.loops_offered += offered;
        self.asks_ever += 1;
        let no = self.asks_ever;
        let source_id = self.nodes[source.0].info.id.clone();
        self.nodes[at.0].shield.asked(key, &source_id, source == ARCHIVE || held_only);
        self.nodes[at.0]
            .fills
            .insert(key, Fill { ask: no, source, tried, trail: trail.clone(), hops, spec, begun: now });
        let inside = Inside {
            asker: Asker::Node(at, key),
            at: source,
            key,
            group: spec.group,
            kb: spec.kb,
            from: None,
            rank: Rank::Middle,
            since: spec.since,
            since_grace: spec.since,
            join: true,
            held_only,
            effect: None,
            deadline: spec.deadline,
            trail,
            hops,
            came: f64::INFINITY,
            token: 0,
            joined: false,
        };
        self.asks.insert(no, inside);
        let (from, to) = (self.nodes[at.0].info.zone, self.nodes[source.0].info.zone);
        let way = self.way(from, to);
        self.at(now + way, Ev::Arrive(no));
        self.at(now + self.spec.net.fill_ms, Ev::FillLate(at, key, no));
    }

    /// A source answered.
    fn filled(&mut self, at: NodeIx, key: FillKey, no: u64, held_only: bool, r: Reply) {
        let n = &mut self.nodes[at.0];
        if !n.up || n.fills.get(&key).is_none_or(|f| f.ask != no) {
            return;
        }
        let Some(fill) = n.fills.get_mut(&key) else { return };
        match (r.end, r.note) {
            (AttemptResult::Served, _) => {
                let (source, begun, spec) = (fill.source, fill.begun, fill.spec);
                n.fills.swap_remove(&key);
                self.counts.handed += u64::from(held_only);
                let groups = [n.purged.get(&key.object), n.purged_groups.get(&spec.group)];
                let purged = groups.into_iter().flatten().fold(f64::NEG_INFINITY, |a, b| a.max(*b));
                if r.born >= purged {
                    n.store.put(key, r.born, spec.kb, spec.rank);
                }
                let (served, again) = n.shield.done(key, r.born);
                let origin = source == ARCHIVE || r.note == FillReport::FilledByOrigin;
                let note = if origin { FillReport::FilledByOrigin } else { FillReport::FilledBySource };
                for w in served {
                    let joined = self.asks.get(&w.0).is_some_and(|a| a.joined);
                    let note = if joined { FillReport::Joined } else { note };
                    self.serve(w.0, r.born, note, self.now - begun);
                }
                again.into_iter().for_each(|w| self.miss(w.0));
            }
            (AttemptResult::CacheMiss, FillReport::LoopDetected | FillReport::SourceMiss)
                if !fill.spec.named =>
            {
                let (spec, trail, hops) = (fill.spec, fill.trail.clone(), fill.hops);
                let mut tried = std::mem::take(&mut fill.tried);
                let source = fill.source;
                tried.push(self.nodes[source.0].info.id.clone());
                self.nodes[at.0].shield.turned(key);
                self.fill(at, key, spec, (trail, hops), tried, None);
            }
            (AttemptResult::CacheMiss, note) => {
                n.fills.swap_remove(&key);
                let told = n.shield.ended(key);
                let note = if note == FillReport::LoopDetected { note } else { FillReport::SourceMiss };
                told.into_iter().for_each(|w| self.word(w.0, AttemptResult::CacheMiss, note));
            }
            (end, note) => {
                let note = match (end, note) {
                    (_, FillReport::OriginFailed) => FillReport::OriginFailed,
                    _ if fill.source == ARCHIVE => FillReport::OriginFailed,
                    (AttemptResult::Rejected, _) => FillReport::SourceRejected,
                    _ => FillReport::SourceFailed,
                };
                self.fill_failed(at, key, note, true);
            }
        }
    }

    fn fill_failed(&mut self, at: NodeIx, key: FillKey, note: FillReport, again: bool) {
        let Some(fill) = self.nodes[at.0].fills.swap_remove(&key) else { return };
        let mut tried = fill.tried;
        tried.push(self.nodes[fill.source.0].info.id.clone());
        // Whose source a router named leaves it to the router; nor does it remember what failed.
        if fill.spec.named {
            let told = self.nodes[at.0].shield.ended(key);
            return told.into_iter().for_each(|w| self.word(w.0, AttemptResult::Error, note));
        }
        let n = &mut self.nodes[at.0];
        let next = n.side.next(self.now, key.object, &fill.trail, &tried);
        let then = n.shield.failed(self.now, key, again && next.is_some(), &self.set);
        match then {
            Then::Again => self.fill(at, key, fill.spec, (fill.trail, fill.hops), tried, None),
            Then::Tell(told) => told.into_iter().for_each(|w| self.word(w.0, AttemptResult::Error, note)),
        }
    }

    // ---- Answers ----

    /// An answer without a body.
    fn word(&mut self, no: u64, end: AttemptResult, note: FillReport) {
        self.send(no, Reply { end, note, born: 0.0, waited: 0.0 }, WORD_MS);
    }

    /// Sends a copy, in a slot and over the asker's link.
    fn serve(&mut self, no: u64, born: Ms, note: FillReport, waited: Ms) {
        let Some(ask) = self.asks.get(&no) else { return };
        let (at, kb, now) = (ask.at, ask.kb, self.now);
        let link = match ask.asker {
            Asker::Node(node, _) => Some(self.nodes[node.0].info.zone).filter(|z| *z > 0),
            Asker::Router(_) => None,
        };
        let n = &mut self.nodes[at.0];
        let slow = if now < n.slow.1 { n.slow.0 } else { 1.0 };
        let speed = n.cold.as_ref().map_or(1.0, |c| c.share(now));
        let takes = kb / self.spec.net.pace_kb_per_ms * slow / speed;
        let Some(Reverse(free)) = n.free.pop() else { return };
        let start = now.max(free as f64 / 1000.0);
        if start - now > n.info.machine.queue_ms {
            n.free.push(Reverse(free));
            return self.word(no, AttemptResult::Rejected, FillReport::NotReported);
        }
        let mut end = start + takes;
        n.free.push(Reverse(micros(end)));
        let loses = if now < n.loses.1 { n.loses.0 } else { 0.0 };
        if let Some(zone) = link {
            let done = self.links[zone].max(start) + kb / self.spec.net.link_kb_per_ms;
            self.links[zone] = done;
            end = end.max(done);
        } else {
            self.counts.edge_kb += kb;
        }
        if loses > 0.0 && self.rng.random::<f64>() < loses {
            return;
        }
        self.send(no, Reply { end: AttemptResult::Served, note, born, waited }, end - now);
    }

    fn send(&mut self, no: u64, reply: Reply, after: Ms) {
        let Some(ask) = self.asks.get_mut(&no) else { return };
        ask.token += 1;
        let (token, at, asker) = (ask.token, ask.at, ask.asker);
        let from = self.nodes[at.0].info.zone;
        let to = match asker {
            Asker::Router(_) => from,
            Asker::Node(node, _) => self.nodes[node.0].info.zone,
        };
        let way = self.way(from, to);
        self.at(self.now + after + way, Ev::Reply(no, token, reply));
    }

    fn reply(&mut self, no: u64, token: u64, reply: Reply) {
        if self.asks.get(&no).is_none_or(|a| a.token != token) {
            return;
        }
        // What hangs says nothing now, and what it had to say comes no more.
        let at = self.asks[&no].at;
        if self.now < self.nodes[at.0].hung {
            return;
        }
        let Some(ask) = self.asks.swap_remove(&no) else { return };
        match ask.asker {
            Asker::Router(id) => {
                self.by_id.remove(&id);
                self.out.push(Told::Answer(id, reply));
            }
            Asker::Node(node, key) => self.filled(node, key, no, ask.held_only, reply),
        }
    }
}
