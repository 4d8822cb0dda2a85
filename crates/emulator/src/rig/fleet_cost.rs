//! Measures the resources that many routers use, at rest and under purges, as the kernel counts them. The routers are processes that are
//! linked to each other directly: [`Rig`] puts a relay on each link, whose cost would be counted as well.
//!
//! Processes start in small groups, and every wait has a time-out. The processes end when the [`RouterFleet`] is dropped, also if a run
//! fails.
//!
//! [`Rig`]: super::Rig

mod change_log_delivery;
#[cfg(test)]
mod change_log_delivery_tests;
mod purge_latency;
mod start;
mod usage;

pub use change_log_delivery::measure_change_log_delivery;
pub use usage::{Figures, ResourceUsage};

use crate::net::frame_kind::PURGE_OBJECT;
use crate::process::Process;
use crate::standin::{unix_ms, Cache, ChangeLog};
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use usage::CounterSample;

/// The number of routers with which a larger fleet is bootstrapped before the others join. At most 64 can bootstrap a fleet.
pub const MAX_FOUNDERS: usize = 60;
/// The most routers of a fleet; each needs an address of the subnet.
pub const MAX_ROUTERS: usize = 200;
/// The time-out of a query of counters, which is slow on a machine with more processes than cores.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(20);
/// How long purges are made before a window begins, and how long a started fleet is left at rest.
const WARM_UP: Duration = Duration::from_secs(2);
/// The time after which a purge has taken effect, as the platform's configuration has it.
const PURGE_SETTLES_MS: u64 = 6_000;
/// The interval of the stand-in's heartbeats.
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(50);
/// How long the stand-in's heartbeats are enabled at a time. It sends one every 50 ms, so this sends one or two.
const HEARTBEAT_PULSE: Duration = Duration::from_millis(55);

/// The fleet that is measured, and the windows of the measurement.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// The router's program.
    pub binary: PathBuf,
    /// The number of routers.
    pub routers: usize,
    /// Purges per second of each window; 0 for a fleet at rest.
    pub purge_rates: Vec<f64>,
    /// The length of a window.
    pub window: Duration,
    /// The seed of objects and addresses.
    pub seed: u64,
    /// The interval of the change log's heartbeats; the stand-in's 50 ms if `None`.
    pub heartbeat: Option<Duration>,
    /// Whether the routers are a fleet. Otherwise they replicate nothing, which is the baseline.
    pub fleet: bool,
    /// Whether purges are disseminated by the overlay.
    pub overlay: bool,
    /// How often a window measures the latency of a purge that one router receives.
    pub probes_per_window: usize,
}

impl FleetSetup {
    /// A fleet at rest, measured for 10 s.
    pub fn new(binary: &Path, routers: usize) -> Self {
        Self {
            binary: binary.to_path_buf(),
            routers,
            purge_rates: vec![0.0],
            window: Duration::from_secs(10),
            seed: 1,
            heartbeat: None,
            fleet: true,
            overlay: false,
            probes_per_window: 3,
        }
    }
}

/// Measures a fleet; returns the figures of each window.
///
/// # Errors
/// If a router does not start, in which case the error has its last log lines, or returns no counters. All processes have ended by then.
pub fn measure_fleet(setup: &FleetSetup) -> Result<Vec<Figures>, String> {
    let mut fleet = RouterFleet::start(setup)?;
    let mut windows = Vec::new();
    for (i, purge_rate) in setup.purge_rates.iter().enumerate() {
        if i > 0 {
            // The purges of the previous window must have taken effect.
            thread::sleep(Duration::from_millis(PURGE_SETTLES_MS) + WARM_UP);
        }
        windows.push(fleet.measure_window(setup, *purge_rate)?);
    }
    fleet.shut_down();
    Ok(windows)
}

/// The change logs of a fleet, and the purges that they announce.
#[derive(Clone)]
struct PurgeSource {
    /// The first change log is watched by the first router alone, the second one by all other routers.
    change_logs: [ChangeLog; 2],
    /// The number of purges made so far.
    purges: Arc<AtomicU64>,
    /// The seed of the purged objects.
    seed: u64,
    /// Held while a purge is made, so that sequence numbers are in order.
    announcing: Arc<Mutex<()>>,
}

impl PurgeSource {
    fn new(seed: u64) -> Self {
        Self {
            change_logs: [ChangeLog::start(), ChangeLog::start()],
            purges: Arc::default(),
            seed,
            announcing: Arc::default(),
        }
    }

    /// Purges a new object, which only the change log of the first router announces; returns the object.
    fn purge_at_first_router(&self) -> u64 {
        let _announcing = self.announcing.lock();
        announce_purge(&[&self.change_logs[0]], &self.purges, self.seed)
    }

    /// Makes purges at a rate, announced to all routers, until `active` is cleared.
    fn purge_at_rate(&self, purges_per_s: f64, active: &Arc<AtomicBool>) {
        if purges_per_s <= 0.0 {
            return;
        }
        let (source, active) = (self.clone(), Arc::clone(active));
        thread::spawn(move || {
            let start = Instant::now();
            for n in 1u32.. {
                let due = start + Duration::from_secs_f64(f64::from(n) / purges_per_s);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if !active.load(Ordering::SeqCst) {
                    return;
                }
                let _announcing = source.announcing.lock();
                announce_purge(&source.change_logs.each_ref(), &source.purges, source.seed);
            }
        });
    }

