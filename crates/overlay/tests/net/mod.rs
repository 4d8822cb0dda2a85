//! Overlays on a simulated net: links with delays, kills, cuts, all from a seed.
#![allow(dead_code)]

use basaltgw_overlay::{Action, Event, Kind, Overlay, RouterEntry, RouterList, Settings, Shape, Side};
use basaltgw_structures::hash::{mix, unit};
use basaltgw_types::{Incarnation, Member, RouterId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// Milliseconds.
pub type Ms = f64;

/// A fleet: regions with routers in three zones each, two sites a zone, two racks a site; control machines in regions of their own.
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

/// What is under way.
#[derive(Clone, Debug)]
enum Way {
    Dial { from: usize, to: usize },
    Frame { conn: usize, to: usize, bytes: Vec<u8> },
    End { conn: usize, to: usize },
    Wake(usize),
}

#[derive(Clone)]
struct Conn {
    ends: [usize; 2],
    open: [bool; 2],
    /// Frames vanish since it was cut.
    dead: bool,
    /// Frames wait until then.
    stalled: Ms,
}

/// What a router was told.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Each word with how often and when first.
    pub new: BTreeMap<Vec<u8>, (u32, Ms)>,
    /// Numbers that were missed.
    pub missed: u64,
    /// Reports.
    pub reports: Vec<String>,
}

#[derive(Clone)]
pub struct Net {
    pub now: Ms,
    pub listed: Vec<RouterEntry>,
    pub list: Arc<RouterList>,
    pub nodes: Vec<Option<Overlay>>,
    pub seen: Vec<Seen>,
    /// The side of a cut that each router is on.
    pub sides: Vec<u8>,
    /// The most links that a router had.
    pub most_links: usize,
    lives: Vec<u64>,
    conns: Vec<Conn>,
    by_pair: BTreeMap<(usize, usize), usize>,
    numbers: BTreeMap<RouterId, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    ways: Vec<Option<Way>>,
    free: Vec<usize>,
    seq: u64,
    woken: Vec<u64>,
    seed: u64,
    settings: Settings,
    adapt: fn(Overlay) -> Overlay,
}

fn micros(ms: Ms) -> u64 {
    (ms * 1000.0).ceil() as u64
}

impl Net {
    pub fn new(listed: Vec<RouterEntry>, shape: Shape, settings: Settings, seed: u64) -> Self {
        Self::adapted(listed, shape, settings, seed, |o| o)
    }

