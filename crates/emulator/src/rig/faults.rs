//! Faults of links and processes: scripted, or drawn from a seed, one after another, each mended before the next.

mod purge_receiver_loss;

use super::relay::ChunkFault;
use super::Rig;
use basaltgw_simulator::{draw, rng};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// A router has to serve again within this time after a fault is mended.
const MENDED: Duration = Duration::from_secs(15);
/// Pieces broken or repeated, and resets, in one fault.
const TIMES: usize = 6;
/// Bytes for each tick of a link that drips.
const DRIP: usize = 48;
/// Milliseconds of a slow link.
const SLOW: (f64, f64) = (10.0, 90.0);
/// The users' numbers of what is drawn here.
const DRAWS: u64 = 9_001;

/// A fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A router is killed, and started again.
    Kill,
    /// It is killed with its folder wiped, and started with an empty one.
    #[serde(rename = "wipe")]
    KillAndWipe,
    /// It is killed and returns at another address.
    #[serde(rename = "elsewhere")]
    ChangeAddress,
    /// It is stopped, and woken.
    #[serde(rename = "stop")]
    Suspend,
    /// Half of all routers are killed at once, and started again.
    #[serde(rename = "half")]
    KillHalf,
    /// Its disk is full.
    DiskFull,
    /// It is cut off from all other routers.
    #[serde(rename = "cut")]
    Partition,
    /// What it sends another router is cut.
    #[serde(rename = "one_way")]
    PartitionOneWay,
    /// What it and another router send each other vanishes.
    #[serde(rename = "hole")]
    BlackHole,
    /// The link to another drips.
    #[serde(rename = "drip")]
    Throttle,
    /// The link to another is slow.
    #[serde(rename = "slow")]
    Delay,
    /// Pieces that it sends another get a byte changed.
    #[serde(rename = "break")]
    Corrupt,
    /// Pieces that it sends another come twice.
    #[serde(rename = "repeat")]
    Duplicate,
    /// Its connections with another are reset.
    Reset,
    /// A purge is told to it alone; then it dies with its disk, and all restart while discovery is down.
    #[serde(rename = "dark")]
    LosePurgeReceiver,
    /// The rules' file is replaced at all routers, which read it again.
    #[serde(rename = "rules")]
    ReplaceRules,
    /// It is replaced, and one router reads it again: all go by it.
    #[serde(rename = "rules_one")]
    RulesAtOneRouter,
    /// Two operators at once: this router reads other rules than another one does.
    #[serde(rename = "rules_two")]
    ConflictingRules,
    /// Another router is stopped while this one offers new rules, until their table is taken back.
    #[serde(rename = "rules_stuck")]
    RulesWhileSuspended,
    /// The same with the other one cut off from all routers.
    #[serde(rename = "rules_cut")]
    RulesWhilePartitioned,
}

impl FaultKind {
    /// All of them.
    pub const ALL: [Self; 20] = [
        Self::Kill,
        Self::KillAndWipe,
        Self::ChangeAddress,
        Self::Suspend,
        Self::KillHalf,
        Self::DiskFull,
        Self::Partition,
        Self::PartitionOneWay,
        Self::BlackHole,
        Self::Throttle,
        Self::Delay,
        Self::Corrupt,
        Self::Duplicate,
        Self::Reset,
        Self::LosePurgeReceiver,
        Self::ReplaceRules,
        Self::RulesAtOneRouter,
        Self::ConflictingRules,
        Self::RulesWhileSuspended,
        Self::RulesWhilePartitioned,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::KillAndWipe => "wipe",
            Self::ChangeAddress => "elsewhere",
            Self::Suspend => "stop",
            Self::KillHalf => "half",
            Self::DiskFull => "disk_full",
            Self::Partition => "cut",
            Self::PartitionOneWay => "one_way",
            Self::BlackHole => "hole",
            Self::Throttle => "drip",
            Self::Delay => "slow",
            Self::Corrupt => "break",
            Self::Duplicate => "repeat",
            Self::Reset => "reset",
            Self::LosePurgeReceiver => "dark",
            Self::ReplaceRules => "rules",
            Self::RulesAtOneRouter => "rules_one",
            Self::ConflictingRules => "rules_two",
            Self::RulesWhileSuspended => "rules_stuck",
            Self::RulesWhilePartitioned => "rules_cut",
        }
    }
}

