//! Rules of where shards live and who may serve, keep and fill them, compiled to tables that are the same bytes on every router.
//!
//! The language ([`docs/placement.md`]) is read by the parser, checked against the inventory by the compiler, and becomes a [`basaltgw_types::ShardMap`],
//! bounds for the choice of caches and sources, and policies of gathers. [`Adoption`](basaltgw_types::TableVersion) steps (offered, checked, both, new) are
//! decided here too, as changes of the table's register; copying them is `crates/registers`'. Pure: no I/O, clock or random numbers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod adoption;
mod ast;
mod body;
#[cfg(test)]
mod byte_tests;
mod check;
mod compile;
mod explain;
mod fault;
mod gather;
mod homes;
mod keep;
mod lex;
#[cfg(test)]
mod model;
mod parse;
mod place;
mod register;
mod share;
mod smallest;
mod steps;
mod table;
mod written;

pub use adoption::{Action, Adoption, Counters, Ended, Event, OfferNo, MOST_OPEN};
pub use ast::Missing;
pub use body::{Origin, MOST_SHARDS, MOST_TABLE};
pub use compile::{compile, MOST_CACHES, MOST_FILES, MOST_FOUNDERS, MOST_ROUTERS, MOST_RULES, MOST_TEXT};
pub use explain::{explain, explain_root, explain_shard};
pub use fault::{At, Fault};
pub use gather::{GatherRule, MOST_NEEDED, MOST_WAIT_MS};
#[cfg(any(test, feature = "broken"))]
pub use register::Broken;
pub use register::{BadRegister, Evidence, Next, Offer, Refused, Register, Stage, MOST_REGISTER};
pub use steps::{moves, steps, Moved, Moves};
pub use table::{Allowed, BadTable, Bounds, CacheNo, Table};

use basaltgw_types::{Domain, Member};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A router in the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterEntry {
    /// Who, and the life of its folder.
    pub member: Member,
    /// Where it stands.
    pub domain: Domain,
    /// Holds that it has room for.
    pub capacity: u64,
    /// False once it is to be emptied: it keeps nothing in the next table.
    pub stays: bool,
}

/// A cache or parent in the inventory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEntry {
    /// Its id in the list.
    pub id: Arc<str>,
    /// Its zone by name.
    pub zone: Arc<str>,
    /// `edge`, `parent` or `origin`.
    pub role: Arc<str>,
    /// Its cell.
    pub cell: u64,
    /// Its size in relation to the others.
    pub weight: f64,
}

/// What there is: routers and caches, each list in the order of ids.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// Routers.
    pub routers: Vec<RouterEntry>,
    /// Caches, parents and the origin.
    pub caches: Vec<CacheEntry>,
    /// Classes of requests that rules may name; none listed: any.
    pub classes: Vec<Arc<str>>,
}
