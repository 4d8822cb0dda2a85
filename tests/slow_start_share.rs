//! Servers that are warming up get at most their share of requests and fills.

mod common;
use basaltgw::api::*;
use basaltgw::routing::Router;
use common::*;

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

/// The times at which twenty routers with little traffic each send to a server that is warming up.
fn sends_of_twenty_routers(name: &str, role: Role) -> (Vec<Ms>, Ms) {
    let mut s = settings();
    (s.zone_routers, s.routers) = (20, 20);
    let mut routers: Vec<Driver> = (0..20)
        .map(|seed| {
            let mut driver = Driver::new(s.clone(), Vec::new());
            driver.router = Router::new(s.clone(), seed);
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
