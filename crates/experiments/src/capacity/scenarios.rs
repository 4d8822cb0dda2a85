//! Scripted fault scenarios of a fleet with the overlay, each in a run of its own, and a run without faults for comparison.

use super::figures::{figure, simulated, RunFigure};
use super::row::{Kind, Row};
use basaltgw_fleet_simulation::fault::{Fault, FaultKind};
use basaltgw_fleet_simulation::fleet::{FailureDomain, Fleet, Shape};
use basaltgw_fleet_simulation::links::CutDirection;
use basaltgw_fleet_simulation::run::{Figures, Setup};
use basaltgw_fleet_simulation::sparse::{router_list, SparseSettings};
use basaltgw_fleet_simulation::{micros, RouterIndex};
use serde::Deserialize;

/// The axis of scenarios. Its positions are the numbers of unrelated scenarios, so it has no curves.
pub const AXIS: &str = "trouble";

/// A fault scenario. Its number is its position on the axis, so it must not change.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// A relay of a region is lost.
    RelayLost = 1,
    /// A site is lost.
    SiteLost = 2,
    /// A zone is lost.
    ZoneLost = 3,
    /// A region without a control machine is partitioned and reconnected.
    RegionCut = 4,
    /// A region with a control machine is partitioned and reconnected.
    ControlRegionCut = 5,
    /// All control machines restart, one after the other.
    ControlRestarted = 6,
    /// Two control machines are lost.
    TwoControlLost = 7,
    /// All control machines are lost.
    AllControlLost = 8,
    /// A site is partitioned and reconnected.
    SiteCut = 9,
}

/// Time from the first purge to the fault, ms.
const FAULT_DELAY_MS: f64 = 3_000.0;
/// Duration of a partition, ms: twice the time after which a link counts as broken.
const CUT_MS: f64 = 8_000.0;
/// Duration of a permanent loss, ms: longer than any run.
const LOSS_MS: f64 = 600_000.0;
/// Time until a restarted control machine is up again, ms.
const RESTART_MS: f64 = 500.0;
/// Time between the restarts of two control machines, ms.
const RESTART_INTERVAL_MS: f64 = 1_000.0;
/// Measured seconds of a run: a partition, and the same time again for the updates that it delayed.
const MEASURED_S: f64 = 16.0;

/// Zones of each region. A large fleet has about as many: 71 zones in 21 regions.
const ZONES_PER_REGION: usize = 3;
/// Sites of each zone. A large fleet has about as many: 210 sites in 71 zones.
const SITES_PER_ZONE: usize = 3;

/// Figures of a run with a scenario. The delivery times leave out purges that never reached some unreachable router.
const FIGURES: [RunFigure; 8] = [
    simulated("words", "trouble_words", "purges"),
    simulated("everywhere_last_ms", "trouble_everywhere_last", "ms"),
    simulated("lost", "trouble_lost", "purges"),
    simulated("twice", "trouble_twice", "purges"),
    simulated("late", "trouble_late", "purges"),
    simulated("wire_bytes_mean", "trouble_wire", "bytes/s"),
    simulated("wire_bytes_worst_second", "trouble_wire_worst_second", "bytes/s"),
    simulated("control_wire_bytes_worst_second", "trouble_control_wire_worst_second", "bytes/s"),
];

/// Returns the setup of the run without faults, followed by those of the scenarios.
pub fn setups(baseline: &Setup, scenarios: &[Scenario]) -> Result<Vec<Setup>, String> {
    let mut baseline = baseline.clone();
    baseline.measured_s = MEASURED_S;
    spread_control_machines(&mut baseline.shape);
    let mut setups = vec![baseline.clone()];
    for scenario in scenarios {
        setups.push(Setup { scripted_faults: script(*scenario, &baseline)?, ..baseline.clone() });
    }
    Ok(setups)
}

/// Returns the rows of the runs of [`setups`].
///
/// # Errors
/// If a scenario had no effect, since its figures would show nothing.
pub fn rows(scenarios: &[Scenario], setups: &[Setup], runs: &[Figures]) -> Result<Vec<Row>, String> {
    let (Some(baseline), Some(fault_setups)) = (runs.first(), setups.get(1..)) else {
        return Ok(Vec::new());
    };
    let mut rows = scenario_rows(0, 0, baseline, baseline)?;
    for ((scenario, setup), run) in scenarios.iter().zip(fault_setups).zip(&runs[1..]) {
        let affected = setup.scripted_faults.iter().map(|fault| affected_routers(&fault.kind)).sum();
        check_effect(*scenario, affected, run, baseline)?;
        rows.extend(scenario_rows(*scenario as usize, affected, run, baseline)?);
    }
    Ok(rows)
}

/// Sets the numbers of failure domains so that each control machine is in a region of its own, as in a large fleet, and regions and zones are
/// about as large as there.
pub(super) fn spread_control_machines(shape: &mut Shape) {
    shape.regions = shape.control_machines;
    shape.zones = shape.zones.max(ZONES_PER_REGION * shape.regions);
    shape.sites = shape.sites.max(SITES_PER_ZONE * shape.zones);
}

