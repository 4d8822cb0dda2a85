//! The guarantees, one section each: one answer in time, no second execution, drains, slow start, purges.

mod common;
use basaltgw::api::*;
use basaltgw::routing::Router;
use common::*;

// One final answer, in time.

#[test]
fn request_without_response_is_rejected_before_its_deadline() {
    let mut driver = Driver::new(settings(), fleet());
    driver.request(1, IDEMPOTENT, 5);
    let actions = driver.advance(4000.0);
    let at = driver
        .log
        .iter()
        .find(|(_, a)| matches!(a, Action::Reject(r, _) if *r == request_id(1)))
        .expect("an answer")
        .0;
    assert!(at < 5000.0 && at > 4900.0, "answered at {at}");
    assert!(
        actions.iter().any(|a| matches!(a, Action::CancelAttempt(r, _) if *r == request_id(1))),
        "the attempt in flight is cancelled"
    );
}

#[test]
fn request_that_cannot_be_served_is_rejected_at_once_with_retry_after() {
    let mut driver = Driver::new(settings(), Vec::new());
    assert_eq!(driver.request(1, IDEMPOTENT, 5), vec![Action::Reject(request_id(1), 100.0)]);
    let mut driver = Driver::new(settings(), fleet());
    for budget in [0.0, -5.0, 1.0] {
        let actions = driver.handle(Event::Request(request(budget as usize + 10, IDEMPOTENT, 5, budget)));
        assert!(is_rejected(&actions, budget as usize + 10));
    }
    let unknown = Request { class: None, ..request(2, IDEMPOTENT, 5, 4000.0) };
    assert!(is_rejected(&driver.handle(Event::Request(unknown)), 2));
    let huge = Request { size_kb: 1.0e6, ..request(3, IDEMPOTENT, 5, 4000.0) };
    assert!(is_rejected(&driver.handle(Event::Request(huge)), 3), "two minutes to send, four seconds left");
}

#[test]
fn completed_request_starts_no_attempt() {
    let mut driver = Driver::new(settings(), fleet());
    let first = first_attempt(&driver.request(1, IDEMPOTENT, 5)).expect("a fetch");
    assert!(driver
        .handle(Event::ClientDisconnected(request_id(1)))
        .iter()
        .all(|a| matches!(a, Action::CancelAttempt(..))));
    assert!(driver
        .finish(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported)
        .is_empty());
    assert!(
        driver.finish(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported).is_empty(),
        "a repeated outcome"
    );
    assert!(
        driver.finish(77, 3, &first.server, AttemptResult::TimedOut, FillReport::NotReported).is_empty(),
        "an unknown request"
    );
    driver.advance(6000.0);
    assert!(!driver.log.iter().any(|(_, a)| matches!(a, Action::Reject(..) | Action::Fail(_))));
}

#[test]
fn timed_out_attempt_is_retried_or_rejected() {
    let mut driver = Driver::new(settings(), fleet());
    let first = first_attempt(&driver.request(1, IDEMPOTENT, 5)).expect("a fetch");
    let actions = driver.finish(1, 0, &first.server, AttemptResult::TimedOut, FillReport::NotReported);
    assert!(first_attempt(&actions).is_some() || is_rejected(&actions, 1));
}

// No second execution.

#[test]
fn non_idempotent_request_that_may_have_been_executed_fails_without_retry() {
    for end in [
        AttemptResult::Error,
        AttemptResult::TimedOut,
        AttemptResult::ConnectionLost,
        AttemptResult::Cancelled,
    ] {
        let mut driver = Driver::new(settings(), fleet());
        let first = first_attempt(&driver.request(1, NON_IDEMPOTENT, 5)).expect("a fetch");
        assert_eq!(first.server, server_id("origin"));
        let actions = driver.finish(1, 0, &first.server, end, FillReport::NotReported);
        assert!(
            first_attempt(&actions).is_none() && is_failed(&actions, 1) && !is_rejected(&actions, 1),
            "{end:?}: {actions:?}"
        );
    }
}

#[test]
fn non_idempotent_request_that_was_not_executed_is_retried() {
    for end in [AttemptResult::Rejected, AttemptResult::NoConnection, AttemptResult::NotSent] {
        let mut driver = Driver::new(settings(), fleet());
        let first = first_attempt(&driver.request(1, NON_IDEMPOTENT, 5)).expect("a fetch");
        let actions = driver.finish(1, 0, &first.server, end, FillReport::NotReported);
        let second = first_attempt(&actions).expect("another attempt");
        assert!(!actions.iter().any(|a| matches!(a, Action::Fail(_))));
        assert_eq!(second.rank, Rank::None);
    }
}

