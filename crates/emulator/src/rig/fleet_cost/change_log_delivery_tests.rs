//! Watchers of the change log: all that is told is heard, and who did not hear is found.

use super::change_log_delivery::{figures, measure_change_log_delivery, Heard};
use std::time::{Duration, Instant};

#[test]
fn watchers_hear_all_and_a_missing_purge_is_found() {
    let row = measure_change_log_delivery(3, 50.0, Duration::from_secs(1)).expect("all heard");
    assert!(row["watchers"] == 3.0 && row["heard_at_once"] >= 1.0, "{row:?}");
    assert!(row["apart_ms_median"] <= row["apart_ms_most"], "{row:?}");
    let now = Instant::now();
    let of = |ms: &[(u64, u64)]| ms.iter().map(|(n, at)| (*n, now + Duration::from_millis(*at))).collect();
    let (one, two): (Heard, Heard) = (of(&[(1, 0), (2, 0), (3, 50)]), of(&[(1, 30), (2, 30), (3, 60)]));
    let row = figures(&[one.clone(), two], 3).expect("figures");
    assert_eq!((row["apart_ms_median"], row["apart_ms_most"], row["heard_at_once"]), (30.0, 30.0, 1.5));
    assert!(figures(&[one, of(&[(1, 30)])], 3).is_none() && figures(&[], 1).is_none());
}
