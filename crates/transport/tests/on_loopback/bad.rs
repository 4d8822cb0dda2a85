//! Peers that do what they must not, and users that are slow: each costs only itself.

use crate::common::*;
use basaltgw_transport::frames::Kind;
use basaltgw_transport::{CommandError, Hello, Lane, Limits, LinkCommand, LinkError, LinkEvent};
use basaltgw_types::{Domain, Member, RouterId};
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::Arc;

/// A router m, and one in order beside it.
fn pair(others: &[&str]) -> (Node, Node) {
    let at_m = address();
    let mut peers = vec![listed("good", address())];
    peers.extend(others.iter().map(|name| listed(name, address())));
    let mut m = Node::new("m", 1, at_m, &peers, LIMITS);
    let mut good = Node::new("good", 1, address(), &[listed("m", at_m)], LIMITS);
    up(&mut m.copies, &good.me);
    up(&mut good.copies, &m.me);
    (m, good)
}

/// A frame from the one in order to m; its link never goes down.
fn exchange(m: &mut Node, good: &mut Node, no: u64) {
    send(&mut good.copies, no, &m.me, Lane::Registers, &no.to_be_bytes());
    told(&mut m.copies, "a frame of the one in order", |t| match t {
        LinkEvent::MessageReceived { from, body, .. } if *from == good.me => {
            assert_eq!(body[..], no.to_be_bytes());
            Some(())
        }
        LinkEvent::LinkDown(member, why) if *member == good.me => panic!("{why:?}"),
        LinkEvent::LinkUp(_) | LinkEvent::LinkDown(..) | LinkEvent::DialFailed(_) => None,
        LinkEvent::MessageReceived { .. } | LinkEvent::SendFailed { .. } => None,
    });
}

/// Waits until m has another's link down, while the one in order goes on; tells what else the owner was told.
fn down_beside(m: &mut Node, good: &mut Node, bad: &Member) -> (LinkError, Vec<LinkEvent>) {
    let (mut no, mut others) = (0, vec![]);
    let why = wait("the link's end", || {
        exchange(m, good, no);
        no += 1;
        let mut why = None;
        others.extend(m.owner.by_ref().inspect(|t| {
            if let LinkEvent::LinkDown(member, w) = t {
                why = (member == bad).then_some(*w).or(why);
            }
        }));
        why
    });
    (0..10).for_each(|n| exchange(m, good, no + n));
    (why, others)
}

#[test]
fn garbled_silent_and_flooding_peers_cost_their_own_link() {
    let (mut m, mut good) = pair(&["x"]);
    let bad = member("x", 1);
    let cut = |bytes: &[u8], at: usize| [&bytes[..at], &[bytes[at] ^ 1], &bytes[at + 1..]].concat();
    let frame = bytes(Kind::Lane(Lane::Registers), b"some words");
    let sent: [(&str, Vec<u8>, LinkError); 9] = [
        ("a flipped body", cut(&frame, 12), LinkError::MalformedFrame),
        ("a flipped length", cut(&frame, 0), LinkError::MalformedFrame),
        (
            "an unknown kind",
            cut(&frame, 8).into_iter().map(|b| b | 0x80).collect(),
            LinkError::MalformedFrame,
        ),
        ("a second hello", bytes(Kind::Hello, &[]).to_vec(), LinkError::MalformedFrame),
        ("a table that is none", bytes(Kind::Table, &[1, 2]).to_vec(), LinkError::MalformedFrame),
        ("signs of life", bytes(Kind::Alive, &[]).repeat(300), LinkError::RateExceeded),
        ("nothing", vec![], LinkError::PeerTimeout),
        ("half a head", frame[..5].to_vec(), LinkError::PeerTimeout),
        ("half a body", frame[..12].to_vec(), LinkError::PeerTimeout),
    ];
    for (start, (what, bytes, expected)) in sent.into_iter().enumerate() {
        let mut raw = Raw::up(m.address, &hello("x", 1), start as u64);
        // It may be closed before all is written.
        let _ = std::io::Write::write_all(&mut raw.stream, &bytes);
        let (why, _) = down_beside(&mut m, &mut good, &bad);
        assert_eq!(why, expected, "{what}");
        wait("its connection's end", || raw.read().is_none().then_some(()));
    }
    let counts = ["peer_garbled", "peer_flooded", "peer_silent", "peer_broken"].map(|name| m.count(name));
    assert_eq!(counts, [5, 1, 3, 0]);
}