#[test]
fn non_idempotent_request_in_flight_at_its_deadline_fails() {
    let mut driver = Driver::new(settings(), fleet());
    driver.request(1, NON_IDEMPOTENT, 5);
    let actions = driver.advance(4000.0);
    assert!(is_failed(&actions, 1) && !is_rejected(&actions, 1));
}

#[test]
fn retry_with_an_idempotency_key_must_start_within_the_key_window() {
    let mut driver = Driver::new(settings(), fleet());
    let (sent, window) = (driver.now, settings().classes[WITH_KEY.0].key_window);
    let first = first_attempt(&driver.request(1, WITH_KEY, 5)).expect("a fetch");
    assert_eq!(first.start_before, f64::INFINITY, "none may have been executed");
    driver.advance(200.0);
    let second =
        first_attempt(&driver.finish(1, 0, &first.server, AttemptResult::NotSent, FillReport::NotReported))
            .expect("a fetch");
    assert_eq!(second.start_before, f64::INFINITY, "none was executed");
    let since = driver.now;
    driver.advance(200.0);
    let third = first_attempt(&driver.finish(
        1,
        1,
        &second.server,
        AttemptResult::ConnectionLost,
        FillReport::NotReported,
    ))
    .expect("a fetch");
    assert!(
        sent < since && third.start_before < since + window,
        "it may have been executed since then: {}",
        third.start_before
    );
    let first = first_attempt(&driver.request(2, IDEMPOTENT, 6)).expect("a fetch");
    let again = first_attempt(&driver.finish(
        2,
        0,
        &first.server,
        AttemptResult::ConnectionLost,
        FillReport::NotReported,
    ))
    .expect("a fetch");
    assert_eq!(again.start_before, f64::INFINITY);
    // An attempt that was not sent by then has no successor.
    driver.advance(third.start_before - driver.now);
    let actions = driver.finish(1, 2, &third.server, AttemptResult::NotSent, FillReport::NotReported);
    assert!(first_attempt(&actions).is_none() && is_rejected(&actions, 1), "{actions:?}");
}

#[test]
fn request_with_an_idempotency_key_is_retried_only_within_window_and_scope() {
    let mut driver = Driver::new(settings(), fleet());
    let first = first_attempt(&driver.request(1, WITH_KEY, 5)).expect("a fetch");
    driver.advance(200.0);
    assert!(
        first_attempt(&driver.finish(
            1,
            0,
            &first.server,
            AttemptResult::ConnectionLost,
            FillReport::NotReported
        ))
        .is_some(),
        "within"
    );
    let first = first_attempt(&driver.request(2, WITH_KEY, 6)).expect("a fetch");
    driver.advance(1100.0);
    assert!(
        first_attempt(&driver.finish(
            2,
            0,
            &first.server,
            AttemptResult::ConnectionLost,
            FillReport::NotReported
        ))
        .is_none(),
        "after the window"
    );
    let mut narrow = settings();
    narrow.classes[WITH_KEY.0].key_scope = KeyScope::Cell;
    let mut driver = Driver::new(narrow, fleet());
    let first = first_attempt(&driver.request(1, WITH_KEY, 5)).expect("a fetch");
    let actions = driver.finish(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported);
    assert!(
        first_attempt(&actions).is_none() && is_failed(&actions, 1),
        "a rejection needs the scope of all servers"
    );
}

#[test]
fn attempt_at_a_silent_cache_is_cancelled_before_the_next_starts() {
    for copies in [false, true] {
        let mut s = settings();
        s.hedging = copies;
        let mut driver = Driver::new(s, fleet());
        // Enough responses for a mean delay, then one cache falls silent.
        for n in 0..200 {
            driver.serve(n, IDEMPOTENT, n as u64, FillReport::Hit);
            driver.advance(10.0);
        }
        let mut in_flight = Vec::new();
        for n in 200..400 {
            if in_flight.len() == 2 {
                break;
            }
            if let Some(f) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) {
                if f.server == server_id("edge-2") {
                    in_flight.push(n);
                } else {
                    driver.finish(n, 0, &f.server, AttemptResult::Served, FillReport::Hit);
                }
            }
        }
        assert_eq!(in_flight.len(), 2);
        let mut actions = Vec::new();
        while actions.is_empty() && driver.now < 20_000.0 {
            actions = driver.advance(50.0);
        }
        // The first is cancelled before another starts, so there are never two.
        let sent = actions
            .iter()
            .any(|a| matches!(a, Action::StartAttempt(f) if f.request == request_id(in_flight[0])));
        let cancelled = actions
            .iter()
            .any(|a| matches!(a, Action::CancelAttempt(r, _) if *r == request_id(in_flight[0])));
        assert!(cancelled && !sent, "{actions:?}");
        let actions = driver.finish(
            in_flight[0],
            0,
            &server_id("edge-2"),
            AttemptResult::Cancelled,
            FillReport::NotReported,
        );
        assert!(first_attempt(&actions).is_some_and(|f| f.server != server_id("edge-2")));
        assert!(actions
            .iter()
            .all(|a| !matches!(a, Action::StartAttempt(f) if f.server == server_id("edge-2"))));
    }
}

