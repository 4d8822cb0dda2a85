//! Routers that are dialled only when they are wanted, and links that close when they are idle.

use crate::common::*;
use basaltgw_transport::frames::Kind;
use basaltgw_transport::{
    start, DialPolicy, Lane, LinkCommand, LinkError, LinkEvent, PeerConfig, Port, Settings, TransportUser,
};
use basaltgw_types::Member;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Idle links go soon, and signs of life come often.
fn set(idle_ms: u64) -> Settings {
    let (dials, alive) =
        (DialPolicy::OnDemand { idle: Duration::from_millis(idle_ms) }, Duration::from_millis(20));
    Settings { dial_policy: dials, keepalive_interval: alive, ..Settings::default() }
}

fn node(name: &str, life: u128, address: SocketAddr, peers: &[PeerConfig], idle_ms: u64) -> Node {
    Node::with(name, life, address, peers, (LIMITS, set(idle_ms)))
}

fn want(port: &mut Port, router: &Member, yes: bool) {
    let order = LinkCommand::SetWanted(router.router.clone(), yes);
    wait("room for an order", || port.send(order.clone()).ok());
}

fn unreached(port: &mut Port, router: &Member) {
    let of = told(port, "unreached", |t| match t {
        LinkEvent::DialFailed(of) => Some(of.clone()),
        LinkEvent::LinkUp(_)
        | LinkEvent::LinkDown(..)
        | LinkEvent::MessageReceived { .. }
        | LinkEvent::SendFailed { .. } => None,
    });
    assert_eq!(of, router.router);
}

#[test]
fn only_who_is_wanted_is_dialled_and_both_users_hear_of_it() {
    let (at_a, at_b, at_c) = (address(), address(), address());
    let mut a = node("a", 1, at_a, &[listed("b", at_b), listed("c", at_c)], 60_000);
    let mut b = node("b", 2, at_b, &[listed("a", at_a), listed("c", at_c)], 60_000);
    let c = node("c", 3, at_c, &[listed("a", at_a), listed("b", at_b)], 60_000);
    want(&mut a.copies, &b.me, true);
    for port in [&mut a.owner, &mut a.copies] {
        assert_eq!(up(port, &b.me), hello("b", 2));
    }
    up(&mut b.copies, &a.me);
    send(&mut b.copies, 1, &a.me, Lane::Registers, b"there and back");
    assert_eq!(got(&mut a.copies, &b.me), (Lane::Registers, b"there and back".to_vec()));
    // Wanted once more, it is told once more: to whoever wants it.
    want(&mut a.copies, &b.me, true);
    up(&mut a.copies, &b.me);
    assert_eq!(a.owner.next(), None);
    assert_eq!((a.count("peer_dialled"), b.count("peer_dialled"), c.count("peer_up")), (1, 0, 0));
}

#[test]
fn a_link_that_nobody_wants_is_closed_when_it_is_idle_by_whoever_dialled_it() {
    // Whichever of the two has the smaller name, which chooses the connection.
    for (one, other) in [("a", "b"), ("b", "a")] {
        let (at_a, at_b, at_c) = (address(), address(), address());
        let mut a = node(one, 1, at_a, &[listed(other, at_b), listed("c", at_c)], 100);
        let mut b = node(other, 2, at_b, &[listed(one, at_a)], 100);
        let c = node("c", 3, at_c, &[listed(one, at_a)], 100);
        want(&mut a.copies, &b.me, true);
        up(&mut a.copies, &b.me);
        up(&mut b.copies, &a.me);
        // Wanted by both users, it stays as long as one of them wants it, while another that nobody wants goes again and again.
        up(&mut a.owner, &b.me);
        want(&mut a.owner, &b.me, true);
        // Orders of the two users have no order between them: this one is carried out before the next is given.
        up(&mut a.owner, &b.me);
        want(&mut a.copies, &b.me, false);
        for times in 1..=3 {
            want(&mut a.copies, &c.me, true);
            up(&mut a.copies, &c.me);
            want(&mut a.copies, &c.me, false);
            assert_eq!((down(&mut a.copies, &c.me), a.count("peer_idle")), (LinkError::Idle, times));
        }
        assert_eq!((b.count("peer_idle"), b.count("peer_up")), (0, 1));
        send(&mut a.copies, 1, &b.me, Lane::Registers, b"");
        got(&mut b.copies, &a.me);
        want(&mut a.owner, &b.me, false);
        assert_eq!(down(&mut a.copies, &b.me), LinkError::Idle);
        assert_eq!(down(&mut b.copies, &a.me), LinkError::Idle);
        for (counts, idle) in [(&a, 4), (&b, 1)] {
            assert_eq!([counts.count("peer_idle"), counts.count("peer_broken")], [idle, 0]);
            assert_eq!([counts.count("peer_silent"), counts.count("peer_unsent_broken")], [0, 0]);
        }
        // A word for it goes nowhere, and is told; wanted again it is there again, from either end.
        send(&mut a.copies, 7, &b.me, Lane::Registers, b"");
        let unsent =
            told(&mut a.copies, "unsent", |t| matches!(t, LinkEvent::SendFailed { .. }).then(|| t.clone()));
        assert_eq!(
            unsent,
            LinkEvent::SendFailed { number: 7, to: b.me.clone(), error: LinkError::NotConnected }
        );
        want(&mut b.copies, &a.me, true);
        up(&mut a.copies, &b.me);
        up(&mut b.copies, &a.me);
    }
}

