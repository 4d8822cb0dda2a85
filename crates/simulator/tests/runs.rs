//! Runs in simulated time: they are reproducible, serve clients without faults, and follow the rules during plan changes and faults.

mod common;
use basaltgw_hierarchy::ChangeState;
use basaltgw_simulator::spec::{ScriptAction, ScriptEvent};
use common::*;

#[test]
fn a_run_without_faults_follows_the_rules_and_is_reproducible() {
    let one = run_setup(&setup(3));
    assert!(one.violations.is_empty(), "{:?}", one.violations);
    assert!(one.weighted_in_time_share > 0.9, "{}", one.weighted_in_time_share);
    assert!(one.classes.iter().all(|c| c.requests > 100), "{:?}", one.classes);
    assert_eq!(one.counts.repeated_origin_fills, 0, "the origin fills each part once per purge");
    assert_eq!(format!("{one:?}"), format!("{:?}", run_setup(&setup(3))));
    assert_ne!(format!("{one:?}"), format!("{:?}", run_setup(&setup(4))));
}

#[test]
fn without_a_plan_every_parent_is_a_source() {
    let mut s = setup(5);
    s.plans.clear();
    let f = run_setup(&s);
    assert!(f.violations.is_empty(), "{:?}", f.violations);
    assert!(f.weighted_in_time_share > 0.85, "{}", f.weighted_in_time_share);
    assert!(f.change_states.is_empty());
}

#[test]
fn a_cold_hub_joins_during_a_mass_purge_without_repeated_origin_fills() {
    let mut s = setup(7);
    s.length_ms = 40_000.0;
    s.script = vec![
        on("hub-2", event(5_000.0, ScriptAction::Start)),
        to_plan(7_000.0, "after"),
        ScriptEvent { factor: 0.5, ..event(9_000.0, ScriptAction::MassPurge) },
    ];
    let f = run_setup(&s);
    assert!(f.violations.is_empty(), "{:?}", f.violations);
    assert_eq!(f.counts.repeated_origin_fills, 0);
    assert!(
        f.rejected_plans.is_empty() && f.all_changes_completed(),
        "{:?} {:?}",
        f.rejected_plans,
        f.change_states
    );
    assert_eq!(
        f.change_states.iter().filter(|s| s.state == ChangeState::Completed).count(),
        3,
        "every router has completed the change"
    );
    assert_eq!(f.counts.loops_forwarded, 0);
}

/// Pairs of districts of which one is the other's source in the old plan and the reverse in the new one: while routers and nodes change
/// plans, both are.
fn setup_with_crossing_plans(seed: u64) -> basaltgw_simulator::sim::Setup {
    let mut s = setup(seed);
    s.plans = vec![shape("before", &[0, 1]), shape("after", &[0, 1])];
    s.plans[0].laterals = vec![[0, 1], [3, 2]];
    s.plans[1].laterals = vec![[1, 0], [2, 3]];
    s.fleet.news.plan_ms = [0.0, 4_000.0];
    s.script = vec![to_plan(4_000.0, "after")];
    s.load.classes[0].objects = 5_000;
    s
}

#[test]
fn districts_that_are_each_others_source_during_a_change_forward_no_loop() {
    let (mut detected, mut forwarded) = (0, 0);
    for seed in 23..27 {
        let f = run_setup(&setup_with_crossing_plans(seed));
        assert!(f.violations.is_empty(), "{:?}", f.violations);
        assert_eq!(f.counts.loops_forwarded, 0);
        detected += f.counts.loops_detected;
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
    let mut s = setup(29);
    s.load.classes[0].objects = 5_000;
    // hub-0 fills from district-0, which fills from hub-0.
    let wrong = ScriptEvent {
        to: Some("district-0".into()),
        for_ms: 6_000.0,
        ..event(5_000.0, ScriptAction::WrongSource)
    };
    s.script = vec![on("hub-0", wrong)];
    let f = run_setup(&s);
    assert!(f.violations.is_empty(), "{:?}", f.violations);
    assert!(f.counts.loops_detected > 0 && f.counts.loops_forwarded == 0, "{:?}", f.counts.loops_detected);
    assert!(f.weighted_in_time_share > 0.85, "{}", f.weighted_in_time_share);
}

#[test]
fn a_hub_crash_costs_at_most_two_more_origin_fills_per_part() {
    for seed in [31, 37] {
        let mut s = setup(seed);
        s.load.classes[0].objects = 5_000;
        s.script = vec![on("hub-0", ScriptEvent { for_ms: 5_000.0, ..event(6_000.0, ScriptAction::Crash) })];
        let f = run_setup(&s);
        assert!(f.violations.is_empty(), "{:?}", f.violations);
        // The parts that the hub held are filled again by the hub that replaces it, and once more when it is back.
        assert!(
            f.counts.origin_fills.values().all(|n| *n <= 3),
            "{:?}",
            f.counts.origin_fills.values().max()
        );
    }
}

#[test]
fn a_plan_rolled_back_during_the_change_leaves_no_router_in_between() {
    let mut s = setup(41);
    s.length_ms = 40_000.0;
    s.fleet.spare_districts = 1;
    s.plans[0].districts = vec![0, 1, 2];
    s.script = vec![
        on("district-3", event(3_000.0, ScriptAction::Start)),
        to_plan(5_000.0, "after"),
        event(8_000.0, ScriptAction::TakeBack),
    ];
    let f = run_setup(&s);
    assert!(f.violations.is_empty(), "{:?}", f.violations);
    assert!(
        f.rejected_plans.is_empty() && f.all_changes_completed(),
        "{:?} {:?}",
        f.rejected_plans,
        f.change_states
    );
    assert_eq!(f.counts.loops_forwarded, 0);
}
