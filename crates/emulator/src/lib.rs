//! The simulated fleet on loopback sockets, around real router processes: the load and the script of a simulator setup, played in real
//! time over the platform's protocols.
//!
//! A run has one thread. The tasks of the sockets ([`net`]) pass what they receive through a queue to the owner of the fleet, the
//! clients and the checker ([`world`]); routers are processes ([`process`]). Each router reaches each node at an address of its own, so
//! that the node's side of a connection knows the router.
//!
//! For tests, the crate also has stand-ins around one router ([`standin`]), and a harness of several routers that communicate through
//! relays with faults, with a checker of their guarantees ([`rig`]).
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
