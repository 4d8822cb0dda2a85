//! Settings of the dissemination overlay and of the links, derived from the configuration and the fleet's router list.

use basaltgw_config::fleet::Fleet;
use basaltgw_config::overlay::{LinkPolicy, OverlayPosition};
use basaltgw_control::{LinkQueueLimits, OverlayParts, OverlaySettings};
use basaltgw_overlay::{RouterEntry, RouterList, Shape};
use basaltgw_transport::{DialPolicy, Settings};
use basaltgw_types::{Ms, RouterId};
use std::sync::Arc;
use std::time::Duration;

/// The version of the router list in the configuration; the fleet agrees on later versions.
const CONFIGURED_LIST_VERSION: u64 = 1;
/// Of the messages that wait for links, which are as many as fit in one lane, one in this many may be for a single router.
const MAX_SHARE_DIVISOR: usize = 4;

/// The overlay's part of the control plane, if an overlay is configured; `purge_convergence_time` is in milliseconds.
///
/// # Errors
/// If the configured retention of updates is too short, or the router list is not valid for an overlay.
pub fn parts(set: &Fleet, purge_convergence_time: Ms, seed: u64) -> Result<Option<OverlayParts>, String> {
    let Some(overlay) = &set.overlay else { return Ok(None) };
    let times = OverlaySettings {
        batch_interval: overlay.batch_interval_ms,
        retention: overlay.retention(purge_convergence_time)?,
        purge_convergence_time,
        budget_bytes_per_s: overlay.budget_bytes_per_s,
    };
    let entry = |router: &RouterId, s: &OverlayPosition| RouterEntry {
        router: router.clone(),
        region: Arc::clone(&s.region),
        zone: Arc::clone(&s.zone),
        site: Arc::clone(&s.site),
        rack: Arc::clone(&s.rack),
        control: s.control,
    };
    let mut entries = vec![entry(&set.name, &overlay.position)];
    entries.extend(set.peers.iter().filter_map(|p| Some(entry(&p.name, p.position.as_ref()?))));
    let error = |e: basaltgw_overlay::OverlayError| format!("fleet.overlay: {e}");
    let list = RouterList::new(CONFIGURED_LIST_VERSION, Shape::default(), entries).map_err(error)?;
    let links = link_queue_limits(set, overlay.links);
    OverlayParts::with_links(set.name.clone(), list, times, links, seed).map(Some).map_err(error)
}

/// The limits of the messages that wait for a link; `None` if each router has a link to every other one, so that none waits.
fn link_queue_limits(set: &Fleet, links: LinkPolicy) -> Option<LinkQueueLimits> {
    let limits = &set.limits;
    match links {
        LinkPolicy::Mesh => None,
        LinkPolicy::Sparse { .. } => Some(LinkQueueLimits {
            timeout: limits.lease_timeout_ms,
            messages_per_router: (limits.max_queued_frames / MAX_SHARE_DIVISOR).max(1),
            bytes_per_router: limits.max_frame_bytes,
            total_messages: limits.max_queued_frames,
            total_bytes: limits.max_queued_bytes,
        }),
    }
}

/// The transport's settings: which links are dialled, and when an idle or silent link is closed.
pub fn link_settings(set: &Fleet) -> Settings {
    let duration = |ms: Ms| Duration::from_secs_f64(ms / 1_000.0);
    let dial_policy = match set.overlay.as_ref().map(|o| o.links) {
        Some(LinkPolicy::Sparse { idle_timeout_ms }) => {
            DialPolicy::OnDemand { idle: duration(idle_timeout_ms) }
        }
        Some(LinkPolicy::Mesh) | None => DialPolicy::All,
    };
    Settings {
        dial_policy,
        keepalive_interval: duration(set.limits.keepalive_interval_ms),
        peer_timeout: duration(set.limits.peer_timeout_ms),
    }
}
