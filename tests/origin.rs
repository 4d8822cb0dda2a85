//! What routers ask of an origin that answers too late for any of it to be of use.

mod common;

use basaltgw::api::*;
use common::{fetch, fleet, settings, Driver, SAFE};
use std::collections::VecDeque;

/// One router of 300 that asks every 500 ms for something new, for 50 s. No parent holds it: fills run out of time there
/// after 1,600 ms, told as `late`. Counts what may go on to the origin in the last 25 s.
fn calls_of_an_origin_that_is_late(late: FillReport) -> usize {
    let mut d = Driver::new(Settings { routers: 300, zone_routers: 10, ..settings() }, fleet());
    for n in 0..100 {
        let note = if n % 2 == 0 { FillReport::FilledBySource } else { FillReport::FilledByOrigin };
        d.serve(n, SAFE, n as u64, note);
        d.wait(100.0);
    }
    let mut calls = 0;
    let mut out: VecDeque<(Ms, usize, usize, ServerId)> = VecDeque::new();
    for n in 1000..1100 {
        let asked = fetch(&d.ask(n, SAFE, n as u64)).map(|f| (n, 0, f));
        // The parents go on giving what they hold.
        for k in 25 * n..25 * n + 25 {
            if let Some(f) = fetch(&d.ask(5000 + k, SAFE, (k % 50) as u64 * 2)) {
                let held = if k % 3 > 0 { FillReport::Hit } else { FillReport::FilledBySource };
                let note = if f.fill_source == f.server { FillReport::Hit } else { held };
                d.end(5000 + k, 0, &f.server, AttemptResult::Served, note);
            }
            d.wait(20.0);
        }
        let mut next: Vec<_> = asked.into_iter().collect();
        while out.front().is_some_and(|(due, ..)| *due <= d.now) {
            let (_, n, attempt, server) = out.pop_front().expect("just seen");
            let acts = d.outcome(n, attempt, &server, AttemptResult::Error, late, 1600.0);
            next.extend(fetch(&acts).map(|f| (n, attempt + 1, f)));
        }
        while let Some((n, attempt, f)) = next.pop() {
            if f.cached_only || f.fill_source == f.server {
                let note = if f.cached_only { FillReport::SourceMiss } else { FillReport::NotReported };
                next.extend(
                    fetch(&d.end(n, attempt, &f.server, AttemptResult::CacheMiss, note))
                        .map(|f| (n, attempt + 1, f)),
                );
            } else {
                calls += usize::from(n >= 1050);
                out.push_back((d.now + 1600.0, n, attempt, f.server));
            }
        }
    }
    calls
}

/// An origin whose queue is longer than a fill's time works for nothing for as long as it is asked for more than it can do
/// (stripbib-reader, split+mass, seed 12: to the end of the day). Its gate is cut by half by what ran out of time, so that the
/// queue drains; whether the parent says that its origin failed, or just ran out of time itself.
#[test]
fn an_origin_that_is_late_for_all_is_soon_asked_for_little() {
    for late in [FillReport::OriginFailed, FillReport::SourceFailed] {
        let calls = calls_of_an_origin_that_is_late(late);
        println!("{late:?}: {calls}");
        assert!((1..10).contains(&calls), "{late:?}: {calls} of 50 went on to it");
    }
}
