//! Bootstrap of a fleet, adoption of another table, and restart with a stored one.

use crate::network::{parts, Disk, Network};
use basaltgw_control::{Action, Control, ControlNotification, ControlRequest, Event};
use basaltgw_types::Ms;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[test]
fn three_routers_bootstrap_the_same_table() {
    for disk in [Disk::Commits(0.0), Disk::Commits(7.0)] {
        let net = Network::bootstrapped(disk);
        let tables: Vec<_> = net.nodes.iter().map(|n| n.hello.table).collect();
        assert!(tables.iter().all(|t| *t == tables[0] && t.0 .0 > 0), "{tables:?}");
        for node in &net.nodes {
            assert!(node.control.table().is_member());
            assert_eq!(node.control.membership().peers().count(), 2);
            assert_eq!((node.control.counts().connected_peers, node.control.counts().commits_failed), (2, 0));
        }
    }
}

#[test]
fn a_table_that_is_not_durable_here_does_not_take_effect() {
    let mut net = Network::new(3, Disk::Commits(1.0));
    net.nodes[2].disk = Disk::Hangs;
    net.link_all();
    net.run_for(5_000.0);
    // The table of three needs all three disks, and the third one has not reported it as durable.
    assert!(
        !net.nodes[2].commits.is_empty()
            && net.nodes[2].advertised_tables.is_empty()
            && net.table_version(2) == 0
    );
    net.nodes[2].disk = Disk::Commits(1.0);
    net.run_until(10_000.0, |net| (0..3).all(|n| net.table_version(n) > 0));
    assert!(net.nodes[2].stored.contains_key(&(basaltgw_control::TABLE_SPACE.0, Vec::new())));
}

#[test]
fn new_rules_are_adopted_by_all_and_restored_after_a_restart() {
    let mut net = Network::bootstrapped(Disk::Commits(3.0));
    net.change_rules(1);
    let table = net.nodes[0].hello.table;
    assert!(net.nodes.iter().all(|n| n.hello.table == table));
    net.restart(2);
    assert_eq!(net.nodes[2].control.table().version(), Some(table));
    assert_eq!(net.nodes[2].control.counts().table_version, table.0 .0);
    net.run_until(10_000.0, |net| net.has_synced_purges(2));
}

#[test]
fn a_shutdown_finishes_when_no_change_is_pending() {
    let mut net = Network::bootstrapped(Disk::Commits(1.0));
    assert!(!net.nodes[0].control.is_finished(net.now + 1e9));
    net.deliver(0, Event::Request(ControlRequest::Shutdown(Vec::new())));
    net.run_until(1_500.0, |net| net.nodes[0].control.is_finished(net.now));
    assert_eq!(net.nodes[0].control.pending_changes(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A simulation advances its clock to `next_timer`. Its clock would stop if a timer that fired were still due.
    #[test]
    fn the_next_timer_is_later_after_due_timers_fired(start in prop_oneof![0.0..10.0, 1.0e12..2.0e12f64]) {
        let mut actions = Vec::new();
        let mut control = Control::new(start, parts(0, 2, &BTreeMap::new()), &mut actions);
        let hello = crate::network::hello(1);
        control.handle(start, Event::LinkUp(hello), &mut actions);
        let mut now: Ms = start;
        for _ in 0..200 {
            let due = control.next_timer().max(now);
            now = due;
            actions.clear();
            control.handle(now, Event::TimersDue, &mut actions);
            prop_assert!(control.next_timer() > now, "the next timer is not later than {now}");
            prop_assert!(actions.iter().all(|a| !matches!(a, Action::Notify(ControlNotification::Table(..)))));
        }
    }
}