    /// With overlays changed before they start: broken ones.
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
            seen: vec![Seen::default(); n],
            sides: vec![0; n],
            most_links: 0,
            lives: vec![0; n],
            conns: Vec::new(),
            by_pair: BTreeMap::new(),
            numbers,
            queue: BinaryHeap::new(),
            ways: Vec::new(),
            free: Vec::new(),
            seq: 0,
            woken: vec![u64::MAX; n],
            seed,
            settings,
            adapt,
        };
        (0..n).for_each(|i| net.start(i));
        net
    }

    pub fn draw(&mut self) -> f64 {
        self.seed = mix(self.seed, 1);
        unit(self.seed)
    }

    /// A router starts, or starts anew with nothing.
    pub fn start(&mut self, i: usize) {
        self.lives[i] += 1;
        let drawn = mix(self.seed, mix(i as u64, self.lives[i]));
        let me = self.listed[i].router.clone();
        let overlay = Overlay::new(me, self.settings.clone(), drawn).expect("settings");
        self.nodes[i] = Some((self.adapt)(overlay));
        self.seen[i] = Seen::default();
        self.woken[i] = u64::MAX;
        self.event(i, Event::RouterListChanged(self.list.clone()));
    }

    /// A router ends; its neighbours' links break, or go on in silence.
    pub fn kill(&mut self, i: usize, silent: bool) {
        self.nodes[i] = None;
        let of: Vec<usize> =
            self.by_pair.iter().filter(|((a, b), _)| *a == i || *b == i).map(|(_, c)| *c).collect();
        for conn in of {
            let side = usize::from(self.conns[conn].ends[1] == i);
            self.conns[conn].open[side] = false;
            if silent {
                self.conns[conn].dead = true;
            } else {
                self.end(conn, 1 - side);
            }
        }
    }

    /// Links between different sides go silent.
    pub fn cut(&mut self) {
        for conn in self.by_pair.values() {
            let [a, b] = self.conns[*conn].ends;
            self.conns[*conn].dead |= self.sides[a] != self.sides[b];
        }
    }

    /// Frames of a link wait for a while.
    pub fn stall(&mut self, at: usize, span: Ms) {
        if let Some(conn) = self.by_pair.values().nth(at).copied() {
            self.conns[conn].stalled = self.now + span;
        }
    }

    /// How many links stand.
    pub fn standing(&self) -> usize {
        self.by_pair.len()
    }

    /// A random link breaks.
    pub fn break_any(&mut self) {
        let at = (self.draw() * self.by_pair.len() as f64) as usize;
        self.break_one(at);
    }

    /// A link breaks.
    pub fn break_one(&mut self, at: usize) {
        if let Some(conn) = self.by_pair.values().nth(at).copied() {
            self.end(conn, 0);
            self.end(conn, 1);
        }
    }

    fn member(&self, i: usize) -> Member {
        Member { router: self.listed[i].router.clone(), incarnation: Incarnation(u128::from(self.lives[i])) }
    }

    fn delay(&self, a: usize, b: usize) -> Ms {
        let far = self.listed[a].region != self.listed[b].region;
        let part = unit(mix(a.min(b) as u64, a.max(b) as u64));
        if far {
            20.0 + 60.0 * part
        } else {
            1.0 + 4.0 * part
        }
    }

    fn later(&mut self, after: Ms, way: Way) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.ways.push(None);
            self.ways.len() - 1
        });
        self.ways[slot] = Some(way);
        self.seq += 1;
        self.queue.push(Reverse((micros(self.now + after), self.seq, slot)));
    }

    fn end(&mut self, conn: usize, side: usize) {
        let [a, b] = self.conns[conn].ends;
        self.by_pair.remove(&(a.min(b), a.max(b)));
        let to = self.conns[conn].ends[side];
        self.later(self.delay(a, b), Way::End { conn, to });
    }

    pub fn event(&mut self, i: usize, event: Event) {
        let Some(overlay) = &mut self.nodes[i] else {
            return;
        };
        let mut out = Vec::new();
        overlay.handle(self.now, event, &mut out);
        self.most_links = self.most_links.max(overlay.links().count());
        let due = overlay.next_timer().max(self.now);
        if micros(due) < self.woken[i] {
            self.woken[i] = micros(due);
            self.later((due - self.now).max(0.0), Way::Wake(i));
        }
        for action in out {
            self.act(i, action);
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::Dial(router) => {
                let to = self.numbers[&router];
                self.later(2.0 * self.delay(i, to), Way::Dial { from: i, to });
            }
            Action::Close(member) => {
                let to = self.numbers[&member.router];
                if let Some(conn) = self.by_pair.get(&(i.min(to), i.max(to))).copied() {
                    let side = usize::from(self.conns[conn].ends[1] == i);
                    self.conns[conn].open[side] = false;
                    self.end(conn, 1 - side);
                }
            }
            Action::Send(member, _, bytes) => {
                let to = self.numbers[&member.router];
                if let Some(conn) = self.by_pair.get(&(i.min(to), i.max(to))).copied() {
                    if !self.conns[conn].dead {
                        let wait = (self.conns[conn].stalled - self.now).max(0.0);
                        self.later(wait + self.delay(i, to), Way::Frame { conn, to, bytes });
                    }
                }
            }
            Action::Deliver(_, word, _) => {
                let now = self.now;
                self.seen[i].new.entry(word).or_insert((0, now)).0 += 1;
            }
            Action::GapDetected { from, to, .. } => self.seen[i].missed += to + 1 - from,
            Action::Log(line) => self.seen[i].reports.push(line),
        }
    }

    fn dialled(&mut self, from: usize, to: usize) {
        let apart = self.sides[from] != self.sides[to];
        if self.nodes[from].is_none() {
            return;
        }
        let pair = (from.min(to), from.max(to));
        if self.nodes[to].is_none() || apart || self.by_pair.contains_key(&pair) {
            let router = self.listed[to].router.clone();
            return self.event(from, Event::DialFailed(router));
        }
        self.conns.push(Conn { ends: [from, to], open: [true, true], dead: false, stalled: 0.0 });
        self.by_pair.insert(pair, self.conns.len() - 1);
        let (them, us) = (self.member(to), self.member(from));
        self.event(from, Event::LinkUp(them, Side::Local));
        self.event(to, Event::LinkUp(us, Side::Remote));
    }

    /// Whether a conn is open at an end, and who is at the other.
    fn end_of(&self, conn: usize, to: usize) -> (usize, Member, bool) {
        let c = &self.conns[conn];
        let side = usize::from(c.ends[1] == to);
        (side, self.member(c.ends[1 - side]), c.open[side])
    }

    /// Runs for a span.
    pub fn run(&mut self, span: Ms) {
        let until = micros(self.now + span);
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied().filter(|Reverse(q)| q.0 <= until)
        {
            self.queue.pop();
            self.now = self.now.max(at as f64 / 1000.0);
            let way = self.ways[slot].take().expect("a way");
            self.free.push(slot);
            match way {
                Way::Wake(i) => {
                    if self.woken[i] == at {
                        self.woken[i] = u64::MAX;
                        self.event(i, Event::TimersDue);
                    }
                }
                Way::Dial { from, to } => self.dialled(from, to),
                Way::Frame { conn, to, bytes } => {
                    let (_, other, open) = self.end_of(conn, to);
                    if open && !self.conns[conn].dead {
                        self.event(to, Event::FrameReceived(other, bytes));
                    }
                }
                Way::End { conn, to } => {
                    let (side, other, open) = self.end_of(conn, to);
                    self.conns[conn].open[side] = false;
                    if open {
                        self.event(to, Event::LinkDown(other));
                    }
                }
            }
        }
        self.now = self.now.max(until as f64 / 1000.0);
    }

    /// Runs until a condition holds; false if it doesn't within a span.
    pub fn until(&mut self, span: Ms, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + span;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.run(50.0);
        }
        true
    }

    pub fn say(&mut self, i: usize, kind: Kind, word: &str) {
        self.event(i, Event::Publish(kind, word.as_bytes().to_vec()));
    }

    pub fn live(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].is_some())
    }

    pub fn of_region(&self, region: &str) -> Vec<usize> {
        (0..self.listed.len()).filter(|i| &*self.listed[*i].region == region).collect()
    }

    /// Whether all who live, but the one who said it, were told a word; and nobody twice.
    pub fn all_told(&self, word: &str, but: usize) -> bool {
        self.live().filter(|i| *i != but).all(|i| self.seen[i].new.contains_key(word.as_bytes()))
    }

    pub fn nobody_twice(&self) -> bool {
        self.seen.iter().all(|s| s.new.values().all(|(times, _)| *times == 1))
    }

    pub fn nobody_missed(&self) -> bool {
        self.live().all(|i| self.seen[i].missed == 0)
    }

    /// Whether all have the links that they want, and are up to date within a span.
    pub fn settled(&self, within: Ms) -> bool {
        self.live().all(|i| {
            let overlay = self.nodes[i].as_ref().expect("lives");
            overlay.behind(self.now).age.is_some_and(|age| age <= within)
        })
    }
}
