//! What waits for room in a port's rings.

use crate::outbox::port;
use crate::port::{CommandError, TransportUser};
use crate::{Hello, Lane, Limits, LinkCommand, LinkError, LinkEvent, PROTOCOL_VERSION};
use basaltgw_types::{Domain, Incarnation, Member, RouterId, TableHash, TableVersion};
use std::sync::Arc;

#[test]
fn orders_are_bounded_in_bytes_too() {
    let limits = Limits { max_queued_frames: 1, max_queued_bytes: 10, max_frame_bytes: 6, ring_entries: 9 };
    let (mut port, mut outbox) = port(TransportUser { lanes: vec![], wake: Box::new(|| ()) }, &limits);
    let to = Member { router: RouterId(Arc::from("x")), incarnation: Incarnation(1) };
    let order = || LinkCommand::Send { number: 0, to: to.clone(), lane: Lane::Registers, body: vec![0; 6] };
    assert_eq!((port.send(order()), port.send(order())), (Ok(()), Err(CommandError::QueueFull(order()))));
    assert_eq!(
        (port.send(LinkCommand::Shutdown), outbox.order(), port.send(order())),
        (Ok(()), Some(order()), Ok(()))
    );
}

#[test]
fn a_link_that_came_and_went_without_room_was_never_there() {
    let limits = Limits { max_queued_frames: 1, max_queued_bytes: 1, max_frame_bytes: 1, ring_entries: 1 };
    let (mut port, mut outbox) = port(TransportUser { lanes: vec![], wake: Box::new(|| ()) }, &limits);
    let text: Arc<str> = Arc::from("x");
    let member = Member { router: RouterId(text.clone()), incarnation: Incarnation(1) };
    let hello = |version| Hello {
        protocol: PROTOCOL_VERSION,
        cluster: text.clone(),
        member: member.clone(),
        domain: Domain { branch: text.clone(), machine: text.clone() },
        table: (TableVersion(version), TableHash([0; 32])),
    };
    let down = || LinkEvent::LinkDown(member.clone(), LinkError::ConnectionLost);
    outbox.unsent(1, member.clone(), LinkError::NotConnected);
    outbox.up(&member.router, LinkEvent::LinkUp(hello(1)));
    outbox.down(&member.router, down());
    assert!(port.next().is_some() && outbox.flush() && port.next().is_none());
    // One that was told is told to be gone, also when another table of its was not told yet.
    outbox.up(&member.router, LinkEvent::LinkUp(hello(1)));
    outbox.up(&member.router, LinkEvent::LinkUp(hello(2)));
    outbox.down(&member.router, down());
    assert_eq!((port.next(), outbox.flush()), (Some(LinkEvent::LinkUp(hello(1))), true));
    assert_eq!((port.next(), outbox.flush(), port.next()), (Some(down()), true, None));
}

#[test]
fn that_a_router_is_not_reached_waits_for_room_and_is_void_once_it_is_up() {
    let limits = Limits { max_queued_frames: 1, max_queued_bytes: 1, max_frame_bytes: 1, ring_entries: 1 };
    let (port, mut outbox) = port(TransportUser { lanes: vec![], wake: Box::new(|| ()) }, &limits);
    let text: Arc<str> = Arc::from("x");
    let member = Member { router: RouterId(text.clone()), incarnation: Incarnation(1) };
    let domain = Domain { branch: text.clone(), machine: text.clone() };
    let table = (TableVersion(1), TableHash([0; 32]));
    let hello = Hello { protocol: PROTOCOL_VERSION, cluster: text, member: member.clone(), domain, table };
    let (router, other) = (member.router.clone(), RouterId(Arc::from("y")));
    for _ in 0..3 {
        outbox.unreached(&other);
        outbox.unreached(&router);
    }
    outbox.up(&router, LinkEvent::LinkUp(hello.clone()));
    outbox.down(&router, LinkEvent::LinkDown(member.clone(), LinkError::ConnectionLost));
    outbox.up(&router, LinkEvent::LinkUp(hello.clone()));
    let mut all = Vec::new();
    for told in port {
        all.push(told);
        outbox.flush();
    }
    // One of the other is in the ring, one waits; of what came before the link nothing is told.
    let gone = || LinkEvent::DialFailed(other.clone());
    assert_eq!(all, [gone(), LinkEvent::LinkUp(hello), gone()]);
}
