//! What a decision costs, request and answer, by how many caches are listed and how many requests are out; and what a router takes that has
//! nothing to do.

use super::world::{fleet, settings, usual, zones, Drive, ANSWER_MS};
use super::{Expected, Sizes};
use crate::capacity::meter::{least, taken, timed};
use crate::capacity::row::{Kind, Row};
use basaltgw::routing::SHADOW_ENTRIES;
use basaltgw_simulator::rng;

/// Batches of which the least counts.
const BATCHES: usize = 5;
/// Requests before any that count: the shadow lists are full then, and a look through them takes what it always does.
pub const WARM: usize = 4 * SHADOW_ENTRIES;
/// Simulated seconds without a request.
const IDLE_S: f64 = 20.0;

/// All points of decisions.
pub fn rows(expected: &Expected, sizes: &Sizes, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for caches in &sizes.caches {
        // As the fleet grows: more zones, as many caches in each. And all in one zone: the most that a list may hold against a router.
        rows.extend(listed("caches", (*caches, zones(expected, *caches)), expected, sizes.requests, seed));
        rows.extend(listed("caches in one zone", (*caches, 1), expected, sizes.requests, seed));
    }
    for open in &sizes.open {
        rows.push(out(*open, expected, sizes.requests, seed));
    }
    rows
}

fn listed(
    axis: &'static str,
    (caches, zones): (usize, usize),
    expected: &Expected,
    requests: usize,
    seed: u64,
) -> Vec<Row> {
    let set = settings(expected.routers, expected.routers.div_ceil(expected.zones), zones);
    let list = fleet(caches, zones, expected.caches_per_parent);
    let gap = super::world::gap(expected);
    let mut drive = Drive::new(set.clone(), list.clone(), gap);
    let (mut rng, objects) = (rng(seed, caches as u64), expected.objects_asked);
    drive.draw(WARM, objects, &mut rng);
    let (sent, swept) = (drive.sent, drive.swept);
    let ((), counted) = taken(|| drive.draw(requests, objects, &mut rng));
    let sent = (drive.sent - sent) as f64;
    // Sweeps come by the clock, not by requests, and put the servers that have moved in their order anew.
    let (pieces, bytes) = (drive.swept.pieces - swept.pieces, drive.swept.bytes - swept.bytes);
    let seconds = requests as f64 * gap / 1000.0;
    let each = requests / BATCHES;
    let decision = least(BATCHES, || timed(|| drive.draw(each, objects, &mut rng)).1 / each as f64);
    let mut idle = Drive::new(set, list, gap);
    idle.pass(1000.0);
    let spent = least(BATCHES, || timed(|| idle.pass(IDLE_S * 1000.0)).1);
    let (of, at) = (requests as f64, (axis, caches as f64));
    let rate = expected.requests_per_s / expected.routers as f64;
    vec![
        Row::new(at, ("decision_us", decision, "us"), Kind::Measured),
        Row::new(at, ("decision_allocations", (counted.pieces - pieces) / of, "pieces"), Kind::Measured),
        Row::new(at, ("decision_allocated", (counted.bytes - bytes) / of, "bytes"), Kind::Measured),
        Row::new(at, ("sweep_allocations", pieces / seconds, "pieces/s"), Kind::Measured),
        Row::new(at, ("decision_sent", sent / of, "attempts"), Kind::Simulated),
        Row::new(at, ("idle_core", spent / IDLE_S / 1e6, "cores"), Kind::Measured),
        Row::new(at, ("decisions_core", decision * rate / 1e6, "cores"), Kind::Reckoned),
    ]
}

/// A decision while so many requests are out: more come, the same that answers take.
fn out(open: usize, expected: &Expected, requests: usize, seed: u64) -> Row {
    let list = fleet(expected.caches, expected.zones, expected.caches_per_parent);
    let mut drive = Drive::new(usual(expected), list, ANSWER_MS / open as f64);
    let (mut rng, objects) = (rng(seed, open as u64), expected.objects_asked);
    drive.draw(WARM.max(3 * open), objects, &mut rng);
    let each = requests / BATCHES;
    let decision = least(BATCHES, || timed(|| drive.draw(each, objects, &mut rng)).1 / each as f64);
    Row::new(("requests open", open as f64), ("decision_open_us", decision, "us"), Kind::Measured)
}
