//! Faulty peers and slow users: each affects only its own link.

use crate::common::*;
use basaltgw_transport::frames::Kind;
use basaltgw_transport::{CommandError, Hello, Lane, Limits, LinkCommand, LinkError, LinkEvent};
use basaltgw_types::{Domain, Member, RouterId};
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::Arc;

/// A router m, and a correct peer.
fn pair(others: &[&str]) -> (Node, Node) {
    let at_m = address();
    let mut peers = vec![listed("good", address())];
    peers.extend(others.iter().map(|name| listed(name, address())));
    let mut m = Node::new("m", 1, at_m, &peers, LIMITS);
    let mut good = Node::new("good", 1, address(), &[listed("m", at_m)], LIMITS);
    wait_for_link_up(&mut m.control, &good.me);
    wait_for_link_up(&mut good.control, &m.me);
    (m, good)
}

/// Sends a frame from the correct peer to m; its link must not go down.
fn exchange(m: &mut Node, good: &mut Node, number: u64) {
    send(&mut good.control, number, &m.me, Lane::Registers, &number.to_be_bytes());
    wait_for_event(&mut m.control, "a frame of the correct peer", |t| match t {
        LinkEvent::MessageReceived { from, body, .. } if *from == good.me => {
            assert_eq!(body[..], number.to_be_bytes());
            Some(())
        }
        LinkEvent::LinkDown(member, error) if *member == good.me => panic!("{error:?}"),
        LinkEvent::LinkUp(_) | LinkEvent::LinkDown(..) | LinkEvent::DialFailed(_) => None,
        LinkEvent::MessageReceived { .. } | LinkEvent::SendFailed { .. } => None,
    });
}

/// Waits until m's link to the faulty peer is down, while the correct one continues; returns the cause and the owner's events.
fn wait_for_link_down_beside(m: &mut Node, good: &mut Node, bad: &Member) -> (LinkError, Vec<LinkEvent>) {
    let (mut number, mut others) = (0, vec![]);
    let error = wait("the faulty peer's link to be down", || {
        exchange(m, good, number);
        number += 1;
        let mut error = None;
        others.extend(m.owner.by_ref().inspect(|t| {
            if let LinkEvent::LinkDown(member, w) = t {
                error = (member == bad).then_some(*w).or(error);
            }
        }));
        error
    });
    (0..10).for_each(|n| exchange(m, good, number + n));
    (error, others)
}

#[test]
fn malformed_silent_and_flooding_peers_lose_only_their_own_link() {
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
        ("a malformed table", bytes(Kind::Table, &[1, 2]).to_vec(), LinkError::MalformedFrame),
        ("keepalives", bytes(Kind::Alive, &[]).repeat(300), LinkError::RateExceeded),
        ("nothing", vec![], LinkError::PeerTimeout),
        ("half a header", frame[..5].to_vec(), LinkError::PeerTimeout),
        ("half a body", frame[..12].to_vec(), LinkError::PeerTimeout),
    ];
    for (session_id, (what, bytes, expected)) in sent.into_iter().enumerate() {
        let mut raw = Raw::link(m.address, &hello("x", 1), session_id as u64);
        // The connection may be closed before everything is written.
        let _ = std::io::Write::write_all(&mut raw.stream, &bytes);
        let (error, _) = wait_for_link_down_beside(&mut m, &mut good, &bad);
        assert_eq!(error, expected, "{what}");
        wait("the faulty peer's connection to be closed", || raw.read().is_none().then_some(()));
    }
    let counts = ["peer_garbled", "peer_flooded", "peer_silent", "peer_broken"].map(|name| m.count(name));
    assert_eq!(counts, [5, 1, 3, 0]);
}

