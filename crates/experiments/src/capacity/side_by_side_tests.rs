//! Runs side by side give what they give one after the other, what they hold of memory with it.

use super::meter::grown;
use super::side_by_side::all;
use basaltgw_fleet_simulation::run::{run, Setup};

#[test]
fn runs_side_by_side_are_the_same_as_one_after_the_other() {
    let one = |seed: u64| {
        let mut setup = Setup::sparse(60, seed);
        (setup.warm_up_s, setup.measured_s, setup.drain_s, setup.purges_per_s) =
            (5.0, 2.0 + seed as f64, 4.0, 20.0);
        setup.allocation_meter = Some(grown);
        setup
    };
    let setups: Vec<Setup> = (1..=8).map(one).collect();
    let alone: Vec<_> = setups.iter().map(|s| run(s).expect("a run")).collect();
    assert!(alone.iter().all(|f| f.values["state_bytes_most"] > 1_000.0));
    assert!(alone[0] != alone[1]);
    assert_eq!(all(&setups).expect("runs"), alone);
    let bad = Setup {
        shape: basaltgw_fleet_simulation::fleet::Shape { routers: 0, ..setups[0].shape.clone() },
        ..one(1)
    };
    assert!(all(&[one(1), bad]).is_err());
}
