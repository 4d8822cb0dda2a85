//! Tests of minimal conflicts.

use super::minimal_conflict;

#[test]
fn finds_the_smallest_conflict() {
    // Rule 2 conflicts with 5 alone; 0, 1, 3 and 4 conflict only all together.
    let is_satisfiable = |used: &[usize]| {
        let has = |rules: &[usize]| rules.iter().all(|r| used.contains(r));
        !has(&[2, 5]) && !has(&[0, 1, 3, 4])
    };
    assert_eq!(minimal_conflict(6, is_satisfiable), [2, 5]);
    assert_eq!(minimal_conflict(5, is_satisfiable), [0, 1, 3, 4]);
    assert_eq!(minimal_conflict(4, is_satisfiable), [0; 0]);
}
