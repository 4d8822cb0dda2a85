//! Random requests and faults from a seed. The responses must be linearizable, including the last reads after all faults are
//! repaired; the checker uses nothing but the responses. Injected bugs must be detected.

mod net;

use basaltgw_registers::{Change, InjectedBug, Kind, Outcome, Record, Response, Settings};
use basaltgw_types::{Member, ShardMap};
use net::linearizability::{is_linearizable, Completion, Operation};
use net::{execution, map, Faults, Net};
use std::collections::BTreeMap;

const ROUTERS: usize = 6;
/// Number of records in a run.
const RECORDS: u128 = 6;
/// Number of requests in a run.
const STEPS: usize = 60;
/// Number of steps after which a fault is repaired.
const REPAIR_STEPS: usize = 4;

#[derive(Default)]
struct Totals {
    committed: usize,
    unavailable: usize,
    not_executed: usize,
    erased: usize,
    reconfigured: usize,
    linearizable: bool,
}

/// A request whose response may be outstanding.
struct Requested {
    name: u128,
    /// The position in the history.
    position: usize,
    change: Change,
}

/// A fault, and the step at which it is repaired.
struct ActiveFault {
    router: usize,
    repaired_at: usize,
}

/// One run with random requests and faults.
struct Run {
    net: Net,
    requested: BTreeMap<u64, Requested>,
    last_known: BTreeMap<u128, Record>,
    faults: Vec<ActiveFault>,
    /// The router that lost its disk, until the reconfiguration to its next incarnation is complete.
    reconfiguring: Option<usize>,
    totals: Totals,
}

impl Run {
    fn new(seed: u64, replicas: usize, bug: InjectedBug) -> Self {
        let mut net = Net::new(ROUTERS, 2, replicas, seed);
        net.injected_bug = bug;
        net.settings = Settings { retransmit_interval_ms: 15.0, max_attempts: 6, ..net.settings.clone() };
        (0..ROUTERS).for_each(|r| {
            net.kill(r);
            net.start(r);
        });
        net.faults = Faults {
            loss: 0.05,
            duplication: 0.1,
            delay_ms: 0.2..6.0,
            disk_delay_ms: 0.1..3.0,
            disk_failure: 0.02,
        };
        Self {
            net,
            requested: BTreeMap::new(),
            last_known: BTreeMap::new(),
            faults: Vec::new(),
            reconfiguring: None,
            totals: Totals::default(),
        }
    }

    fn step(&mut self, step: usize) {
        let (router, name) =
            (self.net.random_index(ROUTERS), self.net.random_index(RECORDS as usize) as u128);
        if self.net.nodes[router].registers.is_some() {
            let change = self.random_change(router, name);
            self.request(router, name, change, 150.0);
        }
        self.inject_and_repair(step);
        let pause = self.net.random() * 25.0;
        self.net.run(pause);
        for responded in &self.net.responses {
            if let Response::Committed(record) | Response::Conflict(Some(record)) = &responded.response {
                self.last_known.insert(responded.key.name, record.clone());
            }
        }
    }

    /// A random change that a router might request, given the last known state of the record.
    fn random_change(&mut self, router: usize, name: u128) -> Change {
        let me = self.net.nodes[router].me.clone();
        let term = match self.last_known.get(&name) {
            Some(Record::Leased { term, .. } | Record::Released { term }) => *term,
            Some(_) | None => 0,
        };
        match self.net.random_index(8) {
            0..=2 => Change::Acquire(me),
            3 => Change::Release(me, term),
            4 => Change::Complete(me, term, Outcome::Failed),
            5 if self.net.random() < 0.3 => Change::MarkOutcomeUnknown(term),
            _ => Change::Read,
        }
    }

    fn request(&mut self, router: usize, name: u128, change: Change, timeout: f64) -> u64 {
        // The position among the responses, which have the odd positions.
        let position = 2 * self.net.responses.len();
        let number = self.net.request(router, execution(name), change.clone(), timeout);
        self.requested.insert(number, Requested { name, position, change });
        number
    }

    /// Injects a random fault, and repairs those that are due. At most one disk is lost until its router is synchronised again.
    fn inject_and_repair(&mut self, step: usize) {
        let due: Vec<usize> =
            self.faults.iter().filter(|f| f.repaired_at <= step).map(|f| f.router).collect();
        self.faults.retain(|f| f.repaired_at > step);
        due.into_iter().for_each(|router| repair(&mut self.net, router));
        if self.reconfiguring.is_some_and(|r| self.net.is_synced(r)) && self.net.all_synced() {
            self.finish_reconfiguration();
        }
        if self.net.random() < 0.3 {
            let router = self.net.random_index(ROUTERS);
            if !self.faults.iter().any(|f| f.router == router) {
                self.inject(router, step);
            }
        }
    }

    fn inject(&mut self, router: usize, step: usize) {
        match self.net.random_index(4) {
            0 => self.net.kill(router),
            1 => self.net.suspend(router),
            2 => {
                let other = self.net.random_index(ROUTERS);
                self.net.partitioned.insert((router, other));
            }
            _ if self.reconfiguring.is_none() => return self.erase_disk(router),
            _ => return,
        }
        self.faults.push(ActiveFault { router, repaired_at: step + REPAIR_STEPS });
    }

