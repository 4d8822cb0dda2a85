//! What names in the rules stand for, and the faults found so far.

use crate::ast::{Cond, Item, Name, Of, Op, Part, Sp};
use crate::fault::{found, meant, At, Found};
use crate::smallest::smallest;
use crate::{CacheEntry, Inventory, RouterEntry};
use std::collections::BTreeMap;

/// Branches, machines and zones that are lost together.
#[derive(Clone, Debug, Default)]
struct DomainDef {
    branches: Vec<String>,
    machines: Vec<String>,
    zones: Vec<String>,
}

/// A set by the places of its members in the inventory, ascending.
#[derive(Clone, Debug)]
pub(crate) struct SetDef {
    pub of: Of,
    pub members: Vec<usize>,
    pub at: At,
}

/// The state of a compilation.
pub(crate) struct Check<'a> {
    pub inventory: &'a Inventory,
    pub faults: Vec<Found>,
    domains: BTreeMap<String, (At, DomainDef)>,
    sets: BTreeMap<String, SetDef>,
}

/// An entry that a condition is about.
#[derive(Clone, Copy)]
enum Entry<'a> {
    Router(usize, &'a RouterEntry),
    Cache(usize, &'a CacheEntry),
}

const ROUTER_TEXTS: [&str; 3] = ["name", "branch", "machine"];
const ROUTER_NUMBERS: [&str; 1] = ["capacity"];
const CACHE_TEXTS: [&str; 3] = ["name", "zone", "role"];
const CACHE_NUMBERS: [&str; 2] = ["cell", "weight"];

/// The role of caches that are parents.
const PARENT: &str = "parent";

impl Entry<'_> {
    fn text(&self, attribute: &str) -> Option<&str> {
        match self {
            Entry::Router(_, r) => match attribute {
                "name" => Some(&r.member.router.0),
                "branch" => Some(&r.domain.branch),
                "machine" => Some(&r.domain.machine),
                _ => None,
            },
            Entry::Cache(_, c) => match attribute {
                "name" => Some(&c.id),
                "zone" => Some(&c.zone),
                "role" => Some(&c.role),
                _ => None,
            },
        }
    }

    /// A number; a cache's weight is no whole one.
    fn number(&self, attribute: &str) -> Option<f64> {
        match (self, attribute) {
            (Entry::Router(_, r), "capacity") => Some(r.capacity as f64),
            (Entry::Cache(_, c), "cell") => Some(c.cell as f64),
            (Entry::Cache(_, c), "weight") => Some(c.weight),
            (Entry::Router(..) | Entry::Cache(..), _) => None,
        }
    }
}

/// The place of a condition: its first name.
fn place(cond: &Cond) -> At {
    match cond {
        Cond::Or(all) | Cond::And(all) => {
            let at = |c: Option<&Cond>| c.map(place).unwrap_or_default();
            At { end: at(all.last()).end, ..at(all.first()) }
        }
        Cond::Not(inner) => place(inner),
        Cond::Is(name, values) => At { end: values.last().map_or(name.at.end, |v| v.at.end), ..name.at },
        Cond::Compare(name, ..) | Cond::In(name) => name.at,
    }
}

impl<'a> Check<'a> {
    pub fn new(inventory: &'a Inventory) -> Self {
        Self { inventory, faults: Vec::new(), domains: BTreeMap::new(), sets: BTreeMap::new() }
    }

    pub fn fault(&mut self, fault: Found) {
        self.faults.push(fault);
    }

