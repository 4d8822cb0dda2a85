//! Sites, links, and routers round the decisions, in simulated time.

use super::load::{arrivals, ask, site, Draws, AIM, DEADLINE, LATE_VALUE};
use super::{Figures, Setup, Trouble, Way};
use crate::api::{
    Action, AttemptNo, Came, Copy, Decide, Ended, Event, Evidence, GatherNo, How, PartNo, Verdict,
};
use crate::settings::BadSetting;
use basaltgw_structures::hash::mix;
use basaltgw_types::{Ms, RouterId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

/// The site in trouble.
const TROUBLED: usize = 0;
/// Time for an answer at a site by itself: median, in milliseconds, and deviation of the logarithm.
const SERVICE: (Ms, f64) = (25.0, 0.6);
/// Places at a site, over what its usual load takes up.
const ROOM: f64 = 2.0;
/// What waits in line at a site, in places; more is turned away.
const LINE: f64 = 4.0;
/// How long those are told to stay away, in milliseconds.
const AWAY: Ms = 200.0;
/// One way between a router and a site, in milliseconds.
const NETWORK_DELAY_RANGE_MS: (Ms, Ms) = (0.5, 6.0);
/// Putting an answer together, in milliseconds.
const MERGE_TIME_MS: Ms = 0.5;
/// A word passes to so many routers, after a time of this in milliseconds.
const FAN_OUT: usize = 8;
/// See [`FAN_OUT`].
const GOSSIP: (Ms, Ms) = (100.0, 500.0);
/// A slow site takes so many times as long.
const SLOW: f64 = 10.0;
/// A cold one: share of its places, and times as long; both are usual after so many milliseconds.
const COLD: (f64, f64, Ms) = (0.1, 3.0, 6_000.0);
/// Over which asks at the site in trouble are counted, in milliseconds.
const STEP: Ms = 200.0;
/// How it is met right after the trouble, and for how long its load is followed, in milliseconds.
const MET: Ms = 1_000.0;
/// See [`MET`].
const AFTER: Ms = 3_000.0;

/// An attempt, anywhere.
type Key = (usize, GatherNo, AttemptNo);

#[derive(Debug)]
enum Happens {
    Asked(usize, usize),
    Reached(usize, Key),
    Served(usize, Key, Ms),
    Back(Key, Result<Ms, How>),
    Heard(usize, usize, Evidence),
    Woken(usize, Ms),
}

#[derive(Debug, Default)]
struct Server {
    busy: usize,
    line: VecDeque<(Key, Ms)>,
    asks: Vec<u32>,
}

struct Router {
    decide: Box<dyn Decide>,
    timer: Option<Ms>,
    /// Worth of parts, when asked.
    open: BTreeMap<GatherNo, (Ms, BTreeMap<PartNo, f64>)>,
}

struct World<'a> {
    setup: &'a Setup,
    now: Ms,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happens: BTreeMap<u64, Happens>,
    order: u64,
    servers: Vec<Server>,
    places: usize,
    routers: Vec<Router>,
    /// Attempts that nobody gave up, and where.
    wanted: BTreeMap<Key, (usize, Ms, bool)>,
    turns: Vec<Ms>,
    figures: Figures,
    total: (f64, f64),
    got: (f64, f64),
    times: Vec<Ms>,
    parts: u64,
    waits: u64,
}

/// Plays one run.
///
/// # Errors
/// If a setting is out of its range.
pub fn run(setup: &Setup, way: Way) -> Result<Figures, BadSetting> {
    let mut routers = Vec::new();
    for r in 0..setup.routers {
        let decide = way.make(&setup.settings, Draws::new(setup.seed, 3, r as u64).next().to_bits())?;
        routers.push(Router { decide, timer: None, open: BTreeMap::new() });
    }
    // 5.5 parts on average, each a service's mean time.
    let mean = SERVICE.0 * (SERVICE.1 * SERVICE.1 / 2.0).exp();
    let used = setup.routers as f64 * setup.rate * 5.5 / setup.sites as f64 * mean / 1_000.0;
    let (begins, ends) = setup.span();
    let (mut draws, mut turns) = (Draws::new(setup.seed, 4, 0), vec![begins]);
    while turns.last().is_some_and(|t| *t < ends) {
        turns.extend(turns.last().map(|t| t + 300.0 + 1_200.0 * draws.next()));
    }
    let mut world = World {
        setup,
        now: 0.0,
        queue: BinaryHeap::new(),
        happens: BTreeMap::new(),
        order: 0,
        servers: (0..setup.sites).map(|_| Server::default()).collect(),
        places: (used * ROOM).ceil().max(2.0) as usize,
        routers,
        wanted: BTreeMap::new(),
        turns,
        figures: Figures::default(),
        total: (0.0, 0.0),
        got: (0.0, 0.0),
        times: Vec::new(),
        parts: 0,
        waits: 0,
    };
    for r in 0..setup.routers {
        world.tell(r, Event::Fleet(setup.routers));
        arrivals(setup, r).into_iter().enumerate().for_each(|(n, at)| world.at(at, Happens::Asked(r, n)));
    }
    while let Some(Reverse((at, order))) = world.queue.pop() {
        world.now = f64::from_bits(at);
        if let Some(happens) = world.happens.remove(&order) {
            world.step(happens);
        }
    }
    Ok(world.end())
}

