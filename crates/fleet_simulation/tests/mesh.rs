//! Simulations of real control planes with links to all routers.

use basaltgw_fleet_simulation::fault::FaultCounts;
use basaltgw_fleet_simulation::run::{run, Setup};

/// A small fleet whose delays are short enough for bootstrapping.
fn setup(routers: usize) -> Setup {
    let mut setup = Setup::mesh(routers, 3);
    setup.network.inter_region_delay_ms = (5.0, 20.0);
    (setup.warm_up_s, setup.measured_s, setup.purges_per_s) = (4.0, 4.0, 5.0);
    setup
}

#[test]
fn a_fleet_is_founded_and_receives_every_purge() {
    let figures = run(&setup(8)).expect("a valid setup").values;
    let figure = |name: &str| figures.get(name).copied().unwrap_or(-1.0);
    assert_eq!((figure("founded"), figure("links_least"), figure("words")), (8.0, 7.0, 20.0), "{figures:#?}");
    assert_eq!((figure("lost"), figure("late"), figure("everywhere")), (0.0, 0.0, 20.0), "{figures:#?}");
    assert!(figure("commits_mean") > 0.0 && figure("wire_bytes_mean") > 0.0);
}

/// With these delays a round takes longer than the time for which founders that propose at the same time wait for each other.
#[test]
fn distant_founders_found_their_fleet() {
    for seed in [1, 2] {
        let mut setup = Setup::mesh(6, seed);
        setup.network.inter_region_delay_ms = (75.0, 150.0);
        (setup.warm_up_s, setup.measured_s, setup.drain_s) = (12.0, 1.0, 0.0);
        let figures = run(&setup).expect("a valid setup").values;
        assert_eq!(figures.get("founded"), Some(&6.0), "{figures:#?}");
    }
}

#[test]
fn the_same_seed_gives_the_same_run_with_faults() {
    let mut setup = setup(9);
    setup.random_faults = FaultCounts {
        restarts: 2,
        replaced: 1,
        vanished: 1,
        racks: 1,
        zones: 2,
        change_log_outages: 1,
        ..FaultCounts::default()
    };
    setup.network.loss_share = 0.01;
    let first = run(&setup).expect("a valid setup");
    assert_eq!(first, run(&setup).expect("a valid setup"));
    setup.seed = 4;
    assert!(first != run(&setup).expect("a valid setup"));
    assert!(first.values.get("links_silent").is_some_and(|n| *n > 0.0), "{:#?}", first.values);
    assert!(first.values.get("links_broken").is_some_and(|n| *n > 0.0));
}
