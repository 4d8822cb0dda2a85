//! The data path's slopes: the real decision module in this process, driven at several sizes.

mod cold;
mod decisions;
mod log;
mod tables;
mod world;

use super::row::{Kind, Row};
use serde::Deserialize;

/// Sizes at which the data path is measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Caches that are listed.
    pub caches: Vec<usize>,
    /// Servers of all roles that are listed.
    pub servers: Vec<usize>,
    /// Requests that are out at a router at a time.
    pub open: Vec<usize>,
    /// Purges that a router knows.
    pub purges: Vec<usize>,
    /// Objects that a router has seen.
    pub objects: Vec<usize>,
    /// Routers that share a cold server's budget.
    pub routers: Vec<usize>,
    /// Requests of which the cost of a decision is the mean.
    pub requests: usize,
}

/// What the fleet is expected to be, as far as the data path goes by it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expected {
    /// Routers in all.
    pub routers: usize,
    /// Caches in all.
    pub caches: usize,
    /// Zones.
    pub zones: usize,
    /// Caches for each parent.
    pub caches_per_parent: usize,
    /// Objects that are asked for at one router.
    pub objects_asked: usize,
    /// Requests a second in all.
    pub requests_per_s: f64,
    /// Purges a second.
    pub purges_per_s: f64,
    /// Machines that are restarted, replaced or lost in a day.
    pub restarts_per_day: f64,
    /// Objects.
    pub objects: f64,
}

/// Every measured and simulated point of the data path.
pub fn rows(expected: &Expected, sizes: &Sizes, seed: u64) -> Vec<Row> {
    let mut all = decisions::rows(expected, sizes, seed);
    all.extend(tables::list(expected, sizes));
    all.extend(tables::purges(expected, sizes, seed));
    all.extend(tables::objects(expected, sizes, seed));
    all.extend(log::rows(expected, sizes));
    all.extend(cold::rows(expected, sizes, seed));
    all.extend(growth(&all));
    all.extend(memory(&all, expected));
    all
}

/// How much more the last point of a series is than its first, in this run: it tells growth on any machine.
fn growth(all: &[Row]) -> Vec<Row> {
    let of = |axis: &str, figure: &str| {
        let series = || all.iter().filter(|r| (r.axis, r.figure) == (axis, figure));
        Some((series().next()?.value, series().next_back()?))
    };
    let before_last = |axis: &str, figure: &str| {
        let mut series = all.iter().filter(|r| (r.axis, r.figure) == (axis, figure)).rev().skip(1);
        series.next().map(|r| r.value)
    };
    let told = [
        ("caches", "decision_us", "decision_us_growth"),
        ("caches", "decision_allocations", "decision_allocations_growth"),
        ("requests open", "decision_open_us", "decision_open_growth"),
        ("purges known", "decision_with_purges_us", "decision_with_purges_growth"),
    ];
    let one = |(axis, figure, name): (&str, &str, &'static str)| {
        let (first, last) = of(axis, figure)?;
        Some(Row::new((last.axis, last.x), (name, last.value / first, "times"), Kind::Reckoned))
    };
    // What is bounded no longer grows from the last point but one to the last.
    let bounded = || {
        let ((_, last), before) =
            (of("objects seen", "objects_held")?, before_last("objects seen", "objects_held")?);
        Some(Row::new(
            (last.axis, last.x),
            ("objects_held_growth", last.value / before, "times"),
            Kind::Reckoned,
        ))
    };
    told.into_iter().filter_map(one).chain(bounded()).collect()
}

/// What a router of the expected fleet holds of all this.
fn memory(all: &[Row], expected: &Expected) -> Option<Row> {
    let last = |figure: &str| all.iter().filter(|r| r.figure == figure).map(|r| r.value).next_back();
    let known = all.iter().find(|r| r.figure == "purges_known" && r.x == expected.purges_per_s)?.value;
    // The next size that was measured: a table doubles as it grows.
    let purges = all.iter().find(|r| r.figure == "purges_held" && r.x >= known)?.value;
    let held = last("list_expected_held")? + purges + last("objects_held")?;
    Some(Row::new(("routers", expected.routers as f64), ("data_path_held", held, "bytes"), Kind::Reckoned))
}
