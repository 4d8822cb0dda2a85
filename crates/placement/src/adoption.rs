//! A router's part in the adoption of a table: what it does on each content of the register, and when it requests the next step.
//!
//! The register is changed by compare-and-swap alone. A router that is some epochs behind learns the newer map from the register's content; until
//! then its replies under an old map do not count for routers with a newer one, since `crates/registers` compares epochs.

#[cfg(any(test, feature = "broken"))]
use crate::register::InjectedBug;
use crate::register::{MemberProgress, Proposal, ProposalError, Register, Stage};
use crate::table::Table;
use basaltgw_types::{Member, QuorumGroup, Shard, ShardMap, TableHash};
use std::sync::Arc;

/// Number of a proposal, chosen by the caller and returned with the outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProposalNumber(pub u64);

/// Input of [`Adoption::handle`].
#[derive(Clone, Debug)]
pub enum AdoptionEvent {
    /// The fleet is bootstrapped with this table; ignored once a content of the register is known.
    Bootstrap(Arc<Table>),
    /// A content of the register, from its replicas or from the copy on this router's disk.
    RegisterLearned(Register),
    /// A member reports its progress in a term of the register.
    ProgressReported {
        /// The member.
        member: Member,
        /// Term whose content is durable at the member.
        term: u64,
        /// Whether the member has also synced all shards that it gets in this step.
        synced: bool,
    },
    /// The shards of [`AdoptionAction::SyncShards`] are durable at this router.
    Synced {
        /// Term of the action.
        term: u64,
    },
    /// A proposal by an operator, or because the inventory has changed.
    Proposed {
        /// Its number.
        number: ProposalNumber,
        /// What is proposed.
        proposal: Proposal,
    },
    /// Nothing was received for as long as a change of the register takes: open requests are repeated.
    RetryDue,
}

/// Output of [`Adoption::handle`], to be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum AdoptionAction {
    /// Change the register by compare-and-swap.
    ChangeRegister {
        /// Expected term of the present content; 0 if there is none.
        from: u64,
        /// The new content.
        to: Register,
    },
    /// Make the content durable, and from then on serve register requests under this map alone.
    UseMap(Arc<ShardMap>),
    /// Report to all members, once the actions before this one are completed.
    ReportProgress {
        /// Term whose content is durable.
        term: u64,
        /// Whether no shard had to be synced, or all are.
        synced: bool,
    },
    /// Get the registers that a majority of the previous replicas of these shards stores. Only replies at this map's epoch or a later one count.
    SyncShards {
        /// Term, to be returned in [`AdoptionEvent::Synced`].
        term: u64,
        /// Shards to sync.
        shards: Vec<Shard>,
    },
    /// A proposal is completed or rejected.
    CompleteProposal {
        /// Its number.
        number: ProposalNumber,
        /// Its outcome.
        result: Result<ProposalOutcome, ProposalError>,
    },
}

/// Outcome of a proposal that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The proposed table is in effect.
    Adopted(TableHash),
    /// The proposed table was withdrawn; this one stays in effect.
    Withdrawn(TableHash),
}

/// Counters of ignored inputs and rejected proposals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdoptionCounters {
    /// Contents of the register whose term is not above the known one.
    pub stale_registers: u64,
    /// Progress reports about another term than the present one.
    pub other_terms: u64,
    /// Progress reports of routers that are in neither table.
    pub non_members: u64,
    /// Rejected proposals.
    pub rejected: u64,
}

/// Largest number of proposals of one router that are not completed.
pub const MAX_OPEN_PROPOSALS: usize = 8;

/// A proposal that is not completed.
#[derive(Clone, Debug)]
struct OpenProposal {
    number: ProposalNumber,
    proposal: Proposal,
    /// Hash of the table that is proposed or withdrawn, once it is requested.
    table: Option<TableHash>,
    /// Whether a content of the register with this proposal was seen.
    accepted: bool,
}

/// The adoption of tables at one router.
#[derive(Clone, Debug)]
pub struct Adoption {
    me: Member,
    register: Option<Register>,
    bootstrap_table: Option<Arc<Table>>,
    progress: MemberProgress,
    open: Vec<OpenProposal>,
    counters: AdoptionCounters,
    #[cfg(any(test, feature = "broken"))]
    injected_bug: Option<InjectedBug>,
}