/// A fault at a time.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// When it begins, in milliseconds; later if the one before it is not mended yet.
    pub at_ms: f64,
    /// Which.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// At which router, counted from 0.
    #[serde(default)]
    pub router: usize,
    /// On its link to which other; the next one if not said.
    #[serde(rename = "other")]
    pub other_router: Option<usize>,
    /// How long it lasts, in milliseconds.
    #[serde(rename = "for_ms", default = "second")]
    pub duration_ms: f64,
    /// The new rules, for [`FaultKind::ReplaceRules`] and its like.
    pub rules: Option<String>,
    /// Those of the other operator, for [`FaultKind::ConflictingRules`].
    #[serde(rename = "rules_other")]
    pub other_rules: Option<String>,
}

fn second() -> f64 {
    1_000.0
}

/// Faults drawn from the seed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RandomFaults {
    /// From the end of one to the beginning of the next, in milliseconds.
    pub gap_ms: [f64; 2],
    /// How long each lasts.
    #[serde(rename = "for_ms")]
    pub duration_ms: [f64; 2],
    /// Which: all of them come once before one comes again, in an order that is drawn.
    pub kinds: Vec<FaultKind>,
}

/// All faults of a run, in order of time.
pub fn schedule(
    script: &[ScheduledFault],
    draws: Option<&RandomFaults>,
    routers: usize,
    length_ms: f64,
    seed: u64,
) -> Vec<ScheduledFault> {
    let mut all = script.to_vec();
    let mut rng = rng(seed, DRAWS);
    let mut between = |[least, most]: [f64; 2]| least + (most - least).max(0.0) * draw(&mut rng);
    if let Some(draws) = draws.filter(|d| !d.kinds.is_empty()) {
        let (mut at, mut deck) = (0.0, Vec::new());
        loop {
            at += between(draws.gap_ms);
            let for_ms = between(draws.duration_ms);
            if at + for_ms > length_ms {
                break;
            }
            if deck.is_empty() {
                deck.clone_from(&draws.kinds);
            }
            let what = deck.swap_remove(between([0.0, deck.len() as f64]) as usize);
            let router = between([0.0, routers as f64]) as usize;
            let other = (router + 1 + between([0.0, (routers - 1) as f64]) as usize) % routers;
            all.push(ScheduledFault {
                at_ms: at,
                kind: what,
                router,
                other_router: Some(other),
                duration_ms: for_ms,
                rules: None,
                other_rules: None,
            });
            at += for_ms;
        }
    }
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    all
}

/// Plays faults on a rig.
pub struct FaultInjector<'a> {
    pub(super) rig: &'a mut Rig,
    /// What was provoked, by name.
    pub done: BTreeMap<&'static str, u64>,
    /// What did not mend, in words.
    pub unrecovered: Vec<String>,
    /// What routers had counted when they were killed.
    pub lost: Vec<BTreeMap<String, f64>>,
    /// Objects that [`FaultKind::LosePurgeReceiver`] purges: the load reads none of them.
    object: u64,
    ids: u64,
}

/// Where the ids and objects of faults begin, away from those of the load.
const OWN_IDS: u64 = 0xfa_u64 << 48;

impl<'a> FaultInjector<'a> {
    /// For this rig.
    pub fn new(rig: &'a mut Rig) -> Self {
        Self {
            rig,
            done: BTreeMap::new(),
            unrecovered: Vec::new(),
            lost: Vec::new(),
            object: OWN_IDS,
            ids: OWN_IDS,
        }
    }

    /// The rig.
    pub fn rig(&mut self) -> &mut Rig {
        self.rig
    }

    fn begin(&mut self, router: usize) {
        if let Err(e) = self.rig.start_router(router) {
            self.unrecovered.push(e);
        }
    }

    pub(super) fn serves(&mut self, router: usize) {
        if !self.rig.wait_until_serving(router, MENDED) {
            self.unrecovered.push(format!("router {router} does not serve again"));
        }
    }

    pub(super) fn heals(&mut self) {
        if !self.rig.heal() {
            self.unrecovered.push("links between routers are not up again".into());
        }
    }

    fn made_up(&mut self, router: usize, before: &BTreeMap<usize, u64>) {
        if self.rig.spec.fleet && !self.rig.wait_until_replicated(router, before) {
            let (now, holds) = (self.rig.table_versions(), self.rig.counters(router).get("holds").copied());
            let words = format!("what router {router}'s disk had is not made up again: versions {before:?}, {now:?}, holds {holds:?}");
            self.unrecovered.push(words);
        }
    }

