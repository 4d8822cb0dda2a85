//! The table register: which table is in effect, and how far the adoption of a proposed one is.
//!
//! proposed -> durable -> joint (one portion of shards at a time) -> in effect. Until the last step the proposal may be withdrawn, by the same
//! steps in reverse. Every change is one compare-and-swap of the whole content, so of two proposals one finds the other already there. The map
//! changes only so that each shard goes from its old replicas to both sets, and from both to the new replicas. A joint step is left only when no
//! majority of the replicas that it leaves can still serve under the map before it, and a majority of the replicas that it goes to has synced
//! (joint consensus: Ongaro and Ousterhout 2014, section 6).

use crate::steps::{portions, step_map};
use crate::table::{InvalidTable, Table};
use crate::table_body::MAX_TABLE_BYTES;
use basaltgw_types::{Member, QuorumGroup, RouterId, Shard, ShardMap, TableHash, TableVersion};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Largest encoded register in bytes: two tables, and the state of the adoption.
pub const MAX_REGISTER_BYTES: usize = 2 * MAX_TABLE_BYTES + 1024;

/// Stage of an adoption.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No table is proposed.
    Idle,
    /// A table is proposed; its members are to make it durable.
    Proposed,
    /// The proposed table is durable at all its members. No shard has moved.
    Durable,
    /// The shards of one portion have both their old and their new replicas.
    Joint {
        /// Number of the portion, from 0.
        step: u16,
        /// Whether the proposal is being withdrawn, so that portions are left in reverse order.
        withdrawing: bool,
    },
}

/// A table whose adoption is in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposedTable {
    /// The table.
    pub table: Arc<Table>,
    /// Router that proposed it.
    pub proposer: RouterId,
    /// Number of portions in which shards move to it.
    pub steps: u16,
}

/// Content of the table register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Register {
    pub(crate) term: u64,
    pub(crate) epoch: u64,
    pub(crate) table: Arc<Table>,
    pub(crate) proposed: Option<ProposedTable>,
    pub(crate) stage: Stage,
}

/// Bytes that are no valid table register.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRegister {
    /// More bytes than [`MAX_REGISTER_BYTES`].
    #[error("table register of {bytes} bytes; expected at most {MAX_REGISTER_BYTES}")]
    TooLong {
        /// Size of the encoded register.
        bytes: usize,
    },
    /// The bytes can't be decoded.
    #[error("table register can't be decoded: {0}")]
    Undecodable(#[from] postcard::Error),
    /// One of its tables is invalid.
    #[error("table register with an invalid table: {0}")]
    Table(#[from] InvalidTable),
    /// Its parts contradict each other.
    #[error("invalid table register: expected {expected}")]
    Inconsistent {
        /// The property that the register lacks.
        expected: &'static str,
    },
}

/// A requested change of the table, by an operator or by a router that saw the inventory change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// A table compiled as the successor of the one in effect.
    NewTable(Arc<Table>),
    /// The table in effect with one member replaced: by the same machine with another disk, or by its successor in the same domain.
    ReplaceMember {
        /// The lost member.
        old: Member,
        /// The member that gets its shards.
        new: Member,
    },
    /// Withdraw the proposed table.
    Withdraw,
}

/// Why a proposal is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// Another proposal is in progress.
    #[error("router \"{proposer}\" came first: its table version {} (hash {hash}) is being adopted", version.0)]
    Pending {
        /// Router that proposed it.
        proposer: RouterId,
        /// Proposed version.
        version: TableVersion,
        /// Hash of the proposed table.
        hash: TableHash,
    },
    /// The proposed table succeeds another table than the one in effect.
    #[error(
        "the proposed table succeeds version {} (hash {predecessor}); expected a successor of version {} (hash {current_hash}), which is in effect",
        version.0.saturating_sub(1),
        current_version.0
    )]
    Stale {
        /// Proposed version.
        version: TableVersion,
        /// Hash of the table that the proposed one succeeds.
        predecessor: TableHash,
        /// Version in effect.
        current_version: TableVersion,
        /// Hash of the table in effect.
        current_hash: TableHash,
    },
    /// The proposed table has another number of shards.
    #[error("the proposed table has {proposed} shards; expected {expected}, by which registers are mapped to shards")]
    ShardCountChanged {
        /// Number of shards of the proposed table.
        proposed: usize,
        /// Number of shards of the table in effect.
        expected: usize,
    },
    /// The old member is not in the table, or the new one is.
    #[error("{old} can't be replaced by {new}; expected a member of the table, and one that is not")]
    InvalidReplacement {
        /// Member to replace.
        old: Member,
        /// Its replacement.
        new: Member,
    },
    /// The replacement results in an invalid table.
    #[error("the replacement results in an invalid table: {0}")]
    Table(#[from] InvalidTable),
    /// The proposed table is being withdrawn already.
    #[error("table version {} is being withdrawn already", version.0)]
    AlreadyWithdrawn {
        /// Proposed version.
        version: TableVersion,
    },
    /// Too many proposals of this router are not completed.
    #[error("{limit} proposals of this router are not completed yet")]
    TooMany {
        /// Largest number of open proposals.
        limit: usize,
    },
    /// No table is proposed.
    #[error("no table is proposed; version {} (hash {current_hash}) is in effect", current_version.0)]
    NothingToWithdraw {
        /// Version in effect.
        current_version: TableVersion,
        /// Hash of the table in effect.
        current_hash: TableHash,
    },
}

