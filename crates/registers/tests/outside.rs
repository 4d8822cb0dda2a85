//! Bytes, records, settings and maps from outside: told apart, never a panic, never taken for something else.

mod net;

use basaltgw_registers::{
    Action, Change, Event, OpenError, Registers, RequestNumber, Response, Settings, UnavailableReason,
};
use basaltgw_types::{Member, QuorumGroup, ReplicaSet, ShardMap};
use net::{effect, map, member, Net};
use proptest::prelude::*;
use std::sync::Arc;

fn members() -> Vec<Member> {
    (0..3).map(|r| member(r, 1 + r as u128)).collect()
}

/// A router that has started and knows its map, and the words of a question it asked.
fn asking() -> (Registers, Vec<(Member, Vec<u8>)>) {
    let mut holds = Registers::new(members()[0].clone(), Settings::usual(), Vec::new(), 1).expect("sound");
    let mut acts = Vec::new();
    holds.handle(0.0, Event::ShardMap(Arc::new(map(1, 1, 3, &members()))), &mut acts);
    holds.handle(0.0, Event::BatchStored(1, true), &mut acts);
    let change = Change::Acquire(members()[0].clone());
    holds.handle(
        0.0,
        Event::Request { number: RequestNumber(1), key: effect(1), change, timeout: 100.0 },
        &mut acts,
    );
    let sent = acts.into_iter().filter_map(|act| match act {
        Action::Send(_, to, bytes) => Some((to, bytes)),
        _ => None,
    });
    (holds, sent.collect())
}

proptest! {
    #[test]
    fn any_bytes_are_dropped_and_counted(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let (mut holds, _) = asking();
        let mut acts = Vec::new();
        holds.handle(1.0, Event::MessageReceived(members()[1].clone(), bytes), &mut acts);
        let counters = holds.counters();
        prop_assert_eq!(counters.bad_bytes + counters.not_for_me, 1);
        prop_assert!(acts.is_empty());
    }

    #[test]
    fn a_word_cut_or_flipped_never_makes_a_verdict(cut in 0usize..200, flip in any::<u8>(), whole in any::<bool>()) {
        let (_, sent) = asking();
        let (to, bytes) = &sent[0];
        let mut bytes = bytes.clone();
        let at = cut % bytes.len();
        match whole {
            true => bytes[at] ^= flip,
            false => bytes.truncate(at),
        }
        let (mut other, _) = asking();
        let mut acts = Vec::new();
        other.handle(1.0, Event::MessageReceived(members()[0].clone(), bytes), &mut acts);
        prop_assert!(!acts.iter().any(|act| matches!(act, Action::Respond(..))), "{} {:?}", to, acts);
    }
}

/// What a router has on its disk after a promise.
fn records() -> Vec<(Vec<u8>, Vec<u8>)> {
    let mut net = Net::new(3, 1, 3, 1);
    let me = net.nodes[0].me.clone();
    net.ask_now(0, effect(1), Change::Acquire(me));
    net.run(10.0);
    net.nodes[0].disk.clone().into_iter().collect()
}

#[test]
fn records_of_another_life_another_version_or_in_pieces_are_told_apart() {
    let open = |me: &Member, records| Registers::new(me.clone(), Settings::usual(), records, 1).map(|_| ());
    let me = members()[0].clone();
    assert_eq!(records().len(), 2);
    assert_eq!(open(&me, records()), Ok(()));
    let other = member(0, 99);
    assert_eq!(open(&other, records()), Err(OpenError::Foreign { found: me.clone(), expected: other }));
    for i in 0..2 {
        let mut cut = records();
        cut[i].1.pop();
        assert!(matches!(open(&me, cut), Err(OpenError::Record { .. })));
        let mut later = records();
        later[i].1[0] += 1;
        assert!(open(&me, later).is_err_and(|e| e.to_string().contains("version 2, expected version 1")));
    }
    assert_eq!(open(&me, records().split_off(1)), Err(OpenError::NoMeta));
}

#[test]
fn settings_that_cannot_be_name_their_field() {
    assert_eq!(Settings::usual().check(), Ok(()));
    let bad = [
        (Settings { max_attempts: 0, ..Settings::usual() }, "most_tries"),
        (Settings { retransmit_interval_ms: f64::NAN, ..Settings::usual() }, "again_ms"),
        (Settings { tombstone_retention_ms: -1.0, ..Settings::usual() }, "late_ms"),
        (Settings { max_retry_after_ms: 1.0, ..Settings::usual() }, "stay_away_most_ms"),
    ];
    for (settings, field) in bad {
        assert!(Registers::new(members()[0].clone(), settings, Vec::new(), 1)
            .is_err_and(|e| e.to_string().contains(field)));
    }
}

#[test]
fn a_map_whose_groups_need_not_meet_or_of_an_earlier_epoch_is_dropped() {
    let (mut holds, _) = asking();
    let twice = vec![members()[0].clone(), members()[0].clone(), members()[1].clone()];
    let bad = [
        QuorumGroup { members: members(), quorum: 1 },
        QuorumGroup { members: members(), quorum: 4 },
        QuorumGroup { members: twice, quorum: 2 },
        QuorumGroup { members: Vec::new(), quorum: 0 },
    ];
    for group in bad {
        let shards = vec![ReplicaSet { groups: vec![group] }];
        let map = ShardMap { shards, ..map(2, 1, 3, &members()) };
        holds.handle(1.0, Event::ShardMap(Arc::new(map)), &mut Vec::new());
    }
    assert_eq!((holds.counters().bad_maps, holds.epoch()), (4, 1));
    holds.handle(1.0, Event::ShardMap(Arc::new(map(3, 1, 3, &members()))), &mut Vec::new());
    holds.handle(1.0, Event::ShardMap(Arc::new(map(2, 1, 3, &members()))), &mut Vec::new());
    assert_eq!((holds.counters().old_maps, holds.epoch()), (1, 3));
}

