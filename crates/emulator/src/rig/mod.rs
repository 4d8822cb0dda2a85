//! A test rig: several routers as processes, a relay on each link between any two endpoints, faults of links and processes, and a checker
//! that knows only what clients, stand-ins and links observed.
//!
//! - [`spec`]: the specification of a rig, and the settings of its routers;
//! - [`link`], [`relay`]: links that delay, cut, drop, throttle, duplicate, corrupt and reset;
//! - [`router_process`]: a router's process, folders and addresses;
//! - [`availability`]: unavailable and isolated routers, and waiting for the fleet to recover;
//! - [`archive`], [`client_connection`]: the archive behind the caches, and the clients of the routers;
//! - [`history`], [`checker`]: the observations, and whether they conform to the guarantees;
//! - [`faults`], [`load`], [`scenario`]: scripted and random faults, a load generator, and a whole run of both;
//! - [`fleet_cost`]: the resources that many routers without relays use.

pub mod archive;
pub mod availability;
pub mod checker;
pub mod client_connection;
pub mod faults;
pub mod fleet_cost;
pub mod history;
pub mod link;
pub mod load;
pub mod relay;
pub mod router_process;
pub mod scenario;
pub mod spec;

pub use archive::Archive;
pub use checker::{check_history, HistoryCounts, Limits, Rule, Violation};
pub use client_connection::ClientConnection;
pub use history::{Event, History, Outcome, RequestKind, RequestNumber};
pub use link::{ChunkFault, Link, LinkConditions, LinkStatistics};
pub use relay::{Relay, RelayThread};
pub use router_process::RouterProcess;
pub use spec::{Location, Spec};

use crate::net::frame_kind::PURGE_OBJECT;
use crate::standin::{unix_ms, Cache, ChangeLog};
use router_process::RouterSetup;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The possible numbers of routers of a rig.
const ROUTER_COUNTS: RangeInclusive<usize> = 3..=9;
/// The number of caches of a rig: an edge cache, a parent and the origin.
const CACHES: usize = 3;
/// The time-out of a probe of whether a router serves.
const SERVING_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time between two probes of whether a router serves.
const SERVING_PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// An endpoint of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// A router.
    Router(usize),
    /// A cache, by its index in [`Rig::caches`].
    Cache(usize),
    /// All clients.
    Clients,
}

/// The links of a rig, by the sender and the receiver of the direction.
type Links = BTreeMap<(Endpoint, Endpoint), Link>;

/// A running rig. Dropping it ends the processes and threads that it started.
pub struct Rig {
    /// The specification of the rig.
    pub spec: Spec,
    /// The archive behind all caches.
    pub archive: Archive,
    /// Everything that was observed so far.
    pub history: History,
    /// An edge cache, a parent and the origin.
    pub caches: Vec<Cache>,
    /// A change log for each router, so that a purge can be sent to some routers only.
    pub change_logs: Vec<ChangeLog>,
    /// The routers.
    pub routers: Vec<RouterProcess>,
    links: Links,
    /// The last sequence number of each change log. The configuration that routers start with has number 1.
    last_sequence_numbers: Vec<u64>,
    default_delay_ms: (f64, f64),
    /// Routers whose replicas are unavailable to the others.
    unavailable: RefCell<BTreeSet<usize>>,
    /// Routers that lost their disk and have not served requests since.
    wiped: RefCell<BTreeSet<usize>>,
    rules_file: Option<PathBuf>,
    _relay_thread: RelayThread,
    _folder: TempDir,
}

impl Rig {
    /// Sets up a rig and starts all routers; they may not be serving yet.
    ///
    /// # Errors
    /// If the number of routers is not from 3 to 9, or a router does not start; the error ends with the router's last log lines.
    pub fn start(spec: Spec) -> Result<Self, String> {
        let mut rig = Self::set_up(spec)?;
        for router in 0..rig.len() {
            rig.start_router(router)?;
        }
        Ok(rig)
    }

