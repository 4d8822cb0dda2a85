//! The zone's link: what a router sends over it while fills are slow.

mod common;
use basaltgw::api::*;
use common::*;

/// A router whose fills took three times as long as usual, with forty in flight at a time.
fn driver_with_congested_link() -> Driver {
    let mut driver = Driver::new(settings(), fleet());
    for n in 0..400 {
        driver.serve(n, IDEMPOTENT, n as u64 % 200, FillReport::FilledBySource);
    }
    for round in 0..10 {
        let first = 1000 + round * 40;
        let in_flight: Vec<(usize, AttemptSpec)> = (first..first + 40)
            .filter_map(|n| {
                first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 200)).map(|spec| (n, spec))
            })
            .collect();
        driver.advance(300.0);
        for (n, spec) in in_flight {
            if spec.fill_source == spec.server {
                driver.finish(n, 0, &spec.server, AttemptResult::CacheMiss, FillReport::NotReported);
            } else {
                driver.finish_after(
                    n,
                    0,
                    &spec.server,
                    AttemptResult::Served,
                    FillReport::FilledBySource,
                    300.0,
                );
            }
        }
    }
    driver
}

/// Slow fills limit the link: then a request is first looked up at its cache, and a miss is rejected at once.
#[test]
fn congested_link_admits_hits_and_rejects_misses_at_once() {
    let mut driver = driver_with_congested_link();
    let mut lookups = 0;
    for n in 5000..5060 {
        let Some(spec) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) else { continue };
        if spec.fill_source == spec.server {
            lookups += 1;
            let now = driver.now;
            assert!(is_rejected(
                &driver.finish(n, 0, &spec.server, AttemptResult::CacheMiss, FillReport::NotReported),
                n
            ));
            assert_eq!(now, driver.now);
        }
    }
    assert!(lookups > 10, "{lookups} lookups");
}

/// A cache that is slow with hits is slow with fills too; that limits the cache and not the zone's link.
#[test]
fn slow_fills_of_a_slow_cache_do_not_limit_the_link() {
    let mut driver = Driver::new(settings(), fleet());
    for n in 0..400 {
        driver.serve(
            n,
            IDEMPOTENT,
            n as u64 % 200,
            if n % 2 == 0 { FillReport::Hit } else { FillReport::FilledBySource },
        );
    }
    let slow_cache = server_id("edge-0");
    for round in 0..10 {
        let first = 1000 + round * 40;
        let in_flight: Vec<(usize, AttemptSpec)> = (first..first + 40)
            .filter_map(|n| {
                first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 200)).map(|spec| (n, spec))
            })
            .collect();
        driver.advance(900.0);
        for (n, spec) in in_flight {
            let fill_report = if n % 2 == 0 || spec.fill_source == spec.server {
                FillReport::Hit
            } else {
                FillReport::FilledBySource
            };
            driver.finish_after(
                n,
                0,
                &spec.server,
                AttemptResult::Served,
                fill_report,
                if spec.server == slow_cache { 900.0 } else { 100.0 },
            );
        }
    }
    let fills = (5000..5060).filter_map(|n| first_attempt(&driver.request(n, IDEMPOTENT, n as u64)));
    let (fills, lookups): (Vec<_>, Vec<_>) = fills.partition(|spec| spec.fill_source != spec.server);
    assert!(fills.len() > 20 && lookups.is_empty(), "{} fills, {} lookups", fills.len(), lookups.len());
}

/// Joining a fill in progress uses no capacity of the link.
#[test]
fn lookup_that_finds_a_fill_in_progress_joins_it() {
    let mut driver = driver_with_congested_link();
    for n in 5000..5100 {
        let Some(spec) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) else { continue };
        if spec.fill_source == spec.server {
            let joining = first_attempt(&driver.finish(
                n,
                0,
                &spec.server,
                AttemptResult::CacheMiss,
                FillReport::Joined,
            ))
            .expect("an attempt that joins the fill");
            assert!(joining.join_fill && joining.fill_source != joining.server);
            return;
        }
    }
    panic!("no lookup was sent");
}

/// A zone without caches sends requests to parents with the origin as their source, and timeouts limit the link.
#[test]
fn zone_without_caches_uses_parents_within_its_link() {
    let servers: Vec<Endpoint> = fleet().into_iter().filter(|s| s.role != Role::Edge).collect();
    let mut driver = Driver::new(settings(), servers);
    let mut sent = 0;
    for n in 0..100 {
        let Some(spec) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) else { continue };
        assert!(
            spec.server.0.starts_with("parent")
                && spec.fill_source == server_id("origin")
                && spec.rank == Rank::None
        );
        sent += 1;
    }
    assert_eq!(sent, 100, "nothing has timed out yet");
    driver.advance(900.0);
    for n in 0..100 {
        let server = driver.log.iter().find_map(|(_, a)| match a {
            Action::StartAttempt(spec) if spec.request == request_id(n) => Some(spec.server.clone()),
            _ => None,
        });
        driver.finish(
            n,
            0,
            &server.expect("the attempt's server"),
            AttemptResult::TimedOut,
            FillReport::NotReported,
        );
        driver.handle(Event::ClientDisconnected(request_id(n)));
        driver.advance(40.0);
    }
    let admitted =
        (1000..1100).filter(|n| first_attempt(&driver.request(*n, IDEMPOTENT, *n as u64)).is_some()).count();
    assert!((1..60).contains(&admitted), "{admitted} admitted");
}
