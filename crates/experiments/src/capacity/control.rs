//! Costs of the control plane in a mesh: the real control planes of many routers in simulated time (`crates/fleet_simulation`), along one axis
//! at a time.

use super::figures::{self, figure, measured, simulated, RunFigure};
use super::meter::retained_bytes;
use super::parallel;
use super::row::{Kind, Row};
use basaltgw_fleet_simulation::run::{Kind as RunKind, Setup};
use basaltgw_fleet_simulation::world::ChangeLogReach;
use serde::Deserialize;

/// The sizes at which the control plane is measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Routers of a mesh, in which each is linked to all others.
    pub mesh_routers: Vec<usize>,
    /// Purges per second in a mesh.
    pub mesh_purges: Vec<usize>,
    /// Routers that end and start again while a mesh is measured.
    pub mesh_restarts: Vec<usize>,
    /// Changes of the configuration per minute.
    pub mesh_changes: Vec<usize>,
    /// Routers set up like those of the runs with router processes.
    pub as_processes: Vec<usize>,
    /// Measured seconds.
    pub seconds: f64,
    /// Measured seconds of runs with changes of the configuration.
    pub changes_seconds: f64,
}

/// Routers where another quantity is the axis.
const ROUTERS: usize = 12;
/// Purges per second where another quantity is the axis.
const PURGES_PER_S: f64 = 10.0;

/// One-way latency between regions at which founders rarely compete, ms. At the default latency founders may compete for a long time, and the
/// run would measure their conflict.
const LOW_CONFLICT_DELAY_MS: (f64, f64) = (30.0, 60.0);
/// The back-off of the registers that goes with [`LOW_CONFLICT_DELAY_MS`], ms.
const LOW_CONFLICT_BACKOFF_MS: f64 = 150.0;
/// Time within which a mesh has to be founded at the default latency, s.
const FOUNDING_LIMIT_S: f64 = 20.0;

/// Figures of a mesh with purges.
const FIGURES: [RunFigure; 9] = [
    simulated("wire_bytes_mean", "mesh_wire", "bytes/s"),
    simulated("wire_bytes_worst_second", "mesh_wire_worst_second", "bytes/s"),
    measured("state_bytes_most", "mesh_state", "bytes"),
    simulated("connections_most", "mesh_connections", "connections"),
    simulated("commits_mean", "mesh_commits", "commits/s"),
    measured("cpu_ms_mean", "mesh_cpu", "ms/s"),
    simulated("everywhere_last_ms", "mesh_everywhere_last", "ms"),
    simulated("lost", "mesh_lost", "purges"),
    simulated("late", "mesh_late", "purges"),
];

/// Figures of a mesh without purges.
const IDLE_FIGURES: [RunFigure; 4] = [
    simulated("wire_bytes_mean", "mesh_rest_wire", "bytes/s"),
    simulated("wire_bytes_worst_second", "mesh_rest_wire_worst_second", "bytes/s"),
    simulated("commits_mean", "mesh_rest_commits", "commits/s"),
    measured("cpu_ms_mean", "mesh_rest_cpu", "ms/s"),
];

/// Figures of a mesh with changes of the configuration, among them the time until all routers use a change.
const CHANGE_FIGURES: [RunFigure; 8] = [
    simulated("wire_bytes_mean", "mesh_changes_wire", "bytes/s"),
    simulated("wire_bytes_worst_second", "mesh_changes_wire_worst_second", "bytes/s"),
    simulated("commits_mean", "mesh_changes_commits", "commits/s"),
    measured("cpu_ms_mean", "mesh_changes_cpu", "ms/s"),
    simulated("changes", "mesh_changes", "changes"),
    simulated("changes_lost", "mesh_changes_lost", "changes"),
    simulated("changes_everywhere_median_ms", "mesh_changes_everywhere_median", "ms"),
    simulated("changes_everywhere_last_ms", "mesh_changes_everywhere_last", "ms"),
];
/// Changes of the configuration per minute where routers are the axis.
const CHANGES_PER_MINUTE: f64 = 10.0;

