//! Compiles rules for an inventory and the previous table to the next table.

use crate::assignment::{assign_replicas, score, ReplicaCounts};
use crate::ast::Rule;
use crate::diagnostic::{line_and_column, Diagnostic, DraftDiagnostic, SourceSpan};
use crate::gather_rules::gather_rules;
use crate::home_rules::homes;
use crate::parser::parse;
use crate::replica_constraints::{exclusions, Exclusion};
use crate::replica_rules::{replica_policy, ReplicaPolicy};
use crate::resolver::Resolver;
use crate::table::Table;
use crate::table_body::{RuleOrigin, TableBody, TableRouter, MAX_TABLE_BYTES};
use crate::{Inventory, RouterEntry};
use basaltgw_types::Member;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Largest size of all files together, in bytes.
pub const MAX_RULES_BYTES: usize = 256 * 1024;
/// Largest number of files.
pub const MAX_RULE_FILES: usize = 16;
/// Largest number of rules in all files.
pub const MAX_RULES: usize = 1024;
/// Largest number of routers in an inventory.
pub const MAX_ROUTERS: usize = 4096;
/// Largest number of caches in an inventory: their indexes in a table have 16 bits, of which this needs 14.
pub const MAX_CACHES: usize = 16_384;
/// Largest number of routers that bootstrap a fleet, since each of them must agree.
pub const MAX_BOOTSTRAP_ROUTERS: usize = 64;
/// Largest number of diagnostics of a compilation: more are no help, and each costs a search through its file.
const MAX_DIAGNOSTICS: usize = 100;
/// Shards of a fleet whose first rules name no number: each of 30 routers stores about 26 copies, and 1/256 of the registers moves at a time.
const DEFAULT_SHARDS: usize = 256;

/// The inventory in the order of names, so that the caller's order does not matter.
fn checked_inventory(inventory: &Inventory) -> Result<Inventory, Vec<DraftDiagnostic>> {
    let mut diagnostics = Vec::new();
    let mut report = |message: String| diagnostics.push(DraftDiagnostic::of_inventory(message));
    let mut inventory = inventory.clone();
    inventory.routers.sort_by(|a, b| a.member.cmp(&b.member));
    inventory.caches.sort_by(|a, b| a.id.cmp(&b.id));
    for (kind, n, max) in
        [("routers", inventory.routers.len(), MAX_ROUTERS), ("caches", inventory.caches.len(), MAX_CACHES)]
    {
        if n > max {
            report(format!("{n} {kind}; expected at most {max}"));
        }
    }
    for pair in inventory.routers.windows(2).filter(|w| w[0].member.router == w[1].member.router) {
        let name = &pair[0].member.router;
        report(format!("router \"{name}\" is listed twice; expected one incarnation of each router"));
    }
    for pair in inventory.caches.windows(2).filter(|w| w[0].id == w[1].id) {
        report(format!("cache \"{}\" is listed twice", pair[0].id));
    }
    for router in &inventory.routers {
        let RouterEntry { member, domain, .. } = router;
        for name in [&member.router.0, &domain.branch, &domain.machine] {
            if let Err(error) = basaltgw_types::parse_name(name) {
                report(format!("router \"{}\": {error}", member.router));
            }
        }
    }
    for cache in inventory.caches.iter().filter(|c| !c.weight.is_finite()) {
        report(format!("cache \"{}\": a weight of {}; expected a finite number", cache.id, cache.weight));
    }
    match diagnostics.is_empty() {
        true => Ok(inventory),
        false => Err(diagnostics),
    }
}

/// Parses the rules of all files.
fn parse_files(files: &[(String, String)]) -> Result<Vec<Rule>, Vec<DraftDiagnostic>> {
    let bytes: usize = files.iter().map(|f| f.1.len()).sum();
    if files.len() > MAX_RULE_FILES || bytes > MAX_RULES_BYTES {
        let message = format!(
            "rules of {bytes} bytes in {} files; expected at most {MAX_RULES_BYTES} bytes in {MAX_RULE_FILES} files",
            files.len()
        );
        return Err(vec![DraftDiagnostic::of_all_rules(message)]);
    }
    let (mut rules, mut diagnostics) = (Vec::new(), Vec::new());
    for (i, (_, text)) in files.iter().enumerate() {
        let (parsed, errors) = parse(i, text);
        rules.extend(parsed);
        diagnostics.extend(errors);
    }
    if rules.len() > MAX_RULES {
        let message = format!("{} rules; expected at most {MAX_RULES}", rules.len());
        diagnostics.push(DraftDiagnostic::of_all_rules(message));
    }
    match diagnostics.is_empty() {
        true => Ok(rules),
        false => Err(diagnostics),
    }
}

