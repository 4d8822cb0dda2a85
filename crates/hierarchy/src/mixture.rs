//! Mixtures of versions that are in use at the same time, and whether one has a cycle.
//!
//! Routers and caches adopt a version at different times, so each node may act by any version that is still in use. A cycle without
//! repeated nodes uses the edges of one version at each of its nodes, so some mixture has a cycle exactly if the union of all edges
//! has one.

use crate::graph::{find_cycle, NodeIndex};
use crate::plan::{NodeId, NodeSpec, Plan, PlanError, Tier};
use std::collections::HashMap;

/// Checks that no mixture of these plans has a cycle.
///
/// # Errors
/// [`PlanError::Cycle`] with a cycle of some mixture.
pub fn check_mixture(plans: &[&Plan]) -> Result<(), PlanError> {
    let mut nodes = NodeIndexes::default();
    let mut edges: Vec<Vec<NodeIndex>> = Vec::new();
    let mut add_edge = |nodes: &mut NodeIndexes, from: &NodeId, to: &NodeId| {
        let (from, to) = (nodes.index(from), nodes.index(to));
        edges.resize(edges.len().max(nodes.ids.len()), Vec::new());
        if !edges[from].contains(&to) {
            edges[from].push(to);
        }
    };
    for plan in plans {
        for (i, sources) in plan.source_indexes().iter().enumerate() {
            sources.iter().for_each(|s| add_edge(&mut nodes, &plan.nodes()[i].id, &plan.nodes()[*s].id));
        }
        // A node that is of tier 1 in this plan and of another tier in another may, as a home, get requests from its own sources.
        let tier_1 = || plan.nodes().iter().filter(|n| n.tier == Tier(1));
        let changes_tier =
            |n: &&NodeSpec| plans.iter().any(|p| p.node(&n.id).is_some_and(|o| o.tier != Tier(1)));
        for to in tier_1().filter(changes_tier) {
            tier_1().filter(|from| from.id != to.id).for_each(|from| add_edge(&mut nodes, &from.id, &to.id));
        }
    }
    edges.resize(nodes.ids.len(), Vec::new());
    match find_cycle(&edges) {
        None => Ok(()),
        Some(cycle) => {
            let nodes = cycle.into_iter().map(|i| nodes.ids[i].clone()).collect();
            Err(PlanError::Cycle { nodes, versions: plans.iter().map(|p| p.version()).collect() })
        }
    }
}

/// Indexes for the nodes of several plans, in the order in which they are first looked up.
#[derive(Default)]
pub(crate) struct NodeIndexes {
    by_id: HashMap<NodeId, NodeIndex>,
    pub(crate) ids: Vec<NodeId>,
}

impl NodeIndexes {
    pub(crate) fn index(&mut self, id: &NodeId) -> NodeIndex {
        let next = self.ids.len();
        *self.by_id.entry(id.clone()).or_insert_with(|| {
            self.ids.push(id.clone());
            next
        })
    }
}

#[cfg(test)]
pub(crate) mod tests;
