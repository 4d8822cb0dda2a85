//! Links between correct routers: dials, frames, tables, incarnations, addresses, shutdown.

use crate::common::*;
use basaltgw_transport::frames::Kind;
use basaltgw_transport::{CommandError, Lane, LinkCommand, LinkError, LinkEvent, Settings};
use basaltgw_types::{TableHash, TableVersion};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[test]
fn both_routers_dial_and_one_link_carries_all_lanes() {
    let (at_a, at_b) = (address(), address());
    let mut a = Node::new("a", 1, at_a, &[listed("b", at_b)], LIMITS);
    let mut b = Node::new("b", 2, at_b, &[listed("a", at_a)], LIMITS);
    for port in [&mut a.owner, &mut a.control] {
        assert_eq!(wait_for_link_up(port, &b.me), hello("b", 2));
    }
    for port in [&mut b.owner, &mut b.control] {
        assert_eq!(wait_for_link_up(port, &a.me), hello("a", 1));
    }
    for number in 0..50u64 {
        for (lane, length) in
            [(Lane::ScatterGather, 10), (Lane::Membership, 0), (Lane::Registers, 100), (Lane::Table, 50_000)]
        {
            send(&mut a.owner, number, &b.me, lane, &vec![number as u8; length]);
            send(&mut b.control, number, &a.me, lane, &vec![number as u8; length]);
        }
    }
    // Each user receives its lanes, each lane in order, and no link went down.
    for (node, from) in [(&mut a, &member("b", 2)), (&mut b, &member("a", 1))] {
        for (port, lanes) in [
            (&mut node.owner, [(Lane::ScatterGather, 10), (Lane::Membership, 0), (Lane::Membership, 0)]),
            (&mut node.control, [(Lane::Registers, 100), (Lane::Membership, 0), (Lane::Table, 50_000)]),
        ] {
            let mut next = [0; 4];
            let total = if lanes[1] == lanes[2] { 100 } else { 150 };
            for _ in 0..total {
                let (lane, body) = wait_for_event(port, "a frame", |t| match t {
                    LinkEvent::MessageReceived { from: f, lane, body } if f == from => {
                        Some((*lane, body.clone()))
                    }
                    other => panic!("{other:?}"),
                });
                let (_, length) = lanes.iter().find(|(l, _)| *l == lane).unwrap();
                assert_eq!(body, vec![next[lane as usize]; *length]);
                next[lane as usize] += 1;
            }
        }
    }
    assert_eq!((a.count("peer_up"), b.count("peer_up")), (1, 1));
}

#[test]
fn a_changed_table_is_reported_as_link_up() {
    let at_a = address();
    let mut a = Node::new("a", 1, at_a, &[listed("b", address())], LIMITS);
    let mut b = Node::new("b", 2, address(), &[listed("a", at_a)], LIMITS);
    wait_for_link_up(&mut a.owner, &b.me);
    wait_for_link_up(&mut b.control, &a.me);
    let table = (TableVersion(2), TableHash([9; 32]));
    a.control.send(LinkCommand::AdvertiseTable(table.0, table.1)).unwrap();
    assert_eq!(wait_for_link_up(&mut b.control, &a.me).table, table);
}

#[test]
fn another_incarnation_replaces_the_link() {
    let mut a = Node::new("a", 1, address(), &[listed("z", address())], LIMITS);
    let (first, second) = (member("z", 1), member("z", 2));
    let mut old = Raw::link_with_keepalives(a.address, &hello("z", 1), 1);
    wait_for_link_up(&mut a.owner, &first);
    // A second connection of the same session is closed without a frame.
    assert_eq!(Raw::dial(a.address, &hello("z", 1), 1).read(), None);
    assert_eq!(a.count("peer_second"), 1);
    let mut new = Raw::link_with_keepalives(a.address, &hello("z", 2), 2);
    assert_eq!(wait_for_link_down(&mut a.owner, &first), LinkError::Replaced);
    wait_for_link_up(&mut a.owner, &second);
    wait("the old connection to be closed", || old.read().is_none().then_some(()));
    // Frames for the old incarnation do not reach the new one.
    send(&mut a.owner, 1, &first, Lane::Registers, b"old");
    send(&mut a.owner, 2, &second, Lane::Registers, b"new");
    let failed = wait_for_event(&mut a.owner, "a failed send", |t| {
        matches!(t, LinkEvent::SendFailed { .. }).then(|| t.clone())
    });
    assert_eq!(failed, LinkEvent::SendFailed { number: 1, to: first, error: LinkError::NotConnected });
    let frame = wait("a frame", || new.read().filter(|f| f.kind != Kind::Alive));
    assert_eq!((frame.kind, &frame.body[..]), (Kind::Lane(Lane::Registers), &b"new"[..]));
}

#[test]
fn shutdown_writes_queued_frames_and_a_router_returns_at_another_address() {
    let at_a = address();
    let mut a = Node::new("a", 1, at_a, &[listed("b", address())], LIMITS);
    let mut b = Node::new("b", 2, address(), &[listed("a", at_a)], LIMITS);
    wait_for_link_up(&mut a.control, &b.me);
    wait_for_link_up(&mut b.control, &a.me);
    for number in 0..50 {
        send(&mut b.control, number, &a.me, Lane::Registers, &[number as u8; 1000]);
    }
    b.control.send(LinkCommand::Shutdown).unwrap();
    for number in 0..50 {
        assert_eq!(receive(&mut a.control, &b.me), (Lane::Registers, vec![number; 1000]));
    }
    wait_for_link_down(&mut a.control, &b.me);
    wait("the transport's thread to end", || b.handle.has_ended().then_some(()));
    assert!(
        b.owner.has_ended()
            && matches!(b.owner.send(LinkCommand::Shutdown), Err(CommandError::Ended(LinkCommand::Shutdown)))
    );
    assert_eq!(b.handle.join(), Ok(()));
    let b = Node::new("b", 2, address(), &[listed("a", at_a)], LIMITS);
    wait_for_link_up(&mut a.control, &b.me);
}

#[test]
fn a_dropped_port_shuts_down_and_a_panic_is_returned_by_join() {
    let a = Node::new("a", 1, address(), &[], LIMITS);
    drop(a.owner);
    assert_eq!(a.handle.join(), Ok(()));
    let first = Arc::new(AtomicBool::new(true));
    let users = [[Lane::ScatterGather, Lane::Membership], [Lane::Registers, Lane::Table]].map(|lanes| {
        basaltgw_transport::TransportUser {
            lanes: lanes.to_vec(),
            wake: {
                let first = first.clone();
                Box::new(move || assert!(!first.swap(false, Ordering::SeqCst), "woken"))
            },
        }
    });
    let links =
        basaltgw_transport::start(hello("a", 1), address(), vec![], (LIMITS, Settings::default()), 1, users)
            .unwrap();
    let (mut one, two, handle) = links.split();
    send(&mut one, 1, &member("b", 1), Lane::Registers, b"");
    wait("the transport's thread to end", || two.has_ended().then_some(()));
    assert_eq!(handle.join().unwrap_err().0, "woken");
}
