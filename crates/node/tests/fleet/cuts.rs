//! Partitions, delayed, duplicate and corrupt messages, paused routers, and a full disk.

use crate::common::wait_until;
use crate::harness::{is_outcome_unknown, is_rejected, start_fleet, FleetHarness, DEADLINE_MS};
use basaltgw_emulator::rig::{ChunkFault, Endpoint, Event, Outcome};
use std::time::Duration;

#[test]
fn minority_rejects_writes_with_retry_after_and_serves_reads() {
    let mut fleet = start_fleet(3);
    let (before, bytes) = fleet.serve_checkout(0);
    fleet.rig.partition(0, &[1, 2]);
    for _ in 0..3 {
        let (id, start) = (fleet.new_id(), std::time::Instant::now());
        let outcome = fleet.checkout(0, &id);
        assert!(is_rejected(&outcome), "{outcome:?}");
        assert!(start.elapsed() < Duration::from_millis(DEADLINE_MS / 2), "{:?}", start.elapsed());
        assert_eq!(fleet.rig.archive.executions(&id), 0);
    }
    let (id, client) = (fleet.new_id(), fleet.connect_client(0));
    let outcome = fleet.wait_for_outcome(client.read(&id, 9, DEADLINE_MS));
    assert!(
        matches!(outcome, Some(Outcome::Served(_))),
        "{outcome:?}: {}\n{:?}",
        fleet.logs(),
        fleet.rig.counters(0)
    );
    // The majority still has all outcomes.
    fleet.serve_eventually(1);
    fleet.assert_outcome(2, &before, &bytes);
    assert!(fleet.rig.heal(), "links are up again");
    fleet.serve_eventually(0);
    fleet.assert_outcome(0, &before, &bytes);
    assert!(fleet.assert_history().rejected_while_isolated >= 3);
}

#[test]
fn one_way_partition_breaks_no_outcome_and_heals_with_both_sides_changed() {
    let mut fleet = start_fleet(3);
    fleet.rig.partition_one_way(0, 1);
    let mut presented = Vec::new();
    for _ in 0..3 {
        for router in 0..3 {
            let id = fleet.new_id();
            let outcome = fleet.checkout(router, &id);
            assert!(outcome.is_some(), "router {router}");
            presented.push((id, outcome));
        }
    }
    // Router 2 exchanges messages with both other routers.
    let (id, _) = fleet.serve_eventually(2);
    assert!(fleet.rig.heal(), "links are up again");
    for (id, outcome) in &presented {
        for router in 0..3 {
            let again = fleet.checkout(router, id);
            if let Some(Outcome::Served(_)) = outcome {
                assert_eq!(&again, outcome, "router {router}");
            }
        }
        assert!(fleet.rig.archive.executions(id) <= 1);
    }
    (0..3).for_each(|r| assert!(matches!(fleet.checkout(r, &id), Some(Outcome::Served(_)))));
    fleet.assert_history();
}

/// The bytes that a router has sent to each of its caches, as counted on the links.
fn bytes_sent(fleet: &FleetHarness, router: usize) -> [u64; 3] {
    [0, 1, 2]
        .map(|c| fleet.rig.link(Endpoint::Router(router), Endpoint::Cache(c)).statistics().received_bytes)
}

/// A fetch has more bytes than this, and the probe of a connection has fewer.
const MIN_FETCH_BYTES: u64 = 90;

#[test]
fn router_paused_past_its_lease_executes_once_and_keeps_the_outcome() {
    let mut fleet = start_fleet(3);
    fleet.serve_checkout(0);
    // Messages to the caches are delayed: the router has sent the checkout, and nothing has been executed.
    for cache in 0..3 {
        fleet
            .rig
            .link(Endpoint::Router(0), Endpoint::Cache(cache))
            .configure(|conditions| conditions.delay_ms = (300.0, 300.0));
    }
    let (id, client, before) = (fleet.new_id(), fleet.connect_client(0), bytes_sent(&fleet, 0));
    let request = client.checkout(&id, DEADLINE_MS);
    wait_until("the checkout is sent to a cache", || {
        bytes_sent(&fleet, 0).iter().zip(before).any(|(now, was)| *now > was + MIN_FETCH_BYTES)
    });
    fleet.rig.suspend(0);
    let outcome = fleet.checkout(1, &id);
    assert!(is_outcome_unknown(&outcome), "{outcome:?}");
    fleet.wait_until_executed(&id);
    fleet.rig.resume(0);
    fleet.wait_until_serving(0);
    let outcome = fleet.wait_for_outcome(request);
    assert!(!is_rejected(&outcome), "an executed checkout was rejected: {outcome:?}");
    for router in [2, 0, 1] {
        let outcome = fleet.checkout(router, &id);
        assert!(!is_rejected(&outcome), "{outcome:?}");
    }
    assert_eq!(fleet.rig.archive.executions(&id), 1);
    fleet.serve_eventually(0);
    fleet.assert_history();
}

#[test]
fn late_duplicate_and_corrupt_messages_break_no_outcome() {
    let mut fleet = start_fleet(3);
    for round in 0..8 {
        let (a, b) = (round % 3, (round + 1) % 3);
        fleet.rig.router_link(a, b).configure(|conditions| conditions.delay_ms = (0.0, 30.0));
        fleet.rig.router_link(a, b).inject(ChunkFault::Duplicate);
        fleet.rig.router_link(b, a).inject(ChunkFault::Corrupt);
        if round % 4 == 3 {
            fleet.rig.router_link(a, b).reset_connections();
        }
        let id = fleet.new_id();
        let outcomes = [a, b, (round + 2) % 3].map(|r| fleet.checkout(r, &id));
        assert!(fleet.rig.archive.executions(&id) <= 1, "{outcomes:?}");
    }
    assert!(fleet.rig.heal(), "links are up again");
    (0..3).for_each(|r| drop(fleet.serve_eventually(r)));
    let carried = fleet.rig.router_link_statistics();
    assert!(carried.corrupted_chunks > 0 && carried.duplicated_chunks > 0, "{carried:?}");
    fleet.assert_history();
}

#[test]
fn full_disk_rejects_new_leases_only() {
    let mut fleet = start_fleet(3);
    let (served, bytes) = fleet.serve_checkout(0);
    fleet.rig.set_disk_full(0, true);
    for _ in 0..3 {
        let id = fleet.new_id();
        let outcome = fleet.checkout(0, &id);
        assert!(
            matches!(outcome, Some(Outcome::Served(_)))
                || is_rejected(&outcome)
                || is_outcome_unknown(&outcome),
            "{outcome:?}"
        );
        let (id, client) = (fleet.new_id(), fleet.connect_client(0));
        let outcome = fleet.wait_for_outcome(client.read(&id, 4, DEADLINE_MS));
        assert!(matches!(outcome, Some(Outcome::Served(_))), "{outcome:?}");
    }
    fleet.serve_eventually(1);
    fleet.assert_outcome(2, &served, &bytes);
    fleet.rig.set_disk_full(0, false);
    fleet.rig.kill(0);
    fleet.rig.start_router(0).expect("the router starts");
    fleet.wait_until_serving(0);
    fleet.serve_eventually(0);
    assert_eq!(fleet.rig.history.count_events(|event| matches!(event, Event::ConnectionLost(_))), 0);
    fleet.assert_history();
}
