//! Dissemination of purges by the overlay: each reaches all routers once, without a change of a register.

use crate::network::{member, Disk, Network, BATCH_MS};
use basaltgw_control::message::Message;
use basaltgw_control::{ControlNotification, ControlRequest, Event, Purge};
use basaltgw_types::link::Lane;

/// Time in which a purge reaches all routers of an idle fleet: up to 8 times 750 ms until its router publishes it, batches at each of a few
/// tiers, and repairs.
const DISSEMINATION_MS: f64 = 8_000.0;

fn purge(net: &Network, object: u64) -> Purge {
    Purge { group: 7, object: Some(object), time: net.now as u64 }
}

fn notification_count(net: &Network, n: usize, purge: Purge) -> usize {
    net.nodes[n]
        .notifications
        .iter()
        .filter(|t| matches!(t, ControlNotification::Purge(p) if *p == purge))
        .count()
}

fn knows(net: &Network, n: usize, purge: Purge) -> bool {
    net.nodes[n].control.purges().all().any(|p| p == purge)
}

fn counter(net: &mut Network, n: usize, name: &str) -> u64 {
    net.nodes[n].control.refresh_counts();
    let text = net.nodes[n].control.counts().to_string();
    let value = text.split(' ').find_map(|w| w.strip_prefix(&format!("{name}=")).map(str::to_string));
    value.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no counter {name} in {text}"))
}

/// Outcomes of the startup sync of router `n`: whether each was complete.
fn startup_outcomes(net: &Network, n: usize) -> Vec<bool> {
    let outcome = |t: &ControlNotification| match t {
        ControlNotification::PurgesKnown { complete } => Some(*complete),
        ControlNotification::Response(..)
        | ControlNotification::Purge(_)
        | ControlNotification::PurgesMissed
        | ControlNotification::Table(..) => None,
        ControlNotification::Policies(_) | ControlNotification::Evidence(..) => None,
    };
    net.nodes[n].notifications.iter().filter_map(outcome).collect()
}

#[test]
fn a_purge_observed_by_one_router_reaches_all_once_without_a_register_change() {
    for (count, regions) in [(3, 3), (5, 1), (9, 3)] {
        let mut net = Network::bootstrapped_with_overlay(count, regions);
        let committed =
            |net: &Network| net.nodes.iter().map(|n| n.control.registers().counters().committed).sum::<u64>();
        let before = committed(&net);
        let one = purge(&net, 1);
        net.deliver(count - 1, Event::Request(ControlRequest::Purge(one)));
        net.run_until(DISSEMINATION_MS, |net| (0..count).all(|n| knows(net, n, one)));
        net.run_for(DISSEMINATION_MS);
        let notified: Vec<usize> = (0..count).map(|n| notification_count(&net, n, one)).collect();
        let expected: Vec<usize> = (0..count).map(|n| usize::from(n != count - 1)).collect();
        assert_eq!(notified, expected, "{count} routers in {regions} regions");
        assert_eq!(committed(&net), before);
        assert!(net.nodes.iter().all(|n| n.control.registers().purges().next().is_none()));
        assert_eq!((0..count).map(|n| counter(&mut net, n, "overlay_said")).sum::<u64>(), 1);
    }
}

#[test]
fn a_purge_that_all_routers_observe_is_notified_to_none_and_published_by_few() {
    let mut net = Network::bootstrapped_with_overlay(9, 3);
    let all: Vec<Purge> = (0..20).map(|o| purge(&net, o)).collect();
    for n in 0..9 {
        all.iter().for_each(|p| net.deliver(n, Event::Request(ControlRequest::Purge(*p))));
        net.run_for(3.0);
    }
    net.run_for(12_000.0);
    assert!((0..9).all(|n| all.iter().all(|p| notification_count(&net, n, *p) == 0)));
    let published: u64 = (0..9).map(|n| counter(&mut net, n, "overlay_said")).sum();
    assert!((20..60).contains(&published), "{published} for 20 purges observed by 9");
}