#[test]
fn whoever_did_not_dial_keeps_a_link_that_it_does_not_want() {
    let mut a = node("a", 1, address(), &[listed("z", address())], 1);
    let z = member("z", 2);
    let mut raw = Raw::alive(a.address, &hello("z", 2), 5);
    up(&mut a.copies, &z);
    want(&mut a.copies, &z, true);
    up(&mut a.copies, &z);
    want(&mut a.copies, &z, false);
    // With each sign of life it could have been closed.
    for _ in 0..20 {
        assert_eq!(raw.read().map(|f| f.kind), Some(Kind::Alive));
    }
    send(&mut a.copies, 1, &z, Lane::Registers, b"x");
    wait("the frame", || raw.read().filter(|f| f.kind == Kind::Lane(Lane::Registers)));
    assert_eq!((a.count("peer_idle"), a.count("peer_up"), a.count("peer_dialled")), (0, 1, 0));
}

#[test]
fn who_is_wanted_and_not_reached_is_told_each_time_until_it_comes_or_is_wanted_no_more() {
    let (at_a, at_b) = (address(), address());
    let stranger = member("nobody", 1);
    let mut a = node("a", 1, at_a, &[listed("b", at_b), listed("c", address())], 60_000);
    want(&mut a.copies, &stranger, true);
    unreached(&mut a.copies, &stranger);
    let who = member("b", 2);
    want(&mut a.copies, &who, true);
    (0..3).for_each(|_| unreached(&mut a.copies, &who));
    let b = node("b", 2, at_b, &[listed("a", at_a)], 60_000);
    up(&mut a.copies, &b.me);
    // The user that did not want it was told that it is up, and nothing else.
    let all: Vec<LinkEvent> = std::iter::from_fn(|| a.owner.next()).collect();
    assert_eq!(all, [LinkEvent::LinkUp(hello("b", 2))]);
    drop(b);
    down(&mut a.copies, &who);
    unreached(&mut a.copies, &who);
    want(&mut a.copies, &who, false);
    // The dial under way may still fail; then there is no other, while another router is dialled again and again.
    let other = member("c", 3);
    let before = a.count("peer_dialled");
    want(&mut a.copies, &other, true);
    let mut tries = 0;
    wait("tries", || {
        let told = a.copies.next()?;
        tries += u64::from(told == LinkEvent::DialFailed(other.router.clone()));
        (tries == 6).then_some(())
    });
    assert!(a.count("peer_dialled") <= before + 1 + tries + 1);
}

#[test]
fn dials_at_a_time_are_bounded_and_all_have_their_turn() {
    // They take connections and say nothing: each dial lasts as long as a hello is waited for.
    let silent: Vec<TcpListener> = (0..40).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let name = |n: usize| format!("s{n}");
    let at = |n: usize| silent[n].local_addr().unwrap();
    let peers: Vec<PeerConfig> = (0..40).map(|n| listed(&name(n), at(n))).collect();
    let mut a = node("a", 1, address(), &peers, 60_000);
    (0..40).for_each(|n| want(&mut a.copies, &member(&name(n), 1), true));
    let open = |a: &Node| a.count("peer_dialled") - a.count("peer_no_hello");
    let (mut most, mut seen) = (0, std::collections::BTreeSet::new());
    wait("all to have been dialled", || {
        most = most.max(open(&a));
        seen.extend(a.copies.find_map(|t| match t {
            LinkEvent::DialFailed(router) => Some(router),
            LinkEvent::LinkUp(_)
            | LinkEvent::LinkDown(..)
            | LinkEvent::MessageReceived { .. }
            | LinkEvent::SendFailed { .. } => None,
        }));
        (seen.len() == 40).then_some(())
    });
    assert!(most <= basaltgw_transport::limits::DIALS as u64 && most > 8, "{most}");
}

