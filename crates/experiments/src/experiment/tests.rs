//! Tests of `experiment`.

use super::*;

#[test]
fn the_programs_own_are_sound_and_faults_are_named() {
    for (name, text) in OWN {
        let (experiment, _) = Experiment::find(name).expect("an experiment");
        assert_eq!(experiment.name, name);
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("wrong.yaml");
        let wrong = |from: &str, to: &str| {
            assert!(text.contains(from), "{from}");
            std::fs::write(&path, text.replacen(from, to, 1)).expect("a file");
            Experiment::find(&path.display().to_string()).expect_err("a fault").to_string()
        };
        assert!(wrong("what: plan", "what: plam").contains("script["));
        assert!(wrong("node: hub-", "node: hob-").contains("unknown node"));
        assert!(wrong("figure: loops_carried", "figur: loops_carried").contains("must["));
        let text = wrong("zones:", "zonse:");
        assert!(text.contains("fleet: ") && text.contains("zon"), "{text}");
    }
}

#[test]
fn a_larger_run_has_more_zones_and_districts_and_the_same_spares() {
    let (e, _) = Experiment::find("reshape-at-scale").expect("an experiment");
    let (one, ten) = (e.setup(Variant::Described, 1, 1), e.setup(Variant::Described, 10, 1));
    assert_eq!(ten.fleet.zones, one.fleet.zones * 10);
    assert_eq!(ten.fleet.spare_districts, one.fleet.spare_districts);
    let nodes = basaltgw_simulator::fleet::nodes(&ten.fleet);
    for p in &ten.plans {
        basaltgw_hierarchy::Plan::from_spec(basaltgw_simulator::sim::plan_spec(p, 1, &nodes))
            .expect("a plan");
    }
    for name in ten.script.iter().filter_map(|m| m.node.as_ref()) {
        assert!(nodes.iter().any(|n| n.name == *name), "{name}");
    }
}
