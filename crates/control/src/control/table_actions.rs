//! Executes the actions of the table manager.

use super::requests::Requester;
use super::Control;
use crate::api::{Action, ControlNotification};
use crate::table::{TableAction, TableCount};
use basaltgw_registers as registers;
use basaltgw_types::{Ms, ShardMap};
use std::sync::Arc;

impl Control {
    /// Executes actions in order. Those after [`TableAction::Persist`] wait until the register content is durable.
    pub(super) fn execute_table_actions(&mut self, now: Ms, actions: Vec<TableAction>) {
        let mut actions = actions.into_iter();
        while let Some(action) = actions.next() {
            match action {
                TableAction::Persist(register) => {
                    self.commits.set_table_register(register, actions);
                    return;
                }
                TableAction::UseBootstrapMap(map) => {
                    self.handle_registers(now, registers::Event::ShardMap(map));
                }
                TableAction::UseMap(map) => self.use_map(now, map),
                TableAction::ChangeRegister { key, change, timeout } => {
                    self.request_change(now, Requester::TableManager, key, change, timeout);
                }
                TableAction::Broadcast(message) => self.send_to_members(&message),
                TableAction::SendToConnected { message, also_to } => {
                    self.send_to_connected_and(&message, also_to.as_ref());
                }
                TableAction::HandleLocally(message) => {
                    let me = self.parts.me.clone();
                    self.handle_message(now, &me, message);
                }
                TableAction::Count(count) => self.count_table(count),
            }
        }
    }

    /// Puts the shard map of an adopted table into effect.
    fn use_map(&mut self, now: Ms, map: Arc<ShardMap>) {
        let (version, hash) = (map.version, map.hash);
        (self.counts.table_version, self.counts.table_epoch) = (version.0, map.epoch);
        self.actions.push(Action::AdvertiseTable(version, hash));
        self.handle_registers(now, registers::Event::ShardMap(map));
        self.notify(ControlNotification::Table(version, hash));
        self.notify_policies();
    }

    fn count_table(&mut self, count: TableCount) {
        match count {
            TableCount::Adopted => self.counts.tables_adopted += 1,
            TableCount::Withdrawn => self.counts.tables_withdrawn += 1,
            TableCount::Rejected => self.counts.tables_rejected += 1,
            TableCount::MemberReplaced => self.counts.members_replaced += 1,
        }
    }
}
