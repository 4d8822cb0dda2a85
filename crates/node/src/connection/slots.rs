//! How many clients' connections are open, and whether new ones are accepted.

use async_channel::{Receiver, Sender};
use std::cell::Cell;

/// Counts of special cases at the close of clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseCounts {
    /// Close requests that lapsed, since a message crossed them.
    pub crossed: u64,
    /// Closes after which unread bytes came.
    pub unread: u64,
    /// Lingering closes that reached their bound.
    pub lingered: u64,
    /// Closes of clients that took no byte.
    pub stalled: u64,
}

/// The slots of all clients' connections. A slot is taken until its socket is closed.
#[derive(Debug)]
pub struct ConnectionSlots {
    taken: Cell<usize>,
    /// Of `taken`: half closed, to be closed within the linger timeout.
    lingering: Cell<usize>,
    closes_crossed: Cell<u64>,
    closes_unread: Cell<u64>,
    closes_lingered: Cell<u64>,
    closed_stalled: Cell<u64>,
    /// Closed once only what is in the backlog is still accepted.
    accept_end: (Sender<()>, Receiver<()>),
}

impl Default for ConnectionSlots {
    fn default() -> Self {
        Self {
            taken: Cell::default(),
            lingering: Cell::default(),
            closes_crossed: Cell::default(),
            closes_unread: Cell::default(),
            closes_lingered: Cell::default(),
            closed_stalled: Cell::default(),
            accept_end: async_channel::bounded(1),
        }
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl ConnectionSlots {
    /// Connections whose sockets are not closed.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Those of them that are half closed.
    pub fn lingering(&self) -> usize {
        self.lingering.get()
    }

    /// How connections were closed so far.
    pub fn counts(&self) -> CloseCounts {
        CloseCounts {
            crossed: self.closes_crossed.get(),
            unread: self.closes_unread.get(),
            lingered: self.closes_lingered.get(),
            stalled: self.closed_stalled.get(),
        }
    }

    /// Stops accepting: from now on only what is in the backlog is accepted.
    pub fn stop_accepting(&self) {
        self.accept_end.0.close();
    }

    /// Whether accepting has stopped.
    pub fn stopped_accepting(&self) -> bool {
        self.accept_end.0.is_closed()
    }

    /// Waits until accepting has stopped.
    pub async fn accepting_stopped(&self) {
        // Nothing is ever sent; the receive returns when the channel is closed.
        let _ = self.accept_end.1.recv().await;
    }

    pub(crate) fn take(&self) {
        self.taken.set(self.taken.get() + 1);
    }

    pub(crate) fn release(&self) {
        self.taken.set(self.taken.get().saturating_sub(1));
    }

    pub(crate) fn start_lingering(&self) {
        self.lingering.set(self.lingering.get() + 1);
    }

    pub(crate) fn stop_lingering(&self) {
        self.lingering.set(self.lingering.get().saturating_sub(1));
    }

    /// Counts a close request that a message crossed.
    pub(crate) fn count_crossed(&self) {
        increment(&self.closes_crossed);
    }

    /// Counts a close after which unread bytes came.
    pub(crate) fn count_unread(&self) {
        increment(&self.closes_unread);
    }

    /// Counts a close that reached the bound of lingering.
    pub(crate) fn count_lingered(&self) {
        increment(&self.closes_lingered);
    }

    /// Counts a close of a client that took no byte.
    pub(crate) fn count_stalled(&self) {
        increment(&self.closed_stalled);
    }
}
