//! Leases in fleets of 30, 300 and 1,000 routers in simulated time, while machines lose their disks and routers are cut off.
//!
//! `cargo run --release -p basaltgw-registers --example fleet [SEED]`. Exits with 1 if a committed record was lost, or if no fault had an
//! effect, and with 2 for a seed that is no number.

#[path = "../tests/net/mod.rs"]
mod net;

use basaltgw_registers::{Change, Event, Outcome, Record, Registers, Response, Settings};
use basaltgw_types::{Member, ShardMap};
use net::{execution, map, Faults, Net, ReturnedResponse};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Instant;

const SHARDS: usize = 256;
const REPLICAS: usize = 3;
const REQUESTS: usize = 10_000;
/// Simulated time between two requests.
const REQUEST_INTERVAL_MS: f64 = 0.5;
/// Simulated time between two losses of a disk.
const LOSS_INTERVAL_MS: f64 = 1_000.0;
/// How long a router is cut off.
const CUT_MS: f64 = 200.0;

#[derive(Default)]
struct Totals {
    committed: u64,
    lost: u64,
    failed: u64,
    failed_immediately: u64,
    not_executed: u64,
    erased: u64,
    latencies_ms: Vec<f64>,
}

/// A request without a response.
struct Requested {
    at: f64,
    name: u128,
    by: Member,
}

/// A router that is cut off.
struct CutOff {
    router: usize,
    until: f64,
}

/// The disk writes of all routers.
struct Writes {
    batches: u64,
    records: u64,
}

struct Run {
    net: Net,
    routers: usize,
    requested: BTreeMap<u64, Requested>,
    responses_read: usize,
    owners: BTreeMap<u128, Member>,
    next_loss_at: f64,
    cut_off: Option<CutOff>,
    /// The router that lost its disk, until the reconfiguration for it is complete.
    reconfiguring: Option<usize>,
    totals: Totals,
}

impl Run {
    fn new(routers: usize, seed: u64) -> Self {
        let mut net = Net::new(routers, SHARDS.min(routers * 8), REPLICAS, seed);
        net.map = present_map(&net, 1).into();
        net.settings = Settings { max_attempts: 8, ..net.settings.clone() };
        (0..routers).for_each(|r| {
            net.kill(r);
            net.start(r);
        });
        net.faults = Faults { delay_ms: 0.2..2.0, disk_delay_ms: 0.3..3.0, loss: 0.001, ..Faults::none() };
        net.run(500.0);
        let next_loss_at = net.now + LOSS_INTERVAL_MS;
        Self {
            net,
            routers,
            requested: BTreeMap::new(),
            responses_read: 0,
            owners: BTreeMap::new(),
            next_loss_at,
            cut_off: None,
            reconfiguring: None,
            totals: Totals::default(),
        }
    }

    /// Requests a lease of a new record; during a cut, sometimes from the router that is cut off.
    fn acquire(&mut self, name: u128) {
        let router = match self.cut_off {
            Some(CutOff { router, .. }) if self.net.random() < 0.05 => router,
            Some(_) | None => self.net.random_index(self.routers),
        };
        let by = self.net.nodes[router].me.clone();
        let at = self.net.now;
        let number = self.net.request(router, execution(name), Change::Acquire(by.clone()), 1_000.0);
        self.requested.insert(number, Requested { at, name, by });
    }

    fn read_responses(&mut self) {
        for i in self.responses_read..self.net.responses.len() {
            let ReturnedResponse { time: at, router, number, .. } = self.net.responses[i];
            let response = self.net.responses[i].response.clone();
            if let Some(requested) = self.requested.remove(&number) {
                self.on_response(requested, at, router, response);
            }
        }
        self.responses_read = self.net.responses.len();
    }

    fn on_response(&mut self, requested: Requested, at: f64, router: usize, response: Response) {
        match response {
            Response::Committed(_) => {
                self.totals.committed += 1;
                self.totals.latencies_ms.push(at - requested.at);
                // The owner completes every second execution; nothing waits for the response.
                if requested.name >> 64 & 1 == 0 {
                    let complete = Change::Complete(requested.by.clone(), 0, Outcome::ServedBodyOmitted);
                    self.net.request(router, execution(requested.name), complete, 1_000.0);
                }
                self.owners.insert(requested.name, requested.by);
            }
            Response::Conflict(record) => panic!("a new key has a record: {record:?}"),
            Response::Unavailable { not_executed, .. } => {
                self.totals.failed += 1;
                self.totals.not_executed += u64::from(not_executed);
                self.totals.failed_immediately += u64::from(at == requested.at);
            }
        }
    }

    /// Repairs and injects the faults that are due.
    fn step_faults(&mut self) {
        if let Some(cut_off) = self.cut_off.take_if(|c| c.until <= self.net.now) {
            set_reachable(&mut self.net, cut_off.router, true);
        }
        if self.reconfiguring.is_some_and(|r| self.net.is_synced(r)) && self.net.all_synced() {
            let next = present_map(&self.net, self.net.map.epoch + 1);
            self.net.publish_map(next, 20.0);
            self.reconfiguring = None;
        }
        if self.net.now >= self.next_loss_at && self.reconfiguring.is_none() && self.cut_off.is_none() {
            self.next_loss_at = self.net.now + LOSS_INTERVAL_MS;
            self.inject_faults();
        }
    }

