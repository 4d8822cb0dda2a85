//! Memberships in simulated time. A message takes 0.5 to 5 ms, and may be lost at random by a seed or blocked by a partition.

use basaltgw_membership::{Action, Event, Evidence, Membership, Presence, Settings, State};
use basaltgw_types::{Domain, Incarnation, Member, Ms, RouterId};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Times in microseconds, sequence numbers and nodes of the scheduled events.
type Queue = BinaryHeap<Reverse<(u64, u64, usize)>>;

/// A simulated router.
pub struct Node {
    pub membership: Membership,
    /// The last reported state of each member.
    pub states: BTreeMap<Member, State>,
    pub evidence: Vec<(Ms, Member, Evidence)>,
    /// True while the process is suspended: messages to it are lost, and its timers wait.
    pub suspended: bool,
    waiting_timers: Vec<Event>,
}

pub struct Net {
    pub nodes: Vec<Node>,
    /// The node that runs each member.
    current: BTreeMap<Member, usize>,
    queue: Queue,
    scheduled: BTreeMap<u64, Event>,
    last_sequence: u64,
    pub now: Ms,
    rng: Xoshiro256PlusPlus,
    /// The probability that a message is lost.
    pub loss: f64,
    /// Whether each node is on the other side of a partition.
    pub partitioned: Vec<bool>,
    /// True if events may be rejected because not every router is listed.
    pub allow_rejections: bool,
}

pub fn presence(name: usize, incarnation: u128) -> Presence {
    let member =
        Member { router: RouterId(format!("r{name}").into()), incarnation: Incarnation(incarnation) };
    let domain = Domain { branch: "north".into(), machine: format!("m{name}").into() };
    Presence { member, address: ([127, 0, 0, 1], 7100 + name as u16).into(), domain }
}

/// Settings that list `routers` routers and one more.
pub fn listed(routers: usize) -> Settings {
    Settings {
        listed_routers: (0..=routers).map(|i| presence(i, 0).member.router).collect(),
        ..Settings::default()
    }
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            current: BTreeMap::new(),
            queue: Queue::new(),
            scheduled: BTreeMap::new(),
            last_sequence: 0,
            now: 0.0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            loss: 0.0,
            partitioned: Vec::new(),
            allow_rejections: false,
        }
    }

    /// A fleet in which all links have been up for some periods.
    pub fn with_routers(routers: usize, seed: u64) -> Self {
        let mut net = Self::new(seed);
        for name in 0..routers {
            net.start(name, 1, routers);
            for other in 0..name {
                net.link(other, name);
            }
        }
        net.run(5000.0);
        net
    }

    /// Starts a router; returns the index of its node.
    pub fn start(&mut self, name: usize, incarnation: u128, routers: usize) -> usize {
        let presence = presence(name, incarnation);
        self.current.insert(presence.member.clone(), self.nodes.len());
        let membership =
            Membership::new(presence, listed(routers), self.rng.random()).expect("valid settings");
        self.nodes.push(Node {
            membership,
            states: BTreeMap::new(),
            evidence: Vec::new(),
            suspended: false,
            waiting_timers: Vec::new(),
        });
        self.partitioned.push(false);
        self.nodes.len() - 1
    }

    /// Brings a link between two nodes up.
    pub fn link(&mut self, a: usize, b: usize) {
        for (node, other) in [(a, b), (b, a)] {
            let event = Event::LinkUp(self.nodes[other].membership.me().clone());
            self.schedule(0.0, node, event);
        }
    }

    fn schedule(&mut self, after: Ms, node: usize, event: Event) {
        self.last_sequence += 1;
        self.scheduled.insert(self.last_sequence, event);
        self.queue.push(Reverse((((self.now + after) * 1000.0) as u64, self.last_sequence, node)));
    }

    /// Resumes a suspended process.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].suspended = false;
        for event in std::mem::take(&mut self.nodes[node].waiting_timers) {
            self.schedule(0.0, node, event);
        }
    }

    pub fn handle(&mut self, node: usize, event: Event) {
        let state = &mut self.nodes[node];
        if state.suspended {
            state.waiting_timers.extend(matches!(event, Event::Timer(_)).then_some(event));
            return;
        }
        let mut actions = Vec::new();
        let result = self.nodes[node].membership.handle(self.now, event, &mut actions);
        assert!(result.is_ok() || self.allow_rejections, "{result:?}");
        for action in actions {
            match action {
                Action::Send(to, bytes) => {
                    let Some(&receiver) = self.current.get(&to) else { continue };
                    let from = self.nodes[node].membership.me().member.clone();
                    if self.partitioned[node] == self.partitioned[receiver]
                        && self.rng.random::<f64>() >= self.loss
                    {
                        let delay = self.rng.random_range(0.5..5.0);
                        self.schedule(delay, receiver, Event::MessageReceived(from, bytes));
                    }
                }
                Action::Timer { delay, token } => self.schedule(delay, node, Event::Timer(token)),
                Action::StateChanged(presence, state) => {
                    self.nodes[node].states.insert(presence.member, state);
                }
                Action::RemoteEvidence(observer, evidence) => {
                    self.nodes[node].evidence.push((self.now, observer, evidence));
                }
                Action::Log(_) => {}
            }
        }
    }

    pub fn run(&mut self, span: Ms) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Runs until the condition is true or the time is `end`; returns whether the condition is true.
    pub fn run_until(&mut self, end: Ms, condition: impl Fn(&Self) -> bool) -> bool {
        let mut next_check = self.now;
        while let Some(Reverse((time, _, _))) = self.queue.peek() {
            if *time as f64 / 1000.0 > end {
                break;
            }
            let Some(Reverse((time, number, node))) = self.queue.pop() else { break };
            self.now = self.now.max(time as f64 / 1000.0);
            if self.now >= next_check {
                if condition(self) {
                    return true;
                }
                next_check = self.now + 50.0;
            }
            if let Some(event) = self.scheduled.remove(&number) {
                self.handle(node, event);
            }
        }
        self.now = end;
        condition(self)
    }

    /// True if all running nodes except those in `except` consider the member to be in this state.
    pub fn all_consider(&self, member: &Member, state: State, except: &[usize]) -> bool {
        let mut nodes = self.nodes.iter().enumerate().filter(|(i, n)| !n.suspended && !except.contains(i));
        nodes.all(|(_, n)| n.membership.me().member == *member || n.states.get(member) == Some(&state))
    }

    /// True if all nodes consider all others alive.
    pub fn all_alive(&self) -> bool {
        self.nodes.iter().all(|n| self.all_consider(&n.membership.me().member, State::Alive, &[]))
    }

    pub fn member(&self, node: usize) -> Member {
        self.nodes[node].membership.me().member.clone()
    }

    /// Messages and bytes sent so far by all nodes.
    pub fn sent(&self) -> (u64, u64) {
        let counters = self.nodes.iter().map(|n| n.membership.counters());
        counters.fold((0, 0), |(n, b), c| (n + c.sent, b + c.sent_bytes))
    }
}
