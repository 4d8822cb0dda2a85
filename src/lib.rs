//! The routing decisions of basaltgw: which cache answers a request, what a miss is filled from, and at which
//! rank the copy is cached.
//!
//! [`routing::Router`] takes events and returns actions; [`api`] defines both, the settings and the ids.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod averages;
pub mod routing;

pub use basaltgw_structures::hash;
