//! Failures and overload of caches, parents and the origin: who is ejected, and what is retried.

mod common;
use basaltgw::api::*;
use common::*;

/// Serves a number of hits, ten milliseconds apart, so that delays are known.
fn serve_hits(driver: &mut Driver, from: usize, count: usize) {
    for n in from..from + count {
        driver.serve(n, IDEMPOTENT, n as u64 % 60, FillReport::Hit);
        driver.advance(10.0);
    }
}

/// One attempt that takes three times as long as usual is no evidence of silence.
#[test]
fn one_slow_response_ejects_nobody() {
    let mut driver = Driver::new(settings(), fleet());
    serve_hits(&mut driver, 0, 100);
    let f = first_attempt(&driver.request(1000, IDEMPOTENT, 1)).expect("a fetch");
    let actions = driver.advance(300.0);
    assert_eq!(count_log_lines(&actions, "ejected for"), 0);
    assert!(driver.finish_in(1000, 0, &f.server, AttemptResult::Served, FillReport::Hit, 300.0).is_empty());
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
        let Some(f) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) else { continue };
        if f.fill_source != server_id("parent-1") {
            driver.finish(n, 0, &f.server, AttemptResult::Served, FillReport::FilledBySource);
        }
        actions.extend(driver.advance(10.0));
        if count_log_lines(&actions, "ejected for") > 0 {
            break;
        }
    }
    assert_eq!(count_log_lines(&actions, "parent-1 ejected for"), 1, "{actions:?}");
    assert_eq!(count_log_lines(&actions, "edge"), 0);
    // Its attempts are cancelled and then filled from another source, at the same cache if necessary.
    let (n, at) = actions
        .iter()
        .find_map(|a| match a {
            Action::CancelAttempt { request: r, attempt: at } => Some((r.clone(), *at)),
            _ => None,
        })
        .expect("an attempt was cancelled");
    let server = driver
        .log
        .iter()
        .find_map(|(_, a)| match a {
            Action::StartAttempt(f) if f.request == n => Some(f.server.clone()),
            _ => None,
        })
        .expect("its attempt");
    let actions = driver.handle(Event::Outcome(Outcome {
        request: n,
        attempt: at,
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
        if let Some(f) = first_attempt(&requested) {
            let end = driver.finish(n, 0, &f.server, AttemptResult::Rejected, FillReport::OriginFailed);
            assert!(is_rejected(&end, n));
            actions.extend(end);
        }
        actions.extend(driver.advance(10.0));
    }
    // Failed fills of both in turn.
    let mut next = 0;
    for n in 2000..2200 {
        let Some(f) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) else { continue };
        if f.fill_source == server_id(&format!("parent-{next}")) {
            actions.extend(driver.finish(n, 0, &f.server, AttemptResult::Error, FillReport::SourceFailed));
            next = 1 - next;
        }
        driver.handle(Event::ClientDisconnected(request_id(n)));
        driver.finish(n, 0, &f.server, AttemptResult::Cancelled, FillReport::NotReported);
    }
    assert_eq!(count_log_lines(&actions, "ejected for"), 0);
    assert_eq!(count_log_lines(&actions, "parent"), 0, "{actions:?}");
}

/// A cache that fails requests quickly is not ejected, and each failed request is retried at once.
#[test]
fn request_that_fails_at_a_cache_is_retried_at_another() {
    let mut driver = Driver::new(settings(), fleet());
    let mut requests = 0;
    for n in 0..200 {
        let f = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("a fetch");
        if f.server == server_id("edge-1") {
            requests += 1;
            let next =
                first_attempt(&driver.finish(n, 0, &f.server, AttemptResult::Error, FillReport::NotReported))
                    .expect("another attempt");
            assert_ne!(next.server, server_id("edge-1"));
            driver.finish(n, 1, &next.server, AttemptResult::Served, FillReport::Hit);
        } else {
            driver.finish(n, 0, &f.server, AttemptResult::Served, FillReport::Hit);
        }
    }
    assert!(requests > 20, "{requests} requests met it: it still serves the others");
}

/// The tolerated load is relative to the listed weights.
#[test]
fn overloaded_home_spreads_parts_whatever_the_unit_of_weights() {
    let spread = |weight: f64| {
        let mut servers = fleet();
        servers.iter_mut().for_each(|s| s.weight = weight);
        let mut driver = Driver::new(settings(), servers);
        let mut homes: Vec<ServerId> = Vec::new();
        for n in 0..24 {
            let r = Request { part: Part(n as u64), ..request(n, IDEMPOTENT, 5, 4000.0) };
            homes.push(first_attempt(&driver.handle(Event::Request(r))).expect("a fetch").server);
        }
        homes
    };
    let homes = spread(1.0);
    assert_eq!(homes, spread(50.0));
    let at_home = homes.iter().filter(|h| **h == homes[0]).count();
    assert!((6..18).contains(&at_home), "{at_home} of 24 parts at one cache");
}