/// Returns the faults of a scenario.
pub(super) fn script(scenario: Scenario, setup: &Setup) -> Result<Vec<Fault>, String> {
    let fleet = Fleet::new(&setup.shape, setup.seed)?;
    let start_ms = setup.warm_up_s * 1_000.0 + FAULT_DELAY_MS;
    let interval_ms = if scenario == Scenario::ControlRestarted { RESTART_INTERVAL_MS } else { 0.0 };
    let fault = |(n, kind)| Fault { at: micros(start_ms + n as f64 * interval_ms), kind };
    Ok(fault_kinds(scenario, &fleet)?.into_iter().enumerate().map(fault).collect())
}

/// Returns the faults of a scenario in their order, without their times.
fn fault_kinds(scenario: Scenario, fleet: &Fleet) -> Result<Vec<FaultKind>, String> {
    let list = router_list(fleet, SparseSettings::default().shape)?;
    let is_control = |index: &RouterIndex| fleet.routers[*index].control;
    let controls: Vec<RouterIndex> = (0..fleet.routers.len()).filter(is_control).collect();
    let site = FailureDomain::Site(domain_without_control(fleet, &controls, |i| fleet.routers[i].site));
    let zone = FailureDomain::Zone(domain_without_control(fleet, &controls, |i| fleet.routers[i].zone));
    let region = FailureDomain::Region(domain_without_control(fleet, &controls, |i| fleet.routers[i].region));
    Ok(match scenario {
        Scenario::RelayLost => {
            let is_relay = |index: &RouterIndex| list.is_relay(&fleet.routers[*index].router);
            let relay = (0..fleet.routers.len()).find(|index| !is_control(index) && is_relay(index));
            lose(relay)
        }
        Scenario::SiteLost => lose(fleet.routers_in(site)),
        Scenario::ZoneLost => lose(fleet.routers_in(zone)),
        Scenario::SiteCut => cut(fleet.routers_in(site)),
        Scenario::RegionCut => cut(fleet.routers_in(region)),
        Scenario::ControlRegionCut => {
            let region = controls.first().map(|index| FailureDomain::Region(fleet.routers[*index].region));
            cut(region.map_or_else(Vec::new, |region| fleet.routers_in(region)))
        }
        Scenario::ControlRestarted => {
            let restart = |router| FaultKind::Restart { router, duration: micros(RESTART_MS) };
            controls.into_iter().map(restart).collect()
        }
        Scenario::TwoControlLost => lose(controls.into_iter().take(2)),
        Scenario::AllControlLost => lose(controls),
    })
}

/// Returns the first failure domain without a control machine, or that of the last router if all have one.
fn domain_without_control(
    fleet: &Fleet,
    controls: &[RouterIndex],
    domain_of: impl Fn(RouterIndex) -> usize,
) -> usize {
    let has_control = |domain: &usize| controls.iter().any(|index| domain_of(*index) == *domain);
    let free = (0..fleet.routers.len()).map(&domain_of).find(|domain| !has_control(domain));
    free.unwrap_or_else(|| domain_of(fleet.routers.len() - 1))
}

/// Returns the permanent loss of each router.
fn lose(routers: impl IntoIterator<Item = RouterIndex>) -> Vec<FaultKind> {
    let vanish = |router| FaultKind::Vanish { router, duration: micros(LOSS_MS) };
    routers.into_iter().map(vanish).collect()
}

/// Returns the partition of these routers from all others.
fn cut(routers: Vec<RouterIndex>) -> Vec<FaultKind> {
    vec![FaultKind::Cut { routers, direction: CutDirection::Both, duration: micros(CUT_MS) }]
}

/// Returns the number of routers that a fault affects.
pub(super) fn affected_routers(kind: &FaultKind) -> usize {
    match kind {
        FaultKind::Restart { .. } | FaultKind::Replace { .. } | FaultKind::Vanish { .. } => 1,
        FaultKind::Cut { routers, .. } | FaultKind::ChangeLogOutage { routers, .. } => routers.len(),
    }
}

/// Returns the number of links that broke or timed out.
fn failed_links(figures: &Figures) -> Result<f64, String> {
    Ok(figure(figures, "links_silent")? + figure(figures, "links_broken")?)
}

/// Rejects a scenario without an effect: no affected router, or no more failed links than in the run without faults.
pub(super) fn check_effect(
    scenario: Scenario,
    affected: usize,
    run: &Figures,
    baseline: &Figures,
) -> Result<(), String> {
    let additional = failed_links(run)? - failed_links(baseline)?;
    match affected > 0 && additional > 0.0 {
        true => Ok(()),
        false => Err(format!(
            "{scenario:?} had no effect: {affected} routers affected, {additional} more failed links"
        )),
    }
}

/// Returns the rows of a run at position `x`, with the number of affected routers and of additional failed links.
fn scenario_rows(x: usize, affected: usize, run: &Figures, baseline: &Figures) -> Result<Vec<Row>, String> {
    let row = |name, value, unit| Row::new((AXIS, x as f64), (name, value, unit), Kind::Simulated);
    let mut rows = vec![
        row("trouble_struck", affected as f64, "routers"),
        row("trouble_links_ended", failed_links(run)? - failed_links(baseline)?, "links"),
    ];
    rows.extend(super::figures::rows(AXIS, x, run, &FIGURES)?);
    Ok(rows)
}
