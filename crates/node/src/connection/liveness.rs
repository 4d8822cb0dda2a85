//! Whether a client still waits for its requests. The task that reads its connection notes a cancellation when it decodes it, ahead of the
//! queue to the owner; the owner and the writers of connections to servers check it.

use crate::breaks::{broken, Break};
use crate::clients::message::{ClientMessage, Tag};
use crate::limits::MAX_CANCELLATIONS_AHEAD;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Liveness of one client's connection and of its requests.
#[derive(Debug, Default)]
pub struct ClientLiveness {
    disconnected: Cell<Option<Instant>>,
    /// Requests whose cancellation was read and has not reached the owner, with the time of reading.
    cancelled: RefCell<BTreeMap<Tag, Instant>>,
}

impl ClientLiveness {
    /// Whether the client still waits for the answer under this tag.
    pub fn is_waiting(&self, tag: Tag) -> bool {
        self.disconnected.get().is_none() && !self.cancelled.borrow().contains_key(&tag)
    }

    /// Notes a message that was read. Above the bound of cancellations the owner learns of one by its queue only.
    pub fn observe(&self, message: &ClientMessage) {
        if let ClientMessage::Cancel(tag) = message {
            let mut cancelled = self.cancelled.borrow_mut();
            if cancelled.len() < MAX_CANCELLATIONS_AHEAD {
                cancelled.insert(*tag, Instant::now());
            }
        }
    }

    /// The owner has handled the cancellation under this tag. A tag is used once, so no request is under it any more.
    pub fn cancellation_handled(&self, tag: Tag) {
        self.cancelled.borrow_mut().remove(&tag);
    }

    /// Whether the client has not cancelled this request, connected or not.
    pub fn not_cancelled(&self, tag: Tag) -> bool {
        !self.cancelled.borrow().contains_key(&tag)
    }

    /// Notes that the connection is closed.
    pub fn disconnect(&self) {
        self.disconnected.set(Some(Instant::now()));
    }

    /// Since when the client no longer waits for the answer under this tag.
    fn gone_since(&self, tag: Tag) -> Option<Instant> {
        self.disconnected.get().into_iter().chain(self.cancelled.borrow().get(&tag).copied()).min()
    }
}

/// Liveness of one request: whether its client still waits for the answer.
#[derive(Clone, Debug)]
pub struct RequestLiveness {
    client: Rc<ClientLiveness>,
    tag: Tag,
}

impl RequestLiveness {
    /// The liveness of the request that a client made under this tag.
    pub fn new(client: &Rc<ClientLiveness>, tag: Tag) -> Self {
        Self { client: Rc::clone(client), tag }
    }

    /// Whether the client waits.
    pub fn is_waiting(&self) -> bool {
        broken(Break::CancelIgnored) || self.client.is_waiting(self.tag)
    }

    /// For how long the client has not waited; `None` while it does.
    pub fn gone_for(&self, now: Instant) -> Option<Duration> {
        self.client.gone_since(self.tag).map(|since| now.saturating_duration_since(since))
    }
}
