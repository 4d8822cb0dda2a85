//! What goes wrong in a fleet with the overlay: scripted troubles, each in a run of its own, beside one without any.

use super::control::figure;
use super::row::{Kind, Row};
use basaltgw_fleet_simulation::fault::{Fault, FaultKind};
use basaltgw_fleet_simulation::fleet::{FailureDomain, Fleet, Shape};
use basaltgw_fleet_simulation::links::CutDirection;
use basaltgw_fleet_simulation::run::{Figures, Setup};
use basaltgw_fleet_simulation::sparse::{router_list, SparseSettings};
use basaltgw_fleet_simulation::{micros, RouterIndex};
use serde::Deserialize;

/// Troubles of different kinds, by number: nothing goes along this axis, so there are no curves.
pub const TROUBLE: &str = "trouble";

/// Something that goes wrong; its number is its place on the axis, and stays.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Wrong {
    /// A relay of a region is gone and stays away.
    RelayLost = 1,
    /// A site is gone and stays away.
    SiteLost = 2,
    /// A zone is gone and stays away.
    ZoneLost = 3,
    /// A region is cut off and comes back.
    RegionCut = 4,
    /// A region with a control machine is cut off and comes back.
    ControlRegionCut = 5,
    /// All control machines restart, one after the other.
    ControlRestarted = 6,
    /// Two control machines are gone and stay away.
    TwoControlLost = 7,
    /// All control machines are gone and stay away.
    AllControlLost = 8,
    /// A site is cut off and comes back.
    SiteCut = 9,
}

/// A trouble begins so long after the first word, ms.
const AFTER_MS: f64 = 3_000.0;
/// A cut lasts so long, ms: twice as long as a link takes to be found silent.
const CUT_MS: f64 = 8_000.0;
/// What is gone for good is back after a longer time than any run takes, ms.
const GONE_MS: f64 = 600_000.0;
/// A control machine is down for so long, ms, and the next one goes so long after it.
const RESTART_MS: f64 = 500.0;
/// See [`RESTART_MS`].
const APART_MS: f64 = 1_000.0;
/// Seconds measured with a trouble: a cut, and as long again for what it held back.
const TROUBLE_S: f64 = 16.0;

/// Zones of a region and sites of a zone where troubles are measured: 71 zones in 21 regions, and 210 sites, are about so many.
const ZONES_A_REGION: usize = 3;
/// See [`ZONES_A_REGION`].
const SITES_A_ZONE: usize = 3;

/// The same of a run with a trouble. Purges that some router out of reach never had are not among those that are everywhere.
const OF_TROUBLE: [(&str, &str, &str); 8] = [
    ("words", "trouble_words", "purges"),
    ("everywhere_last_ms", "trouble_everywhere_last", "ms"),
    ("lost", "trouble_lost", "purges"),
    ("twice", "trouble_twice", "purges"),
    ("late", "trouble_late", "purges"),
    ("wire_bytes_mean", "trouble_wire", "bytes/s"),
    ("wire_bytes_worst_second", "trouble_wire_worst_second", "bytes/s"),
    ("control_wire_bytes_worst_second", "trouble_control_wire_worst_second", "bytes/s"),
];

/// The setups of a quiet run and of all these troubles.
pub fn setups(quiet: &Setup, troubles: &[Wrong]) -> Result<Vec<Setup>, String> {
    let mut quiet = quiet.clone();
    quiet.measured_s = TROUBLE_S;
    apart(&mut quiet.shape);
    let one = |wrong: &Wrong| Ok(Setup { scripted_faults: script(*wrong, &quiet)?, ..quiet.clone() });
    let troubled = troubles.iter().map(one).collect::<Result<Vec<_>, String>>()?;
    Ok([quiet.clone()].into_iter().chain(troubled).collect())
}

/// The points of these runs, in the order of [`setups`].
pub fn rows(troubles: &[Wrong], setups: &[Setup], figures: &[Figures]) -> Result<Vec<Row>, String> {
    let (Some(quiet), Some(of)) = (figures.first(), setups.get(1..)) else { return Ok(Vec::new()) };
    let mut rows = troubled(0, 0, quiet, quiet)?;
    for ((wrong, setup), figures) in troubles.iter().zip(of).zip(&figures[1..]) {
        let struck = setup.scripted_faults.iter().map(|t| struck(&t.kind)).sum();
        happened(*wrong, struck, figures, quiet)?;
        rows.extend(troubled(*wrong as usize, struck, figures, quiet)?);
    }
    Ok(rows)
}

/// All control machines stand in regions of their own, as they do in a large fleet, and regions have as many zones and zones as many sites.
pub(super) fn apart(shape: &mut Shape) {
    shape.regions = shape.control_machines;
    shape.zones = shape.zones.max(ZONES_A_REGION * shape.regions);
    shape.sites = shape.sites.max(SITES_A_ZONE * shape.zones);
}

