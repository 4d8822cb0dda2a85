//! Purges: storage, notification, convergence.

use crate::network::{Disk, Network, CONVERGENCE_MS};
use basaltgw_control::purges::{Purge, Purges, MAX_PURGES};
use basaltgw_control::{ControlNotification, ControlRequest, Event, PURGES_SPACE};

#[test]
fn a_purge_observed_by_one_router_is_known_to_all_and_replicated() {
    let mut net = Network::bootstrapped(Disk::Commits(3.0));
    let purge = Purge { group: 7, object: Some(1), time: net.now as u64 };
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Hangs);
    net.deliver(1, Event::Request(ControlRequest::Purge(purge)));
    net.run_for(200.0);
    let is_stored =
        |net: &Network, n: usize| net.nodes[n].stored.keys().any(|(space, _)| *space == PURGES_SPACE.0);
    let is_notified = |net: &Network, n: usize| {
        net.nodes[n].notifications.iter().any(|t| matches!(t, ControlNotification::Purge(p) if *p == purge))
    };
    // All routers apply it at once, but none has stored it yet.
    assert!([0, 2].into_iter().all(|n| is_notified(&net, n)) && !(0..3).any(|n| is_stored(&net, n)));
    let committed =
        |net: &Network| net.nodes.iter().map(|n| n.control.registers().counters().committed).sum::<u64>();
    let before = committed(&net);
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Commits(3.0));
    net.run_until(1_000.0, |net| (0..3).all(|n| is_stored(net, n)) && committed(net) > before);
    for node in &net.nodes {
        assert!(node.control.purges().all().any(|p| p == purge));
        assert_eq!(
            node.control.registers().purges().filter_map(|(_, h, _)| Purge::from_record(h)).count(),
            1
        );
    }
    // A restarted router finds it in its own store.
    net.restart(0);
    assert!(is_notified(&net, 0));
}

#[test]
fn a_purge_is_not_replicated_when_every_commit_fails() {
    let mut net = Network::bootstrapped(Disk::Commits(1.0));
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Fails);
    let committed =
        |net: &Network| net.nodes.iter().map(|n| n.control.registers().counters().committed).sum::<u64>();
    let (before, purge) = (committed(&net), Purge { group: 7, object: None, time: net.now as u64 });
    net.deliver(1, Event::Request(ControlRequest::Purge(purge)));
    net.run_for(1_000.0);
    assert_eq!(committed(&net), before);
    assert!(!net.nodes.iter().any(|n| n.stored.keys().any(|(space, _)| *space == PURGES_SPACE.0)));
}

#[test]
fn converged_purges_are_removed_from_the_store_after_a_failed_commit() {
    let mut net = Network::bootstrapped(Disk::Commits(1.0));
    let purge = Purge { group: 7, object: Some(1), time: net.now as u64 };
    net.deliver(1, Event::Request(ControlRequest::Purge(purge)));
    let is_stored =
        |net: &Network, n: usize| net.nodes[n].stored.keys().any(|(space, _)| *space == PURGES_SPACE.0);
    net.run_until(1_000.0, |net| (0..3).all(|n| is_stored(net, n)));
    net.run_for(CONVERGENCE_MS - 1_000.0);
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Fails);
    net.run_until(5_000.0, |net| (0..3).all(|n| net.nodes[n].control.purges().is_empty()));
    net.run_for(50.0);
    assert!((0..3).all(|n| is_stored(&net, n)));
    net.nodes.iter_mut().for_each(|n| n.disk = Disk::Commits(1.0));
    net.run_until(2_000.0, |net| (0..3).all(|n| !is_stored(net, n)));
}

/// The register of a purge still exists when the purge has converged, and must not be notified as a new purge.
#[test]
fn a_converged_purge_is_not_notified_again_while_its_register_exists() {
    let mut net = Network::bootstrapped(Disk::Commits(1.0));
    let purge = Purge { group: 7, object: Some(1), time: net.now as u64 };
    net.deliver(1, Event::Request(ControlRequest::Purge(purge)));
    let is_replicated =
        |net: &Network| (0..3).all(|n| net.nodes[n].control.registers().purges().count() == 1);
    net.run_until(1_000.0, is_replicated);
    net.run_until(CONVERGENCE_MS + 1_000.0, |net| net.nodes.iter().all(|n| n.control.purges().is_empty()));
    net.run_for(CONVERGENCE_MS / 2.0);
    assert!(is_replicated(&net), "the register was removed with the converged purge");
    for node in &net.nodes {
        let count = node
            .notifications
            .iter()
            .filter(|t| matches!(t, ControlNotification::Purge(p) if *p == purge))
            .count();
        assert!(count <= 1 && node.control.purges().is_empty(), "notified {count} times");
    }
}

#[test]
fn the_latest_purge_of_each_key_is_known_until_it_converges() {
    let mut purges = Purges::default();
    let one = Purge { group: 7, object: Some(1), time: 1_000 };
    assert!(purges.observe(one) && !purges.observe(one));
    assert!(!purges.observe(Purge { time: 900, ..one }) && purges.observe(Purge { time: 1_100, ..one }));
    assert!(purges.observe(Purge { group: 7, object: None, time: 1_000 }));
    purges.remove_converged(7_050.0, 6_000.0);
    assert_eq!(purges.all().collect::<Vec<_>>(), [Purge { time: 1_100, ..one }]);
}

#[test]
fn purges_beyond_the_limit_are_merged_into_one_of_their_group() {
    let mut purges = Purges::default();
    for n in 0..=MAX_PURGES as u64 {
        purges.observe(Purge { group: n % 2, object: Some(n), time: n });
    }
    assert!(purges.len() <= MAX_PURGES / 2 + 2);
    assert!(purges.all().any(|p| p.object.is_none() && p.time >= MAX_PURGES as u64 - 1));
}

#[test]
fn different_purges_have_different_register_names() {
    let names = |g, o, t| Purge { group: g, object: o, time: t }.record_change().0.name;
    let all =
        [names(1, None, 5), names(1, Some(0), 5), names(2, None, 5), names(1, None, 6), names(1, Some(2), 5)];
    assert_eq!(all.iter().collect::<std::collections::BTreeSet<_>>().len(), all.len());
}
