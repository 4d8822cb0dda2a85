//! Bytes, records, settings and maps from outside: told apart, never a panic, never taken for something else.

mod net;

use basaltgw_registers::{Action, AskNo, Bad, Change, Event, Holds, Settings, Unkept, Verdict};
use basaltgw_types::{Group, Keepers, Member, ShardMap};
use net::{effect, map, member, Net};
use proptest::prelude::*;
use std::sync::Arc;

fn members() -> Vec<Member> {
    (0..3).map(|r| member(r, 1 + r as u128)).collect()
}

/// A router that has started and knows its map, and the words of a question it asked.
fn asking() -> (Holds, Vec<(Member, Vec<u8>)>) {
    let mut holds = Holds::new(members()[0].clone(), Settings::usual(), Vec::new(), 1).expect("sound");
    let mut acts = Vec::new();
    holds.handle(0.0, Event::Map(Arc::new(map(1, 1, 3, &members()))), &mut acts);
    holds.handle(0.0, Event::Stored(1, true), &mut acts);
    let change = Change::Take(members()[0].clone());
    holds.handle(0.0, Event::Ask { no: AskNo(1), key: effect(1), change, within: 100.0 }, &mut acts);
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
        holds.handle(1.0, Event::Bytes(members()[1].clone(), bytes), &mut acts);
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
        other.handle(1.0, Event::Bytes(members()[0].clone(), bytes), &mut acts);
        prop_assert!(!acts.iter().any(|act| matches!(act, Action::Answer(..))), "{} {:?}", to, acts);
    }
}

/// What a router has on its disk after a promise.
fn records() -> Vec<(Vec<u8>, Vec<u8>)> {
    let mut net = Net::new(3, 1, 3, 1);
    let me = net.nodes[0].me.clone();
    net.ask_now(0, effect(1), Change::Take(me));
    net.run(10.0);
    net.nodes[0].disk.clone().into_iter().collect()
}

#[test]
fn records_of_another_life_another_version_or_in_pieces_are_told_apart() {
    let open = |me: &Member, records| Holds::new(me.clone(), Settings::usual(), records, 1).map(|_| ());
    let me = members()[0].clone();
    assert_eq!(records().len(), 2);
    assert_eq!(open(&me, records()), Ok(()));
    let other = member(0, 99);
    assert_eq!(open(&other, records()), Err(Bad::Foreign { found: me.clone(), expected: other }));
    for i in 0..2 {
        let mut cut = records();
        cut[i].1.pop();
        assert!(matches!(open(&me, cut), Err(Bad::Record { .. })));
        let mut later = records();
        later[i].1[0] += 1;
        assert!(open(&me, later).is_err_and(|e| e.to_string().contains("version 2, expected version 1")));
    }
    assert_eq!(open(&me, records().split_off(1)), Err(Bad::NoMeta));
}

#[test]
fn settings_that_cannot_be_name_their_field() {
    assert_eq!(Settings::usual().check(), Ok(()));
    let bad = [
        (Settings { most_tries: 0, ..Settings::usual() }, "most_tries"),
        (Settings { again_ms: f64::NAN, ..Settings::usual() }, "again_ms"),
        (Settings { late_ms: -1.0, ..Settings::usual() }, "late_ms"),
        (Settings { stay_away_most_ms: 1.0, ..Settings::usual() }, "stay_away_most_ms"),
    ];
    for (settings, field) in bad {
        assert!(Holds::new(members()[0].clone(), settings, Vec::new(), 1)
            .is_err_and(|e| e.to_string().contains(field)));
    }
}

#[test]
fn a_map_whose_groups_need_not_meet_or_of_an_earlier_epoch_is_dropped() {
    let (mut holds, _) = asking();
    let twice = vec![members()[0].clone(), members()[0].clone(), members()[1].clone()];
    let bad = [
        Group { members: members(), need: 1 },
        Group { members: members(), need: 4 },
        Group { members: twice, need: 2 },
        Group { members: Vec::new(), need: 0 },
    ];
    for group in bad {
        let shards = vec![Keepers { groups: vec![group] }];
        let map = ShardMap { shards, ..map(2, 1, 3, &members()) };
        holds.handle(1.0, Event::Map(Arc::new(map)), &mut Vec::new());
    }
    assert_eq!((holds.counters().bad_maps, holds.epoch()), (4, 1));
    holds.handle(1.0, Event::Map(Arc::new(map(3, 1, 3, &members()))), &mut Vec::new());
    holds.handle(1.0, Event::Map(Arc::new(map(2, 1, 3, &members()))), &mut Vec::new());
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
    assert_eq!(net.nodes[0].holds.as_ref().map(Holds::epoch), Some(0));
    let me = members()[0].clone();
    let told = net.ask_now(0, effect(1), Change::Take(me));
    assert!(matches!(told, Verdict::Unkept { never: true, why: Unkept::NoTable, .. }));
}

