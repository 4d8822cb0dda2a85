//! Routers with little traffic: what single responses, or their absence, show about the link, parents and the origin.

mod common;
use basaltgw::api::*;
use common::*;

/// Counts the lookups of a router, one of a number in its zone, after its fills have become slow. It has one fill in
/// flight at a time.
fn lookups_after_slow_fills(zone_routers: usize) -> usize {
    let mut driver = Driver::new(Settings { zone_routers, ..settings() }, fleet());
    for n in 0..300 {
        driver.serve(n, IDEMPOTENT, n as u64 % 60, FillReport::FilledBySource);
        driver.advance(100.0);
    }
    let mut lookups = 0;
    for n in 1000..1060 {
        let Some(spec) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 60)) else { continue };
        driver.advance(600.0);
        if spec.fill_source == spec.server {
            lookups += 1;
            driver.finish(n, 0, &spec.server, AttemptResult::CacheMiss, FillReport::NotReported);
        } else {
            driver.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::FilledBySource, 600.0);
        }
    }
    lookups
}

/// A router with little traffic never has many fills in flight, but those of all routers of its zone can congest the
/// link: it assumes that each of them has as many in flight. The only router of a zone does not.
#[test]
fn router_with_little_traffic_detects_a_congested_link() {
    let many = lookups_after_slow_fills(20);
    assert!(many > 10, "{many} lookups as one of twenty");
    assert_eq!(
        lookups_after_slow_fills(1),
        0,
        "one fill at a time cannot congest a link that no other router uses"
    );
}

/// Requests objects at an interval and gives each fill a duration. Counts the lookups, each of which is a hit.
fn lookups_while_fills_take(
    driver: &mut Driver,
    requests: std::ops::Range<usize>,
    interval: Ms,
    fill_duration: Ms,
) -> usize {
    let (mut lookups, mut in_flight) = (0, std::collections::VecDeque::new());
    for n in requests {
        if let Some(spec) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 60)) {
            if spec.fill_source == spec.server {
                lookups += 1;
                driver.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit, 400.0);
            } else {
                in_flight.push_back((driver.now + fill_duration, n, spec.server));
            }
        }
        driver.advance(interval);
        while in_flight.front().is_some_and(|(due, ..)| *due <= driver.now) {
            let (_, n, server) = in_flight.pop_front().expect("checked above");
            driver.finish_after(
                n,
                0,
                &server,
                AttemptResult::Served,
                FillReport::FilledBySource,
                fill_duration,
            );
        }
    }
    driver.advance(fill_duration);
    for (_, n, server) in in_flight {
        driver.finish_after(n, 0, &server, AttemptResult::Served, FillReport::FilledBySource, fill_duration);
    }
    lookups
}

/// Latencies of a congested link are outdated seconds later, even after only a few responses: the limit rises with
/// the first fast ones.
#[test]
fn router_with_little_traffic_soon_uses_a_recovered_link() {
    let mut driver = Driver::new(Settings { zone_routers: 20, ..settings() }, fleet());
    assert_eq!(lookups_while_fills_take(&mut driver, 0..300, 400.0, 400.0), 0, "nothing is congested yet");
    let congested = lookups_while_fills_take(&mut driver, 1000..1060, 2000.0, 4000.0);
    assert!(congested > 10, "{congested} lookups while the link is congested");
    let recovered = lookups_while_fills_take(&mut driver, 2000..2040, 400.0, 400.0);
    assert!(recovered < 5, "{recovered} lookups of 40 after the link has recovered");
}

