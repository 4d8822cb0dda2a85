//! Costs of a decision, from request to response, by the number of listed caches and of concurrent requests; and the cost of an idle router.

use super::driver::{
    endpoints, expected_settings, request_interval, settings, zones_for, RouterDriver, MEAN_LATENCY_MS,
};
use super::{Expected, Sizes};
use crate::capacity::meter::{count_allocations, measure_cpu_us, minimum};
use crate::capacity::row::{Kind, Row};
use basaltgw::routing::SHADOW_ENTRIES;
use basaltgw_simulator::{rng, Rng};

/// Batches of a measurement; the fastest one counts.
const BATCHES: usize = 5;
/// Requests before a measurement. They fill the shadow lists, so that lookups in them cost as much as in operation.
pub const WARM_UP_REQUESTS: usize = 4 * SHADOW_ENTRIES;
/// Simulated seconds without a request.
const IDLE_S: f64 = 20.0;

/// Returns all rows of decisions.
pub fn rows(expected: &Expected, sizes: &Sizes, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for caches in &sizes.caches {
        // More zones with the same number of caches, as the fleet grows; and all caches in one zone, the worst list for a router.
        let zones = zones_for(expected, *caches);
        rows.extend(by_caches("caches", *caches, zones, expected, sizes.requests, seed));
        rows.extend(by_caches("caches in one zone", *caches, 1, expected, sizes.requests, seed));
    }
    for open in &sizes.open_requests {
        rows.push(by_open_requests(*open, expected, sizes.requests, seed));
    }
    rows
}

/// Returns the processor time of a decision in microseconds: the mean of a batch, for the fastest batch.
fn decision_us(driver: &mut RouterDriver, requests: usize, objects: usize, rng: &mut Rng) -> f64 {
    let batch = requests / BATCHES;
    let mut send_batch = || measure_cpu_us(|| driver.request_random_objects(batch, objects, rng)).1;
    minimum(BATCHES, || send_batch() / batch as f64)
}

/// Returns the costs of decisions and of sweeps with these caches listed.
fn by_caches(
    axis: &'static str,
    caches: usize,
    zones: usize,
    expected: &Expected,
    requests: usize,
    seed: u64,
) -> Vec<Row> {
    let settings = settings(expected.routers, expected.routers.div_ceil(expected.zones), zones);
    let list = endpoints(caches, zones, expected.caches_per_parent);
    let interval = request_interval(expected);
    let mut driver = RouterDriver::new(settings.clone(), list.clone(), interval);
    let (mut rng, objects) = (rng(seed, caches as u64), expected.requested_objects);
    driver.request_random_objects(WARM_UP_REQUESTS, objects, &mut rng);
    let (attempts, sweeps) = (driver.attempts, driver.sweep_allocations);
    let ((), all) = count_allocations(|| driver.request_random_objects(requests, objects, &mut rng));
    let attempts = (driver.attempts - attempts) as f64;
    // Sweeps re-sort the servers that have moved. They run by the clock and not by requests, so their allocations are a figure of their own.
    let sweep_count = driver.sweep_allocations.count - sweeps.count;
    let sweep_bytes = driver.sweep_allocations.total_bytes - sweeps.total_bytes;
    let seconds = requests as f64 * interval / 1000.0;
    let decision_us = decision_us(&mut driver, requests, objects, &mut rng);
    let mut idle = RouterDriver::new(settings, list, interval);
    idle.advance(1000.0);
    let idle_us = minimum(BATCHES, || measure_cpu_us(|| idle.advance(IDLE_S * 1000.0)).1);
    let count = requests as f64;
    let requests_per_s = expected.requests_per_s / expected.routers as f64;
    let row = |name, value, unit, kind| Row::new((axis, caches as f64), (name, value, unit), kind);
    vec![
        row("decision_us", decision_us, "us", Kind::Measured),
        row("decision_allocations", (all.count - sweep_count) / count, "pieces", Kind::Measured),
        row("decision_allocated", (all.total_bytes - sweep_bytes) / count, "bytes", Kind::Measured),
        row("sweep_allocations", sweep_count / seconds, "pieces/s", Kind::Measured),
        row("decision_sent", attempts / count, "attempts", Kind::Simulated),
        row("idle_core", idle_us / IDLE_S / 1e6, "cores", Kind::Measured),
        row("decisions_core", decision_us * requests_per_s / 1e6, "cores", Kind::Computed),
    ]
}

/// Returns the cost of a decision at this number of concurrent requests: requests arrive faster, responses take as long as ever.
fn by_open_requests(open: usize, expected: &Expected, requests: usize, seed: u64) -> Row {
    let list = endpoints(expected.caches, expected.zones, expected.caches_per_parent);
    let mut driver = RouterDriver::new(expected_settings(expected), list, MEAN_LATENCY_MS / open as f64);
    let (mut rng, objects) = (rng(seed, open as u64), expected.requested_objects);
    driver.request_random_objects(WARM_UP_REQUESTS.max(3 * open), objects, &mut rng);
    let decision_us = decision_us(&mut driver, requests, objects, &mut rng);
    Row::new(("requests open", open as f64), ("decision_open_us", decision_us, "us"), Kind::Measured)
}
