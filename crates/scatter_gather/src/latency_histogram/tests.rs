//! Tests of `latency_histogram`.

use super::*;

#[test]
fn histogram_follows_recorded_answers_and_timeouts() {
    let mut histogram = LatencyHistogram::prior(30.0);
    (0..200).for_each(|i| histogram.record(20.0 + f64::from(i % 10), 1.0));
    assert!(
        histogram.probability_within(35.0) > 0.95 && histogram.probability_within(10.0) < 0.05,
        "{} {}",
        histogram.probability_within(35.0),
        histogram.probability_within(10.0)
    );
    assert!((20.0..36.0).contains(&histogram.quantile(0.5)), "{}", histogram.quantile(0.5));
    (0..60).for_each(|_| histogram.record_timeout(100.0, 1.0));
    assert!(histogram.probability_within(100.0) < 0.4, "{}", histogram.probability_within(100.0));
    (0..60).for_each(|_| histogram.record(25.0, 1.0));
    assert!(histogram.probability_within(100.0) > 0.6, "{}", histogram.probability_within(100.0));
    let mut previous = 0.0;
    for t in 0..4_000 {
        let probability = histogram.probability_within(f64::from(t));
        assert!(probability >= previous && probability <= 1.0, "{t}: {probability} after {previous}");
        previous = probability;
    }
}