// Draining and removed servers.

#[test]
fn draining_or_removed_server_gets_no_attempt() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut driver = Driver::new(settings(), fleet());
        let listed: Vec<Endpoint> = ["edge-0", "parent-1"]
            .iter()
            .map(|name| {
                let role = if name.starts_with("edge") { Role::Edge } else { Role::Parent };
                Endpoint { state, ..endpoint(name, role) }
            })
            .collect();
        driver.handle(Event::Endpoints(EndpointUpdate::Delta, listed));
        for n in 0..200 {
            let f = driver.serve(n, IDEMPOTENT, n as u64, FillReport::FilledBySource);
            assert!(f.server != server_id("edge-0") && f.fill_source != server_id("parent-1"));
        }
    }
}

#[test]
fn server_missing_from_a_complete_list_is_removed() {
    let mut driver = Driver::new(settings(), fleet());
    driver.handle(Event::Endpoints(
        EndpointUpdate::Complete,
        fleet().into_iter().filter(|s| s.id != server_id("edge-3")).collect(),
    ));
    for n in 0..100 {
        assert_ne!(driver.serve(n, IDEMPOTENT, n as u64, FillReport::Hit).server, server_id("edge-3"));
    }
    driver.handle(Event::Endpoints(EndpointUpdate::Complete, Vec::new()));
    assert!(is_rejected(&driver.request(1000, IDEMPOTENT, 1), 1000));
    driver.handle(Event::Endpoints(EndpointUpdate::Failed, Vec::new()));
    assert!(is_rejected(&driver.request(1001, IDEMPOTENT, 1), 1001), "a failed poll changes nothing");
}

// Servers that are warming up.

fn warm(driver: &mut Driver) {
    for n in 0..600 {
        driver.serve(n, IDEMPOTENT, n as u64, FillReport::FilledBySource);
        driver.advance(10.0);
    }
}

#[test]
fn warming_cache_gets_at_most_its_share_and_rejected_attempts_count() {
    let mut driver = Driver::new(settings(), fleet());
    warm(&mut driver);
    driver.restart("edge-2", Role::Edge);
    // The three other caches have a load of a third of 100 responses of 100 ms per second each; the warming one may
    // get at most that, times the multiple and the initial share, in its window, rejected attempts included.
    let mut sent = 0;
    for n in 1000..1100 {
        let f = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 * 13)).expect("a fetch");
        sent += usize::from(f.server == server_id("edge-2"));
        let end =
            if f.server == server_id("edge-2") { AttemptResult::Rejected } else { AttemptResult::Served };
        for action in driver.finish(n, 0, &f.server, end, FillReport::Hit) {
            if let Action::StartAttempt(f) = action {
                assert_ne!(f.server, server_id("edge-2"));
                driver.finish(n, 1, &f.server, AttemptResult::Served, FillReport::Hit);
            }
        }
        driver.advance(10.0);
    }
    assert!((1..=13).contains(&sent), "{sent} sent to the cold cache in its first second");
}

#[test]
fn warming_parent_gets_at_most_its_share_of_fills() {
    let mut driver = Driver::new(settings(), fleet());
    warm(&mut driver);
    driver.restart("parent-1", Role::Parent);
    let mut named = 0;
    for n in 1000..1100 {
        let f = driver.serve(n, IDEMPOTENT, n as u64 * 13, FillReport::FilledBySource);
        named += usize::from(f.fill_source == server_id("parent-1"));
        driver.advance(10.0);
    }
    assert!((1..=10).contains(&named), "{named} fills from the cold parent in its first second");
}

