//! Messages on their way to a socket. Their bytes are counted while they are buffered, and each can be recalled until its first byte is
//! written.
//!
//! - `buffered`: the accounting of buffered bytes;
//! - `fetch_terms`: the conditions under which an attempt is written;
//! - here: a connection's queue, and the task that writes from it.

mod buffered;
mod fetch_terms;

pub use buffered::{BufferMeter, BufferReservation, BufferedBytes};
pub use fetch_terms::{AttemptRoute, AttemptTimes, DrainedSince, EncodeTimeout, SendConditions};

use crate::permissions::may_send;
use crate::socket;
use async_channel::{Receiver, Sender};
use futures_lite::AsyncWrite;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// How far a message is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryState {
    /// No byte is written.
    Queued,
    /// Some bytes are written.
    Partial,
    /// All bytes are written.
    Written,
    /// It was recalled before its first byte.
    Recalled,
}

/// A message.
#[derive(Debug)]
pub struct OutgoingMessage {
    delivery_state: Cell<DeliveryState>,
    /// The conditions, of an attempt.
    fetch: Option<Box<SendConditions>>,
    bytes: RefCell<Option<BufferedBytes>>,
}

impl OutgoingMessage {
    /// How far it is written.
    pub fn delivery_state(&self) -> DeliveryState {
        self.delivery_state.get()
    }

    /// Marks it as written.
    #[cfg(test)]
    pub fn write(&self) {
        self.delivery_state.set(DeliveryState::Written);
        self.bytes.take();
    }

    /// Recalls it unless its first byte is written; true if no byte of it is or ever will be written.
    pub fn recall(&self) -> bool {
        let unwritten = matches!(self.delivery_state.get(), DeliveryState::Queued | DeliveryState::Recalled);
        if unwritten {
            self.delivery_state.set(DeliveryState::Recalled);
            self.bytes.take();
        }
        unwritten
    }

    /// The bytes to write, unless it was recalled or its conditions fail: the owner may not have handled the cancellation yet.
    fn begin(&self) -> Option<BufferedBytes> {
        let now = Instant::now();
        if let Some(fetch) = &self.fetch {
            let recalled = self.delivery_state.get() == DeliveryState::Recalled;
            if let Err(refusal) = may_send(&fetch.send_state(now, recalled)) {
                let (request, attempt) = fetch.ids;
                log::debug!("request {request}, attempt {attempt}: not sent: {refusal}");
                self.recall();
            }
        }
        let bytes = self.bytes.take()?;
        self.delivery_state.set(DeliveryState::Partial);
        Some(match &self.fetch {
            Some(fetch) => fetch.on_first_byte(now, bytes),
            None => bytes,
        })
    }

    /// Its last byte is written.
    fn finish(&self) {
        self.delivery_state.set(DeliveryState::Written);
        if let Some(fetch) = &self.fetch {
            fetch.on_last_byte();
        }
    }

    /// Waits until an attempt may be written: after a pause of the process, what arrived during it is read first.
    async fn wait_for_backlog(&self) {
        if let Some(fetch) = &self.fetch {
            fetch.stalls.read_first().await;
        }
    }
}

/// A connection's queue of outgoing messages. Dropped, the connection is closed once they are written.
#[derive(Debug)]
pub struct SendQueue {
    queue: Sender<Rc<OutgoingMessage>>,
    all_connections: Rc<BufferMeter>,
    connection: Rc<BufferMeter>,
}

/// A queue whose bytes are counted at two meters, and the end from which its connection writes.
pub fn send_queue(
    all_connections: &Rc<BufferMeter>,
    connection: &Rc<BufferMeter>,
) -> (SendQueue, Receiver<Rc<OutgoingMessage>>) {
    // Bounded by the requests that may be open on the connection; the owner must not wait for a socket.
    let (queue, outgoing) = async_channel::unbounded();
    let (all_connections, connection) = (Rc::clone(all_connections), Rc::clone(connection));
    (SendQueue { queue, all_connections, connection }, outgoing)
}

impl SendQueue {
    /// Queues a message.
    pub fn push(&self, bytes: Vec<u8>) -> Rc<OutgoingMessage> {
        let message = self.message(bytes, None);
        self.release(&message);
        message
    }

    /// Makes an attempt's message that is queued only when it is released.
    pub fn make_held(&self, bytes: Vec<u8>, fetch: SendConditions) -> Rc<OutgoingMessage> {
        self.message(bytes, Some(Box::new(fetch)))
    }

    fn message(&self, bytes: Vec<u8>, fetch: Option<Box<SendConditions>>) -> Rc<OutgoingMessage> {
        let bytes = RefCell::new(Some(BufferedBytes::new(bytes, &[&self.all_connections, &self.connection])));
        Rc::new(OutgoingMessage { delivery_state: Cell::new(DeliveryState::Queued), fetch, bytes })
    }

    /// Queues a message that was made with `make_held`.
    pub fn release(&self, message: &Rc<OutgoingMessage>) {
        if self.queue.try_send(Rc::clone(message)).is_err() {
            // The connection is closed; nothing of this will be written.
            message.recall();
        }
    }

    /// Takes no more messages; those that are queued are still written.
    pub fn close(&self) {
        self.queue.close();
    }

    /// Bytes that are not written.
    pub fn unsent_bytes(&self) -> usize {
        self.connection.bytes()
    }
}

/// Writes messages until the queue is dropped or the connection fails; whether all were written. `stalled` ends a write that takes too
/// long.
pub async fn write_all<W, S, F>(mut socket: W, outgoing: Receiver<Rc<OutgoingMessage>>, stalled: S) -> bool
where
    W: AsyncWrite + Unpin,
    S: Fn() -> F,
    F: std::future::Future<Output = std::io::Result<usize>>,
{
    while let Ok(message) = outgoing.recv().await {
        message.wait_for_backlog().await;
        let Some(bytes) = message.begin() else { continue };
        let mut rest = bytes.bytes();
        while !rest.is_empty() {
            match futures_lite::future::or(socket::write(&mut socket, rest), stalled()).await {
                Ok(n) if n > 0 => rest = rest.get(n..).unwrap_or_default(),
                Ok(_) | Err(_) => return false,
            }
        }
        message.finish();
    }
    true
}
