//! Messages that are not retransmitted by number: replies, and list requests.

use crate::context::Context;
use crate::encoding::encode;
use crate::message::Envelope;
use crate::token::next_sequence;
use crate::{Action, Counters};

/// Numbers replies and list requests below the tokens of requests: if one is lost, its requester retransmits.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbound {
    last_number: u32,
}

impl Outbound {
    /// Sends a message to another member.
    pub fn send(&mut self, envelope: Envelope, counters: &mut Counters, context: &mut Context<'_>) {
        if let Some(bytes) = encode(&envelope) {
            self.last_number = next_sequence(self.last_number);
            counters.messages += 1;
            context.act(Action::Send(u64::from(self.last_number), envelope.to, bytes));
        }
    }
}
