//! Tests of the schedule of random faults.

use super::*;

#[test]
fn the_same_seed_draws_the_same_faults_and_each_kind_once_before_any_again() {
    let kinds = vec![FaultKind::Kill, FaultKind::KillAndWipe, FaultKind::Partition, FaultKind::Suspend];
    let random = RandomFaults { gap_ms: [300.0, 500.0], duration_ms: [500.0, 700.0], kinds: kinds.clone() };
    let scripted = ScheduledFault {
        at_ms: 10.0,
        kind: FaultKind::ReplaceRules,
        router: 0,
        other_router: None,
        duration_ms: 1.0,
        rules: None,
        other_rules: None,
    };
    let faults_by_seed = |seed| schedule(std::slice::from_ref(&scripted), Some(&random), 5, 30_000.0, seed);
    let faults = faults_by_seed(3);
    assert_eq!(faults, faults_by_seed(3));
    assert_ne!(faults, faults_by_seed(4));
    assert_eq!(faults[0], scripted);
    for round in faults[1..].chunks_exact(kinds.len()) {
        let mut drawn: Vec<FaultKind> = round.iter().map(|fault| fault.kind).collect();
        drawn.sort_unstable();
        let mut all = kinds.clone();
        all.sort_unstable();
        assert_eq!(drawn, all);
    }
    let is_valid = |fault: &ScheduledFault| {
        let other_is_valid = |other: usize| other < 5 && other != fault.router;
        fault.router < 5 && fault.other_router.is_some_and(other_is_valid)
    };
    assert!(faults.iter().skip(1).all(is_valid));
}
