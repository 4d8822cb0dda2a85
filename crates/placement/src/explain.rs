//! Explanations of a table for operators: what it decides, and by which rules.

use crate::table::{CacheSet, Table};
use crate::table_body::RuleOrigin;
use basaltgw_types::{QuorumGroup, Shard};
use std::fmt::Write;

fn describe_rule(origin: Option<&RuleOrigin>) -> String {
    match origin {
        Some(RuleOrigin { file, line, summary }) => format!("{file}:{line}: {summary}"),
        None => "no rule: three copies over machines by the highest random weight".to_string(),
    }
}

/// The constraints on an object, and the rules behind them.
pub fn explain(table: &Table, class: &str, group: u64, object: u64) -> String {
    let version = table.version().0;
    let mut out = format!("class {class}, group {group}, object {object}, by table version {version}:\n");
    let Some(home) = table.home(class, group, object) else {
        out.push_str("  no rule applies: any cache may be chosen\n");
        return out;
    };
    let names = |caches: &CacheSet| {
        let ids: Vec<&str> = caches.iter().filter_map(|c| table.cache_id(c)).map(|c| &**c).collect();
        ids.join(", ")
    };
    for (label, caches) in [("served by", &home.serve), ("kept by", &home.keep), ("filled from", &home.fill)]
    {
        let caches = caches.as_ref().map_or_else(|| "any".to_string(), names);
        let _ = writeln!(out, "  {label} {caches}");
    }
    for (i, caches) in home.prefer.iter().enumerate() {
        let _ = writeln!(out, "  preferred, place {}: {}", i + 1, names(caches));
    }
    if let Some(width) = home.width {
        let _ = writeln!(out, "  width {width}");
    }
    if home.else_any {
        out.push_str("  any other cache while none of these is available\n");
    }
    for origin in table.origins(home) {
        let _ = writeln!(out, "  by {}", describe_rule(Some(origin)));
    }
    out
}

/// The replicas of a shard, most preferred first, and the rule behind them.
pub fn explain_shard(table: &Table, shard: Shard) -> String {
    match table.replicas(shard) {
        Some(group) => {
            let title = format!("shard {}, by table version {}", shard.0, table.version().0);
            explain_group(table, &title, group, table.origin(table.body().holds_rule))
        }
        None => format!("there is no shard {}; shards are 0 to {}\n", shard.0, table.shard_count() - 1),
    }
}

/// The replicas of the table register, and the rule behind them.
pub fn explain_root(table: &Table) -> String {
    let title = format!("root, by table version {}", table.version().0);
    explain_group(table, &title, &table.root(), table.origin(table.body().root_rule))
}

fn explain_group(table: &Table, title: &str, group: &QuorumGroup, origin: Option<&RuleOrigin>) -> String {
    let mut out = format!("{title}: {} of {} needed\n", group.quorum, group.members.len());
    for (i, member) in group.members.iter().enumerate() {
        if let Some((_, domain)) = table.routers().find(|(m, _)| *m == member) {
            let (place, machine, branch) = (i + 1, domain.machine, domain.branch);
            let _ = writeln!(out, "  {place}. {member} on machine {machine}, branch {branch}");
        }
    }
    let _ = writeln!(out, "  by {}", describe_rule(origin));
    out
}
