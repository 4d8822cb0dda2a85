//! Standing links: each router keeps a few, others come when words need them, and nobody is held to be lost for not being linked.

use crate::net::{member, Net, IDLE};
use basaltgw_control::{ControlNotification, ControlRequest, Event, Purge};
use basaltgw_registers::{Change, Kind, Outcome, Record, RecordKey, RequestNumber, Response};
use basaltgw_types::link::{Lane, LinkError};

/// As in the tests of the overlay: time in which a purge reaches all of a fleet at rest.
const REACHES: f64 = 8_000.0;
/// Longer than a link takes to be closed after its last word.
const RESTS: f64 = 4.0 * IDLE;

fn key(name: u128) -> RecordKey {
    RecordKey { kind: Kind::Execution, name }
}

fn word(net: &mut Net, n: usize, name: &str) -> u64 {
    net.nodes[n].control.refresh_counts();
    let text = net.nodes[n].control.counts().to_string();
    let found = text.split(' ').find_map(|w| w.strip_prefix(&format!("{name}=")).map(str::to_string));
    found.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
}

fn ends(net: &mut Net, n: usize, key: RecordKey, change: Change) -> Response {
    let no = net.ask(n, key, change, 400.0);
    net.until(1_000.0, |net| net.verdict(n, no).is_some());
    net.verdict(n, no).cloned().expect("a verdict")
}

fn takes(net: &mut Net, n: usize, name: u128) -> u32 {
    match ends(net, n, key(name), Change::Acquire(member(n))) {
        Response::Committed(Record::Leased { owner, term: turn }) if owner == member(n) => turn,
        other => panic!("r{n}: {other:?}"),
    }
}

fn knows(net: &Net, n: usize, purge: Purge) -> bool {
    net.nodes[n].control.purges().all().any(|p| p == purge)
}

#[test]
fn links_at_rest_are_few_and_go_after_use() {
    for (of, regions) in [(9, 3), (24, 3)] {
        let mut net = Net::standing(of, regions, &[]);
        let most = |net: &Net| (0..of).map(|n| net.links_of(n).len()).max().expect("routers");
        // Two neighbours above and a bounded number below, two watched and two that watch, whatever the size.
        println!("{of} routers in {regions} regions: {} links at most", most(&net));
        assert!(most(&net) <= 16 && (of < 20 || most(&net) < of - 1), "{} links", most(&net));
        let before = net.links.as_ref().expect("links").closed;
        for name in 0..60u128 {
            takes(&mut net, name as usize % of, name);
        }
        net.pass(RESTS + 2_000.0);
        assert!(most(&net) <= 16);
        assert!(net.links.as_ref().expect("links").closed > before, "links were dialled for the holds");
        assert!((0..of).map(|n| word(&mut net, n, "words_waited")).sum::<u64>() > 0);
        // Nobody was held to be lost for it, and no table was made over it.
        assert!((0..of).all(|n| word(&mut net, n, "links_gone") == 0 && net.version(n) == 1));
        assert!((0..of).all(|n| word(&mut net, n, "words_waiting") == 0));
    }
}

#[test]
fn a_purge_reaches_all_once_over_the_links_that_stand() {
    let mut net = Net::standing(12, 3, &[]);
    let one = Purge { group: 7, object: Some(1), time: net.now as u64 };
    net.event(11, Event::Request(ControlRequest::Purge(one)));
    net.until(REACHES, |net| (0..12).all(|n| knows(net, n, one)));
    net.pass(REACHES);
    let times = |n: usize| {
        net.nodes[n].told.iter().filter(|t| matches!(t, ControlNotification::Purge(p) if *p == one)).count()
    };
    assert!((0..11).all(|n| times(n) == 1) && times(11) == 0);
}

/// What one router has out is asked after from another, when the two have no link: its owner lives, and keeps it.
#[test]
fn what_is_out_at_a_router_that_is_merely_not_linked_is_not_in_doubt() {
    let of = 12;
    let mut net = Net::standing(of, 3, &[]);
    for owner in 0..of {
        let name = 100 + owner as u128;
        let turn = takes(&mut net, owner, name);
        net.pass(RESTS);
        let apart: Vec<usize> = (0..of).filter(|n| *n != owner && !net.links_of(owner).contains(n)).collect();
        for other in apart.into_iter().take(3) {
            for _ in 0..4 {
                let found = ends(&mut net, other, key(name), Change::Acquire(member(other)));
                assert!(matches!(found, Response::Conflict(Some(Record::Leased { .. }))), "{found:?}");
                net.pass(300.0);
            }
            net.pass(RESTS);
        }
        let done = Change::Complete(member(owner), turn, Outcome::Served(vec![1]));
        let end = ends(&mut net, owner, key(name), done);
        assert!(matches!(end, Response::Committed(Record::Completed(Outcome::Served(_)))), "{end:?}");
    }
}

