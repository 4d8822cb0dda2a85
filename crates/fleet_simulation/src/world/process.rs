//! The process of a router: start, turns, commits and end.

use super::{World, CLUSTER, EVENTS_PER_TURN};
use crate::control_plane::{ControlPlaneEvent, StartContext};
use crate::disk::Disk;
use crate::queue::SimulationEvent;
use crate::{micros, ms, Micros, RouterIndex};
use basaltgw_types::link::{Hello, PROTOCOL_VERSION};
use basaltgw_types::{Incarnation, Member, TableHash, TableVersion};
use rand::RngExt;
use std::sync::Arc;

/// Timers later than this are never due: it is after the end of any run, and far from an overflow of [`Micros`].
const MAX_TIMER_MICROS: f64 = 1e15;

impl World<'_> {
    /// Runs one turn of a process: its queued events, its timers, and the flush of its writes.
    pub(super) fn turn(&mut self, router: RouterIndex) -> Result<(), String> {
        let now = self.queue.now();
        let host = &mut self.hosts[router];
        if host.next_turn != now || host.committing {
            return Ok(());
        }
        host.next_turn = Micros::MAX;
        if host.control_plane.is_none() {
            return self.start(router);
        }
        for _ in 0..EVENTS_PER_TURN {
            let Some(event) = self.hosts[router].inbox.pop_front() else { break };
            self.handle(router, event);
        }
        if self.hosts[router].control_plane.as_ref().is_some_and(|p| p.next_timer() <= ms(now)) {
            self.handle(router, ControlPlaneEvent::TimersDue);
        }
        self.handle(router, ControlPlaneEvent::Flush);
        self.schedule_next(router);
        Ok(())
    }

    /// Schedules the next event of a process: the end of its commit, or its next turn.
    fn schedule_next(&mut self, router: RouterIndex) {
        let now = self.queue.now();
        let (min, max) = self.settings.commit_ms;
        let host = &mut self.hosts[router];
        let Some(control_plane) = &host.control_plane else { return };
        if !host.pending_commits.is_empty() {
            host.committing = true;
            let duration = micros(min + (max - min) * self.rng.random::<f64>());
            return self
                .queue
                .put(now + duration, SimulationEvent::CommitFinished { router, start: host.starts });
        }
        let next_timer = match host.inbox.is_empty() {
            true => (control_plane.next_timer() * 1_000.0).ceil().min(MAX_TIMER_MICROS) as Micros,
            false => now,
        };
        let at = next_timer.max(now + 1);
        if host.next_turn > at {
            host.next_turn = at;
            self.queue.put(at, SimulationEvent::Turn(router));
        }
    }

    /// Handles that the first pending commit of a process is durable. The commit is ignored if another process has started since.
    pub(super) fn commit_finished(&mut self, router: RouterIndex, start: u32) {
        let host = &mut self.hosts[router];
        if host.starts != start || host.control_plane.is_none() {
            return;
        }
        let Some((number, writes)) = host.pending_commits.pop_front() else { return };
        host.disk.commit(writes);
        host.committing = false;
        self.links.counts.at(router, self.queue.now()).commits += 1;
        self.handle(router, ControlPlaneEvent::CommitFinished(number, true));
        let now = self.queue.now();
        let host = &mut self.hosts[router];
        if host.pending_commits.is_empty() {
            // The next turn handles the events that arrived meanwhile and what the commit unblocked.
            host.next_turn = now + 1;
            self.queue.put(now + 1, SimulationEvent::Turn(router));
        } else {
            self.schedule_next(router);
        }
    }

    /// Starts a process.
    fn start(&mut self, router: RouterIndex) -> Result<(), String> {
        let now = self.queue.now();
        let host = &mut self.hosts[router];
        let has_previous_data = host.incarnation.is_some();
        let incarnation = *host.incarnation.get_or_insert_with(|| Incarnation(self.rng.random()));
        host.starts += 1;
        let fleet_router = &self.fleet.routers[router];
        let me = Member { router: fleet_router.router.clone(), incarnation };
        let random: u128 = self.rng.random();
        let disk = &self.hosts[router].disk;
        let start = StartContext {
            now: ms(now),
            index: router,
            me: me.clone(),
            has_previous_data,
            fleet: self.fleet,
            disk,
            random,
        };
        let capacity = self.out.capacity();
        let (start_control_plane, out) = (self.start_control_plane, &mut self.out);
        let mut started = Err(String::new());
        let (time, bytes) = self.meter.work(&mut || started = start_control_plane(&start, out));
        let (control_plane, table) = started?;
        self.links.counts.state_bytes[router].0 = 0;
        let growth = bytes - self.action_bytes(capacity);
        self.count_work(router, time, growth);
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            cluster: Arc::from(CLUSTER),
            member: me,
            domain: fleet_router.domain.clone(),
            table: table.unwrap_or((TableVersion(0), TableHash([0; 32]))),
        };
        self.links.start(router, hello, random as u64);
        self.hosts[router].control_plane = Some(control_plane);
        self.checker.process_started(router);
        if !self.links.is_cut(router) {
            self.checker.reachable(now, router);
        }
        self.apply_actions(router);
        self.schedule_next(router);
        Ok(())
    }

    /// Kills a process. Commits that are not durable are lost; with `disk_lost` so is the disk.
    pub(super) fn stop(&mut self, router: RouterIndex, machine_lost: bool, disk_lost: bool) {
        let host = &mut self.hosts[router];
        let was_running = host.control_plane.take().is_some();
        host.inbox.clear();
        host.pending_commits.clear();
        (host.committing, host.next_turn) = (false, Micros::MAX);
        if disk_lost {
            (host.disk, host.incarnation) = (Disk::default(), None);
        }
        self.checker.unreachable(router);
        if was_running {
            self.links.stop(&mut self.queue, self.fleet, router, machine_lost);
        }
    }
}
