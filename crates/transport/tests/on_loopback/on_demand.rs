//! On-demand links: routers are dialled while they are wanted, and idle links are closed.

use crate::common::*;
use basaltgw_transport::frames::Kind;
use basaltgw_transport::{
    start, DialPolicy, Lane, LinkCommand, LinkError, LinkEvent, PeerConfig, Port, Settings, TransportUser,
};
use basaltgw_types::Member;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Short idle times and keepalive intervals.
fn settings(idle_ms: u64) -> Settings {
    let (dials, alive) =
        (DialPolicy::OnDemand { idle: Duration::from_millis(idle_ms) }, Duration::from_millis(20));
    Settings { dial_policy: dials, keepalive_interval: alive, ..Settings::default() }
}

fn node(name: &str, incarnation: u128, address: SocketAddr, peers: &[PeerConfig], idle_ms: u64) -> Node {
    Node::with_settings(name, incarnation, address, peers, (LIMITS, settings(idle_ms)))
}

fn set_wanted(port: &mut Port, router: &Member, wanted: bool) {
    let command = LinkCommand::SetWanted { router: router.router.clone(), wanted };
    wait("capacity for a command", || port.send(command.clone()).ok());
}

fn expect_dial_failed(port: &mut Port, router: &Member) {
    let dialled = wait_for_event(port, "a failed dial", |t| match t {
        LinkEvent::DialFailed(router) => Some(router.clone()),
        LinkEvent::LinkUp(_)
        | LinkEvent::LinkDown(..)
        | LinkEvent::MessageReceived { .. }
        | LinkEvent::SendFailed { .. } => None,
    });
    assert_eq!(dialled, router.router);
}

#[test]
fn only_wanted_routers_are_dialled_and_both_users_are_notified() {
    let (at_a, at_b, at_c) = (address(), address(), address());
    let mut a = node("a", 1, at_a, &[listed("b", at_b), listed("c", at_c)], 60_000);
    let mut b = node("b", 2, at_b, &[listed("a", at_a), listed("c", at_c)], 60_000);
    let c = node("c", 3, at_c, &[listed("a", at_a), listed("b", at_b)], 60_000);
    set_wanted(&mut a.control, &b.me, true);
    for port in [&mut a.owner, &mut a.control] {
        assert_eq!(wait_for_link_up(port, &b.me), hello("b", 2));
    }
    wait_for_link_up(&mut b.control, &a.me);
    send(&mut b.control, 1, &a.me, Lane::Registers, b"there and back");
    assert_eq!(receive(&mut a.control, &b.me), (Lane::Registers, b"there and back".to_vec()));
    // A link that is wanted again is reported again, to the user that wants it.
    set_wanted(&mut a.control, &b.me, true);
    wait_for_link_up(&mut a.control, &b.me);
    assert_eq!(a.owner.next(), None);
    assert_eq!((a.count("peer_dialled"), b.count("peer_dialled"), c.count("peer_up")), (1, 0, 0));
}

#[test]
fn an_idle_unwanted_link_is_closed_by_the_router_that_dialled_it() {
    // For either order of names, which decides who selects the connection.
    for (one, other) in [("a", "b"), ("b", "a")] {
        let (at_a, at_b, at_c) = (address(), address(), address());
        let mut a = node(one, 1, at_a, &[listed(other, at_b), listed("c", at_c)], 100);
        let mut b = node(other, 2, at_b, &[listed(one, at_a)], 100);
        let c = node("c", 3, at_c, &[listed(one, at_a)], 100);
        set_wanted(&mut a.control, &b.me, true);
        wait_for_link_up(&mut a.control, &b.me);
        wait_for_link_up(&mut b.control, &a.me);
        // Wanted by both users, the link remains up as long as one of them wants it, while another, unwanted link is closed repeatedly.
        wait_for_link_up(&mut a.owner, &b.me);
        set_wanted(&mut a.owner, &b.me, true);
        // Commands of the two users are not ordered: this one is executed before the next is sent.
        wait_for_link_up(&mut a.owner, &b.me);
        set_wanted(&mut a.control, &b.me, false);
        for times in 1..=3 {
            set_wanted(&mut a.control, &c.me, true);
            wait_for_link_up(&mut a.control, &c.me);
            set_wanted(&mut a.control, &c.me, false);
            assert_eq!(
                (wait_for_link_down(&mut a.control, &c.me), a.count("peer_idle")),
                (LinkError::Idle, times)
            );
        }
        assert_eq!((b.count("peer_idle"), b.count("peer_up")), (0, 1));
        send(&mut a.control, 1, &b.me, Lane::Registers, b"");
        receive(&mut b.control, &a.me);
        set_wanted(&mut a.owner, &b.me, false);
        assert_eq!(wait_for_link_down(&mut a.control, &b.me), LinkError::Idle);
        assert_eq!(wait_for_link_down(&mut b.control, &a.me), LinkError::Idle);
        for (counts, idle) in [(&a, 4), (&b, 1)] {
            assert_eq!([counts.count("peer_idle"), counts.count("peer_broken")], [idle, 0]);
            assert_eq!([counts.count("peer_silent"), counts.count("peer_unsent_broken")], [0, 0]);
        }
        // A frame for the closed link fails. Once either router wants it again, the link is up again.
        send(&mut a.control, 7, &b.me, Lane::Registers, b"");
        let failed = wait_for_event(&mut a.control, "a failed send", |t| {
            matches!(t, LinkEvent::SendFailed { .. }).then(|| t.clone())
        });
        assert_eq!(
            failed,
            LinkEvent::SendFailed { number: 7, to: b.me.clone(), error: LinkError::NotConnected }
        );
        set_wanted(&mut b.control, &a.me, true);
        wait_for_link_up(&mut a.control, &b.me);
        wait_for_link_up(&mut b.control, &a.me);
    }
}

