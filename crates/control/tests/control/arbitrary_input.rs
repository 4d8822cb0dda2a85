//! Arbitrary events and bytes from peers: they are counted, and cause neither a panic nor a change of the table.

use crate::network::{hello, member, overlay, parts, Disk, Network};
use basaltgw_control::message::Message;
use basaltgw_control::{Control, ControlParts, ControlRequest, Event, Purge};
use basaltgw_types::link::{Lane, LinkError};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn lane() -> impl Strategy<Value = Lane> {
    prop_oneof![Just(Lane::Membership), Just(Lane::Registers), Just(Lane::Table), Just(Lane::ScatterGather)]
}

/// Arbitrary bytes, messages with arbitrary content, and truncated messages.
fn body() -> impl Strategy<Value = Vec<u8>> {
    let any_bytes = proptest::collection::vec(any::<u8>(), 0..120);
    let small = prop_oneof![0..4u64, any::<u64>()];
    let message = (0..8, small, any_bytes.clone(), 0..200usize).prop_map(|(kind, n, body, cut)| {
        let purge = Purge { group: n, object: Some(n), time: n };
        let message = match kind {
            0 => Message::PurgeSyncRequest,
            1 => Message::PurgeSync { purges: vec![purge; 3], last: n % 2 == 0 },
            2 => Message::TableRequest,
            3 => Message::TableState { serial: n, body },
            4 => Message::TableDurable { term: n },
            5 => Message::OverlayLink { open: n % 2 == 0 },
            6 => Message::OverlayFrame(body),
            _ => Message::ReplicaSynced { term: n },
        };
        let mut bytes = message.encode();
        bytes.truncate(cut);
        bytes
    });
    prop_oneof![any_bytes, message]
}

fn event() -> impl Strategy<Value = Event> {
    let peer = 0..5usize;
    let received = (peer.clone(), lane(), body());
    let received =
        received.prop_map(|(n, lane, body)| Event::MessageReceived { from: member(n), lane, body });
    let purge = |n: u64| Event::Request(ControlRequest::Purge(Purge { group: n, object: None, time: n }));
    prop_oneof![
        8 => received,
        1 => peer.clone().prop_map(|n| Event::LinkUp(hello(n))),
        1 => peer.clone().prop_map(|n| Event::LinkDown(member(n), LinkError::MalformedFrame)),
        1 => peer.clone().prop_map(|n| Event::LinkDown(member(n), LinkError::Idle)),
        1 => peer.prop_map(|n| Event::DialFailed(member(n).router)),
        1 => any::<u64>().prop_map(Event::SendFailed),
        1 => (0..40u64, any::<bool>()).prop_map(|(number, durable)| Event::CommitFinished { number, durable }),
        1 => any::<u64>().prop_map(purge),
        1 => Just(()).prop_map(|()| Event::Request(ControlRequest::Rules { file_name: "r".into(), text: "holds {".into() })),
        2 => Just(()).prop_map(|()| Event::TimersDue),
        2 => Just(()).prop_map(|()| Event::Flush),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn any_events_cause_no_panic(
        events in proptest::collection::vec((event(), 0..2_000u32), 1..60),
        regions in 0..3usize,
        has_persistent_links in any::<bool>(),
    ) {
        let mut actions = Vec::new();
        let mut now = 0.0;
        let parts = ControlParts { overlay: overlay(0, 3, regions, 10_000.0, has_persistent_links, 1), ..parts(0, 3, &BTreeMap::new()) };
        let mut control = Control::new(now, parts, &mut actions);
        for (event, wait) in events {
            now += f64::from(wait);
            actions.clear();
            control.handle(now, event, &mut actions);
            prop_assert!(control.next_timer() > f64::NEG_INFINITY);
        }
    }

    #[test]
    fn arbitrary_messages_leave_the_adopted_table_in_effect(messages in proptest::collection::vec((lane(), body()), 1..40)) {
        let mut net = Network::bootstrapped(Disk::Commits(0.0));
        let table = net.nodes[1].hello.table;
        for (lane, body) in messages {
            net.deliver(1, Event::MessageReceived { from: member(0), lane, body });
            net.step();
        }
        net.run_for(1_000.0);
        prop_assert_eq!(net.nodes[1].hello.table, table);
    }
}

#[test]
fn a_message_that_is_malformed_or_on_a_foreign_lane_is_counted() {
    let mut net = Network::bootstrapped(Disk::Commits(0.0));
    for (lane, body) in
        [(Lane::ScatterGather, Vec::new()), (Lane::Table, vec![255; 9]), (Lane::Membership, vec![255; 9])]
    {
        net.deliver(0, Event::MessageReceived { from: member(1), lane, body });
    }
    assert_eq!(net.nodes[0].control.counts().unreadable, 3);
}
