//! Every interleaving of a small topology change, by stateright, with the code that caches run: two nodes of tier 1, and three of tier 2
//! that request one part. Each adopts the second plan at any point, messages arrive in any order, and one node of tier 1 crashes at any
//! point.

use basaltgw_hierarchy::{
    Admission, AfterFailure, FillKey, FillRequest, NodeId, NodeSpec, OriginShield, Plan, PlanSpec, Settings,
    SourceSelector, Tier, Version, VisitedPath, WaiterId,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

const KEY: FillKey = FillKey { object: 0, part: 0 };
/// Nodes 0 to 1 are of tier 1, the others of tier 2.
const TIER_1_NODES: usize = 2;
const NODES: usize = 5;
const ORIGIN: usize = 9;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Response {
    Served,
    Miss,
    LoopDetected,
    Failed,
}

// The order of the variants and of their fields is the order in which messages are explored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Request { from: usize, to: usize, cached_only: bool, visited: Vec<usize> },
    Response { from: usize, to: usize, response: Response },
}

/// The fill that a node runs.
#[derive(Clone, Debug)]
struct Fill {
    source: usize,
    /// The path, with this node.
    visited: Vec<usize>,
    tried: Vec<usize>,
}

/// A node of tier 1 or 2.
#[derive(Clone, Debug)]
struct Node {
    selector: SourceSelector,
    shield: OriginShield,
    has_copy: bool,
    up: bool,
    fill: Option<Fill>,
    /// In tier 2: its own request has begun, and was answered.
    begun: bool,
    answered: bool,
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Node>,
    messages: BTreeSet<Message>,
    /// Fills that the origin served, and those of them whose response is on its way.
    origin_fills: u32,
    origin_fills_in_progress: u32,
    crashes: u32,
    /// A node accepted a fill that had visited it before.
    loop_accepted: bool,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    BeginRequest(usize),
    AdoptPlan(usize),
    Deliver(Message),
    Crash(usize),
}

/// What a model's nodes do besides requests and the change.
struct Options {
    /// One node of tier 1 crashes at any point.
    may_crash: bool,
    /// The new home requests cached copies from the old one.
    hands_over: bool,
}

struct ChangeModel {
    plans: [Arc<Plan>; 2],
    /// The part's object, whose home moves from node 0 to node 1.
    object: u64,
    settings: Settings,
    options: Options,
}

fn id(node: usize) -> NodeId {
    NodeId::new(if node == ORIGIN { "origin".to_string() } else { format!("n{node}") }.as_str())
}

fn index(id: &NodeId) -> usize {
    id.0.strip_prefix('n').and_then(|n| n.parse().ok()).unwrap_or(ORIGIN)
}

fn ids(nodes: &[usize]) -> Vec<NodeId> {
    nodes.iter().map(|n| id(*n)).collect()
}

fn path(visited: &[usize]) -> VisitedPath {
    visited.iter().try_fold(VisitedPath::default(), |p, n| p.visit(&id(*n))).expect("no node twice")
}

fn plan(version: u64, weight_of_node_1: f64) -> Arc<Plan> {
    let node = |n: usize, tier, weight, sources: &[usize]| NodeSpec {
        id: id(n),
        tier: Tier(tier),
        location: String::new(),
        weight,
        demand: 0.0,
        capacity: f64::INFINITY,
        sources: ids(sources),
    };
    let mut nodes =
        vec![node(ORIGIN, 0, 1.0, &[]), node(0, 1, 1.0, &[ORIGIN]), node(1, 1, weight_of_node_1, &[ORIGIN])];
    nodes.extend((TIER_1_NODES..NODES).map(|n| node(n, 2, 1.0, &[0, 1])));
    Arc::new(Plan::from_spec(PlanSpec { version: Version(version), nodes }).expect("a plan"))
}

impl ChangeModel {
    fn new(options: Options) -> Self {
        let plans = [plan(1, 1.0), plan(2, 50.0)];
        let moves = |o: &u64| plans[0].home(*o) == Some(&id(0)) && plans[1].home(*o) == Some(&id(1));
        let object = (0..).find(moves).expect("an object");
        let handover_duration = if options.hands_over { 1000.0 } else { 0.0 };
        let settings = Settings { handover_duration, ..Settings::default() };
        Self { plans, object, settings, options }
    }

