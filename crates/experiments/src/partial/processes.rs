//! Router processes with clients, and faults of one site after the other.

use super::client::{
    find_violations, Client, Downtime, RequestLog, RequestRecord, COMPLETE, FAILED, PARTIAL, REJECTED,
};
use super::Experiment;
use crate::experiment::Variant;
use crate::runs::{answered_share, router_program, Figures, RunResult};
use basaltgw_emulator::rig::{Rig, Spec};
use basaltgw_simulator::{draw, rng, Rng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The number of routers, each at a site of its own.
const ROUTERS: usize = 3;
/// Parts of each object, one in each branch.
const PARTS: [u64; ROUTERS] = [0, 1, 2];
/// Time within which a router has to serve after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which continuations have to be completed after the site has recovered.
const CONTINUATION_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between two requests for the same continuation.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of continuations of one fault that are requested, the latest ones.
const MAX_CONTINUATIONS: usize = 40;
/// The maximum number of violations that the output describes.
const MAX_REPORTED_VIOLATIONS: usize = 12;
/// Number of the random stream of the faults.
const FAULT_STREAM: u64 = 7_001;
/// Number of the random stream of the first client; those of the others follow.
const CLIENT_STREAM: u64 = 7_100;
/// The pause before each fault is the duration of a fault divided by this.
const PAUSE_DIVISOR: u32 = 4;

/// The fault of a site.
#[derive(Clone, Copy, PartialEq)]
enum SiteFault {
    /// Its links to other sites have a high latency.
    Slow,
    /// It is partitioned from the other sites.
    Lost,
    /// Its links to other sites are cut and restored again and again.
    Flapping,
    /// Its router is killed, and started again at the end of the fault.
    Killed,
}

impl SiteFault {
    const ALL: [Self; 4] = [Self::Slow, Self::Lost, Self::Flapping, Self::Killed];

    /// The name of the fault in figures.
    fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Lost => "lost",
            Self::Flapping => "flapping",
            Self::Killed => "killed",
        }
    }
}

/// Subjects a site to a fault for a time, and ends the fault.
///
/// # Errors
/// If the site or its links do not recover.
fn inject_fault(
    rig: &mut Rig,
    fault: SiteFault,
    site: usize,
    experiment: &Experiment,
    duration: Duration,
    rng: &mut Rng,
) -> Result<(), String> {
    let others: Vec<usize> = (0..rig.len()).filter(|other| *other != site).collect();
    let started = Instant::now();
    let remaining = || duration.saturating_sub(started.elapsed());
    match fault {
        SiteFault::Slow => others.iter().for_each(|other| {
            for link in [rig.router_link(site, *other), rig.router_link(*other, site)] {
                link.configure(|c| c.delay_ms = (experiment.slow_ms[0], experiment.slow_ms[1]));
            }
        }),
        SiteFault::Lost => rig.partition(site, &others),
        SiteFault::Killed => rig.kill(site),
        SiteFault::Flapping => {
            while !remaining().is_zero() {
                for cut in [true, false] {
                    others.iter().for_each(|other| {
                        rig.router_link(site, *other).set_cut(cut);
                        rig.router_link(*other, site).set_cut(cut);
                    });
                    let [min_ms, max_ms] = experiment.flap_ms;
                    let pause_ms = min_ms + (max_ms - min_ms).max(0.0) * draw(rng);
                    std::thread::sleep(Duration::from_secs_f64(pause_ms / 1000.0));
                }
            }
        }
    }
    std::thread::sleep(remaining());
    if fault == SiteFault::Killed {
        rig.start_router(site)?;
        if !rig.wait_until_serving(site, START_TIMEOUT) {
            return Err(format!("router {site} does not serve after its restart"));
        }
    }
    if rig.heal() {
        Ok(())
    } else {
        Err(format!("the links of router {site} are not up again after the fault {}", fault.name()))
    }
}

/// Numbers of requested continuations.
#[derive(Clone, Copy, Default)]
struct ContinuationCounts {
    completed: u64,
    open: u64,
}

