//! Why the table says what it says, for people.

use crate::body::Origin;
use crate::table::{Allowed, Table};
use basaltgw_types::{QuorumGroup, Shard};
use std::fmt::Write;

fn rule(origin: Option<&Origin>) -> String {
    match origin {
        Some(Origin { file, line, what }) => format!("{file}:{line}: {what}"),
        None => "no rule: three copies over machines by the highest random weight".to_string(),
    }
}

/// What rules leave for an object, and which rules they are.
pub fn explain(table: &Table, class: &str, group: u64, object: u64) -> String {
    let mut out =
        format!("class {class}, group {group}, object {object}, by table version {}:\n", table.version().0);
    let Some(bounds) = table.home(class, group, object) else {
        out.push_str("  no rule is about it: the choice is free\n");
        return out;
    };
    let names = |allowed: &Allowed| {
        let ids: Vec<&str> = allowed.iter().filter_map(|c| table.cache_id(c)).map(|c| &**c).collect();
        ids.join(", ")
    };
    for (what, allowed) in
        [("served by", &bounds.serve), ("kept by", &bounds.keep), ("filled from", &bounds.fill)]
    {
        let who = allowed.as_ref().map_or_else(|| "any".to_string(), names);
        let _ = writeln!(out, "  {what} {who}");
    }
    for (i, allowed) in bounds.prefer.iter().enumerate() {
        let _ = writeln!(out, "  preferred, place {}: {}", i + 1, names(allowed));
    }
    if let Some(width) = bounds.width {
        let _ = writeln!(out, "  width {width}");
    }
    if bounds.else_any {
        out.push_str("  any other when none of these is there\n");
    }
    for origin in table.origins(bounds) {
        let _ = writeln!(out, "  by {}", rule(Some(origin)));
    }
    out
}

/// Who keeps a shard, in which order, and by which rule.
pub fn explain_shard(table: &Table, shard: Shard) -> String {
    match table.keepers(shard) {
        Some(group) => {
            let title = format!("shard {}, by table version {}", shard.0, table.version().0);
            explain_group(table, &title, group, table.origin(table.body().holds))
        }
        None => format!("there is no shard {}; shards are 0 to {}\n", shard.0, table.shards() - 1),
    }
}

/// Who keeps the register of the table, and by which rule.
pub fn explain_root(table: &Table) -> String {
    let title = format!("root, by table version {}", table.version().0);
    explain_group(table, &title, &table.root(), table.origin(table.body().root_rule))
}

fn explain_group(table: &Table, title: &str, group: &QuorumGroup, origin: Option<&Origin>) -> String {
    let mut out = format!("{title}: {} of {} needed\n", group.quorum, group.members.len());
    for (i, member) in group.members.iter().enumerate() {
        if let Some((_, domain)) = table.routers().find(|(m, _)| *m == member) {
            let _ = writeln!(
                out,
                "  {}. {member} on machine {}, branch {}",
                i + 1,
                domain.machine,
                domain.branch
            );
        }
    }
    let _ = writeln!(out, "  by {}", rule(origin));
    out
}
