//! Settings of an overlay, and the check of their bounds.

use crate::forwarding::RESERVED_FRAME_BYTES;
use crate::OverlayError;
use basaltgw_types::Ms;

/// Time in which a router that returns has links, has compared and has fetched. Updates stay available this much longer than they take to
/// converge, or those that had not converged when it returned would be unavailable when it fetches them.
pub const CATCH_UP_MS: Ms = 4_000.0;

/// Settings of an overlay. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Largest number of children.
    pub max_children: usize,
    /// Largest number of children of a control machine: two relays of each region dial it.
    pub max_control_children: usize,
    /// Largest number of children to which updates are pushed; the others receive announcements and fetch.
    pub max_push_children: usize,
    /// A dial fails after this time, ms.
    pub dial_ms: Ms,
    /// Backoff after a failed dial or a lost link, doubled with each further failure, ms.
    pub backoff_ms: Ms,
    /// Largest backoff, ms.
    pub max_backoff_ms: Ms,
    /// Backoff after a rejected link, ms.
    pub link_rejected_backoff_ms: Ms,
    /// Backoff after a rejected push, ms.
    pub push_rejected_backoff_ms: Ms,
    /// A link that was up for this long counts as no failure, ms.
    pub stable_ms: Ms,
    /// A link without a message for this long is closed, ms; more than two of `compare_ms`.
    pub silent_ms: Ms,
    /// Interval over which each router collects updates, ms.
    pub batch_ms: Ms,
    /// The same between control machines, which are all linked with each other, ms.
    pub peer_batch_ms: Ms,
    /// Interval of announcements on links without push, ms.
    pub announce_ms: Ms,
    /// An announced update that has not arrived by push after this time is fetched, ms; a few batches, because paths differ in length.
    pub late_ms: Ms,
    /// A fetch without a result is sent to another neighbor after this time, ms.
    pub fetch_ms: Ms,
    /// Interval of digests on each link, ms.
    pub compare_ms: Ms,
    /// Streams that changed within this time are named in a digest, ms; all others are hashed.
    pub recent_ms: Ms,
    /// Largest number of streams named in a digest.
    pub max_recent: usize,
    /// Largest number of streams in one vector, which compares a page of the differing buckets.
    pub page: usize,
    /// Retention of updates, ms.
    pub retention_ms: Ms,
    /// Updates that arrived longer ago have converged, and are reported as unavailable, ms. See [`CATCH_UP_MS`].
    pub convergence_ms: Ms,
    /// A stream without an update for this long is forgotten, ms.
    pub forget_ms: Ms,
    /// Largest size of the retained updates, in bytes; beyond it the oldest are dropped.
    pub max_log_bytes: usize,
    /// Largest number of known streams.
    pub max_streams: usize,
    /// Largest number of streams being repaired.
    pub max_repairs: usize,
    /// Largest update, in bytes.
    pub max_update_bytes: usize,
    /// Largest frame, in bytes.
    pub max_frame_bytes: usize,
    /// Control machines wait this long for the publisher of an update that all know, ms; longer than an update takes between them.
    pub publisher_wait_ms: Ms,
    /// A relay queries its parent for an update that has not arrived after this time, ms; each further tier half a batch sooner.
    pub query_delay_ms: Ms,
    /// A query without an answer is repeated after this time, ms.
    pub query_retry_ms: Ms,
    /// Largest number of updates that wait for another router to publish them.
    pub max_pending: usize,
    /// Budget in bytes per second, sent and received together, with the overhead of frames.
    pub budget_bytes_per_s: f64,
    /// Bytes that may be sent at once after a quiet time.
    pub burst_bytes: f64,
    /// Overhead of a frame on the wire, in bytes: headers, record layer, acknowledgement.
    pub frame_overhead_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_children: 8,
            max_control_children: 10,
            max_push_children: 3,
            dial_ms: 3000.0,
            backoff_ms: 1000.0,
            max_backoff_ms: 60_000.0,
            link_rejected_backoff_ms: 30_000.0,
            push_rejected_backoff_ms: 300_000.0,
            stable_ms: 10_000.0,
            silent_ms: 4000.0,
            batch_ms: 250.0,
            peer_batch_ms: 500.0,
            announce_ms: 1000.0,
            late_ms: 1000.0,
            fetch_ms: 1500.0,
            compare_ms: 1000.0,
            recent_ms: 3000.0,
            max_recent: 48,
            page: 256,
            retention_ms: 120_000.0,
            convergence_ms: 120_000.0,
            forget_ms: 600_000.0,
            max_log_bytes: 4 << 20,
            max_streams: 20_000,
            max_repairs: 1024,
            max_update_bytes: 16 << 10,
            max_frame_bytes: 64 << 10,
            publisher_wait_ms: 750.0,
            query_delay_ms: 1500.0,
            query_retry_ms: 10_000.0,
            max_pending: 16_384,
            budget_bytes_per_s: 20_000.0,
            burst_bytes: 40_000.0,
            frame_overhead_bytes: 100,
        }
    }
}

