//! The guarantees, one section each: one answer in time, no second execution, drains, slow start, purges.

mod common;
use basaltgw::api::*;
use basaltgw::routing::Router;
use common::*;

// One final answer, in time.

#[test]
fn request_without_response_is_rejected_before_its_deadline() {
    let mut d = Driver::new(settings(), fleet());
    d.ask(1, IDEMPOTENT, 5);
    let acts = d.wait(4000.0);
    let at = d
        .log
        .iter()
        .find(|(_, a)| matches!(a, Action::Reject(r, _) if *r == request_id(1)))
        .expect("an answer")
        .0;
    assert!(at < 5000.0 && at > 4900.0, "answered at {at}");
    assert!(
        acts.iter().any(|a| matches!(a, Action::CancelAttempt(r, _) if *r == request_id(1))),
        "the attempt in flight is cancelled"
    );
}

#[test]
fn request_that_cannot_be_served_is_rejected_at_once_with_retry_after() {
    let mut d = Driver::new(settings(), Vec::new());
    assert_eq!(d.ask(1, IDEMPOTENT, 5), vec![Action::Reject(request_id(1), 100.0)]);
    let mut d = Driver::new(settings(), fleet());
    for budget in [0.0, -5.0, 1.0] {
        let acts = d.handle(Event::Request(request(budget as usize + 10, IDEMPOTENT, 5, budget)));
        assert!(is_rejected(&acts, budget as usize + 10));
    }
    let unknown = Request { class: None, ..request(2, IDEMPOTENT, 5, 4000.0) };
    assert!(is_rejected(&d.handle(Event::Request(unknown)), 2));
    let huge = Request { size_kb: 1.0e6, ..request(3, IDEMPOTENT, 5, 4000.0) };
    assert!(is_rejected(&d.handle(Event::Request(huge)), 3), "two minutes to send, four seconds left");
}

#[test]
fn completed_request_starts_no_attempt() {
    let mut d = Driver::new(settings(), fleet());
    let first = first_attempt(&d.ask(1, IDEMPOTENT, 5)).expect("a fetch");
    assert!(d
        .handle(Event::ClientDisconnected(request_id(1)))
        .iter()
        .all(|a| matches!(a, Action::CancelAttempt(..))));
    assert!(d.end(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported).is_empty());
    assert!(
        d.end(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported).is_empty(),
        "a repeated outcome"
    );
    assert!(
        d.end(77, 3, &first.server, AttemptResult::TimedOut, FillReport::NotReported).is_empty(),
        "an unknown request"
    );
    d.wait(6000.0);
    assert!(!d.log.iter().any(|(_, a)| matches!(a, Action::Reject(..) | Action::Fail(_))));
}

#[test]
fn timed_out_attempt_is_retried_or_rejected() {
    let mut d = Driver::new(settings(), fleet());
    let first = first_attempt(&d.ask(1, IDEMPOTENT, 5)).expect("a fetch");
    let acts = d.end(1, 0, &first.server, AttemptResult::TimedOut, FillReport::NotReported);
    assert!(first_attempt(&acts).is_some() || is_rejected(&acts, 1));
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
        let mut d = Driver::new(settings(), fleet());
        let first = first_attempt(&d.ask(1, NON_IDEMPOTENT, 5)).expect("a fetch");
        assert_eq!(first.server, server_id("origin"));
        let acts = d.end(1, 0, &first.server, end, FillReport::NotReported);
        assert!(
            first_attempt(&acts).is_none() && is_failed(&acts, 1) && !is_rejected(&acts, 1),
            "{end:?}: {acts:?}"
        );
    }
}

#[test]
fn non_idempotent_request_that_was_not_executed_is_retried() {
    for end in [AttemptResult::Rejected, AttemptResult::NoConnection, AttemptResult::NotSent] {
        let mut d = Driver::new(settings(), fleet());
        let first = first_attempt(&d.ask(1, NON_IDEMPOTENT, 5)).expect("a fetch");
        let acts = d.end(1, 0, &first.server, end, FillReport::NotReported);
        let second = first_attempt(&acts).expect("another attempt");
        assert!(!acts.iter().any(|a| matches!(a, Action::Fail(_))));
        assert_eq!(second.rank, Rank::None);
    }
}

