//! Relief when memory is short.

use super::clients::{Client, Clients};
use super::Owner;
use crate::clients::{answer, Reply};
use crate::outbox::Stage;

impl Clients {
    /// The client for which most waits gets failures for what is not begun; gives how many, `None` if nothing waits.
    fn withhold(&mut self) -> Option<u64> {
        let waits = |c: &Client| c.unsent.values().any(|p| p.stage() == Stage::Waiting);
        let client = self.0.values_mut().filter(|c| waits(c)).max_by_key(|c| c.outbox.unsent())?;
        let mut withheld = 0;
        for (tag, parcel) in std::mem::take(&mut client.unsent) {
            if parcel.take_back() {
                withheld += 1;
                client.outbox.put(answer(tag, Reply::Failed));
            }
        }
        Some(withheld)
    }
}

impl Owner {
    /// While too much is held, answers are withheld from the client for which most waits.
    pub(super) fn apply_memory_pressure(&mut self) {
        while self.meter.held() > self.most_held {
            let Some(withheld) = self.clients.withhold() else { return };
            self.counters.clients.withheld.more(withheld);
        }
    }
}