/// Figures that are compared with those of router processes.
const PROCESS_FIGURES: [RunFigure; 4] = [
    simulated("wire_out_mean", "hollow_bytes_out", "bytes/s"),
    simulated("frames_out_mean", "hollow_frames_out", "frames/s"),
    simulated("commits_mean", "hollow_commits", "commits/s"),
    simulated("words", "hollow_words", "purges"),
];

/// A rate of purges at which simulated routers are compared with router processes, and the axes of its rows.
struct ProcessRate {
    purges_per_s: f64,
    mesh_axis: &'static str,
    overlay_axis: &'static str,
}

const PROCESS_RATES: [ProcessRate; 4] = [
    ProcessRate {
        purges_per_s: 0.0,
        mesh_axis: "hollow routers at rest",
        overlay_axis: "hollow overlay routers at rest",
    },
    ProcessRate {
        purges_per_s: 10.0,
        mesh_axis: "hollow routers at 10 purges a second",
        overlay_axis: "hollow overlay routers at 10 purges a second",
    },
    ProcessRate {
        purges_per_s: 50.0,
        mesh_axis: "hollow routers at 50 purges a second",
        overlay_axis: "hollow overlay routers at 50 purges a second",
    },
    ProcessRate {
        purges_per_s: 100.0,
        mesh_axis: "hollow routers at 100 purges a second",
        overlay_axis: "hollow overlay routers at 100 purges a second",
    },
];
/// Seeds of each point that is compared with processes: the polling times of change logs are random, so a point is the mean of these runs.
const PROCESS_SEEDS: u64 = 8;
/// Seconds of a measurement of router processes.
const PROCESS_MEASURED_S: f64 = 6.0;
/// Polling interval of the change log of router processes, ms.
const PROCESS_POLL_INTERVAL_MS: f64 = 50.0;
/// One-way latency on loopback, ms.
const LOOPBACK_DELAY_MS: (f64, f64) = (0.02, 0.1);
/// Time of a commit of the store of router processes, ms.
const PROCESS_COMMIT_MS: (f64, f64) = (0.4, 5.0);

/// A run, the position of its rows, and the figures that become rows.
struct Measurement {
    setup: Setup,
    axis: &'static str,
    x: usize,
    figures: &'static [RunFigure],
    /// The name of the row with the share of routers that have a table; `None` if there is no such row.
    founded_share: Option<&'static str>,
}

/// Returns the rows of all runs.
pub fn rows(sizes: &Sizes, seed: u64) -> Result<Vec<Row>, String> {
    let measurements = measurements(sizes, seed);
    let setups: Vec<Setup> = measurements.iter().map(|m| m.setup.clone()).collect();
    let mut rows = Vec::new();
    for (measurement, run) in measurements.iter().zip(parallel::run_all(&setups)?) {
        let Measurement { axis, x, figures, founded_share, .. } = *measurement;
        rows.extend(figures::rows(axis, x, &run, figures)?);
        if let Some(name) = founded_share {
            let share = figure(&run, "founded")? / figure(&run, "routers")?;
            rows.push(Row::new((axis, x as f64), (name, share, "share"), Kind::Simulated));
        }
    }
    Ok(figures::means(rows))
}

/// Returns the setup of a mesh that is founded before the measurement begins.
fn founded_mesh(sizes: &Sizes, routers: usize, seed: u64) -> Setup {
    let mut setup = Setup::mesh(routers, seed);
    (setup.purges_per_s, setup.measured_s, setup.measure_cpu) = (PURGES_PER_S, sizes.seconds, true);
    setup.allocation_meter = Some(retained_bytes);
    setup.network.inter_region_delay_ms = LOW_CONFLICT_DELAY_MS;
    if let RunKind::Mesh(mesh) = &mut setup.kind {
        mesh.registers.min_backoff_ms = LOW_CONFLICT_BACKOFF_MS;
    }
    setup
}

