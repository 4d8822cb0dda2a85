//! The guarantees under random valid settings, and single cases of unusual ones.

#[path = "../common/mod.rs"]
mod common;
mod generators;
mod steps;
mod world;

use basaltgw::api::*;
use common::{endpoint, settings};
use generators::{any_fleet, any_settings, step, Step};
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
    fn guarantees_hold_under_any_settings(
        settings in any_settings(), fleet in any_fleet(), times_out in any::<bool>(),
        steps in prop::collection::vec(step(), 1..140),
    ) {
        let mut world = World::new(settings, times_out);
        world.list(EndpointUpdate::Complete, fleet.clone())?;
        for (count, step) in steps.into_iter().enumerate() {
            world.step(step, &fleet, count)?;
            // Timers and timeouts that are due are in the same batch of events.
            world.process_due()?;
        }
        world.advance(6000.0)?;
        for (id, tracked) in &world.tracked {
            prop_assert_eq!(tracked.answers, 1, "{:?}", id);
        }
        // Attempts in flight end without an action.
        for (id, n) in world.in_flight() {
            world.finish(&id, n, AttemptResult::TimedOut, FillReport::NotReported, 9000.0, 0.0)?;
        }
        // A request id that is still pending would be ignored.
        for (id, tracked) in std::mem::take(&mut world.tracked) {
            let request = common::request(0, ClassId(99), tracked.object, 1000.0);
            let mut actions = Vec::new();
            world.router.handle(world.now, Event::Request(Request { id: id.clone(), ..request }), &mut actions);
            prop_assert_eq!(actions, vec![Action::Reject { request: id, retry_after: 0.0 }]);
        }
    }
}

#[test]
fn source_that_fails_before_any_response_has_a_finite_penalty() {
    let mut driver = common::Driver::new(settings(), common::fleet());
    for n in 0..4 {
        let sent = common::first_attempt(&driver.request(n, common::IDEMPOTENT, 5)).expect("an attempt");
        driver.finish(n, 0, &sent.server, AttemptResult::Rejected, FillReport::SourceRejected);
        // Each update of the list recomputes the rendezvous order.
        driver.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries: Vec::new() });
    }
    let penalties: Vec<f64> = driver.router.snapshot().servers.iter().map(|s| s.weight_penalty_log).collect();
    assert!(penalties.iter().all(|p| p.is_finite()) && penalties.iter().any(|p| *p < 0.0), "{penalties:?}");
}

#[test]
fn fast_cache_is_not_limited_without_a_latency_objective() {
    let mut settings = settings();
    settings.classes[0].latency_objective = 0.0;
    let edge = endpoint("edge-0", Role::Edge);
    let mut driver = common::Driver::new(settings, vec![edge.clone(), endpoint("parent-0", Role::Parent)]);
    let send_request = |driver: &mut common::Driver, n: usize| {
        let request = common::request(n, common::IDEMPOTENT, n as u64, 4000.0);
        common::first_attempt(&driver.handle(Event::Request(Request { size_kb: 80.0, ..request })))
    };
    for n in 0..40 {
        assert!(send_request(&mut driver, n).is_some(), "request {n} is rejected");
    }
    for n in 0..20 {
        driver.advance(10.0);
        driver.finish_after(n, 0, &edge.id, AttemptResult::Served, FillReport::Hit, 12.0);
        assert!(
            send_request(&mut driver, 100 + n).is_some_and(|spec| spec.server == edge.id),
            "limited after {n} fast responses"
        );
    }
}

