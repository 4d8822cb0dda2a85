//! A checked version of the tree of caches.
//!
//! | Module | Concern |
//! |---|---|
//! | `spec` | a plan as it is written in a settings file |
//! | `error` | why a plan is rejected |
//! | `validation` | the checks of one plan |
//! | `capacity` | whether the tree carries its load without any one node |

mod capacity;
mod error;
mod spec;
#[cfg(test)]
pub(crate) mod test_plans;
#[cfg(test)]
mod tests;
mod validation;

pub use error::PlanError;
pub(crate) use spec::MAX_ID_BYTES;
pub use spec::{NodeId, NodeSpec, PlanSpec, Tier, Version};

use crate::graph::NodeIndex;
use basaltgw_structures::hash::mix;
use basaltgw_structures::Candidates;
use std::collections::HashMap;
use std::fmt;

/// A plan that passed every check that does not depend on other versions.
#[derive(Clone)]
pub struct Plan {
    version: Version,
    nodes: Vec<NodeSpec>,
    indexes: HashMap<NodeId, NodeIndex>,
    /// By node: its sources.
    sources: Vec<Vec<NodeIndex>>,
    /// By node: its sources other than the origin, ordered for each object by rendezvous hashing.
    candidates: Vec<Candidates>,
    /// The nodes of tier 1.
    home_candidates: Candidates,
    origin: NodeIndex,
}

impl fmt::Debug for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Plan({}, {} nodes)", self.version, self.nodes.len())
    }
}

impl Plan {
    /// The plan's version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The nodes, in the order of the [`PlanSpec`].
    pub fn nodes(&self) -> &[NodeSpec] {
        &self.nodes
    }

    /// The [`PlanSpec`] that this plan was made from.
    pub fn spec(&self) -> PlanSpec {
        PlanSpec { version: self.version, nodes: self.nodes.clone() }
    }

    /// A node of the plan; `None` if the plan does not name it.
    pub fn node(&self, id: &NodeId) -> Option<&NodeSpec> {
        self.indexes.get(id).map(|i| &self.nodes[*i])
    }

    /// The origin, the only node of tier 0.
    pub fn origin(&self) -> &NodeId {
        &self.nodes[self.origin].id
    }

    /// The sources of a node in the order of preference for an object; the origin, if it is one of them, comes last. Empty for a node
    /// that the plan does not name.
    pub fn sources(&self, node: &NodeId, object: u64) -> impl Iterator<Item = &NodeId> + '_ {
        let index = self.indexes.get(node).copied();
        let order = index.map(|i| self.candidates[i].order(source_key(object)));
        let origin = index.filter(|i| self.sources[*i].contains(&self.origin)).map(|_| self.origin);
        order.into_iter().flatten().chain(origin).map(|i| &self.nodes[i].id)
    }

    /// The home of an object: the one node of tier 1 that fetches it from the origin.
    pub fn home(&self, object: u64) -> Option<&NodeId> {
        self.home_candidates(object).next()
    }

    /// The nodes of tier 1 in the order in which they replace each other as an object's home.
    pub fn home_candidates(&self, object: u64) -> impl Iterator<Item = &NodeId> + '_ {
        self.home_candidates.order(source_key(object)).map(|i| &self.nodes[i].id)
    }

    /// By node: the indexes of its sources.
    pub(crate) fn source_indexes(&self) -> &[Vec<NodeIndex>] {
        &self.sources
    }
}

/// The key that orders an object's sources; the router's decision module selects parents by the same key.
fn source_key(object: u64) -> u64 {
    mix(object, 0)
}
