//! How long received bytes may have waited unread in a connection's socket.

use crate::pause_detector::PauseDetector;
use crate::socket::ReadBuffer;
use async_io::Async;
use futures_lite::future;
use std::future::Future;
use std::net::TcpStream;
use std::pin::pin;
use std::time::{Duration, Instant};

/// What a reader knows of the bytes that wait in its socket.
#[derive(Debug)]
pub(super) struct SocketBacklog {
    /// When a read last found the socket empty.
    empty_since: Instant,
    /// The earliest time at which bytes that are unread now may have been received, unless the process paused.
    unread_since: Instant,
    /// The next bytes were received while the connection waited in the listener's backlog, since `empty_since`.
    waited_in_listener: bool,
    /// Reading was paused for want of memory since the socket was last empty.
    paused_for_memory: bool,
    /// The last read had to wait and has not been woken.
    is_empty: bool,
}

impl SocketBacklog {
    /// The backlog of a new connection; `accepted_late` is given if it waited in the listener's backlog since then, with bytes to read.
    pub(super) fn new(accepted_late: Option<Instant>) -> Self {
        let now = Instant::now();
        Self {
            empty_since: accepted_late.unwrap_or(now),
            unread_since: now,
            waited_in_listener: accepted_late.is_some(),
            paused_for_memory: false,
            is_empty: false,
        }
    }

    /// Reads once, as [`ReadBuffer::read`] does. Only a read that has to wait proves that the socket
    /// is empty; a short read doesn't.
    pub(super) async fn read(
        &mut self,
        socket: &Async<TcpStream>,
        buffer: &ReadBuffer,
        max_bytes: impl Fn() -> usize,
        consume: impl FnMut(&[u8]),
    ) -> std::io::Result<usize> {
        let mut reading = pin!(buffer.read(socket, max_bytes, consume));
        let mut waited = false;
        future::poll_fn(|cx| {
            let polled = reading.as_mut().poll(cx);
            match (polled.is_pending(), waited) {
                (true, _) => {
                    waited = true;
                    self.on_empty();
                }
                (false, true) => (self.unread_since, self.is_empty) = (Instant::now(), false),
                (false, false) => self.is_empty = false,
            }
            polled
        })
        .await
    }

    /// A read had to wait: the socket is empty.
    fn on_empty(&mut self) {
        let now = Instant::now();
        (self.empty_since, self.unread_since) = (now, now);
        (self.paused_for_memory, self.is_empty) = (false, true);
    }

    /// Whether the last read found the socket empty, and no bytes came while it waited.
    pub(super) fn is_empty(&self) -> bool {
        self.is_empty
    }

    /// When a read last found the socket empty.
    pub(super) fn empty_since(&self) -> Instant {
        self.empty_since
    }

    /// Reading is paused for want of memory.
    pub(super) fn on_memory_pause(&mut self) {
        self.paused_for_memory = true;
    }

    /// The earliest time at which bytes that are unread now may have been received, unless the process paused.
    pub(super) fn unread_since(&self) -> Instant {
        self.unread_since
    }

    /// The longest time for which the bytes just read may have waited: in the listener's backlog, during a pause of the process, or during a
    /// pause of reading for memory.
    pub(super) fn max_wait(&mut self, pause_detector: &PauseDetector) -> Duration {
        if std::mem::take(&mut self.waited_in_listener) {
            return self.empty_since.elapsed();
        }
        let for_memory = if self.paused_for_memory { self.unread_since.elapsed() } else { Duration::ZERO };
        pause_detector.max_wait_in_socket(self.empty_since).max(for_memory)
    }
}
