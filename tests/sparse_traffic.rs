//! Routers with little traffic: what single responses, or their absence, show about the link, parents and the origin.

mod common;
use basaltgw::api::*;
use common::*;

/// Counts the lookups of a router, one of a number in its zone, after its fills have become slow. It has one fill in
/// flight at a time.
fn lookups_after_slow_fills(zone_routers: usize) -> usize {
    let mut s = settings();
    s.zone_routers = zone_routers;
    let mut d = Driver::new(s, fleet());
    for n in 0..300 {
        d.serve(n, IDEMPOTENT, n as u64 % 60, FillReport::FilledBySource);
        d.wait(100.0);
    }
    let mut lookups = 0;
    for n in 1000..1060 {
        let Some(f) = first_attempt(&d.ask(n, IDEMPOTENT, n as u64 % 60)) else { continue };
        d.wait(600.0);
        if f.fill_source == f.server {
            lookups += 1;
            d.end(n, 0, &f.server, AttemptResult::CacheMiss, FillReport::NotReported);
        } else {
            d.outcome(n, 0, &f.server, AttemptResult::Served, FillReport::FilledBySource, 600.0);
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
fn lookups_while_fills_take(d: &mut Driver, asks: std::ops::Range<usize>, every: Ms, delay: Ms) -> usize {
    let (mut lookups, mut out) = (0, std::collections::VecDeque::new());
    for n in asks {
        if let Some(f) = first_attempt(&d.ask(n, IDEMPOTENT, n as u64 % 60)) {
            if f.fill_source == f.server {
                lookups += 1;
                d.outcome(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 400.0);
            } else {
                out.push_back((d.now + delay, n, f.server));
            }
        }
        d.wait(every);
        while out.front().is_some_and(|(due, ..)| *due <= d.now) {
            let (_, n, server) = out.pop_front().expect("just seen");
            d.outcome(n, 0, &server, AttemptResult::Served, FillReport::FilledBySource, delay);
        }
    }
    d.wait(delay);
    for (_, n, server) in out {
        d.outcome(n, 0, &server, AttemptResult::Served, FillReport::FilledBySource, delay);
    }
    lookups
}

/// Latencies of a congested link are outdated seconds later, even after only a few responses: the limit rises with
/// the first fast ones.
#[test]
fn router_with_little_traffic_soon_uses_a_recovered_link() {
    let mut s = settings();
    s.zone_routers = 20;
    let mut d = Driver::new(s, fleet());
    assert_eq!(lookups_while_fills_take(&mut d, 0..300, 400.0, 400.0), 0, "nothing is congested yet");
    let full = lookups_while_fills_take(&mut d, 1000..1060, 2000.0, 4000.0);
    assert!(full > 10, "{full} lookups while the link is congested");
    let after = lookups_while_fills_take(&mut d, 2000..2040, 400.0, 400.0);
    assert!(after < 5, "{after} lookups of 40 after the link has recovered");
}

/// A cache that loses one response and sends the next is not silent; one that sends none is.
#[test]
fn lost_response_does_not_eject_a_cache() {
    let lose = |every: usize| {
        let mut d = Driver::new(settings(), fleet());
        for n in 0..100 {
            let f = first_attempt(&d.ask(n, IDEMPOTENT, n as u64 % 60)).expect("a fetch");
            d.outcome(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 300.0);
            d.wait(10.0);
        }
        let (mut acts, mut met) = (Vec::new(), 0);
        for n in 1000..1400 {
            let asked = d.ask(n, IDEMPOTENT, n as u64 % 60);
            if let Some(f) = first_attempt(&asked) {
                met += usize::from(f.server == server_id("edge-2"));
                if f.server == server_id("edge-2") && met % every == 0 {
                    // Its client waits much longer than usual and disconnects.
                    acts.extend(d.wait(400.0));
                    d.handle(Event::ClientDisconnected(request_id(n)));
                    d.end(n, 0, &f.server, AttemptResult::Cancelled, FillReport::NotReported);
                } else {
                    d.outcome(n, 0, &f.server, AttemptResult::Served, FillReport::Hit, 300.0);
                }
            }
            acts.extend(d.wait(50.0));
        }
        (met, count_log_lines(&acts, "edge-2 out for"))
    };
    let (met, out) = lose(4);
    assert!(met > 40 && out == 0, "{met} requests, ejected {out} times");
    assert!(lose(1).1 > 0, "a silent cache is ejected");
}

/// One router of a hundred, after two hundred responses with a fill report, fifty milliseconds apart.
fn one_of_a_hundred(note: FillReport) -> Driver {
    let mut s = settings();
    s.routers = 100;
    let mut d = Driver::new(s, fleet());
    for n in 0..200 {
        d.serve(n, IDEMPOTENT, n as u64 % 60, note);
        d.wait(50.0);
    }
    d
}

/// Parents that wait for a slow origin fail their fills one by one, and no router has many of them in flight. Fills
/// that reach the origin count against its limit; then parents answer only from their caches.
#[test]
fn routers_with_little_traffic_spare_an_origin_that_fails_behind_parents() {
    let mut d = one_of_a_hundred(FillReport::FilledByOrigin);
    let mut spared = 0;
    for n in 1000..1100 {
        let Some(f) = first_attempt(&d.ask(n, IDEMPOTENT, n as u64)) else { continue };
        d.wait(150.0);
        if f.fill_source == f.server {
            if let Some(f) =
                first_attempt(&d.end(n, 0, &f.server, AttemptResult::CacheMiss, FillReport::NotReported))
            {
                spared += usize::from(f.cached_only);
            }
        } else {
            spared += usize::from(f.cached_only);
            let end = if f.cached_only { FillReport::SourceMiss } else { FillReport::OriginFailed };
            d.outcome(n, 0, &f.server, AttemptResult::Rejected, end, 150.0);
        }
    }
    assert!(spared > 30, "{spared} asked of parents only");
}

/// A parent that fails a share of its fills quickly is not limited, and the failed fills are retried at the next one.
#[test]
fn parent_that_fails_some_fills_quickly_is_not_limited() {
    let mut d = one_of_a_hundred(FillReport::FilledBySource);
    let mut failed = 0;
    for n in 1000..1200 {
        let f = first_attempt(&d.ask(n, IDEMPOTENT, n as u64)).expect("a fetch");
        assert_ne!(f.fill_source, f.server, "a lookup: a limit is reached");
        d.wait(50.0);
        if f.fill_source == server_id("parent-1") {
            failed += 1;
            let next = first_attempt(&d.outcome(
                n,
                0,
                &f.server,
                AttemptResult::Error,
                FillReport::SourceFailed,
                50.0,
            ))
            .expect("another");
            assert_ne!(next.fill_source, server_id("parent-1"));
            d.end(n, 1, &next.server, AttemptResult::Served, FillReport::FilledBySource);
        } else {
            d.end(n, 0, &f.server, AttemptResult::Served, FillReport::FilledBySource);
        }
    }
    assert!(failed > 60, "{failed} failed");
}