#[test]
fn a_peer_that_does_not_read_fills_only_its_own_queues_and_every_frame_is_accounted_for() {
    let (mut m, mut good) = pair(&["x"]);
    let bad = member("x", 1);
    let mut raw = Raw::link_with_keepalives(m.address, &hello("x", 1), 1);
    wait_for_link_up(&mut m.owner, &bad);
    for number in 0..100 {
        send(&mut m.owner, number, &bad, Lane::Registers, &[0; 256 * 1024]);
    }
    let (error, events) = wait_for_link_down_beside(&mut m, &mut good, &bad);
    assert_eq!(error, LinkError::PeerTimeout);
    let mut failed = BTreeMap::new();
    let mut record = |event: &LinkEvent| {
        if let LinkEvent::SendFailed { number, error, .. } = event {
            assert_eq!(failed.insert(*number, *error), None, "the failed send was reported twice");
        }
        failed.len() as u64
    };
    events.iter().for_each(|t| _ = record(t));
    let written = m.count("peer_frames_out");
    wait("all failed sends", || {
        m.owner
            .by_ref()
            .map(|t| record(&t))
            .last()
            .or(Some(record(&LinkEvent::LinkDown(bad.clone(), error))))
            .filter(|n| n + written == 100)
    });
    assert!(
        failed.values().any(|error| *error == LinkError::QueueFull)
            && failed.values().any(|error| *error == LinkError::PeerTimeout)
    );
    assert_eq!(
        failed.values().filter(|error| **error == LinkError::ConnectionLost).count(),
        1,
        "only the frame whose write had begun"
    );
    while raw.read().is_some() {}
}

