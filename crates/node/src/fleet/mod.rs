//! A router's side of a fleet, started only if the settings file has a section `fleet`.
//!
//! Two threads run besides the owner's: the transport thread (links to other routers, `crates/transport`) and the replication thread
//! (`crates/control` and the disk). Bounded rings connect the three. A full ring rejects at once and blocks no thread. For a change that
//! has to be durable, the owner waits for the replication thread's response before it notifies anybody. If one of the threads ends
//! unexpectedly, the process ends.
//!
//! - `handle`: the owner's end of the rings and of the threads; `config` and `counters`: its settings and counts;
//! - `message`: messages between two routers for the parts of scatter-gather requests;
//! - `replication_thread`: the thread that waits for the disk;
//! - `start`: opens the data folder and starts the threads; `overlay`: settings of dissemination and of links.

#[cfg(test)]
mod byte_tests;
mod config;
mod counters;
pub mod handle;
pub mod message;
#[cfg(test)]
mod message_tests;
pub mod overlay;
pub mod purges;
pub mod replication_thread;
#[cfg(test)]
pub mod stand_in;
pub mod start;

pub use basaltgw_control::{ControlNotification, ControlRequest, Policies};
pub use config::{FleetSettings, ScatterGatherConfig};
pub use counters::{FleetCounts, LeaseCounters};
pub use handle::{Fleet, PendingChange};
