//! Figures of one run, as `name<TAB>value` lines: `measure [NAME=VALUE]...`; `kind=sparse` first for an overlay. Simulated; processor time alone
//! is the machine's. `trouble=NAME` adds a scripted one in the middle of the seconds measured, `lasts` milliseconds long (given before it).

use basaltgw_fleet_simulation::fleet::{Fleet, Part};
use basaltgw_fleet_simulation::links::Ways;
use basaltgw_fleet_simulation::run::{run, Kind, Setup};
use basaltgw_fleet_simulation::trouble::{Trouble, What};
use basaltgw_fleet_simulation::world::Log;
use basaltgw_fleet_simulation::{micros, No};
use cap::Cap;
use std::alloc::System;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// A control machine after the other is restarted so far apart, ms.
const APART_MS: f64 = 2_000.0;

/// A scripted trouble that begins at that time and lasts so long, in milliseconds.
fn script(fleet: &Fleet, name: &str, at: f64, lasts: f64) -> Result<Vec<Trouble>, String> {
    let controls: Vec<No> = (0..fleet.seats.len()).filter(|no| fleet.seats[*no].control).collect();
    // Someone in the middle, who is no control machine as a rule.
    let seat = &fleet.seats[fleet.seats.len() * 3 / 5];
    let within = |part| fleet.within(part);
    let vanish = |who: Vec<No>| who.into_iter().map(|no| What::Vanish(no, micros(lasts))).collect();
    let whats: Vec<What> = match name {
        "rack" => vanish(within(Part::Rack(seat.rack))),
        "switch" => vec![What::Cut(within(Part::Switch(seat.switch)), Ways::Both, micros(lasts))],
        "site" => vec![What::Cut(within(Part::Site(seat.site)), Ways::Both, micros(lasts))],
        "zone" => vanish(within(Part::Zone(seat.zone))),
        "region" => vec![What::Cut(within(Part::Region(seat.region)), Ways::Both, micros(lasts))],
        "control_region" => vec![What::Cut(within(Part::Region(0)), Ways::Both, micros(lasts))],
        "two" => vanish(controls.iter().take(2).copied().collect()),
        "nine" => vanish(controls),
        "rolling" => {
            let one = |(k, no): (usize, &No)| Trouble {
                at: micros(at + k as f64 * APART_MS),
                what: What::Restart(*no, micros(lasts)),
            };
            return Ok(controls.iter().enumerate().map(one).collect());
        }
        _ => return Err(format!("unknown trouble: {name}")),
    };
    Ok(whats.into_iter().map(|what| Trouble { at: micros(at), what }).collect())
}

