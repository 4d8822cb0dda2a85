//! A whole run: founds a fleet, makes purges and faults, checks the delivery, and computes the figures.

use crate::checker::Findings;
use crate::control_plane::{ControlPlane, StartControlPlane};
use crate::count::{AllocationMeter, Counts, Meter, Second};
use crate::fault::{Fault, FaultCounts};
use crate::fleet::{Fleet, Shape};
use crate::links::Network;
use crate::mesh::{Mesh, MeshSettings};
use crate::sparse::{router_list, Sparse, SparseSettings};
use crate::world::{ChangeLogReach, World, WorldSettings};
use crate::{micros, Micros, CONVERGENCE_MS};
use basaltgw_config::fleet::FleetLimits;
use basaltgw_transport::Limits;
use std::collections::{BTreeMap, BTreeSet};

/// Delay of an event between two threads of a process, ms.
const THREAD_HOP_MS: f64 = 0.05;
/// Processes start at random times within this time, ms.
const START_WITHIN_MS: f64 = 1_000.0;

/// What runs at each router.
#[derive(Clone, Debug)]
pub enum Kind {
    /// The control plane with links to all listed routers.
    Mesh(MeshSettings),
    /// The overlay, with links to a few routers.
    Sparse(SparseSettings),
}

impl Kind {
    /// Bounds of links.
    fn limits(&self) -> &FleetLimits {
        match self {
            Self::Mesh(mesh) => &mesh.limits,
            Self::Sparse(sparse) => &sparse.limits,
        }
    }
}

/// The setup of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The size of the fleet.
    pub shape: Shape,
    /// Seed of all randomness.
    pub seed: u64,
    /// Seconds for founding, before the first purge.
    pub warm_up_s: f64,
    /// Seconds that are measured, after the warm-up.
    pub measured_s: f64,
    /// Seconds after the measured ones, in which purges may still reach routers.
    pub drain_s: f64,
    /// Purges a second.
    pub purges_per_s: f64,
    /// Which routers read purges from the change log.
    pub change_log: ChangeLogReach,
    /// Shortest and longest time from a purge until the change log delivers it, ms.
    pub change_log_delay_ms: (f64, f64),
    /// Random faults during the measured seconds.
    pub random_faults: FaultCounts,
    /// Faults at given times.
    pub scripted_faults: Vec<Fault>,
    /// What runs at each router.
    pub kind: Kind,
    /// Delay, loss and bandwidth of the network.
    pub network: Network,
    /// Shortest and longest duration of a commit, ms.
    pub commit_ms: (f64, f64),
    /// Whether processor time is measured; the only figure that differs between two runs.
    pub measure_cpu: bool,
    /// Measures memory, if present.
    pub allocation_meter: Option<AllocationMeter>,
}

impl Setup {
    /// A mesh of this number of routers without purges and faults.
    pub fn mesh(routers: usize, seed: u64) -> Self {
        Self {
            shape: Shape::for_routers(routers),
            seed,
            warm_up_s: 10.0,
            measured_s: 10.0,
            drain_s: 7.0,
            purges_per_s: 0.0,
            change_log: ChangeLogReach::Everyone { missed_share: 0.0 },
            change_log_delay_ms: (5.0, 150.0),
            random_faults: FaultCounts::default(),
            scripted_faults: Vec::new(),
            kind: Kind::Mesh(MeshSettings::default()),
            network: Network::default(),
            commit_ms: (0.3, 3.0),
            measure_cpu: false,
            allocation_meter: None,
        }
    }

    /// An overlay of this number of routers without purges and faults.
    pub fn sparse(routers: usize, seed: u64) -> Self {
        Self { kind: Kind::Sparse(SparseSettings::default()), ..Self::mesh(routers, seed) }
    }
}

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Figures by name, per router and measured second unless the name says otherwise. The prefix `control_` means control machines only.
    pub values: BTreeMap<String, f64>,
    /// Figures by name for each second of the run: the mean over routers (`_mean`), or the largest (`_most`).
    pub series: BTreeMap<String, Vec<f64>>,
}

/// Runs a setup.
///
/// # Errors
/// If the setup is invalid, or a control plane can't be started.
pub fn run(setup: &Setup) -> Result<Figures, String> {
    let start: Box<StartControlPlane> = match &setup.kind {
        Kind::Mesh(mesh) => Box::new(|context, out| {
            let (control_plane, table) = Mesh::start(mesh, context, out)?;
            Ok((Box::new(control_plane) as Box<dyn ControlPlane>, table))
        }),
        Kind::Sparse(sparse) => {
            let list = router_list(&Fleet::new(&setup.shape, setup.seed)?, sparse.shape)?;
            Box::new(move |context, out| {
                let control_plane = Sparse::start(sparse, &list, context, out)?;
                Ok((Box::new(control_plane) as Box<dyn ControlPlane>, None))
            })
        }
    };
    run_with(setup, &start).map(|(figures, _)| figures)
}

