//! Failures and overload of caches, parents and the origin: which servers are ejected, and what is retried.

mod common;
use basaltgw::api::*;
use common::*;

/// Serves a number of hits, ten milliseconds apart, so that the class has a mean delay.
fn serve_hits(driver: &mut Driver, first: usize, count: usize) {
    for n in first..first + count {
        driver.serve(n, IDEMPOTENT, n as u64 % 60, FillReport::Hit);
        driver.advance(10.0);
    }
}

/// One attempt that takes three times as long as usual is no evidence of silence.
#[test]
fn one_slow_response_ejects_no_server() {
    let mut driver = Driver::new(settings(), fleet());
    serve_hits(&mut driver, 0, 100);
    let spec = first_attempt(&driver.request(1000, IDEMPOTENT, 1)).expect("an attempt");
    let actions = driver.advance(300.0);
    assert_eq!(count_log_lines(&actions, "ejected for"), 0);
    assert!(driver
        .finish_after(1000, 0, &spec.server, AttemptResult::Served, FillReport::Hit, 300.0)
        .is_empty());
}

/// The first responses are too few for a mean delay.
#[test]
fn no_server_is_silent_before_delays_are_known() {
    let mut driver = Driver::new(settings(), fleet());
    serve_hits(&mut driver, 0, 5);
    for n in 100..104 {
        driver.request(n, IDEMPOTENT, n as u64);
    }
    assert_eq!(count_log_lines(&driver.advance(2000.0), "ejected for"), 0);
}

/// A parent that accepts fills and never responds is ejected, not the caches that wait for it.
#[test]
fn hung_parent_is_ejected_and_the_caches_that_wait_for_it_are_not() {
    let mut driver = Driver::new(settings(), fleet());
    for n in 0..200 {
        driver.serve(n, IDEMPOTENT, n as u64, FillReport::FilledBySource);
        driver.advance(10.0);
    }
    let mut actions = Vec::new();
    for n in 1000..1400 {
        let Some(spec) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) else { continue };
        if spec.fill_source != server_id("parent-1") {
            driver.finish(n, 0, &spec.server, AttemptResult::Served, FillReport::FilledBySource);
        }
        actions.extend(driver.advance(10.0));
        if count_log_lines(&actions, "ejected for") > 0 {
            break;
        }
    }
    assert_eq!(count_log_lines(&actions, "parent-1 ejected for"), 1, "{actions:?}");
    assert_eq!(count_log_lines(&actions, "edge"), 0);
    // Attempts that wait for the parent are cancelled and then filled from another source, at the same cache if
    // necessary.
    let (request, attempt) = actions
        .iter()
        .find_map(|a| match a {
            Action::CancelAttempt { request, attempt } => Some((request.clone(), *attempt)),
            _ => None,
        })
        .expect("a cancelled attempt");
    let server = driver
        .log
        .iter()
        .find_map(|(_, a)| match a {
            Action::StartAttempt(spec) if spec.request == request => Some(spec.server.clone()),
            _ => None,
        })
        .expect("the cancelled attempt's start");
    let actions = driver.handle(Event::Outcome(Outcome {
        request,
        attempt,
        server,
        result: AttemptResult::Cancelled,
        latency: 900.0,
        completes_request: false,
        fill_report: FillReport::NotReported,
        source_wait: 0.0,
        load: LoadReport::default(),
        body_complete: true,
    }));
    assert_ne!(first_attempt(&actions).expect("another attempt").fill_source, server_id("parent-1"));
}

/// An origin that fails behind both parents ejects neither, and the request is not retried at the same origin.
#[test]
fn failing_origin_ejects_no_parent() {
    let mut driver = Driver::new(settings(), fleet());
    serve_hits(&mut driver, 0, 50);
    let mut actions = Vec::new();
    for n in 1000..1100 {
        let requested = driver.request(n, IDEMPOTENT, n as u64);
        if let Some(spec) = first_attempt(&requested) {
            let finished =
                driver.finish(n, 0, &spec.server, AttemptResult::Rejected, FillReport::OriginFailed);
            assert!(is_rejected(&finished, n));
            actions.extend(finished);
        }
        actions.extend(driver.advance(10.0));
    }
    // Fills of both parents fail in turn.
    let mut failing = 0;
    for n in 2000..2200 {
        let Some(spec) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) else { continue };
        if spec.fill_source == server_id(&format!("parent-{failing}")) {
            actions.extend(driver.finish(n, 0, &spec.server, AttemptResult::Error, FillReport::SourceFailed));
            failing = 1 - failing;
        }
        driver.handle(Event::ClientDisconnected(request_id(n)));
        driver.finish(n, 0, &spec.server, AttemptResult::Cancelled, FillReport::NotReported);
    }
    assert_eq!(count_log_lines(&actions, "ejected for"), 0);
    assert_eq!(count_log_lines(&actions, "parent"), 0, "{actions:?}");
}

