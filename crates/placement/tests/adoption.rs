//! Tables on their way into service, by the routers' own part of it.

mod common;
use basaltgw_placement::{
    Action, Adoption, Ended, Event, Evidence, Inventory, Offer, OfferNo, Refused, Register, Stage, Table,
};
use basaltgw_types::{Member, RouterId};
use common::{fleet, router, table};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const RULES: &str = "holds { shards 32  pace 8 per step }";

/// Routers with one register between them; every word arrives, in the order it was said.
struct Fleet {
    parts: BTreeMap<Member, Adoption>,
    cell: Option<Register>,
    /// Who hears nothing.
    deaf: Vec<Member>,
    answers: Vec<(OfferNo, Result<Ended, Refused>)>,
    /// All maps that were used, by router.
    maps: BTreeMap<Member, Vec<u64>>,
    lost_sets: usize,
}

impl Fleet {
    fn new(inventory: &Inventory, table: &Arc<Table>) -> Self {
        let parts = inventory.routers.iter().map(|r| (r.member.clone(), Adoption::new(r.member.clone())));
        let mut fleet = Self {
            parts: parts.collect(),
            cell: None,
            deaf: Vec::new(),
            answers: Vec::new(),
            maps: BTreeMap::new(),
            lost_sets: 0,
        };
        let all: Vec<Member> = fleet.parts.keys().cloned().collect();
        fleet.run(all.iter().map(|m| (m.clone(), Event::Found(table.clone()))).collect());
        fleet
    }

    /// Handles events and all that follows from them.
    fn run(&mut self, events: Vec<(Member, Event)>) {
        let mut queue: VecDeque<(Member, Event)> = events.into();
        while let Some((me, event)) = queue.pop_front() {
            if self.deaf.contains(&me) {
                continue;
            }
            let mut actions = Vec::new();
            self.parts.get_mut(&me).expect("a router").handle(event, &mut actions);
            for action in actions {
                match action {
                    Action::Set { from, to } => {
                        let bytes = to.to_bytes().expect("plain values");
                        assert_eq!(Register::from_bytes(&bytes).as_ref(), Ok(&to), "bytes and back");
                        if self.cell.as_ref().map_or(0, Register::turn) == from {
                            self.cell = Some(to.clone());
                            let all = self.parts.keys().cloned();
                            queue.extend(all.map(|m| (m, Event::Learnt(to.clone()))));
                        } else {
                            self.lost_sets += 1;
                        }
                    }
                    Action::Use(map) => self.maps.entry(me.clone()).or_default().push(map.epoch),
                    Action::Say { turn, filled } => {
                        let said = Event::Said { member: me.clone(), turn, filled };
                        queue.extend(self.parts.keys().cloned().map(|m| (m, said.clone())));
                    }
                    Action::Fill { turn, .. } => queue.push_back((me.clone(), Event::Filled(turn))),
                    Action::Answer(no, ended) => self.answers.push((no, ended)),
                }
            }
        }
    }

    fn cell(&self) -> &Register {
        self.cell.as_ref().expect("founded")
    }
}

fn grown() -> (Inventory, Arc<Table>, Inventory, Arc<Table>) {
    let small = fleet(5, 5);
    let old = table(RULES, &small, None);
    let mut large = small.clone();
    large.routers.push(router("late", "b0", 10_000));
    let new = table(RULES, &large, Some(&old));
    (small, old, large, new)
}

#[test]
fn a_table_goes_in_by_steps_and_its_operator_hears_of_it() {
    let (_, old, large, new) = grown();
    let mut fleet = Fleet::new(&large, &old);
    let first = large.routers[0].member.clone();
    fleet.run(vec![(first.clone(), Event::Asked(OfferNo(1), Offer::Next(new.clone())))]);
    assert_eq!(fleet.answers, [(OfferNo(1), Ok(Ended::Adopted(new.hash())))]);
    assert_eq!((fleet.cell().table(), fleet.cell().stage()), (&*new, &Stage::Idle));
    let maps = &fleet.maps[&first];
    let moved = basaltgw_placement::moves(&old, &new);
    assert!(moved.steps >= 2, "{moved}");
    assert!(maps.windows(2).all(|w| w[1] == w[0] + 1) && maps.len() == moved.steps + 3, "{maps:?}");
}

#[test]
fn of_two_operators_the_second_is_refused_and_told_who_was_first() {
    let (small, old, large, new) = grown();
    let mut fleet = Fleet::new(&large, &old);
    let (a, b) = (large.routers[0].member.clone(), large.routers[1].member.clone());
    let other = table(&format!("{RULES} root {{ copies 5 }}"), &small, Some(&old));
    assert_ne!(other.hash(), new.hash());
    fleet.run(vec![
        (a, Event::Asked(OfferNo(1), Offer::Next(new.clone()))),
        (b, Event::Asked(OfferNo(2), Offer::Next(other))),
    ]);
    let by = RouterId("r0".into());
    let busy = Refused::Busy { by, version: new.version(), hash: new.hash() };
    assert!(fleet.lost_sets > 0, "both were sent");
    assert!(fleet.answers.contains(&(OfferNo(1), Ok(Ended::Adopted(new.hash())))), "{:?}", fleet.answers);
    assert!(fleet.answers.contains(&(OfferNo(2), Err(busy.clone()))), "{:?}", fleet.answers);
    assert!(busy.to_string().contains("router \"r0\" came first"), "{busy}");
}