fn main() -> Result<(), String> {
    let mut routers = 10;
    let mut setup = Setup::mesh(routers, 1);
    let (mut troubles, mut lasts, mut after) = (Vec::new(), 60_000.0, 5_000.0);
    for arg in std::env::args().skip(1) {
        let (name, value) = arg.split_once('=').ok_or(format!("expected NAME=VALUE, found {arg}"))?;
        let number: f64 = match name {
            "log" | "kind" | "trouble" => 0.0,
            _ => value.parse().map_err(|e| format!("{arg}: {e}"))?,
        };
        match (name, &mut setup.kind) {
            ("kind", kind) if value == "sparse" => *kind = Setup::sparse(routers, 1).kind,
            ("trouble", _) => troubles.push((value.to_string(), after, lasts)),
            ("lasts", _) => lasts = number,
            // Milliseconds after the first word.
            ("after", _) => after = number,
            ("routers", _) => routers = number as usize,
            ("purges", _) => setup.purges = number,
            ("seconds", _) => setup.seconds = number,
            ("settle", _) => setup.settle = number,
            ("rest", _) => setup.rest = number,
            ("seed", _) => setup.seed = number as u64,
            // The longest way between regions, in milliseconds; the shortest is half of it.
            ("far", _) => setup.net.far = (number / 2.0, number),
            // All on one machine, and a way on it in milliseconds.
            ("loopback", _) => {
                let way = (number / 5.0, number);
                (setup.net.site, setup.net.region, setup.net.far) = (way, way, way);
            }
            // The longest commit, in milliseconds; the shortest is half of it.
            ("disk", _) => setup.disk = (number / 2.0, number),
            ("loss", _) => setup.net.loss = number,
            ("keepalive", _) => setup.net.keepalive_ms = number,
            ("silent", _) => setup.net.silent_ms = number,
            ("again", Kind::Mesh(mesh)) => mesh.holds.retransmit_interval_ms = number,
            ("back_off", Kind::Mesh(mesh)) => mesh.holds.min_backoff_ms = number,
            // Of the configuration, a minute; after the seconds.
            ("changes", Kind::Mesh(mesh)) => {
                let from = setup.settle * 1_000.0;
                mesh.changes = (number, (from, from + setup.seconds * 1_000.0));
            }
            ("members", Kind::Mesh(mesh)) => mesh.most_members = number as usize,
            ("wide", Kind::Sparse(sparse)) => sparse.wide = number > 0.0,
            ("alone", Kind::Sparse(sparse)) => sparse.alone = number > 0.0,
            ("hold", Kind::Sparse(sparse)) => sparse.overlay.publisher_wait_ms = number,
            ("batch", Kind::Sparse(sparse)) => sparse.overlay.batch_ms = number,
            ("ask", Kind::Sparse(sparse)) => sparse.overlay.query_delay_ms = number,
            ("again", Kind::Sparse(sparse)) => sparse.overlay.query_retry_ms = number,
            ("settle_words", Kind::Sparse(sparse)) => sparse.overlay.convergence_ms = number,
            ("announce", Kind::Sparse(sparse)) => sparse.overlay.announce_ms = number,
            ("late", Kind::Sparse(sparse)) => sparse.overlay.late_ms = number,
            ("peer_batch", Kind::Sparse(sparse)) => sparse.overlay.peer_batch_ms = number,
            ("eager", Kind::Sparse(sparse)) => sparse.shape.control_eager = number as usize,
            ("budget", Kind::Sparse(sparse)) => sparse.overlay.budget_bytes_per_s = number,
            ("restarts", _) => setup.many.restarts = number as usize,
            ("replaced", _) => setup.many.replaced = number as usize,
            ("vanished", _) => setup.many.vanished = number as usize,
            ("zones", _) => setup.many.zones = number as usize,
            ("log", _) if value == "one" => setup.log.0 = Log::One,
            // Somebody in the middle.
            ("log", _) if value == "only" => setup.log.0 = Log::Only(routers * 3 / 5),
            ("log", _) if value == "controls" => setup.log.0 = Log::Controls,
            ("log", _) if value == "everyone" => setup.log.0 = Log::Everyone(0.0),
            ("log", _) if value == "looks" => setup.log.0 = Log::Looks(50.0),
            ("log", _) if value == "uneven" => {
                setup.log.0 = Log::Uneven { misses: 0.02, late: 0.02, most: 3_000.0 };
            }
            _ => return Err(format!("unknown: {arg}")),
        }
    }
    setup.shape = Setup::mesh(routers, 1).shape;
    let fleet = Fleet::new(&setup.shape, setup.seed)?;
    for (name, after, lasts) in troubles {
        setup.script.extend(script(&fleet, &name, setup.settle * 1_000.0 + after, lasts)?);
    }
    setup.cpu = true;
    setup.grown = Some(|work| {
        let before = ALLOCATOR.allocated() as i64;
        work();
        ALLOCATOR.allocated() as i64 - before
    });
    let begun = Instant::now();
    let figures = run(&setup)?;
    for (name, value) in &figures.flat {
        println!("{name}\t{value:.3}");
    }
    println!("wall_s\t{:.2}", begun.elapsed().as_secs_f64());
    Ok(())
}
