//! The project's own settings file (`serve --with FILE`): the plan of the tree, and how a reshape goes; and what a router's module is
//! handed of it.

use crate::fleet::{fleet, Fleet, FleetFile};
use crate::yaml::{schema, BadFile, Document};
use basaltgw::api::{FillPlan, ServerId, SourceShare};
use basaltgw_hierarchy::{Cold, NodeId, NodeSpec, PlanSpec, Settings, Table, Tier, Version};
use jsonschema::Validator;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::sync::{Arc, OnceLock};

/// What the project's own file says. All of it may be absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnSettings {
    /// The tree.
    pub hierarchy: Option<Hierarchy>,
    /// What is carried over from one life to the next.
    pub carry: Option<Carry>,
    /// The other routers. Without it the router is alone.
    pub fleet: Option<Fleet>,
}

/// Where a router leaves what it has learnt when it ends, and finds it when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Carry {
    /// The file.
    pub file: PathBuf,
    /// What was left longer ago is not used, in milliseconds.
    pub oldest: f64,
}

/// The tree of caches.
#[derive(Clone, Debug, PartialEq)]
pub struct Hierarchy {
    /// The plan, not checked yet.
    pub plan: PlanSpec,
    /// How a reshape goes.
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

/// What was learnt of servers says little after ten minutes.
const OLDEST_S: f64 = 600.0;

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

/// Reads the project's own file. The cold rule's figures are those of the platform's settings.
pub fn own_settings(path: &Path, cold: Cold) -> Result<OwnSettings, BadFile> {
    own(&Document::read(path, validator())?, cold)
}

/// The same of a text.
pub fn own_settings_of(file: &str, text: &str, cold: Cold) -> Result<OwnSettings, BadFile> {
    own(&Document::parse(file, text, validator())?, cold)
}

fn own(document: &Document, cold: Cold) -> Result<OwnSettings, BadFile> {
    let File { hierarchy, carry, fleet: routers } = document.typed()?;
    let carry = carry.map(|c| Carry { file: c.file, oldest: 1000.0 * c.oldest_s.unwrap_or(OLDEST_S) });
    let fleet = routers.map(|f| fleet(document, f)).transpose()?;
    let hierarchy = hierarchy.map(|h| tree(document, h, cold)).transpose()?;
    Ok(OwnSettings { hierarchy, carry, fleet })
}

fn tree(document: &Document, file: HierarchyFile, cold: Cold) -> Result<Hierarchy, BadFile> {
    let HierarchyFile { plan, reshape } = file;
    let usual = Settings::default();
    let settings = Settings {
        behind: reshape.behind.unwrap_or(usual.behind),
        proofs: reshape.proofs.unwrap_or(usual.proofs),
        setbacks: reshape.setbacks.unwrap_or(usual.setbacks),
        rest: reshape.rest_ms.unwrap_or(usual.rest),
        idle: reshape.idle_ms.unwrap_or(usual.idle),
        quiet: reshape.quiet_ms.unwrap_or(usual.quiet),
        loops: reshape.loops.unwrap_or(usual.loops),
        cold,
        ..usual
    };
    if let Some((name, expected)) = settings.fault() {
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
    if let Err(refusal) = basaltgw_hierarchy::Plan::check(plan.clone()) {
        let at = refusal.node().and_then(|id| plan.nodes.iter().position(|n| n.id == *id));
        let at = at.map_or_else(|| "/hierarchy/plan".to_string(), |i| format!("/hierarchy/plan/nodes/{i}"));
        return Err(document.fault(&at, refusal.to_string()));
    }
    Ok(Hierarchy { plan, settings })
}

/// A reshape's table as the module takes it.
pub fn table(of: &Table) -> FillPlan {
    let id = |n: &NodeId| ServerId(Arc::clone(&n.0));
    // Caches with the same sources go on sharing them.
    let mut made: Vec<(*const Vec<basaltgw_hierarchy::Share>, Arc<Vec<SourceShare>>)> = Vec::new();
    let mut askers: Vec<_> = of.of.iter().collect();
    askers.sort_unstable_by(|a, b| a.0.cmp(b.0));
    let mut table = FillPlan::default();
    for (asker, shares) in askers {
        let at = Arc::as_ptr(shares);
        let known = made.iter().find(|(p, _)| *p == at).map(|(_, s)| Arc::clone(s));
        let shares = known.unwrap_or_else(|| {
            let plain =
                shares.iter().map(|s| SourceShare { id: id(&s.id), weight: s.weight, share: s.share });
            let plain = Arc::new(plain.collect::<Vec<_>>());
            made.push((at, Arc::clone(&plain)));
            plain
        });
        table.sources.insert(id(asker), shares);
    }
    table.origin_allowed = of.archive.iter().map(id).collect();
    table
}

#[cfg(test)]
mod tests {
    use super::*;

    const COLD: Cold = Cold { share: 0.1, span: 20_000.0 };
    const GOOD: &str = "\
hierarchy:
  plan:
    version: 3
    nodes:
      - {id: s-00000001, tier: 0, location: vault}
      - {id: s-00000002, tier: 1, sources: [s-00000001], capacity: 50}
      - {id: s-00000003, tier: 1, sources: [s-00000001]}
      - id: s-00000004
        tier: 3
        demand: 20
        sources: [s-00000002, s-00000003]
  reshape:
    proofs: 5
";

    fn fault(from: &str, to: &str) -> String {
        assert!(GOOD.contains(from));
        own_settings_of("b.yaml", &GOOD.replace(from, to), COLD).expect_err("a fault").to_string()
    }

    #[test]
    fn a_plan_is_read_with_defaults() {
        let own = own_settings_of("b.yaml", GOOD, COLD).expect("settings").hierarchy.expect("a hierarchy");
        assert_eq!((own.plan.version, own.plan.nodes.len(), own.settings.proofs), (Version(3), 4, 5));
        assert_eq!(own.plan.nodes[1].capacity, 50.0);
        assert!(own.plan.nodes[2].capacity.is_infinite());
        assert_eq!(own_settings_of("b.yaml", "{}", COLD), Ok(OwnSettings::default()));
    }

    #[test]
    fn what_is_wrong_is_named_by_file_line_and_key() {
        let text = fault("tier: 3", "tier: 9");
        assert!(text.starts_with("b.yaml:9: hierarchy.plan.nodes[3].tier: 9 is"), "{text}");
        let text = fault("s-00000003]", "s-00000009]");
        assert_eq!(text, "b.yaml:8: hierarchy.plan.nodes[3]: node s-00000004: unknown source s-00000009");
        let text = fault("proofs: 5", "prooves: 5");
        assert!(text.starts_with("b.yaml:12: hierarchy.reshape") && text.contains("prooves"), "{text}");
        let text = fault("demand: 20", "demand: 120");
        assert!(text.contains("without") && text.contains("can take 50.0"), "{text}");
        assert!(fault("version: 3", "version: 0").contains("hierarchy.plan.version"));
        assert!(fault("version: 3", "version: x").contains("hierarchy.plan.version"));
        assert!(fault("hierarchy:", "hierarchie:").contains("hierarchie"));
    }

    #[test]
    fn the_module_gets_the_table_as_it_is_and_shared_as_it_was() {
        let shares =
            Arc::new(vec![basaltgw_hierarchy::Share { id: NodeId::new("h"), weight: 2.0, share: 0.5 }]);
        let of = [("a", &shares), ("b", &shares)].map(|(n, s)| (NodeId::new(n), Arc::clone(s)));
        let plain = table(&Table { of: of.into_iter().collect(), archive: vec![NodeId::new("a")] });
        let [a, b] = ["a", "b"].map(|n| plain.sources.get(&ServerId(n.into())).expect("an asker"));
        assert!(Arc::ptr_eq(a, b));
        assert_eq!(a[0], SourceShare { id: ServerId("h".into()), weight: 2.0, share: 0.5 });
        assert!(
            plain.origin_allowed.contains(&ServerId("a".into()))
                && !plain.origin_allowed.contains(&ServerId("b".into()))
        );
    }
}
