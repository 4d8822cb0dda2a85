//! Memory of a router, and the cost of changing it: the endpoint list, purges, and what it remembers of objects.

use super::decisions::WARM_UP_REQUESTS;
use super::driver::{endpoints, expected_settings, servers, zones_for, RouterDriver};
use super::{Expected, Sizes};
use crate::capacity::meter::{count_allocations, measure_cpu_us, minimum, Allocations};
use crate::capacity::row::{Kind, Row};
use basaltgw::api::*;
use basaltgw::routing::{Router, SHADOW_ENTRIES};
use basaltgw_simulator::{draw, rng};

/// Seed of the measured routers.
const ROUTER_SEED: u64 = 7;
/// Repetitions of a measurement; the fastest one counts.
const REPETITIONS: usize = 7;
/// One purge in this many is of a group, the others are of objects.
const GROUP_PURGE_INTERVAL: u64 = 10;
/// Objects from which on all shadow lists are full, and the sums of sent attempts cover their whole time span.
const FULL_STATE_OBJECTS: usize = 4 * SHADOW_ENTRIES;
/// Requests over which the lookup of purges is averaged.
const LOOKUP_REQUESTS: usize = 4000;
/// The expected rate of purges that [`PURGE_RATES`] belong to; at another one they are scaled.
const REFERENCE_PURGES_PER_S: f64 = 100.0;
/// Rates of purges per second at an expected rate of [`REFERENCE_PURGES_PER_S`].
const PURGE_RATES: [f64; 5] = [10.0, 25.0, 50.0, 100.0, 200.0];
/// Simulated seconds of purges: three times as long as a purge is remembered.
const PURGE_RATE_S: f64 = 220.0;
/// The number of remembered purges is read once in this many purges, since a snapshot copies them all.
const SNAPSHOT_INTERVAL: u64 = 100;
/// Share of objects that are requested a second time at once, so that the state of repeated objects counts as well.
const REPEATED_SHARE: f64 = 0.1;

fn list_event(update: EndpointUpdate, entries: Vec<Endpoint>) -> Event {
    Event::Endpoints { update, entries }
}

/// Returns a router with an empty endpoint list.
fn new_router(expected: &Expected) -> Router {
    let mut router = Router::new(expected_settings(expected), ROUTER_SEED);
    router.handle(0.0, list_event(EndpointUpdate::Complete, Vec::new()), &mut Vec::new());
    router
}

/// Returns the allocations of a router that receives its first endpoint list.
fn first_list_allocations(expected: &Expected, list: &[Endpoint]) -> Allocations {
    let mut router = new_router(expected);
    // Names belong to the list, so new ones are allocated and counted.
    let with_own_name = |e: &Endpoint| Endpoint { id: ServerId(e.id.0.as_ref().into()), ..e.clone() };
    let entries = || list.iter().map(with_own_name).collect();
    let receive = || router.handle(1.0, list_event(EndpointUpdate::Complete, entries()), &mut Vec::new());
    count_allocations(receive).1
}

/// Returns the memory of the endpoint list, and the processor time of a complete list and of one change.
pub fn endpoint_list(expected: &Expected, sizes: &Sizes) -> Vec<Row> {
    let mut rows = Vec::new();
    for n in &sizes.servers {
        let list = servers(expected, *n);
        let allocations = first_list_allocations(expected, &list);
        let first_us = minimum(REPETITIONS, || {
            let (mut router, event) =
                (new_router(expected), list_event(EndpointUpdate::Complete, list.clone()));
            measure_cpu_us(|| router.handle(1.0, event, &mut Vec::new())).1
        });
        let mut router = new_router(expected);
        let mut update_us = |update: EndpointUpdate, entries: &[Endpoint]| {
            let event = list_event(update, entries.to_vec());
            measure_cpu_us(|| router.handle(3.0, event, &mut Vec::new())).1
        };
        update_us(EndpointUpdate::Complete, &list);
        let again_us = minimum(REPETITIONS, || update_us(EndpointUpdate::Complete, &list));
        let change_us = minimum(REPETITIONS, || update_us(EndpointUpdate::Delta, &list[..1]));
        let x = list.len() as f64;
        let row = |name, value, unit| Row::new(("servers listed", x), (name, value, unit), Kind::Measured);
        rows.extend([
            row("list_held", allocations.retained_bytes, "bytes"),
            row("list_allocated", allocations.total_bytes, "bytes"),
            row("list_first_us", first_us, "us"),
            row("list_again_us", again_us, "us"),
            row("list_change_us", change_us, "us"),
        ]);
    }
    let zones = zones_for(expected, expected.caches);
    let list = endpoints(expected.caches, zones, expected.caches_per_parent);
    let bytes = first_list_allocations(expected, &list).retained_bytes;
    let point = ("caches", expected.caches as f64);
    rows.push(Row::new(point, ("list_expected_held", bytes, "bytes"), Kind::Measured));
    rows
}

