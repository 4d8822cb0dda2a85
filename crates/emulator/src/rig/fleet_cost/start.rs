//! Starts a fleet: reserves its addresses, starts its processes, and waits until it is linked and bootstrapped.

use super::{
    Figures, FleetSetup, PurgeSource, ResourceUsage, RouterFleet, COUNTERS_TIMEOUT, MAX_FOUNDERS,
    MAX_ROUTERS, PURGE_SETTLES_MS, WARM_UP,
};
use crate::process::Process;
use crate::rig::router_process::router_config;
use crate::rig::spec::{router_settings, Spec};
use crate::standin::{wait_up_to, Cache, FetchBehaviour, ListedServer, EDGE, ORIGIN, PARENT};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread;
use std::time::Instant;
use tempfile::TempDir;

/// The number of processes that start at the same time: each opens a store, and the machine is shared.
const START_GROUP: usize = 6;
/// The port of all routers. Each router has an address of its own, so that no outgoing connection can have taken the port there.
const PORT: u16 = 17_101;
/// The number of subnets that are tried until one is free.
const SUBNETS: u64 = 64;
/// The last octet of the address that reserves a subnet. Those of routers are lower.
const RESERVATION_OCTET: u8 = 250;
/// The fleet has to be linked, and to be bootstrapped, within this multiple of the counters' time-out each.
const START_TIMEOUT_FACTOR: u32 = 3;

/// Reserves a subnet of loopback addresses, from 127.64.0.0/24 to 127.127.255.0/24: the process that listens at a subnet's reservation
/// address owns it. The process id and the seed determine the first subnet that is tried, so that concurrent runs rarely collide.
fn reserve_subnet(seed: u64) -> Result<(Ipv4Addr, TcpListener), String> {
    let first = u64::from(std::process::id()) ^ seed << 9;
    let reserved = (first..first + SUBNETS).find_map(|number| {
        let [.., high, low] = number.to_be_bytes();
        let second_octet = 64 | (high & 63);
        let address = Ipv4Addr::new(127, second_octet, low, RESERVATION_OCTET);
        let listener = TcpListener::bind((address, PORT)).ok()?;
        Some((Ipv4Addr::new(127, second_octet, low, 0), listener))
    });
    reserved.ok_or_else(|| format!("none of {SUBNETS} subnets of loopback addresses is free"))
}

/// Starts a cache that returns the age limit of a fetch as the body, which shows whether a purge is in effect at the router.
fn start_cache() -> Cache {
    Cache::start(|fetch| FetchBehaviour::Ok(fetch.field("oldest").unwrap_or("any").into()))
}

fn elapsed_ms(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1000.0
}

impl RouterFleet {
    /// Starts a fleet, and waits until it is bootstrapped.
    ///
    /// # Errors
    /// See [`measure_fleet`](super::measure_fleet).
    pub fn start(setup: &FleetSetup) -> Result<Self, String> {
        let count = setup.routers;
        if !(3..=MAX_ROUTERS).contains(&count) {
            return Err(format!("expected from 3 to {MAX_ROUTERS} routers, found {count}"));
        }
        let folder = TempDir::new().map_err(|e| format!("creating the fleet's folder: {e}"))?;
        let (subnet, reservation) = reserve_subnet(setup.seed)?;
        let mut fleet = Self {
            routers: Vec::new(),
            purge_source: PurgeSource::new(setup.seed),
            subnet,
            _reservation: reservation,
            start_figures: Figures::new(),
            active: Arc::new(AtomicBool::new(true)),
            caches: (0..3).map(|_| start_cache()).collect(),
            folder,
        };
        if let Some(interval) = setup.heartbeat {
            fleet.purge_source.send_heartbeats(interval, &fleet.active);
        }
        let founders = if setup.fleet { count.min(MAX_FOUNDERS) } else { count };
        if founders < count {
            fleet.start_routers(setup, founders)?;
            fleet.wait_until_bootstrapped(setup)?;
            fleet.shut_down();
        }
        let start = Instant::now();
        fleet.start_routers(setup, count)?;
        let listening_ms = elapsed_ms(start);
        fleet.wait_until_linked(setup)?;
        let linked_ms = elapsed_ms(start);
        fleet.wait_until_bootstrapped(setup)?;
        let bootstrapped_ms = elapsed_ms(start);
        let usage = ResourceUsage::now(&fleet.routers, fleet.subnet)?;
        fleet.start_figures = Figures::from([
            ("founders".to_string(), founders as f64),
            ("start_listening_ms".to_string(), listening_ms),
            ("start_joined_ms".to_string(), linked_ms),
            ("start_table_ms".to_string(), bootstrapped_ms),
            ("start_cpu_ms".to_string(), usage.cpu_ns() / 1e6 / count as f64),
        ]);
        thread::sleep(WARM_UP);
        Ok(fleet)
    }

