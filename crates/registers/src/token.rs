//! Tokens of timers and numbers of messages: the id of the request in the high bits, a sequence number within it in the low ones.

/// The timer of the expiry scan.
pub(crate) const EXPIRY_TIMER: u64 = 0;

/// The timer of the replica synchronisation.
pub(crate) const SYNC_TIMER: u64 = 1;

/// Bits of the sequence number in a token.
const SEQUENCE_BITS: u32 = 24;

/// A timer or message of a request. Ids of requests start at 1, so that their tokens are greater than [`EXPIRY_TIMER`] and [`SYNC_TIMER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Token {
    pub request_id: u64,
    pub sequence: u32,
}

impl Token {
    pub fn to_u64(self) -> u64 {
        (self.request_id << SEQUENCE_BITS) | u64::from(self.sequence)
    }

    pub fn from_u64(token: u64) -> Self {
        Self { request_id: token >> SEQUENCE_BITS, sequence: (token & ((1 << SEQUENCE_BITS) - 1)) as u32 }
    }
}

/// The sequence number after one; wraps around.
pub(crate) fn next_sequence(sequence: u32) -> u32 {
    (sequence + 1) & ((1 << SEQUENCE_BITS) - 1)
}