#[test]
fn what_is_out_at_a_router_that_was_killed_is_in_doubt_wherever_it_is_asked_for() {
    for asker in [0, 3, 6, 9] {
        let mut net = Net::standing(12, 3, &[]);
        let owner = 11;
        takes(&mut net, owner, 5);
        net.pass(RESTS);
        net.kill(owner);
        let begun = net.now;
        loop {
            match ends(&mut net, asker, key(5), Change::Acquire(member(asker))) {
                Response::Conflict(Some(Record::OutcomeUnknown)) => break,
                Response::Conflict(Some(Record::Leased { .. })) | Response::Unavailable { .. } => {}
                other => panic!("{other:?}"),
            }
            assert!(net.now < begun + 4_000.0, "not in doubt");
            net.pass(100.0);
        }
        // Not before it is known to be lost for as long as it takes to take over.
        assert!(net.now >= begun + 500.0);
    }
}

#[test]
fn a_minority_refuses_and_soon_at_once_and_goes_on_when_it_is_healed() {
    let of = 9;
    let mut net = Net::standing(of, 3, &[]);
    net.divide(&[4]);
    let mut refused = 0;
    for name in 0..20u128 {
        let begun = net.now;
        match ends(&mut net, 4, key(name), Change::Acquire(member(4))) {
            Response::Unavailable { retry_after: stay_away, .. } => {
                assert!(stay_away > 0.0 && net.now <= begun + 400.0);
                refused += 1;
            }
            // A shard may have its keepers elsewhere, but a majority of any is.
            other => panic!("{other:?}"),
        }
        net.pass(100.0);
    }
    assert_eq!(refused, 20);
    // By now it is known of each keeper.
    for name in 100..110u128 {
        let begun = net.now;
        assert!(matches!(
            ends(&mut net, 4, key(name), Change::Acquire(member(4))),
            Response::Unavailable { .. }
        ));
        assert!(net.now <= begun + 2.0);
    }
    // The others go on.
    for name in 200..210u128 {
        takes(&mut net, name as usize % 4, name);
    }
    net.heal();
    net.until(10_000.0, |net| !net.links_of(4).is_empty());
    net.pass(2_000.0);
    for name in 300..310u128 {
        takes(&mut net, 4, name);
    }
}

#[test]
fn a_router_lost_for_good_is_replaced_by_whoever_watches_it_and_one_that_returns_in_time_is_not() {
    let of = 9;
    let mut net = Net::standing(of, 3, &[]);
    // Back within its time: nothing moves.
    net.kill(2);
    net.pass(6_000.0);
    net.renew(2);
    net.pass(20_000.0);
    assert!(
        (0..of).all(|n| net.version(n) <= 1),
        "{:?}",
        (0..of).map(|n| net.version(n)).collect::<Vec<_>>()
    );
    // Two in a row of the ring for longer than that, which keep nothing together: of three copies two would be lost.
    let map = net.nodes[0].control.table().map().expect("a map");
    let groups = || map.shards.iter().chain([&map.root]).flat_map(|k| &k.groups);
    let apart =
        |n: &usize| !groups().any(|g| [member(*n), member(n + 1)].iter().all(|m| g.members.contains(m)));
    let lost = (1..of - 1).find(apart).expect("two that keep nothing together");
    net.kill(lost);
    net.kill(lost + 1);
    let rest = || (0..of).filter(|n| *n != lost && *n != lost + 1);
    let without = |net: &Net, n: usize| {
        let table = net.nodes[n].control.table();
        table.members().all(|m| m != member(lost) && m != member(lost + 1))
    };
    net.until(60_000.0, |net| rest().all(|n| without(net, n)));
    let askers: Vec<usize> = rest().collect();
    for name in 0..30u128 {
        takes(&mut net, askers[name as usize % askers.len()], 400 + name);
    }
    // They return as they were, and get places again.
    net.renew(lost);
    net.renew(lost + 1);
    let has =
        |net: &Net, n: usize, who: usize| net.nodes[n].control.table().members().any(|m| m == member(who));
    net.until(60_000.0, |net| (0..of).all(|n| has(net, n, lost) && has(net, n, lost + 1)));
}

