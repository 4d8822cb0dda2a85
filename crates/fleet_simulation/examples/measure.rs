//! Prints the figures of one simulated run as `name<TAB>value` lines: `measure [NAME=VALUE]...`, with `kind=sparse` first for an overlay. Only
//! processor time depends on the machine. `trouble=NAME` adds a scripted fault during the measured seconds, `lasts` milliseconds long and
//! `after` milliseconds after the first purge (both given before it).

use basaltgw_fleet_simulation::fault::{Fault, FaultKind};
use basaltgw_fleet_simulation::fleet::{FailureDomain, Fleet};
use basaltgw_fleet_simulation::links::CutDirection;
use basaltgw_fleet_simulation::run::{run, Kind, Setup};
use basaltgw_fleet_simulation::sparse::SparseSettings;
use basaltgw_fleet_simulation::world::ChangeLogReach;
use basaltgw_fleet_simulation::{micros, RouterIndex};
use cap::Cap;
use std::alloc::System;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Time between the restarts of two control machines, ms.
const RESTART_INTERVAL_MS: f64 = 2_000.0;

/// The scripted faults of this name, which begin and last as given, in milliseconds.
fn script(fleet: &Fleet, name: &str, at_ms: f64, duration_ms: f64) -> Result<Vec<Fault>, String> {
    let (at, duration) = (micros(at_ms), micros(duration_ms));
    let control_machines: Vec<RouterIndex> =
        (0..fleet.routers.len()).filter(|index| fleet.routers[*index].control).collect();
    // A router in the middle, usually not a control machine.
    let place = &fleet.routers[fleet.routers.len() * 3 / 5];
    let inside = |domain| fleet.routers_in(domain);
    let vanish = |routers: Vec<RouterIndex>| {
        routers.into_iter().map(|router| FaultKind::Vanish { router, duration }).collect()
    };
    let cut =
        |domain| vec![FaultKind::Cut { routers: inside(domain), direction: CutDirection::Both, duration }];
    let kinds: Vec<FaultKind> = match name {
        "rack" => vanish(inside(FailureDomain::Rack(place.rack))),
        "switch" => cut(FailureDomain::Switch(place.switch)),
        "site" => cut(FailureDomain::Site(place.site)),
        "zone" => vanish(inside(FailureDomain::Zone(place.zone))),
        "region" => cut(FailureDomain::Region(place.region)),
        "control_region" => cut(FailureDomain::Region(0)),
        "two" => vanish(control_machines.iter().take(2).copied().collect()),
        "nine" => vanish(control_machines),
        "rolling" => {
            let restart = |(number, router): (usize, &RouterIndex)| Fault {
                at: micros(at_ms + number as f64 * RESTART_INTERVAL_MS),
                kind: FaultKind::Restart { router: *router, duration },
            };
            return Ok(control_machines.iter().enumerate().map(restart).collect());
        }
        _ => return Err(format!("unknown trouble: {name}")),
    };
    Ok(kinds.into_iter().map(|kind| Fault { at, kind }).collect())
}

fn unknown(arg: &str) -> String {
    format!("unknown argument: {arg}")
}

/// Which routers read purges, for a value of the argument `log`.
fn change_log(value: &str, routers: usize) -> Option<ChangeLogReach> {
    Some(match value {
        "one" => ChangeLogReach::OneRouter,
        // A router in the middle.
        "only" => ChangeLogReach::Always(routers * 3 / 5),
        "controls" => ChangeLogReach::ControlMachines,
        "everyone" => ChangeLogReach::Everyone { missed_share: 0.0 },
        "looks" => ChangeLogReach::Polling { interval_ms: 50.0 },
        "uneven" => ChangeLogReach::Uneven { missed_share: 0.02, late_share: 0.02, max_delay_ms: 3_000.0 },
        _ => return None,
    })
}

/// Applies an argument of the overlay; returns `None` if there is none of this name.
fn set_overlay(sparse: &mut SparseSettings, name: &str, number: f64) -> Option<()> {
    match name {
        "wide" => sparse.full_size_purges = number > 0.0,
        "alone" => sparse.publish_immediately = number > 0.0,
        "hold" => sparse.overlay.publisher_wait_ms = number,
        "batch" => sparse.overlay.batch_ms = number,
        "ask" => sparse.overlay.query_delay_ms = number,
        "again" => sparse.overlay.query_retry_ms = number,
        "settle_words" => sparse.overlay.convergence_ms = number,
        "announce" => sparse.overlay.announce_ms = number,
        "late" => sparse.overlay.late_ms = number,
        "peer_batch" => sparse.overlay.peer_batch_ms = number,
        "eager" => sparse.shape.control_eager = number as usize,
        "budget" => sparse.overlay.budget_bytes_per_s = number,
        _ => return None,
    }
    Some(())
}

