//! Model checks of the very code: three keepers, every order of words and losses of words, with a crash or a lost disk; what the askers saw must
//! be explained by one order of the changes in every state.

use crate::message::Letter;
use crate::{
    Action, Change, DiskWrite, Event, InjectedBug, Kind, RecordKey, Registers, RequestNumber, Response,
    Settings,
};
use basaltgw_types::{
    Incarnation, Member, QuorumGroup, ReplicaSet, RouterId, ShardMap, TableHash, TableVersion,
};
use linear::{explained, Seen};
use stateright::{Checker, Model, Property, UniformChooser};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

mod api {
    pub use crate::{step, Change, Record, Response};
}
#[path = "../tests/net/linear.rs"]
mod linear;

const KEY: RecordKey = RecordKey { kind: Kind::Execution, name: 1 };

/// What is checked.
#[derive(Clone)]
struct Check {
    /// Who asks what, from which map on; else in any order.
    asks: Vec<(usize, Change, u64)>,
    tries: u32,
    /// Keeper 2 may be killed and start again with its disk, whose writes take their time.
    crash: bool,
    /// Keeper 2 may lose its disk, and is replaced by its next life through a map that needs both.
    wipe: bool,
    broken: InjectedBug,
}

#[derive(Clone, Debug)]
struct Node {
    me: Member,
    holds: Registers,
    disk: BTreeMap<Vec<u8>, Vec<u8>>,
    store: Option<(u64, Vec<DiskWrite>)>,
    /// The present timer of each question.
    timers: BTreeMap<u64, u64>,
    fills: bool,
}

#[derive(Clone, Debug)]
struct World {
    nodes: Vec<Node>,
    wire: Vec<(Member, Member, Vec<u8>)>,
    asked: Vec<bool>,
    seen: Vec<Seen>,
    places: usize,
    fallen: bool,
    filled: bool,
    /// The latest map that was given out.
    stage: u64,
    print: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Ask(usize),
    Deliver(usize),
    Timer(usize, u64),
    Stored(usize),
    Crash,
    Wipe,
    Map(usize, u64),
    Stage(u64),
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.print.hash(state);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.print == other.print
    }
}

fn member(router: usize, life: u128) -> Member {
    Member { router: RouterId(Arc::from(format!("r{router}"))), incarnation: Incarnation(life) }
}

fn settings(tries: u32) -> Settings {
    Settings { max_attempts: tries, ..Settings::usual() }
}

/// Epoch 1: the three founders; 2: with the next life of the third beside; 3: that one alone.
fn map(epoch: u64) -> Arc<ShardMap> {
    let first = QuorumGroup::majority((0..3).map(|r| member(r, 1)).collect());
    let next = QuorumGroup::majority(vec![member(0, 1), member(1, 1), member(2, 2)]);
    let groups = match epoch {
        1 => vec![first],
        2 => vec![first, next],
        _ => vec![next],
    };
    let keepers = ReplicaSet { groups };
    // The table's own register stays where it is: one place less to fill.
    let root = ReplicaSet { groups: vec![QuorumGroup::majority(vec![member(0, 1), member(1, 1)])] };
    let version = TableVersion(epoch);
    Arc::new(ShardMap { epoch, version, hash: TableHash([0; 32]), shards: vec![keepers], root })
}

impl Check {
    fn node(&self, me: Member, disk: BTreeMap<Vec<u8>, Vec<u8>>) -> Node {
        let records = disk.clone().into_iter().collect();
        let mut holds = Registers::new(me.clone(), settings(self.tries), records, 1).expect("own records");
        holds.break_as(self.broken);
        Node { me, holds, disk, store: None, timers: BTreeMap::new(), fills: false }
    }

    /// True if that keeper's disk takes its time.
    fn slow_disk(&self, router: usize) -> bool {
        self.crash && router == 2
    }

