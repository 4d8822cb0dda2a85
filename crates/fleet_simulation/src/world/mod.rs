//! Time, processes, disks, faults and the change log around the control planes of a fleet.

mod dispatch;
mod external_events;
mod process;

use crate::checker::Checker;
use crate::control_plane::{ControlPlane, ControlPlaneAction, ControlPlaneEvent, StartControlPlane};
use crate::count::Meter;
use crate::disk::Disk;
use crate::fault::Fault;
use crate::fleet::Fleet;
use crate::links::{Links, Network};
use crate::queue::{Queue, SimulationEvent};
use crate::{micros, Micros, RouterIndex};
use basaltgw_control::Purge;
use basaltgw_simulator::{draw, rng, Rng};
use basaltgw_storage::Write;
use basaltgw_transport::Limits;
use basaltgw_types::Incarnation;
use rand::RngExt;
use std::collections::VecDeque;

/// Events that a process takes from its inbox in one turn, as the control thread does.
const EVENTS_PER_TURN: usize = 256;
/// Random stream of the poll offsets of change log readers.
const POLL_STREAM: u64 = 5;
/// Random stream of processes, disks and the change log.
const WORLD_STREAM: u64 = 4;
/// The name of the fleet.
const CLUSTER: &str = "hollow";
/// Groups over which purges are spread.
const GROUPS: u64 = 1_000;

/// Which routers read a purge from the change log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChangeLogReach {
    /// Every router, except a random share for each purge.
    Everyone {
        /// Share of routers that never read the purge.
        missed_share: f64,
    },
    /// One router, chosen anew for each purge.
    OneRouter,
    /// The same router for all purges.
    Always(RouterIndex),
    /// Every router, except that for each purge a random share never reads it and another share reads it late.
    Uneven {
        /// Share of routers that never read the purge.
        missed_share: f64,
        /// Share of routers that read the purge late.
        late_share: f64,
        /// The longest extra delay, ms.
        max_delay_ms: f64,
    },
    /// The control machines.
    ControlMachines,
    /// Every router polls the change log and reads all new purges at once. The time of its first poll is random.
    Polling {
        /// Time from poll to poll, ms.
        interval_ms: f64,
    },
}

/// Settings of a simulation.
#[derive(Clone, Debug, PartialEq)]
pub struct WorldSettings {
    /// Delay, loss and bandwidth of the network.
    pub network: Network,
    /// Bounds of links.
    pub limits: Limits,
    /// Shortest and longest duration of a commit, ms.
    pub commit_ms: (f64, f64),
    /// Delay of an event between two threads of a process, ms.
    pub thread_hop_ms: f64,
    /// Processes start at random times up to this one, ms.
    pub start_within_ms: f64,
    /// Which routers read purges from the change log.
    pub change_log: ChangeLogReach,
    /// Shortest and longest time from a purge until the change log delivers it, ms.
    pub change_log_delay_ms: (f64, f64),
    /// Purges a second, with the time of the first purge, ms, and the time from which on none is made, ms.
    pub purges: (f64, (f64, f64)),
    /// Time within which a purge has to reach all routers, ms.
    pub convergence_ms: f64,
}

/// The machine of a router, with its process while one runs.
struct Host {
    /// `None` while no process runs.
    control_plane: Option<Box<dyn ControlPlane>>,
    /// Number of process starts so far.
    starts: u32,
    /// The incarnation that the disk stores; `None` before the first start with this disk.
    incarnation: Option<Incarnation>,
    disk: Disk,
    /// Events that the process has not handled yet.
    inbox: VecDeque<ControlPlaneEvent>,
    /// Time of the next turn; `Micros::MAX` if none is scheduled.
    next_turn: Micros,
    /// Commits that are not durable yet.
    pending_commits: VecDeque<(u64, Vec<Write>)>,
    /// Whether the process is blocked on its first pending commit.
    committing: bool,
    /// Number of change log outages that affect this router now.
    change_log_outages: usize,
    /// When the router first had a placement table.
    first_table_at: Option<Micros>,
}

/// The simulation: time, processes, disks, faults and the change log around the control planes of a fleet.
pub struct World<'a> {
    fleet: &'a Fleet,
    settings: &'a WorldSettings,
    start_control_plane: &'a StartControlPlane<'a>,
    meter: Meter,
    queue: Queue,
    /// The links of all routers, with their counters.
    pub links: Links,
    /// Checks the delivery of purges and configuration changes.
    pub checker: Checker,
    hosts: Vec<Host>,
    /// The faults, each with the number of its partition while one is active.
    faults: Vec<(Fault, Option<usize>)>,
    purges: Vec<Purge>,
    /// For each router, the offset of its change log polls as a share of the interval.
    poll_offsets: Vec<f64>,
    rng: Rng,
    /// Pending actions of the control plane that handles an event.
    out: Vec<ControlPlaneAction>,
}

