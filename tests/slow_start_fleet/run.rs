//! A run: a fleet of routers around servers that restart, in simulated time.

use crate::common::*;
use basaltgw::api::*;
use basaltgw::hash::{mix, unit_interval};
use std::collections::{BTreeMap, HashMap};

/// Time with warm servers before the restart, and time after it that is counted.
pub const WARM_MS: Ms = 500.0;
pub const COUNTED_MS: Ms = 3600.0;

/// A fleet and its events.
#[derive(Clone, Copy)]
pub struct Case {
    pub name: &'static str,
    pub role: Role,
    pub routers: usize,
    /// The listed weight of every server, in responses at full rate.
    pub size: f64,
    /// Number of servers that restart at once.
    pub restarted: usize,
    /// Traffic of the first router relative to each other one's.
    pub first: f64,
    /// All routers restart this many windows after the servers: the earliest and the latest, by seed.
    pub restart: Option<(f64, f64)>,
    /// Longest time to open a connection; earlier sends arrive then.
    pub opening: Ms,
    /// Requests for each server, as a multiple of what a warming one may get at first.
    pub demand: f64,
    pub seeds: u64,
    /// Sending time of each response.
    pub sending_time: Ms,
}

pub const USUAL: Case = Case {
    name: "2 routers",
    role: Role::Edge,
    routers: 2,
    size: 2.0,
    restarted: 1,
    first: 1.0,
    restart: None,
    opening: 0.0,
    demand: 5.0,
    seeds: 3,
    sending_time: 100.0,
};
pub const TWENTY: Case = Case { routers: 20, size: 2.95, ..USUAL };
pub const THIRTY: Case = Case { routers: 30, size: 4.4, ..USUAL };
/// Hundreds of routers with few requests each.
pub const MANY: Case = Case { routers: 300, size: 22.0, demand: 2.0, seeds: 1, ..USUAL };

pub fn settings_of(case: &Case) -> Settings {
    let mut settings = settings();
    (settings.zone_routers, settings.routers, settings.approximate_weights) =
        (case.routers, case.routers, false);
    settings.edge_slow_start = SlowStartPolicy {
        initial_share: 0.24,
        ramp_duration: 17_000.0,
        overload_factor: 4.0,
        overload_window: 1500.0,
    };
    settings.parent_slow_start = SlowStartPolicy {
        initial_share: 0.062,
        ramp_duration: 21_000.0,
        overload_factor: 2.0,
        overload_window: 1500.0,
    };
    settings
}

/// Requests per window that slow start allows a server of an age.
pub fn allowed(settings: &Settings, case: &Case, age: Ms) -> f64 {
    let rule = settings.slow_start(case.role);
    let share = rule.initial_share + (1.0 - rule.initial_share) * (age / rule.ramp_duration).clamp(0.0, 1.0);
    rule.overload_factor * share * case.size * rule.overload_window / case.sending_time
}

