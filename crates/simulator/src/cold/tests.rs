//! Tests of `cold`.

use super::*;

#[test]
fn load_within_the_window_is_limited_by_the_capacity_at_the_nodes_age() {
    let rule = ColdSpec { share: 0.2, span_ms: 10_000.0, multiple: 2.0, window_ms: 1_000.0 };
    let mut c = ColdLoad::new(rule, 1.0, 100.0);
    assert!(!c.record(100.0, 390.0), "the limit is 400");
    assert!(c.record(150.0, 20.0));
    let mut c = ColdLoad::new(rule, 1.0, 100.0);
    assert!(!c.record(100.0, 390.0) && !c.record(1_200.0, 390.0), "the first request has left the window");
    assert!(c.is_cold(10_000.0) && !c.is_cold(10_100.0));
    assert!(!c.record(10_200.0, 1.0e9), "a warm node has no limit");
    assert!(c.max_limit_share() > 0.8 && c.max_limit_share() < 1.0);
}
