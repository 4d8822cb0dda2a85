//! Routers with standing links: few each, others as they are needed, and every word kept as over a mesh.

use crate::common::{binary, wait_until};
use crate::harness::{is_outcome_unknown, is_rejected, start_fleet_with, FleetHarness, DEADLINE_MS};
use basaltgw_emulator::rig::{Outcome, Spec};
use serde_json::{json, Value};
use std::sync::{Mutex, MutexGuard, PoisonError};

const ROUTERS: usize = 9;

/// One fleet of this size at a time: the other tests beside it are enough for a machine.
fn exclusive() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Links that nobody needs go soon; words between routers go in small batches.
fn settings(links: &str) -> Value {
    let mut overlay = json!({"batch_ms": 100, "links": links});
    if links == "standing" {
        overlay["idle_ms"] = json!(1_000);
    }
    json!({"limits": {"promise_ms": 2000}, "overlay": overlay})
}

fn fleet(links: &str) -> FleetHarness {
    start_fleet_with(Spec { extra_settings: settings(links), ..Spec::new(binary(), ROUTERS) })
}

/// A fleet with standing links, at rest.
fn idle_fleet_with_standing_links() -> FleetHarness {
    let t = fleet("standing");
    wait_until_idle(&t);
    t
}

/// Waits until the links of a founding, or of a table, have gone.
fn wait_until_idle(t: &FleetHarness) {
    wait_until("links are few", || links(t).iter().sum::<u64>() < (ROUTERS * (ROUTERS - 1)) as u64 * 9 / 10);
    wait_until("all have neighbours", || (0..ROUTERS).all(|r| count(t, r, "overlay_neighbours") >= 1));
}

fn count(t: &FleetHarness, router: usize, name: &str) -> u64 {
    t.rig.counters(router).get(name).copied().unwrap_or(0.0) as u64
}

fn links(t: &FleetHarness) -> Vec<u64> {
    (0..ROUTERS).map(|r| count(t, r, "peers_up")).collect()
}

fn read(t: &mut FleetHarness, router: usize, object: u64) -> Option<Outcome> {
    let (id, caller) = (t.new_id(), t.caller(router));
    t.wait_for_outcome(caller.read(&id, object, DEADLINE_MS))
}

/// Presents the ids to all routers again: each has its outcome everywhere, and none ran twice.
fn assert_same_outcomes(t: &FleetHarness, kept: &[(String, Vec<u8>)]) {
    for (id, bytes) in kept {
        (0..ROUTERS).for_each(|router| t.assert_outcome(router, id, bytes));
        assert_eq!(t.rig.archive.executions(id), 1);
    }
}

#[test]
fn idle_links_are_fewer_than_the_fleet_and_a_checkout_opens_one_for_its_time() {
    let _one = exclusive();
    let mut t = idle_fleet_with_standing_links();
    println!("links at rest: {:?}", links(&t));
    assert!(links(&t).iter().any(|l| *l < ROUTERS as u64 - 1));
    let kept: Vec<_> = (0..3 * ROUTERS).map(|n| t.serve_eventually(n % ROUTERS)).collect();
    assert_same_outcomes(&t, &kept);
    println!("links after {} checkouts: {:?}", kept.len(), links(&t));
    wait_until("links have gone again", || (0..ROUTERS).map(|r| count(&t, r, "peer_idle")).sum::<u64>() > 0);
    wait_until_idle(&t);
    println!("links at rest again: {:?}", links(&t));
    assert!((0..ROUTERS).all(|r| count(&t, r, "links_gone") == 0 && count(&t, r, "table_version") == 1));
    let counted = t.assert_history();
    assert_eq!((counted.served, counted.executed), ((kept.len() * (1 + ROUTERS)) as u64, kept.len() as u64));
}

#[test]
fn purge_received_by_one_router_takes_effect_at_all() {
    let _one = exclusive();
    let mut t = idle_fleet_with_standing_links();
    (0..ROUTERS).for_each(|r| assert!(matches!(read(&mut t, r, 5), Some(Outcome::Served(_)))));
    t.rig.purge(5, &[7]);
    let others = || (0..ROUTERS).filter(|r| *r != 7);
    wait_until("all others have heard", || others().all(|r| count(&t, r, "purges_from_peers") == 1));
    (0..ROUTERS).for_each(|r| assert!(matches!(read(&mut t, r, 5), Some(Outcome::Served(_)))));
    assert_eq!(t.assert_history_with_immediate_purges().reads_after_purge, ROUTERS as u64);
}

