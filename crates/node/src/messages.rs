//! Inputs of the owner, and what the tasks that send them share.

use crate::caches::ids::{ConnId, ConnectionFailure};
use crate::caches::wire::ServerAnswer;
use crate::changelog::reconnect_reason::ReconnectReason;
use crate::clients::message::{ClientId, ClientMessage};
use crate::clock::Clock;
use crate::connection::{CloseReason, ConnectionState};
use crate::invariants::Invariants;
use crate::outbox::{BufferMeter, SendQueue};
use crate::stalls::Stalls;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use basaltgw::api::Ms;
use basaltgw_config::{Hierarchy, News};
use std::rc::Rc;

/// An input of the owner.
pub enum Input {
    /// A client connected.
    ClientConnected(ClientId, SendQueue, Rc<ConnectionState>),
    /// A client sent a message; its last byte was read at that time.
    Client(ClientId, ClientMessage, Ms),
    /// Nothing more is read of a client.
    ClientReadStopped(ClientId, CloseReason),
    /// A client's connection is closed.
    ClientClosed(ClientId),
    /// A client waits in the backlog for a free slot.
    SlotWanted,
    /// A connection to a server came up.
    ServerConnected(ConnId),
    /// A server answered.
    ServerAnswer(ConnId, ServerAnswer),
    /// A connection to a server is closed, or never came up.
    ServerDisconnected(ConnId, ConnectionFailure),
    /// An event of the change log.
    WatchEvent(News),
    /// The change log's connection was lost, or its address changed.
    ChangeLogLost,
    /// A second connection to the change log was opened.
    ChangeLogStandbyOpened(ReconnectReason),
    /// The configuration was read again; false if it was rejected.
    Reloaded(bool),
    /// A plan of the cache tree was read again.
    Plan(Box<Hierarchy>),
    /// New placement rules of the fleet, by file name and text.
    PlacementRules(String, String),
    /// The fleet's threads have queued something.
    Fleet,
    /// The process shuts down.
    Shutdown,
    /// The counters are to be logged.
    LogCounters,
}

/// The owner's queues, in the order of their priority.
pub struct Inputs {
    /// Events of the change log, the fleet and signals.
    pub urgent: Receiver<Input>,
    /// From connections to servers.
    pub servers: Receiver<Input>,
    /// From clients.
    pub clients: Receiver<Input>,
}

/// What all connections to clients, or to servers, share.
#[derive(Clone)]
pub struct Shared {
    /// Runs their tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The queue to the owner.
    pub queue: Sender<Input>,
    /// The monotonic clock.
    pub clock: Clock,
    /// Bytes buffered by all of them.
    pub meter: Rc<BufferMeter>,
    /// The invariant checker.
    pub invariants: Rc<Invariants>,
    /// Pauses of the process.
    pub stalls: Rc<Stalls>,
    /// Bytes buffered above which nothing more is read.
    pub buffer_limit_bytes: usize,
}
