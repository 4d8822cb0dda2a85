//! Model checks of the production code: three replicas, every order and loss of messages, with a crash or a lost disk. In every state the
//! responses must be linearizable.

use crate::message::Envelope;
use crate::token::{Token, SYNC_TIMER};
use crate::{
    Action, Change, DiskWrite, Event, InjectedBug, Kind, RecordKey, Registers, RequestNumber, Response,
    Settings,
};
use basaltgw_types::{
    Incarnation, Member, QuorumGroup, ReplicaSet, RouterId, ShardMap, TableHash, TableVersion,
};
use linearizability::{is_linearizable, Completion, Operation};
use stateright::{Checker, Model, Property, UniformChooser};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

mod api {
    pub use crate::{transition, Change, Record, Response};
}
#[path = "../tests/net/linearizability.rs"]
mod linearizability;

const KEY: RecordKey = RecordKey { kind: Kind::Execution, name: 1 };

/// A request that may be made once the map of `from_epoch` is published. Requests are otherwise made in any order.
#[derive(Clone)]
struct ScenarioRequest {
    router: usize,
    change: Change,
    from_epoch: u64,
}

fn request(router: usize, change: Change, from_epoch: u64) -> ScenarioRequest {
    ScenarioRequest { router, change, from_epoch }
}

/// A model to check: the requests, and the faults that may happen.
#[derive(Clone)]
struct Scenario {
    requests: Vec<ScenarioRequest>,
    max_attempts: u32,
    /// Replica 2 may crash and restart from its disk, whose writes are delayed.
    crash: bool,
    /// Replica 2 may lose its disk; its next incarnation replaces it through a map with both groups.
    disk_loss: bool,
    injected_bug: InjectedBug,
}

#[derive(Clone, Debug)]
struct Node {
    me: Member,
    registers: Registers,
    disk: BTreeMap<Vec<u8>, Vec<u8>>,
    store: Option<(u64, Vec<DiskWrite>)>,
    /// The latest timer token of each request, by request id.
    timers: BTreeMap<u64, u64>,
    sync_timer_set: bool,
}

#[derive(Clone, Debug)]
struct System {
    nodes: Vec<Node>,
    in_transit: Vec<(Member, Member, Vec<u8>)>,
    requested: Vec<bool>,
    operations: Vec<Operation>,
    /// Number of requests and responses so far.
    history_length: usize,
    fault_happened: bool,
    synced: bool,
    /// The epoch of the latest map.
    latest_epoch: u64,
    fingerprint: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Request(usize),
    Deliver(usize),
    Timer { router: usize, token: u64 },
    StoreBatch(usize),
    Crash,
    LoseDisk,
    AdoptMap { router: usize, epoch: u64 },
    PublishMap(u64),
}

impl Hash for System {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

impl PartialEq for System {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

fn member(router: usize, incarnation: u128) -> Member {
    Member { router: RouterId(Arc::from(format!("r{router}"))), incarnation: Incarnation(incarnation) }
}

fn settings(max_attempts: u32) -> Settings {
    Settings { max_attempts, ..Settings::standard() }
}

/// Epoch 1: the first group; 2: both groups; 3: the second group, with the next incarnation of replica 2.
fn map(epoch: u64) -> Arc<ShardMap> {
    let first = QuorumGroup::majority((0..3).map(|r| member(r, 1)).collect());
    let next = QuorumGroup::majority(vec![member(0, 1), member(1, 1), member(2, 2)]);
    let groups = match epoch {
        1 => vec![first],
        2 => vec![first, next],
        _ => vec![next],
    };
    let replicas = ReplicaSet { groups };
    // The table's register does not move, which leaves one partition less to synchronise.
    let root = ReplicaSet { groups: vec![QuorumGroup::majority(vec![member(0, 1), member(1, 1)])] };
    let version = TableVersion(epoch);
    Arc::new(ShardMap { epoch, version, hash: TableHash([0; 32]), shards: vec![replicas], root })
}

impl Scenario {
    fn node(&self, me: Member, disk: BTreeMap<Vec<u8>, Vec<u8>>) -> Node {
        let records: Vec<(Vec<u8>, Vec<u8>)> = disk.clone().into_iter().collect();
        let mut registers = Registers::new(me.clone(), settings(self.max_attempts), records, 1)
            .expect("records that this member wrote are valid");
        registers.inject_bug(self.injected_bug);
        Node { me, registers, disk, store: None, timers: BTreeMap::new(), sync_timer_set: false }
    }

    /// True if the replica's disk writes are delayed.
    fn has_delayed_disk(&self, router: usize) -> bool {
        self.crash && router == 2
    }