#[test]
fn the_same_checkout_through_two_routers_at_once_runs_once_with_one_outcome() {
    let _one = exclusive();
    let mut t = idle_fleet_with_standing_links();
    t.set_effect_duration_ms(60);
    for round in 0..ROUTERS {
        let id = t.new_id();
        let (one, other) = (t.caller(round), t.caller((round + 4) % ROUTERS));
        let asks =
            [one.checkout_concurrently(&id, DEADLINE_MS), other.checkout_concurrently(&id, DEADLINE_MS)];
        let ends = asks.map(|ask| t.wait_for_outcome(ask));
        let runs = t.rig.archive.executions(&id);
        assert!(runs <= 1, "{ends:?}");
        let later = t.checkout((round + 6) % ROUTERS, &id);
        if let Some(served) = ends.iter().find(|e| matches!(e, Some(Outcome::Served(_)))) {
            assert!(ends.iter().all(|e| e == served || is_outcome_unknown(e)), "{ends:?}");
            assert_eq!(&later, served);
        } else if ends.iter().all(is_rejected) {
            assert_eq!(runs, 0, "{ends:?}");
        }
    }
    let counted = t.assert_history();
    assert!(counted.executed >= 6, "{counted:?}");
}

#[test]
fn outcome_is_unknown_everywhere_after_its_router_died_and_the_router_rejoins() {
    let _one = exclusive();
    for wiped in [false, true] {
        let mut t = idle_fleet_with_standing_links();
        let kept: Vec<_> = (0..ROUTERS).map(|r| t.serve_eventually(r)).collect();
        t.set_effect_duration_ms(30_000);
        let (id, caller) = (t.new_id(), t.caller(0));
        let ask = caller.checkout(&id, DEADLINE_MS);
        t.wait_until_executed(&id);
        let before = t.rig.table_versions();
        match wiped {
            true => t.rig.kill_and_wipe(0).expect("a folder"),
            false => t.rig.kill(0),
        }
        assert_eq!(t.wait_for_outcome(ask), None, "lost with its router");
        t.set_effect_duration_ms(0);
        for router in [1, 4, 8] {
            let end = t.checkout(router, &id);
            assert!(is_outcome_unknown(&end), "router {router}: {end:?}");
        }
        t.rig.start_router(0).expect("a router");
        t.wait_until_serving(0);
        if wiped {
            assert!(
                t.rig.wait_until_replicated(0, &before),
                "copies are made up: {}\n{}",
                t.register_counters(0),
                t.logs()
            );
        }
        let end = t.checkout(0, &id);
        assert!(is_outcome_unknown(&end), "{end:?}");
        assert_eq!(t.rig.archive.executions(&id), 1);
        t.serve_eventually(0);
        assert_same_outcomes(&t, &kept);
        t.assert_history();
    }
}

#[test]
fn attempt_at_a_router_without_a_link_runs_to_its_end() {
    let _one = exclusive();
    let mut t = idle_fleet_with_standing_links();
    for owner in [0, 3, 7] {
        t.set_effect_duration_ms(4_000);
        let (id, caller) = (t.new_id(), t.caller(owner));
        let ask = caller.checkout(&id, 4 * DEADLINE_MS);
        t.wait_until_executed(&id);
        // Asked for from where it is not, while it runs: it is not taken from its owner.
        let other = t.caller((owner + 4) % ROUTERS);
        let early = t.wait_for_outcome(other.checkout(&id, 1_000));
        assert!(!matches!(early, Some(Outcome::Served(_))), "{early:?}");
        let own = t.wait_for_outcome(ask);
        assert!(matches!(own, Some(Outcome::Served(_))), "{own:?}");
        t.set_effect_duration_ms(0);
        for router in 0..ROUTERS {
            assert_eq!(t.checkout(router, &id), own, "router {router}");
        }
        assert_eq!(t.rig.archive.executions(&id), 1);
    }
    t.assert_history();
}

