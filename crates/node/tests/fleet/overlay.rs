//! Purges that travel by the overlay between real routers.

use crate::common::{binary, wait_until};
use crate::harness::{start_fleet_with, FleetHarness, DEADLINE_MS};
use basaltgw_emulator::rig::{Outcome, Spec};
use serde_json::json;

/// A fleet with an overlay over branches; five are two in two of them and one in the third.
fn with_overlay(routers: usize) -> FleetHarness {
    let more = json!({"limits": {"promise_ms": 2000}, "overlay": {"batch_ms": 100}});
    let t = start_fleet_with(Spec { extra_settings: more, ..Spec::new(binary(), routers) });
    wait_until("all have neighbours", || (0..routers).all(|r| count(&t, r, "overlay_neighbours") >= 1));
    t
}

fn count(t: &FleetHarness, router: usize, name: &str) -> u64 {
    t.rig.counters(router).get(name).copied().unwrap_or(0.0) as u64
}

fn read(t: &mut FleetHarness, router: usize, object: u64) -> Option<Outcome> {
    let (id, caller) = (t.new_id(), t.caller(router));
    t.wait_for_outcome(caller.read(&id, object, DEADLINE_MS))
}

#[test]
fn purge_received_by_one_router_takes_effect_at_all_without_registers() {
    for routers in [3, 5] {
        let mut t = with_overlay(routers);
        (0..routers).for_each(|r| assert!(matches!(read(&mut t, r, 5), Some(Outcome::Served(_)))));
        let kept: Vec<u64> = (0..routers).map(|r| count(&t, r, "holds_kept")).collect();
        let hearer = routers - 1;
        t.rig.purge(5, &[hearer]);
        wait_until("all others have heard", || (0..hearer).all(|r| count(&t, r, "purges_from_peers") == 1));
        (0..routers).for_each(|r| assert!(matches!(read(&mut t, r, 5), Some(Outcome::Served(_)))));
        assert_eq!(t.assert_history_with_immediate_purges().reads_after_purge, routers as u64);
        let said = || (0..routers).map(|r| count(&t, r, "overlay_said")).sum::<u64>();
        wait_until("the counters are brought up to date", || said() > 0);
        assert_eq!(said(), 1);
        assert!((0..hearer).all(|r| count(&t, r, "purges_from_peers") == 1));
        assert!((0..routers).all(|r| count(&t, r, "holds_kept") == kept[r]));
    }
}

#[test]
fn restarted_router_learns_the_purges_it_missed() {
    let mut t = with_overlay(5);
    assert!(matches!(read(&mut t, 1, 5), Some(Outcome::Served(_))));
    t.rig.kill(1);
    t.rig.purge(5, &[0]);
    wait_until("the others have heard", || {
        [2, 3, 4].into_iter().all(|r| count(&t, r, "purges_from_peers") == 1)
    });
    t.rig.start_router(1).expect("a router");
    t.wait_until_serving(1);
    assert!(matches!(read(&mut t, 1, 5), Some(Outcome::Served(_))));
    wait_until("it has learnt it", || count(&t, 1, "purges_from_peers") == 1);
    t.wait_until_purge_due();
    assert!(matches!(read(&mut t, 1, 5), Some(Outcome::Served(_))));
    let said = t.rig.routers[1].log();
    println!("known at its start: {}", !said.contains("purges from before this start are not available"));
    assert!(t.assert_history().reads_after_purge >= 1);
}
