//! Ages and mapped times with a wrong wall clock and events in any order.

use super::*;
use proptest::prelude::*;

/// A Unix time in milliseconds.
const TODAY: Ms = 1_764_576_000_000.0;
const HOUR: Ms = 3_600_000.0;

#[test]
fn age_never_exceeds_the_true_age_with_a_wrong_wall_clock() {
    for wall_error in [0.0, HOUR, -HOUR] {
        // The platform's time is TODAY + now.
        let mut time = PlatformTime::new(0.0, TODAY + wall_error);
        for (notified, happened) in [(10.0, 0.0), (500.0, 490.0), (9_000.0, 2_000.0)] {
            time.observe_purge(notified, TODAY + happened);
            let age = time.age_of_next_purge(notified, TODAY + happened);
            assert!((0.0..=notified - happened + ROUNDING_MS).contains(&age), "{wall_error}: {age}");
        }
        // The last purge was notified late. Its age is too small only by the shortest delay of a notification.
        assert_eq!(time.age(9_000.0, TODAY + 2_000.0), 6_990.0 + ROUNDING_MS);
        assert_eq!(time.age_of_next_purge(9_000.0, TODAY + 1_000.0), 0.0, "out of order");
    }
}

#[test]
fn untrusted_times_raise_the_bound_up_to_the_wall_clock_only() {
    let mut time = PlatformTime::new(0.0, TODAY);
    time.observe_purge(0.0, TODAY - 60_000.0);
    assert_eq!(time.observe(100.0, TODAY + 90.0), Some(59_990.0));
    assert_eq!(
        time.observe(200.0, TODAY + HOUR),
        Some(9.0),
        "a time in the future raises the bound to the wall clock"
    );
    assert_eq!(time.observe(300.0, TODAY - HOUR), None);
    time.settle();
    assert_eq!(time.observe_purge(300.0, TODAY + HOUR), None);
}

#[test]
fn future_time_maps_to_the_same_monotonic_time_each_time() {
    let mut time = PlatformTime::new(0.0, TODAY - HOUR);
    time.observe(10.0, TODAY);
    let local = time.local(10.0, TODAY);
    assert!((10.0..15.0).contains(&local), "{local}");
    assert_eq!(time.local(5_000.0, TODAY), local);
    assert_eq!(time.age(5_000.0, TODAY), 5_000.0 - local);
    assert!(time.local(6_000.0, TODAY + 500.0) > 6_000.0, "another time in the future");
}

#[test]
fn mapped_times_are_stable_while_the_bound_is() {
    let mut time = PlatformTime::new(17.3, TODAY + 0.7);
    time.observe(20.9, TODAY);
    assert_eq!(time.local(30.0, TODAY - 500.0), time.local(90.0, TODAY - 500.0));
    let local = time.local(30.0, TODAY - 500.0);
    assert_eq!(time.unix(local), TODAY - 500.0);
}

proptest! {
    #[test]
    fn ages_are_not_too_great_under_any_order_of_events(
        wall_error in -HOUR..HOUR,
        events in proptest::collection::vec((0.0..60_000.0f64, 0.0..10_000.0f64, any::<bool>()), 1..30),
    ) {
        let mut events = events;
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut time = PlatformTime::new(0.0, TODAY + wall_error);
        let mut mapped: Vec<(Ms, Ms)> = Vec::new();
        for (now, lag, purge) in events {
            let unix = (TODAY + now - lag).floor();
            let increase = if purge { time.observe_purge(now, unix) } else { time.observe(now, unix) };
            mapped.iter_mut().for_each(|(local, _)| *local -= increase.unwrap_or(0.0));
            mapped.push((time.local(now, unix), unix - TODAY));
            for (local, happened) in &mapped {
                prop_assert!(*local >= *happened - ROUNDING_MS - 1e-3, "mapped to {local}, happened at {happened}");
            }
        }
    }
}
