//! Promises in fleets of 30, 300 and 1,000 routers in simulated time, while machines are lost with their disks and routers are cut off.
//!
//! `cargo run --release -p basaltgw-registers --example fleet [SEED]`. Ends with 1 if a promise was lost, or if nothing was provoked.

#[path = "../tests/net/mod.rs"]
mod net;

use basaltgw_registers::{Change, Event, Outcome, Record, Response, Settings};
use basaltgw_types::Member;
use net::{effect, map, Faults, Net};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Instant;

const SHARDS: usize = 256;
const COPIES: usize = 3;
/// Simulated milliseconds between two questions, and between two losses.
const PACE_MS: f64 = 0.5;
const LOSS_MS: f64 = 1_000.0;
/// How long a router is cut off.
const CUT_MS: f64 = 200.0;

#[derive(Default)]
struct Sums {
    promised: u64,
    lost: u64,
    refused: u64,
    at_once: u64,
    never: u64,
    wiped: u64,
    waits: Vec<f64>,
}

/// What is being asked.
struct Asked {
    at: f64,
    name: u128,
    by: Member,
}

fn counted(net: &Net, of: impl Fn(&basaltgw_registers::Registers) -> u64) -> u64 {
    net.nodes.iter().filter_map(|n| n.holds.as_ref()).map(of).sum()
}

fn reach(net: &mut Net, router: usize, yes: bool) {
    let all: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
    for other in (0..all.len()).filter(|r| *r != router) {
        net.give(router, Event::PeerReachable(all[other].clone(), yes));
        net.give(other, Event::PeerReachable(all[router].clone(), yes));
        match yes {
            true => net.cut.retain(|c| c.0 != router && c.1 != router),
            false => net.cut.extend([(router, other), (other, router)]),
        }
    }
}

fn new_map(net: &Net, epoch: u64) -> basaltgw_types::ShardMap {
    let members: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
    map(epoch, SHARDS, COPIES, &members)
}

fn wipe(net: &mut Net, router: usize) {
    let old = net.nodes[router].me.clone();
    net.wipe(router);
    net.start(router);
    (0..net.nodes.len())
        .filter(|r| *r != router)
        .for_each(|r| net.give(r, Event::PeerReachable(old.clone(), false)));
    let [both, _] = net::joint(&net.map, &new_map(net, net.map.epoch + 2));
    net.filled.clear();
    net.adopt(both, 20.0);
}

