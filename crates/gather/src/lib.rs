//! One request for several parts whose sites differ: when it is answered, and with which parts. Decided without I/O or clock.
//!
//! Sites' latencies are measured; a part is waited for, asked again elsewhere (where second copies are allowed), left out from the start, or left
//! missing, by the policy of its class: which parts are needed, the least share by count and by worth, how long waiting may go on. It answers as soon as
//! waiting is worth less than answering. Never: an unsafe request in part; parts from both sides of a purge; two versions of one object; a lower tier's
//! part counted as whole.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use basaltgw_ids::Ms;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A gather, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatherNo(pub u64);

/// A part within its gather, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartNo(pub u32);

/// Where a part is: a zone's caches, or a router that answers for them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Site(pub Arc<str>);

/// What may be answered in part, for a class; compiled from the rules (`crates/placement`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Parts without which there is no answer.
    pub needed: Vec<PartNo>,
    /// Least share of the parts, 0 to 1.
    pub least_count: f64,
    /// Least share of their worth, 0 to 1.
    pub least_worth: f64,
    /// The longest that a gather waits for parts once an answer could be given, in milliseconds.
    pub wait: Ms,
    /// What a missing part does.
    pub missing: Missing,
    /// Parts may be asked for at a second site while the first is out.
    pub second_copies: bool,
}

/// What a missing part does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Missing {
    /// The answer names it and says when to come back: a debt.
    Owed,
    /// The answer names it, and that it will not come.
    Dropped,
    /// There is no answer without it.
    Refused,
}
