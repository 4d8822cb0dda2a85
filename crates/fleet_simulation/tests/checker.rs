//! The checker catches broken parties: one that swallows, one that tells twice, one that is late; and lets a sound one pass.

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

#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// Every seventh word is not told.
    Swallows,
    /// Every seventh word is told twice.
    Twice,
    /// What it hears from others it tells this much later.
    Late(Ms),
}

/// Passes on what it hears from the log to all that it is linked to, and no further.
struct Gossip {
    how: Broken,
    links: BTreeSet<Member>,
    heard: BTreeSet<Purge>,
    waits: Vec<(Ms, Purge)>,
}

impl Gossip {
    fn hears(&mut self, now: Ms, purge: Purge, out: &mut Vec<ControlPlaneAction>) {
        if !self.heard.insert(purge) {
            return;
        }
        let seventh = purge.object.is_some_and(|o| o % 7 == 0);
        match self.how {
            Broken::Swallows if seventh => {}
            Broken::Twice if seventh => {
                out.extend([0, 0].map(|_| ControlPlaneAction::Notify(Notification::Purge(purge))));
            }
            Broken::Late(by) => self.waits.push((now + by, purge)),
            Broken::Nothing | Broken::Swallows | Broken::Twice => {
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
                self.heard.insert(purge);
                for to in self.links.iter().cloned() {
                    let body = postcard::to_stdvec(&purge).expect("bytes");
                    out.push(ControlPlaneAction::Send { number: 0, to, lane: Lane::Table, body });
                }
            }
            ControlPlaneEvent::MessageReceived { body, .. } => {
                let purge = postcard::from_bytes(&body).expect("a purge");
                self.hears(now, purge, out);
            }
            ControlPlaneEvent::TimersDue => {
                let (due, left): (Vec<_>, Vec<_>) = self.waits.drain(..).partition(|(at, _)| *at <= now);
                self.waits = left;
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
        self.waits.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min)
    }
}

fn findings(how: Broken) -> Findings {
    let mut setup = Setup::mesh(12, 5);
    (setup.warm_up_s, setup.measured_s, setup.purges_per_s, setup.change_log) =
        (3.0, 5.0, 20.0, ChangeLogReach::OneRouter);
    setup.drain_s = 20.0;
    let start = move |start: &StartContext, out: &mut Vec<ControlPlaneAction>| {
        let others = start.fleet.routers.iter().filter(|s| s.router != start.me.router);
        out.extend(others.map(|s| ControlPlaneAction::Dial(s.router.clone())));
        let (links, heard) = (BTreeSet::new(), BTreeSet::new());
        Ok((Box::new(Gossip { how, links, heard, waits: Vec::new() }) as Box<dyn ControlPlane>, None))
    };
    run_with(&setup, &start).expect("a run").1
}

#[test]
fn a_sound_party_passes() {
    let found = findings(Broken::Nothing);
    assert_eq!((found.purges, found.completion_ms.len(), found.duplicates, found.late), (100, 100, 0, 0));
    assert!(found.lost.is_empty() && found.unknown == 0, "{found:?}");
}

#[test]
fn a_party_that_swallows_is_caught() {
    let found = findings(Broken::Swallows);
    // Fifteen of a hundred words, at all but the one that heard of it.
    assert_eq!((found.lost.len(), found.duplicates, found.late), (15 * 11, 0, 0));
    assert!(found.lost.iter().all(|(word, _)| word % 7 == 0));
}

#[test]
fn a_party_that_tells_twice_is_caught() {
    let found = findings(Broken::Twice);
    assert_eq!((found.lost.len(), found.duplicates, found.late), (0, 15 * 11, 0));
}

#[test]
fn a_party_that_is_late_is_caught() {
    let found = findings(Broken::Late(6_200.0));
    assert_eq!((found.lost.len(), found.duplicates, found.late), (0, 0, 100 * 11));
    assert!(found.completion_ms.iter().all(|ms| *ms > 6_100.0));
    let found = findings(Broken::Late(5_000.0));
    assert_eq!((found.lost.len(), found.late), (0, 0), "in time");
}
