//! Routers with standing links keep few links each, and open others on demand; outcomes and purges are as safe as over a full mesh.

use crate::common::{binary, wait_until};
use crate::harness::{is_outcome_unknown, is_rejected, start_fleet_with, FleetHarness, DEADLINE_MS};
use basaltgw_emulator::rig::{Outcome, Spec};
use serde_json::{json, Value};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The routers of each fleet; they are in three branches in turn.
const ROUTERS: usize = 9;

/// Waits until no other fleet of this size runs, since the machine runs other tests at the same time.
fn exclusive() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Settings with `mesh` or `standing` links. Batches are short, and with standing links idle ones are closed after 1 s.
fn settings(links: &str) -> Value {
    let mut overlay = json!({"batch_ms": 100, "links": links});
    if links == "standing" {
        overlay["idle_ms"] = json!(1_000);
    }
    json!({"limits": {"promise_ms": 2000}, "overlay": overlay})
}

fn start_fleet(links: &str) -> FleetHarness {
    start_fleet_with(Spec { extra_settings: settings(links), ..Spec::new(binary(), ROUTERS) })
}

/// A fleet with standing links, without the links that only the bootstrap needed.
fn idle_fleet_with_standing_links() -> FleetHarness {
    let fleet = start_fleet("standing");
    wait_until_idle(&fleet);
    fleet
}

/// Waits until the links that the bootstrap or a change of the table opened are closed.
fn wait_until_idle(fleet: &FleetHarness) {
    wait_until("fewer than nine tenths of all links are open", || {
        links(fleet).iter().sum::<u64>() < (ROUTERS * (ROUTERS - 1)) as u64 * 9 / 10
    });
    wait_until("all routers have overlay neighbours", || {
        (0..ROUTERS).all(|r| count(fleet, r, "overlay_neighbours") >= 1)
    });
}

/// A counter of a router.
fn count(fleet: &FleetHarness, router: usize, name: &str) -> u64 {
    fleet.rig.counters(router).get(name).copied().unwrap_or(0.0) as u64
}

/// The number of links that each router has up.
fn links(fleet: &FleetHarness) -> Vec<u64> {
    (0..ROUTERS).map(|r| count(fleet, r, "peers_up")).collect()
}

/// Reads an object through a router; returns the outcome.
fn read(fleet: &mut FleetHarness, router: usize, object: u64) -> Option<Outcome> {
    let (id, client) = (fleet.new_id(), fleet.connect_client(router));
    fleet.wait_for_outcome(client.read(&id, object, DEADLINE_MS))
}

/// Asserts that all routers answer these checkouts with the same outcome, and that each was executed once.
fn assert_same_outcomes(fleet: &FleetHarness, served_checkouts: &[(String, Vec<u8>)]) {
    for (id, bytes) in served_checkouts {
        (0..ROUTERS).for_each(|router| fleet.assert_outcome(router, id, bytes));
        assert_eq!(fleet.rig.archive.executions(id), 1);
    }
}

#[test]
fn idle_links_are_fewer_than_the_fleet_and_a_checkout_opens_one_for_its_time() {
    let _guard = exclusive();
    let mut fleet = idle_fleet_with_standing_links();
    println!("idle fleet, links of each router: {:?}", links(&fleet));
    assert!(links(&fleet).iter().any(|l| *l < ROUTERS as u64 - 1));
    let served_checkouts: Vec<_> = (0..3 * ROUTERS).map(|n| fleet.serve_eventually(n % ROUTERS)).collect();
    assert_same_outcomes(&fleet, &served_checkouts);
    println!("after {} checkouts, links of each router: {:?}", served_checkouts.len(), links(&fleet));
    wait_until("idle links are closed", || {
        (0..ROUTERS).map(|r| count(&fleet, r, "peer_idle")).sum::<u64>() > 0
    });
    wait_until_idle(&fleet);
    println!("idle fleet again, links of each router: {:?}", links(&fleet));
    assert!(
        (0..ROUTERS).all(|r| count(&fleet, r, "links_gone") == 0 && count(&fleet, r, "table_version") == 1)
    );
    let counted = fleet.assert_history();
    assert_eq!(
        (counted.served, counted.executed),
        ((served_checkouts.len() * (1 + ROUTERS)) as u64, served_checkouts.len() as u64)
    );
}

