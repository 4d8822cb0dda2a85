//! Control planes connected by queues, each with a simulated disk. One step is a millisecond.

use basaltgw_control::message::Message;
use basaltgw_control::{Action, ControlNotification, ControlRequest, Event};
use basaltgw_registers::{Change, RecordKey, RequestNumber, Response};
use basaltgw_types::link::{Hello, Lane, LinkError, PROTOCOL_VERSION};
use basaltgw_types::{Domain, Incarnation, Member, Ms, RouterId, TableHash, TableVersion};
use node::{node, Node, PendingCommit};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

mod links;
mod node;
mod overlay;
mod parts;
pub use links::{Links, IDLE_TIMEOUT_MS};
pub use node::{apply_writes, Disk, StoredEntries};
pub use overlay::overlay;
pub use parts::parts;

/// Rules that assign every register to three of the routers.
pub const RULES: &str = "holds { shards 4 copies 3 spread machines }\nroot { copies 3 spread machines }\n";
/// Batch interval of the overlay, as in the default settings.
pub const BATCH_MS: Ms = 250.0;
/// Convergence time of a purge.
pub const CONVERGENCE_MS: Ms = 5_000.0;
/// Convergence time with an overlay, which takes longer for a purge that a single router observed.
pub const LONG_CONVERGENCE_MS: Ms = 30_000.0;
const LINK_DELAY_MS: Ms = 1.0;

/// Message on its way to a router.
struct MessageInTransit {
    due: Ms,
    from: usize,
    to: usize,
    lane: Lane,
    body: Vec<u8>,
}

pub struct Network {
    pub now: Ms,
    /// Regions of the overlay; 0 without an overlay.
    pub regions: usize,
    /// Retention of overlay updates.
    pub retention: Ms,
    /// Number of overlay messages sent.
    pub overlay_messages: u64,
    /// Number of messages sent, and their bytes.
    pub sent: (u64, u64),
    severed: BTreeSet<(usize, usize)>,
    /// Links that are dialed on demand; `None` for a full mesh.
    pub links: Option<Links>,
    pub nodes: Vec<Node>,
    in_transit: VecDeque<MessageInTransit>,
    last_request: u64,
}

fn text(t: &str) -> Arc<str> {
    Arc::from(t)
}

pub fn member(n: usize) -> Member {
    Member { router: RouterId(text(&format!("r{n}"))), incarnation: Incarnation(n as u128 + 7) }
}

fn domain(n: usize) -> Domain {
    Domain { branch: text(&format!("b{n}")), machine: text(&format!("m{n}")) }
}

pub fn hello(n: usize) -> Hello {
    let (table, cluster) = ((TableVersion(0), TableHash([0; 32])), text("test"));
    Hello { protocol: PROTOCOL_VERSION, cluster, member: member(n), domain: domain(n), table }
}

impl Network {
    /// Routers without links between them.
    pub fn new(count: usize, disk: Disk) -> Self {
        Self::with_overlay(count, disk, 0)
    }

    /// As [`Self::new`], with an overlay of `regions` regions.
    pub fn with_overlay(count: usize, disk: Disk, regions: usize) -> Self {
        let mut net = Self {
            now: 1_000_000.0,
            regions,
            retention: 2.0 * LONG_CONVERGENCE_MS,
            overlay_messages: 0,
            sent: (0, 0),
            severed: BTreeSet::new(),
            links: None,
            nodes: Vec::new(),
            in_transit: VecDeque::new(),
            last_request: 0,
        };
        net.add_routers(count, disk);
        net
    }

    fn add_routers(&mut self, count: usize, disk: Disk) {
        for n in 0..count {
            self.nodes.push(node(self, n, count, disk, StoredEntries::new()));
            self.on_process_start(n);
        }
    }

    /// A bootstrapped, idle fleet with an overlay.
    pub fn bootstrapped_with_overlay(count: usize, regions: usize) -> Self {
        let mut net = Self::with_overlay(count, Disk::Commits(1.0), regions);
        net.link_all();
        net.run_until(10_000.0, |net| {
            (0..count).all(|n| net.table_version(n) > 0 && net.has_synced_purges(n))
        });
        net.run_for(5_000.0);
        net
    }

    /// A bootstrapped, idle fleet of three routers.
    pub fn bootstrapped(disk: Disk) -> Self {
        let mut net = Self::new(3, disk);
        net.link_all();
        net.run_until(10_000.0, |net| (0..3).all(|n| net.table_version(n) > 0 && net.has_synced_purges(n)));
        net.run_for(2_000.0);
        net
    }