    /// An unknown name.
    fn unknown<'n>(&mut self, name: &Name, what: &str, known: impl Iterator<Item = &'n str> + Clone) {
        let help = meant(&name.it, known.clone()).or_else(|| {
            /// More would hide the rest.
            const SHOWN: usize = 8;
            let mut all: Vec<&str> = known.collect();
            all.sort_unstable();
            all.dedup();
            let more = if all.len() > SHOWN { ", ..." } else { "" };
            all.truncate(SHOWN);
            Some(if all.is_empty() {
                "there is none".into()
            } else {
                format!("known: {}{more}", all.join(", "))
            })
        });
        let message = format!("there is no {what} \"{}\"", name.it);
        self.fault(found(name.at, message, format!("unknown {what}")).maybe(help));
    }

    /// A class's name, checked where the inventory names classes.
    pub fn class(&mut self, name: &Name) {
        let classes = &self.inventory.classes;
        if !classes.is_empty() && classes.iter().all(|c| **c != *name.it) {
            self.unknown(name, "class", classes.iter().map(|c| &**c));
        }
    }

    fn entries(&self, of: Of) -> Vec<Entry<'a>> {
        let inventory = self.inventory;
        let caches = inventory.caches.iter().enumerate();
        match of {
            Of::Routers => inventory.routers.iter().enumerate().map(|(i, r)| Entry::Router(i, r)).collect(),
            Of::Caches => caches.map(|(i, c)| Entry::Cache(i, c)).collect(),
            Of::Parents => {
                caches.filter(|(_, c)| &*c.role == PARENT).map(|(i, c)| Entry::Cache(i, c)).collect()
            }
        }
    }

    /// Takes in all domains and sets, in the order of the files.
    pub fn define(&mut self, items: &[Item]) {
        for item in items {
            match item {
                Item::Domain(name, parts) => self.define_domain(name, parts),
                Item::Set(name, of, cond) => self.define_set(name, of, cond.as_ref()),
                Item::Holds(..) | Item::Root(..) | Item::Home(..) => {}
                Item::Apart(..) | Item::Gather(..) | Item::Lost => {}
            }
        }
    }

    /// False (and a fault) if a set or domain has this name already.
    fn fresh(&mut self, name: &Name) -> bool {
        let first = self.domains.get(&name.it).map(|d| d.0).or_else(|| self.sets.get(&name.it).map(|s| s.at));
        if let Some(first) = first {
            let what = format!("\"{}\" is named twice", name.it);
            self.fault(found(name.at, what, "again").also(first, "first here"));
        }
        first.is_none()
    }

    fn define_domain(&mut self, name: &Name, parts: &[(Sp<Part>, Vec<Name>)]) {
        let fresh = self.fresh(name);
        let mut domain = DomainDef::default();
        for (part, values) in parts {
            for value in values {
                let (attribute, of) = match part.it {
                    Part::Branch => ("branch", Of::Routers),
                    Part::Machine => ("machine", Of::Routers),
                    Part::Zone => ("zone", Of::Caches),
                };
                self.value(attribute, value, &self.entries(of));
                let into = match part.it {
                    Part::Branch => &mut domain.branches,
                    Part::Machine => &mut domain.machines,
                    Part::Zone => &mut domain.zones,
                };
                into.push(value.it.clone());
            }
        }
        if fresh {
            self.domains.insert(name.it.clone(), (name.at, domain));
        }
    }

    /// Faults a text that no entry has for that attribute.
    fn value(&mut self, attribute: &str, value: &Name, entries: &[Entry<'a>]) {
        if entries.iter().all(|e| e.text(attribute) != Some(&value.it)) {
            self.unknown(value, attribute, entries.iter().filter_map(|e| e.text(attribute)));
        }
    }

    fn define_set(&mut self, name: &Name, of: &Sp<Of>, cond: Option<&Cond>) {
        let fresh = self.fresh(name);
        let entries = self.entries(of.it);
        let faults = self.faults.len();
        if let Some(cond) = cond {
            self.sound(cond, of.it, &entries);
        }
        let is = |e: &Entry<'a>| cond.is_none_or(|c| self.holds(c, e));
        let members: Vec<usize> = entries.iter().filter(|e| is(e)).map(index).collect();
        if members.is_empty() && self.faults.len() == faults {
            self.never(name, of, cond, &entries);
        }
        if fresh {
            self.sets.insert(name.it.clone(), SetDef { of: of.it, members, at: name.at });
        }
    }

    /// A set without members: shows the fewest conditions that leave none.
    fn never(&mut self, name: &Name, of: &Sp<Of>, cond: Option<&Cond>, entries: &[Entry<'a>]) {
        let parts: Vec<&Cond> = match cond {
            Some(Cond::Or(any)) => match any.as_slice() {
                [Cond::And(all)] => all.iter().collect(),
                _ => cond.into_iter().collect(),
            },
            _ => cond.into_iter().collect(),
        };
        let some = |used: &[usize]| entries.iter().any(|e| used.iter().all(|p| self.holds(parts[*p], e)));
        let fewest = smallest(parts.len(), some);
        let mut fault =
            found(name.at, format!("set \"{}\" is empty, so it can never match", name.it), "empty");
        if entries.is_empty() {
            fault = fault.also(of.at, "the inventory has none of these");
        }
        for part in fewest {
            fault = fault.also(place(parts[part]), "no entry meets all that is marked");
        }
        self.fault(fault);
    }

    /// Faults names and attributes in a condition that mean nothing.
    fn sound(&mut self, cond: &Cond, of: Of, entries: &[Entry<'a>]) {
        let (texts, numbers): (&[&str], &[&str]) = match of {
            Of::Routers => (&ROUTER_TEXTS, &ROUTER_NUMBERS),
            Of::Caches | Of::Parents => (&CACHE_TEXTS, &CACHE_NUMBERS),
        };
        match cond {
            Cond::Or(all) | Cond::And(all) => all.iter().for_each(|c| self.sound(c, of, entries)),
            Cond::Not(inner) => self.sound(inner, of, entries),
            Cond::In(name) => {
                self.group(name, of);
            }
            Cond::Is(name, values) => match texts.contains(&&*name.it) {
                true => values.iter().for_each(|v| self.value(&name.it, v, entries)),
                false if numbers.contains(&&*name.it) => {
                    let what = format!("\"{}\" is a number", name.it);
                    self.fault(found(name.at, what, "compare it").help("by =, >=, <=, > or <"));
                }
                false => self.unknown(name, "attribute", texts.iter().chain(numbers).copied()),
            },
            Cond::Compare(name, ..) => match numbers.contains(&&*name.it) {
                true => {}
                false if texts.contains(&&*name.it) => {
                    let what = format!("\"{}\" is a name", name.it);
                    self.fault(found(name.at, what, "compared with a number").help("say `is`"));
                }
                false => self.unknown(name, "attribute", texts.iter().chain(numbers).copied()),
            },
        }
    }

    fn holds(&self, cond: &Cond, entry: &Entry<'a>) -> bool {
        match cond {
            Cond::Or(all) => all.iter().any(|c| self.holds(c, entry)),
            Cond::And(all) => all.iter().all(|c| self.holds(c, entry)),
            Cond::Not(inner) => !self.holds(inner, entry),
            Cond::Is(name, values) => values.iter().any(|v| entry.text(&name.it) == Some(&v.it)),
            Cond::Compare(name, op, than) => entry.number(&name.it).is_some_and(|n| {
                let than = *than as f64;
                match op {
                    Op::Equal => n == than,
                    Op::AtLeast => n >= than,
                    Op::AtMost => n <= than,
                    Op::Over => n > than,
                    Op::Under => n < than,
                }
            }),
            Cond::In(name) => self.within(&name.it, entry),
        }
    }

    /// True if an entry is in a set or domain.
    fn within(&self, name: &str, entry: &Entry<'a>) -> bool {
        let has = |list: &[String], text: &str| list.iter().any(|l| l == text);
        if let Some((_, domain)) = self.domains.get(name) {
            return match entry {
                Entry::Router(_, r) => {
                    has(&domain.branches, &r.domain.branch) || has(&domain.machines, &r.domain.machine)
                }
                Entry::Cache(_, c) => has(&domain.zones, &c.zone),
            };
        }
        let kind = |of: Of| (of == Of::Routers) == matches!(entry, Entry::Router(..));
        self.sets.get(name).is_some_and(|s| kind(s.of) && s.members.binary_search(&index(entry)).is_ok())
    }

    /// The members of a set or domain among those `of` that kind, ascending; a fault if there is none.
    pub fn group(&mut self, name: &Name, of: Of) -> Vec<usize> {
        let known = self.domains.keys().chain(self.sets.keys()).map(String::as_str);
        let known: Vec<String> = known.map(String::from).collect();
        if !known.contains(&name.it) {
            self.unknown(name, "set or domain", known.iter().map(String::as_str));
            return Vec::new();
        }
        let entries = self.entries(of);
        let members: Vec<usize> = entries.iter().filter(|e| self.within(&name.it, e)).map(index).collect();
        let empty_set = self.sets.get(&name.it).is_some_and(|s| s.members.is_empty());
        if members.is_empty() && !empty_set {
            let kind = match of {
                Of::Routers => "router",
                Of::Caches => "cache",
                Of::Parents => "parent",
            };
            let what = format!("there is no {kind} in \"{}\"", name.it);
            self.fault(found(name.at, what, format!("no {kind} here")));
        }
        members
    }

    /// The routers with that text for an attribute, ascending; a fault if there is none.
    pub fn routers_by(&mut self, attribute: &str, name: &Name) -> Vec<usize> {
        let entries = self.entries(Of::Routers);
        self.value(attribute, name, &entries);
        entries.iter().filter(|e| e.text(attribute) == Some(&name.it)).map(index).collect()
    }

    /// The members of any of these, ascending.
    pub fn groups(&mut self, names: &[Name], of: Of) -> Vec<usize> {
        let mut all: Vec<usize> = names.iter().flat_map(|n| self.group(n, of)).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

fn index(entry: &Entry<'_>) -> usize {
    match entry {
        Entry::Router(i, _) | Entry::Cache(i, _) => *i,
    }
}
