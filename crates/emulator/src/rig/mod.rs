//! Several routers as processes, with a relay on every directed link between any two parties, faults of links and processes, and a
//! checker that knows only what clients, stand-ins and links saw.
//!
//! - [`spec`]: what the rig is made of, and what its routers are started from;
//! - [`relay`]: links that delay, cut, drop, drip, repeat, break and reset;
//! - [`router_process`]: a router's process, its folder, its address, and faults of both;
//! - [`availability`]: which routers the fleet has to do without, and when it is whole again;
//! - [`archive`], [`client_connection`]: what routers stand before, and who asks them;
//! - [`history`], [`checker`]: what was seen, and whether it is what was promised;
//! - `table_faults`: faults of tables;
//! - [`fleet_cost`]: many routers without relays, and what they cost;
//! - [`faults`], [`load`], [`scenario`]: faults scripted or drawn from a seed, clients at a rate, and a whole run of both.

pub mod archive;
pub mod availability;
pub mod checker;
pub mod client_connection;
pub mod faults;
pub mod fleet_cost;
pub mod history;
mod linearizability;
pub mod load;
pub mod relay;
pub mod router_process;
pub mod scenario;
pub mod spec;
mod table_faults;

pub use archive::Archive;
pub use checker::{check_history, HistoryCounts, Limits, Rule, Violation};
pub use client_connection::ClientConnection;
pub use history::{Event, History, Outcome, RequestKind, RequestNumber};
pub use relay::{ChunkFault, Link, LinkConditions, LinkStatistics, Relay, RelayThread};
pub use router_process::RouterProcess;
pub use spec::{Location, Spec};

use crate::standin::{unix_ms, Cache, ChangeLog};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Whoever a link joins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// A router.
    Router(usize),
    /// A cache, parent or origin, by its place.
    Cache(usize),
    /// All clients.
    Clients,
}

/// The rig. Dropped, it ends what it started.
pub struct Rig {
    /// What it was made of.
    pub spec: Spec,
    /// The archive behind all caches.
    pub archive: Archive,
    /// What was seen.
    pub history: History,
    /// An edge cache, a parent and the origin.
    pub caches: Vec<Cache>,
    /// A change log for each router, so that one may hear what others do not.
    pub change_logs: Vec<ChangeLog>,
    /// The routers.
    pub routers: Vec<RouterProcess>,
    links: BTreeMap<(Endpoint, Endpoint), Link>,
    last_sequence: Vec<u64>,
    default_delay: (f64, f64),
    /// Routers that do not keep now what they promised.
    unavailable: RefCell<BTreeSet<usize>>,
    /// Those that lost their disk and have not served since.
    wiped: RefCell<BTreeSet<usize>>,
    rules: Option<PathBuf>,
    _relays: RelayThread,
    _dir: TempDir,
}

impl Rig {
    /// Lays it out and starts all routers; they may not serve yet.
    ///
    /// # Errors
    /// If there are fewer than 3 or more than 9 routers, or one does not come up; with what it said last.
    pub fn start(spec: Spec) -> Result<Self, String> {
        let mut rig = Self::set_up(spec)?;
        for r in 0..rig.routers.len() {
            rig.start_router(r)?;
        }
        Ok(rig)
    }

