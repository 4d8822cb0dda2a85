//! Runs in simulated time: the same twice, calm days served, and a reshape that keeps to the rules.

mod common;
use basaltgw_hierarchy::ChangeState;
use basaltgw_simulator::spec::{Moment, What};
use common::*;

#[test]
fn a_calm_day_is_served_within_the_rules_and_is_the_same_twice() {
    let one = play(&setup(3));
    assert!(one.broken.is_empty(), "{:?}", one.broken);
    assert!(one.worth > 0.9, "{}", one.worth);
    assert!(one.classes.iter().all(|c| c.asked > 100), "{:?}", one.classes);
    assert_eq!(one.counts.again, 0, "one fill at the archive for each part and purge");
    assert_eq!(format!("{one:?}"), format!("{:?}", play(&setup(3))));
    assert_ne!(format!("{one:?}"), format!("{:?}", play(&setup(4))));
}

#[test]
fn without_a_plan_every_parent_is_a_source() {
    let mut s = setup(5);
    s.plans.clear();
    let f = play(&s);
    assert!(f.broken.is_empty(), "{:?}", f.broken);
    assert!(f.worth > 0.85, "{}", f.worth);
    assert!(f.states.is_empty());
}

#[test]
fn a_cold_hub_joins_amid_a_mass_purge_and_nothing_is_fetched_twice() {
    let mut s = setup(7);
    s.length_ms = 40_000.0;
    s.script = vec![
        on("hub-2", moment(5_000.0, What::Start)),
        to_plan(7_000.0, "after"),
        Moment { factor: 0.5, ..moment(9_000.0, What::MassPurge) },
    ];
    let f = play(&s);
    assert!(f.broken.is_empty(), "{:?}", f.broken);
    assert_eq!(f.counts.again, 0);
    assert!(f.refusals.is_empty() && f.settled(), "{:?} {:?}", f.refusals, f.states);
    assert_eq!(
        f.states.iter().filter(|s| s.3 == ChangeState::Completed).count(),
        3,
        "every router is through"
    );
    assert_eq!(f.counts.loops_carried, 0);
}

/// Two districts that ask each other in the new plan and the old, one each: for a moment both do.
fn crossing(seed: u64) -> basaltgw_simulator::sim::Setup {
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
fn two_districts_that_name_each_other_for_a_moment_carry_no_loop() {
    let (mut offered, mut carried) = (0, 0);
    for seed in 23..27 {
        let f = play(&crossing(seed));
        assert!(f.broken.is_empty(), "{:?}", f.broken);
        assert_eq!(f.counts.loops_carried, 0);
        offered += f.counts.loops_offered;
        carried +=
            play(&basaltgw_simulator::sim::Setup { trails: false, ..crossing(seed) }).counts.loops_carried;
    }
    assert!(offered > 0, "the moment was there");
    assert!(carried > 0, "without trails they go round");
}

#[test]
fn a_district_with_a_wrong_source_is_told_so_and_goes_on_by_its_plan() {
    let mut s = setup(29);
    s.load.classes[0].objects = 5_000;
    // hub-0 asks district-0, which asks hub-0.
    let wrong =
        Moment { to: Some("district-0".into()), for_ms: 6_000.0, ..moment(5_000.0, What::WrongSource) };
    s.script = vec![on("hub-0", wrong)];
    let f = play(&s);
    assert!(f.broken.is_empty(), "{:?}", f.broken);
    assert!(f.counts.loops_offered > 0 && f.counts.loops_carried == 0, "{:?}", f.counts.loops_offered);
    assert!(f.worth > 0.85, "{}", f.worth);
}

#[test]
fn a_hub_that_dies_in_mid_fill_costs_one_fill_more_for_what_it_had_under_way_and_no_burst() {
    for seed in [31, 37] {
        let mut s = setup(seed);
        s.load.classes[0].objects = 5_000;
        s.script = vec![on("hub-0", Moment { for_ms: 5_000.0, ..moment(6_000.0, What::Crash) })];
        let f = play(&s);
        assert!(f.broken.is_empty(), "{:?}", f.broken);
        // What it held it has lost: fetched again by who stands in, and once more when it is back.
        assert!(f.counts.archive.values().all(|n| *n <= 3), "{:?}", f.counts.archive.values().max());
    }
}

#[test]
fn a_plan_taken_back_half_way_leaves_every_router_where_it_began() {
    let mut s = setup(41);
    s.length_ms = 40_000.0;
    s.fleet.spare_districts = 1;
    s.plans[0].districts = vec![0, 1, 2];
    s.script = vec![
        on("district-3", moment(3_000.0, What::Start)),
        to_plan(5_000.0, "after"),
        moment(8_000.0, What::TakeBack),
    ];
    let f = play(&s);
    assert!(f.broken.is_empty(), "{:?}", f.broken);
    assert!(f.refusals.is_empty() && f.settled(), "{:?} {:?}", f.refusals, f.states);
    assert_eq!(f.counts.loops_carried, 0);
}
