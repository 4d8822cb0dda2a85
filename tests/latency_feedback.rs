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
    let spec = first_attempt(&actions).unwrap_or_else(|| panic!("no attempt: {actions:?}"));
    driver.handle(Event::ClientDisconnected(request_id(n)));
    driver.finish_after(n, 0, &spec.server, AttemptResult::Cancelled, FillReport::NotReported, 0.0);
    spec
}

/// Counts those of a hundred objects whose home is a cache. The requests are numbered from `first`.
fn count_homes(driver: &mut Driver, first: usize, cache: &str) -> usize {
    (0..100).filter(|n| attempt_for(driver, first + n, 5000 + *n as u64).server == server_id(cache)).count()
}

/// Counts those of a hundred objects that are filled from a source. The requests are numbered from `first`.
fn count_filled_from(driver: &mut Driver, first: usize, source: &str) -> usize {
    (0..100)
        .filter(|n| attempt_for(driver, first + n, 5000 + *n as u64).fill_source == server_id(source))
        .count()
}

/// A cache that takes eight times as long as the other caches of its zone loses objects to them, and regains the
/// objects once it is fast again.
#[test]
fn slow_cache_loses_objects_and_regains_them() {
    let mut driver = Driver::new(without_load_reports(), fleet());
    let before = count_homes(&mut driver, 0, "edge-0");
    for n in 0..200 {
        let spec = first_attempt(&driver.request(10_000 + n, IDEMPOTENT, n as u64)).expect("an attempt");
        let latency = if spec.server == server_id("edge-0") { 800.0 } else { 100.0 };
        driver.finish_after(10_000 + n, 0, &spec.server, AttemptResult::Served, FillReport::Hit, latency);
        driver.advance(20.0);
    }
    let (after, other) =
        (count_homes(&mut driver, 20_000, "edge-0"), count_homes(&mut driver, 20_100, "edge-1"));
    assert!(before >= 15 && after * 3 < before, "{before} objects before, {after} after");
    assert!(other >= 20, "{other} objects at edge-1");
    // The penalty decays while nothing is sent to the cache.
    driver.advance(100_000.0);
    let regained = count_homes(&mut driver, 30_000, "edge-0");
    assert!(regained + 3 >= before, "regained {regained} of {before} objects");
}

/// A parent whose fills are slow loses objects; the caches that it fills are not penalized, since all of
/// them have slow fills alike.
#[test]
fn slow_parent_loses_objects_and_its_caches_do_not() {
    let mut driver = Driver::new(without_load_reports(), fleet());
    let (before, homes_before) =
        (count_filled_from(&mut driver, 0, "parent-0"), count_homes(&mut driver, 100, "edge-0"));
    for n in 0..120 {
        let spec = first_attempt(&driver.request(1000 + n, IDEMPOTENT, n as u64)).expect("an attempt");
        let latency = if spec.fill_source == server_id("parent-0") { 900.0 } else { 120.0 };
        driver.finish_after(
            1000 + n,
            0,
            &spec.server,
            AttemptResult::Served,
            FillReport::FilledBySource,
            latency,
        );
        driver.advance(20.0);
    }
    let after = count_filled_from(&mut driver, 2000, "parent-0");
    assert!(before >= 30 && after * 3 < before, "{before} objects before, {after} after");
    let homes_after = count_homes(&mut driver, 3000, "edge-0");
    assert!(homes_after + 10 > homes_before, "{homes_before} homes at edge-0 before, {homes_after} after");
}

/// Slow attempts count before they end, so that no deadline has to pass first.
#[test]
fn slow_attempts_in_flight_penalize_their_cache() {
    let mut driver = Driver::new(without_load_reports(), fleet());
    for n in 0..80 {
        let spec = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("an attempt");
        driver.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit, 20.0);
    }
    let before = count_homes(&mut driver, 1000, "edge-0");
    let mut stuck = Vec::new();
    for n in 2000..2100 {
        let spec = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("an attempt");
        if spec.server == server_id("edge-0") && stuck.len() < 6 {
            stuck.push(n);
        } else {
            driver.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit, 20.0);
        }
    }
    driver.advance(340.0);
    let lines: Vec<_> = driver.log.iter().filter(|(_, a)| matches!(a, Action::Log(_))).collect();
    assert!(stuck.len() >= 2 && lines.is_empty(), "no server is silent before 350 ms: {stuck:?} {lines:?}");
    for n in stuck {
        driver.handle(Event::ClientDisconnected(request_id(n)));
        driver.finish(n, 0, &server_id("edge-0"), AttemptResult::Cancelled, FillReport::NotReported);
    }
    let after = count_homes(&mut driver, 3000, "edge-0");
    assert!(after * 2 < before, "{before} objects before, {after} after");
}

