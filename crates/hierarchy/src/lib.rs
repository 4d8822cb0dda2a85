//! Which node of a tree of caches may request fills from which, and how that tree is changed in service. No I/O and no clock: the
//! caller passes the time.
//!
//! - [`Plan`]: a checked version of the tree ([`PlanError`]: why one is rejected);
//! - [`check_mixture`], [`split_into_steps`]: which versions may be in use at the same time, and a change split so that no mixture has a
//!   cycle;
//! - [`TopologyManager`]: a router's side of a change: the sources that each edge cache may name now, and for which share of objects;
//! - [`SourceSelector`]: a cache's side: where it requests what it has no copy of, what it hands over, and when it rejects a loop;
//! - [`OriginShield`]: the fills in progress at a node, the requests that wait for them, and failed fills;
//! - [`VisitedPath`]: the nodes that a fill has visited.
//!
//! docs/hierarchy.md has the reasons. Whether, where and how often a request is sent is decided by the router's decision module.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod graph;
mod mixture;
mod origin_shield;
mod plan;
mod settings;
mod source_selector;
mod steps;
mod topology;
mod visited_path;

pub use mixture::check_mixture;
pub use origin_shield::{
    Admission, AfterFailure, CompletedFill, FillKey, FillRequest, OriginShield, WaiterId,
};
pub use plan::{NodeId, NodeSpec, Plan, PlanError, PlanSpec, Tier, Version};
pub use settings::{Settings, SlowStart};
pub use source_selector::{SelectedSource, SourceSelector};
pub use steps::split_into_steps;
pub use topology::{
    Action, ChangeState, ChangeStatus, Event, PermittedSource, SourceResult, SourceTable, TopologyManager,
};
pub use visited_path::{LoopError, VisitedPath};

/// Milliseconds, fractional, on the caller's monotonic clock.
pub type Ms = f64;
