//! Directed graphs of nodes by index: strongly connected components, cycles, reachability. An edge leads from a node to its source.

use std::collections::{HashMap, HashSet, VecDeque};

/// A node's index in a plan or a graph.
pub(crate) type NodeIndex = usize;

/// By node, the number of its strongly connected component: nodes that reach each other have the same. Tarjan, "Depth-first search and
/// linear graph algorithms", 1972; with an explicit stack, since trees may be deep. O(nodes + edges).
pub(crate) fn components(edges: &[Vec<NodeIndex>]) -> Vec<usize> {
    const UNSET: usize = usize::MAX;
    let n = edges.len();
    // The paper's names: a node's visiting number, and the lowest number that it reaches.
    let (mut index, mut low, mut component) = (vec![UNSET; n], vec![0; n], vec![UNSET; n]);
    let (mut stack, mut calls, mut visited, mut found) = (Vec::new(), Vec::new(), 0, 0);
    for root in 0..n {
        if index[root] != UNSET {
            continue;
        }
        calls.push((root, 0));
        while let Some((v, mut edge)) = calls.pop() {
            if edge == 0 {
                (index[v], low[v]) = (visited, visited);
                visited += 1;
                stack.push(v);
            } else {
                low[v] = low[v].min(low[edges[v][edge - 1]]);
            }
            // Finds the next edge that leads to an unvisited node.
            let mut descend = None;
            while let Some(to) = edges[v].get(edge).copied() {
                edge += 1;
                if index[to] == UNSET {
                    descend = Some(to);
                    break;
                }
                if component[to] == UNSET {
                    low[v] = low[v].min(index[to]);
                }
            }
            if let Some(to) = descend {
                calls.push((v, edge));
                calls.push((to, 0));
            } else if low[v] == index[v] {
                while let Some(w) = stack.pop() {
                    component[w] = found;
                    if w == v {
                        break;
                    }
                }
                found += 1;
            }
        }
    }
    component
}

/// A cycle, if there is one: the shortest through the first node that is on a cycle.
pub(crate) fn find_cycle(edges: &[Vec<NodeIndex>]) -> Option<Vec<NodeIndex>> {
    let component = components(edges);
    let mut sizes = vec![0; edges.len()];
    component.iter().for_each(|c| sizes[*c] += 1);
    let start = (0..edges.len()).find(|v| sizes[component[*v]] > 1 || edges[*v].contains(v))?;
    // Breadth-first search within the component, back to the start.
    let mut predecessors = HashMap::new();
    let mut queue = VecDeque::from([start]);
    while let Some(v) = queue.pop_front() {
        for to in edges[v].iter().copied().filter(|t| component[*t] == component[start]) {
            if to == start {
                let mut cycle = vec![v];
                while let Some(before) =
                    cycle.last().filter(|v| **v != start).and_then(|v| predecessors.get(v))
                {
                    cycle.push(*before);
                }
                cycle.reverse();
                return Some(cycle);
            }
            predecessors.entry(to).or_insert_with(|| {
                queue.push_back(to);
                v
            });
        }
    }
    None
}

/// True if `to` is reachable from `from` within the component of `to`.
pub(crate) fn reaches(edges: &[Vec<NodeIndex>], component: &[usize], from: NodeIndex, to: NodeIndex) -> bool {
    let mut visited = HashSet::from([from]);
    let mut pending = vec![from];
    while let Some(v) = pending.pop() {
        if v == to {
            return true;
        }
        pending.extend(
            edges[v].iter().copied().filter(|w| component[*w] == component[to] && visited.insert(*w)),
        );
    }
    false
}