/// Rules that a table refers to, numbered in the order of their first use.
struct Origins<'a> {
    files: &'a [(String, String)],
    all: Vec<(SourceSpan, RuleOrigin)>,
}

impl Origins<'_> {
    fn number(&mut self, span: SourceSpan) -> u16 {
        if let Some(known) = self.all.iter().position(|(s, _)| *s == span) {
            return known as u16;
        }
        let (file, text) = self.files.get(span.file).map_or(("", ""), |(f, t)| (f, t));
        /// Enough to recognise a rule.
        const MAX_SUMMARY_CHARS: usize = 60;
        let line = text.get(span.start..).and_then(|t| t.lines().next()).unwrap_or_default();
        let header = line.split('{').next().unwrap_or_default().trim();
        let summary: String = header.chars().take(MAX_SUMMARY_CHARS).collect();
        let line = line_and_column(text, span.start).0 as u32;
        self.all.push((span, RuleOrigin { file: Arc::from(file), line, summary: Arc::from(summary) }));
        (self.all.len() - 1) as u16
    }
}

/// Whether routers of larger capacity get more shards.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Weighting {
    ByCapacity,
    Equal,
}

/// The replicas of `shards` by a policy, most preferred first, as indexes in the inventory.
fn assign(
    policy: &ReplicaPolicy,
    exclusions: &[Exclusion],
    shards: usize,
    weighting: Weighting,
    previous: &[Vec<Member>],
    resolver: &mut Resolver<'_>,
) -> Option<Vec<Vec<usize>>> {
    let (indexes, mut candidates) = policy.candidates(exclusions, resolver);
    if weighting == Weighting::Equal {
        candidates.iter_mut().for_each(|c| c.weight = 1);
    }
    let routers = &resolver.inventory.routers;
    let candidate_of: BTreeMap<&Member, usize> =
        indexes.iter().enumerate().map(|(i, r)| (&routers[*r].member, i)).collect();
    let still_candidates =
        |members: &Vec<Member>| members.iter().filter_map(|m| candidate_of.get(m).copied()).collect();
    let previous: Vec<Vec<usize>> = previous.iter().map(still_candidates).collect();
    let counts = ReplicaCounts { shards, copies: policy.copies, max_per_domain: policy.max_per_domain };
    let Some(mut assigned) = assign_replicas(&candidates, counts, &previous) else {
        let message = format!("{}: no assignment of shards to routers was found", policy.keyword);
        resolver.report(DraftDiagnostic::of_inventory(message));
        return None;
    };
    if weighting == Weighting::ByCapacity {
        check_load(policy, &indexes, &assigned, resolver);
    }
    let preference = |c: usize| {
        let preferred = policy.prefer.iter().position(|set| set.binary_search(&indexes[c]).is_ok());
        preferred.unwrap_or(policy.prefer.len())
    };
    for (shard, replicas) in assigned.iter_mut().enumerate() {
        replicas.sort_by_key(|c| (preference(*c), Reverse(score(shard, candidates[*c].name_hash))));
    }
    Some(assigned.into_iter().map(|replicas| replicas.into_iter().map(|c| indexes[c]).collect()).collect())
}

/// Reports a router whose shards exceed its capacity. `indexes` are those of the candidates in the inventory.
fn check_load(
    policy: &ReplicaPolicy,
    indexes: &[usize],
    assigned: &[Vec<usize>],
    resolver: &mut Resolver<'_>,
) {
    let Some(room) = &policy.room else { return };
    let routers = &resolver.inventory.routers;
    let mut load = vec![0u64; indexes.len()];
    assigned.iter().flatten().for_each(|c| load[*c] += 1);
    // Shards are whole: a router's last shard may exceed its capacity in part, and a router with one shard always fits.
    let is_overloaded = |c: &usize| {
        load[*c].saturating_sub(1).saturating_mul(room.node) >= routers[indexes[*c]].capacity.max(1)
    };
    if let Some(overloaded) = (0..load.len()).find(is_overloaded) {
        let RouterEntry { member, capacity, .. } = &routers[indexes[overloaded]];
        let message = format!(
            "{}: insufficient capacity: router \"{}\" would store {} shards of {} registers, and has capacity for {capacity}",
            policy.keyword, member.router, load[overloaded], room.node
        );
        resolver.report(DraftDiagnostic::at(room.span, message, "registers per shard"));
    }
}

