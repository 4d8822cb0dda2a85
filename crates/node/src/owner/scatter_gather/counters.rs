//! Counters of scatter-gather requests. Operators' tools read the printed names, which therefore stay as they are.

use std::fmt;

/// Outcomes of scatter-gather requests at this router, and of parts, messages and continuations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ScatterGatherCounters {
    pub(super) requests: u64,
    pub(super) complete: u64,
    pub(super) partial: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
    pub(super) cancelled: u64,
    /// Parts requested from other routers.
    pub(super) parts_requested: u64,
    /// Parts for which no router could be reached.
    pub(super) parts_unreachable: u64,
    /// Parts served to other routers.
    pub(super) parts_served: u64,
    /// Parts that were dropped for want of memory.
    pub(super) parts_dropped: u64,
    /// Messages of other routers that can't be decoded or that were not expected.
    pub(super) unexpected_messages: u64,
    /// Messages to other routers that were not sent.
    pub(super) unsent_messages: u64,
    pub(super) continuations_stored: u64,
    /// Continuations that were not stored in time.
    pub(super) continuations_failed: u64,
    /// Continuations of which all parts were delivered.
    pub(super) continuations_completed: u64,
    /// Continuations that were requested and do not exist, or not with these parts.
    pub(super) continuations_unknown: u64,
}

impl fmt::Display for ScatterGatherCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, " gathers={} gathers_whole={}", self.requests, self.complete)?;
        write!(f, " gathers_part={} gathers_refused={}", self.partial, self.rejected)?;
        write!(f, " gathers_failed={} gathers_left={}", self.failed, self.cancelled)?;
        write!(f, " parts_wanted={} parts_unreached={}", self.parts_requested, self.parts_unreachable)?;
        write!(f, " parts_given={} parts_no_room={}", self.parts_served, self.parts_dropped)?;
        write!(f, " gather_words_strange={}", self.unexpected_messages)?;
        write!(f, " gather_words_unsent={}", self.unsent_messages)?;
        write!(f, " debts_kept={}", self.continuations_stored)?;
        write!(f, " debts_unkept={}", self.continuations_failed)?;
        write!(f, " debts_paid={}", self.continuations_completed)?;
        write!(f, " debts_unknown={}", self.continuations_unknown)
    }
}
