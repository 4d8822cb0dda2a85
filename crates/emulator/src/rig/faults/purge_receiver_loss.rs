//! A purge told to one router alone, which dies with its disk before all restart without discovery.

use super::{FaultInjector, MENDED};
use crate::rig::{Limits, Outcome, Rig};
use crate::standin::wait_up_to;
use std::sync::atomic::Ordering;
use std::time::Duration;

impl FaultInjector<'_> {
    /// Reads an object through a router; whether it was served.
    fn reads(&mut self, router: usize, object: u64) -> bool {
        self.ids += 1;
        let Ok(caller) = self.rig.connect_client(router) else { return false };
        let ask = caller.read(&format!("{:016x}", self.ids), object, 3_000);
        matches!(self.rig.history.wait_for_outcome(ask, MENDED), Some(Some(Outcome::Served(_))))
    }

    pub(super) fn lose_purge_receiver(&mut self, a: usize) {
        let n = self.rig.len();
        self.object += 1;
        let object = self.object;
        if !self.reads((a + 1) % n, object) {
            self.unrecovered.push("an object was not read before its purge".into());
        }
        let kept = |rig: &Rig| rig.counters(a).get("holds_kept").copied();
        let before = kept(self.rig);
        self.rig.purge(object, &[a]);
        let told = self.rig.history.now_ms();
        if self.rig.spec.fleet && before.is_some() {
            let rig = &*self.rig;
            if !wait_up_to(MENDED, || kept(rig) > before) {
                self.unrecovered.push(format!("router {a} does not keep a purge"));
            }
        }
        // From here on it holds, as for any client.
        let heeded = (told + Limits::default().purge_effect_ms).saturating_sub(self.rig.history.now_ms());
        std::thread::sleep(Duration::from_millis(heeded));
        self.rig.change_logs.iter().for_each(|l| l.down.store(true, Ordering::SeqCst));
        let versions = self.rig.table_versions();
        let gone = self.rig.kill_and_wipe(a);
        self.unrecovered.extend(gone.err());
        (0..n).filter(|r| *r != a).for_each(|r| self.rig.kill(r));
        (0..n).for_each(|r| self.begin(r));
        (0..n).for_each(|r| self.serves(r));
        for r in 0..n {
            if !self.reads(r, object) {
                self.unrecovered
                    .push(format!("router {r} does not read after it restarted without discovery"));
            }
        }
        self.rig.change_logs.iter().for_each(|l| l.down.store(false, Ordering::SeqCst));
        self.made_up(a, &versions);
        self.heals();
    }
}
