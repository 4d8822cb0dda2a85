//! The fleet inside a process, only where the own settings have a section `fleet`: the peers' thread (links to other routers), the copies'
//! thread (the control part of `crates/control`, and the disk), and the owner's side of both, joined by bounded rings.
//!
//! A full ring refuses at once and blocks nobody. What must last goes owner -> copies (-> peers) -> owner before it is said. A thread that ends
//! ends the process.

#[cfg(test)]
mod byte_tests;
pub mod copies;
pub mod gather;
pub mod overlay;
pub mod port;
pub mod purges;
#[cfg(test)]
pub mod stand_in;
pub mod start;

pub use basaltgw_control::{ControlNotification, ControlRequest};
pub use port::{Fleet, Terms};
use std::fmt;

/// What was counted by the fleet's threads.
#[derive(Clone, Debug, Default)]
pub struct FleetCounts {
    /// By the control part.
    pub control: basaltgw_control::Counts,
    /// By the links, as `name=value` words.
    pub links: String,
}

impl fmt::Display for FleetCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rest = if self.links.is_empty() { "" } else { " " };
        write!(f, "{}{rest}{}", self.control, self.links)
    }
}