#[test]
fn a_word_that_was_not_written_is_known_at_once() {
    let mut holds = Holds::new(members()[0].clone(), Settings::usual(), Vec::new(), 1).expect("sound");
    let mut acts = Vec::new();
    holds.handle(0.0, Event::Map(Arc::new(map(1, 1, 3, &members()))), &mut acts);
    let change = Change::Take(members()[0].clone());
    holds.handle(0.0, Event::Ask { no: AskNo(1), key: effect(1), change, within: 100.0 }, &mut acts);
    assert!(
        !acts.iter().any(|act| matches!(act, Action::Send(..))),
        "no ballot before the run's number is stored"
    );
    holds.handle(0.0, Event::Stored(1, true), &mut acts);
    let sent: Vec<u64> =
        acts.iter().filter_map(|a| if let Action::Send(no, ..) = a { Some(*no) } else { None }).collect();
    assert_eq!(sent.len(), 2);
    acts.clear();
    sent.iter().for_each(|no| holds.handle(0.0, Event::Unsent(*no), &mut acts));
    let unkept = |act: &Action| {
        matches!(act, Action::Answer(_, _, Verdict::Unkept { never: true, why: Unkept::TooFew, .. }))
    };
    assert!(acts.iter().any(unkept), "{acts:?}");
}

#[test]
fn bounds_on_questions_and_registers_refuse() {
    let mut net = Net::new(3, 1, 3, 1);
    net.set = Settings { most_registers: 2, most_asks: 3, ..net.set.clone() };
    (0..3).for_each(|r| {
        net.kill(r);
        net.start(r);
    });
    net.run(10.0);
    let me = members()[0].clone();
    let took: Vec<Verdict> = (0..3).map(|n| net.ask_now(0, effect(n), Change::Take(me.clone()))).collect();
    assert!(matches!(took[1], Verdict::Kept(_)));
    assert!(matches!(took[2], Verdict::Unkept { never: true, why: Unkept::Full, .. }));
    let nos: Vec<u64> = (0..4).map(|n| net.ask(0, effect(n), Change::Look, 100.0)).collect();
    let fourth = net.answer(nos[3]).cloned();
    assert!(matches!(fourth, Some(Verdict::Unkept { never: true, why: Unkept::Full, .. })));
}

#[test]
fn a_register_that_was_dropped_leaves_its_promise_behind() {
    let (_, sent) = asking();
    let set = Settings { late_ms: 10.0, ..Settings::usual() };
    let mut keeper = Holds::new(members()[1].clone(), set, Vec::new(), 1).expect("sound");
    let mut acts = Vec::new();
    keeper.handle(0.0, Event::Map(Arc::new(map(1, 1, 3, &members()))), &mut acts);
    keeper.handle(0.0, Event::Stored(1, true), &mut acts);
    let word = || Event::Bytes(members()[0].clone(), sent[0].1.clone());
    keeper.handle(0.0, word(), &mut acts);
    assert_eq!(keeper.size().0, 1);
    keeper.handle(1_000.0, Event::Stored(2, true), &mut acts);
    keeper.handle(1_000.0, Event::Timer(0), &mut acts);
    assert_eq!(keeper.size().0, 0);
    // The same word, late: it is refused, and nothing begins again.
    keeper.handle(1_000.0, word(), &mut acts);
    assert_eq!(keeper.size().0, 0);
}

#[test]
fn no_ballot_is_named_in_two_runs() {
    let words = |records: Vec<(Vec<u8>, Vec<u8>)>| {
        let mut holds = Holds::new(members()[0].clone(), Settings::usual(), records, 1).expect("own records");
        let mut acts = Vec::new();
        holds.handle(0.0, Event::Map(Arc::new(map(1, 1, 3, &members()))), &mut acts);
        holds.handle(0.0, Event::Stored(1, true), &mut acts);
        holds.handle(
            0.0,
            Event::Ask { no: AskNo(1), key: effect(9), change: Change::Look, within: 9.0 },
            &mut acts,
        );
        acts.into_iter().find_map(|act| if let Action::Send(_, _, bytes) = act { Some(bytes) } else { None })
    };
    let (first, again) = (words(Vec::new()), words(records()));
    assert!(first.is_some() && again.is_some() && first != again);
}