#[test]
fn listed_start_in_the_future_leaves_a_warming_server_its_budget() {
    for listed_before in [false, true] {
        let mut settings = settings();
        settings.classes[0].latency_objective = 50.0;
        let mut driver =
            common::Driver::new(settings, if listed_before { common::fleet() } else { Vec::new() });
        // The clock of the cache's machine is ahead by two seconds; it is the only cache.
        let started = Some(driver.now + 2000.0);
        let warming = Endpoint { started, ..endpoint("edge-0", Role::Edge) };
        let entries = vec![warming, endpoint("parent-0", Role::Parent)];
        driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries });
        let edge = common::server_id("edge-0");
        let mut requested = 0;
        // Sends 200 requests and returns the numbers of those that go to the warming cache.
        let mut send_requests = |driver: &mut common::Driver| {
            requested += 200;
            let attempt = |n: usize| {
                common::first_attempt(&driver.request(n, common::IDEMPOTENT, n as u64)).map(|spec| (n, spec))
            };
            let all: Vec<_> = (requested - 200..requested).filter_map(attempt).collect();
            all.into_iter().filter(|(_, spec)| spec.server == edge).map(|(n, _)| n).collect::<Vec<_>>()
        };
        // The router's former process may have used the budget of a whole window.
        assert_eq!(send_requests(&mut driver).len(), 0, "the router has just started");
        driver.advance(1000.0);
        // Before the first response no cost is known.
        let first = send_requests(&mut driver);
        assert_eq!(first.len(), 1, "one in a window");
        driver.finish_after(first[0], 0, &edge, AttemptResult::Served, FillReport::Hit, 50.0);
        // Twice 0.2 of its capacity, assumed to be 0.8 of its listed weight: 320 ms of sending time in a second, for
        // requests of 50 ms. After one response the cost of each is estimated as 75 ms.
        assert_eq!(first.len() + send_requests(&mut driver).len(), 4, "requests of 50 ms, estimated high");
    }
}

#[test]
fn restarted_servers_serve_without_a_slow_start_policy() {
    for (factor, window) in [(0.0, 1000.0), (2.0, 0.0), (0.0, 0.0)] {
        let mut settings = settings();
        settings.edge_slow_start =
            SlowStartPolicy { overload_factor: factor, overload_window: window, ..settings.edge_slow_start };
        let mut driver = common::Driver::new(settings, vec![endpoint("parent-0", Role::Parent)]);
        driver.restart("edge-0", Role::Edge);
        for n in 0..20 {
            let sent = common::first_attempt(&driver.request(n, common::IDEMPOTENT, n as u64))
                .map(|spec| spec.server);
            assert_eq!(
                sent,
                Some(common::server_id("edge-0")),
                "overload factor {factor}, window {window} ms"
            );
        }
    }
}

#[test]
fn retry_with_an_idempotency_key_ends_and_is_rejected_only_within_its_window() {
    let mut driver = common::Driver::new(settings(), common::fleet());
    let first = common::first_attempt(&driver.request(1, common::WITH_KEY, 5)).expect("an attempt");
    assert!(first.timeout > 3000.0, "the first attempt has the client's whole time");
    driver.advance(800.0);
    let actions = driver.finish(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported);
    let retry = common::first_attempt(&actions).expect("a retry within the window");
    // The retry has to arrive within the window, also if it waits for a connection.
    assert!(
        (150.0..=180.0).contains(&(retry.start_before - driver.now)),
        "{}",
        retry.start_before - driver.now
    );
    driver.advance(201.0);
    let actions = driver.finish(1, 1, &retry.server, AttemptResult::NotSent, FillReport::NotReported);
    assert!(common::is_failed(&actions, 1), "the key is no longer recognised: {actions:?}");
    // An attempt that is in flight at its request's deadline.
    driver.request(2, common::WITH_KEY, 6);
    assert!(common::is_failed(&driver.advance(4000.0), 2));
}

#[test]
fn answers_are_in_time_where_a_tick_delays_a_sweep() {
    for tick in [0.1, 5.0, 10.0, 15.0, 19.0, 50.0] {
        let settings = Settings { tick, ..settings() };
        let mut world = World::new(settings, false);
        world.list(EndpointUpdate::Complete, common::fleet()).expect("a list");
        for n in 0..300 {
            let request = Step::Request {
                class: Some(0),
                object: 1,
                part: 0,
                budget: 100.0 + (n % 37) as f64,
                size: 0.0,
                write: false,
            };
            world.step(request, &[], n).expect("a request");
            world.advance(tick.max(0.7) * (1.1 + 0.3 * (n % 7) as f64)).expect("in time");
        }
        world.advance(1000.0).expect("in time");
        assert!(world.tracked.values().all(|request| request.answers == 1));
    }
}
