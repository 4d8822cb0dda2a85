//! The control part of a router of a fleet: what it has heard of others, what is held for them, which table it goes by, which purges it
//! knows; who is told, asked again, waited for. Decided without I/O and without a clock: state and events in, words, commits and timers out.
//!
//! One entry, [`Control::handle`]. What carries it (`crates/node`'s copies' thread, the hollow routers of `crates/fleet_simulation`) brings what links,
//! owner and disk say, and does what comes out, in its order. Nothing that has to last is said before its commit is reported as done.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
mod control;
pub mod counts;
pub mod gathers;
pub mod purges;
pub mod table;
pub mod words;

pub use api::{Action, ControlNotification, ControlRequest, Event};
pub use control::{
    decode_purges, decode_table_register, Control, ControlParts, OverlayParts, OverlayTimes, StandingLinks,
    MAINTENANCE_INTERVAL_MS, PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE,
};
pub use counts::Counts;
pub use gathers::Policies;
pub use purges::{Purge, Purges};
pub use table::{BootstrapMember, TableManager, TableManagerConfig};