/// The members' progress in one term of the register. Reports about other terms do not count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberProgress {
    /// The term.
    pub term: u64,
    /// Members at which the content of this term is durable, with its tables. They no longer serve under an earlier map.
    pub durable: BTreeSet<Member>,
    /// Members that have also synced all registers of the shards that they get in this step, from a majority of previous replicas that were durable
    /// in this term. This includes members that were previous replicas themselves: they may lack what the others store.
    pub synced: BTreeSet<Member>,
}

/// Replicas of a shard before and after the present joint step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangingGroup {
    /// The shard; `None` for the root.
    pub shard: Option<Shard>,
    /// The replicas that it leaves.
    pub from: QuorumGroup,
    /// The replicas that it goes to.
    pub to: QuorumGroup,
}

/// A bug injected on purpose, which the checkers of the tests must detect.
#[cfg(any(test, feature = "broken"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// The adoption advances without waiting for progress reports.
    AdvanceWithoutReports,
}

impl Register {
    /// The first content of a fleet.
    pub fn bootstrap(table: Arc<Table>) -> Self {
        Self { term: 1, epoch: 1, table, proposed: None, stage: Stage::Idle }
    }

    /// Number of changes of the content, from 1; `crates/registers` stores it as the serial of the register's record.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Number of changes of the shard map, from 1.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The table in effect; during an adoption the one that is being left.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The table that is being adopted.
    pub fn proposed(&self) -> Option<&ProposedTable> {
        self.proposed.as_ref()
    }

    /// Stage of the adoption.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// The shard map that this content puts into effect.
    pub fn map(&self) -> ShardMap {
        match (&self.proposed, &self.stage) {
            (Some(proposed), Stage::Joint { step, withdrawing }) => {
                step_map(&self.table, &proposed.table, usize::from(*step), *withdrawing, self.epoch)
            }
            (Some(_), Stage::Idle | Stage::Proposed | Stage::Durable) | (None, _) => {
                self.table.map(self.epoch)
            }
        }
    }

    fn successor(
        &self,
        map_changes: bool,
        table: &Arc<Table>,
        proposed: Option<ProposedTable>,
        stage: Stage,
    ) -> Self {
        let epoch = self.epoch + u64::from(map_changes);
        Self { term: self.term + 1, epoch, table: table.clone(), proposed, stage }
    }

    /// The content with a proposal accepted.
    ///
    /// # Errors
    /// If another proposal is in progress, this one does not fit the table in effect, or there is nothing to withdraw.
    pub fn propose(&self, proposer: &RouterId, proposal: &Proposal) -> Result<Self, ProposalError> {
        let (current_version, current_hash) = (self.table.version(), self.table.hash());
        let table = match (proposal, &self.proposed) {
            (Proposal::Withdraw, None) => {
                return Err(ProposalError::NothingToWithdraw { current_version, current_hash })
            }
            (Proposal::Withdraw, Some(proposed)) => return self.withdraw(proposed),
            (Proposal::NewTable(_) | Proposal::ReplaceMember { .. }, Some(pending)) => {
                let (version, hash) = (pending.table.version(), pending.table.hash());
                return Err(ProposalError::Pending { proposer: pending.proposer.clone(), version, hash });
            }
            (Proposal::NewTable(table), None) => table.clone(),
            (Proposal::ReplaceMember { old, new }, None) => Arc::new(self.table.with_replacement(old, new)?),
        };
        check_successor(&self.table, &table)?;
        let steps = portions(&self.table, &table).len() as u16;
        let proposed = ProposedTable { table, proposer: proposer.clone(), steps };
        Ok(self.successor(false, &self.table, Some(proposed), Stage::Proposed))
    }

    /// The old replicas of the present portion stored everything during the joint step, so this portion goes back at once. Earlier portions
    /// were stored by their new replicas alone, and go back through a joint step.
    fn withdraw(&self, proposed: &ProposedTable) -> Result<Self, ProposalError> {
        match self.stage {
            Stage::Joint { withdrawing: true, .. } => {
                Err(ProposalError::AlreadyWithdrawn { version: proposed.table.version() })
            }
            Stage::Joint { step: 0, .. } => Ok(self.successor(true, &self.table, None, Stage::Idle)),
            Stage::Joint { step, .. } => {
                let stage = Stage::Joint { step: step - 1, withdrawing: true };
                Ok(self.successor(true, &self.table, Some(proposed.clone()), stage))
            }
            Stage::Idle | Stage::Proposed | Stage::Durable => {
                Ok(self.successor(false, &self.table, None, Stage::Idle))
            }
        }
    }

