//! Which node of a tree of caches may ask which, and how that tree is changed while it serves. No I/O, no clock: time is handed in.
//!
//! - [`Plan`]: a version of the tree, checked whole ([`Refusal`] says what is wrong);
//! - [`mixture`], [`steps`]: what may be in use at the same time, and a change split so that no mixture has a cycle;
//! - [`Reshape`]: a router's side of a change: what each edge cache may name as a source now, and for which share of objects;
//! - [`CacheSide`]: a cache's side: whom it asks for what it lacks, what it hands over, and when it refuses a loop;
//! - [`Shield`]: fills under way at a node, those that wait for them, and failed ones;
//! - [`Trail`]: the nodes that a fill has passed.
//!
//! docs/hierarchy.md has the reasons. Whether, where and how often a request is sent stays with the router's module.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cache;
mod mix;
mod plan;
mod reshape;
mod settings;
mod shield;
mod trail;

pub use cache::{CacheSide, Next};
pub use mix::{mixture, steps};
pub use plan::{NodeId, NodeSpec, Plan, PlanSpec, Refusal, Tier, Version};
pub use reshape::{Act, Event, How, Reshape, Share, State, Table};
pub use settings::{Cold, Settings};
pub use shield::{Asks, Came, FillKey, Shield, Then, Waiter};
pub use trail::{Looped, Trail};

/// Milliseconds, fractional, on the caller's clock; they never go back.
pub type Ms = f64;
