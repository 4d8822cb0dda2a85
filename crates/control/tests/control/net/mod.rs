//! Routers' control parts joined by queues, each with a disk that takes time; a step is a millisecond.

use basaltgw_control::words::Message;
use basaltgw_control::{Action, Control, ControlNotification, ControlParts, ControlRequest, Event};
use basaltgw_registers::{Change, RecordKey, RequestNumber, Response};
use basaltgw_storage::Write;
use basaltgw_types::link::{Hello, Lane, LinkError, PROTOCOL_VERSION};
use basaltgw_types::{Domain, Incarnation, Member, Ms, RouterId, TableHash, TableVersion};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

mod overlay;
mod parts;
mod standing;
pub use overlay::overlay;
pub use parts::parts;
pub use standing::{Links, IDLE};

/// Rules with which every router keeps all.
pub const RULES: &str = "holds { shards 4 copies 3 spread machines }\nroot { copies 3 spread machines }\n";
/// As the schema has it.
pub const BATCH: Ms = 250.0;
/// Time after which a purge has settled here.
pub const SETTLES: Ms = 5_000.0;
/// The same with an overlay: longer than a purge takes that one router alone has heard.
pub const SETTLES_FAR: Ms = 30_000.0;
const WIRE: Ms = 1.0;

/// How a disk answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disk {
    /// It takes a commit after so long.
    Takes(Ms),
    /// It is silent.
    Hangs,
    /// It refuses.
    Fails,
}

type Pairs = BTreeMap<(u8, Vec<u8>), Vec<u8>>;

pub struct Node {
    pub control: Control,
    pub hello: Hello,
    pub disk: Disk,
    pub kept: Pairs,
    /// Commits that are out: when each is due, its number and writes.
    pub open: VecDeque<(Ms, u64, Vec<Write>)>,
    /// The most that were out at once.
    pub most_open: usize,
    pub told: Vec<ControlNotification>,
    /// Tables by which the own hello went.
    pub tables: Vec<TableVersion>,
    /// Nothing that it sends is taken.
    pub mute: bool,
    refused: Vec<u64>,
    /// What it wanted before its first event.
    first: Vec<Action>,
}

pub struct Net {
    pub now: Ms,
    /// Regions of the overlay; 0 without one.
    pub regions: usize,
    /// How long words are kept.
    pub keep: Ms,
    /// Words of an overlay that were sent.
    pub spread: u64,
    /// Messages sent, and their bytes.
    pub sent: (u64, u64),
    severed: BTreeSet<(usize, usize)>,
    /// Links that come and go, where not all stand.
    pub links: Option<Links>,
    pub nodes: Vec<Node>,
    wire: VecDeque<(Ms, usize, usize, Lane, Vec<u8>)>,
    asks: u64,
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

impl Net {
    /// So many routers, not linked yet.
    pub fn new(of: usize, disk: Disk) -> Self {
        Self::with_overlay(of, disk, 0)
    }

    /// The same with an overlay of so many regions.
    pub fn with_overlay(of: usize, disk: Disk, regions: usize) -> Self {
        let (now, keep, wire) = (1_000_000.0, 2.0 * SETTLES_FAR, VecDeque::new());
        let (nodes, severed, sent) = (Vec::new(), BTreeSet::new(), (0, 0));
        let mut net =
            Self { now, regions, keep, spread: 0, sent, severed, links: None, nodes, wire, asks: 0 };
        net.fill(of, disk);
        net
    }

    fn fill(&mut self, of: usize, disk: Disk) {
        for n in 0..of {
            self.nodes.push(node(self, n, of, disk, Pairs::new()));
            self.begun(n);
        }
    }

    /// A founded fleet with an overlay, at rest.
    pub fn founded_with_overlay(of: usize, regions: usize) -> Self {
        let mut net = Self::with_overlay(of, Disk::Takes(1.0), regions);
        net.link_all();
        net.until(10_000.0, |net| (0..of).all(|n| net.version(n) > 0 && net.asked_purges(n)));
        net.pass(5_000.0);
        net
    }

    /// A founded fleet of three, at rest.
    pub fn founded(disk: Disk) -> Self {
        let mut net = Self::new(3, disk);
        net.link_all();
        net.until(10_000.0, |net| (0..3).all(|n| net.version(n) > 0 && net.asked_purges(n)));
        net.pass(2_000.0);
        net
    }

    pub fn link_all(&mut self) {
        for n in 0..self.nodes.len() {
            self.link(n);
        }
    }

    /// Other rules, which some router offers and all come to go by.
    pub fn other_rules(&mut self, n: usize) {
        let before = self.version(n);
        let rules = RULES.replace("machines", "branches");
        self.event(n, Event::Request(ControlRequest::Rules("new".into(), rules)));
        self.until(20_000.0, |net| (0..net.nodes.len()).all(|n| net.version(n) > before));
        self.pass(2_000.0);
    }

