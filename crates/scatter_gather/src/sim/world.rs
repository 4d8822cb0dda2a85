//! Sites, links and routers around the strategies, in simulated time.

use super::load::{arrivals, generate_request, site, Draws, DEADLINE_MS, LATENCY_OBJECTIVE_MS, LATE_VALUE};
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

/// Index of the site with the injected fault.
const FAULTY_SITE: usize = 0;
/// A site's processing time, log-normal: median in milliseconds, and deviation of the logarithm.
const SERVICE_MEDIAN_MS_AND_DEVIATION: (Ms, f64) = (25.0, 0.6);
/// A site's capacity relative to its mean load.
const CAPACITY_FACTOR: f64 = 2.0;
/// A site's queue limit relative to its capacity; more is rejected.
const QUEUE_FACTOR: f64 = 4.0;
/// `Retry-After` of rejected attempts, in milliseconds.
const RETRY_AFTER_MS: Ms = 200.0;
/// One-way delay between a router and a site, in milliseconds.
const NETWORK_DELAY_RANGE_MS: (Ms, Ms) = (0.5, 6.0);
/// Time to assemble an answer, in milliseconds.
const MERGE_TIME_MS: Ms = 0.5;
/// Number of routers that receive a published observation.
const GOSSIP_FAN_OUT: usize = 8;
/// See [`GOSSIP_FAN_OUT`].
const GOSSIP_DELAY_RANGE_MS: (Ms, Ms) = (100.0, 500.0);
/// Factor on the processing time of a slow site.
const SLOW_FACTOR: f64 = 10.0;
/// A site in warm-up: initial share of its capacity, factor on its processing time, and length in milliseconds.
const WARMUP: (f64, f64, Ms) = (0.1, 3.0, 6_000.0);
/// Interval over which arrivals at the faulty site are counted, in milliseconds.
const LOAD_STEP_MS: Ms = 200.0;
/// Window after the fault over which its load is averaged, in milliseconds.
const RECOVERY_WINDOW_MS: Ms = 1_000.0;
/// See [`RECOVERY_WINDOW_MS`].
const RECOVERY_PEAK_WINDOW_MS: Ms = 3_000.0;

/// An attempt: router, request and number.
type Key = (usize, GatherNo, AttemptNo);

#[derive(Debug)]
enum SimulationEvent {
    RequestArrived(usize, usize),
    AttemptArrived(usize, Key),
    AttemptServed(usize, Key, Ms),
    ResponseArrived(Key, Result<Ms, How>),
    EvidenceArrived(usize, usize, Evidence),
    TimerFired(usize, Ms),
}

#[derive(Debug, Default)]
struct SimulatedSite {
    busy: usize,
    queue: VecDeque<(Key, Ms)>,
    arrivals_by_step: Vec<u32>,
}

struct SimulatedRouter {
    strategy: Box<dyn Decide>,
    timer: Option<Ms>,
    /// Arrival time and priority weights of the pending requests.
    pending: BTreeMap<GatherNo, (Ms, BTreeMap<PartNo, f64>)>,
}

struct World<'a> {
    setup: &'a Setup,
    now: Ms,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, SimulationEvent>,
    next_event: u64,
    sites: Vec<SimulatedSite>,
    capacity: usize,
    routers: Vec<SimulatedRouter>,
    /// Attempts in flight: site, time sent, and whether it is a probe.
    in_flight: BTreeMap<Key, (usize, Ms, bool)>,
    flapping_times: Vec<Ms>,
    figures: Figures,
    total_weight: (f64, f64),
    answered_weight: (f64, f64),
    answer_times: Vec<Ms>,
    requested_parts: u64,
    fault_waits: u64,
}