#[test]
fn membership_frames_overtake_queued_frames_of_lower_lanes() {
    let (mut m, _good) = pair(&["x"]);
    let bad = member("x", 1);
    let mut raw = Raw::link_with_keepalives(m.address, &hello("x", 1), 1);
    wait_for_link_up(&mut m.owner, &bad);
    for number in 0..100 {
        send(&mut m.owner, number, &bad, Lane::ScatterGather, &[0; 256 * 1024]);
    }
    // The queue is full, so at least 4 MiB wait.
    wait_for_event(&mut m.owner, "a full lane", |t| {
        matches!(t, LinkEvent::SendFailed { error: LinkError::QueueFull, .. }).then_some(())
    });
    send(&mut m.control, 200, &bad, Lane::Membership, b"an event");
    let mut after = None;
    wait("scatter-gather frames after the membership frame", || {
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
fn unlisted_and_mismatched_peers_are_closed_without_a_hello() {
    let (mut m, mut good) = pair(&["x"]);
    let valid = hello("x", 1);
    let other = Member { router: RouterId(Arc::from("nobody")), ..valid.member.clone() };
    let other_domain = Domain { machine: Arc::from("elsewhere"), ..valid.domain.clone() };
    let rejected = [
        Hello { protocol: 2, ..valid.clone() },
        Hello { cluster: Arc::from("other"), ..valid.clone() },
        Hello { member: other, ..valid.clone() },
        Hello { member: m.me.clone(), domain: domain("m"), ..valid.clone() },
        Hello { domain: other_domain, ..valid.clone() },
    ];
    for (session_id, hello) in rejected.iter().enumerate() {
        assert_eq!(Raw::dial(m.address, hello, session_id as u64).read(), None, "{hello:?}");
    }
    assert_eq!(m.count("peer_stranger"), 5);
    // Silent connections occupy a bounded number of slots, for a bounded time.
    let silent: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(m.address).unwrap()).collect();
    wait("a rejected connection", || (m.count("peer_no_place") > 0).then_some(()));
    wait("a handshake timeout", || (m.count("peer_no_hello") > 0).then_some(()));
    drop(silent);
    exchange(&mut m, &mut good, 1);
    let _raw = wait("a free connection slot", || {
        let mut raw = Raw::dial(m.address, &valid, 9);
        raw.read().map(|_| raw)
    });
    wait_for_link_up(&mut m.control, &valid.member);
}

#[test]
fn a_full_ring_rejects_at_once_and_every_accepted_command_is_answered() {
    let mut m = Node::new("m", 1, address(), &[], Limits { ring_entries: 4, ..LIMITS });
    let nobody = member("nobody", 1);
    let command =
        |number| LinkCommand::Send { number, to: nobody.clone(), lane: Lane::Registers, body: vec![] };
    let mut accepted = 0;
    // The events are not read, so no more commands are executed, and the ring of commands fills.
    let rejected = wait("a full ring", || match m.owner.send(command(accepted)) {
        Ok(()) => {
            accepted += 1;
            None
        }
        Err(CommandError::QueueFull(command)) => (accepted >= 9).then_some(command),
        Err(other) => panic!("{other}"),
    });
    assert_eq!(rejected, command(accepted));
    let long = LinkCommand::Send {
        number: 0,
        to: nobody.clone(),
        lane: Lane::Registers,
        body: vec![0; LIMITS.max_frame_bytes + 1],
    };
    assert!(matches!(m.owner.send(long), Err(CommandError::FrameTooLong { max_bytes: 0x10_0000, .. })));
    for expected in 0..accepted {
        let failed =
            LinkEvent::SendFailed { number: expected, to: nobody.clone(), error: LinkError::NotConnected };
        assert_eq!(wait("a response", || m.owner.next()), failed);
    }
}

#[test]
fn reading_waits_while_a_ring_is_full_in_bytes() {
    let at_m = address();
    let small = Limits { max_queued_bytes: 1000, max_frame_bytes: 600, ..LIMITS };
    let mut m = Node::new("m", 1, at_m, &[listed("x", address())], small);
    let from = member("x", 1);
    let mut raw = Raw::link_with_keepalives(at_m, &hello("x", 1), 1);
    wait_for_link_up(&mut m.control, &from);
    for number in 0..10u8 {
        raw.write(Kind::Lane(Lane::Registers), &[number; 600]).unwrap();
    }
    // The ring has 256 entries, but its limit in bytes admits one frame at a time, so reading waits.
    wait("a full ring", || (m.count("peer_ring_waits") > 0).then_some(()));
    assert!(m.count("peer_frames_in") < 10);
    for number in 0..10u8 {
        assert_eq!(receive(&mut m.control, &from), (Lane::Registers, vec![number; 600]));
    }
}

#[test]
fn events_of_a_slow_user_wait_and_are_coalesced_without_loss() {
    let mut m = Node::new("m", 1, address(), &[listed("x", address())], Limits { ring_entries: 2, ..LIMITS });
    let (first, third) = (member("x", 1), member("x", 3));
    let mut raw = Raw::link_with_keepalives(m.address, &hello("x", 1), 1);
    for number in 0..100u8 {
        raw.write(Kind::Lane(Lane::Registers), &[number]).unwrap();
    }
    assert_eq!(wait_for_link_up(&mut m.control, &first).member, first);
    wait("a full ring", || (m.count("peer_ring_waits") > 0).then_some(()));
    for number in 0..100u8 {
        assert_eq!(receive(&mut m.control, &first), (Lane::Registers, vec![number]));
    }
    raw.write(Kind::Lane(Lane::Membership), b"1").unwrap();
    raw.write(Kind::Lane(Lane::Membership), b"2").unwrap();
    wait("both frames", || (m.count("peer_frames_in") == 102).then_some(()));
    let _raw = Raw::link_with_keepalives(m.address, &hello("x", 2), 2);
    wait("another incarnation", || (m.count("peer_up") == 2).then_some(()));
    let _raw = Raw::link_with_keepalives(m.address, &hello("x", 3), 3);
    wait("a third incarnation", || (m.count("peer_up") == 3).then_some(()));
    // The owner has read no event so far: it gets the events that fitted the ring, and then the coalesced changes.
    let events: Vec<LinkEvent> = (0..4).map(|_| wait("an event", || m.owner.next())).collect();
    assert_eq!(events[0], LinkEvent::LinkUp(hello("x", 1)));
    assert!(matches!(events[1], LinkEvent::MessageReceived { lane: Lane::Membership, .. }));
    assert_eq!(
        events[2..],
        [LinkEvent::LinkDown(first, LinkError::Replaced), LinkEvent::LinkUp(hello("x", 3))]
    );
    assert_eq!(wait_for_link_up(&mut m.control, &third).member, third);
}
