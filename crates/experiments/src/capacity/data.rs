//! Costs of the data path: the real decision module in this process, driven at several sizes.

mod change_log;
mod decisions;
mod driver;
mod slow_start;
mod state;

use super::row::{Kind, Row};
use serde::Deserialize;

/// The sizes at which the data path is measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Caches in the endpoint list.
    pub caches: Vec<usize>,
    /// Servers of all roles in the endpoint list.
    pub servers: Vec<usize>,
    /// Concurrent requests of a router.
    #[serde(rename = "open")]
    pub open_requests: Vec<usize>,
    /// Purges that a router remembers.
    pub purges: Vec<usize>,
    /// Objects that a router has had requests for.
    pub objects: Vec<usize>,
    /// Routers that share the slow-start budget of a server.
    pub routers: Vec<usize>,
    /// Requests over which the cost of a decision is averaged.
    pub requests: usize,
}

/// The expected fleet, as far as the data path depends on it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expected {
    /// Routers of the fleet.
    pub routers: usize,
    /// Caches of the fleet.
    pub caches: usize,
    /// Zones of the fleet.
    pub zones: usize,
    /// Caches for each parent.
    pub caches_per_parent: usize,
    /// Objects that one router has requests for.
    #[serde(rename = "objects_asked")]
    pub requested_objects: usize,
    /// Requests per second of the fleet.
    pub requests_per_s: f64,
    /// Purges per second.
    pub purges_per_s: f64,
    /// Machines that are restarted, replaced or lost in a day.
    pub restarts_per_day: f64,
    /// Objects of the fleet.
    pub objects: f64,
}

/// Returns all rows of the data path.
pub fn rows(expected: &Expected, sizes: &Sizes, seed: u64) -> Vec<Row> {
    let mut all = decisions::rows(expected, sizes, seed);
    all.extend(state::endpoint_list(expected, sizes));
    all.extend(state::purges(expected, sizes, seed));
    all.extend(state::objects(expected, sizes, seed));
    all.extend(change_log::rows(expected, sizes));
    all.extend(slow_start::rows(expected, sizes, seed));
    all.extend(growth(&all));
    all.extend(memory(&all, expected));
    all
}

/// Returns the ratio of the last point of a series to its first. Both are of the same run, so the ratio holds on any machine.
fn growth(all: &[Row]) -> Vec<Row> {
    let ratios = [
        ("caches", "decision_us", "decision_us_growth"),
        ("caches", "decision_allocations", "decision_allocations_growth"),
        ("requests open", "decision_open_us", "decision_open_growth"),
        ("purges known", "decision_with_purges_us", "decision_with_purges_growth"),
    ];
    let series = |axis: &str, figure: &str| -> Vec<&Row> {
        all.iter().filter(|row| (row.axis, row.figure) == (axis, figure)).collect()
    };
    let row = |first: &Row, last: &Row, name: &'static str| {
        Row::new((last.axis, last.x), (name, last.value / first.value, "times"), Kind::Computed)
    };
    let mut rows = Vec::new();
    for (axis, figure, name) in ratios {
        if let [first, .., last] = series(axis, figure)[..] {
            rows.push(row(first, last, name));
        }
    }
    // A bounded figure does not grow between the last two points.
    if let [.., before, last] = series("objects seen", "objects_held")[..] {
        rows.push(row(before, last, "objects_held_growth"));
    }
    rows
}

/// Returns the memory that a router of the expected fleet uses for the endpoint list, purges and objects.
fn memory(all: &[Row], expected: &Expected) -> Option<Row> {
    let last = |figure: &str| all.iter().filter(|row| row.figure == figure).map(|row| row.value).next_back();
    let is_expected_rate = |row: &&Row| row.figure == "purges_known" && row.x == expected.purges_per_s;
    let known = all.iter().find(is_expected_rate)?.value;
    // The next measured size, since a table doubles as it grows.
    let purges = all.iter().find(|row| row.figure == "purges_held" && row.x >= known)?.value;
    let bytes = last("list_expected_held")? + purges + last("objects_held")?;
    let x = expected.routers as f64;
    Some(Row::new(("routers", x), ("data_path_held", bytes, "bytes"), Kind::Computed))
}
