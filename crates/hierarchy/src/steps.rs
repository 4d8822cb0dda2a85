//! The split of a change into steps, so that no mixture of versions in use has a cycle.

use crate::graph::{components, reaches, NodeIndex};
use crate::mixture::{check_mixture, NodeIndexes};
use crate::plan::{NodeId, NodeSpec, Plan, PlanError, PlanSpec, Tier, Version};
use std::collections::VecDeque;

/// Maximum number of steps of a change.
const MAX_STEPS: usize = 16;

/// By node: the indexes of its sources, `None` for a node that the plan does not name.
type SourceLists = Vec<Option<Vec<NodeIndex>>>;

/// Splits a change into consecutive plans, of which the last is `new`, so that no mixture of `max_versions_behind` + 1 consecutive
/// plans has a cycle. Most changes need one step. All steps have the version of `new`.
///
/// # Errors
/// [`PlanError::Cycle`] if no split avoids a cycle, [`PlanError::TooManySteps`], or [`PlanError::InvalidNode`] if the origin changes.
pub fn split_into_steps(old: &Plan, new: &Plan, max_versions_behind: usize) -> Result<Vec<Plan>, PlanError> {
    if old.origin() != new.origin() {
        let reason = format!("expected the origin to stay {}", old.origin());
        return Err(PlanError::InvalidNode { node: new.origin().clone(), reason });
    }
    let cycle = match check_mixture(&[old, new]) {
        Ok(()) => return Ok(vec![new.clone()]),
        Err(cycle) => cycle,
    };
    // A node that enters or leaves tier 1 has to be absent from a plan in between.
    let enters_or_leaves_tier_1 =
        |n: &NodeSpec| old.node(&n.id).is_some_and(|o| (o.tier == Tier(1)) != (n.tier == Tier(1)));
    if new.nodes().iter().any(enters_or_leaves_tier_1) {
        return Err(cycle);
    }
    let mut split = Split::new(old, new, max_versions_behind);
    while split.current != split.target {
        if split.steps.len() == MAX_STEPS {
            return Err(PlanError::TooManySteps(MAX_STEPS));
        }
        if !split.advance() {
            return Err(cycle);
        }
        split.add_step()?;
    }
    Ok(split.steps)
}

/// A change that is being split.
struct Split<'a> {
    old: &'a Plan,
    new: &'a Plan,
    max_versions_behind: usize,
    ids: Vec<NodeId>,
    current: SourceLists,
    target: SourceLists,
    /// The nodes of the new plan, sources first: all sources of a node are moved before it.
    order: Vec<NodeIndex>,
    /// The source lists before the current ones that may still be in use.
    recent: VecDeque<SourceLists>,
    steps: Vec<Plan>,
}

impl<'a> Split<'a> {
    fn new(old: &'a Plan, new: &'a Plan, max_versions_behind: usize) -> Self {
        let mut nodes = NodeIndexes::default();
        for node in old.nodes().iter().chain(new.nodes()) {
            nodes.index(&node.id);
        }
        let (current, target) = (source_lists(old, &mut nodes), source_lists(new, &mut nodes));
        let order = sources_first(&target);
        let (ids, recent, steps) = (nodes.ids, VecDeque::new(), Vec::new());
        Self { old, new, max_versions_behind, ids, current, target, order, recent, steps }
    }

    /// Moves every node that can move now to its sources in the new plan. Returns false if none can, and none will be able to.
    fn advance(&mut self) -> bool {
        let movable = self.movable(&self.edges_in_use());
        let mut next = self.current.clone();
        for n in &movable {
            next[*n].clone_from(&self.target[*n]);
        }
        let is_source = |n: NodeIndex, lists: &SourceLists| lists.iter().flatten().any(|s| s.contains(&n));
        let removable: Vec<NodeIndex> = (0..next.len())
            .filter(|n| self.target[*n].is_none() && next[*n].is_some() && !is_source(*n, &next))
            .collect();
        removable.iter().for_each(|n| next[*n] = None);
        let is_unchanged = movable.is_empty() && removable.is_empty();
        if is_unchanged && self.recent.iter().all(|lists| *lists == self.current) {
            return false;
        }
        self.recent.push_back(std::mem::replace(&mut self.current, next));
        // The next step is mixed with this one and with those that a node may be behind it.
        if self.recent.len() >= self.max_versions_behind {
            self.recent.pop_front();
        }
        true
    }

