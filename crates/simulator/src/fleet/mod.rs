//! Caches, the origin and the links between them: the input is routers' requests, the output responses. The caller passes the time.
//!
//! A response occupies one of the node's slots for its sending time. A miss is filled from the source that the router named, or, for
//! requests of other nodes, from the source that the node's part of the plan names; without a plan, from the origin. A node runs at most
//! one fill of a part, which all requests for the part share.

mod faults;
mod fills;
mod message;
mod node;
mod requests;

pub use message::*;
pub use node::*;

use crate::spec::FleetSpec;
use crate::store::Store;
use crate::{micros, random_stream, rng, Ms, Rng};
use basaltgw::api::{AttemptResult, FillReport, Rank};
use basaltgw_hierarchy::{
    FillKey, NodeId, OriginShield, Plan, Settings, SourceSelector, VisitedPath, WaiterId,
};
use indexmap::IndexMap;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

/// The sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requester {
    Router(NodeRequestId),
    /// A node that fills this part.
    Node(NodeIndex, FillKey),
}

/// A request that is on its way to a node or waits there for its response.
struct PendingRequest {
    requester: Requester,
    /// The node to which the request is sent.
    at: NodeIndex,
    key: FillKey,
    group: u64,
    size_kb: f64,
    /// The source that the router named for a miss; `None` for requests of nodes, and if the node must not fill.
    fill_source: Option<NodeIndex>,
    rank: Rank,
    /// A copy may be served if the origin served it at this time or later.
    min_origin_time: Ms,
    /// A copy may be served and revalidated in the background if the origin served it at this time or later.
    min_stale_origin_time: Ms,
    join_fill: bool,
    cached_only: bool,
    write: Option<u64>,
    deadline: Ms,
    /// The nodes that the request and the fills behind it have visited before this node.
    path: VisitedPath,
    /// How many times the request was forwarded as a fill.
    hops: u32,
    /// Infinity while the request is on its way.
    arrived_at: Ms,
    /// The number of the latest response; earlier ones are void.
    response_number: u64,
    /// The request joined a fill that another one had started.
    joined: bool,
}

/// An event of the fleet that is due at some time.
enum Event {
    RequestArrives { number: u64 },
    ResponseArrives { number: u64, response_number: u64, response: NodeResponse },
    FillTimeout { node: NodeIndex, key: FillKey, number: u64 },
    PurgeArrives { node: NodeIndex, object: Option<u64>, group: u64, purged_at: Ms },
    PlanArrives { node: NodeIndex, plan: Arc<Plan> },
    ExpireWaiters,
}

/// The interval at which requests that wait for a fill past their deadline are failed.
const WAITER_EXPIRY_INTERVAL_MS: Ms = 25.0;
/// A request that loops fails after this many hops when loop detection is off.
const MAX_HOPS: u32 = 32;
/// The timeout after which a router treats an unreachable machine as a failed connection.
const CONNECT_TIMEOUT_MS: Ms = 400.0;
/// The sending time of a response without a body.
const EMPTY_RESPONSE_MS: Ms = 0.3;

/// All caches, the origin and all links of a run.
pub struct Fleet {
    spec: FleetSpec,
    topology: Settings,
    nodes: Vec<Node>,
    node_ids: HashMap<NodeId, NodeIndex>,
    /// When each zone's link becomes free.
    link_free_at: Vec<Ms>,
    /// Pending requests by number.
    requests: IndexMap<u64, PendingRequest>,
    /// The numbers of routers' pending requests.
    request_numbers: HashMap<NodeRequestId, u64>,
    last_request_number: u64,
    events: HashMap<u64, Event>,
    /// Times of events in microseconds, with the events' numbers.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    last_event_number: u64,
    /// The number of purges and the time of the latest, by object.
    object_purges: HashMap<u64, (u32, Ms)>,
    /// Like `object_purges`, by group.
    group_purges: HashMap<u64, (u32, Ms)>,
    /// The number of groups of objects.
    groups: u64,
    /// When the origin last served a part for a fill, by part and by how many times the part's object or group was purged before.
    last_origin_fill: HashMap<(FillKey, u32), Ms>,
    /// Parts lost in crashes of hubs and districts that the origin has not served again since.
    lost_in_crash: HashSet<FillKey>,
    /// Nodes reject requests that have already visited them. Otherwise a request loops until it reaches the limit of hops.
    pub loop_detection: bool,
    rng: Rng,
    now: Ms,
    output: Vec<FleetEvent>,
    /// Counts so far.
    pub counts: Counts,
}

