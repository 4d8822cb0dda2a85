//! The memory of a message that is not complete.

use crate::limits::{
    PeerKind, CLIENT_MEMORY_PAUSE_MAX, PARTIAL_MESSAGE_HOLD, READ_BYTES, SHORT_READ_BYTES,
    UNRESERVED_MESSAGE_BYTES,
};
use crate::memory_budget::{MemoryBudget, MemoryBudgets};
use crate::outbox::BufferReservation;
use crate::resp::Admission;
use std::time::Instant;

/// Memory for which a message waits.
struct AwaitedMemory {
    bytes: usize,
    since: Instant,
}

/// The reservation of a connection's partial message. Up to [`UNRESERVED_MESSAGE_BYTES`] belong to the connection and need none.
pub(super) struct PartialMessage {
    budget: MemoryBudget,
    peer: PeerKind,
    reservation: BufferReservation,
    /// Counts bytes that are not decoded, beyond those of the reservation and of the connection.
    undecoded: BufferReservation,
    /// The memory for which the message waits.
    awaited: Option<AwaitedMemory>,
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
        Self { budget, peer, reservation, undecoded, awaited: None, held_since: None }
    }

    /// Reserves memory for a message of this many bytes in all. Without memory a client's message waits for it while it may, and is then
    /// discarded. A server's answer waits until there is memory, or its attempt ends.
    pub(super) fn admit(&mut self, bytes: usize, may_wait: bool) -> Admission {
        let awaited = self.awaited.take();
        if bytes <= UNRESERVED_MESSAGE_BYTES {
            return Admission::Admitted;
        }
        let further_bytes = bytes.saturating_sub(self.reservation.bytes());
        if !self.has_memory_for(further_bytes) {
            let since = awaited.map_or_else(Instant::now, |awaited| awaited.since);
            let waits = match self.peer {
                PeerKind::Client => may_wait && since.elapsed() < CLIENT_MEMORY_PAUSE_MAX,
                PeerKind::Server => true,
            };
            self.awaited = Some(AwaitedMemory { bytes: further_bytes, since }).filter(|_| waits);
            return if waits { Admission::Undecided } else { Admission::Discarded };
        }
        if self.peer == PeerKind::Client {
            self.held_since.get_or_insert_with(Instant::now);
        }
        self.reservation.set(bytes);
        Admission::Admitted
    }

    fn has_memory_for(&self, further_bytes: usize) -> bool {
        match self.peer {
            PeerKind::Client => self.budget.admits_partial(further_bytes),
            // An answer that is begun is read to its end.
            PeerKind::Server => self.is_reserved() || self.budget.admits_answer(further_bytes),
        }
    }

    /// Whether the message waits for memory, and there is none. For a client's, see also [`Self::admit`].
    pub(super) fn waits_for_memory(&self) -> bool {
        self.awaited.as_ref().is_some_and(|awaited| {
            let may_wait = self.peer == PeerKind::Server || awaited.since.elapsed() < CLIENT_MEMORY_PAUSE_MAX;
            may_wait && !self.has_memory_for(awaited.bytes)
        })
    }

    /// Whether the message was left undecided.
    pub(super) fn is_undecided(&self) -> bool {
        self.awaited.is_some()
    }

    /// Counts the bytes that are not decoded.
    pub(super) fn set_undecoded(&mut self, bytes: usize) {
        let beyond = bytes.saturating_sub(self.reservation.bytes() + UNRESERVED_MESSAGE_BYTES);
        self.undecoded.set_overhead(beyond);
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