impl World<'_> {
    fn at(&mut self, at: Ms, happens: Happens) {
        self.order += 1;
        self.queue.push(Reverse((at.max(self.now).to_bits(), self.order)));
        self.happens.insert(self.order, happens);
    }

    fn amid(&self, at: Ms) -> bool {
        let (begins, ends) = self.setup.span();
        self.setup.trouble != Trouble::Calm && (begins..ends).contains(&at)
    }

    /// True if a site says nothing now.
    fn mute(&self, s: usize) -> bool {
        let turn = self.turns.iter().filter(|t| **t <= self.now).count();
        s == TROUBLED
            && self.amid(self.now)
            && match self.setup.trouble {
                Trouble::Lost => true,
                Trouble::Flapping => turn % 2 == 1,
                Trouble::Calm | Trouble::Slow | Trouble::Cold => false,
            }
    }

    /// Places of a site, and how many times as long it takes.
    fn pace(&self, s: usize) -> (usize, f64) {
        let since = (self.now - self.setup.span().0) / COLD.2;
        match self.setup.trouble {
            Trouble::Slow if s == TROUBLED && self.amid(self.now) => (self.places, SLOW),
            Trouble::Cold if s == TROUBLED && (0.0..1.0).contains(&since) => {
                let share = COLD.0 + (1.0 - COLD.0) * since;
                ((self.places as f64 * share).ceil() as usize, COLD.1 + (1.0 - COLD.1) * since)
            }
            _ => (self.places, 1.0),
        }
    }

    /// The way between a router and a site.
    fn travel(&self, r: usize, s: usize) -> Ms {
        let draw = Draws::new(self.setup.seed, 5, (r * self.setup.sites + s) as u64).next();
        NETWORK_DELAY_RANGE_MS.0 + (NETWORK_DELAY_RANGE_MS.1 - NETWORK_DELAY_RANGE_MS.0) * draw
    }

    fn step(&mut self, happens: Happens) {
        match happens {
            Happens::Asked(r, nth) => {
                let ask = ask(self.setup, r, nth);
                let worth = |(t, a): (f64, f64), w: f64, amid: bool| (t + w, a + if amid { w } else { 0.0 });
                let of: BTreeMap<PartNo, f64> = ask.parts.iter().map(|p| (p.part, p.worth)).collect();
                self.total = worth(self.total, of.values().sum(), self.amid(self.now));
                self.figures.asked += 1;
                self.parts += of.len() as u64;
                self.routers[r].open.insert(ask.no, (self.now, of));
                self.tell(r, Event::Ask(ask));
            }
            Happens::Reached(s, key) => self.reached(s, key),
            Happens::Served(s, key, began) => {
                self.servers[s].busy -= 1;
                if !self.mute(s) {
                    let back = self.now + self.travel(key.0, s);
                    self.at(back, Happens::Back(key, Ok(self.now - began)));
                }
                self.serve(s);
            }
            Happens::Back(key, how) => {
                let Some((s, asked, probe)) = self.wanted.remove(&key) else { return };
                let late = s == TROUBLED && !probe && self.now - asked > AIM;
                self.waits += u64::from(late);
                let (r, no, attempt) = key;
                let came = |took| Came {
                    no,
                    attempt,
                    version: Arc::from("v"),
                    born: 1,
                    whole: true,
                    len: 1,
                    took,
                    purges: vec![],
                };
                let event = match how {
                    Ok(took) => Event::Came(came(took)),
                    Err(how) => Event::Ended(Ended { no, attempt, how }),
                };
                self.tell(r, event);
            }
            Happens::Heard(to, from, word) => {
                self.tell(to, Event::Heard(RouterId(format!("r{from}").into()), word))
            }
            Happens::Woken(r, at) => {
                if self.routers[r].timer == Some(at) {
                    self.routers[r].timer = None;
                    self.tell(r, Event::Timer);
                }
            }
        }
    }

    fn reached(&mut self, s: usize, key: Key) {
        if s == TROUBLED {
            let step = (self.now / STEP) as usize;
            let asks = &mut self.servers[s].asks;
            asks.resize(asks.len().max(step + 1), 0);
            asks[step] += 1;
        }
        if self.mute(s) {
            return;
        }
        if self.servers[s].line.len() as f64 >= self.places as f64 * LINE {
            let back = self.now + self.travel(key.0, s);
            return self.at(back, Happens::Back(key, Err(How::Refused(AWAY))));
        }
        self.servers[s].line.push_back((key, self.now));
        self.serve(s);
    }

    /// Takes from a site's line what places are free for; what was given up is passed over.
    fn serve(&mut self, s: usize) {
        let (places, times) = self.pace(s);
        while self.servers[s].busy < places {
            let Some((key, came)) = self.servers[s].line.pop_front() else { return };
            if !self.wanted.contains_key(&key) {
                continue;
            }
            // The same luck for every way to decide: it hangs on the request and the site alone.
            let (r, no, _) = key;
            let mut draws = Draws::new(self.setup.seed, 6 + s as u64, mix(r as u64, no.0));
            let took = draws.log_normal(SERVICE.0, SERVICE.1) * times;
            self.servers[s].busy += 1;
            self.at(self.now + took, Happens::Served(s, key, came));
        }
    }

    /// Tells a router something and does what it wants.
    fn tell(&mut self, r: usize, event: Event) {
        let mut acts = Vec::new();
        self.routers[r].decide.handle(self.now, event, &mut acts);
        for act in acts {
            match act {
                Action::Fetch { no, attempt, site: to, copy, .. } => {
                    let Some(s) = (0..self.setup.sites).find(|s| site(*s) == to) else { continue };
                    self.wanted.insert((r, no, attempt), (s, self.now, copy == Copy::Probe));
                    self.at(self.now + self.travel(r, s), Happens::Reached(s, (r, no, attempt)));
                }
                Action::Drop(no, attempt) => {
                    let gone = self.wanted.remove(&(r, no, attempt));
                    self.waits += u64::from(gone.is_some_and(|(s, _, probe)| s == TROUBLED && !probe));
                }
                Action::Answer(no, verdict) => self.answered(r, no, verdict),
                Action::Tell(word) if self.setup.gossip => self.gossip(r, word),
                Action::Tell(_) => {}
                Action::Timer(at) => {
                    self.routers[r].timer = Some(at);
                    self.at(at, Happens::Woken(r, at));
                }
            }
        }
    }

    fn gossip(&mut self, from: usize, word: Evidence) {
        let mut draws = Draws::new(self.setup.seed, 7 + from as u64, self.order);
        let n = self.routers.len();
        let to: BTreeSet<usize> = match n <= FAN_OUT + 1 {
            true => (0..n).collect(),
            false => (0..FAN_OUT).map(|_| draws.below(n)).collect(),
        };
        for to in to.into_iter().filter(|to| *to != from) {
            let age = GOSSIP.0 + (GOSSIP.1 - GOSSIP.0) * draws.next();
            self.at(self.now + age, Happens::Heard(to, from, Evidence { age, ..word.clone() }));
        }
    }

    fn answered(&mut self, r: usize, no: GatherNo, verdict: Verdict) {
        let Some((asked, of)) = self.routers[r].open.remove(&no) else { return };
        let took = self.now - asked + MERGE_TIME_MS;
        self.times.push(took);
        let used = match verdict {
            Verdict::Whole { used } => {
                self.figures.whole += 1;
                used
            }
            Verdict::Part { used, .. } => {
                self.figures.part += 1;
                used
            }
            Verdict::Refused { .. } => {
                self.figures.refused += 1;
                return;
            }
            Verdict::Failed | Verdict::Unfit(_) => {
                self.figures.failed += 1;
                return;
            }
        };
        let value = match took {
            t if t <= AIM => 1.0,
            t if t <= DEADLINE => LATE_VALUE,
            _ => 0.0,
        };
        let got = value * used.iter().filter_map(|u| of.get(&u.part)).sum::<f64>();
        self.got.0 += got;
        self.got.1 += if self.amid(asked) { got } else { 0.0 };
    }

    fn end(mut self) -> Figures {
        let mut f = std::mem::take(&mut self.figures);
        f.worth = self.got.0 / self.total.0.max(f64::MIN_POSITIVE);
        f.worth_amid = if self.total.1 > 0.0 { self.got.1 / self.total.1 } else { f.worth };
        self.times.sort_by(f64::total_cmp);
        let n = self.times.len();
        f.mean = self.times.iter().sum::<f64>() / n.max(1) as f64;
        f.p99 = self.times.get(n * 99 / 100).copied().unwrap_or(0.0);
        let count = |of: fn(&crate::Counters) -> u64| {
            self.routers.iter().map(|r| of(r.decide.counters())).sum::<u64>()
        };
        let first = count(|c| c.first);
        f.probes = count(|c| c.probes);
        f.load = (first + count(|c| c.again + c.second + c.probes)) as f64 / self.parts.max(1) as f64;
        f.seconds = count(|c| c.second) as f64 / first.max(1) as f64;
        f.waits = self.waits as f64 / self.setup.routers as f64;
        let (begins, ends) = self.setup.span();
        let asks = &self.servers[TROUBLED].asks;
        let steps = |from: Ms, to: Ms| asks.iter().take((to / STEP) as usize).skip((from / STEP) as usize);
        let before: u32 = steps(begins / 2.0, begins).sum();
        let usual = f64::from(before) / ((begins / 2.0) / STEP).max(1.0);
        let most = steps(ends, ends + AFTER).max().copied().unwrap_or(0);
        f.met = f64::from(steps(ends, ends + MET).sum::<u32>()) / (usual * MET / STEP).max(1.0);
        f.met_most = f64::from(most) / usual.max(1.0);
        f
    }
}
