//! Several routers as processes, with a relay on every directed link between any two parties, faults of links and processes, and a
//! checker that knows only what clients, stand-ins and links saw.
//!
//! - [`files`]: what the rig is made of, and what its routers are started from;
//! - [`relay`]: links that delay, cut, drop, drip, repeat, break and reset;
//! - [`seat`]: a router's process, its folder, its address, and faults of both;
//! - [`whole`]: which routers the fleet has to do without, and when it is whole again;
//! - [`archive`], [`caller`]: what routers stand before, and who asks them;
//! - [`history`], [`checker`]: what was seen, and whether it is what was promised;
//! - `tables`: faults of tables;
//! - [`many`]: many routers without relays, and what they cost;
//! - [`faults`], [`load`], [`play`]: faults scripted or drawn from a seed, clients at a rate, and a whole run of both.

pub mod archive;
pub mod caller;
pub mod checker;
pub mod faults;
pub mod files;
pub mod history;
pub mod load;
pub mod many;
pub mod play;
mod register;
pub mod relay;
pub mod seat;
mod tables;
pub mod whole;

pub use archive::Archive;
pub use caller::Caller;
pub use checker::{check, Broken, Counted, Limits, Rule};
pub use files::{Place, Spec};
pub use history::{About, Ask, Final, History, Seen};
pub use seat::Seat;

use crate::standin::{unix_ms, Cache, ChangeLog};
use relay::{Flow, Relays};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Whoever a link joins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
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
    pub logs: Vec<ChangeLog>,
    /// The routers.
    pub seats: Vec<Seat>,
    flows: BTreeMap<(Party, Party), Flow>,
    told: Vec<u64>,
    usual: (f64, f64),
    /// Routers that do not keep now what they promised.
    away: RefCell<BTreeSet<usize>>,
    /// Those that lost their disk and have not served since.
    wiped: RefCell<BTreeSet<usize>>,
    rules: Option<PathBuf>,
    _relays: Relays,
    _dir: TempDir,
}

impl Rig {
    /// Lays it out and starts all routers; they may not serve yet.
    ///
    /// # Errors
    /// If there are fewer than 3 or more than 9 routers, or one does not come up; with what it said last.
    pub fn start(spec: Spec) -> Result<Self, String> {
        let mut rig = Self::lay(spec)?;
        for r in 0..rig.seats.len() {
            rig.begin(r)?;
        }
        Ok(rig)
    }

    /// Lays it out without starting a router.
    ///
    /// # Errors
    /// See [`Rig::start`].
    pub fn lay(spec: Spec) -> Result<Self, String> {
        let n = spec.places.len();
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
        let logs: Vec<ChangeLog> = (0..n).map(|_| ChangeLog::start()).collect();
        let routers = (0..n).map(Party::Router);
        let parties: Vec<Party> =
            routers.chain((0..caches.len()).map(Party::Cache)).chain([Party::Clients]).collect();
        let pairs = parties.iter().flat_map(|a| parties.iter().map(|b| (*a, *b))).filter(|(a, b)| a != b);
        let flows: BTreeMap<(Party, Party), Flow> =
            pairs.zip(1..).map(|(pair, number)| (pair, Flow::new(spec.seed, number))).collect();
        let relays = Relays::start()?;
        let link = |a: Party, b: Party, to| relays.relay(flows[&(a, b)].clone(), flows[&(b, a)].clone(), to);
        let mut seats = Vec::new();
        for (r, log) in logs.iter().enumerate() {
            let me = Party::Router(r);
            let peers: Result<BTreeMap<_, _>, String> =
                (0..n).filter(|p| *p != r).map(|p| Ok((p, link(me, Party::Router(p), None)?))).collect();
            let servers: Result<Vec<_>, String> = caches
                .iter()
                .enumerate()
                .map(|(c, at)| link(me, Party::Cache(c), Some(at.address)))
                .collect();
            let clients = link(Party::Clients, me, None)?;
            let folder = dir.path().join(files::name(r));
            seats.push(Seat::new(r, folder, rules.clone(), peers?, &servers?, clients, log.address, &spec)?);
        }
        let (told, usual) = (vec![1; n], (0.0, 0.0));
        let (away, wiped) = Default::default();
        Ok(Self {
            spec,
            archive,
            history,
            caches,
            logs,
            seats,
            flows,
            told,
            usual,
            away,
            wiped,
            rules,
            _relays: relays,
            _dir: dir,
        })
    }

    /// Routers in it.
    pub fn len(&self) -> usize {
        self.seats.len()
    }

    /// Never: see [`Rig::lay`].
    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    // ---- Processes ----

    /// Starts a router that does not run.
    ///
    /// # Errors
    /// If it does not come to listen; with what it said last.
    pub fn begin(&mut self, router: usize) -> Result<(), String> {
        self.seats[router].begin(&self.spec)?;
        self.lead();
        Ok(())
    }

    /// Its disk is full from now on, or no longer: no file of it grows.
    pub fn disk_full(&self, router: usize, full: bool) {
        self.fault(format!("router {router}'s disk {}", if full { "is full" } else { "has room again" }));
        self.seats[router].full(full);
        self.away(router, full);
    }

    /// Relays before routers lead to where those listen now.
    fn lead(&self) {
        for (r, seat) in self.seats.iter().enumerate() {
            for other in &self.seats {
                if let Some(relay) = other.peers.get(&r) {
                    relay.leads_to(seat.runs().then_some(seat.listen));
                }
            }
            seat.clients.leads_to(seat.address());
        }
    }

