//! Purges by the overlay: they reach all, once each, and no register is asked.

use crate::net::{member, Disk, Net, BATCH};
use basaltgw_control::words::Message;
use basaltgw_control::{ControlNotification, ControlRequest, Event, Purge};
use basaltgw_types::link::Lane;

/// Time in which a purge reaches all of a fleet at rest: its router waits up to 8 times 750 ms whether others say it; then batches at each
/// of a few tiers, and what is fetched after.
const REACHES: f64 = 8_000.0;

fn purge(net: &Net, object: u64) -> Purge {
    Purge { group: 7, object: Some(object), time: net.now as u64 }
}

fn times_told(net: &Net, n: usize, purge: Purge) -> usize {
    net.nodes[n].told.iter().filter(|t| matches!(t, ControlNotification::Purge(p) if *p == purge)).count()
}

fn knows(net: &Net, n: usize, purge: Purge) -> bool {
    net.nodes[n].control.purges().all().any(|p| p == purge)
}

fn word(net: &mut Net, n: usize, name: &str) -> u64 {
    net.nodes[n].control.refresh_counts();
    let text = net.nodes[n].control.counts().to_string();
    let found = text.split(' ').find_map(|w| w.strip_prefix(&format!("{name}=")).map(str::to_string));
    found.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
}

fn starts(net: &Net, n: usize) -> Vec<bool> {
    let known = |t: &ControlNotification| match t {
        ControlNotification::PurgesKnown(known) => Some(*known),
        ControlNotification::Response(..)
        | ControlNotification::Purge(_)
        | ControlNotification::PurgesMissed
        | ControlNotification::Table(..) => None,
        ControlNotification::Policies(_) | ControlNotification::Evidence(..) => None,
    };
    net.nodes[n].told.iter().filter_map(known).collect()
}

#[test]
fn a_purge_heard_by_one_reaches_all_once_and_no_register_is_asked() {
    for (of, regions) in [(3, 3), (5, 1), (9, 3)] {
        let mut net = Net::founded_with_overlay(of, regions);
        let kept = |net: &Net| net.nodes.iter().map(|n| n.control.registers().counters().kept).sum::<u64>();
        let before = kept(&net);
        let one = purge(&net, 1);
        net.event(of - 1, Event::Request(ControlRequest::Purge(one)));
        net.until(REACHES, |net| (0..of).all(|n| knows(net, n, one)));
        net.pass(REACHES);
        let told: Vec<usize> = (0..of).map(|n| times_told(&net, n, one)).collect();
        let expected: Vec<usize> = (0..of).map(|n| usize::from(n != of - 1)).collect();
        assert_eq!(told, expected, "{of} routers in {regions} regions");
        assert_eq!(kept(&net), before);
        assert!(net.nodes.iter().all(|n| n.control.registers().purges().next().is_none()));
        assert_eq!((0..of).map(|n| word(&mut net, n, "overlay_said")).sum::<u64>(), 1);
    }
}

#[test]
fn a_purge_that_all_hear_on_the_change_log_is_told_to_none_and_said_by_few() {
    let mut net = Net::founded_with_overlay(9, 3);
    let all: Vec<Purge> = (0..20).map(|o| purge(&net, o)).collect();
    for n in 0..9 {
        all.iter().for_each(|p| net.event(n, Event::Request(ControlRequest::Purge(*p))));
        net.pass(3.0);
    }
    net.pass(12_000.0);
    assert!((0..9).all(|n| all.iter().all(|p| times_told(&net, n, *p) == 0)));
    let said: u64 = (0..9).map(|n| word(&mut net, n, "overlay_said")).sum();
    assert!((20..60).contains(&said), "{said} for 20 purges heard by 9");
}

