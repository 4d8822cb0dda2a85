//! Persistent links: each router has few of them and dials others when it has messages. A router without a link does not count as lost.

use crate::network::{member, Network, IDLE_TIMEOUT_MS};
use basaltgw_control::{ControlNotification, ControlRequest, Event, Purge};
use basaltgw_registers::{Change, Kind, Outcome, Record, RecordKey, RequestNumber, Response};
use basaltgw_types::link::{Lane, LinkError};

/// Time in which a purge reaches all routers of an idle fleet, as in the tests of the overlay.
const DISSEMINATION_MS: f64 = 8_000.0;
/// Longer than an unused link takes to be closed.
const LINKS_IDLE_MS: f64 = 4.0 * IDLE_TIMEOUT_MS;

fn key(name: u128) -> RecordKey {
    RecordKey { kind: Kind::Execution, name }
}

fn counter(net: &mut Network, n: usize, name: &str) -> u64 {
    net.nodes[n].control.refresh_counts();
    let text = net.nodes[n].control.counts().to_string();
    let value = text.split(' ').find_map(|w| w.strip_prefix(&format!("{name}=")).map(str::to_string));
    value.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no counter {name} in {text}"))
}

fn change(net: &mut Network, n: usize, key: RecordKey, change: Change) -> Response {
    let number = net.request(n, key, change, 400.0);
    net.run_until(1_000.0, |net| net.response(n, number).is_some());
    net.response(n, number).cloned().expect("the change gets a response")
}

fn acquire(net: &mut Network, n: usize, name: u128) -> u32 {
    match change(net, n, key(name), Change::Acquire(member(n))) {
        Response::Committed(Record::Leased { owner, term }) if owner == member(n) => term,
        other => panic!("r{n} did not acquire the lease: {other:?}"),
    }
}

fn knows(net: &Network, n: usize, purge: Purge) -> bool {
    net.nodes[n].control.purges().all().any(|p| p == purge)
}

#[test]
fn an_idle_fleet_has_few_links_and_closes_others_after_use() {
    for (count, regions) in [(9, 3), (24, 3)] {
        let mut net = Network::with_persistent_links(count, regions, &[]);
        let max_links = |net: &Network| {
            (0..count).map(|n| net.linked_with(n).len()).max().expect("the fleet has routers")
        };
        // Two parents, a bounded number of children, two watched routers and two watchers, whatever the size.
        println!("{count} routers in {regions} regions: {} links at most", max_links(&net));
        assert!(
            max_links(&net) <= 16 && (count < 20 || max_links(&net) < count - 1),
            "{} links",
            max_links(&net)
        );
        let before = net.links.as_ref().expect("the network has persistent links").closed;
        for name in 0..60u128 {
            acquire(&mut net, name as usize % count, name);
        }
        net.run_for(LINKS_IDLE_MS + 2_000.0);
        assert!(max_links(&net) <= 16);
        assert!(
            net.links.as_ref().expect("the network has persistent links").closed > before,
            "links were dialed for the leases"
        );
        assert!((0..count).map(|n| counter(&mut net, n, "words_waited")).sum::<u64>() > 0);
        // No router counts as lost, and no table was proposed because of it.
        assert!((0..count).all(|n| counter(&mut net, n, "links_gone") == 0 && net.table_version(n) == 1));
        assert!((0..count).all(|n| counter(&mut net, n, "words_waiting") == 0));
    }
}

#[test]
fn a_purge_reaches_all_routers_once_over_persistent_links() {
    let mut net = Network::with_persistent_links(12, 3, &[]);
    let one = Purge { group: 7, object: Some(1), time: net.now as u64 };
    net.deliver(11, Event::Request(ControlRequest::Purge(one)));
    net.run_until(DISSEMINATION_MS, |net| (0..12).all(|n| knows(net, n, one)));
    net.run_for(DISSEMINATION_MS);
    let notification_count = |n: usize| {
        net.nodes[n]
            .notifications
            .iter()
            .filter(|t| matches!(t, ControlNotification::Purge(p) if *p == one))
            .count()
    };
    assert!((0..11).all(|n| notification_count(n) == 1) && notification_count(11) == 0);
}

/// A router without a link to the owner of a lease tries to acquire it. The owner is running and keeps the lease.
#[test]
fn a_lease_of_a_running_owner_without_a_link_does_not_become_unknown() {
    let count = 12;
    let mut net = Network::with_persistent_links(count, 3, &[]);
    for owner in 0..count {
        let name = 100 + owner as u128;
        let term = acquire(&mut net, owner, name);
        net.run_for(LINKS_IDLE_MS);
        let unlinked: Vec<usize> =
            (0..count).filter(|n| *n != owner && !net.linked_with(owner).contains(n)).collect();
        for other in unlinked.into_iter().take(3) {
            for _ in 0..4 {
                let response = change(&mut net, other, key(name), Change::Acquire(member(other)));
                assert!(matches!(response, Response::Conflict(Some(Record::Leased { .. }))), "{response:?}");
                net.run_for(300.0);
            }
            net.run_for(LINKS_IDLE_MS);
        }
        let complete = Change::Complete(member(owner), term, Outcome::Served(vec![1]));
        let response = change(&mut net, owner, key(name), complete);
        assert!(
            matches!(response, Response::Committed(Record::Completed(Outcome::Served(_)))),
            "{response:?}"
        );
    }
}