#[test]
fn other_rules_come_to_all_though_few_are_linked() {
    let of = 12;
    let mut net = Net::standing(of, 3, &[]);
    let before = net.version(5);
    net.other_rules(5);
    assert!((0..of).all(|n| net.version(n) > before));
    net.pass(RESTS + 10_000.0);
    assert!(
        (0..of).all(|n| net.links_of(n).len() <= 10),
        "{:?}",
        (0..of).map(|n| net.links_of(n)).collect::<Vec<_>>()
    );
}

#[test]
fn all_restarting_at_once_find_each_other_and_keep_what_they_had() {
    let of = 9;
    let mut net = Net::standing(of, 3, &[]);
    for n in 0..of {
        let turn = takes(&mut net, n, n as u128);
        ends(&mut net, n, key(n as u128), Change::Complete(member(n), turn, Outcome::Served(vec![n as u8])));
    }
    (0..of).for_each(|n| net.kill(n));
    (0..of).for_each(|n| net.renew(n));
    net.pass(5_000.0);
    for n in 0..of {
        let found = ends(&mut net, (n + 4) % of, key(n as u128), Change::Read);
        assert_eq!(found, Response::Conflict(Some(Record::Completed(Outcome::Served(vec![n as u8])))));
    }
}

#[test]
fn routers_of_a_mesh_and_those_with_standing_links_go_together() {
    let of = 9;
    let mut net = Net::standing(of, 3, &[0, 4]);
    assert!([0, 4].iter().all(|n| net.links_of(*n).len() == of - 1));
    assert!((0..of).any(|n| net.links_of(n).len() < of - 1));
    let one = Purge { group: 7, object: Some(1), time: net.now as u64 };
    net.event(8, Event::Request(ControlRequest::Purge(one)));
    net.until(REACHES, |net| (0..of).all(|n| knows(net, n, one)));
    for name in 0..45u128 {
        takes(&mut net, name as usize % of, name);
    }
    net.kill(4);
    net.pass(3_000.0);
    net.renew(4);
    net.pass(8_000.0);
    for name in 100..145u128 {
        takes(&mut net, name as usize % of, name);
    }
    assert!((0..of).all(|n| net.version(n) <= 1));
}

#[test]
fn what_waits_for_a_link_is_bounded_and_given_back_once() {
    let of = 24;
    let mut net = Net::standing(of, 3, &[]);
    let before = word(&mut net, 4, "unsent");
    let waited = word(&mut net, 4, "words_waited");
    net.divide(&[4]);
    let asks: Vec<RequestNumber> =
        (0..500u128).map(|name| net.ask(4, key(1_000 + name), Change::Acquire(member(4)), 400.0)).collect();
    assert!(word(&mut net, 4, "words_waiting") <= 64 * of as u64);
    // Dials fail after 3 ms, and words may wait for 400: they are given back at once.
    net.pass(50.0);
    let unkept = |no: &RequestNumber| matches!(net.verdict(4, *no), Some(Response::Unavailable { .. }));
    assert!(asks.iter().all(unkept));
    assert_eq!(word(&mut net, 4, "words_waiting"), 0);
    let back: u64 = ["full", "late", "unreached", "replaced"]
        .iter()
        .map(|why| word(&mut net, 4, &format!("words_back_{why}")))
        .sum();
    assert_eq!(word(&mut net, 4, "unsent"), before + back);
    // Each that had to wait, and each once.
    let waited = word(&mut net, 4, "words_waited") - waited;
    assert!(waited > 0 && back >= waited, "{waited} waited, {back} were given back");
}

#[test]
fn rosters_say_nothing_where_links_stand() {
    let mut net = Net::standing(9, 3, &[]);
    let unheard = word(&mut net, 0, "roster_unheard");
    net.event(0, Event::MessageReceived { from: member(1), lane: Lane::Membership, body: vec![1, 2, 3] });
    assert_eq!(word(&mut net, 0, "roster_unheard"), unheard + 1);
    assert_eq!(net.nodes[0].control.membership().peers().count(), 0);
    // A link that was closed for being idle says nothing of its router.
    let linked = net.links_of(0)[0];
    net.event(0, Event::LinkDown(member(linked), LinkError::Idle));
    assert_eq!(word(&mut net, 0, "links_gone"), 0);
}
