//! Shards that move under load: no promise is lost, and all can be taken back until the last step.

mod net;

use basaltgw_registers::{Change, Event, Record, Response};
use basaltgw_types::Member;
use net::{effect, map, member, Net};

fn take(net: &mut Net, router: usize, name: u128) -> bool {
    let me = net.nodes[router].me.clone();
    matches!(net.ask_now(router, effect(name), Change::Acquire(me)), Response::Committed(_))
}

fn all_stand(net: &mut Net, router: usize, names: std::ops::Range<u128>) {
    for name in names {
        let found = net.ask_now(router, effect(name), Change::Read);
        assert!(matches!(found, Response::Conflict(Some(Record::Leased { .. }))), "{name}: {found:?}");
    }
}

/// The map in which these routers, in this order, keep all.
fn of(net: &Net, routers: &[usize]) -> basaltgw_types::ShardMap {
    let members: Vec<Member> = routers.iter().map(|r| net.nodes[*r].me.clone()).collect();
    map(net.map.epoch + 2, 4, 3, &members)
}

#[test]
fn holds_go_along_to_a_wholly_other_group() {
    let mut net = Net::new(6, 4, 3, 1);
    let first = of(&net, &[0, 1, 2]);
    assert!(net.go_over(&first, 5_000.0));
    assert!((0..300).all(|name| take(&mut net, (name % 6) as usize, name)));
    let second = of(&net, &[3, 4, 5]);
    assert!(net.go_over(&second, 20_000.0));
    assert_eq!(net.filled.iter().filter(|f| f.1.is_some()).count(), 12, "each new keeper filled each shard");
    // The old group is lost with its disks, and one of the new.
    [0, 1, 2, 5].into_iter().for_each(|r| net.wipe(r));
    all_stand(&mut net, 3, 0..300);
}

#[test]
fn a_wiped_machine_never_votes_as_its_former_self_and_is_filled_before_it_counts() {
    let mut net = Net::new(3, 4, 3, 2);
    assert!((0..50).all(|name| take(&mut net, 0, name)));
    net.wipe(2);
    net.start(2);
    // It is in no group under its new name, and answers to no other.
    net.kill(1);
    assert!(!take(&mut net, 0, 50));
    assert!(net.nodes[2].holds.as_ref().is_some_and(|h| h.counters().not_for_me > 0));
    net.start(1);
    let next = of(&net, &[0, 1, 2]);
    assert!(net.go_over(&next, 20_000.0));
    let own = |n| net.nodes[2].holds.as_ref().is_some_and(|h| h.stands(&effect(n)).is_some());
    assert!((0..50).all(own), "filled is: it has each copy itself");
    // It and any other are enough.
    net.wipe(0);
    all_stand(&mut net, 2, 0..50);
}

#[test]
fn while_both_hold_a_promise_needs_both_and_a_move_may_be_taken_back() {
    let mut net = Net::new(6, 4, 3, 3);
    let first = of(&net, &[0, 1, 2]);
    assert!(net.go_over(&first, 5_000.0));
    assert!((0..40).all(|name| take(&mut net, 0, name)));
    let [both, _] = net::joint(&net.map, &of(&net, &[3, 4, 5]));
    net.adopt(both.clone(), 5.0);
    net.run(10.0);
    assert!((40..60).all(|name| take(&mut net, 0, name)));
    net.wipe(4);
    net.wipe(5);
    assert!(!take(&mut net, 0, 60), "the new group can't copy it");
    // Back: the old group alone, under a later epoch. Nothing kept meanwhile is lost.
    let back = basaltgw_types::ShardMap { epoch: both.epoch + 1, ..first };
    net.adopt(back, 20.0);
    net.run(30.0);
    net.wipe(0);
    all_stand(&mut net, 1, 0..60);
}

#[test]
fn who_was_away_catches_up_by_itself() {
    let mut net = Net::new(3, 4, 3, 4);
    net.run(10.0);
    net.kill(2);
    assert!((0..80).all(|name| take(&mut net, 0, name)));
    net.start(2);
    let has = |net: &Net| {
        (0..80).all(|n| net.nodes[2].holds.as_ref().is_some_and(|h| h.stands(&effect(n)).is_some()))
    };
    assert!(net.run_until(10_000.0, has));
    net.wipe(0);
    all_stand(&mut net, 2, 0..80);
}

#[test]
fn a_keeper_of_an_earlier_epoch_refuses_until_it_has_learned() {
    let mut net = Net::new(4, 4, 3, 5);
    net.run(10.0);
    net.freeze(3);
    let next = of(&net, &[0, 1, 2]);
    let [both, new] = net::joint(&net.map, &next);
    net.adopt(both, 1.0);
    net.run(10.0);
    net.adopt(new, 1.0);
    net.run(10.0);
    // It wakes with its old map, and a question under it; the keepers refuse its words, it learns, and asks again.
    let me: Member = member(3, 4);
    let no = net.ask(3, effect(7), Change::Acquire(me), 5_000.0);
    assert!(net.answer(no).is_none());
    net.wake(3);
    assert!(net.run_until(5_000.0, |net| net.answer(no).is_some()));
    assert!(matches!(net.answer(no), Some(Response::Committed(_))));
}

#[test]
fn nothing_is_filled_before_enough_of_the_old_keepers_refuse_the_old_epoch() {
    let mut net = Net::new(6, 1, 3, 6);
    let old = of(&net, &[0, 1, 2]);
    assert!(net.go_over(&old, 5_000.0));
    let [both, _] = net::joint(&net.map, &of(&net, &[3, 4, 5]));
    net.map = both.into();
    net.filled.clear();
    net.fetches = false;
    (3..6).for_each(|r| net.give(r, Event::ShardMap(net.map.clone())));
    // By the old epoch a promise is still kept by the old group alone: a list from before it would miss it.
    net.run(500.0);
    assert!(take(&mut net, 0, 1));
    assert_eq!(net.filled, [], "filled from keepers that take words of the old epoch");
    (0..2).for_each(|r| net.give(r, Event::ShardMap(net.map.clone())));
    assert!(net.run_until(5_000.0, |net| (3..6).all(|r| net.filled.contains(&(r, None)))));
    assert!((3..6).all(|r| net.nodes[r].holds.as_ref().is_some_and(|h| h.stands(&effect(1)).is_some())));
}

#[test]
fn a_new_keeper_whose_disk_takes_nothing_is_not_filled() {
    let mut net = Net::new(4, 1, 3, 7);
    let old = of(&net, &[0, 1, 2]);
    assert!(net.go_over(&old, 5_000.0));
    assert!((0..5).all(|name| take(&mut net, 0, name)));
    let [both, _] = net::joint(&net.map, &of(&net, &[0, 1, 3]));
    net.nodes[3].disk_full = true;
    net.filled.clear();
    net.adopt(both, 5.0);
    // The others are enough for each promise, but it has no copy.
    assert!(!net.run_until(2_000.0, |net| net.filled.contains(&(3, None))));
    net.nodes[3].disk_full = false;
    assert!(net.run_until(5_000.0, |net| net.filled.contains(&(3, None))));
    assert!((0..5).all(|n| net.nodes[3].holds.as_ref().is_some_and(|h| h.stands(&effect(n)).is_some())));
}
