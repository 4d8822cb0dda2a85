//! External events of a simulation: purges, the change log and faults.

use super::{ChangeLogReach, World, GROUPS};
use crate::control_plane::ControlPlaneEvent;
use crate::fault::{Fault, FaultKind};
use crate::queue::SimulationEvent;
use crate::{micros, ms, Micros, RouterIndex};
use basaltgw_control::Purge;
use basaltgw_simulator::Rng;
use rand::RngExt;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

impl World<'_> {
    /// Makes a purge, and schedules when the change log delivers it to which routers.
    pub(super) fn make_purge(&mut self, number: usize) {
        let now = self.queue.now();
        let (per_second, (_, until_ms)) = self.settings.purges;
        let next = now + (MICROS_PER_SECOND / per_second) as Micros;
        if next < micros(until_ms) {
            self.queue.put(next, SimulationEvent::PurgeMade(number + 1));
        }
        let (group, time) = (number as u64 % GROUPS, ms(now) as u64);
        self.purges.push(Purge { group, object: Some(number as u64), time });
        self.checker.purge_made(now);
        let (min, max) = self.settings.change_log_delay_ms;
        let arrival = |rng: &mut Rng| now + micros(min + (max - min) * rng.random::<f64>());
        let read = |router| SimulationEvent::ChangeLogRead { router, purge: number };
        let routers = self.hosts.len();
        match self.settings.change_log {
            ChangeLogReach::Everyone { missed_share } => {
                for router in 0..routers {
                    let at = arrival(&mut self.rng);
                    if self.rng.random::<f64>() >= missed_share {
                        self.queue.put(at, read(router));
                    }
                }
            }
            ChangeLogReach::Uneven { missed_share, late_share, max_delay_ms } => {
                for router in 0..routers {
                    let (at, share) = (arrival(&mut self.rng), self.rng.random::<f64>());
                    let late = share < missed_share + late_share;
                    let delay = if late { micros(max_delay_ms * self.rng.random::<f64>()) } else { 0 };
                    if share >= missed_share {
                        self.queue.put(at + delay, read(router));
                    }
                }
            }
            ChangeLogReach::Always(router) => {
                self.queue.put(arrival(&mut self.rng), read(router.min(routers - 1)));
            }
            ChangeLogReach::Polling { interval_ms } => {
                let interval = micros(interval_ms).max(1);
                // Each router polls at its offset, and then at each interval: the next poll from now on reads the purge.
                for (router, offset) in self.poll_offsets.iter().enumerate() {
                    let phase = (offset * interval as f64) as Micros;
                    let poll = (now + interval - phase).div_ceil(interval) * interval + phase - interval;
                    self.queue.put(poll.max(now) + micros(min), read(router));
                }
            }
            ChangeLogReach::ControlMachines => {
                for router in self.control_machines().collect::<Vec<_>>() {
                    self.queue.put(arrival(&mut self.rng), read(router));
                }
            }
            ChangeLogReach::OneRouter => {
                let reachable = |router: &RouterIndex| {
                    self.hosts[*router].control_plane.is_some() && !self.links.is_cut(*router)
                };
                let first = self.rng.random_range(0..routers);
                let router = (first..routers).chain(0..first).find(reachable).unwrap_or(first);
                self.queue.put(arrival(&mut self.rng), read(router));
            }
        }
    }

    /// Delivers a purge of the change log to a router, unless the router is down or the change log does not reach it.
    pub(super) fn read_change_log(&mut self, router: RouterIndex, number: usize) {
        let host = &mut self.hosts[router];
        if host.control_plane.is_none() || host.change_log_outages > 0 {
            return;
        }
        let Some(purge) = self.purges.get(number).copied() else { return };
        host.inbox.push_back(ControlPlaneEvent::ChangeLogPurge(purge));
        self.wake(router);
    }

    /// Begins or ends a fault.
    pub(super) fn fault(&mut self, number: usize) {
        let now = self.queue.now();
        let Some((Fault { at, kind }, cut)) = self.faults.get(number).cloned() else { return };
        let begins = now == at;
        let mut schedule_end =
            |duration: Micros| self.queue.put(now + duration.max(1), SimulationEvent::Fault(number));
        match kind {
            FaultKind::Restart { router, duration }
            | FaultKind::Replace { router, duration }
            | FaultKind::Vanish { router, duration }
                if begins =>
            {
                schedule_end(duration);
                let machine_lost = !matches!(kind, FaultKind::Restart { .. });
                let disk_lost = matches!(kind, FaultKind::Replace { .. });
                self.stop(router, machine_lost, disk_lost);
            }
            FaultKind::Restart { router, .. }
            | FaultKind::Replace { router, .. }
            | FaultKind::Vanish { router, .. } => {
                self.links.machine_returned(&mut self.queue, self.fleet, router);
                if self.hosts[router].control_plane.is_none() {
                    self.hosts[router].next_turn = now;
                    self.queue.put(now, SimulationEvent::Turn(router));
                }
            }
            FaultKind::Cut { routers, direction, duration } if begins => {
                schedule_end(duration);
                self.faults[number].1 = self.links.cut(&mut self.queue, &routers, direction);
                routers.into_iter().for_each(|router| self.checker.unreachable(router));
            }
            FaultKind::Cut { routers, .. } => {
                cut.into_iter().for_each(|cut| self.links.heal(&mut self.queue, cut));
                for router in routers {
                    if self.hosts[router].control_plane.is_some() && !self.links.is_cut(router) {
                        self.checker.reachable(now, router);
                    }
                }
            }
            FaultKind::ChangeLogOutage { routers, duration } if begins => {
                schedule_end(duration);
                routers.into_iter().for_each(|router| self.hosts[router].change_log_outages += 1);
            }
            FaultKind::ChangeLogOutage { routers, .. } => {
                routers.into_iter().for_each(|router| self.hosts[router].change_log_outages -= 1);
            }
        }
    }
}