    fn give(&self, world: &mut World, router: usize, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut acts = Vec::new();
            let node = &mut world.nodes[router];
            node.holds.handle(0.0, event, &mut acts);
            for act in acts {
                match act {
                    Action::Send(_, to, bytes) => world.wire.push((node.me.clone(), to, bytes)),
                    Action::Store(no, records) if self.slow_disk(router) => node.store = Some((no, records)),
                    Action::Store(no, records) => {
                        write(&mut node.disk, &records);
                        events.push(Event::BatchStored(no, true));
                    }
                    Action::Timer(_, no) if no > 1 => drop(node.timers.insert(no >> 24, no)),
                    Action::Timer(_, no) => node.fills |= no == 1,
                    Action::Respond(RequestNumber(no), _, verdict) => {
                        node.timers.clear();
                        world.places += 1;
                        world.seen[no as usize].answered = Some((world.places, verdict));
                    }
                    Action::ShardSynced(2, None) => world.filled |= router == 2,
                    Action::ShardSynced(..) | Action::StaleEpoch(..) | Action::Log(_) => {}
                }
            }
        }
    }

    fn given(&self, mut world: World) -> World {
        let nodes = std::mem::take(&mut world.nodes);
        let idle = |to: &Member| nodes.iter().any(|n| n.me == *to && !n.holds.listens());
        world
            .wire
            .retain(|(_, to, bytes)| !(idle(to) && Letter::read(bytes).is_ok_and(|l| l.body.answers())));
        world.nodes = nodes;
        world.wire.sort();
        world.wire.dedup();
        let nodes: Vec<_> =
            world.nodes.iter().map(|n| (n.holds.digest(), &n.store, &n.timers, n.fills)).collect();
        let text = format!(
            "{nodes:?} {:?} {:?} {:?} {:?}",
            world.wire,
            world.seen,
            world.asked,
            (world.fallen, world.filled, world.stage)
        );
        let mut hasher = std::hash::DefaultHasher::new();
        text.hash(&mut hasher);
        world.print = hasher.finish();
        world
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

impl Model for Check {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let nodes = (0..3).map(|r| self.node(member(r, 1), BTreeMap::new())).collect();
        let unseen =
            |ask: &(usize, Change, u64)| Seen { asked: usize::MAX, change: ask.1.clone(), answered: None };
        let mut world = World {
            nodes,
            wire: Vec::new(),
            asked: vec![false; self.asks.len()],
            seen: self.asks.iter().map(unseen).collect(),
            places: 0,
            fallen: false,
            filled: false,
            stage: 1,
            print: 0,
        };
        (0..3).for_each(|r| self.give(&mut world, r, Event::ShardMap(map(1))));
        vec![self.given(world)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let due = |i: &usize| !world.asked[*i] && world.stage >= self.asks[*i].2;
        steps.extend((0..self.asks.len()).filter(due).map(Step::Ask));
        steps.extend((0..world.wire.len()).map(Step::Deliver));
        for (r, node) in world.nodes.iter().enumerate() {
            let waits = node.timers.values().filter(|no| node.holds.waits(*no >> 24));
            steps.extend(waits.map(|no| Step::Timer(r, *no)));
            steps.extend(node.store.iter().map(|_| Step::Stored(r)));
            steps.extend((world.stage > node.holds.epoch()).then_some(Step::Map(r, world.stage)));
            steps.extend((self.wipe && r == 2 && node.fills).then_some(Step::Timer(r, 1)));
        }
        if !world.fallen {
            steps.extend(self.crash.then_some(Step::Crash));
            steps.extend((self.wipe && world.asked[0]).then_some(Step::Wipe));
        }
        steps.extend((world.fallen && self.wipe && world.stage == 1).then_some(Step::Stage(2)));
        steps.extend((world.filled && world.stage == 2).then_some(Step::Stage(3)));
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Ask(i) => {
                world.asked[i] = true;
                world.places += 1;
                world.seen[i].asked = world.places;
                let (router, change, _) = self.asks[i].clone();
                self.give(
                    &mut world,
                    router,
                    Event::Request { number: RequestNumber(i as u64), key: KEY, change, timeout: 1e9 },
                );
            }
            Step::Deliver(i) => {
                let (from, to, bytes) = world.wire.remove(i);
                let router = world.nodes.iter().position(|n| n.me.router == to.router)?;
                self.give(&mut world, router, Event::MessageReceived(from, bytes));
            }
            Step::Timer(router, 1) => {
                world.nodes[router].fills = false;
                self.give(&mut world, router, Event::Timer(1));
            }
            Step::Timer(router, no) => {
                world.nodes[router].timers.remove(&(no >> 24));
                self.give(&mut world, router, Event::Timer(no));
            }
            Step::Stored(router) => {
                let (no, records) = world.nodes[router].store.take()?;
                write(&mut world.nodes[router].disk, &records);
                self.give(&mut world, router, Event::BatchStored(no, true));
            }
            Step::Crash => {
                world.fallen = true;
                world.nodes[2] = self.node(member(2, 1), world.nodes[2].disk.clone());
                self.give(&mut world, 2, Event::ShardMap(map(1)));
            }
            Step::Wipe => {
                world.fallen = true;
                world.wire.retain(|(_, to, _)| to.router != member(2, 1).router);
                world.nodes[2] = self.node(member(2, 2), BTreeMap::new());
                self.give(&mut world, 2, Event::ShardMap(map(1)));
            }
            Step::Map(router, epoch) => self.give(&mut world, router, Event::ShardMap(map(epoch))),
            Step::Stage(stage) => world.stage = stage,
        }
        Some(self.given(world))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one order explains it", |_: &Self, w: &World| {
                let seen: Vec<Seen> = w.seen.iter().filter(|s| s.asked < usize::MAX).cloned().collect();
                explained(&seen)
            }),
            Property::sometimes("all are answered, one of them kept", |_, w: &World| {
                let kept = |s: &Seen| matches!(s.answered, Some((_, Response::Committed(_))));
                w.seen.iter().all(|s| s.answered.is_some()) && w.seen.iter().any(kept)
            }),
            Property::sometimes("the last map is gone by", |m: &Self, w: &World| {
                !m.wipe
                    || w.nodes.iter().all(|n| n.holds.epoch() == 3)
                        && w.seen.iter().all(|s| s.answered.is_some())
            }),
        ]
    }
}

