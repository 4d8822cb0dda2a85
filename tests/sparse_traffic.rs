//! Routers with little traffic: what single responses, or their absence, show about the link, parents and the origin.

mod common;
use basaltgw::api::*;
use common::*;

/// Counts the lookups of a router, one of a number in its zone, after its fills have become slow. It has one fill in
/// flight at a time.
fn lookups_after_slow_fills(zone_routers: usize) -> usize {
    let mut s = settings();
    s.zone_routers = zone_routers;
    let mut driver = Driver::new(s, fleet());
    for n in 0..300 {
        driver.serve(n, IDEMPOTENT, n as u64 % 60, FillReport::FilledBySource);
        driver.advance(100.0);
    }
    let mut lookups = 0;
    for n in 1000..1060 {
        let Some(f) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 60)) else { continue };
        driver.advance(600.0);
        if f.fill_source == f.server {
            lookups += 1;
            driver.finish(n, 0, &f.server, AttemptResult::CacheMiss, FillReport::NotReported);
        } else {
            driver.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::FilledBySource, 600.0);
        }
    }
    lookups
}

/// A router with little traffic never has many fills in flight, yet those of all routers of its zone congest the
/// link: it assumes as many at each of them. The only router of a zone does not.
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
    asks: std::ops::Range<usize>,
    every: Ms,
    delay: Ms,
) -> usize {
    let (mut lookups, mut in_flight) = (0, std::collections::VecDeque::new());
    for n in asks {
        if let Some(f) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 60)) {
            if f.fill_source == f.server {
                lookups += 1;
                driver.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 400.0);
            } else {
                in_flight.push_back((driver.now + delay, n, f.server));
            }
        }
        driver.advance(every);
        while in_flight.front().is_some_and(|(due, ..)| *due <= driver.now) {
            let (_, n, server) = in_flight.pop_front().expect("just seen");
            driver.finish_in(n, 0, &server, AttemptResult::Served, FillReport::FilledBySource, delay);
        }
    }
    driver.advance(delay);
    for (_, n, server) in in_flight {
        driver.finish_in(n, 0, &server, AttemptResult::Served, FillReport::FilledBySource, delay);
    }
    lookups
}

/// Latencies of a congested link are outdated seconds later, even after only a few responses: the limit rises with
/// the first fast ones.
#[test]
fn router_with_little_traffic_soon_uses_a_recovered_link() {
    let mut s = settings();
    s.zone_routers = 20;
    let mut driver = Driver::new(s, fleet());
    assert_eq!(lookups_while_fills_take(&mut driver, 0..300, 400.0, 400.0), 0, "nothing is congested yet");
    let full = lookups_while_fills_take(&mut driver, 1000..1060, 2000.0, 4000.0);
    assert!(full > 10, "{full} lookups while the link is congested");
    let after = lookups_while_fills_take(&mut driver, 2000..2040, 400.0, 400.0);
    assert!(after < 5, "{after} lookups of 40 after the link has recovered");
}

/// A cache that loses one response and sends the next is not silent; one that sends none is.
#[test]
fn lost_response_does_not_eject_a_cache() {
    let lose = |every: usize| {
        let mut driver = Driver::new(settings(), fleet());
        for n in 0..100 {
            let f = first_attempt(&driver.request(n, IDEMPOTENT, n as u64 % 60)).expect("a fetch");
            driver.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 300.0);
            driver.advance(10.0);
        }
        let (mut actions, mut requests) = (Vec::new(), 0);
        for n in 1000..1400 {
            let requested = driver.request(n, IDEMPOTENT, n as u64 % 60);
            if let Some(f) = first_attempt(&requested) {
                requests += usize::from(f.server == server_id("edge-2"));
                if f.server == server_id("edge-2") && requests % every == 0 {
                    // Its client waits much longer than usual and disconnects.
                    actions.extend(driver.advance(400.0));
                    driver.handle(Event::ClientDisconnected(request_id(n)));
                    driver.finish(n, 0, &f.server, AttemptResult::Cancelled, FillReport::NotReported);
                } else {
                    driver.finish_in(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 300.0);
                }
            }
            actions.extend(driver.advance(50.0));
        }
        (requests, count_log_lines(&actions, "edge-2 ejected for"))
    };
    let (requests, in_flight) = lose(4);
    assert!(requests > 40 && in_flight == 0, "{requests} requests, ejected {in_flight} times");
    assert!(lose(1).1 > 0, "a silent cache is ejected");
}

/// One router of a hundred, after two hundred responses with a fill report, fifty milliseconds apart.
fn one_of_a_hundred(fill_report: FillReport) -> Driver {
    let mut s = settings();
    s.routers = 100;
    let mut driver = Driver::new(s, fleet());
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
        let Some(f) = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)) else { continue };
        driver.advance(150.0);
        if f.fill_source == f.server {
            if let Some(f) = first_attempt(&driver.finish(
                n,
                0,
                &f.server,
                AttemptResult::CacheMiss,
                FillReport::NotReported,
            )) {
                spared += usize::from(f.cached_only);
            }
        } else {
            spared += usize::from(f.cached_only);
            let end = if f.cached_only { FillReport::SourceMiss } else { FillReport::OriginFailed };
            driver.finish_in(n, 0, &f.server, AttemptResult::Rejected, end, 150.0);
        }
    }
    assert!(spared > 30, "{spared} asked of parents only");
}

/// A parent that fails a share of its fills quickly is not limited, and the failed fills are retried at the next one.
#[test]
fn parent_that_fails_some_fills_quickly_is_not_limited() {
    let mut driver = one_of_a_hundred(FillReport::FilledBySource);
    let mut failed = 0;
    for n in 1000..1200 {
        let f = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).expect("a fetch");
        assert_ne!(f.fill_source, f.server, "a lookup: a limit is reached");
        driver.advance(50.0);
        if f.fill_source == server_id("parent-1") {
            failed += 1;
            let next = first_attempt(&driver.finish_in(
                n,
                0,
                &f.server,
                AttemptResult::Error,
                FillReport::SourceFailed,
                50.0,
            ))
            .expect("another");
            assert_ne!(next.fill_source, server_id("parent-1"));
            driver.finish(n, 1, &next.server, AttemptResult::Served, FillReport::FilledBySource);
        } else {
            driver.finish(n, 0, &f.server, AttemptResult::Served, FillReport::FilledBySource);
        }
    }
    assert!(failed > 60, "{failed} failed");
}
