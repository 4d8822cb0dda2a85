//! Pauses of reading: why a connection is not read, and what is done meanwhile.

use super::{Decoded, DecodedMessage, Reader};
use crate::connection::CloseReason;
use crate::limits::{
    PeerKind, CLIENT_MEMORY_PAUSE_MAX, CLIENT_READ_PAUSE_MAX, MIN_READ_AHEAD_BYTES, READ_AHEAD_BYTES,
    READ_AHEAD_MESSAGES, RETRY_INTERVAL,
};
use async_io::Timer;
use futures_lite::future;
use std::time::{Duration, Instant};

/// Why reading is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PauseReason {
    /// Buffered messages use too much memory.
    Memory,
    /// Too much waits to be written to this peer.
    SlowPeer,
    /// The owner's queue is full.
    QueueFull,
}

impl<D: Fn(DecodedMessage) -> Decoded> Reader<'_, D> {
    pub(super) fn pause_reason(&self, is_peer_slow: &impl Fn() -> bool) -> Option<PauseReason> {
        if self.waits_for_memory() {
            return Some(PauseReason::Memory);
        }
        is_peer_slow().then_some(PauseReason::SlowPeer)
    }

    /// Whether reading must wait for memory. A message for which memory is reserved is read to its end. A server's answers wait for the
    /// memory of other answers only.
    fn waits_for_memory(&self) -> bool {
        let budgets = &self.context.budgets;
        let lacks_memory = match self.limits.peer {
            PeerKind::Server => budgets.responses.is_exhausted() || self.partial.waits_for_memory(),
            PeerKind::Client => {
                let delayed = budgets.requests.delays_reading() || budgets.responses.is_exhausted();
                let awaits_body_memory = self.partial.waits_for_memory();
                (delayed && self.may_wait(CLIENT_READ_PAUSE_MAX))
                    || (awaits_body_memory && self.may_wait(CLIENT_MEMORY_PAUSE_MAX))
            }
        };
        lacks_memory && !self.partial.is_reserved()
    }

    /// Whether a client's messages have waited for less than `limit`. Those that were read ahead wait as long as they would have unread.
    pub(super) fn may_wait(&self, limit: Duration) -> bool {
        self.pending_since.is_none_or(|since| since.elapsed() < limit)
            && self.backlog.unread_since().elapsed() < limit
    }

    /// Waits for a retry interval while reading is paused. If the peer is watched meanwhile, its close ends the wait, and a bounded
    /// amount is read ahead.
    pub(super) async fn wait_paused(&mut self, reason: PauseReason) -> Result<(), CloseReason> {
        if self.client_closed() {
            return Err(CloseReason::PeerClosed);
        }
        if reason != PauseReason::QueueFull && self.has_ended() {
            return Err(CloseReason::Dropped);
        }
        let since = Instant::now();
        let _paused = self.context.read_pauses.pause();
        let interval = self.check_interval(reason);
        let read_ahead_bytes =
            READ_AHEAD_BYTES.saturating_sub(self.pending_bytes + self.decoder.buffered_bytes());
        let watched = self.limits.peer == PeerKind::Client;
        let may_read_ahead = watched
            && !self.is_dropped()
            && self.failure.is_none()
            && self.pending.len() < READ_AHEAD_MESSAGES
            && read_ahead_bytes >= MIN_READ_AHEAD_BYTES;
        if may_read_ahead {
            self.read_ahead(read_ahead_bytes, interval).await?;
        } else {
            Timer::after(interval).await;
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

    /// How long until a paused connection is checked: at most until the end of a pause that is limited.
    fn check_interval(&self, reason: PauseReason) -> Duration {
        let interval = self.context.read_pauses.retry_interval();
        match reason {
            PauseReason::Memory => {
                let waited = self.pending_since.map_or(Duration::ZERO, |since| since.elapsed());
                let waited = waited.max(self.backlog.unread_since().elapsed());
                interval.min(CLIENT_READ_PAUSE_MAX.saturating_sub(waited).max(RETRY_INTERVAL))
            }
            PauseReason::SlowPeer | PauseReason::QueueFull => interval,
        }
    }

    fn exclude_from_message_time(&mut self, time: Duration) {
        self.message_started = self.message_started.map(|started| started + time);
    }

    /// Reads once and at most `bytes`, or waits for the interval.
    async fn read_ahead(&mut self, bytes: usize, interval: Duration) -> Result<(), CloseReason> {
        let decoder = &mut self.decoder;
        let read =
            self.backlog.read(self.socket, &self.context.read_buffer, || bytes, |chunk| decoder.feed(chunk));
        let timeout = async {
            Timer::after(interval).await;
            None
        };
        match future::or(async { Some(read.await) }, timeout).await {
            Some(Ok(n)) if n > 0 => {
                self.on_bytes_read();
                self.decode_messages().await;
                // Other connections run before the next read, even if the peer sends without a pause.
                future::yield_now().await;
            }
            Some(Ok(_) | Err(_)) => return Err(CloseReason::PeerClosed),
            None => {}
        }
        Ok(())
    }
}
