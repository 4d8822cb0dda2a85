//! Simulations of real overlays with links to neighbours only: every purge reaches every router once, and a faulty router is reported.

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
/// An upper bound of the links of a router of any role: two above and eight below, or nine control machines and ten relays.
const MAX_LINKS: f64 = 19.0;

fn setup(seed: u64, log: ChangeLogReach) -> Setup {
    let mut setup = Setup::sparse(ROUTERS, seed);
    (setup.warm_up_s, setup.measured_s, setup.purges_per_s, setup.change_log) = (8.0, 6.0, 10.0, log);
    setup
}

fn figure(figures: &Figures, name: &str) -> f64 {
    figures.values.get(name).copied().unwrap_or(-1.0)
}

fn assert_complete(figures: &Figures, purges: f64, context: &str) {
    let names = ["words", "everywhere", "lost", "late", "twice", "unknown"];
    let found = names.map(|name| figure(figures, name));
    assert_eq!(found, [purges, purges, 0.0, 0.0, 0.0, 0.0], "{context}: {names:?}");
    assert!(figure(figures, "links_most") <= MAX_LINKS && figure(figures, "links_mean") > 2.0, "{context}");
}

#[test]
fn every_purge_reaches_all_routers_once_without_faults() {
    let uneven = ChangeLogReach::Uneven { missed_share: 0.02, late_share: 0.02, max_delay_ms: 3_000.0 };
    for (seed, log) in
        SEEDS.into_iter().zip([uneven, ChangeLogReach::OneRouter, ChangeLogReach::ControlMachines])
    {
        let figures = run(&setup(seed, log)).expect("a valid setup");
        assert_complete(&figures, 60.0, &format!("seed {seed}, {log:?}"));
        assert_eq!(figure(&figures, "founded"), ROUTERS as f64);
    }
}

#[test]
fn every_purge_reaches_all_routers_once_when_relays_vanish_or_restart() {
    for seed in SEEDS {
        let mut setup = setup(seed, ChangeLogReach::ControlMachines);
        let fleet = Fleet::new(&setup.shape, seed).expect("a fleet");
        let list = router_list(&fleet, SparseSettings::default().shape).expect("a list");
        let mut relays = (0..ROUTERS).filter(|index| list.is_relay(&fleet.routers[*index].router));
        let mut relay = || relays.next().expect("a relay");
        setup.scripted_faults = vec![
            Fault { at: 10_000_000, kind: FaultKind::Vanish { router: relay(), duration: 600_000_000 } },
            Fault { at: 11_000_000, kind: FaultKind::Restart { router: relay(), duration: 500_000 } },
        ];
        assert_complete(&run(&setup).expect("a valid setup"), 60.0, &format!("seed {seed}"));
    }
}

#[test]
fn a_restarted_router_receives_all_purges_that_had_not_converged() {
    for seed in SEEDS {
        let mut setup = setup(seed, ChangeLogReach::ControlMachines);
        (setup.purges_per_s, setup.measured_s, setup.random_faults.restarts) = (100.0, 12.0, 16);
        let figures = run(&setup).expect("a valid setup");
        assert_eq!(
            [figure(&figures, "lost"), figure(&figures, "late"), figure(&figures, "twice")],
            [0.0; 3],
            "seed {seed}"
        );
        // Without the catch-up time some updates converge before the router queries them.
        if let Kind::Sparse(sparse) = &mut setup.kind {
            sparse.overlay.convergence_ms -= CATCH_UP_MS;
        }
        assert!(
            figure(&run(&setup).expect("a valid setup"), "lost") > 0.0,
            "seed {seed}: no purge was lost without the catch-up time"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let mut setup = setup(5, ChangeLogReach::OneRouter);
    setup.random_faults.restarts = 3;
    setup.random_faults.regions = 1;
    let first = run(&setup).expect("a valid setup");
    assert_eq!(first, run(&setup).expect("a valid setup"));
    setup.seed = 6;
    assert!(first != run(&setup).expect("a valid setup"));
}

/// An overlay that ignores all received messages.
struct IgnoresMessages(Sparse);

impl ControlPlane for IgnoresMessages {
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
fn a_router_that_ignores_messages_is_reported() {
    let setup = setup(1, ChangeLogReach::ControlMachines);
    let fleet = Fleet::new(&setup.shape, setup.seed).expect("a fleet");
    let settings = SparseSettings::default();
    let list = router_list(&fleet, settings.shape).expect("a list");
    let ignoring = (0..ROUTERS)
        .rfind(|index| !fleet.routers[*index].control)
        .expect("a router that is not a control machine");
    let result = run_with(&setup, &|start, out| {
        let sparse = Sparse::start(&settings, &list, start, out)?;
        let control_plane: Box<dyn ControlPlane> =
            if start.index == ignoring { Box::new(IgnoresMessages(sparse)) } else { Box::new(sparse) };
        Ok((control_plane, None))
    });
    let (figures, findings) = result.expect("a valid setup");
    assert_eq!((figure(&figures, "lost"), figure(&figures, "lost_routers")), (60.0, 1.0));
    assert!(findings.lost.iter().all(|(_, index)| *index == ignoring));
}
