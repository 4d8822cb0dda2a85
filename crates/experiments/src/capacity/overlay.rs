//! The overlay's slopes, in simulated time: routers with links to a few others (`crates/fleet_simulation`, `crates/overlay`), one axis at a time, and
//! scripted troubles ([`troubles`]).

use super::control::{named, Named};
use super::meter::grown;
use super::row::{Kind, Row};
use super::side_by_side;
use super::troubles::{self, Wrong};
use basaltgw_fleet_simulation::run::Setup;
use basaltgw_fleet_simulation::world::ChangeLogReach;
use serde::Deserialize;

/// Seconds of an hour.
const HOUR_S: f64 = 3_600.0;

/// Sizes at which the overlay is measured, and what its links and the change log are like.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Routers, all with the most of `purges` a second.
    pub routers: Vec<usize>,
    /// Purges a second, at `purges_routers`.
    pub purges: Vec<usize>,
    /// See `purges`.
    pub purges_routers: usize,
    /// Sites, zones and regions over which `purges_routers` stand.
    pub places: Places,
    /// Machines that end while `purges_routers` are measured, and are back within 10 s.
    pub losses: Vec<usize>,
    /// Seconds that are measured.
    pub seconds: f64,
    /// A sign of life so often on a link without anything else, ms; and a link without any for so long is silent.
    keepalive_ms: f64,
    /// See `keepalive_ms`.
    silent_ms: f64,
    /// The change log: the part of routers that misses a word, the part that hears it late, and how late at the most.
    misses: f64,
    /// See `misses`.
    late: f64,
    /// See `misses`.
    late_ms: f64,
    /// What goes wrong, each in a run of its own.
    pub(super) troubles: Vec<Wrong>,
    /// Routers and purges a second of those runs.
    pub troubles_routers: usize,
    /// See `troubles_routers`.
    troubles_purges: f64,
}

/// Over how many places routers stand: one of the three goes along its axis, the others are as usual.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Places {
    usual: Stand,
    pub(super) sites: Vec<usize>,
    pub(super) zones: Vec<usize>,
    pub(super) regions: Vec<usize>,
}

/// So many places.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stand {
    sites: usize,
    zones: usize,
    regions: usize,
}

impl Places {
    /// The axis, where on it, and the places.
    fn along(&self) -> Vec<(&'static str, usize, Stand)> {
        let usual = self.usual;
        let sites = self.sites.iter().map(|n| ("sites of an overlay", *n, Stand { sites: *n, ..usual }));
        let zones = self.zones.iter().map(|n| ("zones of an overlay", *n, Stand { zones: *n, ..usual }));
        let regions =
            self.regions.iter().map(|n| ("regions of an overlay", *n, Stand { regions: *n, ..usual }));
        sites.chain(zones).chain(regions).collect()
    }
}

/// Figures of a run that become points.
const FIGURES: [Named; 20] = [
    ("wire_bytes_mean", "sparse_wire", "bytes/s", Kind::Simulated),
    ("wire_bytes_p99", "sparse_wire_p99", "bytes/s", Kind::Simulated),
    ("wire_bytes_busiest_mean", "sparse_wire_busiest", "bytes/s", Kind::Simulated),
    ("wire_bytes_worst_second", "sparse_wire_worst_second", "bytes/s", Kind::Simulated),
    ("wire_bytes_worst_founding", "sparse_wire_worst_founding", "bytes/s", Kind::Simulated),
    ("control_wire_bytes_mean", "sparse_control_wire", "bytes/s", Kind::Simulated),
    ("control_wire_bytes_worst_second", "sparse_control_wire_worst_second", "bytes/s", Kind::Simulated),
    ("links_mean", "sparse_links", "links", Kind::Simulated),
    ("links_most", "sparse_links_most", "links", Kind::Simulated),
    // A descriptor each.
    ("connections_most", "sparse_connections_most", "connections", Kind::Simulated),
    ("state_bytes_most", "sparse_state", "bytes", Kind::Measured),
    ("cpu_ms_mean", "sparse_cpu", "ms/s", Kind::Measured),
    ("commits_mean", "sparse_commits", "commits/s", Kind::Simulated),
    ("words", "sparse_words", "purges", Kind::Simulated),
    ("everywhere_median_ms", "sparse_everywhere_median", "ms", Kind::Simulated),
    ("everywhere_p99_ms", "sparse_everywhere_p99", "ms", Kind::Simulated),
    ("everywhere_last_ms", "sparse_everywhere_last", "ms", Kind::Simulated),
    ("lost", "sparse_lost", "purges", Kind::Simulated),
    ("twice", "sparse_twice", "purges", Kind::Simulated),
    ("late", "sparse_late", "purges", Kind::Simulated),
];

