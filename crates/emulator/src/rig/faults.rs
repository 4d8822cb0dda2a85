//! Injects faults of links and processes into a rig, one after another: the next fault begins after the previous one has ended and the
//! routers have recovered.

mod kind;
mod purge_receiver_loss;
mod schedule;
mod table_faults;

pub use kind::FaultKind;
pub use schedule::{schedule, RandomFaults, ScheduledFault};

use super::link::ChunkFault;
use super::Rig;
use std::collections::BTreeMap;
use std::time::Duration;

/// A router has to serve again within this time after a fault ended.
const SERVING_WITHIN: Duration = Duration::from_secs(15);
/// The number of corrupted or duplicated chunks, or of resets, in one fault.
const REPETITIONS: u32 = 6;
/// The number of bytes that a throttled link delivers per tick.
const THROTTLED_BYTES_PER_TICK: usize = 48;
/// The range of delays of a slow link, in milliseconds.
const SLOW_LINK_DELAY_MS: (f64, f64) = (10.0, 90.0);
/// Where the request ids and objects of faults begin, so that the load uses none of them.
const FIRST_ID: u64 = 0xfa_u64 << 48;

/// Injects faults into a rig.
pub struct FaultInjector<'a> {
    rig: &'a mut Rig,
    /// How many faults of each kind were injected, by the kind's name.
    pub injected: BTreeMap<&'static str, u64>,
    /// Descriptions of what failed or did not recover in time.
    pub unrecovered: Vec<String>,
    /// The counters of routers before they were killed.
    pub counters_before_kill: Vec<BTreeMap<String, f64>>,
    /// The last object that [`FaultKind::LosePurgeReceiver`] purged.
    last_object: u64,
    /// The id of the last read that a fault made.
    last_id: u64,
}

impl<'a> FaultInjector<'a> {
    /// Creates an injector of faults into this rig.
    pub fn new(rig: &'a mut Rig) -> Self {
        Self {
            rig,
            injected: BTreeMap::new(),
            unrecovered: Vec::new(),
            counters_before_kill: Vec::new(),
            last_object: FIRST_ID,
            last_id: FIRST_ID,
        }
    }

    /// The rig.
    pub fn rig(&mut self) -> &mut Rig {
        self.rig
    }

    /// Injects a fault, waits until it ends, and waits for the recovery.
    pub fn inject(&mut self, fault: &ScheduledFault) {
        *self.injected.entry(fault.kind.name()).or_insert(0) += 1;
        let routers = self.rig.len();
        let router = fault.router % routers;
        let next = (router + 1) % routers;
        let other = fault.other_router.map(|other| other % routers).filter(|other| *other != router);
        let other = other.unwrap_or(next);
        match fault.kind {
            FaultKind::Kill | FaultKind::KillAndWipe | FaultKind::ChangeAddress => {
                self.kill_and_restart(router, fault);
            }
            FaultKind::KillHalf => self.kill_half(router, fault),
            FaultKind::Suspend => self.suspend(router, fault),
            FaultKind::DiskFull => self.fill_disk(router, fault),
            FaultKind::Partition => {
                self.rig.partition(router, &self.all_but(router));
                std::thread::sleep(fault.duration());
                self.heal();
            }
            FaultKind::PartitionOneWay => {
                self.rig.partition_one_way(router, other);
                std::thread::sleep(fault.duration());
                self.heal();
            }
            FaultKind::BlackHole | FaultKind::Throttle | FaultKind::Delay => {
                self.degrade_link(router, other, fault);
            }
            FaultKind::Corrupt => self.damage_chunks(router, other, fault, ChunkFault::Corrupt),
            FaultKind::Duplicate => self.damage_chunks(router, other, fault, ChunkFault::Duplicate),
            FaultKind::Reset => self.reset_link(router, other, fault),
            FaultKind::LosePurgeReceiver => self.lose_purge_receiver(router),
            FaultKind::ReplaceRules => {
                let replaced = self.rig.replace_rules(fault.rules.as_deref().unwrap_or_default());
                self.unrecovered.extend(replaced.err());
                std::thread::sleep(fault.duration());
            }
            FaultKind::RulesAtOneRouter => self.change_rules_at_one_router(router, fault),
            FaultKind::ConflictingRules => self.change_rules_at_two_routers(router, other, fault),
            FaultKind::RulesWhileSuspended | FaultKind::RulesWhilePartitioned => {
                self.change_rules_without(router, other, fault);
            }
        }
    }

    fn all_but(&self, router: usize) -> Vec<usize> {
        (0..self.rig.len()).filter(|other| *other != router).collect()
    }