/// Far more than it takes; what is not done by then is no check.
const PATIENCE: Duration = Duration::from_secs(30);

fn sound(model: Check) {
    let began = Instant::now();
    let checked = model.checker().threads(3).timeout(PATIENCE).spawn_bfs().join();
    println!("{} states in {:?}", checked.unique_state_count(), began.elapsed());
    assert!(began.elapsed() < PATIENCE, "not all states were reached in time");
    checked.assert_properties();
}

#[test]
fn two_askers() {
    let asks = vec![(0, Change::Acquire(member(0, 1)), 1), (1, Change::Acquire(member(1, 1)), 1)];
    sound(Check { asks, tries: 1, crash: false, wipe: false, broken: InjectedBug::Sound });
}

#[test]
fn a_keeper_that_crashes() {
    let asks = vec![(0, Change::Acquire(member(0, 1)), 1), (1, Change::Read, 1)];
    sound(Check { asks, tries: 1, crash: true, wipe: false, broken: InjectedBug::Sound });
}

/// Too many orders to take each: walks drawn from a seed, through some ten thousands of steps.
#[test]
fn a_keeper_that_loses_its_disk_and_is_filled_again() {
    let asks = vec![(0, Change::Acquire(member(0, 1)), 1), (1, Change::Read, 3)];
    let model = Check { asks, tries: 3, crash: false, wipe: true, broken: InjectedBug::Sound };
    let walks = model.checker().threads(1).timeout(PATIENCE).target_state_count(40_000);
    let walked = walks.spawn_simulation(7, UniformChooser).join();
    println!("{} steps", walked.state_count());
    assert!(walked.state_count() >= 40_000);
    walked.assert_properties();
}

#[test]
fn broken_builds_are_caught() {
    for broken in [InjectedBug::SaysBeforeCopied, InjectedBug::VoteTakenBack] {
        let asks = vec![(0, Change::Acquire(member(0, 1)), 1), (1, Change::Acquire(member(1, 1)), 1)];
        let model = Check { asks, tries: 1, crash: false, wipe: false, broken };
        let checked = model.checker().threads(3).timeout(PATIENCE).spawn_bfs().join();
        assert!(checked.discovery("one order explains it").is_some(), "{broken:?}");
    }
}
