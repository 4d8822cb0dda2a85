//! The rules of a fleet before they come into service: compiled for the routers that a configuration lists, and shown to people.

use crate::fleet::start::rules;
use basaltgw_config::fleet::Fleet;
use basaltgw_placement::{compile, explain, explain_root, explain_shard, moves, Fault, Inventory};
use basaltgw_placement::{RouterEntry, Table};
use basaltgw_types::{Domain, Incarnation, Member, QuorumGroup, RouterId, Shard};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The life of every folder: a file does not say it, and which shards a router keeps does not depend on it.
const UNKNOWN: Incarnation = Incarnation(0);

/// What is asked about a fleet's table.
#[derive(Clone, Debug, Default)]
pub struct Questions {
    /// A shard to explain.
    pub shard: Option<u16>,
    /// An object to explain, by class, group and object.
    pub key: Option<(String, u64, u64)>,
}

impl Questions {
    /// Nothing is asked.
    pub fn none(&self) -> bool {
        self.shard.is_none() && self.key.is_none()
    }
}

/// Reads `CLASS:GROUP:OBJECT`.
///
/// # Errors
/// If it is spelled otherwise.
pub fn key(text: &str) -> Result<(String, u64, u64), String> {
    let mut words = text.rsplitn(3, ':');
    let (object, group, class) = (words.next(), words.next(), words.next());
    let number = |word: Option<&str>| word.and_then(|w| w.parse().ok());
    match (class, number(group), number(object)) {
        (Some(class), Some(group), Some(object)) if !class.is_empty() => {
            Ok((class.to_string(), group, object))
        }
        _ => Err(format!(
            "--key: expected CLASS:GROUP:OBJECT with numbers for group and object, found {text:?}"
        )),
    }
}

/// Compiles the rules of a section for all routers that it lists, after a table that holds.
///
/// # Errors
/// All faults of the rules.
pub fn table(set: &Fleet, before: Option<&Table>) -> Result<Table, Vec<Fault>> {
    let entry = |router: &RouterId, domain: &Domain| RouterEntry {
        member: Member { router: router.clone(), incarnation: UNKNOWN },
        domain: domain.clone(),
        capacity: set.limits.holds as u64,
        stays: true,
    };
    let own = std::iter::once(entry(&set.name, &set.domain));
    let mut routers: Vec<_> = own.chain(set.peers.iter().map(|p| entry(&p.name, &p.domain))).collect();
    routers.sort_by(|a, b| a.member.cmp(&b.member));
    compile(&rules(set), &Inventory { routers, ..Inventory::default() }, before)
}

/// Faults with the lines that they concern.
pub fn faults(set: &Fleet, faults: &[Fault]) -> String {
    let files = rules(set);
    // A place is written out besides the excerpt, to be found by programs too.
    let one = |f: &Fault| format!("{f}\n{}", f.render(&files, false));
    faults.iter().map(one).collect::<Vec<_>>().join("\n")
}

/// One line on a table.
pub fn title(set: &Fleet, table: &Table) -> String {
    let copies = table.keepers(Shard(0)).map_or(0, |g| g.members.len());
    let (version, routers) = (table.version().0, set.peers.len() + 1);
    let shards = table.shards();
    format!("fleet {}: table version {version}, {shards} shards, {copies} copies, {routers} routers, no fault found", set.cluster)
}

/// A table as people read it: each router's shards, the root, what moves from an older one, and what was asked about.
pub fn show(set: &Fleet, table: &Table, old: Option<&Table>, asked: &Questions) -> String {
    let mut text = title(set, table);
    let mut kept: BTreeMap<&Member, Vec<String>> = table.routers().map(|(m, _)| (m, Vec::new())).collect();
    for shard in (0..=u16::MAX).map(Shard).take(table.shards()) {
        for member in table.keepers(shard).iter().flat_map(|g: &&QuorumGroup| &g.members) {
            kept.entry(member).or_default().push(shard.0.to_string());
        }
    }
    for (member, shards) in kept {
        let _ = write!(text, "\n{member}: {} shards: {}", shards.len(), shards.join(" "));
    }
    text.push('\n');
    text.push_str(&explain_root(table));
    if let Some(old) = old {
        let _ = write!(text, "{}", moves(old, table));
    }
    if let Some(shard) = asked.shard {
        text.push_str(&explain_shard(table, Shard(shard)));
    }
    if let Some((class, group, object)) = &asked.key {
        text.push_str(&explain(table, class, *group, *object));
    }
    // The life that stands for all of them tells nobody anything.
    text.replace(&format!("/{UNKNOWN}"), "")
}