/// A zone whose caches have all restarted gets requests within their slow-start budgets.
#[test]
fn zone_of_warming_caches_gets_a_budget_by_listed_weights() {
    let mut driver = Driver::new(settings(), fleet());
    serve_hits(&mut driver, 0, 600);
    let now = driver.now;
    let restarted = |s: Endpoint| Endpoint { started: Some(now), ..s };
    driver.handle(Event::Endpoints {
        update: EndpointUpdate::Delta,
        entries: fleet().into_iter().filter(|s| s.role == Role::Edge).map(restarted).collect(),
    });
    let sent = (1000..1100)
        .filter_map(|n| first_attempt(&driver.request(n, IDEMPOTENT, n as u64)))
        .filter(|f| f.server.0.starts_with("edge"))
        .count();
    assert!((1..60).contains(&sent), "{sent} to warming caches at once");
}

/// A response that takes longer than the remaining time is rejected once its sending time is known, also without a size.
#[test]
fn object_too_large_for_the_remaining_time_is_rejected_once_known() {
    let mut driver = Driver::new(settings(), fleet());
    for n in 0..2 {
        let f = first_attempt(&driver.request(n, IDEMPOTENT, 7)).expect("a fetch");
        driver.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 3000.0);
    }
    assert!(is_rejected(&driver.handle(Event::Request(request(2, IDEMPOTENT, 7, 2000.0))), 2));
    assert!(first_attempt(&driver.request(3, IDEMPOTENT, 7)).is_some(), "4 s are enough");
}

/// A cache that responds after a silence, with attempts in flight, may have restarted before the list shows it.
#[test]
fn cache_that_responds_after_a_silence_counts_as_restarted() {
    let sent_to = |gap: Ms| {
        let mut driver = Driver::new(settings(), fleet());
        serve_hits(&mut driver, 0, 600);
        let mut in_flight = Vec::new();
        let mut others = Vec::new();
        for n in 1000..1200 {
            let f = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("a fetch");
            if f.server == server_id("edge-0") {
                in_flight.push(n);
            } else {
                others.push((n, f.server));
            }
            if in_flight.len() == 5 {
                break;
            }
        }
        for (n, server) in others {
            driver.finish(n, 0, &server, AttemptResult::Served, FillReport::Hit);
        }
        // Only the clock moves, without a sweep, so that the silent cache is not ejected.
        driver.now += gap;
        for n in in_flight {
            driver.finish(n, 0, &server_id("edge-0"), AttemptResult::Served, FillReport::Hit);
        }
        (2000..2200)
            .filter(|n| {
                let f = first_attempt(&driver.request(*n, IDEMPOTENT, *n as u64));
                f.is_some_and(|f| {
                    driver.finish(*n, 0, &f.server, AttemptResult::Served, FillReport::Hit);
                    // Earlier sends count until the window has passed, whatever is inferred about a restart.
                    driver.advance(10.0);
                    f.server == server_id("edge-0")
                })
            })
            .count()
    };
    let (paused, restarted) = (sent_to(300.0), sent_to(1200.0));
    assert!(restarted * 2 < paused && restarted > 0, "{restarted} against {paused}");
}

/// Every cache loses a quarter of its connections: none is ejected.
#[test]
fn caches_that_lose_some_connections_are_not_ejected() {
    let mut driver = Driver::new(settings(), fleet());
    let mut actions = Vec::new();
    for n in 0..400 {
        let f = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("a fetch");
        if n % 4 == 3 {
            let next = driver.finish(n, 0, &f.server, AttemptResult::ConnectionLost, FillReport::NotReported);
            let again = first_attempt(&next).expect("another attempt");
            assert_ne!(again.server, f.server);
            actions.extend(next);
            actions.extend(driver.finish(n, 1, &again.server, AttemptResult::Served, FillReport::Hit));
        } else {
            actions.extend(driver.finish(n, 0, &f.server, AttemptResult::Served, FillReport::Hit));
        }
    }
    assert_eq!(count_log_lines(&actions, "ejected for"), 0);
}

/// One failure after a success does not end probing; a first failure does.
#[test]
fn probing_tolerates_one_failure_after_a_success() {
    let mut driver = Driver::new(settings(), fleet());
    let step = |driver: &mut Driver, n: usize, end: AttemptResult| {
        for object in 0..4000 {
            let n = n * 4000 + object;
            let f = first_attempt(&driver.request(n, IDEMPOTENT, object as u64)).expect("a fetch");
            let at = f.server == server_id("edge-1");
            let actions = driver.finish(
                n,
                0,
                &f.server,
                if at { end } else { AttemptResult::Served },
                FillReport::NotReported,
            );
            if let Some(next) = first_attempt(&actions) {
                driver.finish(n, 1, &next.server, AttemptResult::Served, FillReport::Hit);
            }
            if at {
                return actions;
            }
        }
        panic!("nothing went to edge-1");
    };
    let mut n = 0;
    loop {
        n += 1;
        if count_log_lines(&step(&mut driver, n, AttemptResult::NoConnection), "edge-1 ejected for") > 0 {
            break;
        }
    }
    driver.advance(1100.0);
    assert_eq!(count_log_lines(&step(&mut driver, 100, AttemptResult::Error), "failed a probe"), 1);
    driver.advance(2100.0);
    for (k, end) in
        [AttemptResult::Served, AttemptResult::Error, AttemptResult::Served, AttemptResult::Served]
            .into_iter()
            .enumerate()
    {
        assert_eq!(count_log_lines(&step(&mut driver, 200 + k, end), "edge-1"), 0);
    }
    assert_eq!(count_log_lines(&step(&mut driver, 300, AttemptResult::Served), "recovered after probing"), 1);
}
