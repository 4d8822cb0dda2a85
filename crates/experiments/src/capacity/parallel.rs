//! Simulated runs in parallel, one per thread. Their figures in simulated time and of memory equal those of runs one after the other. Only
//! processor times grow, where threads share the caches and execution units of a core, so the table has the load of the machine as well.

use super::row::{Kind, Row};
use basaltgw_fleet_simulation::run::{run, Figures, Setup};
use rayon::iter::{ParallelBridge, ParallelIterator};
use std::cmp::Reverse;

/// Estimates the work of a run from its routers, seconds and purges.
fn estimated_work(setup: &Setup) -> u64 {
    let seconds = setup.warm_up_s + setup.measured_s + setup.drain_s;
    (setup.shape.routers as f64 * (seconds + setup.measured_s * setup.purges_per_s)) as u64
}

/// Runs all setups, those with the most work first; the figures are in the order of the setups.
pub fn run_all(setups: &[Setup]) -> Result<Vec<Figures>, String> {
    let mut order: Vec<usize> = (0..setups.len()).collect();
    order.sort_by_key(|index| Reverse(estimated_work(&setups[*index])));
    let run_one = |index: usize| Ok((index, run(&setups[index])?));
    let mut completed = order.into_iter().par_bridge().map(run_one).collect::<Result<Vec<_>, String>>()?;
    completed.sort_by_key(|(index, _)| *index);
    Ok(completed.into_iter().map(|(_, figures)| figures).collect())
}

/// Returns the number of threads of the runs, and the load of the machine in the last minute: processor times depend on both.
pub fn load_rows() -> Vec<Row> {
    let threads = rayon::current_num_threads() as f64;
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = text.split_whitespace().next().and_then(|n| n.parse().ok());
    let row = |name, value, unit| Row::new(("machine", 1.0), (name, value, unit), Kind::Measured);
    let load = load.map(|load| row("load_1m", load, "threads"));
    [row("runs_side_by_side", threads, "threads")].into_iter().chain(load).collect()
}
