//! Simulates the control planes of hundreds or thousands of routers in one process, in simulated time.
//!
//! A simulated ("hollow") router runs the same control plane as `serve` ([`ControlPlane`], over `basaltgw_control::Control`), without
//! clients, caches and threads. The costs of the parts that are replaced here (sockets, disk) are not counted: they are measured on real processes and added.
//!
//! - [`fleet`]: the placement of routers in racks, sites, zones and regions;
//! - [`links`]: the link protocol of `crates/transport` without sockets, over a network with delay, loss and partitions;
//! - [`control_plane`]: what runs at a router; [`mesh`]: links to all listed routers; [`sparse`]: the few links of the overlay;
//! - [`world`]: time, processes, disks, faults ([`fault`]) and the change log;
//! - [`count`]: counts messages, bytes, processor time and state; [`checker`]: the delivery of purges; [`config_changes`]: the delivery of changes
//!   of the configuration;
//! - [`run`]: a whole run, and its figures.
//!
//! Runs of the same setup are identical to the last byte, except for processor time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod checker;
pub mod config_changes;
pub mod control_plane;
pub mod count;
pub mod disk;
pub mod fault;
pub mod fleet;
pub mod links;
pub mod mesh;
mod queue;
pub mod run;
pub mod sparse;
pub mod world;

pub use control_plane::{ControlPlane, ControlPlaneAction, ControlPlaneEvent};

/// Time after which a purge has converged, ms.
pub(crate) const CONVERGENCE_MS: f64 = 6_100.0;

/// The index of a router in [`fleet::Fleet::routers`], which is in the order of names.
pub type RouterIndex = usize;

/// Simulated time since the start of the run, or a duration, in whole microseconds. Events are ordered by it.
pub type Micros = u64;

/// Converts milliseconds to microseconds; negative values become 0.
pub fn micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1000.0).round() as Micros
}

/// Converts microseconds to milliseconds, the unit of the control planes.
pub fn ms(at: Micros) -> f64 {
    at as f64 / 1000.0
}
