//! A purge told to one router alone, which dies with its disk before all restart without discovery.

use super::{Player, MENDED};
use crate::rig::{Final, Limits, Rig};
use crate::standin::wait_up_to;
use std::sync::atomic::Ordering;
use std::time::Duration;

impl Player<'_> {
    /// Reads an object through a router; whether it was served.
    fn reads(&mut self, router: usize, object: u64) -> bool {
        self.ids += 1;
        let Ok(caller) = self.rig.caller(router) else { return false };
        let ask = caller.read(&format!("{:016x}", self.ids), object, 3_000);
        matches!(self.rig.history.end(ask, MENDED), Some(Some(Final::Served(_))))
    }

    pub(super) fn dark(&mut self, a: usize) {
        let n = self.rig.len();
        self.object += 1;
        let object = self.object;
        if !self.reads((a + 1) % n, object) {
            self.unmended.push("an object was not read before its purge".into());
        }
        let kept = |rig: &Rig| rig.counters(a).get("holds_kept").copied();
        let before = kept(self.rig);
        self.rig.purge(object, &[a]);
        let told = self.rig.history.now();
        if self.rig.spec.fleet && before.is_some() {
            let rig = &*self.rig;
            if !wait_up_to(MENDED, || kept(rig) > before) {
                self.unmended.push(format!("router {a} does not keep a purge"));
            }
        }
        // From here on it holds, as for any client.
        let heeded = (told + Limits::default().heed_ms).saturating_sub(self.rig.history.now());
        std::thread::sleep(Duration::from_millis(heeded));
        self.rig.logs.iter().for_each(|l| l.down.store(true, Ordering::SeqCst));
        let versions = self.rig.versions();
        let gone = self.rig.kill_wiped(a);
        self.unmended.extend(gone.err());
        (0..n).filter(|r| *r != a).for_each(|r| self.rig.kill(r));
        (0..n).for_each(|r| self.begin(r));
        (0..n).for_each(|r| self.serves(r));
        for r in 0..n {
            if !self.reads(r, object) {
                self.unmended.push(format!("router {r} does not read after it restarted without discovery"));
            }
        }
        self.rig.logs.iter().for_each(|l| l.down.store(false, Ordering::SeqCst));
        self.made_up(a, &versions);
        self.heals();
    }
}
