//! What peers say.

use super::Control;
use crate::api::ControlNotification;
use crate::purges::Purge;
use crate::words::{Message, PURGES_AT_ONCE};
use basaltgw_membership as roster;
use basaltgw_registers as holds;
use basaltgw_types::link::{Hello, Lane, LinkError};
use basaltgw_types::{Member, Ms};

impl Control {
    pub(super) fn up(&mut self, now: Ms, hello: &Hello) {
        let member = hello.member.clone();
        self.lost.remove(&member.router);
        if self.standing_up(hello) {
            return;
        }
        if let Some(before) = self.reached.insert(member.router.clone(), member.clone()) {
            if before != member {
                self.neighbour_lost(now, &before);
                self.ask_holds(now, holds::Event::PeerReachable(before, false));
            }
        }
        self.ask_holds(now, holds::Event::PeerReachable(member.clone(), true));
        if self.standing.is_none() {
            let presence = self.parts.table.presence(hello);
            self.ask_roster(now, roster::Event::LinkUp(presence));
        }
        if !self.start.done && self.spread.is_none() {
            self.say(&member, &Message::PurgeSyncRequest);
        }
        self.neighbour_reached(now, &member);
        if self.asks_table(hello) {
            self.say(&member, &Message::TableRequest);
        }
        let steps = self.parts.table.met(now, hello);
        self.steps(now, steps);
    }

    pub(super) fn down(&mut self, now: Ms, member: &Member, why: LinkError) {
        log::info!("router {member} is not reached: {why:?}");
        let idle = self.standing_down(member, why);
        if self.reached.get(&member.router) == Some(member) {
            self.reached.remove(&member.router);
            if !idle {
                self.lost.insert(member.router.clone(), now);
            }
        }
        self.neighbour_lost(now, member);
        if self.standing.is_some() {
            self.parts.table.parted(member);
            if !idle && !self.reached.contains_key(&member.router) {
                self.standing_lost(now, &member.router);
            }
            return;
        }
        self.ask_holds(now, holds::Event::PeerReachable(member.clone(), false));
        self.parts.table.lost(now, member);
    }

    pub(super) fn got(&mut self, now: Ms, from: Member, lane: Lane, body: Vec<u8>) {
        if self.standing_got(&from, lane) {
            return;
        }
        match lane {
            Lane::Registers => self.ask_holds(now, holds::Event::MessageReceived(from, body)),
            Lane::Membership => self.ask_roster(now, roster::Event::MessageReceived(from, body)),
            Lane::Table => match Message::decode(&body) {
                Some(word) => self.word(now, &from, word),
                None => self.counts.unreadable += 1,
            },
            // Not one of the lanes of this part.
            Lane::ScatterGather => self.counts.unreadable += 1,
        }
    }

    pub(super) fn word(&mut self, now: Ms, from: &Member, word: Message) {
        match word {
            Message::PurgeSyncRequest => {
                let all: Vec<Purge> = self.parts.purges.all().collect();
                let many = all.chunks(PURGES_AT_ONCE).count().max(1);
                for n in 0..many {
                    let some: Vec<Purge> =
                        all.iter().skip(n * PURGES_AT_ONCE).take(PURGES_AT_ONCE).copied().collect();
                    // Whose folder was empty vouches for nothing of before.
                    let last = n + 1 == many && (self.start.old || self.start.done);
                    self.say(from, &Message::PurgeSync { purges: some, last });
                }
            }
            Message::PurgeSync { purges: some, last } => {
                some.into_iter().for_each(|p| self.purge_heard(now, p));
                if last {
                    self.start.told.insert(from.clone());
                }
            }
            Message::TableRequest => {
                if let Some((serial, body)) = self.parts.table.register() {
                    self.say(from, &Message::TableState { serial, body });
                }
            }
            Message::TableState { serial, body } => {
                let steps = self.parts.table.learn(now, serial, &body);
                self.steps(now, steps);
            }
            Message::TableDurable { term: turn } => {
                let steps = self.parts.table.said(now, from, turn, false);
                self.steps(now, steps);
            }
            Message::LeaseQuery { key, term: turn } => {
                let mine = self.mine.get(&key).is_some_and(|(mine, _)| *mine == turn);
                if !mine && !self.pursued_now(&key) {
                    self.doubt(now, key, turn);
                }
            }
            Message::ReplicaSynced { term: turn } => {
                let steps = self.parts.table.said(now, from, turn, true);
                self.steps(now, steps);
            }
            Message::OverlayLink { open } => self.neighbour(now, from, open),
            Message::OverlayFrame(frame) => self.frame(now, from, frame),
        }
    }

    /// A purge that another router has heard.
    pub(super) fn purge_heard(&mut self, now: Ms, purge: Purge) {
        if self.parts.purges.observe(purge) {
            self.counts.purges_from_peers += 1;
            self.next.keep(now, purge);
            self.tell(ControlNotification::Purge(purge));
        }
    }
}