/// The same with an allowance for chance.
pub fn bound(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

enum Due {
    Request(usize),
    Listed(usize),
    Restart,
    /// A router's attempt is written, if that process still runs.
    Written(usize, u64, RequestId),
    /// The response to a router's request, if that process still runs.
    Response(usize, u64, Box<Outcome>),
}

/// The result of a run: the largest share of the bound that was reached, and the share of the budget that was used.
pub struct Figures {
    pub most: f64,
    pub used: f64,
}

pub struct Run {
    case: Case,
    settings: Settings,
    seed: u64,
    random_draws: u64,
    due: BTreeMap<(u64, u64), Due>,
    now: Ms,
    routers: Vec<Driver>,
    /// Incarnation of each router, and when its connection to each server opens.
    incarnations: Vec<u64>,
    opened: HashMap<(usize, u64, ServerId), Ms>,
    fleet: Vec<Endpoint>,
    restarted: Vec<ServerId>,
    /// When requests arrived at each restarted server.
    reached: Vec<Vec<Ms>>,
}

impl Run {
    pub fn new(case: Case, seed: u64) -> Self {
        let settings = settings_of(&case);
        let sized = |e: Endpoint| Endpoint { weight: case.size, ..e };
        let fleet: Vec<Endpoint> = fleet().into_iter().map(sized).collect();
        let restarted: Vec<ServerId> =
            fleet.iter().filter(|e| e.role == case.role).take(case.restarted).map(|e| e.id.clone()).collect();
        let router = |k: usize| {
            let mut driver = Driver::at(1000.0, settings.clone(), mix(seed, k as u64), fleet.clone());
            driver.router.expect_write_events();
            driver
        };
        Self {
            routers: (0..case.routers).map(router).collect(),
            incarnations: vec![0; case.routers],
            reached: vec![Vec::new(); restarted.len()],
            opened: HashMap::new(),
            due: BTreeMap::new(),
            now: 1000.0,
            random_draws: 0,
            case,
            settings,
            seed,
            fleet,
            restarted,
        }
    }

    fn random(&mut self) -> f64 {
        self.random_draws += 1;
        unit_interval(mix(self.seed, self.random_draws + 1_000_000))
    }

    fn schedule(&mut self, at: Ms, due: Due) {
        self.random_draws += 1;
        self.due.insert(((at * 1000.0) as u64, self.random_draws), due);
    }

    /// The time until a router's next request.
    fn gap(&mut self, k: usize) -> Ms {
        let servers = self.fleet.iter().filter(|e| e.role == self.case.role).count() as f64;
        let all = self.case.demand * servers * allowed(&self.settings, &self.case, 0.0)
            / self.settings.slow_start(self.case.role).overload_window;
        let parts = self.case.first + self.case.routers as f64 - 1.0;
        let own = all * if k == 0 { self.case.first } else { 1.0 } / parts;
        -self.random().ln() / own
    }

    fn request(&mut self, k: usize) {
        let gap = self.gap(k);
        self.schedule(self.now + gap, Due::Request(k));
        self.random_draws += 1;
        let (n, object) = (self.random_draws as usize, (self.random() * 500.0) as u64);
        let actions = self.routers[k].request(n, IDEMPOTENT, object);
        let Some(f) = first_attempt(&actions) else { return };
        let (case, incarnation) = (self.case, self.incarnations[k]);
        let mut connect = |to: &ServerId| {
            let drawn = self.now + self.random() * case.opening;
            let delay = (self.opened.entry((k, incarnation, to.clone())).or_insert(drawn).to_owned()
                - self.now)
                .max(0.0);
            let restarted = self.restarted.iter().position(|c| c == to);
            restarted.into_iter().for_each(|c| self.reached[c].push(self.now + delay));
            delay
        };
        let (fill_report, waited) = match case.role {
            Role::Edge => (FillReport::Hit, 0.0),
            _ => (FillReport::FilledBySource, 20.0 + connect(&f.fill_source)),
        };
        let opening = connect(&f.server);
        let delay = case.sending_time + waited + opening;
        self.schedule(self.now + opening, Due::Written(k, incarnation, request_id(n)));
        let (end, last, load) = (AttemptResult::Served, true, LoadReport::default());
        let (request, attempt, server, source_wait) = (request_id(n), AttemptNo(0), f.server, waited);
        let outcome = Outcome {
            request,
            attempt,
            server,
            result: end,
            latency: delay,
            completes_request: last,
            fill_report,
            source_wait,
            load,
            body_complete: true,
        };
        self.schedule(self.now + delay, Due::Response(k, incarnation, Box::new(outcome)));
    }

    pub fn run(mut self) -> Figures {
        let started = 1000.0 + WARM_MS;
        for k in 0..self.case.routers {
            let gap = self.gap(k);
            self.schedule(1000.0 + gap, Due::Request(k));
            let late = 10.0 * self.random();
            self.schedule(started + late, Due::Listed(k));
        }
        for e in self.fleet.iter_mut().filter(|e| self.restarted.contains(&e.id)) {
            e.started = Some(started);
        }
        if let Some((from, to)) = self.case.restart {
            let windows = from + (to - from) * self.random();
            self.schedule(
                started + windows * self.settings.slow_start(self.case.role).overload_window,
                Due::Restart,
            );
        }
        while let Some(((at, _), due)) = self.due.pop_first() {
            self.now = at as f64 / 1000.0;
            if self.now > started + COUNTED_MS {
                break;
            }
            match due {
                Due::Restart => {
                    let mut list = self.fleet.clone();
                    list.iter_mut().for_each(|e| e.started = e.started.filter(|at| *at <= self.now));
                    for k in 0..self.case.routers {
                        self.incarnations[k] += 1;
                        let seed = mix(self.seed, (k as u64) << (8 * self.incarnations[k]));
                        self.routers[k] = Driver::at(self.now, self.settings.clone(), seed, list.clone());
                        self.routers[k].router.expect_write_events();
                    }
                    continue;
                }
                Due::Request(k) | Due::Listed(k) | Due::Written(k, ..) | Due::Response(k, ..) => {
                    let driver = &mut self.routers[k];
                    driver.advance(self.now - driver.now);
                    driver.log.clear();
                }
            }
            match due {
                Due::Request(k) => self.request(k),
                Due::Listed(k) => {
                    let all = self.fleet.clone();
                    self.opened.retain(|(of, _, to), _| *of != k || !self.restarted.contains(to));
                    self.routers[k]
                        .handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: all });
                }
                Due::Response(k, incarnation, o) if incarnation == self.incarnations[k] => {
                    self.routers[k].handle(Event::Outcome(*o));
                }
                Due::Written(k, incarnation, request) if incarnation == self.incarnations[k] => {
                    self.routers[k].handle(Event::RequestWritten { request, attempt: AttemptNo(0) });
                }
                Due::Written(..) | Due::Response(..) | Due::Restart => {}
            }
        }
        self.figures(started)
    }

    /// Compares every window that ends with an arrival; of several servers the highest and the least used count.
    fn figures(mut self, started: Ms) -> Figures {
        let window = self.settings.slow_start(self.case.role).overload_window;
        let (mut most, mut used) = (0f64, f64::INFINITY);
        for all in &mut self.reached {
            all.retain(|at| *at >= started);
            all.sort_by(f64::total_cmp);
            let mut first = 0;
            for (n, at) in all.iter().enumerate() {
                while all[first] <= at - window {
                    first += 1;
                }
                let allowed = allowed(&self.settings, &self.case, at - started);
                most = most.max((n + 1 - first) as f64 / bound(allowed));
            }
            let steps = (0..(COUNTED_MS as usize)).step_by(100);
            let may: f64 =
                steps.map(|t| allowed(&self.settings, &self.case, t as f64) * 100.0 / window).sum();
            used = used.min(all.len() as f64 / may);
        }
        Figures { most, used }
    }
}
