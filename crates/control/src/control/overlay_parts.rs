//! Construction of the overlay from the settings of the control plane.
//!
//! Operators set the batch interval, retention, convergence time and budget ([`OverlaySettings`]); the other times of the overlay are multiples
//! of the batch interval.

use super::dissemination::MAX_UPDATE_LAG_MS;
use super::LinkQueueLimits;
use crate::message::MAX_OVERLAY_FRAME_BYTES;
use basaltgw_overlay as overlay;
use basaltgw_overlay::{Overlay, RouterList};
use basaltgw_types::{Ms, RouterId};
use std::sync::Arc;

/// Streams without updates are remembered for this multiple of the retention, so that a router that returns finds its gap.
const STREAM_RETENTION_FACTOR: f64 = 5.0;
/// Paths of an announced update may differ by this many batches.
const LATE_THRESHOLD_BATCHES: f64 = 3.0;
/// Batch interval between two control machines, as a multiple of the router's.
const PEER_BATCH_FACTOR: f64 = 2.0;
/// One batch more than [`PEER_BATCH_FACTOR`]: a router waits this long for others to publish what all of them know.
const PUBLISHER_WAIT_BATCHES: f64 = 3.0;
/// A locally known update that nobody published within this many batches is requested from the parent.
const QUERY_DELAY_BATCHES: f64 = 6.0;
/// Backoff of overlay dials in a full mesh, where a dial only looks for an existing link.
const MESH_BACKOFF: Backoff = Backoff { initial_ms: 100.0, max_ms: 250.0 };
/// Backoff of overlay dials that open a connection.
const DIAL_BACKOFF: Backoff = Backoff { initial_ms: 500.0, max_ms: 5_000.0 };
/// The token bucket holds at least this many seconds of the budget.
const BURST_SECONDS: f64 = 2.0;

/// Exponential backoff between dials of one router.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    initial_ms: Ms,
    max_ms: Ms,
}

/// Overlay, router list and settings for dissemination.
pub struct OverlayParts {
    pub(super) overlay: Overlay,
    pub(super) list: Arc<RouterList>,
    pub(super) batch_ms: Ms,
    pub(super) persistent_links: Option<LinkQueueLimits>,
}

/// Operator settings of the overlay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverlaySettings {
    /// Interval in milliseconds over which a router collects updates, and purges that only wait to be stored.
    pub batch_interval: Ms,
    /// Milliseconds for which updates are retained.
    pub retention: Ms,
    /// Milliseconds after which a purge has converged.
    pub purge_convergence_time: Ms,
    /// Budget in bytes per second, sent and received together.
    pub budget_bytes_per_s: f64,
}

impl OverlayParts {
    /// An overlay in a full mesh of links. `seed` is a random number, different at each start.
    ///
    /// # Errors
    /// If a setting is out of its bounds.
    pub fn new(
        me: RouterId,
        list: RouterList,
        operator_settings: OverlaySettings,
        seed: u64,
    ) -> Result<Self, overlay::OverlayError> {
        Self::with_links(me, list, operator_settings, None, seed)
    }

    /// As [`Self::new`]; with persistent links the overlay's links are dialed and closed as needed.
    ///
    /// # Errors
    /// If a setting is out of its bounds.
    pub fn with_links(
        me: RouterId,
        list: RouterList,
        operator_settings: OverlaySettings,
        persistent_links: Option<LinkQueueLimits>,
        seed: u64,
    ) -> Result<Self, overlay::OverlayError> {
        let backoff = if persistent_links.is_some() { DIAL_BACKOFF } else { MESH_BACKOFF };
        let overlay = Overlay::new(me, settings(operator_settings, backoff), seed)?;
        Ok(Self {
            overlay,
            list: Arc::new(list),
            batch_ms: operator_settings.batch_interval,
            persistent_links,
        })
    }
}

/// The overlay's settings that follow from those of the operator.
fn settings(operator: OverlaySettings, backoff: Backoff) -> overlay::Settings {
    let defaults = overlay::Settings::default();
    overlay::Settings {
        batch_ms: operator.batch_interval,
        peer_batch_ms: PEER_BATCH_FACTOR * operator.batch_interval,
        publisher_wait_ms: PUBLISHER_WAIT_BATCHES * operator.batch_interval,
        query_delay_ms: QUERY_DELAY_BATCHES * operator.batch_interval,
        // A router that lags less than this counts as caught up, so it must still receive every update.
        convergence_ms: (operator.purge_convergence_time + overlay::CATCH_UP_MS).max(MAX_UPDATE_LAG_MS),
        late_ms: defaults.late_ms.max(LATE_THRESHOLD_BATCHES * operator.batch_interval),
        backoff_ms: backoff.initial_ms,
        max_backoff_ms: backoff.max_ms,
        retention_ms: operator.retention,
        forget_ms: STREAM_RETENTION_FACTOR * operator.retention,
        budget_bytes_per_s: operator.budget_bytes_per_s,
        burst_bytes: defaults.burst_bytes.max(BURST_SECONDS * operator.budget_bytes_per_s),
        max_frame_bytes: MAX_OVERLAY_FRAME_BYTES,
        ..defaults
    }
}
