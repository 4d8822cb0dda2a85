//! Large fleets and little traffic: servers that drain in waves, inconsistent lists, a cell that restarts at once.

mod common;
use basaltgw::api::*;
use common::*;

/// How many final answers the router gave to a request, and how many attempts it started.
fn count_answers_and_attempts(driver: &Driver, n: usize) -> (usize, usize) {
    let answers = driver.log.iter().filter(|(_, a)| {
        matches!(a, Action::Reject { request, .. } | Action::Fail(request) if *request == request_id(n))
    });
    let attempts = driver
        .log
        .iter()
        .filter(|(_, a)| matches!(a, Action::StartAttempt(spec) if spec.request == request_id(n)));
    (answers.count(), attempts.count())
}

/// One third of a large fleet after another drains and is removed, the origin among them. A non-idempotent request
/// in flight at the origin is neither retried nor rejected, and no attempt goes to a server that drains or is removed.
#[test]
fn servers_that_drain_in_waves_get_no_attempt_and_no_second_execution() {
    let all = large_fleet();
    let mut driver = Driver::new(settings(), all.clone());
    let first = first_attempt(&driver.request(0, NON_IDEMPOTENT, 1)).expect("an attempt");
    let mut withdrawn: Vec<ServerId> = Vec::new();
    for wave in 0..3 {
        for state in [EndpointState::Draining, EndpointState::Removed] {
            let third = all.iter().enumerate().filter(|(n, _)| n % 3 == wave);
            let listed: Vec<Endpoint> = third.map(|(_, e)| Endpoint { state, ..e.clone() }).collect();
            withdrawn.extend(listed.iter().map(|e| e.id.clone()));
            driver.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries: listed });
            for n in 0..40 {
                let n = 1 + wave * 200 + usize::from(state == EndpointState::Removed) * 100 + n;
                let actions = driver.request(n, IDEMPOTENT, n as u64);
                let Some(spec) = first_attempt(&actions) else {
                    assert!(is_rejected(&actions, n), "rejected at once");
                    continue;
                };
                assert!(
                    !withdrawn.contains(&spec.server) && !withdrawn.contains(&spec.fill_source),
                    "wave {wave}"
                );
                driver.finish(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit);
            }
            driver.advance(300.0);
        }
    }
    assert!(is_rejected(&driver.request(900, IDEMPOTENT, 1), 900), "no server is left");
    let actions = driver.finish(0, 0, &first.server, AttemptResult::ConnectionLost, FillReport::NotReported);
    assert!(is_failed(&actions, 0) && !is_rejected(&actions, 0));
    assert_eq!(count_answers_and_attempts(&driver, 0), (1, 1));
}

/// Entries that repeat, contradict each other or have invalid weights, and a list that becomes empty.
#[test]
fn inconsistent_lists_give_one_answer_for_each_request() {
    let mut driver = Driver::new(settings(), large_fleet());
    let invalid_weights = [0.0, -1.0, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE];
    let mut listed: Vec<Endpoint> = invalid_weights
        .iter()
        .enumerate()
        .map(|(n, weight)| Endpoint { weight: *weight, ..endpoint(&format!("edge-{}", n % 2), Role::Edge) })
        .collect();
    listed.push(Endpoint { state: EndpointState::Removed, ..endpoint("never-listed", Role::Parent) });
    listed.push(Endpoint { zone: ZoneId(99), ..endpoint("from-nowhere", Role::Edge) });
    listed.push(Endpoint { started: Some(f64::INFINITY), ..endpoint("from-the-future", Role::Edge) });
    listed.push(endpoint("origin", Role::Edge));
    let lists = [
        (EndpointUpdate::Delta, listed.clone()),
        (EndpointUpdate::Complete, listed),
        (EndpointUpdate::Failed, Vec::new()),
        (EndpointUpdate::Complete, Vec::new()),
    ];
    let mut requests = 0;
    for (update, entries) in lists {
        driver.handle(Event::Endpoints { update, entries });
        for class in [IDEMPOTENT, EXPIRING, NON_IDEMPOTENT, WITH_KEY] {
            for object in 0..10 {
                requests += 1;
                driver.request(requests, class, object);
                driver.advance(10.0);
            }
        }
    }
    driver.advance(10_000.0);
    for n in 1..=requests {
        assert_eq!(count_answers_and_attempts(&driver, n).0, 1, "request {n}");
    }
}

/// Half of a zone's caches restart at once: they get their slow-start share, and the other half gets all other
/// requests.
#[test]
fn cell_that_restarts_at_once_gets_its_slow_start_share() {
    let mut driver = Driver::new(settings(), fleet());
    for n in 0..600 {
        driver.serve(n, IDEMPOTENT, n as u64, FillReport::FilledBySource);
        driver.advance(10.0);
    }
    let started = Some(driver.now);
    let cell = ["edge-0", "edge-1"];
    let listed = cell.iter().map(|name| Endpoint { started, ..endpoint(name, Role::Edge) });
    driver.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries: listed.collect() });
    let (mut warming, mut warm) = (0, 0);
    for n in 1000..1100 {
        let spec = driver.serve(n, IDEMPOTENT, n as u64 * 13, FillReport::Hit);
        let is_warming = cell.iter().any(|name| spec.server == server_id(name));
        *if is_warming { &mut warming } else { &mut warm } += 1;
        driver.advance(10.0);
    }
    // Four caches had a load of 100 responses of 80 ms per second; two warming ones start with a fifth of their share
    // and may get twice that.
    assert!((1..=20).contains(&warming), "{warming} sent to the restarted cell");
    assert!(warm >= 80, "{warm} sent to the other caches");
}

/// A router that gets a request every ten seconds answers each once, with servers that never respond.
#[test]
fn router_with_hardly_any_traffic_answers_each_request_once() {
    let mut driver = Driver::new(settings(), large_fleet());
    for n in 0..20 {
        assert!(
            first_attempt(&driver.request(n, [IDEMPOTENT, EXPIRING, WITH_KEY][n % 3], n as u64 % 3))
                .is_some(),
            "request {n} is sent"
        );
        driver.advance(10_000.0);
        assert_eq!(count_answers_and_attempts(&driver, n).0, 1, "request {n}");
    }
}
