//! Checks the delivery of purges: each reaches every running and reachable router in time, and no process is notified of it twice.

use crate::config_changes::{ConfigChangeFindings, ConfigChanges};
use crate::control_plane::Notification;
use crate::{Micros, RouterIndex};
use fixedbitset::FixedBitSet;

/// A purge and the routers that know it.
#[derive(Clone, Debug)]
struct TrackedPurge {
    made_at: Micros,
    /// Routers that know the purge, through any of their processes.
    known_by: FixedBitSet,
    /// The longest time that one of these routers waited for the purge.
    longest_wait: Micros,
}

/// A router and the purges that its process knows.
#[derive(Clone, Debug, Default)]
struct TrackedRouter {
    /// Since when the process runs and no partition separates the router from others; `None` while either is not so.
    reachable_since: Option<Micros>,
    /// Purges of which the running process was notified, or which it read from the change log.
    known: FixedBitSet,
}

/// What the checker found in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Number of purges made.
    pub purges: usize,
    /// Purges and routers, where the router was never notified although it was reachable for long enough.
    pub lost: Vec<(usize, RouterIndex)>,
    /// Like `lost`, but the router was only reachable again once the purge had converged: by then no router needs it.
    pub converged: usize,
    /// How often a process was notified of a purge that it knew.
    pub duplicates: usize,
    /// Part of `duplicates`: the purge had been made longer ago than the convergence time.
    pub duplicates_after_convergence: usize,
    /// How often a purge arrived later than the convergence time, counted from the purge or from when the router became reachable.
    pub late: usize,
    /// Part of `late`: the router was only reachable again once the purge had converged.
    pub late_after_convergence: usize,
    /// Time until the last router knew each purge, ms, ascending. Purges that some router never got are left out.
    pub completion_ms: Vec<f64>,
    /// Notifications of purges that were never made.
    pub unknown: usize,
    /// Delivery of the configuration changes.
    pub config_changes: ConfigChangeFindings,
}

/// Follows all purges and configuration changes of a run.
#[derive(Clone, Debug)]
pub struct Checker {
    /// Time within which a purge has to reach all routers.
    convergence: Micros,
    purges: Vec<TrackedPurge>,
    routers: Vec<TrackedRouter>,
    duplicates: usize,
    duplicates_after_convergence: usize,
    late: usize,
    late_after_convergence: usize,
    unknown: usize,
    config_changes: ConfigChanges,
}

impl Checker {
    /// Creates a checker for this number of routers; purges have to reach all of them within `convergence`.
    pub fn new(routers: usize, convergence: Micros) -> Self {
        Self {
            convergence,
            purges: Vec::new(),
            routers: vec![TrackedRouter::default(); routers],
            duplicates: 0,
            duplicates_after_convergence: 0,
            late: 0,
            late_after_convergence: 0,
            unknown: 0,
            config_changes: ConfigChanges::new(routers),
        }
    }

    /// Records that the purge with the next number is made.
    pub fn purge_made(&mut self, at: Micros) {
        let known_by = FixedBitSet::with_capacity(self.routers.len());
        self.purges.push(TrackedPurge { made_at: at, known_by, longest_wait: 0 });
    }

    /// Records that a new process of a router starts, which knows none of the purges of its predecessor.
    pub fn process_started(&mut self, router: RouterIndex) {
        self.routers[router].known.clear();
    }

    /// Records that a router runs and is reachable from now on.
    pub fn reachable(&mut self, at: Micros, router: RouterIndex) {
        self.routers[router].reachable_since = Some(at);
    }

    /// Records that a router has stopped or is cut off.
    pub fn unreachable(&mut self, router: RouterIndex) {
        self.routers[router].reachable_since = None;
    }

    /// Records that a router read a purge from the change log.
    pub fn read_from_log(&mut self, at: Micros, router: RouterIndex, purge: usize) {
        self.arrived(at, router, purge);
        let known = &mut self.routers[router].known;
        known.grow(purge + 1);
        known.insert(purge);
    }

    /// Records a notification of a router's control plane.
    pub fn notified(&mut self, at: Micros, router: RouterIndex, notification: &Notification) {
        let purge = match notification {
            Notification::Purge(purge) => purge,
            Notification::PurgesKnown(_) | Notification::Table(..) | Notification::Other => return,
            Notification::ConfigChangeMade => return self.config_changes.made(at),
            Notification::ConfigChangeApplied(change) => {
                return self.config_changes.applied(at, router, *change);
            }
        };
        // A purge of a whole group replaces purges of many of its objects; the simulation makes none itself.
        let Some(number) = purge.object else { return };
        let number = number as usize;
        if number >= self.purges.len() {
            self.unknown += 1;
            return;
        }
        let known = &mut self.routers[router].known;
        known.grow(number + 1);
        if known.put(number) {
            self.duplicates += 1;
            let made_at = self.purges.get(number).map_or(at, |p| p.made_at);
            self.duplicates_after_convergence += usize::from(at >= made_at + self.convergence);
        }
        self.arrived(at, router, number);
    }

    /// Records that a router knows a purge, and how long it waited for it.
    fn arrived(&mut self, at: Micros, router: RouterIndex, purge: usize) {
        let Some(purge) = self.purges.get_mut(purge) else { return };
        if purge.known_by.put(router) {
            return;
        }
        let Some(reachable_since) = self.routers[router].reachable_since else { return };
        let wait = at.saturating_sub(purge.made_at.max(reachable_since));
        purge.longest_wait = purge.longest_wait.max(wait);
        let late = wait > self.convergence;
        self.late += usize::from(late);
        self.late_after_convergence +=
            usize::from(late && reachable_since >= purge.made_at + self.convergence);
    }

    /// Summarizes a run that ended at `end`.
    pub fn findings(&self, end: Micros) -> Findings {
        let (mut lost, mut converged) = (Vec::new(), 0);
        let mut completion_ms = Vec::new();
        for (number, purge) in self.purges.iter().enumerate() {
            let mut complete = purge.made_at + self.convergence <= end;
            let without =
                self.routers.iter().enumerate().filter(|(index, _)| !purge.known_by.contains(*index));
            for (index, router) in without {
                match router.reachable_since {
                    Some(since) if since >= purge.made_at + self.convergence => converged += 1,
                    Some(since) if since.max(purge.made_at) + self.convergence <= end => {
                        lost.push((number, index));
                        complete = false;
                    }
                    // Unreachable, or not reachable for long enough yet.
                    Some(_) | None => {}
                }
            }
            if complete {
                completion_ms.push(crate::ms(purge.longest_wait));
            }
        }
        completion_ms.sort_by(f64::total_cmp);
        Findings {
            purges: self.purges.len(),
            lost,
            converged,
            duplicates: self.duplicates,
            duplicates_after_convergence: self.duplicates_after_convergence,
            late: self.late,
            late_after_convergence: self.late_after_convergence,
            completion_ms,
            unknown: self.unknown,
            config_changes: self.config_changes.findings(),
        }
    }
}
