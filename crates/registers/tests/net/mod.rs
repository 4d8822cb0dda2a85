//! Registers on a simulated network, in simulated time; all faults are sampled from a seed.
#![allow(dead_code)] // Each test program uses only some of these items.

pub mod linearizability;
mod members;

/// Items that the linearizability checker imports; the crate's unit tests provide them in a module of the same name.
mod api {
    pub use basaltgw_registers::{transition, Change, Record, Response};
}

use members::index;
pub use members::{execution, joint, map, member, mix};

use basaltgw_registers::{
    Action, Change, DiskWrite, Event, InjectedBug, RecordKey, Registers, RequestNumber, Response, Settings,
};
use basaltgw_types::{Member, Shard, ShardMap};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

/// Faults of links and disks: probabilities from 0 to 1, delays in milliseconds.
#[derive(Clone, Debug)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub delay_ms: Range<f64>,
    pub disk_delay_ms: Range<f64>,
    pub disk_failure: f64,
}

impl Faults {
    pub fn none() -> Self {
        Self { loss: 0.0, duplication: 0.0, delay_ms: 0.5..1.5, disk_delay_ms: 0.5..1.5, disk_failure: 0.0 }
    }
}

#[derive(Clone, Debug)]
enum Scheduled {
    Message { from: Member, to: Member, bytes: Vec<u8> },
    Timer { router: usize, process: u64, token: u64 },
    DiskWrite { router: usize, process: u64, number: u64, writes: Vec<DiskWrite>, durable: bool },
    Event { router: usize, event: Event },
}

/// Longest delay of a timer: longer than any test runs.
const MAX_DELAY_MS: f64 = 1e9;

/// A router: its process, and its disk, which survives a restart of the process.
pub struct Node {
    pub me: Member,
    pub registers: Option<Registers>,
    pub disk: BTreeMap<Vec<u8>, Vec<u8>>,
    pub disk_full: bool,
    /// Number of process starts and kills so far. Timers and disk writes of earlier processes are ignored.
    process: u64,
    /// Events that wait until a suspended process resumes; `None` while it is not suspended.
    suspended: Option<Vec<Scheduled>>,
}

/// A response to a request, and the time at which it was returned.
pub struct ReturnedResponse {
    pub time: f64,
    pub router: usize,
    pub number: u64,
    pub key: RecordKey,
    pub response: Response,
}

/// A router that has synchronised a shard, or (`None`) all shards that are new to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Synced {
    pub router: usize,
    pub shard: Option<Shard>,
}

pub struct Net {
    pub now: f64,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    pub settings: Settings,
    pub map: Arc<ShardMap>,
    pub responses: Vec<ReturnedResponse>,
    pub synced: Vec<Synced>,
    pub stale_epochs: u64,
    /// Routers that report a later epoch receive its map.
    pub maps_are_fetched: bool,
    /// Directed links that lose everything, without being reported as unreachable.
    pub partitioned: BTreeSet<(usize, usize)>,
    pub injected_bug: InjectedBug,
    pub messages: u64,
    /// Messages and batches so far, for faults at every step.
    pub steps: u64,
    queue: BTreeMap<(u64, u64), Scheduled>,
    last_sequence: u64,
    seed: u64,
    last_incarnation: u128,
    last_request: u64,
}

impl Net {
    pub fn new(routers: usize, shards: usize, replicas: usize, seed: u64) -> Self {
        let members: Vec<Member> = (0..routers).map(|r| member(r, 1 + r as u128)).collect();
        let map = Arc::new(map(1, shards, replicas, &members));
        let fresh = |me| Node {
            me,
            registers: None,
            disk: BTreeMap::new(),
            disk_full: false,
            process: 0,
            suspended: None,
        };
        let mut net = Self {
            now: 0.0,
            nodes: members.into_iter().map(fresh).collect(),
            faults: Faults::none(),
            settings: Settings { retransmit_interval_ms: 20.0, sync_pause_ms: 1.0, ..Settings::standard() },
            map,
            responses: Vec::new(),
            synced: Vec::new(),
            stale_epochs: 0,
            maps_are_fetched: true,
            partitioned: BTreeSet::new(),
            injected_bug: InjectedBug::None,
            messages: 0,
            steps: 0,
            queue: BTreeMap::new(),
            last_sequence: 0,
            seed,
            last_incarnation: 1_000,
            last_request: 0,
        };
        (0..routers).for_each(|r| net.start(r));
        net
    }

    /// A random number from 0 to 1.
    pub fn random(&mut self) -> f64 {
        self.seed = mix(self.seed, 0x9e37);
        basaltgw_structures::hash::unit_interval(self.seed)
    }

