//! Tests of `cold`.

use super::*;

#[test]
fn what_is_within_the_window_counts_against_what_it_can_do_at_that_age() {
    let rule = ColdSpec { share: 0.2, span_ms: 10_000.0, multiple: 2.0, window_ms: 1_000.0 };
    let mut c = ColdCount::new(rule, 1.0, 100.0);
    assert!(!c.reached(100.0, 390.0), "of 400");
    assert!(c.reached(150.0, 20.0));
    let mut c = ColdCount::new(rule, 1.0, 100.0);
    assert!(!c.reached(100.0, 390.0) && !c.reached(1_200.0, 390.0), "the first is out of the window");
    assert!(c.cold(10_000.0) && !c.cold(10_100.0));
    assert!(!c.reached(10_200.0, 1.0e9), "warm ones are not brought down");
    assert!(c.most() > 0.8 && c.most() < 1.0);
}
