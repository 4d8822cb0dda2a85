//! A router's side of a fleet, started only if the own settings have a section `fleet`.
//!
//! Two threads run beside the owner's: the transport thread (links to other routers, `crates/transport`) and the replication thread
//! (`crates/control` and the disk). Bounded rings join the three. A full ring rejects at once and blocks nobody; a change that has to be
//! durable goes from the owner to the replication thread and back before anybody is notified of it. A thread that ends unexpectedly ends the
//! process.
//!
//! - `handle`: the owner's end of the rings and of the threads; `config` and `counters`: its settings and counts;
//! - `message`: what two routers send each other about parts of scatter-gather requests;
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