    /// Links a router with all others, which then have heard its hello, and it theirs.
    pub fn link(&mut self, n: usize) {
        for other in 0..self.nodes.len() {
            if other != n {
                let (mine, theirs) = (self.nodes[n].hello.clone(), self.nodes[other].hello.clone());
                self.event(other, Event::LinkUp(mine));
                self.event(n, Event::LinkUp(theirs));
            }
        }
    }

    /// Nothing goes between two any more.
    pub fn sever(&mut self, a: usize, b: usize) {
        self.severed.extend([(a, b), (b, a)]);
        self.event(a, Event::LinkDown(member(b), LinkError::ConnectionLost));
        self.event(b, Event::LinkDown(member(a), LinkError::ConnectionLost));
        self.wire.retain(|(_, from, to, ..)| (*from, *to) != (a, b) && (*from, *to) != (b, a));
    }

    /// They reach each other again.
    pub fn join(&mut self, a: usize, b: usize) {
        self.severed.remove(&(a, b));
        self.severed.remove(&(b, a));
        let hellos = [a, b].map(|n| self.nodes[n].hello.clone());
        let [of_a, of_b] = hellos;
        self.event(b, Event::LinkUp(of_a));
        self.event(a, Event::LinkUp(of_b));
    }

    pub fn cut(&mut self, n: usize) {
        for other in (0..self.nodes.len()).filter(|o| *o != n) {
            self.event(other, Event::LinkDown(member(n), LinkError::ConnectionLost));
            self.event(n, Event::LinkDown(member(other), LinkError::ConnectionLost));
        }
        self.wire.retain(|(_, from, to, ..)| *from != n && *to != n);
    }

    /// Another process over the same disk: what was not committed is lost.
    pub fn restart(&mut self, n: usize) {
        self.cut(n);
        self.renew(n);
        self.link(n);
    }

    /// Another process over what is on the disk, reached by nobody yet.
    pub fn renew(&mut self, n: usize) {
        let (kept, disk) = (std::mem::take(&mut self.nodes[n].kept), self.nodes[n].disk);
        self.nodes[n] = node(self, n, self.nodes.len(), disk, kept);
        self.begun(n);
    }

    pub fn event(&mut self, n: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.now;
        self.nodes[n].control.handle(now, event, &mut out);
        self.act(n, out);
    }

