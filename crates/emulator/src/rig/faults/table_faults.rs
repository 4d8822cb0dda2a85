//! Faults of placement tables: rules changed at one router, by two operators at the same time, and while a router that the change needs is
//! suspended or partitioned.

use super::{FaultInjector, FaultKind, ScheduledFault};
use crate::rig::Rig;
use crate::standin::wait_up_to;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A router has to reload its files within this time.
const RELOADED_WITHIN: Duration = Duration::from_secs(5);
/// All routers have to adopt a new table within this time.
const ADOPTED_WITHIN: Duration = Duration::from_secs(15);
/// A table that makes no progress has to be withdrawn within this time. It is between the 6 s after which routers withdraw a table, and the
/// 10 s after which they consider a silent router lost.
const WITHDRAWN_WITHIN: Duration = Duration::from_millis(9_500);
/// Counters of tables that become figures.
const TABLE_COUNTERS: [&str; 4] =
    ["tables_adopted", "tables_taken_back", "tables_refused", "members_replaced"];
/// Those of [`TABLE_COUNTERS`] that count a router's own events, and are added up. The others count events of the fleet, which each router
/// counts, so the highest value is taken.
const OWN_COUNTERS: [&str; 2] = ["tables_refused", "members_replaced"];

impl Rig {
    /// Replaces the rules file, and waits until one router has reloaded it.
    fn replace_rules_at(&mut self, router: usize, text: &str) -> Result<(), String> {
        self.write_rules_file(text)?;
        self.record_fault(format!("the rules file is replaced, and router {router} reloads it"));
        let reloads = |rig: &Self| rig.counters(router).get("reloads").copied();
        let reloads_before = reloads(self);
        self.routers[router].reload();
        let rig = &*self;
        if wait_up_to(RELOADED_WITHIN, || reloads(rig) > reloads_before) {
            Ok(())
        } else {
            Err(format!("router {router} does not reload its files"))
        }
    }

    fn sum_counter(&self, name: &str) -> f64 {
        (0..self.len()).filter_map(|router| self.counters(router).get(name).copied()).sum()
    }

    fn last_table_version(&self) -> u64 {
        self.table_versions().into_values().max().unwrap_or(0)
    }

    /// Waits until all routers have the same table, of a later version than this; returns false on a time-out.
    fn wait_for_table_after(&self, version: u64) -> bool {
        wait_up_to(ADOPTED_WITHIN, || {
            let versions = self.table_versions();
            let distinct: BTreeSet<u64> = versions.values().copied().collect();
            versions.len() == self.len() && distinct.len() == 1 && distinct.iter().all(|v| *v > version)
        })
    }

    /// The number of routers that do not have the last table version; all of them if there is no table.
    fn routers_behind(&self) -> usize {
        let versions = self.table_versions();
        let last = versions.values().max().copied();
        self.len() - versions.values().filter(|version| Some(**version) == last).count()
    }

    /// The figures of tables, from the routers' counters now and before they were killed. Waits until all routers have the last version.
    pub(in crate::rig) fn table_figures(
        &self,
        counters_before_kill: &[BTreeMap<String, f64>],
    ) -> BTreeMap<String, f64> {
        let counters_now: Vec<_> = (0..self.len()).map(|router| self.counters(router)).collect();
        let figure = |name: &str| {
            let values = counters_now.iter().chain(counters_before_kill).filter_map(|c| c.get(name).copied());
            if OWN_COUNTERS.contains(&name) {
                values.fold(0.0, |sum, value| sum + value)
            } else {
                values.fold(0.0, f64::max)
            }
        };
        let mut figures: BTreeMap<_, _> = TABLE_COUNTERS.map(|name| (name.to_string(), figure(name))).into();
        if self.spec.fleet {
            wait_up_to(ADOPTED_WITHIN, || self.routers_behind() == 0);
        }
        figures.insert("routers_behind".into(), self.routers_behind() as f64);
        figures.insert("tables_last".into(), self.last_table_version() as f64);
        figures
    }
}

impl FaultInjector<'_> {
    pub(super) fn change_rules_at_one_router(&mut self, router: usize, fault: &ScheduledFault) {
        let version_before = self.rig.last_table_version();
        self.replace_rules_at(router, fault.rules.as_deref());
        self.wait_for_table_after(version_before, fault);
    }

    pub(super) fn change_rules_at_two_routers(
        &mut self,
        router: usize,
        other: usize,
        fault: &ScheduledFault,
    ) {
        let version_before = self.rig.last_table_version();
        self.replace_rules_at(router, fault.rules.as_deref());
        self.replace_rules_at(other, fault.other_rules.as_deref());
        self.wait_for_table_after(version_before, fault);
    }

    /// Changes the rules at a router while another one is suspended or partitioned, until the table is withdrawn.
    pub(super) fn change_rules_without(&mut self, router: usize, missing: usize, fault: &ScheduledFault) {
        let withdrawn = |rig: &Rig| rig.sum_counter("tables_taken_back");
        let withdrawn_before = withdrawn(self.rig);
        let suspend = fault.kind == FaultKind::RulesWhileSuspended;
        if suspend {
            self.rig.suspend(missing);
        } else {
            self.rig.partition(missing, &self.all_but(missing));
        }
        self.replace_rules_at(router, fault.rules.as_deref());
        let rig = &*self.rig;
        if !rig.spec.fleet {
            std::thread::sleep(fault.duration());
        } else if !wait_up_to(WITHDRAWN_WITHIN, || withdrawn(rig) > withdrawn_before) {
            self.unrecovered.push(format!(
                "the table that router {router} proposed without router {missing} is not withdrawn"
            ));
        }
        if suspend {
            self.rig.resume(missing);
            self.wait_until_serving(missing);
        }
        self.heal();
    }

    fn replace_rules_at(&mut self, router: usize, text: Option<&str>) {
        let replaced = self.rig.replace_rules_at(router, text.unwrap_or_default());
        self.unrecovered.extend(replaced.err());
    }

    /// Waits until all routers have a later table; without a fleet, for the duration of the fault.
    fn wait_for_table_after(&mut self, version: u64, fault: &ScheduledFault) {
        if !self.rig.spec.fleet {
            std::thread::sleep(fault.duration());
        } else if !self.rig.wait_for_table_after(version) {
            let versions = self.rig.table_versions();
            let description =
                format!("routers have not adopted one table after version {version}: {versions:?}");
            self.unrecovered.push(description);
        }
    }
}