/// A cache that loses one response and sends the next is not silent; one that sends none is.
#[test]
fn lost_response_does_not_eject_a_cache() {
    // One of `interval` responses of edge-2 is lost; returns its requests and ejections.
    let lose_responses = |interval: usize| {
        let mut driver = Driver::new(settings(), fleet());
        for n in 0..100 {
            let spec = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 60)).expect("an attempt");
            driver.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit, 300.0);
            driver.advance(10.0);
        }
        let (mut actions, mut requests) = (Vec::new(), 0);
        for n in 1000..1400 {
            let requested = driver.request(n, IDEMPOTENT, n as u64 % 60);
            if let Some(spec) = first_attempt(&requested) {
                requests += usize::from(spec.server == server_id("edge-2"));
                if spec.server == server_id("edge-2") && requests % interval == 0 {
                    // The client waits much longer than usual and disconnects.
                    actions.extend(driver.advance(400.0));
                    driver.handle(Event::ClientDisconnected(request_id(n)));
                    driver.finish(n, 0, &spec.server, AttemptResult::Cancelled, FillReport::NotReported);
                } else {
                    driver.finish_after(n, 0, &spec.server, AttemptResult::Served, FillReport::Hit, 300.0);
                }
            }
            actions.extend(driver.advance(50.0));
        }
        (requests, count_log_lines(&actions, "edge-2 ejected for"))
    };
    let (requests, ejections) = lose_responses(4);
    assert!(requests > 40 && ejections == 0, "{requests} requests, ejected {ejections} times");
    let (_, ejections) = lose_responses(1);
    assert!(ejections > 0, "a silent cache is ejected");
}

/// One router of a hundred, after two hundred responses with a fill report, fifty milliseconds apart.
fn one_of_a_hundred(fill_report: FillReport) -> Driver {
    let mut driver = Driver::new(Settings { routers: 100, ..settings() }, fleet());
    for n in 0..200 {
        driver.serve(n, IDEMPOTENT, n as u64 % 60, fill_report);
        driver.advance(50.0);
    }
    driver
}

/// Parents that wait for a slow origin fail their fills one by one, and no router has many of them in flight. Fills
/// that reach the origin count against its limit; then parents answer only from their caches.
#[test]
fn routers_with_little_traffic_spare_an_origin_that_fails_behind_parents() {
    let mut driver = one_of_a_hundred(FillReport::FilledByOrigin);
    let mut spared = 0;
    for n in 1000..1100 {
        let Some(spec) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) else { continue };
        driver.advance(150.0);
        if spec.fill_source == spec.server {
            if let Some(spec) = first_attempt(&driver.finish(
                n,
                0,
                &spec.server,
                AttemptResult::CacheMiss,
                FillReport::NotReported,
            )) {
                spared += usize::from(spec.cached_only);
            }
        } else {
            spared += usize::from(spec.cached_only);
            let fill_report =
                if spec.cached_only { FillReport::SourceMiss } else { FillReport::OriginFailed };
            driver.finish_after(n, 0, &spec.server, AttemptResult::Rejected, fill_report, 150.0);
        }
    }
    assert!(spared > 30, "{spared} fills from a parent's cache only");
}

/// A parent that fails a share of its fills quickly is not limited, and the failed fills are retried at the next one.
#[test]
fn parent_that_fails_some_fills_quickly_is_not_limited() {
    let mut driver = one_of_a_hundred(FillReport::FilledBySource);
    let mut failed = 0;
    for n in 1000..1200 {
        let spec = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("an attempt");
        assert_ne!(spec.fill_source, spec.server, "a lookup: a limit is reached");
        driver.advance(50.0);
        if spec.fill_source == server_id("parent-1") {
            failed += 1;
            let next = first_attempt(&driver.finish_after(
                n,
                0,
                &spec.server,
                AttemptResult::Error,
                FillReport::SourceFailed,
                50.0,
            ))
            .expect("another attempt");
            assert_ne!(next.fill_source, server_id("parent-1"));
            driver.finish(n, 1, &next.server, AttemptResult::Served, FillReport::FilledBySource);
        } else {
            driver.finish(n, 0, &spec.server, AttemptResult::Served, FillReport::FilledBySource);
        }
    }
    assert!(failed > 60, "{failed} fills failed");
}
