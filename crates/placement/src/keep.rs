//! Rules of who keeps shards and the root: read, and refused where they can't hold.

use crate::ast::{Item, Keep, Name, Of, Sp, Spread, Thing};
use crate::body::MOST_SHARDS;
use crate::check::Check;
use crate::fault::{found, At, INVENTORY};
use crate::place::{search, Candidate};
use crate::smallest::smallest;
use basaltgw_structures::hash::fnv1a;
use std::collections::{BTreeMap, BTreeSet};

/// Copies of a shard where no rule says otherwise: any one machine may be lost.
const USUAL_COPIES: usize = 3;
/// Shards that move in one step where no rule says otherwise: a step is short, and a fleet of 256 shards is through in 16.
const USUAL_PACE: u16 = 16;

/// What rules ask of keepers.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    /// "holds" or "root".
    pub what: &'static str,
    /// The rule; `None` where there is none.
    pub at: Option<At>,
    pub shards: Option<Sp<usize>>,
    pub copies: usize,
    pub spread: Spread,
    /// Copies in one domain at most.
    pub each: usize,
    pub from: Option<Sp<Vec<usize>>>,
    pub prefer: Vec<Vec<usize>>,
    /// Holds that each shard must have room for.
    pub room: Option<Sp<u64>>,
    pub pace: u16,
    copies_at: Option<At>,
    spread_at: Option<At>,
}

/// A rule of what never goes together, by the routers of each operand.
#[derive(Clone, Debug)]
pub(crate) struct Apart {
    pub at: At,
    pub operands: Vec<Vec<usize>>,
}

/// Reads the rule of that name; there is one at most.
pub(crate) fn want(what: &'static str, items: &[Item], check: &mut Check<'_>) -> Want {
    let mut want = Want {
        what,
        at: None,
        shards: None,
        copies: USUAL_COPIES,
        spread: Spread::Machines,
        each: 1,
        from: None,
        prefer: Vec::new(),
        room: None,
        pace: USUAL_PACE,
        copies_at: None,
        spread_at: None,
    };
    for item in items {
        let (at, clauses) = match (item, what) {
            (Item::Holds(at, clauses), "holds") | (Item::Root(at, clauses), "root") => (*at, clauses),
            _ => continue,
        };
        if let Some(first) = want.at {
            let fault = found(at, format!("there are two rules of {what}"), "the second");
            check.fault(fault.also(first, "the first").help("put their clauses into one"));
            continue;
        }
        want.at = Some(at);
        for (i, clause) in clauses.iter().enumerate() {
            let same = |c: &&Sp<Keep>| std::mem::discriminant(&c.it) == std::mem::discriminant(&clause.it);
            if let Some(first) = clauses[..i].iter().find(same) {
                check.fault(found(clause.at, "this is said twice", "again").also(first.at, "first here"));
            }
            want.clause(clause, check);
        }
    }
    want.survives(check);
    want
}

impl Want {
    fn clause(&mut self, clause: &Sp<Keep>, check: &mut Check<'_>) {
        let at = clause.at;
        if self.what == "root" && matches!(clause.it, Keep::Shards(_) | Keep::Room(_) | Keep::Pace(_)) {
            check.fault(found(at, "the root has no shards of its own", "only in `holds`"));
        }
        match &clause.it {
            Keep::Shards(n) => match usize::try_from(*n).ok().filter(|n| (1..=MOST_SHARDS).contains(n)) {
                Some(it) => self.shards = Some(Sp { it, at }),
                None => {
                    let what = format!("{n} shards; expected 1 to {MOST_SHARDS}");
                    check.fault(found(at, what, "not so many"));
                }
            },
            Keep::Copies(n) => {
                self.copies_at = Some(at);
                match *n {
                    3 | 5 => self.copies = *n as usize,
                    n => {
                        let why = match n {
                            0..=2 => {
                                "with one or two, losing one machine loses what was promised or all say in it"
                            }
                            4 => "an even number survives no more losses than the odd one below it",
                            _ => {
                                "more than 5 make every promise slower and survive no more than the rules ask"
                            }
                        };
                        check.fault(found(at, format!("{n} copies; expected 3 or 5"), why));
                    }
                }
            }
            Keep::Spread(spread, each) => {
                self.spread = *spread;
                self.spread_at = Some(at);
                self.each = each.map_or(1, |n| usize::try_from(n).unwrap_or(usize::MAX));
                if self.each == 0 {
                    check.fault(found(at, "at most 0 copies in each domain", "expected at least 1"));
                    self.each = 1;
                }
            }
            Keep::From(names) => self.from = Some(Sp { it: check.groups(names, Of::Routers), at }),
            Keep::Prefer(names) => {
                self.prefer = names.iter().map(|n| check.group(n, Of::Routers)).collect();
            }
            Keep::Room(n) => self.room = Some(Sp { it: *n, at }),
            Keep::Pace(n) => match u16::try_from(*n).ok().filter(|n| *n > 0) {
                Some(pace) => self.pace = pace,
                None => check.fault(found(at, format!("a pace of {n}; expected 1 to 65535"), "no such pace")),
            },
        }
    }