    /// Sends heartbeats at an interval, in place of the stand-in's own, until `active` is cleared.
    fn send_heartbeats(&self, interval: Duration, active: &Arc<AtomicBool>) {
        let (change_logs, active) = (self.change_logs.clone(), Arc::clone(active));
        let set_enabled =
            |logs: &[ChangeLog], on| logs.iter().for_each(|l| l.heartbeats.store(on, Ordering::SeqCst));
        thread::spawn(move || {
            while active.load(Ordering::SeqCst) {
                set_enabled(&change_logs, true);
                thread::sleep(HEARTBEAT_PULSE);
                set_enabled(&change_logs, false);
                thread::sleep(interval.saturating_sub(HEARTBEAT_PULSE));
            }
        });
    }
}

/// Makes these change logs announce a purge of a new object; returns the object.
fn announce_purge(change_logs: &[&ChangeLog], purges: &AtomicU64, seed: u64) -> u64 {
    // The objects of runs with different seeds differ.
    let object = (seed << 40) + purges.fetch_add(1, Ordering::SeqCst) + 1;
    let payload = [object.to_be_bytes(), unix_ms().to_be_bytes()].concat();
    for log in change_logs {
        // Sequence number 1 is that of the configuration with which routers start.
        let sequence_number = log.frames.lock().map_or(0, |frames| frames.len() as u64) + 2;
        log.publish(sequence_number, PURGE_OBJECT, &payload);
    }
    object
}

/// A fleet of running routers. Dropping it ends them.
pub struct RouterFleet {
    /// The routers' processes.
    pub routers: Vec<Process>,
    purge_source: PurgeSource,
    /// The subnet of the routers' addresses. Each run has its own, since others may run at the same time.
    subnet: Ipv4Addr,
    /// Reserves the subnet.
    _reservation: TcpListener,
    /// The figures of the start.
    start_figures: Figures,
    /// Cleared when the fleet is dropped, which ends the heartbeats.
    active: Arc<AtomicBool>,
    caches: Vec<Cache>,
    folder: TempDir,
}

impl RouterFleet {
    /// Measures a window with purges at a rate.
    ///
    /// # Errors
    /// If a router has ended, or returns no counters.
    pub fn measure_window(&mut self, setup: &FleetSetup, purges_per_s: f64) -> Result<Figures, String> {
        let purging = Arc::new(AtomicBool::new(true));
        self.purge_source.purge_at_rate(purges_per_s, &purging);
        let figures = self.collect_figures(setup, purges_per_s);
        purging.store(false, Ordering::SeqCst);
        figures
    }

    fn collect_figures(&self, setup: &FleetSetup, purges_per_s: f64) -> Result<Figures, String> {
        thread::sleep(WARM_UP);
        let counters_before = self.sample_counters()?;
        let usage_before = ResourceUsage::now(&self.routers, self.subnet)?;
        thread::sleep(setup.window);
        let usage = ResourceUsage::now(&self.routers, self.subnet)?;
        let counters = self.sample_counters()?;
        let mut figures = usage.since(&usage_before, &self.routers)?;
        figures.extend(usage::counter_figures(&counters_before, &counters));
        figures.extend(self.start_figures.clone());
        if setup.fleet {
            figures.extend(self.measure_purge_latency(setup.probes_per_window));
        }
        let heartbeat = setup.heartbeat.unwrap_or(DEFAULT_HEARTBEAT);
        let parameters = [
            ("routers", self.routers.len() as f64),
            ("purges_per_s", purges_per_s),
            ("seed", setup.seed as f64),
            ("beat_ms", heartbeat.as_secs_f64() * 1000.0),
            ("cores", thread::available_parallelism().map_or(0.0, |n| n.get() as f64)),
        ];
        figures.extend(parameters.map(|(name, value)| (name.to_string(), value)));
        Ok(figures)
    }

    /// The counters of all routers, each sample with its time.
    fn sample_counters(&self) -> Result<Vec<CounterSample>, String> {
        let sample = |router: &Process| {
            let counters = router.counters(COUNTERS_TIMEOUT)?;
            Some(CounterSample { at: Instant::now(), counters })
        };
        let samples: Vec<Option<CounterSample>> = thread::scope(|scope| {
            let threads: Vec<_> = self.routers.iter().map(|r| scope.spawn(move || sample(r))).collect();
            threads.into_iter().map(|thread| thread.join().unwrap_or(None)).collect()
        });
        let missing = |router| format!("router {router} returns no counters within {COUNTERS_TIMEOUT:?}");
        let samples = samples.into_iter().enumerate();
        samples.map(|(router, sample)| sample.ok_or_else(|| missing(router))).collect()
    }

    /// Shuts all routers down gracefully, and waits until they have ended; kills those that do not end.
    pub fn shut_down(&mut self) {
        self.routers.iter().for_each(Process::terminate);
        for router in &mut self.routers {
            router.wait_for_exit();
        }
        self.routers.clear();
    }
}

impl Drop for RouterFleet {
    fn drop(&mut self) {
        self.active.store(false, Ordering::SeqCst);
        let change_logs = &self.purge_source.change_logs;
        change_logs.iter().for_each(|log| log.down.store(true, Ordering::SeqCst));
    }
}
