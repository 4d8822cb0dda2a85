//! What goes out: to peers, to the owner, and to the disk.

use super::{micros, Copies, Due, ADOPTED, HOLDS, MOST_WAITING, PURGES, START_MS};
use crate::fleet::purges::Purge;
use crate::fleet::words::Word;
use crate::fleet::Told;
use basaltgw_holds as holds;
use basaltgw_holds::Record;
use basaltgw_ids::{Group, Member, Ms};
use basaltgw_peers::{Lane, Order};
use basaltgw_storage::Write;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::fmt::Write as _;

impl Copies {
    pub(super) fn send(&mut self, no: u64, to: Member, lane: Lane, body: Vec<u8>) {
        if self.parts.port.send(Order::Send { no, to, lane, body }).is_err() {
            self.counts.unsent += 1;
            if no > 0 {
                // In the next turn: the holds are amid their own actions.
                self.unsent.push(no);
            }
        }
    }

    pub(super) fn say(&mut self, to: &Member, word: &Word) {
        self.send(0, to.clone(), Lane::Table, word.bytes());
    }

    pub(super) fn say_all(&mut self, word: &Word) {
        let all: Vec<Member> = self.reached.values().cloned().collect();
        all.iter().for_each(|to| self.say(to, word));
    }

    pub(super) fn tell(&mut self, told: Told) {
        self.waiting.push_back(told);
    }

    pub(super) fn flush(&mut self) -> Result<(), String> {
        let before = self.waiting.len();
        while let Some(told) = self.waiting.pop_front() {
            if let Err(rtrb::PushError::Full(told)) = self.parts.told.push(told) {
                self.waiting.push_front(told);
                break;
            }
        }
        if self.waiting.len() < before {
            // One bell that rings is enough.
            let _ = self.parts.bell.try_send(());
        }
        match self.waiting.len() <= MOST_WAITING {
            true => Ok(()),
            false => Err(format!("the owner has taken nothing of {MOST_WAITING} answers")),
        }
    }

    pub(super) fn timer(&mut self, at: Ms, what: Due) {
        self.timers_ever += 1;
        self.timers.push(Reverse((micros(at), self.timers_ever, what)));
    }

    /// Puts all that has to last on the disk at once, and says so; true if there was something.
    pub(super) fn commit(&mut self, now: Ms) -> bool {
        std::mem::take(&mut self.unsent).into_iter().for_each(|no| self.holds(now, holds::Event::Unsent(no)));
        let (batches, purges) = (std::mem::take(&mut self.to_store), std::mem::take(&mut self.to_keep));
        let adopted = self.to_adopt.clone();
        if batches.is_empty() && purges.is_empty() && adopted.is_none() {
            return false;
        }
        let mut writes = Vec::new();
        writes.extend(
            adopted.and_then(|a| postcard::to_stdvec(&a).ok()).map(|a| Write::Put(ADOPTED, Vec::new(), a)),
        );
        for record in batches.iter().flat_map(|(_, records)| records) {
            writes.push(match record {
                Record::Put(key, value) => Write::Put(HOLDS, key.clone(), value.clone()),
                Record::Remove(key) => Write::Remove(HOLDS, key.clone()),
            });
        }
        for purge in &purges {
            if let Ok(key) = postcard::to_stdvec(&(purge.group, purge.object)) {
                writes.push(Write::Put(PURGES, key, purge.time.to_be_bytes().to_vec()));
            }
        }
        let done = self.parts.store.commit(&writes);
        match &done {
            Ok(()) => {
                self.counts.commits += 1;
                self.to_adopt = None;
            }
            Err(e) => {
                self.counts.commits_failed += 1;
                log::error!("nothing new is promised, the disk takes nothing: {e}");
            }
        }
        batches.into_iter().for_each(|(no, _)| self.holds(now, holds::Event::Stored(no, done.is_ok())));
        if done.is_ok() {
            let steps = std::mem::take(&mut self.after_commit);
            self.steps(now, steps);
        }
        done.is_ok()
    }

    pub(super) fn tidy(&mut self, now: Ms) {
        let known: Vec<Purge> = self.parts.purges.all().collect();
        self.parts.purges.settle(now, self.parts.settles);
        if self.parts.purges.len() < known.len() {
            let kept: BTreeSet<Purge> = self.parts.purges.all().collect();
            let gone = known.iter().filter(|p| !kept.contains(p));
            let keys = gone.filter_map(|p| postcard::to_stdvec(&(p.group, p.object)).ok());
            let writes: Vec<Write> = keys.map(|k| Write::Remove(PURGES, k)).collect();
            if self.parts.store.commit(&writes).is_err() {
                self.counts.commits_failed += 1;
            }
        }
        for purge in self.parts.holds.purges().filter_map(|(_, hold, _)| Purge::of(hold)).collect::<Vec<_>>()
        {
            self.purge_heard(purge);
        }
        if self.parts.table.register().is_none() {
            // Whoever has one may not have heard the first time, or had none then.
            self.say_all(&Word::TableWanted);
        }
        let steps = self.parts.table.tick(now);
        self.steps(now, steps);
        self.started(now);
        self.show();
    }

    /// Shows the owner what was counted.
    pub(super) fn show(&mut self) {
        self.counts.peers_up = self.reached.len() as u64;
        self.counts.words = format!("{} {}", self.hold_words(), self.parts.counts);
        // Read by the owner when it prints its own; a reader that holds it now has the last ones.
        if let Ok(mut shared) = self.parts.shown.try_lock() {
            shared.clone_from(&self.counts);
        }
    }

    /// What the holds count, as `name=value` words.
    pub(super) fn hold_words(&self) -> String {
        let c = self.parts.holds.counters();
        let (batches, records) = self.parts.holds.stores();
        let mut text =
            format!("holds={} holds_kept={} holds_stood={} ", self.parts.holds.size().0, c.kept, c.stands);
        for (why, many) in &c.unkept {
            let _ = write!(text, "holds_unkept_{}={many} ", format!("{why:?}").to_lowercase());
        }
        let _ = write!(text, "holds_rounds={} holds_rounds_short={} ", c.rounds, c.short);
        let _ = write!(text, "holds_messages={} holds_batches={batches} holds_records={records}", c.messages);
        text
    }

    /// Whether all purges of before this start are known: enough routers have told theirs that no quorum of a shard was missed.
    pub(super) fn started(&mut self, now: Ms) {
        if self.start.done {
            return;
        }
        let told = |m: &Member| self.start.told.contains(m) || (*m == self.parts.me && self.start.old);
        let missed = |g: &Group| g.members.iter().filter(|m| !told(m)).count() >= g.need;
        let known = self.parts.table.founded_here()
            || self.parts.table.map().is_some_and(|map| {
                let groups = map.shards.iter().flat_map(|k| &k.groups);
                !groups.into_iter().any(missed)
            });
        if known || now >= self.start.at + START_MS {
            self.start.done = true;
            self.tell(Told::PurgesKnown(known));
        }
    }
}
