//! The guarantees, one section each: one answer in time, no second execution, nothing to draining servers.

mod common;
use basaltgw::api::*;
use common::*;

// One final answer, in time.

#[test]
fn request_without_response_is_rejected_before_its_deadline() {
    let mut driver = Driver::new(settings(), fleet());
    driver.request(1, IDEMPOTENT, 5);
    let actions = driver.advance(4000.0);
    let answered_at = driver
        .log
        .iter()
        .find(|(_, a)| matches!(a, Action::Reject { request, .. } if *request == request_id(1)))
        .expect("an answer")
        .0;
    assert!(answered_at < 5000.0 && answered_at > 4900.0, "answered at {answered_at}");
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::CancelAttempt { request, .. } if *request == request_id(1))),
        "the attempt in flight is cancelled"
    );
}

#[test]
fn request_that_cannot_be_served_is_rejected_at_once_with_retry_after() {
    let mut driver = Driver::new(settings(), Vec::new());
    assert_eq!(
        driver.request(1, IDEMPOTENT, 5),
        vec![Action::Reject { request: request_id(1), retry_after: 100.0 }]
    );
    let mut driver = Driver::new(settings(), fleet());
    for budget in [0.0, -5.0, 1.0] {
        let actions = driver.handle(Event::Request(request(budget as usize + 10, IDEMPOTENT, 5, budget)));
        assert!(is_rejected(&actions, budget as usize + 10));
    }
    let unknown = Request { class: None, ..request(2, IDEMPOTENT, 5, 4000.0) };
    assert!(is_rejected(&driver.handle(Event::Request(unknown)), 2));
    let huge = Request { size_kb: 1.0e6, ..request(3, IDEMPOTENT, 5, 4000.0) };
    assert!(
        is_rejected(&driver.handle(Event::Request(huge)), 3),
        "the response takes two minutes, and four seconds are left"
    );
}

#[test]
fn completed_request_starts_no_attempt() {
    let mut driver = Driver::new(settings(), fleet());
    let first = first_attempt(&driver.request(1, IDEMPOTENT, 5)).expect("an attempt");
    assert!(driver
        .handle(Event::ClientDisconnected(request_id(1)))
        .iter()
        .all(|a| matches!(a, Action::CancelAttempt { .. })));
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
    assert!(!driver.log.iter().any(|(_, a)| matches!(a, Action::Reject { .. } | Action::Fail(_))));
}

#[test]
fn timed_out_attempt_is_retried_or_rejected() {
    let mut driver = Driver::new(settings(), fleet());
    let first = first_attempt(&driver.request(1, IDEMPOTENT, 5)).expect("an attempt");
    let actions = driver.finish(1, 0, &first.server, AttemptResult::TimedOut, FillReport::NotReported);
    assert!(first_attempt(&actions).is_some() || is_rejected(&actions, 1));
}

// No second execution.

#[test]
fn non_idempotent_request_that_may_have_been_executed_fails_without_retry() {
    for result in [
        AttemptResult::Error,
        AttemptResult::TimedOut,
        AttemptResult::ConnectionLost,
        AttemptResult::Cancelled,
    ] {
        let mut driver = Driver::new(settings(), fleet());
        let first = first_attempt(&driver.request(1, NON_IDEMPOTENT, 5)).expect("an attempt");
        assert_eq!(first.server, server_id("origin"));
        let actions = driver.finish(1, 0, &first.server, result, FillReport::NotReported);
        assert!(
            first_attempt(&actions).is_none() && is_failed(&actions, 1) && !is_rejected(&actions, 1),
            "{result:?}: {actions:?}"
        );
    }
}