    /// Lays it out without starting a router.
    ///
    /// # Errors
    /// See [`Rig::start`].
    pub fn set_up(spec: Spec) -> Result<Self, String> {
        let n = spec.locations.len();
        if !(3..=9).contains(&n) {
            return Err(format!("a rig has from 3 to 9 routers, not {n}"));
        }
        let dir = TempDir::new().map_err(|e| format!("a folder for the rig: {e}"))?;
        let rules: Option<PathBuf> = match &spec.rules {
            Some(text) => {
                let file = dir.path().join("fleet.rules");
                std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
                Some(file)
            }
            None => None,
        };
        let history = History::default();
        let archive = Archive::new(history.clone());
        let caches: Vec<Cache> = (0..3).map(|_| archive.cache()).collect();
        let change_logs: Vec<ChangeLog> = (0..n).map(|_| ChangeLog::start()).collect();
        let router_endpoints = (0..n).map(Endpoint::Router);
        let parties: Vec<Endpoint> = router_endpoints
            .chain((0..caches.len()).map(Endpoint::Cache))
            .chain([Endpoint::Clients])
            .collect();
        let pairs = parties.iter().flat_map(|a| parties.iter().map(|b| (*a, *b))).filter(|(a, b)| a != b);
        let links: BTreeMap<(Endpoint, Endpoint), Link> =
            pairs.zip(1..).map(|(pair, number)| (pair, Link::new(spec.seed, number))).collect();
        let relays = RelayThread::start()?;
        let link = |a: Endpoint, b: Endpoint, to| {
            relays.start_relay(links[&(a, b)].clone(), links[&(b, a)].clone(), to)
        };
        let mut routers = Vec::new();
        for (r, log) in change_logs.iter().enumerate() {
            let me = Endpoint::Router(r);
            let peers: Result<BTreeMap<_, _>, String> =
                (0..n).filter(|p| *p != r).map(|p| Ok((p, link(me, Endpoint::Router(p), None)?))).collect();
            let servers: Result<Vec<_>, String> = caches
                .iter()
                .enumerate()
                .map(|(c, at)| link(me, Endpoint::Cache(c), Some(at.address)))
                .collect();
            let clients = link(Endpoint::Clients, me, None)?;
            let folder = dir.path().join(spec::router_name(r));
            routers.push(RouterProcess::new(
                r,
                folder,
                rules.clone(),
                peers?,
                &servers?,
                clients,
                log.address,
                &spec,
            )?);
        }
        let (last_sequence, default_delay) = (vec![1; n], (0.0, 0.0));
        let (unavailable, wiped) = Default::default();
        Ok(Self {
            spec,
            archive,
            history,
            caches,
            change_logs,
            routers,
            links,
            last_sequence,
            default_delay,
            unavailable,
            wiped,
            rules,
            _relays: relays,
            _dir: dir,
        })
    }

    /// Routers in it.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Never: see [`Rig::set_up`].
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    // ---- Processes ----

    /// Starts a router that does not run.
    ///
    /// # Errors
    /// If it does not come to listen; with what it said last.
    pub fn start_router(&mut self, router: usize) -> Result<(), String> {
        self.routers[router].start(&self.spec)?;
        self.set_relay_targets();
        Ok(())
    }

    /// Its disk is full from now on, or no longer: no file of it grows.
    pub fn set_disk_full(&self, router: usize, full: bool) {
        self.record_fault(format!(
            "router {router}'s disk {}",
            if full { "is full" } else { "has room again" }
        ));
        self.routers[router].set_disk_full(full);
        self.set_unavailable(router, full);
    }

    /// RelayThread before routers lead to where those listen now.
    fn set_relay_targets(&self) {
        for (r, seat) in self.routers.iter().enumerate() {
            for other in &self.routers {
                if let Some(relay) = other.peer_relays.get(&r) {
                    relay.set_target(seat.is_running().then_some(seat.peer_address));
                }
            }
            seat.client_relay.set_target(seat.client_address());
        }
    }

    /// Kills a router; its folder stays.
    pub fn kill(&mut self, router: usize) {
        self.record_fault(format!("router {router} is killed"));
        self.history.record(Event::RouterDown { router, down: true });
        self.routers[router].kill();
        self.set_unavailable(router, true);
        self.set_relay_targets();
    }

    /// Asks a router to end in order; [`RouterProcess::shut_down`] waits for that.
    pub fn request_shutdown(&mut self, router: usize) {
        self.record_fault(format!("router {router} is asked to end"));
        self.history.record(Event::RouterDown { router, down: true });
        self.routers[router].request_shutdown();
        self.set_unavailable(router, true);
    }

    /// Kills it and wipes its folder: it returns with another disk.
    ///
    /// # Errors
    /// If the folder can't be wiped.
    pub fn kill_and_wipe(&mut self, router: usize) -> Result<(), String> {
        self.kill(router);
        self.record_fault(format!("router {router} loses its disk"));
        self.wiped.borrow_mut().insert(router);
        self.routers[router].wipe()
    }

    /// Has it listen for peers at another address from its next start on.
    ///
    /// # Errors
    /// If there is no port.
    pub fn change_peer_address(&mut self, router: usize) -> Result<(), String> {
        self.record_fault(format!("router {router} will return at another address"));
        self.routers[router].change_peer_address()
    }

    /// Stops it where it stands.
    pub fn suspend(&mut self, router: usize) {
        self.record_fault(format!("router {router} is stopped"));
        self.history.record(Event::RouterDown { router, down: true });
        self.routers[router].signal("STOP");
        self.set_unavailable(router, true);
    }

    /// Lets it go on.
    pub fn resume(&mut self, router: usize) {
        self.record_fault(format!("router {router} goes on"));
        self.routers[router].signal("CONT");
    }

