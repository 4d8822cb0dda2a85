//! Tests of fault scenarios: each affects the routers that it names, and a scenario without an effect is rejected.

use super::overlay::{setup, Sizes};
use super::scenarios::{affected_routers, check_effect, script, spread_control_machines, Scenario};
use basaltgw_fleet_simulation::fault::FaultKind;
use basaltgw_fleet_simulation::run::run;

const SIZES: &str = r#"{"routers": [60], "purges": [10], "purges_routers": 60, "seconds": 4, "losses": [1],
    "places": {"usual": {"sites": 9, "zones": 6, "regions": 3}, "sites": [9], "zones": [6], "regions": [3]}, "keepalive_ms": 1250, "silent_ms": 4000,
    "misses": 0.02, "late": 0.02, "late_ms": 3000, "troubles_routers": 60, "troubles_purges": 10,
    "troubles": ["relay_lost", "site_lost", "zone_lost", "region_cut", "control_region_cut", "control_restarted", "two_control_lost",
    "all_control_lost", "site_cut"]}"#;

/// Microseconds by which faults are delayed beyond the end of a run.
const AFTER_THE_RUN: u64 = 600_000_000;

fn sizes() -> Sizes {
    serde_json::from_str(SIZES).expect("the sizes are valid")
}

#[test]
fn each_scenario_has_an_effect_and_faults_after_the_run_are_rejected() {
    let sizes = sizes();
    let mut setup = setup(&sizes, 120, 10.0, 3);
    spread_control_machines(&mut setup.shape);
    setup.measured_s = 10.0;
    let baseline = run(&setup).expect("the run without faults completes");
    for scenario in sizes.scenarios.clone() {
        setup.scripted_faults = script(scenario, &setup).expect("the scenario has a script");
        let affected = setup.scripted_faults.iter().map(|fault| affected_routers(&fault.kind)).sum();
        let faulty = run(&setup).expect("the run with faults completes");
        check_effect(scenario, affected, &faulty, &baseline).expect("the scenario has an effect");
        setup.scripted_faults.iter_mut().for_each(|fault| fault.at += AFTER_THE_RUN);
        let late = run(&setup).expect("the run with late faults completes");
        let error = check_effect(scenario, affected, &late, &baseline).expect_err("the faults come too late");
        assert!(error.contains("had no effect"), "{error}");
    }
    let error = check_effect(Scenario::SiteLost, 0, &baseline, &baseline).expect_err("no router is affected");
    assert!(error.contains("SiteLost had no effect: 0 routers affected"), "{error}");
}

#[test]
fn scenarios_of_control_machines_affect_exactly_these() {
    let sizes = sizes();
    let mut setup = setup(&sizes, 600, 10.0, 3);
    spread_control_machines(&mut setup.shape);
    let faults = |scenario| script(scenario, &setup).expect("the scenario has a script").len();
    let scenarios = [Scenario::TwoControlLost, Scenario::AllControlLost, Scenario::ControlRestarted];
    assert_eq!(scenarios.map(faults), [2, 9, 9]);
    let cut = script(Scenario::RegionCut, &setup).expect("the scenario has a script");
    assert!(cut.iter().all(
        |fault| matches!(&fault.kind, FaultKind::Cut { routers, .. } if routers.len() > 1 && routers.len() < 600)
    ));
}
