//! Names and plain values that the packages of the fleet share: routers, lives of their folders, shards, versions of tables.
//!
//! Nothing here decides. Every text that comes from outside is checked where it becomes a name.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod link;

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Milliseconds of the caller's clock, fractional; only ever forward.
pub type Ms = f64;

/// The longest name of a router, branch, machine or cluster, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A name that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected 1 to {MAX_NAME_BYTES} bytes of letters, digits, '-', '_' and '.', found {0:?}")]
pub struct InvalidName(pub String);

/// Checks a name; all kinds of names are spelled alike.
///
/// # Errors
/// If it is empty, longer than [`MOST_NAME`], or has other characters than letters, digits, `-`, `_` and `.`.
pub fn name(text: &str) -> Result<Arc<str>, InvalidName> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(plain) {
        true => Ok(Arc::from(text)),
        false => Err(InvalidName(text.chars().take(MAX_NAME_BYTES).collect())),
    }
}

/// A router, by its name in the fleet: the same after a restart, and on another machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterId(pub Arc<str>);

/// One life of a router's folder, drawn at random when the folder was empty: whoever returns with another disk is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u128);

/// A router with the folder it has: what may vote and vouch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub router: RouterId,
    /// The life of its folder.
    pub incarnation: Incarnation,
}

/// What is lost together: a machine, and the branch in which it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Domain {
    /// The branch.
    pub branch: Arc<str>,
    /// The machine within it.
    pub machine: Arc<str>,
}

/// A shard of the holds, from 0 to the table's number of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(pub u16);

/// The version of a table; the founding one is 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TableVersion(pub u64);

/// The hash of a table's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TableHash(pub [u8; 32]);

/// Routers of which a certain number must have something on their disks before it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumGroup {
    /// Who, in the order of preference.
    pub members: Vec<Member>,
    /// How many of them it takes: a majority, or all while a fleet is founded.
    pub quorum: usize,
}

impl QuorumGroup {
    /// A group in which any two majorities meet.
    pub fn majority(members: Vec<Member>) -> Self {
        let need = members.len() / 2 + 1;
        Self { members, quorum: need }
    }
}

/// Who keeps a shard. While it moves there are two groups and a promise needs both; else one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// The groups, the older first; never empty.
    pub groups: Vec<QuorumGroup>,
}

/// The keepers of all shards under one version of the table, as `crates/placement` made it and `crates/registers` uses it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardMap {
    /// Counted up with every change of who keeps what, twice for each version of the table: while both hold, and once the new one holds.
    pub epoch: u64,
    /// The version that is being left, or that holds.
    pub version: TableVersion,
    /// Its hash.
    pub hash: TableHash,
    /// By shard.
    pub shards: Vec<ReplicaSet>,
    /// Who keeps the register of the table itself.
    pub root: ReplicaSet,
}

impl fmt::Display for RouterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0 >> 96)
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.router, self.incarnation)
    }
}

impl fmt::Display for TableHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(4).try_for_each(|b| write!(f, "{b:02x}"))
    }
}

#[cfg(test)]
mod tests;
