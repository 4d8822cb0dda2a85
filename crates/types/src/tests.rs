//! Rules for names, and majorities.

use super::*;

#[test]
fn names_have_allowed_characters_and_a_bounded_length() {
    assert!(parse_name("north-1.a_b").is_ok());
    for invalid in ["", "a b", "a/b", "ü", &"x".repeat(MAX_NAME_BYTES + 1)] {
        assert!(parse_name(invalid).is_err(), "{invalid:?}");
    }
}

#[test]
fn any_two_majorities_have_a_common_member() {
    for n in 1..8 {
        let members = (0..n)
            .map(|i| Member { router: RouterId(Arc::from(format!("r{i}"))), incarnation: Incarnation(i) });
        let group = QuorumGroup::majority(members.collect());
        assert!(2 * group.quorum > group.members.len() && group.quorum <= group.members.len());
    }
}