    /// Kills a router; its folder stays.
    pub fn kill(&mut self, router: usize) {
        self.fault(format!("router {router} is killed"));
        self.history.see(Seen::Down(router, true));
        self.seats[router].kill();
        self.away(router, true);
        self.lead();
    }

    /// Asks a router to end in order; [`Seat::end`] waits for that.
    pub fn asked_to_end(&mut self, router: usize) {
        self.fault(format!("router {router} is asked to end"));
        self.history.see(Seen::Down(router, true));
        self.seats[router].asked_to_end();
        self.away(router, true);
    }

    /// Kills it and wipes its folder: it returns with another disk.
    ///
    /// # Errors
    /// If the folder can't be wiped.
    pub fn kill_wiped(&mut self, router: usize) -> Result<(), String> {
        self.kill(router);
        self.fault(format!("router {router} loses its disk"));
        self.wiped.borrow_mut().insert(router);
        self.seats[router].wipe()
    }

    /// Has it listen for peers at another address from its next start on.
    ///
    /// # Errors
    /// If there is no port.
    pub fn moves(&mut self, router: usize) -> Result<(), String> {
        self.fault(format!("router {router} will return at another address"));
        self.seats[router].moves()
    }

    /// Stops it where it stands.
    pub fn stop(&mut self, router: usize) {
        self.fault(format!("router {router} is stopped"));
        self.history.see(Seen::Down(router, true));
        self.seats[router].signal("STOP");
        self.away(router, true);
    }

    /// Lets it go on.
    pub fn wake(&mut self, router: usize) {
        self.fault(format!("router {router} goes on"));
        self.seats[router].signal("CONT");
    }

    /// Waits until a router says that it serves, and keeps that it does.
    pub fn serves(&self, router: usize, patience: Duration) -> bool {
        let begun = Instant::now();
        let left = || patience.saturating_sub(begun.elapsed());
        while !left().is_zero() {
            let said = self.caller(router).is_ok_and(|c| c.serving(left().min(Duration::from_millis(500))));
            if said {
                self.history.see(Seen::Down(router, false));
                // One with an empty disk does not count before that is filled.
                if !self.wiped.borrow_mut().remove(&router) {
                    self.away(router, false);
                }
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// A router's counters by name; none while it does not run or is stopped.
    pub fn counters(&self, router: usize) -> BTreeMap<String, f64> {
        self.seats[router].counters()
    }

    // ---- Links ----

    /// The way of bytes from one party to another.
    ///
    /// # Panics
    /// If no link joins them.
    pub fn flow(&self, from: Party, to: Party) -> &Flow {
        self.flows.get(&(from, to)).unwrap_or_else(|| panic!("no link from {from:?} to {to:?}"))
    }

    /// The way between two routers.
    pub fn between(&self, from: usize, to: usize) -> &Flow {
        self.flow(Party::Router(from), Party::Router(to))
    }

    /// Cuts a router off from some others, both ways; clients and caches still reach it.
    pub fn cut(&self, router: usize, from: &[usize]) {
        self.fault(format!("router {router} is cut off from {from:?}"));
        for other in from.iter().filter(|o| **o != router) {
            self.between(router, *other).cut(true);
            self.between(*other, router).cut(true);
        }
        self.apart();
    }

    /// Cuts only what one router sends another.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        self.fault(format!("what router {from} sends router {to} is cut"));
        self.between(from, to).cut(true);
        self.apart();
    }

    /// What a piece takes on every link between routers, in milliseconds, unless a fault says otherwise.
    pub fn usual_delay(&mut self, delay: (f64, f64)) {
        self.usual = delay;
        self.routers().for_each(|flow| flow.shape(|s| s.delay = delay));
    }

    fn routers(&self) -> impl Iterator<Item = &Flow> {
        let both = |(a, b): &(Party, Party)| matches!((a, b), (Party::Router(_), Party::Router(_)));
        self.flows.iter().filter(move |(pair, _)| both(pair)).map(|(_, flow)| flow)
    }

    /// What all links between routers did, added up.
    pub fn carried(&self) -> relay::Carried {
        let mut all = relay::Carried::default();
        for c in self.routers().map(Flow::carried) {
            all.taken += c.taken;
            all.bytes += c.bytes;
            all.dropped += c.dropped;
            all.repeated += c.repeated;
            all.broken += c.broken;
            all.resets += c.resets;
            all.held += c.held;
        }
        all
    }

    // ---- Clients, news ----

    /// A client's connection to a router, through its relay.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn caller(&self, router: usize) -> Result<Caller, String> {
        Caller::connect(router, self.seats[router].clients.address, &self.history)
    }

    /// Has the change logs of these routers tell of a purge of an object that happens now; gives its Unix millisecond.
    pub fn purge(&mut self, object: u64, routers: &[usize]) -> u64 {
        let unix = unix_ms();
        for r in routers {
            self.told[*r] += 1;
            let payload = [object.to_be_bytes(), unix.to_be_bytes()].concat();
            self.history.see(Seen::Purged { router: *r, object, unix });
            self.logs[*r].publish(self.told[*r], 3, &payload);
        }
        unix
    }

    /// Replaces the rules' file, and has all routers read it.
    ///
    /// # Errors
    /// If there is no rules' file, or it can't be written.
    pub fn rules(&mut self, text: &str) -> Result<(), String> {
        let file = self.rules.as_ref().ok_or("this rig has no rules' file")?;
        std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        self.fault("the rules' file is replaced".into());
        self.seats.iter_mut().for_each(Seat::reload);
        Ok(())
    }

    /// Keeps a fault in the history.
    pub fn fault(&self, words: String) {
        self.history.see(Seen::Fault(words));
    }
}
