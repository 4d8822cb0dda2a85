//! State is what a party keeps, and not what it sends, is sent, or has committed. Alone in its program: the allocator counts all threads.

use basaltgw_fleet_simulation::control_plane::{
    ControlPlane, ControlPlaneAction, ControlPlaneEvent, StartContext,
};
use basaltgw_fleet_simulation::run::{run_with, Setup};
use basaltgw_storage::{Space, Write};
use basaltgw_types::link::Lane;
use basaltgw_types::{Member, Ms};
use cap::Cap;
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that it keeps more of each millisecond.
const GROWS: usize = 1_000;
/// Milliseconds in which it does.
const TIMES: usize = 500;
/// Bytes of each message and each commit.
const PASSES: usize = 10_000;

/// Keeps something each millisecond for a while, and goes on sending and committing more than that.
struct Keeper {
    next: Ms,
    kept: Vec<Vec<u8>>,
    links: Vec<Member>,
}

impl ControlPlane for Keeper {
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, out: &mut Vec<ControlPlaneAction>) {
        match event {
            ControlPlaneEvent::LinkUp(hello) => self.links.push(hello.member),
            ControlPlaneEvent::TimersDue => {
                self.next = now + 1.0;
                if self.kept.len() < TIMES {
                    self.kept.push(vec![0; GROWS]);
                }
                let put = Write::Put(Space(1), vec![1], vec![0; PASSES]);
                out.push(ControlPlaneAction::Commit(1, vec![put]));
                for to in self.links.iter().cloned() {
                    let body = vec![0; PASSES];
                    out.push(ControlPlaneAction::Send { number: 0, to, lane: Lane::Registers, body });
                }
            }
            ControlPlaneEvent::LinkDown(..)
            | ControlPlaneEvent::MessageReceived { .. }
            | ControlPlaneEvent::SendFailed(_) => {}
            ControlPlaneEvent::ChangeLogPurge(_)
            | ControlPlaneEvent::Flush
            | ControlPlaneEvent::CommitFinished(..) => {}
        }
    }

    fn next_timer(&self) -> Ms {
        self.next
    }
}

#[test]
fn state_is_what_a_party_keeps() {
    let mut setup = Setup::mesh(3, 1);
    (setup.warm_up_s, setup.measured_s, setup.drain_s) = (1.0, 4.0, 0.0);
    setup.allocation_meter = Some(|work| {
        let before = ALLOCATOR.allocated() as i64;
        work();
        ALLOCATOR.allocated() as i64 - before
    });
    let start = |start: &StartContext, out: &mut Vec<ControlPlaneAction>| {
        let others = start.fleet.routers.iter().filter(|s| s.router != start.me.router);
        out.extend(others.map(|s| ControlPlaneAction::Dial(s.router.clone())));
        let keeper = Keeper { next: start.now, kept: Vec::with_capacity(TIMES), links: Vec::new() };
        Ok((Box::new(keeper) as Box<dyn ControlPlane>, None))
    };
    let figures = run_with(&setup, &start).expect("a run").0.values;
    let kept = (TIMES * GROWS + TIMES * size_of::<Vec<u8>>()) as f64;
    for name in ["state_bytes_mean", "state_bytes_most"] {
        // Itself and its list of links are a few hundred bytes.
        let is = figures[name];
        assert!(
            (kept..kept + 1_000.0).contains(&is),
            "{name}: {is}, expected {kept} and a little\n{figures:#?}"
        );
    }
    // A commit holds it up for 0.3 to 3 ms: some 380 turns a second, with two messages each.
    assert!(figures["frames_in_mean"] > 500.0 && figures["commits_mean"] > 250.0, "{figures:#?}");
}