    pub fn link_all(&mut self) {
        for n in 0..self.nodes.len() {
            self.link(n);
        }
    }

    /// Router `n` proposes other rules, and all routers adopt them.
    pub fn change_rules(&mut self, n: usize) {
        let before = self.table_version(n);
        let rules = RULES.replace("machines", "branches");
        self.deliver(n, Event::Request(ControlRequest::Rules { file_name: "new".into(), text: rules }));
        self.run_until(20_000.0, |net| (0..net.nodes.len()).all(|n| net.table_version(n) > before));
        self.run_for(2_000.0);
    }

    /// Links a router with all others, with hellos in both directions.
    pub fn link(&mut self, n: usize) {
        for other in 0..self.nodes.len() {
            if other != n {
                let (own_hello, other_hello) = (self.nodes[n].hello.clone(), self.nodes[other].hello.clone());
                self.deliver(other, Event::LinkUp(own_hello));
                self.deliver(n, Event::LinkUp(other_hello));
            }
        }
    }

    /// Cuts the link between two routers, and loses the messages on it.
    pub fn sever(&mut self, a: usize, b: usize) {
        self.severed.extend([(a, b), (b, a)]);
        self.deliver(a, Event::LinkDown(member(b), LinkError::ConnectionLost));
        self.deliver(b, Event::LinkDown(member(a), LinkError::ConnectionLost));
        self.in_transit.retain(|m| (m.from, m.to) != (a, b) && (m.from, m.to) != (b, a));
    }

    /// Restores a severed link.
    pub fn reconnect(&mut self, a: usize, b: usize) {
        self.severed.remove(&(a, b));
        self.severed.remove(&(b, a));
        let [hello_a, hello_b] = [a, b].map(|n| self.nodes[n].hello.clone());
        self.deliver(b, Event::LinkUp(hello_a));
        self.deliver(a, Event::LinkUp(hello_b));
    }

