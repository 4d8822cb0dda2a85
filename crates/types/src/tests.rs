//! Tests of `src`.

use super::*;

#[test]
fn names_are_plain_and_short() {
    assert!(name("north-1.a_b").is_ok());
    for bad in ["", "a b", "a/b", "ü", &"x".repeat(MAX_NAME_BYTES + 1)] {
        assert!(name(bad).is_err(), "{bad:?}");
    }
}

#[test]
fn any_two_majorities_meet() {
    for n in 1..8 {
        let members = (0..n)
            .map(|i| Member { router: RouterId(Arc::from(format!("r{i}"))), incarnation: Incarnation(i) });
        let group = QuorumGroup::majority(members.collect());
        assert!(2 * group.quorum > group.members.len() && group.quorum <= group.members.len());
    }
}
