//! The content of the table's register: which table holds, and how far the next one is.
//!
//! offered -> checked -> both (a portion of shards at a time) -> new. Until the last step it may be taken back, by the same steps the other way.
//! Every change is one compare-and-swap of the whole content, so of two offers one finds the other there. A map changes only so that each shard
//! goes from its old keepers to both and from both to its new ones, and it leaves `both` only when no majority of those it leaves can still
//! vouch by the map before, and a majority of those it goes to has everything (joint consensus: Ongaro and Ousterhout 2014, section 6).

use crate::body::MOST_TABLE;
use crate::steps::{portions, step_map};
use crate::table::{BadTable, Table};
use basaltgw_types::{Member, QuorumGroup, RouterId, Shard, ShardMap, TableHash, TableVersion};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// The largest content of the register in bytes: two tables, and what is said of them.
pub const MOST_REGISTER: usize = 2 * MOST_TABLE + 1024;

/// How far the next table is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// There is none.
    Idle,
    /// A router has offered it; its keepers are to check it.
    Offered,
    /// All its keepers have it; nothing has moved.
    Checked,
    /// A portion of shards is kept by old and new keepers.
    Both {
        /// Which portion, from 0.
        step: u16,
        /// It was taken back: portions go the other way.
        back: bool,
    },
}

/// A table on its way in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Next {
    /// The table.
    pub table: Arc<Table>,
    /// Who offered it.
    pub by: RouterId,
    /// Its portions, counted.
    pub steps: u16,
}

/// The content of the table's register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Register {
    pub(crate) turn: u64,
    pub(crate) epoch: u64,
    pub(crate) table: Arc<Table>,
    pub(crate) next: Option<Next>,
    pub(crate) stage: Stage,
}

/// A content that can't be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRegister {
    /// Too many bytes.
    #[error("a table's register of {0} bytes; expected at most {MOST_REGISTER}")]
    Long(usize),
    /// They can't be read.
    #[error("bytes that are no table's register: {0}")]
    Unreadable(#[from] postcard::Error),
    /// One of its tables is none.
    #[error("a table's register that holds {0}")]
    Table(#[from] BadTable),
    /// It says what can't be.
    #[error("a table's register without {0}")]
    Content(&'static str),
}

/// What an operator, or a router that saw the inventory change, asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// A new table, made after the one that holds.
    Next(Arc<Table>),
    /// The table that holds, with one member in another's places: a machine that returned with another disk, or its successor in the same domain.
    Replace {
        /// Who is lost.
        old: Member,
        /// Who comes instead.
        new: Member,
    },
    /// Take the one on its way back.
    TakeBack,
}

/// Why an offer was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// Another one came first.
    #[error("router \"{by}\" came first: its table of version {} (hash {hash}) is on its way in", version.0)]
    Busy {
        /// Who offered it.
        by: RouterId,
        /// Its version.
        version: TableVersion,
        /// Its hash.
        hash: TableHash,
    },
    /// It was made after another table than the one that holds.
    #[error("a table after version {} (hash {after}); expected one after version {} (hash {holds})", version.0.saturating_sub(1), now.0)]
    Stale {
        /// The offered version.
        version: TableVersion,
        /// The table that it was made after.
        after: TableHash,
        /// The version that holds.
        now: TableVersion,
        /// Its hash.
        holds: TableHash,
    },
    /// It has another number of shards.
    #[error("a table of {0} shards; expected {1}, by which holds know their shard")]
    Shards(usize, usize),
    /// Nobody may be replaced so.
    #[error("{0} can't be replaced by {1}; expected a member of the table, and one that is not")]
    Replacement(Member, Member),
    /// The replaced table can't be.
    #[error("the replacement makes {0}")]
    Table(#[from] BadTable),
    /// It is on its way back already.
    #[error("version {} is being taken back already", .0.0)]
    Back(TableVersion),
    /// Too many offers of this router wait for their end.
    #[error("{0} offers of this router wait for their end already")]
    Many(usize),
    /// There is nothing to take back.
    #[error("no table is on its way in; version {} (hash {holds}) holds", now.0)]
    Nothing {
        /// The version that holds.
        now: TableVersion,
        /// Its hash.
        holds: TableHash,
    },
}

/// What members have said of one turn of the register. What they said of another one counts for nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The turn that it is about.
    pub turn: u64,
    /// Who has read this turn with its tables, on its disk, and vouches by no map before it any more.
    pub checked: BTreeSet<Member>,
    /// Who, besides, has all holds of the shards it is to keep after this step, from a majority of those who kept them that had checked (also who was
    /// one of them: it may have missed what the others kept).
    pub filled: BTreeSet<Member>,
}

