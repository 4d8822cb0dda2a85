//! The rig round routers that are on their own, without a section `fleet`: what it breaks is broken, and the checker sees what that costs.

mod common;

use basaltgw_emulator::rig::{check_history, Event, Limits, Outcome, Rig, Rule, Spec};
use common::*;

fn rig() -> Rig {
    let rig = Rig::start(Spec { fleet: false, ..Spec::new(binary(), 3) }).expect("a rig");
    (0..3).for_each(|r| assert!(rig.wait_until_serving(r, WAIT_LIMIT)));
    rig.archive.effect_duration_ms.store(20, std::sync::atomic::Ordering::SeqCst);
    rig
}

fn broken(rig: &Rig) -> Vec<Rule> {
    let (events, left_out) = rig.history.events();
    let mut rules: Vec<Rule> =
        check_history(&events, left_out, &Limits::default()).0.into_iter().map(|b| b.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

#[test]
fn checkout_resent_through_another_router_runs_twice_without_replication() {
    let mut rig = rig();
    let served = |end| matches!(end, Some(Some(Outcome::Served(_))));
    let first = rig.connect_client(0).expect("a client");
    assert!(served(rig.history.wait_for_outcome(first.checkout("00000000000000a1", 5_000), WAIT_LIMIT)));
    assert_eq!(broken(&rig), []);
    // It dies with another out; the client resends it.
    rig.archive.effect_duration_ms.store(30_000, std::sync::atomic::Ordering::SeqCst);
    let out = first.checkout("00000000000000a2", 5_000);
    wait_until("it runs", || rig.archive.executions("00000000000000a2") == 1);
    rig.kill(0);
    assert_eq!(rig.history.wait_for_outcome(out, WAIT_LIMIT), Some(None), "lost with its router");
    rig.archive.effect_duration_ms.store(0, std::sync::atomic::Ordering::SeqCst);
    let second = rig.connect_client(1).expect("a client");
    assert!(served(rig.history.wait_for_outcome(second.checkout("00000000000000a2", 5_000), WAIT_LIMIT)));
    assert_eq!(rig.archive.executions("00000000000000a2"), 2);
    assert!(broken(&rig).contains(&Rule::ExecutedOnce));
    // It returns, and clients reach it where they always did.
    rig.start_router(0).expect("a router");
    assert!(rig.wait_until_serving(0, WAIT_LIMIT));
    let third = rig.connect_client(0).expect("a client");
    assert!(served(rig.history.wait_for_outcome(third.checkout("00000000000000a3", 5_000), WAIT_LIMIT)));
}

#[test]
fn purge_is_forgotten_by_a_router_restarted_while_discovery_is_down() {
    let mut rig = rig();
    let read = |rig: &Rig, r: usize, id: &str| {
        let caller = rig.connect_client(r).expect("a client");
        let end = rig.history.wait_for_outcome(caller.read(id, 5, 5_000), WAIT_LIMIT);
        assert!(matches!(end, Some(Some(Outcome::Served(_)))), "{end:?}");
    };
    read(&rig, 0, "00000000000000b1");
    let heard = rig.counters(0)["purges"];
    rig.purge(5, &[0]);
    wait_until("the purge is heard", || rig.counters(0)["purges"] > heard);
    rig.change_logs.iter().for_each(|l| l.down.store(true, std::sync::atomic::Ordering::SeqCst));
    rig.kill(0);
    rig.start_router(0).expect("a router");
    assert!(rig.wait_until_serving(0, WAIT_LIMIT));
    wait_until("the purge is to be heeded", || {
        let (events, _) = rig.history.events();
        let told = events.iter().find(|e| matches!(e.event, Event::PurgeAnnounced { .. })).map(|e| e.at_ms);
        told.is_some_and(|at| rig.history.now_ms() > at + Limits::default().purge_effect_ms)
    });
    read(&rig, 0, "00000000000000b2");
    assert_eq!(broken(&rig), [Rule::PurgeTakesEffect]);
}

#[test]
fn stopped_router_answers_nothing_until_it_is_resumed() {
    let mut rig = rig();
    let caller = rig.connect_client(2).expect("a client");
    rig.suspend(2);
    assert!(!caller.is_serving(std::time::Duration::from_millis(200)));
    assert!(rig.counters(2).is_empty());
    rig.resume(2);
    assert!(rig.wait_until_serving(2, WAIT_LIMIT));
    assert_eq!(broken(&rig), []);
}