    /// Sets up a rig without starting a router.
    ///
    /// # Errors
    /// If the number of routers is not from 3 to 9, a folder can't be created, or a port can't be bound.
    pub fn set_up(spec: Spec) -> Result<Self, String> {
        let router_count = spec.locations.len();
        if !ROUTER_COUNTS.contains(&router_count) {
            let (min, max) = (ROUTER_COUNTS.start(), ROUTER_COUNTS.end());
            return Err(format!("expected from {min} to {max} routers, found {router_count}"));
        }
        let folder = TempDir::new().map_err(|e| format!("creating the rig's folder: {e}"))?;
        let rules_file = write_rules(&spec, folder.path())?;
        let history = History::default();
        let archive = Archive::new(history.clone());
        let caches: Vec<Cache> = (0..CACHES).map(|_| archive.cache()).collect();
        let change_logs: Vec<ChangeLog> = (0..router_count).map(|_| ChangeLog::start()).collect();
        let links = create_links(router_count, spec.seed);
        let relays = RelayThread::start()?;
        let mut routers = Vec::new();
        for (router, change_log) in change_logs.iter().enumerate() {
            let endpoint = Endpoint::Router(router);
            let relay = |from: Endpoint, to: Endpoint, target: Option<SocketAddr>| {
                relays.start_relay(links[&(from, to)].clone(), links[&(to, from)].clone(), target)
            };
            let to_peer = |peer| Ok((peer, relay(endpoint, Endpoint::Router(peer), None)?));
            let to_cache =
                |(i, cache): (usize, &Cache)| relay(endpoint, Endpoint::Cache(i), Some(cache.address));
            let peers = (0..router_count).filter(|peer| *peer != router);
            let setup = RouterSetup {
                peer_relays: peers.map(to_peer).collect::<Result<_, String>>()?,
                server_relays: caches.iter().enumerate().map(to_cache).collect::<Result<_, String>>()?,
                client_relay: relay(Endpoint::Clients, endpoint, None)?,
                change_log: change_log.address,
                rules: rules_file.clone(),
                spec: &spec,
            };
            let home = folder.path().join(spec::router_name(router));
            routers.push(RouterProcess::new(router, home, setup)?);
        }
        Ok(Self {
            spec,
            archive,
            history,
            caches,
            change_logs,
            routers,
            links,
            last_sequence_numbers: vec![1; router_count],
            default_delay_ms: (0.0, 0.0),
            unavailable: RefCell::default(),
            wiped: RefCell::default(),
            rules_file,
            _relay_thread: relays,
            _folder: folder,
        })
    }

    /// The number of routers.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Always false: [`Rig::set_up`] requires routers.
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    // ---- Processes ----

    /// Starts a router that is not running.
    ///
    /// # Errors
    /// If the router does not listen in time; the error ends with its last log lines.
    pub fn start_router(&mut self, router: usize) -> Result<(), String> {
        self.routers[router].start(&self.spec)?;
        self.update_relay_targets();
        Ok(())
    }

    /// Sets whether a router's disk is full: while it is, none of its files grows.
    pub fn set_disk_full(&self, router: usize, full: bool) {
        let state = if full { "is full" } else { "has space again" };
        self.record_fault(format!("the disk of router {router} {state}"));
        self.routers[router].set_disk_full(full);
        self.set_unavailable(router, full);
    }

    /// Points the relays in front of routers to the routers' current addresses.
    fn update_relay_targets(&self) {
        for (index, router) in self.routers.iter().enumerate() {
            let peer_address = router.is_running().then_some(router.peer_address);
            for relay in self.routers.iter().filter_map(|other| other.peer_relays.get(&index)) {
                relay.set_target(peer_address);
            }
            router.client_relay.set_target(router.client_address());
        }
    }