/// A fill that is not admitted becomes a lookup. A lookup accepts a stale copy, which is worth more than a rejection;
/// after a purge the copy must be younger than the purge.
#[test]
fn lookup_accepts_a_stale_copy() {
    let mut settings = without_load_reports();
    settings.classes[EXPIRING.0].stale_for = 20_000.0;
    let mut driver = Driver::new(settings, fleet());
    let spec = first_attempt(&driver.request(0, EXPIRING, 1)).expect("an attempt");
    assert_eq!(spec.max_age, None, "a fill brings a fresh copy");
    let entries = removed(&["parent-0", "parent-1", "origin"]);
    driver.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries });
    let spec = first_attempt(&driver.request(1, EXPIRING, 1)).expect("a lookup");
    assert_eq!((spec.max_age, spec.fill_source == spec.server), (Some(28_000.0), true));
    driver.handle(Event::Purged { group: GroupId(1), object: Some(ObjectId(1)), age: 0.0 });
    driver.advance(500.0);
    let spec = first_attempt(&driver.request(2, EXPIRING, 1)).expect("a lookup");
    assert!(spec.max_age.is_some_and(|age| age <= 500.0), "{:?}", spec.max_age);
}

fn removed(names: &[&str]) -> Vec<Endpoint> {
    let role = |name: &str| if name == "origin" { Role::Origin } else { Role::Parent };
    names
        .iter()
        .map(|name| Endpoint { state: EndpointState::Removed, ..endpoint(name, role(name)) })
        .collect()
}

/// A warming cache's budget is shared by the zone's routers: twenty routers together stay below what overloads it (a
/// cache of weight 4 at a fifth: 0.8 responses at a time, twice that for a second).
#[test]
fn twenty_routers_share_the_slow_start_budget() {
    let mut sent = 0.0;
    for seed in 0..20 {
        let weighted = |server: Endpoint| Endpoint { weight: 4.0, ..server };
        let mut driver = Driver::new(without_load_reports(), fleet().into_iter().map(weighted).collect());
        driver.router = basaltgw::routing::Router::new(without_load_reports(), seed);
        let started = Some(driver.now);
        let mut all: Vec<Endpoint> = fleet().into_iter().map(weighted).collect();
        all[0].started = started;
        driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: all });
        for n in 0..50 {
            let actions = driver.request(n, IDEMPOTENT, n as u64);
            let Some(spec) = first_attempt(&actions) else { continue };
            sent += if spec.server == server_id("edge-0") { 100.0 } else { 0.0 };
            driver.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit, 100.0);
            driver.advance(20.0);
        }
    }
    let limit = 4.0 * 0.2 * 2.0 * 1000.0;
    assert!(sent > 0.0 && sent <= limit, "{sent} ms of sending time, limit {limit}");
}

/// A snapshot restores penalties and purges, a warming cache keeps warming up, and nothing applies to a new process.
#[test]
fn snapshot_restores_penalties_warmup_and_purges_of_the_same_processes() {
    let mut old = Driver::new(settings(), fleet());
    for n in 0..200 {
        let spec = first_attempt(&old.request(n, IDEMPOTENT, n as u64)).expect("an attempt");
        let latency = if spec.server == server_id("edge-0") { 800.0 } else { 100.0 };
        old.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit, latency);
        old.advance(20.0);
    }
    old.restart("edge-2", Role::Edge);
    old.handle(Event::Purged { group: GroupId(3), object: None, age: 0.0 });
    let (mut snapshot, taken_at) = (old.router.snapshot(), old.now);
    let purge = PurgeSnapshot { target: PurgeTarget::Group(GroupId(3)), purged_at: taken_at };
    assert_eq!(snapshot.purges, [purge]);
    let start = |started| {
        let mut all = fleet();
        all[2].started = started;
        let mut driver = Driver::new(without_load_reports(), all);
        driver.now = taken_at;
        driver
    };
    let mut fresh = start(Some(taken_at));
    let homes_without_snapshot = count_homes(&mut fresh, 0, "edge-0");
    let mut driver = start(Some(taken_at));
    // A start that the former process inferred is kept.
    snapshot.servers[1].warmup_started = Some(taken_at);
    assert_eq!(driver.router.restore(taken_at, snapshot.clone()), fleet().len());
    assert!(
        count_homes(&mut driver, 0, "edge-0") * 3 < homes_without_snapshot,
        "penalized from the first request on"
    );
    assert!(
        count_homes(&mut driver, 100, "edge-1") + count_homes(&mut driver, 200, "edge-2") <= 12,
        "warming caches get their slow-start share"
    );
    let object = ObjectId(11);
    let spec =
        first_attempt(&driver.handle(Event::Request(Request {
            group: GroupId(3),
            ..request(999, IDEMPOTENT, object.0, 4000.0)
        })));
    assert!(
        spec.is_some_and(|spec| spec.max_age.is_some_and(|age| age < 1000.0)),
        "the purge limits the age"
    );
    assert_eq!(
        start(Some(taken_at + 1.0)).router.restore(taken_at, snapshot),
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
            let spec = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 50)).expect("an attempt");
            driver.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit, 100.0);
        }
        let mut lookups = 0;
        for n in 100..400 {
            let spec = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 50)).expect("an attempt");
            lookups += usize::from(spec.fill_source == spec.server);
            driver.advance(20.0);
            // 20 ms until the source's first byte, and 1.55 times the sending time of a hit. With few responses the
            // threshold is raised to the power of 0.75.
            driver.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::FilledBySource, 175.0);
        }
        lookups
    };
    assert_eq!(lookups(2.0), 0);
    assert!(lookups(1.6) >= 3, "{}", lookups(1.6));
}
