//! The counters of a fleet. Operators read the names in the log line, so they do not change.

use std::fmt;

/// The owner's counters of leases.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseCounters {
    /// Requests leased by this router.
    pub acquired: u64,
    /// Requests rejected or failed because a quorum did not grant the lease.
    pub unavailable: u64,
    /// Requests rejected because there was no time or no capacity in the ring for the change.
    pub rejected: u64,
    /// Polls of a lease that another router holds.
    pub polls: u64,
    /// Requests answered with the stored outcome of the same id.
    pub replayed_outcomes: u64,
    /// Requests failed because another request was executed under their id.
    pub id_conflicts: u64,
    /// Requests failed because it is unknown whether they were executed.
    pub unknown_outcomes: u64,
    /// Requests that were served here but failed, because another router had marked their outcome as unknown.
    pub fenced: u64,
    /// Requests answered without the response of the replication thread, which was overdue.
    pub timeouts: u64,
    /// Pushes that found the ring full.
    pub ring_full: u64,
    /// Changes dropped because the backlog was full.
    pub backlog_dropped: u64,
    /// Messages of other routers that were dropped because this one handles no scatter-gather requests.
    pub unsolicited: u64,
}

impl fmt::Display for LeaseCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, " promised={} promises_unkept={} ", self.acquired, self.unavailable)?;
        write!(f, "promises_turned_away={} looks={} ", self.rejected, self.polls)?;
        write!(f, "told_again={} in_doubt={} ", self.replayed_outcomes, self.unknown_outcomes)?;
        write!(f, "id_conflicts={} ", self.id_conflicts)?;
        write!(f, "fenced={} stalled={} ring_full={} ", self.fenced, self.timeouts, self.ring_full)?;
        write!(f, "ring_dropped={} peers_unasked={} ", self.backlog_dropped, self.unsolicited)
    }
}

/// The counts of the fleet's threads.
#[derive(Clone, Debug, Default)]
pub struct FleetCounts {
    /// The counts of the control plane.
    pub control: basaltgw_control::Counts,
    /// The counts of the links, as `name=value` pairs separated by spaces.
    pub links: String,
}

impl fmt::Display for FleetCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let separator = if self.links.is_empty() { "" } else { " " };
        write!(f, "{}{separator}{}", self.control, self.links)
    }
}