#[test]
fn the_outcome_of_a_killed_owners_lease_becomes_unknown_at_every_requester() {
    for requester in [0, 3, 6, 9] {
        let mut net = Network::with_persistent_links(12, 3, &[]);
        let owner = 11;
        acquire(&mut net, owner, 5);
        net.run_for(LINKS_IDLE_MS);
        net.kill(owner);
        let started_at = net.now;
        loop {
            match change(&mut net, requester, key(5), Change::Acquire(member(requester))) {
                Response::Conflict(Some(Record::OutcomeUnknown)) => break,
                Response::Conflict(Some(Record::Leased { .. })) | Response::Unavailable { .. } => {}
                other => panic!("{other:?}"),
            }
            assert!(net.now < started_at + 4_000.0, "the outcome did not become unknown within 4 s");
            net.run_for(100.0);
        }
        // The owner must have been unreachable for long enough to count as lost.
        assert!(net.now >= started_at + 500.0);
    }
}

#[test]
fn a_partitioned_minority_rejects_and_recovers_after_the_partition() {
    let count = 9;
    let mut net = Network::with_persistent_links(count, 3, &[]);
    net.partition(&[4]);
    let mut rejected = 0;
    for name in 0..20u128 {
        let started_at = net.now;
        match change(&mut net, 4, key(name), Change::Acquire(member(4))) {
            Response::Unavailable { retry_after, .. } => {
                assert!(retry_after > 0.0 && net.now <= started_at + 400.0);
                rejected += 1;
            }
            // Every shard has a quorum of replicas on the other side.
            other => panic!("{other:?}"),
        }
        net.run_for(100.0);
    }
    assert_eq!(rejected, 20);
    // Every replica is now known to be unreachable, so requests fail without a timeout.
    for name in 100..110u128 {
        let started_at = net.now;
        assert!(matches!(
            change(&mut net, 4, key(name), Change::Acquire(member(4))),
            Response::Unavailable { .. }
        ));
        assert!(net.now <= started_at + 2.0);
    }
    // The majority is available.
    for name in 200..210u128 {
        acquire(&mut net, name as usize % 4, name);
    }
    net.heal();
    net.run_until(10_000.0, |net| !net.linked_with(4).is_empty());
    net.run_for(2_000.0);
    for name in 300..310u128 {
        acquire(&mut net, 4, name);
    }
}

#[test]
fn a_router_lost_for_long_is_replaced_by_its_watcher_and_one_that_returns_in_time_is_not() {
    let count = 9;
    let mut net = Network::with_persistent_links(count, 3, &[]);
    // The lost router returns in time, so the table does not change.
    net.kill(2);
    net.run_for(6_000.0);
    net.start_process(2);
    net.run_for(20_000.0);
    assert!(
        (0..count).all(|n| net.table_version(n) <= 1),
        "{:?}",
        (0..count).map(|n| net.table_version(n)).collect::<Vec<_>>()
    );
    // Two adjacent routers of the ring are lost for longer. They share no group, or two of its three replicas would be lost.
    let map = net.nodes[0].control.table().map().expect("an adopted table has a map");
    let groups = || map.shards.iter().chain([&map.root]).flat_map(|k| &k.groups);
    let share_no_group =
        |n: &usize| !groups().any(|g| [member(*n), member(n + 1)].iter().all(|m| g.members.contains(m)));
    let lost = (1..count - 1).find(share_no_group).expect("two routers without a common group");
    net.kill(lost);
    net.kill(lost + 1);
    let remaining = || (0..count).filter(|n| *n != lost && *n != lost + 1);
    let excludes_lost = |net: &Network, n: usize| {
        let table = net.nodes[n].control.table();
        table.members().all(|m| m != member(lost) && m != member(lost + 1))
    };
    net.run_until(60_000.0, |net| remaining().all(|n| excludes_lost(net, n)));
    let requesters: Vec<usize> = remaining().collect();
    for name in 0..30u128 {
        acquire(&mut net, requesters[name as usize % requesters.len()], 400 + name);
    }
    // Both routers restart with their data, and become members again.
    net.start_process(lost);
    net.start_process(lost + 1);
    let includes = |net: &Network, n: usize, router: usize| {
        net.nodes[n].control.table().members().any(|m| m == member(router))
    };
    net.run_until(60_000.0, |net| (0..count).all(|n| includes(net, n, lost) && includes(net, n, lost + 1)));
}

