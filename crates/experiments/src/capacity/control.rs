//! The control part's slopes: the real control parts of many routers in simulated time (`crates/fleet_simulation`), one axis at a time.

use super::meter::grown;
use super::row::{Kind, Row};
use super::side_by_side;
use basaltgw_fleet_simulation::run::{Figures, Kind as Runs, Setup};
use basaltgw_fleet_simulation::world::ChangeLogReach;
use serde::Deserialize;

/// Sizes at which the control part is measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Routers that are all linked to each other.
    pub mesh_routers: Vec<usize>,
    /// Purges a second in a mesh.
    pub mesh_purges: Vec<usize>,
    /// Routers that end and start again while a mesh is measured.
    pub mesh_restarts: Vec<usize>,
    /// Changes of the configuration a minute.
    pub mesh_changes: Vec<usize>,
    /// Routers as the runs of real processes have them.
    pub as_processes: Vec<usize>,
    /// Seconds that are measured.
    pub seconds: f64,
    /// Seconds in which changes are made.
    pub changes_seconds: f64,
}

/// Routers, and purges a second, where neither is the axis.
const ROUTERS: usize = 12;
const PURGES: f64 = 10.0;

/// Lines between regions on which founders hardly get in each other's way, ms one way, and the back-off of holds that goes with them, ms. On
/// the default lines founders may quarrel for long, and what is measured then is their quarrel.
const FAR_MS: (f64, f64) = (30.0, 60.0);
/// See [`FAR_MS`].
const BACK_OFF_MS: f64 = 150.0;
/// On the default lines a mesh is to be founded within so many seconds.
const FOUNDED_S: f64 = 20.0;

