//! A party decides: it is measured, and what it wants is done.

use super::World;
use crate::party::{PartyAction, PartyEvent, Word};
use crate::{ms, No};
use basaltgw_control::Purge;
use basaltgw_storage::Write;

impl World<'_> {
    /// Lets a party decide, measures it, and does what it wants.
    pub(super) fn handle(&mut self, no: No, event: PartyEvent) {
        let now = self.queue.now();
        let Some(party) = &mut self.hosts[no].party else { return };
        if let PartyEvent::Heard(Purge { object: Some(word), .. }) = &event {
            // Not before: a word of another router may have come first, and is news then.
            self.checker.heard(now, no, *word as usize);
        }
        let (brought, room) = (brought(&event), self.out.capacity());
        let (mut event, out) = (Some(event), &mut self.out);
        let mut work = || event.take().into_iter().for_each(|event| party.handle(ms(now), event, out));
        let (time, bytes) = self.meter.work(&mut work);
        let grown = bytes + brought - self.taken(room);
        self.counted(no, time, grown);
        self.act(no);
    }

    /// Bytes of what goes out, which are not the party's any more.
    pub(super) fn taken(&self, room: usize) -> i64 {
        let mut bytes = (self.out.capacity() - room) * size_of::<PartyAction>();
        for act in &self.out {
            bytes += match act {
                PartyAction::Send { body, .. } => body.capacity(),
                PartyAction::Store(_, writes) => {
                    let of = |w: &Write| match w {
                        Write::Put(_, key, value) => key.capacity() + value.capacity(),
                        Write::Remove(_, key) => key.capacity(),
                    };
                    writes.capacity() * size_of::<Write>() + writes.iter().map(of).sum::<usize>()
                }
                PartyAction::Dial(_) | PartyAction::Close(_) | PartyAction::Table(..) => 0,
                PartyAction::Told(_) => 0,
            };
        }
        bytes as i64
    }

    pub(super) fn counted(&mut self, no: No, time: u64, grown: i64) {
        let second = self.links.counts.at(no, self.queue.now());
        second.cpu += time;
        second.events += 1;
        self.links.counts.grown(no, grown);
    }

    pub(super) fn act(&mut self, no: No) {
        let now = self.queue.now();
        for act in std::mem::take(&mut self.out) {
            match act {
                PartyAction::Dial(to) => {
                    let to = self.fleet.no(&to);
                    to.into_iter().for_each(|to| self.links.dial(&mut self.queue, self.fleet, no, to));
                }
                PartyAction::Close(to) => {
                    let to = self.fleet.no(&to);
                    to.into_iter().for_each(|to| self.links.close(&mut self.queue, self.fleet, no, to));
                }
                PartyAction::Send { no: number, to, lane, body } => match self.fleet.no(&to.router) {
                    Some(at) => self.links.send(&mut self.queue, no, (at, &to), (number, lane, body)),
                    None => self.links.told.push((no, PartyEvent::Unsent(number))),
                },
                PartyAction::Table(version, hash) => self.links.table(&mut self.queue, no, version, hash),
                PartyAction::Store(number, writes) => self.hosts[no].stores.push_back((number, writes)),
                PartyAction::Told(word) => {
                    if let Word::Table(..) = word {
                        self.hosts[no].table.get_or_insert(now);
                    }
                    self.checker.told(now, no, &word);
                }
            }
        }
    }
}

/// Bytes that an event brings, which are the party's from now on.
fn brought(event: &PartyEvent) -> i64 {
    match event {
        PartyEvent::Got { body, .. } => body.capacity() as i64,
        PartyEvent::Up(_) | PartyEvent::Down(..) | PartyEvent::Unsent(_) | PartyEvent::Heard(_) => 0,
        PartyEvent::Due | PartyEvent::Settle | PartyEvent::Stored(..) => 0,
    }
}