    pub fn random_index(&mut self, n: usize) -> usize {
        ((self.random() * n as f64) as usize).min(n - 1)
    }

    /// Starts a router's process from its disk.
    pub fn start(&mut self, router: usize) {
        let seed = mix(self.seed, router as u64);
        let node = &mut self.nodes[router];
        let records: Vec<(Vec<u8>, Vec<u8>)> = node.disk.clone().into_iter().collect();
        let mut registers = Registers::new(node.me.clone(), self.settings.clone(), records, seed)
            .expect("records that this member wrote are valid");
        registers.inject_bug(self.injected_bug);
        node.registers = Some(registers);
        node.process += 1;
        node.suspended = None;
        self.handle(router, Event::ShardMap(self.map.clone()));
    }

    /// Kills a router's process; a batch in flight is written or not.
    pub fn kill(&mut self, router: usize) {
        let node = &mut self.nodes[router];
        node.registers = None;
        node.suspended = None;
        node.process += 1;
        for (at, scheduled) in std::mem::take(&mut self.queue) {
            match scheduled {
                Scheduled::DiskWrite { router: r, writes, .. } if r == router => {
                    if self.random() < 0.5 {
                        write(&mut self.nodes[r].disk, &writes);
                    }
                }
                Scheduled::DiskWrite { .. }
                | Scheduled::Message { .. }
                | Scheduled::Timer { .. }
                | Scheduled::Event { .. } => {
                    self.queue.insert(at, scheduled);
                }
            }
        }
    }

    /// Kills a router's process and erases its disk; the next process has another incarnation.
    pub fn erase_disk(&mut self, router: usize) {
        self.kill(router);
        self.last_incarnation += 1;
        self.nodes[router].disk.clear();
        self.nodes[router].me = member(router, self.last_incarnation);
    }

    pub fn suspend(&mut self, router: usize) {
        self.nodes[router].suspended = Some(Vec::new());
    }

    pub fn resume(&mut self, router: usize) {
        let delayed = self.nodes[router].suspended.take().unwrap_or_default();
        delayed.into_iter().for_each(|scheduled| self.dispatch(scheduled));
    }

    /// Delivers a map to each router after a random delay of at most `within_ms`.
    pub fn publish_map(&mut self, map: ShardMap, within_ms: f64) {
        self.map = Arc::new(map);
        for r in 0..self.nodes.len() {
            let delay = self.random() * within_ms;
            let event = Event::ShardMap(self.map.clone());
            self.schedule(delay, Scheduled::Event { router: r, event });
        }
    }

    /// Moves to another map through the joint map. Returns false if not all routers were synchronised with the joint map within `within_ms`.
    /// Earlier reports of synchronisation are cleared.
    pub fn reconfigure(&mut self, to: &ShardMap, within_ms: f64) -> bool {
        let [joint_map, new_map] = joint(&self.map, to);
        self.synced.clear();
        self.publish_map(joint_map, 20.0);
        if !self.run_until(within_ms, |net| net.all_synced()) {
            return false;
        }
        self.publish_map(new_map, 20.0);
        self.run(30.0);
        true
    }

    /// True if every router whose process is running is synchronised.
    pub fn all_synced(&self) -> bool {
        let mut running = (0..self.nodes.len()).filter(|r| self.nodes[*r].registers.is_some());
        running.all(|r| self.is_synced(r))
    }

    /// True if the router has synchronised all shards that are new to it.
    pub fn is_synced(&self, router: usize) -> bool {
        self.synced.contains(&Synced { router, shard: None })
    }

    /// The router's registers; it must be running.
    pub fn registers(&self, router: usize) -> &Registers {
        self.nodes[router].registers.as_ref().expect("the router's process is running")
    }

    /// Starts a request, and returns its number.
    pub fn request(&mut self, router: usize, key: RecordKey, change: Change, timeout: f64) -> u64 {
        self.last_request += 1;
        let number = RequestNumber(self.last_request);
        let event = Event::Request { number, key, change, timeout };
        self.dispatch(Scheduled::Event { router, event });
        self.last_request
    }

    /// Starts a request, and runs until its response.
    pub fn call(&mut self, router: usize, key: RecordKey, change: Change) -> Response {
        let number = self.request(router, key, change, 2_000.0);
        self.run_until(5_000.0, |net| net.response(number).is_some());
        self.response(number).cloned().expect("each request gets a response")
    }

    pub fn response(&self, number: u64) -> Option<&Response> {
        self.responses.iter().find(|r| r.number == number).map(|r| &r.response)
    }

