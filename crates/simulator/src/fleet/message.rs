//! Requests and responses between routers and nodes, the faults that a script injects, and the fleet's counts.

use super::*;
use crate::Ms;
use basaltgw::api::{AttemptResult, FillReport, Rank};
use basaltgw_hierarchy::FillKey;
use std::collections::BTreeMap;

/// Identifies a router's request to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeRequestId {
    /// The index of the router.
    pub router: usize,
    /// A number that the router uses once.
    pub number: u64,
}

/// A router's request to a node for one part of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRequest {
    /// The id under which the response is reported.
    pub id: NodeRequestId,
    /// The requested part.
    pub key: FillKey,
    /// The object's group.
    pub group: u64,
    /// The size of the part.
    pub size_kb: f64,
    /// The node from which a miss is filled; `None` if the node must not fill.
    pub fill_source: Option<NodeIndex>,
    /// The rank under which the node stores the copy.
    pub rank: Rank,
    /// The maximum age of a copy that may be served; `None` for any age.
    pub max_age: Option<Ms>,
    /// For how long past `max_age` a copy may be served while it is revalidated in the background; 0 to disable.
    pub stale_for: Ms,
    /// The request may join a fill in progress.
    pub join_fill: bool,
    /// The fill source may serve only from its store.
    pub cached_only: bool,
    /// The number of a non-idempotent write; `None` for a read.
    pub write: Option<u64>,
    /// After how long the router stops waiting for the response.
    pub timeout: Ms,
}

/// A node's response, or the end of the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeResponse {
    /// The result of the attempt.
    pub result: AttemptResult,
    /// How the node obtained the copy, or why it did not.
    pub fill_report: FillReport,
    /// When the origin served the copy.
    pub origin_time: Ms,
    /// How long the node waited for its fill source.
    pub source_wait: Ms,
}

impl NodeResponse {
    /// A response without a copy.
    pub(crate) fn without_copy(result: AttemptResult, fill_report: FillReport) -> Self {
        Self { result, fill_report, origin_time: 0.0, source_wait: 0.0 }
    }
}

/// A fault of one node. `until` is the simulated time at which the fault ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeFault {
    /// The node's process dies; its connections are closed.
    Crash,
    /// The node accepts requests and sends no response.
    Hang {
        /// The end of the fault.
        until: Ms,
    },
    /// The node's machine is unreachable until the node starts again; its connections are not closed.
    Vanish,
    /// The node takes longer to send a copy.
    Slow {
        /// The multiple of the usual sending time, at least 1.
        factor: f64,
        /// The end of the fault.
        until: Ms,
    },
    /// The node rejects requests that need a new fill.
    RefuseFills {
        /// The end of the fault.
        until: Ms,
    },
    /// The node loses a part of its responses.
    LoseAnswers {
        /// The probability that a response is lost, 0 to 1.
        share: f64,
        /// The end of the fault.
        until: Ms,
    },
    /// The node fills every miss from `source` in place of its planned sources.
    WrongSource {
        /// The source that is used instead of the planned one.
        source: NodeIndex,
        /// The end of the fault.
        until: Ms,
    },
}

/// What the fleet reports to its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// A router's request was answered.
    Response {
        /// The router's id of the request.
        request: NodeRequestId,
        /// The response.
        response: NodeResponse,
    },
    /// The origin executed a write.
    WriteExecuted {
        /// The number of the write.
        write: u64,
    },
    /// A node that had just started received more than its limit and went down.
    ColdNodeOverloaded {
        /// The node.
        node: NodeIndex,
    },
}

/// Counts of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Fills served by the origin, by part and by how many times the part's object or group was purged before.
    pub origin_fills: BTreeMap<(FillKey, u32), u32>,
    /// Loops found: fills that the plan would have sent to a node on their visited path, and requests that reached a node on their
    /// own path or would have waited for themselves.
    pub loops_detected: u64,
    /// Requests that reached a node on their own path and were forwarded, as loop detection was off.
    pub loops_forwarded: u64,
    /// Fills by the origin of parts whose last copy was recent enough for the request: none of them should be necessary.
    pub repeated_origin_fills: u64,
    /// Like `repeated_origin_fills`, for parts that a hub or district held or was filling when it went down.
    pub repeated_origin_fills_after_crash: u64,
    /// Requests from node to node.
    pub requests_between_nodes: u64,
    /// Cached-only requests from node to node that were served.
    pub cached_only_hits: u64,
    /// The maximum load of a node that had just started, as a share of its limit.
    pub max_cold_limit_share: f64,
    /// Nodes that went down because their load exceeded the limit after a start.
    pub cold_overloads: u64,
    /// KB that the origin served for fills.
    pub origin_kb: f64,
    /// KB that nodes sent to routers.
    pub edge_served_kb: f64,
}