/// Runs a setup with other control planes, and also returns what the checker found.
///
/// # Errors
/// If the setup is invalid, or a control plane can't be started.
pub fn run_with(setup: &Setup, start: &StartControlPlane) -> Result<(Figures, Findings), String> {
    let fleet = Fleet::new(&setup.shape, setup.seed)?;
    let limits = setup.kind.limits();
    let (begin_ms, measured_ms) = (setup.warm_up_s * 1_000.0, setup.measured_s * 1_000.0);
    let settings = WorldSettings {
        network: setup.network.clone(),
        limits: Limits {
            max_queued_frames: limits.max_queued_frames,
            max_queued_bytes: limits.max_queued_bytes,
            max_frame_bytes: limits.max_frame_bytes,
            ring_entries: limits.ring_entries,
        },
        commit_ms: setup.commit_ms,
        thread_hop_ms: THREAD_HOP_MS,
        start_within_ms: START_WITHIN_MS,
        change_log: setup.change_log,
        change_log_delay_ms: setup.change_log_delay_ms,
        purges: (setup.purges_per_s, (begin_ms, begin_ms + measured_ms)),
        convergence_ms: CONVERGENCE_MS,
    };
    let measured = (micros(begin_ms), micros(begin_ms + measured_ms));
    let mut faults = setup.random_faults.draw(&fleet, setup.seed, measured);
    faults.extend(setup.scripted_faults.iter().cloned());
    let meter = Meter { allocation: setup.allocation_meter, cpu: setup.measure_cpu };
    let mut world = World::new(&fleet, &settings, start, faults, meter, setup.seed);
    let end = micros(begin_ms + measured_ms + setup.drain_s * 1_000.0);
    world.run(end)?;
    let findings = world.checker.findings(end);
    Ok((figures(setup, &world, &findings), findings))
}