#[test]
fn a_purge_gets_through_whichever_router_is_killed_and_whichever_link_is_cut() {
    let mut net = Net::founded_with_overlay(5, 1);
    let mut object = 100;
    let mut says = |net: &mut Net, at: usize, but: Option<usize>| {
        object += 1;
        let one = purge(net, object);
        net.event(at, Event::Request(ControlRequest::Purge(one)));
        let there = |n: &usize| Some(*n) != but;
        net.until(2.0 * REACHES, |net| (0..5).filter(there).all(|n| knows(net, n, one)));
        assert!((0..5).all(|n| times_told(net, n, one) <= 1));
    };
    for killed in 0..5 {
        net.cut(killed);
        says(&mut net, (killed + 1) % 5, Some(killed));
        net.restart(killed);
        net.until(REACHES, |net| !starts(net, killed).is_empty());
        net.pass(3_000.0);
    }
    for (a, b) in (0..5).flat_map(|a| (0..a).map(move |b| (a, b))) {
        net.sever(a, b);
        says(&mut net, a, None);
        says(&mut net, b, None);
        net.join(a, b);
    }
}

#[test]
fn who_was_killed_learns_the_purges_of_its_pause() {
    let mut net = Net::founded_with_overlay(5, 1);
    for killed in 0..5 {
        let before = purge(&net, 200 + killed as u64);
        net.event(killed, Event::Request(ControlRequest::Purge(before)));
        net.until(REACHES, |net| (0..5).all(|n| knows(net, n, before)));
        net.cut(killed);
        let during = purge(&net, 300 + killed as u64);
        net.event((killed + 1) % 5, Event::Request(ControlRequest::Purge(during)));
        net.pass(2_000.0);
        net.restart(killed);
        net.until(REACHES, |net| !starts(net, killed).is_empty());
        // Before it counts as known: at once, if it is said to be.
        let known = starts(&net, killed) == [true];
        assert!(!known || (knows(&net, killed, during) && knows(&net, killed, before)));
        net.until(REACHES, |net| knows(net, killed, during) && knows(net, killed, before));
        net.pass(3_000.0);
    }
}

#[test]
fn what_only_one_had_heard_when_all_were_killed_reaches_all() {
    let mut net = Net::founded_with_overlay(5, 1);
    let one = purge(&net, 1);
    net.event(3, Event::Request(ControlRequest::Purge(one)));
    // On its disk, and said to nobody yet that had the time to keep it.
    net.until(2.0 * BATCH, |net| {
        net.nodes[3].kept.keys().any(|(s, _)| *s == basaltgw_control::PURGES_SPACE.0)
    });
    (0..5).for_each(|n| net.cut(n));
    (0..5).for_each(|n| net.renew(n));
    net.link_all();
    net.until(3.0 * REACHES, |net| (0..5).all(|n| knows(net, n, one)));
}

#[test]
fn a_newcomer_is_not_up_to_date_before_it_has_compared() {
    for silent in [true, false] {
        let mut net = Net::founded_with_overlay(5, 1);
        let one = purge(&net, 1);
        net.event(1, Event::Request(ControlRequest::Purge(one)));
        net.until(REACHES, |net| (0..5).all(|n| knows(net, n, one)));
        net.cut(4);
        net.nodes[4].kept.clear();
        net.renew(4);
        assert!(starts(&net, 4).is_empty() && !knows(&net, 4, one));
        (0..4).for_each(|n| net.nodes[n].mute = silent);
        net.link(4);
        net.until(REACHES, |net| !starts(net, 4).is_empty());
        let known = starts(&net, 4) == [true];
        assert!(!(known && silent), "it knows though nobody has spoken");
        assert!(!known || knows(&net, 4, one));
        println!("silent {silent}: known {known}");
        if !silent {
            net.until(REACHES, |net| knows(net, 4, one));
            assert!(times_told(&net, 4, one) == 1);
        }
    }
}

