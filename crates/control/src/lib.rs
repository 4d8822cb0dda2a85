//! Control plane of one fleet router: registers, membership, the placement table, purges and the links between routers.
//!
//! [`Control`] decides without I/O and without a clock. [`Control::handle`] takes the time and an [`Event`] and returns [`Action`]s: messages,
//! commits, link requests and notifications, which the caller executes in their order. The callers are the replication thread of `crates/node`
//! and the simulated routers of `crates/fleet_simulation`. An action that depends on durable state is returned only after
//! [`Event::CommitFinished`] reports its commit as durable.
//!
//! All times are milliseconds ([`basaltgw_types::Ms`]) on the caller's clock, except purge times, which are Unix milliseconds.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
mod control;
pub mod counts;
pub mod gather_policies;
pub mod message;
pub mod purges;
pub mod table;

pub use api::{Action, ControlNotification, ControlRequest, Event};
pub use control::{
    decode_purges, decode_table_register, Control, ControlParts, LinkQueueLimits, OverlayParts,
    OverlaySettings, MAINTENANCE_INTERVAL_MS, PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE,
};
pub use counts::Counts;
pub use gather_policies::Policies;
pub use purges::{Purge, PurgeKey, Purges};
pub use table::{BootstrapMember, InvalidTableRegister, TableManager, TableManagerConfig, TableRegister};
