//! Actions of the table manager.

use super::TableRegister;
use crate::message::Message;
use basaltgw_registers::{Change, RecordKey};
use basaltgw_types::{Ms, RouterId, ShardMap};
use std::sync::Arc;

/// Output of [`super::TableManager`], to be executed in order.
#[derive(Debug)]
pub enum TableAction {
    /// Store the adopted content. The actions that follow wait until it is durable.
    Persist(TableRegister),
    /// Put the shard map of an adopted table into effect.
    UseMap(Arc<ShardMap>),
    /// Put a shard map into effect that bootstraps the fleet.
    UseBootstrapMap(Arc<ShardMap>),
    /// Request a change of the table register.
    ChangeRegister {
        /// The table register.
        key: RecordKey,
        /// Requested change.
        change: Change,
        /// Time limit in milliseconds.
        timeout: Ms,
    },
    /// Send to all connected routers, and with persistent links to all members of the tables.
    Broadcast(Message),
    /// Send to all connected routers and to one more; with persistent links only.
    SendToConnected {
        /// Message to send.
        message: Message,
        /// One more receiver.
        also_to: Option<RouterId>,
    },
    /// Handle a message as if a peer had sent it.
    HandleLocally(Message),
    /// Increment a counter.
    Count(TableCount),
}

/// Counted outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableCount {
    /// A table was adopted.
    Adopted,
    /// A proposed table was withdrawn.
    Withdrawn,
    /// A proposal was rejected, or a content of the register is invalid.
    Rejected,
    /// A member was replaced by its next incarnation.
    MemberReplaced,
}
