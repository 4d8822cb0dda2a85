//! Reads a connection: decodes messages and queues them for the owner, within the connection's limits of time and size.
//!
//! Reading pauses while buffered messages use too much memory, the peer is slow to read, or the owner's queue is full. A client is
//! watched meanwhile, so that its close and its cancellations still take effect. A server's answers are read whatever memory requests use,
//! since they free it. A client's requests wait for memory for a bounded time only; then they are read, and the owner sheds them.

mod backlog;

use crate::clients::message::ClientMessage;
use crate::connection::{CloseReason, ConnectionState};
use crate::limits::{
    PeerKind, ReadLimits, READ_AHEAD_BYTES, READ_AHEAD_MESSAGES, READ_BYTES, RETRY_INTERVAL,
};
use crate::messages::{ConnectionContext, Input};
use crate::outbox::BufferReservation;
use crate::resp::{DecodeError, Decoder};
use crate::socket;
use async_channel::TrySendError;
use async_io::{Async, Timer};
use backlog::SocketBacklog;
use basaltgw::api::Ms;
use futures_lite::future;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::VecDeque;
use std::future::Future;
use std::net::TcpStream;
use std::pin::pin;
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
    TimedOut,
    CloseRequested,
}

/// Why reading is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PauseReason {
    /// Buffered messages use too much memory.
    Memory,
    /// Too many bytes wait to be written to this peer.
    SlowPeer,
    /// The owner's queue is full.
    QueueFull,
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
/// While `is_peer_slow` returns true, since too many bytes wait to be written to the peer, reading pauses. `decode` converts a message to an input, or returns `None` if the protocol has no such
/// message; it is called for all messages of a read before the first of them is queued. `client` is given for a client's connection.
pub async fn read_messages(
    socket: &Async<TcpStream>,
    limits: ReadLimits,
    context: &ConnectionContext,
    is_peer_slow: impl Fn() -> bool,
    decode: impl Fn(DecodedMessage) -> Option<Input>,
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
        chunk: vec![0; READ_BYTES],
        pending: VecDeque::new(),
        pending_bytes: 0,
        failure: None,
        first_message_due: limits.first_message_timeout.map(|t| Instant::now() + t),
        message_started: None,
        backlog: SocketBacklog::new(accepted_late),
        buffered: BufferReservation::new(match limits.peer {
            PeerKind::Client => &context.budgets.requests.meter,
            PeerKind::Server => &context.budgets.responses.meter,
        }),
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
    chunk: Vec<u8>,
    /// Decoded messages that are not yet in the owner's queue: those of one read, and those read ahead.
    pending: VecDeque<Input>,
    /// Bytes of the messages decoded since `pending` was last empty.
    pending_bytes: usize,
    /// Why the reader stops once `pending` is empty.
    failure: Option<CloseReason>,
    first_message_due: Option<Instant>,
    /// When the first byte of the partial message was received.
    message_started: Option<Instant>,
    backlog: SocketBacklog,
    buffered: BufferReservation,
    /// Since when reading has been paused for want of memory.
    memory_pause_started: Option<Instant>,
}