#[test]
fn non_idempotent_request_in_flight_at_its_deadline_fails() {
    let mut d = Driver::new(settings(), fleet());
    d.ask(1, NON_IDEMPOTENT, 5);
    let acts = d.wait(4000.0);
    assert!(is_failed(&acts, 1) && !is_rejected(&acts, 1));
}

#[test]
fn retry_with_an_idempotency_key_must_start_within_the_key_window() {
    let mut d = Driver::new(settings(), fleet());
    let (sent, window) = (d.now, settings().classes[WITH_KEY.0].key_window);
    let first = first_attempt(&d.ask(1, WITH_KEY, 5)).expect("a fetch");
    assert_eq!(first.start_before, f64::INFINITY, "none may have been executed");
    d.wait(200.0);
    let second = first_attempt(&d.end(1, 0, &first.server, AttemptResult::NotSent, FillReport::NotReported))
        .expect("a fetch");
    assert_eq!(second.start_before, f64::INFINITY, "none was executed");
    let since = d.now;
    d.wait(200.0);
    let third =
        first_attempt(&d.end(1, 1, &second.server, AttemptResult::ConnectionLost, FillReport::NotReported))
            .expect("a fetch");
    assert!(
        sent < since && third.start_before < since + window,
        "it may have been executed since then: {}",
        third.start_before
    );
    let first = first_attempt(&d.ask(2, IDEMPOTENT, 6)).expect("a fetch");
    let again =
        first_attempt(&d.end(2, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported))
            .expect("a fetch");
    assert_eq!(again.start_before, f64::INFINITY);
    // An attempt that was not sent by then has no successor.
    d.wait(third.start_before - d.now);
    let acts = d.end(1, 2, &third.server, AttemptResult::NotSent, FillReport::NotReported);
    assert!(first_attempt(&acts).is_none() && is_rejected(&acts, 1), "{acts:?}");
}

#[test]
fn request_with_an_idempotency_key_is_retried_only_within_window_and_scope() {
    let mut d = Driver::new(settings(), fleet());
    let first = first_attempt(&d.ask(1, WITH_KEY, 5)).expect("a fetch");
    d.wait(200.0);
    assert!(
        first_attempt(&d.end(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported))
            .is_some(),
        "within"
    );
    let first = first_attempt(&d.ask(2, WITH_KEY, 6)).expect("a fetch");
    d.wait(1100.0);
    assert!(
        first_attempt(&d.end(2, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported))
            .is_none(),
        "after the window"
    );
    let mut narrow = settings();
    narrow.classes[WITH_KEY.0].key_scope = KeyScope::Cell;
    let mut d = Driver::new(narrow, fleet());
    let first = first_attempt(&d.ask(1, WITH_KEY, 5)).expect("a fetch");
    let acts = d.end(1, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported);
    assert!(
        first_attempt(&acts).is_none() && is_failed(&acts, 1),
        "a rejection needs the scope of all servers"
    );
}

