//! Configuration changes reach all routers, a lost one is reported, and routers that poll the change log read all new purges at once.

use basaltgw_fleet_simulation::config_changes::ConfigChanges;
use basaltgw_fleet_simulation::control_plane::{
    ControlPlane, ControlPlaneAction, ControlPlaneEvent, StartContext,
};
use basaltgw_fleet_simulation::fault::{Fault, FaultKind};
use basaltgw_fleet_simulation::run::{run, run_with, Kind, Setup};
use basaltgw_fleet_simulation::world::ChangeLogReach;
use basaltgw_types::Ms;
use std::cell::RefCell;
use std::rc::Rc;

/// A small fleet whose delays are short enough for bootstrapping, and ten configuration changes a minute.
fn setup(seconds: f64) -> Setup {
    let mut setup = Setup::mesh(6, 3);
    setup.network.inter_region_delay_ms = (5.0, 20.0);
    (setup.warm_up_s, setup.measured_s) = (4.0, seconds);
    if let Kind::Mesh(mesh) = &mut setup.kind {
        mesh.config_changes = (10.0, (4_000.0, 4_000.0 + seconds * 1_000.0));
    }
    setup
}

#[test]
fn every_config_change_reaches_all_routers() {
    let figures = run(&setup(24.0)).expect("a valid setup").values;
    let figure = |name: &str| figures[name];
    assert_eq!(
        (figure("founded"), figure("changes"), figure("changes_lost")),
        (6.0, 4.0, 0.0),
        "{figures:#?}"
    );
    let (median, last) = (figure("changes_everywhere_median_ms"), figure("changes_everywhere_last_ms"));
    assert!(0.0 < median && median <= last, "{median} {last}");
}

#[test]
fn a_config_change_that_misses_a_router_is_reported() {
    let mut setup = setup(12.0);
    setup.scripted_faults =
        vec![Fault { at: 4_500_000, kind: FaultKind::Vanish { router: 5, duration: 600_000_000 } }];
    let figures = run(&setup).expect("a valid setup").values;
    assert_eq!((figures["changes"], figures["changes_lost"] > 0.0), (2.0, true), "{figures:#?}");
}

#[test]
fn a_later_config_change_supersedes_earlier_ones() {
    let mut changes = ConfigChanges::new(2);
    [1_000, 2_000, 5_000].into_iter().for_each(|at| changes.made(at));
    changes.applied(3_000, 0, 0);
    changes.applied(4_000, 1, 1);
    changes.applied(6_000, 0, 1);
    // These are ignored: a repetition, a change that was never made, and a router that does not exist.
    changes.applied(9_000, 0, 1);
    changes.applied(9_000, 1, 7);
    changes.applied(9_000, 2, 2);
    let findings = changes.findings();
    assert_eq!((findings.made, findings.lost(), findings.completion_ms), (3, 1, vec![3.0, 4.0]));
}

/// Records when it reads each purge from the change log.
struct PurgeRecorder(Rc<RefCell<Vec<Ms>>>);

impl ControlPlane for PurgeRecorder {
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, _: &mut Vec<ControlPlaneAction>) {
        if let ControlPlaneEvent::ChangeLogPurge(_) = event {
            self.0.borrow_mut().push(now);
        }
    }

    fn next_timer(&self) -> Ms {
        Ms::INFINITY
    }
}

#[test]
fn a_poll_of_the_change_log_reads_all_new_purges_at_once() {
    let mut setup = Setup::mesh(3, 1);
    (setup.warm_up_s, setup.measured_s, setup.drain_s) = (1.0, 1.0, 1.0);
    setup.purges_per_s = 100.0;
    (setup.change_log, setup.change_log_delay_ms) =
        (ChangeLogReach::Polling { interval_ms: 50.0 }, (0.0, 0.0));
    let read_at: [Rc<RefCell<Vec<Ms>>>; 3] = Default::default();
    let start = |start: &StartContext, _: &mut Vec<ControlPlaneAction>| {
        Ok((Box::new(PurgeRecorder(read_at[start.index].clone())) as Box<dyn ControlPlane>, None))
    };
    run_with(&setup, &start).expect("a valid setup");
    let first_polls = read_at.each_ref().map(|times| {
        let mut polls = times.borrow().clone();
        assert_eq!(polls.len(), 100);
        polls.dedup();
        // A poll at the time of a purge may include the purge or not.
        assert!((20..=21).contains(&polls.len()), "{polls:?}");
        assert!(polls.windows(2).all(|w| (w[1] - w[0] - 50.0).abs() < 1e-6), "{polls:?}");
        polls[0]
    });
    assert!(
        first_polls[0] != first_polls[1] && first_polls[1] != first_polls[2],
        "each router polls at its own times"
    );
}