impl<D: Fn(DecodedMessage) -> Option<Input>> Reader<'_, D> {
    /// Reads once and queues the complete messages.
    async fn read_and_enqueue(&mut self, is_peer_slow: &impl Fn() -> bool) -> Result<(), CloseReason> {
        while let Some(reason) = self.pause_reason(is_peer_slow) {
            if reason == PauseReason::Memory {
                self.backlog.on_memory_pause();
                self.memory_pause_started.get_or_insert_with(Instant::now);
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
        // Messages that were read ahead go first.
        if self.pending.is_empty() && self.failure.is_none() {
            let n = self.read().await?;
            self.decode_chunk(n);
        }
        self.enqueue(self.pending.len()).await?;
        match self.failure.filter(|_| self.pending.is_empty()) {
            Some(reason) => Err(reason),
            None => Ok(()),
        }
    }

    fn end_memory_pause(&mut self) {
        if let Some(since) = self.memory_pause_started.take() {
            self.context.read_pauses.record(since.elapsed());
        }
    }

    fn pause_reason(&self, is_peer_slow: &impl Fn() -> bool) -> Option<PauseReason> {
        if self.waits_for_memory() {
            return Some(PauseReason::Memory);
        }
        is_peer_slow().then_some(PauseReason::SlowPeer)
    }

    /// Whether reading must wait for memory. A server's answers wait for that of other answers only.
    fn waits_for_memory(&self) -> bool {
        let budgets = &self.context.budgets;
        match self.limits.peer {
            PeerKind::Server => budgets.responses.stops_reading(),
            PeerKind::Client => {
                let delayed = budgets.requests.delays_reading() || budgets.responses.delays_reading();
                let stopped = budgets.requests.stops_reading() && !self.is_within_message();
                stopped || (delayed && self.backlog.may_wait_for_memory())
            }
        }
    }

    /// Whether more of a message is buffered than is read ahead during a pause.
    fn is_within_message(&self) -> bool {
        self.decoder.buffered_bytes() > READ_AHEAD_BYTES
    }

    /// Reads once, within the time limits; returns the number of bytes, 0 if a close request lapsed.
    async fn read(&mut self) -> Result<usize, CloseReason> {
        match self.wait_readable().await {
            ReadEvent::Read(Ok(n)) if n > 0 => Ok(n),
            ReadEvent::Read(Ok(_) | Err(_)) => Err(CloseReason::PeerClosed),
            ReadEvent::TimedOut if self.message_started.is_none() => Err(CloseReason::NoFirstMessage),
            ReadEvent::TimedOut => Err(CloseReason::IncompleteMessage),
            ReadEvent::CloseRequested => {
                let partial_for = self.message_started.map(|t| t.elapsed());
                match self.state.and_then(|state| state.decide_close(partial_for)) {
                    Some(reason) => Err(reason),
                    None => Ok(0),
                }
            }
        }
    }

    /// Waits for bytes, a time limit or a close request, in this order where several are ready.
    async fn wait_readable(&mut self) -> ReadEvent {
        // A long message is read to its end and no further, so that one message at most is buffered.
        let bytes = self.decoder.missing_bytes().map_or(READ_BYTES, |missing| missing.min(READ_BYTES));
        let message_due = self
            .message_started
            .map(|t| (t + self.limits.message_timeout).min(Instant::now() + self.limits.read_gap_timeout));
        let due = message_due.into_iter().chain(self.first_message_due).min();
        let timeout = async {
            match due {
                Some(due) => Timer::at(due).await,
                None => future::pending().await,
            };
            ReadEvent::TimedOut
        };
        let close_requested = async {
            match self.state {
                Some(state) => state.close_requested().await,
                None => future::pending().await,
            }
            ReadEvent::CloseRequested
        };
        let read = async {
            let chunk = self.chunk.get_mut(..bytes).unwrap_or_default();
            ReadEvent::Read(self.backlog.read(self.socket, chunk).await)
        };
        future::or(read, future::or(timeout, close_requested)).await
    }

    /// Decodes the first bytes of the chunk.
    fn decode_chunk(&mut self, bytes: usize) {
        self.decoder.feed(self.chunk.get(..bytes).unwrap_or_default());
        let received_at = self.receive_time();
        let mut next = self.decoder.next_message();
        while self.failure.is_none() {
            let elements = match next {
                Ok(Some(elements)) => elements,
                Ok(None) => break,
                Err(e) => {
                    self.failure = Some(CloseReason::Malformed(e));
                    break;
                }
            };
            next = self.decoder.next_message();
            (self.message_started, self.first_message_due) = (None, None);
            self.pending_bytes += elements.iter().map(Vec::len).sum::<usize>();
            match (self.decode)(DecodedMessage { elements, received_at, boundary_uncertain: next.is_err() }) {
                Some(input) if self.state.is_none_or(ConnectionState::enqueue) => {
                    self.pending.push_back(input)
                }
                Some(_) => self.failure = Some(CloseReason::Dropped),
                None => self.failure = Some(CloseReason::Malformed(DecodeError::UNKNOWN_MESSAGE)),
            }
        }
        self.buffered.set(self.decoder.buffered_bytes());
        if self.decoder.has_partial_message() {
            self.message_started.get_or_insert_with(Instant::now);
        }
    }

    /// When the bytes just read were received; if they may have waited in the socket, the earliest possible time.
    fn receive_time(&mut self) -> Ms {
        let waited = self.backlog.max_wait(&self.context.pause_detector);
        self.context.clock.now() - waited.as_secs_f64() * 1000.0
    }

    /// Moves the first pending messages to the owner's queue, waiting for capacity.
    async fn enqueue(&mut self, count: usize) -> Result<(), CloseReason> {
        for _ in 0..count {
            let Some(input) = self.pending.pop_front() else { break };
            if self.state.is_some_and(|state| !state.phase().reads()) {
                return Err(CloseReason::Dropped);
            }
            match self.context.queue.try_send(input) {
                Ok(()) => {}
                Err(TrySendError::Closed(_)) => return Err(CloseReason::PeerClosed),
                Err(TrySendError::Full(input)) => self.enqueue_when_free(input).await?,
            }
        }
        if self.pending.is_empty() {
            self.pending_bytes = 0;
        }
        Ok(())
    }

    /// Waits until the owner's queue has capacity for a message.
    async fn enqueue_when_free(&mut self, input: Input) -> Result<(), CloseReason> {
        let queue = &self.context.queue;
        let mut send = pin!(queue.send(input));
        loop {
            let sent = async { Some(send.as_mut().await.map_err(|_| CloseReason::PeerClosed)) };
            let paused = async { self.wait_paused(PauseReason::QueueFull).await.err().map(Err) };
            if let Some(result) = future::or(sent, paused).await {
                return result;
            }
        }
    }

    /// Waits for one retry interval while reading is paused. If the peer is watched meanwhile, its close ends the wait, and a bounded
    /// amount is read ahead.
    async fn wait_paused(&mut self, reason: PauseReason) -> Result<(), CloseReason> {
        let since = Instant::now();
        let read_ahead_bytes =
            READ_AHEAD_BYTES.saturating_sub(self.pending_bytes + self.decoder.buffered_bytes());
        let watched = self.limits.peer == PeerKind::Client;
        let may_read_ahead = watched
            && self.failure.is_none()
            && self.pending.len() < READ_AHEAD_MESSAGES
            && read_ahead_bytes > 0;
        if may_read_ahead {
            self.read_ahead(read_ahead_bytes).await?;
        } else if watched && peer_closed(self.socket) {
            return Err(CloseReason::PeerClosed);
        } else {
            Timer::after(RETRY_INTERVAL).await;
        }
        match reason {
            // A partial message must time out here, since it may be what uses up the memory. Time in which a client's bytes lay unread
            // doesn't count; a server's answers have their attempts' timeouts, and count.
            PauseReason::Memory => {
                if self.limits.peer == PeerKind::Client && !self.backlog.is_empty() {
                    self.exclude_from_message_time(since.elapsed());
                }
                match self.message_started.filter(|t| t.elapsed() > self.limits.message_timeout) {
                    Some(_) => Err(CloseReason::IncompleteMessage),
                    None => Ok(()),
                }
            }
            // The pause doesn't count towards the time limit of the partial message.
            PauseReason::SlowPeer | PauseReason::QueueFull => {
                self.exclude_from_message_time(since.elapsed());
                Ok(())
            }
        }
    }

    fn exclude_from_message_time(&mut self, time: Duration) {
        self.message_started = self.message_started.map(|started| started + time);
    }

    /// Reads at most `bytes`, for one retry interval.
    async fn read_ahead(&mut self, bytes: usize) -> Result<(), CloseReason> {
        let chunk = self.chunk.get_mut(..bytes).unwrap_or_default();
        let read = self.backlog.read(self.socket, chunk);
        let timeout = async {
            Timer::after(RETRY_INTERVAL).await;
            None
        };
        match future::or(async { Some(read.await) }, timeout).await {
            Some(Ok(n)) if n > 0 => self.decode_chunk(n),
            Some(Ok(_) | Err(_)) => return Err(CloseReason::PeerClosed),
            None => {}
        }
        Ok(())
    }
}

fn is_cancellation(input: &Input) -> bool {
    matches!(input, Input::ClientMessage { message: ClientMessage::Cancel(_), .. })
}

/// Whether the peer has closed its side, even if bytes before the close are unread. If polling fails, the next read detects the close.
fn peer_closed(socket: &Async<TcpStream>) -> bool {
    let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
    let polled = poll(&mut fds, Some(&Timespec::default()));
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    polled.is_ok() && fds.iter().any(|fd| fd.revents().intersects(closed))
}
