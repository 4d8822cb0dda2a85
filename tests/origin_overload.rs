//! What routers ask of an origin whose responses are all too late.

mod common;

use basaltgw::api::*;
use common::{first_attempt, fleet, settings, Driver, IDEMPOTENT};
use std::collections::VecDeque;

/// One router of 300 that gets a request for a new object every 500 ms, for 50 s. No parent has it cached: fills time
/// out after 1,600 ms, reported as `late`. Counts the fills that may reach the origin in the last 25 s.
fn fills_of_an_overloaded_origin(late: FillReport) -> usize {
    let mut driver = Driver::new(Settings { routers: 300, zone_routers: 10, ..settings() }, fleet());
    for n in 0..100 {
        let fill_report = if n % 2 == 0 { FillReport::FilledBySource } else { FillReport::FilledByOrigin };
        driver.serve(n, IDEMPOTENT, n as u64, fill_report);
        driver.advance(100.0);
    }
    let mut calls = 0;
    let mut in_flight: VecDeque<(Ms, usize, usize, ServerId)> = VecDeque::new();
    for n in 1000..1100 {
        let requested = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).map(|f| (n, 0, f));
        // The parents still serve what they have cached.
        for k in 25 * n..25 * n + 25 {
            if let Some(f) = first_attempt(&driver.request(5000 + k, IDEMPOTENT, (k % 50) as u64 * 2)) {
                let cached = if k % 3 > 0 { FillReport::Hit } else { FillReport::FilledBySource };
                let fill_report = if f.fill_source == f.server { FillReport::Hit } else { cached };
                driver.finish(5000 + k, 0, &f.server, AttemptResult::Served, fill_report);
            }
            driver.advance(20.0);
        }
        let mut next: Vec<_> = requested.into_iter().collect();
        while in_flight.front().is_some_and(|(due, ..)| *due <= driver.now) {
            let (_, n, attempt, server) = in_flight.pop_front().expect("just seen");
            let actions = driver.finish_in(n, attempt, &server, AttemptResult::Error, late, 1600.0);
            next.extend(first_attempt(&actions).map(|f| (n, attempt + 1, f)));
        }
        while let Some((n, attempt, f)) = next.pop() {
            if f.cached_only || f.fill_source == f.server {
                let fill_report =
                    if f.cached_only { FillReport::SourceMiss } else { FillReport::NotReported };
                next.extend(
                    first_attempt(&driver.finish(
                        n,
                        attempt,
                        &f.server,
                        AttemptResult::CacheMiss,
                        fill_report,
                    ))
                    .map(|f| (n, attempt + 1, f)),
                );
            } else {
                calls += usize::from(n >= 1050);
                in_flight.push_back((driver.now + 1600.0, n, attempt, f.server));
            }
        }
    }
    calls
}

/// An origin whose queue is longer than a fill's timeout does only useless work while it gets more than it can do.
/// Timeouts halve its limit, so that the queue drains, whether the parent reports a failed origin or times out.
#[test]
fn overloaded_origin_soon_gets_few_requests() {
    for late in [FillReport::OriginFailed, FillReport::SourceFailed] {
        let calls = fills_of_an_overloaded_origin(late);
        println!("{late:?}: {calls}");
        assert!((1..10).contains(&calls), "{late:?}: {calls} of 50 reached it");
    }
}