    /// Kills a router, whose durable data remain.
    pub fn kill(&mut self, router: usize) {
        self.record_down(router, "is killed");
        self.routers[router].kill();
        self.set_unavailable(router, true);
        self.update_relay_targets();
    }

    /// Requests a graceful shutdown of a router; [`RouterProcess::shut_down`] waits for its end.
    pub fn request_shutdown(&mut self, router: usize) {
        self.record_down(router, "is shut down");
        self.routers[router].request_shutdown();
        self.set_unavailable(router, true);
    }

    /// Kills a router and deletes its durable data, as if it got another disk.
    ///
    /// # Errors
    /// If the data can't be deleted.
    pub fn kill_and_wipe(&mut self, router: usize) -> Result<(), String> {
        self.kill(router);
        self.record_fault(format!("router {router} loses its disk"));
        self.wiped.borrow_mut().insert(router);
        self.routers[router].wipe()
    }

    /// Changes the address at which a router listens for peers from its next start on.
    ///
    /// # Errors
    /// If there is no free port.
    pub fn change_peer_address(&mut self, router: usize) -> Result<(), String> {
        self.record_fault(format!("router {router} will restart at another address"));
        self.routers[router].change_peer_address()
    }

    /// Suspends a router's process (`SIGSTOP`).
    pub fn suspend(&mut self, router: usize) {
        self.record_down(router, "is suspended");
        self.routers[router].signal("STOP");
        self.set_unavailable(router, true);
    }

    /// Resumes a suspended router (`SIGCONT`).
    pub fn resume(&mut self, router: usize) {
        self.record_fault(format!("router {router} is resumed"));
        self.routers[router].signal("CONT");
    }

    /// Waits until a router is serving, and records that it is; returns false on a time-out.
    pub fn wait_until_serving(&self, router: usize, timeout: Duration) -> bool {
        let start = Instant::now();
        let remaining = || timeout.saturating_sub(start.elapsed());
        while !remaining().is_zero() {
            let probe_timeout = remaining().min(SERVING_PROBE_TIMEOUT);
            if self.connect_client(router).is_ok_and(|client| client.is_serving(probe_timeout)) {
                self.history.record(Event::RouterDown { router, down: false });
                // A router with an empty disk stays unavailable until registers are replicated to it.
                if !self.wiped.borrow_mut().remove(&router) {
                    self.set_unavailable(router, false);
                }
                return true;
            }
            std::thread::sleep(SERVING_PROBE_INTERVAL);
        }
        false
    }

    /// A router's counters by name; none while it is not running or suspended.
    pub fn counters(&self, router: usize) -> BTreeMap<String, f64> {
        self.routers[router].counters()
    }

    // ---- Links ----

    /// One direction of the link between two endpoints.
    ///
    /// # Panics
    /// If there is no link between them.
    pub fn link(&self, from: Endpoint, to: Endpoint) -> &Link {
        self.links.get(&(from, to)).unwrap_or_else(|| panic!("no link from {from:?} to {to:?}"))
    }

    /// One direction of the link between two routers.
    pub fn router_link(&self, from: usize, to: usize) -> &Link {
        self.link(Endpoint::Router(from), Endpoint::Router(to))
    }

    /// Partitions a router from some others, in both directions; clients and caches still reach it.
    pub fn partition(&self, router: usize, others: &[usize]) {
        self.record_fault(format!("router {router} is partitioned from {others:?}"));
        for other in others.iter().filter(|other| **other != router) {
            self.router_link(router, *other).set_cut(true);
            self.router_link(*other, router).set_cut(true);
        }
        self.record_isolation();
    }

    /// Cuts only the direction from one router to another.
    pub fn partition_one_way(&self, from: usize, to: usize) {
        self.record_fault(format!("the link from router {from} to router {to} is cut"));
        self.router_link(from, to).set_cut(true);
        self.record_isolation();
    }