    /// Refuses a spread by which the loss of one domain takes a majority.
    fn survives(&self, check: &mut Check<'_>) {
        let (Some(at), majority) = (self.spread_at, self.copies / 2 + 1) else { return };
        if self.each >= majority {
            let of = self.spread.one();
            let what = format!(
                "losing one {of} could lose {} of {} copies, and so a majority of a shard's keepers",
                self.each.min(self.copies),
                self.copies
            );
            let fault = found(at, what, format!("allows {} in one {of}", self.each));
            check.fault(fault.help(format!("at most {} each", self.copies - majority)));
        }
    }

    /// Places (in the inventory) of those who may keep, with what keeps them from the same shard.
    pub fn candidates(&self, apart: &[Apart], check: &Check<'_>) -> (Vec<usize>, Vec<Candidate>) {
        let con = Constraints { want: self, apart, check };
        let all: Vec<usize> = (0..con.count()).collect();
        con.candidates(&all)
    }

    /// Refuses what no choice of routers can meet, with the fewest rules that make it so. True if a choice is left.
    pub fn possible(&self, apart: &[Apart], check: &mut Check<'_>) -> bool {
        let con = Constraints { want: self, apart, check };
        let all: Vec<usize> = (0..con.count()).collect();
        if con.holds(&all) {
            return true;
        }
        let of = self.spread.one();
        let (places, candidates) = con.candidates(&all[..2]);
        let mut in_domain: BTreeMap<usize, usize> = BTreeMap::new();
        candidates.iter().for_each(|c| *in_domain.entry(c.domain).or_default() += 1);
        let slots: usize = in_domain.values().map(|n| (*n).min(self.each)).sum();
        let fewest = smallest(con.count(), |used| con.holds(used));
        let names: BTreeSet<&str> = places.iter().map(|p| con.domain(*p)).collect();
        let names = names.into_iter().take(8).collect::<Vec<_>>().join(", ");
        let whole = [self.copies_at, self.at].into_iter().flatten().next();
        let mut fault =
            crate::fault::Found { whole: INVENTORY, message: String::new(), help: None, labels: Vec::new() };
        fault.message = if slots < self.copies {
            let each =
                if self.each > 1 { format!(" (at most {} in each)", self.each) } else { String::new() };
            format!(
                "{}: {} copies over different {}{each} are asked for, and there are {} to keep them: {names}",
                self.what,
                self.copies,
                self.spread.many(),
                in_domain.len(),
            )
        } else {
            format!("{}: no {} routers may keep one shard together by these rules", self.what, self.copies)
        };
        fault.labels.extend(whole.map(|at| (at, format!("{} copies", self.copies))));
        for rule in fewest {
            let (at, label) = match rule {
                0 => (self.from.as_ref().map(|f| f.at), "only these".to_string()),
                1 => (self.spread_at, format!("at most {} in one {of}", self.each)),
                n => (apart.get(n - 2).map(|a| a.at), "never together".to_string()),
            };
            fault.labels.extend(at.map(|at| (at, label)));
        }
        fault.help = Some(format!("add routers in further {}, or ask for less", self.spread.many()));
        check.fault(fault);
        false
    }

    /// Refuses what would not fit once any one machine or branch is lost.
    pub fn roomy(&self, shards: usize, places: &[usize], check: &mut Check<'_>) {
        let Some(room) = self.room.as_ref().filter(|r| r.it > 0) else { return };
        let routers = &check.inventory.routers;
        let mut short: Option<(u64, String)> = None;
        for lost in [None, Some(Spread::Machines), Some(Spread::Branches)] {
            let key = |p: &usize| lost.map(|l| l.of(&routers[*p]));
            let domains: BTreeSet<_> = places.iter().map(key).collect();
            // With all in one branch there is nothing that its loss could be made good by; and what is short with all there is said so.
            if lost.is_some() && (domains.len() < 2 || short.is_some()) {
                continue;
            }
            for gone in domains {
                let mut caps: BTreeMap<(String, String), (u64, usize)> = BTreeMap::new();
                for p in places.iter().filter(|p| lost.is_none() || key(p) != gone) {
                    let (slots, members) = caps.entry(self.spread.of(&routers[*p])).or_default();
                    *slots += (routers[*p].capacity / room.it).min(shards as u64);
                    *members += 1;
                }
                let copies = caps.values().map(|(_, n)| (*n).min(self.each)).sum::<usize>().min(self.copies);
                let most = |n: usize| (shards * n.min(self.each)) as u64;
                let have: u64 = caps.values().map(|(slots, n)| (*slots).min(most(*n))).sum();
                let need = (shards * copies) as u64;
                let lack = need.saturating_sub(have);
                if lack > short.as_ref().map_or(0, |s| s.0) {
                    let when = match &gone {
                        None => "even with all routers there".to_string(),
                        Some((branch, machine)) if machine.is_empty() => {
                            format!("once branch {branch} is lost")
                        }
                        Some((branch, machine)) => {
                            format!("once machine {machine} of branch {branch} is lost")
                        }
                    };
                    short =
                        Some((lack, format!("{when}, {need} copies need room and there is room for {have}")));
                }
            }
        }
        if let Some((_, what)) = short {
            let fault =
                found(room.at, format!("{}: capacity is short: {what}", self.what), "holds per shard");
            check.fault(fault.help("more capacity, fewer shards, or less room per shard"));
        }
    }
}

