//! What happens to a fleet from outside: purges, their log, troubles.

use super::{Log, World, GROUPS};
use crate::party::PartyEvent;
use crate::queue::What;
use crate::trouble::{Trouble, What as Wrong};
use crate::{micros, ms, Micros, No};
use basaltgw_control::Purge;
use basaltgw_simulator::Rng;
use rand::RngExt;

impl World<'_> {
    pub(super) fn purge(&mut self, word: usize) {
        let now = self.queue.now();
        let (rate, (_, to)) = self.set.purges;
        let next = now + (1_000_000.0 / rate) as Micros;
        if next < micros(to) {
            self.queue.put(next, What::Purge(word + 1));
        }
        let (group, time) = (word as u64 % GROUPS, ms(now) as u64);
        self.purges.push(Purge { group, object: Some(word as u64), time });
        self.checker.made(now);
        let (log, (least, most)) = self.set.log;
        let later = |rng: &mut Rng| now + micros(least + (most - least) * rng.random::<f64>());
        let many = self.hosts.len();
        match log {
            Log::Everyone(misses) => {
                for no in 0..many {
                    let at = later(&mut self.rng);
                    if self.rng.random::<f64>() >= misses {
                        self.queue.put(at, What::Log(no, word));
                    }
                }
            }
            Log::Uneven { misses, late, most } => {
                for no in 0..many {
                    let (at, part) = (later(&mut self.rng), self.rng.random::<f64>());
                    let after =
                        if part < misses + late { micros(most * self.rng.random::<f64>()) } else { 0 };
                    if part >= misses {
                        self.queue.put(at + after, What::Log(no, word));
                    }
                }
            }
            Log::Only(no) => {
                let at = later(&mut self.rng);
                self.queue.put(at, What::Log(no.min(many - 1), word));
            }
            Log::Looks(every) => {
                let every = micros(every).max(1);
                for (no, part) in self.feeds.iter().enumerate() {
                    let phase = (part * every as f64) as Micros;
                    let look = (now + every - phase).div_ceil(every) * every + phase - every;
                    self.queue.put(look.max(now) + micros(least), What::Log(no, word));
                }
            }
            Log::Controls => {
                for no in self.controls().collect::<Vec<_>>() {
                    let at = later(&mut self.rng);
                    self.queue.put(at, What::Log(no, word));
                }
            }
            Log::One => {
                let fits = |no: &No| self.hosts[*no].party.is_some() && !self.links.is_cut(*no);
                let from = self.rng.random_range(0..many);
                let one = (from..many).chain(0..from).find(fits).unwrap_or(from);
                let at = later(&mut self.rng);
                self.queue.put(at, What::Log(one, word));
            }
        }
    }

    pub(super) fn log(&mut self, no: No, word: usize) {
        let host = &mut self.hosts[no];
        if host.party.is_none() || host.deaf > 0 {
            return;
        }
        let Some(purge) = self.purges.get(word).copied() else { return };
        host.inbox.push_back(PartyEvent::Heard(purge));
        self.wake(no);
    }

    pub(super) fn trouble(&mut self, no: usize) {
        let now = self.queue.now();
        let Some((Trouble { at, what }, cut)) = self.troubles.get(no).cloned() else { return };
        let begins = now == at;
        let mut again = |lasts: Micros| self.queue.put(now + lasts.max(1), What::Trouble(no));
        match what {
            Wrong::Restart(router, lasts) | Wrong::Replace(router, lasts) | Wrong::Vanish(router, lasts)
                if begins =>
            {
                again(lasts);
                let (gone, wiped) = (!matches!(what, Wrong::Restart(..)), matches!(what, Wrong::Replace(..)));
                self.stop(router, gone, wiped);
            }
            Wrong::Restart(router, _) | Wrong::Replace(router, _) | Wrong::Vanish(router, _) => {
                self.links.back(&mut self.queue, self.fleet, router);
                if self.hosts[router].party.is_none() {
                    self.hosts[router].next = now;
                    self.queue.put(now, What::Turn(router));
                }
            }
            Wrong::Cut(who, ways, lasts) if begins => {
                again(lasts);
                self.troubles[no].1 = self.links.cut(&mut self.queue, &who, ways);
                who.into_iter().for_each(|router| self.checker.unclear(router));
            }
            Wrong::Cut(who, ..) => {
                cut.into_iter().for_each(|cut| self.links.heal(&mut self.queue, cut));
                for router in who {
                    if self.hosts[router].party.is_some() && !self.links.is_cut(router) {
                        self.checker.clear(now, router);
                    }
                }
            }
            Wrong::Deaf(who, lasts) if begins => {
                again(lasts);
                who.into_iter().for_each(|router| self.hosts[router].deaf += 1);
            }
            Wrong::Deaf(who, _) => {
                who.into_iter().for_each(|router| self.hosts[router].deaf -= 1);
            }
        }
    }
}
