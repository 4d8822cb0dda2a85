//! A router's process: its start, its turns, its disk, its end.

use super::{World, CLUSTER, TURN};
use crate::disk::Disk;
use crate::party::{PartyEvent, Start};
use crate::queue::What;
use crate::{micros, ms, Micros, No};
use basaltgw_types::link::{Hello, PROTOCOL_VERSION};
use basaltgw_types::{Incarnation, Member, TableHash, TableVersion};
use rand::RngExt;
use std::sync::Arc;

impl World<'_> {
    /// A turn of a process: what waits, what is due, and what has to last by then.
    pub(super) fn turn(&mut self, no: No) -> Result<(), String> {
        let now = self.queue.now();
        let host = &mut self.hosts[no];
        if host.next != now || host.waits {
            return Ok(());
        }
        host.next = Micros::MAX;
        if host.party.is_none() {
            return self.start(no);
        }
        for _ in 0..TURN {
            let Some(event) = self.hosts[no].inbox.pop_front() else { break };
            self.handle(no, event);
        }
        if self.hosts[no].party.as_ref().is_some_and(|p| p.due() <= ms(now)) {
            self.handle(no, PartyEvent::Due);
        }
        self.handle(no, PartyEvent::Settle);
        self.after(no);
        Ok(())
    }

    /// What comes next at a process: its disk, what waits, or what is due.
    fn after(&mut self, no: No) {
        let now = self.queue.now();
        let (least, most) = self.set.disk;
        let host = &mut self.hosts[no];
        let Some(party) = &host.party else { return };
        if !host.stores.is_empty() {
            host.waits = true;
            let takes = micros(least + (most - least) * self.rng.random::<f64>());
            return self.queue.put(now + takes, What::Disk(no, host.lives));
        }
        let due = match host.inbox.is_empty() {
            true => (party.due() * 1_000.0).ceil().min(1e15) as Micros,
            false => now,
        };
        let at = due.max(now + 1);
        if host.next > at {
            host.next = at;
            self.queue.put(at, What::Turn(no));
        }
    }

    pub(super) fn stored(&mut self, no: No, life: u32) {
        let host = &mut self.hosts[no];
        if host.lives != life || host.party.is_none() {
            return;
        }
        let Some((number, writes)) = host.stores.pop_front() else { return };
        host.disk.commit(writes);
        host.waits = false;
        self.links.counts.at(no, self.queue.now()).commits += 1;
        self.handle(no, PartyEvent::Stored(number, true));
        let now = self.queue.now();
        let host = &mut self.hosts[no];
        if host.stores.is_empty() {
            // The next turn: what came meanwhile, and what the commit has set free.
            host.next = now + 1;
            self.queue.put(now + 1, What::Turn(no));
        } else {
            self.after(no);
        }
    }

    /// A process starts.
    fn start(&mut self, no: No) -> Result<(), String> {
        let now = self.queue.now();
        let host = &mut self.hosts[no];
        let old = host.incarnation.is_some();
        let incarnation = *host.incarnation.get_or_insert_with(|| Incarnation(self.rng.random()));
        host.lives += 1;
        let seat = &self.fleet.seats[no];
        let me = Member { router: seat.router.clone(), incarnation };
        let draw: u128 = self.rng.random();
        let disk = &self.hosts[no].disk;
        let start = Start { now: ms(now), no, me: me.clone(), old, fleet: self.fleet, disk, draw };
        let room = self.out.capacity();
        let (found, out) = (self.found, &mut self.out);
        let mut begun = Err(String::new());
        let (time, bytes) = self.meter.work(&mut || begun = found(&start, out));
        let (party, table) = begun?;
        self.links.counts.state[no].0 = 0;
        let grown = bytes - self.taken(room);
        self.counted(no, time, grown);
        let hello = Hello {
            protocol: PROTOCOL_VERSION,
            cluster: Arc::from(CLUSTER),
            member: me,
            domain: seat.domain.clone(),
            table: table.unwrap_or((TableVersion(0), TableHash([0; 32]))),
        };
        self.links.start(no, hello, draw as u64);
        self.hosts[no].party = Some(party);
        self.checker.life(no);
        if !self.links.is_cut(no) {
            self.checker.clear(now, no);
        }
        self.act(no);
        self.after(no);
        Ok(())
    }

    /// A process ends, at once: what its disk had not taken is lost.
    pub(super) fn stop(&mut self, no: No, gone: bool, wiped: bool) {
        let host = &mut self.hosts[no];
        let life = host.party.take().is_some();
        host.inbox.clear();
        host.stores.clear();
        (host.waits, host.next) = (false, Micros::MAX);
        if wiped {
            (host.disk, host.incarnation) = (Disk::default(), None);
        }
        self.checker.unclear(no);
        if life {
            self.links.stop(&mut self.queue, self.fleet, no, gone);
        }
    }
}