#[test]
fn what_waits_on_a_link_that_breaks_is_given_back_once() {
    let (at_a, at_z) = (address(), address());
    let mut a = node("a", 1, at_a, &[listed("z", at_z)], 60_000);
    let z = member("z", 2);
    let listener = TcpListener::bind(at_z).unwrap();
    want(&mut a.copies, &z, true);
    let (stream, _) = listener.accept().unwrap();
    let mut raw = Raw::from(stream);
    assert_eq!(raw.read().unwrap().kind, Kind::Hello);
    raw.write(Kind::Hello, &postcard::to_stdvec(&(hello("z", 2), 5u64)).unwrap()).unwrap();
    assert_eq!(raw.read().unwrap().kind, Kind::Go);
    up(&mut a.copies, &z);
    // More than the kernel takes while nothing is read.
    for no in 0..60 {
        send(&mut a.copies, no, &z, Lane::Registers, &[0; 65_536]);
    }
    drop(raw);
    let why = down(&mut a.copies, &z);
    assert!(matches!(why, LinkError::ConnectionLost | LinkError::PeerTimeout), "{why:?}");
    let mut back = std::collections::BTreeSet::new();
    wait("all to be written or given back", || {
        if let Some(LinkEvent::SendFailed { number: no, .. }) = a.copies.next() {
            assert!(back.insert(no), "{no} twice");
        }
        (back.len() as u64 + a.count("peer_frames_out") == 60).then_some(())
    });
    let written = a.count("peer_frames_out");
    assert!(written < 60 && back.into_iter().eq(written..60), "{written}");
    assert_eq!(a.copies.find(|t| matches!(t, LinkEvent::SendFailed { .. })), None);
}

#[test]
fn a_silence_shorter_than_three_signs_of_life_is_refused() {
    let lanes = || vec![Lane::Membership, Lane::Registers, Lane::Table, Lane::ScatterGather];
    let users = || [(); 2].map(|()| TransportUser { lanes: lanes(), wake: Box::new(|| ()) });
    let try_with = |alive, silent| {
        let (alive, silent) = (Duration::from_millis(alive), Duration::from_millis(silent));
        let set = Settings { keepalive_interval: alive, peer_timeout: silent, ..Settings::default() };
        start(hello("a", 1), address(), vec![], (LIMITS, set), 1, users()).err().map(|e| e.to_string())
    };
    assert_eq!(try_with(1_250, 4_000), None);
    assert_eq!(try_with(250, 750), None);
    let said = try_with(250, 749).unwrap();
    assert_eq!(said, "settings of links: silent: expected 3 times 250ms or more, found 749ms");
    assert_eq!(try_with(0, 749).unwrap(), "settings of links: alive: expected more than 0");
}

#[test]
fn a_longer_silence_is_borne_where_it_is_set() {
    let (alive, silent) = (Duration::from_millis(1_250), Duration::from_millis(4_000));
    let set = Settings { keepalive_interval: alive, peer_timeout: silent, ..Settings::default() };
    let mut a = Node::with("a", 1, address(), &[listed("z", address())], (LIMITS, set));
    let z = member("z", 2);
    let mut raw = Raw::up(a.address, &hello("z", 2), 5);
    up(&mut a.copies, &z);
    // It says nothing for as long as two of their signs of life take: longer than the usual silence.
    let begun = std::time::Instant::now();
    assert_eq!([raw.read().unwrap().kind, raw.read().unwrap().kind], [Kind::Alive; 2]);
    assert!(begun.elapsed() >= 2 * alive);
    raw.write(Kind::Lane(Lane::Registers), b"x").unwrap();
    assert_eq!(got(&mut a.copies, &z).1, b"x");
    assert_eq!((a.count("peer_silent"), a.count("peer_up")), (0, 1));
}