#[test]
fn new_rules_are_adopted_by_all_over_few_links() {
    let count = 12;
    let mut net = Network::with_persistent_links(count, 3, &[]);
    let before = net.table_version(5);
    net.change_rules(5);
    assert!((0..count).all(|n| net.table_version(n) > before));
    net.run_for(LINKS_IDLE_MS + 10_000.0);
    assert!(
        (0..count).all(|n| net.linked_with(n).len() <= 10),
        "{:?}",
        (0..count).map(|n| net.linked_with(n)).collect::<Vec<_>>()
    );
}

#[test]
fn routers_that_all_restart_at_once_reconnect_with_their_records() {
    let count = 9;
    let mut net = Network::with_persistent_links(count, 3, &[]);
    for n in 0..count {
        let term = acquire(&mut net, n, n as u128);
        change(
            &mut net,
            n,
            key(n as u128),
            Change::Complete(member(n), term, Outcome::Served(vec![n as u8])),
        );
    }
    (0..count).for_each(|n| net.kill(n));
    (0..count).for_each(|n| net.start_process(n));
    net.run_for(5_000.0);
    for n in 0..count {
        let response = change(&mut net, (n + 4) % count, key(n as u128), Change::Read);
        assert_eq!(response, Response::Conflict(Some(Record::Completed(Outcome::Served(vec![n as u8])))));
    }
}

#[test]
fn routers_with_a_full_mesh_and_with_persistent_links_interoperate() {
    let count = 9;
    let mut net = Network::with_persistent_links(count, 3, &[0, 4]);
    assert!([0, 4].iter().all(|n| net.linked_with(*n).len() == count - 1));
    assert!((0..count).any(|n| net.linked_with(n).len() < count - 1));
    let one = Purge { group: 7, object: Some(1), time: net.now as u64 };
    net.deliver(8, Event::Request(ControlRequest::Purge(one)));
    net.run_until(DISSEMINATION_MS, |net| (0..count).all(|n| knows(net, n, one)));
    for name in 0..45u128 {
        acquire(&mut net, name as usize % count, name);
    }
    net.kill(4);
    net.run_for(3_000.0);
    net.start_process(4);
    net.run_for(8_000.0);
    for name in 100..145u128 {
        acquire(&mut net, name as usize % count, name);
    }
    assert!((0..count).all(|n| net.table_version(n) <= 1));
}

#[test]
fn messages_that_wait_for_a_link_are_bounded_and_fail_once() {
    let count = 24;
    let mut net = Network::with_persistent_links(count, 3, &[]);
    let failed_before = counter(&mut net, 4, "unsent");
    let queued_before = counter(&mut net, 4, "words_waited");
    net.partition(&[4]);
    let requests: Vec<RequestNumber> = (0..500u128)
        .map(|name| net.request(4, key(1_000 + name), Change::Acquire(member(4)), 400.0))
        .collect();
    assert!(counter(&mut net, 4, "words_waiting") <= 64 * count as u64);
    // Dials fail after 3 ms, long before the queue timeout of 400 ms.
    net.run_for(50.0);
    let is_unavailable =
        |number: &RequestNumber| matches!(net.response(4, *number), Some(Response::Unavailable { .. }));
    assert!(requests.iter().all(is_unavailable));
    assert_eq!(counter(&mut net, 4, "words_waiting"), 0);
    let failed: u64 = ["full", "late", "unreached", "replaced"]
        .iter()
        .map(|why| counter(&mut net, 4, &format!("words_back_{why}")))
        .sum();
    assert_eq!(counter(&mut net, 4, "unsent"), failed_before + failed);
    // Every queued message failed, each once.
    let queued = counter(&mut net, 4, "words_waited") - queued_before;
    assert!(queued > 0 && failed >= queued, "{queued} queued, {failed} failed");
}

#[test]
fn membership_messages_are_ignored_with_persistent_links() {
    let mut net = Network::with_persistent_links(9, 3, &[]);
    let ignored = counter(&mut net, 0, "roster_unheard");
    net.deliver(0, Event::MessageReceived { from: member(1), lane: Lane::Membership, body: vec![1, 2, 3] });
    assert_eq!(counter(&mut net, 0, "roster_unheard"), ignored + 1);
    assert_eq!(net.nodes[0].control.membership().peers().count(), 0);
    // The router of a link that was closed because it was idle is not unreachable.
    let linked = net.linked_with(0)[0];
    net.deliver(0, Event::LinkDown(member(linked), LinkError::Idle));
    assert_eq!(counter(&mut net, 0, "links_gone"), 0);
}