    /// Erases a router's disk, and starts the reconfiguration to its next incarnation.
    fn erase_disk(&mut self, router: usize) {
        self.net.erase_disk(router);
        self.net.start(router);
        self.reconfiguring = Some(router);
        self.totals.erased += 1;
        let to = current_map(&self.net, self.net.map.epoch + 2);
        let [joint_map, _] = net::joint(&self.net.map, &to);
        self.net.synced.clear();
        self.net.publish_map(joint_map, 40.0);
    }

    fn finish_reconfiguration(&mut self) {
        let next = current_map(&self.net, self.net.map.epoch + 1);
        self.net.publish_map(next, 20.0);
        self.reconfiguring = None;
        self.totals.reconfigured += 1;
    }

    /// Repairs all faults.
    fn repair_all(&mut self) {
        self.net.faults = Faults::none();
        self.net.partitioned.clear();
        (0..ROUTERS).for_each(|r| repair(&mut self.net, r));
        self.net.run(500.0);
        if self.reconfiguring.is_some() {
            assert!(
                self.net.run_until(20_000.0, Net::all_synced),
                "not all replicas were synchronised within 20 s"
            );
            self.finish_reconfiguration();
        }
        self.net.run(500.0);
    }

    /// Reads every record; each read must succeed.
    fn read_all(&mut self, seed: u64) {
        for name in 0..RECORDS {
            let router = self.net.random_index(ROUTERS);
            let number = self.request(router, name, Change::Read, 5_000.0);
            assert!(self.net.run_until(6_000.0, |net| net.response(number).is_some()), "seed {seed}");
            let response = self.net.response(number);
            assert!(!matches!(response, Some(Response::Unavailable { .. })), "seed {seed}: {response:?}");
        }
    }

    fn count_responses(&mut self) {
        for responded in &self.net.responses {
            assert_eq!(responded.key.kind, Kind::Execution);
            match responded.response {
                Response::Committed(_) => self.totals.committed += 1,
                Response::Conflict(_) => {}
                Response::Unavailable { not_executed, .. } => {
                    self.totals.unavailable += 1;
                    self.totals.not_executed += usize::from(not_executed);
                }
            }
        }
    }

    /// The requests with their responses, by record.
    fn histories(&self) -> BTreeMap<u128, Vec<Operation>> {
        let mut histories: BTreeMap<u128, Vec<Operation>> = BTreeMap::new();
        for (number, Requested { name, position, change }) in &self.requested {
            let index = self.net.responses.iter().position(|r| r.number == *number);
            let completed =
                index.map(|i| Completion { at: 2 * i + 1, response: self.net.responses[i].response.clone() });
            let operation = Operation { invoked: *position, change: change.clone(), completed };
            histories.entry(*name).or_default().push(operation);
        }
        histories
    }
}

fn run(seed: u64, replicas: usize, bug: InjectedBug) -> Totals {
    let mut run = Run::new(seed, replicas, bug);
    (0..STEPS).for_each(|step| run.step(step));
    run.repair_all();
    run.read_all(seed);
    run.count_responses();
    run.totals.linearizable = run.histories().values().all(|operations| is_linearizable(operations));
    run.totals
}

/// The map of the current members.
fn current_map(net: &Net, epoch: u64) -> ShardMap {
    let members: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
    map(epoch, net.map.shards.len(), net.map.shards[0].groups[0].members.len(), &members)
}

fn repair(net: &mut Net, router: usize) {
    net.partitioned.retain(|link| link.0 != router);
    match net.nodes[router].registers.is_some() {
        true => net.resume(router),
        false => net.start(router),
    }
}

#[test]
fn responses_are_linearizable_under_random_faults() {
    let mut sum = Totals::default();
    for seed in 0..150 {
        let replicas = if seed % 3 == 0 { 5 } else { 3 };
        let totals = run(seed, replicas, InjectedBug::None);
        assert!(totals.linearizable, "seed {seed}");
        sum.committed += totals.committed;
        sum.unavailable += totals.unavailable;
        sum.not_executed += totals.not_executed;
        sum.erased += totals.erased;
        sum.reconfigured += totals.reconfigured;
    }
    println!(
        "committed {} unavailable {} (not executed {}) erased {} reconfigured {}",
        sum.committed, sum.unavailable, sum.not_executed, sum.erased, sum.reconfigured
    );
    let counts =
        [sum.committed, sum.unavailable - sum.not_executed, sum.not_executed, sum.erased, sum.reconfigured];
    assert!(counts.iter().all(|n| *n > 20), "{counts:?}");
}

#[test]
fn a_commit_without_quorum_is_detected() {
    assert!((0..200).any(|seed| !run(seed, 3, InjectedBug::CommitWithoutQuorum).linearizable));
}

#[test]
fn a_forgotten_promise_is_detected() {
    assert!((0..200).any(|seed| !run(seed, 3, InjectedBug::ForgetPromise).linearizable));
}