/// A deliberate fault, for the checker of the rig to find.
#[cfg(any(test, feature = "broken"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The new table is adopted without waiting for what members say.
    AdoptedByHalf,
}

impl Register {
    /// The first content, once the founders have agreed.
    pub fn founding(table: Arc<Table>) -> Self {
        Self { turn: 1, epoch: 1, table, next: None, stage: Stage::Idle }
    }

    /// Changes of the content so far; the first is 1. The register's serial.
    pub fn turn(&self) -> u64 {
        self.turn
    }

    /// Changes of the map so far; the first is 1.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The table that holds, or is being left.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The table on its way in.
    pub fn next(&self) -> Option<&Next> {
        self.next.as_ref()
    }

    /// How far it is.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Who keeps what, by this content.
    pub fn map(&self) -> ShardMap {
        match (&self.next, &self.stage) {
            (Some(next), Stage::Both { step, back }) => {
                step_map(&self.table, &next.table, usize::from(*step), *back, self.epoch)
            }
            (Some(_), Stage::Idle | Stage::Offered | Stage::Checked) | (None, _) => {
                self.table.map(self.epoch)
            }
        }
    }

    fn then(&self, moved: bool, table: &Arc<Table>, next: Option<Next>, stage: Stage) -> Self {
        let epoch = self.epoch + u64::from(moved);
        Self { turn: self.turn + 1, epoch, table: table.clone(), next, stage }
    }

    /// The content with an offer taken.
    ///
    /// # Errors
    /// If another came first (named), it does not fit the table that holds, or there is nothing to take back.
    pub fn propose(&self, by: &RouterId, offer: &Offer) -> Result<Self, Refused> {
        let (now, holds) = (self.table.version(), self.table.hash());
        let offered = match (offer, &self.next) {
            (Offer::TakeBack, None) => return Err(Refused::Nothing { now, holds }),
            (Offer::TakeBack, Some(next)) => return self.take_back(next),
            (Offer::Next(_) | Offer::Replace { .. }, Some(Next { table, by, .. })) => {
                return Err(Refused::Busy { by: by.clone(), version: table.version(), hash: table.hash() });
            }
            (Offer::Next(table), None) => table.clone(),
            (Offer::Replace { old, new }, None) => Arc::new(self.table.replacing(old, new)?),
        };
        follows(&self.table, &offered)?;
        let steps = portions(&self.table, &offered).len() as u16;
        let next = Next { table: offered, by: by.clone(), steps };
        Ok(self.then(false, &self.table, Some(next), Stage::Offered))
    }

    /// Whom a portion comes from have had it all while both kept it, so it goes back at once; those before it have been with the new ones alone, and
    /// go back through both.
    fn take_back(&self, next: &Next) -> Result<Self, Refused> {
        let back = |step| Stage::Both { step, back: true };
        match self.stage {
            Stage::Both { back: true, .. } => Err(Refused::Back(next.table.version())),
            Stage::Both { step: 0, .. } => Ok(self.then(true, &self.table, None, Stage::Idle)),
            Stage::Both { step, .. } => Ok(self.then(true, &self.table, Some(next.clone()), back(step - 1))),
            Stage::Idle | Stage::Offered | Stage::Checked => {
                Ok(self.then(false, &self.table, None, Stage::Idle))
            }
        }
    }

    /// The next content, if what members said of this one allows it.
    pub fn advance(&self, evidence: &Evidence) -> Option<Self> {
        (evidence.turn == self.turn && self.enough(evidence)).then(|| self.onward()).flatten()
    }

