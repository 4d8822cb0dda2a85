//! How many clients' connections are open, whether new ones are accepted, and counts of special cases.

use async_channel::{Receiver, Sender};
use std::cell::Cell;

/// Counts of special cases at the close of clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseCounts {
    /// Close requests of the owner that lapsed, since a message of the client crossed them.
    pub crossed: u64,
    /// Closes after which the client sent bytes.
    pub unread: u64,
    /// Lingering closes that reached their limit in time or bytes.
    pub lingered: u64,
    /// Closes after the write timeout, since the client read nothing.
    pub stalled: u64,
}

/// The slots of all clients' connections. A slot is taken until its socket is closed.
#[derive(Debug)]
pub struct ConnectionSlots {
    taken: Cell<usize>,
    /// Of the taken slots: those of half-closed connections, which are closed within the linger timeout.
    lingering: Cell<usize>,
    closes_crossed: Cell<u64>,
    closes_unread: Cell<u64>,
    closes_lingered: Cell<u64>,
    closed_stalled: Cell<u64>,
    without_effect: Cell<u64>,
    /// A channel without messages; closed when accepting ends, except for connections that are in the backlog.
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
            without_effect: Cell::default(),
            accept_end: async_channel::bounded(1),
        }
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl ConnectionSlots {
    /// The number of taken slots: connections whose sockets are not closed.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// The number of taken slots whose connections are half closed.
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

    /// The number of cancellations of tags without a request.
    pub fn cancellations_without_effect(&self) -> u64 {
        self.without_effect.get()
    }

    /// Stops accepting, except for connections that are in the backlog.
    pub fn stop_accepting(&self) {
        self.accept_end.0.close();
    }

    /// Whether accepting has stopped.
    pub fn stopped_accepting(&self) -> bool {
        self.accept_end.0.is_closed()
    }

    /// Waits until accepting has stopped.
    pub async fn accepting_stopped(&self) {
        // The receive returns only when the channel is closed.
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

    /// Counts a cancellation of a tag without a request.
    pub(crate) fn count_without_effect(&self) {
        increment(&self.without_effect);
    }

    /// Counts a close request that a message crossed.
    pub(crate) fn count_crossed(&self) {
        increment(&self.closes_crossed);
    }

    /// Counts a close after which the client sent bytes.
    pub(crate) fn count_unread(&self) {
        increment(&self.closes_unread);
    }

    /// Counts a lingering close that reached its limit.
    pub(crate) fn count_lingered(&self) {
        increment(&self.closes_lingered);
    }

    /// Counts a close after the write timeout.
    pub(crate) fn count_stalled(&self) {
        increment(&self.closed_stalled);
    }
}
