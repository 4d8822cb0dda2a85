//! Settings of customers that nobody has thought of: whatever is drawn within what they may say, the rules hold.

#[path = "../common/mod.rs"]
mod common;
mod drawn;
mod world;

use basaltgw::api::*;
use common::{entry, settings};
use drawn::{drawn_fleet, drawn_settings, step, Step};
use proptest::prelude::*;
use world::World;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_rules_hold_under_any_settings(
        set in drawn_settings(), fleet in drawn_fleet(), prompt in any::<bool>(),
        steps in prop::collection::vec(step(), 1..140),
    ) {
        let mut world = World::new(set, prompt);
        world.list(EndpointUpdate::Complete, fleet.clone())?;
        for (count, step) in steps.into_iter().enumerate() {
            world.step(step, &fleet, count)?;
            // The rest of the batch.
            world.due()?;
        }
        world.wait(6000.0)?;
        for (id, seen) in &world.seen {
            prop_assert_eq!(seen.answers, 1, "{:?}", id);
        }
        // What is out ends, and nothing is said or kept of it.
        for (id, n) in world.outs() {
            world.end(&id, n, AttemptResult::TimedOut, FillReport::NotReported, 9000.0, 0.0)?;
        }
        // An id that were still open would be passed over without a word.
        for (id, seen) in std::mem::take(&mut world.seen) {
            let request = common::request(0, ClassId(99), seen.object, 1000.0);
            let mut acts = Vec::new();
            world.router.handle(world.now, Event::Request(Request { id: id.clone(), ..request }), &mut acts);
            prop_assert_eq!(acts, vec![Action::Reject(id, 0.0)]);
        }
    }
}

#[test]
fn a_source_that_fails_before_any_has_served_is_not_cut_to_no_number() {
    let mut d = common::Driver::new(settings(), common::fleet());
    for n in 0..4 {
        let sent = common::fetch(&d.ask(n, common::SAFE, 5)).expect("a fetch");
        d.end(n, 0, &sent.server, AttemptResult::Rejected, FillReport::SourceRejected);
        // Any list puts the servers in order by their sizes.
        d.tell(Event::Endpoints(EndpointUpdate::Delta, Vec::new()));
    }
    let cuts: Vec<f64> = d.router.snapshot().servers.iter().map(|s| s.weight_penalty_log).collect();
    assert!(cuts.iter().all(|c| c.is_finite()) && cuts.iter().any(|c| *c < 0.0), "{cuts:?}");
}

#[test]
fn without_an_aim_a_quick_cache_is_not_taken_for_full() {
    let mut set = settings();
    set.classes[0].latency_objective = 0.0;
    let edge = entry("edge-0", Role::Edge);
    let mut d = common::Driver::new(set, vec![edge.clone(), entry("parent-0", Role::Parent)]);
    let ask = |d: &mut common::Driver, n: usize| {
        let request = common::request(n, common::SAFE, n as u64, 4000.0);
        common::fetch(&d.tell(Event::Request(Request { size_kb: 80.0, ..request })))
    };
    for n in 0..40 {
        assert!(ask(&mut d, n).is_some(), "{n}");
    }
    for n in 0..20 {
        d.wait(10.0);
        d.outcome(n, 0, &edge.id, AttemptResult::Served, FillReport::Hit, 12.0);
        assert!(ask(&mut d, 100 + n).is_some_and(|f| f.server == edge.id), "full after {n} quick answers");
    }
}

