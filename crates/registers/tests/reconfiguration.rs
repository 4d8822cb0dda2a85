//! Reconfiguration: shards move to other replicas without losing a record, and a move can be cancelled until its last step.

mod net;

use basaltgw_registers::{Change, Event, Record, Response};
use basaltgw_types::Member;
use net::{execution, map, member, Net};

fn acquire(net: &mut Net, router: usize, name: u128) -> bool {
    let me = net.nodes[router].me.clone();
    matches!(net.call(router, execution(name), Change::Acquire(me)), Response::Committed(_))
}

fn assert_all_leased(net: &mut Net, router: usize, names: std::ops::Range<u128>) {
    for name in names {
        let found = net.call(router, execution(name), Change::Read);
        assert!(matches!(found, Response::Conflict(Some(Record::Leased { .. }))), "{name}: {found:?}");
    }
}

/// A map in which these routers, in this order, replicate all shards.
fn map_with_replicas(net: &Net, routers: &[usize]) -> basaltgw_types::ShardMap {
    let members: Vec<Member> = routers.iter().map(|r| net.nodes[*r].me.clone()).collect();
    map(net.map.epoch + 2, 4, 3, &members)
}

#[test]
fn records_move_to_a_disjoint_group() {
    let mut net = Net::new(6, 4, 3, 1);
    let first = map_with_replicas(&net, &[0, 1, 2]);
    assert!(net.reconfigure(&first, 5_000.0));
    assert!((0..300).all(|name| acquire(&mut net, (name % 6) as usize, name)));
    let second = map_with_replicas(&net, &[3, 4, 5]);
    assert!(net.reconfigure(&second, 20_000.0));
    assert_eq!(
        net.synced.iter().filter(|s| s.shard.is_some()).count(),
        12,
        "each new replica has synchronised each shard"
    );
    // The old group and one member of the new one lose their disks.
    [0, 1, 2, 5].into_iter().for_each(|r| net.erase_disk(r));
    assert_all_leased(&mut net, 3, 0..300);
}

#[test]
fn an_erased_replica_does_not_vote_as_its_old_incarnation_and_is_synchronised_before_it_counts() {
    let mut net = Net::new(3, 4, 3, 2);
    assert!((0..50).all(|name| acquire(&mut net, 0, name)));
    net.erase_disk(2);
    net.start(2);
    // The new incarnation is in no group, and messages to the old incarnation are dropped.
    net.kill(1);
    assert!(!acquire(&mut net, 0, 50));
    assert!(net.nodes[2].registers.as_ref().is_some_and(|r| r.counters().misaddressed_messages > 0));
    net.start(1);
    let next = map_with_replicas(&net, &[0, 1, 2]);
    assert!(net.reconfigure(&next, 20_000.0));
    let has_record =
        |n| net.nodes[2].registers.as_ref().is_some_and(|r| r.local_record(&execution(n)).is_some());
    assert!((0..50).all(has_record), "a synchronised replica has each record");
    // The synchronised replica forms a quorum with either of the others.
    net.erase_disk(0);
    assert_all_leased(&mut net, 2, 0..50);
}

#[test]
fn a_joint_map_needs_quorums_of_both_groups_and_can_be_cancelled() {
    let mut net = Net::new(6, 4, 3, 3);
    let first = map_with_replicas(&net, &[0, 1, 2]);
    assert!(net.reconfigure(&first, 5_000.0));
    assert!((0..40).all(|name| acquire(&mut net, 0, name)));
    let [joint_map, _] = net::joint(&net.map, &map_with_replicas(&net, &[3, 4, 5]));
    net.publish_map(joint_map.clone(), 5.0);
    net.run(10.0);
    assert!((40..60).all(|name| acquire(&mut net, 0, name)));
    net.erase_disk(4);
    net.erase_disk(5);
    assert!(!acquire(&mut net, 0, 60), "the new group has no quorum");
    // Back to the old group alone, under a later epoch: no record committed meanwhile is lost.
    let reverted = basaltgw_types::ShardMap { epoch: joint_map.epoch + 1, ..first };
    net.publish_map(reverted, 20.0);
    net.run(30.0);
    net.erase_disk(0);
    assert_all_leased(&mut net, 1, 0..60);
}

