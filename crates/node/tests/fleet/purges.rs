//! A purge that one router heard is kept by all, whoever restarts.

use crate::common::wait_until;
use crate::harness::{start_fleet, FleetHarness, DEADLINE_MS};
use basaltgw_emulator::rig::Outcome;
use std::sync::atomic::Ordering;

fn read(t: &mut FleetHarness, router: usize, object: u64) -> Option<Outcome> {
    let (id, caller) = (t.new_id(), t.caller(router));
    t.wait_for_outcome(caller.read(&id, object, DEADLINE_MS))
}

#[test]
fn purge_received_by_a_router_that_dies_survives_a_full_restart_without_discovery() {
    let mut t = start_fleet(3);
    assert!(matches!(read(&mut t, 1, 5), Some(Outcome::Served(_))));
    let kept = |t: &FleetHarness| t.rig.counters(0).get("holds_kept").copied().unwrap_or(0.0);
    let before = kept(&t);
    t.rig.purge(5, &[0]);
    wait_until("it is kept", || kept(&t) > before);
    t.rig.change_logs.iter().for_each(|l| l.down.store(true, Ordering::SeqCst));
    t.rig.kill_and_wipe(0).expect("a folder");
    t.rig.kill(1);
    t.rig.kill(2);
    for r in [1, 2, 0] {
        t.rig.start_router(r).expect("a router");
    }
    (0..3).for_each(|r| t.wait_until_serving(r));
    t.wait_until_purge_due();
    for r in [2, 1, 0] {
        assert!(matches!(read(&mut t, r, 5), Some(Outcome::Served(_))));
    }
    assert_eq!(t.assert_history().reads_after_purge, 3);
}
