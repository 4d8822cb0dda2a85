//! Tracks which routers are unavailable and which are isolated by that, and waits for a fleet to recover: links up, tables adopted,
//! registers replicated.

use super::link::LinkConditions;
use super::{Event, Rig};
use crate::standin::wait_up_to;
use std::collections::BTreeMap;
use std::time::Duration;

/// Links between routers have to be up again within this time after a partition heals or a router starts.
pub const LINKED_WITHIN: Duration = Duration::from_secs(10);
/// The registers of a lost disk have to be replicated again within this time after their router returned.
pub const REPLICATED_WITHIN: Duration = Duration::from_secs(20);

impl Rig {
    /// Sets whether a router's replicas are unavailable to the others.
    pub(super) fn set_unavailable(&self, router: usize, unavailable: bool) {
        {
            let mut routers = self.unavailable.borrow_mut();
            if unavailable {
                routers.insert(router);
            } else {
                routers.remove(&router);
            }
        }
        self.record_isolation();
    }

    /// Records which routers are isolated: those that can't reach more of the others than the replicas tolerate, one of three or two of
    /// five.
    pub(super) fn record_isolation(&self) {
        let unavailable = self.unavailable.borrow();
        for router in 0..self.len() {
            let is_missing = |other: &usize| {
                unavailable.contains(other) || !self.is_open(router, *other) || !self.is_open(*other, router)
            };
            let missing = (0..self.len()).filter(|other| *other != router).filter(is_missing).count();
            let isolated = missing > self.spec.replicas / 2;
            self.history.record(Event::RouterIsolated { router, isolated });
        }
    }

    /// Whether one direction of a link between routers delivers bytes.
    fn is_open(&self, from: usize, to: usize) -> bool {
        let conditions = self.router_link(from, to).conditions();
        !conditions.cut && !conditions.black_hole
    }

    /// Removes all faults of the links between routers, and waits until the links are up; returns false on a time-out.
    pub fn heal(&self) -> bool {
        self.record_fault("links between routers are healed".into());
        let healthy = LinkConditions { delay_ms: self.default_delay_ms, ..LinkConditions::default() };
        self.router_links().for_each(|link| link.configure(|conditions| *conditions = healthy));
        // Until its links are up, a router learns nothing from the others, and still counts as isolated.
        let linked = self.wait_until_linked();
        self.record_isolation();
        linked
    }

    /// Waits until all active routers are linked to each other; returns false on a time-out.
    pub fn wait_until_linked(&self) -> bool {
        let active: Vec<usize> = self.active_routers().collect();
        let linked = |router: &usize| self.counter(*router, "peers_up") as usize + 1 >= active.len();
        !self.spec.fleet || wait_up_to(LINKED_WITHIN, || active.iter().all(linked))
    }

    /// Waits until the registers that a router lost with its disk are replicated to it again; returns false on a time-out.
    ///
    /// `before` has the table versions before the loss. A later table replaces the router's old folder by its new one. Routers adopt that table
    /// only after the registers were moved, so once all routers have adopted a later version, the registers are replicated.
    pub fn wait_until_replicated(&self, router: usize, before: &BTreeMap<usize, u64>) -> bool {
        let old_version = before.values().max().copied().unwrap_or(0);
        let all_later = || {
            let later =
                |r: usize| self.table_versions().get(&r).is_some_and(|version| *version > old_version);
            self.active_routers().all(later)
        };
        let replicated = !self.spec.fleet || wait_up_to(REPLICATED_WITHIN, all_later);
        if replicated {
            self.set_unavailable(router, false);
        }
        replicated
    }

    /// Waits until all active routers have a placement table: the fleet is bootstrapped.
    ///
    /// # Errors
    /// If a router has none in time; the error has the table versions of the others.
    pub fn wait_until_bootstrapped(&self, timeout: Duration) -> Result<(), String> {
        let all_have_tables = || self.active_routers().all(|r| self.counter(r, "table_version") > 0.0);
        if !self.spec.fleet || wait_up_to(timeout, all_have_tables) {
            return Ok(());
        }
        let versions = self.table_versions();
        Err(format!(
            "the fleet is not bootstrapped after {timeout:?}; table versions by router: {versions:?}"
        ))
    }

    /// The table version of each active router that has a table.
    pub fn table_versions(&self) -> BTreeMap<usize, u64> {
        let versions = self.active_routers().map(|r| (r, self.counter(r, "table_version") as u64));
        versions.filter(|(_, version)| *version > 0).collect()
    }

    fn active_routers(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.len()).filter(|r| self.routers[*r].is_active())
    }

    /// One of a router's counters; 0 if the router gives none.
    fn counter(&self, router: usize, name: &str) -> f64 {
        self.counters(router).get(name).copied().unwrap_or(0.0)
    }
}
