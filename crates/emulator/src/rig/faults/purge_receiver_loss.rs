//! The fault of a lost purge receiver: only one router receives a purge and is then lost with its disk, and all routers restart while the
//! change log is down. The other routers have to learn of the purge from the registers.

use super::{FaultInjector, SERVING_WITHIN};
use crate::rig::{Limits, Outcome};
use crate::standin::wait_up_to;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The deadline of the fault's reads, in milliseconds.
const READ_TIMEOUT_MS: u64 = 3_000;

impl FaultInjector<'_> {
    pub(super) fn lose_purge_receiver(&mut self, receiver: usize) {
        let routers = self.rig.len();
        self.last_object += 1;
        let object = self.last_object;
        let reader = (receiver + 1) % routers;
        if !self.read(reader, object) {
            self.unrecovered
                .push(format!("router {reader} serves no read of object {object} before its purge"));
        }
        self.purge_at(receiver, object);
        self.set_change_logs_down(true);
        let versions_before = self.rig.table_versions();
        let wiped = self.rig.kill_and_wipe(receiver);
        self.unrecovered.extend(wiped.err());
        self.all_but(receiver).into_iter().for_each(|router| self.rig.kill(router));
        (0..routers).for_each(|router| self.start_router(router));
        (0..routers).for_each(|router| self.wait_until_serving(router));
        for router in 0..routers {
            if !self.read(router, object) {
                let description =
                    format!("router {router} serves no read of object {object} after a restart without the change log");
                self.unrecovered.push(description);
            }
        }
        self.set_change_logs_down(false);
        self.wait_until_replicated(receiver, &versions_before);
        self.heal();
    }

    /// Purges an object at one router, and waits until the purge is replicated and has to take effect for clients.
    fn purge_at(&mut self, receiver: usize, object: u64) {
        let committed = |injector: &Self| injector.rig.counters(receiver).get("holds_kept").copied();
        let committed_before = committed(self);
        self.rig.purge(object, &[receiver]);
        let purged_at_ms = self.rig.history.now_ms();
        if self.rig.spec.fleet && committed_before.is_some() {
            let this = &*self;
            if !wait_up_to(SERVING_WITHIN, || committed(this) > committed_before) {
                self.unrecovered
                    .push(format!("router {receiver} does not replicate the purge of object {object}"));
            }
        }
        let effective_at_ms = purged_at_ms + Limits::default().purge_effect_ms;
        let remaining_ms = effective_at_ms.saturating_sub(self.rig.history.now_ms());
        std::thread::sleep(Duration::from_millis(remaining_ms));
    }

    fn set_change_logs_down(&self, down: bool) {
        self.rig.change_logs.iter().for_each(|log| log.down.store(down, Ordering::SeqCst));
    }

    /// Reads an object through a router; returns whether it was served.
    fn read(&mut self, router: usize, object: u64) -> bool {
        self.last_id += 1;
        let Ok(client) = self.rig.connect_client(router) else { return false };
        let request = client.read(&format!("{:016x}", self.last_id), object, READ_TIMEOUT_MS);
        let outcome = self.rig.history.wait_for_outcome(request, SERVING_WITHIN);
        matches!(outcome, Some(Some(Outcome::Served(_))))
    }
}
