//! Runs of hollow routers side by side, a thread each: in simulated time they are the same to the last byte as one after the other. Only
//! processor times grow where threads share a core's caches and units, which is why the load is told with them.

use super::row::{Kind, Row};
use basaltgw_fleet_simulation::run::{run, Figures, Setup};
use rayon::iter::{ParallelBridge, ParallelIterator};
use std::cmp::Reverse;

/// How much there is to do, roughly: routers, seconds, words.
fn work(setup: &Setup) -> u64 {
    let seconds = setup.warm_up_s + setup.measured_s + setup.drain_s;
    (setup.shape.routers as f64 * (seconds + setup.measured_s * setup.purges_per_s)) as u64
}

/// All of them, the longest first; their figures are in the order of the setups.
pub fn all(setups: &[Setup]) -> Result<Vec<Figures>, String> {
    let mut order: Vec<usize> = (0..setups.len()).collect();
    order.sort_by_key(|at| Reverse(work(&setups[*at])));
    let one = |at: usize| Ok((at, run(&setups[at])?));
    let mut done = order.into_iter().par_bridge().map(one).collect::<Result<Vec<_>, String>>()?;
    done.sort_by_key(|(at, _)| *at);
    Ok(done.into_iter().map(|(_, figures)| figures).collect())
}

/// On how many threads runs went, and how many wanted a core in the last minute: what processor times have to be read with.
pub fn load() -> Vec<Row> {
    let threads = rayon::current_num_threads() as f64;
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = text.split_whitespace().next().and_then(|n| n.parse().ok());
    let row = |name, value, unit| Row::new(("machine", 1.0), (name, value, unit), Kind::Measured);
    let told = load.map(|load| row("load_1m", load, "threads"));
    [row("runs_side_by_side", threads, "threads")].into_iter().chain(told).collect()
}
