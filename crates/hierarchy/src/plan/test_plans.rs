//! Plans for tests. Ids: `h1` and so on in tier 1, `d1` in tier 2, `e1` for edge caches.

use super::*;

pub fn node(id: &str, tier: u8, sources: &[&str]) -> NodeSpec {
    NodeSpec {
        id: NodeId::new(id),
        tier: Tier(tier),
        location: String::new(),
        weight: 1.0,
        demand: if tier >= 3 { 10.0 } else { 0.0 },
        capacity: f64::INFINITY,
        sources: sources.iter().map(|s| NodeId::new(s)).collect(),
    }
}

/// A node of tier 2 that may also request from the origin.
pub fn tier_2_node(id: &str, sources: &[&str]) -> NodeSpec {
    node(id, 2, &[sources, &["origin"]].concat())
}

pub fn spec(version: u64, nodes: Vec<NodeSpec>) -> PlanSpec {
    PlanSpec { version: Version(version), nodes }
}

/// An origin, nodes of tier 1, nodes of tier 2 with all of tier 1 as sources, and edge caches with all of tier 2 as sources.
pub fn tree(version: u64, tier_1: &[&str], tier_2: &[&str], edges: &[&str]) -> PlanSpec {
    let mut nodes = vec![node("origin", 0, &[])];
    nodes.extend(tier_1.iter().map(|n| node(n, 1, &["origin"])));
    // A node with only one source gets the origin as well; otherwise the loss of that source would leave it none.
    fn with_spare<'a>(sources: &[&'a str]) -> Vec<&'a str> {
        sources.iter().copied().chain((sources.len() < 2).then_some("origin")).collect()
    }
    nodes.extend(tier_2.iter().map(|n| node(n, 2, &with_spare(tier_1))));
    nodes.extend(edges.iter().map(|n| node(n, 3, &with_spare(tier_2))));
    spec(version, nodes)
}

/// Nodes a and b of tier 2 with the given sources, next to h in tier 1.
pub fn pair(version: u64, a: &[&str], b: &[&str]) -> Plan {
    let nodes =
        vec![node("origin", 0, &[]), node("h", 1, &["origin"]), tier_2_node("a", a), tier_2_node("b", b)];
    Plan::from_spec(spec(version, nodes)).expect("a plan")
}

/// Nodes a, b and c of tier 2 with the given sources, next to h in tier 1.
pub fn triple(version: u64, sources: [&[&str]; 3]) -> Plan {
    let mut nodes = vec![node("origin", 0, &[]), node("h", 1, &["origin"])];
    nodes.extend(["a", "b", "c"].iter().zip(sources).map(|(id, sources)| tier_2_node(id, sources)));
    Plan::from_spec(spec(version, nodes)).expect("a plan")
}
