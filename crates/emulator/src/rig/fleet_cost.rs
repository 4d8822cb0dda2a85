//! Many routers as processes, each linked to all others directly: what they cost at rest and under purges, as the kernel counts it.
//!
//! The other rig breaks links and needs a relay on each; here nothing is broken, so that what is counted is the routers' own.
//! Processes are started in small groups, every wait is bounded, and what was started is ended by its id, also where a run fails.

mod change_log_delivery;
#[cfg(test)]
mod change_log_delivery_tests;
mod purge_latency;
mod usage;

pub use change_log_delivery::measure_change_log_delivery;
pub use usage::{Cost, Figures};

use super::router_process::router_config;
use super::spec::{router_settings, Location, Spec};
use crate::process::Process;
use crate::standin::{
    unix_ms, wait_up_to, Cache, ChangeLog, FetchBehaviour, ListedServer, EDGE, ORIGIN, PARENT,
};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// A fleet is founded by 64 routers at the most; a larger one begins with so many, and the others come to it.
pub const MOST_FOUNDERS: usize = 60;
/// More addresses than this there are not in the row of loopback addresses that a run takes.
pub const MOST_ROUTERS: usize = 200;
/// Processes that start at a time: a start opens a store, and the machine is not this run's alone.
const GROUP: usize = 6;
/// The port of all of them; each has an address of its own, so no outgoing connection can have taken it.
const PORT: u16 = 17_101;
/// Rows of addresses that are tried for a free one.
const ROWS: u64 = 64;
/// The last number of the address by which a row is taken: beyond those of the routers.
const LAST: u8 = 250;
/// Counters are waited for so long: a machine with more processes than cores takes its time.
const COUNTERS: Duration = Duration::from_secs(20);
/// Purges run for so long before a window begins, and links rest for so long after a start.
const SETTLED: Duration = Duration::from_secs(2);
/// A purge has settled after this time, as the platform's file says.
const SETTLES_MS: u64 = 6_000;

/// What is run.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// The program.
    pub binary: PathBuf,
    /// Routers.
    pub routers: usize,
    /// Rates of purges on the change log, a second, one window after another; 0 is rest.
    pub purge_rates: Vec<f64>,
    /// A window's length.
    pub window: Duration,
    /// Objects and addresses are drawn from it.
    pub seed: u64,
    /// Signs of life of the change log come so far apart; `None`: as the stand-in gives them, 50 ms.
    pub heartbeat: Option<Duration>,
    /// Whether they are a fleet; without it each is on its own, as a baseline.
    pub fleet: bool,
    /// Whether purges travel by the overlay.
    pub overlay: bool,
    /// How often it is measured in each window how long a purge takes that only one router hears.
    pub probes_per_window: usize,
}

impl FleetSetup {
    /// So many, at rest, in windows of 10 s.
    pub fn new(binary: &Path, routers: usize) -> Self {
        let (rates, window) = (vec![0.0], Duration::from_secs(10));
        let binary = binary.to_path_buf();
        Self {
            binary,
            routers,
            purge_rates: rates,
            window,
            seed: 1,
            heartbeat: None,
            fleet: true,
            overlay: false,
            probes_per_window: 3,
        }
    }
}

/// Runs it; a row for each rate.
///
/// # Errors
/// If a router does not come up or says no counters; with what it said last. All processes are ended by then.
pub fn measure_fleet(many: &FleetSetup) -> Result<Vec<Figures>, String> {
    let mut crowd = RouterFleet::start(many)?;
    let mut rows = Vec::new();
    for (n, rate) in many.purge_rates.iter().enumerate() {
        if n > 0 {
            // A window does not begin with what is left of the one before.
            thread::sleep(Duration::from_millis(SETTLES_MS) + SETTLED);
        }
        rows.push(crowd.measure_window(many, *rate)?);
    }
    crowd.shut_down();
    Ok(rows)
}

/// Takes a row of loopback addresses: whoever listens at its last one has it.
fn row(seed: u64) -> Result<(Ipv4Addr, TcpListener), String> {
    let first = u64::from(std::process::id()) ^ seed << 9;
    let taken = (first..first + ROWS).find_map(|row| {
        let [.., high, low] = row.to_be_bytes();
        let last = Ipv4Addr::new(127, 64 | (high & 63), low, LAST);
        let claim = TcpListener::bind((last, PORT)).ok()?;
        Some((Ipv4Addr::new(127, 64 | (high & 63), low, 0), claim))
    });
    taken.ok_or_else(|| format!("no row of loopback addresses is free, of {ROWS}"))
}

/// Routers that run. Dropped, it ends them.
pub struct RouterFleet {
    /// The processes.
    pub routers: Vec<Process>,
    /// The first is followed by the first router alone, the other by all others.
    logs: [ChangeLog; 2],
    purges: Arc<AtomicU64>,
    seed: u64,
    /// The routers' addresses; each run has a row of its own, since others may run beside it.
    row: Ipv4Addr,
    _claim: TcpListener,
    started: Figures,
    beating: Arc<AtomicBool>,
    _caches: Vec<Cache>,
    dir: TempDir,
}

