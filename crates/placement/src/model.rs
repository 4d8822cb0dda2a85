//! Two operators, four routers, crashes and taking back, in every order (stateright).
//!
//! The register is one atomic cell, as the holds make it. Each router knows the map of some epoch, or none since it crashed; one promise may be
//! kept at any time, by any quorum of those who know one epoch.

use crate::body::{Body, Keeper};
use crate::register::{Broken, Evidence, Offer, Refused, Register, Stage};
use crate::table::Table;
use basaltgw_types::{Member, QuorumGroup, RouterId, Shard, TableHash};
use stateright::{Checker, Model, Property};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

const ROUTERS: usize = 4;
/// The shard of the promise: the first to move, and the last to go back.
const PROMISED: usize = 0;
/// Changes of the register that are followed.
const MOST_TURNS: usize = 7;

/// A table of two shards, which move one after the other, on these routers, after another.
fn table(keepers: [u16; 3], before: Option<&Table>) -> Table {
    let keeper = |i| Keeper { name: Arc::from(format!("r{i}")), incarnation: [i; 16], branch: 0, machine: 0 };
    let body = Body {
        version: before.map_or(1, |t| t.version().0 + 1),
        before: before.map_or([0; 32], |t| t.hash().0),
        origins: Vec::new(),
        names: vec![Arc::from("b")],
        routers: (0..ROUTERS as u8).map(keeper).collect(),
        copies: 3,
        pace: 1,
        holds: None,
        root_rule: None,
        root: keepers.to_vec(),
        founders: if before.is_none() { vec![0, 1, 2, 3] } else { Vec::new() },
        keepers: keepers.repeat(2),
        caches: Vec::new(),
        homes: Vec::new(),
        classes: Vec::new(),
        groups: Vec::new(),
        pins: Vec::new(),
        cells: vec![0],
        gathers: Vec::new(),
    };
    Table::new(body).expect("a sound table")
}

struct Fleet {
    old: Arc<Table>,
    /// What each operator offers.
    new: [Arc<Table>; 2],
    broken: Option<Broken>,
    /// What each course of changes comes to, reckoned once.
    courses: Mutex<HashMap<Vec<Change>, Arc<Course>>>,
}

/// What a course of changes comes to.
struct Course {
    registers: Vec<Register>,
    /// The groups of each shard by each epoch's map, as masks; the last is the present one's.
    groups: Vec<[Vec<u8>; 2]>,
    /// The shard of this step, who is left and who is gone to.
    change: Option<(Shard, u8, u8)>,
    /// Tables of version 2 that held.
    adopted: Vec<TableHash>,
}

impl Course {
    fn new(registers: Vec<Register>) -> Self {
        let mask = |g: &QuorumGroup| {
            (0..ROUTERS).filter(|r| g.members.contains(&Fleet::member(*r))).fold(0, |m, r| m | 1 << r)
        };
        let mut groups: Vec<[Vec<u8>; 2]> = Vec::new();
        for register in &registers {
            let map = register.map();
            groups.truncate(register.epoch() as usize - 1);
            groups.push([0, 1].map(|s: usize| map.shards[s].groups.iter().map(mask).collect()));
        }
        let last = &registers[registers.len() - 1];
        let shard = last.changing().into_iter().find_map(|(s, from, to)| Some((s?, mask(&from), mask(&to))));
        let second = registers.iter().filter(|r| r.table().version().0 == 2);
        let mut adopted: Vec<TableHash> = second.map(|r| r.table().hash()).collect();
        adopted.dedup();
        Self { change: shard, registers, groups, adopted }
    }

    fn last(&self) -> &Register {
        &self.registers[self.registers.len() - 1]
    }

    fn epoch(&self) -> u8 {
        self.last().epoch() as u8
    }

