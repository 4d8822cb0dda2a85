//! Tests of the watchers of a change log: they receive all purges, and a missing one is noticed.

use super::change_log_delivery::{delivery_figures, measure_change_log_delivery, Receipts};
use std::time::{Duration, Instant};

#[test]
fn watchers_receive_all_purges_and_a_missing_one_is_noticed() {
    let measured = measure_change_log_delivery(3, 50.0, Duration::from_secs(1)).expect("all purges received");
    assert!(measured["watchers"] == 3.0 && measured["heard_at_once"] >= 1.0, "{measured:?}");
    assert!(measured["apart_ms_median"] <= measured["apart_ms_most"], "{measured:?}");
    let start = Instant::now();
    let receipts = |times_ms: &[(u64, u64)]| -> Receipts {
        times_ms.iter().map(|(number, ms)| (*number, start + Duration::from_millis(*ms))).collect()
    };
    let first = receipts(&[(1, 0), (2, 0), (3, 50)]);
    let second = receipts(&[(1, 30), (2, 30), (3, 60)]);
    let figures = delivery_figures(&[first.clone(), second], 3).expect("complete receipts");
    let spreads = (figures["apart_ms_median"], figures["apart_ms_most"]);
    assert_eq!((spreads, figures["heard_at_once"]), ((30.0, 30.0), 1.5));
    assert!(delivery_figures(&[first, receipts(&[(1, 30)])], 3).is_none());
    assert!(delivery_figures(&[], 1).is_none());
}
