//! The owner's inputs, and the state shared by the tasks that send them.

use crate::caches::ids::{ConnId, ConnectionFailure};
use crate::caches::wire::ServerAnswer;
use crate::changelog::reconnect_reason::ReconnectReason;
use crate::clients::message::{ClientId, ClientMessage};
use crate::clock::Clock;
use crate::connection::{CloseReason, ConnectionState};
use crate::invariants::Invariants;
use crate::memory_budget::MemoryBudgets;
use crate::outbox::{BufferReservation, SendQueue};
use crate::pause_detector::PauseDetector;
use crate::read_pauses::ReadPauses;
use crate::socket::ReadBuffer;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use basaltgw::api::Ms;
use basaltgw_config::{Hierarchy, WatchEvent};
use std::rc::Rc;

/// An input of the owner.
pub enum Input {
    /// A client connected.
    ClientConnected(ClientId, SendQueue, Rc<ConnectionState>),
    /// A client sent a message.
    ClientMessage {
        /// The client's connection.
        client: ClientId,
        /// The decoded message.
        message: ClientMessage,
        /// When its last byte was received, in milliseconds of the router's clock.
        received_at: Ms,
        /// Counts its memory until the owner handles the message.
        buffered: BufferReservation,
    },
    /// Nothing more is read from a client.
    ClientReadStopped(ClientId, CloseReason),
    /// A client's connection is closed.
    ClientClosed(ClientId),
    /// A client may wait in the listener's backlog for a free slot.
    SlotWanted,
    /// A connection to a server is established.
    ServerConnected(ConnId),
    /// A server answered.
    ServerAnswer(ConnId, Box<ServerAnswer>),
    /// A connection to a server is closed, or was not established.
    ServerDisconnected(ConnId, ConnectionFailure),
    /// An event of the change log.
    WatchEvent(WatchEvent),
    /// The change log's connection was lost, or its address changed.
    ChangeLogLost,
    /// A second connection to the change log was opened.
    ChangeLogStandbyOpened(ReconnectReason),
    /// The configuration was reloaded; false if it was rejected.
    Reloaded(bool),
    /// A plan of the cache tree was reloaded.
    Plan(Box<Hierarchy>),
    /// Placement rules of the fleet were changed by a reload.
    PlacementRules {
        /// The name of the rules' file, for messages.
        file: String,
        /// The text of the rules.
        text: String,
    },
    /// The fleet's threads have queued notifications or messages.
    Fleet,
    /// The process was asked to shut down.
    Shutdown,
    /// The process was asked to log its counters.
    LogCounters,
}

/// The receiving ends of the owner's queues, in the order of their priority.
pub struct InputQueues {
    /// Inputs from the change log, the fleet and signals.
    pub urgent: Receiver<Input>,
    /// Clients' connections that opened or closed, and clients that wait for a slot.
    pub connections: Receiver<Input>,
    /// Inputs from connections to servers.
    pub servers: Receiver<Input>,
    /// Messages of clients, and the ends of their messages.
    pub clients: Receiver<Input>,
}

/// What all connections to clients, or all connections to servers, share.
#[derive(Clone)]
pub struct ConnectionContext {
    /// Runs the connections' tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The owner's queue for inputs of these connections.
    pub queue: Sender<Input>,
    /// The process's monotonic clock.
    pub clock: Clock,
    /// The budgets of the bytes buffered by all connections.
    pub budgets: MemoryBudgets,
    /// The invariant checker.
    pub invariants: Rc<Invariants>,
    /// The detector of pauses of the process.
    pub pause_detector: Rc<PauseDetector>,
    /// The pauses of reading from these connections for want of memory.
    pub read_pauses: Rc<ReadPauses>,
    /// The buffer into which all connections read.
    pub read_buffer: Rc<ReadBuffer>,
}
