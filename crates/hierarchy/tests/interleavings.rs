//! Every interleaving of a small reshape, by stateright: two hubs, three districts that ask for one part, each taking the second
//! plan over at any moment, messages in any order, and one of the hubs crashing at any moment. The code is the one that caches run.

use basaltgw_hierarchy::{
    Asks, CacheSide, Came, FillKey, NodeId, NodeSpec, Plan, PlanSpec, Settings, Shield, Then, Tier, Trail,
    Version, Waiter,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

const KEY: FillKey = FillKey { object: 0, part: 0 };
const HUBS: usize = 2;
const NODES: usize = 5;
const ARCHIVE: usize = 9;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Word {
    Whole,
    Lacks,
    Looped,
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// From, to, only for what is held, the nodes passed.
    Ask(usize, usize, bool, Vec<usize>),
    /// From, to.
    Reply(usize, usize, Word),
}

/// A hub or district.
#[derive(Clone, Debug)]
struct Node {
    side: CacheSide,
    shield: Shield,
    holds: bool,
    up: bool,
    /// Whom its fill is asked of, the trail from here, and those that it has tried.
    fill: Option<(usize, Vec<usize>, Vec<usize>)>,
    /// A district: it has begun, and is through.
    begun: bool,
    through: bool,
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Node>,
    messages: BTreeSet<Message>,
    fills: u32,
    out: u32,
    crashes: u32,
    /// A node was to go on with a fill that had been there.
    carried: bool,
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
    Begin(usize),
    Take(usize),
    Deliver(Message),
    Crash(usize),
}

struct Reshape {
    plans: [Arc<Plan>; 2],
    /// The part's object, whose home moves from the first hub to the second.
    object: u64,
    set: Settings,
    crash: bool,
    /// The old home is asked for what it holds.
    hands_over: bool,
}

fn id(node: usize) -> NodeId {
    NodeId::new(if node == ARCHIVE { "archive".to_string() } else { format!("n{node}") }.as_str())
}

fn place(id: &NodeId) -> usize {
    id.0.strip_prefix('n').and_then(|n| n.parse().ok()).unwrap_or(ARCHIVE)
}

fn trail(passed: &[usize]) -> Trail {
    passed.iter().try_fold(Trail::default(), |t, n| t.through(&id(*n))).expect("no node twice")
}

impl Reshape {
    fn new(crash: bool, hands_over: bool) -> Self {
        let plan = |version, second: f64| {
            let node = |n: usize, tier, weight, sources: &[usize]| NodeSpec {
                id: id(n),
                tier: Tier(tier),
                location: String::new(),
                weight,
                demand: 0.0,
                capacity: f64::INFINITY,
                sources: sources.iter().map(|s| id(*s)).collect(),
            };
            let mut nodes =
                vec![node(ARCHIVE, 0, 1.0, &[]), node(0, 1, 1.0, &[ARCHIVE]), node(1, 1, second, &[ARCHIVE])];
            nodes.extend((HUBS..NODES).map(|n| node(n, 2, 1.0, &[0, 1])));
            Arc::new(Plan::check(PlanSpec { version: Version(version), nodes }).expect("a plan"))
        };
        let plans = [plan(1, 1.0), plan(2, 50.0)];
        let moves = |o: &u64| plans[0].home(*o) == Some(&id(0)) && plans[1].home(*o) == Some(&id(1));
        let object = (0..).find(moves).expect("an object");
        let handover = if hands_over { 1000.0 } else { 0.0 };
        Self { plans, object, set: Settings { handover, ..Settings::default() }, crash, hands_over }
    }

    /// A node asks the next for its fill; none left: those who wait are told.
    fn ask(&self, s: &mut State, me: usize, passed: Vec<usize>, tried: Vec<usize>) {
        let waiting = s.nodes[me].shield.waiting(KEY).cloned();
        let ids: Vec<NodeId> = tried.iter().map(|t| id(*t)).chain(waiting).collect();
        match s.nodes[me].side.next(0.0, self.object, &trail(&passed), &ids) {
            Some(next) => {
                let to = place(&next.to);
                s.nodes[me].shield.asked(KEY, &next.to, next.archive || next.held_only);
                s.nodes[me].fill = Some((to, passed.clone(), tried));
                s.messages.insert(Message::Ask(me, to, next.held_only, passed));
            }
            None => {
                s.nodes[me].fill = None;
                let told = s.nodes[me].shield.ended(KEY);
                self.tell(s, me, told, Word::Failed);
            }
        }
    }

    fn tell(&self, s: &mut State, me: usize, told: Vec<Waiter>, word: Word) {
        for w in told {
            match w.0 as usize {
                // A district's own member.
                to if to == me => s.nodes[me].through = true,
                to => {
                    s.messages.insert(Message::Reply(me, to, word.clone()));
                }
            }
        }
    }

    fn asked(&self, s: &mut State, from: usize, me: usize, held_only: bool, passed: &[usize]) {
        if me == ARCHIVE {
            s.fills += 1;
            // What a node asked just before it died is fetched for nobody: the one fill more that its death may cost.
            if s.nodes[from].up {
                s.out += 1;
                s.messages.insert(Message::Reply(ARCHIVE, from, Word::Whole));
            }
            return;
        }
        let answer = |s: &mut State, word| {
            s.messages.insert(Message::Reply(me, from, word));
        };
        if !s.nodes[me].up {
            return answer(s, Word::Failed);
        }
        let seen = trail(passed);
        if s.nodes[me].side.passes(&seen).is_err() {
            return answer(s, Word::Looped);
        }
        s.carried |= passed.contains(&me);
        if s.nodes[me].holds {
            return answer(s, Word::Whole);
        }
        let waiter = Waiter(from as u64);
        let mine = id(me);
        let asks = Asks { me: &mine, waiter, deadline: f64::INFINITY, since: 0.0, trail: &seen, held_only };
        match s.nodes[me].shield.ask(0.0, KEY, asks, &self.set) {
            Came::Begin => {
                let through: Vec<usize> = passed.iter().copied().chain([me]).collect();
                self.ask(s, me, through, Vec::new());
            }
            Came::Joined => {}
            Came::Lacks if held_only => {
                s.nodes[me].side.hand_over(self.object, &id(from));
                answer(s, Word::Lacks);
            }
            Came::Lacks => answer(s, Word::Looped),
            Came::Full | Came::Failed => answer(s, Word::Failed),
        }
    }

    fn replied(&self, s: &mut State, from: usize, me: usize, word: Word) {
        if from == ARCHIVE {
            s.out -= 1;
        }
        let node = &mut s.nodes[me];
        let Some((_, passed, tried)) = node.fill.clone().filter(|(of, ..)| *of == from && node.up) else {
            return;
        };
        let tried: Vec<usize> = tried.into_iter().chain([from]).collect();
        match word {
            Word::Whole => {
                (node.holds, node.fill) = (true, None);
                let (served, _) = node.shield.done(KEY, 1.0);
                self.tell(s, me, served, Word::Whole);
            }
            Word::Lacks | Word::Looped => {
                node.shield.turned(KEY);
                self.ask(s, me, passed, tried);
            }
            Word::Failed => {
                let ids: Vec<NodeId> = tried.iter().map(|t| id(*t)).collect();
                let next = node.side.next(0.0, self.object, &trail(&passed), &ids);
                match node.shield.failed(0.0, KEY, next.is_some(), &self.set) {
                    Then::Again => self.ask(s, me, passed, tried),
                    Then::Tell(told) => {
                        s.nodes[me].fill = None;
                        self.tell(s, me, told, Word::Failed);
                    }
                }
            }
        }
    }
}

impl Model for Reshape {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = |n: usize| {
            let mut side = CacheSide::new(id(n));
            side.take(0.0, Arc::clone(&self.plans[0]), &self.set);
            let shield = Shield::default();
            Node { side, shield, holds: false, up: true, fill: None, begun: false, through: false }
        };
        let nodes = (0..NODES).map(node).collect();
        vec![State { nodes, messages: BTreeSet::new(), fills: 0, out: 0, crashes: 0, carried: false }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        steps.extend((HUBS..NODES).filter(|n| !s.nodes[*n].begun).map(Step::Begin));
        let old = |n: &usize| s.nodes[*n].side.plan().is_some_and(|p| p.version() == Version(1));
        steps.extend((0..NODES).filter(old).map(Step::Take));
        steps.extend(s.messages.iter().cloned().map(Step::Deliver));
        if self.crash && s.crashes == 0 {
            steps.extend((0..HUBS).map(Step::Crash));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::Begin(n) => {
                s.nodes[n].begun = true;
                let (none, waiter) = (Trail::default(), Waiter(n as u64));
                let (me, deadline) = (id(n), f64::INFINITY);
                let asks = Asks { me: &me, waiter, deadline, since: 0.0, trail: &none, held_only: false };
                assert_eq!(s.nodes[n].shield.ask(0.0, KEY, asks, &self.set), Came::Begin);
                self.ask(&mut s, n, vec![n], Vec::new());
            }
            Step::Take(n) => {
                s.nodes[n].side.take(0.0, Arc::clone(&self.plans[1]), &self.set);
            }
            Step::Deliver(m) => {
                s.messages.remove(&m);
                match m {
                    Message::Ask(from, to, held_only, passed) => {
                        self.asked(&mut s, from, to, held_only, &passed)
                    }
                    Message::Reply(from, to, word) => self.replied(&mut s, from, to, word),
                }
            }
            Step::Crash(n) => {
                s.crashes += 1;
                let node = &mut s.nodes[n];
                let waited = node.shield.ended(KEY);
                (node.up, node.holds, node.fill) = (false, false, None);
                // Connections end: those who asked learn it, and what comes for it is dropped.
                self.tell(&mut s, n, waited, Word::Failed);
                s.messages.retain(|m| !matches!(m, Message::Reply(ARCHIVE, to, _) if *to == n));
                s.out = s.messages.iter().filter(|m| matches!(m, Message::Reply(ARCHIVE, ..))).count() as u32;
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one fill at the archive, and one more for a crash", |_, s: &State| {
                s.fills <= 1 + s.crashes
            }),
            Property::always("one out at a time", |_, s: &State| s.out <= 1),
            Property::always("no loop is carried", |_, s: &State| !s.carried),
            Property::always("who asked is answered", |_, s: &State| {
                let asked = |n: &&Node| n.begun && n.up;
                !s.messages.is_empty() || s.nodes.iter().filter(asked).all(|n| n.through)
            }),
            Property::sometimes("all are served under the second plan", |_, s: &State| {
                let new = |n: &Node| n.side.plan().is_some_and(|p| p.version() == Version(2));
                s.nodes[HUBS..].iter().all(|n| n.holds) && s.nodes.iter().all(new)
            }),
        ]
    }
}

#[test]
fn every_interleaving_of_a_change_keeps_to_one_fill_and_leaves_nobody_waiting() {
    let checker = Reshape::new(false, true).checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn every_interleaving_with_a_crash_costs_one_fill_more_at_most() {
    let checker = Reshape::new(true, true).checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_handing_over_a_part_is_fetched_twice() {
    let model = Reshape::new(false, false);
    assert!(!model.hands_over);
    let checker = model.checker().threads(4).spawn_bfs().join();
    assert!(checker.discovery("one fill at the archive, and one more for a crash").is_some());
}