    fn act(&mut self, n: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::SetLinkWanted(router, yes) => self.want(n, &router, yes),
                Action::Send { number: no, to, lane, body } => {
                    let to = self.nodes.iter().position(|x| x.hello.member == to);
                    let of_overlay = matches!(
                        Message::decode(&body),
                        Some(Message::OverlayLink { .. } | Message::OverlayFrame(_))
                    );
                    self.spread += u64::from(lane == Lane::Table && of_overlay);
                    self.sent = (self.sent.0 + 1, self.sent.1 + body.len() as u64);
                    let goes = |to: &usize| {
                        !self.nodes[n].mute && !self.severed.contains(&(n, *to)) && self.linked(n, *to)
                    };
                    let to = to.filter(goes);
                    to.into_iter().for_each(|to| self.used(n, to));
                    match to {
                        Some(to) => self.wire.push_back((self.now + WIRE, n, to, lane, body)),
                        None => self.nodes[n].refused.push(no),
                    }
                }
                Action::AdvertiseTable(version, hash) => {
                    let node = &mut self.nodes[n];
                    node.hello.table = (version, hash);
                    node.tables.push(version);
                    let hello = node.hello.clone();
                    let apart = self.severed.clone();
                    let linked = |o: &usize| !apart.contains(&(n, *o)) && self.linked(n, *o);
                    let others: Vec<usize> =
                        (0..self.nodes.len()).filter(|o| *o != n).filter(linked).collect();
                    for other in others {
                        self.event(other, Event::LinkUp(hello.clone()));
                    }
                }
                Action::Commit(no, writes) => {
                    let node = &mut self.nodes[n];
                    let after = match node.disk {
                        Disk::Takes(after) => after,
                        Disk::Hangs | Disk::Fails => 0.0,
                    };
                    node.open.push_back((self.now + after, no, writes));
                    node.most_open = node.most_open.max(node.open.len());
                }
                Action::Notify(told) => self.nodes[n].told.push(told),
            }
        }
    }

    /// A millisecond passes.
    pub fn step(&mut self) {
        self.now += 1.0;
        self.dial_and_close();
        while self.wire.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, to, lane, body)) = self.wire.pop_front() else { break };
            let from = self.nodes[from].hello.member.clone();
            self.event(to, Event::MessageReceived { from, lane, body });
        }
        for n in 0..self.nodes.len() {
            let due = self.nodes[n].open.iter().take_while(|(at, ..)| *at <= self.now).count();
            if self.nodes[n].disk != Disk::Hangs {
                for _ in 0..due {
                    self.answer(n, self.nodes[n].disk != Disk::Fails);
                }
            }
            if self.nodes[n].control.next_timer() <= self.now {
                self.event(n, Event::TimersDue);
            }
            for no in std::mem::take(&mut self.nodes[n].refused) {
                self.event(n, Event::SendFailed(no));
            }
            self.event(n, Event::Flush);
        }
    }

    /// The disk answers the oldest commit that is out.
    pub fn answer(&mut self, n: usize, ok: bool) {
        let Some((_, no, writes)) = self.nodes[n].open.pop_front() else { return };
        if ok {
            write(&mut self.nodes[n].kept, writes);
        }
        self.event(n, Event::CommitFinished(no, ok));
    }

    pub fn pass(&mut self, span: Ms) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Steps until something is so; it must become so within the simulated span.
    pub fn until(&mut self, within: Ms, so: impl Fn(&Self) -> bool) {
        let end = self.now + within;
        while !so(self) {
            assert!(self.now < end, "not within {within} ms: {}", self.state());
            self.step();
        }
    }

    pub fn ask(&mut self, n: usize, key: RecordKey, change: Change, within: Ms) -> RequestNumber {
        self.asks += 1;
        let no = RequestNumber(self.asks);
        self.event(
            n,
            Event::Request(ControlRequest::ChangeRecord { number: no, key, change, timeout: within }),
        );
        no
    }

    pub fn verdict(&self, n: usize, no: RequestNumber) -> Option<&Response> {
        self.nodes[n].told.iter().find_map(|told| match told {
            ControlNotification::Response(of, verdict) if *of == no => Some(verdict),
            ControlNotification::Response(..)
            | ControlNotification::Purge(_)
            | ControlNotification::PurgesKnown(_)
            | ControlNotification::PurgesMissed
            | ControlNotification::Table(..) => None,
            ControlNotification::Policies(_) | ControlNotification::Evidence(..) => None,
        })
    }

    /// The version of the table that the router's owner was told last; 0 if none.
    pub fn version(&self, n: usize) -> u64 {
        let tables = self.nodes[n].told.iter().rev().find_map(|told| match told {
            ControlNotification::Table(version, _) => Some(version.0),
            ControlNotification::Response(..)
            | ControlNotification::Purge(_)
            | ControlNotification::PurgesKnown(_)
            | ControlNotification::PurgesMissed => None,
            ControlNotification::Policies(_) | ControlNotification::Evidence(..) => None,
        });
        tables.unwrap_or(0)
    }

    pub fn asked_purges(&self, n: usize) -> bool {
        self.nodes[n].told.iter().any(|told| matches!(told, ControlNotification::PurgesKnown(true)))
    }

    fn state(&self) -> String {
        let all =
            self.nodes.iter().map(|n| format!("{}\n{:?}\n", n.control.counts(), n.control.state_sizes()));
        all.collect()
    }
}

fn node(net: &Net, n: usize, of: usize, disk: Disk, kept: Pairs) -> Node {
    let mut out = Vec::new();
    let drawn = net.now as u64 ^ (n as u64) << 40;
    let settles = if net.regions > 0 { SETTLES_FAR } else { SETTLES };
    let standing = net.links.as_ref().is_some_and(|l| !l.mesh.contains(&n));
    let overlay = overlay(n, of, net.regions, net.keep, standing, drawn);
    let parts = ControlParts { overlay, purge_convergence_time: settles, ..parts(n, of, &kept) };
    let control = Control::new(net.now, parts, &mut out);
    let mut hello = hello(n);
    hello.table = control.table().version().unwrap_or(hello.table);
    let (mut told, mut first) = (Vec::new(), Vec::new());
    for action in out {
        match action {
            Action::Notify(one) => told.push(one),
            Action::SetLinkWanted(..) => first.push(action),
            Action::Send { .. } | Action::AdvertiseTable(..) | Action::Commit(..) => {}
        }
    }
    let (open, tables, refused) = (VecDeque::new(), Vec::new(), Vec::new());
    Node { control, hello, disk, kept, open, most_open: 0, told, tables, mute: false, refused, first }
}

pub fn write(kept: &mut Pairs, writes: Vec<Write>) {
    for write in writes {
        match write {
            Write::Put(space, key, value) => {
                kept.insert((space.0, key), value);
            }
            Write::Remove(space, key) => {
                kept.remove(&(space.0, key));
            }
        }
    }
}
