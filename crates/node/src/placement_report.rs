//! Compiles the placement rules of a configuration for the routers that it lists, and describes the resulting table for operators.

use crate::fleet::start::placement_rules;
use basaltgw_config::fleet::Fleet;
use basaltgw_placement::{compile, explain, explain_root, explain_shard, shard_moves, Diagnostic, Inventory};
use basaltgw_placement::{RouterEntry, Table};
use basaltgw_types::{Domain, Incarnation, Member, QuorumGroup, RouterId, Shard};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The incarnation used for each router, since a configuration doesn't have the real ones and placement doesn't depend on them.
const PLACEHOLDER_INCARNATION: Incarnation = Incarnation(0);

/// An object by class, group and number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectKey {
    /// The name of the request class.
    pub class: String,
    /// The object's group.
    pub group: u64,
    /// The object's number.
    pub object: u64,
}

/// What a report explains in addition to the table.
#[derive(Clone, Debug, Default)]
pub struct ReportQueries {
    /// A shard to explain.
    pub shard: Option<u16>,
    /// An object to explain.
    pub object: Option<ObjectKey>,
}

impl ReportQueries {
    /// Whether there is no query.
    pub fn is_empty(&self) -> bool {
        self.shard.is_none() && self.object.is_none()
    }
}

/// Parses `CLASS:GROUP:OBJECT`.
///
/// # Errors
/// If the text has another form.
pub fn parse_key(text: &str) -> Result<ObjectKey, String> {
    let mut fields = text.rsplitn(3, ':');
    let (object, group, class) = (fields.next(), fields.next(), fields.next());
    let number = |field: Option<&str>| field.and_then(|text| text.parse().ok());
    match (class, number(group), number(object)) {
        (Some(class), Some(group), Some(object)) if !class.is_empty() => {
            Ok(ObjectKey { class: class.to_string(), group, object })
        }
        _ => Err(format!(
            "--key: expected CLASS:GROUP:OBJECT with numbers for group and object, found {text:?}"
        )),
    }
}

/// Compiles the placement rules of a section `fleet` for the routers that it lists; `before` is the table in use, if there is one.
///
/// # Errors
/// All faults of the rules.
pub fn table(fleet: &Fleet, before: Option<&Table>) -> Result<Table, Vec<Diagnostic>> {
    let entry = |router: &RouterId, domain: &Domain| RouterEntry {
        member: Member { router: router.clone(), incarnation: PLACEHOLDER_INCARNATION },
        domain: domain.clone(),
        capacity: fleet.limits.max_registers as u64,
        accepts_replicas: true,
    };
    let own = std::iter::once(entry(&fleet.name, &fleet.domain));
    let mut routers: Vec<_> = own.chain(fleet.peers.iter().map(|p| entry(&p.name, &p.domain))).collect();
    routers.sort_by(|a, b| a.member.cmp(&b.member));
    compile(&placement_rules(fleet), &Inventory { routers, ..Inventory::default() }, before)
}

/// Describes faults, each with an excerpt of the rules.
pub fn faults(fleet: &Fleet, faults: &[Diagnostic]) -> String {
    let files = placement_rules(fleet);
    // Each fault has its position in text form before the excerpt, so that programs can parse it.
    let render = |f: &Diagnostic| format!("{f}\n{}", f.render(&files, false));
    faults.iter().map(render).collect::<Vec<_>>().join("\n")
}

/// One line that summarizes a table.
pub fn summary(fleet: &Fleet, table: &Table) -> String {
    let copies = table.replicas(Shard(0)).map_or(0, |g| g.members.len());
    let (version, routers) = (table.version().0, fleet.peers.len() + 1);
    let shards = table.shard_count();
    format!("fleet {}: table version {version}, {shards} shards, {copies} copies, {routers} routers, no fault found", fleet.cluster)
}

/// Describes a table: each router's shards, the replicas of the root, the shards that move from the old table, and the answers to the
/// queries.
pub fn report(fleet: &Fleet, table: &Table, old: Option<&Table>, queries: &ReportQueries) -> String {
    let mut text = summary(fleet, table);
    let mut shards_of: BTreeMap<&Member, Vec<String>> =
        table.routers().map(|(m, _)| (m, Vec::new())).collect();
    for shard in (0..=u16::MAX).map(Shard).take(table.shard_count()) {
        for member in table.replicas(shard).iter().flat_map(|g: &&QuorumGroup| &g.members) {
            shards_of.entry(member).or_default().push(shard.0.to_string());
        }
    }
    for (member, shards) in shards_of {
        let _ = write!(text, "\n{member}: {} shards: {}", shards.len(), shards.join(" "));
    }
    text.push('\n');
    text.push_str(&explain_root(table));
    if let Some(old) = old {
        let _ = write!(text, "{}", shard_moves(old, table));
    }
    if let Some(shard) = queries.shard {
        text.push_str(&explain_shard(table, Shard(shard)));
    }
    if let Some(key) = &queries.object {
        text.push_str(&explain(table, &key.class, key.group, key.object));
    }
    // The placeholder incarnation is not shown.
    text.replace(&format!("/{PLACEHOLDER_INCARNATION}"), "")
}
