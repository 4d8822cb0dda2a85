//! Overlay of the simulated routers.

use super::links::QUEUE_LIMITS;
use super::{member, text, BATCH_MS};
use basaltgw_control::{OverlayParts, OverlaySettings};
use basaltgw_overlay::{RouterEntry, RouterList, Shape};
use basaltgw_types::Ms;

/// Overlay of router `n` of `count`. Routers are assigned to regions in turn, each on a site of its own.
pub fn overlay(
    n: usize,
    count: usize,
    regions: usize,
    retention: Ms,
    has_persistent_links: bool,
    seed: u64,
) -> Option<OverlayParts> {
    let entry = |n: usize| RouterEntry {
        router: member(n).router,
        region: text(&format!("g{}", n % regions)),
        zone: text(&format!("z{}", n / regions)),
        site: text(&format!("s{n}")),
        rack: text("k"),
        control: false,
    };
    let list = || {
        RouterList::new(1, Shape::default(), (0..count).map(entry).collect()).expect("a valid router list")
    };
    let times = OverlaySettings {
        batch_interval: BATCH_MS,
        retention,
        purge_convergence_time: retention / 2.0,
        budget_bytes_per_s: 20_000.0,
    };
    let limits = has_persistent_links.then_some(QUEUE_LIMITS);
    let parts = || OverlayParts::with_links(member(n).router, list(), times, limits, seed);
    (regions > 0).then(|| parts().expect("valid overlay settings"))
}
