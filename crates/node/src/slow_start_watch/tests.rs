//! Attempts written to servers that are warming up, compared with the limit.

use super::*;
use crate::caches::RequestNo;
use basaltgw::api::{AttemptNo, ZoneId};
use std::sync::Arc;

const WINDOW_MS: Ms = 1_000.0;

fn watch() -> SlowStartWatch {
    let policy = SlowStartPolicy {
        initial_share: 0.5,
        ramp_duration: 10_000.0,
        overload_factor: 2.0,
        overload_window: WINDOW_MS,
    };
    let watch = SlowStartWatch {
        policies: [(Role::Edge, policy), (Role::Parent, policy)],
        uses_weights: true,
        warming_up: RefCell::default(),
        shortest_responses: RefCell::default(),
        costs: RefCell::new(vec![ClassCost::default(); 2]),
        written: RefCell::default(),
        highest_share: Cell::default(),
    };
    (0..40).for_each(|n| watch.observe_response(0, ObjectId(n % 4), 10.0));
    watch
}

fn endpoint() -> Endpoint {
    let id = ServerId(Arc::from("s-1"));
    let (zone, role, state) = (ZoneId(0), Role::Edge, EndpointState::Up);
    Endpoint { id, zone, role, cell: 0, state, weight: 1.0, started: None }
}

/// Writes this many attempts, a millisecond apart; returns how many exceeded the limit.
fn write_attempts(watch: &SlowStartWatch, from: Instant, count: u64) -> usize {
    let id = endpoint().id;
    let at = |n: u64| from + Duration::from_millis(n);
    (0..count).filter(|n| watch.count_attempt(at(*n), 0, Some(&id), None).is_some()).count()
}

#[test]
fn writes_beyond_the_bound_are_reported_with_their_share_of_it() {
    let (watch, now) = (watch(), Instant::now());
    watch.observe_endpoint(now, &endpoint(), Some(0.0));
    assert_eq!(write_attempts(&watch, now, 122), 0, "100 are allowed, and the tolerance is 22");
    assert!((0.95..=1.0).contains(&watch.highest_share()));
    assert!(write_attempts(&watch, now + Duration::from_millis(200), 10) > 0);
    let written = AttemptKey { request: RequestNo(7), attempt: AttemptNo(0) };
    watch.record_written(written);
    assert_eq!((watch.take_written(), watch.take_written()), (vec![written], Vec::new()));
}

#[test]
fn each_window_and_process_counts_apart_and_warm_servers_not_at_all() {
    let (watch, now) = (watch(), Instant::now());
    assert_eq!(write_attempts(&watch, now, 500), 0, "not listed as warming up");
    watch.observe_endpoint(now, &endpoint(), Some(0.0));
    assert_eq!(write_attempts(&watch, now, 120), 0);
    assert_eq!(write_attempts(&watch, now + Duration::from_millis(1_200), 120), 0, "another window");
    let later = now + Duration::from_millis(1_400);
    watch.observe_endpoint(later, &endpoint(), Some(0.0));
    assert_eq!(write_attempts(&watch, later, 100), 0, "another process");
    watch.observe_endpoint(later, &endpoint(), Some(20_000.0));
    assert_eq!(write_attempts(&watch, later, 500), 0, "warm");
}
