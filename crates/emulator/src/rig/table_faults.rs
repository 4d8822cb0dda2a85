//! Faults of tables: rules changed at one router, by two operators at once, and while a router that is needed is stopped or cut off.

use super::faults::{FaultInjector, FaultKind, ScheduledFault};
use super::Rig;
use crate::standin::wait_up_to;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A router has to have read its files again within this time.
const READ: Duration = Duration::from_secs(5);
/// All routers have to go by a new table within this time.
const ADOPTED: Duration = Duration::from_secs(15);
/// A table that does not come on has to be taken back within this time; routers give one up after 6 s, and a lost router after 10 s.
const TAKEN_BACK: Duration = Duration::from_millis(9_500);
/// Counters that say what became of tables.
const TABLES: [&str; 4] = ["tables_adopted", "tables_taken_back", "tables_refused", "members_replaced"];

impl Rig {
    /// Replaces the rules' file, and has one router read it: waits until it has.
    ///
    /// # Errors
    /// If there is no rules' file, it can't be written, or the router does not read it.
    fn rules_at(&mut self, router: usize, text: &str) -> Result<(), String> {
        let file = self.rules.as_ref().ok_or("this rig has no rules' file")?;
        std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        self.record_fault(format!("the rules' file is replaced, and router {router} reads it"));
        let read = |rig: &Self| rig.counters(router).get("reloads").copied();
        let before = read(self);
        self.routers[router].reload();
        let rig = &*self;
        if wait_up_to(READ, || read(rig) > before) {
            Ok(())
        } else {
            Err(format!("router {router} does not read its files again"))
        }
    }

    /// What all routers counted of tables, added up.
    fn tables(&self, name: &str) -> f64 {
        (0..self.len()).filter_map(|r| self.counters(r).get(name).copied()).sum()
    }

    /// Waits until all routers go by one table later than this version.
    fn all_later(&self, than: u64) -> bool {
        wait_up_to(ADOPTED, || {
            let versions = self.table_versions();
            let different: BTreeSet<u64> = versions.values().copied().collect();
            versions.len() == self.len() && different.len() == 1 && different.iter().all(|v| *v > than)
        })
    }

    /// FaultKind became of tables: the most that one router saw of each, what routers counted before they were killed with it; and how many
    /// do not go by the last version (all, if there is none), once they had the time to learn of it.
    pub(super) fn of_tables(&self, lost: &[BTreeMap<String, f64>]) -> BTreeMap<String, f64> {
        let now: Vec<_> = (0..self.len()).map(|r| self.counters(r)).collect();
        let most = |name: &str| {
            let seen = now.iter().chain(lost).filter_map(|c| c.get(name).copied());
            // Each refusal and replacement is one router's own; what was adopted or taken back is seen by all.
            if ["tables_refused", "members_replaced"].contains(&name) {
                seen.fold(0.0, |all, n| all + n)
            } else {
                seen.fold(0.0, f64::max)
            }
        };
        let mut all: BTreeMap<_, _> = TABLES.map(|name| (name.to_string(), most(name))).into();
        let behind = || {
            let versions = self.table_versions();
            let last = versions.values().max().copied();
            self.len() - versions.values().filter(|v| Some(**v) == last).count()
        };
        if self.spec.fleet {
            wait_up_to(ADOPTED, || behind() == 0);
        }
        all.insert("routers_behind".into(), behind() as f64);
        all.insert("tables_last".into(), self.table_versions().into_values().max().unwrap_or(0) as f64);
        all
    }
}

fn lasts(m: &ScheduledFault) {
    std::thread::sleep(Duration::from_secs_f64(m.duration_ms.max(0.0) / 1000.0));
}

impl FaultInjector<'_> {
    fn rules_at(&mut self, router: usize, text: Option<&String>) {
        let said = self.rig.rules_at(router, text.map_or("", String::as_str));
        self.unrecovered.extend(said.err());
    }

    /// Waits until all go by a later table; without a fleet as long as is said.
    fn adopted(&mut self, m: &ScheduledFault, before: u64) {
        if !self.rig.spec.fleet {
            lasts(m);
        } else if !self.rig.all_later(before) {
            let words =
                format!("routers do not go by one table after {before}: {:?}", self.rig.table_versions());
            self.unrecovered.push(words);
        }
    }

    fn last_version(&self) -> u64 {
        self.rig.table_versions().into_values().max().unwrap_or(0)
    }

    pub(super) fn rules_at_one_router(&mut self, a: usize, m: &ScheduledFault) {
        let before = self.last_version();
        self.rules_at(a, m.rules.as_ref());
        self.adopted(m, before);
    }

    pub(super) fn conflicting_rules(&mut self, a: usize, b: usize, m: &ScheduledFault) {
        let before = self.last_version();
        self.rules_at(a, m.rules.as_ref());
        self.rules_at(b, m.other_rules.as_ref());
        self.adopted(m, before);
    }

    pub(super) fn rules_without_quorum(&mut self, a: usize, b: usize, m: &ScheduledFault) {
        let before = self.rig.tables("tables_taken_back");
        let stops = m.kind == FaultKind::RulesWhileSuspended;
        if stops {
            self.rig.suspend(b);
        } else {
            let others: Vec<usize> = (0..self.rig.len()).filter(|o| *o != b).collect();
            self.rig.partition(b, &others);
        }
        self.rules_at(a, m.rules.as_ref());
        let rig = &*self.rig;
        if !rig.spec.fleet {
            lasts(m);
        } else if !wait_up_to(TAKEN_BACK, || rig.tables("tables_taken_back") > before) {
            self.unrecovered.push(format!("the table that router {a} offered is not taken back"));
        }
        if stops {
            self.rig.resume(b);
            self.serves(b);
        }
        self.heals();
    }
}
