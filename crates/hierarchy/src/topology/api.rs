//! Events, actions and results of topology changes.

use crate::plan::{NodeId, PlanError, PlanSpec, Version};
use crate::Ms;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// The state of a topology change. Logs name it by its `Display` form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ChangeState {
    /// The plan was offered.
    Offered,
    /// The plan passed every check, and its steps are known.
    Checked,
    /// The shares of newcomers grow.
    Warming,
    /// Newcomers have their whole shares.
    Serving,
    /// The shares of leavers shrink.
    Retiring,
    /// Leavers get no requests, and the new plan is in use. Logged as `gone`.
    Completed,
}

impl fmt::Display for ChangeState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Offered => "offered",
            Self::Checked => "checked",
            Self::Warming => "warming",
            Self::Serving => "serving",
            Self::Retiring => "retiring",
            Self::Completed => "gone",
        })
    }
}

/// The topology change in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeStatus {
    /// The version that the current step leads to.
    pub version: Version,
    /// The state of the current step.
    pub state: ChangeState,
    /// True while the change is rolled back.
    pub rolling_back: bool,
}

/// The result of an attempt that named a source, as far as the source is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceResult {
    /// The source served the part.
    Filled,
    /// The source rejected the request.
    Rejected,
    /// The source was unreachable or too slow, or its response was cut off.
    Failed,
    /// The fill reached a node that it had visited before.
    LoopDetected,
}

/// What a router reports to its [`TopologyManager`](super::TopologyManager).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A plan is offered.
    Offer(PlanSpec),
    /// The change in progress is to be rolled back.
    RollBack,
    /// The endpoint list names a node, or no longer names it.
    NodeListed {
        /// The node.
        node: NodeId,
        /// The node is up.
        up: bool,
        /// When the node was started, if a short time ago.
        started: Option<Ms>,
    },
    /// An attempt that named a source has ended.
    AttemptEnded {
        /// The edge cache that got the attempt.
        requester: NodeId,
        /// The source that the attempt named.
        source: NodeId,
        /// The requested object.
        object: u64,
        /// How the source fared.
        result: SourceResult,
    },
    /// Time has passed.
    Tick,
}

/// What a router does, or logs, after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Name sources by this table from now on.
    UseSources(Arc<SourceTable>),
    /// The change entered a state.
    StateEntered {
        /// The version that the change leads to.
        version: Version,
        /// The state.
        state: ChangeState,
        /// Why, for the log.
        reason: String,
    },
    /// A plan, or a rollback, was rejected; nothing has changed.
    Rejected(PlanError),
    /// Fills loop between two nodes: the source is not named to the requester until the plan changes.
    PairDisabled {
        /// The edge cache.
        requester: NodeId,
        /// The source.
        source: NodeId,
    },
}

/// A source that a cache may name.
#[derive(Clone, Debug, PartialEq)]
pub struct PermittedSource {
    /// The source.
    pub id: NodeId,
    /// Its weight relative to the cache's other sources.
    pub weight: f64,
    /// The share of its objects that it may get requests for, 0 to 1.
    pub share: f64,
}

/// The sources that each edge cache may name now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SourceTable {
    /// By edge cache: its sources other than the origin. Caches with the same sources share one list.
    pub sources: HashMap<NodeId, Arc<Vec<PermittedSource>>>,
    /// Edge caches that may name the origin when they have no other source.
    pub origin_allowed: Vec<NodeId>,
}
