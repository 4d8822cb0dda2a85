//! Adoption of tables by a fleet of routers.

mod common;
use basaltgw_placement::{
    shard_moves, Adoption, AdoptionAction, AdoptionEvent, ChangingGroup, Inventory, MemberProgress, Proposal,
    ProposalError, ProposalNumber, ProposalOutcome, Register, Stage, Table,
};
use basaltgw_types::{Member, RouterId, Shard};
use common::{fleet, router, table};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const RULES: &str = "holds { shards 32  pace 8 per step }";

/// Routers that share one register. All messages arrive, in the order of sending.
struct Fleet {
    adoptions: BTreeMap<Member, Adoption>,
    register: Option<Register>,
    /// Routers that receive nothing.
    unreachable: Vec<Member>,
    results: Vec<(ProposalNumber, Result<ProposalOutcome, ProposalError>)>,
    /// Epochs of the maps that each router used.
    epochs: BTreeMap<Member, Vec<u64>>,
    failed_changes: usize,
}

impl Fleet {
    fn new(inventory: &Inventory, table: &Arc<Table>) -> Self {
        let adoption = |m: &Member| (m.clone(), Adoption::new(m.clone()));
        let mut fleet = Self {
            adoptions: inventory.routers.iter().map(|r| adoption(&r.member)).collect(),
            register: None,
            unreachable: Vec::new(),
            results: Vec::new(),
            epochs: BTreeMap::new(),
            failed_changes: 0,
        };
        let all: Vec<Member> = fleet.adoptions.keys().cloned().collect();
        fleet.run(all.iter().map(|m| (m.clone(), AdoptionEvent::Bootstrap(table.clone()))).collect());
        fleet
    }

    /// Handles events and all events that result from them.
    fn run(&mut self, events: Vec<(Member, AdoptionEvent)>) {
        let mut queue: VecDeque<(Member, AdoptionEvent)> = events.into();
        while let Some((me, event)) = queue.pop_front() {
            if self.unreachable.contains(&me) {
                continue;
            }
            let mut actions = Vec::new();
            self.adoptions.get_mut(&me).expect("a router").handle(event, &mut actions);
            for action in actions {
                self.execute(&me, action, &mut queue);
            }
        }
    }

    fn execute(
        &mut self,
        me: &Member,
        action: AdoptionAction,
        queue: &mut VecDeque<(Member, AdoptionEvent)>,
    ) {
        match action {
            AdoptionAction::ChangeRegister { from, to } => {
                let bytes = to.to_bytes().expect("plain values");
                assert_eq!(Register::from_bytes(&bytes).as_ref(), Ok(&to), "decoded again");
                if self.register.as_ref().map_or(0, Register::term) == from {
                    self.register = Some(to.clone());
                    let all = self.adoptions.keys().cloned();
                    queue.extend(all.map(|m| (m, AdoptionEvent::RegisterLearned(to.clone()))));
                } else {
                    self.failed_changes += 1;
                }
            }
            AdoptionAction::UseMap(map) => self.epochs.entry(me.clone()).or_default().push(map.epoch),
            AdoptionAction::ReportProgress { term, synced } => {
                let report = AdoptionEvent::ProgressReported { member: me.clone(), term, synced };
                queue.extend(self.adoptions.keys().cloned().map(|m| (m, report.clone())));
            }
            AdoptionAction::SyncShards { term, .. } => {
                queue.push_back((me.clone(), AdoptionEvent::Synced { term }));
            }
            AdoptionAction::CompleteProposal { number, result } => self.results.push((number, result)),
        }
    }

    fn register(&self) -> &Register {
        self.register.as_ref().expect("bootstrapped")
    }
}

fn proposed(number: u64, proposal: Proposal) -> AdoptionEvent {
    AdoptionEvent::Proposed { number: ProposalNumber(number), proposal }
}

