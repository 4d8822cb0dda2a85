//! Whether a client still waits for its requests. The reader of its connection records requests and cancellations when it decodes them,
//! before they reach the owner by its queue; the owner and the writers of connections to servers check the cancellations.

use crate::breaks::{broken, Break};
use crate::clients::message::{ClientMessage, Tag};
use crate::limits::MAX_CANCELLATIONS_AHEAD;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Whether one client is connected, and which of its requests it has cancelled.
#[derive(Debug, Default)]
pub struct ClientLiveness {
    /// When the connection was closed.
    disconnected: Cell<Option<Instant>>,
    /// Requests that were decoded and whose answers may still be recalled. A cancellation of any other tag has no effect.
    cancellable: RefCell<BTreeSet<Tag>>,
    /// Requests whose cancellation was decoded but not yet handled by the owner, with the time of decoding.
    cancelled: RefCell<BTreeMap<Tag, Instant>>,
}

impl ClientLiveness {
    /// Whether the client still waits for the answer under this tag.
    pub fn is_waiting(&self, tag: Tag) -> bool {
        self.disconnected.get().is_none() && !self.cancelled.borrow().contains_key(&tag)
    }

    /// Records a decoded message if it is a request or a cancellation; returns whether the owner has to handle it, which is not so for the
    /// cancellation of a tag without a request. Beyond [`MAX_CANCELLATIONS_AHEAD`], a cancellation takes effect only when the owner handles
    /// it.
    pub fn observe(&self, message: &ClientMessage) -> bool {
        match message {
            ClientMessage::Request(tag, _) => {
                self.cancellable.borrow_mut().insert(*tag);
                true
            }
            ClientMessage::Cancel(tag) => {
                let mut cancelled = self.cancelled.borrow_mut();
                let has_effect = self.is_cancellable(*tag);
                if has_effect && cancelled.len() < MAX_CANCELLATIONS_AHEAD {
                    cancelled.insert(*tag, Instant::now());
                }
                has_effect
            }
            ClientMessage::Probe(_) | ClientMessage::Malformed(_) => true,
        }
    }

    /// Whether a cancellation of this tag has an effect.
    pub fn is_cancellable(&self, tag: Tag) -> bool {
        self.cancellable.borrow().contains(&tag)
    }

    /// Forgets a request that was cancelled, or whose answer can't be recalled any more.
    pub fn forget(&self, tag: Tag) {
        self.cancellable.borrow_mut().remove(&tag);
        self.cancelled.borrow_mut().remove(&tag);
    }

    /// Whether the client has not cancelled this request, connected or not.
    pub fn not_cancelled(&self, tag: Tag) -> bool {
        !self.cancelled.borrow().contains_key(&tag)
    }

    /// Records that the connection is closed.
    pub fn disconnect(&self) {
        self.disconnected.set(Some(Instant::now()));
    }

    /// When the client stopped waiting for the answer under this tag; `None` while it waits.
    fn left_since(&self, tag: Tag) -> Option<Instant> {
        self.disconnected.get().into_iter().chain(self.cancelled.borrow().get(&tag).copied()).min()
    }
}

/// Whether the client of one request still waits for the answer.
#[derive(Clone, Debug)]
pub struct RequestLiveness {
    client: Rc<ClientLiveness>,
    tag: Tag,
}

impl RequestLiveness {
    /// The liveness of the client's request with this tag.
    pub fn new(client: &Rc<ClientLiveness>, tag: Tag) -> Self {
        Self { client: Rc::clone(client), tag }
    }

    /// Whether the client still waits for the answer.
    pub fn is_waiting(&self) -> bool {
        broken(Break::CancelIgnored) || self.client.is_waiting(self.tag)
    }

    /// How long ago the client stopped waiting; `None` while it waits.
    pub fn left_for(&self, now: Instant) -> Option<Duration> {
        self.client.left_since(self.tag).map(|since| now.saturating_duration_since(since))
    }
}
