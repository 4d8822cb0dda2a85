//! The overlay that routers of the tests have.

use super::standing::WAITS;
use super::{member, text, BATCH};
use basaltgw_control::{OverlayParts, OverlayTimes};
use basaltgw_overlay::{RouterEntry, RouterList, Shape};
use basaltgw_types::Ms;

/// The overlay of a router: routers are in regions in turn, each on a site of its own.
pub fn overlay(
    n: usize,
    of: usize,
    regions: usize,
    keep: Ms,
    standing: bool,
    drawn: u64,
) -> Option<OverlayParts> {
    let listed = |n: usize| RouterEntry {
        router: member(n).router,
        region: text(&format!("g{}", n % regions)),
        zone: text(&format!("z{}", n / regions)),
        site: text(&format!("s{n}")),
        rack: text("k"),
        control: false,
    };
    let list = || RouterList::new(1, Shape::default(), (0..of).map(listed).collect()).expect("a list");
    let times = OverlayTimes { batch: BATCH, keep, settles: keep / 2.0, budget: 20_000.0 };
    let links = standing.then_some(WAITS);
    let parts = || OverlayParts::with_links(member(n).router, list(), times, links, drawn);
    (regions > 0).then(|| parts().expect("an overlay"))
}
