//! The split of changes into steps without a cycle in any mixture of versions in use.

use super::*;
use crate::mixture::tests::plans;
use crate::plan::test_plans::{pair, tier_2_node, tree, triple};
use proptest::prelude::*;

fn plan(spec: PlanSpec) -> Plan {
    Plan::from_spec(spec).expect("a plan")
}

#[test]
fn two_nodes_that_are_sources_of_each_other_for_a_time_are_moved_one_after_the_other() {
    let (old, new) = (pair(1, &["h", "b"], &["h"]), pair(2, &["h"], &["h", "a"]));
    for behind in 1..4 {
        let steps = split_into_steps(&old, &new, behind).expect("steps");
        assert_eq!(steps.len(), 1 + behind, "a drops b; as many steps as a node may be behind; b adds a");
        let all: Vec<&Plan> = [&old].into_iter().chain(&steps).collect();
        all.windows(behind + 1).for_each(|w| check_mixture(w).expect("no cycle among the versions in use"));
    }
}

#[test]
fn cycle_of_three_nodes_is_split() {
    let old = triple(1, [&["h", "b"], &["h", "c"], &["h"]]);
    let new = triple(2, [&["h"], &["h"], &["h", "a"]]);
    let steps = split_into_steps(&old, &new, 1).expect("steps");
    assert!(steps.len() > 1);
    assert_eq!(steps.last().map(Plan::spec), Some(new.spec()));
}

#[test]
fn added_or_removed_tier_1_node_needs_one_step_and_change_of_its_tier_is_rejected() {
    let old = plan(tree(1, &["h1", "h2"], &["d1"], &["e1"]));
    let more = plan(tree(2, &["h1", "h2", "h3"], &["d1"], &["e1"]));
    assert_eq!(split_into_steps(&old, &more, 2).map(|s| s.len()), Ok(1));
    assert_eq!(split_into_steps(&more, &old, 2).map(|s| s.len()), Ok(1));
    let mut moved = tree(2, &["h1"], &["d1"], &["e1"]);
    moved.nodes.push(tier_2_node("h2", &["h1"]));
    let error = split_into_steps(&old, &plan(moved), 2).expect_err("a cycle");
    assert!(error.to_string().contains("h1 → h2"), "{error}");
}

#[test]
fn change_of_the_origin_is_rejected() {
    let mut other = tree(2, &["h1"], &[], &[]);
    other.nodes[0].id = NodeId::new("other");
    other.nodes[1].sources = vec![NodeId::new("other")];
    let error =
        split_into_steps(&plan(tree(1, &["h1"], &[], &[])), &plan(other), 2).expect_err("another origin");
    assert_eq!(error.to_string(), "node other: expected the origin to stay origin");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]
    #[test]
    fn every_change_can_be_split_and_no_mixture_in_use_rings(a in plans(), b in plans(), behind in 1usize..4) {
        let steps = split_into_steps(&a, &b, behind);
        if let Err(PlanError::TooManySteps(_)) = steps {
            return Ok(());
        }
        let steps = steps.expect("steps");
        prop_assert_eq!(steps.last().map(Plan::spec), Some(b.spec()));
        let all: Vec<&Plan> = [&a].into_iter().chain(&steps).collect();
        for window in all.windows((behind + 1).min(all.len())) {
            prop_assert!(check_mixture(window).is_ok());
        }
    }
}