#[test]
fn the_accepting_router_keeps_an_unwanted_link() {
    let mut a = node("a", 1, address(), &[listed("z", address())], 1);
    let z = member("z", 2);
    let mut raw = Raw::link_with_keepalives(a.address, &hello("z", 2), 5);
    wait_for_link_up(&mut a.control, &z);
    set_wanted(&mut a.control, &z, true);
    wait_for_link_up(&mut a.control, &z);
    set_wanted(&mut a.control, &z, false);
    // Idle links are checked at each keepalive, and this one is not closed.
    for _ in 0..20 {
        assert_eq!(raw.read().map(|f| f.kind), Some(Kind::Alive));
    }
    send(&mut a.control, 1, &z, Lane::Registers, b"x");
    wait("the frame", || raw.read().filter(|f| f.kind == Kind::Lane(Lane::Registers)));
    assert_eq!((a.count("peer_idle"), a.count("peer_up"), a.count("peer_dialled")), (0, 1, 0));
}

#[test]
fn each_failed_dial_is_reported_until_the_link_is_up_or_not_wanted() {
    let (at_a, at_b) = (address(), address());
    let stranger = member("nobody", 1);
    let mut a = node("a", 1, at_a, &[listed("b", at_b), listed("c", address())], 60_000);
    set_wanted(&mut a.control, &stranger, true);
    expect_dial_failed(&mut a.control, &stranger);
    let wanted = member("b", 2);
    set_wanted(&mut a.control, &wanted, true);
    (0..3).for_each(|_| expect_dial_failed(&mut a.control, &wanted));
    let b = node("b", 2, at_b, &[listed("a", at_a)], 60_000);
    wait_for_link_up(&mut a.control, &b.me);
    // The user that did not want it was notified of the link, and of nothing else.
    let all: Vec<LinkEvent> = std::iter::from_fn(|| a.owner.next()).collect();
    assert_eq!(all, [LinkEvent::LinkUp(hello("b", 2))]);
    drop(b);
    wait_for_link_down(&mut a.control, &wanted);
    expect_dial_failed(&mut a.control, &wanted);
    set_wanted(&mut a.control, &wanted, false);
    // The dial in progress may still fail; no other follows, while another router is dialled repeatedly.
    let other = member("c", 3);
    let before = a.count("peer_dialled");
    set_wanted(&mut a.control, &other, true);
    let mut failures = 0;
    wait("failed dials", || {
        let event = a.control.next()?;
        failures += u64::from(event == LinkEvent::DialFailed(other.router.clone()));
        (failures == 6).then_some(())
    });
    assert!(a.count("peer_dialled") <= before + 1 + failures + 1);
}

#[test]
fn concurrent_dials_are_bounded_and_all_routers_are_dialled() {
    // They accept connections silently: each dial lasts as long as the handshake's timeout.
    let silent: Vec<TcpListener> = (0..40).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let name = |n: usize| format!("s{n}");
    let at = |n: usize| silent[n].local_addr().unwrap();
    let peers: Vec<PeerConfig> = (0..40).map(|n| listed(&name(n), at(n))).collect();
    let mut a = node("a", 1, address(), &peers, 60_000);
    (0..40).for_each(|n| set_wanted(&mut a.control, &member(&name(n), 1), true));
    let open = |a: &Node| a.count("peer_dialled") - a.count("peer_no_hello");
    let (mut max_open, mut dialled) = (0, std::collections::BTreeSet::new());
    wait("all routers to have been dialled", || {
        max_open = max_open.max(open(&a));
        dialled.extend(a.control.find_map(|t| match t {
            LinkEvent::DialFailed(router) => Some(router),
            LinkEvent::LinkUp(_)
            | LinkEvent::LinkDown(..)
            | LinkEvent::MessageReceived { .. }
            | LinkEvent::SendFailed { .. } => None,
        }));
        (dialled.len() == 40).then_some(())
    });
    assert!(
        max_open <= basaltgw_transport::limits::MAX_CONCURRENT_DIALS as u64 && max_open > 8,
        "{max_open}"
    );
}

