//! The state machine of a client's connection from accept to close. One `match` handles the events of the reader, the writer and the owner,
//! so that two events that cross have a defined result in either order.

use super::close_reason::{CloseReason, IdleReason};
use super::liveness::ClientLiveness;
use super::slots::ConnectionSlots;
use crate::breaks::{broken, Break};
use crate::invariants::Invariants;
use crate::limits::PARTIAL_MESSAGE_AT_SHUTDOWN;
use crate::permissions::{may_close, CloseState};
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The phase of a connection. Phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Messages are read and queued for the owner.
    Open {
        /// Messages in the owner's queue that the owner has not taken.
        queued: u32,
        /// Why the owner requested a close; cleared when a message crosses the request.
        close_requested: Option<IdleReason>,
    },
    /// No more messages are read. Open requests are answered unless the owner cancelled them, and queued answers are written.
    Closing,
    /// The router has shut down its side (FIN). Received bytes are discarded, within limits of time and bytes.
    HalfClosed,
    /// The socket is closed, or about to be.
    Closed,
}

/// An event on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// The reader queues a message for the owner.
    Enqueued,
    /// After a close request the reader found the socket empty and no partial message.
    FoundIdle,
    /// After a close request the reader found a partial message.
    FoundMidMessage,
    /// The reader stopped: the peer closed, or sent bytes that can't be decoded or were not complete in time.
    ReadStopped,
    /// The owner takes a message from the queue.
    Dequeued,
    /// The owner requests a close.
    CloseRequested(IdleReason),
    /// The owner drops the client with all its open requests.
    Dropped,
    /// The writer has written all queued messages and shut down the router's side.
    WriteShutdown,
    /// The peer has closed, or the half-closed phase has reached its limit.
    Closed,
}

impl ConnectionPhase {
    /// The phase after an event.
    pub fn after(self, event: ConnectionEvent) -> Self {
        use ConnectionEvent as E;
        use ConnectionPhase::{Closed, Closing, HalfClosed, Open};
        match (self, event) {
            (Open { queued, close_requested }, E::Enqueued) => {
                Open { queued: queued.saturating_add(1), close_requested }
            }
            // A message that crossed the close request is answered, and the request lapses.
            (Open { queued, .. }, E::Dequeued) => {
                Open { queued: queued.saturating_sub(1), close_requested: None }
            }
            (Open { queued, close_requested }, E::CloseRequested(reason)) => {
                Open { queued, close_requested: close_requested.or(Some(reason)) }
            }
            (Open { queued, close_requested }, E::FoundIdle) => {
                let permission = may_close(&CloseState {
                    close_requested: close_requested.is_some(),
                    queued_messages: queued,
                });
                if permission.is_ok() || broken(Break::CloseOverRequest) {
                    Closing
                } else {
                    Open { queued, close_requested: None }
                }
            }
            (Open { queued, .. }, E::FoundMidMessage) => Open { queued, close_requested: None },
            (Open { .. }, E::ReadStopped | E::Dropped) => Closing,
            // While open: the owner dropped the client's send queue without an event and takes no more messages of it.
            (Open { .. } | Closing, E::WriteShutdown) => HalfClosed,
            // Messages that were queued before the reader stopped are still taken; close requests come too late.
            (
                Closing,
                E::Enqueued
                | E::FoundIdle
                | E::FoundMidMessage
                | E::ReadStopped
                | E::Dequeued
                | E::CloseRequested(_)
                | E::Dropped,
            ) => Closing,
            (
                HalfClosed,
                E::Enqueued
                | E::FoundIdle
                | E::FoundMidMessage
                | E::ReadStopped
                | E::Dequeued
                | E::CloseRequested(_)
                | E::Dropped
                | E::WriteShutdown,
            ) => HalfClosed,
            (Open { .. } | Closing | HalfClosed, E::Closed) => Closed,
            (Closed, _) => Closed,
        }
    }

    /// Whether messages are still read.
    pub fn reads(self) -> bool {
        matches!(self, Self::Open { .. })
    }
}

