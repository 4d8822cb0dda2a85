//! The memory of a message that is not complete.

use crate::limits::{PeerKind, PARTIAL_MESSAGE_HOLD, READ_BYTES, SHORT_READ_BYTES, UNRESERVED_MESSAGE_BYTES};
use crate::memory_budget::{MemoryBudget, MemoryBudgets};
use crate::outbox::BufferReservation;
use std::time::Instant;

/// The reservation of a connection's partial message. Up to [`UNRESERVED_MESSAGE_BYTES`] belong to the connection and need none.
pub(super) struct PartialMessage {
    budget: MemoryBudget,
    peer: PeerKind,
    reservation: BufferReservation,
    /// Counts bytes that are not decoded, beyond those of the reservation and of the connection.
    undecoded: BufferReservation,
    /// When a client's reservation was made, or last found to be in nobody's way.
    held_since: Option<Instant>,
}

impl PartialMessage {
    pub(super) fn new(budgets: &MemoryBudgets, peer: PeerKind) -> Self {
        let budget = match peer {
            PeerKind::Client => budgets.requests.clone(),
            PeerKind::Server => budgets.responses.clone(),
        };
        let reservation = BufferReservation::new(&budget.partial);
        let undecoded = BufferReservation::new(&budget.partial);
        Self { budget, peer, reservation, undecoded, held_since: None }
    }

    /// Reserves memory for a message of this many bytes in all; false if there is none. A server's answer is always admitted, since it is
    /// begun to be read only while there is memory.
    pub(super) fn admit(&mut self, bytes: usize) -> bool {
        if bytes <= UNRESERVED_MESSAGE_BYTES {
            return true;
        }
        let further_bytes = bytes.saturating_sub(self.reservation.bytes());
        if self.peer == PeerKind::Client {
            if !self.budget.admits_partial(further_bytes) {
                return false;
            }
            self.held_since.get_or_insert_with(Instant::now);
        }
        self.reservation.set(bytes);
        true
    }

    /// Counts the bytes that are not decoded.
    pub(super) fn set_undecoded(&mut self, bytes: usize) {
        self.undecoded.set(bytes.saturating_sub(self.reservation.bytes() + UNRESERVED_MESSAGE_BYTES));
    }

    /// Whether memory is reserved, so that the message can be read to its end.
    pub(super) fn is_reserved(&self) -> bool {
        self.reservation.bytes() > 0
    }

    /// Ends the partial message; its memory is counted until the returned reservation is dropped.
    pub(super) fn take(&mut self) -> BufferReservation {
        self.held_since = None;
        std::mem::replace(&mut self.reservation, BufferReservation::new(&self.budget.partial))
    }

    /// When the reservation is checked next.
    pub(super) fn check_due(&self) -> Option<Instant> {
        self.held_since.map(|since| since + PARTIAL_MESSAGE_HOLD)
    }

    /// Whether the message must give up its memory, since others lack it; if not, it holds it for another [`PARTIAL_MESSAGE_HOLD`].
    pub(super) fn must_give_way(&mut self) -> bool {
        self.held_since = Some(Instant::now());
        self.budget.lacks_partial_memory()
    }
}

/// The most bytes of a read. A long message is read to its end and no further, so that one message at most is buffered; `missing` bytes complete
/// the bulk string whose length is known.
pub(super) fn max_read_bytes(missing: Option<usize>, lacks_memory: bool) -> usize {
    match missing {
        Some(missing) if missing > SHORT_READ_BYTES => missing.min(READ_BYTES),
        Some(_) | None if lacks_memory => SHORT_READ_BYTES,
        Some(missing) => missing,
        None => READ_BYTES,
    }
}