    /// Waits until a router says that it serves, and keeps that it does.
    pub fn wait_until_serving(&self, router: usize, patience: Duration) -> bool {
        let begun = Instant::now();
        let left = || patience.saturating_sub(begun.elapsed());
        while !left().is_zero() {
            let said = self
                .connect_client(router)
                .is_ok_and(|c| c.is_serving(left().min(Duration::from_millis(500))));
            if said {
                self.history.record(Event::RouterDown { router, down: false });
                // One with an empty disk does not count before that is filled.
                if !self.wiped.borrow_mut().remove(&router) {
                    self.set_unavailable(router, false);
                }
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// A router's counters by name; none while it does not run or is stopped.
    pub fn counters(&self, router: usize) -> BTreeMap<String, f64> {
        self.routers[router].counters()
    }

    // ---- Links ----

    /// The way of bytes from one party to another.
    ///
    /// # Panics
    /// If no link joins them.
    pub fn link(&self, from: Endpoint, to: Endpoint) -> &Link {
        self.links.get(&(from, to)).unwrap_or_else(|| panic!("no link from {from:?} to {to:?}"))
    }

    /// The way between two routers.
    pub fn router_link(&self, from: usize, to: usize) -> &Link {
        self.link(Endpoint::Router(from), Endpoint::Router(to))
    }

    /// Cuts a router off from some others, both ways; clients and caches still reach it.
    pub fn partition(&self, router: usize, from: &[usize]) {
        self.record_fault(format!("router {router} is cut off from {from:?}"));
        for other in from.iter().filter(|o| **o != router) {
            self.router_link(router, *other).set_cut(true);
            self.router_link(*other, router).set_cut(true);
        }
        self.record_isolation();
    }

    /// Cuts only what one router sends another.
    pub fn partition_one_way(&self, from: usize, to: usize) {
        self.record_fault(format!("what router {from} sends router {to} is cut"));
        self.router_link(from, to).set_cut(true);
        self.record_isolation();
    }

    /// What a piece takes on every link between routers, in milliseconds, unless a fault says otherwise.
    pub fn set_default_delay(&mut self, delay: (f64, f64)) {
        self.default_delay = delay;
        self.router_links().for_each(|flow| flow.configure(|conditions| conditions.delay_ms = delay));
    }

    fn router_links(&self) -> impl Iterator<Item = &Link> {
        let both =
            |(a, b): &(Endpoint, Endpoint)| matches!((a, b), (Endpoint::Router(_), Endpoint::Router(_)));
        self.links.iter().filter(move |(pair, _)| both(pair)).map(|(_, flow)| flow)
    }

    /// What all links between routers did, added up.
    pub fn router_link_statistics(&self) -> relay::LinkStatistics {
        let mut all = relay::LinkStatistics::default();
        for c in self.router_links().map(Link::statistics) {
            all.received_bytes += c.received_bytes;
            all.delivered_bytes += c.delivered_bytes;
            all.dropped_bytes += c.dropped_bytes;
            all.duplicated_chunks += c.duplicated_chunks;
            all.corrupted_chunks += c.corrupted_chunks;
            all.resets += c.resets;
            all.delayed_by_cut += c.delayed_by_cut;
        }
        all
    }

    // ---- Clients, news ----

    /// A client's connection to a router, through its relay.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn connect_client(&self, router: usize) -> Result<ClientConnection, String> {
        ClientConnection::connect(router, self.routers[router].client_relay.address, &self.history)
    }

    /// Has the change change_logs of these routers tell of a purge of an object that happens now; gives its Unix millisecond.
    pub fn purge(&mut self, object: u64, routers: &[usize]) -> u64 {
        let unix = unix_ms();
        for r in routers {
            self.last_sequence[*r] += 1;
            let payload = [object.to_be_bytes(), unix.to_be_bytes()].concat();
            self.history.record(Event::PurgeAnnounced { router: *r, object, purged_at_unix_ms: unix });
            self.change_logs[*r].publish(self.last_sequence[*r], 3, &payload);
        }
        unix
    }

    /// Replaces the rules' file, and has all routers read it.
    ///
    /// # Errors
    /// If there is no rules' file, or it can't be written.
    pub fn replace_rules(&mut self, text: &str) -> Result<(), String> {
        let file = self.rules.as_ref().ok_or("this rig has no rules' file")?;
        std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        self.record_fault("the rules' file is replaced".into());
        self.routers.iter_mut().for_each(RouterProcess::reload);
        Ok(())
    }

    /// Keeps a fault in the history.
    pub fn record_fault(&self, words: String) {
        self.history.record(Event::Fault(words));
    }
}
