//! Resolves the names of rules: domains and sets to entries of the inventory. Collects the diagnostics of a compilation.

use crate::ast::{Comparison, Condition, DomainPart, EntryKind, Name, Rule, Spanned};
use crate::conflict::minimal_conflict;
use crate::diagnostic::{suggestion, DraftDiagnostic, SourceSpan};
use crate::{CacheEntry, Inventory, RouterEntry};
use std::collections::BTreeMap;

/// A failure domain defined by a rule: branches, machines and zones that are lost together.
#[derive(Clone, Debug, Default)]
struct DomainDefinition {
    branches: Vec<String>,
    machines: Vec<String>,
    zones: Vec<String>,
}

/// A set defined by a rule.
#[derive(Clone, Debug)]
struct SetDefinition {
    kind: EntryKind,
    /// Indexes in the inventory, ascending.
    members: Vec<usize>,
    span: SourceSpan,
}

/// Names that are defined so far, and diagnostics.
pub(crate) struct Resolver<'a> {
    pub inventory: &'a Inventory,
    pub diagnostics: Vec<DraftDiagnostic>,
    domains: BTreeMap<String, (SourceSpan, DomainDefinition)>,
    sets: BTreeMap<String, SetDefinition>,
}

/// An entry of the inventory with its index.
#[derive(Clone, Copy)]
enum Entry<'a> {
    Router(usize, &'a RouterEntry),
    Cache(usize, &'a CacheEntry),
}

const ROUTER_TEXT_ATTRIBUTES: [&str; 3] = ["name", "branch", "machine"];
const ROUTER_NUMBER_ATTRIBUTES: [&str; 1] = ["capacity"];
const CACHE_TEXT_ATTRIBUTES: [&str; 3] = ["name", "zone", "role"];
const CACHE_NUMBER_ATTRIBUTES: [&str; 2] = ["cell", "weight"];

/// Role of parent caches in the inventory.
const PARENT_ROLE: &str = "parent";

impl Entry<'_> {
    fn index(&self) -> usize {
        match self {
            Entry::Router(i, _) | Entry::Cache(i, _) => *i,
        }
    }

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

    /// The value of a numeric attribute. The weight of a cache may be a fraction.
    fn number(&self, attribute: &str) -> Option<f64> {
        match (self, attribute) {
            (Entry::Router(_, r), "capacity") => Some(r.capacity as f64),
            (Entry::Cache(_, c), "cell") => Some(c.cell as f64),
            (Entry::Cache(_, c), "weight") => Some(c.weight),
            (Entry::Router(..) | Entry::Cache(..), _) => None,
        }
    }
}

/// The position of a condition: from its first name on.
fn condition_span(condition: &Condition) -> SourceSpan {
    match condition {
        Condition::Or(all) | Condition::And(all) => {
            let span = |c: Option<&Condition>| c.map(condition_span).unwrap_or_default();
            SourceSpan { end: span(all.last()).end, ..span(all.first()) }
        }
        Condition::Not(inner) => condition_span(inner),
        Condition::Is { attribute, values } => {
            let end = values.last().map_or(attribute.span.end, |v| v.span.end);
            SourceSpan { end, ..attribute.span }
        }
        Condition::Compare { attribute: name, .. } | Condition::In(name) => name.span,
    }
}

impl<'a> Resolver<'a> {
    pub fn new(inventory: &'a Inventory) -> Self {
        Self { inventory, diagnostics: Vec::new(), domains: BTreeMap::new(), sets: BTreeMap::new() }
    }

    pub fn report(&mut self, diagnostic: DraftDiagnostic) {
        self.diagnostics.push(diagnostic);
    }

    /// Reports the clause at `index` if an earlier one is of the same kind.
    pub fn report_repeated_clause<T>(&mut self, clauses: &[Spanned<T>], index: usize) {
        let clause = &clauses[index];
        let same = |c: &&Spanned<T>| std::mem::discriminant(&c.node) == std::mem::discriminant(&clause.node);
        if let Some(first) = clauses[..index].iter().find(same) {
            let draft = DraftDiagnostic::at(clause.span, "this clause is given twice", "again");
            self.report(draft.with_label(first.span, "first here"));
        }
    }

