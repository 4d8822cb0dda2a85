//! Tests of the load limit of cold nodes.

use super::*;

#[test]
fn load_within_the_window_is_limited_by_the_capacity_at_the_nodes_age() {
    let rule = ColdSpec { share: 0.2, span_ms: 10_000.0, multiple: 2.0, window_ms: 1_000.0 };
    let mut load = ColdLoad::new(rule, 1.0, 100.0);
    assert!(!load.record(100.0, 390.0), "the limit is 400");
    assert!(load.record(150.0, 20.0));
    let mut load = ColdLoad::new(rule, 1.0, 100.0);
    assert!(
        !load.record(100.0, 390.0) && !load.record(1_200.0, 390.0),
        "the first request has left the window"
    );
    assert!(load.is_cold(10_000.0) && !load.is_cold(10_100.0));
    assert!(!load.record(10_200.0, 1.0e9), "a warm node has no limit");
    assert!(load.max_limit_share() > 0.8 && load.max_limit_share() < 1.0);
}
