//! The checker reports control planes that drop, duplicate or delay purges, and accepts a correct one.

use basaltgw_control::Purge;
use basaltgw_fleet_simulation::checker::Findings;
use basaltgw_fleet_simulation::control_plane::{
    ControlPlane, ControlPlaneAction, ControlPlaneEvent, Notification, StartContext,
};
use basaltgw_fleet_simulation::run::{run_with, Setup};
use basaltgw_fleet_simulation::world::ChangeLogReach;
use basaltgw_types::link::Lane;
use basaltgw_types::{Member, Ms};
use std::collections::BTreeSet;

/// A defect of a control plane.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    /// No defect.
    None,
    /// No notification for every seventh purge.
    Drops,
    /// Two notifications for every seventh purge.
    Duplicates,
    /// Late notifications of purges from other routers.
    Delays { delay_ms: Ms },
}

/// A control plane that forwards purges from the change log over all links; purges from links are not forwarded.
struct Gossip {
    defect: Defect,
    links: BTreeSet<Member>,
    known: BTreeSet<Purge>,
    /// Purges whose notification is delayed, with its time.
    delayed: Vec<(Ms, Purge)>,
}

impl Gossip {
    fn notify(&mut self, now: Ms, purge: Purge, out: &mut Vec<ControlPlaneAction>) {
        if !self.known.insert(purge) {
            return;
        }
        let seventh = purge.object.is_some_and(|o| o % 7 == 0);
        match self.defect {
            Defect::Drops if seventh => {}
            Defect::Duplicates if seventh => {
                out.extend([0, 0].map(|_| ControlPlaneAction::Notify(Notification::Purge(purge))));
            }
            Defect::Delays { delay_ms } => self.delayed.push((now + delay_ms, purge)),
            Defect::None | Defect::Drops | Defect::Duplicates => {
                out.push(ControlPlaneAction::Notify(Notification::Purge(purge)));
            }
        }
    }
}

impl ControlPlane for Gossip {
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, out: &mut Vec<ControlPlaneAction>) {
        match event {
            ControlPlaneEvent::LinkUp(hello) => _ = self.links.insert(hello.member),
            ControlPlaneEvent::LinkDown(member, _) => _ = self.links.remove(&member),
            ControlPlaneEvent::ChangeLogPurge(purge) => {
                self.known.insert(purge);
                for to in self.links.iter().cloned() {
                    let body = postcard::to_stdvec(&purge).expect("an encoded purge");
                    out.push(ControlPlaneAction::Send { number: 0, to, lane: Lane::Table, body });
                }
            }
            ControlPlaneEvent::MessageReceived { body, .. } => {
                let purge = postcard::from_bytes(&body).expect("a purge");
                self.notify(now, purge, out);
            }
            ControlPlaneEvent::TimersDue => {
                let (due, not_due): (Vec<_>, Vec<_>) = self.delayed.drain(..).partition(|(at, _)| *at <= now);
                self.delayed = not_due;
                out.extend(
                    due.into_iter().map(|(_, purge)| ControlPlaneAction::Notify(Notification::Purge(purge))),
                );
            }
            ControlPlaneEvent::SendFailed(_)
            | ControlPlaneEvent::Flush
            | ControlPlaneEvent::CommitFinished(..) => {}
        }
    }

    fn next_timer(&self) -> Ms {
        self.delayed.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min)
    }
}

/// The checker's findings in a run with control planes of this defect.
fn findings(defect: Defect) -> Findings {
    let mut setup = Setup::mesh(12, 5);
    (setup.warm_up_s, setup.measured_s, setup.purges_per_s, setup.change_log) =
        (3.0, 5.0, 20.0, ChangeLogReach::OneRouter);
    setup.drain_s = 20.0;
    let start = move |start: &StartContext, out: &mut Vec<ControlPlaneAction>| {
        let others = start.fleet.routers.iter().filter(|s| s.router != start.me.router);
        out.extend(others.map(|s| ControlPlaneAction::Dial(s.router.clone())));
        let (links, known) = (BTreeSet::new(), BTreeSet::new());
        Ok((Box::new(Gossip { defect, links, known, delayed: Vec::new() }) as Box<dyn ControlPlane>, None))
    };
    run_with(&setup, &start).expect("a valid setup").1
}

#[test]
fn a_correct_control_plane_passes() {
    let found = findings(Defect::None);
    assert_eq!((found.purges, found.completion_ms.len(), found.duplicates, found.late), (100, 100, 0, 0));
    assert!(found.lost.is_empty() && found.unknown == 0, "{found:?}");
}

#[test]
fn a_control_plane_that_drops_purges_is_reported() {
    let found = findings(Defect::Drops);
    // Fifteen of a hundred purges, at all routers but the one that read it from the change log.
    assert_eq!((found.lost.len(), found.duplicates, found.late), (15 * 11, 0, 0));
    assert!(found.lost.iter().all(|(purge, _)| purge % 7 == 0));
}

#[test]
fn a_control_plane_that_duplicates_notifications_is_reported() {
    let found = findings(Defect::Duplicates);
    assert_eq!((found.lost.len(), found.duplicates, found.late), (0, 15 * 11, 0));
}

#[test]
fn a_control_plane_that_delays_notifications_is_reported() {
    let found = findings(Defect::Delays { delay_ms: 6_200.0 });
    assert_eq!((found.lost.len(), found.duplicates, found.late), (0, 0, 100 * 11));
    assert!(found.completion_ms.iter().all(|ms| *ms > 6_100.0));
    let found = findings(Defect::Delays { delay_ms: 5_000.0 });
    assert_eq!((found.lost.len(), found.late), (0, 0), "in time");
}
