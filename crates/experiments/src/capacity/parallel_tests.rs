//! Tests of parallel runs: they have the same figures, memory included, as runs one after the other.

use super::meter::retained_bytes;
use super::parallel::run_all;
use basaltgw_fleet_simulation::fleet::Shape;
use basaltgw_fleet_simulation::run::{run, Setup};

#[test]
fn parallel_runs_equal_sequential_runs() {
    let setup = |seed: u64| {
        let mut setup = Setup::sparse(60, seed);
        (setup.warm_up_s, setup.measured_s, setup.drain_s, setup.purges_per_s) =
            (5.0, 2.0 + seed as f64, 4.0, 20.0);
        setup.allocation_meter = Some(retained_bytes);
        setup
    };
    let setups: Vec<Setup> = (1..=8).map(setup).collect();
    let sequential: Vec<_> = setups.iter().map(|s| run(s).expect("the run completes")).collect();
    assert!(sequential.iter().all(|figures| figures.values["state_bytes_most"] > 1_000.0));
    assert!(sequential[0] != sequential[1]);
    assert_eq!(run_all(&setups).expect("all runs complete"), sequential);
    let invalid = Setup { shape: Shape { routers: 0, ..setups[0].shape.clone() }, ..setup(1) };
    assert!(run_all(&[setup(1), invalid]).is_err());
}
