//! Purges: kept, told, settled.

use crate::net::{Disk, Net, SETTLES};
use basaltgw_control::purges::{Purge, Purges, MOST_PURGES};
use basaltgw_control::{ControlNotification, ControlRequest, Event, PURGES_SPACE};

#[test]
fn a_purge_heard_by_one_is_known_to_all_and_held() {
    let mut net = Net::founded(Disk::Takes(3.0));
    let purge = Purge { group: 7, object: Some(1), time: net.now as u64 };
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Hangs);
    net.event(1, Event::Request(ControlRequest::Purge(purge)));
    net.pass(200.0);
    let on_disk = |net: &Net, n: usize| net.nodes[n].kept.keys().any(|(space, _)| *space == PURGES_SPACE.0);
    let told = |net: &Net, n: usize| {
        net.nodes[n].told.iter().any(|t| matches!(t, ControlNotification::Purge(p) if *p == purge))
    };
    // Heeded everywhere at once, whatever the disks do; kept by nobody yet, and nobody vouches for it.
    assert!([0, 2].into_iter().all(|n| told(&net, n)) && !(0..3).any(|n| on_disk(&net, n)));
    let kept = |net: &Net| net.nodes.iter().map(|n| n.control.registers().counters().kept).sum::<u64>();
    let before = kept(&net);
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Takes(3.0));
    net.until(1_000.0, |net| (0..3).all(|n| on_disk(net, n)) && kept(net) > before);
    for node in &net.nodes {
        assert!(node.control.purges().all().any(|p| p == purge));
        assert_eq!(
            node.control.registers().purges().filter_map(|(_, h, _)| Purge::from_record(h)).count(),
            1
        );
    }
    // And by whoever starts anew from its own disk.
    net.restart(0);
    assert!(told(&net, 0));
}

#[test]
fn a_purge_that_no_disk_takes_is_held_by_nobody() {
    let mut net = Net::founded(Disk::Takes(1.0));
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Fails);
    let kept = |net: &Net| net.nodes.iter().map(|n| n.control.registers().counters().kept).sum::<u64>();
    let (before, purge) = (kept(&net), Purge { group: 7, object: None, time: net.now as u64 });
    net.event(1, Event::Request(ControlRequest::Purge(purge)));
    net.pass(1_000.0);
    assert_eq!(kept(&net), before);
    assert!(!net.nodes.iter().any(|n| n.kept.keys().any(|(space, _)| *space == PURGES_SPACE.0)));
}

#[test]
fn settled_purges_leave_the_disk_even_if_it_fails_once() {
    let mut net = Net::founded(Disk::Takes(1.0));
    let purge = Purge { group: 7, object: Some(1), time: net.now as u64 };
    net.event(1, Event::Request(ControlRequest::Purge(purge)));
    let on_disk = |net: &Net, n: usize| net.nodes[n].kept.keys().any(|(space, _)| *space == PURGES_SPACE.0);
    net.until(1_000.0, |net| (0..3).all(|n| on_disk(net, n)));
    net.pass(SETTLES - 1_000.0);
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Fails);
    net.until(5_000.0, |net| (0..3).all(|n| net.nodes[n].control.purges().is_empty()));
    net.pass(50.0);
    assert!((0..3).all(|n| on_disk(&net, n)));
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Takes(1.0));
    net.until(2_000.0, |net| (0..3).all(|n| !on_disk(net, n)));
}

/// A hold of a purge is kept for longer than the purge takes to settle.
#[test]
fn a_purge_that_has_settled_is_not_told_again_while_it_is_held() {
    let mut net = Net::founded(Disk::Takes(1.0));
    let purge = Purge { group: 7, object: Some(1), time: net.now as u64 };
    net.event(1, Event::Request(ControlRequest::Purge(purge)));
    let held = |net: &Net| (0..3).all(|n| net.nodes[n].control.registers().purges().count() == 1);
    net.until(1_000.0, held);
    net.until(SETTLES + 1_000.0, |net| net.nodes.iter().all(|n| n.control.purges().is_empty()));
    net.pass(SETTLES / 2.0);
    assert!(held(&net), "it is held for longer");
    for node in &net.nodes {
        let told =
            node.told.iter().filter(|t| matches!(t, ControlNotification::Purge(p) if *p == purge)).count();
        assert!(told <= 1 && node.control.purges().is_empty(), "told {told} times");
    }
}

#[test]
fn the_latest_purge_of_each_is_kept_and_settles() {
    let mut purges = Purges::default();
    let one = Purge { group: 7, object: Some(1), time: 1_000 };
    assert!(purges.observe(one) && !purges.observe(one));
    assert!(!purges.observe(Purge { time: 900, ..one }) && purges.observe(Purge { time: 1_100, ..one }));
    assert!(purges.observe(Purge { group: 7, object: None, time: 1_000 }));
    purges.settle(7_050.0, 6_000.0);
    assert_eq!(purges.all().collect::<Vec<_>>(), [Purge { time: 1_100, ..one }]);
}

#[test]
fn too_many_purges_become_one_of_their_group() {
    let mut purges = Purges::default();
    for n in 0..=MOST_PURGES as u64 {
        purges.observe(Purge { group: n % 2, object: Some(n), time: n });
    }
    assert!(purges.len() <= MOST_PURGES / 2 + 2);
    assert!(purges.all().any(|p| p.object.is_none() && p.time >= MOST_PURGES as u64 - 1));
}

#[test]
fn purges_have_a_name_of_their_own() {
    let names = |g, o, t| Purge { group: g, object: o, time: t }.record_change().0.name;
    let all =
        [names(1, None, 5), names(1, Some(0), 5), names(2, None, 5), names(1, None, 6), names(1, Some(2), 5)];
    assert_eq!(all.iter().collect::<std::collections::BTreeSet<_>>().len(), all.len());
}
