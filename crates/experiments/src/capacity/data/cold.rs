//! One cold parent's budget among all routers of a fleet, in simulated time: what all send it together in its first window.

use super::world::{server, settings};
use super::{Expected, Sizes};
use crate::capacity::row::{Kind, Row};
use basaltgw::api::*;
use basaltgw::hash::{mix, unit_interval};
use basaltgw::routing::Router;
use basaltgw_simulator::{draw, rng, Rng};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long routers see a warm parent before it starts anew, and how long is counted.
const WARM: Ms = 500.0;
const COUNTED: Ms = 3000.0;
/// What a request takes of its cache's time, and a fill of its parent's.
const WORK: Ms = 100.0;
/// Answers at full pace that a parent gives at once.
const SIZE: f64 = 450.0;
/// What comes to a parent's share, as a multiple of what a cold one may get at first.
const DEMAND: f64 = 3.0;
const CACHES: usize = 4;
const PARENTS: usize = 2;
const STEP: Ms = 20.0;

enum Due {
    Ask(usize),
    Sweep(usize),
    Told(usize),
    Answer(usize, Box<Outcome>),
}

struct Play {
    routers: Vec<Router>,
    due: BTreeMap<(u64, u64), Due>,
    count: u64,
    rng: Rng,
    gap: Ms,
    started: Ms,
    cold: ServerId,
    /// When fills reached the cold parent.
    reached: Vec<Ms>,
}

/// Requests that all routers may send a cold parent of no age in a window.
fn allowed(set: &Settings) -> f64 {
    let rule = set.parent_slow_start;
    rule.overload_factor * rule.initial_share * SIZE * rule.overload_window / WORK
}