    /// Starts the first `count` routers as a fleet of that size.
    fn start_routers(&mut self, setup: &FleetSetup, count: usize) -> Result<(), String> {
        let mut spec = Spec::new(&setup.binary, count);
        spec.extra_settings = if setup.overlay { json!({"overlay": {}}) } else { json!({}) };
        spec.fleet = setup.fleet;
        spec.purge_settles_ms = PURGE_SETTLES_MS;
        let mut routers = Vec::new();
        let all: Vec<usize> = (0..count).collect();
        for group in all.chunks(START_GROUP) {
            let started: Vec<Result<Process, String>> = thread::scope(|scope| {
                let start = |router: usize| {
                    let (fleet, spec) = (&*self, &spec);
                    scope.spawn(move || fleet.start_router(spec, router))
                };
                let threads: Vec<_> = group.iter().map(|router| (*router, start(*router))).collect();
                let panicked = |router| Err(format!("the thread that starts router {router} panicked"));
                let results = threads.into_iter();
                results.map(|(router, t)| t.join().unwrap_or_else(|_| panicked(router))).collect()
            });
            for process in started {
                routers.push(process?);
            }
        }
        self.routers = routers;
        Ok(())
    }

    fn start_router(&self, spec: &Spec, router: usize) -> Result<Process, String> {
        let kinds = [(EDGE, "box"), (PARENT, "parent"), (ORIGIN, "origin")];
        let listed = |((id, kind), cache): (_, &Cache)| ListedServer { id, address: cache.address, kind };
        let servers: Vec<ListedServer> = kinds.into_iter().zip(&self.caches).map(listed).collect();
        // The first router watches a change log of its own.
        let change_log = &self.purge_source.change_logs[usize::from(router > 0)];
        let config = router_config(spec, router, &servers, change_log.address);
        let others = (0..spec.locations.len()).filter(|peer| *peer != router);
        let peers: Vec<(usize, SocketAddr)> = others.map(|peer| (peer, self.address(peer))).collect();
        let data_folder = self.folder.path().join(format!("lasting-{router}"));
        std::fs::create_dir_all(&data_folder)
            .map_err(|e| format!("creating {}: {e}", data_folder.display()))?;
        let settings = router_settings(spec, router, self.address(router), &data_folder, None, &peers);
        Process::start_in_dir(&spec.binary, self.folder.path(), router, &config, &settings)
    }

    fn address(&self, router: usize) -> SocketAddr {
        let [first, second, third, _] = self.subnet.octets();
        SocketAddr::from((Ipv4Addr::new(first, second, third, router as u8 + 1), PORT))
    }

    fn wait_until_linked(&self, setup: &FleetSetup) -> Result<(), String> {
        let links = (self.routers.len() - 1) as f64;
        if self.wait_for_counter(setup, "peers_up", |up| up >= links) {
            Ok(())
        } else {
            Err(format!("not all of {} routers are linked to each other", self.routers.len()))
        }
    }

    fn wait_until_bootstrapped(&self, setup: &FleetSetup) -> Result<(), String> {
        if self.wait_for_counter(setup, "table_version", |version| version > 0.0) {
            Ok(())
        } else {
            Err(format!("not all of {} routers have a placement table", self.routers.len()))
        }
    }

    /// Waits until a counter of each router fulfils a condition; returns false on a time-out. Routers that are no fleet are not waited for.
    fn wait_for_counter(&self, setup: &FleetSetup, name: &str, fulfils: impl Fn(f64) -> bool) -> bool {
        let router_fulfils = |router: &Process| {
            let counters = router.counters(COUNTERS_TIMEOUT).unwrap_or_default();
            !setup.fleet || counters.get(name).is_some_and(|value| fulfils(*value))
        };
        wait_up_to(COUNTERS_TIMEOUT * START_TIMEOUT_FACTOR, || self.routers.iter().all(router_fulfils))
    }
}
