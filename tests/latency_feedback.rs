//! What a router learns about servers and the link from the latencies of its own responses, without load reports.

mod common;
use basaltgw::api::*;
use basaltgw::routing::snapshot::PurgeSnapshot;
use basaltgw::routing::PurgeTarget;
use common::*;

fn without_load_reports() -> Settings {
    Settings { direct_to_parents: false, zone_routers: 20, peer_fill: PeerFill::Zone, ..settings() }
}

/// The first attempt for an object that was not requested before.
fn attempt_for(driver: &mut Driver, n: usize, object: u64) -> AttemptSpec {
    let actions = driver.request(n, IDEMPOTENT, object);
    let f = first_attempt(&actions).unwrap_or_else(|| panic!("no fetch: {actions:?}"));
    driver.handle(Event::ClientDisconnected(request_id(n)));
    driver.finish_in(n, 0, &f.server, AttemptResult::Cancelled, FillReport::NotReported, 0.0);
    f
}

/// Of a hundred objects, how many have their home at a server, or have it as their source.
fn homes(driver: &mut Driver, from: usize, name: &str) -> usize {
    (0..100)
        .filter(|o| [server_id(name)].contains(&attempt_for(driver, from + o, 5000 + *o as u64).server))
        .count()
}

fn sources(driver: &mut Driver, from: usize, name: &str) -> usize {
    (0..100)
        .filter(|o| attempt_for(driver, from + o, 5000 + *o as u64).fill_source == server_id(name))
        .count()
}

/// A cache that takes eight times as long as the zone's others loses objects, the others' stay, and it regains them
/// once it is fast again.
#[test]
fn slow_cache_loses_objects_and_regains_them() {
    let mut driver = Driver::new(without_load_reports(), fleet());
    let before = homes(&mut driver, 0, "edge-0");
    for n in 0..200 {
        let f = first_attempt(&driver.request(10_000 + n, IDEMPOTENT, n as u64)).expect("a fetch");
        let took = if f.server == server_id("edge-0") { 800.0 } else { 100.0 };
        driver.finish_in(10_000 + n, 0, &f.server, AttemptResult::Served, FillReport::Hit, took);
        driver.advance(20.0);
    }
    let (after, other) = (homes(&mut driver, 20_000, "edge-0"), homes(&mut driver, 20_100, "edge-1"));
    assert!(before >= 15 && after * 3 < before, "{before} objects before, {after} after");
    assert!(other >= 20, "the next in order got them: {other}");
    // Nothing more is sent to it; the penalty decays.
    driver.advance(100_000.0);
    let again = homes(&mut driver, 30_000, "edge-0");
    assert!(again + 3 >= before, "and back, all but a few: {again} of {before}");
}

/// The same for a parent whose fills are slow; the caches that it fills are not penalized.
#[test]
fn slow_parent_loses_objects_and_its_caches_do_not() {
    let mut driver = Driver::new(without_load_reports(), fleet());
    let (before, cache) = (sources(&mut driver, 0, "parent-0"), homes(&mut driver, 100, "edge-0"));
    for n in 0..120 {
        let f = first_attempt(&driver.request(1000 + n, IDEMPOTENT, n as u64)).expect("a fetch");
        let took = if f.fill_source == server_id("parent-0") { 900.0 } else { 120.0 };
        driver.finish_in(1000 + n, 0, &f.server, AttemptResult::Served, FillReport::FilledBySource, took);
        driver.advance(20.0);
    }
    let after = sources(&mut driver, 2000, "parent-0");
    assert!(before >= 30 && after * 3 < before, "{before} before, {after} after");
    assert!(homes(&mut driver, 3000, "edge-0") + 10 > cache, "all caches had slow fills alike");
}

/// Slow attempts count before they end, so that no deadline has to pass first.
#[test]
fn slow_attempts_in_flight_penalize_their_cache() {
    let mut driver = Driver::new(without_load_reports(), fleet());
    for n in 0..80 {
        let f = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("a fetch");
        driver.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 20.0);
    }
    let before = homes(&mut driver, 1000, "edge-0");
    let mut stuck = Vec::new();
    for n in 2000..2100 {
        let f = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("a fetch");
        if f.server == server_id("edge-0") && stuck.len() < 6 {
            stuck.push(n);
        } else {
            driver.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 20.0);
        }
    }
    driver.advance(340.0);
    let lines: Vec<_> = driver.log.iter().filter(|(_, a)| matches!(a, Action::Log(_))).collect();
    assert!(stuck.len() >= 2 && lines.is_empty(), "no server is silent before 350 ms: {stuck:?} {lines:?}");
    for n in stuck {
        driver.handle(Event::ClientDisconnected(request_id(n)));
        driver.finish(n, 0, &server_id("edge-0"), AttemptResult::Cancelled, FillReport::NotReported);
    }
    let after = homes(&mut driver, 3000, "edge-0");
    assert!(after * 2 < before, "{before} objects before, {after} after");
}