#[test]
fn purge_received_by_one_router_takes_effect_at_all() {
    let _guard = exclusive();
    let mut fleet = idle_fleet_with_standing_links();
    (0..ROUTERS).for_each(|r| assert!(matches!(read(&mut fleet, r, 5), Some(Outcome::Served(_)))));
    fleet.rig.purge(5, &[7]);
    let others = || (0..ROUTERS).filter(|r| *r != 7);
    wait_until("all other routers have received the purge", || {
        others().all(|r| count(&fleet, r, "purges_from_peers") == 1)
    });
    (0..ROUTERS).for_each(|r| assert!(matches!(read(&mut fleet, r, 5), Some(Outcome::Served(_)))));
    assert_eq!(fleet.assert_history_with_immediate_purges().reads_after_purge, ROUTERS as u64);
}

#[test]
fn the_same_checkout_through_two_routers_at_once_runs_once_with_one_outcome() {
    let _guard = exclusive();
    let mut fleet = idle_fleet_with_standing_links();
    fleet.set_checkout_delay_ms(60);
    for round in 0..ROUTERS {
        let id = fleet.new_id();
        let (one, other) = (fleet.connect_client(round), fleet.connect_client((round + 4) % ROUTERS));
        let requests =
            [one.checkout_concurrently(&id, DEADLINE_MS), other.checkout_concurrently(&id, DEADLINE_MS)];
        let outcomes = requests.map(|request| fleet.wait_for_outcome(request));
        let runs = fleet.rig.archive.executions(&id);
        assert!(runs <= 1, "{outcomes:?}");
        let later = fleet.checkout((round + 6) % ROUTERS, &id);
        if let Some(served) = outcomes.iter().find(|e| matches!(e, Some(Outcome::Served(_)))) {
            assert!(outcomes.iter().all(|e| e == served || is_outcome_unknown(e)), "{outcomes:?}");
            assert_eq!(&later, served);
        } else if outcomes.iter().all(is_rejected) {
            assert_eq!(runs, 0, "{outcomes:?}");
        }
    }
    let counted = fleet.assert_history();
    assert!(counted.executed >= 6, "{counted:?}");
}

#[test]
fn outcome_is_unknown_everywhere_after_its_router_died_and_the_router_rejoins() {
    let _guard = exclusive();
    for wiped in [false, true] {
        let mut fleet = idle_fleet_with_standing_links();
        let served_checkouts: Vec<_> = (0..ROUTERS).map(|r| fleet.serve_eventually(r)).collect();
        fleet.set_checkout_delay_ms(30_000);
        let (id, client) = (fleet.new_id(), fleet.connect_client(0));
        let request = client.checkout(&id, DEADLINE_MS);
        fleet.wait_until_executed(&id);
        let before = fleet.rig.table_versions();
        match wiped {
            true => fleet.rig.kill_and_wipe(0).expect("the directory is deleted"),
            false => fleet.rig.kill(0),
        }
        assert_eq!(fleet.wait_for_outcome(request), None, "the connection is lost with its router");
        fleet.set_checkout_delay_ms(0);
        for router in [1, 4, 8] {
            let outcome = fleet.checkout(router, &id);
            assert!(is_outcome_unknown(&outcome), "router {router}: {outcome:?}");
        }
        fleet.rig.start_router(0).expect("the router starts");
        fleet.wait_until_serving(0);
        if wiped {
            assert!(
                fleet.rig.wait_until_replicated(0, &before),
                "the replicas are not restored: {}\n{}",
                fleet.register_counters(0),
                fleet.logs()
            );
        }
        let outcome = fleet.checkout(0, &id);
        assert!(is_outcome_unknown(&outcome), "{outcome:?}");
        assert_eq!(fleet.rig.archive.executions(&id), 1);
        fleet.serve_eventually(0);
        assert_same_outcomes(&fleet, &served_checkouts);
        fleet.assert_history();
    }
}

#[test]
fn attempt_at_a_router_without_a_link_runs_to_its_end() {
    let _guard = exclusive();
    let mut fleet = idle_fleet_with_standing_links();
    for owner in [0, 3, 7] {
        fleet.set_checkout_delay_ms(4_000);
        let (id, client) = (fleet.new_id(), fleet.connect_client(owner));
        let request = client.checkout(&id, 4 * DEADLINE_MS);
        fleet.wait_until_executed(&id);
        // Another router gets the same checkout while it is executed, and must not take the lease from its owner.
        let other = fleet.connect_client((owner + 4) % ROUTERS);
        let early = fleet.wait_for_outcome(other.checkout(&id, 1_000));
        assert!(!matches!(early, Some(Outcome::Served(_))), "{early:?}");
        let own_outcome = fleet.wait_for_outcome(request);
        assert!(matches!(own_outcome, Some(Outcome::Served(_))), "{own_outcome:?}");
        fleet.set_checkout_delay_ms(0);
        for router in 0..ROUTERS {
            assert_eq!(fleet.checkout(router, &id), own_outcome, "router {router}");
        }
        assert_eq!(fleet.rig.archive.executions(&id), 1);
    }
    fleet.assert_history();
}

