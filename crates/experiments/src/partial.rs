//! Answers in part (`on: partial`): routers in three branches as processes, their clients, and faults of one site after the other; beside it,
//! simulated, the same decisions against three usual ways.

mod seen;

use crate::experiment::{is_of_form, text_of, Must, Variant};
use crate::runs::{binary, Done, Row};
use crate::Played;
use basaltgw_config::yaml::{compile_schema, Document, YamlError};
use basaltgw_emulator::rig::{Rig, Spec};
use basaltgw_scatter_gather::sim::{compare_strategies, find_violations, Fault, Setup, StrategyKind};
use basaltgw_simulator::{draw, rng, Rng};
use seen::{check, Client, One, Seen};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What a fault's length is, or the number of simulated routers, by how much is played.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Size<T> {
    quick: T,
    full: T,
}

/// The experiment's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    #[allow(dead_code)] // Read before the rest, to tell the form of the file.
    on: String,
    seed: u64,
    fault_ms: Size<u64>,
    clients: u64,
    rest_ms: u64,
    objects: u64,
    within_ms: u64,
    slow_ms: [f64; 2],
    flap_ms: [f64; 2],
    simulated_routers: Size<usize>,
    rules: String,
    must: Vec<Must>,
    shown: Vec<String>,
}

/// The one that the program brings along.
pub const OWN: (&str, &str) = ("partial", include_str!("../experiments/partial.yaml"));

/// Whether it is of this form.
pub fn is(name: &str) -> bool {
    is_of_form(OWN, name, "partial")
}

/// Reads it, by its name or its file.
pub fn find(name: &str) -> Result<(Experiment, String), YamlError> {
    let text = text_of(OWN, name).unwrap_or_default();
    let document = Document::parse(name, &text, &compile_schema("{}"))?;
    let experiment: Experiment = document.deserialize()?;
    for (key, n) in [("clients", experiment.clients), ("objects", experiment.objects)] {
        if !(1..=10_000).contains(&n) {
            return Err(document.error_at(&format!("/{key}"), format!("expected from 1 to 10000, found {n}")));
        }
    }
    for (i, m) in experiment.must.iter().enumerate() {
        if m.run != Variant::Described || m.times_of.is_some() || [m.is, m.at_least, m.at_most] == [None; 3] {
            let what = "expected `is`, `at_least` or `at_most` of the run described";
            return Err(document.error_at(&format!("/must/{i}"), what));
        }
    }
    Ok((experiment, text))
}

/// Routers serve within this time after their start.
const STARTED: Duration = Duration::from_secs(20);
/// A debt has to be paid within this time after the site's return.
const PAID: Duration = Duration::from_secs(8);
/// Debts of one fault that are asked for, the last ones.
const MOST_PAYMENTS: usize = 40;

const FAULTS: [&str; 4] = ["slow", "lost", "flapping", "killed"];

/// Has one site in trouble for a time; what did not mend is said.
fn trouble(
    rig: &mut Rig,
    what: &str,
    site: usize,
    e: &Experiment,
    ms: u64,
    rng: &mut Rng,
) -> Result<(), String> {
    let others: Vec<usize> = (0..rig.len()).filter(|o| *o != site).collect();
    let begun = Instant::now();
    let left = || Duration::from_millis(ms).saturating_sub(begun.elapsed());
    match what {
        "slow" => others.iter().for_each(|o| {
            for flow in [rig.router_link(site, *o), rig.router_link(*o, site)] {
                flow.configure(|conditions| conditions.delay_ms = (e.slow_ms[0], e.slow_ms[1]));
            }
        }),
        "lost" => rig.partition(site, &others),
        "killed" => rig.kill(site),
        _ => {
            while !left().is_zero() {
                for cut in [true, false] {
                    others.iter().for_each(|o| {
                        rig.router_link(site, *o).set_cut(cut);
                        rig.router_link(*o, site).set_cut(cut);
                    });
                    let turn = e.flap_ms[0] + (e.flap_ms[1] - e.flap_ms[0]).max(0.0) * draw(rng);
                    std::thread::sleep(Duration::from_secs_f64(turn / 1000.0));
                }
            }
        }
    }
    std::thread::sleep(left());
    if what == "killed" {
        rig.start_router(site)?;
        if !rig.wait_until_serving(site, STARTED) {
            return Err(format!("router {site} does not serve again"));
        }
    }
    if rig.heal() {
        Ok(())
    } else {
        Err(format!("links are not up again after router {site} was {what}"))
    }
}