/// Reports a number of shards that differs from that of the previous table.
fn check_shard_count(policy: &ReplicaPolicy, previous: Option<&Table>, resolver: &mut Resolver<'_>) {
    if let (Some(shards), Some(current)) = (&policy.shards, previous.map(Table::shard_count)) {
        if shards.node != current {
            let message = format!(
                "{} shards; expected {current} as in the first table, by which registers are mapped to shards",
                shards.node
            );
            resolver.report(DraftDiagnostic::at(shards.span, message, "can't be changed"));
        }
    }
}

fn check_bootstrap_size(inventory: &Inventory, previous: Option<&Table>, resolver: &mut Resolver<'_>) {
    let n = inventory.routers.len();
    if previous.is_none() && n > MAX_BOOTSTRAP_ROUTERS {
        let message = format!(
            "{n} routers for the bootstrap of a fleet; expected at most {MAX_BOOTSTRAP_ROUTERS}: the others can join afterwards"
        );
        resolver.report(DraftDiagnostic::of_inventory(message));
    }
}

/// Replicas as indexes in the inventory.
struct AssignedReplicas {
    shards: Vec<Vec<usize>>,
    root: Vec<usize>,
}

/// Assigns the shards and the root, unless the rules permit no assignment.
fn assign_all(
    holds: &ReplicaPolicy,
    root: &ReplicaPolicy,
    exclusions: &[Exclusion],
    shards: usize,
    previous: Option<&Table>,
    resolver: &mut Resolver<'_>,
) -> Option<AssignedReplicas> {
    let holds_satisfiable = holds.check_satisfiable(exclusions, resolver);
    root.check_satisfiable(exclusions, resolver);
    if holds_satisfiable {
        let routers = holds.candidates(exclusions, resolver).0;
        holds.check_capacity(shards, &routers, resolver);
    }
    if !resolver.diagnostics.is_empty() {
        return None;
    }
    let groups = |t: &Table| -> Vec<Vec<Member>> {
        t.map(0).shards.into_iter().flat_map(|s| s.groups).map(|g| g.members).collect()
    };
    let old_shards = previous.map(groups).unwrap_or_default();
    let old_root: Vec<Vec<Member>> = previous.map(|t| t.root().members).into_iter().collect();
    let assigned = assign(holds, exclusions, shards, Weighting::ByCapacity, &old_shards, resolver);
    let assigned_root = assign(root, exclusions, 1, Weighting::Equal, &old_root, resolver);
    match (assigned, assigned_root, resolver.diagnostics.is_empty()) {
        (Some(shards), Some(root), true) => {
            Some(AssignedReplicas { shards, root: root.into_iter().flatten().collect() })
        }
        _ => None,
    }
}

