//! Time, processes, disks, troubles and the change log round the parties of a fleet.

mod decide;
mod happen;
mod process;

use crate::check::Checker;
use crate::count::Meter;
use crate::disk::Disk;
use crate::fleet::Fleet;
use crate::links::{Links, Net};
use crate::party::{Found, Party, PartyAction, PartyEvent};
use crate::queue::{Queue, What};
use crate::trouble::Trouble;
use crate::{micros, Micros, No};
use basaltgw_control::Purge;
use basaltgw_simulator::{draw, rng, Rng};
use basaltgw_storage::Write;
use basaltgw_transport::Limits;
use basaltgw_types::Incarnation;
use rand::RngExt;
use std::collections::VecDeque;

/// Events that a process takes in one turn, as the copies' thread takes them from its ring.
const TURN: usize = 256;
/// The user of the seed that draws when feeds look for news.
const FEEDS: u64 = 5;
/// The user of the seed that draws what processes, disks and the change log do.
const WORLD: u64 = 4;
/// The fleet's name.
const CLUSTER: &str = "hollow";
/// Groups among which purges are spread.
const GROUPS: u64 = 1_000;

/// Who hears a purge from the change log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Log {
    /// Every router, but each word misses this part of them.
    Everyone(f64),
    /// One router, another for each word.
    One,
    /// The same router for all words.
    Only(No),
    /// Every router, but each word misses a part of them, and a part hears it up to so many milliseconds late.
    Uneven {
        /// Who never hears it.
        misses: f64,
        /// Who hears it late.
        late: f64,
        /// How late at the most, ms.
        most: f64,
    },
    /// The control machines.
    Controls,
    /// Every router, by a feed of its own that looks for news each so many milliseconds and tells them all at once. When it first looks is
    /// drawn.
    Looks(f64),
}

/// How the world is.
#[derive(Clone, Debug, PartialEq)]
pub struct WorldSettings {
    /// The lines.
    pub net: Net,
    /// Bounds of links.
    pub limits: Limits,
    /// The least and the most milliseconds of a commit.
    pub disk: (f64, f64),
    /// Milliseconds from a thread to the next within a process.
    pub hop: f64,
    /// Processes begin within so many milliseconds.
    pub begin: f64,
    /// Who hears purges, and between how many milliseconds after they were made.
    pub log: (Log, (f64, f64)),
    /// Purges a second, and between which milliseconds.
    pub purges: (f64, (f64, f64)),
    /// Purges are to be everywhere within so many milliseconds.
    pub within: f64,
}

struct Host {
    party: Option<Box<dyn Party>>,
    lives: u32,
    incarnation: Option<Incarnation>,
    disk: Disk,
    inbox: VecDeque<PartyEvent>,
    /// The turn that is to come.
    next: Micros,
    /// Commits that are not on the disk yet; it waits for the first.
    stores: VecDeque<(u64, Vec<Write>)>,
    waits: bool,
    /// Hears nothing of the change log, so many times over.
    deaf: usize,
    /// Has a table since.
    table: Option<Micros>,
}

/// See the module.
pub struct World<'a> {
    fleet: &'a Fleet,
    set: &'a WorldSettings,
    found: &'a Found<'a>,
    meter: Meter,
    queue: Queue,
    /// The links, with what was counted.
    pub links: Links,
    /// What must hold.
    pub checker: Checker,
    hosts: Vec<Host>,
    troubles: Vec<(Trouble, Option<usize>)>,
    purges: Vec<Purge>,
    /// By router: when its feed looks for news, as a part of the time from look to look.
    feeds: Vec<f64>,
    rng: Rng,
    out: Vec<PartyAction>,
}

impl<'a> World<'a> {
    /// Before its first event.
    pub fn new(
        fleet: &'a Fleet,
        set: &'a WorldSettings,
        found: &'a Found<'a>,
        troubles: Vec<Trouble>,
        meter: Meter,
        seed: u64,
    ) -> Self {
        let many = fleet.seats.len();
        let mut of_feeds = rng(seed, FEEDS);
        let mut rng = rng(seed, WORLD);
        let mut queue = Queue::default();
        for (no, trouble) in troubles.iter().enumerate() {
            queue.put(trouble.at, What::Trouble(no));
        }
        let mut hosts = Vec::with_capacity(many);
        for no in 0..many {
            let begins = micros(set.begin * rng.random::<f64>());
            queue.put(begins, What::Turn(no));
            hosts.push(Host {
                party: None,
                lives: 0,
                incarnation: None,
                disk: Disk::default(),
                inbox: VecDeque::new(),
                next: begins,
                stores: VecDeque::new(),
                waits: false,
                deaf: 0,
                table: None,
            });
        }
        if set.purges.0 > 0.0 {
            queue.put(micros(set.purges.1 .0), What::Purge(0));
        }
        Self {
            fleet,
            set,
            found,
            meter,
            queue,
            links: Links::new(fleet, set.limits, set.net.clone(), seed),
            checker: Checker::new(many, micros(set.within)),
            hosts,
            troubles: troubles.into_iter().map(|t| (t, None)).collect(),
            purges: Vec::new(),
            feeds: (0..many).map(|_| draw(&mut of_feeds)).collect(),
            rng,
            out: Vec::new(),
        }
    }

    /// Goes on until then.
    ///
    /// # Errors
    /// If a party can't be started.
    pub fn run(&mut self, end: Micros) -> Result<(), String> {
        while let Some(what) = self.queue.next(end) {
            match what {
                What::Line(line) => self.links.handle(&mut self.queue, self.fleet, line),
                What::Turn(no) => self.turn(no)?,
                What::Disk(no, life) => self.stored(no, life),
                What::Log(no, word) => self.log(no, word),
                What::Purge(word) => self.purge(word),
                What::Trouble(no) => self.trouble(no),
            }
            self.pass_on();
        }
        self.links.settle(end);
        Ok(())
    }

    /// Events that were put in so far.
    pub fn events(&self) -> u64 {
        self.queue.ever()
    }

    /// When each router first had a table.
    pub fn tables(&self) -> impl Iterator<Item = Option<Micros>> + '_ {
        self.hosts.iter().map(|h| h.table)
    }

    /// What the parties that run count.
    pub fn party_counts(&self) -> impl Iterator<Item = Vec<(&'static str, u64)>> + '_ {
        self.hosts.iter().filter_map(|h| h.party.as_ref()).map(|p| p.counts())
    }

    /// The control machines.
    pub fn controls(&self) -> impl Iterator<Item = No> + '_ {
        self.fleet.seats.iter().enumerate().filter(|(_, s)| s.control).map(|(no, _)| no)
    }

    /// A router's disk.
    pub fn disk(&self, no: No) -> &Disk {
        &self.hosts[no].disk
    }

    /// Carries what the links tell into the routers' rings.
    fn pass_on(&mut self) {
        for (no, event) in std::mem::take(&mut self.links.told) {
            self.hosts[no].inbox.push_back(event);
            self.wake(no);
        }
    }

    fn wake(&mut self, no: No) {
        let at = self.queue.now() + micros(self.set.hop);
        let host = &mut self.hosts[no];
        let waiting = &mut self.links.counts.most_waiting[no];
        *waiting = (*waiting).max(host.inbox.len());
        if host.party.is_some() && !host.waits && host.next > at {
            host.next = at;
            self.queue.put(at, What::Turn(no));
        }
    }
}
