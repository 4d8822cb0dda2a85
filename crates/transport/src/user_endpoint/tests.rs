use super::*;
use crate::port::CommandError;
use crate::{Hello, PROTOCOL_VERSION};
use basaltgw_types::{Domain, Incarnation, TableHash, TableVersion};

fn user() -> TransportUser {
    TransportUser { lanes: vec![], wake: Box::new(|| ()) }
}

#[test]
fn commands_are_bounded_in_bytes() {
    let limits = Limits { max_queued_frames: 1, max_queued_bytes: 10, max_frame_bytes: 6, ring_entries: 9 };
    let PortPair { mut port, mut endpoint } = create_port(user(), &limits);
    let to = Member { router: RouterId(Arc::from("x")), incarnation: Incarnation(1) };
    let command = || LinkCommand::Send { number: 0, to: to.clone(), lane: Lane::Registers, body: vec![0; 6] };
    assert_eq!(
        (port.send(command()), port.send(command())),
        (Ok(()), Err(CommandError::QueueFull(command())))
    );
    assert_eq!(
        (port.send(LinkCommand::Shutdown), endpoint.next_command(), port.send(command())),
        (Ok(()), Some(command()), Ok(()))
    );
}

#[test]
fn a_link_that_went_down_before_it_was_reported_is_not_reported() {
    let limits = Limits { max_queued_frames: 1, max_queued_bytes: 1, max_frame_bytes: 1, ring_entries: 1 };
    let PortPair { mut port, mut endpoint } = create_port(user(), &limits);
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
    endpoint.send_failed(1, member.clone(), LinkError::NotConnected);
    endpoint.link_up(&member.router, LinkEvent::LinkUp(hello(1)));
    endpoint.link_down(&member.router, down());
    assert!(port.next().is_some() && endpoint.flush() && port.next().is_none());
    // A reported link is reported as down, even while its new table waits for capacity.
    endpoint.link_up(&member.router, LinkEvent::LinkUp(hello(1)));
    endpoint.link_up(&member.router, LinkEvent::LinkUp(hello(2)));
    endpoint.link_down(&member.router, down());
    assert_eq!((port.next(), endpoint.flush()), (Some(LinkEvent::LinkUp(hello(1))), true));
    assert_eq!((port.next(), endpoint.flush(), port.next()), (Some(down()), true, None));
}

#[test]
fn a_failed_dial_waits_for_capacity_and_is_dropped_once_the_link_is_up() {
    let limits = Limits { max_queued_frames: 1, max_queued_bytes: 1, max_frame_bytes: 1, ring_entries: 1 };
    let PortPair { port, mut endpoint } = create_port(user(), &limits);
    let text: Arc<str> = Arc::from("x");
    let member = Member { router: RouterId(text.clone()), incarnation: Incarnation(1) };
    let domain = Domain { branch: text.clone(), machine: text.clone() };
    let table = (TableVersion(1), TableHash([0; 32]));
    let hello = Hello { protocol: PROTOCOL_VERSION, cluster: text, member: member.clone(), domain, table };
    let (router, other) = (member.router.clone(), RouterId(Arc::from("y")));
    for _ in 0..3 {
        endpoint.dial_failed(&other);
        endpoint.dial_failed(&router);
    }
    endpoint.link_up(&router, LinkEvent::LinkUp(hello.clone()));
    endpoint.link_down(&router, LinkEvent::LinkDown(member.clone(), LinkError::ConnectionLost));
    endpoint.link_up(&router, LinkEvent::LinkUp(hello.clone()));
    let mut all = Vec::new();
    for event in port {
        all.push(event);
        endpoint.flush();
    }
    // One failure of the other router is in the ring, and one waits; those before the link are dropped.
    let dial_failed = || LinkEvent::DialFailed(other.clone());
    assert_eq!(all, [dial_failed(), LinkEvent::LinkUp(hello), dial_failed()]);
}
