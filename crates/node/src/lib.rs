//! The router on sockets: clients, servers and the change log around the decision module.
//!
//! A request is read by [`clients`], taken by [`owner`], sent by [`caches`], and its answer takes the same way back. The decision module
//! alone decides; the other modules carry.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod breaks;
pub mod caches;
pub mod changelog;
pub mod clients;
pub mod clock;
pub mod connection;
pub mod counters;
pub mod fleet;
pub mod inbox;
pub mod invariants;
pub mod limits;
pub mod log_writer;
mod messages;
pub mod outbox;
pub mod owner;
pub mod permissions;
pub mod placement_report;
pub mod platform_time;
mod reload;
mod serve;
pub mod shutdown;
mod signal_handler;
pub mod signals;
pub mod slow_start_watch;
mod snapshot_file;
pub mod socket;
pub mod stalls;
pub mod tree;

pub use basaltgw_resp as resp;
pub use messages::{Input, Inputs, Shared};
pub use reload::Own;
pub use serve::serve;