/// A figure of a run that becomes a point: its name there, its name here, its unit, how it is come by.
pub(super) type Named = (&'static str, &'static str, &'static str, Kind);

/// Figures of a run that become points.
const FIGURES: [Named; 9] = [
    ("wire_bytes_mean", "mesh_wire", "bytes/s", Kind::Simulated),
    ("wire_bytes_worst_second", "mesh_wire_worst_second", "bytes/s", Kind::Simulated),
    ("state_bytes_most", "mesh_state", "bytes", Kind::Measured),
    ("connections_most", "mesh_connections", "connections", Kind::Simulated),
    ("commits_mean", "mesh_commits", "commits/s", Kind::Simulated),
    ("cpu_ms_mean", "mesh_cpu", "ms/s", Kind::Measured),
    ("everywhere_last_ms", "mesh_everywhere_last", "ms", Kind::Simulated),
    ("lost", "mesh_lost", "purges", Kind::Simulated),
    ("late", "mesh_late", "purges", Kind::Simulated),
];

/// What becomes of a run: the axis, where on it, its figures, and whether the share of those founded is one of them.
type Along = (&'static str, usize, &'static [Named], Option<&'static str>);

/// What a mesh takes without any purge.
const AT_REST: [Named; 4] = [
    ("wire_bytes_mean", "mesh_rest_wire", "bytes/s", Kind::Simulated),
    ("wire_bytes_worst_second", "mesh_rest_wire_worst_second", "bytes/s", Kind::Simulated),
    ("commits_mean", "mesh_rest_commits", "commits/s", Kind::Simulated),
    ("cpu_ms_mean", "mesh_rest_cpu", "ms/s", Kind::Measured),
];

/// What it takes with changes of the configuration, and how long it is until all go by each.
const CHANGES: [Named; 8] = [
    ("wire_bytes_mean", "mesh_changes_wire", "bytes/s", Kind::Simulated),
    ("wire_bytes_worst_second", "mesh_changes_wire_worst_second", "bytes/s", Kind::Simulated),
    ("commits_mean", "mesh_changes_commits", "commits/s", Kind::Simulated),
    ("cpu_ms_mean", "mesh_changes_cpu", "ms/s", Kind::Measured),
    ("changes", "mesh_changes", "changes", Kind::Simulated),
    ("changes_lost", "mesh_changes_lost", "changes", Kind::Simulated),
    ("changes_everywhere_median_ms", "mesh_changes_everywhere_median", "ms", Kind::Simulated),
    ("changes_everywhere_last_ms", "mesh_changes_everywhere_last", "ms", Kind::Simulated),
];
/// Changes a minute where routers are the axis.
const CHANGES_A_MINUTE: f64 = 10.0;

/// What is held against real processes.
const LIKE_REAL: [Named; 4] = [
    ("wire_out_mean", "hollow_bytes_out", "bytes/s", Kind::Simulated),
    ("frames_out_mean", "hollow_frames_out", "frames/s", Kind::Simulated),
    ("commits_mean", "hollow_commits", "commits/s", Kind::Simulated),
    ("words", "hollow_words", "purges", Kind::Simulated),
];
/// Rates of purges a second and the axes of routers on which they are, in a mesh and with the overlay's few links.
const AS_PROCESSES: [(f64, [&str; 2]); 4] = [
    (0.0, ["hollow routers at rest", "hollow overlay routers at rest"]),
    (10.0, ["hollow routers at 10 purges a second", "hollow overlay routers at 10 purges a second"]),
    (50.0, ["hollow routers at 50 purges a second", "hollow overlay routers at 50 purges a second"]),
    (100.0, ["hollow routers at 100 purges a second", "hollow overlay routers at 100 purges a second"]),
];
/// When feeds look is drawn, so a point is the mean of as many runs.
const DRAWS: u64 = 8;
/// Seconds of a window of theirs, the change log's time from look to look, a way on loopback, and a commit of the store, ms.
const PROCESSES_S: f64 = 6.0;
/// See [`PROCESSES_S`].
const LOOK_MS: f64 = 50.0;
/// See [`PROCESSES_S`].
const LOOPBACK_MS: (f64, f64) = (0.02, 0.1);
/// See [`PROCESSES_S`].
const COMMIT_MS: (f64, f64) = (0.4, 5.0);

/// Its points.
pub fn rows(sizes: &Sizes, seed: u64) -> Result<Vec<Row>, String> {
    let (along, setups): (Vec<Along>, Vec<Setup>) = slopes(sizes, seed).into_iter().unzip();
    let mut rows = Vec::new();
    for ((axis, x, names, founded), figures) in along.into_iter().zip(side_by_side::all(&setups)?) {
        rows.extend(named((axis, x), &figures, names)?);
        if let Some(name) = founded {
            let value = figure(&figures, "founded")? / figure(&figures, "routers")?;
            rows.push(Row::new((axis, x as f64), (name, value, "share"), Kind::Simulated));
        }
    }
    Ok(means(rows))
}

/// Points that were found several times become their mean.
fn means(rows: Vec<Row>) -> Vec<Row> {
    let mut all: Vec<(Row, f64)> = Vec::new();
    for row in rows {
        match all.iter_mut().find(|(r, _)| (r.axis, r.x, r.figure) == (row.axis, row.x, row.figure)) {
            Some((mean, many)) => {
                *many += 1.0;
                mean.value += (row.value - mean.value) / *many;
            }
            None => all.push((row, 1.0)),
        }
    }
    all.into_iter().map(|(row, _)| row).collect()
}

/// A quiet mesh, founded before anything is measured.
fn quiet(sizes: &Sizes, routers: usize, seed: u64) -> Setup {
    let mut setup = Setup::mesh(routers, seed);
    (setup.purges_per_s, setup.measured_s, setup.measure_cpu) = (PURGES, sizes.seconds, true);
    setup.allocation_meter = Some(grown);
    setup.network.inter_region_delay_ms = FAR_MS;
    if let Runs::Mesh(mesh) = &mut setup.kind {
        mesh.registers.min_backoff_ms = BACK_OFF_MS;
    }
    setup
}

fn slopes(sizes: &Sizes, seed: u64) -> Vec<(Along, Setup)> {
    let of = |routers: usize| quiet(sizes, routers, seed);
    let founded = Some("mesh_founded");
    let mut all: Vec<(Along, Setup)> = Vec::new();
    for n in &sizes.mesh_routers {
        let axis = "routers in a mesh";
        all.push(((axis, *n, &FIGURES, founded), of(*n)));
        all.push(((axis, *n, &AT_REST, None), Setup { purges_per_s: 0.0, ..of(*n) }));
        all.push(((axis, *n, &[], Some("mesh_founded_far")), far(*n, seed)));
        all.push(((axis, *n, &CHANGES, None), changing(sizes, of(*n), CHANGES_A_MINUTE)));
    }
    for n in &sizes.mesh_purges {
        let setup = Setup { purges_per_s: *n as f64, ..of(ROUTERS) };
        all.push((("purges a second in a mesh", *n, &FIGURES, founded), setup));
    }
    for n in &sizes.mesh_restarts {
        let mut setup = of(ROUTERS);
        setup.random_faults.restarts = *n;
        all.push((("restarts in a mesh", *n, &FIGURES, founded), setup));
    }
    for n in &sizes.mesh_changes {
        let along: Along = ("configuration changes a minute in a mesh", *n, &CHANGES, None);
        all.push((along, changing(sizes, of(ROUTERS), *n as f64)));
    }
    for n in &sizes.as_processes {
        for (purges, [mesh, overlay]) in AS_PROCESSES {
            for seed in (0..DRAWS).map(|draw| seed.wrapping_add(draw)) {
                let along = |axis| (axis, *n, &LIKE_REAL[..], None);
                all.push((along(mesh), as_processes(Setup::mesh(*n, seed), purges)));
                all.push((along(overlay), as_processes(Setup::sparse(*n, seed), purges)));
            }
        }
    }
    all
}

/// The same with changes of the configuration, and without purges: what it takes more than at rest is theirs.
fn changing(sizes: &Sizes, mut setup: Setup, per_minute: f64) -> Setup {
    (setup.purges_per_s, setup.measured_s) = (0.0, sizes.changes_seconds);
    let (from, to) = (setup.warm_up_s * 1_000.0, (setup.warm_up_s + setup.measured_s) * 1_000.0);
    if let Runs::Mesh(mesh) = &mut setup.kind {
        mesh.config_changes = (per_minute, (from, to));
    }
    setup
}

/// Routers as the processes of `basaltgw_emulator::rig::fleet_cost` are: on one machine, and each told by a change log that looks for news every
/// 50 ms, another time for each, and tells them all at once.
fn as_processes(mut setup: Setup, purges: f64) -> Setup {
    (setup.purges_per_s, setup.measured_s) = (purges, PROCESSES_S);
    (
        setup.network.same_site_delay_ms,
        setup.network.same_region_delay_ms,
        setup.network.inter_region_delay_ms,
    ) = (LOOPBACK_MS, LOOPBACK_MS, LOOPBACK_MS);
    (setup.change_log, setup.change_log_delay_ms, setup.commit_ms) =
        (ChangeLogReach::Polling { interval_ms: LOOK_MS }, (0.0, 0.0), COMMIT_MS);
    setup
}

/// On the default lines and with the default back-off.
fn far(routers: usize, seed: u64) -> Setup {
    let mut setup = Setup::mesh(routers, seed);
    (setup.measured_s, setup.drain_s) = (1.0, 1.0);
    setup.warm_up_s = FOUNDED_S - setup.measured_s - setup.drain_s;
    setup
}

/// One of a run's figures.
pub(super) fn figure(figures: &Figures, name: &str) -> Result<f64, String> {
    figures.values.get(name).copied().ok_or_else(|| format!("hollow routers give no figure {name}"))
}

/// Those of a run's figures that become points.
pub(super) fn named(
    (axis, x): (&'static str, usize),
    figures: &Figures,
    names: &[Named],
) -> Result<Vec<Row>, String> {
    let one = |(theirs, ours, unit, kind): &Named| {
        Ok(Row::new((axis, x as f64), (*ours, figure(figures, theirs)?, *unit), *kind))
    };
    names.iter().map(one).collect()
}
