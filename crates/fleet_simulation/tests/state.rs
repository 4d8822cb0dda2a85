//! The state size covers what a control plane holds, not messages and commits in flight. This is the only test of its program, because the
//! allocator counts the memory of all threads.

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

/// Bytes that the state grows each millisecond.
const GROWTH_BYTES: usize = 1_000;
/// Milliseconds during which the state grows.
const GROWTH_MS: usize = 500;
/// Bytes of each message and each commit.
const TRANSIENT_BYTES: usize = 10_000;

/// A control plane that grows its state each millisecond for a while, and all the time sends and commits more bytes than that.
struct GrowingState {
    next: Ms,
    held: Vec<Vec<u8>>,
    links: Vec<Member>,
}

impl ControlPlane for GrowingState {
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, out: &mut Vec<ControlPlaneAction>) {
        match event {
            ControlPlaneEvent::LinkUp(hello) => self.links.push(hello.member),
            ControlPlaneEvent::TimersDue => {
                self.next = now + 1.0;
                if self.held.len() < GROWTH_MS {
                    self.held.push(vec![0; GROWTH_BYTES]);
                }
                let put = Write::Put(Space(1), vec![1], vec![0; TRANSIENT_BYTES]);
                out.push(ControlPlaneAction::Commit(1, vec![put]));
                for to in self.links.iter().cloned() {
                    let body = vec![0; TRANSIENT_BYTES];
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
fn the_state_size_is_what_a_control_plane_holds() {
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
        let control_plane =
            GrowingState { next: start.now, held: Vec::with_capacity(GROWTH_MS), links: Vec::new() };
        Ok((Box::new(control_plane) as Box<dyn ControlPlane>, None))
    };
    let figures = run_with(&setup, &start).expect("a valid setup").0.values;
    let held_bytes = (GROWTH_MS * GROWTH_BYTES + GROWTH_MS * size_of::<Vec<u8>>()) as f64;
    for name in ["state_bytes_mean", "state_bytes_most"] {
        // The control plane and its list of links add a few hundred bytes.
        let value = figures[name];
        assert!(
            (held_bytes..held_bytes + 1_000.0).contains(&value),
            "{name}: {value}, expected {held_bytes} and less than 1,000 more\n{figures:#?}"
        );
    }
    // A commit blocks the process for 0.3 to 3 ms, which leaves about 380 turns a second, each with two messages.
    assert!(figures["frames_in_mean"] > 500.0 && figures["commits_mean"] > 250.0, "{figures:#?}");
}