#[test]
fn a_start_that_is_yet_to_come_by_the_own_clock_leaves_a_cold_server_its_budget() {
    for known in [false, true] {
        let mut set = settings();
        set.classes[0].latency_objective = 50.0;
        let mut d = common::Driver::new(set, if known { common::fleet() } else { Vec::new() });
        // Its machine's clock is ahead by two seconds; it is the only one.
        let started = Some(d.now + 2000.0);
        let cold = Endpoint { started, ..entry("edge-0", Role::Edge) };
        d.tell(Event::Endpoints(EndpointUpdate::Complete, vec![cold, entry("parent-0", Role::Parent)]));
        let edge = common::id("edge-0");
        let mut asked = 0;
        let mut sent = |d: &mut common::Driver| {
            asked += 200;
            let fetched = |n: usize| common::fetch(&d.ask(n, common::SAFE, n as u64)).map(|f| (n, f));
            let all: Vec<_> = (asked - 200..asked).filter_map(fetched).collect();
            all.into_iter().filter(|(_, f)| f.server == edge).map(|(n, _)| n).collect::<Vec<_>>()
        };
        // The router's former process may have sent all of a window.
        assert_eq!(sent(&mut d).len(), 0, "it has just started itself");
        d.wait(1000.0);
        // Before any answer nothing tells what a request takes.
        let first = sent(&mut d);
        assert_eq!(first.len(), 1, "one in a window");
        d.outcome(first[0], 0, &edge, AttemptResult::Served, FillReport::Hit, 50.0);
        // 2 times 0.2 of its capacity, taken to be 0.8 of its listed size: 320 ms' work in a second, of requests of 50 ms. After one
        // answer each is reckoned as 75 ms.
        assert_eq!(first.len() + sent(&mut d).len(), 4, "requests of 50 ms, reckoned upwards");
    }
}

#[test]
fn servers_that_have_just_started_serve_where_no_rule_on_them_is_told() {
    for (multiple, window) in [(0.0, 1000.0), (2.0, 0.0), (0.0, 0.0)] {
        let mut set = settings();
        set.edge_slow_start = SlowStartPolicy { multiple, window, ..set.edge_slow_start };
        let mut d = common::Driver::new(set, vec![entry("parent-0", Role::Parent)]);
        d.restart("edge-0", Role::Edge);
        for n in 0..20 {
            let sent = common::fetch(&d.ask(n, common::SAFE, n as u64)).map(|f| f.server);
            assert_eq!(sent, Some(common::id("edge-0")), "{multiple} times for {window} ms");
        }
    }
}

#[test]
fn a_keyed_repeat_waits_for_no_longer_than_its_window_and_is_refused_only_within_it() {
    let mut d = common::Driver::new(settings(), common::fleet());
    let first = common::fetch(&d.ask(1, common::KEYED, 5)).expect("a fetch");
    assert!(first.timeout > 3000.0, "the first has the whole time");
    d.wait(800.0);
    let again = d.end(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported);
    let again = common::fetch(&again).expect("within its window");
    // It has to arrive within the window, and what waits for a connection begins by then or never.
    assert!((150.0..=180.0).contains(&(again.start_before - d.now)), "{}", again.start_before - d.now);
    d.wait(201.0);
    let acts = d.end(1, 1, &again.server, AttemptResult::NotSent, FillReport::NotReported);
    assert!(common::failed(&acts, 1), "no repeat is dropped any more: {acts:?}");
    // One that is still out when its client's time is up.
    d.ask(2, common::KEYED, 6);
    assert!(common::failed(&d.wait(4000.0), 2));
}

#[test]
fn the_last_moment_for_an_answer_allows_for_a_sweep_that_a_tick_holds_up() {
    for tick in [0.1, 5.0, 10.0, 15.0, 19.0, 50.0] {
        let set = Settings { tick, ..settings() };
        let mut world = World::new(set, false);
        world.list(EndpointUpdate::Complete, common::fleet()).expect("a list");
        for n in 0..300 {
            let ask = Step::Ask {
                class: Some(0),
                object: 1,
                part: 0,
                budget: 100.0 + (n % 37) as f64,
                size: 0.0,
                write: false,
            };
            world.step(ask, &[], n).expect("a request");
            world.wait(tick.max(0.7) * (1.1 + 0.3 * (n % 7) as f64)).expect("in time");
        }
        world.wait(1000.0).expect("in time");
        assert!(world.seen.values().all(|s| s.answers == 1));
    }
}
