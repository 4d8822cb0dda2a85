//! Costs of the overlay in simulated time: routers with links to a few others (`crates/fleet_simulation`, `crates/overlay`), along one axis at a
//! time, and in scripted fault scenarios ([`scenarios`]).

use super::figures::{self, measured, simulated, RunFigure};
use super::meter::retained_bytes;
use super::parallel;
use super::row::Row;
use super::scenarios::{self, Scenario};
use basaltgw_fleet_simulation::run::Setup;
use basaltgw_fleet_simulation::world::ChangeLogReach;
use serde::Deserialize;

const HOUR_S: f64 = 3_600.0;

/// The sizes at which the overlay is measured, and the settings of its links and of the change log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Routers, measured at the highest rate of `purges`.
    pub routers: Vec<usize>,
    /// Purges per second, measured at `reference_routers`.
    pub purges: Vec<usize>,
    /// Routers where another quantity is the axis.
    #[serde(rename = "purges_routers")]
    pub reference_routers: usize,
    /// Sites, zones and regions of `reference_routers`.
    #[serde(rename = "places")]
    pub domains: Domains,
    /// Machines that end while `reference_routers` are measured, and return within 10 s.
    pub losses: Vec<usize>,
    /// Measured seconds.
    pub seconds: f64,
    /// Interval of keepalives on a link without other traffic.
    keepalive_ms: f64,
    /// Time after which a link without any traffic counts as broken.
    #[serde(rename = "silent_ms")]
    peer_timeout_ms: f64,
    /// The share of routers at which the change log does not deliver an update.
    #[serde(rename = "misses")]
    missed_share: f64,
    /// The share of routers at which the change log delivers an update late.
    #[serde(rename = "late")]
    late_share: f64,
    /// The maximum delay of a late update.
    #[serde(rename = "late_ms")]
    max_delay_ms: f64,
    /// Fault scenarios, each in a run of its own.
    #[serde(rename = "troubles")]
    pub(super) scenarios: Vec<Scenario>,
    /// Routers of runs with a fault scenario.
    #[serde(rename = "troubles_routers")]
    pub scenario_routers: usize,
    /// Purges per second of runs with a fault scenario.
    #[serde(rename = "troubles_purges")]
    scenario_purges_per_s: f64,
}

/// Numbers of failure domains: each of the three is an axis, along which the other two have their default.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domains {
    #[serde(rename = "usual")]
    default: DomainCounts,
    pub(super) sites: Vec<usize>,
    pub(super) zones: Vec<usize>,
    pub(super) regions: Vec<usize>,
}

/// The numbers of failure domains of a fleet.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DomainCounts {
    sites: usize,
    zones: usize,
    regions: usize,
}

/// A position on the axis of one failure domain.
struct DomainPoint {
    axis: &'static str,
    x: usize,
    counts: DomainCounts,
}

impl Domains {
    /// Returns the positions on the three axes.
    fn points(&self) -> Vec<DomainPoint> {
        let default = self.default;
        let sites = self.sites.iter().map(|n| {
            let counts = DomainCounts { sites: *n, ..default };
            DomainPoint { axis: "sites of an overlay", x: *n, counts }
        });
        let zones = self.zones.iter().map(|n| {
            let counts = DomainCounts { zones: *n, ..default };
            DomainPoint { axis: "zones of an overlay", x: *n, counts }
        });
        let regions = self.regions.iter().map(|n| {
            let counts = DomainCounts { regions: *n, ..default };
            DomainPoint { axis: "regions of an overlay", x: *n, counts }
        });
        sites.chain(zones).chain(regions).collect()
    }
}

/// Figures where the change log misses some routers and is late at others, as in [`setup`].
const FIGURES: [RunFigure; 20] = [
    simulated("wire_bytes_mean", "sparse_wire", "bytes/s"),
    simulated("wire_bytes_p99", "sparse_wire_p99", "bytes/s"),
    simulated("wire_bytes_busiest_mean", "sparse_wire_busiest", "bytes/s"),
    simulated("wire_bytes_worst_second", "sparse_wire_worst_second", "bytes/s"),
    simulated("wire_bytes_worst_founding", "sparse_wire_worst_founding", "bytes/s"),
    simulated("control_wire_bytes_mean", "sparse_control_wire", "bytes/s"),
    simulated("control_wire_bytes_worst_second", "sparse_control_wire_worst_second", "bytes/s"),
    simulated("links_mean", "sparse_links", "links"),
    simulated("links_most", "sparse_links_most", "links"),
    // Each connection needs a file descriptor.
    simulated("connections_most", "sparse_connections_most", "connections"),
    measured("state_bytes_most", "sparse_state", "bytes"),
    measured("cpu_ms_mean", "sparse_cpu", "ms/s"),
    simulated("commits_mean", "sparse_commits", "commits/s"),
    simulated("words", "sparse_words", "purges"),
    simulated("everywhere_median_ms", "sparse_everywhere_median", "ms"),
    simulated("everywhere_p99_ms", "sparse_everywhere_p99", "ms"),
    simulated("everywhere_last_ms", "sparse_everywhere_last", "ms"),
    simulated("lost", "sparse_lost", "purges"),
    simulated("twice", "sparse_twice", "purges"),
    simulated("late", "sparse_late", "purges"),
];

