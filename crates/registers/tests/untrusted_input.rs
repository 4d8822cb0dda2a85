//! Messages, stored records, settings and maps from outside: invalid ones are rejected without a panic.

mod net;

use basaltgw_registers::{
    Action, Change, DiskRecord, Event, OpenError, Registers, RequestNumber, Response, Settings,
    UnavailableReason,
};
use basaltgw_types::{Member, QuorumGroup, ReplicaSet, ShardMap};
use net::{execution, map, member, Net};
use proptest::prelude::*;
use std::sync::Arc;

fn members() -> Vec<Member> {
    (0..3).map(|r| member(r, 1 + r as u128)).collect()
}

const NO_RECORDS: [DiskRecord; 0] = [];

fn open(member: usize, settings: Settings) -> Registers {
    Registers::new(members()[member].clone(), settings, NO_RECORDS, 1).expect("valid settings")
}

fn shard_map(epoch: u64) -> Event {
    Event::ShardMap(Arc::new(map(epoch, 1, 3, &members())))
}

fn acquire() -> Event {
    let change = Change::Acquire(members()[0].clone());
    Event::Request { number: RequestNumber(1), key: execution(1), change, timeout: 100.0 }
}

/// Returns a router with a shard map and an open request, and the request's messages.
fn router_with_open_request() -> (Registers, Vec<(Member, Vec<u8>)>) {
    let mut registers = open(0, Settings::standard());
    let mut actions = Vec::new();
    registers.handle(0.0, shard_map(1), &mut actions);
    registers.handle(0.0, Event::BatchStored(1, true), &mut actions);
    registers.handle(0.0, acquire(), &mut actions);
    let sent = actions.into_iter().filter_map(|action| match action {
        Action::Send(_, to, bytes) => Some((to, bytes)),
        _ => None,
    });
    (registers, sent.collect())
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_dropped_and_counted(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let (mut registers, _) = router_with_open_request();
        let mut actions = Vec::new();
        registers.handle(1.0, Event::MessageReceived(members()[1].clone(), bytes), &mut actions);
        let counters = registers.counters();
        prop_assert_eq!(counters.malformed_messages + counters.misaddressed_messages, 1);
        prop_assert!(actions.is_empty());
    }

    #[test]
    fn a_truncated_or_corrupted_message_never_causes_a_response(position in 0usize..200, flip in any::<u8>(), corrupt in any::<bool>()) {
        let (_, sent) = router_with_open_request();
        let (to, bytes) = &sent[0];
        let mut bytes = bytes.clone();
        let at = position % bytes.len();
        match corrupt {
            true => bytes[at] ^= flip,
            false => bytes.truncate(at),
        }
        let (mut other, _) = router_with_open_request();
        let mut actions = Vec::new();
        other.handle(1.0, Event::MessageReceived(members()[0].clone(), bytes), &mut actions);
        prop_assert!(!actions.iter().any(|action| matches!(action, Action::Respond(..))), "{} {:?}", to, actions);
    }
}

fn sent_number(action: &Action) -> Option<u64> {
    match action {
        Action::Send(number, ..) => Some(*number),
        _ => None,
    }
}

/// The records on a router's disk after a committed request.
fn records() -> Vec<(Vec<u8>, Vec<u8>)> {
    let mut net = Net::new(3, 1, 3, 1);
    let me = net.nodes[0].me.clone();
    net.call(0, execution(1), Change::Acquire(me));
    net.run(10.0);
    net.nodes[0].disk.clone().into_iter().collect()
}

#[test]
fn records_of_another_member_another_version_or_truncated_are_rejected_with_their_error() {
    let open = |me: &Member, records: Vec<(Vec<u8>, Vec<u8>)>| {
        Registers::new(me.clone(), Settings::standard(), records, 1).map(|_| ())
    };
    let me = members()[0].clone();
    assert_eq!(records().len(), 2);
    assert_eq!(open(&me, records()), Ok(()));
    let other = member(0, 99);
    assert_eq!(open(&other, records()), Err(OpenError::Foreign { found: me.clone(), expected: other }));
    for i in 0..2 {
        let mut truncated = records();
        truncated[i].1.pop();
        assert!(matches!(open(&me, truncated), Err(OpenError::Record { .. })));
        let mut other_version = records();
        other_version[i].1[0] += 1;
        assert!(
            open(&me, other_version).is_err_and(|e| e.to_string().contains("version 2, expected version 1"))
        );
    }
    assert_eq!(open(&me, records().split_off(1)), Err(OpenError::NoMeta));
}

#[test]
fn a_setting_out_of_range_is_named_in_the_error() {
    assert_eq!(Settings::standard().check(), Ok(()));
    let invalid = [
        (Settings { max_attempts: 0, ..Settings::standard() }, "max_attempts"),
        (Settings { retransmit_interval_ms: f64::NAN, ..Settings::standard() }, "retransmit_interval_ms"),
        (Settings { tombstone_retention_ms: -1.0, ..Settings::standard() }, "tombstone_retention_ms"),
        (Settings { max_retry_after_ms: 1.0, ..Settings::standard() }, "max_retry_after_ms"),
    ];
    for (settings, field) in invalid {
        assert!(Registers::new(members()[0].clone(), settings, NO_RECORDS, 1)
            .is_err_and(|e| e.to_string().contains(field)));
    }
}

