//! Values that the packages of the fleet share: routers and their incarnations, failure domains, shards, replica sets, table versions.
//!
//! These types are data and decide nothing. Text from outside becomes a name only by [`parse_name`], which checks it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod link;

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A time or duration in milliseconds, with a fraction. Times are of the caller's clock, which never goes back.
pub type Ms = f64;

/// The longest name of a router, branch, machine or cluster, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A text that is not a valid name, cut to [`MAX_NAME_BYTES`] characters.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected 1 to {MAX_NAME_BYTES} bytes of letters, digits, '-', '_' and '.', found {0:?}")]
pub struct InvalidName(pub String);

/// Parses a name; the same rules apply to all kinds of names.
///
/// # Errors
/// If the text is empty, longer than [`MAX_NAME_BYTES`], or has other characters than ASCII letters, digits, `-`, `_` and `.`.
pub fn parse_name(text: &str) -> Result<Arc<str>, InvalidName> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed) {
        true => Ok(Arc::from(text)),
        false => Err(InvalidName(text.chars().take(MAX_NAME_BYTES).collect())),
    }
}

/// A router's name in the fleet, which is the same after a restart and on another machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterId(pub Arc<str>);

/// The identity of a router's data folder, drawn at random when the folder was empty: a router that returns with another disk is another
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u128);

/// A router with the incarnation of its data folder. Votes and acknowledgements are counted by member, not by router.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The router's name.
    pub router: RouterId,
    /// The identity of its data folder.
    pub incarnation: Incarnation,
}

/// The failure domain of a router: a machine, whose routers fail together, in a branch, whose machines fail together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Domain {
    /// The branch's name.
    pub branch: Arc<str>,
    /// The machine's name within the branch.
    pub machine: Arc<str>,
}

/// The number of a shard of the registers: at least 0, less than the table's number of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(pub u16);

/// The version of a placement table; that of a new fleet is 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TableVersion(pub u64);

/// The hash of a placement table's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TableHash(pub [u8; 32]);

/// Members of which a quorum must have a change on disk before it is committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumGroup {
    /// The members, in order of preference.
    pub members: Vec<Member>,
    /// How many of the members are a quorum: a majority, or all of them while a fleet is bootstrapped.
    pub quorum: usize,
}

impl QuorumGroup {
    /// A group whose quorum is a majority, so that any two quorums have a member in common.
    pub fn majority(members: Vec<Member>) -> Self {
        let quorum = members.len() / 2 + 1;
        Self { members, quorum }
    }
}

/// The replicas of a shard: one group, or two while the shard moves, when a change needs a quorum of both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// The groups, the one that the shard leaves first; never empty.
    pub groups: Vec<QuorumGroup>,
}

/// The replicas of all shards under one version of the placement table. `crates/placement` makes it; `crates/registers` uses it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardMap {
    /// Raised with each change of replicas. A new version of the table raises it once for each portion of shards that moves, when the groups of
    /// both versions count for that portion, and once more when those of the new version alone count for all shards.
    pub epoch: u64,
    /// The table's version; while the groups of two versions count, the older one.
    pub version: TableVersion,
    /// The hash of that version of the table.
    pub hash: TableHash,
    /// The replicas of each shard, by its number.
    pub shards: Vec<ReplicaSet>,
    /// The replicas of the register of the table itself.
    pub root: ReplicaSet,
}

impl fmt::Display for RouterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Writes the first 8 of 32 hexadecimal digits.
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

/// Writes the first 8 of 64 hexadecimal digits.
impl fmt::Display for TableHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(4).try_for_each(|b| write!(f, "{b:02x}"))
    }
}

#[cfg(test)]
mod tests;
