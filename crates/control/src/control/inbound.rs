//! Link events and messages of peers.

use super::persistent_links::HelloChange;
use super::Control;
use crate::api::ControlNotification;
use crate::message::{Message, MAX_PURGES_PER_MESSAGE};
use crate::purges::Purge;
use crate::table::TableRegister;
use basaltgw_membership as membership;
use basaltgw_registers as registers;
use basaltgw_types::link::{Hello, Lane, LinkError};
use basaltgw_types::{Member, Ms};

impl Control {
    /// A link is established, or its peer advertises another table version.
    pub(super) fn on_link_up(&mut self, now: Ms, hello: &Hello) {
        let member = &hello.member;
        self.reachability.observe_contact(&member.router);
        if self.observe_hello(hello) == HelloChange::Unchanged {
            return;
        }
        if let Some(previous) = self.reachability.connect(member).filter(|previous| previous != member) {
            self.on_overlay_link_lost(now, &previous);
            self.handle_registers(now, registers::Event::PeerReachable(previous, false));
        }
        self.handle_registers(now, registers::Event::PeerReachable(member.clone(), true));
        if self.persistent_links.is_none() {
            let presence = self.parts.table.presence(hello);
            self.handle_membership(now, membership::Event::LinkUp(presence));
        }
        if !self.startup.is_finished() && self.dissemination.is_none() {
            self.send_message(member, &Message::PurgeSyncRequest);
        }
        self.start_pending_overlay_link(now, member);
        if self.needs_table_state(hello) {
            self.send_message(member, &Message::TableRequest);
        }
        let actions = self.parts.table.on_link_up(now, hello);
        self.execute_table_actions(now, actions);
    }

    /// A link is closed.
    pub(super) fn on_link_down(&mut self, now: Ms, member: &Member, reason: LinkError) {
        log::info!("link to router {member} is down: {reason:?}");
        let was_idle = self.observe_link_closed(member, reason);
        if self.reachability.disconnect(member) && !was_idle {
            self.reachability.set_unreachable(now, &member.router);
        }
        self.on_overlay_link_lost(now, member);
        if self.persistent_links.is_some() {
            self.parts.table.on_link_down(member);
            if !was_idle && !self.reachability.has_link(&member.router) {
                self.on_router_unreachable(now, &member.router);
            }
            return;
        }
        self.handle_registers(now, registers::Event::PeerReachable(member.clone(), false));
        self.parts.table.on_peer_lost(now, member);
    }

    /// Bytes arrived on a lane.
    pub(super) fn on_message(&mut self, now: Ms, from: Member, lane: Lane, body: Vec<u8>) {
        self.observe_use(&from.router);
        match lane {
            Lane::Registers => self.handle_registers(now, registers::Event::MessageReceived(from, body)),
            Lane::Membership => self.on_membership_message(now, from, body),
            Lane::Table => match Message::decode(&body) {
                Some(message) => self.handle_message(now, &from, message),
                None => self.counts.unreadable += 1,
            },
            // The owner of the routing module receives this lane, so no such message is expected here.
            Lane::ScatterGather => self.counts.unreadable += 1,
        }
    }

    /// With persistent links membership is not used, because it would suspect routers without a link.
    fn on_membership_message(&mut self, now: Ms, from: Member, body: Vec<u8>) {
        match &mut self.persistent_links {
            Some(links) => links.count_ignored_membership_message(),
            None => self.handle_membership(now, membership::Event::MessageReceived(from, body)),
        }
    }

    /// Reports to the registers that a message was not written completely.
    pub(super) fn on_send_failed(&mut self, now: Ms, number: u64) {
        self.counts.failed_sends += 1;
        if number > 0 {
            self.handle_registers(now, registers::Event::SendFailed(number));
        }
    }

    /// A message on the table lane.
    pub(super) fn handle_message(&mut self, now: Ms, from: &Member, message: Message) {
        match message {
            Message::PurgeSyncRequest => self.send_known_purges(from),
            Message::PurgeSync { purges, last } => {
                purges.into_iter().for_each(|purge| self.on_remote_purge(now, purge));
                if last {
                    self.startup.observe_synced(from);
                }
            }
            Message::TableRequest => {
                if let Some(TableRegister { serial, body }) = self.parts.table.register() {
                    self.send_message(from, &Message::TableState { serial, body });
                }
            }
            Message::TableState { serial, body } => {
                let actions = self.parts.table.on_peer_register(now, TableRegister { serial, body });
                self.execute_table_actions(now, actions);
            }
            Message::TableDurable { term } => {
                let actions = self.parts.table.on_member_durable(from, term);
                self.execute_table_actions(now, actions);
            }
            Message::ReplicaSynced { term } => {
                let actions = self.parts.table.on_member_synced(from, term);
                self.execute_table_actions(now, actions);
            }
            Message::LeaseQuery { key, term } => self.on_lease_query(now, key, term),
            Message::OverlayLink { open } => self.on_overlay_link(now, from, open),
            Message::OverlayFrame(frame) => self.on_overlay_frame(now, from, frame),
        }
    }

    /// Sends all known purges in parts. The last part is marked as such only if this router knows the purges from before its start.
    fn send_known_purges(&mut self, to: &Member) {
        let known: Vec<Purge> = self.parts.purges.all().collect();
        let is_complete = self.startup.has_complete_purges();
        let mut parts: Vec<Vec<Purge>> =
            known.chunks(MAX_PURGES_PER_MESSAGE).map(<[Purge]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        let count = parts.len();
        for (index, purges) in parts.into_iter().enumerate() {
            let last = index + 1 == count && is_complete;
            self.send_message(to, &Message::PurgeSync { purges, last });
        }
    }

    /// A purge observed by another router.
    pub(super) fn on_remote_purge(&mut self, now: Ms, purge: Purge) {
        if self.parts.purges.observe(purge) {
            self.counts.purges_from_peers += 1;
            self.commits.add_purge(now, purge);
            self.notify(ControlNotification::Purge(purge));
        }
    }

    /// A purge reported by the change log.
    pub(super) fn on_local_purge(&mut self, now: Ms, purge: Purge) {
        if self.parts.purges.observe(purge) {
            self.commits.add_purge(now, purge);
            self.publish_purge(now, purge);
        }
    }
}