impl RouterFleet {
    /// Starts all, and waits until they go by a table.
    ///
    /// # Errors
    /// See [`measure_fleet`].
    pub fn start(many: &FleetSetup) -> Result<Self, String> {
        let n = many.routers;
        if !(3..=MOST_ROUTERS).contains(&n) {
            return Err(format!("from 3 to {MOST_ROUTERS} routers, not {n}"));
        }
        let dir = TempDir::new().map_err(|e| format!("a folder for the run: {e}"))?;
        let (row, claim) = row(many.seed)?;
        // What is asked of a copy's age is what the answer says: a purge that is heeded shows in it.
        let cache =
            || Cache::start(|fetch| FetchBehaviour::Ok(fetch.field("oldest").unwrap_or("any").into()));
        let mut crowd = Self {
            routers: Vec::new(),
            logs: [ChangeLog::start(), ChangeLog::start()],
            purges: Arc::default(),
            seed: many.seed,
            row,
            _claim: claim,
            started: Figures::new(),
            beating: Arc::new(AtomicBool::new(true)),
            _caches: (0..3).map(|_| cache()).collect(),
            dir,
        };
        if let Some(beat) = many.heartbeat {
            crowd.beat(beat);
        }
        let founders = if many.fleet { n.min(MOST_FOUNDERS) } else { n };
        let mut begun = Instant::now();
        if founders < n {
            crowd.begin(many, founders)?;
            crowd.founded(many)?;
            crowd.shut_down();
            begun = Instant::now();
        }
        crowd.begin(many, n)?;
        let listening = begun.elapsed().as_secs_f64() * 1000.0;
        let joined = |p: &Process| {
            let counters = p.counters(COUNTERS).unwrap_or_default();
            !many.fleet || counters.get("peers_up").is_some_and(|up| *up as usize + 1 >= n)
        };
        if !wait_up_to(COUNTERS * 3, || crowd.routers.iter().all(joined)) {
            return Err("the routers do not all reach each other".into());
        }
        let joined = begun.elapsed().as_secs_f64() * 1000.0;
        crowd.founded(many)?;
        let founded = begun.elapsed().as_secs_f64() * 1000.0;
        let cost = Cost::now(&crowd.routers, crowd.row)?;
        crowd.started = Figures::from([
            ("founders".to_string(), founders as f64),
            ("start_listening_ms".to_string(), listening),
            ("start_joined_ms".to_string(), joined),
            ("start_table_ms".to_string(), founded),
            ("start_cpu_ms".to_string(), cost.cpu_ns() / 1e6 / n as f64),
        ]);
        thread::sleep(SETTLED);
        Ok(crowd)
    }

    /// Starts the first so many, each with all of these as its peers.
    fn begin(&mut self, many: &FleetSetup, n: usize) -> Result<(), String> {
        let mut spec = Spec::new(&many.binary, n);
        spec.extra_settings = if many.overlay { json!({"overlay": {}}) } else { json!({}) };
        spec.fleet = many.fleet;
        spec.purge_settles_ms = SETTLES_MS;
        spec.locations.iter_mut().zip(1..).for_each(|(place, r)| {
            *place = Location { branch: place.branch.clone(), machine: format!("m{r}") };
        });
        let [one, two, three, _] = self.row.octets();
        let at = |r: usize| SocketAddr::from((Ipv4Addr::new(one, two, three, r as u8 + 1), PORT));
        let kinds = [(EDGE, "box"), (PARENT, "parent"), (ORIGIN, "origin")];
        let begin = |r: usize| {
            let listed: Vec<ListedServer> = kinds
                .iter()
                .zip(&self._caches)
                .map(|((id, kind), c)| ListedServer { id: *id, address: c.address, kind })
                .collect();
            let log = &self.logs[usize::from(r > 0)];
            let config = router_config(&spec, r, &listed, log.address);
            let peers: Vec<(usize, SocketAddr)> = (0..n).filter(|p| *p != r).map(|p| (p, at(p))).collect();
            let folder = self.dir.path().join(format!("lasting-{r}"));
            std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            let text = router_settings(&spec, r, at(r), &folder, None, &peers);
            Process::start_in_dir(&spec.binary, self.dir.path(), r, &config, &text)
        };
        let mut routers = Vec::new();
        for group in (0..n).collect::<Vec<_>>().chunks(GROUP) {
            let started: Vec<_> = thread::scope(|s| {
                let all: Vec<_> = group.iter().map(|r| s.spawn(|| begin(*r))).collect();
                all.into_iter().map(|t| t.join().unwrap_or_else(|_| Err("a start panicked".into()))).collect()
            });
            for process in started {
                routers.push(process?);
            }
        }
        self.routers = routers;
        Ok(())
    }

