//! Tests of experiment files and of the setups made from them.

use super::*;

#[test]
fn built_in_experiments_load_and_errors_name_their_key() {
    for (name, text) in BUILT_IN {
        let (experiment, _) = Experiment::load(name).expect("the built-in experiment loads");
        assert_eq!(experiment.name, name);
        let dir = tempfile::tempdir().expect("a temporary directory");
        let path = dir.path().join("wrong.yaml");
        let error_after_replacing = |from: &str, to: &str| {
            assert!(text.contains(from), "the experiment does not contain {from:?}");
            std::fs::write(&path, text.replacen(from, to, 1)).expect("the file is written");
            Experiment::load(&path.display().to_string()).expect_err("the file is rejected").to_string()
        };
        assert!(error_after_replacing("what: plan", "what: plam").contains("script["));
        assert!(error_after_replacing("node: hub-", "node: hob-").contains("unknown node"));
        assert!(error_after_replacing("figure: loops_carried", "figur: loops_carried").contains("must["));
        let error = error_after_replacing("zones:", "zonse:");
        assert!(error.contains("fleet: ") && error.contains("zon"), "{error}");
    }
}

#[test]
fn larger_scale_has_more_zones_and_districts_and_the_same_spares() {
    let (experiment, _) = Experiment::load("reshape-at-scale").expect("the built-in experiment loads");
    let (one, ten) =
        (experiment.setup(Variant::Described, 1, 1), experiment.setup(Variant::Described, 10, 1));
    assert_eq!(ten.fleet.zones, one.fleet.zones * 10);
    assert_eq!(ten.fleet.spare_districts, one.fleet.spare_districts);
    let nodes = basaltgw_simulator::fleet::nodes(&ten.fleet);
    for plan in &ten.plans {
        basaltgw_hierarchy::Plan::from_spec(basaltgw_simulator::sim::plan_spec(plan, 1, &nodes))
            .expect("the scaled plan is valid");
    }
    for name in ten.script.iter().filter_map(|event| event.node.as_ref()) {
        assert!(nodes.iter().any(|node| node.name == *name), "unknown node {name}");
    }
}