#[test]
fn non_idempotent_request_that_was_not_executed_is_retried() {
    for result in [AttemptResult::Rejected, AttemptResult::NoConnection, AttemptResult::NotSent] {
        let mut driver = Driver::new(settings(), fleet());
        let first = first_attempt(&driver.request(1, NON_IDEMPOTENT, 5)).expect("an attempt");
        let actions = driver.finish(1, 0, &first.server, result, FillReport::NotReported);
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
    let (first_sent, window) = (driver.now, settings().classes[WITH_KEY.0].key_window);
    let first = first_attempt(&driver.request(1, WITH_KEY, 5)).expect("an attempt");
    assert_eq!(first.start_before, f64::INFINITY, "no attempt may have been executed yet");
    driver.advance(200.0);
    let second =
        first_attempt(&driver.finish(1, 0, &first.server, AttemptResult::NotSent, FillReport::NotReported))
            .expect("an attempt");
    assert_eq!(second.start_before, f64::INFINITY, "the first attempt was not executed");
    let second_sent = driver.now;
    driver.advance(200.0);
    let third = first_attempt(&driver.finish(
        1,
        1,
        &second.server,
        AttemptResult::ConnectionLost,
        FillReport::NotReported,
    ))
    .expect("an attempt");
    assert!(
        first_sent < second_sent && third.start_before < second_sent + window,
        "the second may have been executed since {second_sent}; the third may start until {}",
        third.start_before
    );
    let first = first_attempt(&driver.request(2, IDEMPOTENT, 6)).expect("an attempt");
    let second = first_attempt(&driver.finish(
        2,
        0,
        &first.server,
        AttemptResult::ConnectionLost,
        FillReport::NotReported,
    ))
    .expect("an attempt");
    assert_eq!(second.start_before, f64::INFINITY, "an idempotent request may always run again");
    // No attempt follows one that was not sent within the key's window.
    driver.advance(third.start_before - driver.now);
    let actions = driver.finish(1, 2, &third.server, AttemptResult::NotSent, FillReport::NotReported);
    assert!(first_attempt(&actions).is_none() && is_rejected(&actions, 1), "{actions:?}");
}

#[test]
fn request_with_an_idempotency_key_is_retried_only_within_window_and_scope() {
    let mut driver = Driver::new(settings(), fleet());
    let first = first_attempt(&driver.request(1, WITH_KEY, 5)).expect("an attempt");
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
        "retried within the window"
    );
    let first = first_attempt(&driver.request(2, WITH_KEY, 6)).expect("an attempt");
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
        "not retried after the window"
    );
    let mut narrow_scope = settings();
    narrow_scope.classes[WITH_KEY.0].key_scope = KeyScope::Cell;
    let mut driver = Driver::new(narrow_scope, fleet());
    let first = first_attempt(&driver.request(1, WITH_KEY, 5)).expect("an attempt");
    let actions = driver.finish(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported);
    assert!(
        first_attempt(&actions).is_none() && is_failed(&actions, 1),
        "a rejection needs the scope of all servers"
    );
}

#[test]
fn attempt_at_a_silent_cache_is_cancelled_before_the_next_starts() {
    for hedging in [false, true] {
        let mut driver = Driver::new(Settings { hedging, ..settings() }, fleet());
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
            if let Some(spec) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) {
                if spec.server == server_id("edge-2") {
                    in_flight.push(n);
                } else {
                    driver.finish(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit);
                }
            }
        }
        assert_eq!(in_flight.len(), 2);
        let mut actions = Vec::new();
        while actions.is_empty() && driver.now < 20_000.0 {
            actions = driver.advance(50.0);
        }
        // The attempt is cancelled before the next one starts, so that two are never in flight.
        let started = actions
            .iter()
            .any(|a| matches!(a, Action::StartAttempt(spec) if spec.request == request_id(in_flight[0])));
        let cancelled = actions.iter().any(
            |a| matches!(a, Action::CancelAttempt { request, .. } if *request == request_id(in_flight[0])),
        );
        assert!(cancelled && !started, "{actions:?}");
        let actions = driver.finish(
            in_flight[0],
            0,
            &server_id("edge-2"),
            AttemptResult::Cancelled,
            FillReport::NotReported,
        );
        assert!(first_attempt(&actions).is_some_and(|spec| spec.server != server_id("edge-2")));
        assert!(actions
            .iter()
            .all(|a| !matches!(a, Action::StartAttempt(spec) if spec.server == server_id("edge-2"))));
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
        driver.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries: listed });
        for n in 0..200 {
            let spec = driver.serve(n, IDEMPOTENT, n as u64, FillReport::FilledBySource);
            assert!(spec.server != server_id("edge-0") && spec.fill_source != server_id("parent-1"));
        }
    }
}

#[test]
fn server_missing_from_a_complete_list_is_removed() {
    let mut driver = Driver::new(settings(), fleet());
    let entries = fleet().into_iter().filter(|server| server.id != server_id("edge-3")).collect();
    driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries });
    for n in 0..100 {
        assert_ne!(driver.serve(n, IDEMPOTENT, n as u64, FillReport::Hit).server, server_id("edge-3"));
    }
    driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: Vec::new() });
    assert!(is_rejected(&driver.request(1000, IDEMPOTENT, 1), 1000));
    driver.handle(Event::Endpoints { update: EndpointUpdate::Failed, entries: Vec::new() });
    assert!(is_rejected(&driver.request(1001, IDEMPOTENT, 1), 1001), "a failed poll changes nothing");
}
