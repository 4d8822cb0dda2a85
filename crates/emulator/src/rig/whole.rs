//! Which routers a fleet has to do without, and when it is whole again: links up, copies made up.

use super::relay::Shape;
use super::{Rig, Seen};
use crate::standin::wait_up_to;
use std::collections::BTreeMap;
use std::time::Duration;

/// Links between routers have to be up again within this time after a cut or a start.
pub const JOINED: Duration = Duration::from_secs(10);
/// Copies of what a lost disk had have to be made up again within this time after the router has come back.
pub const MADE_UP: Duration = Duration::from_secs(20);

impl Rig {
    /// A router does no longer keep what it promised, or does again.
    pub(super) fn away(&self, router: usize, away: bool) {
        {
            let mut all = self.away.borrow_mut();
            if away {
                all.insert(router);
            } else {
                all.remove(&router);
            }
        }
        self.apart();
    }

    /// Keeps which routers miss more others than the copies make up for: one of three copies, two of five.
    pub(super) fn apart(&self) {
        let away = self.away.borrow();
        for r in 0..self.len() {
            let whole = |a: usize, b: usize| {
                let now = self.between(a, b).now();
                !now.cut && !now.hole
            };
            let misses = |o: &usize| away.contains(o) || !whole(r, *o) || !whole(*o, r);
            let missed = (0..self.len()).filter(|o| *o != r).filter(misses).count();
            self.history.see(Seen::Apart(r, missed > self.spec.copies / 2));
        }
    }

    /// All links between routers carry as usual again, and come up: true if they did.
    pub fn heal(&self) -> bool {
        self.fault("links between routers are healed".into());
        self.routers().for_each(|flow| flow.shape(|s| *s = Shape { delay: self.usual, ..Shape::default() }));
        // A router cannot know better before its links are up.
        let joined = self.joined();
        self.apart();
        joined
    }

    /// Waits until all routers that run reach each other.
    pub fn joined(&self) -> bool {
        let running: Vec<usize> = (0..self.len()).filter(|r| self.seats[*r].goes_on()).collect();
        let up = |r: &usize| self.count(*r, "peers_up") as usize + 1 >= running.len();
        !self.spec.fleet || wait_up_to(JOINED, || running.iter().all(up))
    }

    /// Waits until what a router's lost disk had is made up again, since a time when the tables' versions were such: all go by a later table, which
    /// has the router's new folder in its place. The version changes only when the move is over.
    pub fn made_up(&self, router: usize, before: &BTreeMap<usize, u64>) -> bool {
        let was = before.values().max().copied().unwrap_or(0);
        let running = || (0..self.len()).filter(|r| self.seats[*r].goes_on());
        let later = || running().all(|r| self.versions().get(&r).is_some_and(|v| *v > was));
        let made_up = !self.spec.fleet || wait_up_to(MADE_UP, later);
        if made_up {
            self.away(router, false);
        }
        made_up
    }

    /// Waits until all routers that run go by a table: the fleet is founded. If not in time, says which do.
    ///
    /// # Errors
    /// With each router's epoch.
    pub fn founded(&self, patience: Duration) -> Result<(), String> {
        let all = || {
            (0..self.len()).filter(|r| self.seats[*r].goes_on()).all(|r| self.count(r, "table_version") > 0.0)
        };
        if !self.spec.fleet || wait_up_to(patience, all) {
            return Ok(());
        }
        Err(format!("the fleet is not founded after {patience:?}, versions by router: {:?}", self.versions()))
    }

    /// The versions of the tables by which routers go, of those that have one.
    pub fn versions(&self) -> BTreeMap<usize, u64> {
        let running = (0..self.len()).filter(|r| self.seats[*r].goes_on());
        let all = running.map(|r| (r, self.count(r, "table_version") as u64));
        all.filter(|(_, version)| *version > 0).collect()
    }

    fn count(&self, router: usize, name: &str) -> f64 {
        self.counters(router).get(name).copied().unwrap_or(0.0)
    }
}
