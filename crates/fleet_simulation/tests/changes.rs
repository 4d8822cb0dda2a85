//! Changes of the configuration get to all; one that does not is found. And a change log that looks for news at times.

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

/// A small fleet on lines on which it can be founded, with ten changes a minute.
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
fn every_change_is_gone_by_everywhere() {
    let figures = run(&setup(24.0)).expect("a run").values;
    let is = |name: &str| figures[name];
    assert_eq!((is("founded"), is("changes"), is("changes_lost")), (6.0, 4.0, 0.0), "{figures:#?}");
    let (median, last) = (is("changes_everywhere_median_ms"), is("changes_everywhere_last_ms"));
    assert!(0.0 < median && median <= last, "{median} {last}");
}

#[test]
fn a_change_that_a_router_does_not_hear_of_is_found() {
    let mut setup = setup(12.0);
    setup.scripted_faults =
        vec![Fault { at: 4_500_000, kind: FaultKind::Vanish { router: 5, duration: 600_000_000 } }];
    let figures = run(&setup).expect("a run").values;
    assert_eq!((figures["changes"], figures["changes_lost"] > 0.0), (2.0, true), "{figures:#?}");
}

#[test]
fn a_later_change_stands_for_those_before_it() {
    let mut changes = ConfigChanges::new(2);
    [1_000, 2_000, 5_000].into_iter().for_each(|at| changes.made(at));
    changes.applied(3_000, 0, 0);
    changes.applied(4_000, 1, 1);
    changes.applied(6_000, 0, 1);
    // Told again, one that was never made, and a router that is not there.
    changes.applied(9_000, 0, 1);
    changes.applied(9_000, 1, 7);
    changes.applied(9_000, 2, 2);
    let changed = changes.findings();
    assert_eq!((changed.made, changed.lost(), changed.completion_ms), (3, 1, vec![3.0, 4.0]));
}

/// Notes when it hears each word.
struct Listener(Rc<RefCell<Vec<Ms>>>);

impl ControlPlane for Listener {
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
fn a_feed_that_looks_for_news_tells_all_of_them_at_once() {
    let mut setup = Setup::mesh(3, 1);
    (setup.warm_up_s, setup.measured_s, setup.drain_s) = (1.0, 1.0, 1.0);
    setup.purges_per_s = 100.0;
    (setup.change_log, setup.change_log_delay_ms) =
        (ChangeLogReach::Polling { interval_ms: 50.0 }, (0.0, 0.0));
    let heard: [Rc<RefCell<Vec<Ms>>>; 3] = Default::default();
    let start = |start: &StartContext, _: &mut Vec<ControlPlaneAction>| {
        Ok((Box::new(Listener(heard[start.index].clone())) as Box<dyn ControlPlane>, None))
    };
    run_with(&setup, &start).expect("a run");
    let looks = heard.each_ref().map(|of| {
        let mut all = of.borrow().clone();
        assert_eq!(all.len(), 100);
        all.dedup();
        // A look that falls on a purge's own time has it or not.
        assert!((20..=21).contains(&all.len()), "{all:?}");
        assert!(all.windows(2).all(|w| (w[1] - w[0] - 50.0).abs() < 1e-6), "{all:?}");
        all[0]
    });
    assert!(looks[0] != looks[1] && looks[1] != looks[2], "feeds look at times of their own");
}