    /// Sets the range of delays of all links between routers when no fault affects them, in milliseconds.
    pub fn set_default_delay(&mut self, delay_ms: (f64, f64)) {
        self.default_delay_ms = delay_ms;
        self.router_links().for_each(|link| link.configure(|conditions| conditions.delay_ms = delay_ms));
    }

    /// All directions of all links between routers.
    fn router_links(&self) -> impl Iterator<Item = &Link> {
        let between_routers =
            |pair: &(Endpoint, Endpoint)| matches!(pair, (Endpoint::Router(_), Endpoint::Router(_)));
        self.links.iter().filter(move |(pair, _)| between_routers(pair)).map(|(_, link)| link)
    }

    /// The sum of the statistics of all links between routers.
    pub fn router_link_statistics(&self) -> LinkStatistics {
        let mut sum = LinkStatistics::default();
        self.router_links().for_each(|link| sum += link.statistics());
        sum
    }

    // ---- Clients, purges, rules ----

    /// Connects a client to a router, through the router's relay.
    ///
    /// # Errors
    /// If the connection fails.
    pub fn connect_client(&self, router: usize) -> Result<ClientConnection, String> {
        ClientConnection::connect(router, self.routers[router].client_relay.address, &self.history)
    }

    /// Purges an object, announced by the change logs of these routers only; returns the purge's time in Unix milliseconds.
    pub fn purge(&mut self, object: u64, routers: &[usize]) -> u64 {
        let purged_at_unix_ms = unix_ms();
        let payload = [object.to_be_bytes(), purged_at_unix_ms.to_be_bytes()].concat();
        for router in routers {
            let sequence_number = &mut self.last_sequence_numbers[*router];
            *sequence_number += 1;
            self.history.record(Event::PurgeAnnounced { router: *router, object, purged_at_unix_ms });
            self.change_logs[*router].publish(*sequence_number, PURGE_OBJECT, &payload);
        }
        purged_at_unix_ms
    }

    /// Replaces the placement rules file, and makes all routers reload it.
    ///
    /// # Errors
    /// If the rig has no rules file, or it can't be written.
    pub fn replace_rules(&mut self, text: &str) -> Result<(), String> {
        self.write_rules_file(text)?;
        self.record_fault("the rules file is replaced".into());
        self.routers.iter_mut().for_each(RouterProcess::reload);
        Ok(())
    }

    fn write_rules_file(&self, text: &str) -> Result<(), String> {
        let file = self.rules_file.as_ref().ok_or("the rig has no rules file")?;
        std::fs::write(file, text).map_err(|e| format!("writing {}: {e}", file.display()))
    }

    /// Records a fault in the history.
    pub fn record_fault(&self, description: String) {
        self.history.record(Event::Fault(description));
    }

    fn record_down(&self, router: usize, fault: &str) {
        self.record_fault(format!("router {router} {fault}"));
        self.history.record(Event::RouterDown { router, down: true });
    }
}

/// Writes the placement rules, if there are any, into a file for all routers.
fn write_rules(spec: &Spec, folder: &Path) -> Result<Option<PathBuf>, String> {
    let Some(text) = &spec.rules else { return Ok(None) };
    let file = folder.join("fleet.rules");
    std::fs::write(&file, text).map_err(|e| format!("writing {}: {e}", file.display()))?;
    Ok(Some(file))
}

/// Creates a link in each direction between any two endpoints. A link's number, which its random numbers depend on, follows this order.
fn create_links(router_count: usize, seed: u64) -> Links {
    let routers = (0..router_count).map(Endpoint::Router);
    let caches = (0..CACHES).map(Endpoint::Cache);
    let endpoints: Vec<Endpoint> = routers.chain(caches).chain([Endpoint::Clients]).collect();
    let pairs = endpoints.iter().flat_map(|from| endpoints.iter().map(|to| (*from, *to)));
    let distinct = pairs.filter(|(from, to)| from != to);
    distinct.zip(1..).map(|(pair, number)| (pair, Link::new(seed, number))).collect()
}