/// What goes wrong, and when.
pub(super) fn script(wrong: Wrong, setup: &Setup) -> Result<Vec<Fault>, String> {
    let fleet = Fleet::new(&setup.shape, setup.seed)?;
    let list = router_list(&fleet, SparseSettings::default().shape)?;
    let all = || 0..fleet.routers.len();
    let controls: Vec<RouterIndex> = all().filter(|no| fleet.routers[*no].control).collect();
    let relay = all().find(|no| !fleet.routers[*no].control && list.is_relay(&fleet.routers[*no].router));
    // Where no control machine stands, if there is such a place.
    let of_control = |of: &dyn Fn(RouterIndex) -> usize, at: usize| controls.iter().any(|no| of(*no) == at);
    let (site, zone) = (|no: RouterIndex| fleet.routers[no].site, |no: RouterIndex| fleet.routers[no].zone);
    let region = |no: RouterIndex| fleet.routers[no].region;
    let place = |of: &dyn Fn(RouterIndex) -> usize| {
        let apart = all().map(of).find(|at| !of_control(of, *at));
        apart.unwrap_or_else(|| of(fleet.routers.len() - 1))
    };
    let gone = |who: Vec<RouterIndex>| {
        who.into_iter().map(|no| FaultKind::Vanish { router: no, duration: micros(GONE_MS) }).collect()
    };
    let cut = |who: Vec<RouterIndex>| {
        vec![FaultKind::Cut { routers: who, direction: CutDirection::Both, duration: micros(CUT_MS) }]
    };
    let whats: Vec<FaultKind> = match wrong {
        Wrong::RelayLost => gone(relay.into_iter().collect()),
        Wrong::SiteLost => gone(fleet.routers_in(FailureDomain::Site(place(&site)))),
        Wrong::ZoneLost => gone(fleet.routers_in(FailureDomain::Zone(place(&zone)))),
        Wrong::SiteCut => cut(fleet.routers_in(FailureDomain::Site(place(&site)))),
        Wrong::RegionCut => cut(fleet.routers_in(FailureDomain::Region(place(&region)))),
        Wrong::ControlRegionCut => cut(controls
            .first()
            .map_or_else(Vec::new, |no| fleet.routers_in(FailureDomain::Region(region(*no))))),
        Wrong::ControlRestarted => controls
            .iter()
            .map(|no| FaultKind::Restart { router: *no, duration: micros(RESTART_MS) })
            .collect(),
        Wrong::TwoControlLost => gone(controls.iter().take(2).copied().collect()),
        Wrong::AllControlLost => gone(controls),
    };
    let at = setup.warm_up_s * 1_000.0 + AFTER_MS;
    let apart = if wrong == Wrong::ControlRestarted { APART_MS } else { 0.0 };
    let one = |(k, kind)| Fault { at: micros(at + k as f64 * apart), kind };
    Ok(whats.into_iter().enumerate().map(one).collect())
}

/// How many routers it strikes.
pub(super) fn struck(what: &FaultKind) -> usize {
    match what {
        FaultKind::Restart { .. } | FaultKind::Replace { .. } | FaultKind::Vanish { .. } => 1,
        FaultKind::Cut { routers, .. } | FaultKind::ChangeLogOutage { routers, .. } => routers.len(),
    }
}

/// Links that ended against anybody's will.
fn ended(figures: &Figures) -> Result<f64, String> {
    Ok(figure(figures, "links_silent")? + figure(figures, "links_broken")?)
}

/// A trouble that struck nobody or ended no link is none, and nothing was shown.
pub(super) fn happened(
    wrong: Wrong,
    struck: usize,
    figures: &Figures,
    quiet: &Figures,
) -> Result<(), String> {
    let more = ended(figures)? - ended(quiet)?;
    match struck > 0 && more > 0.0 {
        true => Ok(()),
        false => Err(format!("{wrong:?} did not happen: {struck} routers struck, {more} more links ended")),
    }
}

fn troubled(x: usize, struck: usize, figures: &Figures, quiet: &Figures) -> Result<Vec<Row>, String> {
    let row = |name, value, unit| Row::new((TROUBLE, x as f64), (name, value, unit), Kind::Simulated);
    let mut rows = vec![
        row("trouble_struck", struck as f64, "routers"),
        row("trouble_links_ended", ended(figures)? - ended(quiet)?, "links"),
    ];
    for (theirs, ours, unit) in OF_TROUBLE {
        rows.push(row(ours, figure(figures, theirs)?, unit));
    }
    Ok(rows)
}