#[test]
fn a_purge_reaches_the_other_routers_when_any_router_or_link_fails() {
    let mut net = Network::bootstrapped_with_overlay(5, 1);
    let mut object = 100;
    let mut publish = |net: &mut Network, publisher: usize, stopped: Option<usize>| {
        object += 1;
        let one = purge(net, object);
        net.deliver(publisher, Event::Request(ControlRequest::Purge(one)));
        let is_running = |n: &usize| Some(*n) != stopped;
        net.run_until(2.0 * DISSEMINATION_MS, |net| (0..5).filter(is_running).all(|n| knows(net, n, one)));
        assert!((0..5).all(|n| notification_count(net, n, one) <= 1));
    };
    for killed in 0..5 {
        net.disconnect(killed);
        publish(&mut net, (killed + 1) % 5, Some(killed));
        net.restart(killed);
        net.run_until(DISSEMINATION_MS, |net| !startup_outcomes(net, killed).is_empty());
        net.run_for(3_000.0);
    }
    for (a, b) in (0..5).flat_map(|a| (0..a).map(move |b| (a, b))) {
        net.sever(a, b);
        publish(&mut net, a, None);
        publish(&mut net, b, None);
        net.reconnect(a, b);
    }
}

#[test]
fn a_restarted_router_learns_the_purges_published_meanwhile() {
    let mut net = Network::bootstrapped_with_overlay(5, 1);
    for killed in 0..5 {
        let before = purge(&net, 200 + killed as u64);
        net.deliver(killed, Event::Request(ControlRequest::Purge(before)));
        net.run_until(DISSEMINATION_MS, |net| (0..5).all(|n| knows(net, n, before)));
        net.disconnect(killed);
        let during = purge(&net, 300 + killed as u64);
        net.deliver((killed + 1) % 5, Event::Request(ControlRequest::Purge(during)));
        net.run_for(2_000.0);
        net.restart(killed);
        net.run_until(DISSEMINATION_MS, |net| !startup_outcomes(net, killed).is_empty());
        // A successful startup sync includes both purges.
        let is_synced = startup_outcomes(&net, killed) == [true];
        assert!(!is_synced || (knows(&net, killed, during) && knows(&net, killed, before)));
        net.run_until(DISSEMINATION_MS, |net| knows(net, killed, during) && knows(net, killed, before));
        net.run_for(3_000.0);
    }
}

#[test]
fn a_purge_stored_by_one_router_reaches_all_after_all_restarted() {
    let mut net = Network::bootstrapped_with_overlay(5, 1);
    let one = purge(&net, 1);
    net.deliver(3, Event::Request(ControlRequest::Purge(one)));
    // Router 3 has stored the purge, which is too recent to be stored by any other router.
    net.run_until(2.0 * BATCH_MS, |net| {
        net.nodes[3].stored.keys().any(|(s, _)| *s == basaltgw_control::PURGES_SPACE.0)
    });
    (0..5).for_each(|n| net.disconnect(n));
    (0..5).for_each(|n| net.start_process(n));
    net.link_all();
    net.run_until(3.0 * DISSEMINATION_MS, |net| (0..5).all(|n| knows(net, n, one)));
}

#[test]
fn a_router_without_data_is_not_synced_before_it_compared_with_a_neighbor() {
    for is_silenced in [true, false] {
        let mut net = Network::bootstrapped_with_overlay(5, 1);
        let one = purge(&net, 1);
        net.deliver(1, Event::Request(ControlRequest::Purge(one)));
        net.run_until(DISSEMINATION_MS, |net| (0..5).all(|n| knows(net, n, one)));
        net.disconnect(4);
        net.nodes[4].stored.clear();
        net.start_process(4);
        assert!(startup_outcomes(&net, 4).is_empty() && !knows(&net, 4, one));
        (0..4).for_each(|n| net.nodes[n].drops_sends = is_silenced);
        net.link(4);
        net.run_until(DISSEMINATION_MS, |net| !startup_outcomes(net, 4).is_empty());
        let is_synced = startup_outcomes(&net, 4) == [true];
        assert!(!(is_synced && is_silenced), "synced although no router sent a message");
        assert!(!is_synced || knows(&net, 4, one));
        println!("others silenced {is_silenced}: synced {is_synced}");
        if !is_silenced {
            net.run_until(DISSEMINATION_MS, |net| knows(net, 4, one));
            assert!(notification_count(&net, 4, one) == 1);
        }
    }
}

