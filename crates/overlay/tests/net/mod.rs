//! Overlays on a simulated network with delays, killed routers and partitions, seeded.
#![allow(dead_code)]

use basaltgw_overlay::{Action, Event, Kind, Overlay, RouterEntry, RouterList, Settings, Shape, Side};
use basaltgw_structures::hash::{mix, unit_interval};
use basaltgw_types::{Incarnation, Member, RouterId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// Milliseconds.
pub type Ms = f64;

/// A fleet: three zones in each region, two sites in each zone, two racks in each site; control machines in regions of their own.
pub fn listed(regions: usize, each: usize, control: usize) -> Vec<RouterEntry> {
    let router = |name: String, region: String, place: usize, control| RouterEntry {
        router: RouterId(Arc::from(name)),
        region: Arc::from(region),
        zone: Arc::from(format!("z{}", place % 3)),
        site: Arc::from(format!("s{}", place / 3 % 2)),
        rack: Arc::from(format!("k{}", place / 6 % 2)),
        control,
    };
    let ordinary = (0..regions * each).map(|i| {
        let (region, place) = (i / each, i % each);
        router(format!("r{region}-{place}"), format!("g{region}"), place, false)
    });
    let all = (0..control).map(|i| router(format!("c{i}"), format!("c{}", i % 3), i, true)).chain(ordinary);
    all.collect()
}

/// Scheduled event.
#[derive(Clone, Debug)]
enum Transit {
    Dial { from: usize, to: usize },
    Frame { conn: usize, to: usize, bytes: Vec<u8> },
    End { conn: usize, to: usize },
    Wake(usize),
}

#[derive(Clone)]
struct Connection {
    ends: [usize; 2],
    open: [bool; 2],
    /// Frames are lost because of a partition.
    dead: bool,
    /// Frames are delayed until this time.
    stalled: Ms,
}

/// Observed actions of a router.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Number of deliveries of each update, and the time of the first.
    pub deliveries: BTreeMap<Vec<u8>, (u32, Ms)>,
    /// Number of updates reported as a gap.
    pub missed: u64,
    /// Log lines.
    pub reports: Vec<String>,
}

#[derive(Clone)]
pub struct Network {
    pub now: Ms,
    pub listed: Vec<RouterEntry>,
    pub list: Arc<RouterList>,
    pub nodes: Vec<Option<Overlay>>,
    pub observed: Vec<Observed>,
    /// Side of a partition that each router is on.
    pub sides: Vec<u8>,
    /// Largest number of links of a router.
    pub most_links: usize,
    incarnations: Vec<u64>,
    connections: Vec<Connection>,
    by_pair: BTreeMap<(usize, usize), usize>,
    numbers: BTreeMap<RouterId, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    slots: Vec<Option<Transit>>,
    free: Vec<usize>,
    seq: u64,
    next_wake_us: Vec<u64>,
    seed: u64,
    settings: Settings,
    adapt: fn(Overlay) -> Overlay,
}

fn micros(ms: Ms) -> u64 {
    (ms * 1000.0).ceil() as u64
}

impl Network {
    pub fn new(listed: Vec<RouterEntry>, shape: Shape, settings: Settings, seed: u64) -> Self {
        Self::adapted(listed, shape, settings, seed, |o| o)
    }

    /// With overlays changed before their first event, for injected bugs.
    pub fn adapted(
        listed: Vec<RouterEntry>,
        shape: Shape,
        settings: Settings,
        seed: u64,
        adapt: fn(Overlay) -> Overlay,
    ) -> Self {
        let list = Arc::new(RouterList::new(1, shape, listed.clone()).expect("a list"));
        let n = listed.len();
        let numbers = listed.iter().enumerate().map(|(i, l)| (l.router.clone(), i)).collect();
        let mut net = Self {
            now: 0.0,
            listed,
            list,
            nodes: vec![None; n],
            observed: vec![Observed::default(); n],
            sides: vec![0; n],
            most_links: 0,
            incarnations: vec![0; n],
            connections: Vec::new(),
            by_pair: BTreeMap::new(),
            numbers,
            queue: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            seq: 0,
            next_wake_us: vec![u64::MAX; n],
            seed,
            settings,
            adapt,
        };
        (0..n).for_each(|i| net.start(i));
        net
    }

    pub fn random(&mut self) -> f64 {
        self.seed = mix(self.seed, 1);
        unit_interval(self.seed)
    }