/// Simulates one run.
///
/// # Errors
/// If a setting is out of its range.
pub fn run(setup: &Setup, way: Way) -> Result<Figures, BadSetting> {
    let mut routers = Vec::new();
    for r in 0..setup.routers {
        let decide = way.make(&setup.settings, Draws::new(setup.seed, 3, r as u64).next().to_bits())?;
        routers.push(SimulatedRouter { strategy: decide, timer: None, pending: BTreeMap::new() });
    }
    // 5.5 parts on average, each a service's mean time.
    let mean = SERVICE_MEDIAN_MS_AND_DEVIATION.0
        * (SERVICE_MEDIAN_MS_AND_DEVIATION.1 * SERVICE_MEDIAN_MS_AND_DEVIATION.1 / 2.0).exp();
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
        events: BTreeMap::new(),
        next_event: 0,
        sites: (0..setup.sites).map(|_| SimulatedSite::default()).collect(),
        capacity: (used * CAPACITY_FACTOR).ceil().max(2.0) as usize,
        routers,
        in_flight: BTreeMap::new(),
        flapping_times: turns,
        figures: Figures::default(),
        total_weight: (0.0, 0.0),
        answered_weight: (0.0, 0.0),
        answer_times: Vec::new(),
        requested_parts: 0,
        fault_waits: 0,
    };
    for r in 0..setup.routers {
        world.dispatch(r, Event::Fleet(setup.routers));
        arrivals(setup, r)
            .into_iter()
            .enumerate()
            .for_each(|(n, at)| world.schedule(at, SimulationEvent::RequestArrived(r, n)));
    }
    while let Some(Reverse((at, order))) = world.queue.pop() {
        world.now = f64::from_bits(at);
        if let Some(happens) = world.events.remove(&order) {
            world.process(happens);
        }
    }
    Ok(world.into_figures())
}

