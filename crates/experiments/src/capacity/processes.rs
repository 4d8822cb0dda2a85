//! Figures of router processes, to compare with those of simulated routers: `serve` processes on loopback, as `basaltgw_emulator::rig::fleet_cost`
//! runs them.

use super::row::{Kind, Row};
use basaltgw_emulator::rig::fleet_cost::{measure_fleet, FleetSetup};
use std::path::Path;

/// Numbers of routers. With more, the processes slow each other down on one machine.
const ROUTERS: [usize; 3] = [3, 10, 30];
/// Purges per second, with the axis of each rate.
const RATES: [(f64, &str); 3] = [
    (0.0, "real routers at rest"),
    (10.0, "real routers at 10 purges a second"),
    (100.0, "real routers at 100 purges a second"),
];

/// A figure of router processes that becomes a row.
struct ProcessFigure {
    /// The name of the figure in the measurement.
    source: &'static str,
    /// The name of the figure in the table.
    name: &'static str,
    /// The unit of the figure.
    unit: &'static str,
}

/// A figure: its name in the measurement, its name in the table, its unit.
const fn figure(source: &'static str, name: &'static str, unit: &'static str) -> ProcessFigure {
    ProcessFigure { source, name, unit }
}

/// Figures of a window of the measurement. Rates are for each router and second.
const FIGURES: [ProcessFigure; 7] = [
    figure("peers_up", "real_peers_up", "links"),
    figure("links_bytes_out_per_s", "real_bytes_out", "bytes/s"),
    figure("commits_per_s", "real_commits", "commits/s"),
    figure("cpu_percent", "real_cpu", "percent"),
    figure("memory_mb", "real_memory", "mb"),
    figure("heeded_ms_median", "real_heeded_median", "ms"),
    figure("heeded_by_all_ms_median", "real_heeded_by_all_median", "ms"),
];

/// Returns the rows of all sizes and rates. Figures that the kernel does not report are left out.
///
/// # Errors
/// If a router does not start, or the kernel's figures cannot be read. All started processes have ended by then.
pub fn rows(program: &Path, seed: u64) -> Result<Vec<Row>, String> {
    let mut rows = Vec::new();
    for routers in ROUTERS {
        let purge_rates = RATES.iter().map(|rate| rate.0).collect();
        let setup = FleetSetup { purge_rates, seed, ..FleetSetup::new(program, routers) };
        let measurements = measure_fleet(&setup).map_err(|e| format!("{routers} routers: {e}"))?;
        for ((_, axis), measurement) in RATES.into_iter().zip(measurements) {
            let row = |ProcessFigure { source, name, unit }: &ProcessFigure| {
                let value = measurement.get(*source).copied()?;
                Some(Row::new((axis, routers as f64), (*name, value, *unit), Kind::Measured))
            };
            rows.extend(FIGURES.iter().filter_map(row));
        }
    }
    Ok(rows)
}
