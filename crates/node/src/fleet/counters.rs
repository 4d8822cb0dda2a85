//! What a fleet counts. The names in the printed text are read by operators and do not change.

use std::fmt;

/// What the owner counts of leases.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseCounters {
    /// Requests leased by this router.
    pub acquired: u64,
    /// Requests rejected or failed because a quorum did not grant the lease.
    pub unavailable: u64,
    /// Requests rejected because the ring had no capacity for the change.
    pub rejected: u64,
    /// Polls of a lease that another router holds.
    pub polls: u64,
    /// Requests answered with the stored outcome of the same id.
    pub replayed_outcomes: u64,
    /// Requests failed because it is unknown whether they were executed.
    pub unknown_outcomes: u64,
    /// Requests served here and failed because another router had fenced them.
    pub fenced: u64,
    /// Requests answered without a response of the replication thread.
    pub timeouts: u64,
    /// Pushes that found the ring full.
    pub ring_full: u64,
    /// Changes dropped because the backlog was full.
    pub backlog_dropped: u64,
    /// Messages of other routers that were dropped because this one takes no scatter-gather requests.
    pub unsolicited: u64,
}

impl fmt::Display for LeaseCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, " promised={} promises_unkept={} ", self.acquired, self.unavailable)?;
        write!(f, "promises_turned_away={} looks={} ", self.rejected, self.polls)?;
        write!(f, "told_again={} in_doubt={} ", self.replayed_outcomes, self.unknown_outcomes)?;
        write!(f, "fenced={} stalled={} ring_full={} ", self.fenced, self.timeouts, self.ring_full)?;
        write!(f, "ring_dropped={} peers_unasked={} ", self.backlog_dropped, self.unsolicited)
    }
}

/// What the fleet's threads count.
#[derive(Clone, Debug, Default)]
pub struct FleetCounts {
    /// Of the control plane.
    pub control: basaltgw_control::Counts,
    /// Of the links, as `name=value` words.
    pub links: String,
}

impl fmt::Display for FleetCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let separator = if self.links.is_empty() { "" } else { " " };
        write!(f, "{}{separator}{}", self.control, self.links)
    }
}
