//! A plan as it is written in a settings file, before it is checked.

use std::fmt;
use std::sync::Arc;

/// Maximum number of nodes of a plan.
pub(super) const MAX_NODES: usize = 10_000;
/// Maximum number of sources of a node.
pub(super) const MAX_SOURCES: usize = 64;
/// The tier furthest from the origin.
pub(super) const MAX_TIER: u8 = 8;
/// Maximum length of a node's id.
pub(crate) const MAX_ID_BYTES: usize = 64;
/// Maximum weight, and maximum demand and capacity in fills per second; a larger value is a mistake in the file.
pub(super) const MAX_AMOUNT: f64 = 1.0e9;

/// A node, by its id on the endpoint list.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub Arc<str>);

impl NodeId {
    /// The node with the id `id`.
    pub fn new(id: &str) -> Self {
        Self(Arc::from(id))
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The version of a plan; a later plan has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A node's distance from the origin: 0 is the origin, 1 the parents that fetch from it, higher tiers lead to the edge caches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tier(pub u8);

/// A node of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSpec {
    /// The id on the endpoint list, 1 to 64 bytes.
    pub id: NodeId,
    /// The tier, 0 to 8.
    pub tier: Tier,
    /// The site, as a note for operators.
    pub location: String,
    /// The node's share of its requesters' fills, relative to their other sources. Above 0.
    pub weight: f64,
    /// Fills per second that arise at the node itself (edge caches).
    pub demand: f64,
    /// Fills per second that the node can take; infinite if the file names none.
    pub capacity: f64,
    /// The nodes that this node may request fills from.
    pub sources: Vec<NodeId>,
}

/// A plan that was not checked yet.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSpec {
    /// The plan's version.
    pub version: Version,
    /// The nodes. Faults are reported in this order.
    pub nodes: Vec<NodeSpec>,
}
