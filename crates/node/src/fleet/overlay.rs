//! The overlay of a router and the links that it keeps, from its settings and the list of the fleet.

use basaltgw_config::fleet::Fleet;
use basaltgw_config::overlay::{Links, Standing};
use basaltgw_control::{OverlayParts, OverlayTimes, StandingLinks};
use basaltgw_overlay::{RouterEntry, RouterList, Shape};
use basaltgw_transport::{DialPolicy, Settings};
use basaltgw_types::{Ms, RouterId};
use std::sync::Arc;
use std::time::Duration;

/// The list is that of the file, the same at all: others than the first come with agreed lists.
const FIRST: u64 = 1;
/// Of the words that may wait for links, as many as on one lane, one router's may take this part.
const WAITING_PART: usize = 4;

/// The overlay, if there is one; `settles` is the time after which a purge has settled.
///
/// # Errors
/// If words are kept for too short a time, or an overlay can't be of these settings.
pub fn parts(set: &Fleet, settles: Ms, drawn: u64) -> Result<Option<OverlayParts>, String> {
    let Some(of) = &set.overlay else { return Ok(None) };
    let keep = of.keep(settles)?;
    let times = OverlayTimes { batch: of.batch_ms, keep, settles, budget: of.budget_bytes_per_s };
    let listed = |router: &RouterId, s: &Standing| RouterEntry {
        router: router.clone(),
        region: Arc::clone(&s.region),
        zone: Arc::clone(&s.zone),
        site: Arc::clone(&s.site),
        rack: Arc::clone(&s.rack),
        control: s.control,
    };
    let mut all = vec![listed(&set.name, &of.standing)];
    all.extend(set.peers.iter().filter_map(|p| Some(listed(&p.name, p.standing.as_ref()?))));
    let said = |e: basaltgw_overlay::OverlayError| format!("fleet.overlay: {e}");
    let list = RouterList::new(FIRST, Shape::default(), all).map_err(said)?;
    let limits = &set.limits;
    let standing = match of.links {
        Links::Mesh => None,
        Links::Standing { .. } => Some(StandingLinks {
            wait: limits.promise_ms,
            words: (limits.lane_frames / WAITING_PART).max(1),
            bytes: limits.frame_bytes,
            all_words: limits.lane_frames,
            all_bytes: limits.lane_bytes,
        }),
    };
    OverlayParts::with_links(set.name.clone(), list, times, standing, drawn).map(Some).map_err(said)
}

/// How links are kept.
pub fn links(set: &Fleet) -> Settings {
    let span = |ms: Ms| Duration::from_secs_f64(ms / 1_000.0);
    let dials = match set.overlay.as_ref().map(|o| o.links) {
        Some(Links::Standing { idle_ms }) => DialPolicy::OnDemand { idle: span(idle_ms) },
        Some(Links::Mesh) | None => DialPolicy::All,
    };
    Settings {
        dial_policy: dials,
        keepalive_interval: span(set.limits.alive_ms),
        peer_timeout: span(set.limits.silent_ms),
    }
}
