//! The model's fleet on loopback sockets: real router processes talk to it by the platform's protocol, under the model's load and script.
//!
//! One thread runs everything. Sockets' tasks ([`net`]) reach the one owner of the fleet, the clients and the checker ([`world`]) through a
//! queue; routers are processes ([`process`]). Each router reaches each party at an address of its own, so that who asks is known.
//!
//! Beside it: stand-ins for tests of one router ([`standin`]), and several routers that talk to each other through relays which break
//! what they carry, with a checker of what they promised ([`rig`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod faults;
pub mod net;
pub mod process;
pub mod rig;
pub mod standin;
pub mod world;

pub use world::{
    run, run_soak, Invariant, PlannedFault, SoakFault, SoakLimits, SoakReport, SocketRunMetrics,
};
