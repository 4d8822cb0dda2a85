//! Worlds of real overlays.

use basaltgw_fleet_simulation::control_plane::{ControlPlane, ControlPlaneAction, ControlPlaneEvent};
use basaltgw_fleet_simulation::fault::{Fault, FaultKind};
use basaltgw_fleet_simulation::fleet::Fleet;
use basaltgw_fleet_simulation::run::{run, run_with, Figures, Kind, Setup};
use basaltgw_fleet_simulation::sparse::{router_list, Sparse, SparseSettings};
use basaltgw_fleet_simulation::world::ChangeLogReach;
use basaltgw_overlay::CATCH_UP_MS;
use basaltgw_types::Ms;

const ROUTERS: usize = 70;
const SEEDS: [u64; 3] = [1, 2, 3];
/// More than a router dials and takes, whatever it is: two above and eight below, nine control machines and ten relays.
const MOST_LINKS: f64 = 19.0;

fn setup(seed: u64, log: ChangeLogReach) -> Setup {
    let mut setup = Setup::sparse(ROUTERS, seed);
    (setup.warm_up_s, setup.measured_s, setup.purges_per_s, setup.change_log) = (8.0, 6.0, 10.0, log);
    setup
}

fn is(figures: &Figures, name: &str) -> f64 {
    figures.values.get(name).copied().unwrap_or(-1.0)
}

fn whole(figures: &Figures, words: f64, what: &str) {
    let names = ["words", "everywhere", "lost", "late", "twice", "unknown"];
    let found = names.map(|name| is(figures, name));
    assert_eq!(found, [words, words, 0.0, 0.0, 0.0, 0.0], "{what}: {names:?}");
    assert!(is(figures, "links_most") <= MOST_LINKS && is(figures, "links_mean") > 2.0, "{what}");
}

#[test]
fn every_word_is_everywhere_once_in_a_quiet_fleet() {
    let uneven = ChangeLogReach::Uneven { missed_share: 0.02, late_share: 0.02, max_delay_ms: 3_000.0 };
    for (seed, log) in
        SEEDS.into_iter().zip([uneven, ChangeLogReach::OneRouter, ChangeLogReach::ControlMachines])
    {
        let figures = run(&setup(seed, log)).expect("a run");
        whole(&figures, 60.0, &format!("{seed} {log:?}"));
        assert_eq!(is(&figures, "founded"), ROUTERS as f64);
    }
}

#[test]
fn every_word_is_everywhere_once_when_a_relay_is_gone_or_restarts() {
    for seed in SEEDS {
        let mut setup = setup(seed, ChangeLogReach::ControlMachines);
        let fleet = Fleet::new(&setup.shape, seed).expect("a fleet");
        let list = router_list(&fleet, SparseSettings::default().shape).expect("a list");
        let mut relays = (0..ROUTERS).filter(|no| list.is_relay(&fleet.routers[*no].router));
        let mut relay = || relays.next().expect("a relay");
        setup.scripted_faults = vec![
            Fault { at: 10_000_000, kind: FaultKind::Vanish { router: relay(), duration: 600_000_000 } },
            Fault { at: 11_000_000, kind: FaultKind::Restart { router: relay(), duration: 500_000 } },
        ];
        whole(&run(&setup).expect("a run"), 60.0, &format!("{seed}"));
    }
}

#[test]
fn who_restarts_is_given_all_that_had_not_settled_as_it_came_back() {
    for seed in SEEDS {
        let mut setup = setup(seed, ChangeLogReach::ControlMachines);
        (setup.purges_per_s, setup.measured_s, setup.random_faults.restarts) = (100.0, 12.0, 16);
        let figures = run(&setup).expect("a run");
        assert_eq!([is(&figures, "lost"), is(&figures, "late"), is(&figures, "twice")], [0.0; 3], "{seed}");
        // Without time to catch up some of it has settled before it is asked for.
        if let Kind::Sparse(sparse) = &mut setup.kind {
            sparse.overlay.convergence_ms -= CATCH_UP_MS;
        }
        assert!(is(&run(&setup).expect("a run"), "lost") > 0.0, "{seed}: nothing was shown");
    }
}

#[test]
fn the_same_seed_is_the_same_run() {
    let mut setup = setup(5, ChangeLogReach::OneRouter);
    setup.random_faults.restarts = 3;
    setup.random_faults.regions = 1;
    let first = run(&setup).expect("a run");
    assert_eq!(first, run(&setup).expect("a run"));
    setup.seed = 6;
    assert!(first != run(&setup).expect("a run"));
}

/// An overlay that reads nothing.
struct Deaf(Sparse);

impl ControlPlane for Deaf {
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, out: &mut Vec<ControlPlaneAction>) {
        match event {
            ControlPlaneEvent::MessageReceived { .. } => {}
            ControlPlaneEvent::LinkUp(_)
            | ControlPlaneEvent::LinkDown(..)
            | ControlPlaneEvent::SendFailed(_)
            | ControlPlaneEvent::ChangeLogPurge(_) => {
                self.0.handle(now, event, out);
            }
            ControlPlaneEvent::TimersDue
            | ControlPlaneEvent::Flush
            | ControlPlaneEvent::CommitFinished(..) => self.0.handle(now, event, out),
        }
    }

    fn next_timer(&self) -> Ms {
        self.0.next_timer()
    }
}

#[test]
fn a_router_that_reads_nothing_is_found() {
    let setup = setup(1, ChangeLogReach::ControlMachines);
    let fleet = Fleet::new(&setup.shape, setup.seed).expect("a fleet");
    let set = SparseSettings::default();
    let list = router_list(&fleet, set.shape).expect("a list");
    let deaf = (0..ROUTERS).rfind(|no| !fleet.routers[*no].control).expect("another");
    let found = run_with(&setup, &|start, out| {
        let sparse = Sparse::start(&set, &list, start, out)?;
        let control_plane: Box<dyn ControlPlane> =
            if start.index == deaf { Box::new(Deaf(sparse)) } else { Box::new(sparse) };
        Ok((control_plane, None))
    });
    let (figures, findings) = found.expect("a run");
    assert_eq!((is(&figures, "lost"), is(&figures, "lost_routers")), (60.0, 1.0));
    assert!(findings.lost.iter().all(|(_, no)| *no == deaf));
}
