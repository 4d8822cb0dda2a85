use super::*;
use basaltgw_types::Domain;

fn identity(incarnation: u128, generation: u64, replaced: &[u128]) -> RouterIdentity {
    let member = Member { router: RouterId("r1".into()), incarnation: Incarnation(incarnation) };
    let domain = Domain { branch: "b".into(), machine: "m".into() };
    let presence = Presence { member, address: ([127, 0, 0, 1], 7101).into(), domain };
    RouterIdentity { presence, generation, replaced: replaced.iter().map(|i| Incarnation(*i)).collect() }
}

#[test]
fn exactly_one_of_two_identities_is_current_and_a_replaced_one_never_is() {
    let identities = [
        identity(1, 0, &[]),
        identity(9, 0, &[]),
        identity(9, 3, &[]),
        identity(2, 1, &[9, 1]),
        identity(9, 4, &[2]),
        identity(9, 4, &[]),
    ];
    for a in &identities {
        for b in identities.iter().filter(|b| *b != a) {
            assert!(a.is_current_over(b) != b.is_current_over(a), "{a:?} {b:?}");
        }
    }
    // A replaced incarnation remains replaced, whatever generation it reaches later.
    assert!(identity(2, 1, &[9]).replaces(&identity(9, 400, &[])));
    assert!(!identity(9, 400, &[]).is_current_over(&identity(2, 1, &[9])));
    // Of two identities that list each other, the generation decides.
    assert!(
        identity(9, 400, &[2]).replaces(&identity(2, 1, &[9]))
            && !identity(2, 1, &[9]).replaces(&identity(9, 400, &[2]))
    );
}

#[test]
fn a_raised_identity_lists_the_other_and_has_a_higher_generation() {
    let raised = identity(5, 0, &[])
        .raised_above(&identity(9, 7, &[1, 5]))
        .expect("the generation is below its maximum");
    assert_eq!(raised, identity(5, 8, &[9, 1]));
    let renewed = identity(5, 8, &[9]).renew().expect("the generation is below its maximum");
    assert_eq!(renewed, identity(5, 9, &[9]));
    let most: Vec<u128> = (10..10 + MAX_REPLACED as u128).collect();
    let full = identity(5, 0, &[])
        .raised_above(&identity(9, 7, &most))
        .expect("the generation is below its maximum");
    assert!(full.is_valid() && full.replaced.len() == MAX_REPLACED && full.replaces(&identity(9, 7, &most)));
    assert_eq!(identity(5, 0, &[]).raised_above(&identity(9, MAX_GENERATION, &[])), None);
}
