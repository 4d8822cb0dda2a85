//! A fleet is founded, learns another table, and goes on after a restart.

use crate::net::{parts, Disk, Net};
use basaltgw_control::{Action, Control, ControlNotification, ControlRequest, Event};
use basaltgw_types::Ms;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[test]
fn three_control_parts_found_one_table() {
    for disk in [Disk::Takes(0.0), Disk::Takes(7.0)] {
        let net = Net::founded(disk);
        let tables: Vec<_> = net.nodes.iter().map(|n| n.hello.table).collect();
        assert!(tables.iter().all(|t| *t == tables[0] && t.0 .0 > 0), "{tables:?}");
        for node in &net.nodes {
            assert!(node.control.table().is_member());
            assert_eq!(node.control.membership().peers().count(), 2);
            assert_eq!((node.control.counts().peers_up, node.control.counts().commits_failed), (2, 0));
        }
    }
}

#[test]
fn no_table_is_gone_by_before_it_is_on_the_own_disk() {
    let mut net = Net::new(3, Disk::Takes(1.0));
    net.nodes[2].disk = Disk::Hangs;
    net.link_all();
    net.pass(5_000.0);
    // Two of three disks are no table of three, and nobody counts on the third's word.
    assert!(!net.nodes[2].open.is_empty() && net.nodes[2].tables.is_empty() && net.version(2) == 0);
    net.nodes[2].disk = Disk::Takes(1.0);
    net.until(10_000.0, |net| (0..3).all(|n| net.version(n) > 0));
    assert!(net.nodes[2].kept.contains_key(&(basaltgw_control::TABLE_SPACE.0, Vec::new())));
}

#[test]
fn new_rules_are_adopted_by_all_and_found_after_a_restart() {
    let mut net = Net::founded(Disk::Takes(3.0));
    net.other_rules(1);
    let table = net.nodes[0].hello.table;
    assert!(net.nodes.iter().all(|n| n.hello.table == table));
    net.restart(2);
    assert_eq!(net.nodes[2].control.table().version(), Some(table));
    assert_eq!(net.nodes[2].control.counts().table_version, table.0 .0);
    net.until(10_000.0, |net| net.asked_purges(2));
}

#[test]
fn an_end_is_over_when_nothing_is_left_to_wait_for() {
    let mut net = Net::founded(Disk::Takes(1.0));
    assert!(!net.nodes[0].control.is_finished(net.now + 1e9));
    net.event(0, Event::Request(ControlRequest::Shutdown(Vec::new())));
    net.until(1_500.0, |net| net.nodes[0].control.is_finished(net.now));
    assert_eq!(net.nodes[0].control.pending_changes(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// What carries it in simulated time sets its clock to `due`: each time something must have come off.
    #[test]
    fn time_goes_on_from_due_to_due(start in prop_oneof![0.0..10.0, 1.0e12..2.0e12f64]) {
        let mut out = Vec::new();
        let mut control = Control::new(start, parts(0, 2, &BTreeMap::new()), &mut out);
        let hello = crate::net::hello(1);
        control.handle(start, Event::LinkUp(hello), &mut out);
        let mut now: Ms = start;
        for _ in 0..200 {
            let due = control.next_timer().max(now);
            now = due;
            out.clear();
            control.handle(now, Event::TimersDue, &mut out);
            prop_assert!(control.next_timer() > now, "due again at once at {now}");
            prop_assert!(out.iter().all(|a| !matches!(a, Action::Notify(ControlNotification::Table(..)))));
        }
    }
}