/// A cache whose attempts all end with an error is not ejected, and each failed request is retried at once.
#[test]
fn request_that_fails_at_a_cache_is_retried_at_another() {
    let mut driver = Driver::new(settings(), fleet());
    let mut failed = 0;
    for n in 0..200 {
        let spec = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("an attempt");
        if spec.server == server_id("edge-1") {
            failed += 1;
            let next = first_attempt(&driver.finish(
                n,
                0,
                &spec.server,
                AttemptResult::Error,
                FillReport::NotReported,
            ))
            .expect("another attempt");
            assert_ne!(next.server, server_id("edge-1"));
            driver.finish(n, 1, &next.server, AttemptResult::Served, FillReport::Hit);
        } else {
            driver.finish(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit);
        }
    }
    assert!(failed > 20, "{failed} requests failed at edge-1: it is not ejected");
}

/// The tolerated load is relative to the listed weights.
#[test]
fn overloaded_home_spreads_parts_whatever_the_unit_of_weights() {
    let servers_of_parts = |weight: f64| {
        let mut listed = fleet();
        listed.iter_mut().for_each(|s| s.weight = weight);
        let mut driver = Driver::new(settings(), listed);
        let mut servers: Vec<ServerId> = Vec::new();
        for n in 0..24 {
            let request = Request { part: Part(n as u64), ..request(n, IDEMPOTENT, 5, 4000.0) };
            servers.push(first_attempt(&driver.handle(Event::Request(request))).expect("an attempt").server);
        }
        servers
    };
    let servers = servers_of_parts(1.0);
    assert_eq!(servers, servers_of_parts(50.0));
    // No cache has load when the first part is requested, so that part is at the object's home.
    let at_home = servers.iter().filter(|server| **server == servers[0]).count();
    assert!((6..18).contains(&at_home), "{at_home} of 24 parts at the object's home");
}

/// A zone whose caches have all restarted gets requests within their slow-start budgets.
#[test]
fn zone_of_warming_caches_gets_a_budget_by_listed_weights() {
    let mut driver = Driver::new(settings(), fleet());
    serve_hits(&mut driver, 0, 600);
    let now = driver.now;
    let edges = fleet().into_iter().filter(|server| server.role == Role::Edge);
    let entries = edges.map(|server| Endpoint { started: Some(now), ..server }).collect();
    driver.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries });
    let sent = (1000..1100)
        .filter_map(|n| first_attempt(&driver.request(n, IDEMPOTENT, n as u64)))
        .filter(|spec| spec.server.0.starts_with("edge"))
        .count();
    assert!((1..60).contains(&sent), "{sent} to warming caches at once");
}

/// A response that takes longer than the remaining time is rejected once its sending time is known, also without a
/// size.
#[test]
fn object_too_large_for_the_remaining_time_is_rejected_once_known() {
    let mut driver = Driver::new(settings(), fleet());
    for n in 0..2 {
        let spec = first_attempt(&driver.request(n, IDEMPOTENT, 7)).expect("an attempt");
        driver.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit, 3000.0);
    }
    assert!(is_rejected(&driver.handle(Event::Request(request(2, IDEMPOTENT, 7, 2000.0))), 2));
    assert!(first_attempt(&driver.request(3, IDEMPOTENT, 7)).is_some(), "4 s are enough");
}

