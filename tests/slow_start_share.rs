//! Servers that are warming up get at most their share of requests and fills.

mod common;
use basaltgw::api::*;
use basaltgw::routing::Router;
use common::*;

/// Serves 600 requests, so that costs are known.
fn warm_up(driver: &mut Driver) {
    for n in 0..600 {
        driver.serve(n, IDEMPOTENT, n as u64, FillReport::FilledBySource);
        driver.advance(10.0);
    }
}

#[test]
fn warming_cache_gets_at_most_its_share_and_rejected_attempts_count() {
    let mut driver = Driver::new(settings(), fleet());
    warm_up(&mut driver);
    driver.restart("edge-2", Role::Edge);
    // The three other caches have a load of a third of 100 responses of 100 ms per second each; the warming one may
    // get at most that, times the overload factor and the initial share, in its window, rejected attempts included.
    let mut sent = 0;
    for n in 1000..1100 {
        let spec = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 * 13)).expect("an attempt");
        sent += usize::from(spec.server == server_id("edge-2"));
        let is_warming = spec.server == server_id("edge-2");
        let result = if is_warming { AttemptResult::Rejected } else { AttemptResult::Served };
        for action in driver.finish(n, 0, &spec.server, result, FillReport::Hit) {
            if let Action::StartAttempt(spec) = action {
                assert_ne!(spec.server, server_id("edge-2"));
                driver.finish(n, 1, &spec.server, AttemptResult::Served, FillReport::Hit);
            }
        }
        driver.advance(10.0);
    }
    assert!((1..=13).contains(&sent), "{sent} sent to the warming cache in its first second");
}

#[test]
fn warming_parent_gets_at_most_its_share_of_fills() {
    let mut driver = Driver::new(settings(), fleet());
    warm_up(&mut driver);
    driver.restart("parent-1", Role::Parent);
    let mut fills = 0;
    for n in 1000..1100 {
        let spec = driver.serve(n, IDEMPOTENT, n as u64 * 13, FillReport::FilledBySource);
        fills += usize::from(spec.fill_source == server_id("parent-1"));
        driver.advance(10.0);
    }
    assert!((1..=10).contains(&fills), "{fills} fills from the warming parent in its first second");
}

#[test]
fn warming_server_gets_nothing_before_costs_are_known() {
    let mut servers = fleet();
    servers[0].started = Some(900.0);
    let mut driver = Driver::new(settings(), servers);
    for n in 0..40 {
        assert_ne!(
            first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("an attempt").server,
            server_id("edge-0")
        );
    }
}

/// The times since its restart at which twenty routers with little traffic send to a server that is warming up.
fn sends_of_twenty_routers(name: &str, role: Role) -> Vec<Ms> {
    let settings = Settings { zone_routers: 20, routers: 20, ..settings() };
    let mut routers: Vec<Driver> = (0..20)
        .map(|seed| {
            let mut driver = Driver::new(settings.clone(), Vec::new());
            driver.router = Router::new(settings.clone(), seed);
            driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: fleet() });
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
            let spec = driver.serve(n, IDEMPOTENT, (n * 20 + k) as u64, FillReport::FilledBySource);
            if n >= 120 && (spec.server == server_id(name) || spec.fill_source == server_id(name)) {
                sent.push(driver.now - started);
            }
            driver.advance(125.0);
        }
    }
    sent
}

/// One request costs more than a router's share of a window: the server still warms up, and all routers together
/// stay within its budget. Each router sends eight requests of 100 ms per second to three warm caches, or to one
/// parent: 53 or 160 per second and server in all.
#[test]
fn many_routers_warm_a_server_up_within_its_budget() {
    for (name, role, initial_share, warm_peers) in
        [("edge-2", Role::Edge, 0.2, 3.0), ("parent-1", Role::Parent, 0.1, 1.0)]
    {
        let sent = sends_of_twenty_routers(name, role);
        let sending_time = 100.0;
        let capacity = 20.0 * 8.0 * sending_time / (warm_peers * 1000.0);
        assert!(sent.iter().filter(|t| **t < 2500.0).count() >= 3, "{name} never warms up: {sent:?}");
        for at in (0..90).map(|n| f64::from(n) * 100.0) {
            let window = sent.iter().filter(|t| (at..at + 1000.0).contains(*t)).count() as f64;
            let present_share = initial_share + (1.0 - initial_share) * at / 10_000.0;
            assert!(
                window * sending_time <= 2.0 * present_share * capacity * 1000.0,
                "{name}: {window} sent at {at}"
            );
        }
    }
}