#[test]
fn a_peer_that_does_not_read_costs_its_own_lanes_and_no_word_is_lost() {
    let (mut m, mut good) = pair(&["x"]);
    let bad = member("x", 1);
    let mut raw = Raw::alive(m.address, &hello("x", 1), 1);
    up(&mut m.owner, &bad);
    for no in 0..100 {
        send(&mut m.owner, no, &bad, Lane::Registers, &[0; 256 * 1024]);
    }
    let (why, told) = down_beside(&mut m, &mut good, &bad);
    assert_eq!(why, LinkError::PeerTimeout);
    let mut unsent = BTreeMap::new();
    let mut take = |told: &LinkEvent| {
        if let LinkEvent::SendFailed { number: no, error: why, .. } = told {
            assert_eq!(unsent.insert(*no, *why), None, "told twice");
        }
        unsent.len() as u64
    };
    told.iter().for_each(|t| _ = take(t));
    let written = m.count("peer_frames_out");
    wait("all unsent words", || {
        m.owner
            .by_ref()
            .map(|t| take(&t))
            .last()
            .or(Some(take(&LinkEvent::LinkDown(bad.clone(), why))))
            .filter(|n| n + written == 100)
    });
    assert!(
        unsent.values().any(|why| *why == LinkError::QueueFull)
            && unsent.values().any(|why| *why == LinkError::PeerTimeout)
    );
    assert_eq!(
        unsent.values().filter(|why| **why == LinkError::ConnectionLost).count(),
        1,
        "only what was begun"
    );
    while raw.read().is_some() {}
}

#[test]
fn news_pass_what_waits_on_lower_lanes() {
    let (mut m, _good) = pair(&["x"]);
    let bad = member("x", 1);
    let mut raw = Raw::alive(m.address, &hello("x", 1), 1);
    up(&mut m.owner, &bad);
    for no in 0..100 {
        send(&mut m.owner, no, &bad, Lane::ScatterGather, &[0; 256 * 1024]);
    }
    // The lane is full, so at least its 4 MiB wait.
    told(&mut m.owner, "a full lane", |t| {
        matches!(t, LinkEvent::SendFailed { error: LinkError::QueueFull, .. }).then_some(())
    });
    send(&mut m.copies, 200, &bad, Lane::Membership, b"news");
    let mut after = None;
    wait("gathers after the news", || {
        match raw.read().unwrap().kind {
            Kind::Lane(Lane::Membership) => after = Some(0),
            Kind::Lane(Lane::ScatterGather) => after = after.map(|n| n + 1),
            Kind::Lane(Lane::Registers | Lane::Table) | Kind::Alive | Kind::Hello | Kind::Go => (),
            Kind::Table | Kind::Close => (),
        }
        (after >= Some(8)).then_some(())
    });
}

#[test]
fn strangers_are_refused_without_a_word() {
    let (mut m, mut good) = pair(&["x"]);
    let right = hello("x", 1);
    let other = Member { router: RouterId(Arc::from("nobody")), ..right.member.clone() };
    let place = Domain { machine: Arc::from("elsewhere"), ..right.domain.clone() };
    let strangers = [
        Hello { protocol: 2, ..right.clone() },
        Hello { cluster: Arc::from("other"), ..right.clone() },
        Hello { member: other, ..right.clone() },
        Hello { member: m.me.clone(), domain: domain("m"), ..right.clone() },
        Hello { domain: place, ..right.clone() },
    ];
    for (start, hello) in strangers.iter().enumerate() {
        assert_eq!(Raw::dial(m.address, hello, start as u64).read(), None, "{hello:?}");
    }
    assert_eq!(m.count("peer_stranger"), 5);
    // Those that say nothing hold a bounded number of places, for a bounded time.
    let dumb: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(m.address).unwrap()).collect();
    wait("the bound", || (m.count("peer_no_place") > 0).then_some(()));
    wait("the time", || (m.count("peer_no_hello") > 0).then_some(()));
    drop(dumb);
    exchange(&mut m, &mut good, 1);
    let _raw = wait("a place", || {
        let mut raw = Raw::dial(m.address, &right, 9);
        raw.read().map(|_| raw)
    });
    up(&mut m.copies, &right.member);
}

