//! Rosters in simulated time: messages take 0.5 to 5 ms and may be lost or cut off, as a seed says.

use basaltgw_membership::{Action, Event, Evidence, Membership, Presence, Settings, State};
use basaltgw_types::{Domain, Incarnation, Member, Ms, RouterId};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Events by their time in microseconds, then in the order in which they were caused.
type Queue = BinaryHeap<Reverse<(u64, u64, usize)>>;

pub struct Node {
    pub roster: Membership,
    /// What it was told last of each member.
    pub states: BTreeMap<Member, State>,
    pub evidence: Vec<(Ms, Member, Evidence)>,
    /// A stopped process: what comes is lost, timers wait.
    pub stopped: bool,
    held: Vec<Event>,
}

pub struct Net {
    pub nodes: Vec<Node>,
    /// Which node runs with a folder.
    current: BTreeMap<Member, usize>,
    queue: Queue,
    waiting: BTreeMap<u64, Event>,
    count: u64,
    pub now: Ms,
    rng: Xoshiro256PlusPlus,
    /// The share of messages that is lost.
    pub loss: f64,
    /// Nodes whose messages to and from the others are lost.
    pub cut: Vec<bool>,
    /// Events may be refused: the net has strangers.
    pub allow_refusals: bool,
}

pub fn presence(name: usize, incarnation: u128) -> Presence {
    let member =
        Member { router: RouterId(format!("r{name}").into()), incarnation: Incarnation(incarnation) };
    let domain = Domain { branch: "north".into(), machine: format!("m{name}").into() };
    Presence { member, address: ([127, 0, 0, 1], 7100 + name as u16).into(), domain }
}

/// Settings under which as many routers are listed, and one to come.
pub fn listed(many: usize) -> Settings {
    Settings { listed: (0..=many).map(|i| presence(i, 0).member.router).collect(), ..Settings::default() }
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            current: BTreeMap::new(),
            queue: Queue::new(),
            waiting: BTreeMap::new(),
            count: 0,
            now: 0.0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            loss: 0.0,
            cut: Vec::new(),
            allow_refusals: false,
        }
    }

    /// So many routers that have all met, some periods later.
    pub fn of(many: usize, seed: u64) -> Self {
        let mut net = Self::new(seed);
        for name in 0..many {
            net.start(name, 1, many);
            for other in 0..name {
                net.meet(other, name);
            }
        }
        net.run(5000.0);
        net
    }

    /// Starts a router; its place among the nodes.
    pub fn start(&mut self, name: usize, incarnation: u128, many: usize) -> usize {
        let who = presence(name, incarnation);
        self.current.insert(who.member.clone(), self.nodes.len());
        let roster = Membership::new(who, listed(many), self.rng.random()).expect("settings");
        self.nodes.push(Node {
            roster,
            states: BTreeMap::new(),
            evidence: Vec::new(),
            stopped: false,
            held: Vec::new(),
        });
        self.cut.push(false);
        self.nodes.len() - 1
    }

    /// A link between two comes up.
    pub fn meet(&mut self, a: usize, b: usize) {
        for (at, other) in [(a, b), (b, a)] {
            let event = Event::LinkUp(self.nodes[other].roster.me().clone());
            self.later(0.0, at, event);
        }
    }

    fn later(&mut self, after: Ms, at: usize, event: Event) {
        self.count += 1;
        self.waiting.insert(self.count, event);
        self.queue.push(Reverse((((self.now + after) * 1000.0) as u64, self.count, at)));
    }

    /// A stopped process runs on.
    pub fn wake(&mut self, at: usize) {
        self.nodes[at].stopped = false;
        for event in std::mem::take(&mut self.nodes[at].held) {
            self.later(0.0, at, event);
        }
    }

    pub fn event(&mut self, at: usize, event: Event) {
        let node = &mut self.nodes[at];
        if node.stopped {
            node.held.extend(matches!(event, Event::Timer(_)).then_some(event));
            return;
        }
        let mut actions = Vec::new();
        let done = self.nodes[at].roster.handle(self.now, event, &mut actions);
        assert!(done.is_ok() || self.allow_refusals, "{done:?}");
        for action in actions {
            match action {
                Action::Send(to, bytes) => {
                    let Some(&there) = self.current.get(&to) else { continue };
                    let from = self.nodes[at].roster.me().member.clone();
                    if self.cut[at] == self.cut[there] && self.rng.random::<f64>() >= self.loss {
                        let delay = self.rng.random_range(0.5..5.0);
                        self.later(delay, there, Event::MessageReceived(from, bytes));
                    }
                }
                Action::Timer(after, no) => self.later(after, at, Event::Timer(no)),
                Action::StateChanged(who, state) => {
                    self.nodes[at].states.insert(who.member, state);
                }
                Action::RemoteEvidence(who, what) => self.nodes[at].evidence.push((self.now, who, what)),
                Action::Log(_) => {}
            }
        }
    }

    pub fn run(&mut self, span: Ms) {
        let end = self.now + span;
        self.until(end, |_| false);
    }

    /// Runs until something holds, at most until then; whether it held.
    pub fn until(&mut self, end: Ms, holds: impl Fn(&Self) -> bool) -> bool {
        let mut look = self.now;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at as f64 / 1000.0 > end {
                break;
            }
            let Some(Reverse((at, no, node))) = self.queue.pop() else { break };
            self.now = self.now.max(at as f64 / 1000.0);
            if self.now >= look {
                if holds(self) {
                    return true;
                }
                look = self.now + 50.0;
            }
            if let Some(event) = self.waiting.remove(&no) {
                self.event(node, event);
            }
        }
        self.now = end;
        holds(self)
    }

    /// Whether all that run, but for some, hold a member to be so.
    pub fn all_hold(&self, who: &Member, state: State, but: &[usize]) -> bool {
        let asked = self.nodes.iter().enumerate().filter(|(i, n)| !n.stopped && !but.contains(i));
        asked.into_iter().all(|(_, n)| n.roster.me().member == *who || n.states.get(who) == Some(&state))
    }

    /// Whether all hold all others to be alive.
    pub fn calm(&self) -> bool {
        self.nodes.iter().all(|n| self.all_hold(&n.roster.me().member, State::Alive, &[]))
    }

    pub fn member(&self, at: usize) -> Member {
        self.nodes[at].roster.me().member.clone()
    }

    /// Messages and bytes sent so far by all.
    pub fn sent(&self) -> (u64, u64) {
        let of = self.nodes.iter().map(|n| n.roster.counters());
        of.fold((0, 0), |(n, b), c| (n + c.sent, b + c.sent_bytes))
    }
}