    fn report_unknown<'n>(&mut self, name: &Name, kind: &str, known: impl Iterator<Item = &'n str> + Clone) {
        let help = suggestion(&name.node, known.clone()).or_else(|| {
            /// Keeps the help on one line.
            const MAX_LISTED_NAMES: usize = 8;
            let mut all: Vec<&str> = known.collect();
            all.sort_unstable();
            all.dedup();
            let more = if all.len() > MAX_LISTED_NAMES { ", ..." } else { "" };
            all.truncate(MAX_LISTED_NAMES);
            Some(match all.is_empty() {
                true => "there is none".to_string(),
                false => format!("known: {}{more}", all.join(", ")),
            })
        });
        let message = format!("there is no {kind} \"{}\"", name.node);
        self.report(
            DraftDiagnostic::at(name.span, message, format!("unknown {kind}")).with_help_if_any(help),
        );
    }

    /// Checks the name of a class if the inventory lists classes.
    pub fn check_class(&mut self, name: &Name) {
        let classes = &self.inventory.classes;
        if !classes.is_empty() && classes.iter().all(|c| **c != *name.node) {
            self.report_unknown(name, "class", classes.iter().map(|c| &**c));
        }
    }

    fn entries(&self, kind: EntryKind) -> Vec<Entry<'a>> {
        let inventory = self.inventory;
        let caches = inventory.caches.iter().enumerate();
        match kind {
            EntryKind::Routers => {
                inventory.routers.iter().enumerate().map(|(i, r)| Entry::Router(i, r)).collect()
            }
            EntryKind::Caches => caches.map(|(i, c)| Entry::Cache(i, c)).collect(),
            EntryKind::Parents => {
                caches.filter(|(_, c)| &*c.role == PARENT_ROLE).map(|(i, c)| Entry::Cache(i, c)).collect()
            }
        }
    }

    /// Defines all domains and sets, in the order of the files.
    pub fn define_names(&mut self, rules: &[Rule]) {
        for rule in rules {
            match rule {
                Rule::Domain { name, parts } => self.define_domain(name, parts),
                Rule::Set { name, kind, condition } => self.define_set(name, kind, condition.as_ref()),
                Rule::Holds { .. } | Rule::Root { .. } | Rule::Home { .. } => {}
                Rule::NeverTogether { .. } | Rule::Gather { .. } | Rule::Unparsed => {}
            }
        }
    }

    /// Whether no set or domain has this name yet; reports it otherwise.
    fn check_new_name(&mut self, name: &Name) -> bool {
        let domain = self.domains.get(&name.node).map(|(span, _)| *span);
        let first = domain.or_else(|| self.sets.get(&name.node).map(|s| s.span));
        if let Some(first) = first {
            let message = format!("\"{}\" is defined twice", name.node);
            self.report(DraftDiagnostic::at(name.span, message, "again").with_label(first, "first here"));
        }
        first.is_none()
    }

    fn define_domain(&mut self, name: &Name, parts: &[(Spanned<DomainPart>, Vec<Name>)]) {
        let is_new = self.check_new_name(name);
        let mut domain = DomainDefinition::default();
        for (part, values) in parts {
            for value in values {
                let (attribute, kind) = match part.node {
                    DomainPart::Branch => ("branch", EntryKind::Routers),
                    DomainPart::Machine => ("machine", EntryKind::Routers),
                    DomainPart::Zone => ("zone", EntryKind::Caches),
                };
                self.check_value(attribute, value, &self.entries(kind));
                let list = match part.node {
                    DomainPart::Branch => &mut domain.branches,
                    DomainPart::Machine => &mut domain.machines,
                    DomainPart::Zone => &mut domain.zones,
                };
                list.push(value.node.clone());
            }
        }
        if is_new {
            self.domains.insert(name.node.clone(), (name.span, domain));
        }
    }

    /// Reports a value that no entry has for the attribute.
    fn check_value(&mut self, attribute: &str, value: &Name, entries: &[Entry<'a>]) {
        if entries.iter().all(|e| e.text(attribute) != Some(&value.node)) {
            let kind = match (attribute, entries.first()) {
                ("name", Some(Entry::Router(..))) => "router",
                ("name", Some(Entry::Cache(..))) => "cache",
                _ => attribute,
            };
            self.report_unknown(value, kind, entries.iter().filter_map(|e| e.text(attribute)));
        }
    }

    fn define_set(&mut self, name: &Name, kind: &Spanned<EntryKind>, condition: Option<&Condition>) {
        let is_new = self.check_new_name(name);
        let entries = self.entries(kind.node);
        let reported = self.diagnostics.len();
        if let Some(condition) = condition {
            self.check_condition(condition, kind.node, &entries);
        }
        let matches = |e: &Entry<'a>| condition.is_none_or(|c| self.matches(c, e));
        let members: Vec<usize> = entries.iter().filter(|e| matches(e)).map(Entry::index).collect();
        if members.is_empty() && self.diagnostics.len() == reported {
            self.report_empty_set(name, kind, condition, &entries);
        }
        if is_new {
            let set = SetDefinition { kind: kind.node, members, span: name.span };
            self.sets.insert(name.node.clone(), set);
        }
    }

    /// Reports a set without members, with a minimal group of conditions that excludes all entries.
    fn report_empty_set(
        &mut self,
        name: &Name,
        kind: &Spanned<EntryKind>,
        condition: Option<&Condition>,
        entries: &[Entry<'a>],
    ) {
        let parts: Vec<&Condition> = match condition {
            Some(Condition::Or(any)) => match any.as_slice() {
                [Condition::And(all)] => all.iter().collect(),
                _ => condition.into_iter().collect(),
            },
            _ => condition.into_iter().collect(),
        };
        let any_match =
            |used: &[usize]| entries.iter().any(|e| used.iter().all(|p| self.matches(parts[*p], e)));
        let conflict = minimal_conflict(parts.len(), any_match);
        let message = format!("set \"{}\" is empty, so it can never match", name.node);
        let mut draft = DraftDiagnostic::at(name.span, message, "empty");
        if entries.is_empty() {
            draft = draft.with_label(kind.span, format!("the inventory has no {}", kind.node.singular()));
        }
        for part in conflict {
            draft = draft.with_label(condition_span(parts[part]), "no entry meets all marked conditions");
        }
        self.report(draft);
    }

    /// Reports unknown names and attributes of a condition.
    fn check_condition(&mut self, condition: &Condition, kind: EntryKind, entries: &[Entry<'a>]) {
        let (texts, numbers): (&[&str], &[&str]) = match kind {
            EntryKind::Routers => (&ROUTER_TEXT_ATTRIBUTES, &ROUTER_NUMBER_ATTRIBUTES),
            EntryKind::Caches | EntryKind::Parents => (&CACHE_TEXT_ATTRIBUTES, &CACHE_NUMBER_ATTRIBUTES),
        };
        match condition {
            Condition::Or(all) | Condition::And(all) => {
                all.iter().for_each(|c| self.check_condition(c, kind, entries));
            }
            Condition::Not(inner) => self.check_condition(inner, kind, entries),
            Condition::In(name) => {
                self.group(name, kind);
            }
            Condition::Is { attribute, values } => match texts.contains(&&*attribute.node) {
                true => values.iter().for_each(|v| self.check_value(&attribute.node, v, entries)),
                false if numbers.contains(&&*attribute.node) => {
                    let message = format!("\"{}\" is a number", attribute.node);
                    let draft = DraftDiagnostic::at(attribute.span, message, "compared with a name");
                    self.report(draft.with_help("compare it by =, >=, <=, > or <"));
                }
                false => self.report_unknown(attribute, "attribute", texts.iter().chain(numbers).copied()),
            },
            Condition::Compare { attribute, .. } => match numbers.contains(&&*attribute.node) {
                true => {}
                false if texts.contains(&&*attribute.node) => {
                    let message = format!("\"{}\" is a name", attribute.node);
                    let draft = DraftDiagnostic::at(attribute.span, message, "compared with a number");
                    self.report(draft.with_help("compare it by `is`"));
                }
                false => self.report_unknown(attribute, "attribute", texts.iter().chain(numbers).copied()),
            },
        }
    }

    fn matches(&self, condition: &Condition, entry: &Entry<'a>) -> bool {
        match condition {
            Condition::Or(all) => all.iter().any(|c| self.matches(c, entry)),
            Condition::And(all) => all.iter().all(|c| self.matches(c, entry)),
            Condition::Not(inner) => !self.matches(inner, entry),
            Condition::Is { attribute, values } => {
                values.iter().any(|v| entry.text(&attribute.node) == Some(&v.node))
            }
            Condition::Compare { attribute, comparison, number } => {
                entry.number(&attribute.node).is_some_and(|value| {
                    let number = *number as f64;
                    match comparison {
                        Comparison::Equal => value == number,
                        Comparison::AtLeast => value >= number,
                        Comparison::AtMost => value <= number,
                        Comparison::Above => value > number,
                        Comparison::Below => value < number,
                    }
                })
            }
            Condition::In(name) => self.is_in(&name.node, entry),
        }
    }

    /// Whether an entry is in a set or domain.
    fn is_in(&self, name: &str, entry: &Entry<'a>) -> bool {
        let has = |list: &[String], text: &str| list.iter().any(|l| l == text);
        if let Some((_, domain)) = self.domains.get(name) {
            return match entry {
                Entry::Router(_, r) => {
                    has(&domain.branches, &r.domain.branch) || has(&domain.machines, &r.domain.machine)
                }
                Entry::Cache(_, c) => has(&domain.zones, &c.zone),
            };
        }
        let same_kind = |kind: EntryKind| (kind == EntryKind::Routers) == matches!(entry, Entry::Router(..));
        self.sets
            .get(name)
            .is_some_and(|s| same_kind(s.kind) && s.members.binary_search(&entry.index()).is_ok())
    }

    /// Entries of a kind that are in a set or domain, as ascending indexes. Reports a name without any.
    pub fn group(&mut self, name: &Name, kind: EntryKind) -> Vec<usize> {
        let known = self.domains.keys().chain(self.sets.keys()).map(String::as_str);
        let known: Vec<String> = known.map(String::from).collect();
        if !known.contains(&name.node) {
            self.report_unknown(name, "set or domain", known.iter().map(String::as_str));
            return Vec::new();
        }
        let entries = self.entries(kind);
        let members: Vec<usize> =
            entries.iter().filter(|e| self.is_in(&name.node, e)).map(Entry::index).collect();
        let is_empty_set = self.sets.get(&name.node).is_some_and(|s| s.members.is_empty());
        if members.is_empty() && !is_empty_set {
            let kind = kind.singular();
            let message = format!("there is no {kind} in \"{}\"", name.node);
            self.report(DraftDiagnostic::at(name.span, message, format!("no {kind} here")));
        }
        members
    }

    /// Routers with this value of an attribute, as ascending indexes. Reports a value without any.
    pub fn routers_with(&mut self, attribute: &str, name: &Name) -> Vec<usize> {
        let entries = self.entries(EntryKind::Routers);
        self.check_value(attribute, name, &entries);
        entries.iter().filter(|e| e.text(attribute) == Some(&name.node)).map(Entry::index).collect()
    }

    /// Entries of a kind that are in any of the sets and domains, as ascending indexes.
    pub fn groups(&mut self, names: &[Name], kind: EntryKind) -> Vec<usize> {
        let mut all: Vec<usize> = names.iter().flat_map(|n| self.group(n, kind)).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}