impl Fleet {
    /// Creates an idle fleet with empty stores; all nodes but the spare ones are up and warm.
    pub fn new(spec: &FleetSpec, groups: u64, topology: Settings, seed: u64) -> Self {
        let nodes: Vec<Node> = nodes(spec)
            .into_iter()
            .map(|info| Node {
                up: !info.spare,
                hung_until: 0.0,
                vanished: false,
                slowdown: Slowdown { factor: 1.0, until: 0.0 },
                refuses_fills_until: 0.0,
                response_loss: ResponseLoss { probability: 0.0, until: 0.0 },
                wrong_source: None,
                store: Store::new(info.machine.store_kb),
                selector: SourceSelector::new(info.id.clone()),
                shield: OriginShield::default(),
                fills: IndexMap::new(),
                slots_free_at: (0..info.machine.slots).map(|_| Reverse(0)).collect(),
                cold_load: None,
                object_purges: HashMap::new(),
                group_purges: HashMap::new(),
                info,
            })
            .collect();
        let node_ids = nodes.iter().enumerate().map(|(i, n)| (n.info.id.clone(), NodeIndex(i))).collect();
        let mut fleet = Self {
            link_free_at: vec![0.0; spec.zones + 1],
            spec: spec.clone(),
            topology,
            nodes,
            node_ids,
            requests: IndexMap::new(),
            request_numbers: HashMap::new(),
            last_request_number: 0,
            events: HashMap::new(),
            due: BinaryHeap::new(),
            last_event_number: 0,
            object_purges: HashMap::new(),
            group_purges: HashMap::new(),
            groups,
            last_origin_fill: HashMap::new(),
            lost_in_crash: HashSet::new(),
            loop_detection: true,
            rng: rng(seed, random_stream::FLEET),
            now: 0.0,
            output: Vec::new(),
            counts: Counts::default(),
        };
        fleet.schedule(WAITER_EXPIRY_INTERVAL_MS, Event::ExpireWaiters);
        fleet
    }

    /// The node with an id of the endpoint list.
    pub fn node_by_id(&self, id: &NodeId) -> Option<NodeIndex> {
        self.node_ids.get(id).copied()
    }

    /// The node with a name of the script.
    pub fn node_by_name(&self, name: &str) -> Option<NodeIndex> {
        self.nodes.iter().position(|n| n.info.name == name).map(NodeIndex)
    }