#[test]
fn who_was_away_for_longer_than_words_are_kept_is_told_that_it_missed_some() {
    let mut net = Net::with_overlay(3, Disk::Takes(1.0), 3);
    net.keep = 1_500.0;
    (0..3).for_each(|n| net.renew(n));
    net.link_all();
    net.until(10_000.0, |net| (0..3).all(|n| net.version(n) > 0 && net.asked_purges(n)));
    let says = |net: &mut Net, object: u64| {
        let one = purge(net, object);
        net.event(0, Event::Request(ControlRequest::Purge(one)));
        net.pass(500.0);
    };
    (0..4).for_each(|o| says(&mut net, o));
    let missed = |net: &Net, n: usize| {
        net.nodes[n].told.iter().filter(|t| matches!(t, ControlNotification::PurgesMissed)).count()
    };
    assert_eq!((0..3).map(|n| missed(&net, n)).sum::<usize>(), 0);
    for _ in 0..2 {
        let before = missed(&net, 2);
        [0, 1].into_iter().for_each(|n| net.sever(2, n));
        (10..20).for_each(|o| says(&mut net, o));
        [0, 1].into_iter().for_each(|n| net.join(2, n));
        net.until(2.0 * REACHES, |net| missed(net, 2) > before);
        net.pass(2_000.0);
    }
    assert_eq!(missed(&net, 0) + missed(&net, 1), 0);
}

#[test]
fn purges_that_come_singly_share_commits() {
    let mut net = Net::founded_with_overlay(5, 1);
    let before: Vec<u64> = net.nodes.iter().map(|n| n.control.counts().commits).collect();
    for o in 0..500 {
        let one = purge(&net, o);
        net.event(o as usize % 5, Event::Request(ControlRequest::Purge(one)));
        net.pass(10.0);
    }
    for (node, before) in net.nodes.iter().zip(before) {
        let commits = node.control.counts().commits - before;
        assert!((10..=25).contains(&commits), "{commits} in 5 s with 100 purges a second");
    }
    net.until(REACHES, |net| net.nodes.iter().all(|n| n.control.purges().len() == 500));
}

#[test]
fn an_end_in_order_keeps_what_waited_for_company() {
    let mut net = Net::founded_with_overlay(3, 1);
    let one = purge(&net, 1);
    net.event(0, Event::Request(ControlRequest::Purge(one)));
    net.event(0, Event::Request(ControlRequest::Shutdown(Vec::new())));
    net.event(0, Event::Flush);
    assert_eq!(net.nodes[0].open.len(), 1);
}

#[test]
fn who_is_no_neighbour_is_counted_and_dropped() {
    let mut net = Net::founded_with_overlay(3, 1);
    net.sever(0, 1);
    let stray = word(&mut net, 0, "overlay_stray");
    let body = Message::OverlayFrame(vec![1, 2, 3]).encode();
    net.event(0, Event::MessageReceived { from: member(1), lane: Lane::Table, body });
    assert_eq!(word(&mut net, 0, "overlay_stray"), stray + 1);
    // And a neighbour whose frames can't be read is none any more.
    let (garbled, body) =
        (word(&mut net, 0, "overlay_garbled"), Message::OverlayFrame(vec![255; 40]).encode());
    net.event(0, Event::MessageReceived { from: member(2), lane: Lane::Table, body });
    assert_eq!(word(&mut net, 0, "overlay_garbled"), garbled + 1);
    let one = purge(&net, 1);
    net.event(0, Event::Request(ControlRequest::Purge(one)));
    net.until(REACHES, |net| (0..3).all(|n| knows(net, n, one)));
}

#[test]
fn without_an_overlay_no_word_of_one_is_sent_and_those_that_come_are_counted() {
    let mut net = Net::founded(Disk::Takes(3.0));
    let one = purge(&net, 1);
    net.event(0, Event::Request(ControlRequest::Purge(one)));
    net.until(1_000.0, |net| (0..3).all(|n| knows(net, n, one)));
    net.pass(3_000.0);
    net.restart(2);
    net.pass(3_000.0);
    assert_eq!(net.spread, 0);
    // Measured on the text before there was an overlay: each message and byte is as it was.
    assert_eq!(net.sent, (364, 13_634));
    let before = net.nodes[0].control.counts().unreadable;
    for word in [
        Message::OverlayLink { open: true },
        Message::OverlayLink { open: false },
        Message::OverlayFrame(vec![1]),
    ] {
        net.event(0, Event::MessageReceived { from: member(1), lane: Lane::Table, body: word.encode() });
    }
    assert_eq!(net.nodes[0].control.counts().unreadable, before + 3);
    net.pass(1_000.0);
    assert_eq!(net.spread, 0);
    assert!(!net.nodes[0].control.counts().to_string().contains("overlay"));
}