#[test]
fn a_table_waits_for_all_its_keepers_and_can_be_taken_back() {
    let (_, old, large, new) = grown();
    let mut fleet = Fleet::new(&large, &old);
    let (a, late) = (large.routers[0].member.clone(), large.routers[5].member.clone());
    fleet.deaf = vec![late];
    fleet.run(vec![(a.clone(), Event::Asked(OfferNo(1), Offer::Next(new.clone())))]);
    assert_eq!(fleet.cell().stage(), &Stage::Offered);
    fleet.run(vec![(a.clone(), Event::Asked(OfferNo(2), Offer::TakeBack))]);
    assert_eq!((fleet.cell().table(), fleet.cell().stage()), (&*old, &Stage::Idle));
    let back = Ok(Ended::TakenBack(old.hash()));
    assert_eq!(fleet.answers, [(OfferNo(1), back.clone()), (OfferNo(2), back)]);
    fleet.run(vec![(a, Event::Asked(OfferNo(3), Offer::TakeBack))]);
    assert!(matches!(fleet.answers.last(), Some((OfferNo(3), Err(Refused::Nothing { .. })))));
}

/// What all members of both tables said.
fn all(register: &Register) -> Evidence {
    let next = register.next().map(|n| n.table.clone());
    let members: std::collections::BTreeSet<Member> = register
        .table()
        .routers()
        .chain(next.iter().flat_map(|n| n.routers()))
        .map(|(m, _)| m.clone())
        .collect();
    Evidence { turn: register.turn(), checked: members.clone(), filled: members }
}

#[test]
fn a_move_taken_back_half_way_goes_back_by_the_same_steps() {
    let (_, old, _, new) = grown();
    let by = RouterId("r0".into());
    let founded = Register::founding(old.clone());
    let mut register = founded.propose(&by, &Offer::Next(new.clone())).expect("idle");
    while !matches!(register.stage(), Stage::Both { step: 1, .. }) {
        register = register.advance(&all(&register)).expect("all said so");
    }
    let moved = register.moving();
    let map = register.map();
    assert!(moved.iter().all(|s| map.shards[usize::from(s.0)].groups.len() == 2));
    register = register.propose(&by, &Offer::TakeBack).expect("on its way");
    assert_eq!(register.stage(), &Stage::Both { step: 0, back: true });
    let map = register.map();
    assert!(moved
        .iter()
        .all(|s| map.shards[usize::from(s.0)].groups == [old.keepers(*s).expect("kept").clone()]));
    // Of two groups the one that is left comes first: whoever is in the other is to be filled.
    for (shard, from, to) in register.changing() {
        let both = shard.map_or(&map.root, |s| &map.shards[usize::from(s.0)]);
        let is: Vec<_> = both.groups.iter().map(|g| &g.members).collect();
        let root_stays = shard.is_none() && is.len() == 1;
        assert!(root_stays || is == [&from.members, &to.members], "{shard:?}");
    }
    // Nobody has said that the old ones are filled.
    assert_eq!(register.advance(&Evidence { turn: register.turn(), ..Evidence::default() }), None);
    let mut half = all(&register);
    half.filled.clear();
    assert_eq!(register.advance(&half), None);
    half.filled = all(&register).filled;
    half.checked.clear();
    assert_eq!(register.advance(&half), None, "those who are left may still vouch by the map before");
    half.checked = all(&register).checked;
    half.turn -= 1;
    assert_eq!(register.advance(&half), None, "words on another turn count for nothing");
    let again = register.propose(&by, &Offer::TakeBack);
    assert_eq!(again, Err(Refused::Back(new.version())));
    register = register.advance(&all(&register)).expect("all said so");
    assert_eq!((register.table(), register.stage()), (&*old, &Stage::Idle));
    assert_eq!(register.map().shards, founded.map().shards);
}

#[test]
fn a_lost_machine_is_replaced_by_its_successor_alone() {
    let (small, old, _, new) = grown();
    let by = RouterId("r0".into());
    let gone = small.routers[2].member.clone();
    let mut back = gone.clone();
    back.incarnation.0 += 1;
    let register = Register::founding(old.clone());
    let offer = Offer::Replace { old: gone.clone(), new: back.clone() };
    let register = register.propose(&by, &offer).expect("idle");
    let next = &register.next().expect("offered").table;
    for shard in (0..32).map(basaltgw_types::Shard) {
        let (was, is) = (old.keepers(shard).expect("kept"), next.keepers(shard).expect("kept"));
        let put = |m: &Member| if *m == gone { back.clone() } else { m.clone() };
        assert_eq!(is.members, was.members.iter().map(put).collect::<Vec<_>>());
    }
    let register = Register::founding(old.clone());
    let wrong = Offer::Replace { old: back, new: gone };
    assert!(matches!(register.propose(&by, &wrong), Err(Refused::Replacement(..))));
    let adopted = Register::founding(new.clone());
    assert!(matches!(adopted.propose(&by, &Offer::Next(new)), Err(Refused::Stale { .. })));
}