#[test]
fn queued_frames_of_a_lost_link_fail_exactly_once() {
    let (at_a, at_z) = (address(), address());
    let mut a = node("a", 1, at_a, &[listed("z", at_z)], 60_000);
    let z = member("z", 2);
    let listener = TcpListener::bind(at_z).unwrap();
    set_wanted(&mut a.control, &z, true);
    let (stream, _) = listener.accept().unwrap();
    let mut raw = Raw::from(stream);
    assert_eq!(raw.read().unwrap().kind, Kind::Hello);
    raw.write(Kind::Hello, &postcard::to_stdvec(&(hello("z", 2), 5u64)).unwrap()).unwrap();
    assert_eq!(raw.read().unwrap().kind, Kind::Go);
    wait_for_link_up(&mut a.control, &z);
    // More than the kernel buffers while nothing is read.
    for number in 0..60 {
        send(&mut a.control, number, &z, Lane::Registers, &[0; 65_536]);
    }
    drop(raw);
    let error = wait_for_link_down(&mut a.control, &z);
    assert!(matches!(error, LinkError::ConnectionLost | LinkError::PeerTimeout), "{error:?}");
    let mut failed = std::collections::BTreeSet::new();
    wait("every frame to be written or to fail", || {
        if let Some(LinkEvent::SendFailed { number, .. }) = a.control.next() {
            assert!(failed.insert(number), "the send of {number} failed twice");
        }
        (failed.len() as u64 + a.count("peer_frames_out") == 60).then_some(())
    });
    let written = a.count("peer_frames_out");
    assert!(written < 60 && failed.into_iter().eq(written..60), "{written}");
    assert_eq!(a.control.find(|t| matches!(t, LinkEvent::SendFailed { .. })), None);
}

#[test]
fn a_peer_timeout_below_three_keepalive_intervals_is_rejected() {
    let lanes = || vec![Lane::Membership, Lane::Registers, Lane::Table, Lane::ScatterGather];
    let users = || [(); 2].map(|()| TransportUser { lanes: lanes(), wake: Box::new(|| ()) });
    let try_with = |alive, silent| {
        let (alive, silent) = (Duration::from_millis(alive), Duration::from_millis(silent));
        let settings = Settings { keepalive_interval: alive, peer_timeout: silent, ..Settings::default() };
        start(hello("a", 1), address(), vec![], (LIMITS, settings), 1, users()).err().map(|e| e.to_string())
    };
    assert_eq!(try_with(1_250, 4_000), None);
    assert_eq!(try_with(250, 750), None);
    let error = try_with(250, 749).unwrap();
    assert_eq!(error, "settings of links: silent: expected 3 times 250ms or more, found 749ms");
    assert_eq!(try_with(0, 749).unwrap(), "settings of links: alive: expected more than 0");
}

#[test]
fn a_longer_peer_timeout_is_respected() {
    let (alive, silent) = (Duration::from_millis(1_250), Duration::from_millis(4_000));
    let settings = Settings { keepalive_interval: alive, peer_timeout: silent, ..Settings::default() };
    let mut a = Node::with_settings("a", 1, address(), &[listed("z", address())], (LIMITS, settings));
    let z = member("z", 2);
    // The keepalive timer starts with the link, which may be before this thread sees it up.
    let started = std::time::Instant::now();
    let mut raw = Raw::link(a.address, &hello("z", 2), 5);
    wait_for_link_up(&mut a.control, &z);
    // The peer is silent for two keepalive intervals: longer than the default timeout.
    assert_eq!([raw.read().unwrap().kind, raw.read().unwrap().kind], [Kind::Alive; 2]);
    assert!(started.elapsed() >= 2 * alive);
    raw.write(Kind::Lane(Lane::Registers), b"x").unwrap();
    assert_eq!(receive(&mut a.control, &z).1, b"x");
    assert_eq!((a.count("peer_silent"), a.count("peer_up")), (0, 1));
}
