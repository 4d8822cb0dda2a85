//! A machine killed at every step of a promise, with its disk and without; two at once where there are five copies.

mod net;

use basaltgw_registers::{Change, Outcome, Record, Response};
use basaltgw_types::Member;
use net::{effect, map, Net};

/// Steps after which a promise has long been answered.
const STEPS: usize = 40;

/// What became of the promise after those machines were lost at a step: true if it was said to be kept.
fn lose(copies: usize, victims: &[usize], step: usize, wiped: bool, seed: u64) -> bool {
    let mut net = Net::new(copies, 1, copies, seed);
    net.run(10.0);
    let owner = net.nodes[0].me.clone();
    let no = net.ask(0, effect(1), Change::Acquire(owner.clone()), 500.0);
    for _ in 0..step {
        net.step(f64::MAX);
    }
    for victim in victims {
        match wiped {
            true => net.wipe(*victim),
            false => net.kill(*victim),
        }
        net.start(*victim);
    }
    if wiped {
        let members: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
        let next = map(3, 1, copies, &members);
        assert!(net.go_over(&next, 5_000.0), "filled again in a stated time");
    }
    net.run(1_000.0);
    let answer = net.answer(no).cloned();
    // Whoever is asked says the same, and the same again.
    let last = copies - 1;
    let found = net.ask_now(last, effect(1), Change::Read);
    assert_eq!(net.ask_now(1, effect(1), Change::Read), found);
    let out = Record::Leased { owner: owner.clone(), term: 0 };
    match answer {
        Some(Response::Committed(hold)) => {
            assert_eq!(
                (hold, found),
                (out.clone(), Response::Conflict(Some(out))),
                "{victims:?} {step} {wiped}"
            );
            // The copies are made up again: the loss of others loses nothing either.
            net.wipe(1);
            assert!(matches!(net.ask_now(last, effect(1), Change::Read), Response::Conflict(Some(_))));
            true
        }
        Some(Response::Unavailable { not_executed: true, .. }) => {
            assert_eq!(found, Response::Conflict(None), "{victims:?} {step} {wiped}");
            false
        }
        Some(Response::Unavailable { not_executed: false, .. }) | None => {
            assert!([Response::Conflict(None), Response::Conflict(Some(out))].contains(&found));
            false
        }
        Some(Response::Conflict(what)) => panic!("nobody else asked: {what:?}"),
    }
}

#[test]
fn a_promise_outlives_any_one_machine_of_three_at_every_step() {
    for wiped in [false, true] {
        for victim in 0..3 {
            let kept = (0..STEPS).filter(|step| lose(3, &[victim], *step, wiped, *step as u64)).count();
            assert!(kept > 5, "{victim} {wiped}: {kept}");
        }
    }
}

#[test]
fn a_promise_outlives_any_two_machines_of_five_at_every_step() {
    for wiped in [false, true] {
        for (a, b) in [(0, 1), (0, 4), (1, 2), (2, 3), (3, 4)] {
            let kept = (0..STEPS).filter(|step| lose(5, &[a, b], *step, wiped, *step as u64)).count();
            assert!(kept > 5, "{a} {b} {wiped}: {kept}");
        }
    }
}

#[test]
fn an_owner_lost_with_it_out_leaves_a_doubt_that_never_invites_a_repeat() {
    let mut net = Net::new(3, 1, 3, 1);
    let (first, second) = (net.nodes[0].me.clone(), net.nodes[1].me.clone());
    net.ask_now(0, effect(1), Change::Acquire(first.clone()));
    net.freeze(0);
    let late = net.ask(0, effect(1), Change::Complete(first, 0, Outcome::Served(vec![1])), 1_000.0);
    assert!(matches!(
        net.ask_now(1, effect(1), Change::Acquire(second.clone())),
        Response::Conflict(Some(Record::Leased { .. }))
    ));
    assert_eq!(
        net.ask_now(1, effect(1), Change::MarkOutcomeUnknown(0)),
        Response::Committed(Record::OutcomeUnknown)
    );
    net.wake(0);
    assert!(net.run_until(5_000.0, |net| net.answer(late).is_some()));
    assert_eq!(
        net.answer(late),
        Some(&Response::Conflict(Some(Record::OutcomeUnknown))),
        "it may not answer any more"
    );
    assert_eq!(
        net.ask_now(1, effect(1), Change::Acquire(second)),
        Response::Conflict(Some(Record::OutcomeUnknown))
    );
}

#[test]
fn a_cut_that_heals_with_both_sides_changed_leaves_one_story() {
    for seed in 0..100 {
        let mut net = Net::new(5, 1, 5, seed);
        net.run(10.0);
        let members: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
        let across = |a: usize, b: usize| (a < 2) != (b < 2);
        let cuts = (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| across(*a, *b));
        // One way only, for every other seed.
        net.cut.extend(cuts.filter(|(a, _)| seed % 2 == 0 || *a < 2));
        let minor = net.ask(0, effect(1), Change::Acquire(members[0].clone()), 100.0);
        let major = net.ask(3, effect(1), Change::Acquire(members[3].clone()), 100.0);
        net.run(200.0);
        assert!(matches!(net.answer(minor), Some(Response::Unavailable { .. })), "{:?}", net.answer(minor));
        assert!(matches!(net.answer(major), Some(Response::Committed(_))));
        net.cut.clear();
        let out = Record::Leased { owner: members[3].clone(), term: 0 };
        assert_eq!(net.ask_now(0, effect(1), Change::Read), Response::Conflict(Some(out)));
    }
}