    /// Starts or restarts a router without state.
    pub fn start(&mut self, i: usize) {
        self.incarnations[i] += 1;
        let seed = mix(self.seed, mix(i as u64, self.incarnations[i]));
        let me = self.listed[i].router.clone();
        let overlay = Overlay::new(me, self.settings.clone(), seed).expect("settings");
        self.nodes[i] = Some((self.adapt)(overlay));
        self.observed[i] = Observed::default();
        self.next_wake_us[i] = u64::MAX;
        self.event(i, Event::RouterListChanged(self.list.clone()));
    }

    /// Stops a router; its neighbors' links close or go silent.
    pub fn kill(&mut self, i: usize, silent: bool) {
        self.nodes[i] = None;
        let of: Vec<usize> =
            self.by_pair.iter().filter(|((a, b), _)| *a == i || *b == i).map(|(_, c)| *c).collect();
        for conn in of {
            let side = usize::from(self.connections[conn].ends[1] == i);
            self.connections[conn].open[side] = false;
            if silent {
                self.connections[conn].dead = true;
            } else {
                self.end(conn, 1 - side);
            }
        }
    }

    /// Links between different sides go silent.
    pub fn partition(&mut self) {
        for conn in self.by_pair.values() {
            let [a, b] = self.connections[*conn].ends;
            self.connections[*conn].dead |= self.sides[a] != self.sides[b];
        }
    }

    /// Delays the frames of a link.
    pub fn stall(&mut self, at: usize, span: Ms) {
        if let Some(conn) = self.by_pair.values().nth(at).copied() {
            self.connections[conn].stalled = self.now + span;
        }
    }

    /// Number of links.
    pub fn link_count(&self) -> usize {
        self.by_pair.len()
    }

    /// Closes a random link.
    pub fn break_random_link(&mut self) {
        let at = (self.random() * self.by_pair.len() as f64) as usize;
        self.break_link(at);
    }

    /// Closes a link.
    pub fn break_link(&mut self, at: usize) {
        if let Some(conn) = self.by_pair.values().nth(at).copied() {
            self.end(conn, 0);
            self.end(conn, 1);
        }
    }

    fn member(&self, i: usize) -> Member {
        Member {
            router: self.listed[i].router.clone(),
            incarnation: Incarnation(u128::from(self.incarnations[i])),
        }
    }

    fn delay(&self, a: usize, b: usize) -> Ms {
        let far = self.listed[a].region != self.listed[b].region;
        let part = unit_interval(mix(a.min(b) as u64, a.max(b) as u64));
        if far {
            20.0 + 60.0 * part
        } else {
            1.0 + 4.0 * part
        }
    }