/// Five routers with their table, and the same with a sixth one.
fn grown() -> (Inventory, Arc<Table>, Inventory, Arc<Table>) {
    let small = fleet(5, 5);
    let old = table(RULES, &small, None);
    let mut large = small.clone();
    large.routers.push(router("late", "b0", 10_000));
    let new = table(RULES, &large, Some(&old));
    (small, old, large, new)
}

#[test]
fn a_table_is_adopted_in_steps_and_its_proposal_completed() {
    let (_, old, large, new) = grown();
    let mut fleet = Fleet::new(&large, &old);
    let first = large.routers[0].member.clone();
    fleet.run(vec![(first.clone(), proposed(1, Proposal::NewTable(new.clone())))]);
    assert_eq!(fleet.results, [(ProposalNumber(1), Ok(ProposalOutcome::Adopted(new.hash())))]);
    assert_eq!((fleet.register().table(), fleet.register().stage()), (&*new, &Stage::Idle));
    let epochs = &fleet.epochs[&first];
    let moves = shard_moves(&old, &new);
    assert!(moves.steps >= 2, "{moves}");
    assert!(epochs.windows(2).all(|w| w[1] == w[0] + 1) && epochs.len() == moves.steps + 3, "{epochs:?}");
}

#[test]
fn the_second_of_two_proposals_is_rejected_and_names_the_first_proposer() {
    let (small, old, large, new) = grown();
    let mut fleet = Fleet::new(&large, &old);
    let (a, b) = (large.routers[0].member.clone(), large.routers[1].member.clone());
    let other = table(&format!("{RULES} root {{ copies 5 }}"), &small, Some(&old));
    assert_ne!(other.hash(), new.hash());
    fleet.run(vec![
        (a, proposed(1, Proposal::NewTable(new.clone()))),
        (b, proposed(2, Proposal::NewTable(other))),
    ]);
    let proposer = RouterId("r0".into());
    let pending = ProposalError::Pending { proposer, version: new.version(), hash: new.hash() };
    assert!(fleet.failed_changes > 0, "both were requested");
    let adopted = (ProposalNumber(1), Ok(ProposalOutcome::Adopted(new.hash())));
    assert!(fleet.results.contains(&adopted), "{:?}", fleet.results);
    let rejected = (ProposalNumber(2), Err(pending.clone()));
    assert!(fleet.results.contains(&rejected), "{:?}", fleet.results);
    assert!(pending.to_string().contains("router \"r0\" came first"), "{pending}");
}

#[test]
fn a_table_waits_for_all_its_members_and_can_be_withdrawn() {
    let (_, old, large, new) = grown();
    let mut fleet = Fleet::new(&large, &old);
    let (a, late) = (large.routers[0].member.clone(), large.routers[5].member.clone());
    fleet.unreachable = vec![late];
    fleet.run(vec![(a.clone(), proposed(1, Proposal::NewTable(new.clone())))]);
    assert_eq!(fleet.register().stage(), &Stage::Proposed);
    fleet.run(vec![(a.clone(), proposed(2, Proposal::Withdraw))]);
    assert_eq!((fleet.register().table(), fleet.register().stage()), (&*old, &Stage::Idle));
    let withdrawn = Ok(ProposalOutcome::Withdrawn(old.hash()));
    assert_eq!(fleet.results, [(ProposalNumber(1), withdrawn.clone()), (ProposalNumber(2), withdrawn)]);
    fleet.run(vec![(a, proposed(3, Proposal::Withdraw))]);
    assert!(matches!(
        fleet.results.last(),
        Some((ProposalNumber(3), Err(ProposalError::NothingToWithdraw { .. })))
    ));
}

/// Progress reports of all members of both tables.
fn complete_progress(register: &Register) -> MemberProgress {
    let next = register.proposed().map(|p| p.table.clone());
    let members: BTreeSet<Member> = register
        .table()
        .routers()
        .chain(next.iter().flat_map(|n| n.routers()))
        .map(|(m, _)| m.clone())
        .collect();
    MemberProgress { term: register.term(), durable: members.clone(), synced: members }
}

