//! The command `plan`: shows the plans of a settings file, and the steps to them from another file.

use basaltgw_config::fleet::Fleet;
use basaltgw_config::{read_settings_file, RouterSettings};
use basaltgw_hierarchy::{split_into_steps, NodeSpec, Plan, Settings, Tier};
use basaltgw_node::placement_report::{self, ReportQueries};
use basaltgw_placement::Table;
use std::path::Path;

/// The tiers that a listing of a cache tree shows.
const TIERS: std::ops::RangeInclusive<u8> = 0..=8;
/// The most nodes of a tier that are listed by name.
const MAX_LISTED_NODES: usize = 8;

/// The plans of a settings file, after their checks.
struct PlannedSettings {
    tree: Option<Plan>,
    fleet: Option<Fleet>,
}

impl PlannedSettings {
    fn read(file: &Path) -> Result<Self, String> {
        let RouterSettings { hierarchy, fleet, .. } =
            read_settings_file(file, Settings::default().slow_start).map_err(|e| e.to_string())?;
        let tree = hierarchy.map(|h| Plan::from_spec(h.plan).map_err(|e| format!("{}: {e}", file.display())));
        Ok(Self { tree: tree.transpose()?, fleet })
    }
}

/// Compiles the placement rules of a fleet, given the table that is in use.
pub(crate) fn compile_table(fleet: &Fleet, before: Option<&Table>) -> Result<Table, String> {
    placement_report::table(fleet, before)
        .map_err(|faults| format!("fleet {}:\n{}", fleet.cluster, placement_report::faults(fleet, &faults)))
}

/// Prints the plans of a file, the steps from another file, and the answers to the queries.
pub(crate) fn show(file: &Path, from: Option<&Path>, queries: &ReportQueries) -> Result<(), String> {
    let new = PlannedSettings::read(file)?;
    let old = from.map(PlannedSettings::read).transpose()?;
    check_sections((file, &new), from.zip(old.as_ref()), queries)?;
    if let Some(tree) = &new.tree {
        show_tree(tree, old.as_ref().and_then(|old| old.tree.as_ref()))?;
    }
    if let Some(fleet) = &new.fleet {
        let old_fleet = old.as_ref().and_then(|old| old.fleet.as_ref());
        let before = old_fleet.map(|fleet| compile_table(fleet, None)).transpose()?;
        let table = compile_table(fleet, before.as_ref())?;
        print!("{}", placement_report::report(fleet, &table, before.as_ref(), queries));
    }
    Ok(())
}

/// Checks that the files have the sections that the arguments require.
fn check_sections(
    (file, new): (&Path, &PlannedSettings),
    from: Option<(&Path, &PlannedSettings)>,
    queries: &ReportQueries,
) -> Result<(), String> {
    let expected = |file: &Path, what: &str| Err(format!("{}: expected {what}", file.display()));
    if new.tree.is_none() && new.fleet.is_none() {
        return expected(file, "a section hierarchy with a plan, or a section fleet");
    }
    if new.fleet.is_none() && !queries.is_empty() {
        return expected(file, "a section fleet, for --shard and --key");
    }
    if let Some((from, old)) = from {
        let comparable =
            new.tree.is_some() && old.tree.is_some() || new.fleet.is_some() && old.fleet.is_some();
        if !comparable {
            return expected(from, &format!("a section hierarchy or fleet as in {}", file.display()));
        }
    }
    Ok(())
}

/// Prints a plan of the cache tree tier by tier, and the steps to it.
fn show_tree(plan: &Plan, old: Option<&Plan>) -> Result<(), String> {
    println!("plan {}: {} nodes, no fault found", plan.version(), plan.nodes().len());
    for tier in TIERS {
        let nodes: Vec<_> = plan.nodes().iter().filter(|n| n.tier == Tier(tier)).collect();
        if !nodes.is_empty() {
            let listed: Vec<&str> = nodes.iter().take(MAX_LISTED_NODES).map(|n| &*n.id.0).collect();
            let more = if nodes.len() > listed.len() { ", …" } else { "" };
            println!("tier {tier}: {} nodes: {}{more}", nodes.len(), listed.join(", "));
        }
    }
    match old {
        Some(old) => show_steps(plan, old),
        None => Ok(()),
    }
}

/// Prints the steps from one plan of the cache tree to another.
fn show_steps(plan: &Plan, old: &Plan) -> Result<(), String> {
    let steps =
        split_into_steps(old, plan, Settings::default().max_versions_behind).map_err(|e| e.to_string())?;
    println!("from plan {}: {} steps", old.version(), steps.len());
    let mut before = old;
    for (i, step) in steps.iter().enumerate() {
        let changed = |n: &&NodeSpec| before.node(&n.id).is_none_or(|o| o.sources != n.sources);
        let names: Vec<&str> = step.nodes().iter().filter(changed).map(|n| &*n.id.0).collect();
        let removed = before.nodes().iter().filter(|n| step.node(&n.id).is_none());
        let removed: Vec<&str> = removed.map(|n| &*n.id.0).collect();
        println!("step {}: new sources for [{}], leaves [{}]", i + 1, names.join(", "), removed.join(", "));
        before = step;
    }
    Ok(())
}
