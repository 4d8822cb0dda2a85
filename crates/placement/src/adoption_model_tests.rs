//! Model of an adoption (stateright): two operators, four routers, crashes and a withdrawal, in every order.
//!
//! The register is one atomic cell, as `crates/registers` provides it. Each router serves under the map of one epoch, or under none since it
//! crashed. One write may be committed at any time, by any quorum of routers that serve under the same epoch.

use crate::register::{InjectedBug, MemberProgress, Proposal, ProposalError, Register, Stage};
use crate::table::Table;
use crate::table_body::{TableBody, TableRouter};
use basaltgw_types::{Member, QuorumGroup, RouterId, Shard, TableHash};
use stateright::{Checker, Model, Property};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

const ROUTERS: usize = 4;
/// Shard of the write: the first to move, and the last to go back in a withdrawal.
const WRITTEN_SHARD: usize = 0;
/// Largest number of changes of the register.
const MAX_CHANGES: usize = 7;

/// A table of two shards, which move in different steps, with these routers as replicas of both.
fn table(replicas: [u16; 3], previous: Option<&Table>) -> Table {
    let router =
        |i| TableRouter { name: Arc::from(format!("r{i}")), incarnation: [i; 16], branch: 0, machine: 0 };
    let body = TableBody {
        version: previous.map_or(1, |t| t.version().0 + 1),
        predecessor: previous.map_or([0; 32], |t| t.hash().0),
        origins: Vec::new(),
        domain_names: vec![Arc::from("b")],
        routers: (0..ROUTERS as u8).map(router).collect(),
        copies: 3,
        shards_per_step: 1,
        holds_rule: None,
        root_rule: None,
        root: replicas.to_vec(),
        founders: if previous.is_none() { vec![0, 1, 2, 3] } else { Vec::new() },
        replicas: replicas.repeat(2),
        caches: Vec::new(),
        homes: Vec::new(),
        classes: Vec::new(),
        groups: Vec::new(),
        pins: Vec::new(),
        cells: vec![0],
        gather_rules: Vec::new(),
    };
    Table::new(body).expect("a valid table")
}

struct AdoptionModel {
    old: Arc<Table>,
    /// The table that each operator proposes.
    new: [Arc<Table>; 2],
    injected_bug: Option<InjectedBug>,
    /// Computed once for each sequence of changes.
    histories: Mutex<HashMap<Vec<Change>, Arc<History>>>,
}

/// Result of a sequence of changes.
struct History {
    registers: Vec<Register>,
    /// The groups of each shard by the map of each epoch, as masks of routers; the last epoch is the present one.
    groups: Vec<[Vec<u8>; 2]>,
    /// The shard that moves in the present step, its replicas before and after it.
    moving: Option<(Shard, u8, u8)>,
    /// Tables of version 2 that were in effect.
    adopted: Vec<TableHash>,
}

