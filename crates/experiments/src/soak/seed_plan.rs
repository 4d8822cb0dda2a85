//! The plan of a seed: settings, groups of faults that overlap in time, and faults of caches and parents in the emulator's script.

use super::Size;
use basaltgw_emulator::faults::Fault;
use basaltgw_emulator::{PlannedFault, SoakFault, SoakLimits};
use basaltgw_simulator::sim::Setup;
use basaltgw_simulator::spec::{FleetSpec, LoadSpec, ScriptAction, ScriptEvent};
use basaltgw_simulator::{draw as draw_unit, rng, Rng};

/// Number of the random stream that plans are drawn from.
const PLAN_STREAM: u64 = 4_021;
/// Time without faults at the start, in which routers connect to their caches.
const QUIET_START_MS: f64 = 1_500.0;
/// Time at the end in which no fault begins.
const QUIET_END_MS: f64 = 3_000.0;
/// Time within which the faults of a group begin.
const GROUP_MS: f64 = 600.0;
/// Probability that a fault hits the router of its group, in place of any router.
const SAME_ROUTER_SHARE: f64 = 0.7;
/// Probability that a node fault hits an edge cache; the others hit a parent.
const EDGE_SHARE: f64 = 0.75;
/// Maximum latency objective of a class, as a share of its deadline.
const MAX_OBJECTIVE_SHARE: f64 = 0.6;
/// Number of equally probable cases of [`draw_fault`], of which the more frequent faults have several.
const FAULT_CASES: usize = 26;
/// Number of kinds of node faults in [`draw_script`].
const NODE_FAULT_KINDS: usize = 7;
/// How many times as long a slow node takes to send.
const SLOW_FACTOR: f64 = 4.0;
/// Share of its responses that a node with [`ScriptAction::LoseAnswers`] loses.
const LOST_RESPONSE_SHARE: f64 = 0.3;
/// Share of all groups that a mass purge purges.
const MASS_PURGE_SHARE: f64 = 0.3;
const HOUR_MS: i64 = 3_600_000;

/// What a run of one seed does.
pub struct SeedPlan {
    /// The fleet, its load and the script of node faults.
    pub setup: Setup,
    /// The faults of router processes, of the change log, and of clients and caches at a router.
    pub faults: Vec<PlannedFault>,
    /// Limits in the routers' settings.
    pub limits: SoakLimits,
}

/// Draws a number from this range.
fn uniform(rng: &mut Rng, min: f64, max: f64) -> f64 {
    min + (max - min) * draw_unit(rng)
}

/// Draws an index below `count`.
fn index(rng: &mut Rng, count: usize) -> usize {
    ((draw_unit(rng) * count as f64) as usize).min(count.saturating_sub(1))
}

/// Draws one of the values.
fn choose<T: Copy>(rng: &mut Rng, values: &[T]) -> T {
    values[index(rng, values.len())]
}

impl SeedPlan {
    /// Draws the plan of a seed.
    pub fn draw(fleet: &FleetSpec, load: &LoadSpec, size: Size, seed: u64) -> Self {
        let mut rng = rng(seed, PLAN_STREAM);
        let mut fleet = fleet.clone();
        (fleet.zones, fleet.routers_per_zone) = (size.zones, size.routers_per_zone);
        fleet.rules.cold_edge.share = choose(&mut rng, &[0.25, 0.15]);
        let mut load = load.clone();
        for class in &mut load.classes {
            let factor = choose(&mut rng, &[1.0, 0.5, 0.25]);
            class.deadline_ms = (class.deadline_ms * factor).round();
            class.aim_ms = class.aim_ms.min(class.deadline_ms * MAX_OBJECTIVE_SHARE).round();
        }
        let limits = SoakLimits {
            connect_timeout_ms: choose(&mut rng, &[400.0, 1_000.0, 150.0]),
            max_streams: choose(&mut rng, &[100, 4, 1]),
            max_attempts: choose(&mut rng, &[8, 3, 2]),
            memory_mb: choose(&mut rng, &[32, 192]),
        };
        let faults = draw_faults(&mut rng, size);
        let script = draw_script(&mut rng, &fleet, size);
        let slow_start = basaltgw_hierarchy::SlowStart {
            initial_share: fleet.rules.cold_parent.share,
            ramp_duration: fleet.rules.cold_parent.span_ms,
        };
        let setup = Setup {
            fleet,
            load,
            script,
            plans: Vec::new(),
            tree: basaltgw_hierarchy::Settings { slow_start, ..Default::default() },
            length_ms: size.length_ms,
            staged: true,
            loop_detection: true,
            seed,
        };
        Self { setup, faults, limits }
    }
}