/// With chance: what is beyond is the routers' doing.
fn bound(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

fn list(started: Option<Ms>) -> Vec<Endpoint> {
    let sized = |e: Endpoint| Endpoint { weight: SIZE, ..e };
    let edges = (0..CACHES).map(|n| server(n, Role::Edge, 0));
    let parents = (CACHES..CACHES + PARENTS).map(|n| server(n, Role::Parent, 0));
    let origin = server(u32::MAX as usize, Role::Origin, 0);
    let mut all: Vec<Endpoint> = edges.chain(parents).chain([origin]).map(sized).collect();
    all[CACHES].started = started;
    all
}

impl Play {
    fn new(routers: usize, set: &Settings, seed: u64) -> Self {
        let started = 1000.0 + WARM;
        let make = |k: usize| Router::new(set.clone(), mix(seed, k as u64));
        let all = DEMAND * PARENTS as f64 * allowed(set) / set.parent_slow_start.overload_window;
        let mut play = Self {
            routers: (0..routers).map(make).collect(),
            due: BTreeMap::new(),
            count: 0,
            rng: rng(seed, routers as u64),
            gap: routers as f64 / all,
            started,
            cold: list(None)[CACHES].id.clone(),
            reached: Vec::new(),
        };
        for k in 0..routers {
            play.tell(1000.0, k, Event::Endpoints { update: EndpointUpdate::Complete, entries: list(None) });
            let (first, late) = (play.next_gap(), 10.0 * draw(&mut play.rng));
            play.at(1000.0 + first, Due::Ask(k));
            play.at(started + late, Due::Told(k));
        }
        play
    }

    fn next_gap(&mut self) -> Ms {
        -self.gap * unit_interval((draw(&mut self.rng) * u64::MAX as f64) as u64).ln()
    }

    fn at(&mut self, at: Ms, due: Due) {
        self.count += 1;
        self.due.insert(((at * 1000.0) as u64, self.count), due);
    }

    fn tell(&mut self, now: Ms, k: usize, event: Event) {
        let mut acts = Vec::new();
        self.routers[k].handle(now, event, &mut acts);
        for act in acts {
            match act {
                Action::Timer { delay: after, .. } => self.at(now + after, Due::Sweep(k)),
                Action::StartAttempt(f) => {
                    if f.fill_source == self.cold {
                        self.reached.push(now);
                    }
                    let (note, end, last, load) =
                        (FillReport::FilledBySource, AttemptResult::Served, true, LoadReport::default());
                    let (request, attempt, server) = (f.request, AttemptNo(0), f.server);
                    let (source_wait, delay) = (20.0, WORK + 20.0);
                    let outcome = Outcome {
                        request,
                        attempt,
                        server,
                        result: end,
                        latency: delay,
                        completes_request: last,
                        fill_report: note,
                        source_wait,
                        load,
                        body_complete: true,
                    };
                    self.at(now + delay, Due::Answer(k, Box::new(outcome)));
                }
                Action::CancelAttempt { .. } | Action::Reject { .. } | Action::Fail(_) => {}
                Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }

    fn run(mut self) -> Vec<Ms> {
        while let Some(((at, _), due)) = self.due.pop_first() {
            let now = at as f64 / 1000.0;
            if now > self.started + COUNTED {
                break;
            }
            match due {
                Due::Ask(k) => {
                    let (gap, object) = (self.next_gap(), (draw(&mut self.rng) * 500.0) as u64);
                    self.at(now + gap, Due::Ask(k));
                    let request = Request {
                        id: RequestId(Arc::from(format!("r{}", self.count))),
                        class: Some(ClassId(0)),
                        object: ObjectId(object),
                        part: Part(0),
                        group: GroupId(0),
                        size_kb: 0.0,
                        write: false,
                        budget: 4000.0,
                    };
                    self.tell(now, k, Event::Request(request));
                }
                Due::Sweep(k) => self.tell(now, k, Event::Timer(1)),
                Due::Told(k) => {
                    let started = Some(self.started);
                    self.tell(
                        now,
                        k,
                        Event::Endpoints { update: EndpointUpdate::Complete, entries: list(started) },
                    );
                }
                Due::Answer(k, outcome) => self.tell(now, k, Event::Outcome(*outcome)),
            }
        }
        self.reached.retain(|at| *at >= self.started);
        self.reached
    }
}

/// All points of cold budgets.
pub fn rows(expected: &Expected, sizes: &Sizes, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for routers in &sizes.routers {
        let set = settings(*routers, routers.div_ceil(expected.zones), 1);
        let reached = Play::new(*routers, &set, seed).run();
        let (window, may) = (set.parent_slow_start.overload_window, allowed(&set));
        let first = reached.iter().filter(|at| **at < 1500.0 + window).count() as f64;
        // Every window that ends with an arrival, against what a parent of that age may get.
        let share = |age: Ms| {
            let rule = set.parent_slow_start;
            (rule.initial_share + (1.0 - rule.initial_share) * (age / rule.ramp_duration).clamp(0.0, 1.0))
                / rule.initial_share
        };
        let mut most = 0f64;
        let mut from = 0;
        for (n, at) in reached.iter().enumerate() {
            while reached[from] <= at - window {
                from += 1;
            }
            most = most.max((n + 1 - from) as f64 / bound(may * share(at - 1500.0)));
        }
        let steps = (0..COUNTED as usize).step_by(STEP as usize);
        let all: f64 = steps.map(|t| may * share(t as f64) * STEP / window).sum();
        let at = ("routers", *routers as f64);
        rows.extend([
            Row::new(at, ("cold_share", may / *routers as f64, "requests"), Kind::Reckoned),
            Row::new(at, ("cold_first_window", first, "requests"), Kind::Simulated),
            Row::new(at, ("cold_bound", bound(may), "requests"), Kind::Reckoned),
            Row::new(at, ("cold_most_of_bound", most, "share"), Kind::Simulated),
            Row::new(at, ("cold_used", reached.len() as f64 / all, "share"), Kind::Simulated),
        ]);
    }
    rows
}
