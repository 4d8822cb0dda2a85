//! Hands events to control planes, measures the work, and carries out the resulting actions.

use super::World;
use crate::control_plane::{ControlPlaneAction, ControlPlaneEvent, Notification};
use crate::{ms, RouterIndex};
use basaltgw_control::Purge;
use basaltgw_storage::Write;

impl World<'_> {
    /// Hands an event to a control plane, measures the work, and carries out the resulting actions.
    pub(super) fn handle(&mut self, router: RouterIndex, event: ControlPlaneEvent) {
        let now = self.queue.now();
        let Some(control_plane) = &mut self.hosts[router].control_plane else { return };
        if let ControlPlaneEvent::ChangeLogPurge(Purge { object: Some(purge), .. }) = &event {
            // Recorded when processed, not when queued: a copy from another router may be processed first, and is then rightly new.
            self.checker.read_from_log(now, router, *purge as usize);
        }
        let (event_bytes, capacity) = (event_bytes(&event), self.out.capacity());
        let (mut event, out) = (Some(event), &mut self.out);
        let mut work =
            || event.take().into_iter().for_each(|event| control_plane.handle(ms(now), event, out));
        let (time, bytes) = self.meter.work(&mut work);
        let growth = bytes + event_bytes - self.action_bytes(capacity);
        self.count_work(router, time, growth);
        self.apply_actions(router);
    }

    /// Bytes of the pending actions, which no longer belong to the state of the control plane.
    pub(super) fn action_bytes(&self, old_capacity: usize) -> i64 {
        let mut bytes = (self.out.capacity() - old_capacity) * size_of::<ControlPlaneAction>();
        for action in &self.out {
            bytes += match action {
                ControlPlaneAction::Send { body, .. } => body.capacity(),
                ControlPlaneAction::Commit(_, writes) => {
                    let write_bytes = |w: &Write| match w {
                        Write::Put(_, key, value) => key.capacity() + value.capacity(),
                        Write::Remove(_, key) => key.capacity(),
                    };
                    writes.capacity() * size_of::<Write>() + writes.iter().map(write_bytes).sum::<usize>()
                }
                ControlPlaneAction::Dial(_)
                | ControlPlaneAction::Close(_)
                | ControlPlaneAction::AdvertiseTable(..) => 0,
                ControlPlaneAction::Notify(_) => 0,
            };
        }
        bytes as i64
    }

    /// Counts one event with its processor time, ns, and the growth of the state, bytes.
    pub(super) fn count_work(&mut self, router: RouterIndex, cpu_ns: u64, growth: i64) {
        let second = self.links.counts.at(router, self.queue.now());
        second.cpu_ns += cpu_ns;
        second.events += 1;
        self.links.counts.state_grew(router, growth);
    }

    /// Carries out the pending actions of a router.
    pub(super) fn apply_actions(&mut self, router: RouterIndex) {
        let now = self.queue.now();
        for action in std::mem::take(&mut self.out) {
            match action {
                ControlPlaneAction::Dial(to) => {
                    let to = self.fleet.index_of(&to);
                    to.into_iter().for_each(|to| self.links.dial(&mut self.queue, self.fleet, router, to));
                }
                ControlPlaneAction::Close(to) => {
                    let to = self.fleet.index_of(&to);
                    to.into_iter().for_each(|to| self.links.close(&mut self.queue, self.fleet, router, to));
                }
                ControlPlaneAction::Send { number, to, lane, body } => {
                    match self.fleet.index_of(&to.router) {
                        Some(index) => {
                            self.links.send(&mut self.queue, router, (index, &to), (number, lane, body))
                        }
                        None => self.links.events.push((router, ControlPlaneEvent::SendFailed(number))),
                    }
                }
                ControlPlaneAction::AdvertiseTable(version, hash) => {
                    self.links.advertise_table(&mut self.queue, router, version, hash)
                }
                ControlPlaneAction::Commit(number, writes) => {
                    self.hosts[router].pending_commits.push_back((number, writes))
                }
                ControlPlaneAction::Notify(notification) => {
                    if let Notification::Table(..) = notification {
                        self.hosts[router].first_table_at.get_or_insert(now);
                    }
                    self.checker.notified(now, router, &notification);
                }
            }
        }
    }
}

/// Bytes of an event, which belong to the state of the control plane from now on.
fn event_bytes(event: &ControlPlaneEvent) -> i64 {
    match event {
        ControlPlaneEvent::MessageReceived { body, .. } => body.capacity() as i64,
        ControlPlaneEvent::LinkUp(_)
        | ControlPlaneEvent::LinkDown(..)
        | ControlPlaneEvent::SendFailed(_)
        | ControlPlaneEvent::ChangeLogPurge(_) => 0,
        ControlPlaneEvent::TimersDue | ControlPlaneEvent::Flush | ControlPlaneEvent::CommitFinished(..) => 0,
    }
}