/// Draws groups of two or three faults, most of a group at one router.
fn draw_faults(rng: &mut Rng, size: Size) -> Vec<PlannedFault> {
    let routers = size.zones * size.routers_per_zone;
    let span = size.length_ms - QUIET_START_MS - QUIET_END_MS;
    let mut faults = Vec::new();
    for group in 0..size.groups {
        let start = QUIET_START_MS + span * group as f64 / size.groups as f64;
        let group_router = index(rng, routers);
        for _ in 0..2 + index(rng, 2) {
            let same = draw_unit(rng) < SAME_ROUTER_SHARE;
            let router = if same { group_router } else { index(rng, routers) };
            let at_ms = start + uniform(rng, 0.0, GROUP_MS);
            let (fault, for_ms) = draw_fault(rng);
            faults.push(PlannedFault { at_ms, for_ms, router, fault });
        }
    }
    faults
}

/// Draws a fault and its duration in milliseconds.
fn draw_fault(rng: &mut Rng) -> (SoakFault, f64) {
    let step = uniform(rng, 1_000.0, 30_000.0) as i64;
    let steps = [HOUR_MS, -HOUR_MS, step, -step];
    let calls = [Fault::Accept, Fault::Short, Fault::Interrupted, Fault::Broken];
    match index(rng, FAULT_CASES) {
        0 | 1 => (SoakFault::Terminate, 0.0),
        2 => (SoakFault::Kill, 0.0),
        3 | 4 => (SoakFault::Stop, uniform(rng, 100.0, 2_000.0)),
        5 | 6 => (SoakFault::Reload(1 + index(rng, 4) as u32), 0.0),
        7 | 8 => (SoakFault::WallStep(choose(rng, &steps)), 0.0),
        9..=11 => {
            let fault = choose(rng, &calls);
            let one_in = match fault {
                Fault::Broken => 60,
                Fault::Accept => 2,
                _ => choose(rng, &[2, 3, 8]),
            };
            (SoakFault::Calls(fault, one_in), uniform(rng, 500.0, 2_500.0))
        }
        12 => (SoakFault::LogSilent, uniform(rng, 500.0, 5_000.0)),
        13 => (SoakFault::LogDown, uniform(rng, 500.0, 5_000.0)),
        14 => (SoakFault::LogUnread, uniform(rng, 500.0, 3_000.0)),
        15 => (SoakFault::ClientsLeave, 0.0),
        16 => (SoakFault::ClientsCancel, 0.0),
        17 => (SoakFault::ClientFlood(10 + index(rng, 50) as u32), 0.0),
        18 => (SoakFault::Pipeline(20 + index(rng, 60) as u32), 0.0),
        19 => (SoakFault::CacheReset, 0.0),
        20 => (SoakFault::CacheMute, uniform(rng, 200.0, 1_500.0)),
        21 | 22 => (SoakFault::TerminateInUse, 0.0),
        23 => (SoakFault::Signals(2 + index(rng, 9) as u32), 0.0),
        24 => (SoakFault::Crowd(60 + index(rng, 140) as u32), 0.0),
        _ => (choose(rng, &[SoakFault::CacheTwice, SoakFault::CacheHalf]), uniform(rng, 300.0, 1_500.0)),
    }
}

/// Draws the script of node faults.
fn draw_script(rng: &mut Rng, fleet: &FleetSpec, size: Size) -> Vec<ScriptEvent> {
    let span = size.length_ms - QUIET_START_MS - QUIET_END_MS;
    (0..size.node_faults)
        .map(|_| {
            let edge = format!("edge-{}-{}", 1 + index(rng, fleet.zones), index(rng, fleet.edges_per_zone));
            let hits_edge = draw_unit(rng) < EDGE_SHARE;
            let node = if hits_edge { edge } else { format!("district-{}", index(rng, fleet.districts)) };
            let (what, for_ms, factor) = match index(rng, NODE_FAULT_KINDS) {
                0 => (ScriptAction::Crash, uniform(rng, 900.0, 2_000.0), 0.0),
                1 => (ScriptAction::Hang, uniform(rng, 300.0, 2_000.0), 0.0),
                2 => (ScriptAction::Vanish, uniform(rng, 900.0, 2_500.0), 0.0),
                3 => (ScriptAction::Slow, uniform(rng, 500.0, 3_000.0), SLOW_FACTOR),
                4 => (ScriptAction::LoseAnswers, uniform(rng, 500.0, 2_000.0), LOST_RESPONSE_SHARE),
                5 => (ScriptAction::Drain, 0.0, 0.0),
                _ => (ScriptAction::MassPurge, 0.0, MASS_PURGE_SHARE),
            };
            // A mass purge applies to the whole fleet and not to a node.
            let node = (what != ScriptAction::MassPurge).then_some(node);
            let at_ms = QUIET_START_MS + span * draw_unit(rng);
            ScriptEvent { at_ms, what, node, for_ms, factor, to: None, plan: None }
        })
        .collect()
}

#[cfg(test)]
mod tests;
