//! basaltgw: decides where objects are served, kept and filled from.
//!
//! [`rules::Router`] takes events and returns actions; [`api`] is all it speaks.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod account;
pub mod api;
pub mod carry;
mod known;
pub mod rules;
pub mod shadow;
mod state;
pub mod window;
mod work;

pub use basaltgw_structures::hash;