#[test]
fn one_way_partitions_break_no_outcome() {
    let _one = exclusive();
    let mut t = idle_fleet_with_standing_links();
    for (from, to) in [(0, 1), (4, 2), (8, 0)] {
        t.rig.partition_one_way(from, to);
    }
    let kept: Vec<_> = (0..ROUTERS)
        .map(|r| {
            let id = t.new_id();
            let end = t.checkout(r, &id);
            (id, end)
        })
        .collect();
    let (id, bytes) = t.serve_eventually(5);
    // Not all will be linked with all: links that stood are up again when each serves.
    t.rig.heal();
    for r in 0..ROUTERS {
        t.serve_eventually(r);
        assert_eq!(t.checkout(r, &id), Some(Outcome::Served(bytes.clone())));
    }
    for (id, end) in &kept {
        for router in [0, 4, 8] {
            let again = t.checkout(router, id);
            if let Some(Outcome::Served(_)) = end {
                assert_eq!(&again, end, "router {router}");
            }
        }
        assert!(t.rig.archive.executions(id) <= 1);
    }
    t.assert_history();
}

#[test]
fn partitioned_and_healed_site_breaks_no_outcome() {
    let _one = exclusive();
    let mut t = idle_fleet_with_standing_links();
    let kept: Vec<_> = (0..ROUTERS).map(|r| t.serve_eventually(r)).collect();
    // Routers stand in three branches in turn.
    let branch = [1, 4, 7];
    let rest: Vec<usize> = (0..ROUTERS).filter(|r| !branch.contains(r)).collect();
    branch.iter().for_each(|r| t.rig.partition(*r, &rest));
    let mut asked = Vec::new();
    for round in 0..3 {
        for router in [0, 1, 5, 7] {
            let id = t.new_id();
            let end = t.checkout(router, &id);
            assert!(end.is_some(), "round {round}, router {router}");
            asked.push((id, end));
        }
    }
    // The larger side goes on.
    let (id, bytes) = t.serve_eventually(3);
    t.rig.purge(9, &[0]);
    t.rig.heal();
    for r in 0..ROUTERS {
        t.serve_eventually(r);
        assert_eq!(t.checkout(r, &id), Some(Outcome::Served(bytes.clone())));
    }
    wait_until("the purge is heard", || (1..ROUTERS).all(|r| count(&t, r, "purges_from_peers") >= 1));
    assert_same_outcomes(&t, &kept);
    for (id, end) in &asked {
        if let Some(Outcome::Served(_)) = end {
            assert_eq!(&t.checkout(2, id), end);
        }
        assert!(t.rig.archive.executions(id) <= 1);
    }
    t.assert_history();
}

#[test]
fn rolling_switch_of_a_mesh_and_back_loses_no_outcome() {
    let _one = exclusive();
    let mut t = fleet("mesh");
    let mut kept: Vec<_> = (0..ROUTERS).map(|r| t.serve_eventually(r)).collect();
    for (to, object) in [("standing", 11), ("mesh", 12)] {
        t.rig.spec.extra_settings = settings(to);
        for r in 0..ROUTERS {
            t.rig.kill(r);
            t.rig.start_router(r).expect("a router");
            t.wait_until_serving(r);
            kept.push(t.serve_eventually(r));
            kept.push(t.serve_eventually((r + 5) % ROUTERS));
            if r == ROUTERS / 2 {
                // Both kinds in one fleet: what one has heard all heed.
                let before: Vec<u64> = (0..ROUTERS).map(|r| count(&t, r, "purges_from_peers")).collect();
                t.rig.purge(object, &[r]);
                let heard = |o: usize| count(&t, o, "purges_from_peers") > before[o];
                wait_until("all others have heard", || (0..ROUTERS).filter(|o| *o != r).all(heard));
            }
        }
        assert_same_outcomes(&t, &kept);
        if to == "standing" {
            wait_until_idle(&t);
            println!("links at rest: {:?}", links(&t));
        }
    }
    wait_until("all are linked again", || links(&t).iter().all(|l| *l == ROUTERS as u64 - 1));
    t.assert_history();
}