/// The same where a word is heard by few, and the overlay has to take it to all others.
const HEARD_BY: [(ChangeLogReach, [Named; 5]); 2] = [
    (
        ChangeLogReach::OneRouter,
        [
            ("wire_bytes_mean", "sparse_wire_heard_by_one", "bytes/s", Kind::Simulated),
            ("wire_bytes_worst_second", "sparse_wire_worst_second_heard_by_one", "bytes/s", Kind::Simulated),
            ("everywhere_last_ms", "sparse_everywhere_last_heard_by_one", "ms", Kind::Simulated),
            ("lost", "sparse_lost_heard_by_one", "purges", Kind::Simulated),
            ("late", "sparse_late_heard_by_one", "purges", Kind::Simulated),
        ],
    ),
    (
        ChangeLogReach::ControlMachines,
        [
            ("wire_bytes_mean", "sparse_wire_heard_by_controls", "bytes/s", Kind::Simulated),
            (
                "wire_bytes_worst_second",
                "sparse_wire_worst_second_heard_by_controls",
                "bytes/s",
                Kind::Simulated,
            ),
            ("everywhere_last_ms", "sparse_everywhere_last_heard_by_controls", "ms", Kind::Simulated),
            ("lost", "sparse_lost_heard_by_controls", "purges", Kind::Simulated),
            ("late", "sparse_late_heard_by_controls", "purges", Kind::Simulated),
        ],
    ),
];

/// Runs along axes: the axis, where on it, and how many figures of a run become points.
type Along = (&'static str, usize, &'static [Named]);

/// Its points.
pub fn rows(sizes: &Sizes, seed: u64) -> Result<Vec<Row>, String> {
    let (along, mut setups): (Vec<Along>, Vec<Setup>) = slopes(sizes, seed).into_iter().unzip();
    let quiet = setup(sizes, sizes.troubles_routers, sizes.troubles_purges, seed);
    let troubles = troubles::setups(&quiet, &sizes.troubles)?;
    setups.extend(troubles.iter().cloned());
    let figures = side_by_side::all(&setups)?;
    let (of_slopes, of_troubles) = figures.split_at(along.len());
    let mut rows = Vec::new();
    for ((axis, x, names), figures) in along.into_iter().zip(of_slopes) {
        rows.extend(named((axis, x), figures, names)?);
    }
    rows.extend(troubles::rows(&sizes.troubles, &troubles, of_troubles)?);
    Ok(rows)
}

fn slopes(sizes: &Sizes, seed: u64) -> Vec<(Along, Setup)> {
    let most = sizes.purges.iter().max().copied().unwrap_or(0) as f64;
    let of = |routers: usize, purges: f64| setup(sizes, routers, purges, seed);
    let mut all: Vec<(Along, Setup)> = Vec::new();
    for n in &sizes.routers {
        all.push((("routers in an overlay", *n, &FIGURES), of(*n, most)));
    }
    for n in &sizes.purges {
        let along: Along = ("purges a second in an overlay", *n, &FIGURES);
        all.push((along, of(sizes.purges_routers, *n as f64)));
    }
    for (log, names) in &HEARD_BY {
        let mut setup = of(sizes.purges_routers, most);
        setup.change_log = *log;
        all.push((("routers in an overlay", sizes.purges_routers, names), setup));
    }
    for (axis, x, Stand { sites: s, zones, regions }) in sizes.places.along() {
        let mut setup = of(sizes.purges_routers, most);
        (setup.shape.sites, setup.shape.zones, setup.shape.regions) = (s, zones, regions);
        all.push(((axis, x, &FIGURES), setup));
    }
    for n in &sizes.losses {
        let mut setup = of(sizes.purges_routers, most);
        // One half comes back with its disk, the other with an empty one.
        (setup.random_faults.restarts, setup.random_faults.replaced) = (n.div_ceil(2), n / 2);
        let an_hour = (*n as f64 * HOUR_S / setup.measured_s).round() as usize;
        all.push((("machines lost and restarted an hour in an overlay", an_hour, &FIGURES), setup));
    }
    all
}

pub(super) fn setup(sizes: &Sizes, routers: usize, purges: f64, seed: u64) -> Setup {
    let mut setup = Setup::sparse(routers, seed);
    (setup.purges_per_s, setup.measured_s, setup.measure_cpu) = (purges, sizes.seconds, true);
    (setup.network.keepalive_ms, setup.network.peer_timeout_ms) = (sizes.keepalive_ms, sizes.silent_ms);
    setup.change_log = ChangeLogReach::Uneven {
        missed_share: sizes.misses,
        late_share: sizes.late,
        max_delay_ms: sizes.late_ms,
    };
    setup.allocation_meter = Some(grown);
    setup
}