    /// A node requests its fill from the next source; if no source is left, it reports a failure to its waiters.
    fn request_fill(&self, s: &mut State, me: usize, visited: Vec<usize>, tried: Vec<usize>) {
        let waiting = s.nodes[me].shield.waiting_nodes(KEY).cloned();
        let excluded: Vec<NodeId> = ids(&tried).into_iter().chain(waiting).collect();
        match s.nodes[me].selector.next_source(0.0, self.object, &path(&visited), &excluded) {
            Some(next) => {
                let to = index(&next.node);
                s.nodes[me].shield.set_source(KEY, &next.node, next.is_origin || next.cached_only);
                s.nodes[me].fill = Some(Fill { source: to, visited: visited.clone(), tried });
                let cached_only = next.cached_only;
                s.messages.insert(Message::Request { from: me, to, cached_only, visited });
            }
            None => {
                s.nodes[me].fill = None;
                let waiters = s.nodes[me].shield.abandon(KEY);
                self.respond(s, me, waiters, Response::Failed);
            }
        }
    }

    fn respond(&self, s: &mut State, me: usize, waiters: Vec<WaiterId>, response: Response) {
        for waiter in waiters {
            match waiter.0 as usize {
                // The node's own request.
                to if to == me => s.nodes[me].answered = true,
                to => {
                    s.messages.insert(Message::Response { from: me, to, response: response.clone() });
                }
            }
        }
    }

    fn on_request_at_origin(&self, s: &mut State, from: usize) {
        s.origin_fills += 1;
        // A fill that a node requested just before it crashed is served to nobody: the one more fill that a crash may cost.
        if s.nodes[from].up {
            s.origin_fills_in_progress += 1;
            s.messages.insert(Message::Response { from: ORIGIN, to: from, response: Response::Served });
        }
    }

    fn on_request(&self, s: &mut State, from: usize, me: usize, cached_only: bool, visited: &[usize]) {
        if me == ORIGIN {
            return self.on_request_at_origin(s, from);
        }
        let respond = |s: &mut State, response| {
            s.messages.insert(Message::Response { from: me, to: from, response });
        };
        if !s.nodes[me].up {
            return respond(s, Response::Failed);
        }
        let path = path(visited);
        if s.nodes[me].selector.visit(&path).is_err() {
            return respond(s, Response::LoopDetected);
        }
        s.loop_accepted |= visited.contains(&me);
        if s.nodes[me].has_copy {
            return respond(s, Response::Served);
        }
        let request = FillRequest {
            me: &id(me),
            waiter: WaiterId(from as u64),
            deadline: f64::INFINITY,
            min_origin_time: 0.0,
            path: &path,
            cached_only,
        };
        match s.nodes[me].shield.request(0.0, KEY, request, &self.settings) {
            Admission::StartFill => {
                let visited: Vec<usize> = visited.iter().copied().chain([me]).collect();
                self.request_fill(s, me, visited, Vec::new());
            }
            Admission::Joined => {}
            Admission::Miss if cached_only => {
                s.nodes[me].selector.record_handover(self.object, &id(from));
                respond(s, Response::Miss);
            }
            Admission::Miss => respond(s, Response::LoopDetected),
            Admission::LimitReached | Admission::FailedRecently => respond(s, Response::Failed),
        }
    }

    fn on_response(&self, s: &mut State, from: usize, me: usize, response: Response) {
        if from == ORIGIN {
            s.origin_fills_in_progress -= 1;
        }
        let node = &mut s.nodes[me];
        let Some(fill) = node.fill.clone().filter(|fill| fill.source == from && node.up) else {
            return;
        };
        let visited = fill.visited;
        let tried: Vec<usize> = fill.tried.into_iter().chain([from]).collect();
        match response {
            Response::Served => {
                (node.has_copy, node.fill) = (true, None);
                let waiters = node.shield.complete(KEY, 1.0).served;
                self.respond(s, me, waiters, Response::Served);
            }
            Response::Miss | Response::LoopDetected => {
                node.shield.clear_source(KEY);
                self.request_fill(s, me, visited, tried);
            }
            Response::Failed => {
                let next = node.selector.next_source(0.0, self.object, &path(&visited), &ids(&tried));
                match node.shield.fail(0.0, KEY, next.is_some(), &self.settings) {
                    AfterFailure::Retry => self.request_fill(s, me, visited, tried),
                    AfterFailure::Notify(waiters) => {
                        s.nodes[me].fill = None;
                        self.respond(s, me, waiters, Response::Failed);
                    }
                }
            }
        }
    }