/// Asks for what is owed at another router than the one that owes it; gives the debts paid and those left.
fn pay(owed: Vec<One>, clients: &mut [Client<'_>]) -> (u64, u64) {
    let (mut paid, mut left, begun) = (0, 0, Instant::now());
    for one in owed {
        let Some(debt) = one.owed() else { continue };
        let client = &mut clients[(one.router + 1) % 3];
        let parts: Vec<u64> = debt.missing.iter().copied().collect();
        let served = loop {
            let got = client.ask(one.object, parts.clone(), Some(debt.clone()));
            match got.as_ref().and_then(One::answer) {
                Some(("200", ..)) => break true,
                _ if begun.elapsed() > PAID => break false,
                _ => std::thread::sleep(Duration::from_millis(50)),
            }
        };
        if served {
            paid += 1
        } else {
            left += 1
        }
    }
    (paid, left)
}

fn sockets(e: &Experiment, quick: bool, seed: u64) -> Result<(Row, Vec<f64>, Vec<String>), String> {
    let spec = Spec { seed, scatter_gather: true, rules: Some(e.rules.clone()), ..Spec::new(&binary()?, 3) };
    let mut rig = Rig::start(spec)?;
    if let Some(r) = (0..rig.len()).find(|r| !rig.wait_until_serving(*r, STARTED)) {
        return Err(format!("router {r} does not serve: {}", rig.routers[r].log()));
    }
    rig.wait_until_bootstrapped(STARTED)?;
    if !rig.wait_until_linked() {
        return Err("links between routers do not come up".into());
    }
    let ms = if quick { e.fault_ms.quick } else { e.fault_ms.full };
    let at: Vec<SocketAddr> = rig.routers.iter().map(|r| r.client_relay.address).collect();
    let (seen, ids) = (Seen { begun: Instant::now(), all: Mutex::default() }, AtomicU64::new(1));
    let client = |router: usize| Client {
        router,
        at: at[router],
        seen: &seen,
        within: e.within_ms,
        socket: None,
        tags: BTreeMap::new(),
        ids: &ids,
    };
    let mut draws = rng(seed, 7_001);
    let (mut row, mut words, mut down) = (Row::new(), Vec::new(), Vec::new());
    let (mut paid, mut left, mut lost) = (0, 0, 0_u64);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for n in 0..e.clients * 3 {
            let (mut client, stop, mut draws) = (client(n as usize % 3), &stop, rng(seed, 7_100 + n));
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let object = 1 + (draw(&mut draws) * e.objects as f64) as u64;
                    let _ = client.ask(object, vec![0, 1, 2], None);
                    std::thread::sleep(Duration::from_millis(e.rest_ms));
                }
            });
        }
        let (first, turn) = ((draw(&mut draws) * 3.0) as usize, (draw(&mut draws) * 4.0) as usize);
        for i in 0..FAULTS.len() {
            let (what, site) = (FAULTS[(i + turn) % 4], (first + i) % 3);
            std::thread::sleep(Duration::from_millis(ms / 4));
            let (from, before) = (seen.now(), seen.all().len());
            if let Err(unmended) = trouble(&mut rig, what, site, e, ms, &mut draws) {
                words.push(unmended);
            }
            if what == "killed" {
                down.push((site, from, seen.now()));
            }
            let amid: Vec<One> = seen.all()[before..].iter().filter(|o| o.debt.is_none()).cloned().collect();
            let touched = amid.iter().filter(|o| o.answer().is_some_and(|a| a.0 != "200")).count();
            row.insert(format!("touched_{what}"), touched as f64);
            let mut owed: Vec<One> = amid.into_iter().filter(|o| o.owed().is_some()).collect();
            let misses = |o: &One| o.owed().is_some_and(|d| d.missing.contains(&(site as u64)));
            lost += u64::from(matches!(what, "lost" | "killed") && (touched > 0 || owed.iter().any(misses)));
            let some = owed.split_off(owed.len().saturating_sub(MOST_PAYMENTS));
            // New connections: routers close those that were idle for the length of a fault.
            let (p, l) = pay(some, &mut (0..3).map(client).collect::<Vec<_>>());
            (paid, left) = (paid + p, left + l);
        }
        stop.store(true, Ordering::SeqCst);
    });
    let all = seen.all();
    let broken = check(&all, &down, e.within_ms);
    let first = || all.iter().filter(|o| o.debt.is_none());
    let ended = |word: &str| first().filter(|o| o.answer().is_some_and(|a| a.0 == word)).count() as f64;
    let mut waits: Vec<u64> = first().filter_map(|o| Some(o.ends.first()?.0 - o.asked)).collect();
    waits.sort_unstable();
    let wait = |q: f64| waits.get((waits.len() as f64 * q) as usize).map_or(f64::NAN, |w| *w as f64);
    let figures = [
        ("asked", first().count() as f64),
        ("whole", ended("200")),
        ("part", ended("206")),
        ("refused", ended("503")),
        ("failed", ended("500")),
        ("lost", first().filter(|o| o.ends.is_empty()).count() as f64),
        ("debts_kept", all.iter().filter(|o| o.owed().is_some()).count() as f64),
        ("debts_paid", paid as f64),
        ("debts_left", left as f64),
        ("sites_lost", lost as f64),
        ("rules_broken", broken.len() as f64),
        ("unmended", words.len() as f64),
        ("p50_ms", wait(0.5)),
        ("p99_ms", wait(0.99)),
    ];
    row.extend(figures.map(|(name, n)| (name.to_string(), n)));
    let mut seconds = vec![(0.0, 0.0); 1 + seen.now() as usize / 1000];
    for one in first() {
        let second = &mut seconds[one.asked as usize / 1000];
        second.0 += 1.0;
        second.1 += f64::from(u8::from(one.answer().is_some_and(|a| a.0 == "200" || a.0 == "206")));
    }
    words.extend(broken.into_iter().take(12));
    Ok((
        row,
        seconds.into_iter().map(|(asked, got)| if asked > 0.0 { got / asked } else { f64::NAN }).collect(),
        words,
    ))
}