    pub fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.step(until) {}
        self.now = until;
    }

    /// Runs until the condition is true; returns false if it is not within `ms`.
    pub fn run_until(&mut self, ms: f64, mut condition: impl FnMut(&Self) -> bool) -> bool {
        let until = self.now + ms;
        while !condition(self) {
            if !self.step(until) {
                return false;
            }
        }
        true
    }

    /// Dispatches the next scheduled event; returns false if none is due by `until`.
    pub fn step(&mut self, until: f64) -> bool {
        let Some(entry) = self.queue.first_entry() else { return false };
        let at = entry.key().0 as f64 / 1e3;
        if at > until {
            return false;
        }
        self.now = self.now.max(at);
        let scheduled = entry.remove();
        self.dispatch(scheduled);
        true
    }

    fn dispatch(&mut self, scheduled: Scheduled) {
        let router = match &scheduled {
            Scheduled::Message { to, .. } => index(to),
            Scheduled::Timer { router, .. }
            | Scheduled::DiskWrite { router, .. }
            | Scheduled::Event { router, .. } => Some(*router),
        };
        let Some(router) = router else { return };
        if let Some(delayed) = &mut self.nodes[router].suspended {
            return delayed.push(scheduled);
        }
        let current_process = self.nodes[router].process;
        match scheduled {
            Scheduled::Message { from, bytes, .. } => {
                self.handle(router, Event::MessageReceived(from, bytes))
            }
            Scheduled::Timer { process, token, .. } if process == current_process => {
                self.handle(router, Event::Timer(token));
            }
            Scheduled::DiskWrite { process, number, writes, durable, .. } if process == current_process => {
                if durable {
                    write(&mut self.nodes[router].disk, &writes);
                }
                self.handle(router, Event::BatchStored(number, durable));
            }
            Scheduled::Event { event, .. } => self.handle(router, event),
            Scheduled::Timer { .. } | Scheduled::DiskWrite { .. } => {}
        }
    }

    pub fn handle(&mut self, router: usize, event: Event) {
        let now = self.now;
        let Some(registers) = &mut self.nodes[router].registers else { return };
        let mut actions = Vec::new();
        registers.handle(now, event, &mut actions);
        actions.into_iter().for_each(|action| self.execute(router, action));
    }

    fn execute(&mut self, router: usize, action: Action) {
        let process = self.nodes[router].process;
        match action {
            Action::Send(_, to, bytes) => self.send(router, to, bytes),
            Action::Store(number, writes) => {
                self.steps += 1;
                let durable = !self.nodes[router].disk_full && self.random() >= self.faults.disk_failure;
                let delay = self.random_within(self.faults.disk_delay_ms.clone());
                self.schedule(delay, Scheduled::DiskWrite { router, process, number, writes, durable });
            }
            Action::Respond(RequestNumber(number), key, response) => {
                self.responses.push(ReturnedResponse { time: self.now, router, number, key, response });
            }
            Action::Timer(delay, token) => self.schedule(delay, Scheduled::Timer { router, process, token }),
            Action::ShardSynced(epoch, shard) if epoch == self.map.epoch => {
                self.synced.push(Synced { router, shard });
            }
            Action::ShardSynced(..) => {}
            Action::StaleEpoch(epoch, _) => {
                self.stale_epochs += 1;
                if self.map.epoch >= epoch && self.maps_are_fetched {
                    let event = Event::ShardMap(self.map.clone());
                    self.schedule(2.0, Scheduled::Event { router, event });
                }
            }
            Action::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: Member, bytes: Vec<u8>) {
        self.messages += 1;
        self.steps += 1;
        let recipient = index(&to);
        if recipient.is_some_and(|r| self.partitioned.contains(&(from, r)))
            || self.random() < self.faults.loss
        {
            return;
        }
        let copies = if self.random() < self.faults.duplication { 2 } else { 1 };
        let from = self.nodes[from].me.clone();
        for _ in 0..copies {
            let delay = self.random_within(self.faults.delay_ms.clone());
            let (from, to, bytes) = (from.clone(), to.clone(), bytes.clone());
            self.schedule(delay, Scheduled::Message { from, to, bytes });
        }
    }

    fn random_within(&mut self, range: Range<f64>) -> f64 {
        range.start + (range.end - range.start) * self.random()
    }

    fn schedule(&mut self, delay_ms: f64, scheduled: Scheduled) {
        self.last_sequence += 1;
        let delay_ms = delay_ms.min(MAX_DELAY_MS);
        let at = ((self.now + delay_ms) * 1e3).ceil() as u64;
        self.queue.insert((at, self.last_sequence), scheduled);
    }
}

fn write(disk: &mut BTreeMap<Vec<u8>, Vec<u8>>, records: &[DiskWrite]) {
    for record in records {
        match record {
            DiskWrite::Put(key, value) => drop(disk.insert(key.clone(), value.clone())),
            DiskWrite::Remove(key) => drop(disk.remove(key)),
        }
    }
}