    fn begin_request(&self, s: &mut State, n: usize) {
        s.nodes[n].begun = true;
        let request = FillRequest {
            me: &id(n),
            waiter: WaiterId(n as u64),
            deadline: f64::INFINITY,
            min_origin_time: 0.0,
            path: &VisitedPath::default(),
            cached_only: false,
        };
        let admission = s.nodes[n].shield.request(0.0, KEY, request, &self.settings);
        assert_eq!(admission, Admission::StartFill);
        self.request_fill(s, n, vec![n], Vec::new());
    }

    /// A node crashes: its connections close, by which its requesters learn of it, and responses to it are dropped.
    fn crash(&self, s: &mut State, n: usize) {
        s.crashes += 1;
        let node = &mut s.nodes[n];
        let waiters = node.shield.abandon(KEY);
        (node.up, node.has_copy, node.fill) = (false, false, None);
        self.respond(s, n, waiters, Response::Failed);
        s.messages.retain(|m| !matches!(m, Message::Response { from: ORIGIN, to, .. } if *to == n));
        let is_from_origin = |m: &&Message| matches!(m, Message::Response { from: ORIGIN, .. });
        s.origin_fills_in_progress = s.messages.iter().filter(is_from_origin).count() as u32;
    }
}

impl Model for ChangeModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = |n: usize| {
            let mut selector = SourceSelector::new(id(n));
            selector.adopt(0.0, Arc::clone(&self.plans[0]), &self.settings);
            let shield = OriginShield::default();
            Node { selector, shield, has_copy: false, up: true, fill: None, begun: false, answered: false }
        };
        vec![State {
            nodes: (0..NODES).map(node).collect(),
            messages: BTreeSet::new(),
            origin_fills: 0,
            origin_fills_in_progress: 0,
            crashes: 0,
            loop_accepted: false,
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        steps.extend((TIER_1_NODES..NODES).filter(|n| !s.nodes[*n].begun).map(Step::BeginRequest));
        let has_old_plan = |n: &usize| s.nodes[*n].selector.plan().is_some_and(|p| p.version() == Version(1));
        steps.extend((0..NODES).filter(has_old_plan).map(Step::AdoptPlan));
        steps.extend(s.messages.iter().cloned().map(Step::Deliver));
        if self.options.may_crash && s.crashes == 0 {
            steps.extend((0..TIER_1_NODES).map(Step::Crash));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::BeginRequest(n) => self.begin_request(&mut s, n),
            Step::AdoptPlan(n) => {
                s.nodes[n].selector.adopt(0.0, Arc::clone(&self.plans[1]), &self.settings);
            }
            Step::Deliver(m) => {
                s.messages.remove(&m);
                match m {
                    Message::Request { from, to, cached_only, visited } => {
                        self.on_request(&mut s, from, to, cached_only, &visited)
                    }
                    Message::Response { from, to, response } => self.on_response(&mut s, from, to, response),
                }
            }
            Step::Crash(n) => self.crash(&mut s, n),
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one fill at the origin, and one more for a crash", |_, s: &State| {
                s.origin_fills <= 1 + s.crashes
            }),
            Property::always("one fill in progress at the origin", |_, s: &State| {
                s.origin_fills_in_progress <= 1
            }),
            Property::always("no loop is accepted", |_, s: &State| !s.loop_accepted),
            Property::always("every request is answered", |_, s: &State| {
                let requested = |n: &&Node| n.begun && n.up;
                !s.messages.is_empty() || s.nodes.iter().filter(requested).all(|n| n.answered)
            }),
            Property::sometimes("all requests are served under the second plan", |_, s: &State| {
                let has_new_plan = |n: &Node| n.selector.plan().is_some_and(|p| p.version() == Version(2));
                s.nodes[TIER_1_NODES..].iter().all(|n| n.has_copy) && s.nodes.iter().all(has_new_plan)
            }),
        ]
    }
}

#[test]
fn change_without_a_crash_takes_one_fill_and_answers_every_request() {
    let model = ChangeModel::new(Options { may_crash: false, hands_over: true });
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn crash_during_a_change_costs_at_most_one_more_fill() {
    let model = ChangeModel::new(Options { may_crash: true, hands_over: true });
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_handover_a_part_is_fetched_twice() {
    let model = ChangeModel::new(Options { may_crash: false, hands_over: false });
    assert!(!model.options.hands_over);
    let checker = model.checker().threads(4).spawn_bfs().join();
    assert!(checker.discovery("one fill at the origin, and one more for a crash").is_some());
}
