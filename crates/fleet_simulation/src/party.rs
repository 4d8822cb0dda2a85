//! What runs at a hollow router, and what it and its world say to each other.

use crate::disk::Disk;
use crate::fleet::Fleet;
use crate::No;
use basaltgw_control::Purge;
use basaltgw_storage::Write;
use basaltgw_types::link::{Hello, Lane, LinkError};
use basaltgw_types::{Member, Ms, RouterId, TableHash, TableVersion};

/// What a party is told.
#[derive(Debug)]
pub enum PartyEvent {
    /// A link came up, or its peer goes by another table.
    Up(Hello),
    /// A link is down.
    Down(Member, LinkError),
    /// Bytes came on a link.
    Got {
        /// From whom.
        from: Member,
        /// On which lane.
        lane: Lane,
        /// What.
        body: Vec<u8>,
    },
    /// What was sent under that number was not written whole.
    Unsent(u64),
    /// A purge of the change log.
    Heard(Purge),
    /// Time has passed: what is due is done.
    Due,
    /// A turn ends: what has to last goes into one commit.
    Settle,
    /// That commit is on the disk, or was refused.
    Stored(u64, bool),
}

/// What a party wants done, in this order.
#[derive(Debug)]
pub enum PartyAction {
    /// Keep a link to that router: it is dialled whenever there is none.
    Dial(RouterId),
    /// Keep it no more: one that is up is closed.
    Close(RouterId),
    /// Carry bytes to a router; `no` comes back if they were not written whole.
    Send {
        /// The number; 0 if nobody needs to know.
        no: u64,
        /// To whom.
        to: Member,
        /// On which lane.
        lane: Lane,
        /// What.
        body: Vec<u8>,
    },
    /// The table by which the own hello goes from now on.
    Table(TableVersion, TableHash),
    /// Commit these writes as one.
    Store(u64, Vec<Write>),
    /// Said to the owner of the module.
    Told(Word),
}

/// What a checker looks at of what the owner is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// A purge that was not known here.
    Purge(Purge),
    /// Purges of before this start are known, or can't be.
    PurgesKnown(bool),
    /// The table by which this router goes.
    Table(TableVersion, TableHash),
    /// The next change of the configuration is made here.
    ChangeMade,
    /// The table by which this router goes has the change of that number, counted from 0.
    Change(usize),
    /// Anything else.
    Other,
}

/// A router's control part.
pub trait Party {
    /// Decides.
    fn handle(&mut self, now: Ms, event: PartyEvent, out: &mut Vec<PartyAction>);
    /// When the next [`PartyEvent::Due`] is.
    fn due(&self) -> Ms;
    /// What it counts, by name; summed over routers into a run's figures.
    fn counts(&self) -> Vec<(&'static str, u64)> {
        Vec::new()
    }
}

/// What a party starts with.
pub struct Start<'a> {
    /// When.
    pub now: Ms,
    /// Who, by place.
    pub no: No,
    /// Who, with the life of the folder.
    pub me: Member,
    /// The folder is of an earlier life.
    pub old: bool,
    /// The fleet.
    pub fleet: &'a Fleet,
    /// The disk.
    pub disk: &'a Disk,
    /// Random, another at each start.
    pub draw: u128,
}

/// Starts a party, at a process's start; the table by which its hello goes, if its disk has one.
pub type Found<'a> = dyn Fn(&Start, &mut Vec<PartyAction>) -> Result<(Box<dyn Party>, Option<(TableVersion, TableHash)>), String>
    + 'a;