#[test]
fn a_map_without_intersecting_quorums_or_of_an_earlier_epoch_is_dropped() {
    let (mut registers, _) = router_with_open_request();
    let duplicate = vec![members()[0].clone(), members()[0].clone(), members()[1].clone()];
    let invalid = [
        QuorumGroup { members: members(), quorum: 1 },
        QuorumGroup { members: members(), quorum: 4 },
        QuorumGroup { members: duplicate, quorum: 2 },
        QuorumGroup { members: Vec::new(), quorum: 0 },
    ];
    for group in invalid {
        let shards = vec![ReplicaSet { groups: vec![group] }];
        let map = ShardMap { shards, ..map(2, 1, 3, &members()) };
        registers.handle(1.0, Event::ShardMap(Arc::new(map)), &mut Vec::new());
    }
    assert_eq!((registers.counters().invalid_maps, registers.epoch()), (4, 1));
    registers.handle(1.0, shard_map(3), &mut Vec::new());
    registers.handle(1.0, shard_map(2), &mut Vec::new());
    assert_eq!((registers.counters().stale_maps, registers.epoch()), (1, 3));
}

#[test]
fn a_restarted_replica_rejects_maps_of_earlier_epochs() {
    let mut net = Net::new(3, 1, 3, 1);
    let first = net.map.clone();
    net.publish_map(map(5, 1, 3, &members()), 1.0);
    net.run(20.0);
    net.kill(0);
    net.map = first;
    net.start(0);
    assert_eq!(net.nodes[0].registers.as_ref().map(Registers::epoch), Some(0));
    let me = members()[0].clone();
    let response = net.call(0, execution(1), Change::Acquire(me));
    assert!(matches!(
        response,
        Response::Unavailable { not_executed: true, reason: UnavailableReason::NoPlacement, .. }
    ));
}

#[test]
fn a_request_whose_messages_were_not_written_fails_immediately_and_is_not_executed() {
    let mut registers = open(0, Settings::standard());
    let mut actions = Vec::new();
    registers.handle(0.0, shard_map(1), &mut actions);
    registers.handle(0.0, acquire(), &mut actions);
    assert!(
        !actions.iter().any(|action| matches!(action, Action::Send(..))),
        "a ballot was sent before the run's number was durable"
    );
    registers.handle(0.0, Event::BatchStored(1, true), &mut actions);
    let sent: Vec<u64> = actions.iter().filter_map(sent_number).collect();
    assert_eq!(sent.len(), 2);
    actions.clear();
    sent.iter().for_each(|number| registers.handle(0.0, Event::SendFailed(*number), &mut actions));
    let unavailable = |action: &Action| {
        matches!(
            action,
            Action::Respond(
                _,
                _,
                Response::Unavailable { not_executed: true, reason: UnavailableReason::NoQuorum, .. }
            )
        )
    };
    assert!(actions.iter().any(unavailable), "{actions:?}");
}

#[test]
fn requests_beyond_the_limits_fail_as_resource_exhausted() {
    let mut net = Net::new(3, 1, 3, 1);
    net.settings = Settings { max_registers: 2, max_open_requests: 3, ..net.settings.clone() };
    (0..3).for_each(|r| {
        net.kill(r);
        net.start(r);
    });
    net.run(10.0);
    let me = members()[0].clone();
    let acquired: Vec<Response> =
        (0..3).map(|n| net.call(0, execution(n), Change::Acquire(me.clone()))).collect();
    assert!(matches!(acquired[1], Response::Committed(_)));
    assert!(matches!(
        acquired[2],
        Response::Unavailable { not_executed: true, reason: UnavailableReason::ResourceExhausted, .. }
    ));
    let numbers: Vec<u64> = (0..4).map(|n| net.request(0, execution(n), Change::Read, 100.0)).collect();
    let fourth = net.response(numbers[3]).cloned();
    assert!(matches!(
        fourth,
        Some(Response::Unavailable { not_executed: true, reason: UnavailableReason::ResourceExhausted, .. })
    ));
}

#[test]
fn a_removed_register_still_rejects_ballots_below_its_promise() {
    let (_, sent) = router_with_open_request();
    let settings = Settings { tombstone_retention_ms: 10.0, ..Settings::standard() };
    let mut replica = open(1, settings);
    let mut actions = Vec::new();
    replica.handle(0.0, shard_map(1), &mut actions);
    replica.handle(0.0, Event::BatchStored(1, true), &mut actions);
    let message = || Event::MessageReceived(members()[0].clone(), sent[0].1.clone());
    replica.handle(0.0, message(), &mut actions);
    assert_eq!(replica.size().0, 1);
    replica.handle(1_000.0, Event::BatchStored(2, true), &mut actions);
    replica.handle(1_000.0, Event::Timer(0), &mut actions);
    assert_eq!(replica.size().0, 0);
    // A delayed copy of the same message is rejected, and creates no register.
    replica.handle(1_000.0, message(), &mut actions);
    assert_eq!(replica.size().0, 0);
}

#[test]
fn two_runs_never_use_the_same_ballot() {
    let first_message = |records: Vec<(Vec<u8>, Vec<u8>)>| {
        let mut registers = Registers::new(members()[0].clone(), Settings::standard(), records, 1)
            .expect("records that this member wrote are valid");
        let mut actions = Vec::new();
        registers.handle(0.0, shard_map(1), &mut actions);
        registers.handle(0.0, Event::BatchStored(1, true), &mut actions);
        registers.handle(
            0.0,
            Event::Request {
                number: RequestNumber(1),
                key: execution(9),
                change: Change::Read,
                timeout: 9.0,
            },
            &mut actions,
        );
        actions.into_iter().find_map(|action| match action {
            Action::Send(_, _, bytes) => Some(bytes),
            _ => None,
        })
    };
    let (first, second) = (first_message(Vec::new()), first_message(records()));
    assert!(first.is_some() && second.is_some() && first != second);
}
