//! Placement rules: which routers store which shards, and which caches may serve, keep and fill objects. Compiled to tables that are the same
//! bytes on every router.
//!
//! The rules' language (`docs/placement.md`) is parsed, its names are resolved against the inventory, and it is compiled to a [`Table`]: a
//! [`basaltgw_types::ShardMap`], constraints on the choice of caches and sources, and scatter-gather policies. [`Adoption`] decides the steps by which a
//! new table comes into effect (proposed, durable, joint, in effect), as changes of the table register; `crates/registers` replicates it. No I/O, clock
//! or random numbers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod adoption;
#[cfg(test)]
mod adoption_model_tests;
mod assignment;
mod ast;
#[cfg(test)]
mod byte_tests;
mod capacity;
mod compile;
mod conflict;
mod diagnostic;
mod explain;
mod gather_rules;
mod home_rules;
mod lexer;
mod parser;
mod quotas;
mod register;
mod register_display;
mod register_encoding;
mod replica_constraints;
mod replica_rules;
mod resolver;
mod steps;
mod table;
mod table_body;

pub use adoption::{
    Adoption, AdoptionAction, AdoptionCounters, AdoptionEvent, ProposalNumber, ProposalOutcome,
    MAX_OPEN_PROPOSALS,
};
pub use ast::MissingParts;
pub use compile::{
    compile, MAX_BOOTSTRAP_ROUTERS, MAX_CACHES, MAX_ROUTERS, MAX_RULES, MAX_RULES_BYTES, MAX_RULE_FILES,
};
pub use diagnostic::{Diagnostic, SourceSpan};
pub use explain::{explain, explain_root, explain_shard};
pub use gather_rules::{GatherRule, MAX_REQUIRED_PARTS, MAX_WAIT_MS};
#[cfg(any(test, feature = "broken"))]
pub use register::InjectedBug;
pub use register::{
    ChangingGroup, InvalidRegister, MemberProgress, Proposal, ProposalError, ProposedTable, Register, Stage,
    MAX_REGISTER_BYTES,
};
pub use steps::{adoption_maps, shard_moves, MovedShard, ShardMoves};
pub use table::{CacheIndex, CacheSet, HomeConstraints, InvalidTable, Table};
pub use table_body::{RuleOrigin, MAX_SHARDS, MAX_TABLE_BYTES};

use basaltgw_types::{Domain, Member};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A router of the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterEntry {
    /// Its name, and the incarnation of its data folder.
    pub member: Member,
    /// Its failure domain.
    pub domain: Domain,
    /// Number of registers that it can store.
    pub capacity: u64,
    /// Whether it gets shards in the next table; false for a router that is being drained.
    pub accepts_replicas: bool,
}

/// An edge cache, a parent cache or the origin in the inventory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEntry {
    /// Its id in the endpoint list.
    pub id: Arc<str>,
    /// Name of its zone.
    pub zone: Arc<str>,
    /// `edge`, `parent` or `origin`.
    pub role: Arc<str>,
    /// Number of its cell.
    pub cell: u64,
    /// Its size relative to other caches.
    pub weight: f64,
}

/// Routers and caches for which rules are compiled; the result does not depend on their order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// Routers.
    pub routers: Vec<RouterEntry>,
    /// Edge caches, parent caches and the origin.
    pub caches: Vec<CacheEntry>,
    /// Classes of requests that rules may name; if empty, rules may name any class.
    pub classes: Vec<Arc<str>>,
}
