//! Tests of `shield`.

use super::*;

const KEY: FillKey = FillKey { object: 7, part: 0 };

fn set() -> Settings {
    Settings { fills: 3, waiters: 3, failed: 100.0, ..Settings::default() }
}

fn asks(waiter: u64, trail: &Trail) -> Asks<'_> {
    static ME: std::sync::OnceLock<NodeId> = std::sync::OnceLock::new();
    let me = ME.get_or_init(|| NodeId::new("m"));
    Asks { me, waiter: Waiter(waiter), deadline: 1000.0, since: 0.0, trail, held_only: false }
}

fn ask(s: &mut Shield, now: Ms, waiter: u64) -> Came {
    s.ask(now, KEY, asks(waiter, &Trail::default()), &set())
}

#[test]
fn one_fill_for_all_who_ask_and_a_bound_on_those_who_wait() {
    let mut s = Shield::default();
    assert_eq!(ask(&mut s, 0.0, 1), Came::Begin);
    assert_eq!(ask(&mut s, 1.0, 2), Came::Joined);
    assert_eq!(ask(&mut s, 1.0, 3), Came::Joined);
    assert_eq!(ask(&mut s, 1.0, 4), Came::Full);
    assert_eq!(s.done(KEY, 1.0), (vec![Waiter(1), Waiter(2), Waiter(3)], vec![]));
    assert!(s.is_empty());
    for part in 0..3 {
        let key = FillKey { part, ..KEY };
        assert_eq!(s.ask(2.0, key, asks(9, &Trail::default()), &set()), Came::Begin);
    }
    let key = FillKey { part: 3, ..KEY };
    assert_eq!(s.ask(2.0, key, asks(9, &Trail::default()), &set()), Came::Full);
}

#[test]
fn a_failed_fill_is_tried_once_more_by_the_node_and_then_told_to_all_and_remembered_for_a_moment() {
    let mut s = Shield::default();
    ask(&mut s, 0.0, 1);
    ask(&mut s, 0.0, 2);
    assert_eq!(s.failed(10.0, KEY, true, &set()), Then::Again);
    assert_eq!(ask(&mut s, 11.0, 3), Came::Joined, "still the one");
    assert_eq!(s.failed(20.0, KEY, true, &set()), Then::Tell(vec![Waiter(1), Waiter(2), Waiter(3)]));
    assert_eq!(ask(&mut s, 30.0, 4), Came::Failed);
    s.purged(7);
    assert_eq!(ask(&mut s, 31.0, 4), Came::Begin, "what failed before a purge tells nothing after it");
    s.failed(32.0, KEY, false, &set());
    assert_eq!(ask(&mut s, 133.0, 5), Came::Begin, "not for long");
}

#[test]
fn a_copy_older_than_a_purge_serves_only_those_who_did_not_know_of_it() {
    let mut s = Shield::default();
    ask(&mut s, 0.0, 1);
    let trail = Trail::default();
    let knows = Asks { since: 5.0, ..asks(2, &trail) };
    assert_eq!(s.ask(6.0, KEY, knows, &set()), Came::Joined, "it may yet be new enough");
    assert_eq!(s.done(KEY, 4.0), (vec![Waiter(1)], vec![Waiter(2)]));
    assert_eq!(s.ask(7.0, KEY, knows, &set()), Came::Begin);
    assert_eq!(s.done(KEY, 5.0), (vec![Waiter(2)], vec![]));
}

#[test]
fn two_homes_that_wait_for_each_other_do_not() {
    let (n, trail) = (NodeId::new("n"), Trail::default());
    let through_n = trail.through(&n).expect("a trail");
    let mut s = Shield::default();
    ask(&mut s, 0.0, 1);
    s.asked(KEY, &n, false);
    assert_eq!(s.ask(1.0, KEY, asks(2, &through_n), &set()), Came::Lacks, "the fill waits for n, and n asks");
    let held = Asks { held_only: true, ..asks(3, &trail) };
    assert_eq!(s.ask(1.0, KEY, held, &set()), Came::Lacks);
    s.asked(KEY, &n, true);
    assert_eq!(
        s.ask(1.0, KEY, asks(4, &through_n), &set()),
        Came::Joined,
        "n was asked only for what it holds"
    );
    s.turned(KEY);
    s.asked(KEY, &NodeId::new("archive"), true);
    let held = Asks { held_only: true, ..asks(3, &through_n) };
    assert_eq!(s.ask(2.0, KEY, held, &set()), Came::Joined, "the archive waits for nobody");
}

#[test]
fn of_two_that_ask_each_other_at_once_one_refuses_and_the_other_waits() {
    for (other, expected) in [("a", Came::Joined), ("z", Came::Lacks)] {
        let other = NodeId::new(other);
        let trail =
            Trail::default().through(&NodeId::new("d")).and_then(|t| t.through(&other)).expect("a trail");
        let mut s = Shield::default();
        ask(&mut s, 0.0, 1);
        s.asked(KEY, &other, false);
        assert_eq!(s.ask(1.0, KEY, asks(2, &trail), &set()), expected);
        let waits: Vec<_> = s.waiting(KEY).cloned().collect();
        assert_eq!(waits, if expected == Came::Joined { vec![other] } else { vec![] });
    }
}

#[test]
fn waiters_have_deadlines_of_their_own_and_the_fill_runs_on() {
    let mut s = Shield::default();
    let trail = Trail::default();
    s.ask(0.0, KEY, Asks { deadline: 50.0, ..asks(1, &trail) }, &set());
    ask(&mut s, 0.0, 2);
    assert_eq!(s.overdue(60.0), vec![Waiter(1)]);
    s.left(KEY, Waiter(2));
    assert_eq!(s.len(), 1);
    assert_eq!(s.failed(61.0, KEY, true, &set()), Then::Tell(vec![]), "nobody waits, so not again");
}
