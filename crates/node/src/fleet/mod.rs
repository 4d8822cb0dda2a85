//! The fleet inside a process, only where the own settings have a section `fleet`: the peers' thread (links to other routers), the copies'
//! thread (what is held for others, the table, the disk), and the owner's side of both, joined by bounded rings.
//!
//! A full ring refuses at once and blocks nobody. What must last goes owner -> copies (-> peers) -> owner before it is said. A thread that ends
//! ends the process.

pub mod copies;
pub mod gather;
pub mod port;
pub mod purges;
#[cfg(test)]
pub mod stand_in;
pub mod start;
pub mod table;
pub mod words;

use basaltgw_holds::{AskNo, Change, HoldKey, Verdict};
use basaltgw_ids::{Ms, RouterId, TableHash, TableVersion};
pub use port::{Fleet, Terms};
use std::fmt;
use std::sync::Arc;

/// What the owner of the module asks of the copies' thread.
#[derive(Debug)]
pub enum Question {
    /// A change of a hold, to be on enough disks within so many milliseconds. Answered once by [`Told::Verdict`]. An outcome that is
    /// not kept goes on being put down; what may be found taken though it is not kept is given back.
    Ask {
        /// Its number.
        no: AskNo,
        /// Which hold.
        key: HoldKey,
        /// What is to change.
        change: Change,
        /// Time for it.
        within: Ms,
    },
    /// Put a change down, however long it takes: nobody waits for it.
    Pursue(HoldKey, Change),
    /// A purge was heard from the change log, with its time in Unix milliseconds.
    Purge(purges::Purge),
    /// New rules are offered, by file name and text.
    Rules(String, String),
    /// Something was heard of a site by gathers, for other routers to weigh.
    Heard(basaltgw_roster::Evidence),
    /// End in order: what is being put down is waited for, for a bounded time. What was taken for these questions is given back, for
    /// nobody has heard of it.
    End(Vec<AskNo>),
}

/// What the copies' thread tells the owner.
#[derive(Debug)]
pub enum Told {
    /// The answer to a question.
    Verdict(AskNo, Verdict),
    /// Another router heard a purge, or an earlier life of this one did.
    Purge(purges::Purge),
    /// What was heard of purges before this start is all here (`true`), or can't be had (`false`): then everything counts as purged.
    PurgesKnown(bool),
    /// The table by which this router goes.
    Table(TableVersion, TableHash),
    /// The policies of gathers by which this router goes; only where they are taken.
    Policies(Arc<gather::Policies>),
    /// Another router's word on a site; only where gathers are taken.
    Evidence(RouterId, basaltgw_gather::Evidence),
}

/// What was counted by the fleet's threads.
#[derive(Clone, Debug, Default)]
pub struct FleetCounts {
    /// Routers reached now.
    pub peers_up: u64,
    /// The table's version and its epoch; 0 while there is none.
    pub table_version: u64,
    /// See `table_version`.
    pub table_epoch: u64,
    /// Commits on the disk, and those that failed.
    pub commits: u64,
    /// See `commits`.
    pub commits_failed: u64,
    /// Messages for which a ring or lane had no room.
    pub unsent: u64,
    /// Purges heard from other routers.
    pub purges_from_peers: u64,
    /// Changes that nobody waited for and that were not kept, and those that were given up, at the end also.
    pub unkept_unasked: u64,
    /// See `unkept_unasked`.
    pub pursuits_dropped: u64,
    /// Messages of peers that could not be read.
    pub unreadable: u64,
    /// Tables adopted, taken back, and offers refused.
    pub tables_adopted: u64,
    /// See `tables_adopted`.
    pub tables_taken_back: u64,
    /// See `tables_adopted`.
    pub tables_refused: u64,
    /// Members replaced that returned with another folder, or did not return.
    pub members_replaced: u64,
    /// What the packages count, as `name=value` words.
    pub words: String,
}

impl fmt::Display for FleetCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "peers_up={} table_version={} table_epoch={} ",
            self.peers_up, self.table_version, self.table_epoch
        )?;
        write!(f, "commits={} commits_failed={} ", self.commits, self.commits_failed)?;
        write!(f, "unsent={} ", self.unsent)?;
        write!(f, "purges_from_peers={} ", self.purges_from_peers)?;
        write!(f, "tables_adopted={} tables_taken_back={} ", self.tables_adopted, self.tables_taken_back)?;
        write!(
            f,
            "unkept_unasked={} pursuits_dropped={} peers_unreadable={} ",
            self.unkept_unasked, self.pursuits_dropped, self.unreadable
        )?;
        write!(f, "tables_refused={} members_replaced={} ", self.tables_refused, self.members_replaced)?;
        f.write_str(&self.words)
    }
}