/// Returns all runs, axis by axis.
fn measurements(sizes: &Sizes, seed: u64) -> Vec<Measurement> {
    let mesh = |routers: usize| founded_mesh(sizes, routers, seed);
    let founded_share = Some("mesh_founded");
    let mut all = Vec::new();
    for n in &sizes.mesh_routers {
        let (axis, x) = ("routers in a mesh", *n);
        all.push(Measurement { setup: mesh(x), axis, x, figures: &FIGURES, founded_share });
        let setup = Setup { purges_per_s: 0.0, ..mesh(x) };
        all.push(Measurement { setup, axis, x, figures: &IDLE_FIGURES, founded_share: None });
        let setup = default_latency(x, seed);
        all.push(Measurement { setup, axis, x, figures: &[], founded_share: Some("mesh_founded_far") });
        let setup = with_config_changes(sizes, mesh(x), CHANGES_PER_MINUTE);
        all.push(Measurement { setup, axis, x, figures: &CHANGE_FIGURES, founded_share: None });
    }
    for n in &sizes.mesh_purges {
        let setup = Setup { purges_per_s: *n as f64, ..mesh(ROUTERS) };
        let axis = "purges a second in a mesh";
        all.push(Measurement { setup, axis, x: *n, figures: &FIGURES, founded_share });
    }
    for n in &sizes.mesh_restarts {
        let mut setup = mesh(ROUTERS);
        setup.random_faults.restarts = *n;
        all.push(Measurement { setup, axis: "restarts in a mesh", x: *n, figures: &FIGURES, founded_share });
    }
    for n in &sizes.mesh_changes {
        let setup = with_config_changes(sizes, mesh(ROUTERS), *n as f64);
        let axis = "configuration changes a minute in a mesh";
        all.push(Measurement { setup, axis, x: *n, figures: &CHANGE_FIGURES, founded_share: None });
    }
    for n in &sizes.as_processes {
        for rate in &PROCESS_RATES {
            for seed in (0..PROCESS_SEEDS).map(|offset| seed.wrapping_add(offset)) {
                let measurement = |setup, axis| {
                    let setup = like_processes(setup, rate.purges_per_s);
                    Measurement { setup, axis, x: *n, figures: &PROCESS_FIGURES, founded_share: None }
                };
                all.push(measurement(Setup::mesh(*n, seed), rate.mesh_axis));
                all.push(measurement(Setup::sparse(*n, seed), rate.overlay_axis));
            }
        }
    }
    all
}

/// Adds changes of the configuration and removes purges, so that the cost above that of an idle mesh is the cost of the changes.
fn with_config_changes(sizes: &Sizes, mut setup: Setup, per_minute: f64) -> Setup {
    (setup.purges_per_s, setup.measured_s) = (0.0, sizes.changes_seconds);
    let (from, to) = (setup.warm_up_s * 1_000.0, (setup.warm_up_s + setup.measured_s) * 1_000.0);
    if let RunKind::Mesh(mesh) = &mut setup.kind {
        mesh.config_changes = (per_minute, (from, to));
    }
    setup
}

/// Sets routers up like the processes of `basaltgw_emulator::rig::fleet_cost`: on one machine, each with a change log that polls every 50 ms with a
/// phase of its own and delivers all new purges at once.
fn like_processes(mut setup: Setup, purges_per_s: f64) -> Setup {
    (setup.purges_per_s, setup.measured_s) = (purges_per_s, PROCESS_MEASURED_S);
    setup.network.same_site_delay_ms = LOOPBACK_DELAY_MS;
    setup.network.same_region_delay_ms = LOOPBACK_DELAY_MS;
    setup.network.inter_region_delay_ms = LOOPBACK_DELAY_MS;
    setup.change_log = ChangeLogReach::Polling { interval_ms: PROCESS_POLL_INTERVAL_MS };
    setup.change_log_delay_ms = (0.0, 0.0);
    setup.commit_ms = PROCESS_COMMIT_MS;
    setup
}

/// Returns the setup of a mesh at the default latency and with the default back-off. Only its founding counts, so the seconds after it are few.
fn default_latency(routers: usize, seed: u64) -> Setup {
    let mut setup = Setup::mesh(routers, seed);
    (setup.measured_s, setup.drain_s) = (1.0, 1.0);
    setup.warm_up_s = FOUNDING_LIMIT_S - setup.measured_s - setup.drain_s;
    setup
}