/// Requests the continuations of these records, each at another router than the one that offered it.
fn complete_continuations(records: Vec<RequestRecord>, clients: &mut [Client<'_>]) -> ContinuationCounts {
    let (mut counts, started) = (ContinuationCounts::default(), Instant::now());
    for record in records {
        let Some(continuation) = record.offered_continuation() else { continue };
        let client = &mut clients[(record.router + 1) % ROUTERS];
        let parts: Vec<u64> = continuation.missing.iter().copied().collect();
        let completed = loop {
            let answered = client.request(record.object, parts.clone(), Some(continuation.clone()));
            if answered.is_some_and(|record| record.has_status(COMPLETE)) {
                break true;
            }
            if started.elapsed() > CONTINUATION_TIMEOUT {
                break false;
            }
            std::thread::sleep(RETRY_INTERVAL);
        };
        if completed {
            counts.completed += 1;
        } else {
            counts.open += 1;
        }
    }
    counts
}

/// The results of all faults.
#[derive(Default)]
struct FaultResults {
    figures: Figures,
    /// Faults that did not heal.
    messages: Vec<String>,
    /// The times during which killed routers were down.
    downtimes: Vec<Downtime>,
    continuations: ContinuationCounts,
    /// Faults that made a site unreachable and affected requests.
    lost_sites: u64,
}

/// The routers and what their clients share.
struct Cluster<'a> {
    experiment: &'a Experiment,
    rig: Rig,
    addresses: Vec<SocketAddr>,
    log: &'a RequestLog,
    /// The next request id.
    ids: &'a AtomicU64,
}

/// Starts the routers and waits until they serve and are linked.
fn start_rig(experiment: &Experiment, seed: u64) -> Result<Rig, String> {
    let rules = Some(experiment.rules.clone());
    let spec = Spec { seed, scatter_gather: true, rules, ..Spec::new(&router_program()?, ROUTERS) };
    let rig = Rig::start(spec)?;
    if let Some(router) = (0..rig.len()).find(|router| !rig.wait_until_serving(*router, START_TIMEOUT)) {
        return Err(format!(
            "router {router} does not serve after its start; its log: {}",
            rig.routers[router].log_text()
        ));
    }
    rig.wait_until_bootstrapped(START_TIMEOUT)?;
    if !rig.wait_until_linked() {
        return Err("the links between the routers are not all up after the start".into());
    }
    Ok(rig)
}

impl<'a> Cluster<'a> {
    fn client(&self, router: usize) -> Client<'a> {
        Client::new(router, self.addresses[router], self.log, self.experiment.deadline_ms, self.ids)
    }

    /// Subjects one site after the other to a fault, in an order drawn from the seed.
    fn run_faults(&mut self, duration: Duration, seed: u64) -> FaultResults {
        let mut rng = rng(seed, FAULT_STREAM);
        let mut results = FaultResults::default();
        let first_site = (draw(&mut rng) * ROUTERS as f64) as usize;
        let first_fault = (draw(&mut rng) * SiteFault::ALL.len() as f64) as usize;
        for i in 0..SiteFault::ALL.len() {
            let fault = SiteFault::ALL[(i + first_fault) % SiteFault::ALL.len()];
            let site = (first_site + i) % ROUTERS;
            std::thread::sleep(duration / PAUSE_DIVISOR);
            let (from_ms, before) = (self.log.now_ms(), self.log.records().len());
            if let Err(message) =
                inject_fault(&mut self.rig, fault, site, self.experiment, duration, &mut rng)
            {
                results.messages.push(message);
            }
            if fault == SiteFault::Killed {
                results.downtimes.push(Downtime { router: site, from_ms, to_ms: self.log.now_ms() });
            }
            let during = self.first_requests_since(before);
            self.evaluate_fault(fault, site, during, &mut results);
        }
        results
    }

    /// Returns the records from this index on, without requests for continuations.
    fn first_requests_since(&self, index: usize) -> Vec<RequestRecord> {
        let records = self.log.records();
        records[index..].iter().filter(|record| record.continuation.is_none()).cloned().collect()
    }

    /// Counts the requests that a fault affected, and requests their continuations.
    fn evaluate_fault(
        &self,
        fault: SiteFault,
        site: usize,
        during: Vec<RequestRecord>,
        results: &mut FaultResults,
    ) {
        let affected = |record: &&RequestRecord| record.answer().is_some() && !record.has_status(COMPLETE);
        let affected = during.iter().filter(affected).count();
        results.figures.insert(format!("touched_{}", fault.name()), affected as f64);
        let mut partial: Vec<RequestRecord> =
            during.into_iter().filter(|record| record.offered_continuation().is_some()).collect();
        let misses_site = |record: &RequestRecord| {
            record.offered_continuation().is_some_and(|c| c.missing.contains(&(site as u64)))
        };
        let unreachable = matches!(fault, SiteFault::Lost | SiteFault::Killed);
        results.lost_sites += u64::from(unreachable && (affected > 0 || partial.iter().any(misses_site)));
        let latest = partial.split_off(partial.len().saturating_sub(MAX_CONTINUATIONS));
        // New connections: routers close those that were idle for the length of a fault.
        let mut clients: Vec<Client<'_>> = (0..ROUTERS).map(|router| self.client(router)).collect();
        let counts = complete_continuations(latest, &mut clients);
        results.continuations.completed += counts.completed;
        results.continuations.open += counts.open;
    }
}

