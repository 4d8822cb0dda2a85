//! The requests that reach an origin whose responses are all too late.

mod common;

use basaltgw::api::*;
use common::{first_attempt, fleet, settings, Driver, IDEMPOTENT};
use std::collections::VecDeque;

/// An attempt of request `n` that waits for the origin.
struct Fill {
    timeout_at: Ms,
    n: usize,
    attempt: usize,
    server: ServerId,
}

/// One router of 300 that gets a request for a new object every 500 ms, for 50 s. No parent has the object cached:
/// fills time out after 1,600 ms, reported as `timeout_report`. Counts the fills that may reach the origin in the last
/// 25 s.
fn fills_of_an_overloaded_origin(timeout_report: FillReport) -> usize {
    let mut driver = Driver::new(Settings { routers: 300, zone_routers: 10, ..settings() }, fleet());
    for n in 0..100 {
        let fill_report = if n % 2 == 0 { FillReport::FilledBySource } else { FillReport::FilledByOrigin };
        driver.serve(n, IDEMPOTENT, n as u64, fill_report);
        driver.advance(100.0);
    }
    let mut fills = 0;
    let mut in_flight: VecDeque<Fill> = VecDeque::new();
    for n in 1000..1100 {
        let requested = first_attempt(&driver.request(n, IDEMPOTENT, n as u64)).map(|spec| (n, 0, spec));
        // The parents still serve what they have cached.
        for k in 25 * n..25 * n + 25 {
            if let Some(spec) = first_attempt(&driver.request(5000 + k, IDEMPOTENT, (k % 50) as u64 * 2)) {
                let cached = if k % 3 > 0 { FillReport::Hit } else { FillReport::FilledBySource };
                let fill_report = if spec.fill_source == spec.server { FillReport::Hit } else { cached };
                driver.finish(5000 + k, 0, &spec.server, AttemptResult::Served, fill_report);
            }
            driver.advance(20.0);
        }
        let mut next: Vec<_> = requested.into_iter().collect();
        while in_flight.front().is_some_and(|fill| fill.timeout_at <= driver.now) {
            let Fill { n, attempt, server, .. } = in_flight.pop_front().expect("checked above");
            let actions =
                driver.finish_after(n, attempt, &server, AttemptResult::Error, timeout_report, 1600.0);
            next.extend(first_attempt(&actions).map(|spec| (n, attempt + 1, spec)));
        }
        while let Some((n, attempt, spec)) = next.pop() {
            if spec.cached_only || spec.fill_source == spec.server {
                let fill_report =
                    if spec.cached_only { FillReport::SourceMiss } else { FillReport::NotReported };
                next.extend(
                    first_attempt(&driver.finish(
                        n,
                        attempt,
                        &spec.server,
                        AttemptResult::CacheMiss,
                        fill_report,
                    ))
                    .map(|spec| (n, attempt + 1, spec)),
                );
            } else {
                fills += usize::from(n >= 1050);
                let timeout_at = driver.now + 1600.0;
                in_flight.push_back(Fill { timeout_at, n, attempt, server: spec.server });
            }
        }
    }
    fills
}

/// An origin whose queue is longer than a fill's timeout does only useless work while it gets more requests than it can
/// serve. Timeouts halve its limit, so that the queue drains, whether the parent reports a failed origin or times out.
#[test]
fn overloaded_origin_soon_gets_few_requests() {
    for timeout_report in [FillReport::OriginFailed, FillReport::SourceFailed] {
        let fills = fills_of_an_overloaded_origin(timeout_report);
        println!("{timeout_report:?}: {fills}");
        assert!((1..10).contains(&fills), "{timeout_report:?}: {fills} fills for 50 requests");
    }
}
