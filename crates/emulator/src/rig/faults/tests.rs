//! Faults drawn from a seed.

use super::*;

#[test]
fn the_same_seed_draws_the_same_faults_and_each_kind_once_before_any_again() {
    let kinds = vec![FaultKind::Kill, FaultKind::KillAndWipe, FaultKind::Partition, FaultKind::Suspend];
    let draws = RandomFaults { gap_ms: [300.0, 500.0], duration_ms: [500.0, 700.0], kinds: kinds.clone() };
    let scripted = ScheduledFault {
        at_ms: 10.0,
        kind: FaultKind::ReplaceRules,
        router: 0,
        other_router: None,
        duration_ms: 1.0,
        rules: None,
        other_rules: None,
    };
    let of = |seed| schedule(std::slice::from_ref(&scripted), Some(&draws), 5, 30_000.0, seed);
    let one = of(3);
    assert_eq!(one, of(3));
    assert_ne!(one, of(4));
    assert_eq!(one[0], scripted);
    for round in one[1..].chunks_exact(kinds.len()) {
        let mut drawn: Vec<FaultKind> = round.iter().map(|m| m.kind).collect();
        drawn.sort_unstable();
        let mut all = kinds.clone();
        all.sort_unstable();
        assert_eq!(drawn, all);
    }
    assert!(one
        .iter()
        .skip(1)
        .all(|m| m.router < 5 && m.other_router.is_some_and(|o| o < 5 && o != m.router)));
}