    /// Has a fault happen, last, and mended.
    pub fn inject(&mut self, m: &ScheduledFault) {
        *self.done.entry(m.kind.name()).or_insert(0) += 1;
        let (n, a) = (self.rig.len(), m.router % self.rig.len());
        let b = m.other_router.map_or((a + 1) % n, |b| b % n);
        let b = if a == b { (a + 1) % n } else { b };
        let lasts = || std::thread::sleep(Duration::from_secs_f64(m.duration_ms.max(0.0) / 1000.0));
        let words = |rig: &Rig| rig.record_fault(format!("{} between routers {a} and {b}", m.kind.name()));
        match m.kind {
            FaultKind::Kill | FaultKind::KillAndWipe | FaultKind::ChangeAddress => {
                let before = self.rig.table_versions();
                self.lost.push(self.rig.counters(a));
                let done = match m.kind {
                    FaultKind::KillAndWipe => self.rig.kill_and_wipe(a),
                    _ => {
                        self.rig.kill(a);
                        if m.kind == FaultKind::ChangeAddress {
                            self.rig.change_peer_address(a)
                        } else {
                            Ok(())
                        }
                    }
                };
                self.unrecovered.extend(done.err());
                lasts();
                self.begin(a);
                self.serves(a);
                if m.kind == FaultKind::KillAndWipe {
                    self.made_up(a, &before);
                }
                self.heals();
            }
            FaultKind::KillHalf => {
                let lost: Vec<usize> = (0..n / 2).map(|i| (a + i) % n).collect();
                lost.iter().for_each(|r| self.rig.kill(*r));
                lasts();
                lost.iter().for_each(|r| self.begin(*r));
                lost.iter().for_each(|r| self.serves(*r));
                self.heals();
            }
            FaultKind::Suspend => {
                self.rig.suspend(a);
                lasts();
                self.rig.resume(a);
                self.serves(a);
                self.heals();
            }
            FaultKind::DiskFull => {
                self.rig.set_disk_full(a, true);
                lasts();
                self.rig.set_disk_full(a, false);
                // What a full disk made of its store is met at the next start.
                self.rig.kill(a);
                self.begin(a);
                self.serves(a);
                self.heals();
            }
            FaultKind::Partition => {
                let others: Vec<usize> = (0..n).filter(|o| *o != a).collect();
                self.rig.partition(a, &others);
                lasts();
                self.heals();
            }
            FaultKind::PartitionOneWay => {
                self.rig.partition_one_way(a, b);
                lasts();
                self.heals();
            }
            FaultKind::BlackHole | FaultKind::Throttle | FaultKind::Delay => {
                words(self.rig);
                for flow in [self.rig.router_link(a, b), self.rig.router_link(b, a)] {
                    flow.configure(|s| match m.kind {
                        FaultKind::BlackHole => s.black_hole = true,
                        FaultKind::Throttle => s.bytes_per_tick = Some(DRIP),
                        _ => s.delay_ms = SLOW,
                    });
                }
                lasts();
                self.heals();
            }
            FaultKind::Corrupt | FaultKind::Duplicate => {
                words(self.rig);
                let what =
                    if m.kind == FaultKind::Corrupt { ChunkFault::Corrupt } else { ChunkFault::Duplicate };
                (0..TIMES).for_each(|_| self.rig.router_link(a, b).inject(what));
                lasts();
            }
            FaultKind::Reset => {
                words(self.rig);
                for _ in 0..TIMES {
                    self.rig.router_link(a, b).reset_connections();
                    std::thread::sleep(Duration::from_secs_f64(
                        m.duration_ms.max(0.0) / 1000.0 / TIMES as f64,
                    ));
                }
            }
            FaultKind::LosePurgeReceiver => self.lose_purge_receiver(a),
            FaultKind::ReplaceRules => {
                let text = m.rules.clone().unwrap_or_default();
                if let Err(e) = self.rig.replace_rules(&text) {
                    self.unrecovered.push(e);
                }
                lasts();
            }
            FaultKind::RulesAtOneRouter => self.rules_at_one_router(a, m),
            FaultKind::ConflictingRules => self.conflicting_rules(a, b, m),
            FaultKind::RulesWhileSuspended | FaultKind::RulesWhilePartitioned => {
                self.rules_without_quorum(a, b, m)
            }
        }
    }
}

#[cfg(test)]
mod tests;
