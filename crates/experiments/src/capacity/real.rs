//! Figures of real routers, to hold those of hollow ones against: `serve` processes on loopback, as `basaltgw_emulator::rig::fleet_cost` runs them.

use super::row::{Kind, Row};
use basaltgw_emulator::rig::fleet_cost::{measure_fleet, FleetSetup};
use std::path::Path;

/// Routers. More are processes enough to be in each other's way on one machine.
const ROUTERS: [usize; 3] = [3, 10, 30];
/// Rates of purges a second and the axes of routers on which they are.
const RATES: [(f64, &str); 3] = [
    (0.0, "real routers at rest"),
    (10.0, "real routers at 10 purges a second"),
    (100.0, "real routers at 100 purges a second"),
];

/// Figures of a router and second that become points: the name there, the name here, the unit.
const FIGURES: [(&str, &str, &str); 7] = [
    ("peers_up", "real_peers_up", "links"),
    ("links_bytes_out_per_s", "real_bytes_out", "bytes/s"),
    ("commits_per_s", "real_commits", "commits/s"),
    ("cpu_percent", "real_cpu", "percent"),
    ("memory_mb", "real_memory", "mb"),
    ("heeded_ms_median", "real_heeded_median", "ms"),
    ("heeded_by_all_ms_median", "real_heeded_by_all_median", "ms"),
];

/// Its points. What the kernel does not tell is left out.
///
/// # Errors
/// If a router does not come up, or the kernel's figures can't be read; all that was started is ended by then.
pub fn rows(binary: &Path, seed: u64) -> Result<Vec<Row>, String> {
    let mut rows = Vec::new();
    for routers in ROUTERS {
        let rates = RATES.iter().map(|r| r.0).collect();
        let many = FleetSetup { purge_rates: rates, seed, ..FleetSetup::new(binary, routers) };
        let measured = measure_fleet(&many).map_err(|e| format!("{routers} routers: {e}"))?;
        for ((_, axis), row) in RATES.into_iter().zip(measured) {
            let one = |(theirs, ours, unit): (&str, &'static str, &'static str)| {
                let value = row.get(theirs).copied()?;
                Some(Row::new((axis, routers as f64), (ours, value, unit), Kind::Measured))
            };
            rows.extend(FIGURES.into_iter().filter_map(one));
        }
    }
    Ok(rows)
}