    /// By node: its sources in any of the plans in use.
    fn edges_in_use(&self) -> Vec<Vec<NodeIndex>> {
        let edges_of = |n: NodeIndex| {
            let lists = self.recent.iter().chain([&self.current]).filter_map(|lists| lists[n].as_ref());
            let mut edges: Vec<NodeIndex> = lists.flatten().copied().collect();
            edges.sort_unstable();
            edges.dedup();
            edges
        };
        (0..self.ids.len()).map(edges_of).collect()
    }

    /// The nodes that can move to their sources in the new plan now: these, added to the edges in use, close no cycle.
    fn movable(&self, in_use: &[Vec<NodeIndex>]) -> Vec<NodeIndex> {
        let mut union = in_use.to_vec();
        for (n, sources) in self.target.iter().enumerate() {
            union[n].extend(sources.iter().flatten());
        }
        // A cycle lies within one component of the union of all edges.
        let component = components(&union);
        let mut graph = in_use.to_vec();
        let mut movable = Vec::new();
        for n in self.order.iter().copied().filter(|n| self.current[*n] != self.target[*n]) {
            let Some(sources) = &self.target[n] else { continue };
            let is_present = |s: &NodeIndex| self.current[*s].is_some() || movable.contains(s);
            let closes_cycle =
                |s: &NodeIndex| component[*s] == component[n] && reaches(&graph, &component, *s, n);
            if sources.iter().all(is_present) && !sources.iter().any(closes_cycle) {
                graph[n].extend(sources);
                movable.push(n);
            }
        }
        movable
    }

    /// Adds the plan of the current source lists, after a check of its mixture with the plans still in use.
    fn add_step(&mut self) -> Result<(), PlanError> {
        let step = if self.current == self.target { self.new.clone() } else { self.current_plan()? };
        let behind = self.max_versions_behind;
        let mixed: Vec<&Plan> = self
            .steps
            .iter()
            .rev()
            .take(behind)
            .chain((self.steps.len() < behind).then_some(self.old))
            .chain([&step])
            .collect();
        check_mixture(&mixed)?;
        self.steps.push(step);
        Ok(())
    }

    /// The plan of the current source lists: nodes that have moved as in the new plan, the others as in the old one.
    fn current_plan(&self) -> Result<Plan, PlanError> {
        let mut nodes = Vec::new();
        for (n, id) in self.ids.iter().enumerate() {
            let Some(sources) = &self.current[n] else { continue };
            let sources: Vec<NodeId> = sources.iter().map(|s| self.ids[*s].clone()).collect();
            let moved = self.new.node(id).filter(|spec| spec.sources == sources);
            let spec = moved.or_else(|| self.old.node(id)).or_else(|| self.new.node(id));
            nodes.extend(spec.map(|spec| NodeSpec { sources, ..spec.clone() }));
        }
        Plan::from_spec(PlanSpec { version: Version(self.new.version().0), nodes })
    }
}

/// The source lists of a plan, by the indexes in `nodes`.
fn source_lists(plan: &Plan, nodes: &mut NodeIndexes) -> SourceLists {
    let ids = nodes.ids.clone();
    let mut indexes = |n: &NodeSpec| n.sources.iter().map(|s| nodes.index(s)).collect();
    ids.iter().map(|id| plan.node(id).map(&mut indexes)).collect()
}

/// The nodes of a plan without a cycle, each after all of its sources.
fn sources_first(lists: &SourceLists) -> Vec<NodeIndex> {
    // By node: how many of its sources are not in the order yet.
    let mut missing: Vec<usize> = lists.iter().map(|s| s.as_ref().map_or(usize::MAX, Vec::len)).collect();
    let mut requesters: Vec<Vec<NodeIndex>> = vec![Vec::new(); lists.len()];
    for (n, sources) in lists.iter().enumerate() {
        sources.iter().flatten().for_each(|s| requesters[*s].push(n));
    }
    let mut order: Vec<NodeIndex> = (0..lists.len()).filter(|n| missing[*n] == 0).collect();
    let mut next = 0;
    while let Some(v) = order.get(next).copied() {
        next += 1;
        for n in &requesters[v] {
            missing[*n] -= 1;
            if missing[*n] == 0 {
                order.push(*n);
            }
        }
    }
    order
}

#[cfg(test)]
mod tests;
