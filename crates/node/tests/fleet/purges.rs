//! A purge that one router received is stored by all, and survives restarts.

use crate::common::wait_until;
use crate::harness::{start_fleet, FleetHarness, DEADLINE_MS};
use basaltgw_emulator::rig::Outcome;
use std::sync::atomic::Ordering;

fn read(fleet: &mut FleetHarness, router: usize, object: u64) -> Option<Outcome> {
    let (id, client) = (fleet.new_id(), fleet.connect_client(router));
    fleet.wait_for_outcome(client.read(&id, object, DEADLINE_MS))
}

#[test]
fn purge_received_by_a_router_that_dies_survives_a_full_restart_without_discovery() {
    let mut fleet = start_fleet(3);
    assert!(matches!(read(&mut fleet, 1, 5), Some(Outcome::Served(_))));
    let stored_purges =
        |fleet: &FleetHarness| fleet.rig.counters(0).get("holds_kept").copied().unwrap_or(0.0);
    let before = stored_purges(&fleet);
    fleet.rig.purge(5, &[0]);
    wait_until("the purge is stored", || stored_purges(&fleet) > before);
    fleet.rig.change_logs.iter().for_each(|l| l.down.store(true, Ordering::SeqCst));
    fleet.rig.kill_and_wipe(0).expect("the directory is deleted");
    fleet.rig.kill(1);
    fleet.rig.kill(2);
    for r in [1, 2, 0] {
        fleet.rig.start_router(r).expect("the router starts");
    }
    (0..3).for_each(|r| fleet.wait_until_serving(r));
    fleet.wait_until_purge_due();
    for r in [2, 1, 0] {
        assert!(matches!(read(&mut fleet, r, 5), Some(Outcome::Served(_))));
    }
    assert_eq!(fleet.assert_history().reads_after_purge, 3);
}
