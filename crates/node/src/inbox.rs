//! Reads a connection: decodes messages and queues them for the owner, within the connection's limits of time and size.
//!
//! Reading pauses while buffered messages use too much memory, the peer is slow to read, or the owner's queue is full. A client is
//! watched meanwhile, so that its close and its cancellations still take effect. A server's answers are read whatever memory requests use,
//! since they free it. A client's requests wait for memory for a bounded time only; then they are read, and the owner sheds them.
//!
//! - `backlog`: how long bytes may have waited in the socket;
//! - `decoding`: messages of the bytes that were read;
//! - `partial`: the memory of a message that is not complete;
//! - `pauses`: why reading pauses, and what is done meanwhile;
//! - `queueing`: passing decoded messages to the owner;
//! - `without_effect`: messages that the owner need not handle;
//! - this file: reading.

mod backlog;
mod decoding;
mod partial;
mod pauses;
mod queueing;
mod without_effect;

use crate::connection::{CloseReason, ConnectionState, IdleReason};
use crate::limits::{PeerKind, ReadLimits, CLOSE_CROSSING, MAX_OPEN_REQUESTS_PER_CLIENT};
use crate::messages::{ConnectionContext, Input};
use crate::outbox::BufferReservation;
use crate::resp::{Array, Decoder};
use crate::socket;
use async_io::{Async, Timer};
use backlog::SocketBacklog;
use basaltgw::api::Ms;
use futures_lite::future;
use partial::{max_read_bytes, PartialMessage};
use pauses::PauseReason;
use queueing::is_cancellation;
use std::collections::VecDeque;
use std::future::Future;
use std::net::TcpStream;
use std::task::Poll;
use std::time::{Duration, Instant};

/// A client's connection that waited in the listener's backlog for no longer than this counts as accepted at once.
const MAX_PROMPT_ACCEPT_DELAY: Duration = Duration::from_millis(10);

/// A complete message, split into the bulk strings of its RESP array.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedMessage {
    /// The bulk strings.
    pub elements: Vec<Vec<u8>>,
    /// When the last byte was received, in milliseconds of the router's clock.
    pub received_at: Ms,
    /// The bytes after the message can't be decoded, so the message may not be complete.
    pub boundary_uncertain: bool,
    /// A bulk string was discarded for want of memory, and is empty.
    pub discarded: bool,
}

/// What a complete message is to the receiver's protocol.
pub enum Decoded {
    /// An input of the owner.
    Input(Input),
    /// A message without any effect, which the owner need not handle.
    NoEffect,
    /// Not a message of the protocol.
    Unknown,
}

/// A complete message with the memory that is reserved for it.
struct BufferedArray {
    array: Array,
    _reservation: BufferReservation,
}

/// What the reader of a client's connection needs in addition to that of a server's.
#[derive(Clone, Copy, Debug)]
pub struct ClientReader<'a> {
    /// The connection's state, through which the owner may request a close.
    pub state: &'a ConnectionState,
    /// Since when the connection may have waited in the listener's backlog.
    pub waiting_since: Instant,
}

/// What ends a reader's wait.
enum ReadEvent {
    /// The result of a read, with the number of bytes.
    Read(std::io::Result<usize>),
    /// The partial message has held its memory for a while.
    HoldExpired,
    TimedOut,
    CloseRequested,
}

/// Runs a connection's reader and writer until one of them ends; returns why the connection is closed. The writer's result, whether it wrote all
/// messages, makes no difference.
pub async fn run_reader_and_writer(
    read: impl Future<Output = CloseReason>,
    write: impl Future<Output = bool>,
) -> CloseReason {
    let written = async {
        write.await;
        CloseReason::PeerClosed
    };
    future::or(read, written).await
}

