//! Tests of the plans drawn from seeds.

use super::*;
use std::collections::BTreeSet;

#[test]
fn a_seed_yields_one_plan_and_all_kinds_of_faults_are_drawn() {
    let (experiment, _) = crate::soak::load("soak").expect("the built-in experiment loads");
    let plan = |seed| SeedPlan::draw(&experiment.fleet, &experiment.load, experiment.quick, seed);
    assert_eq!(plan(3).faults, plan(3).faults);
    assert_ne!(plan(3).faults, plan(4).faults);
    let names: BTreeSet<&str> =
        (0..50).flat_map(|seed| plan(seed).faults).map(|planned| planned.fault.name()).collect();
    assert!(names.len() >= 20, "{names:?}");
    for seed in 0..50 {
        for event in plan(seed).setup.script {
            let nodes = basaltgw_simulator::fleet::nodes(&plan(seed).setup.fleet);
            assert!(event.node.is_none_or(|name| nodes.iter().any(|node| node.name == name)));
        }
    }
}