/// The percentile of sorted values; 0 if there are none.
fn percentile(sorted: &[f64], percent: f64) -> f64 {
    let rank = (sorted.len() as f64 * percent / 100.0).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// A figure of each router and second: its name in the figures, and how it is computed.
type Column = (&'static str, fn(&Second) -> f64);

/// The figures of [`Second`] that a run reports.
const COLUMNS: [Column; 9] = [
    ("frames_out", |s| f64::from(s.frames_out)),
    ("frames_in", |s| f64::from(s.frames_in)),
    ("payload_out", |s| s.payload_out as f64),
    ("wire_bytes", |s| s.wire() as f64),
    ("alive_out", |s| f64::from(s.keepalives_out)),
    ("commits", |s| f64::from(s.commits)),
    ("events", |s| f64::from(s.events)),
    ("cpu_ms", |s| s.cpu_ns as f64 / 1e6),
    ("wire_out", |s| s.wire_out as f64),
];

/// Computes the figures of a finished run.
fn figures(setup: &Setup, world: &World, findings: &Findings) -> Figures {
    let counts: &Counts = &world.links.counts;
    let mut values = BTreeMap::new();
    let mut series = BTreeMap::new();
    let routers = counts.seconds.len();
    let (begin, end) = (setup.warm_up_s as usize, (setup.warm_up_s + setup.measured_s) as usize);
    let empty = Second::default();
    let total_s = (setup.warm_up_s + setup.measured_s + setup.drain_s) as usize;
    let everyone: Vec<usize> = (0..routers).collect();
    let controls: Vec<usize> = world.control_machines().collect();
    for (prefix, group) in [("", &everyone), ("control_", &controls)] {
        for (name, value) in COLUMNS {
            let value_at =
                |router: usize, second: usize| value(counts.seconds[router].get(second).unwrap_or(&empty));
            let mean = |second| {
                group.iter().map(|router| value_at(*router, second)).sum::<f64>() / group.len().max(1) as f64
            };
            let most = |second| group.iter().map(|router| value_at(*router, second)).fold(0.0, f64::max);
            let (means, mosts): (Vec<f64>, Vec<f64>) = (0..total_s).map(|s| (mean(s), most(s))).unzip();
            let within = |all: &[f64]| all.get(begin..end).unwrap_or_default().to_vec();
            let (inner, peaks) = (within(&means), within(&mosts));
            let founding = mosts.iter().take(begin).copied().fold(0.0, f64::max);
            let mut all: Vec<f64> =
                group.iter().flat_map(|router| (begin..end).map(|s| value_at(*router, s))).collect();
            all.sort_by(f64::total_cmp);
            let total = |router: &usize| (begin..end).map(|s| value_at(*router, s)).sum::<f64>();
            let busiest = group.iter().map(total).fold(0.0, f64::max) / (end - begin).max(1) as f64;
            let name = format!("{prefix}{name}");
            values.insert(format!("{name}_mean"), inner.iter().sum::<f64>() / inner.len().max(1) as f64);
            values.insert(format!("{name}_p99"), percentile(&all, 99.0));
            values.insert(format!("{name}_busiest_mean"), busiest);
            values.insert(format!("{name}_worst_second"), peaks.into_iter().fold(0.0, f64::max));
            values.insert(format!("{name}_worst_founding"), founding);
            series.insert(format!("{name}_mean"), means);
            series.insert(format!("{name}_most"), mosts);
        }
        values.extend(links_and_state(world, prefix, group));
    }
    let mut put = |name: &str, value: f64| _ = values.insert(name.to_string(), value);
    let tables: Vec<Micros> = world.first_tables().flatten().collect();
    put("routers", routers as f64);
    put("founded", tables.len() as f64);
    put("founded_last_ms", tables.iter().max().map_or(-1.0, |at| crate::ms(*at)));
    let states = counts.state_bytes.iter().map(|(current, _)| *current as f64);
    put("state_bytes_mean", states.sum::<f64>() / routers as f64);
    put("connections_most", counts.max_open_connections.iter().copied().max().unwrap_or(0) as f64);
    put("links_least", (0..routers).map(|router| world.links.link_count(router)).min().unwrap_or(0) as f64);
    put("waiting_most", counts.max_inbox.iter().copied().max().unwrap_or(0) as f64);
    for (name, count) in counts.links.all() {
        put(&format!("links_{name}"), count as f64);
    }
    put("events_in_all", world.events() as f64);
    for (name, value) in delivery(findings) {
        put(name, value);
    }
    for (name, count) in world.control_plane_counters().flatten() {
        *values.entry(format!("party_{name}_sum")).or_insert(0.0) += count as f64;
    }
    Figures { values, series }
}

/// The figures of the delivery of purges and configuration changes.
fn delivery(findings: &Findings) -> [(&'static str, f64); 18] {
    let distinct = |all: BTreeSet<usize>| all.len() as f64;
    [
        ("changes", findings.config_changes.made as f64),
        ("changes_lost", findings.config_changes.lost() as f64),
        ("changes_everywhere_median_ms", percentile(&findings.config_changes.completion_ms, 50.0)),
        ("changes_everywhere_last_ms", percentile(&findings.config_changes.completion_ms, 100.0)),
        ("words", findings.purges as f64),
        ("lost", findings.lost.len() as f64),
        ("lost_words", distinct(findings.lost.iter().map(|(purge, _)| *purge).collect())),
        ("lost_routers", distinct(findings.lost.iter().map(|(_, router)| *router).collect())),
        ("settled", findings.converged as f64),
        ("twice", findings.duplicates as f64),
        ("twice_old", findings.duplicates_after_convergence as f64),
        ("late", findings.late as f64),
        ("late_settled", findings.late_after_convergence as f64),
        ("unknown", findings.unknown as f64),
        ("everywhere", findings.completion_ms.len() as f64),
        ("everywhere_median_ms", percentile(&findings.completion_ms, 50.0)),
        ("everywhere_p99_ms", percentile(&findings.completion_ms, 99.0)),
        ("everywhere_last_ms", percentile(&findings.completion_ms, 100.0)),
    ]
}

/// The figures of the links and the state of a group of routers.
fn links_and_state(world: &World, prefix: &str, group: &[usize]) -> [(String, f64); 3] {
    let links: Vec<f64> = group.iter().map(|router| world.links.link_count(*router) as f64).collect();
    let state_bytes = &world.links.counts.state_bytes;
    let max_state = group.iter().map(|router| state_bytes[*router].1 as f64).fold(0.0, f64::max);
    [
        (format!("{prefix}links_mean"), links.iter().sum::<f64>() / links.len().max(1) as f64),
        (format!("{prefix}links_most"), links.into_iter().fold(0.0, f64::max)),
        (format!("{prefix}state_bytes_most"), max_state),
    ]
}