#[test]
fn attempt_at_a_silent_cache_is_cancelled_before_the_next_starts() {
    for copies in [false, true] {
        let mut s = settings();
        s.hedging = copies;
        let mut d = Driver::new(s, fleet());
        // Enough responses for a mean delay, then one cache falls silent.
        for n in 0..200 {
            d.serve(n, IDEMPOTENT, n as u64, FillReport::Hit);
            d.wait(10.0);
        }
        let mut out = Vec::new();
        for n in 200..400 {
            if out.len() == 2 {
                break;
            }
            if let Some(f) = first_attempt(&d.ask(n, IDEMPOTENT, n as u64)) {
                if f.server == server_id("edge-2") {
                    out.push(n);
                } else {
                    d.end(n, 0, &f.server, AttemptResult::Served, FillReport::Hit);
                }
            }
        }
        assert_eq!(out.len(), 2);
        let mut acts = Vec::new();
        while acts.is_empty() && d.now < 20_000.0 {
            acts = d.wait(50.0);
        }
        // The first is cancelled before another starts, so there are never two.
        let sent =
            acts.iter().any(|a| matches!(a, Action::StartAttempt(f) if f.request == request_id(out[0])));
        let cancelled =
            acts.iter().any(|a| matches!(a, Action::CancelAttempt(r, _) if *r == request_id(out[0])));
        assert!(cancelled && !sent, "{acts:?}");
        let acts = d.end(out[0], 0, &server_id("edge-2"), AttemptResult::Cancelled, FillReport::NotReported);
        assert!(first_attempt(&acts).is_some_and(|f| f.server != server_id("edge-2")));
        assert!(acts
            .iter()
            .all(|a| !matches!(a, Action::StartAttempt(f) if f.server == server_id("edge-2"))));
    }
}

// Draining and removed servers.

#[test]
fn draining_or_removed_server_gets_no_attempt() {
    for listed in [EndpointState::Draining, EndpointState::Removed] {
        let mut d = Driver::new(settings(), fleet());
        let told: Vec<Endpoint> = ["edge-0", "parent-1"]
            .iter()
            .map(|name| {
                let role = if name.starts_with("edge") { Role::Edge } else { Role::Parent };
                Endpoint { state: listed, ..endpoint(name, role) }
            })
            .collect();
        d.handle(Event::Endpoints(EndpointUpdate::Delta, told));
        for n in 0..200 {
            let f = d.serve(n, IDEMPOTENT, n as u64, FillReport::FilledBySource);
            assert!(f.server != server_id("edge-0") && f.fill_source != server_id("parent-1"));
        }
    }
}

#[test]
fn server_missing_from_a_complete_list_is_removed() {
    let mut d = Driver::new(settings(), fleet());
    d.handle(Event::Endpoints(
        EndpointUpdate::Complete,
        fleet().into_iter().filter(|s| s.id != server_id("edge-3")).collect(),
    ));
    for n in 0..100 {
        assert_ne!(d.serve(n, IDEMPOTENT, n as u64, FillReport::Hit).server, server_id("edge-3"));
    }
    d.handle(Event::Endpoints(EndpointUpdate::Complete, Vec::new()));
    assert!(is_rejected(&d.ask(1000, IDEMPOTENT, 1), 1000));
    d.handle(Event::Endpoints(EndpointUpdate::Failed, Vec::new()));
    assert!(is_rejected(&d.ask(1001, IDEMPOTENT, 1), 1001), "a failed poll changes nothing");
}

// Servers that are warming up.

fn warm(d: &mut Driver) {
    for n in 0..600 {
        d.serve(n, IDEMPOTENT, n as u64, FillReport::FilledBySource);
        d.wait(10.0);
    }
}

#[test]
fn warming_cache_gets_at_most_its_share_and_rejected_attempts_count() {
    let mut d = Driver::new(settings(), fleet());
    warm(&mut d);
    d.restart("edge-2", Role::Edge);
    // The three other caches have a load of a third of 100 responses of 100 ms per second each; the warming one may
    // get at most that, times the multiple and the initial share, in its window, rejected attempts included.
    let mut sent = 0;
    for n in 1000..1100 {
        let f = first_attempt(&d.ask(n, IDEMPOTENT, n as u64 * 13)).expect("a fetch");
        sent += usize::from(f.server == server_id("edge-2"));
        let end =
            if f.server == server_id("edge-2") { AttemptResult::Rejected } else { AttemptResult::Served };
        for act in d.end(n, 0, &f.server, end, FillReport::Hit) {
            if let Action::StartAttempt(f) = act {
                assert_ne!(f.server, server_id("edge-2"));
                d.end(n, 1, &f.server, AttemptResult::Served, FillReport::Hit);
            }
        }
        d.wait(10.0);
    }
    assert!((1..=13).contains(&sent), "{sent} sent to the cold cache in its first second");
}

