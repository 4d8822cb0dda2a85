//! A machine that was lost with its disk has its place given to its new folder, which is filled before it counts.

use crate::harness::start_fleet;

#[test]
fn machines_lost_with_their_disks_one_after_another_are_replicated_between() {
    let mut t = start_fleet(3);
    let mut kept = vec![t.serve_checkout(0), t.serve_checkout(1), t.serve_checkout(2)];
    for lost in [0, 1, 2, 0] {
        let before = t.rig.table_versions();
        t.rig.kill_and_wipe(lost).expect("a folder");
        t.rig.change_peer_address(lost).expect("a port");
        t.rig.start_router(lost).expect("a router");
        t.wait_until_serving(lost);
        // A promise lies on two of three disks at least, and so on those of the loss after next.
        assert!(
            t.rig.wait_until_replicated(lost, &before),
            "copies are made up: {}\n{}",
            t.register_counters(lost),
            t.logs()
        );
        for (id, bytes) in &kept {
            (0..3).for_each(|router| t.assert_outcome(router, id, bytes));
        }
        kept.push(t.serve_eventually(lost));
    }
    t.assert_history();
}
