//! Races of two events at routers that replicate leases: a client disconnects, a lease request fails, or a shutdown starts while a register
//! is changed or migrated.

use crate::common::{binary, wait_until, WAIT_LIMIT};
use crate::harness::{start_fleet, start_fleet_with, FleetHarness, DEADLINE_MS};
use basaltgw_emulator::rig::{ClientConnection, Outcome, RequestNumber, Spec};
use std::time::{Duration, Instant};

/// The bytes that a router has sent to each other router, as the links have received them.
fn sent_bytes(fleet: &FleetHarness, router: usize) -> Vec<u64> {
    let others = (0..fleet.rig.len()).filter(|o| *o != router);
    others.map(|o| fleet.rig.router_link(router, o).statistics().received_bytes).collect()
}

fn other_routers(fleet: &FleetHarness, router: usize) -> Vec<usize> {
    (0..fleet.rig.len()).filter(|o| *o != router).collect()
}

/// Delays all messages of the other routers to one router.
fn set_answer_delay(fleet: &FleetHarness, router: usize, ms: f64) {
    other_routers(fleet, router).iter().for_each(|o| {
        fleet.rig.router_link(*o, router).configure(|conditions| conditions.delay_ms = (ms, ms))
    });
}

/// Resets all links of a router, so that the messages that they hold back are lost, and waits until each pair of links was reset. The links
/// must not have been reset before, since the wait is for a first reset.
fn reset_links(fleet: &FleetHarness, router: usize) {
    for o in other_routers(fleet, router) {
        fleet.rig.router_link(router, o).reset_connections();
        fleet.rig.router_link(o, router).reset_connections();
    }
    let resets = |a: usize, b: usize| fleet.rig.router_link(a, b).statistics().resets;
    let all_reset =
        || other_routers(fleet, router).iter().all(|o| resets(router, *o) + resets(*o, router) > 0);
    wait_until("the links are reset", all_reset);
}

fn counter(fleet: &FleetHarness, router: usize, name: &str) -> f64 {
    fleet.rig.counters(router).get(name).copied().unwrap_or(0.0)
}

/// Presents checkouts to a router until the replicas have promised the leases and its commit messages are on the links, then loses those
/// messages by a reset: the leases may look committed, and are not. All checkouts are rejected.
fn reject_after_partial_commit(fleet: &mut FleetHarness, router: usize, ids: &[String]) {
    set_answer_delay(fleet, router, 500.0);
    let clients: Vec<ClientConnection> = ids.iter().map(|_| fleet.connect_client(router)).collect();
    let rounds = counter(fleet, router, "holds_rounds") + ids.len() as f64;
    let requests: Vec<_> = clients.iter().zip(ids).map(|(c, id)| c.checkout(id, DEADLINE_MS)).collect();
    wait_until("all leases are requested", || counter(fleet, router, "holds_rounds") >= rounds);
    other_routers(fleet, router).iter().for_each(|o| fleet.rig.router_link(router, *o).set_cut(true));
    // Heartbeats are few and small, so that growth beyond this on several links is due to leases; a lease request is retransmitted until it is
    // answered, and so is a commit.
    const HEARTBEAT_BYTES: u64 = 300;
    let has_grown = |now: Vec<u64>, before: &[u64]| {
        now.iter().zip(before).filter(|(now, before)| **now > **before + HEARTBEAT_BYTES).count() >= 3
    };
    let received_bytes = |fleet: &FleetHarness| -> Vec<u64> {
        other_routers(fleet, router)
            .iter()
            .map(|o| fleet.rig.router_link(*o, router).statistics().delivered_bytes)
            .collect()
    };
    let before: Vec<u64> = received_bytes(fleet);
    wait_until("the replicas have promised the leases", || has_grown(received_bytes(fleet), &before));
    let sent = sent_bytes(fleet, router);
    wait_until("the commits are sent", || has_grown(sent_bytes(fleet, router), &sent));
    reset_links(fleet, router);
    requests.into_iter().for_each(|request| {
        let outcome = fleet.wait_for_outcome(request);
        assert!(!matches!(outcome, Some(Outcome::Served(_))), "{outcome:?}");
    });
    assert!(ids.iter().all(|id| fleet.rig.archive.executions(id) == 0));
}

