//! Caches, the archive and the links between them: asks of routers go in, answers come out. Time is handed in.
//!
//! A request takes a place among a node's slots for its sending time; a miss is filled from the source that the router named (at an edge cache)
//! or that the node's side of the plan names (above). Without a plan a parent asks the archive. Fills of one part are one, whoever asks.

mod faults;
mod fills;
mod message;
mod node;
mod requests;

pub use message::*;
pub use node::*;

use crate::spec::FleetSpec;
use crate::store::Store;
use crate::{micros, rng, Ms, Rng};
use basaltgw::api::{AttemptResult, FillReport, Rank};
use basaltgw_hierarchy::{
    FillKey, NodeId, OriginShield, Plan, Settings, SourceSelector, VisitedPath, WaiterId,
};
use indexmap::IndexMap;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

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
    trail: VisitedPath,
    hops: u32,
    came: Ms,
    /// Its answer that is under way, if it has this number.
    token: u64,
    joined: bool,
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
                side: SourceSelector::new(info.id.clone()),
                shield: OriginShield::default(),
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
                trail: VisitedPath::default(),
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
                self.nodes[ask.at.0].shield.remove_waiter(ask.key, WaiterId(no));
            }
        }
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
                    self.nodes[node.0].side.adopt(now, plan, &set);
                }
                Ev::Overdue => {
                    self.at(self.now + OVERDUE_MS, Ev::Overdue);
                    for i in 0..self.nodes.len() {
                        if self.nodes[i].shield.is_empty() {
                            continue;
                        }
                        for w in self.nodes[i].shield.remove_expired(self.now) {
                            self.word(w.0, AttemptResult::Error, FillReport::SourceFailed);
                        }
                    }
                }
            }
        }
        self.now = self.now.max(now);
        told.append(&mut self.out);
    }
}