/// A fill that is not admitted becomes a lookup, which accepts a stale copy: it is worth more than a rejection. After
/// a purge the copy must be younger than the purge.
#[test]
fn lookup_accepts_a_stale_copy() {
    let mut settings = without_load_reports();
    settings.classes[EXPIRING.0].stale_for = 20_000.0;
    let mut driver = Driver::new(settings, fleet());
    let f = first_attempt(&driver.request(0, EXPIRING, 1)).expect("a fetch");
    assert_eq!(f.max_age, None, "a fill brings a fresh copy");
    driver.handle(Event::Endpoints {
        update: EndpointUpdate::Delta,
        entries: removed(&["parent-0", "parent-1", "origin"]),
    });
    let f = first_attempt(&driver.request(1, EXPIRING, 1)).expect("a lookup");
    assert_eq!((f.max_age, f.fill_source == f.server), (Some(28_000.0), true));
    driver.handle(Event::Purged { group: GroupId(1), object: Some(ObjectId(1)), age: 0.0 });
    driver.advance(500.0);
    let f = first_attempt(&driver.request(2, EXPIRING, 1)).expect("a lookup");
    assert!(f.max_age.is_some_and(|age| age <= 500.0), "{:?}", f.max_age);
}

fn removed(names: &[&str]) -> Vec<Endpoint> {
    let role = |name: &str| if name == "origin" { Role::Origin } else { Role::Parent };
    names.iter().map(|n| Endpoint { state: EndpointState::Removed, ..endpoint(n, role(n)) }).collect()
}

/// A warming cache's budget is shared by the zone's routers: twenty routers together stay below what overloads it (a
/// cache of weight 4 at a fifth: 0.8 responses at a time, twice that for a second).
#[test]
fn twenty_routers_share_the_slow_start_budget() {
    let mut sent = 0.0;
    for seed in 0..20 {
        let sized = |mut e: Endpoint| {
            e.weight = 4.0;
            e
        };
        let mut driver = Driver::new(without_load_reports(), fleet().into_iter().map(sized).collect());
        driver.router = basaltgw::routing::Router::new(without_load_reports(), seed);
        let started = Some(driver.now);
        let mut all: Vec<Endpoint> = fleet().into_iter().map(sized).collect();
        all[0].started = started;
        driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: all });
        for n in 0..50 {
            let actions = driver.request(n, IDEMPOTENT, n as u64);
            let Some(f) = first_attempt(&actions) else { continue };
            sent += if f.server == server_id("edge-0") { 100.0 } else { 0.0 };
            driver.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 100.0);
            driver.advance(20.0);
        }
    }
    let limit = 4.0 * 0.2 * 2.0 * 1000.0;
    assert!(sent > 0.0 && sent <= limit, "{sent} of {limit}");
}

/// A snapshot restores penalties and purges, a warming cache keeps warming up, and nothing applies to a new process.
#[test]
fn snapshot_restores_penalties_warmup_and_purges_of_the_same_processes() {
    let mut old = Driver::new(settings(), fleet());
    for n in 0..200 {
        let f = first_attempt(&old.request(n, IDEMPOTENT, n as u64)).expect("a fetch");
        let took = if f.server == server_id("edge-0") { 800.0 } else { 100.0 };
        old.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, took);
        old.advance(20.0);
    }
    old.restart("edge-2", Role::Edge);
    old.handle(Event::Purged { group: GroupId(3), object: None, age: 0.0 });
    let (mut snapshot, at) = (old.router.snapshot(), old.now);
    let purge = PurgeSnapshot { target: PurgeTarget::Group(GroupId(3)), purged_at: at };
    assert_eq!(snapshot.purges, [purge]);
    let start = |started| {
        let mut all = fleet();
        all[2].started = started;
        let mut driver = Driver::new(without_load_reports(), all);
        driver.now = at;
        driver
    };
    let mut fresh = start(Some(at));
    let usual = homes(&mut fresh, 0, "edge-0");
    let mut driver = start(Some(at));
    // A start that the former process had only inferred stays one.
    snapshot.servers[1].warmup_started = Some(at);
    assert_eq!(driver.router.restore(at, snapshot.clone()), fleet().len());
    assert!(homes(&mut driver, 0, "edge-0") * 3 < usual, "its weight is lowered from the first request on");
    assert!(
        homes(&mut driver, 100, "edge-1") + homes(&mut driver, 200, "edge-2") <= 12,
        "warming caches get their slow-start share"
    );
    let object = ObjectId(11);
    let f =
        first_attempt(&driver.handle(Event::Request(Request {
            group: GroupId(3),
            ..request(999, IDEMPOTENT, object.0, 4000.0)
        })));
    assert!(f.is_some_and(|f| f.max_age.is_some_and(|age| age < 1000.0)), "the purge limits the age");
    assert_eq!(
        start(Some(at + 1.0)).router.restore(at, snapshot),
        fleet().len() - 1,
        "a new process is unknown"
    );
}

/// A fill that takes more than the objective's stretch times its own sending time is late, so the link counts as
/// congested: at 1.55 times the shortest time where the stretch is 1.6, not where it is 2.
#[test]
fn link_is_congested_where_fills_miss_the_latency_objective() {
    let lookups = |stretch: f64| {
        let mut settings = without_load_reports();
        settings.classes.iter_mut().for_each(|c| c.latency_objective_stretch = stretch);
        let mut driver = Driver::new(settings, fleet());
        for n in 0..100 {
            let f = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 50)).expect("a fetch");
            driver.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 100.0);
        }
        let mut lookups = 0;
        for n in 100..400 {
            let f = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 50)).expect("a fetch");
            lookups += usize::from(f.fill_source == f.server);
            driver.advance(20.0);
            // 20 ms until the source's first byte, and 1.55 times the sending time of a hit. With few responses the
            // threshold is raised to the power of 0.75.
            driver.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::FilledBySource, 175.0);
        }
        lookups
    };
    assert_eq!(lookups(2.0), 0);
    assert!(lookups(1.6) >= 3, "{}", lookups(1.6));
}