fn run(routers: usize, promises: usize, seed: u64) -> Sums {
    let mut net = Net::new(routers, SHARDS.min(routers * 8), COPIES, seed);
    net.map = new_map(&net, 1).into();
    net.set = Settings { max_attempts: 8, ..net.set.clone() };
    (0..routers).for_each(|r| {
        net.kill(r);
        net.start(r);
    });
    net.faults = Faults { delay: (0.2, 2.0), disk: (0.3, 3.0), lost: 0.001, ..Faults::none() };
    net.run(500.0);
    let (mut sums, mut asked, mut read) = (Sums::default(), BTreeMap::<u64, Asked>::new(), 0);
    let mut kept: BTreeMap<u128, Member> = BTreeMap::new();
    let (mut next_loss, mut cut): (f64, Option<(usize, f64)>) = (net.now + LOSS_MS, None);
    let (began, messages) = (Instant::now(), net.messages);
    let (batches, records) = (counted(&net, |h| h.stores().0), counted(&net, |h| h.stores().1));
    let mut wanted: Option<usize> = None;
    let mut taken = 0;
    while taken < promises || !asked.is_empty() {
        net.run(PACE_MS);
        if taken < promises {
            let router = match cut {
                Some((router, _)) if net.roll() < 0.05 => router,
                Some(_) | None => net.pick(routers),
            };
            let (by, name) = (net.nodes[router].me.clone(), u128::from(net::mix(seed, taken as u64)) << 64);
            let at = net.now;
            let no = net.ask(router, effect(name), Change::Acquire(by.clone()), 1_000.0);
            asked.insert(no, Asked { at, name, by });
            taken += 1;
        }
        for i in read..net.answers.len() {
            let (at, no, verdict) = (net.answers[i].at, net.answers[i].no, net.answers[i].verdict.clone());
            let Some(one) = asked.remove(&no) else { continue };
            match verdict {
                Response::Committed(_) => {
                    sums.promised += 1;
                    sums.waits.push(at - one.at);
                    // Its owner ends each second one; nobody waits for that here.
                    if one.name >> 64 & 1 == 0 {
                        let router = net.answers[i].router;
                        let done = Change::Complete(one.by.clone(), 0, Outcome::ServedBodyOmitted);
                        net.ask(router, effect(one.name), done, 1_000.0);
                    }
                    kept.insert(one.name, one.by);
                }
                Response::Conflict(hold) => panic!("a fresh name stands: {hold:?}"),
                Response::Unavailable { not_executed: never, .. } => {
                    sums.refused += 1;
                    sums.never += u64::from(never);
                    sums.at_once += u64::from(at == one.at);
                }
            }
        }
        read = net.answers.len();
        if let Some((router, until)) = cut.filter(|c| c.1 <= net.now) {
            debug_assert!(until <= net.now);
            reach(&mut net, router, true);
            cut = None;
        }
        if wanted.is_some_and(|r| net.filled.contains(&(r, None))) && net.all_filled() {
            let next = new_map(&net, net.map.epoch + 1);
            net.adopt(next, 20.0);
            wanted = None;
        }
        if net.now >= next_loss && wanted.is_none() && cut.is_none() {
            next_loss = net.now + LOSS_MS;
            let (lost, away) = (net.pick(routers.min(SHARDS)), net.pick(routers));
            // Its open questions are lost with it: nothing was said to anyone.
            let gone = net.nodes[lost].me.clone();
            asked.retain(|_, one| one.by != gone);
            wipe(&mut net, lost);
            sums.wiped += 1;
            wanted = Some(lost);
            if away != lost {
                reach(&mut net, away, false);
                cut = Some((away, net.now + CUT_MS));
            }
        }
    }
    let (messages, wall) = (net.messages - messages, began.elapsed());
    let lives = counted(&net, |h| h.stores().0).saturating_sub(batches);
    let records = counted(&net, |h| h.stores().1).saturating_sub(records);
    net.faults.lost = 0.0;
    if let Some((router, _)) = cut {
        reach(&mut net, router, true);
    }
    net.run(200.0);
    for (name, by) in &kept {
        let router = net.pick(routers);
        let no = net.ask(router, effect(*name), Change::Read, 5_000.0);
        net.run_until(10_000.0, |net| net.answers.last().is_some_and(|a| a.no == no));
        let safe = match net.answers.last().map(|a| &a.verdict) {
            Some(Response::Conflict(Some(Record::Leased { owner, .. }))) => owner == by,
            Some(Response::Conflict(Some(Record::Completed(_)))) => true,
            Some(Response::Conflict(_) | Response::Committed(_) | Response::Unavailable { .. }) | None => {
                false
            }
        };
        sums.lost += u64::from(!safe);
    }
    sums.waits.sort_by(f64::total_cmp);
    let at =
        |share: f64| sums.waits.get((sums.waits.len() as f64 * share) as usize).copied().unwrap_or(f64::NAN);
    let each = |n: u64| n as f64 / promises as f64;
    println!(
        "{routers:>5} routers: {} promised, {} lost, {} refused ({} at once, {} never ran), {} machines wiped; \
         per question {:.1} messages, {:.1} batches, {:.1} records; wait p50 {:.1} p99 {:.1} ms; {:.1} s of {} steps",
        sums.promised,
        sums.lost,
        sums.refused,
        sums.at_once,
        sums.never,
        sums.wiped,
        each(messages),
        each(lives),
        each(records),
        at(0.5),
        at(0.99),
        wall.as_secs_f64(),
        net.steps
    );
    sums
}

fn main() -> ExitCode {
    let seed = std::env::args().nth(1).map_or(Ok(1), |text| text.parse());
    let Ok(seed) = seed else {
        eprintln!("expected a seed: a whole number");
        return ExitCode::from(2);
    };
    let fleets = [(30, 10_000), (300, 10_000), (1_000, 10_000)];
    let ok = fleets.into_iter().all(|(routers, promises)| {
        let sums = run(routers, promises, seed);
        sums.lost == 0 && sums.promised > 0 && sums.at_once > 0 && sums.wiped > 0
    });
    if ok {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}