    /// Closes all links of a router, and loses the messages on them.
    pub fn disconnect(&mut self, n: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != n) {
            self.deliver(other, Event::LinkDown(member(n), LinkError::ConnectionLost));
            self.deliver(n, Event::LinkDown(member(other), LinkError::ConnectionLost));
        }
        self.in_transit.retain(|message| message.from != n && message.to != n);
    }

    /// Restarts a process with its store and links; uncommitted writes are lost.
    pub fn restart(&mut self, n: usize) {
        self.disconnect(n);
        self.start_process(n);
        self.link(n);
    }

    /// Starts a new process with the stored entries, without links.
    pub fn start_process(&mut self, n: usize) {
        let (stored, disk) = (std::mem::take(&mut self.nodes[n].stored), self.nodes[n].disk);
        self.nodes[n] = node(self, n, self.nodes.len(), disk, stored);
        self.on_process_start(n);
    }

    /// Passes an event to a router, and executes its actions.
    pub fn deliver(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now;
        self.nodes[n].control.handle(now, event, &mut actions);
        self.execute(n, actions);
    }

    fn execute(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SetLinkWanted { router, wanted } => self.set_link_wanted(n, &router, wanted),
                Action::Send { number, to, lane, body } => self.send(n, number, &to, lane, body),
                Action::AdvertiseTable(version, hash) => self.advertise_table(n, version, hash),
                Action::Commit(number, writes) => {
                    let node = &mut self.nodes[n];
                    let delay = match node.disk {
                        Disk::Commits(delay) => delay,
                        Disk::Hangs | Disk::Fails => 0.0,
                    };
                    node.commits.push_back(PendingCommit { due: self.now + delay, number, writes });
                }
                Action::Notify(notification) => self.nodes[n].notifications.push(notification),
            }
        }
    }

    fn send(&mut self, n: usize, number: u64, to: &Member, lane: Lane, body: Vec<u8>) {
        let is_overlay_message =
            matches!(Message::decode(&body), Some(Message::OverlayLink { .. } | Message::OverlayFrame(_)));
        self.overlay_messages += u64::from(lane == Lane::Table && is_overlay_message);
        self.sent = (self.sent.0 + 1, self.sent.1 + body.len() as u64);
        let receiver = self.nodes.iter().position(|node| node.hello.member == *to);
        let is_sendable = |to: &usize| {
            !self.nodes[n].drops_sends && !self.severed.contains(&(n, *to)) && self.has_link(n, *to)
        };
        match receiver.filter(is_sendable) {
            Some(to) => {
                self.record_use(n, to);
                self.in_transit.push_back(MessageInTransit {
                    due: self.now + LINK_DELAY_MS,
                    from: n,
                    to,
                    lane,
                    body,
                });
            }
            None => self.nodes[n].failed_sends.push(number),
        }
    }

    fn advertise_table(&mut self, n: usize, version: TableVersion, hash: TableHash) {
        let node = &mut self.nodes[n];
        node.hello.table = (version, hash);
        node.advertised_tables.push(version);
        let hello = node.hello.clone();
        let is_linked = |other: &usize| !self.severed.contains(&(n, *other)) && self.has_link(n, *other);
        let others = (0..self.nodes.len()).filter(|other| *other != n).filter(is_linked);
        for other in others.collect::<Vec<_>>() {
            self.deliver(other, Event::LinkUp(hello.clone()));
        }
    }

    /// Advances the simulation by one millisecond.
    pub fn step(&mut self) {
        self.now += 1.0;
        self.dial_and_close();
        while self.in_transit.front().is_some_and(|message| message.due <= self.now) {
            let Some(MessageInTransit { from, to, lane, body, .. }) = self.in_transit.pop_front() else {
                break;
            };
            let from = self.nodes[from].hello.member.clone();
            self.deliver(to, Event::MessageReceived { from, lane, body });
        }
        for n in 0..self.nodes.len() {
            let due = self.nodes[n].commits.iter().take_while(|commit| commit.due <= self.now).count();
            if self.nodes[n].disk != Disk::Hangs {
                for _ in 0..due {
                    self.finish_commit(n, self.nodes[n].disk != Disk::Fails);
                }
            }
            if self.nodes[n].control.next_timer() <= self.now {
                self.deliver(n, Event::TimersDue);
            }
            for number in std::mem::take(&mut self.nodes[n].failed_sends) {
                self.deliver(n, Event::SendFailed(number));
            }
            self.deliver(n, Event::Flush);
        }
    }

    /// Finishes the oldest commit in flight.
    fn finish_commit(&mut self, n: usize, durable: bool) {
        let Some(PendingCommit { number, writes, .. }) = self.nodes[n].commits.pop_front() else { return };
        if durable {
            apply_writes(&mut self.nodes[n].stored, writes);
        }
        self.deliver(n, Event::CommitFinished { number, durable });
    }

    /// Runs for a span of simulated milliseconds.
    pub fn run_for(&mut self, span: Ms) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition is true, which must happen within `timeout` simulated milliseconds.
    pub fn run_until(&mut self, timeout: Ms, condition: impl Fn(&Self) -> bool) {
        let end = self.now + timeout;
        while !condition(self) {
            assert!(self.now < end, "the condition was not met within {timeout} ms: {}", self.state());
            self.step();
        }
    }

    /// Requests a change of a register by the owner of router `n`.
    pub fn request(&mut self, n: usize, key: RecordKey, change: Change, timeout: Ms) -> RequestNumber {
        self.last_request += 1;
        let number = RequestNumber(self.last_request);
        self.deliver(n, Event::Request(ControlRequest::ChangeRecord { number, key, change, timeout }));
        number
    }

    pub fn response(&self, n: usize, number: RequestNumber) -> Option<&Response> {
        self.nodes[n].notifications.iter().find_map(|notification| match notification {
            ControlNotification::Response(answered, response) if *answered == number => Some(response),
            ControlNotification::Response(..)
            | ControlNotification::Purge(_)
            | ControlNotification::PurgesKnown { .. }
            | ControlNotification::PurgesMissed
            | ControlNotification::Table(..) => None,
            ControlNotification::Policies(_) | ControlNotification::Evidence(..) => None,
        })
    }

    /// Version of the table that the owner of router `n` was last notified of; 0 if none.
    pub fn table_version(&self, n: usize) -> u64 {
        let version = self.nodes[n].notifications.iter().rev().find_map(|notification| match notification {
            ControlNotification::Table(version, _) => Some(version.0),
            ControlNotification::Response(..)
            | ControlNotification::Purge(_)
            | ControlNotification::PurgesKnown { .. }
            | ControlNotification::PurgesMissed => None,
            ControlNotification::Policies(_) | ControlNotification::Evidence(..) => None,
        });
        version.unwrap_or(0)
    }

    /// Whether the startup sync of router `n` succeeded.
    pub fn has_synced_purges(&self, n: usize) -> bool {
        let notifications = &self.nodes[n].notifications;
        notifications.iter().any(|n| matches!(n, ControlNotification::PurgesKnown { complete: true }))
    }

    fn state(&self) -> String {
        let line = |node: &Node| format!("{}\n{:?}\n", node.control.counts(), node.control.state_sizes());
        self.nodes.iter().map(line).collect()
    }
}
