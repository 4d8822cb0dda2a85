//! Decodes the messages of the bytes that were read, a bounded number ahead of the owner's queue.

use super::{BufferedArray, Decoded, DecodedMessage, Reader};
use crate::connection::{CloseReason, ConnectionState};
use crate::limits::{
    PeerKind, CLIENT_MEMORY_PAUSE_MAX, MAX_DECODED_WHEN_EXHAUSTED, MAX_OPEN_REQUESTS_PER_CLIENT,
};
use crate::resp::{Array, DecodeError, Decoder};
use std::time::Instant;

impl<D: Fn(DecodedMessage) -> Decoded> Reader<'_, D> {
    /// Decodes the messages read so far; only a few while the memory of requests is exhausted or the owner's queue is filling.
    pub(super) async fn decode_messages(&mut self) {
        let is_exhausted = self.context.budgets.requests.is_exhausted() || self.is_queue_filling();
        let max_pending = match self.limits.peer {
            PeerKind::Client if is_exhausted => MAX_DECODED_WHEN_EXHAUSTED,
            PeerKind::Client => MAX_OPEN_REQUESTS_PER_CLIENT,
            PeerKind::Server => usize::MAX,
        };
        while self.failure.is_none() && self.pending.len() < max_pending {
            if self.lookahead.is_none() {
                self.skip_without_effect().await;
            }
            let next = self.lookahead.take().map_or_else(|| self.next_message(), |next| Ok(Some(next)));
            match next {
                Ok(Some(next)) if self.is_without_effect(&next.array) => self.on_message_without_effect(),
                Ok(Some(next)) => self.decode_message(next),
                Ok(None) => break,
                Err(e) => self.failure = Some(CloseReason::Malformed(e)),
            }
        }
        if self.pending.len() >= max_pending {
            self.look_ahead().await;
        }
        match &self.lookahead {
            Some(next) if !self.cancellations_observed => {
                self.observe_cancellations_ahead(&next.array);
                self.cancellations_observed = true;
            }
            Some(_) => {}
            None if self.decoder.has_partial_message() => {
                self.message_started.get_or_insert_with(Instant::now);
            }
            None => {}
        }
        self.partial.set_undecoded(self.decoder.undecoded().len());
    }

    /// Decodes the next message though no more may be pending, so that cancellations behind it are found.
    async fn look_ahead(&mut self) {
        if self.failure.is_some() || self.lookahead.is_some() {
            return;
        }
        self.skip_without_effect().await;
        match self.next_message() {
            Ok(next) => self.lookahead = next,
            Err(e) => self.failure = Some(CloseReason::Malformed(e)),
        }
    }

    /// Lets cancellations take effect that are behind messages for which there is no memory yet; these messages are decoded again later.
    fn observe_cancellations_ahead(&self, next: &Array) {
        let mut decoder = Decoder::new(self.limits.message_limits);
        decoder.feed(self.decoder.undecoded());
        let mut next = Some(next.elements.clone());
        while let Some(elements) = next.filter(|_| self.limits.peer == PeerKind::Client) {
            let (received_at, boundary_uncertain, discarded) = (self.received_at, false, false);
            // Decoding a cancellation records it.
            let _ = (self.decode)(DecodedMessage { elements, received_at, boundary_uncertain, discarded });
            next = decoder.next_message().ok().flatten();
        }
    }

    /// The next complete message of the bytes read so far.
    fn next_message(&mut self) -> Result<Option<BufferedArray>, DecodeError> {
        let may_wait = self.may_wait(CLIENT_MEMORY_PAUSE_MAX);
        let (decoder, partial) = (&mut self.decoder, &mut self.partial);
        let array = decoder.next_message_within(|bytes| partial.admit(bytes, may_wait))?;
        let Some(array) = array else { return Ok(None) };
        Ok(Some(BufferedArray { array, _reservation: self.partial.take() }))
    }

    /// Decodes a message, and looks ahead whether the bytes after it can be decoded.
    fn decode_message(&mut self, next: BufferedArray) {
        let BufferedArray { array: Array { elements, discarded }, _reservation } = next;
        let following = self.next_message();
        (self.message_started, self.first_message_due) = (None, None);
        let bytes = elements.iter().map(Vec::len).sum::<usize>();
        let (received_at, boundary_uncertain) = (self.received_at, following.is_err());
        match (self.decode)(DecodedMessage { elements, received_at, boundary_uncertain, discarded }) {
            Decoded::Input(input) => {
                // Without effect on a dropped client's connection.
                self.state.map(ConnectionState::enqueue);
                self.pending.push_back(input);
                self.pending_bytes += bytes;
                self.pending_since.get_or_insert_with(Instant::now);
            }
            Decoded::NoEffect => self.on_message_without_effect(),
            Decoded::Unknown => self.failure = Some(CloseReason::Malformed(DecodeError::UNKNOWN_MESSAGE)),
        }
        match following {
            Ok(following) => self.lookahead = following,
            Err(e) => {
                self.failure.get_or_insert(CloseReason::Malformed(e));
            }
        }
    }
}
