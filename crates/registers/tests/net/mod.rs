//! Holds on a network in memory, in simulated time: all faults are drawn from a seed.
#![allow(dead_code)] // Each user of it needs another part.

pub mod linear;

/// What the checker needs, by whatever name this crate has where it is used.
mod api {
    pub use basaltgw_registers::{step, Change, Record, Response};
}

use basaltgw_registers::{
    Action, Change, DiskWrite, Event, InjectedBug, Kind, RecordKey, Registers, RequestNumber, Response,
    Settings,
};
use basaltgw_types::{
    Incarnation, Member, QuorumGroup, ReplicaSet, RouterId, Shard, ShardMap, TableHash, TableVersion,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What may befall words and disks; chances from 0 to 1.
#[derive(Clone, Debug)]
pub struct Faults {
    pub lost: f64,
    pub twice: f64,
    pub delay: (f64, f64),
    pub disk: (f64, f64),
    pub disk_fails: f64,
}

impl Faults {
    pub fn none() -> Self {
        Self { lost: 0.0, twice: 0.0, delay: (0.5, 1.5), disk: (0.5, 1.5), disk_fails: 0.0 }
    }
}

#[derive(Clone, Debug)]
enum What {
    Bytes(Member, Member, Vec<u8>),
    Timer(usize, u64, u64),
    Stored(usize, u64, u64, Vec<DiskWrite>, bool),
    Given(usize, Event),
}

/// A router: its process, and the folder that outlives it.
pub struct Node {
    pub me: Member,
    pub holds: Option<Registers>,
    pub disk: BTreeMap<Vec<u8>, Vec<u8>>,
    pub disk_full: bool,
    life: u64,
    frozen: Option<Vec<What>>,
}

pub struct Answered {
    pub at: f64,
    pub router: usize,
    pub no: u64,
    pub key: RecordKey,
    pub verdict: Response,
}

pub struct Net {
    pub now: f64,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    pub set: Settings,
    pub map: Arc<ShardMap>,
    pub answers: Vec<Answered>,
    pub filled: Vec<(usize, Option<Shard>)>,
    pub behind: u64,
    /// Whoever hears of a later map gets it.
    pub fetches: bool,
    /// Directed links on which nothing passes, and nobody is told.
    pub cut: BTreeSet<(usize, usize)>,
    pub broken: InjectedBug,
    pub messages: u64,
    /// Words that a process gave out, counted over all, for faults at every step.
    pub steps: u64,
    queue: BTreeMap<(u64, u64), What>,
    seq: u64,
    seed: u64,
    lives: u128,
    asks: u64,
}

pub fn mix(a: u64, b: u64) -> u64 {
    basaltgw_structures::hash::mix(a, b)
}

pub fn member(router: usize, life: u128) -> Member {
    Member { router: RouterId(Arc::from(format!("r{router}"))), incarnation: Incarnation(life << 96) }
}

/// The router's number, by its name.
fn index(member: &Member) -> Option<usize> {
    member.router.0.strip_prefix('r')?.parse().ok()
}

pub fn effect(name: u128) -> RecordKey {
    RecordKey { kind: Kind::Execution, name }
}

/// A map in which shard `s` is kept by `copies` of the members, from the `s`th on.
pub fn map(epoch: u64, shards: usize, copies: usize, members: &[Member]) -> ShardMap {
    let group = |s: usize| (0..copies).map(|i| members[(s + i) % members.len()].clone()).collect();
    let keepers = |s: usize| ReplicaSet { groups: vec![QuorumGroup::majority(group(s))] };
    ShardMap {
        epoch,
        version: TableVersion(epoch),
        hash: TableHash([0; 32]),
        shards: (0..shards).map(keepers).collect(),
        root: keepers(0),
    }
}

/// Both maps at once, and then the later one alone.
pub fn joint(old: &ShardMap, new: &ShardMap) -> [ShardMap; 2] {
    let both = |a: &ReplicaSet, b: &ReplicaSet| match a == b {
        true => a.clone(),
        false => ReplicaSet { groups: vec![a.groups[0].clone(), b.groups[0].clone()] },
    };
    let shards = old.shards.iter().zip(&new.shards).map(|(a, b)| both(a, b)).collect();
    let root = both(&old.root, &new.root);
    let first = ShardMap { epoch: old.epoch + 1, shards, root, ..old.clone() };
    [first, ShardMap { epoch: old.epoch + 2, ..new.clone() }]
}

impl Net {
    pub fn new(routers: usize, shards: usize, copies: usize, seed: u64) -> Self {
        let members: Vec<Member> = (0..routers).map(|r| member(r, 1 + r as u128)).collect();
        let map = Arc::new(map(1, shards, copies, &members));
        let fresh =
            |me| Node { me, holds: None, disk: BTreeMap::new(), disk_full: false, life: 0, frozen: None };
        let mut net = Self {
            now: 0.0,
            nodes: members.into_iter().map(fresh).collect(),
            faults: Faults::none(),
            set: Settings { retransmit_interval_ms: 20.0, sync_pause_ms: 1.0, ..Settings::usual() },
            map,
            answers: Vec::new(),
            filled: Vec::new(),
            behind: 0,
            fetches: true,
            cut: BTreeSet::new(),
            broken: InjectedBug::Sound,
            messages: 0,
            steps: 0,
            queue: BTreeMap::new(),
            seq: 0,
            seed,
            lives: 1_000,
            asks: 0,
        };
        (0..routers).for_each(|r| net.start(r));
        net
    }

    /// A number between 0 and 1.
    pub fn roll(&mut self) -> f64 {
        self.seed = mix(self.seed, 0x9e37);
        basaltgw_structures::hash::unit(self.seed)
    }

    pub fn pick(&mut self, n: usize) -> usize {
        ((self.roll() * n as f64) as usize).min(n - 1)
    }

    /// Starts a router's process on what its folder holds.
    pub fn start(&mut self, router: usize) {
        let seed = mix(self.seed, router as u64);
        let node = &mut self.nodes[router];
        let records = node.disk.clone().into_iter().collect();
        let mut holds =
            Registers::new(node.me.clone(), self.set.clone(), records, seed).expect("own records");
        holds.break_as(self.broken);
        node.holds = Some(holds);
        node.life += 1;
        node.frozen = None;
        self.give(router, Event::ShardMap(self.map.clone()));
    }

    /// Kills a router's process; what was on its way to the disk is there or not.
    pub fn kill(&mut self, router: usize) {
        let node = &mut self.nodes[router];
        node.holds = None;
        node.frozen = None;
        node.life += 1;
        let stores = std::mem::take(&mut self.queue);
        for (at, what) in stores {
            match what {
                What::Stored(r, _, _, records, _) if r == router => {
                    if self.roll() < 0.5 {
                        write(&mut self.nodes[r].disk, &records);
                    }
                }
                What::Stored(..) | What::Bytes(..) | What::Timer(..) | What::Given(..) => {
                    self.queue.insert(at, what);
                }
            }
        }
    }

    /// Kills it and takes its disk: whoever starts there is another member.
    pub fn wipe(&mut self, router: usize) {
        self.kill(router);
        self.lives += 1;
        self.nodes[router].disk.clear();
        self.nodes[router].me = member(router, self.lives);
    }

    pub fn freeze(&mut self, router: usize) {
        self.nodes[router].frozen = Some(Vec::new());
    }

    pub fn wake(&mut self, router: usize) {
        let late = self.nodes[router].frozen.take().unwrap_or_default();
        late.into_iter().for_each(|what| self.happen(what));
    }

    /// Gives the map to all that run, each within so many milliseconds.
    pub fn adopt(&mut self, map: ShardMap, within: f64) {
        self.map = Arc::new(map);
        for r in 0..self.nodes.len() {
            let wait = self.roll() * within;
            self.after(wait, What::Given(r, Event::ShardMap(self.map.clone())));
        }
    }

    /// Moves to another map through both: true if all who keep anything were filled in time. What was said of filling before is forgotten.
    pub fn go_over(&mut self, to: &ShardMap, within: f64) -> bool {
        let [both, new] = joint(&self.map, to);
        self.filled.clear();
        self.adopt(both, 20.0);
        if !self.run_until(within, |net| net.all_filled()) {
            return false;
        }
        self.adopt(new, 20.0);
        self.run(30.0);
        true
    }

    /// True if all whose processes run have said that they are filled.
    pub fn all_filled(&self) -> bool {
        let runs = (0..self.nodes.len()).filter(|r| self.nodes[*r].holds.is_some());
        runs.into_iter().all(|r| self.filled.contains(&(r, None)))
    }

    /// Asks, and returns the question's number.
    pub fn ask(&mut self, router: usize, key: RecordKey, change: Change, within: f64) -> u64 {
        self.asks += 1;
        self.happen(What::Given(
            router,
            Event::Request { number: RequestNumber(self.asks), key, change, timeout: within },
        ));
        self.asks
    }

    /// Asks and runs until the answer is there.
    pub fn ask_now(&mut self, router: usize, key: RecordKey, change: Change) -> Response {
        let no = self.ask(router, key, change, 2_000.0);
        self.run_until(5_000.0, |net| net.answer(no).is_some());
        self.answer(no).cloned().expect("an answer to each question")
    }

    pub fn answer(&self, no: u64) -> Option<&Response> {
        self.answers.iter().find(|a| a.no == no).map(|a| &a.verdict)
    }

    pub fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.step(until) {}
        self.now = until;
    }

    /// True if it came to be within that time.
    pub fn run_until(&mut self, ms: f64, mut done: impl FnMut(&Self) -> bool) -> bool {
        let until = self.now + ms;
        while !done(self) {
            if !self.step(until) {
                return false;
            }
        }
        true
    }

    /// The next thing that happens, if it does by then.
    pub fn step(&mut self, until: f64) -> bool {
        let Some(entry) = self.queue.first_entry() else { return false };
        let at = entry.key().0 as f64 / 1e3;
        if at > until {
            return false;
        }
        self.now = self.now.max(at);
        let what = entry.remove();
        self.happen(what);
        true
    }

    fn happen(&mut self, what: What) {
        let router = match &what {
            What::Bytes(_, to, _) => index(to),
            What::Timer(r, ..) | What::Stored(r, ..) | What::Given(r, _) => Some(*r),
        };
        let Some(router) = router else { return };
        if let Some(late) = &mut self.nodes[router].frozen {
            return late.push(what);
        }
        let life = self.nodes[router].life;
        match what {
            What::Bytes(from, _, bytes) => self.give(router, Event::MessageReceived(from, bytes)),
            What::Timer(_, of, no) if of == life => self.give(router, Event::Timer(no)),
            What::Stored(_, of, no, records, ok) if of == life => {
                if ok {
                    write(&mut self.nodes[router].disk, &records);
                }
                self.give(router, Event::BatchStored(no, ok));
            }
            What::Given(_, event) => self.give(router, event),
            What::Timer(..) | What::Stored(..) => {}
        }
    }

    pub fn give(&mut self, router: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[router];
        let (me, life, full) = (node.me.clone(), node.life, node.disk_full);
        let Some(holds) = &mut node.holds else { return };
        let mut acts = Vec::new();
        holds.handle(now, event, &mut acts);
        for act in acts {
            match act {
                Action::Send(_, to, bytes) => self.carry(router, me.clone(), to, bytes),
                Action::Store(no, records) => {
                    self.steps += 1;
                    let ok = !full && self.roll() >= self.faults.disk_fails;
                    let wait = self.between(self.faults.disk);
                    self.after(wait, What::Stored(router, life, no, records, ok));
                }
                Action::Respond(RequestNumber(no), key, verdict) => {
                    self.answers.push(Answered { at: now, router, no, key, verdict });
                }
                Action::Timer(wait, no) => self.after(wait, What::Timer(router, life, no)),
                Action::ShardSynced(epoch, shard) if epoch == self.map.epoch => {
                    self.filled.push((router, shard))
                }
                Action::ShardSynced(..) => {}
                Action::StaleEpoch(epoch, _) => {
                    self.behind += 1;
                    if self.map.epoch >= epoch && self.fetches {
                        let map = self.map.clone();
                        self.after(2.0, What::Given(router, Event::ShardMap(map)));
                    }
                }
                Action::Log(_) => {}
            }
        }
    }

    fn carry(&mut self, from: usize, me: Member, to: Member, bytes: Vec<u8>) {
        self.messages += 1;
        self.steps += 1;
        let there = index(&to);
        if there.is_some_and(|t| self.cut.contains(&(from, t))) || self.roll() < self.faults.lost {
            return;
        }
        let copies = if self.roll() < self.faults.twice { 2 } else { 1 };
        for _ in 0..copies {
            let wait = self.between(self.faults.delay);
            self.after(wait, What::Bytes(me.clone(), to.clone(), bytes.clone()));
        }
    }

    fn between(&mut self, (least, most): (f64, f64)) -> f64 {
        least + (most - least) * self.roll()
    }

    fn after(&mut self, wait: f64, what: What) {
        self.seq += 1;
        // Beyond this nothing is waited for.
        let wait = wait.min(1e9);
        self.queue.insert((((self.now + wait) * 1e3).ceil() as u64, self.seq), what);
    }
}

fn write(disk: &mut BTreeMap<Vec<u8>, Vec<u8>>, records: &[DiskWrite]) {
    for record in records {
        match record {
            DiskWrite::Put(key, value) => drop(disk.insert(key.clone(), value.clone())),
            DiskWrite::Remove(key) => drop(disk.remove(key)),
        }
    }
}
