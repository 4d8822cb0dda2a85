//! A router that is stopped while it requests a lease.

use crate::common::wait_until;
use crate::harness::{start_fleet, DEADLINE_MS};

#[test]
fn router_resumed_during_a_lease_request_sends_nothing_leased_elsewhere() {
    let mut fleet = start_fleet(3);
    // The answers of the replicas are delayed: the router is stopped before it has the lease, and finds the answers when it is resumed.
    fleet.rig.router_link(1, 0).configure(|conditions| conditions.delay_ms = (400.0, 400.0));
    fleet.rig.router_link(2, 0).configure(|conditions| conditions.delay_ms = (400.0, 400.0));
    let (id, client) = (fleet.new_id(), fleet.connect_client(0));
    let before = fleet.rig.router_link(0, 1).statistics().received_bytes;
    let request = client.checkout(&id, DEADLINE_MS);
    wait_until("the lease is requested", || fleet.rig.router_link(0, 1).statistics().received_bytes > before);
    fleet.rig.suspend(0);
    let outcomes = [1, 2].map(|router| fleet.checkout(router, &id));
    assert!(outcomes.iter().all(Option::is_some), "{outcomes:?}");
    fleet.rig.resume(0);
    assert!(fleet.rig.heal(), "links are up again");
    fleet.wait_until_serving(0);
    let own_outcome = fleet.wait_for_outcome(request);
    fleet.serve_eventually(0);
    let runs = fleet.rig.archive.executions(&id);
    assert!(runs <= 1, "{own_outcome:?} {outcomes:?}");
    fleet.assert_history();
}
