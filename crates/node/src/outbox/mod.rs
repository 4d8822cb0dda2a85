//! Outgoing messages. Their bytes are counted while they are buffered, and each message can be recalled until its first byte is written.
//!
//! - `buffered`: the accounting of buffered bytes;
//! - `send_conditions`: the conditions under which an attempt is written;
//! - this file: a connection's queue, and the task that writes from it.

mod buffered;
mod send_conditions;

pub use buffered::{BufferMeter, BufferReservation, BufferedBytes, MessageSize};
pub use send_conditions::{AttemptRoute, AttemptTimes, DrainedSince, EncodeTimeout, SendConditions};

use crate::caches::AttemptKey;
use crate::limits::OUTGOING_MESSAGE_BYTES;
use crate::permissions::may_send;
use crate::socket;
use async_channel::{Receiver, Sender};
use futures_lite::AsyncWrite;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// How much of a message has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryState {
    /// No byte is written.
    Queued,
    /// Some bytes are written.
    Partial,
    /// All bytes are written.
    Written,
    /// The message was recalled before its first byte was written.
    Recalled,
}

/// A message to a client or a server, shared by its sender and the connection that writes it.
#[derive(Debug)]
pub struct OutgoingMessage {
    delivery_state: Cell<DeliveryState>,
    /// The conditions for writing, if the message is an attempt.
    conditions: Option<Box<SendConditions>>,
    /// `None` once writing has begun or the message is recalled.
    bytes: RefCell<Option<BufferedBytes>>,
}

impl OutgoingMessage {
    /// How much of the message has been written.
    pub fn delivery_state(&self) -> DeliveryState {
        self.delivery_state.get()
    }

    /// Marks the message as written.
    #[cfg(test)]
    pub fn mark_written(&self) {
        self.delivery_state.set(DeliveryState::Written);
        self.bytes.take();
    }

    /// Recalls the message unless its first byte is written; true if no byte of it has been or will be written.
    pub fn recall(&self) -> bool {
        let unwritten = matches!(self.delivery_state.get(), DeliveryState::Queued | DeliveryState::Recalled);
        if unwritten {
            self.delivery_state.set(DeliveryState::Recalled);
            self.bytes.take();
        }
        unwritten
    }

    /// Begins to write the message; returns its bytes, or `None` if it was recalled or its conditions fail. The conditions are checked here
    /// since the owner may not have handled a cancellation yet.
    fn begin_write(&self) -> Option<BufferedBytes> {
        let now = Instant::now();
        if let Some(conditions) = &self.conditions {
            let recalled = self.delivery_state.get() == DeliveryState::Recalled;
            if let Err(refusal) = may_send(&conditions.send_state(now, recalled)) {
                let AttemptKey { request, attempt } = conditions.key;
                log::debug!("request {}, attempt {}: not sent: {refusal}", request.0, attempt.0);
                self.recall();
            }
        }
        let bytes = self.bytes.take()?;
        self.delivery_state.set(DeliveryState::Partial);
        Some(match &self.conditions {
            Some(conditions) => conditions.on_first_byte(now, bytes),
            None => bytes,
        })
    }

    /// Marks the message as written after its last byte.
    fn finish_write(&self) {
        self.delivery_state.set(DeliveryState::Written);
        if let Some(conditions) = &self.conditions {
            conditions.on_last_byte();
        }
    }

    /// Delays an attempt after a pause of the process until the bytes received during the pause are read.
    async fn wait_for_reads(&self) {
        if let Some(conditions) = &self.conditions {
            conditions.pause_detector.wait_for_reads().await;
        }
    }
}

/// A connection's queue of outgoing messages. Dropping it closes the connection once the queued messages are written.
#[derive(Debug)]
pub struct SendQueue {
    queue: Sender<Rc<OutgoingMessage>>,
    all_connections: Rc<BufferMeter>,
    connection: Rc<BufferMeter>,
}

/// Creates a queue, whose bytes are counted at both meters, and the end from which its connection writes.
pub fn send_queue(
    all_connections: &Rc<BufferMeter>,
    connection: &Rc<BufferMeter>,
) -> (SendQueue, Receiver<Rc<OutgoingMessage>>) {
    // The owner must not wait for a socket; the number of open requests of the connection bounds the queue.
    let (queue, outgoing) = async_channel::unbounded();
    let (all_connections, connection) = (Rc::clone(all_connections), Rc::clone(connection));
    (SendQueue { queue, all_connections, connection }, outgoing)
}

impl SendQueue {
    /// Queues a message.
    pub fn push(&self, bytes: Vec<u8>) -> Rc<OutgoingMessage> {
        let message = self.message(bytes, None);
        self.enqueue(&message);
        message
    }

    /// Creates the message of an attempt, to be queued later by [`Self::enqueue`].
    pub fn prepare(&self, bytes: Vec<u8>, conditions: SendConditions) -> Rc<OutgoingMessage> {
        self.message(bytes, Some(Box::new(conditions)))
    }

    fn message(&self, bytes: Vec<u8>, conditions: Option<Box<SendConditions>>) -> Rc<OutgoingMessage> {
        let meters = [&self.all_connections, &self.connection];
        let bytes = BufferedBytes::with_overhead(bytes, OUTGOING_MESSAGE_BYTES, &meters);
        let bytes = RefCell::new(Some(bytes));
        Rc::new(OutgoingMessage { delivery_state: Cell::new(DeliveryState::Queued), conditions, bytes })
    }

    /// Queues a message that was created by [`Self::prepare`].
    pub fn enqueue(&self, message: &Rc<OutgoingMessage>) {
        if self.queue.try_send(Rc::clone(message)).is_err() {
            // The connection is closed and writes nothing more.
            message.recall();
        }
    }

    /// Closes the queue for new messages; the queued ones are still written.
    pub fn close(&self) {
        self.queue.close();
    }

    /// The number of the connection's messages that are not yet written.
    pub fn unsent_messages(&self) -> usize {
        unsent_messages(&self.connection)
    }

    /// Bytes of the connection's messages that are not yet written.
    pub fn unsent_bytes(&self) -> usize {
        self.connection.bytes()
    }
}

/// The number of messages that a connection's meter counts.
pub fn unsent_messages(connection: &BufferMeter) -> usize {
    (connection.total_bytes() - connection.bytes()) / OUTGOING_MESSAGE_BYTES
}

/// Writes messages until the queue is dropped or the connection fails; returns whether all were written. The future of `write_timeout` is
/// created for each write and ends one that takes too long.
pub async fn write_messages<W, S, F>(
    mut socket: W,
    outgoing: Receiver<Rc<OutgoingMessage>>,
    write_timeout: S,
) -> bool
where
    W: AsyncWrite + Unpin,
    S: Fn() -> F,
    F: std::future::Future<Output = std::io::Result<usize>>,
{
    while let Ok(message) = outgoing.recv().await {
        message.wait_for_reads().await;
        let Some(bytes) = message.begin_write() else { continue };
        let mut rest = bytes.bytes();
        while !rest.is_empty() {
            match futures_lite::future::or(socket::write(&mut socket, rest), write_timeout()).await {
                Ok(n) if n > 0 => rest = rest.get(n..).unwrap_or_default(),
                Ok(_) | Err(_) => return false,
            }
        }
        message.finish_write();
    }
    true
}