    /// [`Register::advance`] with a deliberate fault.
    #[cfg(any(test, feature = "broken"))]
    pub fn advance_broken(&self, _evidence: &Evidence, broken: Broken) -> Option<Self> {
        match broken {
            Broken::AdoptedByHalf => self.onward(),
        }
    }

    fn onward(&self) -> Option<Self> {
        let next = self.next.as_ref()?;
        let stay = |moved, stage| self.then(moved, &self.table, Some(next.clone()), stage);
        Some(match self.stage {
            Stage::Idle => return None,
            Stage::Offered => stay(false, Stage::Checked),
            Stage::Checked => stay(true, Stage::Both { step: 0, back: false }),
            Stage::Both { step, back: false } if step + 1 < next.steps => {
                stay(true, Stage::Both { step: step + 1, back: false })
            }
            Stage::Both { back: false, .. } => self.then(true, &next.table, None, Stage::Idle),
            Stage::Both { step: 0, back: true } => self.then(true, &self.table, None, Stage::Idle),
            Stage::Both { step, back: true } => stay(true, Stage::Both { step: step - 1, back: true }),
        })
    }

    /// Shards that move in this step.
    pub fn moving(&self) -> Vec<Shard> {
        match (&self.next, &self.stage) {
            (Some(next), Stage::Both { step, .. }) => {
                portions(&self.table, &next.table).into_iter().nth(usize::from(*step)).unwrap_or_default()
            }
            (Some(_), Stage::Idle | Stage::Offered | Stage::Checked) | (None, _) => Vec::new(),
        }
    }

    /// The groups that are left and those that are gone to, of each shard that moves in this step (`None`: the root).
    pub fn changing(&self) -> Vec<(Option<Shard>, QuorumGroup, QuorumGroup)> {
        let (Some(next), Stage::Both { back, .. }) = (&self.next, &self.stage) else { return Vec::new() };
        let (from, to) = if *back { (&next.table, &self.table) } else { (&self.table, &next.table) };
        let pair = |s: Shard| Some((Some(s), from.keepers(s)?.clone(), to.keepers(s)?.clone()));
        let mut all: Vec<_> = self.moving().into_iter().filter_map(pair).collect();
        all.push((None, from.root(), to.root()));
        all
    }

    fn enough(&self, evidence: &Evidence) -> bool {
        let count = |group: &QuorumGroup, who: &BTreeSet<Member>| {
            group.members.iter().filter(|m| who.contains(m)).count()
        };
        match (&self.stage, &self.next) {
            (Stage::Offered, Some(next)) => next.table.routers().all(|(m, _)| evidence.checked.contains(m)),
            (Stage::Checked, Some(_)) => true,
            (Stage::Both { .. }, Some(_)) => self.changing().iter().all(|(_, from, to)| {
                count(from, &evidence.checked) >= from.quorum && count(to, &evidence.filled) >= to.quorum
            }),
            (Stage::Idle, _) | (Stage::Offered | Stage::Checked | Stage::Both { .. }, None) => false,
        }
    }
}

/// Refuses a table that was not made after another.
pub(crate) fn follows(table: &Table, next: &Table) -> Result<(), Refused> {
    let (version, after) = (next.version(), next.before());
    let (now, holds) = (table.version(), table.hash());
    if version.0 != now.0 + 1 || after != holds {
        return Err(Refused::Stale { version, after, now, holds });
    }
    match next.shards() == table.shards() {
        true => Ok(()),
        false => Err(Refused::Shards(next.shards(), table.shards())),
    }
}

impl fmt::Display for Register {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} (hash {}) holds", self.table.version().0, self.table.hash())?;
        let Some(next) = &self.next else { return Ok(()) };
        write!(f, "; version {} (hash {}) by {} is ", next.table.version().0, next.table.hash(), next.by)?;
        match self.stage {
            Stage::Idle | Stage::Offered => f.write_str("offered"),
            Stage::Checked => f.write_str("checked"),
            Stage::Both { step, back } => {
                let way = if back { "taken back" } else { "moved to" };
                write!(f, "{way} with both, step {} of {}", step + 1, next.steps)
            }
        }
    }
}