/// Reads messages until the connection ends, sends what can't be decoded, or exceeds a time limit; returns why it stops.
///
/// While `is_peer_slow` returns true, since too much waits to be written to the peer, reading pauses. `decode` is called for all messages
/// of a read before the first of them is queued, while there is memory for them. `client` is given for a client's connection.
pub async fn read_messages(
    socket: &Async<TcpStream>,
    limits: ReadLimits,
    context: &ConnectionContext,
    is_peer_slow: impl Fn() -> bool,
    decode: impl Fn(DecodedMessage) -> Decoded,
    client: Option<ClientReader<'_>>,
) -> CloseReason {
    // Bytes that are readable at once were received while the connection waited in the backlog.
    let accepted_late = client
        .map(|client| client.waiting_since)
        .filter(|since| since.elapsed() > MAX_PROMPT_ACCEPT_DELAY && socket::readable(socket));
    let mut reader = Reader {
        socket,
        limits,
        context,
        decode,
        state: client.map(|client| client.state),
        decoder: Decoder::new(limits.message_limits),
        lookahead: None,
        received_at: context.clock.now(),
        cancellations_observed: false,
        pending: VecDeque::new(),
        pending_bytes: 0,
        pending_since: None,
        failure: None,
        first_message_due: limits.first_message_timeout.map(|t| Instant::now() + t),
        message_started: None,
        backlog: SocketBacklog::new(accepted_late),
        partial: PartialMessage::new(&context.budgets, limits.peer),
        memory_pause_started: None,
    };
    loop {
        if let Err(reason) = reader.read_and_enqueue(&is_peer_slow).await {
            return reason;
        }
        // Other connections run between two reads, even if the peer sends without a pause.
        future::yield_now().await;
    }
}

/// The reading side of a connection.
struct Reader<'a, D> {
    socket: &'a Async<TcpStream>,
    limits: ReadLimits,
    context: &'a ConnectionContext,
    decode: D,
    state: Option<&'a ConnectionState>,
    decoder: Decoder,
    /// The next complete message, which is decoded with the one before it.
    lookahead: Option<BufferedArray>,
    /// When the bytes read last were received.
    received_at: Ms,
    /// Whether the cancellations among these bytes have taken effect.
    cancellations_observed: bool,
    /// Decoded messages that are not yet in the owner's queue.
    pending: VecDeque<Input>,
    /// Bytes of the messages decoded since `pending` was last empty.
    pending_bytes: usize,
    /// Since when the first of these messages has been pending.
    pending_since: Option<Instant>,
    /// Why the reader stops once `pending` is empty.
    failure: Option<CloseReason>,
    first_message_due: Option<Instant>,
    /// When the first byte of the partial message was received.
    message_started: Option<Instant>,
    backlog: SocketBacklog,
    partial: PartialMessage,
    /// Since when reading has been paused for want of memory.
    memory_pause_started: Option<Instant>,
}