    /// The description of a node.
    pub fn info(&self, node: NodeIndex) -> &NodeInfo {
        &self.nodes[node.0].info
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// True if there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The time of the next event.
    pub fn next_due(&self) -> Option<Ms> {
        self.due.peek().map(|Reverse((at, _))| *at as f64 / 1000.0)
    }

    fn schedule(&mut self, at: Ms, event: Event) {
        self.last_event_number += 1;
        self.events.insert(self.last_event_number, event);
        self.due.push(Reverse((micros(at), self.last_event_number)));
    }

    /// Draws the one-way latency from one zone to another.
    fn latency(&mut self, from: usize, to: usize) -> Ms {
        let base = if from == to && from != 0 { self.spec.net.near_ms } else { self.spec.net.far_ms };
        base * (1.0 + self.spec.net.jitter * self.rng.random::<f64>())
    }

    /// Sends a request of a router in `zone` to a node.
    pub fn send(&mut self, now: Ms, zone: usize, to: NodeIndex, request: NodeRequest) {
        self.now = now;
        self.last_request_number += 1;
        let number = self.last_request_number;
        let min_origin_time = request.max_age.map_or(f64::NEG_INFINITY, |age| now - age);
        self.request_numbers.insert(request.id, number);
        self.requests.insert(
            number,
            PendingRequest {
                requester: Requester::Router(request.id),
                at: to,
                key: request.key,
                group: request.group,
                size_kb: request.size_kb,
                fill_source: request.fill_source.filter(|source| *source != to),
                rank: request.rank,
                min_origin_time,
                min_stale_origin_time: min_origin_time - request.stale_for,
                join_fill: request.join_fill,
                cached_only: request.cached_only,
                write: request.write,
                deadline: now + request.timeout,
                path: VisitedPath::default(),
                hops: 0,
                arrived_at: f64::INFINITY,
                response_number: 0,
                joined: false,
            },
        );
        let to_zone = self.nodes[to.0].info.zone;
        let latency = self.latency(zone, to_zone);
        self.schedule(now + latency, Event::RequestArrives { number });
    }

    /// Cancels a router's request: no response is reported. A fill that the request started continues.
    pub fn cancel(&mut self, now: Ms, id: NodeRequestId) {
        self.now = now;
        if let Some(number) = self.request_numbers.remove(&id) {
            if let Some(request) = self.requests.swap_remove(&number) {
                self.nodes[request.at.0].shield.remove_waiter(request.key, WaiterId(number));
            }
        }
    }

    /// Publishes a plan; each node receives it after its own delay, drawn from `delay`.
    pub fn distribute_plan(&mut self, now: Ms, plan: &Arc<Plan>, delay: [f64; 2]) {
        self.now = now;
        for i in 0..self.nodes.len() {
            let after = self.draw_from(delay);
            self.schedule(now + after, Event::PlanArrives { node: NodeIndex(i), plan: Arc::clone(plan) });
        }
    }

    /// Purges an object, or without one a group, now; each node receives the purge after its own delay.
    pub fn purge(&mut self, now: Ms, object: Option<u64>, group: u64) {
        self.now = now;
        let count = match object {
            Some(object) => self.object_purges.entry(object).or_insert((0, 0.0)),
            None => self.group_purges.entry(group).or_insert((0, 0.0)),
        };
        *count = (count.0 + 1, now);
        let delay = self.spec.news.cache_purge_ms;
        for i in 1..self.nodes.len() {
            let after = self.draw_from(delay);
            let event = Event::PurgeArrives { node: NodeIndex(i), object, group, purged_at: now };
            self.schedule(now + after, event);
        }
    }

    /// Draws uniformly from a range.
    fn draw_from(&mut self, [min, max]: [f64; 2]) -> Ms {
        min + (max - min).max(0.0) * self.rng.random::<f64>()
    }

    /// Processes all events until now and appends what the fleet reports to `output`.
    pub fn advance(&mut self, now: Ms, output: &mut Vec<FleetEvent>) {
        while let Some(Reverse((at, number))) =
            self.due.peek().copied().filter(|Reverse((at, _))| *at <= micros(now))
        {
            self.due.pop();
            self.now = self.now.max(at as f64 / 1000.0);
            let Some(event) = self.events.remove(&number) else { continue };
            match event {
                Event::RequestArrives { number } => self.request_arrives(number),
                Event::ResponseArrives { number, response_number, response } => {
                    self.response_arrives(number, response_number, response)
                }
                Event::FillTimeout { node, key, number } => {
                    let current =
                        self.nodes[node.0].fills.get(&key).is_some_and(|f| f.request_number == number);
                    if current && self.requests.swap_remove(&number).is_some() {
                        self.fill_failed(node, key, FillReport::SourceFailed, true);
                    }
                }
                Event::PurgeArrives { node, object, group, purged_at } => {
                    self.purge_arrives(node, object, group, purged_at)
                }
                Event::PlanArrives { node, plan } => {
                    let (now, topology) = (self.now, self.topology);
                    self.nodes[node.0].selector.adopt(now, plan, &topology);
                }
                Event::ExpireWaiters => {
                    self.schedule(self.now + WAITER_EXPIRY_INTERVAL_MS, Event::ExpireWaiters);
                    for i in 0..self.nodes.len() {
                        if self.nodes[i].shield.is_empty() {
                            continue;
                        }
                        for waiter in self.nodes[i].shield.remove_expired(self.now) {
                            self.send_empty(waiter.0, AttemptResult::Error, FillReport::SourceFailed);
                        }
                    }
                }
            }
        }
        self.now = self.now.max(now);
        output.append(&mut self.output);
    }
}
