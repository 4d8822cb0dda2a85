//! What a seed stands for: settings, faults in groups that overlap in time, and faults of nodes by the model's script.

use super::Size;
use basaltgw_emulator::faults::Fault;
use basaltgw_emulator::{PlannedFault, SoakFault, SoakLimits};
use basaltgw_simulator::sim::Setup;
use basaltgw_simulator::spec::{FleetSpec, LoadSpec, ScriptAction, ScriptEvent};
use basaltgw_simulator::{draw as unit, rng, Rng};

/// The stream of random numbers that faults are drawn from.
const STREAM: u64 = 4_021;
/// Nothing goes wrong before this, so that routers have met their caches.
const QUIET_START_MS: f64 = 1_500.0;
/// And nothing new in the last part.
const QUIET_END_MS: f64 = 3_000.0;
/// The faults of a group begin within this time.
const GROUP_MS: f64 = 600.0;
const HOUR_MS: i64 = 3_600_000;

/// What is played.
pub struct Drawn {
    /// Fleet, load, script.
    pub setup: Setup,
    /// Faults.
    pub plan: Vec<PlannedFault>,
    /// Limits of the routers' settings.
    pub limits: SoakLimits,
}

fn between(rng: &mut Rng, least: f64, most: f64) -> f64 {
    least + (most - least) * unit(rng)
}

fn index(rng: &mut Rng, count: usize) -> usize {
    ((unit(rng) * count as f64) as usize).min(count.saturating_sub(1))
}

fn pick<T: Copy>(rng: &mut Rng, of: &[T]) -> T {
    of[index(rng, of.len())]
}

/// Draws what a seed stands for.
pub fn draw(fleet: &FleetSpec, load: &LoadSpec, size: Size, seed: u64) -> Drawn {
    let mut rng = rng(seed, STREAM);
    let mut fleet = fleet.clone();
    (fleet.zones, fleet.routers_per_zone) = (size.zones, size.routers_per_zone);
    fleet.rules.cold_edge.share = pick(&mut rng, &[0.25, 0.15]);
    let mut load = load.clone();
    for class in &mut load.classes {
        let stretch = pick(&mut rng, &[1.0, 0.5, 0.25]);
        class.deadline_ms = (class.deadline_ms * stretch).round();
        class.aim_ms = class.aim_ms.min(class.deadline_ms * 0.6).round();
    }
    let limits = SoakLimits {
        connect_timeout_ms: pick(&mut rng, &[400.0, 1_000.0, 150.0]),
        max_streams: pick(&mut rng, &[100, 4, 1]),
        max_attempts: pick(&mut rng, &[8, 3, 2]),
    };
    let plan = plan(&mut rng, size);
    let script = script(&mut rng, &fleet, size);
    let cold = basaltgw_hierarchy::SlowStart {
        initial_share: fleet.rules.cold_parent.share,
        ramp_duration: fleet.rules.cold_parent.span_ms,
    };
    let setup = Setup {
        fleet,
        load,
        script,
        plans: Vec::new(),
        tree: basaltgw_hierarchy::Settings { slow_start: cold, ..Default::default() },
        length_ms: size.length_ms,
        staged: true,
        loop_detection: true,
        seed,
    };
    Drawn { setup, plan, limits }
}

/// Faults in groups of two or three, most of a group at one router.
fn plan(rng: &mut Rng, size: Size) -> Vec<PlannedFault> {
    let routers = size.zones * size.routers_per_zone;
    let span = size.length_ms - QUIET_START_MS - QUIET_END_MS;
    let mut plan = Vec::new();
    for group in 0..size.groups {
        let begins = QUIET_START_MS + span * group as f64 / size.groups as f64;
        let router = index(rng, routers);
        for _ in 0..2 + index(rng, 2) {
            let same = unit(rng) < 0.7;
            let router = if same { router } else { index(rng, routers) };
            let at_ms = begins + between(rng, 0.0, GROUP_MS);
            let (fault, for_ms) = fault(rng);
            plan.push(PlannedFault { at_ms, for_ms, router, fault });
        }
    }
    plan
}

fn fault(rng: &mut Rng) -> (SoakFault, f64) {
    let step = between(rng, 1_000.0, 30_000.0) as i64;
    let steps = [HOUR_MS, -HOUR_MS, step, -step];
    let calls = [Fault::Accept, Fault::Short, Fault::Interrupted, Fault::Broken];
    match index(rng, 22) {
        0 | 1 => (SoakFault::Terminate, 0.0),
        2 => (SoakFault::Kill, 0.0),
        3 | 4 => (SoakFault::Stop, between(rng, 100.0, 2_000.0)),
        5 | 6 => (SoakFault::Reload(1 + index(rng, 4) as u32), 0.0),
        7 | 8 => (SoakFault::WallStep(pick(rng, &steps)), 0.0),
        9..=11 => {
            let fault = pick(rng, &calls);
            let one_in = match fault {
                Fault::Broken => 60,
                Fault::Accept => 2,
                _ => pick(rng, &[2, 3, 8]),
            };
            (SoakFault::Calls(fault, one_in), between(rng, 500.0, 2_500.0))
        }
        12 => (SoakFault::LogSilent, between(rng, 500.0, 5_000.0)),
        13 => (SoakFault::LogDown, between(rng, 500.0, 5_000.0)),
        14 => (SoakFault::LogUnread, between(rng, 500.0, 3_000.0)),
        15 => (SoakFault::ClientsLeave, 0.0),
        16 => (SoakFault::ClientsCancel, 0.0),
        17 => (SoakFault::ClientFlood(10 + index(rng, 50) as u32), 0.0),
        18 => (SoakFault::Pipeline(20 + index(rng, 60) as u32), 0.0),
        19 => (SoakFault::CacheReset, 0.0),
        20 => (SoakFault::CacheMute, between(rng, 200.0, 1_500.0)),
        _ => (pick(rng, &[SoakFault::CacheTwice, SoakFault::CacheHalf]), between(rng, 300.0, 1_500.0)),
    }
}

/// What the model's script does to nodes.
fn script(rng: &mut Rng, fleet: &FleetSpec, size: Size) -> Vec<ScriptEvent> {
    let span = size.length_ms - QUIET_START_MS - QUIET_END_MS;
    (0..size.moments)
        .map(|_| {
            let edge = format!("edge-{}-{}", 1 + index(rng, fleet.zones), index(rng, fleet.edges_per_zone));
            let node =
                if unit(rng) < 0.75 { edge } else { format!("district-{}", index(rng, fleet.districts)) };
            let what = pick(rng, &[0, 1, 2, 3, 4, 5, 6]);
            let (what, for_ms, factor) = match what {
                0 => (ScriptAction::Crash, between(rng, 900.0, 2_000.0), 0.0),
                1 => (ScriptAction::Hang, between(rng, 300.0, 2_000.0), 0.0),
                2 => (ScriptAction::Vanish, between(rng, 900.0, 2_500.0), 0.0),
                3 => (ScriptAction::Slow, between(rng, 500.0, 3_000.0), 4.0),
                4 => (ScriptAction::LoseAnswers, between(rng, 500.0, 2_000.0), 0.3),
                5 => (ScriptAction::Drain, 0.0, 0.0),
                _ => (ScriptAction::MassPurge, 0.0, 0.3),
            };
            let node = (what != ScriptAction::MassPurge).then_some(node);
            let at_ms = QUIET_START_MS + span * unit(rng);
            ScriptEvent { at_ms, what, node, for_ms, factor, to: None, plan: None }
        })
        .collect()
}

#[cfg(test)]
mod tests;
