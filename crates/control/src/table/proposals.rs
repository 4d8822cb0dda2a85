//! Proposals: when this router proposes a table, or withdraws one that makes no progress.
//!
//! Inputs: connected and lost routers, the configured rules, the register, time in milliseconds. A table is proposed for new rules, by the
//! router that has them, and for members that joined, were lost for `replace_after`, or returned with another data folder. For members the
//! first available member of the table proposes, or with persistent links the nearest watcher, so that one router proposes at a time.

use super::adoption::progress_report;
use super::bootstrap::join_lines;
use super::{TableAction, TableCount, TableManager};
use basaltgw_placement::{
    shard_moves, AdoptionEvent, Proposal, ProposalError, ProposalNumber, Register, Stage, Table,
};
use basaltgw_types::{Member, Ms};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Interval at which an open step of an adoption is requested and reported again.
const RETRY_INTERVAL_MS: Ms = 1_000.0;
/// Smallest interval between proposals of this router, so that several joining routers share one table.
const PROPOSAL_INTERVAL_MS: Ms = 1_500.0;
/// A proposed table without progress for this long is withdrawn: a member that it needs is lost.
const PROPOSAL_TIMEOUT_MS: Ms = 6_000.0;

/// State of this router's proposals.
#[derive(Debug)]
pub(super) struct Proposals {
    last_number: u64,
    last_proposed_at: Ms,
    /// Members of the last compiled table: the same members are not proposed again.
    pub considered: BTreeSet<Member>,
    /// Members of the last table that did not compile: they are not tried again.
    uncompilable: Option<BTreeSet<Member>>,
    /// Whether new rules wait to be proposed.
    has_new_rules: bool,
    register_changed_at: Ms,
    last_retry_at: Ms,
}

/// Why a table is compiled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    NewRules,
    MembersChanged,
}

impl Proposals {
    pub fn new() -> Self {
        Self {
            last_number: 0,
            last_proposed_at: 0.0,
            considered: BTreeSet::new(),
            uncompilable: None,
            has_new_rules: false,
            register_changed_at: 0.0,
            last_retry_at: 0.0,
        }
    }

    pub fn observe_register_change(&mut self, now: Ms) {
        self.register_changed_at = now;
    }

    fn is_retry_due(&self, now: Ms) -> bool {
        now >= self.last_retry_at + RETRY_INTERVAL_MS
    }

    fn is_proposal_due(&self, now: Ms) -> bool {
        now >= self.last_proposed_at + PROPOSAL_INTERVAL_MS
    }

    fn is_stalled(&self, now: Ms) -> bool {
        now >= self.register_changed_at + PROPOSAL_TIMEOUT_MS
    }
}

impl TableManager {
    /// New rules as file name and text; proposed by one of the next ticks.
    pub fn set_rules(&mut self, name: String, text: String) {
        self.config.rules = vec![(name, text)];
        self.proposals.has_new_rules = true;
    }

    /// Repeats open steps, and proposes what is due.
    pub fn tick(&mut self, now: Ms) -> Vec<TableAction> {
        let mut actions = self.try_bootstrap(now);
        if !self.proposals.is_retry_due(now) {
            return actions;
        }
        self.proposals.last_retry_at = now;
        let Some(register) = self.adoption.register().cloned() else { return actions };
        self.mark_unconnected_members_lost(now, &register);
        if register.proposed().is_some() {
            actions.extend(self.continue_adoption(now, &register));
        } else if self.may_propose(now, &register) {
            actions.extend(self.propose_if_due(now, &register));
        }
        actions
    }

    fn may_propose(&self, now: Ms, register: &Register) -> bool {
        self.proposals.is_proposal_due(now)
            && !self.register_change_pending
            && *register.stage() == Stage::Idle
    }

    /// Repeats reports and requests of the adoption in progress; withdraws it if it has stalled.
    fn continue_adoption(&mut self, now: Ms, register: &Register) -> Vec<TableAction> {
        let mut actions: Vec<TableAction> = self.reject_conflicting_rules().into_iter().collect();
        let is_stalled = self.proposals.is_stalled(now);
        actions.extend(self.repeat_progress_report(register.term(), is_stalled));
        let is_withdrawer = self.is_first_available()
            || self.peers.has_persistent_links() && self.is_nearest_watcher(self.peers.lost_since.keys());
        if is_stalled && is_withdrawer && !self.register_change_pending {
            log::warn!(
                "withdrawing the proposed table after {PROPOSAL_TIMEOUT_MS} ms without progress: {register}"
            );
            actions.extend(self.propose(now, Proposal::Withdraw));
            self.proposals.register_changed_at = now;
        }
        actions.extend(self.handle_adoption(AdoptionEvent::RetryDue));
        actions
    }

    /// Repeats the report of this router's progress in a term, because an earlier one may have been lost; to all routers if the adoption has
    /// stalled.
    fn repeat_progress_report(&self, term: u64, is_stalled: bool) -> Option<TableAction> {
        let me = &self.config.me;
        let progress = self.adoption.member_progress();
        let report = match (progress.durable.contains(me), progress.synced.contains(me)) {
            (_, true) => progress_report(term, true),
            (true, false) => progress_report(term, false),
            (false, false) => return None,
        };
        Some(match is_stalled {
            true => TableAction::Broadcast(report),
            false => self.send_progress_report(report),
        })
    }

