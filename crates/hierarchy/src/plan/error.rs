//! Why a plan, or a change to it, is rejected.

use super::spec::MAX_NODES;
use super::{NodeId, Version};
use thiserror::Error;

/// Maximum number of nodes named in a message about a cycle.
const MAX_NAMED_NODES: usize = 12;

/// Why a plan, a change to it or a rollback is rejected. Nothing of it has taken effect.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlanError {
    /// A value of a node is invalid.
    #[error("node {node}: {reason}")]
    InvalidNode {
        /// The node.
        node: NodeId,
        /// What was found, and what was expected.
        reason: String,
    },
    /// The plan has no origin, or more than one.
    #[error("expected one node of tier 0 (the origin), found {0}")]
    OriginCount(usize),
    /// The plan has too many nodes.
    #[error("expected at most {MAX_NODES} nodes, found {0}")]
    TooManyNodes(usize),
    /// No chain of sources leads from the node to the origin.
    #[error("node {0} does not reach the origin")]
    UnreachableOrigin(NodeId),
    /// Nodes are sources of each other, in one plan or in a mixture of plans in use.
    #[error("{} request from each other in a cycle{}", format_cycle(.nodes), format_versions(.versions))]
    Cycle {
        /// The nodes of the cycle, in order.
        nodes: Vec<NodeId>,
        /// The versions whose mixture has the cycle.
        versions: Vec<Version>,
    },
    /// Without one node another one gets more fills than it can take.
    #[error("without {lost}, {node} gets {load:.1} fills per second and can take {capacity:.1}")]
    Overload {
        /// The node that is assumed lost; `nothing` if the overload needs no loss.
        lost: NodeId,
        /// The overloaded node.
        node: NodeId,
        /// Fills per second that the overloaded node gets.
        load: f64,
        /// Fills per second that the overloaded node can take.
        capacity: f64,
    },
    /// Without one node another one has no source.
    #[error("without {lost}, {node} has no source")]
    NoSource {
        /// The node that is assumed lost.
        lost: NodeId,
        /// The node without a source.
        node: NodeId,
    },
    /// The version is not above every version that was offered before.
    #[error("expected a version above {highest}, the highest offered so far, found {offered}")]
    StaleVersion {
        /// The offered version.
        offered: Version,
        /// The highest version offered before.
        highest: Version,
    },
    /// A change to this version is in progress.
    #[error("a change to version {0} is in progress; roll it back or wait until it is complete")]
    ChangeInProgress(Version),
    /// There is no change to roll back.
    #[error("no change is in progress that could be rolled back")]
    NoChangeInProgress,
    /// The change needs too many steps.
    #[error("the change needs more than {0} steps")]
    TooManySteps(usize),
}

impl PlanError {
    /// The node at fault, if the error is about one.
    pub fn node(&self) -> Option<&NodeId> {
        match self {
            Self::InvalidNode { node, .. }
            | Self::UnreachableOrigin(node)
            | Self::NoSource { node, .. }
            | Self::Overload { node, .. } => Some(node),
            Self::Cycle { nodes, .. } => nodes.first(),
            Self::OriginCount(_)
            | Self::TooManyNodes(_)
            | Self::StaleVersion { .. }
            | Self::ChangeInProgress(_)
            | Self::NoChangeInProgress
            | Self::TooManySteps(_) => None,
        }
    }
}

fn format_cycle(nodes: &[NodeId]) -> String {
    let mut names: Vec<&str> = nodes.iter().take(MAX_NAMED_NODES).map(|n| &*n.0).collect();
    if nodes.len() > MAX_NAMED_NODES {
        names.push("…");
    }
    names.join(" → ")
}

fn format_versions(versions: &[Version]) -> String {
    match versions {
        [] | [_] => String::new(),
        several => {
            let several: Vec<String> = several.iter().map(Version::to_string).collect();
            format!(" while versions {} are mixed", several.join(" and "))
        }
    }
}
