//! Troubles strike whom they name; one that did not happen is caught.

use super::overlay::{setup, Sizes};
use super::troubles::{apart, happened, script, struck, Wrong};
use basaltgw_fleet_simulation::fault::FaultKind;
use basaltgw_fleet_simulation::run::run;

const SIZES: &str = r#"{"routers": [60], "purges": [10], "purges_routers": 60, "seconds": 4, "losses": [1],
    "places": {"usual": {"sites": 9, "zones": 6, "regions": 3}, "sites": [9], "zones": [6], "regions": [3]}, "keepalive_ms": 1250, "silent_ms": 4000,
    "misses": 0.02, "late": 0.02, "late_ms": 3000, "troubles_routers": 60, "troubles_purges": 10,
    "troubles": ["relay_lost", "site_lost", "zone_lost", "region_cut", "control_region_cut", "control_restarted", "two_control_lost",
    "all_control_lost", "site_cut"]}"#;

#[test]
fn each_trouble_strikes_and_one_after_the_end_is_caught() {
    let sizes: Sizes = serde_json::from_str(SIZES).expect("sizes");
    let mut setup = setup(&sizes, 120, 10.0, 3);
    apart(&mut setup.shape);
    setup.measured_s = 10.0;
    let quiet = run(&setup).expect("a run");
    for wrong in sizes.troubles.clone() {
        setup.scripted_faults = script(wrong, &setup).expect("a script");
        let many = setup.scripted_faults.iter().map(|t| struck(&t.kind)).sum();
        happened(wrong, many, &run(&setup).expect("a run"), &quiet).expect("a trouble");
        setup.scripted_faults.iter_mut().for_each(|t| t.at += 600_000_000);
        let said = happened(wrong, many, &run(&setup).expect("a run"), &quiet).expect_err("none");
        assert!(said.contains("did not happen"), "{said}");
    }
    let said = happened(Wrong::SiteLost, 0, &quiet, &quiet).expect_err("nobody");
    assert!(said.contains("SiteLost did not happen: 0 routers struck"), "{said}");
}

#[test]
fn control_machines_are_the_ones_that_are_struck() {
    let sizes: Sizes = serde_json::from_str(SIZES).expect("sizes");
    let mut setup = setup(&sizes, 600, 10.0, 3);
    apart(&mut setup.shape);
    let many = |wrong| script(wrong, &setup).expect("a script").len();
    assert_eq!([Wrong::TwoControlLost, Wrong::AllControlLost, Wrong::ControlRestarted].map(many), [2, 9, 9]);
    let cut = script(Wrong::RegionCut, &setup).expect("a script");
    assert!(cut.iter().all(
        |t| matches!(&t.kind, FaultKind::Cut { routers, .. } if routers.len() > 1 && routers.len() < 600)
    ));
}