/// A scripted fault of the command line.
struct ScriptedFault {
    name: String,
    /// Time after the first purge, ms.
    after_ms: f64,
    duration_ms: f64,
}

/// The setup that the arguments describe, and their scripted faults.
fn parse_arguments() -> Result<(Setup, Vec<ScriptedFault>), String> {
    let mut routers = 10;
    let mut setup = Setup::mesh(routers, 1);
    let (mut faults, mut duration_ms, mut after_ms) = (Vec::new(), 60_000.0, 5_000.0);
    for arg in std::env::args().skip(1) {
        let (name, value) = arg.split_once('=').ok_or(format!("expected NAME=VALUE, found {arg}"))?;
        let number: f64 = match name {
            "log" | "kind" | "trouble" => 0.0,
            _ => value.parse().map_err(|e| format!("{arg}: {e}"))?,
        };
        match (name, &mut setup.kind) {
            ("kind", kind) if value == "sparse" => *kind = Setup::sparse(routers, 1).kind,
            ("trouble", _) => faults.push(ScriptedFault { name: value.to_string(), after_ms, duration_ms }),
            ("lasts", _) => duration_ms = number,
            ("after", _) => after_ms = number,
            ("routers", _) => routers = number as usize,
            ("purges", _) => setup.purges_per_s = number,
            ("seconds", _) => setup.measured_s = number,
            ("settle", _) => setup.warm_up_s = number,
            ("rest", _) => setup.drain_s = number,
            ("seed", _) => setup.seed = number as u64,
            // The longest one-way delay between regions, ms; the shortest is half of it.
            ("far", _) => setup.network.inter_region_delay_ms = (number / 2.0, number),
            // All routers on one machine: the longest one-way delay, ms; the shortest is a fifth of it.
            ("loopback", _) => {
                let delay_ms = (number / 5.0, number);
                (
                    setup.network.same_site_delay_ms,
                    setup.network.same_region_delay_ms,
                    setup.network.inter_region_delay_ms,
                ) = (delay_ms, delay_ms, delay_ms);
            }
            // The longest duration of a commit, ms; the shortest is half of it.
            ("disk", _) => setup.commit_ms = (number / 2.0, number),
            ("loss", _) => setup.network.loss_share = number,
            ("keepalive", _) => setup.network.keepalive_ms = number,
            ("silent", _) => setup.network.peer_timeout_ms = number,
            ("again", Kind::Mesh(mesh)) => mesh.registers.retransmit_interval_ms = number,
            ("back_off", Kind::Mesh(mesh)) => mesh.registers.min_backoff_ms = number,
            // Changes of the configuration a minute, while purges are made; given after `settle` and `seconds`.
            ("changes", Kind::Mesh(mesh)) => {
                let from = setup.warm_up_s * 1_000.0;
                mesh.config_changes = (number, (from, from + setup.measured_s * 1_000.0));
            }
            ("members", Kind::Mesh(mesh)) => mesh.max_members = number as usize,
            ("restarts", _) => setup.random_faults.restarts = number as usize,
            ("replaced", _) => setup.random_faults.replaced = number as usize,
            ("vanished", _) => setup.random_faults.vanished = number as usize,
            ("zones", _) => setup.random_faults.zones = number as usize,
            ("log", _) => setup.change_log = change_log(value, routers).ok_or_else(|| unknown(&arg))?,
            (_, Kind::Sparse(sparse)) => set_overlay(sparse, name, number).ok_or_else(|| unknown(&arg))?,
            _ => return Err(unknown(&arg)),
        }
    }
    setup.shape = Setup::mesh(routers, 1).shape;
    Ok((setup, faults))
}

fn main() -> Result<(), String> {
    let (mut setup, faults) = parse_arguments()?;
    let fleet = Fleet::new(&setup.shape, setup.seed)?;
    for ScriptedFault { name, after_ms, duration_ms } in faults {
        setup.scripted_faults.extend(script(
            &fleet,
            &name,
            setup.warm_up_s * 1_000.0 + after_ms,
            duration_ms,
        )?);
    }
    setup.measure_cpu = true;
    setup.allocation_meter = Some(|work| {
        let before = ALLOCATOR.allocated() as i64;
        work();
        ALLOCATOR.allocated() as i64 - before
    });
    let begin = Instant::now();
    let figures = run(&setup)?;
    for (name, value) in &figures.values {
        println!("{name}\t{value:.3}");
    }
    println!("wall_s\t{:.2}", begin.elapsed().as_secs_f64());
    Ok(())
}
