//! Faults of links and processes: scripted, or drawn from a seed, one after another, each mended before the next.

mod dark;

use super::relay::Once;
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
pub enum What {
    /// A router is killed, and started again.
    Kill,
    /// It is killed with its folder wiped, and started with an empty one.
    Wipe,
    /// It is killed and returns at another address.
    Elsewhere,
    /// It is stopped, and woken.
    Stop,
    /// Half of all routers are killed at once, and started again.
    Half,
    /// Its disk is full.
    DiskFull,
    /// It is cut off from all other routers.
    Cut,
    /// What it sends another router is cut.
    OneWay,
    /// What it and another router send each other vanishes.
    Hole,
    /// The link to another drips.
    Drip,
    /// The link to another is slow.
    Slow,
    /// Pieces that it sends another get a byte changed.
    Break,
    /// Pieces that it sends another come twice.
    Repeat,
    /// Its connections with another are reset.
    Reset,
    /// A purge is told to it alone; then it dies with its disk, and all restart while discovery is down.
    Dark,
    /// The rules' file is replaced at all routers, which read it again.
    Rules,
    /// It is replaced, and one router reads it again: all go by it.
    RulesOne,
    /// Two operators at once: this router reads other rules than another one does.
    RulesTwo,
    /// Another router is stopped while this one offers new rules, until their table is taken back.
    RulesStuck,
    /// The same with the other one cut off from all routers.
    RulesCut,
}

impl What {
    /// All of them.
    pub const ALL: [Self; 20] = [
        Self::Kill,
        Self::Wipe,
        Self::Elsewhere,
        Self::Stop,
        Self::Half,
        Self::DiskFull,
        Self::Cut,
        Self::OneWay,
        Self::Hole,
        Self::Drip,
        Self::Slow,
        Self::Break,
        Self::Repeat,
        Self::Reset,
        Self::Dark,
        Self::Rules,
        Self::RulesOne,
        Self::RulesTwo,
        Self::RulesStuck,
        Self::RulesCut,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Wipe => "wipe",
            Self::Elsewhere => "elsewhere",
            Self::Stop => "stop",
            Self::Half => "half",
            Self::DiskFull => "disk_full",
            Self::Cut => "cut",
            Self::OneWay => "one_way",
            Self::Hole => "hole",
            Self::Drip => "drip",
            Self::Slow => "slow",
            Self::Break => "break",
            Self::Repeat => "repeat",
            Self::Reset => "reset",
            Self::Dark => "dark",
            Self::Rules => "rules",
            Self::RulesOne => "rules_one",
            Self::RulesTwo => "rules_two",
            Self::RulesStuck => "rules_stuck",
            Self::RulesCut => "rules_cut",
        }
    }
}

/// A fault at a time.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Moment {
    /// When it begins, in milliseconds; later if the one before it is not mended yet.
    pub at_ms: f64,
    /// Which.
    pub what: What,
    /// At which router, counted from 0.
    #[serde(default)]
    pub router: usize,
    /// On its link to which other; the next one if not said.
    pub other: Option<usize>,
    /// How long it lasts, in milliseconds.
    #[serde(default = "second")]
    pub for_ms: f64,
    /// The new rules, for [`What::Rules`] and its like.
    pub rules: Option<String>,
    /// Those of the other operator, for [`What::RulesTwo`].
    pub rules_other: Option<String>,
}

fn second() -> f64 {
    1_000.0
}

/// Faults drawn from the seed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Draws {
    /// From the end of one to the beginning of the next, in milliseconds.
    pub gap_ms: [f64; 2],
    /// How long each lasts.
    pub for_ms: [f64; 2],
    /// Which: all of them come once before one comes again, in an order that is drawn.
    pub kinds: Vec<What>,
}

/// All faults of a run, in order of time.
pub fn plan(
    script: &[Moment],
    draws: Option<&Draws>,
    routers: usize,
    length_ms: f64,
    seed: u64,
) -> Vec<Moment> {
    let mut all = script.to_vec();
    let mut rng = rng(seed, DRAWS);
    let mut between = |[least, most]: [f64; 2]| least + (most - least).max(0.0) * draw(&mut rng);
    if let Some(draws) = draws.filter(|d| !d.kinds.is_empty()) {
        let (mut at, mut deck) = (0.0, Vec::new());
        loop {
            at += between(draws.gap_ms);
            let for_ms = between(draws.for_ms);
            if at + for_ms > length_ms {
                break;
            }
            if deck.is_empty() {
                deck.clone_from(&draws.kinds);
            }
            let what = deck.swap_remove(between([0.0, deck.len() as f64]) as usize);
            let router = between([0.0, routers as f64]) as usize;
            let other = (router + 1 + between([0.0, (routers - 1) as f64]) as usize) % routers;
            all.push(Moment {
                at_ms: at,
                what,
                router,
                other: Some(other),
                for_ms,
                rules: None,
                rules_other: None,
            });
            at += for_ms;
        }
    }
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    all
}

