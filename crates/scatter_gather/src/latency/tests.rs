//! Tests of `latency`.

use super::*;

#[test]
fn follows_what_comes_and_what_is_given_up() {
    let mut l = Latency::guess(30.0);
    (0..200).for_each(|i| l.came(20.0 + f64::from(i % 10), 1.0));
    assert!(l.within(35.0) > 0.95 && l.within(10.0) < 0.05, "{} {}", l.within(35.0), l.within(10.0));
    assert!((20.0..36.0).contains(&l.quantile(0.5)), "{}", l.quantile(0.5));
    (0..60).for_each(|_| l.longer(100.0, 1.0));
    assert!(l.within(100.0) < 0.4, "{}", l.within(100.0));
    (0..60).for_each(|_| l.came(25.0, 1.0));
    assert!(l.within(100.0) > 0.6, "{}", l.within(100.0));
    let mut last = 0.0;
    for t in 0..4_000 {
        let p = l.within(f64::from(t));
        assert!(p >= last && p <= 1.0, "{t}: {p} after {last}");
        last = p;
    }
}
