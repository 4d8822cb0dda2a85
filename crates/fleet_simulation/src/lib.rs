//! Hollow routers: the control parts of hundreds or thousands of routers in one process, in simulated time.
//!
//! What a router runs here is what `serve` runs ([`Party`], over `basaltgw_control::Control`); clients, caches and threads are left out. Where a
//! part stands in for one of the system's (sockets, disk), its cost is not counted here: it is measured on real processes and added.
//!
//! - [`fleet`]: where routers stand;
//! - [`links`]: the rules of `crates/transport` without sockets, over lines with delay, loss and cuts;
//! - [`party`]: what runs at a router; [`mesh`]: the control part with links to all that are listed; [`sparse`]: the overlay's few links;
//! - [`world`]: time, processes, disks, troubles, the change log;
//! - [`count`]: messages, bytes, processor time, state; [`check`]: what must hold of every word; [`changes`]: how changes of the
//!   configuration get round;
//! - [`run`]: a whole run, and its figures.
//!
//! The same setup gives the same run to the last byte; only processor time is the machine's.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod changes;
pub mod check;
pub mod count;
pub mod disk;
pub mod fleet;
pub mod links;
pub mod mesh;
pub mod party;
mod queue;
pub mod run;
pub mod sparse;
pub mod trouble;
pub mod world;

pub use party::{Party, PartyAction, PartyEvent};

/// A router by its place in the fleet's list, which is in the order of names.
pub type No = usize;

/// Whole microseconds from the start of the run; all order of events is by them.
pub type Micros = u64;

/// Microseconds of so many milliseconds.
pub fn micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1000.0).round() as Micros
}

/// Milliseconds, as the decisions take them.
pub fn ms(at: Micros) -> f64 {
    at as f64 / 1000.0
}
