//! The checks of one plan: the bounds of its values, its origin, its sources, and that it has no cycle.

use super::spec::{MAX_AMOUNT, MAX_ID_BYTES, MAX_NODES, MAX_SOURCES, MAX_TIER};
use super::{NodeId, NodeSpec, Plan, PlanError, PlanSpec, Tier};
use crate::graph::{find_cycle, NodeIndex};
use basaltgw_structures::hash::fnv1a;
use basaltgw_structures::Candidates;
use std::collections::HashMap;

impl Plan {
    /// Makes a plan from its specification, with every check that does not depend on other versions.
    ///
    /// # Errors
    /// The first fault found.
    pub fn from_spec(spec: PlanSpec) -> Result<Self, PlanError> {
        let PlanSpec { version, nodes } = spec;
        if nodes.len() > MAX_NODES {
            return Err(PlanError::TooManyNodes(nodes.len()));
        }
        let mut indexes = HashMap::with_capacity(nodes.len());
        for (i, node) in nodes.iter().enumerate() {
            check_node(node)?;
            if indexes.insert(node.id.clone(), i).is_some() {
                return Err(invalid(&node.id, "listed twice"));
            }
        }
        let origins: Vec<NodeIndex> = (0..nodes.len()).filter(|i| nodes[*i].tier == Tier(0)).collect();
        let [origin] = origins[..] else { return Err(PlanError::OriginCount(origins.len())) };
        let mut sources = Vec::with_capacity(nodes.len());
        for node in &nodes {
            sources.push(resolve_sources(node, &indexes, origin)?);
        }
        let candidate = |i: &NodeIndex| (*i, fnv1a(&nodes[*i].id.0), nodes[*i].weight);
        let candidates = sources
            .iter()
            .map(|of_node| Candidates::new(of_node.iter().filter(|i| **i != origin).map(candidate)))
            .collect();
        let homes: Vec<NodeIndex> = (0..nodes.len()).filter(|i| nodes[*i].tier == Tier(1)).collect();
        let home_candidates = Candidates::new(homes.iter().map(candidate));
        let plan = Self { version, indexes, sources, candidates, home_candidates, origin, nodes };
        plan.check_reachability()?;
        if let Some(cycle) = find_cycle(&plan.sources) {
            let nodes = cycle.into_iter().map(|i| plan.nodes[i].id.clone()).collect();
            return Err(PlanError::Cycle { nodes, versions: vec![version] });
        }
        plan.check_loss_of_sources()?;
        Ok(plan)
    }

    /// Checks that every node reaches the origin by its sources.
    fn check_reachability(&self) -> Result<(), PlanError> {
        let mut requesters: Vec<Vec<NodeIndex>> = vec![Vec::new(); self.nodes.len()];
        for (i, sources) in self.sources.iter().enumerate() {
            sources.iter().for_each(|s| requesters[*s].push(i));
        }
        let mut reached = vec![false; self.nodes.len()];
        let mut pending = vec![self.origin];
        while let Some(i) = pending.pop() {
            if !std::mem::replace(&mut reached[i], true) {
                pending.extend(&requesters[i]);
            }
        }
        match reached.iter().position(|r| !r) {
            Some(i) => Err(PlanError::UnreachableOrigin(self.nodes[i].id.clone())),
            None => Ok(()),
        }
    }
}

/// The indexes of a node's sources.
fn resolve_sources(
    node: &NodeSpec,
    indexes: &HashMap<NodeId, NodeIndex>,
    origin: NodeIndex,
) -> Result<Vec<NodeIndex>, PlanError> {
    let mut sources = Vec::with_capacity(node.sources.len());
    for source in &node.sources {
        let Some(index) = indexes.get(source).copied() else {
            return Err(invalid(&node.id, format!("unknown source {source}")));
        };
        if sources.contains(&index) {
            return Err(invalid(&node.id, format!("source {source} listed twice")));
        }
        sources.push(index);
    }
    if node.tier == Tier(1) && sources != [origin] {
        return Err(invalid(&node.id, "expected the origin as the only source of a node of tier 1"));
    }
    Ok(sources)
}

fn invalid(node: &NodeId, reason: impl Into<String>) -> PlanError {
    PlanError::InvalidNode { node: node.clone(), reason: reason.into() }
}

/// Checks the values of a node that do not depend on other nodes.
fn check_node(node: &NodeSpec) -> Result<(), PlanError> {
    let (id, in_bounds) = (&node.id, |v: f64| v.is_finite() && (0.0..=MAX_AMOUNT).contains(&v));
    if id.0.is_empty() || id.0.len() > MAX_ID_BYTES {
        return Err(invalid(id, format!("expected an id of 1 to {MAX_ID_BYTES} bytes")));
    }
    if node.tier.0 > MAX_TIER {
        return Err(invalid(id, format!("expected a tier of 0 to {MAX_TIER}, found {}", node.tier.0)));
    }
    if node.weight <= 0.0 || !in_bounds(node.weight) {
        return Err(invalid(
            id,
            format!("expected a weight above 0 and at most {MAX_AMOUNT:.0}, found {}", node.weight),
        ));
    }
    if !in_bounds(node.demand) {
        return Err(invalid(id, format!("expected a demand of 0 to {MAX_AMOUNT:.0}, found {}", node.demand)));
    }
    if node.capacity != f64::INFINITY && (node.capacity <= 0.0 || !in_bounds(node.capacity)) {
        return Err(invalid(
            id,
            format!("expected a capacity above 0 and at most {MAX_AMOUNT:.0}, found {}", node.capacity),
        ));
    }
    if node.sources.len() > MAX_SOURCES {
        return Err(invalid(
            id,
            format!("expected at most {MAX_SOURCES} sources, found {}", node.sources.len()),
        ));
    }
    if node.sources.contains(id) {
        return Err(invalid(id, "names itself as a source"));
    }
    match (node.tier, node.sources.is_empty()) {
        (Tier(0), false) => Err(invalid(id, "expected no sources of the origin (tier 0)")),
        (Tier(1..), true) => Err(invalid(id, "expected a source")),
        _ => Ok(()),
    }
}
