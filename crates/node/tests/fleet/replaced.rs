//! A machine that was lost with its disk returns with an empty directory, which is filled with replicas before it counts in quorums.

use crate::harness::start_fleet;

#[test]
fn machines_lost_with_their_disks_one_after_another_are_replicated_between() {
    let mut fleet = start_fleet(3);
    let mut served = vec![fleet.serve_checkout(0), fleet.serve_checkout(1), fleet.serve_checkout(2)];
    for lost in [0, 1, 2, 0] {
        let before = fleet.rig.table_versions();
        fleet.rig.kill_and_wipe(lost).expect("the directory is deleted");
        fleet.rig.change_peer_address(lost).expect("a free port");
        fleet.rig.start_router(lost).expect("the router starts");
        fleet.wait_until_serving(lost);
        // A lease may be on only two of the three disks. It survives the loss of one after the other only if its replicas are restored between
        // the losses.
        assert!(
            fleet.rig.wait_until_replicated(lost, &before),
            "the replicas are not restored: {}\n{}",
            fleet.register_counters(lost),
            fleet.logs()
        );
        for (id, bytes) in &served {
            (0..3).for_each(|router| fleet.assert_outcome(router, id, bytes));
        }
        served.push(fleet.serve_eventually(lost));
    }
    fleet.assert_history();
}