    fn handle(&self, state: &mut System, router: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            let node = &mut state.nodes[router];
            node.registers.handle(0.0, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send(_, to, bytes) => state.in_transit.push((node.me.clone(), to, bytes)),
                    Action::Store(number, records) if self.has_delayed_disk(router) => {
                        node.store = Some((number, records))
                    }
                    Action::Store(number, records) => {
                        write(&mut node.disk, &records);
                        events.push(Event::BatchStored(number, true));
                    }
                    Action::Timer(_, token) if token > SYNC_TIMER => {
                        node.timers.insert(Token::from_u64(token).request_id, token);
                    }
                    Action::Timer(_, token) => node.sync_timer_set |= token == SYNC_TIMER,
                    Action::Respond(RequestNumber(number), _, response) => {
                        node.timers.clear();
                        state.history_length += 1;
                        let at = state.history_length;
                        state.operations[number as usize].completed = Some(Completion { at, response });
                    }
                    Action::ShardSynced(2, None) => state.synced |= router == 2,
                    Action::ShardSynced(..) | Action::StaleEpoch(..) | Action::Log(_) => {}
                }
            }
        }
    }

    fn normalized(&self, mut state: System) -> System {
        let nodes = std::mem::take(&mut state.nodes);
        let ignores_replies =
            |to: &Member| nodes.iter().any(|n| n.me == *to && !n.registers.awaits_replies());
        state.in_transit.retain(|(_, to, bytes)| {
            !(ignores_replies(to) && Envelope::decode(bytes).is_ok_and(|e| e.body.is_reply()))
        });
        state.nodes = nodes;
        state.in_transit.sort();
        state.in_transit.dedup();
        let nodes: Vec<_> = state
            .nodes
            .iter()
            .map(|n| (n.registers.digest(), &n.store, &n.timers, n.sync_timer_set))
            .collect();
        let text = format!(
            "{nodes:?} {:?} {:?} {:?} {:?}",
            state.in_transit,
            state.operations,
            state.requested,
            (state.fault_happened, state.synced, state.latest_epoch)
        );
        let mut hasher = std::hash::DefaultHasher::new();
        text.hash(&mut hasher);
        state.fingerprint = hasher.finish();
        state
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

impl Model for Scenario {
    type State = System;
    type Action = Step;

    fn init_states(&self) -> Vec<System> {
        let nodes = (0..3).map(|r| self.node(member(r, 1), BTreeMap::new())).collect();
        let operation = |request: &ScenarioRequest| Operation {
            invoked: usize::MAX,
            change: request.change.clone(),
            completed: None,
        };
        let mut state = System {
            nodes,
            in_transit: Vec::new(),
            requested: vec![false; self.requests.len()],
            operations: self.requests.iter().map(operation).collect(),
            history_length: 0,
            fault_happened: false,
            synced: false,
            latest_epoch: 1,
            fingerprint: 0,
        };
        (0..3).for_each(|r| self.handle(&mut state, r, Event::ShardMap(map(1))));
        vec![self.normalized(state)]
    }

    fn actions(&self, state: &System, steps: &mut Vec<Step>) {
        let is_due = |i: &usize| !state.requested[*i] && state.latest_epoch >= self.requests[*i].from_epoch;
        steps.extend((0..self.requests.len()).filter(is_due).map(Step::Request));
        steps.extend((0..state.in_transit.len()).map(Step::Deliver));
        for (r, node) in state.nodes.iter().enumerate() {
            let is_due = |token: &&u64| node.registers.awaits_timer(Token::from_u64(**token).request_id);
            steps.extend(
                node.timers.values().filter(is_due).map(|token| Step::Timer { router: r, token: *token }),
            );
            steps.extend(node.store.iter().map(|_| Step::StoreBatch(r)));
            steps.extend(
                (state.latest_epoch > node.registers.epoch())
                    .then_some(Step::AdoptMap { router: r, epoch: state.latest_epoch }),
            );
            steps.extend(
                (self.disk_loss && r == 2 && node.sync_timer_set)
                    .then_some(Step::Timer { router: r, token: SYNC_TIMER }),
            );
        }
        if !state.fault_happened {
            steps.extend(self.crash.then_some(Step::Crash));
            steps.extend((self.disk_loss && state.requested[0]).then_some(Step::LoseDisk));
        }
        steps.extend(
            (state.fault_happened && self.disk_loss && state.latest_epoch == 1)
                .then_some(Step::PublishMap(2)),
        );
        steps.extend((state.synced && state.latest_epoch == 2).then_some(Step::PublishMap(3)));
    }

    fn next_state(&self, last: &System, step: Step) -> Option<System> {
        let mut state = last.clone();
        match step {
            Step::Request(i) => {
                state.requested[i] = true;
                state.history_length += 1;
                state.operations[i].invoked = state.history_length;
                let ScenarioRequest { router, change, .. } = self.requests[i].clone();
                self.handle(
                    &mut state,
                    router,
                    Event::Request { number: RequestNumber(i as u64), key: KEY, change, timeout: 1e9 },
                );
            }
            Step::Deliver(i) => {
                let (from, to, bytes) = state.in_transit.remove(i);
                let router = state.nodes.iter().position(|n| n.me.router == to.router)?;
                self.handle(&mut state, router, Event::MessageReceived(from, bytes));
            }
            Step::Timer { router, token: SYNC_TIMER } => {
                state.nodes[router].sync_timer_set = false;
                self.handle(&mut state, router, Event::Timer(SYNC_TIMER));
            }
            Step::Timer { router, token } => {
                state.nodes[router].timers.remove(&Token::from_u64(token).request_id);
                self.handle(&mut state, router, Event::Timer(token));
            }
            Step::StoreBatch(router) => {
                let (number, records) = state.nodes[router].store.take()?;
                write(&mut state.nodes[router].disk, &records);
                self.handle(&mut state, router, Event::BatchStored(number, true));
            }
            Step::Crash => {
                state.fault_happened = true;
                state.nodes[2] = self.node(member(2, 1), state.nodes[2].disk.clone());
                self.handle(&mut state, 2, Event::ShardMap(map(1)));
            }
            Step::LoseDisk => {
                state.fault_happened = true;
                state.in_transit.retain(|(_, to, _)| to.router != member(2, 1).router);
                state.nodes[2] = self.node(member(2, 2), BTreeMap::new());
                self.handle(&mut state, 2, Event::ShardMap(map(1)));
            }
            Step::AdoptMap { router, epoch } => self.handle(&mut state, router, Event::ShardMap(map(epoch))),
            Step::PublishMap(epoch) => state.latest_epoch = epoch,
        }
        Some(self.normalized(state))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("responses are linearizable", |_: &Self, state: &System| {
                let invoked = state.operations.iter().filter(|o| o.invoked < usize::MAX);
                is_linearizable(&invoked.cloned().collect::<Vec<Operation>>())
            }),
            Property::sometimes("all requests are completed, and one is committed", |_, state: &System| {
                let is_committed = |o: &Operation| matches!(o.response(), Some(Response::Committed(_)));
                state.operations.iter().all(|o| o.completed.is_some())
                    && state.operations.iter().any(is_committed)
            }),
            Property::sometimes("all replicas adopt the last map", |model: &Self, state: &System| {
                !model.disk_loss
                    || state.nodes.iter().all(|n| n.registers.epoch() == 3)
                        && state.operations.iter().all(|o| o.completed.is_some())
            }),
        ]
    }
}

/// Longest duration of a check; one that takes longer has not reached all states, and fails.
const TIMEOUT: Duration = Duration::from_secs(30);

fn check_all_states(model: Scenario) {
    let started = Instant::now();
    let checked = model.checker().threads(3).timeout(TIMEOUT).spawn_bfs().join();
    println!("{} states in {:?}", checked.unique_state_count(), started.elapsed());
    assert!(started.elapsed() < TIMEOUT, "not all states were reached in time");
    checked.assert_properties();
}

#[test]
fn two_concurrent_proposers_are_linearizable() {
    let requests =
        vec![request(0, Change::Acquire(member(0, 1)), 1), request(1, Change::Acquire(member(1, 1)), 1)];
    check_all_states(Scenario {
        requests,
        max_attempts: 1,
        crash: false,
        disk_loss: false,
        injected_bug: InjectedBug::None,
    });
}

#[test]
fn reads_are_linearizable_when_a_replica_crashes_and_restarts() {
    let requests = vec![request(0, Change::Acquire(member(0, 1)), 1), request(1, Change::Read, 1)];
    check_all_states(Scenario {
        requests,
        max_attempts: 1,
        crash: true,
        disk_loss: false,
        injected_bug: InjectedBug::None,
    });
}

/// The model has too many states to visit all, so random walks from a fixed seed visit 40,000 of them.
#[test]
fn reads_are_linearizable_when_a_replica_loses_its_disk_and_is_synchronised() {
    let requests = vec![request(0, Change::Acquire(member(0, 1)), 1), request(1, Change::Read, 3)];
    let model = Scenario {
        requests,
        max_attempts: 3,
        crash: false,
        disk_loss: true,
        injected_bug: InjectedBug::None,
    };
    let checker = model.checker().threads(1).timeout(TIMEOUT).target_state_count(40_000);
    let walk = checker.spawn_simulation(7, UniformChooser).join();
    println!("{} steps", walk.state_count());
    assert!(walk.state_count() >= 40_000);
    walk.assert_properties();
}

#[test]
fn injected_bugs_are_detected() {
    for injected_bug in [InjectedBug::CommitWithoutQuorum, InjectedBug::ForgetPromise] {
        let requests =
            vec![request(0, Change::Acquire(member(0, 1)), 1), request(1, Change::Acquire(member(1, 1)), 1)];
        let model = Scenario { requests, max_attempts: 1, crash: false, disk_loss: false, injected_bug };
        let checked = model.checker().threads(3).timeout(TIMEOUT).spawn_bfs().join();
        assert!(checked.discovery("responses are linearizable").is_some(), "{injected_bug:?}");
    }
}
