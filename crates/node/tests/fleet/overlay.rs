//! Purges that router processes send each other over the overlay.

use crate::common::{binary, wait_until};
use crate::harness::{start_fleet_with, FleetHarness, DEADLINE_MS};
use basaltgw_emulator::rig::{Outcome, Spec};
use serde_json::json;

/// A fleet with an overlay over three branches; of five routers, two are in each of two branches and one is in the third.
fn start_fleet_with_overlay(routers: usize) -> FleetHarness {
    let more = json!({"limits": {"promise_ms": 2000}, "overlay": {"batch_ms": 100}});
    let fleet = start_fleet_with(Spec { extra_settings: more, ..Spec::new(binary(), routers) });
    wait_until("all routers have overlay neighbours", || {
        (0..routers).all(|r| count(&fleet, r, "overlay_neighbours") >= 1)
    });
    fleet
}

fn count(fleet: &FleetHarness, router: usize, name: &str) -> u64 {
    fleet.rig.counters(router).get(name).copied().unwrap_or(0.0) as u64
}

fn read(fleet: &mut FleetHarness, router: usize, object: u64) -> Option<Outcome> {
    let (id, client) = (fleet.new_id(), fleet.connect_client(router));
    fleet.wait_for_outcome(client.read(&id, object, DEADLINE_MS))
}

#[test]
fn purge_received_by_one_router_takes_effect_at_all_without_registers() {
    for routers in [3, 5] {
        let mut fleet = start_fleet_with_overlay(routers);
        (0..routers).for_each(|r| assert!(matches!(read(&mut fleet, r, 5), Some(Outcome::Served(_)))));
        let stored: Vec<u64> = (0..routers).map(|r| count(&fleet, r, "holds_kept")).collect();
        let receiver = routers - 1;
        fleet.rig.purge(5, &[receiver]);
        wait_until("all other routers have received the purge", || {
            (0..receiver).all(|r| count(&fleet, r, "purges_from_peers") == 1)
        });
        (0..routers).for_each(|r| assert!(matches!(read(&mut fleet, r, 5), Some(Outcome::Served(_)))));
        assert_eq!(fleet.assert_history_with_immediate_purges().reads_after_purge, routers as u64);
        let sent_updates = || (0..routers).map(|r| count(&fleet, r, "overlay_said")).sum::<u64>();
        wait_until("the counters are updated", || sent_updates() > 0);
        assert_eq!(sent_updates(), 1);
        assert!((0..receiver).all(|r| count(&fleet, r, "purges_from_peers") == 1));
        assert!((0..routers).all(|r| count(&fleet, r, "holds_kept") == stored[r]));
    }
}

#[test]
fn restarted_router_learns_the_purges_it_missed() {
    let mut fleet = start_fleet_with_overlay(5);
    assert!(matches!(read(&mut fleet, 1, 5), Some(Outcome::Served(_))));
    fleet.rig.kill(1);
    fleet.rig.purge(5, &[0]);
    wait_until("the other routers have received the purge", || {
        [2, 3, 4].into_iter().all(|r| count(&fleet, r, "purges_from_peers") == 1)
    });
    fleet.rig.start_router(1).expect("the router starts");
    fleet.wait_until_serving(1);
    assert!(matches!(read(&mut fleet, 1, 5), Some(Outcome::Served(_))));
    wait_until("the restarted router has received the purge", || count(&fleet, 1, "purges_from_peers") == 1);
    fleet.wait_until_purge_due();
    assert!(matches!(read(&mut fleet, 1, 5), Some(Outcome::Served(_))));
    let log = fleet.rig.routers[1].log_text();
    println!(
        "the purge was known at the start: {}",
        !log.contains("purges from before this start are not available")
    );
    assert!(fleet.assert_history().reads_after_purge >= 1);
}
