//! A whole run of the rig: load, faults and purges, then an audit of served checkouts, and the figures of the run.

mod audit;
mod figures;

use super::faults::{schedule, FaultInjector, RandomFaults, ScheduledFault};
use super::load::{Load, LoadGenerator, LoadStatistics};
use super::{check_history, HistoryCounts, Limits, Rig, Spec, Violation};
use audit::{audit_outcomes, AuditCounts};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The difference between the numbers of two objects that are purged one after the other.
const PURGED_OBJECT_STEP: u64 = 7;
/// All routers have to serve within this time after their start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval at which faults and purges that are due are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The name in figures of scheduled faults whose time did not come before the end of the run.
const NOT_REACHED: &str = "not_reached";

/// A run's rig, load, purges and faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The specification of the rig.
    pub spec: Spec,
    /// The requests of clients.
    pub load: Load,
    /// The range of delays of all links between routers, in milliseconds.
    pub link_delay_ms: (f64, f64),
    /// How long requests are sent, in milliseconds.
    pub duration_ms: f64,
    /// Purges per second, each announced to all routers.
    pub purges_per_s: f64,
    /// Faults at fixed times.
    pub scripted_faults: Vec<ScheduledFault>,
    /// Faults drawn from the seed.
    pub random_faults: Option<RandomFaults>,
}

/// The results of a run.
pub struct ScenarioReport {
    /// What clients observed while requests were sent.
    pub counts: HistoryCounts,
    /// Violated rules, including those that the audit found.
    pub violations: Vec<Violation>,
    /// All figures by name.
    pub figures: BTreeMap<String, f64>,
    /// For each second: checkouts that were first presented in it, and how many of these were served in the end.
    pub seconds: Vec<(f64, f64)>,
    /// Descriptions of what did not recover from a fault in time.
    pub unrecovered: Vec<String>,
}

/// The results of the phase in which requests are sent.
struct LoadPhase {
    load: LoadStatistics,
    /// The number of injected faults by name, and under [`NOT_REACHED`] the number of others.
    faults: BTreeMap<&'static str, u64>,
    unrecovered: Vec<String>,
    counters_before_kill: Vec<BTreeMap<String, f64>>,
}

/// Runs a scenario.
///
/// # Errors
/// If the routers do not start.
pub fn run_scenario(scenario: &Scenario) -> Result<ScenarioReport, String> {
    let mut rig = Rig::start(scenario.spec.clone())?;
    wait_until_all_serving(&rig)?;
    rig.wait_until_bootstrapped(START_TIMEOUT)?;
    rig.set_default_delay(scenario.link_delay_ms);
    let start_ms = rig.history.now_ms();
    let phase = run_load_and_faults(&mut rig, scenario, start_ms);
    let (mut violations, counts) = check(&rig);
    let mut audit = AuditCounts::default();
    // Without a fleet routers guarantee nothing across routers, so an audit would only execute checkouts again.
    if scenario.spec.fleet {
        audit = audit_outcomes(&rig);
        (violations, _) = check(&rig);
    }
    let mut figures = figures::history_figures(&counts, &violations);
    figures.extend(figures::load_figures(&phase.load));
    figures.extend(figures::link_figures(&rig.router_link_statistics()));
    figures.extend(figures::latency_figures(&rig));
    figures.extend(figures::router_figures(&rig));
    figures.extend(figures::fault_figures(&phase.faults));
    figures.extend(rig.table_figures(&phase.counters_before_kill));
    figures.extend(audit.figures());
    figures.insert("unmended".into(), phase.unrecovered.len() as f64);
    let seconds = figures::served_by_second(&rig, start_ms, scenario.duration_ms);
    Ok(ScenarioReport { counts, violations, figures, seconds, unrecovered: phase.unrecovered })
}

fn wait_until_all_serving(rig: &Rig) -> Result<(), String> {
    for router in 0..rig.len() {
        if !rig.wait_until_serving(router, START_TIMEOUT) {
            let log = rig.routers[router].log_text();
            let last_line = log.lines().last().unwrap_or("its log is empty");
            return Err(format!("router {router} does not serve: {last_line}"));
        }
    }
    Ok(())
}

fn check(rig: &Rig) -> (Vec<Violation>, HistoryCounts) {
    let (events, omitted) = rig.history.events();
    check_history(&events, omitted, &Limits::default())
}

/// Sends requests for the scenario's duration, while faults and purges happen.
fn run_load_and_faults(rig: &mut Rig, scenario: &Scenario, start_ms: u64) -> LoadPhase {
    let random = scenario.random_faults.as_ref();
    let (duration_ms, seed) = (scenario.duration_ms, scenario.spec.seed);
    let faults = schedule(&scenario.scripted_faults, random, rig.len(), duration_ms, seed);
    let generator = LoadGenerator::new(rig, &scenario.load);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let load = scope.spawn(|| generator.run(&stop));
        let mut injector = FaultInjector::new(rig);
        let not_reached = inject_faults(&mut injector, scenario, &faults, start_ms);
        injector.injected.insert(NOT_REACHED, not_reached);
        stop.store(true, Ordering::SeqCst);
        LoadPhase {
            load: load.join().unwrap_or_default(),
            faults: injector.injected,
            unrecovered: injector.unrecovered,
            counters_before_kill: injector.counters_before_kill,
        }
    })
}

/// Injects faults and makes purges when they are due; returns the number of faults that were not due before the end.
fn inject_faults(
    injector: &mut FaultInjector<'_>,
    scenario: &Scenario,
    faults: &[ScheduledFault],
    start_ms: u64,
) -> u64 {
    let mut faults = faults.iter().peekable();
    let mut purges = 0.0;
    loop {
        let now_ms = (injector.rig().history.now_ms() - start_ms) as f64;
        if now_ms >= scenario.duration_ms {
            return faults.count() as u64;
        }
        if let Some(fault) = faults.next_if(|fault| fault.at_ms <= now_ms) {
            injector.inject(fault);
            continue;
        }
        if scenario.purges_per_s > 0.0 && purges * 1000.0 / scenario.purges_per_s <= now_ms {
            purges += 1.0;
            let object = 1 + (purges as u64 * PURGED_OBJECT_STEP) % scenario.load.objects.max(1);
            let all_routers: Vec<usize> = (0..injector.rig().len()).collect();
            injector.rig().purge(object, &all_routers);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