    fn groups(&self, shard: usize, epoch: u8) -> &[u8] {
        &self.groups[usize::from(epoch) - 1][shard]
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// What has become of the register, by each change's number.
    changes: Vec<Change>,
    /// The epoch that each router vouches by.
    known: [Option<u8>; ROUTERS],
    /// Who has read the present turn and said so (a word that is late is as one that was not said yet); and who is filled.
    checked: u8,
    filled: u8,
    /// Who has the one promise on its disk; 0 while there is none.
    promise: u8,
    asked: [bool; 2],
    refused: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Change {
    Offer(usize),
    TakeBack,
    Advance,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Learn(usize),
    /// A router is filled from these.
    Fill(usize, u8),
    Crash(usize),
    Ask(usize),
    TakeBack,
    Advance,
    /// A promise by these.
    Promise(u8),
}

fn bits(who: u8) -> impl Iterator<Item = usize> {
    (0..ROUTERS).filter(move |r| who & 1 << r != 0)
}

impl Fleet {
    fn new(broken: Option<Broken>) -> Self {
        let old = Arc::new(table([0, 1, 2], None));
        let new = [[1, 2, 3], [0, 2, 3]].map(|k| Arc::new(table(k, Some(&old))));
        Self { old, new, broken, courses: Mutex::default() }
    }

    fn by(operator: usize) -> RouterId {
        RouterId(Arc::from(format!("r{operator}")))
    }

    fn member(router: usize) -> Member {
        let incarnation = basaltgw_types::Incarnation(u128::from_le_bytes([router as u8; 16]));
        Member { router: Self::by(router), incarnation }
    }

    fn apply(&self, register: &Register, change: Change) -> Register {
        let offer = |o: usize| register.propose(&Self::by(o), &Offer::Next(self.new[o].clone()));
        match change {
            Change::Offer(operator) => offer(operator).expect("was taken"),
            Change::TakeBack => register.propose(&Self::by(0), &Offer::TakeBack).expect("was taken"),
            Change::Advance => {
                register.advance_broken(&Evidence::default(), Broken::AdoptedByHalf).expect("was taken")
            }
        }
    }

    /// What has become of the register.
    fn course(&self, world: &World) -> Arc<Course> {
        let known = self.courses.lock().expect("not poisoned").get(&world.changes).cloned();
        known.unwrap_or_else(|| {
            let mut all = vec![Register::founding(self.old.clone())];
            for change in &world.changes {
                let next = self.apply(&all[all.len() - 1], *change);
                all.push(next);
            }
            let course = Arc::new(Course::new(all));
            self.courses.lock().expect("not poisoned").insert(world.changes.clone(), course.clone());
            course
        })
    }

    fn evidence(&self, world: &World, register: &Register) -> Evidence {
        let who = |mask: u8| bits(mask).map(Self::member).collect();
        Evidence { turn: register.turn(), checked: who(world.checked), filled: who(world.filled) }
    }

    fn vouching(world: &World, epoch: u8) -> u8 {
        (0..ROUTERS).filter(|r| world.known[*r] == Some(epoch)).fold(0, |m, r| m | 1 << r)
    }
}

fn majority(group: u8, who: u8) -> bool {
    2 * (group & who).count_ones() > group.count_ones()
}

/// The least sets of routers that are enough: larger ones only leave less undone.
fn least(enough: impl Fn(u8) -> bool) -> impl Iterator<Item = u8> {
    (1..1u8 << ROUTERS).filter(move |m| enough(*m) && bits(*m).all(|r| !enough(m & !(1 << r))))
}

impl World {
    fn turned(&mut self, change: Change) {
        self.changes.push(change);
        (self.checked, self.filled) = (0, 0);
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let known = [Some(1); ROUTERS];
        vec![World {
            changes: Vec::new(),
            known,
            checked: 0,
            filled: 0,
            promise: 0,
            asked: [false; 2],
            refused: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let course = self.course(world);
        let (register, epoch) = (course.last(), course.epoch());
        for router in 0..ROUTERS {
            let bit = 1 << router;
            if world.checked & bit == 0 || world.known[router] != Some(epoch) {
                steps.push(Step::Learn(router));
            }
            if world.known[router].is_some() && world.changes.len() >= 2 {
                steps.push(Step::Crash(router));
            }
        }
        if let Some((_, from, to)) = course.change {
            for router in bits(to & world.checked & Self::vouching(world, epoch) & !world.filled) {
                let there = from & Self::vouching(world, epoch);
                let asked = least(move |m| m & !there == 0 && majority(from, m));
                steps.extend(asked.map(|m| Step::Fill(router, m)));
            }
        }
        if world.promise == 0 {
            let vouched = (1..=epoch).flat_map(|e| {
                let (groups, who) = (course.groups(PROMISED, e).to_vec(), Self::vouching(world, e));
                least(move |m| m & !who == 0 && groups.iter().all(|g| majority(*g, m)))
            });
            steps.extend(vouched.map(Step::Promise));
        }
        if world.changes.len() < MOST_TURNS {
            steps.extend((0..2).filter(|o| !world.asked[*o]).map(Step::Ask));
            if register.propose(&Self::by(0), &Offer::TakeBack).is_ok()
                && !world.changes.contains(&Change::TakeBack)
            {
                steps.push(Step::TakeBack);
            }
            let evidence = self.evidence(world, register);
            let next = match self.broken {
                Some(broken) => register.advance_broken(&evidence, broken),
                None => register.advance(&evidence),
            };
            steps.extend(next.map(|_| Step::Advance));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        let course = self.course(last);
        let register = course.last();
        match step {
            Step::Learn(router) => {
                world.known[router] = Some(register.epoch() as u8);
                world.checked |= 1 << router;
            }
            Step::Fill(router, from) => {
                world.filled |= 1 << router;
                let promised = course.change.is_some_and(|c| usize::from(c.0 .0) == PROMISED);
                if promised && from & world.promise != 0 {
                    world.promise |= 1 << router;
                }
            }
            Step::Crash(router) => world.known[router] = None,
            Step::Ask(operator) => {
                world.asked[operator] = true;
                match register.propose(&Self::by(operator), &Offer::Next(self.new[operator].clone())) {
                    Ok(_) => world.turned(Change::Offer(operator)),
                    Err(Refused::Busy { by, .. }) => {
                        assert_eq!(Some(&by), register.next().map(|n| &n.by), "the first is named");
                        world.refused = true;
                    }
                    Err(_) => {}
                }
            }
            Step::TakeBack => world.turned(Change::TakeBack),
            Step::Advance => world.turned(Change::Advance),
            Step::Promise(by) => world.promise = by,
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one table for a version", |fleet: &Fleet, world: &World| {
                fleet.course(world).adopted.len() < 2
            }),
            Property::always("no old map vouches beside a new one", |fleet: &Fleet, world: &World| {
                let course = fleet.course(world);
                (0..2).all(|shard| {
                    let now = course.groups(shard, course.epoch());
                    (1..course.epoch()).all(|old| {
                        let who = Self::vouching(world, old);
                        let vouches = course.groups(shard, old).iter().all(|g| majority(*g, who));
                        !vouches || course.groups(shard, old).iter().any(|g| now.contains(g))
                    })
                })
            }),
            Property::always("a promise is met by every read", |fleet: &Fleet, world: &World| {
                let course = fleet.course(world);
                let missed = |g: &u8| majority(*g, g & !world.promise);
                world.promise == 0 || !course.groups(PROMISED, course.epoch()).iter().all(missed)
            }),
            Property::sometimes("adopted", |fleet: &Fleet, world: &World| {
                !fleet.course(world).adopted.is_empty()
            }),
            Property::sometimes("refused", |_, world: &World| world.refused),
            Property::sometimes("taken back half way", |fleet: &Fleet, world: &World| {
                let course = fleet.course(world);
                let back = |r: &Register| matches!(r.stage(), Stage::Both { back: true, .. });
                course.registers.iter().any(back) && course.last().stage() == &Stage::Idle
            }),
        ]
    }

    fn within_boundary(&self, world: &World) -> bool {
        // A router may be down at a time, and one more behind.
        world.known.iter().filter(|k| k.is_none()).count() <= 1
    }
}

#[test]
fn tables_come_into_service_whole_or_not_at_all() {
    let checker = Fleet::new(None).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
}

#[test]
fn a_table_adopted_by_half_is_found() {
    let checker = Fleet::new(Some(Broken::AdoptedByHalf)).checker().threads(2).spawn_bfs().join();
    assert!(checker.discovery("no old map vouches beside a new one").is_some());
    assert!(checker.discovery("a promise is met by every read").is_some());
}