/// The four ways under each trouble; ahead by what worth the decisions are of the best other.
fn simulated(routers: usize, seed: u64) -> Result<(Row, Vec<String>), String> {
    let (mut row, mut words) = (Row::new(), Vec::new());
    for fault in Fault::ALL {
        let rows = compare_strategies(&Setup::new(routers, fault, seed)).map_err(|e| e.to_string())?;
        let name = format!("sim_{fault:?}").to_lowercase();
        let worth = |ours: bool| {
            let rows = rows.iter().filter(move |row| (row.strategy == StrategyKind::Weighed) == ours);
            rows.map(|row| row.result.answered_weight_share)
        };
        let ahead = worth(true).sum::<f64>() - worth(false).fold(0.0, f64::max);
        row.insert(format!("{name}_ahead"), ahead);
        for r in &rows {
            let worth = r.result.answered_weight_share;
            row.insert(format!("{name}_worth_{:?}", r.strategy).to_lowercase(), worth);
        }
        let broken = find_violations(&rows);
        row.insert(format!("{name}_broken"), broken.len() as f64);
        words.extend(broken);
    }
    Ok((row, words))
}

/// Plays it.
pub fn played(name: &str, quick: bool, seed: Option<u64>) -> Result<(Played, String), String> {
    let (e, text) = find(name).map_err(|e| e.to_string())?;
    let seed = seed.unwrap_or(e.seed);
    println!("{}: {} Seed {seed}.", e.name, e.about);
    let begun = Instant::now();
    let (mut row, seconds, mut words) = sockets(&e, quick, seed)?;
    let many = if quick { e.simulated_routers.quick } else { e.simulated_routers.full };
    let (more, broken) = simulated(many, seed)?;
    row.extend(more);
    words.extend(broken);
    row.insert("simulated_routers".into(), many as f64);
    row.insert("wall_s".into(), begun.elapsed().as_secs_f64());
    words.iter().for_each(|w| println!("      {w}"));
    let done = vec![Done { routers: 3, variant: Variant::Described, row, seconds, words }];
    let shown = ("answers", "share whole or in part");
    Ok((Played { name: e.name, seed, done, must: e.must, figures: e.shown, shown }, text))
}

#[cfg(test)]
mod tests;
