//! What waits for room in a port's rings.

use crate::outbox::port;
use crate::port::{Refused, User};
use crate::{Hello, Lane, Limits, Order, Told, Why, PROTOCOL};
use basaltgw_types::{Domain, Incarnation, Member, RouterId, TableHash, TableVersion};
use std::sync::Arc;

#[test]
fn orders_are_bounded_in_bytes_too() {
    let limits = Limits { frames: 1, bytes: 10, frame: 6, ring: 9 };
    let (mut port, mut outbox) = port(User { lanes: vec![], wake: Box::new(|| ()) }, &limits);
    let to = Member { router: RouterId(Arc::from("x")), incarnation: Incarnation(1) };
    let order = || Order::Send { no: 0, to: to.clone(), lane: Lane::Holds, body: vec![0; 6] };
    assert_eq!((port.send(order()), port.send(order())), (Ok(()), Err(Refused::Full(order()))));
    assert_eq!((port.send(Order::End), outbox.order(), port.send(order())), (Ok(()), Some(order()), Ok(())));
}

#[test]
fn a_link_that_came_and_went_without_room_was_never_there() {
    let limits = Limits { frames: 1, bytes: 1, frame: 1, ring: 1 };
    let (mut port, mut outbox) = port(User { lanes: vec![], wake: Box::new(|| ()) }, &limits);
    let text: Arc<str> = Arc::from("x");
    let member = Member { router: RouterId(text.clone()), incarnation: Incarnation(1) };
    let hello = |version| Hello {
        protocol: PROTOCOL,
        cluster: text.clone(),
        member: member.clone(),
        domain: Domain { branch: text.clone(), machine: text.clone() },
        table: (TableVersion(version), TableHash([0; 32])),
    };
    let down = || Told::Down(member.clone(), Why::Broken);
    outbox.unsent(1, member.clone(), Why::NoLink);
    outbox.up(&member.router, Told::Up(hello(1)));
    outbox.down(&member.router, down());
    assert!(port.next().is_some() && outbox.flush() && port.next().is_none());
    // One that was told is told to be gone, also when another table of its was not told yet.
    outbox.up(&member.router, Told::Up(hello(1)));
    outbox.up(&member.router, Told::Up(hello(2)));
    outbox.down(&member.router, down());
    assert_eq!((port.next(), outbox.flush()), (Some(Told::Up(hello(1))), true));
    assert_eq!((port.next(), outbox.flush(), port.next()), (Some(down()), true, None));
}

#[test]
fn that_a_router_is_not_reached_waits_for_room_and_is_void_once_it_is_up() {
    let limits = Limits { frames: 1, bytes: 1, frame: 1, ring: 1 };
    let (port, mut outbox) = port(User { lanes: vec![], wake: Box::new(|| ()) }, &limits);
    let text: Arc<str> = Arc::from("x");
    let member = Member { router: RouterId(text.clone()), incarnation: Incarnation(1) };
    let domain = Domain { branch: text.clone(), machine: text.clone() };
    let table = (TableVersion(1), TableHash([0; 32]));
    let hello = Hello { protocol: PROTOCOL, cluster: text, member: member.clone(), domain, table };
    let (router, other) = (member.router.clone(), RouterId(Arc::from("y")));
    for _ in 0..3 {
        outbox.unreached(&other);
        outbox.unreached(&router);
    }
    outbox.up(&router, Told::Up(hello.clone()));
    outbox.down(&router, Told::Down(member.clone(), Why::Broken));
    outbox.up(&router, Told::Up(hello.clone()));
    let mut all = Vec::new();
    for told in port {
        all.push(told);
        outbox.flush();
    }
    // One of the other is in the ring, one waits; of what came before the link nothing is told.
    let gone = || Told::Unreached(other.clone());
    assert_eq!(all, [gone(), Told::Up(hello), gone()]);
}