/// The state of a connection, shared by its task and the owner.
#[derive(Debug)]
pub struct ConnectionState {
    phase: Cell<ConnectionPhase>,
    /// Whether a complete message was received, in which case answers may have been written too.
    has_received: Cell<bool>,
    /// Wakes the reader when the owner requests a close.
    close_requests: (Sender<()>, Receiver<()>),
    slots: Rc<ConnectionSlots>,
    liveness: Rc<ClientLiveness>,
    invariants: Rc<Invariants>,
}

impl ConnectionState {
    /// A connection that was just accepted.
    pub fn new(slots: &Rc<ConnectionSlots>) -> Self {
        Self {
            phase: Cell::new(ConnectionPhase::Open { queued: 0, close_requested: None }),
            has_received: Cell::new(false),
            close_requests: async_channel::bounded(1),
            slots: Rc::clone(slots),
            liveness: Rc::default(),
            invariants: Rc::default(),
        }
    }

    /// A connection that was just accepted, with this invariant checker.
    pub fn with_invariants(slots: &Rc<ConnectionSlots>, invariants: &Rc<Invariants>) -> Self {
        Self { invariants: Rc::clone(invariants), ..Self::new(slots) }
    }

    /// The invariant checker.
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Whether the connection's client still waits for its requests.
    pub fn liveness(&self) -> &Rc<ClientLiveness> {
        &self.liveness
    }

    /// The current phase.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase.get()
    }

    /// Applies an event; returns the phase after it.
    pub fn apply(&self, event: ConnectionEvent) -> ConnectionPhase {
        let (before, after) = (self.phase.get(), self.phase.get().after(event));
        self.phase.set(after);
        if let (
            ConnectionPhase::Open { close_requested: Some(_), .. },
            ConnectionPhase::Open { close_requested: None, .. },
        ) = (before, after)
        {
            self.slots.count_crossed();
        }
        if matches!(event, ConnectionEvent::CloseRequested(_) | ConnectionEvent::Dropped) {
            // A wake-up that is already queued wakes the reader as well.
            let _ = self.close_requests.0.try_send(());
        }
        after
    }

    /// The reason of the owner's close request, while that is undecided.
    pub fn close_reason(&self) -> Option<IdleReason> {
        match self.phase() {
            ConnectionPhase::Open { close_requested, .. } => close_requested,
            ConnectionPhase::Closing | ConnectionPhase::HalfClosed | ConnectionPhase::Closed => None,
        }
    }

    /// Waits until the owner requests a close or drops the client.
    pub async fn close_requested(&self) {
        while let ConnectionPhase::Open { close_requested: None, .. } = self.phase() {
            if self.close_requests.1.recv().await.is_err() {
                return;
            }
        }
    }

    /// Decides a close request when the reader finds the socket empty; `partial_for` is the age of a partial message, if there is one.
    /// Returns why the reader stops, or `None` if it continues.
    pub fn decide_close(&self, partial_for: Option<Duration>) -> Option<CloseReason> {
        let requested = self.close_reason();
        // Shutdown waits for a partial message for a bounded time only.
        let mid_message = partial_for
            .is_some_and(|age| requested != Some(IdleReason::Shutdown) || age < PARTIAL_MESSAGE_AT_SHUTDOWN);
        let event = if mid_message { ConnectionEvent::FoundMidMessage } else { ConnectionEvent::FoundIdle };
        (!self.apply(event).reads()).then_some(requested.map_or(CloseReason::Dropped, CloseReason::IdleClose))
    }

    /// Records a decoded message that the reader is about to queue; false if the connection takes no more messages.
    pub fn enqueue(&self) -> bool {
        let open = self.apply(ConnectionEvent::Enqueued).reads();
        self.has_received.set(self.has_received.get() || open);
        open
    }

    /// Counts a decoded message without any effect.
    pub fn count_without_effect(&self) {
        self.slots.count_without_effect();
    }

    /// Whether a complete message was received.
    pub fn has_received(&self) -> bool {
        self.has_received.get()
    }
}
