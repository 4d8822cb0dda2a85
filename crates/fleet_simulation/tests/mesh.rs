//! Worlds of real control parts.

use basaltgw_fleet_simulation::run::{run, Setup};
use basaltgw_fleet_simulation::trouble::Many;

/// A small fleet on lines on which it can be founded.
fn setup(routers: usize) -> Setup {
    let mut setup = Setup::mesh(routers, 3);
    setup.net.far = (5.0, 20.0);
    (setup.settle, setup.seconds, setup.purges) = (4.0, 4.0, 5.0);
    setup
}

#[test]
fn a_fleet_is_founded_and_hears_every_purge() {
    let figures = run(&setup(8)).expect("a run").flat;
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
        setup.net.far = (75.0, 150.0);
        (setup.settle, setup.seconds, setup.rest) = (12.0, 1.0, 0.0);
        let figures = run(&setup).expect("a run").flat;
        assert_eq!(figures.get("founded"), Some(&6.0), "{figures:#?}");
    }
}

#[test]
fn the_same_seed_is_the_same_run_also_with_troubles() {
    let mut troubled = setup(9);
    troubled.many =
        Many { restarts: 2, replaced: 1, vanished: 1, racks: 1, zones: 2, deaf: 1, ..Many::default() };
    troubled.net.loss = 0.01;
    let first = run(&troubled).expect("a run");
    assert_eq!(first, run(&troubled).expect("a run"));
    troubled.seed = 4;
    assert!(first != run(&troubled).expect("a run"));
    assert!(first.flat.get("links_silent").is_some_and(|n| *n > 0.0), "{:#?}", first.flat);
    assert!(first.flat.get("links_broken").is_some_and(|n| *n > 0.0));
}