#[test]
fn a_withdrawal_during_a_joint_step_goes_back_by_the_same_steps() {
    let (_, old, _, new) = grown();
    let proposer = RouterId("r0".into());
    let first = Register::bootstrap(old.clone());
    let mut register = first.propose(&proposer, &Proposal::NewTable(new.clone())).expect("idle");
    while !matches!(register.stage(), Stage::Joint { step: 1, .. }) {
        register = register.advance(&complete_progress(&register)).expect("all have reported");
    }
    let moving = register.moving_shards();
    let map = register.map();
    assert!(moving.iter().all(|s| map.shards[usize::from(s.0)].groups.len() == 2));
    register = register.propose(&proposer, &Proposal::Withdraw).expect("in progress");
    assert_eq!(register.stage(), &Stage::Joint { step: 0, withdrawing: true });
    let map = register.map();
    assert!(moving
        .iter()
        .all(|s| map.shards[usize::from(s.0)].groups == [old.replicas(*s).expect("a shard").clone()]));
    // The group that is being left comes first; the members of the other one are to sync.
    for ChangingGroup { shard, from, to } in register.changing_groups() {
        let set = shard.map_or(&map.root, |s| &map.shards[usize::from(s.0)]);
        let groups: Vec<_> = set.groups.iter().map(|g| &g.members).collect();
        let is_unchanged_root = shard.is_none() && groups.len() == 1;
        assert!(is_unchanged_root || groups == [&from.members, &to.members], "{shard:?}");
    }
    // No replica has reported that it has synced.
    let none = MemberProgress { term: register.term(), ..MemberProgress::default() };
    assert_eq!(register.advance(&none), None);
    let mut partial = complete_progress(&register);
    partial.synced.clear();
    assert_eq!(register.advance(&partial), None);
    partial.synced = complete_progress(&register).synced;
    partial.durable.clear();
    assert_eq!(register.advance(&partial), None, "the replicas being left may still serve under the old map");
    partial.durable = complete_progress(&register).durable;
    partial.term -= 1;
    assert_eq!(register.advance(&partial), None, "reports of another term do not count");
    let again = register.propose(&proposer, &Proposal::Withdraw);
    assert_eq!(again, Err(ProposalError::AlreadyWithdrawn { version: new.version() }));
    register = register.advance(&complete_progress(&register)).expect("all have reported");
    assert_eq!((register.table(), register.stage()), (&*old, &Stage::Idle));
    assert_eq!(register.map().shards, first.map().shards);
}

#[test]
fn a_lost_member_is_replaced_only_by_a_new_one() {
    let (small, old, _, new) = grown();
    let proposer = RouterId("r0".into());
    let lost = small.routers[2].member.clone();
    let mut returned = lost.clone();
    returned.incarnation.0 += 1;
    let register = Register::bootstrap(old.clone());
    let proposal = Proposal::ReplaceMember { old: lost.clone(), new: returned.clone() };
    let register = register.propose(&proposer, &proposal).expect("idle");
    let next = &register.proposed().expect("proposed").table;
    for shard in (0..32).map(Shard) {
        let (from, to) = (old.replicas(shard).expect("a shard"), next.replicas(shard).expect("a shard"));
        let replace = |m: &Member| if *m == lost { returned.clone() } else { m.clone() };
        assert_eq!(to.members, from.members.iter().map(replace).collect::<Vec<_>>());
    }
    let register = Register::bootstrap(old.clone());
    let reversed = Proposal::ReplaceMember { old: returned, new: lost };
    assert!(matches!(register.propose(&proposer, &reversed), Err(ProposalError::InvalidReplacement { .. })));
    let adopted = Register::bootstrap(new.clone());
    assert!(matches!(adopted.propose(&proposer, &Proposal::NewTable(new)), Err(ProposalError::Stale { .. })));
}
