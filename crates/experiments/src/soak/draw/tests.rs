//! Tests of `draw`.

use super::*;

#[test]
fn seed_stands_for_one_plan_and_every_kind_of_fault_is_drawn() {
    let (e, _) = crate::soak::find("soak").expect("the experiment");
    let of = |seed| draw(&e.fleet, &e.load, e.quick, seed);
    assert_eq!(of(3).plan, of(3).plan);
    assert_ne!(of(3).plan, of(4).plan);
    let names: std::collections::BTreeSet<&str> =
        (0..50).flat_map(|seed| of(seed).plan).map(|p| p.fault.name()).collect();
    assert!(names.len() >= 20, "{names:?}");
    for seed in 0..50 {
        for moment in of(seed).setup.script {
            let known = basaltgw_simulator::fleet::nodes(&of(seed).setup.fleet);
            assert!(moment.node.is_none_or(|name| known.iter().any(|n| n.name == name)));
        }
    }
}
