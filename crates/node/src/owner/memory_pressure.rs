//! Sheds load when the bytes buffered for connections exceed the memory limit, a share of the configured memory.
//!
//! The unsent responses of the client with the most buffered bytes are failed first, so that slow readers don't use up the memory.

use super::clients::{Client, Clients};
use super::Owner;
use crate::clients::{encode_answer, Reply};
use crate::outbox::DeliveryState;

impl Clients {
    /// Replaces the responses of which nothing is written by failures, for the client with the most buffered bytes; returns how many,
    /// `None` if no client has any.
    fn fail_unsent_responses(&mut self) -> Option<u64> {
        let has_unsent =
            |c: &Client| c.unsent.values().any(|message| message.delivery_state() == DeliveryState::Queued);
        let candidates = self.connected.values_mut().filter(|client| has_unsent(client));
        let client = candidates.max_by_key(|client| client.outbox.unsent_bytes())?;
        let mut failed = 0;
        for (tag, message) in std::mem::take(&mut client.unsent) {
            if message.recall() {
                failed += 1;
                client.outbox.push(encode_answer(tag, Reply::Failed));
            }
            client.connection.liveness().forget(tag);
        }
        Some(failed)
    }
}

impl Owner {
    /// Fails unsent responses, client by client, until the buffered bytes are within the limit.
    pub(super) fn apply_memory_pressure(&mut self) {
        while self.memory.is_exceeded() {
            let Some(failed) = self.clients.fail_unsent_responses() else { return };
            self.counters.clients.failed_for_memory.add(failed);
        }
    }
}
