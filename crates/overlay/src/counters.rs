//! Counters of an overlay.

/// Counters of one router's overlay since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Updates published here.
    pub published: u64,
    /// Of those, updates that another control machine was to publish and did not.
    pub published_for_others: u64,
    /// Of those, updates that a child or another control machine escalated.
    pub published_escalated: u64,
    /// Updates queried at the parent.
    pub queried: u64,
    /// Of those, updates queried again, by the full hash.
    pub queried_again: u64,
    /// Updates escalated to the parent.
    pub escalated: u64,
    /// Updates that a child queried and that were not known here.
    pub unknown: u64,
    /// Escalated updates rejected for lack of capacity; children escalate them again.
    pub escalations_rejected: u64,
    /// Pending updates that another router published in time, or that the parent knows.
    pub pending_resolved: u64,
    /// Updates published at once because no more may be pending.
    pub pending_full: u64,
    /// Updates delivered.
    pub delivered: u64,
    /// Updates that arrived under another number before; not delivered again.
    pub duplicate_contents: u64,
    /// Updates that arrived under the same number before.
    pub duplicate_numbers: u64,
    /// Updates received, of any of these.
    pub received: u64,
    /// Updates received from another region.
    pub received_from_other_regions: u64,
    /// Updates sent.
    pub sent: u64,
    /// Frames sent.
    pub frames_sent: u64,
    /// Frames received.
    pub frames_received: u64,
    /// Bytes sent, with the overhead of frames.
    pub bytes_sent: u64,
    /// Bytes received, with the overhead of frames.
    pub bytes_received: u64,
    /// Updates that arrived before earlier ones.
    pub gaps: u64,
    /// Fetches sent.
    pub fetches: u64,
    /// Of those, fetches repeated at another neighbor.
    pub fetched_again: u64,
    /// Fetched spans that have expired or converged here.
    pub unavailable: u64,
    /// Spans that had converged before this router started: neither received nor reported as a gap.
    pub converged_spans: u64,
    /// Spans reported as a gap.
    pub reported_gaps: u64,
    /// Ticks in which updates of a kind waited for the budget, by kind.
    pub budget_waits: [u64; 4],
    /// Updates dropped before the end of the retention, because the log was full.
    pub log_full: u64,
    /// Streams not accepted for lack of capacity.
    pub streams_full: u64,
    /// Repairs not started for lack of capacity.
    pub missing_full: u64,
    /// Fetch requests and queries of neighbors dropped for lack of capacity.
    pub requests_dropped: u64,
    /// Streams forgotten after a long time without an update.
    pub forgotten: u64,
    /// Dials.
    pub dials: u64,
    /// Dials that failed or timed out.
    pub dials_failed: u64,
    /// Links that the neighbor rejected for lack of capacity.
    pub links_rejected_by_neighbor: u64,
    /// Links rejected here for lack of capacity.
    pub links_rejected: u64,
    /// Links closed here because the neighbor is not listed, or is this router.
    pub not_listed: u64,
    /// Links closed because they were silent.
    pub silent_links: u64,
    /// Links closed because better ones are established.
    pub surplus_links: u64,
    /// Links lost.
    pub lost_links: u64,
    /// Push requests rejected here.
    pub pushes_rejected: u64,
    /// Changes of the primary parent.
    pub primary_changes: u64,
    /// Of those, changes because it lagged.
    pub lagging_primaries: u64,
    /// Digests that differed.
    pub differing_digests: u64,
    /// Comparisons of buckets begun.
    pub vectors: u64,
    /// Malformed frames; the link is closed.
    pub malformed_frames: u64,
    /// Events, frames and parts of frames that match no link or pending request.
    pub stray_events: u64,
    /// Updates too long to be published.
    pub oversized_updates: u64,
}