    /// Waits until all go by a table.
    fn founded(&self, many: &FleetSetup) -> Result<(), String> {
        let goes = |p: &Process| {
            let counters = p.counters(COUNTERS).unwrap_or_default();
            !many.fleet || counters.get("table_version").is_some_and(|version| *version > 0.0)
        };
        match wait_up_to(COUNTERS * 3, || self.routers.iter().all(goes)) {
            true => Ok(()),
            false => Err("the routers do not all go by a table".into()),
        }
    }

    /// Signs of life of the change logs, so far apart, in place of the stand-in's own 50 ms.
    fn beat(&self, beat: Duration) {
        let (logs, on) = (self.logs.clone(), Arc::clone(&self.beating));
        thread::spawn(move || {
            while on.load(Ordering::SeqCst) {
                logs.iter().for_each(|log| log.heartbeats.store(true, Ordering::SeqCst));
                // The stand-in looks every 50 ms: one sign or two.
                thread::sleep(Duration::from_millis(55));
                logs.iter().for_each(|log| log.heartbeats.store(false, Ordering::SeqCst));
                thread::sleep(beat.saturating_sub(Duration::from_millis(55)));
            }
        });
    }

    /// The change logs of these tell of a purge that happens now; gives the object.
    fn purge(logs: &[&ChangeLog], purges: &AtomicU64, seed: u64) -> u64 {
        let object = (seed << 40) + purges.fetch_add(1, Ordering::SeqCst) + 1;
        let payload = [object.to_be_bytes(), unix_ms().to_be_bytes()].concat();
        for log in logs {
            // The start's configuration knows the first event.
            let number = log.frames.lock().map_or(0, |f| f.len() as u64) + 2;
            log.publish(number, 3, &payload);
        }
        object
    }

    /// Purges at that rate, on both change logs, until told otherwise.
    fn purging(&self, rate: f64, on: &Arc<AtomicBool>, one: &Arc<Mutex<()>>) {
        if rate <= 0.0 {
            return;
        }
        let (logs, purges, seed) = (self.logs.clone(), Arc::clone(&self.purges), self.seed);
        let (on, one) = (Arc::clone(on), Arc::clone(one));
        thread::spawn(move || {
            let begun = Instant::now();
            for n in 1u32.. {
                let due = begun + Duration::from_secs_f64(f64::from(n) / rate);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if !on.load(Ordering::SeqCst) {
                    return;
                }
                let _one = one.lock();
                Self::purge(&logs.iter().collect::<Vec<_>>(), &purges, seed);
            }
        });
    }

    /// A window at that rate, as a row.
    ///
    /// # Errors
    /// If a router has ended or says no counters.
    pub fn measure_window(&mut self, many: &FleetSetup, rate: f64) -> Result<Figures, String> {
        let (on, one) = (Arc::new(AtomicBool::new(true)), Arc::<Mutex<()>>::default());
        self.purging(rate, &on, &one);
        let row = self.counted(many, rate, &one);
        on.store(false, Ordering::SeqCst);
        row
    }

    fn counted(&mut self, many: &FleetSetup, rate: f64, one: &Mutex<()>) -> Result<Figures, String> {
        thread::sleep(SETTLED);
        let told = self.told()?;
        let before = Cost::now(&self.routers, self.row)?;
        thread::sleep(many.window);
        let after = Cost::now(&self.routers, self.row)?;
        let told_after = self.told()?;
        let mut row = after.since(&before, &self.routers)?;
        row.extend(usage::counters(&told, &told_after));
        row.extend(self.started.clone());
        if many.fleet {
            row.extend(self.heeded(many.probes_per_window, one)?);
        }
        let set = [
            ("routers", self.routers.len() as f64),
            ("purges_per_s", rate),
            ("seed", self.seed as f64),
            ("beat_ms", many.heartbeat.map_or(50.0, |b| b.as_secs_f64() * 1000.0)),
            ("cores", thread::available_parallelism().map_or(0.0, |n| n.get() as f64)),
        ];
        row.extend(set.map(|(name, value)| (name.to_string(), value)));
        Ok(row)
    }

    /// All counters of all routers, and when they were told.
    fn told(&self) -> Result<Vec<usage::Told>, String> {
        let tell = |p: &Process| p.counters(COUNTERS).map(|c| (Instant::now(), c));
        let all: Vec<_> = thread::scope(|s| {
            let all: Vec<_> = self.routers.iter().map(|p| s.spawn(move || tell(p))).collect();
            all.into_iter().map(|t| t.join().unwrap_or(None)).collect()
        });
        all.into_iter().collect::<Option<_>>().ok_or_else(|| "a router says no counters".to_string())
    }

    /// Ends all in order, and waits for that; whoever does not end is killed.
    pub fn shut_down(&mut self) {
        self.routers.iter().for_each(Process::terminate);
        self.routers.iter_mut().for_each(|p| {
            p.wait_for_exit();
        });
        self.routers.clear();
    }
}

impl Drop for RouterFleet {
    fn drop(&mut self) {
        self.beating.store(false, Ordering::SeqCst);
        self.logs.iter().for_each(|log| log.down.store(true, Ordering::SeqCst));
    }
}
