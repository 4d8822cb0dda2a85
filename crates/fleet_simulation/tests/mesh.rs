//! Worlds of real control parts.

use basaltgw_fleet_simulation::fault::FaultCounts;
use basaltgw_fleet_simulation::run::{run, Setup};

/// A small fleet on lines on which it can be founded.
fn setup(routers: usize) -> Setup {
    let mut setup = Setup::mesh(routers, 3);
    setup.network.inter_region_delay_ms = (5.0, 20.0);
    (setup.warm_up_s, setup.measured_s, setup.purges_per_s) = (4.0, 4.0, 5.0);
    setup
}

#[test]
fn a_fleet_is_founded_and_hears_every_purge() {
    let figures = run(&setup(8)).expect("a run").values;
    let is = |name: &str| figures.get(name).copied().unwrap_or(-1.0);
    assert_eq!((is("founded"), is("links_least"), is("words")), (8.0, 7.0, 20.0), "{figures:#?}");
    assert_eq!((is("lost"), is("late"), is("everywhere")), (0.0, 0.0, 20.0), "{figures:#?}");
    assert!(is("commits_mean") > 0.0 && is("wire_bytes_mean") > 0.0);
}

/// On these lines a round takes longer than founders that ask at once wait for each other.
#[test]
fn founders_far_apart_found_their_fleet() {
    for seed in [1, 2] {
        let mut setup = Setup::mesh(6, seed);
        setup.network.inter_region_delay_ms = (75.0, 150.0);
        (setup.warm_up_s, setup.measured_s, setup.drain_s) = (12.0, 1.0, 0.0);
        let figures = run(&setup).expect("a run").values;
        assert_eq!(figures.get("founded"), Some(&6.0), "{figures:#?}");
    }
}

#[test]
fn the_same_seed_is_the_same_run_also_with_troubles() {
    let mut troubled = setup(9);
    troubled.random_faults = FaultCounts {
        restarts: 2,
        replaced: 1,
        vanished: 1,
        racks: 1,
        zones: 2,
        change_log_outages: 1,
        ..FaultCounts::default()
    };
    troubled.network.loss_share = 0.01;
    let first = run(&troubled).expect("a run");
    assert_eq!(first, run(&troubled).expect("a run"));
    troubled.seed = 4;
    assert!(first != run(&troubled).expect("a run"));
    assert!(first.values.get("links_silent").is_some_and(|n| *n > 0.0), "{:#?}", first.values);
    assert!(first.values.get("links_broken").is_some_and(|n| *n > 0.0));
}
