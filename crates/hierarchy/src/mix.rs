//! Mixtures of versions: what is in use at the same time, whether it may hold a ring, and how a change is split so that it holds none.
//!
//! Routers and caches take a version over at different moments, so each node may act by any version that is still in use. A ring without
//! repeated nodes uses one version's edges at each of its nodes, so some mixture holds a ring exactly if the union of all edges does.

use crate::plan::{Ix, NodeSpec, Plan, PlanSpec, Refusal, Tier};
use crate::{NodeId, Version};
use std::collections::{HashMap, VecDeque};

/// Steps that a change may be split into.
pub const MOST_STEPS: usize = 16;

/// Whether any mixture of these versions holds a ring.
pub fn mixture(plans: &[&Plan]) -> Result<(), Refusal> {
    let mut names = Names::default();
    let mut edges: Vec<Vec<Ix>> = Vec::new();
    let mut add = |names: &mut Names, from: &NodeId, to: &NodeId| {
        let (from, to) = (names.ix(from), names.ix(to));
        edges.resize(edges.len().max(names.list.len()), Vec::new());
        if !edges[from].contains(&to) {
            edges[from].push(to);
        }
    };
    for plan in plans {
        for (i, of) in plan.edges().iter().enumerate() {
            of.iter().for_each(|s| add(&mut names, &plan.nodes()[i].id, &plan.nodes()[*s].id));
        }
        // A node of tier 1 here that is of another tier elsewhere may be asked as a home by those that it asks.
        let hubs = || plan.nodes().iter().filter(|n| n.tier == Tier(1));
        let moves = |n: &&NodeSpec| plans.iter().any(|p| p.node(&n.id).is_some_and(|o| o.tier != Tier(1)));
        for to in hubs().filter(moves) {
            hubs().filter(|from| from.id != to.id).for_each(|from| add(&mut names, &from.id, &to.id));
        }
    }
    edges.resize(names.list.len(), Vec::new());
    match cycle(&edges) {
        None => Ok(()),
        Some(ring) => {
            let nodes = ring.into_iter().map(|i| names.list[i].clone()).collect();
            Err(Refusal::Cycle { nodes, versions: plans.iter().map(|p| p.version()).collect() })
        }
    }
}

#[derive(Default)]
struct Names {
    at: HashMap<NodeId, Ix>,
    list: Vec<NodeId>,
}

impl Names {
    fn ix(&mut self, id: &NodeId) -> Ix {
        let next = self.list.len();
        *self.at.entry(id.clone()).or_insert_with(|| {
            self.list.push(id.clone());
            next
        })
    }
}

/// The component of each node: nodes that reach each other have the same. Tarjan, "Depth-first search and linear graph algorithms", 1972;
/// with a stack of its own, since trees may be deep. O(nodes + edges).
fn components(edges: &[Vec<Ix>]) -> Vec<Ix> {
    const NEW: usize = usize::MAX;
    let n = edges.len();
    let (mut index, mut low, mut of) = (vec![NEW; n], vec![0; n], vec![NEW; n]);
    let (mut stack, mut work, mut count, mut made) = (Vec::new(), Vec::new(), 0, 0);
    for root in 0..n {
        if index[root] != NEW {
            continue;
        }
        work.push((root, 0));
        while let Some((v, at)) = work.pop() {
            if at == 0 {
                (index[v], low[v]) = (count, count);
                count += 1;
                stack.push(v);
            } else {
                low[v] = low[v].min(low[edges[v][at - 1]]);
            }
            // On to the next edge that leads to a new node.
            let mut at = at;
            let mut down = None;
            while let Some(to) = edges[v].get(at).copied() {
                at += 1;
                if index[to] == NEW {
                    down = Some(to);
                    break;
                }
                if of[to] == NEW {
                    low[v] = low[v].min(index[to]);
                }
            }
            if let Some(to) = down {
                work.push((v, at));
                work.push((to, 0));
            } else if low[v] == index[v] {
                while let Some(w) = stack.pop() {
                    of[w] = made;
                    if w == v {
                        break;
                    }
                }
                made += 1;
            }
        }
    }
    of
}

