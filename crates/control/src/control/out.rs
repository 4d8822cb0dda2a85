//! What goes out: to peers and to the owner, and what is looked over again and again.

use super::{micros, Control, Due, START_MS};
use crate::api::{Action, ControlNotification};
use crate::purges::Purge;
use crate::words::Message;
use basaltgw_types::link::Lane;
use basaltgw_types::{Member, Ms, QuorumGroup};
use std::cmp::Reverse;
use std::fmt::Write as _;

impl Control {
    pub(super) fn say(&mut self, to: &Member, word: &Message) {
        self.send(0, to.clone(), Lane::Table, word.encode());
    }

    pub(super) fn say_all(&mut self, word: &Message) {
        let all: Vec<Member> = self.reached.values().cloned().collect();
        all.iter().for_each(|to| self.say(to, word));
    }

    pub(super) fn tell(&mut self, told: ControlNotification) {
        self.out.push(Action::Notify(told));
    }

    pub(super) fn timer(&mut self, at: Ms, what: Due) {
        self.timers_ever += 1;
        self.timers.push(Reverse((micros(at), self.timers_ever, what)));
    }

    pub(super) fn tidy(&mut self, now: Ms) {
        let retried = std::mem::take(&mut self.unforgotten);
        let settled = self.parts.purges.take_settled(now, self.parts.purge_convergence_time);
        self.next.forget(now, retried.into_iter());
        self.next.forget(now, settled.iter().map(|p| (p.group, p.object)));
        // Holds outlast what they hold: one that has settled is no news again.
        let held = self.parts.registers.purges().filter_map(|(_, hold, _)| Purge::from_record(hold));
        let held: Vec<Purge> = held.filter(|p| !p.settled(now, self.parts.purge_convergence_time)).collect();
        held.into_iter().for_each(|p| self.purge_heard(now, p));
        if self.parts.table.register().is_none() {
            // Whoever has one may not have heard the first time, or had none then.
            self.say_all(&Message::TableRequest);
        }
        let steps = self.parts.table.tick(now);
        self.steps(now, steps);
        self.started(now);
        self.refresh_counts();
    }

    /// What the holds count, as `name=value` words.
    pub(super) fn hold_words(&self) -> String {
        let c = self.parts.registers.counters();
        let (batches, records) = self.parts.registers.stores();
        let mut text = format!(
            "holds={} holds_kept={} holds_stood={} ",
            self.parts.registers.size().0,
            c.kept,
            c.stands
        );
        for (why, many) in &c.unkept {
            let _ = write!(text, "holds_unkept_{}={many} ", why.counter_name());
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
        let missed = |g: &QuorumGroup| g.members.iter().filter(|m| !told(m)).count() >= g.quorum;
        let by_keepers = || {
            self.parts.table.map().is_some_and(|map| {
                let groups = map.shards.iter().flat_map(|k| &k.groups);
                !groups.into_iter().any(missed)
            })
        };
        let known = self.parts.table.founded_here()
            || match &self.spread {
                Some(spread) => spread.caught_up(now, &self.start.told),
                None => by_keepers(),
            };
        if known || now >= self.start.at + START_MS {
            self.start.done = true;
            self.tell(ControlNotification::PurgesKnown(known));
            self.refuse_dials(now);
        }
    }
}
