//! The test rig with routers that don't replicate (no section `fleet` in their settings): its faults take effect, and its checker reports
//! the rules that such routers break.

mod common;

use basaltgw_emulator::rig::{check_history, Event, Limits, Outcome, Rig, Rule, Spec};
use common::*;

/// Starts three routers that do not replicate.
fn start_rig() -> Rig {
    let rig = Rig::start(Spec { fleet: false, ..Spec::new(binary(), 3) }).expect("the rig starts");
    (0..3).for_each(|r| assert!(rig.wait_until_serving(r, WAIT_LIMIT)));
    rig.archive.checkout_delay_ms.store(20, std::sync::atomic::Ordering::SeqCst);
    rig
}

/// The rules that the recorded history breaks, each once.
fn violated_rules(rig: &Rig) -> Vec<Rule> {
    let (events, left_out) = rig.history.events();
    let mut rules: Vec<Rule> =
        check_history(&events, left_out, &Limits::default()).0.into_iter().map(|b| b.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

#[test]
fn checkout_resent_through_another_router_runs_twice_without_replication() {
    let mut rig = start_rig();
    let served = |outcome| matches!(outcome, Some(Some(Outcome::Served(_))));
    let first = rig.connect_client(0).expect("the router accepts a connection");
    assert!(served(rig.history.wait_for_outcome(first.checkout("00000000000000a1", 5_000), WAIT_LIMIT)));
    assert_eq!(violated_rules(&rig), []);
    // The router is killed while it executes another checkout, and the client resends that to another router.
    rig.archive.checkout_delay_ms.store(30_000, std::sync::atomic::Ordering::SeqCst);
    let open_checkout = first.checkout("00000000000000a2", 5_000);
    wait_until("the archive executes the checkout", || rig.archive.executions("00000000000000a2") == 1);
    rig.kill(0);
    assert_eq!(
        rig.history.wait_for_outcome(open_checkout, WAIT_LIMIT),
        Some(None),
        "the connection is lost with its router"
    );
    rig.archive.checkout_delay_ms.store(0, std::sync::atomic::Ordering::SeqCst);
    let second = rig.connect_client(1).expect("the router accepts a connection");
    assert!(served(rig.history.wait_for_outcome(second.checkout("00000000000000a2", 5_000), WAIT_LIMIT)));
    assert_eq!(rig.archive.executions("00000000000000a2"), 2);
    assert!(violated_rules(&rig).contains(&Rule::ExecutedOnce));
    // The router is restarted at the address that it had.
    rig.start_router(0).expect("the router starts");
    assert!(rig.wait_until_serving(0, WAIT_LIMIT));
    let third = rig.connect_client(0).expect("the router accepts a connection");
    assert!(served(rig.history.wait_for_outcome(third.checkout("00000000000000a3", 5_000), WAIT_LIMIT)));
}

#[test]
fn purge_is_forgotten_by_a_router_restarted_while_discovery_is_down() {
    let mut rig = start_rig();
    let read = |rig: &Rig, r: usize, id: &str| {
        let client = rig.connect_client(r).expect("the router accepts a connection");
        let outcome = rig.history.wait_for_outcome(client.read(id, 5, 5_000), WAIT_LIMIT);
        assert!(matches!(outcome, Some(Some(Outcome::Served(_)))), "{outcome:?}");
    };
    read(&rig, 0, "00000000000000b1");
    let purges = rig.counters(0)["purges"];
    rig.purge(5, &[0]);
    wait_until("the purge is received", || rig.counters(0)["purges"] > purges);
    rig.change_logs.iter().for_each(|l| l.down.store(true, std::sync::atomic::Ordering::SeqCst));
    rig.kill(0);
    rig.start_router(0).expect("the router starts");
    assert!(rig.wait_until_serving(0, WAIT_LIMIT));
    wait_until("the purge has to be in effect", || {
        let (events, _) = rig.history.events();
        let purged_at =
            events.iter().find(|e| matches!(e.event, Event::PurgeAnnounced { .. })).map(|e| e.at_ms);
        purged_at.is_some_and(|at| rig.history.now_ms() > at + Limits::default().purge_effect_ms)
    });
    read(&rig, 0, "00000000000000b2");
    assert_eq!(violated_rules(&rig), [Rule::PurgeTakesEffect]);
}

#[test]
fn stopped_router_answers_nothing_until_it_is_resumed() {
    let mut rig = start_rig();
    let client = rig.connect_client(2).expect("the router accepts a connection");
    rig.suspend(2);
    assert!(!client.is_serving(std::time::Duration::from_millis(200)));
    assert!(rig.counters(2).is_empty());
    rig.resume(2);
    assert!(rig.wait_until_serving(2, WAIT_LIMIT));
    assert_eq!(violated_rules(&rig), []);
}
