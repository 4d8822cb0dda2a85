//! Runs in simulated time: they are reproducible, serve clients without faults, and follow the rules during plan changes and faults.

mod common;
use basaltgw_hierarchy::ChangeState;
use basaltgw_simulator::spec::{ScriptAction, ScriptEvent};
use common::*;

#[test]
fn a_run_without_faults_follows_the_rules_and_is_reproducible() {
    let metrics = run_setup(&setup(3));
    assert!(metrics.violations.is_empty(), "{:?}", metrics.violations);
    assert!(metrics.weighted_in_time_share > 0.9, "{}", metrics.weighted_in_time_share);
    assert!(metrics.classes.iter().all(|c| c.requests > 100), "{:?}", metrics.classes);
    assert_eq!(metrics.counts.repeated_origin_fills, 0, "the origin fills each part once per purge");
    assert_eq!(format!("{metrics:?}"), format!("{:?}", run_setup(&setup(3))));
    assert_ne!(format!("{metrics:?}"), format!("{:?}", run_setup(&setup(4))));
}

#[test]
fn without_a_plan_every_parent_is_a_source() {
    let mut setup = setup(5);
    setup.plans.clear();
    let metrics = run_setup(&setup);
    assert!(metrics.violations.is_empty(), "{:?}", metrics.violations);
    assert!(metrics.weighted_in_time_share > 0.85, "{}", metrics.weighted_in_time_share);
    assert!(metrics.change_states.is_empty());
}

#[test]
fn a_cold_hub_joins_during_a_mass_purge_without_repeated_origin_fills() {
    let mut setup = setup(7);
    setup.length_ms = 40_000.0;
    setup.script = vec![
        at_node("hub-2", event(5_000.0, ScriptAction::Start)),
        change_to_plan(7_000.0, "after"),
        ScriptEvent { factor: 0.5, ..event(9_000.0, ScriptAction::MassPurge) },
    ];
    let metrics = run_setup(&setup);
    assert!(metrics.violations.is_empty(), "{:?}", metrics.violations);
    assert_eq!(metrics.counts.repeated_origin_fills, 0);
    assert!(
        metrics.rejected_plans.is_empty() && metrics.all_changes_completed(),
        "{:?} {:?}",
        metrics.rejected_plans,
        metrics.change_states
    );
    assert_eq!(
        metrics.change_states.iter().filter(|s| s.state == ChangeState::Completed).count(),
        3,
        "every router has completed the change"
    );
    assert_eq!(metrics.counts.loops_forwarded, 0);
}

/// Pairs of districts of which one is the other's source in the old plan and the reverse in the new one: while routers and nodes change
/// plans, both are.
fn setup_with_crossing_plans(seed: u64) -> basaltgw_simulator::sim::Setup {
    let mut setup = setup(seed);
    setup.plans = vec![plan_shape("before", &[0, 1]), plan_shape("after", &[0, 1])];
    setup.plans[0].laterals = vec![[0, 1], [3, 2]];
    setup.plans[1].laterals = vec![[1, 0], [2, 3]];
    setup.fleet.news.plan_ms = [0.0, 4_000.0];
    setup.script = vec![change_to_plan(4_000.0, "after")];
    setup.load.classes[0].objects = 5_000;
    setup
}

#[test]
fn districts_that_are_each_others_source_during_a_change_forward_no_loop() {
    let (mut detected, mut forwarded) = (0, 0);
    for seed in 23..27 {
        let metrics = run_setup(&setup_with_crossing_plans(seed));
        assert!(metrics.violations.is_empty(), "{:?}", metrics.violations);
        assert_eq!(metrics.counts.loops_forwarded, 0);
        detected += metrics.counts.loops_detected;
        forwarded += run_setup(&basaltgw_simulator::sim::Setup {
            loop_detection: false,
            ..setup_with_crossing_plans(seed)
        })
        .counts
        .loops_forwarded;
    }
    assert!(detected > 0, "both districts were each other's source at the same time");
    assert!(forwarded > 0, "without loop detection requests loop");
}

#[test]
fn a_hub_whose_wrong_source_reports_a_loop_continues_with_its_plan() {
    let mut setup = setup(29);
    setup.load.classes[0].objects = 5_000;
    // hub-0 fills from district-0, which fills from hub-0.
    let wrong = ScriptEvent {
        to: Some("district-0".into()),
        for_ms: 6_000.0,
        ..event(5_000.0, ScriptAction::WrongSource)
    };
    setup.script = vec![at_node("hub-0", wrong)];
    let metrics = run_setup(&setup);
    assert!(metrics.violations.is_empty(), "{:?}", metrics.violations);
    assert!(
        metrics.counts.loops_detected > 0 && metrics.counts.loops_forwarded == 0,
        "{:?}",
        metrics.counts.loops_detected
    );
    assert!(metrics.weighted_in_time_share > 0.85, "{}", metrics.weighted_in_time_share);
}

#[test]
fn a_hub_crash_costs_at_most_two_more_origin_fills_per_part() {
    for seed in [31, 37] {
        let mut setup = setup(seed);
        setup.load.classes[0].objects = 5_000;
        setup.script =
            vec![at_node("hub-0", ScriptEvent { for_ms: 5_000.0, ..event(6_000.0, ScriptAction::Crash) })];
        let metrics = run_setup(&setup);
        assert!(metrics.violations.is_empty(), "{:?}", metrics.violations);
        // The parts that the hub held are filled again by the hub that replaces it, and once more when it is back.
        assert!(
            metrics.counts.origin_fills.values().all(|n| *n <= 3),
            "{:?}",
            metrics.counts.origin_fills.values().max()
        );
    }
}

#[test]
fn a_plan_rolled_back_during_the_change_leaves_no_router_in_between() {
    let mut setup = setup(41);
    setup.length_ms = 40_000.0;
    setup.fleet.spare_districts = 1;
    setup.plans[0].districts = vec![0, 1, 2];
    setup.script = vec![
        at_node("district-3", event(3_000.0, ScriptAction::Start)),
        change_to_plan(5_000.0, "after"),
        event(8_000.0, ScriptAction::TakeBack),
    ];
    let metrics = run_setup(&setup);
    assert!(metrics.violations.is_empty(), "{:?}", metrics.violations);
    assert!(
        metrics.rejected_plans.is_empty() && metrics.all_changes_completed(),
        "{:?} {:?}",
        metrics.rejected_plans,
        metrics.change_states
    );
    assert_eq!(metrics.counts.loops_forwarded, 0);
}
