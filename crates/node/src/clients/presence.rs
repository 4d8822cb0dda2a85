//! Whether a client still waits: told by the task that reads its connection the moment it reads so, ahead of the queue to the owner.

use super::{FromClient, Tag};
use crate::breaks::{broken, Break};
use crate::limits::UNHEEDED_MOST;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client on its connection: set by the task that reads it, looked at by the owner and by the tasks that write to servers.
#[derive(Debug, Default)]
pub struct Presence {
    gone: Cell<Option<Instant>>,
    /// Taken back, and on the way to the owner still; since when.
    undone: RefCell<BTreeMap<Tag, Instant>>,
}

impl Presence {
    /// The client still waits for the answer under this tag.
    pub fn wants(&self, tag: Tag) -> bool {
        self.gone.get().is_none() && !self.undone.borrow().contains_key(&tag)
    }

    /// A message of its was read. Of very many that take something back at once, the later ones are heard of by the queue alone.
    pub fn read(&self, message: &FromClient) {
        if let FromClient::Undo(tag) = message {
            let mut undone = self.undone.borrow_mut();
            if undone.len() < UNHEEDED_MOST {
                undone.insert(*tag, Instant::now());
            }
        }
    }

    /// The owner has heard that this was taken back. A tag is used once, so nothing is under it any more.
    pub fn heeded(&self, tag: Tag) {
        self.undone.borrow_mut().remove(&tag);
    }

    /// It has not taken this request back, whatever became of its connection.
    pub fn not_taken_back(&self, tag: Tag) -> bool {
        !self.undone.borrow().contains_key(&tag)
    }

    /// Its connection is over.
    pub fn leave(&self) {
        self.gone.set(Some(Instant::now()));
    }

    /// Since when the client has not waited for the answer under this tag.
    fn left(&self, tag: Tag) -> Option<Instant> {
        self.gone.get().into_iter().chain(self.undone.borrow().get(&tag).copied()).min()
    }
}

/// What tells whether a request's client still waits for it.
#[derive(Clone, Debug)]
pub struct Wanted {
    client: Rc<Presence>,
    tag: Tag,
}

impl Wanted {
    /// By this client, under this tag.
    pub fn new(client: &Rc<Presence>, tag: Tag) -> Self {
        Self { client: Rc::clone(client), tag }
    }

    /// It does.
    pub fn holds(&self) -> bool {
        broken(Break::CancelIgnored) || self.client.wants(self.tag)
    }

    /// For how long it has not.
    pub fn gone_for(&self, now: Instant) -> Option<Duration> {
        self.client.left(self.tag).map(|since| now.saturating_duration_since(since))
    }
}