/// Presents checkouts to a router again until all are executed, or for 2 s after the first execution if the others are still rejected.
fn retry_until_executed(fleet: &FleetHarness, ids: &[String], clients: &[ClientConnection]) {
    let mut requests: Vec<Option<RequestNumber>> = ids.iter().map(|_| None).collect();
    let (start, mut first_executed) = (Instant::now(), None);
    while ids.iter().any(|id| fleet.rig.archive.executions(id) == 0) {
        for ((id, client), request) in ids.iter().zip(clients).zip(&mut requests) {
            let waits = request
                .is_some_and(|request| fleet.rig.history.wait_for_outcome(request, Duration::ZERO).is_none());
            if !waits && fleet.rig.archive.executions(id) == 0 {
                *request = Some(client.checkout(id, DEADLINE_MS));
            }
        }
        if ids.iter().any(|id| fleet.rig.archive.executions(id) > 0) {
            first_executed.get_or_insert_with(Instant::now);
        }
        if first_executed.is_some_and(|f| f.elapsed() > Duration::from_secs(2)) {
            return;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "no checkout is executed");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn lease_taken_after_a_rejection_is_not_released_while_it_runs() {
    let mut fleet = start_fleet_with(Spec::new(binary(), 5));
    // The router is not a replica of some of the registers; its own disk has no record of the first lease in these.
    let ids: Vec<String> = (0..10).map(|_| fleet.new_id()).collect();
    fleet.set_checkout_delay_ms(30_000);
    reject_after_partial_commit(&mut fleet, 0, &ids);
    // The same checkouts are presented again while the links come up, and their execution takes long.
    let again: Vec<ClientConnection> = ids.iter().map(|_| fleet.connect_client(0)).collect();
    for o in other_routers(&fleet, 0) {
        fleet.rig.router_link(0, o).set_cut(false);
        fleet.rig.router_link(o, 0).configure(|conditions| conditions.delay_ms = (0.0, 0.0));
    }
    retry_until_executed(&fleet, &ids, &again);
    // At another router they wait until the leases are released, which must not happen while they are executed.
    let other_clients: Vec<ClientConnection> = ids.iter().map(|_| fleet.connect_client(1)).collect();
    let requests: Vec<_> =
        other_clients.iter().zip(&ids).map(|(c, id)| c.checkout_concurrently(id, DEADLINE_MS)).collect();
    let outcomes: Vec<_> = requests.into_iter().map(|request| fleet.wait_for_outcome(request)).collect();
    let runs: Vec<u64> = ids.iter().map(|id| fleet.rig.archive.executions(id)).collect();
    assert!(runs.iter().all(|n| *n <= 1), "executions of each checkout: {runs:?}, {outcomes:?}");
}

#[test]
fn lease_requested_for_a_disconnected_client_is_released() {
    let mut fleet = start_fleet(3);
    set_answer_delay(&fleet, 0, 300.0);
    let (id, client, before) = (fleet.new_id(), fleet.connect_client(0), sent_bytes(&fleet, 0));
    let (late, requests) = (counter(&fleet, 0, "holds_unkept_late"), counter(&fleet, 0, "requests"));
    // Its deadline passes after the replicas have stored the lease, and before the router has their answers.
    client.checkout(&id, 450);
    // No lease is requested for a client that disconnects before its request is accepted.
    wait_until("the request is accepted", || counter(&fleet, 0, "requests") > requests);
    wait_until("the lease is requested", || {
        sent_bytes(&fleet, 0).iter().zip(&before).any(|(now, was)| now > was)
    });
    client.disconnect();
    wait_until("the deadline has passed", || counter(&fleet, 0, "holds_unkept_late") > late);
    set_answer_delay(&fleet, 0, 0.0);
    let outcome = fleet.known_outcome(1, &id);
    assert!(
        matches!(outcome, Some(Outcome::Served(_))),
        "the lease was not released for another router: {outcome:?}"
    );
    assert_eq!(fleet.rig.archive.executions(&id), 1);
    fleet.assert_history();
}

#[test]
fn outcome_being_recorded_survives_a_graceful_shutdown() {
    // The shutdown is bounded, and on a busy machine it may end before the outcome is committed. The router logs that, and the test tries
    // again.
    for retries_left in (0..4).rev() {
        let mut fleet = start_fleet(3);
        fleet.set_checkout_delay_ms(100);
        let (id, client) = (fleet.new_id(), fleet.connect_client(0));
        // The request is answered at this deadline, since its outcome can't be committed; it leaves a busy machine time to execute it.
        let request = client.checkout(&id, 1_500);
        fleet.wait_until_executed(&id);
        fleet.rig.partition(0, &[1, 2]);
        fleet.rig.request_shutdown(0);
        let outcome = fleet.wait_for_outcome(request);
        // The checkout was served. Its outcome is committed once the links are up again, after the shutdown has started.
        reset_links(&fleet, 0);
        other_routers(&fleet, 0).iter().for_each(|o| {
            fleet.rig.router_link(0, *o).set_cut(false);
            fleet.rig.router_link(*o, 0).set_cut(false);
        });
        let log = fleet.rig.routers[0].shut_down();
        let Some(Outcome::Served(bytes)) = outcome else { panic!("{outcome:?}: {log}") };
        if log.contains("were not committed before shutdown") && retries_left > 0 {
            continue;
        }
        fleet.assert_outcome(1, &id, &bytes);
        assert_eq!(fleet.rig.archive.executions(&id), 1);
        fleet.assert_history();
        return;
    }
}

/// The placement rules at the bootstrap of the fleet, and those that replace them.
const INITIAL_RULES: &str =
    "holds { shards 8 copies 3 spread machines }\nroot { copies 3 spread machines }\n";
const NEW_RULES: &str = "holds { shards 8 copies 3 spread branches }\nroot { copies 3 spread branches }\n";

#[test]
fn table_change_during_register_migration_and_shutdown_breaks_no_outcome() {
    let mut spec = Spec { rules: Some(INITIAL_RULES.into()), ..Spec::new(binary(), 5) };
    // Most of the machines are in one branch: by the new rules nearly every register has other replicas.
    for (place, branch) in spec.locations.iter_mut().zip(["north", "north", "north", "south", "east"]) {
        place.branch = branch.into();
    }
    let mut fleet = start_fleet_with(spec);
    fleet.set_checkout_delay_ms(40);
    let mut served: Vec<_> = (0..20).map(|n| fleet.serve_checkout(n % 5)).collect();
    // Messages are delayed, so that leases are requested under one table and granted under another.
    for (a, b) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        fleet.rig.router_link(a, b).configure(|conditions| conditions.delay_ms = (10.0, 20.0));
    }
    let clients: Vec<ClientConnection> = (1..5).map(|r| fleet.connect_client(r)).collect();
    let file = fleet.rig.routers[0]
        .data_folder
        .ancestors()
        .nth(2)
        .expect("the directory of the rig")
        .join("fleet.rules");
    std::fs::write(file, NEW_RULES).expect("the rules are written");
    fleet.rig.routers[0].reload();
    wait_until("another router receives the proposal", || fleet.rig.routers[1].has_logged(" by r1 is "));
    fleet.rig.request_shutdown(0);
    let (mut requests, start) = (Vec::new(), Instant::now());
    let all_have_version_above = |fleet: &FleetHarness, version: u64| {
        let versions = fleet.rig.table_versions();
        versions.values().all(|v| *v > version && Some(v) == versions.values().next())
    };
    // The proposer has shut down: its proposal is adopted or withdrawn.
    let is_withdrawn = |fleet: &FleetHarness| (1..5).any(|r| counter(fleet, r, "tables_taken_back") > 0.0);
    for round in 0.. {
        for client in &clients {
            let id = fleet.new_id();
            requests.push((client.checkout(&id, DEADLINE_MS), id));
        }
        match round {
            10 => {
                let log = fleet.rig.routers[0].shut_down();
                assert!(log.contains("ended: "), "the router did not shut down gracefully: {log}");
                fleet.rig.start_router(0).expect("the router starts");
            }
            11.. if all_have_version_above(&fleet, 1) || is_withdrawn(&fleet) => break,
            _ => {}
        }
        assert!(start.elapsed() < WAIT_LIMIT, "no later table is adopted: {:?}", fleet.rig.table_versions());
        std::thread::sleep(Duration::from_millis(20));
    }
    for (request, id) in requests {
        if let Some(Outcome::Served(bytes)) = fleet.wait_for_outcome(request) {
            served.push((id, bytes));
        }
    }
    fleet.wait_until_serving(0);
    assert!(fleet.rig.heal(), "links are up again");
    wait_until("all routers have the same table", || {
        fleet.rig.table_versions().len() == 5 && all_have_version_above(&fleet, 0)
    });
    for (n, (id, bytes)) in served.iter().enumerate() {
        fleet.assert_outcome(n % 5, id, bytes);
        assert_eq!(fleet.rig.archive.executions(id), 1);
    }
    fleet.assert_history();
}