#[test]
fn warming_parent_gets_at_most_its_share_of_fills() {
    let mut d = Driver::new(settings(), fleet());
    warm(&mut d);
    d.restart("parent-1", Role::Parent);
    let mut named = 0;
    for n in 1000..1100 {
        let f = d.serve(n, IDEMPOTENT, n as u64 * 13, FillReport::FilledBySource);
        named += usize::from(f.fill_source == server_id("parent-1"));
        d.wait(10.0);
    }
    assert!((1..=10).contains(&named), "{named} fills from the cold parent in its first second");
}

#[test]
fn warming_server_gets_nothing_before_costs_are_known() {
    let mut servers = fleet();
    servers[0].started = Some(900.0);
    let mut d = Driver::new(settings(), servers);
    for n in 0..40 {
        assert_ne!(
            first_attempt(&d.ask(n, IDEMPOTENT, n as u64)).expect("a fetch").server,
            server_id("edge-0")
        );
    }
}

// Purges.

#[test]
fn purge_limits_the_age_of_copies_until_it_has_converged() {
    for by_group in [false, true] {
        let mut d = Driver::new(settings(), fleet());
        let object = (!by_group).then_some(ObjectId(5));
        assert_eq!(d.serve(0, IDEMPOTENT, 5, FillReport::Hit).max_age, None);
        d.handle(Event::Purged(GroupId(5), object, 80.0));
        for n in 1..70 {
            let since = d.now - 1000.0 + 80.0;
            let f = first_attempt(&d.ask(n, IDEMPOTENT, 5)).expect("a fetch");
            let age = f.max_age.expect("a bound");
            assert!(age > 0.0 && age <= since.max(1.0), "{age} at {since}");
            let acts = d.end(n, 0, &f.server, AttemptResult::Rejected, FillReport::NotReported);
            assert!(first_attempt(&acts).expect("another attempt").max_age.is_some());
            d.handle(Event::ClientDisconnected(request_id(n)));
            d.wait(85.0);
        }
        // A slow fill that began before the purge may leave an old copy behind long after the convergence time.
        //.
        d.wait(20_000.0);
        assert!(d.serve(100, IDEMPOTENT, 5, FillReport::Hit).max_age.is_some_and(|age| age > 20_000.0));
        d.wait(60_000.0);
        assert_eq!(d.serve(101, IDEMPOTENT, 5, FillReport::Hit).max_age, None, "converged");
    }
}

#[test]
fn purge_never_extends_the_freshness_lifetime_and_spares_other_objects() {
    let mut d = Driver::new(settings(), fleet());
    d.handle(Event::Purged(GroupId(5), Some(ObjectId(5)), 80.0));
    assert_eq!(d.serve(1, IDEMPOTENT, 13, FillReport::Hit).max_age, None, "same group, another object");
    d.wait(3000.0);
    let age = d.serve(2, EXPIRING, 5, FillReport::Hit).max_age.expect("a bound");
    assert!(age <= 3080.0);
}

/// The times at which twenty routers with little traffic each send to a server that is warming up.
fn sends_of_twenty_routers(name: &str, role: Role) -> (Vec<Ms>, Ms) {
    let mut s = settings();
    (s.zone_routers, s.routers) = (20, 20);
    let mut routers: Vec<Driver> = (0..20)
        .map(|seed| {
            let mut d = Driver::new(s.clone(), Vec::new());
            d.router = Router::new(s.clone(), seed);
            d.handle(Event::Endpoints(EndpointUpdate::Complete, fleet()));
            d
        })
        .collect();
    let (mut sent, mut started) = (Vec::new(), 0.0);
    for n in 0..240 {
        for (k, d) in routers.iter_mut().enumerate() {
            if n == 120 {
                d.restart(name, role);
                started = d.now;
            }
            let f = d.serve(n, IDEMPOTENT, (n * 20 + k) as u64, FillReport::FilledBySource);
            if n >= 120 && (f.server == server_id(name) || f.fill_source == server_id(name)) {
                sent.push(d.now - started);
            }
            d.wait(125.0);
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