impl History {
    fn new(registers: Vec<Register>) -> Self {
        let mask = |g: &QuorumGroup| {
            (0..ROUTERS).filter(|r| g.members.contains(&AdoptionModel::member(*r))).fold(0, |m, r| m | 1 << r)
        };
        let mut groups: Vec<[Vec<u8>; 2]> = Vec::new();
        for register in &registers {
            let map = register.map();
            groups.truncate(register.epoch() as usize - 1);
            groups.push([0, 1].map(|s: usize| map.shards[s].groups.iter().map(mask).collect()));
        }
        let last = &registers[registers.len() - 1];
        let moving =
            last.changing_groups().into_iter().find_map(|g| Some((g.shard?, mask(&g.from), mask(&g.to))));
        let second = registers.iter().filter(|r| r.table().version().0 == 2);
        let mut adopted: Vec<TableHash> = second.map(|r| r.table().hash()).collect();
        adopted.dedup();
        Self { moving, registers, groups, adopted }
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
struct ModelState {
    /// Changes of the register so far.
    changes: Vec<Change>,
    /// Epoch under whose map each router serves.
    epochs: [Option<u8>; ROUTERS],
    /// Routers that have reported the present term as durable (a late report counts as one not sent yet), and those that have synced.
    durable: u8,
    synced: u8,
    /// Routers at which the write is durable; 0 while there is none.
    written_at: u8,
    proposed: [bool; 2],
    rejected: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Change {
    Propose(usize),
    Withdraw,
    Advance,
}

#[derive(Clone, Debug, PartialEq)]
enum ModelAction {
    /// A router learns the present content of the register.
    Learn {
        router: usize,
    },
    /// A router syncs the moving shard from a mask of routers.
    Sync {
        router: usize,
        sources: u8,
    },
    Crash {
        router: usize,
    },
    Propose {
        operator: usize,
    },
    Withdraw,
    Advance,
    /// The write is committed by a mask of routers.
    Write {
        replicas: u8,
    },
}

fn routers_in(mask: u8) -> impl Iterator<Item = usize> {
    (0..ROUTERS).filter(move |r| mask & 1 << r != 0)
}

impl AdoptionModel {
    fn new(injected_bug: Option<InjectedBug>) -> Self {
        let old = Arc::new(table([0, 1, 2], None));
        let new = [[1, 2, 3], [0, 2, 3]].map(|k| Arc::new(table(k, Some(&old))));
        Self { old, new, injected_bug, histories: Mutex::default() }
    }

    fn router_id(router: usize) -> RouterId {
        RouterId(Arc::from(format!("r{router}")))
    }

    fn member(router: usize) -> Member {
        let incarnation = basaltgw_types::Incarnation(u128::from_le_bytes([router as u8; 16]));
        Member { router: Self::router_id(router), incarnation }
    }

    fn apply(&self, register: &Register, change: Change) -> Register {
        let propose =
            |o: usize| register.propose(&Self::router_id(o), &Proposal::NewTable(self.new[o].clone()));
        match change {
            Change::Propose(operator) => propose(operator).expect("accepted before"),
            Change::Withdraw => {
                register.propose(&Self::router_id(0), &Proposal::Withdraw).expect("accepted before")
            }
            Change::Advance => register
                .advance_with_bug(&MemberProgress::default(), InjectedBug::AdvanceWithoutReports)
                .expect("accepted before"),
        }
    }

    /// The history of a state, from the cache if it is known.
    fn history(&self, state: &ModelState) -> Arc<History> {
        let known = self.histories.lock().expect("no panic while locked").get(&state.changes).cloned();
        known.unwrap_or_else(|| {
            let mut all = vec![Register::bootstrap(self.old.clone())];
            for change in &state.changes {
                let next = self.apply(&all[all.len() - 1], *change);
                all.push(next);
            }
            let history = Arc::new(History::new(all));
            self.histories
                .lock()
                .expect("no panic while locked")
                .insert(state.changes.clone(), history.clone());
            history
        })
    }

    fn progress(&self, state: &ModelState, register: &Register) -> MemberProgress {
        let members = |mask: u8| routers_in(mask).map(Self::member).collect();
        MemberProgress {
            term: register.term(),
            durable: members(state.durable),
            synced: members(state.synced),
        }
    }

    fn serving(state: &ModelState, epoch: u8) -> u8 {
        (0..ROUTERS).filter(|r| state.epochs[*r] == Some(epoch)).fold(0, |m, r| m | 1 << r)
    }
}

/// Whether `mask` has a majority of `group`.
fn has_majority(group: u8, mask: u8) -> bool {
    2 * (group & mask).count_ones() > group.count_ones()
}

/// The minimal masks that suffice: larger ones only achieve more.
fn minimal_masks(suffices: impl Fn(u8) -> bool) -> impl Iterator<Item = u8> {
    (1..1u8 << ROUTERS).filter(move |m| suffices(*m) && routers_in(*m).all(|r| !suffices(m & !(1 << r))))
}

impl ModelState {
    fn push(&mut self, change: Change) {
        self.changes.push(change);
        (self.durable, self.synced) = (0, 0);
    }
}

impl Model for AdoptionModel {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let epochs = [Some(1); ROUTERS];
        vec![ModelState {
            changes: Vec::new(),
            epochs,
            durable: 0,
            synced: 0,
            written_at: 0,
            proposed: [false; 2],
            rejected: false,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<ModelAction>) {
        let history = self.history(state);
        let (register, epoch) = (history.last(), history.epoch());
        for router in 0..ROUTERS {
            let bit = 1 << router;
            if state.durable & bit == 0 || state.epochs[router] != Some(epoch) {
                actions.push(ModelAction::Learn { router });
            }
            if state.epochs[router].is_some() && state.changes.len() >= 2 {
                actions.push(ModelAction::Crash { router });
            }
        }
        if let Some((_, from, to)) = history.moving {
            for router in routers_in(to & state.durable & Self::serving(state, epoch) & !state.synced) {
                let available = from & Self::serving(state, epoch);
                let sources = minimal_masks(move |m| m & !available == 0 && has_majority(from, m));
                actions.extend(sources.map(|sources| ModelAction::Sync { router, sources }));
            }
        }
        if state.written_at == 0 {
            let quorums = (1..=epoch).flat_map(|e| {
                let (groups, serving) = (history.groups(WRITTEN_SHARD, e).to_vec(), Self::serving(state, e));
                minimal_masks(move |m| m & !serving == 0 && groups.iter().all(|g| has_majority(*g, m)))
            });
            actions.extend(quorums.map(|replicas| ModelAction::Write { replicas }));
        }
        if state.changes.len() < MAX_CHANGES {
            actions.extend(
                (0..2).filter(|o| !state.proposed[*o]).map(|operator| ModelAction::Propose { operator }),
            );
            if register.propose(&Self::router_id(0), &Proposal::Withdraw).is_ok()
                && !state.changes.contains(&Change::Withdraw)
            {
                actions.push(ModelAction::Withdraw);
            }
            let progress = self.progress(state, register);
            let next = match self.injected_bug {
                Some(bug) => register.advance_with_bug(&progress, bug),
                None => register.advance(&progress),
            };
            actions.extend(next.map(|_| ModelAction::Advance));
        }
    }

    fn next_state(&self, last: &ModelState, action: ModelAction) -> Option<ModelState> {
        let mut state = last.clone();
        let history = self.history(last);
        let register = history.last();
        match action {
            ModelAction::Learn { router } => {
                state.epochs[router] = Some(register.epoch() as u8);
                state.durable |= 1 << router;
            }
            ModelAction::Sync { router, sources } => {
                state.synced |= 1 << router;
                let is_written =
                    history.moving.is_some_and(|(shard, _, _)| usize::from(shard.0) == WRITTEN_SHARD);
                if is_written && sources & state.written_at != 0 {
                    state.written_at |= 1 << router;
                }
            }
            ModelAction::Crash { router } => state.epochs[router] = None,
            ModelAction::Propose { operator } => {
                state.proposed[operator] = true;
                match register
                    .propose(&Self::router_id(operator), &Proposal::NewTable(self.new[operator].clone()))
                {
                    Ok(_) => state.push(Change::Propose(operator)),
                    Err(ProposalError::Pending { proposer, .. }) => {
                        let pending = register.proposed().map(|p| &p.proposer);
                        assert_eq!(Some(&proposer), pending, "the error names the proposer");
                        state.rejected = true;
                    }
                    Err(_) => {}
                }
            }
            ModelAction::Withdraw => state.push(Change::Withdraw),
            ModelAction::Advance => state.push(Change::Advance),
            ModelAction::Write { replicas } => state.written_at = replicas,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one table for a version", |model: &AdoptionModel, state: &ModelState| {
                model.history(state).adopted.len() < 2
            }),
            Property::always(
                "no old map serves beside a new one",
                |model: &AdoptionModel, state: &ModelState| {
                    let history = model.history(state);
                    (0..2).all(|shard| {
                        let now = history.groups(shard, history.epoch());
                        (1..history.epoch()).all(|old| {
                            let serving = Self::serving(state, old);
                            let serves = history.groups(shard, old).iter().all(|g| has_majority(*g, serving));
                            !serves || history.groups(shard, old).iter().any(|g| now.contains(g))
                        })
                    })
                },
            ),
            Property::always("every read finds the write", |model: &AdoptionModel, state: &ModelState| {
                let history = model.history(state);
                let misses = |g: &u8| has_majority(*g, g & !state.written_at);
                state.written_at == 0 || !history.groups(WRITTEN_SHARD, history.epoch()).iter().all(misses)
            }),
            Property::sometimes("adopted", |model: &AdoptionModel, state: &ModelState| {
                !model.history(state).adopted.is_empty()
            }),
            Property::sometimes("rejected", |_, state: &ModelState| state.rejected),
            Property::sometimes(
                "withdrawn during a joint step",
                |model: &AdoptionModel, state: &ModelState| {
                    let history = model.history(state);
                    let withdrawing =
                        |r: &Register| matches!(r.stage(), Stage::Joint { withdrawing: true, .. });
                    history.registers.iter().any(withdrawing) && history.last().stage() == &Stage::Idle
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &ModelState) -> bool {
        // At most one router is down at a time, besides any that are behind.
        state.epochs.iter().filter(|k| k.is_none()).count() <= 1
    }
}

#[test]
fn adoption_is_safe_in_every_order() {
    let checker = AdoptionModel::new(None).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
}

#[test]
fn an_advance_without_reports_is_detected() {
    let checker =
        AdoptionModel::new(Some(InjectedBug::AdvanceWithoutReports)).checker().threads(2).spawn_bfs().join();
    assert!(checker.discovery("no old map serves beside a new one").is_some());
    assert!(checker.discovery("every read finds the write").is_some());
}
