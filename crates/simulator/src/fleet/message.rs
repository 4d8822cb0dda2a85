//! What routers and the fleet exchange, the faults that a script switches on, and what is counted.

use super::*;
use crate::Ms;
use basaltgw::api::{AttemptResult, FillReport, Rank};
use basaltgw_hierarchy::FillKey;
use std::collections::BTreeMap;

/// A router's ask, by numbers of the router's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskId {
    /// Which router.
    pub router: usize,
    /// A number that the router uses once.
    pub number: u64,
}

/// What a router asks of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// What it is called.
    pub id: AskId,
    /// What is asked for.
    pub key: FillKey,
    /// Its group.
    pub group: u64,
    /// Its size.
    pub kb: f64,
    /// The source of a miss.
    pub from: Option<NodeIx>,
    /// How the copy is kept.
    pub rank: Rank,
    /// The oldest copy that will do; `None` for any.
    pub max_age: Option<Ms>,
    /// An ageing copy may be served for so long past `max_age` and is renewed behind; 0 for not.
    pub grace: Ms,
    /// A fill that is under way may be joined.
    pub join: bool,
    /// The source gives only what it holds.
    pub held_only: bool,
    /// It has an effect, by the client's number for it.
    pub effect: Option<u64>,
    /// For how long the router waits.
    pub wait: Ms,
}

/// An answer, or the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    /// How the ask ended.
    pub end: AttemptResult,
    /// How it came about.
    pub note: FillReport,
    /// When the archive gave out the copy.
    pub born: Ms,
    /// The time to the source's answer.
    pub waited: Ms,
}

/// What a node is suffering from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Its process dies.
    Crash,
    /// It answers nothing until then.
    Hang(Ms),
    /// Its machine is away until it starts again.
    Vanish,
    /// It takes so many times as long until then.
    Slow(f64, Ms),
    /// It refuses fills until then.
    RefuseFills(Ms),
    /// It loses a share of its answers until then.
    LoseAnswers(f64, Ms),
    /// It asks this one for all that it lacks until then.
    WrongSource(NodeIx, Ms),
}

/// What is told of the fleet's inside, for checkers and figures.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// A router's ask was answered.
    Answer(AskId, Reply),
    /// A write ran at the archive.
    Effect(u64),
    /// A node was brought down by what reached it while it was cold.
    Fell(NodeIx),
}

/// Counts of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Fills at the archive, by object's part and by how often that object was purged before.
    pub archive: BTreeMap<(FillKey, u32), u32>,
    /// Fills that a plan would have sent back to a node that they had passed, and asks that met themselves or would have waited
    /// for themselves.
    pub loops_offered: u64,
    /// Asks that met themselves and went on all the same.
    pub loops_carried: u64,
    /// Fills at the archive of what it had given out since the last purge, as late as was asked for: nobody should need those.
    pub again: u64,
    /// The same of what was held or under way at a hub or district that has died since.
    pub again_after_kill: u64,
    /// Asks between nodes.
    pub between: u64,
    /// Asks for what is held that found something.
    pub handed: u64,
    /// The largest share of a cold node's limit that was reached.
    pub cold_most: f64,
    /// Nodes that fell over.
    pub fell: u64,
    /// KB that came from the archive, and that edge caches gave out.
    pub archive_kb: f64,
    /// See `archive_kb`.
    pub edge_kb: f64,
}