#[test]
fn a_full_ring_refuses_at_once_and_every_order_taken_is_told() {
    let mut m = Node::new("m", 1, address(), &[], Limits { ring_entries: 4, ..LIMITS });
    let nobody = member("nobody", 1);
    let order =
        |no| LinkCommand::Send { number: no, to: nobody.clone(), lane: Lane::Registers, body: vec![] };
    let mut taken = 0;
    // What is told is not taken, so no more orders are carried out, and their ring fills.
    let back = wait("a full ring", || match m.owner.send(order(taken)) {
        Ok(()) => {
            taken += 1;
            None
        }
        Err(CommandError::QueueFull(order)) => (taken >= 9).then_some(order),
        Err(other) => panic!("{other}"),
    });
    assert_eq!(back, order(taken));
    let long = LinkCommand::Send {
        number: 0,
        to: nobody.clone(),
        lane: Lane::Registers,
        body: vec![0; LIMITS.max_frame_bytes + 1],
    };
    assert!(matches!(m.owner.send(long), Err(CommandError::FrameTooLong { max_bytes: 0x10_0000, .. })));
    for expected in 0..taken {
        let unsent =
            LinkEvent::SendFailed { number: expected, to: nobody.clone(), error: LinkError::NotConnected };
        assert_eq!(wait("an answer", || m.owner.next()), unsent);
    }
}

#[test]
fn rings_are_bounded_in_bytes_too() {
    let at_m = address();
    let small = Limits { max_queued_bytes: 1000, max_frame_bytes: 600, ..LIMITS };
    let mut m = Node::new("m", 1, at_m, &[listed("x", address())], small);
    let from = member("x", 1);
    let mut raw = Raw::alive(at_m, &hello("x", 1), 1);
    up(&mut m.copies, &from);
    for no in 0..10u8 {
        raw.write(Kind::Lane(Lane::Registers), &[no; 600]).unwrap();
    }
    // Room for one frame at a time, of 256 entries: reading waits.
    wait("a full ring", || (m.count("peer_ring_waits") > 0).then_some(()));
    assert!(m.count("peer_frames_in") < 10);
    for no in 0..10u8 {
        assert_eq!(got(&mut m.copies, &from), (Lane::Registers, vec![no; 600]));
    }
}

#[test]
fn what_a_slow_user_has_no_room_for_waits_and_is_not_lost() {
    let mut m = Node::new("m", 1, address(), &[listed("x", address())], Limits { ring_entries: 2, ..LIMITS });
    let (first, third) = (member("x", 1), member("x", 3));
    let mut raw = Raw::alive(m.address, &hello("x", 1), 1);
    for no in 0..100u8 {
        raw.write(Kind::Lane(Lane::Registers), &[no]).unwrap();
    }
    assert_eq!(up(&mut m.copies, &first).member, first);
    wait("a full ring", || (m.count("peer_ring_waits") > 0).then_some(()));
    for no in 0..100u8 {
        assert_eq!(got(&mut m.copies, &first), (Lane::Registers, vec![no]));
    }
    raw.write(Kind::Lane(Lane::Membership), b"1").unwrap();
    raw.write(Kind::Lane(Lane::Membership), b"2").unwrap();
    wait("both frames", || (m.count("peer_frames_in") == 102).then_some(()));
    let _raw = Raw::alive(m.address, &hello("x", 2), 2);
    wait("another life", || (m.count("peer_up") == 2).then_some(()));
    let _raw = Raw::alive(m.address, &hello("x", 3), 3);
    wait("a third life", || (m.count("peer_up") == 3).then_some(()));
    // The owner took nothing so far: it has what fitted, and then what is left of the changes.
    let told: Vec<LinkEvent> = (0..4).map(|_| wait("news", || m.owner.next())).collect();
    assert_eq!(told[0], LinkEvent::LinkUp(hello("x", 1)));
    assert!(matches!(told[1], LinkEvent::MessageReceived { lane: Lane::Membership, .. }));
    assert_eq!(
        told[2..],
        [LinkEvent::LinkDown(first, LinkError::Replaced), LinkEvent::LinkUp(hello("x", 3))]
    );
    assert_eq!(up(&mut m.copies, &third).member, third);
}