    /// Rejects new rules while another router's table is proposed: its proposer did not know them.
    pub(super) fn reject_conflicting_rules(&mut self) -> Option<TableAction> {
        let proposal = self.adoption.register().and_then(Register::proposed);
        let other = proposal.filter(|next| next.proposer != self.config.me.router)?;
        if !self.proposals.has_new_rules {
            return None;
        }
        let (version, hash) = (other.table.version(), other.table.hash());
        log::warn!(
            "new rules rejected: {}",
            ProposalError::Pending { proposer: other.proposer.clone(), version, hash }
        );
        self.proposals.has_new_rules = false;
        Some(TableAction::Count(TableCount::Rejected))
    }

    fn propose(&mut self, now: Ms, proposal: Proposal) -> Vec<TableAction> {
        self.proposals.last_number += 1;
        self.proposals.last_proposed_at = now;
        self.handle_adoption(AdoptionEvent::Proposed {
            number: ProposalNumber(self.proposals.last_number),
            proposal,
        })
    }

    /// Whether this router is the first available member of the table.
    fn is_first_available(&self) -> bool {
        let Some(register) = self.adoption.register() else { return false };
        let mut available = register.table().routers().filter(|(member, _)| self.peers.is_available(member));
        available.next().is_some_and(|(member, _)| *member == self.config.me)
    }

    /// Proposes new rules or changed members.
    fn propose_if_due(&mut self, now: Ms, register: &Register) -> Vec<TableAction> {
        let table = register.table();
        let current: BTreeSet<Member> = table.routers().map(|(member, _)| member.clone()).collect();
        let wanted = self.wanted_members(now, &current);
        if self.proposals.has_new_rules && self.is_member() {
            self.proposals.has_new_rules = false;
            return self.propose_table(now, wanted, table, Cause::NewRules);
        }
        if !self.proposes_members(&current, &wanted) {
            return Vec::new();
        }
        match self.find_replacement(&current, &wanted) {
            Some((old, new)) => {
                log::info!("member {old} has returned as {new}: proposing it as the replacement");
                let mut actions = self.propose(now, Proposal::ReplaceMember { old, new });
                actions.push(TableAction::Count(TableCount::MemberReplaced));
                actions
            }
            None => self.propose_table(now, wanted, table, Cause::MembersChanged),
        }
    }

    /// Members of the next table: connected routers, and members that are not lost for long enough to be replaced.
    fn wanted_members(&self, now: Ms, current: &BTreeSet<Member>) -> BTreeSet<Member> {
        let mut wanted: BTreeSet<Member> = self.peers.connected.values().cloned().collect();
        for member in current {
            let is_replaced = self.peers.is_lost_for(&member.router, self.config.replace_after, now);
            if !is_replaced && !self.peers.connected.contains_key(&member.router) {
                wanted.insert(member.clone());
            }
        }
        wanted
    }

    /// Whether this router proposes a table because of changed members.
    fn proposes_members(&self, current: &BTreeSet<Member>, wanted: &BTreeSet<Member>) -> bool {
        let is_considered = *wanted == self.proposals.considered || wanted == current;
        if current.is_subset(wanted) && is_considered {
            return false;
        }
        if self.proposals.uncompilable.as_ref() == Some(wanted) {
            return false;
        }
        match self.peers.has_persistent_links() {
            true => self.is_nearest_watcher(current.symmetric_difference(wanted).map(|m| &m.router)),
            false => self.is_first_available(),
        }
    }

    /// The first member of which another incarnation is connected, and that incarnation.
    fn find_replacement(
        &self,
        current: &BTreeSet<Member>,
        wanted: &BTreeSet<Member>,
    ) -> Option<(Member, Member)> {
        current.difference(wanted).find_map(|old| {
            let new = self.peers.connected.get(&old.router)?;
            Some((old.clone(), new.clone()))
        })
    }

    fn propose_table(
        &mut self,
        now: Ms,
        members: BTreeSet<Member>,
        table: &Table,
        cause: Cause,
    ) -> Vec<TableAction> {
        let compiled = self.compile(&members, Some(table));
        self.proposals.considered = members;
        match compiled {
            // A new member without a replica needs no table.
            Ok(next) if cause == Cause::MembersChanged && shard_moves(table, &next).moved_replicas() == 0 => {
                self.proposals.last_proposed_at = now;
                Vec::new()
            }
            Ok(next) => self.propose(now, Proposal::NewTable(Arc::new(next))),
            Err(faults) => {
                self.proposals.last_proposed_at = now;
                self.proposals.uncompilable = Some(self.proposals.considered.clone());
                log::error!(
                    "table version {} stays in effect, the next one does not compile:\n{}",
                    table.version().0,
                    join_lines(&faults)
                );
                vec![TableAction::Count(TableCount::Rejected)]
            }
        }
    }
}