/// A cache that responds after a silence, with attempts in flight, may have restarted before the list shows it.
#[test]
fn cache_that_responds_after_a_silence_counts_as_restarted() {
    let sent_after_silence = |silence: Ms| {
        let mut driver = Driver::new(settings(), fleet());
        serve_hits(&mut driver, 0, 600);
        let mut in_flight = Vec::new();
        let mut others = Vec::new();
        for n in 1000..1200 {
            let spec = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("an attempt");
            if spec.server == server_id("edge-0") {
                in_flight.push(n);
            } else {
                others.push((n, spec.server));
            }
            if in_flight.len() == 5 {
                break;
            }
        }
        for (n, server) in others {
            driver.finish(n, 0, &server, AttemptResult::Served, FillReport::Hit);
        }
        // Only the clock moves, without a sweep, so that the silent cache is not ejected.
        driver.now += silence;
        for n in in_flight {
            driver.finish(n, 0, &server_id("edge-0"), AttemptResult::Served, FillReport::Hit);
        }
        (2000..2200)
            .filter(|n| {
                let spec = first_attempt(&driver.request(*n, IDEMPOTENT, *n as u64));
                spec.is_some_and(|spec| {
                    driver.finish(*n, 0, &spec.server, AttemptResult::Served, FillReport::Hit);
                    // Earlier sends count until the window has passed, whatever is inferred about a restart.
                    driver.advance(10.0);
                    spec.server == server_id("edge-0")
                })
            })
            .count()
    };
    let (paused, restarted) = (sent_after_silence(300.0), sent_after_silence(1200.0));
    assert!(
        restarted * 2 < paused && restarted > 0,
        "{restarted} sent after a restart, {paused} after a pause"
    );
}

/// Every cache loses a quarter of its connections: none is ejected.
#[test]
fn caches_that_lose_some_connections_are_not_ejected() {
    let mut driver = Driver::new(settings(), fleet());
    let mut actions = Vec::new();
    for n in 0..400 {
        let spec = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("an attempt");
        if n % 4 == 3 {
            let next =
                driver.finish(n, 0, &spec.server, AttemptResult::ConnectionLost, FillReport::NotReported);
            let retry = first_attempt(&next).expect("another attempt");
            assert_ne!(retry.server, spec.server);
            actions.extend(next);
            actions.extend(driver.finish(n, 1, &retry.server, AttemptResult::Served, FillReport::Hit));
        } else {
            actions.extend(driver.finish(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit));
        }
    }
    assert_eq!(count_log_lines(&actions, "ejected for"), 0);
}

/// One failure after a success does not end probing; a first failure does.
#[test]
fn probing_tolerates_one_failure_after_a_success() {
    let mut driver = Driver::new(settings(), fleet());
    // Requests objects until one goes to edge-1, and ends that attempt with a result.
    let probe = |driver: &mut Driver, n: usize, result: AttemptResult| {
        for object in 0..4000 {
            let n = n * 4000 + object;
            let spec = first_attempt(&driver.request(n, IDEMPOTENT, object as u64)).expect("an attempt");
            let is_probe = spec.server == server_id("edge-1");
            let actions = driver.finish(
                n,
                0,
                &spec.server,
                if is_probe { result } else { AttemptResult::Served },
                FillReport::NotReported,
            );
            if let Some(next) = first_attempt(&actions) {
                driver.finish(n, 1, &next.server, AttemptResult::Served, FillReport::Hit);
            }
            if is_probe {
                return actions;
            }
        }
        panic!("no attempt was sent to edge-1");
    };
    let mut n = 0;
    loop {
        n += 1;
        if count_log_lines(&probe(&mut driver, n, AttemptResult::NoConnection), "edge-1 ejected for") > 0 {
            break;
        }
    }
    driver.advance(1100.0);
    assert_eq!(count_log_lines(&probe(&mut driver, 100, AttemptResult::Error), "failed a probe"), 1);
    driver.advance(2100.0);
    for (k, result) in
        [AttemptResult::Served, AttemptResult::Error, AttemptResult::Served, AttemptResult::Served]
            .into_iter()
            .enumerate()
    {
        assert_eq!(count_log_lines(&probe(&mut driver, 200 + k, result), "edge-1"), 0);
    }
    assert_eq!(
        count_log_lines(&probe(&mut driver, 300, AttemptResult::Served), "recovered after probing"),
        1
    );
}
