//! Which routers a fleet has to do without, and when it is whole again: links up, copies made up.

use super::relay::LinkConditions;
use super::{Event, Rig};
use crate::standin::wait_up_to;
use std::collections::BTreeMap;
use std::time::Duration;

/// Links between routers have to be up again within this time after a cut or a start.
pub const JOINED: Duration = Duration::from_secs(10);
/// Copies of what a lost disk had have to be made up again within this time after the router has come back.
pub const MADE_UP: Duration = Duration::from_secs(20);

impl Rig {
    /// A router does no longer keep what it promised, or does again.
    pub(super) fn set_unavailable(&self, router: usize, away: bool) {
        {
            let mut all = self.unavailable.borrow_mut();
            if away {
                all.insert(router);
            } else {
                all.remove(&router);
            }
        }
        self.record_isolation();
    }

    /// Keeps which routers miss more others than the copies make up for: one of three copies, two of five.
    pub(super) fn record_isolation(&self) {
        let away = self.unavailable.borrow();
        for r in 0..self.len() {
            let whole = |a: usize, b: usize| {
                let now = self.router_link(a, b).conditions();
                !now.cut && !now.black_hole
            };
            let misses = |o: &usize| away.contains(o) || !whole(r, *o) || !whole(*o, r);
            let missed = (0..self.len()).filter(|o| *o != r).filter(misses).count();
            self.history
                .record(Event::RouterIsolated { router: r, isolated: missed > self.spec.replicas / 2 });
        }
    }

    /// All links between routers carry as usual again, and come up: true if they did.
    pub fn heal(&self) -> bool {
        self.record_fault("links between routers are healed".into());
        self.router_links().for_each(|flow| {
            flow.configure(|s| {
                *s = LinkConditions { delay_ms: self.default_delay, ..LinkConditions::default() }
            })
        });
        // A router cannot know better before its links are up.
        let joined = self.wait_until_linked();
        self.record_isolation();
        joined
    }

    /// Waits until all routers that run reach each other.
    pub fn wait_until_linked(&self) -> bool {
        let running: Vec<usize> = (0..self.len()).filter(|r| self.routers[*r].is_active()).collect();
        let up = |r: &usize| self.count(*r, "peers_up") as usize + 1 >= running.len();
        !self.spec.fleet || wait_up_to(JOINED, || running.iter().all(up))
    }

    /// Waits until what a router's lost disk had is made up again, since a time when the tables' versions were such: all go by a later table, which
    /// has the router's new folder in its place. The version changes only when the move is over.
    pub fn wait_until_replicated(&self, router: usize, before: &BTreeMap<usize, u64>) -> bool {
        let was = before.values().max().copied().unwrap_or(0);
        let running = || (0..self.len()).filter(|r| self.routers[*r].is_active());
        let later = || running().all(|r| self.table_versions().get(&r).is_some_and(|v| *v > was));
        let made_up = !self.spec.fleet || wait_up_to(MADE_UP, later);
        if made_up {
            self.set_unavailable(router, false);
        }
        made_up
    }

    /// Waits until all routers that run go by a table: the fleet is founded. If not in time, says which do.
    ///
    /// # Errors
    /// With each router's epoch.
    pub fn wait_until_bootstrapped(&self, patience: Duration) -> Result<(), String> {
        let all = || {
            (0..self.len())
                .filter(|r| self.routers[*r].is_active())
                .all(|r| self.count(r, "table_version") > 0.0)
        };
        if !self.spec.fleet || wait_up_to(patience, all) {
            return Ok(());
        }
        Err(format!(
            "the fleet is not founded after {patience:?}, versions by router: {:?}",
            self.table_versions()
        ))
    }

    /// The versions of the tables by which routers go, of those that have one.
    pub fn table_versions(&self) -> BTreeMap<usize, u64> {
        let running = (0..self.len()).filter(|r| self.routers[*r].is_active());
        let all = running.map(|r| (r, self.count(r, "table_version") as u64));
        all.filter(|(_, version)| *version > 0).collect()
    }

    fn count(&self, router: usize, name: &str) -> f64 {
        self.counters(router).get(name).copied().unwrap_or(0.0)
    }
}
