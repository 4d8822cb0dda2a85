//! Sending messages, and notifying the owner.

use super::Control;
use crate::api::{Action, ControlNotification};
use crate::message::Message;
use basaltgw_types::link::Lane;
use basaltgw_types::{Member, RouterId};
use std::collections::BTreeSet;

impl Control {
    /// Sends a message on the table lane; with persistent links it may wait for a link.
    pub(super) fn send_message(&mut self, to: &Member, message: &Message) {
        self.send(0, to.clone(), Lane::Table, message.encode());
    }

    /// Sends a message on the table lane, with persistent links only if the member is connected.
    pub(super) fn send_if_connected(&mut self, to: &Member, message: &Message) {
        if self.persistent_links.is_none() || self.reachability.is_connected(to) {
            let body = message.encode();
            self.actions.push(Action::Send { number: 0, to: to.clone(), lane: Lane::Table, body });
        }
    }

    /// Sends a message to all connected routers.
    pub(super) fn send_to_connected(&mut self, message: &Message) {
        let connected: Vec<Member> = self.reachability.members().cloned().collect();
        connected.iter().for_each(|member| self.send_message(member, message));
    }

    /// Sends a message to all connected routers, and with persistent links to all members of the tables.
    pub(super) fn send_to_members(&mut self, message: &Message) {
        let mut receivers: BTreeSet<Member> = self.reachability.members().cloned().collect();
        if self.persistent_links.is_some() {
            let members = self.parts.table.members();
            receivers.extend(members.filter(|member| !self.reachability.has_link(&member.router)));
            receivers.remove(&self.parts.me);
        }
        receivers.iter().for_each(|member| self.send_message(member, message));
    }

    /// Sends a message to all connected routers, and to one more member of the tables.
    pub(super) fn send_to_connected_and(&mut self, message: &Message, router: Option<&RouterId>) {
        self.send_to_connected(message);
        let Some(router) = router else { return };
        if self.reachability.has_link(router) || *router == self.parts.me.router {
            return;
        }
        let member = self.parts.table.members().find(|member| member.router == *router);
        if let Some(member) = member {
            self.send_message(&member, message);
        }
    }

    /// Notifies the owner of the routing module.
    pub(super) fn notify(&mut self, notification: ControlNotification) {
        self.actions.push(Action::Notify(notification));
    }
}