    /// The next content, if the members' progress in this term allows it.
    pub fn advance(&self, progress: &MemberProgress) -> Option<Self> {
        (progress.term == self.term && self.is_step_complete(progress)).then(|| self.next_step()).flatten()
    }

    /// [`Register::advance`] with an injected bug.
    #[cfg(any(test, feature = "broken"))]
    pub fn advance_with_bug(&self, _progress: &MemberProgress, bug: InjectedBug) -> Option<Self> {
        match bug {
            InjectedBug::AdvanceWithoutReports => self.next_step(),
        }
    }

    fn next_step(&self) -> Option<Self> {
        let proposed = self.proposed.as_ref()?;
        let to_stage =
            |map_changes, stage| self.successor(map_changes, &self.table, Some(proposed.clone()), stage);
        Some(match self.stage {
            Stage::Idle => return None,
            Stage::Proposed => to_stage(false, Stage::Durable),
            Stage::Durable => to_stage(true, Stage::Joint { step: 0, withdrawing: false }),
            Stage::Joint { step, withdrawing: false } if step + 1 < proposed.steps => {
                to_stage(true, Stage::Joint { step: step + 1, withdrawing: false })
            }
            Stage::Joint { withdrawing: false, .. } => {
                self.successor(true, &proposed.table, None, Stage::Idle)
            }
            Stage::Joint { step: 0, withdrawing: true } => {
                self.successor(true, &self.table, None, Stage::Idle)
            }
            Stage::Joint { step, withdrawing: true } => {
                to_stage(true, Stage::Joint { step: step - 1, withdrawing: true })
            }
        })
    }

    /// Shards that move in the present joint step.
    pub fn moving_shards(&self) -> Vec<Shard> {
        match (&self.proposed, &self.stage) {
            (Some(proposed), Stage::Joint { step, .. }) => {
                portions(&self.table, &proposed.table).into_iter().nth(usize::from(*step)).unwrap_or_default()
            }
            (Some(_), Stage::Idle | Stage::Proposed | Stage::Durable) | (None, _) => Vec::new(),
        }
    }

    /// The replicas of each shard that moves in the present joint step, and of the root; empty in other stages.
    pub fn changing_groups(&self) -> Vec<ChangingGroup> {
        let (Some(proposed), Stage::Joint { withdrawing, .. }) = (&self.proposed, &self.stage) else {
            return Vec::new();
        };
        let (from, to) =
            if *withdrawing { (&proposed.table, &self.table) } else { (&self.table, &proposed.table) };
        let groups = |shard: Shard| {
            let (from, to) = (from.replicas(shard)?.clone(), to.replicas(shard)?.clone());
            Some(ChangingGroup { shard: Some(shard), from, to })
        };
        let mut all: Vec<_> = self.moving_shards().into_iter().filter_map(groups).collect();
        all.push(ChangingGroup { shard: None, from: from.root(), to: to.root() });
        all
    }

    fn is_step_complete(&self, progress: &MemberProgress) -> bool {
        let count = |group: &QuorumGroup, members: &BTreeSet<Member>| {
            group.members.iter().filter(|m| members.contains(m)).count()
        };
        match (&self.stage, &self.proposed) {
            (Stage::Proposed, Some(proposed)) => {
                proposed.table.routers().all(|(m, _)| progress.durable.contains(m))
            }
            (Stage::Durable, Some(_)) => true,
            (Stage::Joint { .. }, Some(_)) => {
                self.changing_groups().iter().all(|ChangingGroup { from, to, .. }| {
                    count(from, &progress.durable) >= from.quorum && count(to, &progress.synced) >= to.quorum
                })
            }
            (Stage::Idle, _) | (Stage::Proposed | Stage::Durable | Stage::Joint { .. }, None) => false,
        }
    }
}

/// Rejects a table that does not succeed `current`.
pub(crate) fn check_successor(current: &Table, next: &Table) -> Result<(), ProposalError> {
    let (version, predecessor) = (next.version(), next.predecessor());
    let (current_version, current_hash) = (current.version(), current.hash());
    if version.0 != current_version.0 + 1 || predecessor != current_hash {
        return Err(ProposalError::Stale { version, predecessor, current_version, current_hash });
    }
    let (proposed, expected) = (next.shard_count(), current.shard_count());
    match proposed == expected {
        true => Ok(()),
        false => Err(ProposalError::ShardCountChanged { proposed, expected }),
    }
}