impl<D: Fn(DecodedMessage) -> Decoded> Reader<'_, D> {
    /// Reads once, unless messages are left of the last read, and queues the complete messages.
    async fn read_and_enqueue(&mut self, is_peer_slow: &impl Fn() -> bool) -> Result<(), CloseReason> {
        while let Some(reason) = self.pause_reason(is_peer_slow) {
            match reason {
                PauseReason::Memory => {
                    self.backlog.on_memory_pause();
                    self.memory_pause_started.get_or_insert_with(Instant::now);
                }
                PauseReason::SlowPeer | PauseReason::QueueFull => self.end_memory_pause(),
            }
            // Cancellations use no memory and free that of their requests.
            while self.pending.front().is_some_and(is_cancellation) && !self.context.queue.is_full() {
                self.enqueue(1).await?;
            }
            let waited = self.wait_paused(reason).await;
            if waited.is_err() {
                self.end_memory_pause();
            }
            waited?;
        }
        self.end_memory_pause();
        if self.has_ended() {
            return Err(CloseReason::Dropped);
        }
        // Messages that were read ahead go first.
        if self.pending.is_empty() && self.failure.is_none() {
            if self.lookahead.is_none() && !self.partial.is_undecided() {
                self.read().await?;
            }
            self.decode_messages().await;
        }
        // A few at a time, so that a pause takes effect among the messages of one read.
        self.enqueue(self.pending.len().min(MAX_OPEN_REQUESTS_PER_CLIENT)).await?;
        match self.failure.filter(|_| self.pending.is_empty()) {
            Some(reason) => Err(reason),
            None => Ok(()),
        }
    }

    /// Whether the owner has dropped the client: nothing more is read.
    fn is_dropped(&self) -> bool {
        self.state.is_some_and(|state| !state.phase().reads())
    }

    /// Whether the owner has dropped the client, and all that was read before is queued.
    fn has_ended(&self) -> bool {
        self.is_dropped() && self.pending.is_empty() && self.lookahead.is_none()
    }

    fn end_memory_pause(&mut self) {
        if let Some(since) = self.memory_pause_started.take() {
            self.context.read_pauses.record(since.elapsed());
        }
    }

    /// Reads once, within the time limits, or returns without a byte if a close request lapsed or a partial message was checked.
    async fn read(&mut self) -> Result<(), CloseReason> {
        match self.wait_readable().await {
            // A client that has closed waits for nothing, whatever it sent before.
            ReadEvent::Read(Ok(n)) if n > 0 && !self.client_closed() => self.on_bytes_read(),
            ReadEvent::Read(Ok(_) | Err(_)) => return Err(CloseReason::PeerClosed),
            ReadEvent::HoldExpired if self.partial.must_give_way() => {
                self.decoder.discard_partial_string();
                drop(self.partial.take());
            }
            ReadEvent::HoldExpired => {}
            ReadEvent::TimedOut if self.message_started.is_none() => return Err(CloseReason::NoFirstMessage),
            ReadEvent::TimedOut => return Err(CloseReason::IncompleteMessage),
            ReadEvent::CloseRequested => {
                let partial_for = self.message_started.map(|t| t.elapsed());
                if let Some(reason) = self.state.and_then(|state| state.decide_close(partial_for)) {
                    return Err(reason);
                }
            }
        }
        Ok(())
    }

    /// Whether the peer is a client that has closed its side.
    fn client_closed(&self) -> bool {
        self.limits.peer == PeerKind::Client && socket::peer_closed(self.socket)
    }

    /// Waits for a close request of the shutdown, bytes, a time limit or another close request, in this order where several are ready.
    async fn wait_readable(&mut self) -> ReadEvent {
        let (missing, budgets, peer) =
            (self.decoder.missing_bytes(), &self.context.budgets, self.limits.peer);
        let queue_filling = self.is_queue_filling();
        let max_bytes = || {
            let budget = match peer {
                PeerKind::Client => &budgets.requests,
                PeerKind::Server => &budgets.responses,
            };
            max_read_bytes(missing, budget.must_shed() || queue_filling)
        };
        let message_due = self
            .message_started
            .map(|t| (t + self.limits.message_timeout).min(Instant::now() + self.limits.read_gap_timeout));
        let due = message_due.into_iter().chain(self.first_message_due).min();
        let timeout = after(due, ReadEvent::TimedOut);
        let hold_expired = after(self.partial.check_due(), ReadEvent::HoldExpired);
        let close_requested = async {
            match self.state {
                Some(state) => state.close_requested().await,
                None => future::pending().await,
            }
            ReadEvent::CloseRequested
        };
        // A client that goes on sending may leave no moment without bytes, and the process has to end all the same.
        let empty_since = self.backlog.empty_since();
        let shut_down = future::poll_fn(|_| match self.state.and_then(ConnectionState::close_reason) {
            Some(IdleReason::Shutdown) if empty_since.elapsed() < CLOSE_CROSSING => {
                Poll::Ready(ReadEvent::CloseRequested)
            }
            Some(_) | None => Poll::Pending,
        });
        let decoder = &mut self.decoder;
        let read =
            self.backlog.read(self.socket, &self.context.read_buffer, max_bytes, |chunk| decoder.feed(chunk));
        let read = async { ReadEvent::Read(read.await) };
        let timers = future::or(timeout, hold_expired);
        future::or(shut_down, future::or(read, future::or(timers, close_requested))).await
    }

    /// Records when the bytes just read were received; if they may have waited in the socket, the earliest possible time.
    fn on_bytes_read(&mut self) {
        let waited = self.backlog.max_wait(&self.context.pause_detector);
        self.received_at = self.context.clock.now() - waited.as_secs_f64() * 1000.0;
        self.cancellations_observed = false;
    }
}

/// Completes with an event at a time; never without one.
async fn after(due: Option<Instant>, event: ReadEvent) -> ReadEvent {
    match due {
        Some(due) => Timer::at(due).await,
        None => future::pending().await,
    };
    event
}