/// Figures where the change log reaches one router, so that the overlay has to deliver each purge to all others.
const ONE_ROUTER_FIGURES: [RunFigure; 5] = [
    simulated("wire_bytes_mean", "sparse_wire_heard_by_one", "bytes/s"),
    simulated("wire_bytes_worst_second", "sparse_wire_worst_second_heard_by_one", "bytes/s"),
    simulated("everywhere_last_ms", "sparse_everywhere_last_heard_by_one", "ms"),
    simulated("lost", "sparse_lost_heard_by_one", "purges"),
    simulated("late", "sparse_late_heard_by_one", "purges"),
];

/// Figures where the change log reaches only the control machines.
const CONTROL_MACHINES_FIGURES: [RunFigure; 5] = [
    simulated("wire_bytes_mean", "sparse_wire_heard_by_controls", "bytes/s"),
    simulated("wire_bytes_worst_second", "sparse_wire_worst_second_heard_by_controls", "bytes/s"),
    simulated("everywhere_last_ms", "sparse_everywhere_last_heard_by_controls", "ms"),
    simulated("lost", "sparse_lost_heard_by_controls", "purges"),
    simulated("late", "sparse_late_heard_by_controls", "purges"),
];

/// Change logs that reach few routers, with the figures of their runs.
const LIMITED_REACH: [(ChangeLogReach, &[RunFigure]); 2] = [
    (ChangeLogReach::OneRouter, &ONE_ROUTER_FIGURES),
    (ChangeLogReach::ControlMachines, &CONTROL_MACHINES_FIGURES),
];

/// A run, the position of its rows, and the figures that become rows.
struct Measurement {
    setup: Setup,
    axis: &'static str,
    x: usize,
    figures: &'static [RunFigure],
}

/// Returns the rows of all runs.
pub fn rows(sizes: &Sizes, seed: u64) -> Result<Vec<Row>, String> {
    let measurements = measurements(sizes, seed);
    let baseline = setup(sizes, sizes.scenario_routers, sizes.scenario_purges_per_s, seed);
    let scenario_setups = scenarios::setups(&baseline, &sizes.scenarios)?;
    let setups: Vec<Setup> = measurements.iter().map(|m| &m.setup).chain(&scenario_setups).cloned().collect();
    let runs = parallel::run_all(&setups)?;
    let (measured_runs, scenario_runs) = runs.split_at(measurements.len());
    let mut rows = Vec::new();
    for (Measurement { axis, x, figures, .. }, run) in measurements.iter().zip(measured_runs) {
        rows.extend(figures::rows(axis, *x, run, figures)?);
    }
    rows.extend(scenarios::rows(&sizes.scenarios, &scenario_setups, scenario_runs)?);
    Ok(rows)
}

/// Returns all runs without a fault scenario, axis by axis.
fn measurements(sizes: &Sizes, seed: u64) -> Vec<Measurement> {
    let max_purges = sizes.purges.iter().max().copied().unwrap_or(0) as f64;
    let reference = |purges_per_s: f64| setup(sizes, sizes.reference_routers, purges_per_s, seed);
    let mut all = Vec::new();
    for n in &sizes.routers {
        let setup = setup(sizes, *n, max_purges, seed);
        all.push(Measurement { setup, axis: "routers in an overlay", x: *n, figures: &FIGURES });
    }
    for n in &sizes.purges {
        let setup = reference(*n as f64);
        all.push(Measurement { setup, axis: "purges a second in an overlay", x: *n, figures: &FIGURES });
    }
    for (change_log, figures) in LIMITED_REACH {
        let setup = Setup { change_log, ..reference(max_purges) };
        all.push(Measurement { setup, axis: "routers in an overlay", x: sizes.reference_routers, figures });
    }
    for DomainPoint { axis, x, counts } in sizes.domains.points() {
        let mut setup = reference(max_purges);
        setup.shape.sites = counts.sites;
        setup.shape.zones = counts.zones;
        setup.shape.regions = counts.regions;
        all.push(Measurement { setup, axis, x, figures: &FIGURES });
    }
    for n in &sizes.losses {
        let mut setup = reference(max_purges);
        // One half returns with its disk, the other half with an empty one.
        (setup.random_faults.restarts, setup.random_faults.replaced) = (n.div_ceil(2), n / 2);
        let x = (*n as f64 * HOUR_S / setup.measured_s).round() as usize;
        let axis = "machines lost and restarted an hour in an overlay";
        all.push(Measurement { setup, axis, x, figures: &FIGURES });
    }
    all
}

/// Returns the setup of a run without faults, whose change log reaches routers as the sizes say.
pub(super) fn setup(sizes: &Sizes, routers: usize, purges_per_s: f64, seed: u64) -> Setup {
    let mut setup = Setup::sparse(routers, seed);
    (setup.purges_per_s, setup.measured_s, setup.measure_cpu) = (purges_per_s, sizes.seconds, true);
    (setup.network.keepalive_ms, setup.network.peer_timeout_ms) = (sizes.keepalive_ms, sizes.peer_timeout_ms);
    setup.change_log = ChangeLogReach::Uneven {
        missed_share: sizes.missed_share,
        late_share: sizes.late_share,
        max_delay_ms: sizes.max_delay_ms,
    };
    setup.allocation_meter = Some(retained_bytes);
    setup
}