/// A ring, if there is one; the shortest through one of its nodes.
pub(crate) fn cycle(edges: &[Vec<Ix>]) -> Option<Vec<Ix>> {
    let of = components(edges);
    let mut size = vec![0; edges.len()];
    of.iter().for_each(|c| size[*c] += 1);
    let start = (0..edges.len()).find(|v| size[of[*v]] > 1 || edges[*v].contains(v))?;
    // Breadth first within the component, back to where it began.
    let mut from = HashMap::new();
    let mut next = VecDeque::from([start]);
    while let Some(v) = next.pop_front() {
        for to in edges[v].iter().copied().filter(|t| of[*t] == of[start]) {
            if to == start {
                let mut ring = vec![v];
                while let Some(before) = ring.last().filter(|v| **v != start).and_then(|v| from.get(v)) {
                    ring.push(*before);
                }
                ring.reverse();
                return Some(ring);
            }
            from.entry(to).or_insert_with(|| {
                next.push_back(to);
                v
            });
        }
    }
    None
}

/// Splits a change into plans that follow each other, so that no mixture of any `behind` + 1 in a row holds a ring; the last
/// is `new`. Most changes need one step.
pub fn steps(old: &Plan, new: &Plan, behind: usize) -> Result<Vec<Plan>, Refusal> {
    if old.archive() != new.archive() {
        let what = format!("expected the archive to stay {}", old.archive());
        return Err(Refusal::Node { node: new.archive().clone(), what });
    }
    let whole = match mixture(&[old, new]) {
        Ok(()) => return Ok(vec![new.clone()]),
        Err(ring) => ring,
    };
    // A node that enters or leaves tier 1 has to be gone in between.
    let changes_side =
        |n: &NodeSpec| old.node(&n.id).is_some_and(|o| (o.tier == Tier(1)) != (n.tier == Tier(1)));
    if new.nodes().iter().any(changes_side) {
        return Err(whole);
    }
    let mut names = Names::default();
    for node in old.nodes().iter().chain(new.nodes()) {
        names.ix(&node.id);
    }
    let of = |plan: &Plan, names: &mut Names| -> Vec<Option<Vec<Ix>>> {
        let list = names.list.clone();
        let sources = |id: &NodeId| plan.node(id).map(|n| n.sources.iter().map(|s| names.ix(s)).collect());
        list.iter().map(sources).collect()
    };
    let (mut now, target) = (of(old, &mut names), of(new, &mut names));
    // From the archive outwards in the new plan: all sources of the next are moved before it.
    let order = outwards(&target);
    let mut before: VecDeque<Vec<Option<Vec<Ix>>>> = VecDeque::new();
    let mut made: Vec<Plan> = Vec::new();
    while now != target {
        if made.len() == MOST_STEPS {
            return Err(Refusal::Steps(MOST_STEPS));
        }
        let live: Vec<Vec<Ix>> = (0..names.list.len())
            .map(|n| {
                let mut all: Vec<Ix> =
                    before.iter().chain([&now]).filter_map(|p| p[n].as_ref()).flatten().copied().collect();
                all.sort_unstable();
                all.dedup();
                all
            })
            .collect();
        let (mut next, moved) = (now.clone(), movable(&live, &now, &target, &order));
        for n in &moved {
            next[*n].clone_from(&target[*n]);
        }
        let asked = |n: Ix, of: &[Option<Vec<Ix>>]| of.iter().flatten().any(|s| s.contains(&n));
        let leaving: Vec<Ix> = (0..next.len())
            .filter(|n| target[*n].is_none() && next[*n].is_some() && !asked(*n, &next))
            .collect();
        leaving.iter().for_each(|n| next[*n] = None);
        let still = moved.is_empty() && leaving.is_empty();
        if still && before.iter().all(|p| *p == now) {
            return Err(whole);
        }
        before.push_back(std::mem::replace(&mut now, next));
        // The next step meets this one and those that anyone may still be behind it.
        if before.len() >= behind {
            before.pop_front();
        }
        let done = now == target;
        let step = if done { new.clone() } else { step(old, new, &names.list, &now)? };
        let mixed: Vec<&Plan> = made
            .iter()
            .rev()
            .take(behind)
            .chain((made.len() < behind).then_some(old))
            .chain([&step])
            .collect();
        mixture(&mixed)?;
        made.push(step);
    }
    Ok(made)
}