#[test]
fn a_restarted_replica_catches_up() {
    let mut net = Net::new(3, 4, 3, 4);
    net.run(10.0);
    net.kill(2);
    assert!((0..80).all(|name| acquire(&mut net, 0, name)));
    net.start(2);
    let has = |net: &Net| {
        (0..80)
            .all(|n| net.nodes[2].registers.as_ref().is_some_and(|r| r.local_record(&execution(n)).is_some()))
    };
    assert!(net.run_until(10_000.0, has));
    net.erase_disk(0);
    assert_all_leased(&mut net, 2, 0..80);
}

#[test]
fn a_request_under_a_stale_epoch_is_retried_with_the_fetched_map() {
    let mut net = Net::new(4, 4, 3, 5);
    net.run(10.0);
    net.suspend(3);
    let next = map_with_replicas(&net, &[0, 1, 2]);
    let [joint_map, new_map] = net::joint(&net.map, &next);
    net.publish_map(joint_map, 1.0);
    net.run(10.0);
    net.publish_map(new_map, 1.0);
    net.run(10.0);
    // Router 3 resumes with a request under the old map. The replicas reject its messages, so it fetches the new map and retries.
    let me: Member = member(3, 4);
    let number = net.request(3, execution(7), Change::Acquire(me), 5_000.0);
    assert!(net.response(number).is_none());
    net.resume(3);
    assert!(net.run_until(5_000.0, |net| net.response(number).is_some()));
    assert!(matches!(net.response(number), Some(Response::Committed(_))));
}

#[test]
fn synchronisation_waits_until_a_quorum_of_old_replicas_rejects_the_old_epoch() {
    let mut net = Net::new(6, 1, 3, 6);
    let old = map_with_replicas(&net, &[0, 1, 2]);
    assert!(net.reconfigure(&old, 5_000.0));
    let [joint_map, _] = net::joint(&net.map, &map_with_replicas(&net, &[3, 4, 5]));
    net.map = joint_map.into();
    net.synced.clear();
    net.maps_are_fetched = false;
    (3..6).for_each(|r| net.handle(r, Event::ShardMap(net.map.clone())));
    // Under the old epoch the old group still commits on its own: a list made before this commit would miss its record.
    net.run(500.0);
    assert!(acquire(&mut net, 0, 1));
    assert_eq!(net.synced, [], "synchronised from replicas that accept messages of the old epoch");
    (0..2).for_each(|r| net.handle(r, Event::ShardMap(net.map.clone())));
    assert!(net.run_until(5_000.0, |net| (3..6).all(|r| net.is_synced(r))));
    assert!((3..6)
        .all(|r| net.nodes[r].registers.as_ref().is_some_and(|r| r.local_record(&execution(1)).is_some())));
}

#[test]
fn a_new_replica_with_a_failing_disk_is_not_synchronised() {
    let mut net = Net::new(4, 1, 3, 7);
    let old = map_with_replicas(&net, &[0, 1, 2]);
    assert!(net.reconfigure(&old, 5_000.0));
    assert!((0..5).all(|name| acquire(&mut net, 0, name)));
    let [joint_map, _] = net::joint(&net.map, &map_with_replicas(&net, &[0, 1, 3]));
    net.nodes[3].disk_full = true;
    net.synced.clear();
    net.publish_map(joint_map, 5.0);
    // The others form a quorum for each record, but the new replica stores nothing.
    assert!(!net.run_until(2_000.0, |net| net.is_synced(3)));
    net.nodes[3].disk_full = false;
    assert!(net.run_until(5_000.0, |net| net.is_synced(3)));
    assert!((0..5)
        .all(|n| net.nodes[3].registers.as_ref().is_some_and(|r| r.local_record(&execution(n)).is_some())));
}