/// Largest time in the settings: a day.
const MAX_TIME_MS: Ms = 86_400_000.0;

impl Settings {
    /// Checks the bounds.
    pub(crate) fn check(&self) -> Result<(), OverlayError> {
        let times = [
            (self.dial_ms, "dial_ms"),
            (self.backoff_ms, "backoff_ms"),
            (self.max_backoff_ms, "most_backoff_ms"),
            (self.link_rejected_backoff_ms, "refused_ms"),
            (self.stable_ms, "stable_ms"),
            (self.push_rejected_backoff_ms, "not_eager_ms"),
            (self.peer_batch_ms, "peer_batch_ms"),
            (self.silent_ms, "silent_ms"),
            (self.batch_ms, "batch_ms"),
            (self.announce_ms, "announce_ms"),
            (self.late_ms, "late_ms"),
            (self.fetch_ms, "fetch_ms"),
            (self.compare_ms, "compare_ms"),
            (self.recent_ms, "hot_ms"),
            (self.retention_ms, "keep_ms"),
            (self.convergence_ms, "settle_ms"),
            (self.forget_ms, "forget_ms"),
            (self.publisher_wait_ms, "hold_ms"),
            (self.query_delay_ms, "ask_ms"),
            (self.query_retry_ms, "again_ms"),
        ];
        let bad_time = times.into_iter().find(|(ms, _)| !(*ms > 0.0 && *ms <= MAX_TIME_MS));
        if let Some((_, name)) = bad_time {
            return Err(OverlayError::Setting {
                setting: name,
                expected: "more than 0 and at most a day in ms",
            });
        }
        let checks = [
            (self.max_push_children > 0, "most_eager", "1 or more"),
            (self.max_children >= self.max_push_children, "most_children", "most_eager or more"),
            (self.max_control_children > 0, "most_control_children", "1 or more"),
            (self.max_backoff_ms >= self.backoff_ms, "most_backoff_ms", "backoff_ms or more"),
            (self.silent_ms > 2.0 * self.compare_ms, "silent_ms", "more than two of compare_ms"),
            (self.batch_ms <= self.compare_ms, "batch_ms", "at most compare_ms"),
            (self.publisher_wait_ms > self.peer_batch_ms, "hold_ms", "more than peer_batch_ms"),
            (self.forget_ms > 2.0 * self.retention_ms, "forget_ms", "more than two of keep_ms"),
            ((1..=256).contains(&self.max_recent), "most_hot", "1 to 256"),
            ((1..=512).contains(&self.page), "page", "1 to 512"),
            (self.max_streams > 0, "most_streams", "1 or more"),
            (self.max_repairs > 0, "most_missing", "1 or more"),
            ((1..=65_536).contains(&self.max_update_bytes), "most_word", "1 to 65,536 bytes"),
            (self.max_log_bytes >= self.max_update_bytes, "most_log_bytes", "most_word or more"),
            // One frame fits an update, a vector of a page, and a digest.
            (
                self.max_frame_bytes >= self.max_update_bytes + RESERVED_FRAME_BYTES,
                "most_frame",
                "most_word and 40,960 or more",
            ),
            (self.max_pending > 0, "most_held", "1 or more"),
            (self.budget_bytes_per_s >= 1000.0, "budget_bytes_per_s", "1,000 or more"),
            (self.burst_bytes >= self.max_update_bytes as f64, "burst_bytes", "most_word or more"),
            (self.frame_overhead_bytes <= 1500, "frame_bytes", "at most 1,500"),
        ];
        let first = checks.into_iter().find(|(fits, _, _)| !fits);
        first.map_or(Ok(()), |(_, name, expected)| Err(OverlayError::Setting { setting: name, expected }))
    }
}
