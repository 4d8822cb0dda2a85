//! The router process: connects the decision module (`basaltgw`) to clients, servers and the change log by sockets.
//!
//! [`clients`] reads a request, [`owner`] hands it to the decision module, [`caches`] sends its attempts to servers; the answer returns the
//! same way. The decision module decides on routing and retries; the modules of this package move messages and enforce limits.
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
pub mod memory_budget;
mod messages;
pub mod outbox;
pub mod owner;
pub mod pause_detector;
pub mod permissions;
pub mod placement_report;
pub mod platform_time;
mod process_memory;
pub mod read_pauses;
mod reload;
mod serve;
pub mod shutdown;
mod signal_handler;
pub mod signals;
pub mod slow_start_watch;
mod snapshot_file;
pub mod socket;
pub mod tree;

pub use basaltgw_resp as resp;
pub use messages::{ConnectionContext, Input, InputQueues};
pub use reload::SettingsFile;
pub use serve::serve;