impl Adoption {
    /// A router that knows no content of the register.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            register: None,
            bootstrap_table: None,
            progress: MemberProgress::default(),
            open: Vec::new(),
            counters: AdoptionCounters::default(),
            #[cfg(any(test, feature = "broken"))]
            injected_bug: None,
        }
    }

    /// Injects a bug for the checkers of tests to detect.
    #[cfg(any(test, feature = "broken"))]
    pub fn inject_bug(&mut self, bug: InjectedBug) {
        self.injected_bug = Some(bug);
    }

    /// Latest known content of the register.
    pub fn register(&self) -> Option<&Register> {
        self.register.as_ref()
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> AdoptionCounters {
        self.counters
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, event: AdoptionEvent, actions: &mut Vec<AdoptionAction>) {
        match event {
            AdoptionEvent::Bootstrap(table) => {
                if self.register.is_none() {
                    actions.push(AdoptionAction::UseMap(Arc::new(table.bootstrap_map())));
                    self.bootstrap_table = Some(table);
                    self.retry(actions);
                }
            }
            AdoptionEvent::RegisterLearned(register) => self.on_register(register, actions),
            AdoptionEvent::ProgressReported { member, term, synced } => {
                self.on_progress(member, term, synced, actions);
            }
            AdoptionEvent::Synced { term } => {
                if self.register.as_ref().is_some_and(|r| r.term() == term) {
                    actions.push(AdoptionAction::ReportProgress { term, synced: true });
                }
            }
            AdoptionEvent::Proposed { number, proposal } => self.on_proposal(number, proposal, actions),
            AdoptionEvent::RetryDue => self.retry(actions),
        }
    }

    /// Requests what is open: the bootstrap content, a proposal, the next step.
    fn retry(&mut self, actions: &mut Vec<AdoptionAction>) {
        match (&self.register, &self.bootstrap_table) {
            (None, Some(table)) => {
                actions
                    .push(AdoptionAction::ChangeRegister { from: 0, to: Register::bootstrap(table.clone()) });
            }
            (None, None) => {}
            (Some(_), _) => {
                self.propose(actions);
                self.advance(actions);
            }
        }
    }

    fn on_proposal(&mut self, number: ProposalNumber, proposal: Proposal, actions: &mut Vec<AdoptionAction>) {
        if self.open.len() >= MAX_OPEN_PROPOSALS {
            self.counters.rejected += 1;
            let result = Err(ProposalError::TooMany { limit: MAX_OPEN_PROPOSALS });
            actions.push(AdoptionAction::CompleteProposal { number, result });
            return;
        }
        self.open.push(OpenProposal { number, proposal, table: None, accepted: false });
        self.propose(actions);
    }

    /// Requests the first open proposal that the register does not have yet; proposals that do not fit the content are rejected.
    fn propose(&mut self, actions: &mut Vec<AdoptionAction>) {
        let Some(register) = &self.register else { return };
        let (mut requested, mut remaining) = (false, Vec::new());
        for mut open in std::mem::take(&mut self.open) {
            if requested || open.accepted {
                remaining.push(open);
                continue;
            }
            match register.propose(&self.me.router, &open.proposal) {
                Ok(to) => {
                    let proposed = match open.proposal {
                        Proposal::Withdraw => register.proposed(),
                        Proposal::NewTable(_) | Proposal::ReplaceMember { .. } => to.proposed(),
                    };
                    open.table = proposed.map(|p| p.table.hash());
                    remaining.push(open);
                    actions.push(AdoptionAction::ChangeRegister { from: register.term(), to });
                    requested = true;
                }
                Err(error) => {
                    self.counters.rejected += 1;
                    let (number, result) = (open.number, Err(error));
                    actions.push(AdoptionAction::CompleteProposal { number, result });
                }
            }
        }
        self.open = remaining;
    }

    fn on_register(&mut self, register: Register, actions: &mut Vec<AdoptionAction>) {
        if self.register.as_ref().is_some_and(|r| register.term() <= r.term()) {
            self.counters.stale_registers += 1;
            return;
        }
        if self.register.as_ref().is_none_or(|r| register.epoch() > r.epoch()) {
            actions.push(AdoptionAction::UseMap(Arc::new(register.map())));
        }
        self.bootstrap_table = None;
        self.progress = MemberProgress { term: register.term(), ..MemberProgress::default() };
        let is_member = |group: &QuorumGroup| group.members.contains(&self.me);
        // A previous replica of the shard syncs too: it may lack what a majority of the others stores, and would count among the new replicas.
        let assigned = register.changing_groups().into_iter().filter(|group| is_member(&group.to));
        let shards: Vec<Shard> = assigned.filter_map(|group| group.shard).collect();
        let term = register.term();
        actions.push(AdoptionAction::ReportProgress { term, synced: shards.is_empty() });
        if !shards.is_empty() {
            actions.push(AdoptionAction::SyncShards { term, shards });
        }
        self.register = Some(register);
        self.complete_proposals(actions);
        self.propose(actions);
        if self.is_proposer() {
            self.advance(actions);
        }
    }

    /// Whether this router proposed the table in the register. The proposer requests the steps at once, the others only on a retry.
    fn is_proposer(&self) -> bool {
        self.register.as_ref().and_then(Register::proposed).is_some_and(|p| p.proposer == self.me.router)
    }

    /// Completes the proposals whose outcome is decided by the register.
    fn complete_proposals(&mut self, actions: &mut Vec<AdoptionAction>) {
        let Some(register) = &self.register else { return };
        let (me, current_hash) = (&self.me.router, register.table().hash());
        let (current_version, proposed) = (register.table().version(), register.proposed());
        self.open.retain_mut(|open| {
            let is_withdrawal = open.proposal == Proposal::Withdraw;
            let result = match proposed {
                Some(proposed) => {
                    let same = open.table == Some(proposed.table.hash());
                    let withdrawing = matches!(register.stage(), Stage::Joint { withdrawing: true, .. });
                    open.accepted |=
                        same && if is_withdrawal { withdrawing } else { proposed.proposer == *me };
                    None
                }
                None if open.table.is_none() => None,
                None if open.table == Some(current_hash) => Some(match is_withdrawal {
                    true => Err(ProposalError::NothingToWithdraw { current_version, current_hash }),
                    false => Ok(ProposalOutcome::Adopted(current_hash)),
                }),
                None if is_withdrawal || open.accepted => Some(Ok(ProposalOutcome::Withdrawn(current_hash))),
                None => None,
            };
            let number = open.number;
            let is_open = result.is_none();
            actions.extend(result.map(|result| AdoptionAction::CompleteProposal { number, result }));
            is_open
        });
    }

    fn on_progress(&mut self, member: Member, term: u64, synced: bool, actions: &mut Vec<AdoptionAction>) {
        let Some(register) = &self.register else { return };
        let is_member_of = |t: &Table| t.routers().any(|(m, _)| *m == member);
        if term != self.progress.term {
            self.counters.other_terms += 1;
        } else if !is_member_of(register.table())
            && !register.proposed().is_some_and(|p| is_member_of(&p.table))
        {
            self.counters.non_members += 1;
        } else {
            if synced {
                self.progress.synced.insert(member.clone());
            }
            self.progress.durable.insert(member);
            if self.is_proposer() {
                self.advance(actions);
            }
        }
    }

    /// Requests the next step if the members' progress allows it.
    fn advance(&self, actions: &mut Vec<AdoptionAction>) {
        let Some(register) = &self.register else { return };
        #[cfg(any(test, feature = "broken"))]
        let next = match self.injected_bug {
            Some(bug) => register.advance_with_bug(&self.progress, bug),
            None => register.advance(&self.progress),
        };
        #[cfg(not(any(test, feature = "broken")))]
        let next = register.advance(&self.progress);
        if let Some(to) = next {
            actions.push(AdoptionAction::ChangeRegister { from: register.term(), to });
        }
    }

    /// The members' reported progress in the present term.
    pub fn member_progress(&self) -> &MemberProgress {
        &self.progress
    }
}