#[test]
fn one_way_partitions_break_no_outcome() {
    let _guard = exclusive();
    let mut fleet = idle_fleet_with_standing_links();
    for (from, to) in [(0, 1), (4, 2), (8, 0)] {
        fleet.rig.partition_one_way(from, to);
    }
    let presented: Vec<_> = (0..ROUTERS)
        .map(|r| {
            let id = fleet.new_id();
            let outcome = fleet.checkout(r, &id);
            (id, outcome)
        })
        .collect();
    let (id, bytes) = fleet.serve_eventually(5);
    // Not all routers will be linked with each other: the standing links are up again when each router serves.
    fleet.rig.heal();
    for r in 0..ROUTERS {
        fleet.serve_eventually(r);
        assert_eq!(fleet.checkout(r, &id), Some(Outcome::Served(bytes.clone())));
    }
    for (id, outcome) in &presented {
        for router in [0, 4, 8] {
            let again = fleet.checkout(router, id);
            if let Some(Outcome::Served(_)) = outcome {
                assert_eq!(&again, outcome, "router {router}");
            }
        }
        assert!(fleet.rig.archive.executions(id) <= 1);
    }
    fleet.assert_history();
}

#[test]
fn partitioned_and_healed_site_breaks_no_outcome() {
    let _guard = exclusive();
    let mut fleet = idle_fleet_with_standing_links();
    let served_checkouts: Vec<_> = (0..ROUTERS).map(|r| fleet.serve_eventually(r)).collect();
    let cut_branch = [1, 4, 7];
    let rest: Vec<usize> = (0..ROUTERS).filter(|r| !cut_branch.contains(r)).collect();
    cut_branch.iter().for_each(|r| fleet.rig.partition(*r, &rest));
    let mut presented = Vec::new();
    for round in 0..3 {
        for router in [0, 1, 5, 7] {
            let id = fleet.new_id();
            let outcome = fleet.checkout(router, &id);
            assert!(outcome.is_some(), "round {round}, router {router}");
            presented.push((id, outcome));
        }
    }
    // The majority still serves.
    let (id, bytes) = fleet.serve_eventually(3);
    fleet.rig.purge(9, &[0]);
    fleet.rig.heal();
    for r in 0..ROUTERS {
        fleet.serve_eventually(r);
        assert_eq!(fleet.checkout(r, &id), Some(Outcome::Served(bytes.clone())));
    }
    wait_until("the purge is received", || (1..ROUTERS).all(|r| count(&fleet, r, "purges_from_peers") >= 1));
    assert_same_outcomes(&fleet, &served_checkouts);
    for (id, outcome) in &presented {
        if let Some(Outcome::Served(_)) = outcome {
            assert_eq!(&fleet.checkout(2, id), outcome);
        }
        assert!(fleet.rig.archive.executions(id) <= 1);
    }
    fleet.assert_history();
}

#[test]
fn rolling_switch_of_a_mesh_and_back_loses_no_outcome() {
    let _guard = exclusive();
    let mut fleet = start_fleet("mesh");
    let mut served_checkouts: Vec<_> = (0..ROUTERS).map(|r| fleet.serve_eventually(r)).collect();
    for (to, object) in [("standing", 11), ("mesh", 12)] {
        fleet.rig.spec.extra_settings = settings(to);
        for r in 0..ROUTERS {
            fleet.rig.kill(r);
            fleet.rig.start_router(r).expect("the router starts");
            fleet.wait_until_serving(r);
            served_checkouts.push(fleet.serve_eventually(r));
            served_checkouts.push(fleet.serve_eventually((r + 5) % ROUTERS));
            if r == ROUTERS / 2 {
                // With both kinds of links in one fleet, a purge that one router receives takes effect at all.
                let before: Vec<u64> = (0..ROUTERS).map(|r| count(&fleet, r, "purges_from_peers")).collect();
                fleet.rig.purge(object, &[r]);
                let has_received = |o: usize| count(&fleet, o, "purges_from_peers") > before[o];
                wait_until("all other routers have received the purge", || {
                    (0..ROUTERS).filter(|o| *o != r).all(has_received)
                });
            }
        }
        assert_same_outcomes(&fleet, &served_checkouts);
        if to == "standing" {
            wait_until_idle(&fleet);
            println!("idle fleet, links of each router: {:?}", links(&fleet));
        }
    }
    wait_until("all routers are linked again", || links(&fleet).iter().all(|l| *l == ROUTERS as u64 - 1));
    fleet.assert_history();
}
