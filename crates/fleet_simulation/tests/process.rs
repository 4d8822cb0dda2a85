//! Restarts and replacements of routers, and the distribution of a fleet's routers over failure domains.

use basaltgw_fleet_simulation::control_plane::{
    ControlPlane, ControlPlaneAction, ControlPlaneEvent, StartContext,
};
use basaltgw_fleet_simulation::fault::{Fault, FaultKind};
use basaltgw_fleet_simulation::fleet::{FailureDomain, Fleet, Shape};
use basaltgw_fleet_simulation::run::{run_with, Setup};
use basaltgw_storage::{Space, Write};
use basaltgw_types::Ms;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A control plane that commits a new number each millisecond, and records the last one that became durable.
struct Writer {
    next: Ms,
    last: u32,
    stored: Rc<RefCell<u32>>,
}

impl ControlPlane for Writer {
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, out: &mut Vec<ControlPlaneAction>) {
        match event {
            ControlPlaneEvent::TimersDue => {
                self.next = now + 1.0;
                self.last += 1;
                let write = Write::Put(Space(1), vec![1], self.last.to_be_bytes().to_vec());
                out.push(ControlPlaneAction::Commit(u64::from(self.last), vec![write]));
            }
            ControlPlaneEvent::CommitFinished(number, succeeded) => {
                assert!(succeeded, "commit {number} failed");
                *self.stored.borrow_mut() = number as u32;
            }
            ControlPlaneEvent::LinkUp(_)
            | ControlPlaneEvent::LinkDown(..)
            | ControlPlaneEvent::MessageReceived { .. }
            | ControlPlaneEvent::SendFailed(_) => {}
            ControlPlaneEvent::ChangeLogPurge(_) | ControlPlaneEvent::Flush => {}
        }
    }

    fn next_timer(&self) -> Ms {
        self.next
    }
}

#[test]
fn commits_survive_a_restart_but_not_a_replacement_of_the_machine() {
    let mut setup = Setup::mesh(3, 1);
    (setup.warm_up_s, setup.measured_s, setup.drain_s) = (1.0, 10.0, 0.0);
    setup.scripted_faults = vec![
        Fault { at: 3_000_000, kind: FaultKind::Restart { router: 1, duration: 500_000 } },
        Fault { at: 6_000_000, kind: FaultKind::Replace { router: 1, duration: 500_000 } },
    ];
    let stored = Rc::new(RefCell::new(0));
    let starts = RefCell::new(Vec::new());
    let start = |start: &StartContext, _: &mut Vec<ControlPlaneAction>| {
        let own = if start.index == 1 { stored.clone() } else { Rc::default() };
        let found =
            start.disk.get(Space(1), &[1]).map(|b| u32::from_be_bytes(b.try_into().expect("four bytes")));
        if start.index == 1 {
            starts.borrow_mut().push((start.has_previous_data, found, *own.borrow(), start.me.incarnation));
        }
        let writer = Writer { next: start.now, last: found.unwrap_or(0), stored: own };
        Ok((Box::new(writer) as Box<dyn ControlPlane>, None))
    };
    run_with(&setup, &start).expect("a valid setup");
    let starts = starts.borrow();
    let [(false, None, 0, first), (true, Some(found), notified, again), (false, None, _, new)] = starts[..]
    else {
        panic!("{starts:?}")
    };
    // The process was notified of exactly the commits that are on the disk.
    assert!(found == notified && found > 100, "{starts:?}");
    assert!(first == again && new != first);
}

#[test]
fn the_whole_fleet_has_its_shape() {
    let shape = Shape::for_routers(4_300);
    assert_eq!((shape.sites, shape.zones, shape.regions, shape.control_machines), (210, 71, 21, 9));
    let fleet = Fleet::new(&shape, 7).expect("a fleet");
    assert_eq!(fleet.routers.len(), 4_300);
    let count_distinct = |domain: fn(&basaltgw_fleet_simulation::fleet::FleetRouter) -> usize| {
        fleet.routers.iter().map(domain).collect::<BTreeSet<_>>().len()
    };
    assert_eq!(
        (count_distinct(|s| s.site), count_distinct(|s| s.zone), count_distinct(|s| s.region)),
        (210, 71, 21)
    );
    let controls: Vec<usize> = fleet.routers.iter().filter(|s| s.control).map(|s| s.region).collect();
    assert_eq!((controls.len(), controls.iter().collect::<BTreeSet<_>>().len()), (9, 9));
    for rack in 0..count_distinct(|s| s.rack) {
        let within = fleet.routers_in(FailureDomain::Rack(rack));
        assert!((1..=40).contains(&within.len()));
        let sites: BTreeSet<usize> = within.iter().map(|index| fleet.routers[*index].site).collect();
        assert_eq!(sites.len(), 1);
    }
    assert_eq!(fleet, Fleet::new(&shape, 7).expect("a fleet"));
    assert!(fleet != Fleet::new(&shape, 8).expect("a fleet"));
    assert_eq!(fleet.index_of(&fleet.routers[4_299].router), Some(4_299));
}