/// Compiles parsed rules.
fn build(
    files: &[(String, String)],
    rules: &[Rule],
    inventory: &Inventory,
    previous: Option<&Table>,
) -> Result<Table, Vec<DraftDiagnostic>> {
    let mut resolver = Resolver::new(inventory);
    let mut origins = Origins { files, all: Vec::new() };
    resolver.define_names(rules);
    let holds = replica_policy("holds", rules, &mut resolver);
    let root = replica_policy("root", rules, &mut resolver);
    let exclusions = exclusions(rules, &mut resolver);
    let homes = homes(rules, &mut resolver, |span| origins.number(span));
    let gather_rules = gather_rules(rules, &mut resolver);
    let configured = holds.shards.as_ref().map(|s| s.node);
    let shards = configured.or(previous.map(Table::shard_count)).unwrap_or(DEFAULT_SHARDS);
    check_shard_count(&holds, previous, &mut resolver);
    check_bootstrap_size(inventory, previous, &mut resolver);
    // Rules with unresolved names would only cause further diagnostics below.
    if !resolver.diagnostics.is_empty() {
        return Err(resolver.diagnostics);
    }
    let assigned = assign_all(&holds, &root, &exclusions, shards, previous, &mut resolver);
    let Some(assigned) = assigned else { return Err(resolver.diagnostics) };
    // A fleet is bootstrapped only if all routers of its first table agree.
    let founders: Vec<usize> = match previous {
        None => (0..inventory.routers.len()).collect(),
        Some(_) => Vec::new(),
    };
    let used = assigned.shards.iter().flatten().chain(&assigned.root).chain(&founders);
    let routers = TableRouters::new(inventory, used);
    let body = TableBody {
        version: previous.map_or(1, |t| t.version().0 + 1),
        predecessor: previous.map_or([0; 32], |t| t.hash().0),
        copies: holds.copies as u8,
        shards_per_step: holds.shards_per_step,
        holds_rule: holds.span.map(|span| origins.number(span)),
        root_rule: root.span.map(|span| origins.number(span)),
        root: routers.indexes(&assigned.root),
        founders: routers.indexes(&founders),
        replicas: routers.indexes(&assigned.shards.concat()),
        domain_names: routers.domain_names,
        routers: routers.entries,
        origins: origins.all.into_iter().map(|(_, origin)| origin).collect(),
        caches: homes.caches,
        homes: homes.homes,
        classes: homes.classes,
        groups: homes.groups,
        pins: homes.pins,
        cells: homes.cells,
        gather_rules,
    };
    Table::new(body).map_err(|error| {
        let draft = DraftDiagnostic::of_all_rules(format!("the compiled table is invalid: {error}"));
        let help = format!("use fewer shards or name fewer caches to fit {MAX_TABLE_BYTES} bytes");
        vec![draft.with_help(help)]
    })
}

/// Routers that a table names.
struct TableRouters {
    domain_names: Vec<Arc<str>>,
    entries: Vec<TableRouter>,
    /// From the index in the inventory to the index in the table.
    index_of: BTreeMap<usize, u16>,
}

impl TableRouters {
    fn new<'a>(inventory: &Inventory, used: impl Iterator<Item = &'a usize>) -> Self {
        let mut used: Vec<usize> = used.copied().collect();
        used.sort_unstable();
        used.dedup();
        let entry = |u: &usize| &inventory.routers[*u];
        let names = |e: &RouterEntry| [e.domain.branch.clone(), e.domain.machine.clone()];
        let mut domain_names: Vec<Arc<str>> = used.iter().map(entry).flat_map(names).collect();
        domain_names.sort();
        domain_names.dedup();
        let name_index = |n: &Arc<str>| domain_names.binary_search(n).unwrap_or_default() as u16;
        let table_router = |e: &RouterEntry| TableRouter {
            name: e.member.router.0.clone(),
            incarnation: e.member.incarnation.0.to_le_bytes(),
            branch: name_index(&e.domain.branch),
            machine: name_index(&e.domain.machine),
        };
        let entries = used.iter().map(entry).map(table_router).collect();
        let index_of = used.iter().enumerate().map(|(i, u)| (*u, i as u16)).collect();
        Self { domain_names, entries, index_of }
    }

    fn indexes(&self, routers: &[usize]) -> Vec<u16> {
        routers.iter().filter_map(|r| self.index_of.get(r).copied()).collect()
    }
}

/// Compiles rules, given as file names and texts, for an inventory. As many replicas as possible stay as in the previous table. The same input gives
/// the same bytes on every machine, in whatever order the inventory is.
///
/// # Errors
/// All errors of the first step that has any: tokens and grammar, names and clauses, then rules that can't be satisfied.
pub fn compile(
    files: &[(String, String)],
    inventory: &Inventory,
    previous: Option<&Table>,
) -> Result<Table, Vec<Diagnostic>> {
    let compile_drafts = || {
        let inventory = checked_inventory(inventory)?;
        let rules = parse_files(files)?;
        build(files, &rules, &inventory, previous)
    };
    compile_drafts().map_err(|mut drafts: Vec<DraftDiagnostic>| {
        drafts.sort_by_key(|d| d.labels.first().map(|l| l.0));
        let omitted = drafts.len().saturating_sub(MAX_DIAGNOSTICS);
        drafts.truncate(MAX_DIAGNOSTICS);
        if omitted > 0 {
            let message = format!("{omitted} more errors are not shown");
            drafts.push(DraftDiagnostic::of_all_rules(message));
        }
        let mut diagnostics: Vec<Diagnostic> = drafts.into_iter().map(|d| d.locate(files)).collect();
        diagnostics.dedup();
        diagnostics
    })
}