/// Plays faults on a rig.
pub struct Player<'a> {
    pub(super) rig: &'a mut Rig,
    /// What was provoked, by name.
    pub done: BTreeMap<&'static str, u64>,
    /// What did not mend, in words.
    pub unmended: Vec<String>,
    /// What routers had counted when they were killed.
    pub lost: Vec<BTreeMap<String, f64>>,
    /// Objects that [`What::Dark`] purges: the load reads none of them.
    object: u64,
    ids: u64,
}

/// Where the ids and objects of faults begin, away from those of the load.
const OWN_IDS: u64 = 0xfa_u64 << 48;

impl<'a> Player<'a> {
    /// For this rig.
    pub fn new(rig: &'a mut Rig) -> Self {
        Self {
            rig,
            done: BTreeMap::new(),
            unmended: Vec::new(),
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
        if let Err(e) = self.rig.begin(router) {
            self.unmended.push(e);
        }
    }

    pub(super) fn serves(&mut self, router: usize) {
        if !self.rig.serves(router, MENDED) {
            self.unmended.push(format!("router {router} does not serve again"));
        }
    }

    pub(super) fn heals(&mut self) {
        if !self.rig.heal() {
            self.unmended.push("links between routers are not up again".into());
        }
    }

    fn made_up(&mut self, router: usize, before: &BTreeMap<usize, u64>) {
        if self.rig.spec.fleet && !self.rig.made_up(router, before) {
            let (now, holds) = (self.rig.versions(), self.rig.counters(router).get("holds").copied());
            let words = format!("what router {router}'s disk had is not made up again: versions {before:?}, {now:?}, holds {holds:?}");
            self.unmended.push(words);
        }
    }

    /// Has a fault happen, last, and mended.
    pub fn play(&mut self, m: &Moment) {
        *self.done.entry(m.what.name()).or_insert(0) += 1;
        let (n, a) = (self.rig.len(), m.router % self.rig.len());
        let b = m.other.map_or((a + 1) % n, |b| b % n);
        let b = if a == b { (a + 1) % n } else { b };
        let lasts = || std::thread::sleep(Duration::from_secs_f64(m.for_ms.max(0.0) / 1000.0));
        let words = |rig: &Rig| rig.fault(format!("{} between routers {a} and {b}", m.what.name()));
        match m.what {
            What::Kill | What::Wipe | What::Elsewhere => {
                let before = self.rig.versions();
                self.lost.push(self.rig.counters(a));
                let done = match m.what {
                    What::Wipe => self.rig.kill_wiped(a),
                    _ => {
                        self.rig.kill(a);
                        if m.what == What::Elsewhere {
                            self.rig.moves(a)
                        } else {
                            Ok(())
                        }
                    }
                };
                self.unmended.extend(done.err());
                lasts();
                self.begin(a);
                self.serves(a);
                if m.what == What::Wipe {
                    self.made_up(a, &before);
                }
                self.heals();
            }
            What::Half => {
                let lost: Vec<usize> = (0..n / 2).map(|i| (a + i) % n).collect();
                lost.iter().for_each(|r| self.rig.kill(*r));
                lasts();
                lost.iter().for_each(|r| self.begin(*r));
                lost.iter().for_each(|r| self.serves(*r));
                self.heals();
            }
            What::Stop => {
                self.rig.stop(a);
                lasts();
                self.rig.wake(a);
                self.serves(a);
                self.heals();
            }
            What::DiskFull => {
                self.rig.disk_full(a, true);
                lasts();
                self.rig.disk_full(a, false);
                // What a full disk made of its store is met at the next start.
                self.rig.kill(a);
                self.begin(a);
                self.serves(a);
                self.heals();
            }
            What::Cut => {
                let others: Vec<usize> = (0..n).filter(|o| *o != a).collect();
                self.rig.cut(a, &others);
                lasts();
                self.heals();
            }
            What::OneWay => {
                self.rig.cut_one_way(a, b);
                lasts();
                self.heals();
            }
            What::Hole | What::Drip | What::Slow => {
                words(self.rig);
                for flow in [self.rig.between(a, b), self.rig.between(b, a)] {
                    flow.shape(|s| match m.what {
                        What::Hole => s.hole = true,
                        What::Drip => s.drip = Some(DRIP),
                        _ => s.delay = SLOW,
                    });
                }
                lasts();
                self.heals();
            }
            What::Break | What::Repeat => {
                words(self.rig);
                let what = if m.what == What::Break { Once::Break } else { Once::Repeat };
                (0..TIMES).for_each(|_| self.rig.between(a, b).once(what));
                lasts();
            }
            What::Reset => {
                words(self.rig);
                for _ in 0..TIMES {
                    self.rig.between(a, b).reset();
                    std::thread::sleep(Duration::from_secs_f64(m.for_ms.max(0.0) / 1000.0 / TIMES as f64));
                }
            }
            What::Dark => self.dark(a),
            What::Rules => {
                let text = m.rules.clone().unwrap_or_default();
                if let Err(e) = self.rig.rules(&text) {
                    self.unmended.push(e);
                }
                lasts();
            }
            What::RulesOne => self.rules_one(a, m),
            What::RulesTwo => self.rules_two(a, b, m),
            What::RulesStuck | What::RulesCut => self.rules_stuck(a, b, m),
        }
    }
}

#[cfg(test)]
mod tests;