#[test]
fn a_router_severed_for_longer_than_the_retention_is_notified_of_missed_purges() {
    let mut net = Network::with_overlay(3, Disk::Commits(1.0), 3);
    net.retention = 1_500.0;
    (0..3).for_each(|n| net.start_process(n));
    net.link_all();
    net.run_until(10_000.0, |net| (0..3).all(|n| net.table_version(n) > 0 && net.has_synced_purges(n)));
    let publish = |net: &mut Network, object: u64| {
        let one = purge(net, object);
        net.deliver(0, Event::Request(ControlRequest::Purge(one)));
        net.run_for(500.0);
    };
    (0..4).for_each(|o| publish(&mut net, o));
    let missed = |net: &Network, n: usize| {
        net.nodes[n].notifications.iter().filter(|t| matches!(t, ControlNotification::PurgesMissed)).count()
    };
    assert_eq!((0..3).map(|n| missed(&net, n)).sum::<usize>(), 0);
    for _ in 0..2 {
        let before = missed(&net, 2);
        [0, 1].into_iter().for_each(|n| net.sever(2, n));
        (10..20).for_each(|o| publish(&mut net, o));
        [0, 1].into_iter().for_each(|n| net.reconnect(2, n));
        net.run_until(2.0 * DISSEMINATION_MS, |net| missed(net, 2) > before);
        net.run_for(2_000.0);
    }
    assert_eq!(missed(&net, 0) + missed(&net, 1), 0);
}

#[test]
fn purges_observed_one_by_one_share_commits() {
    let mut net = Network::bootstrapped_with_overlay(5, 1);
    let before: Vec<u64> = net.nodes.iter().map(|n| n.control.counts().commits).collect();
    for o in 0..500 {
        let one = purge(&net, o);
        net.deliver(o as usize % 5, Event::Request(ControlRequest::Purge(one)));
        net.run_for(10.0);
    }
    for (node, before) in net.nodes.iter().zip(before) {
        let commits = node.control.counts().commits - before;
        assert!((10..=25).contains(&commits), "{commits} in 5 s with 100 purges a second");
    }
    net.run_until(DISSEMINATION_MS, |net| net.nodes.iter().all(|n| n.control.purges().len() == 500));
}

#[test]
fn a_shutdown_commits_purges_that_waited_for_more() {
    let mut net = Network::bootstrapped_with_overlay(3, 1);
    let one = purge(&net, 1);
    net.deliver(0, Event::Request(ControlRequest::Purge(one)));
    net.deliver(0, Event::Request(ControlRequest::Shutdown(Vec::new())));
    net.deliver(0, Event::Flush);
    assert_eq!(net.nodes[0].commits.len(), 1);
}

#[test]
fn a_frame_of_a_router_without_an_overlay_link_is_counted_and_dropped() {
    let mut net = Network::bootstrapped_with_overlay(3, 1);
    net.sever(0, 1);
    let stray = counter(&mut net, 0, "overlay_stray");
    let body = Message::OverlayFrame(vec![1, 2, 3]).encode();
    net.deliver(0, Event::MessageReceived { from: member(1), lane: Lane::Table, body });
    assert_eq!(counter(&mut net, 0, "overlay_stray"), stray + 1);
    // A malformed frame ends the neighbor's overlay link.
    let (garbled, body) =
        (counter(&mut net, 0, "overlay_garbled"), Message::OverlayFrame(vec![255; 40]).encode());
    net.deliver(0, Event::MessageReceived { from: member(2), lane: Lane::Table, body });
    assert_eq!(counter(&mut net, 0, "overlay_garbled"), garbled + 1);
    let one = purge(&net, 1);
    net.deliver(0, Event::Request(ControlRequest::Purge(one)));
    net.run_until(DISSEMINATION_MS, |net| (0..3).all(|n| knows(net, n, one)));
}

#[test]
fn without_an_overlay_no_overlay_message_is_sent_and_received_ones_are_counted() {
    let mut net = Network::bootstrapped(Disk::Commits(3.0));
    let one = purge(&net, 1);
    net.deliver(0, Event::Request(ControlRequest::Purge(one)));
    net.run_until(1_000.0, |net| (0..3).all(|n| knows(net, n, one)));
    net.run_for(3_000.0);
    net.restart(2);
    net.run_for(3_000.0);
    assert_eq!(net.overlay_messages, 0);
    // The same messages and bytes as before the overlay existed.
    assert_eq!(net.sent, (364, 13_634));
    let before = net.nodes[0].control.counts().unreadable;
    for message in [
        Message::OverlayLink { open: true },
        Message::OverlayLink { open: false },
        Message::OverlayFrame(vec![1]),
    ] {
        net.deliver(0, Event::MessageReceived { from: member(1), lane: Lane::Table, body: message.encode() });
    }
    assert_eq!(net.nodes[0].control.counts().unreadable, before + 3);
    net.run_for(1_000.0);
    assert_eq!(net.overlay_messages, 0);
    assert!(!net.nodes[0].control.counts().to_string().contains("overlay"));
}