    fn inject_faults(&mut self) {
        let lost = self.net.random_index(self.routers.min(SHARDS));
        let away = self.net.random_index(self.routers);
        // The open requests of the lost router are lost with it: nobody has a response.
        let member = self.net.nodes[lost].me.clone();
        self.requested.retain(|_, requested| requested.by != member);
        erase_disk(&mut self.net, lost);
        self.totals.erased += 1;
        self.reconfiguring = Some(lost);
        if away != lost {
            set_reachable(&mut self.net, away, false);
            self.cut_off = Some(CutOff { router: away, until: self.net.now + CUT_MS });
        }
    }

    /// Counts the committed records that can't be read any more.
    fn count_lost(&mut self) {
        self.net.faults.loss = 0.0;
        if let Some(cut_off) = self.cut_off.take() {
            set_reachable(&mut self.net, cut_off.router, true);
        }
        self.net.run(200.0);
        for (name, by) in &self.owners {
            let router = self.net.random_index(self.routers);
            let number = self.net.request(router, execution(*name), Change::Read, 5_000.0);
            self.net.run_until(10_000.0, |net| net.responses.last().is_some_and(|r| r.number == number));
            let survives = match self.net.responses.last().map(|r| &r.response) {
                Some(Response::Conflict(Some(Record::Leased { owner, .. }))) => owner == by,
                Some(Response::Conflict(Some(Record::Completed(_)))) => true,
                Some(Response::Conflict(_) | Response::Committed(_) | Response::Unavailable { .. })
                | None => false,
            };
            self.totals.lost += u64::from(!survives);
        }
    }

    fn writes(&self) -> Writes {
        let sum = |of: fn(&Registers) -> u64| {
            self.net.nodes.iter().filter_map(|n| n.registers.as_ref()).map(of).sum()
        };
        Writes { batches: sum(|r| r.write_counts().0), records: sum(|r| r.write_counts().1) }
    }
}

fn set_reachable(net: &mut Net, router: usize, reachable: bool) {
    let all: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
    for other in (0..all.len()).filter(|r| *r != router) {
        net.handle(router, Event::PeerReachable(all[other].clone(), reachable));
        net.handle(other, Event::PeerReachable(all[router].clone(), reachable));
        match reachable {
            true => net.partitioned.retain(|link| link.0 != router && link.1 != router),
            false => net.partitioned.extend([(router, other), (other, router)]),
        }
    }
}

/// The map of the present members.
fn present_map(net: &Net, epoch: u64) -> ShardMap {
    let members: Vec<Member> = net.nodes.iter().map(|n| n.me.clone()).collect();
    map(epoch, SHARDS, REPLICAS, &members)
}

/// Erases a router's disk, and starts the reconfiguration to its next incarnation.
fn erase_disk(net: &mut Net, router: usize) {
    let old = net.nodes[router].me.clone();
    net.erase_disk(router);
    net.start(router);
    (0..net.nodes.len())
        .filter(|r| *r != router)
        .for_each(|r| net.handle(r, Event::PeerReachable(old.clone(), false)));
    let [both, _] = net::joint(&net.map, &present_map(net, net.map.epoch + 2));
    net.synced.clear();
    net.publish_map(both, 20.0);
}

fn run(routers: usize, seed: u64) -> Totals {
    let mut run = Run::new(routers, seed);
    let (started, messages, writes) = (Instant::now(), run.net.messages, run.writes());
    let mut requests = 0;
    while requests < REQUESTS || !run.requested.is_empty() {
        run.net.run(REQUEST_INTERVAL_MS);
        if requests < REQUESTS {
            run.acquire(u128::from(net::mix(seed, requests as u64)) << 64);
            requests += 1;
        }
        run.read_responses();
        run.step_faults();
    }
    let (messages, elapsed, after) = (run.net.messages - messages, started.elapsed(), run.writes());
    let batches = after.batches.saturating_sub(writes.batches);
    let records = after.records.saturating_sub(writes.records);
    run.count_lost();
    let Run { net, mut totals, .. } = run;
    totals.latencies_ms.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let index = (totals.latencies_ms.len() as f64 * share) as usize;
        totals.latencies_ms.get(index).copied().unwrap_or(f64::NAN)
    };
    let per_request = |n: u64| n as f64 / REQUESTS as f64;
    println!(
        "{routers:>5} routers: {} committed, {} lost, {} failed ({} immediately, {} not executed), \
         {} disks erased; per request {:.1} messages, {:.1} batches, {:.1} records; \
         latency p50 {:.1} p99 {:.1} ms; {:.1} s of {} steps",
        totals.committed,
        totals.lost,
        totals.failed,
        totals.failed_immediately,
        totals.not_executed,
        totals.erased,
        per_request(messages),
        per_request(batches),
        per_request(records),
        quantile(0.5),
        quantile(0.99),
        elapsed.as_secs_f64(),
        net.steps
    );
    totals
}

fn main() -> ExitCode {
    let seed = std::env::args().nth(1).map_or(Ok(1), |text| text.parse());
    let Ok(seed) = seed else {
        eprintln!("expected a seed: a whole number");
        return ExitCode::from(2);
    };
    let ok = [30, 300, 1_000].into_iter().all(|routers| {
        let totals = run(routers, seed);
        totals.lost == 0 && totals.committed > 0 && totals.failed_immediately > 0 && totals.erased > 0
    });
    if ok {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}