/// Returns the purge with this number, of an object or of a group.
fn purge(n: u64) -> Event {
    let group = GroupId(n);
    let object = (!n.is_multiple_of(GROUP_PURGE_INTERVAL)).then_some(ObjectId(n));
    Event::Purged { group, object, age: 0.0 }
}

/// Returns the memory of purges, the processor time of a new purge and of a decision among purges, and the number of purges that a router
/// remembers at several rates.
pub fn purges(expected: &Expected, sizes: &Sizes, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for count in &sizes.purges {
        rows.extend(by_purges(*count, expected, seed));
    }
    for rate in PURGE_RATES {
        let rate = rate * expected.purges_per_s / REFERENCE_PURGES_PER_S;
        let known = remembered_purges(rate, expected);
        rows.push(Row::new(("purges a second", rate), ("purges_known", known, "purges"), Kind::Simulated));
    }
    rows
}

/// Returns the costs of this number of remembered purges.
fn by_purges(count: usize, expected: &Expected, seed: u64) -> [Row; 3] {
    let mut driver = RouterDriver::expected(expected);
    let add_all = |driver: &mut RouterDriver| (0..count as u64).for_each(|n| driver.handle(purge(n)));
    let ((), add_us) = measure_cpu_us(|| add_all(&mut driver));
    // The allocations are those of another router: counting them takes time.
    let mut counted = RouterDriver::expected(expected);
    let ((), allocations) = count_allocations(|| add_all(&mut counted));
    let mut rng = rng(seed, count as u64);
    driver.request_random_objects(WARM_UP_REQUESTS, expected.requested_objects, &mut rng);
    let decision_us = minimum(REPETITIONS, || {
        let requests =
            || driver.request_random_objects(LOOKUP_REQUESTS, expected.requested_objects, &mut rng);
        measure_cpu_us(requests).1 / LOOKUP_REQUESTS as f64
    });
    let row =
        |name, value, unit| Row::new(("purges known", count as f64), (name, value, unit), Kind::Measured);
    [
        row("purges_held", allocations.retained_bytes, "bytes"),
        row("purge_us", add_us / count as f64, "us"),
        row("decision_with_purges_us", decision_us, "us"),
    ]
}

/// Returns the maximum number of purges that a router remembers at this rate per second.
fn remembered_purges(rate: f64, expected: &Expected) -> f64 {
    let mut driver = RouterDriver::expected(expected);
    let mut max = 0;
    for n in 0..(rate * PURGE_RATE_S) as u64 {
        driver.advance(1000.0 / rate);
        driver.handle(purge(n));
        if n.is_multiple_of(SNAPSHOT_INTERVAL) {
            max = max.max(driver.router.snapshot().purges.len());
        }
    }
    max as f64
}

/// Returns the memory of a router as the number of requested objects grows.
pub fn objects(expected: &Expected, sizes: &Sizes, seed: u64) -> Vec<Row> {
    let mut rng = rng(seed, 1);
    let (mut bytes, mut requested, mut rows) = (0.0, 0, Vec::new());
    let mut driver = RouterDriver::expected(expected);
    for objects in &sizes.objects {
        let ((), allocations) = count_allocations(|| {
            while requested < *objects {
                if draw(&mut rng) < REPEATED_SHARE {
                    driver.request_object(requested as u64);
                }
                requested += 1;
                driver.request_object(requested as u64);
            }
            // All requests are answered, so that only remembered state counts.
            driver.advance(1000.0);
        });
        bytes += allocations.retained_bytes;
        let point = ("objects seen", *objects as f64);
        rows.push(Row::new(point, ("objects_held", bytes, "bytes"), Kind::Measured));
        if *objects >= FULL_STATE_OBJECTS {
            rows.push(Row::new(point, ("objects_held_full", bytes, "bytes"), Kind::Measured));
        }
    }
    let empty = count_allocations(|| Router::new(expected_settings(expected), ROUTER_SEED));
    let row = |name, bytes| Row::new(("objects", expected.objects), (name, bytes, "bytes"), Kind::Measured);
    rows.push(row("shadow_lists_held", empty.1.retained_bytes));
    rows.push(row("objects_held", bytes));
    rows
}
