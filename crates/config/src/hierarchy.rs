//! The section `hierarchy` of the settings file: the plan of the cache tree and the settings of topology changes. Also converts the source
//! table of a tree to the fill plan of the decision module.

use crate::yaml::{Document, YamlError};
use basaltgw::api::{FillPlan, ServerId, SourceShare};
use basaltgw_hierarchy::{
    NodeId, NodeSpec, PermittedSource, Plan, PlanSpec, Settings, SlowStart, SourceTable, Tier, Version,
};
use serde::Deserialize;
use std::sync::Arc;

/// The settings of the cache tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Hierarchy {
    /// The plan. It is valid in itself, but its nodes are not checked against the endpoint list.
    pub plan: PlanSpec,
    /// The settings of topology changes.
    pub settings: Settings,
}

/// The section `hierarchy` as the file has it.
#[derive(Deserialize)]
pub(crate) struct HierarchyFile {
    plan: PlanFile,
    #[serde(default)]
    reshape: ReshapeFile,
}

/// The key `plan`.
#[derive(Deserialize)]
struct PlanFile {
    version: u64,
    nodes: Vec<NodeFile>,
}

/// An entry of `plan.nodes`.
#[derive(Deserialize)]
struct NodeFile {
    id: String,
    tier: u8,
    #[serde(default)]
    location: String,
    weight: Option<f64>,
    demand: Option<f64>,
    capacity: Option<f64>,
    #[serde(default)]
    sources: Vec<String>,
}

/// The key `reshape`: the settings of topology changes.
#[derive(Default, Deserialize)]
struct ReshapeFile {
    behind: Option<usize>,
    proofs: Option<u32>,
    setbacks: Option<u32>,
    rest_ms: Option<f64>,
    idle_ms: Option<f64>,
    quiet_ms: Option<f64>,
    loops: Option<u32>,
}

/// Checks what the schema can't express, and applies the defaults.
///
/// # Errors
/// The first invalid key.
pub(crate) fn parse_hierarchy(
    document: &Document,
    file: HierarchyFile,
    slow_start: SlowStart,
) -> Result<Hierarchy, YamlError> {
    let settings = change_settings(&file.reshape, slow_start);
    if let Some((key, expected)) = settings.out_of_bounds() {
        let pointer = format!("/hierarchy/reshape/{key}");
        return Err(document.error_at(&pointer, format!("expected {expected}")));
    }
    let nodes = file.plan.nodes.into_iter().map(node_spec).collect();
    let plan = PlanSpec { version: Version(file.plan.version), nodes };
    if let Err(error) = Plan::from_spec(plan.clone()) {
        let index = error.node().and_then(|id| plan.nodes.iter().position(|n| n.id == *id));
        let pointer = index.map(|i| format!("/hierarchy/plan/nodes/{i}"));
        let pointer = pointer.unwrap_or_else(|| "/hierarchy/plan".to_string());
        return Err(document.error_at(&pointer, error.to_string()));
    }
    Ok(Hierarchy { plan, settings })
}

fn change_settings(file: &ReshapeFile, slow_start: SlowStart) -> Settings {
    let default = Settings::default();
    Settings {
        max_versions_behind: file.behind.unwrap_or(default.max_versions_behind),
        successes_per_step: file.proofs.unwrap_or(default.successes_per_step),
        failures_to_step_back: file.setbacks.unwrap_or(default.failures_to_step_back),
        step_back_pause: file.rest_ms.unwrap_or(default.step_back_pause),
        idle_step_duration: file.idle_ms.unwrap_or(default.idle_step_duration),
        quiet_period: file.quiet_ms.unwrap_or(default.quiet_period),
        loops_to_disable_pair: file.loops.unwrap_or(default.loops_to_disable_pair),
        slow_start,
        ..default
    }
}

fn node_spec(file: NodeFile) -> NodeSpec {
    NodeSpec {
        id: NodeId::new(&file.id),
        tier: Tier(file.tier),
        location: file.location,
        weight: file.weight.unwrap_or(1.0),
        demand: file.demand.unwrap_or(0.0),
        capacity: file.capacity.unwrap_or(f64::INFINITY),
        sources: file.sources.iter().map(|source| NodeId::new(source)).collect(),
    }
}

/// Converts a tree's source table to the fill plan of the decision module.
pub fn fill_plan(tree: &SourceTable) -> FillPlan {
    // Nodes that share a list of sources in the tree share one in the fill plan too: the converted lists, by the address of the tree's
    // list.
    let mut converted: Vec<(*const Vec<PermittedSource>, Arc<Vec<SourceShare>>)> = Vec::new();
    let mut requesters: Vec<_> = tree.sources.iter().collect();
    requesters.sort_unstable_by(|a, b| a.0.cmp(b.0));
    let mut plan = FillPlan::default();
    for (requester, sources) in requesters {
        let list = Arc::as_ptr(sources);
        let existing = converted.iter().find(|(address, _)| *address == list);
        let shares = existing.map(|(_, shares)| Arc::clone(shares)).unwrap_or_else(|| {
            let shares = Arc::new(sources.iter().map(source_share).collect::<Vec<_>>());
            converted.push((list, Arc::clone(&shares)));
            shares
        });
        plan.sources.insert(server_id(requester), shares);
    }
    plan.origin_allowed = tree.origin_allowed.iter().map(server_id).collect();
    plan
}

fn source_share(source: &PermittedSource) -> SourceShare {
    SourceShare { id: server_id(&source.id), weight: source.weight, share: source.share }
}

fn server_id(node: &NodeId) -> ServerId {
    ServerId(Arc::clone(&node.0))
}