#[test]
fn a_keeper_that_starts_again_goes_by_no_earlier_epoch_than_before() {
    let mut net = Net::new(3, 1, 3, 1);
    let first = net.map.clone();
    net.adopt(map(5, 1, 3, &members()), 1.0);
    net.run(20.0);
    net.kill(0);
    net.map = first;
    net.start(0);
    assert_eq!(net.nodes[0].holds.as_ref().map(Registers::epoch), Some(0));
    let me = members()[0].clone();
    let told = net.ask_now(0, effect(1), Change::Acquire(me));
    assert!(matches!(
        told,
        Response::Unavailable { not_executed: true, reason: UnavailableReason::NoPlacement, .. }
    ));
}

#[test]
fn a_word_that_was_not_written_is_known_at_once() {
    let mut holds = Registers::new(members()[0].clone(), Settings::usual(), Vec::new(), 1).expect("sound");
    let mut acts = Vec::new();
    holds.handle(0.0, Event::ShardMap(Arc::new(map(1, 1, 3, &members()))), &mut acts);
    let change = Change::Acquire(members()[0].clone());
    holds.handle(
        0.0,
        Event::Request { number: RequestNumber(1), key: effect(1), change, timeout: 100.0 },
        &mut acts,
    );
    assert!(
        !acts.iter().any(|act| matches!(act, Action::Send(..))),
        "no ballot before the run's number is stored"
    );
    holds.handle(0.0, Event::BatchStored(1, true), &mut acts);
    let sent: Vec<u64> =
        acts.iter().filter_map(|a| if let Action::Send(no, ..) = a { Some(*no) } else { None }).collect();
    assert_eq!(sent.len(), 2);
    acts.clear();
    sent.iter().for_each(|no| holds.handle(0.0, Event::SendFailed(*no), &mut acts));
    let unkept = |act: &Action| {
        matches!(
            act,
            Action::Respond(
                _,
                _,
                Response::Unavailable { not_executed: true, reason: UnavailableReason::NoQuorum, .. }
            )
        )
    };
    assert!(acts.iter().any(unkept), "{acts:?}");
}

#[test]
fn bounds_on_questions_and_registers_refuse() {
    let mut net = Net::new(3, 1, 3, 1);
    net.set = Settings { max_registers: 2, max_open_requests: 3, ..net.set.clone() };
    (0..3).for_each(|r| {
        net.kill(r);
        net.start(r);
    });
    net.run(10.0);
    let me = members()[0].clone();
    let took: Vec<Response> =
        (0..3).map(|n| net.ask_now(0, effect(n), Change::Acquire(me.clone()))).collect();
    assert!(matches!(took[1], Response::Committed(_)));
    assert!(matches!(
        took[2],
        Response::Unavailable { not_executed: true, reason: UnavailableReason::ResourceExhausted, .. }
    ));
    let nos: Vec<u64> = (0..4).map(|n| net.ask(0, effect(n), Change::Read, 100.0)).collect();
    let fourth = net.answer(nos[3]).cloned();
    assert!(matches!(
        fourth,
        Some(Response::Unavailable { not_executed: true, reason: UnavailableReason::ResourceExhausted, .. })
    ));
}

#[test]
fn a_register_that_was_dropped_leaves_its_promise_behind() {
    let (_, sent) = asking();
    let set = Settings { tombstone_retention_ms: 10.0, ..Settings::usual() };
    let mut keeper = Registers::new(members()[1].clone(), set, Vec::new(), 1).expect("sound");
    let mut acts = Vec::new();
    keeper.handle(0.0, Event::ShardMap(Arc::new(map(1, 1, 3, &members()))), &mut acts);
    keeper.handle(0.0, Event::BatchStored(1, true), &mut acts);
    let word = || Event::MessageReceived(members()[0].clone(), sent[0].1.clone());
    keeper.handle(0.0, word(), &mut acts);
    assert_eq!(keeper.size().0, 1);
    keeper.handle(1_000.0, Event::BatchStored(2, true), &mut acts);
    keeper.handle(1_000.0, Event::Timer(0), &mut acts);
    assert_eq!(keeper.size().0, 0);
    // The same word, late: it is refused, and nothing begins again.
    keeper.handle(1_000.0, word(), &mut acts);
    assert_eq!(keeper.size().0, 0);
}

#[test]
fn no_ballot_is_named_in_two_runs() {
    let words = |records: Vec<(Vec<u8>, Vec<u8>)>| {
        let mut holds =
            Registers::new(members()[0].clone(), Settings::usual(), records, 1).expect("own records");
        let mut acts = Vec::new();
        holds.handle(0.0, Event::ShardMap(Arc::new(map(1, 1, 3, &members()))), &mut acts);
        holds.handle(0.0, Event::BatchStored(1, true), &mut acts);
        holds.handle(
            0.0,
            Event::Request { number: RequestNumber(1), key: effect(9), change: Change::Read, timeout: 9.0 },
            &mut acts,
        );
        acts.into_iter().find_map(|act| if let Action::Send(_, _, bytes) = act { Some(bytes) } else { None })
    };
    let (first, again) = (words(Vec::new()), words(records()));
    assert!(first.is_some() && again.is_some() && first != again);
}
