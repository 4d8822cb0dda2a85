//! Passes decoded messages to the owner's queue, in turns with other connections.

use super::pauses::PauseReason;
use super::{Decoded, DecodedMessage, Reader};
use crate::clients::message::ClientMessage;
use crate::connection::CloseReason;
use crate::messages::Input;
use async_channel::TrySendError;
use futures_lite::future;
use std::collections::VecDeque;
use std::pin::pin;

impl<D: Fn(DecodedMessage) -> Decoded> Reader<'_, D> {
    /// Moves the first pending messages to the owner's queue, waiting for capacity.
    pub(super) async fn enqueue(&mut self, count: usize) -> Result<(), CloseReason> {
        for _ in 0..count {
            let Some(input) = self.pending.pop_front() else { break };
            match self.context.queue.try_send(input) {
                Ok(()) => {}
                Err(TrySendError::Closed(_)) => return Err(CloseReason::PeerClosed),
                Err(TrySendError::Full(input)) => self.enqueue_when_free(input).await?,
            }
            // Connections take turns, so that one that sends without a pause doesn't take each place that becomes free.
            if self.is_queue_filling() {
                future::yield_now().await;
            }
        }
        if self.pending.is_empty() {
            (self.pending, self.pending_bytes, self.pending_since) = (VecDeque::new(), 0, None);
        }
        Ok(())
    }

    /// Whether the owner's queue is more than half full.
    pub(super) fn is_queue_filling(&self) -> bool {
        let queue = &self.context.queue;
        queue.capacity().is_some_and(|capacity| queue.len() > capacity / 2)
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
}

/// Whether a message is a cancellation, which frees the memory of its request.
pub(super) fn is_cancellation(input: &Input) -> bool {
    matches!(input, Input::ClientMessage { message: ClientMessage::Cancel(_), .. })
}