/// Runs the router processes under all faults.
pub fn run(experiment: &Experiment, quick: bool, seed: u64) -> Result<RunResult, String> {
    let rig = start_rig(experiment, seed)?;
    let addresses = rig.routers.iter().map(|router| router.client_relay.address).collect();
    let (log, ids) = (RequestLog::new(), AtomicU64::new(1));
    let mut cluster = Cluster { experiment, rig, addresses, log: &log, ids: &ids };
    let duration = Duration::from_millis(experiment.fault_ms.get(quick));
    let stop = AtomicBool::new(false);
    let results = std::thread::scope(|scope| {
        for n in 0..experiment.clients_per_router * ROUTERS as u64 {
            let mut client = cluster.client(n as usize % ROUTERS);
            let (stop, mut rng) = (&stop, rng(seed, CLIENT_STREAM + n));
            scope.spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let object = 1 + (draw(&mut rng) * experiment.objects as f64) as u64;
                    let _ = client.request(object, PARTS.to_vec(), None);
                    std::thread::sleep(Duration::from_millis(experiment.pause_ms));
                }
            });
        }
        let results = cluster.run_faults(duration, seed);
        stop.store(true, Ordering::SeqCst);
        results
    });
    let records = log.records();
    let violations = find_violations(&records, &results.downtimes, experiment.deadline_ms);
    let figures = process_figures(&records, &results, violations.len());
    let seconds = answered_by_second(&records, log.now_ms());
    let mut messages = results.messages;
    messages.extend(violations.into_iter().take(MAX_REPORTED_VIOLATIONS));
    Ok(RunResult { routers: ROUTERS, variant: Variant::Described, figures, seconds, messages })
}

/// Returns the figures of all requests and faults.
fn process_figures(records: &[RequestRecord], results: &FaultResults, violations: usize) -> Figures {
    let first = || records.iter().filter(|record| record.continuation.is_none());
    let with_status = |status: &str| first().filter(|record| record.has_status(status)).count() as f64;
    let unanswered = first().filter(|record| record.answers.is_empty()).count();
    let partial = records.iter().filter(|record| record.offered_continuation().is_some()).count();
    let latency = |record: &RequestRecord| Some(record.answer()?.at_ms - record.sent_ms);
    let mut latencies: Vec<u64> = first().filter_map(latency).collect();
    latencies.sort_unstable();
    let quantile =
        |q: f64| latencies.get((latencies.len() as f64 * q) as usize).map_or(f64::NAN, |ms| *ms as f64);
    let own = [
        ("asked", first().count() as f64),
        ("whole", with_status(COMPLETE)),
        ("part", with_status(PARTIAL)),
        ("refused", with_status(REJECTED)),
        ("failed", with_status(FAILED)),
        ("lost", unanswered as f64),
        ("debts_kept", partial as f64),
        ("debts_paid", results.continuations.completed as f64),
        ("debts_left", results.continuations.open as f64),
        ("sites_lost", results.lost_sites as f64),
        ("rules_broken", violations as f64),
        ("unmended", results.messages.len() as f64),
        ("p50_ms", quantile(0.5)),
        ("p99_ms", quantile(0.99)),
    ];
    let mut figures = results.figures.clone();
    figures.extend(own.map(|(name, value)| (name.to_string(), value)));
    figures
}

/// Returns the share of the requests of each second that were answered completely or in part.
fn answered_by_second(records: &[RequestRecord], end_ms: u64) -> Vec<f64> {
    let mut seconds = vec![(0.0, 0.0); 1 + end_ms as usize / 1000];
    for record in records.iter().filter(|record| record.continuation.is_none()) {
        let (requests, answered) = &mut seconds[record.sent_ms as usize / 1000];
        *requests += 1.0;
        *answered += f64::from(u8::from(record.has_status(COMPLETE) || record.has_status(PARTIAL)));
    }
    seconds.iter().map(answered_share).collect()
}