#[test]
fn warming_server_gets_nothing_before_costs_are_known() {
    let mut servers = fleet();
    servers[0].started = Some(900.0);
    let mut driver = Driver::new(settings(), servers);
    for n in 0..40 {
        assert_ne!(
            first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("a fetch").server,
            server_id("edge-0")
        );
    }
}

// Purges.

#[test]
fn purge_limits_the_age_of_copies_until_it_has_converged() {
    for by_group in [false, true] {
        let mut driver = Driver::new(settings(), fleet());
        let object = (!by_group).then_some(ObjectId(5));
        assert_eq!(driver.serve(0, IDEMPOTENT, 5, FillReport::Hit).max_age, None);
        driver.handle(Event::Purged(GroupId(5), object, 80.0));
        for n in 1..70 {
            let since = driver.now - 1000.0 + 80.0;
            let f = first_attempt(&driver.request(n, IDEMPOTENT, 5)).expect("a fetch");
            let age = f.max_age.expect("a bound");
            assert!(age > 0.0 && age <= since.max(1.0), "{age} at {since}");
            let actions = driver.finish(n, 0, &f.server, AttemptResult::Rejected, FillReport::NotReported);
            assert!(first_attempt(&actions).expect("another attempt").max_age.is_some());
            driver.handle(Event::ClientDisconnected(request_id(n)));
            driver.advance(85.0);
        }
        // A slow fill that began before the purge may leave an old copy behind long after the convergence time.
        //.
        driver.advance(20_000.0);
        assert!(driver.serve(100, IDEMPOTENT, 5, FillReport::Hit).max_age.is_some_and(|age| age > 20_000.0));
        driver.advance(60_000.0);
        assert_eq!(driver.serve(101, IDEMPOTENT, 5, FillReport::Hit).max_age, None, "converged");
    }
}

#[test]
fn purge_never_extends_the_freshness_lifetime_and_spares_other_objects() {
    let mut driver = Driver::new(settings(), fleet());
    driver.handle(Event::Purged(GroupId(5), Some(ObjectId(5)), 80.0));
    assert_eq!(driver.serve(1, IDEMPOTENT, 13, FillReport::Hit).max_age, None, "same group, another object");
    driver.advance(3000.0);
    let age = driver.serve(2, EXPIRING, 5, FillReport::Hit).max_age.expect("a bound");
    assert!(age <= 3080.0);
}

/// The times at which twenty routers with little traffic each send to a server that is warming up.
fn sends_of_twenty_routers(name: &str, role: Role) -> (Vec<Ms>, Ms) {
    let mut s = settings();
    (s.zone_routers, s.routers) = (20, 20);
    let mut routers: Vec<Driver> = (0..20)
        .map(|seed| {
            let mut driver = Driver::new(s.clone(), Vec::new());
            driver.router = Router::new(s.clone(), seed);
            driver.handle(Event::Endpoints(EndpointUpdate::Complete, fleet()));
            driver
        })
        .collect();
    let (mut sent, mut started) = (Vec::new(), 0.0);
    for n in 0..240 {
        for (k, driver) in routers.iter_mut().enumerate() {
            if n == 120 {
                driver.restart(name, role);
                started = driver.now;
            }
            let f = driver.serve(n, IDEMPOTENT, (n * 20 + k) as u64, FillReport::FilledBySource);
            if n >= 120 && (f.server == server_id(name) || f.fill_source == server_id(name)) {
                sent.push(driver.now - started);
            }
            driver.advance(125.0);
        }
    }
    (sent, 100.0)
}

/// One request costs more than a router's share of a window: the server still warms up, and all routers together
/// stay within its budget. Eight requests of 100 ms per second and router go to three warm caches, or to one
/// parent: 53 or 160 per second in all.
#[test]
fn many_routers_warm_a_server_up_within_its_budget() {
    for (name, role, share, peers) in [("edge-2", Role::Edge, 0.2, 3.0), ("parent-1", Role::Parent, 0.1, 1.0)]
    {
        let (sent, weight) = sends_of_twenty_routers(name, role);
        let capacity = 20.0 * 8.0 * weight / (peers * 1000.0);
        assert!(sent.iter().filter(|t| **t < 2500.0).count() >= 3, "{name} never warms up: {sent:?}");
        for at in (0..90).map(|n| f64::from(n) * 100.0) {
            let window = sent.iter().filter(|t| (at..at + 1000.0).contains(*t)).count() as f64;
            let present = share + (1.0 - share) * at / 10_000.0;
            assert!(window * weight <= 2.0 * present * capacity * 1000.0, "{name}: {window} sent at {at}");
        }
    }
}
