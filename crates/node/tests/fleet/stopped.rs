//! A router that was stopped while it asked for a promise.

use crate::common::wait_until;
use crate::harness::{start_fleet, DEADLINE_MS};

#[test]
fn router_resumed_during_a_lease_request_sends_nothing_leased_elsewhere() {
    let mut t = start_fleet(3);
    // Its keepers' answers take long: it is stopped before it has the promise, and finds it when it wakes.
    t.rig.router_link(1, 0).configure(|conditions| conditions.delay_ms = (400.0, 400.0));
    t.rig.router_link(2, 0).configure(|conditions| conditions.delay_ms = (400.0, 400.0));
    let (id, caller) = (t.new_id(), t.caller(0));
    let before = t.rig.router_link(0, 1).statistics().received_bytes;
    let ask = caller.checkout(&id, DEADLINE_MS);
    wait_until("its keepers are asked", || t.rig.router_link(0, 1).statistics().received_bytes > before);
    t.rig.suspend(0);
    let ends = [1, 2].map(|router| t.checkout(router, &id));
    assert!(ends.iter().all(Option::is_some), "{ends:?}");
    t.rig.resume(0);
    assert!(t.rig.heal(), "links are up again");
    t.wait_until_serving(0);
    let own = t.wait_for_outcome(ask);
    t.serve_eventually(0);
    let runs = t.rig.archive.executions(&id);
    assert!(runs <= 1, "{own:?} {ends:?}");
    t.assert_history();
}
