//! Processes, disks, and where routers stand.

use basaltgw_fleet_simulation::fleet::{Fleet, Part, Shape};
use basaltgw_fleet_simulation::party::{Party, PartyAction, PartyEvent, Start};
use basaltgw_fleet_simulation::run::{run_with, Setup};
use basaltgw_fleet_simulation::trouble::{Trouble, What};
use basaltgw_storage::{Space, Write};
use basaltgw_types::Ms;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Writes a new number each millisecond, as one commit each, and notes the numbers that are on the disk.
struct Writer {
    next: Ms,
    last: u32,
    stored: Rc<RefCell<u32>>,
}

impl Party for Writer {
    fn handle(&mut self, now: Ms, event: PartyEvent, out: &mut Vec<PartyAction>) {
        match event {
            PartyEvent::Due => {
                self.next = now + 1.0;
                self.last += 1;
                let write = Write::Put(Space(1), vec![1], self.last.to_be_bytes().to_vec());
                out.push(PartyAction::Store(u64::from(self.last), vec![write]));
            }
            PartyEvent::Stored(no, done) => {
                assert!(done);
                *self.stored.borrow_mut() = no as u32;
            }
            PartyEvent::Up(_) | PartyEvent::Down(..) | PartyEvent::Got { .. } | PartyEvent::Unsent(_) => {}
            PartyEvent::Heard(_) | PartyEvent::Settle => {}
        }
    }

    fn due(&self) -> Ms {
        self.next
    }
}

#[test]
fn what_was_committed_is_there_after_a_kill_and_nothing_after_a_wipe() {
    let mut setup = Setup::mesh(3, 1);
    (setup.settle, setup.seconds, setup.rest) = (1.0, 10.0, 0.0);
    setup.script = vec![
        Trouble { at: 3_000_000, what: What::Restart(1, 500_000) },
        Trouble { at: 6_000_000, what: What::Replace(1, 500_000) },
    ];
    let stored = Rc::new(RefCell::new(0));
    let starts = RefCell::new(Vec::new());
    let start = |start: &Start, _: &mut Vec<PartyAction>| {
        let own = if start.no == 1 { stored.clone() } else { Rc::default() };
        let found = start.disk.get(Space(1), &[1]).map(|b| u32::from_be_bytes(b.try_into().expect("4")));
        if start.no == 1 {
            starts.borrow_mut().push((start.old, found, *own.borrow(), start.me.incarnation));
        }
        let writer = Writer { next: start.now, last: found.unwrap_or(0), stored: own };
        Ok((Box::new(writer) as Box<dyn Party>, None))
    };
    run_with(&setup, &start).expect("a run");
    let starts = starts.borrow();
    let [(false, None, 0, first), (true, Some(found), told, again), (false, None, _, new)] = starts[..]
    else {
        panic!("{starts:?}")
    };
    // It was told of each commit that is there, and of none that is not.
    assert!(found == told && found > 100, "{starts:?}");
    assert!(first == again && new != first);
}

#[test]
fn the_whole_fleet_has_its_shape() {
    let shape = Shape::of(4_300);
    assert_eq!((shape.sites, shape.zones, shape.regions, shape.controls), (210, 71, 21, 9));
    let fleet = Fleet::new(&shape, 7).expect("a fleet");
    assert_eq!(fleet.seats.len(), 4_300);
    let many = |of: fn(&basaltgw_fleet_simulation::fleet::Seat) -> usize| {
        fleet.seats.iter().map(of).collect::<BTreeSet<_>>().len()
    };
    assert_eq!((many(|s| s.site), many(|s| s.zone), many(|s| s.region)), (210, 71, 21));
    let controls: Vec<usize> = fleet.seats.iter().filter(|s| s.control).map(|s| s.region).collect();
    assert_eq!((controls.len(), controls.iter().collect::<BTreeSet<_>>().len()), (9, 9));
    for rack in 0..many(|s| s.rack) {
        let within = fleet.within(Part::Rack(rack));
        assert!((1..=40).contains(&within.len()));
        let sites: BTreeSet<usize> = within.iter().map(|no| fleet.seats[*no].site).collect();
        assert_eq!(sites.len(), 1);
    }
    assert_eq!(fleet, Fleet::new(&shape, 7).expect("a fleet"));
    assert!(fleet != Fleet::new(&shape, 8).expect("a fleet"));
    assert_eq!(fleet.no(&fleet.seats[4_299].router), Some(4_299));
}