    fn kill_and_restart(&mut self, router: usize, fault: &ScheduledFault) {
        let versions_before = self.rig.table_versions();
        self.counters_before_kill.push(self.rig.counters(router));
        let killed = if fault.kind == FaultKind::KillAndWipe {
            self.rig.kill_and_wipe(router)
        } else {
            self.rig.kill(router);
            Ok(())
        };
        self.unrecovered.extend(killed.err());
        if fault.kind == FaultKind::ChangeAddress {
            let changed = self.rig.change_peer_address(router);
            self.unrecovered.extend(changed.err());
        }
        std::thread::sleep(fault.duration());
        self.start_router(router);
        self.wait_until_serving(router);
        if fault.kind == FaultKind::KillAndWipe {
            self.wait_until_replicated(router, &versions_before);
        }
        self.heal();
    }

    /// Kills half of all routers, beginning with `first`.
    fn kill_half(&mut self, first: usize, fault: &ScheduledFault) {
        let routers = self.rig.len();
        let half: Vec<usize> = (0..routers / 2).map(|i| (first + i) % routers).collect();
        half.iter().for_each(|router| self.rig.kill(*router));
        std::thread::sleep(fault.duration());
        half.iter().for_each(|router| self.start_router(*router));
        half.iter().for_each(|router| self.wait_until_serving(*router));
        self.heal();
    }

    fn suspend(&mut self, router: usize, fault: &ScheduledFault) {
        self.rig.suspend(router);
        std::thread::sleep(fault.duration());
        self.rig.resume(router);
        self.wait_until_serving(router);
        self.heal();
    }

    fn fill_disk(&mut self, router: usize, fault: &ScheduledFault) {
        self.rig.set_disk_full(router, true);
        std::thread::sleep(fault.duration());
        self.rig.set_disk_full(router, false);
        // The router is restarted, because only then it reads the store that the full disk left.
        self.rig.kill(router);
        self.start_router(router);
        self.wait_until_serving(router);
        self.heal();
    }

    /// Makes both directions of a link a black hole, throttled or slow.
    fn degrade_link(&mut self, router: usize, other: usize, fault: &ScheduledFault) {
        self.record_link_fault(router, other, fault);
        for link in [self.rig.router_link(router, other), self.rig.router_link(other, router)] {
            link.configure(|conditions| match fault.kind {
                FaultKind::BlackHole => conditions.black_hole = true,
                FaultKind::Throttle => conditions.bytes_per_tick = Some(THROTTLED_BYTES_PER_TICK),
                _ => conditions.delay_ms = SLOW_LINK_DELAY_MS,
            });
        }
        std::thread::sleep(fault.duration());
        self.heal();
    }

    fn damage_chunks(&self, from: usize, to: usize, fault: &ScheduledFault, chunk_fault: ChunkFault) {
        self.record_link_fault(from, to, fault);
        (0..REPETITIONS).for_each(|_| self.rig.router_link(from, to).inject(chunk_fault));
        std::thread::sleep(fault.duration());
    }

    fn reset_link(&self, router: usize, other: usize, fault: &ScheduledFault) {
        self.record_link_fault(router, other, fault);
        for _ in 0..REPETITIONS {
            self.rig.router_link(router, other).reset_connections();
            std::thread::sleep(fault.duration() / REPETITIONS);
        }
    }

    fn record_link_fault(&self, router: usize, other: usize, fault: &ScheduledFault) {
        let kind = fault.kind.name();
        self.rig.record_fault(format!("{kind} on the link between routers {router} and {other}"));
    }

    fn start_router(&mut self, router: usize) {
        let started = self.rig.start_router(router);
        self.unrecovered.extend(started.err());
    }

    fn wait_until_serving(&mut self, router: usize) {
        if !self.rig.wait_until_serving(router, SERVING_WITHIN) {
            self.unrecovered.push(format!("router {router} does not serve again"));
        }
    }

    fn heal(&mut self) {
        if !self.rig.heal() {
            self.unrecovered.push("the links between routers are not up again after they were healed".into());
        }
    }

    fn wait_until_replicated(&mut self, router: usize, versions_before: &BTreeMap<usize, u64>) {
        if self.rig.spec.fleet && !self.rig.wait_until_replicated(router, versions_before) {
            let versions = self.rig.table_versions();
            let registers = self.rig.counters(router).get("holds").copied();
            self.unrecovered.push(format!(
                "the registers that router {router} lost with its disk are not replicated again: \
                 table versions {versions_before:?} before, {versions:?} now, registers {registers:?}"
            ));
        }
    }
}

#[cfg(test)]
mod tests;