impl<'a> World<'a> {
    /// Creates the simulation before its first event.
    pub fn new(
        fleet: &'a Fleet,
        settings: &'a WorldSettings,
        start_control_plane: &'a StartControlPlane<'a>,
        faults: Vec<Fault>,
        meter: Meter,
        seed: u64,
    ) -> Self {
        let routers = fleet.routers.len();
        let mut poll_rng = rng(seed, POLL_STREAM);
        let mut rng = rng(seed, WORLD_STREAM);
        let mut queue = Queue::default();
        for (number, fault) in faults.iter().enumerate() {
            queue.put(fault.at, SimulationEvent::Fault(number));
        }
        let mut hosts = Vec::with_capacity(routers);
        for router in 0..routers {
            let start = micros(settings.start_within_ms * rng.random::<f64>());
            queue.put(start, SimulationEvent::Turn(router));
            hosts.push(Host {
                control_plane: None,
                starts: 0,
                incarnation: None,
                disk: Disk::default(),
                inbox: VecDeque::new(),
                next_turn: start,
                pending_commits: VecDeque::new(),
                committing: false,
                change_log_outages: 0,
                first_table_at: None,
            });
        }
        let (per_second, (from_ms, _)) = settings.purges;
        if per_second > 0.0 {
            queue.put(micros(from_ms), SimulationEvent::PurgeMade(0));
        }
        Self {
            fleet,
            settings,
            start_control_plane,
            meter,
            queue,
            links: Links::new(fleet, settings.limits, settings.network.clone(), seed),
            checker: Checker::new(routers, micros(settings.convergence_ms)),
            hosts,
            faults: faults.into_iter().map(|fault| (fault, None)).collect(),
            purges: Vec::new(),
            poll_offsets: (0..routers).map(|_| draw(&mut poll_rng)).collect(),
            rng,
            out: Vec::new(),
        }
    }

    /// Runs the simulation until `end`.
    ///
    /// # Errors
    /// If a control plane can't be started.
    pub fn run(&mut self, end: Micros) -> Result<(), String> {
        while let Some(event) = self.queue.next(end) {
            match event {
                SimulationEvent::Link(event) => self.links.handle(&mut self.queue, self.fleet, event),
                SimulationEvent::Turn(router) => self.turn(router)?,
                SimulationEvent::CommitFinished { router, start } => self.commit_finished(router, start),
                SimulationEvent::ChangeLogRead { router, purge } => self.read_change_log(router, purge),
                SimulationEvent::PurgeMade(number) => self.make_purge(number),
                SimulationEvent::Fault(number) => self.fault(number),
            }
            self.deliver_link_events();
        }
        self.links.count_keepalives_until(end);
        Ok(())
    }

    /// Number of events scheduled so far.
    pub fn events(&self) -> u64 {
        self.queue.scheduled()
    }

    /// For each router, when it first had a placement table.
    pub fn first_tables(&self) -> impl Iterator<Item = Option<Micros>> + '_ {
        self.hosts.iter().map(|h| h.first_table_at)
    }

    /// The counters of the running control planes.
    pub fn control_plane_counters(&self) -> impl Iterator<Item = Vec<(&'static str, u64)>> + '_ {
        self.hosts.iter().filter_map(|h| h.control_plane.as_ref()).map(|p| p.counters())
    }

    /// The control machines of the fleet.
    pub fn control_machines(&self) -> impl Iterator<Item = RouterIndex> + '_ {
        self.fleet.routers.iter().enumerate().filter(|(_, s)| s.control).map(|(router, _)| router)
    }

    /// The disk of a router.
    pub fn disk(&self, router: RouterIndex) -> &Disk {
        &self.hosts[router].disk
    }

    /// Moves the events of the links into the inboxes of their routers.
    fn deliver_link_events(&mut self) {
        for (router, event) in std::mem::take(&mut self.links.events) {
            self.hosts[router].inbox.push_back(event);
            self.wake(router);
        }
    }

    /// Schedules a turn of a process that has a new event, unless it is blocked or has an earlier turn.
    fn wake(&mut self, router: RouterIndex) {
        let at = self.queue.now() + micros(self.settings.thread_hop_ms);
        let host = &mut self.hosts[router];
        let max_inbox = &mut self.links.counts.max_inbox[router];
        *max_inbox = (*max_inbox).max(host.inbox.len());
        if host.control_plane.is_some() && !host.committing && host.next_turn > at {
            host.next_turn = at;
            self.queue.put(at, SimulationEvent::Turn(router));
        }
    }
}
