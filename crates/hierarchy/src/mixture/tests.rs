//! Cycles in mixtures of plans.

use super::*;
use crate::plan::test_plans::{node, pair, spec, tier_2_node, triple};
use proptest::prelude::*;

#[test]
fn two_nodes_that_are_sources_of_each_other_for_a_time_are_found() {
    let (old, new) = (pair(1, &["h", "b"], &["h"]), pair(2, &["h"], &["h", "a"]));
    let error = check_mixture(&[&old, &new]).expect_err("a cycle").to_string();
    assert_eq!(error, "a → b request from each other in a cycle while versions 1 and 2 are mixed");
}

#[test]
fn cycle_of_three_nodes_is_found() {
    let old = triple(1, [&["h", "b"], &["h", "c"], &["h"]]);
    let new = triple(2, [&["h"], &["h"], &["h", "a"]]);
    assert!(check_mixture(&[&old, &new]).is_err());
}

/// A plan of some nodes of tier 2, in an order, each with h and a choice of the nodes before it as sources.
fn any_plan(version: u64, order: Vec<usize>, choices: Vec<Vec<bool>>) -> Plan {
    let id = |i: usize| format!("d{i}");
    let mut nodes = vec![node("origin", 0, &[]), node("h", 1, &["origin"])];
    for (at, i) in order.iter().enumerate() {
        let chosen: Vec<String> = order[..at].iter().filter(|j| choices[*i][**j]).map(|j| id(*j)).collect();
        let mut sources = vec!["h"];
        sources.extend(chosen.iter().map(String::as_str));
        nodes.push(tier_2_node(&id(*i), &sources));
    }
    Plan::from_spec(spec(version, nodes)).expect("a plan")
}

pub(crate) fn plans() -> impl Strategy<Value = Plan> {
    let order = Just((0..6usize).collect::<Vec<_>>()).prop_shuffle();
    let choices = proptest::collection::vec(proptest::collection::vec(any::<bool>(), 6), 6);
    (order, choices).prop_map(|(order, choices)| any_plan(1, order, choices))
}

/// Checks every mixture one by one: each node takes its sources from one of the plans.
fn any_mixture_has_cycle(plans: &[&Plan]) -> bool {
    let ids: Vec<NodeId> = plans[0].nodes().iter().map(|n| n.id.clone()).collect();
    let index = |id: &NodeId| ids.iter().position(|i| i == id).expect("a node");
    let mixtures = plans.len().pow(ids.len() as u32);
    (0..mixtures).any(|mut mixture| {
        let edges: Vec<Vec<usize>> = ids
            .iter()
            .map(|id| {
                let plan = plans[mixture % plans.len()];
                mixture /= plans.len();
                plan.node(id).expect("a node").sources.iter().map(index).collect()
            })
            .collect();
        find_cycle(&edges).is_some()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]
    #[test]
    fn the_union_rings_exactly_if_some_mixture_does(a in plans(), b in plans()) {
        prop_assert_eq!(check_mixture(&[&a, &b]).is_err(), any_mixture_has_cycle(&[&a, &b]));
    }
}
