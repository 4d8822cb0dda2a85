use super::*;

#[test]
fn estimate_is_high_while_samples_are_few() {
    let mut estimate = CostEstimate::default();
    assert_eq!(estimate.upper_bound(), None);
    estimate.add(100.0);
    assert_eq!(estimate.upper_bound(), Some(150.0));
    (0..500).for_each(|n| estimate.add(if n % 2 == 0 { 50.0 } else { 150.0 }));
    assert!((100.0..106.0).contains(&estimate.upper_bound().expect("samples")));
    assert!(CostEstimate::from_mean(100.0, 25).upper_bound() > Some(105.0));
}

#[test]
fn estimate_recovers_from_an_outlier_and_follows_a_shift() {
    let mut estimate = CostEstimate::default();
    estimate.add(0.001);
    (0..100).for_each(|_| estimate.add(100.0));
    assert!(estimate.upper_bound() >= Some(99.0));
    (0..3_000).for_each(|_| estimate.add(200.0));
    assert!(estimate.upper_bound() > Some(190.0));
}
