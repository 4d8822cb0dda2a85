//! The project's own settings file (`serve --with FILE`): the plan of the cache tree with the settings of topology changes, the snapshot file,
//! and the fleet; and the fill plan that the decision module gets.

use crate::fleet::{fleet, Fleet, FleetFile};
use crate::yaml::{schema, BadFile, Document};
use basaltgw::api::{FillPlan, ServerId, SourceShare};
use basaltgw_hierarchy::{NodeId, NodeSpec, PlanSpec, Settings, SlowStart, SourceTable, Tier, Version};
use jsonschema::Validator;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::sync::{Arc, OnceLock};

/// The project's own settings; each section may be absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnSettings {
    /// The cache tree.
    pub hierarchy: Option<Hierarchy>,
    /// The snapshot that is carried over from one process to the next.
    pub carry: Option<Carry>,
    /// The other routers; without it the router is alone.
    pub fleet: Option<Fleet>,
}

/// The snapshot file of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Carry {
    /// The file.
    pub file: PathBuf,
    /// A snapshot older than this is ignored, in milliseconds.
    pub oldest: f64,
}

/// The cache tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Hierarchy {
    /// The plan, not checked yet.
    pub plan: PlanSpec,
    /// The settings of topology changes.
    pub settings: Settings,
}

#[derive(Deserialize)]
struct File {
    hierarchy: Option<HierarchyFile>,
    carry: Option<CarryFile>,
    fleet: Option<FleetFile>,
}

#[derive(Deserialize)]
struct CarryFile {
    file: PathBuf,
    oldest_s: Option<f64>,
}

/// The default of `oldest_s`: the state of servers is out of date after ten minutes.
const DEFAULT_OLDEST_S: f64 = 600.0;

#[derive(Deserialize)]
struct HierarchyFile {
    plan: PlanFile,
    #[serde(default)]
    reshape: ReshapeFile,
}

#[derive(Deserialize)]
struct PlanFile {
    version: u64,
    nodes: Vec<NodeFile>,
}

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

fn validator() -> &'static Validator {
    static SCHEMA: OnceLock<Validator> = OnceLock::new();
    SCHEMA.get_or_init(|| schema(include_str!("../../../deploy/basaltgw.schema.json")))
}

/// Reads the project's own file; `cold` is the slow-start rule of the platform's settings.
///
/// # Errors
/// The fault with file, line and key.
pub fn own_settings(path: &Path, cold: SlowStart) -> Result<OwnSettings, BadFile> {
    own(&Document::read(path, validator())?, cold)
}

/// Parses the text of the project's own file.
///
/// # Errors
/// As [`own_settings`].
pub fn own_settings_of(file: &str, text: &str, cold: SlowStart) -> Result<OwnSettings, BadFile> {
    own(&Document::parse(file, text, validator())?, cold)
}

fn own(document: &Document, cold: SlowStart) -> Result<OwnSettings, BadFile> {
    let File { hierarchy, carry, fleet: routers } = document.typed()?;
    let carry =
        carry.map(|c| Carry { file: c.file, oldest: 1000.0 * c.oldest_s.unwrap_or(DEFAULT_OLDEST_S) });
    let fleet = routers.map(|f| fleet(document, f)).transpose()?;
    let hierarchy = hierarchy.map(|h| tree(document, h, cold)).transpose()?;
    Ok(OwnSettings { hierarchy, carry, fleet })
}

fn tree(document: &Document, file: HierarchyFile, cold: SlowStart) -> Result<Hierarchy, BadFile> {
    let HierarchyFile { plan, reshape } = file;
    let default = Settings::default();
    let settings = Settings {
        max_versions_behind: reshape.behind.unwrap_or(default.max_versions_behind),
        successes_per_step: reshape.proofs.unwrap_or(default.successes_per_step),
        failures_to_step_back: reshape.setbacks.unwrap_or(default.failures_to_step_back),
        step_back_pause: reshape.rest_ms.unwrap_or(default.step_back_pause),
        idle_step_duration: reshape.idle_ms.unwrap_or(default.idle_step_duration),
        quiet_period: reshape.quiet_ms.unwrap_or(default.quiet_period),
        loops_to_disable_pair: reshape.loops.unwrap_or(default.loops_to_disable_pair),
        slow_start: cold,
        ..default
    };
    if let Some((name, expected)) = settings.out_of_bounds() {
        return Err(document.fault(&format!("/hierarchy/reshape/{name}"), format!("expected {expected}")));
    }
    let node = |n: NodeFile| NodeSpec {
        id: NodeId::new(&n.id),
        tier: Tier(n.tier),
        location: n.location,
        weight: n.weight.unwrap_or(1.0),
        demand: n.demand.unwrap_or(0.0),
        capacity: n.capacity.unwrap_or(f64::INFINITY),
        sources: n.sources.iter().map(|s| NodeId::new(s)).collect(),
    };
    let nodes: Vec<NodeSpec> = plan.nodes.into_iter().map(node).collect();
    let plan = PlanSpec { version: Version(plan.version), nodes };
    if let Err(error) = basaltgw_hierarchy::Plan::from_spec(plan.clone()) {
        let at = error.node().and_then(|id| plan.nodes.iter().position(|n| n.id == *id));
        let at = at.map_or_else(|| "/hierarchy/plan".to_string(), |i| format!("/hierarchy/plan/nodes/{i}"));
        return Err(document.fault(&at, error.to_string()));
    }
    Ok(Hierarchy { plan, settings })
}

/// The fill plan that the decision module gets of a tree's table.
pub fn table(tree: &SourceTable) -> FillPlan {
    let id = |n: &NodeId| ServerId(Arc::clone(&n.0));
    // Caches that share their sources in the tree share them in the fill plan.
    let mut converted: Vec<(*const Vec<basaltgw_hierarchy::PermittedSource>, Arc<Vec<SourceShare>>)> =
        Vec::new();
    let mut requesters: Vec<_> = tree.sources.iter().collect();
    requesters.sort_unstable_by(|a, b| a.0.cmp(b.0));
    let mut table = FillPlan::default();
    for (requester, shares) in requesters {
        let at = Arc::as_ptr(shares);
        let known = converted.iter().find(|(p, _)| *p == at).map(|(_, s)| Arc::clone(s));
        let shares = known.unwrap_or_else(|| {
            let plain =
                shares.iter().map(|s| SourceShare { id: id(&s.id), weight: s.weight, share: s.share });
            let plain = Arc::new(plain.collect::<Vec<_>>());
            converted.push((at, Arc::clone(&plain)));
            plain
        });
        table.sources.insert(id(requester), shares);
    }
    table.origin_allowed = tree.origin_allowed.iter().map(id).collect();
    table
}

#[cfg(test)]
mod tests;
