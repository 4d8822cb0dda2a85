//! basaltgw: decides where objects are served, kept and filled from.
//!
//! [`routing::Router`] takes events and returns actions; [`api`] is all it speaks.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod account;
pub mod api;
mod known;
pub mod routing;
pub mod shadow;
pub mod snapshot;
mod state;
pub mod window;
mod work;

pub use basaltgw_structures::hash;