impl Spread {
    fn one(self) -> &'static str {
        match self {
            Spread::Branches => "branch",
            Spread::Machines => "machine",
        }
    }

    fn many(self) -> &'static str {
        match self {
            Spread::Branches => "branches",
            Spread::Machines => "machines",
        }
    }

    /// The domain of a router, as branch and machine (empty for branches).
    fn of(self, router: &crate::RouterEntry) -> (String, String) {
        let machine = match self {
            Spread::Branches => String::new(),
            Spread::Machines => router.domain.machine.to_string(),
        };
        (router.domain.branch.to_string(), machine)
    }
}

/// The rules that bound a choice of keepers, by number: whom from, the spread, and what never goes together.
struct Constraints<'a, 'b> {
    want: &'a Want,
    apart: &'a [Apart],
    check: &'a Check<'b>,
}

impl Constraints<'_, '_> {
    fn count(&self) -> usize {
        2 + self.apart.len()
    }

    fn domain(&self, place: usize) -> &str {
        let domain = &self.check.inventory.routers[place].domain;
        match self.want.spread {
            Spread::Branches => &domain.branch,
            Spread::Machines => &domain.machine,
        }
    }

    /// Who may keep, if only these rules count.
    fn candidates(&self, used: &[usize]) -> (Vec<usize>, Vec<Candidate>) {
        let from = self.want.from.as_ref().filter(|_| used.contains(&0));
        let may = |p: &usize| from.is_none_or(|f| f.it.binary_search(p).is_ok());
        let routers = &self.check.inventory.routers;
        let places: Vec<usize> = (0..routers.len()).filter(|p| routers[*p].stays && may(p)).collect();
        let mut apart: BTreeMap<usize, Vec<(u16, u16)>> = BTreeMap::new();
        for (rule, operands) in self.apart.iter().enumerate().filter(|(i, _)| used.contains(&(i + 2))) {
            for (operand, routers) in operands.operands.iter().enumerate() {
                routers.iter().for_each(|r| apart.entry(*r).or_default().push((rule as u16, operand as u16)));
            }
        }
        let mut domains = BTreeMap::new();
        let candidates = places.iter().map(|p| {
            let key = match used.contains(&1) {
                true => self.want.spread.of(&routers[*p]),
                false => (routers[*p].member.router.0.to_string(), "a router of its own".into()),
            };
            let next = domains.len();
            let domain = *domains.entry(key).or_insert(next);
            let apart = apart.get(p).cloned().unwrap_or_default();
            Candidate {
                hash: fnv1a(&routers[*p].member.router.0),
                weight: routers[*p].capacity.max(1),
                domain,
                apart,
            }
        });
        let candidates = candidates.collect();
        (places, candidates)
    }

    fn holds(&self, used: &[usize]) -> bool {
        let (_, candidates) = self.candidates(used);
        let order: Vec<usize> = (0..candidates.len()).collect();
        search(&candidates, &order, self.want.copies, self.want.each).is_some()
    }
}

/// Reads the rules of what never goes together.
pub(crate) fn aparts(items: &[Item], check: &mut Check<'_>) -> Vec<Apart> {
    let mut all = Vec::new();
    for item in items {
        let Item::Apart(at, things) = item else { continue };
        let operands: Vec<Vec<usize>> =
            things.iter().map(|(thing, name)| check.thing(thing.it, name)).collect();
        if operands.len() < 2 {
            check.fault(found(
                *at,
                "one thing alone is always together",
                "expected two or more, with commas",
            ));
        }
        let routers = &check.inventory.routers;
        let both = |r: &usize| operands.iter().filter(|o| o.binary_search(r).is_ok()).count() > 1;
        if let Some(router) = (0..routers.len()).find(both) {
            let what = format!(
                "router \"{}\" is in two of these, so it never goes with itself",
                routers[router].member.router
            );
            check.fault(found(*at, what, "can never hold"));
        }
        all.push(Apart { at: *at, operands });
    }
    all
}

impl Check<'_> {
    /// The routers of an operand, ascending.
    fn thing(&mut self, thing: Thing, name: &Name) -> Vec<usize> {
        let attribute = match thing {
            Thing::Set => return self.group(name, Of::Routers),
            Thing::Router => "name",
            Thing::Machine => "machine",
            Thing::Branch => "branch",
        };
        self.routers_by(attribute, name)
    }
}
