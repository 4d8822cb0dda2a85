//! Tests of `wait_decision`.

use super::probability_of_at_least;

#[test]
fn probability_that_at_least_k_of_independent_events_happen() {
    let near = |a: f64, b: f64| assert!((a - b).abs() < 1e-12, "{a} {b}");
    near(probability_of_at_least(0, &[0.5]), 1.0);
    near(probability_of_at_least(2, &[0.5]), 0.0);
    near(probability_of_at_least(2, &[0.5, 0.5]), 0.25);
    near(probability_of_at_least(1, &[0.5, 0.5, 0.5]), 0.875);
    near(
        probability_of_at_least(2, &[0.2, 0.7, 0.5]),
        0.2 * 0.7 * 0.5 + 0.2 * 0.7 * 0.5 + 0.2 * 0.3 * 0.5 + 0.8 * 0.7 * 0.5,
    );
}