    fn schedule(&mut self, after: Ms, transit: Transit) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(transit);
        self.seq += 1;
        self.queue.push(Reverse((micros(self.now + after), self.seq, slot)));
    }

    fn end(&mut self, conn: usize, side: usize) {
        let [a, b] = self.connections[conn].ends;
        self.by_pair.remove(&(a.min(b), a.max(b)));
        let to = self.connections[conn].ends[side];
        self.schedule(self.delay(a, b), Transit::End { conn, to });
    }

    pub fn event(&mut self, i: usize, event: Event) {
        let Some(overlay) = &mut self.nodes[i] else {
            return;
        };
        let mut out = Vec::new();
        overlay.handle(self.now, event, &mut out);
        self.most_links = self.most_links.max(overlay.links().count());
        let due = overlay.next_timer().max(self.now);
        if micros(due) < self.next_wake_us[i] {
            self.next_wake_us[i] = micros(due);
            self.schedule((due - self.now).max(0.0), Transit::Wake(i));
        }
        for action in out {
            self.act(i, action);
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::Dial(router) => {
                let to = self.numbers[&router];
                self.schedule(2.0 * self.delay(i, to), Transit::Dial { from: i, to });
            }
            Action::Close(member) => {
                let to = self.numbers[&member.router];
                if let Some(conn) = self.by_pair.get(&(i.min(to), i.max(to))).copied() {
                    let side = usize::from(self.connections[conn].ends[1] == i);
                    self.connections[conn].open[side] = false;
                    self.end(conn, 1 - side);
                }
            }
            Action::Send(member, _, bytes) => {
                let to = self.numbers[&member.router];
                if let Some(conn) = self.by_pair.get(&(i.min(to), i.max(to))).copied() {
                    if !self.connections[conn].dead {
                        let wait = (self.connections[conn].stalled - self.now).max(0.0);
                        self.schedule(wait + self.delay(i, to), Transit::Frame { conn, to, bytes });
                    }
                }
            }
            Action::Deliver(_, update, _) => {
                let now = self.now;
                self.observed[i].deliveries.entry(update).or_insert((0, now)).0 += 1;
            }
            Action::GapDetected { from, to, .. } => self.observed[i].missed += to + 1 - from,
            Action::Log(line) => self.observed[i].reports.push(line),
        }
    }

    fn on_dial(&mut self, from: usize, to: usize) {
        let apart = self.sides[from] != self.sides[to];
        if self.nodes[from].is_none() {
            return;
        }
        let pair = (from.min(to), from.max(to));
        if self.nodes[to].is_none() || apart || self.by_pair.contains_key(&pair) {
            let router = self.listed[to].router.clone();
            return self.event(from, Event::DialFailed(router));
        }
        self.connections.push(Connection { ends: [from, to], open: [true, true], dead: false, stalled: 0.0 });
        self.by_pair.insert(pair, self.connections.len() - 1);
        let (them, us) = (self.member(to), self.member(from));
        self.event(from, Event::LinkUp(them, Side::Local));
        self.event(to, Event::LinkUp(us, Side::Remote));
    }

    /// One end of a connection: its side, the member at the other end, and whether it is open.
    fn end_of(&self, conn: usize, to: usize) -> (usize, Member, bool) {
        let c = &self.connections[conn];
        let side = usize::from(c.ends[1] == to);
        (side, self.member(c.ends[1 - side]), c.open[side])
    }

    /// Runs for a span of milliseconds.
    pub fn run(&mut self, span: Ms) {
        let until = micros(self.now + span);
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied().filter(|Reverse(q)| q.0 <= until)
        {
            self.queue.pop();
            self.now = self.now.max(at as f64 / 1000.0);
            let transit = self.slots[slot].take().expect("a way");
            self.free.push(slot);
            match transit {
                Transit::Wake(i) => {
                    if self.next_wake_us[i] == at {
                        self.next_wake_us[i] = u64::MAX;
                        self.event(i, Event::TimersDue);
                    }
                }
                Transit::Dial { from, to } => self.on_dial(from, to),
                Transit::Frame { conn, to, bytes } => {
                    let (_, other, open) = self.end_of(conn, to);
                    if open && !self.connections[conn].dead {
                        self.event(to, Event::FrameReceived(other, bytes));
                    }
                }
                Transit::End { conn, to } => {
                    let (side, other, open) = self.end_of(conn, to);
                    self.connections[conn].open[side] = false;
                    if open {
                        self.event(to, Event::LinkDown(other));
                    }
                }
            }
        }
        self.now = self.now.max(until as f64 / 1000.0);
    }

    /// Runs until a condition is true; false if it isn't within a span.
    pub fn run_until(&mut self, span: Ms, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + span;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.run(50.0);
        }
        true
    }

    pub fn publish(&mut self, i: usize, kind: Kind, update: &str) {
        self.event(i, Event::Publish(kind, update.as_bytes().to_vec()));
    }

    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].is_some())
    }

    pub fn routers_of_region(&self, region: &str) -> Vec<usize> {
        (0..self.listed.len()).filter(|i| &*self.listed[*i].region == region).collect()
    }

    /// Whether an update was delivered at all running routers except `but`.
    pub fn all_received(&self, update: &str, but: usize) -> bool {
        self.running()
            .filter(|i| *i != but)
            .all(|i| self.observed[i].deliveries.contains_key(update.as_bytes()))
    }

    pub fn has_no_duplicates(&self) -> bool {
        self.observed.iter().all(|s| s.deliveries.values().all(|(times, _)| *times == 1))
    }

    pub fn has_no_gaps(&self) -> bool {
        self.running().all(|i| self.observed[i].missed == 0)
    }

    /// Whether all running routers have caught up within a span.
    pub fn all_caught_up(&self, within: Ms) -> bool {
        self.running().all(|i| {
            let overlay = self.nodes[i].as_ref().expect("a running router");
            overlay.behind(self.now).age.is_some_and(|age| age <= within)
        })
    }
}
