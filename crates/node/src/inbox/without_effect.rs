//! Cancellations of tags without a request: they have no effect, and take neither memory nor a place in the owner's queue.

use super::{Decoded, DecodedMessage, Reader};
use crate::clients::message::ClientMessage;
use crate::connection::ConnectionState;
use crate::limits::SKIPPED_MESSAGES_PER_TURN;
use crate::resp::Array;
use futures_lite::future;

impl<D: Fn(DecodedMessage) -> Decoded> Reader<'_, D> {
    /// Skips the next messages while they are cancellations without effect. These cost a client little to send, and are not decoded one by
    /// one.
    pub(super) async fn skip_without_effect(&mut self) {
        let Some(liveness) = self.state.map(ConnectionState::liveness) else { return };
        let mut skipped = 0;
        while let Some(pair) = self.decoder.peek_pair() {
            let tag = ClientMessage::cancelled_tag(pair.first, pair.second);
            if tag.is_none_or(|tag| liveness.is_cancellable(tag)) {
                break;
            }
            let encoded_bytes = pair.encoded_bytes;
            self.decoder.skip(encoded_bytes);
            self.on_message_without_effect();
            skipped += 1;
            if skipped % SKIPPED_MESSAGES_PER_TURN == 0 {
                future::yield_now().await;
            }
        }
    }

    /// Whether a message of a client is a cancellation without effect.
    pub(super) fn is_without_effect(&self, array: &Array) -> bool {
        let (Some(state), [name, tag]) = (self.state, array.elements.as_slice()) else { return false };
        ClientMessage::cancelled_tag(name, tag).is_some_and(|tag| !state.liveness().is_cancellable(tag))
    }

    /// Counts a complete message without effect.
    pub(super) fn on_message_without_effect(&mut self) {
        (self.message_started, self.first_message_due) = (None, None);
        self.state.into_iter().for_each(ConnectionState::count_without_effect);
    }
}
