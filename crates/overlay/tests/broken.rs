//! Injected bugs are detected by the checks, and no check fails without them.

mod net;

use basaltgw_overlay::{Event, InjectedBug, Kind, Overlay, Settings, Shape};
use net::{listed, Network};

/// Names of the checks that fail in a run with losses.
fn faults(adapt: fn(Overlay) -> Overlay) -> Vec<&'static str> {
    let mut faults = Vec::new();
    let mut net = Network::adapted(listed(4, 16, 9), Shape::default(), Settings::default(), 12, adapt);
    let early = net.running().any(|i| net.nodes[i].as_ref().is_some_and(|o| o.behind(net.now).age.is_some()));
    if early {
        faults.push("a newcomer is up to date");
    }
    net.run(15_000.0);
    let inside = net.routers_of_region("g3");
    inside.iter().for_each(|i| net.sides[*i] = 1);
    net.partition();
    for at in 0..12 {
        net.publish(20 + at, Kind::Purge, &format!("w{at}"));
    }
    // The same update, published by two routers independently.
    net.publish(0, Kind::Table, "both");
    net.publish(inside[5], Kind::Table, "both");
    // An update known to one router of the lowest tier of a region.
    let lowest = |n: &Network| {
        let children =
            |i: &usize| n.nodes[*i].iter().flat_map(Overlay::links).filter(|link| !link.is_parent).count();
        n.routers_of_region("g1").into_iter().find(|i| children(i) == 0)
    };
    let alone = lowest(&net).expect("a router without children");
    net.event(alone, Event::AlreadyKnown(Kind::Purge, b"alone".to_vec()));
    net.run(6100.0);
    let outside: Vec<usize> = net.running().filter(|i| *i != alone && !inside.contains(i)).collect();
    if !outside.iter().all(|i| net.observed[*i].deliveries.contains_key(&b"alone"[..])) {
        faults.push("what one alone has heard is late");
    }
    net.run(5_900.0);
    net.sides.iter_mut().for_each(|s| *s = 0);
    net.run(90_000.0);
    if !(0..12).all(|at| net.all_received(&format!("w{at}"), 20 + at)) {
        faults.push("not told");
    }
    if !net.all_received("alone", alone) {
        faults.push("what one alone has heard is lost");
    }
    if !net.has_no_duplicates() {
        faults.push("told twice");
    }
    if !net.has_no_gaps() {
        faults.push("missed");
    }
    faults
}

#[test]
fn without_an_injected_bug_no_check_fails() {
    assert_eq!(faults(|o| o), Vec::<&str>::new());
}

#[test]
fn a_relay_that_drops_forwarding_is_detected() {
    let found = faults(|o| o.with_injected_bug(InjectedBug::DropsForwarding));
    assert!(found.contains(&"missed") || found.contains(&"not told"), "{found:?}");
}

#[test]
fn a_digest_that_omits_streams_is_detected() {
    let found = faults(|o| o.with_injected_bug(InjectedBug::DigestOmitsStreams));
    assert!(found.contains(&"not told"), "{found:?}");
}

#[test]
fn a_router_that_reports_itself_caught_up_at_start_is_detected() {
    let found = faults(|o| o.with_injected_bug(InjectedBug::ReportsCaughtUpAtStart));
    assert_eq!(found, ["a newcomer is up to date"]);
}

#[test]
fn a_duplicate_delivery_is_detected() {
    let found = faults(|o| o.with_injected_bug(InjectedBug::DeliversDuplicates));
    assert_eq!(found, ["told twice"]);
}

#[test]
fn a_parent_that_claims_to_know_all_updates_is_detected() {
    let found = faults(|o| o.with_injected_bug(InjectedBug::ClaimsToKnowAll));
    assert_eq!(found, ["what one alone has heard is late", "what one alone has heard is lost"]);
}

#[test]
fn a_router_that_drops_queried_updates_is_detected() {
    let found = faults(|o| o.with_injected_bug(InjectedBug::DropsQueriedUpdates));
    assert_eq!(found, ["what one alone has heard is late", "what one alone has heard is lost"]);
}

#[test]
fn an_event_of_an_unlinked_router_changes_nothing() {
    let mut net = Network::new(listed(1, 4, 1), Shape::default(), Settings::default(), 1);
    net.run(5000.0);
    let stranger = basaltgw_types::Member {
        router: basaltgw_types::RouterId(std::sync::Arc::from("stranger")),
        incarnation: basaltgw_types::Incarnation(1),
    };
    let links = |n: &Network| n.nodes[0].as_ref().map(|o| o.links().count());
    let before = links(&net);
    net.event(0, Event::FrameReceived(stranger.clone(), vec![0, 0, 0]));
    net.event(0, Event::LinkDown(stranger));
    assert_eq!(links(&net), before);
    assert_eq!(net.nodes[0].as_ref().map(|o| o.counters().stray_events), Some(2));
}
