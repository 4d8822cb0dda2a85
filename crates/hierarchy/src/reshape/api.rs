//! Events, actions and results of topology changes.

use crate::plan::{NodeId, PlanSpec, Refusal, Version};
use crate::Ms;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It came in.
    Offered,
    /// It passed every check, and its steps are known.
    Checked,
    /// Newcomers take growing shares.
    Warming,
    /// Newcomers have all that is theirs.
    Serving,
    /// Leavers give up their shares.
    Retiring,
    /// Nothing is asked of leavers; the new plan is the one in use.
    Gone,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Offered => "offered",
            Self::Checked => "checked",
            Self::Warming => "warming",
            Self::Serving => "serving",
            Self::Retiring => "retiring",
            Self::Gone => "gone",
        })
    }
}

/// How an attempt that named a source ended, as far as the source is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It gave what was asked.
    Answered,
    /// It said no.
    Refused,
    /// It was not reached, broke off or was too slow.
    Failed,
    /// The fill met itself.
    Looped,
}

/// What a router tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A plan came in.
    Offer(PlanSpec),
    /// What is under way is to be taken back.
    TakeBack,
    /// The list tells of a node: whether it is up, and when it started, if lately.
    Listed(NodeId, bool, Option<Ms>),
    /// An attempt that named a source is over.
    Ended {
        /// The edge cache.
        asker: NodeId,
        /// The source.
        source: NodeId,
        /// For which object.
        object: u64,
        /// How it ended.
        how: How,
    },
    /// Time has passed.
    Tick,
}

/// What comes of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Sources are named by this table from now on.
    Use(Arc<Table>),
    /// A state was entered, and why.
    Entered(Version, State, String),
    /// A plan, or taking one back, was refused; nothing has changed.
    Refused(Refusal),
    /// A pair loops; the asker names this source no more until the plan changes.
    SetAside(NodeId, NodeId),
}

/// A source, and the share of its objects that it may be asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Which node.
    pub id: NodeId,
    /// Its weight beside the others.
    pub weight: f64,
    /// 0 to 1.
    pub share: f64,
}

/// What each edge cache may name as a source now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// By edge cache: its sources, but the archive. Caches with the same sources share them.
    pub of: HashMap<NodeId, Arc<Vec<Share>>>,
    /// Edge caches that may name the archive when they have nobody else.
    pub archive: Vec<NodeId>,
}