impl World<'_> {
    fn schedule(&mut self, at: Ms, happens: SimulationEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((at.max(self.now).to_bits(), self.next_event)));
        self.events.insert(self.next_event, happens);
    }

    fn is_during_fault(&self, at: Ms) -> bool {
        let (begins, ends) = self.setup.span();
        self.setup.trouble != Trouble::Calm && (begins..ends).contains(&at)
    }

    /// Whether a site does not answer now.
    fn is_silent(&self, s: usize) -> bool {
        let turn = self.flapping_times.iter().filter(|t| **t <= self.now).count();
        s == FAULTY_SITE
            && self.is_during_fault(self.now)
            && match self.setup.trouble {
                Trouble::Lost => true,
                Trouble::Flapping => turn % 2 == 1,
                Trouble::Calm | Trouble::Slow | Trouble::Cold => false,
            }
    }

    /// A site's capacity, and the factor on its processing time.
    fn service_rate(&self, s: usize) -> (usize, f64) {
        let since = (self.now - self.setup.span().0) / WARMUP.2;
        match self.setup.trouble {
            Trouble::Slow if s == FAULTY_SITE && self.is_during_fault(self.now) => {
                (self.capacity, SLOW_FACTOR)
            }
            Trouble::Cold if s == FAULTY_SITE && (0.0..1.0).contains(&since) => {
                let share = WARMUP.0 + (1.0 - WARMUP.0) * since;
                ((self.capacity as f64 * share).ceil() as usize, WARMUP.1 + (1.0 - WARMUP.1) * since)
            }
            _ => (self.capacity, 1.0),
        }
    }

    /// The one-way delay between a router and a site.
    fn network_delay(&self, r: usize, s: usize) -> Ms {
        let draw = Draws::new(self.setup.seed, 5, (r * self.setup.sites + s) as u64).next();
        NETWORK_DELAY_RANGE_MS.0 + (NETWORK_DELAY_RANGE_MS.1 - NETWORK_DELAY_RANGE_MS.0) * draw
    }

    fn process(&mut self, happens: SimulationEvent) {
        match happens {
            SimulationEvent::RequestArrived(r, nth) => {
                let ask = generate_request(self.setup, r, nth);
                let worth = |(t, a): (f64, f64), w: f64, amid: bool| (t + w, a + if amid { w } else { 0.0 });
                let of: BTreeMap<PartNo, f64> = ask.parts.iter().map(|p| (p.part, p.worth)).collect();
                self.total_weight =
                    worth(self.total_weight, of.values().sum(), self.is_during_fault(self.now));
                self.figures.asked += 1;
                self.requested_parts += of.len() as u64;
                self.routers[r].pending.insert(ask.no, (self.now, of));
                self.dispatch(r, Event::Ask(ask));
            }
            SimulationEvent::AttemptArrived(s, key) => self.on_attempt_arrived(s, key),
            SimulationEvent::AttemptServed(s, key, began) => {
                self.sites[s].busy -= 1;
                if !self.is_silent(s) {
                    let back = self.now + self.network_delay(key.0, s);
                    self.schedule(back, SimulationEvent::ResponseArrived(key, Ok(self.now - began)));
                }
                self.serve_queue(s);
            }
            SimulationEvent::ResponseArrived(key, how) => {
                let Some((s, asked, probe)) = self.in_flight.remove(&key) else { return };
                let late = s == FAULTY_SITE && !probe && self.now - asked > LATENCY_OBJECTIVE_MS;
                self.fault_waits += u64::from(late);
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
                self.dispatch(r, event);
            }
            SimulationEvent::EvidenceArrived(to, from, word) => {
                self.dispatch(to, Event::Heard(RouterId(format!("r{from}").into()), word))
            }
            SimulationEvent::TimerFired(r, at) => {
                if self.routers[r].timer == Some(at) {
                    self.routers[r].timer = None;
                    self.dispatch(r, Event::Timer);
                }
            }
        }
    }

    fn on_attempt_arrived(&mut self, s: usize, key: Key) {
        if s == FAULTY_SITE {
            let step = (self.now / LOAD_STEP_MS) as usize;
            let asks = &mut self.sites[s].arrivals_by_step;
            asks.resize(asks.len().max(step + 1), 0);
            asks[step] += 1;
        }
        if self.is_silent(s) {
            return;
        }
        if self.sites[s].queue.len() as f64 >= self.capacity as f64 * QUEUE_FACTOR {
            let back = self.now + self.network_delay(key.0, s);
            return self
                .schedule(back, SimulationEvent::ResponseArrived(key, Err(How::Refused(RETRY_AFTER_MS))));
        }
        self.sites[s].queue.push_back((key, self.now));
        self.serve_queue(s);
    }

    /// Serves a site's queue up to its capacity; cancelled attempts are skipped.
    fn serve_queue(&mut self, s: usize) {
        let (places, times) = self.service_rate(s);
        while self.sites[s].busy < places {
            let Some((key, came)) = self.sites[s].queue.pop_front() else { return };
            if !self.in_flight.contains_key(&key) {
                continue;
            }
            // The draws depend on the request and the site alone, so that they are the same for each strategy.
            let (r, no, _) = key;
            let mut draws = Draws::new(self.setup.seed, 6 + s as u64, mix(r as u64, no.0));
            let took = draws.log_normal(SERVICE_MEDIAN_MS_AND_DEVIATION.0, SERVICE_MEDIAN_MS_AND_DEVIATION.1)
                * times;
            self.sites[s].busy += 1;
            self.schedule(self.now + took, SimulationEvent::AttemptServed(s, key, came));
        }
    }

    /// Dispatches an event to a router and executes its actions.
    fn dispatch(&mut self, r: usize, event: Event) {
        let mut acts = Vec::new();
        self.routers[r].strategy.handle(self.now, event, &mut acts);
        for act in acts {
            match act {
                Action::Fetch { no, attempt, site: to, copy, .. } => {
                    let Some(s) = (0..self.setup.sites).find(|s| site(*s) == to) else { continue };
                    self.in_flight.insert((r, no, attempt), (s, self.now, copy == Copy::Probe));
                    self.schedule(
                        self.now + self.network_delay(r, s),
                        SimulationEvent::AttemptArrived(s, (r, no, attempt)),
                    );
                }
                Action::Drop(no, attempt) => {
                    let gone = self.in_flight.remove(&(r, no, attempt));
                    self.fault_waits +=
                        u64::from(gone.is_some_and(|(s, _, probe)| s == FAULTY_SITE && !probe));
                }
                Action::Answer(no, verdict) => self.on_answer(r, no, verdict),
                Action::Tell(word) if self.setup.gossip => self.publish(r, word),
                Action::Tell(_) => {}
                Action::Timer(at) => {
                    self.routers[r].timer = Some(at);
                    self.schedule(at, SimulationEvent::TimerFired(r, at));
                }
            }
        }
    }

    fn publish(&mut self, from: usize, word: Evidence) {
        let mut draws = Draws::new(self.setup.seed, 7 + from as u64, self.next_event);
        let n = self.routers.len();
        let to: BTreeSet<usize> = match n <= GOSSIP_FAN_OUT + 1 {
            true => (0..n).collect(),
            false => (0..GOSSIP_FAN_OUT).map(|_| draws.below(n)).collect(),
        };
        for to in to.into_iter().filter(|to| *to != from) {
            let age =
                GOSSIP_DELAY_RANGE_MS.0 + (GOSSIP_DELAY_RANGE_MS.1 - GOSSIP_DELAY_RANGE_MS.0) * draws.next();
            self.schedule(
                self.now + age,
                SimulationEvent::EvidenceArrived(to, from, Evidence { age, ..word.clone() }),
            );
        }
    }

    fn on_answer(&mut self, r: usize, no: GatherNo, verdict: Verdict) {
        let Some((asked, of)) = self.routers[r].pending.remove(&no) else { return };
        let took = self.now - asked + MERGE_TIME_MS;
        self.answer_times.push(took);
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
            t if t <= LATENCY_OBJECTIVE_MS => 1.0,
            t if t <= DEADLINE_MS => LATE_VALUE,
            _ => 0.0,
        };
        let got = value * used.iter().filter_map(|u| of.get(&u.part)).sum::<f64>();
        self.answered_weight.0 += got;
        self.answered_weight.1 += if self.is_during_fault(asked) { got } else { 0.0 };
    }

    fn into_figures(mut self) -> Figures {
        let mut f = std::mem::take(&mut self.figures);
        f.worth = self.answered_weight.0 / self.total_weight.0.max(f64::MIN_POSITIVE);
        f.worth_amid =
            if self.total_weight.1 > 0.0 { self.answered_weight.1 / self.total_weight.1 } else { f.worth };
        self.answer_times.sort_by(f64::total_cmp);
        let n = self.answer_times.len();
        f.mean = self.answer_times.iter().sum::<f64>() / n.max(1) as f64;
        f.p99 = self.answer_times.get(n * 99 / 100).copied().unwrap_or(0.0);
        let count = |of: fn(&crate::Counters) -> u64| {
            self.routers.iter().map(|r| of(r.strategy.counters())).sum::<u64>()
        };
        let first = count(|c| c.first);
        f.probes = count(|c| c.probes);
        f.load =
            (first + count(|c| c.again + c.second + c.probes)) as f64 / self.requested_parts.max(1) as f64;
        f.seconds = count(|c| c.second) as f64 / first.max(1) as f64;
        f.waits = self.fault_waits as f64 / self.setup.routers as f64;
        let (begins, ends) = self.setup.span();
        let asks = &self.sites[FAULTY_SITE].arrivals_by_step;
        let steps = |from: Ms, to: Ms| {
            asks.iter().take((to / LOAD_STEP_MS) as usize).skip((from / LOAD_STEP_MS) as usize)
        };
        let before: u32 = steps(begins / 2.0, begins).sum();
        let usual = f64::from(before) / ((begins / 2.0) / LOAD_STEP_MS).max(1.0);
        let most = steps(ends, ends + RECOVERY_PEAK_WINDOW_MS).max().copied().unwrap_or(0);
        f.met = f64::from(steps(ends, ends + RECOVERY_WINDOW_MS).sum::<u32>())
            / (usual * RECOVERY_WINDOW_MS / LOAD_STEP_MS).max(1.0);
        f.met_most = f64::from(most) / usual.max(1.0);
        f
    }
}
