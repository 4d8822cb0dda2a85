//! Faults drawn from a seed.

use super::*;

#[test]
fn the_same_seed_draws_the_same_faults_and_each_kind_once_before_any_again() {
    let kinds = vec![What::Kill, What::Wipe, What::Cut, What::Stop];
    let draws = Draws { gap_ms: [300.0, 500.0], for_ms: [500.0, 700.0], kinds: kinds.clone() };
    let scripted = Moment {
        at_ms: 10.0,
        what: What::Rules,
        router: 0,
        other: None,
        for_ms: 1.0,
        rules: None,
        rules_other: None,
    };
    let of = |seed| plan(std::slice::from_ref(&scripted), Some(&draws), 5, 30_000.0, seed);
    let one = of(3);
    assert_eq!(one, of(3));
    assert_ne!(one, of(4));
    assert_eq!(one[0], scripted);
    for round in one[1..].chunks_exact(kinds.len()) {
        let mut drawn: Vec<What> = round.iter().map(|m| m.what).collect();
        drawn.sort_unstable();
        let mut all = kinds.clone();
        all.sort_unstable();
        assert_eq!(drawn, all);
    }
    assert!(one.iter().skip(1).all(|m| m.router < 5 && m.other.is_some_and(|o| o < 5 && o != m.router)));
}