/// Nodes that may go over to the new plan now: adding their new edges to all that are live closes no ring.
fn movable(live: &[Vec<Ix>], now: &[Option<Vec<Ix>>], target: &[Option<Vec<Ix>>], order: &[Ix]) -> Vec<Ix> {
    let mut all = live.to_vec();
    for (n, of) in target.iter().enumerate() {
        all[n].extend(of.iter().flatten());
    }
    // Rings stand within a component of everything together.
    let component = components(&all);
    let mut graph = live.to_vec();
    let mut moved = Vec::new();
    for n in order.iter().copied().filter(|n| now[*n] != target[*n]) {
        let Some(of) = &target[n] else { continue };
        let there = |s: &Ix| now[*s].is_some() || moved.contains(s);
        let closes = |s: &Ix| component[*s] == component[n] && reaches(&graph, &component, *s, n);
        if of.iter().all(there) && !of.iter().any(closes) {
            graph[n].extend(of);
            moved.push(n);
        }
    }
    moved
}

fn reaches(graph: &[Vec<Ix>], component: &[Ix], from: Ix, to: Ix) -> bool {
    let mut seen = std::collections::HashSet::from([from]);
    let mut next = vec![from];
    while let Some(v) = next.pop() {
        if v == to {
            return true;
        }
        next.extend(graph[v].iter().copied().filter(|w| component[*w] == component[to] && seen.insert(*w)));
    }
    false
}

/// Nodes of a plan without rings, each after all of its sources.
fn outwards(of: &[Option<Vec<Ix>>]) -> Vec<Ix> {
    let mut left: Vec<usize> = of.iter().map(|s| s.as_ref().map_or(usize::MAX, Vec::len)).collect();
    let mut asked_by: Vec<Vec<Ix>> = vec![Vec::new(); of.len()];
    for (n, sources) in of.iter().enumerate() {
        sources.iter().flatten().for_each(|s| asked_by[*s].push(n));
    }
    let mut order: Vec<Ix> = (0..of.len()).filter(|n| left[*n] == 0).collect();
    let mut done = 0;
    while let Some(v) = order.get(done).copied() {
        done += 1;
        for n in &asked_by[v] {
            left[*n] -= 1;
            if left[*n] == 0 {
                order.push(*n);
            }
        }
    }
    order
}

/// The plan of one step: nodes that have moved as the new plan has them, the others as they were.
fn step(old: &Plan, new: &Plan, names: &[NodeId], now: &[Option<Vec<Ix>>]) -> Result<Plan, Refusal> {
    let mut nodes = Vec::new();
    for (n, id) in names.iter().enumerate() {
        let Some(sources) = &now[n] else { continue };
        let sources: Vec<NodeId> = sources.iter().map(|s| names[*s].clone()).collect();
        let moved = new.node(id).filter(|spec| spec.sources == sources);
        let spec = moved.or_else(|| old.node(id)).or_else(|| new.node(id));
        nodes.extend(spec.map(|spec| NodeSpec { sources, ..spec.clone() }));
    }
    Plan::check(PlanSpec { version: Version(new.version().0), nodes })
}

#[cfg(test)]
mod tests;
