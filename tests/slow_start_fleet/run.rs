//! A run of a fleet of routers and servers that restart, in simulated time.

use crate::common::*;
use basaltgw::api::*;
use basaltgw::hash::{mix, unit_interval};
use std::collections::{BTreeMap, HashMap};

/// Time with warm servers before the restart.
pub const WARM_MS: Ms = 500.0;
/// Time after the restart in which arrivals are counted.
pub const COUNTED_MS: Ms = 3600.0;

/// A fleet and its events.
#[derive(Clone, Copy)]
pub struct Case {
    pub name: &'static str,
    pub role: Role,
    pub routers: usize,
    /// The listed weight of every server, in responses at full rate.
    pub listed_weight: f64,
    /// Number of servers that restart at once.
    pub restarted: usize,
    /// Traffic of the first router, as a multiple of each other router's.
    pub first_router_traffic: f64,
    /// All routers restart this many windows after the servers: the earliest and the latest, by seed.
    pub router_restart: Option<(f64, f64)>,
    /// Longest time to open a connection; requests sent meanwhile arrive when it is open.
    pub max_connect_time: Ms,
    /// Requests for each server, as a multiple of the budget of a server that has just started.
    pub demand: f64,
    pub seeds: u64,
    /// Sending time of each response.
    pub sending_time: Ms,
}

pub const TWO_ROUTERS: Case = Case {
    name: "2 routers",
    role: Role::Edge,
    routers: 2,
    listed_weight: 2.0,
    restarted: 1,
    first_router_traffic: 1.0,
    router_restart: None,
    max_connect_time: 0.0,
    demand: 5.0,
    seeds: 3,
    sending_time: 100.0,
};
pub const TWENTY_ROUTERS: Case = Case { routers: 20, listed_weight: 2.95, ..TWO_ROUTERS };
pub const THIRTY_ROUTERS: Case = Case { routers: 30, listed_weight: 4.4, ..TWO_ROUTERS };
/// Hundreds of routers with few requests each.
pub const THREE_HUNDRED_ROUTERS: Case =
    Case { routers: 300, listed_weight: 22.0, demand: 2.0, seeds: 1, ..TWO_ROUTERS };

pub fn settings_for(case: &Case) -> Settings {
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
pub fn allowed_requests(settings: &Settings, case: &Case, age: Ms) -> f64 {
    let policy = settings.slow_start(case.role);
    let ramp_progress = (age / policy.ramp_duration).clamp(0.0, 1.0);
    let share = policy.initial_share + (1.0 - policy.initial_share) * ramp_progress;
    policy.overload_factor * share * case.listed_weight * policy.overload_window / case.sending_time
}

/// The allowed requests per window, with a tolerance for random fluctuations.
pub fn bound(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

enum ScheduledEvent {
    /// A router gets a request.
    Request { router: usize },
    /// A router gets the list with the restarted servers.
    Listed { router: usize },
    /// All routers restart.
    RoutersRestart,
    /// An attempt is written, if the router's process still runs.
    Written { router: usize, incarnation: u64, request: RequestId },
    /// The response to a request arrives, if the router's process still runs.
    Response { router: usize, incarnation: u64, outcome: Box<Outcome> },
}

/// The result of a run: the largest share of the bound that was reached, and the share of the budget that was used.
pub struct Figures {
    pub max_bound_share: f64,
    pub budget_used: f64,
}

pub struct Run {
    case: Case,
    settings: Settings,
    seed: u64,
    /// Numbers random draws and scheduled events alike.
    random_draws: u64,
    /// Events by their time in microseconds and a sequence number.
    scheduled: BTreeMap<(u64, u64), ScheduledEvent>,
    now: Ms,
    routers: Vec<Driver>,
    /// Number of restarts of each router.
    incarnations: Vec<u64>,
    /// When a router's connection to a server opens, by router, incarnation and server.
    connected_at: HashMap<(usize, u64, ServerId), Ms>,
    fleet: Vec<Endpoint>,
    restarted: Vec<ServerId>,
    /// When requests arrived at each restarted server.
    arrivals: Vec<Vec<Ms>>,
}

impl Run {
    pub fn new(case: Case, seed: u64) -> Self {
        let settings = settings_for(&case);
        let weighted = |server: Endpoint| Endpoint { weight: case.listed_weight, ..server };
        let fleet: Vec<Endpoint> = fleet().into_iter().map(weighted).collect();
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
            arrivals: vec![Vec::new(); restarted.len()],
            connected_at: HashMap::new(),
            scheduled: BTreeMap::new(),
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

    fn schedule(&mut self, at: Ms, event: ScheduledEvent) {
        self.random_draws += 1;
        self.scheduled.insert(((at * 1000.0) as u64, self.random_draws), event);
    }

    /// The time until a router's next request.
    fn request_interval(&mut self, k: usize) -> Ms {
        let servers = self.fleet.iter().filter(|e| e.role == self.case.role).count() as f64;
        let total_rate = self.case.demand * servers * allowed_requests(&self.settings, &self.case, 0.0)
            / self.settings.slow_start(self.case.role).overload_window;
        let total_traffic = self.case.first_router_traffic + self.case.routers as f64 - 1.0;
        let rate = total_rate * if k == 0 { self.case.first_router_traffic } else { 1.0 } / total_traffic;
        -self.random().ln() / rate
    }

    fn request(&mut self, k: usize) {
        let interval = self.request_interval(k);
        self.schedule(self.now + interval, ScheduledEvent::Request { router: k });
        self.random_draws += 1;
        let (n, object) = (self.random_draws as usize, (self.random() * 500.0) as u64);
        let actions = self.routers[k].request(n, IDEMPOTENT, object);
        let Some(spec) = first_attempt(&actions) else { return };
        let (case, incarnation) = (self.case, self.incarnations[k]);
        // Sends a request to a server; returns how long it waits for the connection.
        let mut send = |server: &ServerId| {
            let drawn = self.now + self.random() * case.max_connect_time;
            let connected_at = *self.connected_at.entry((k, incarnation, server.clone())).or_insert(drawn);
            let delay = (connected_at - self.now).max(0.0);
            let restarted = self.restarted.iter().position(|restarted| restarted == server);
            restarted.into_iter().for_each(|index| self.arrivals[index].push(self.now + delay));
            delay
        };
        let (fill_report, source_wait) = match case.role {
            Role::Edge => (FillReport::Hit, 0.0),
            _ => (FillReport::FilledBySource, 20.0 + send(&spec.fill_source)),
        };
        let connect_time = send(&spec.server);
        let latency = case.sending_time + source_wait + connect_time;
        let request = request_id(n);
        self.schedule(self.now + connect_time, ScheduledEvent::Written { router: k, incarnation, request });
        let outcome = Box::new(Outcome {
            request: request_id(n),
            attempt: AttemptNo(0),
            server: spec.server,
            result: AttemptResult::Served,
            latency,
            completes_request: true,
            fill_report,
            source_wait,
            load: LoadReport::default(),
            body_complete: true,
        });
        self.schedule(self.now + latency, ScheduledEvent::Response { router: k, incarnation, outcome });
    }

    pub fn run(mut self) -> Figures {
        let started = 1000.0 + WARM_MS;
        for k in 0..self.case.routers {
            let interval = self.request_interval(k);
            self.schedule(1000.0 + interval, ScheduledEvent::Request { router: k });
            let list_delay = 10.0 * self.random();
            self.schedule(started + list_delay, ScheduledEvent::Listed { router: k });
        }
        for e in self.fleet.iter_mut().filter(|e| self.restarted.contains(&e.id)) {
            e.started = Some(started);
        }
        if let Some((from, to)) = self.case.router_restart {
            let windows = from + (to - from) * self.random();
            self.schedule(
                started + windows * self.settings.slow_start(self.case.role).overload_window,
                ScheduledEvent::RoutersRestart,
            );
        }
        while let Some(((at_us, _), event)) = self.scheduled.pop_first() {
            self.now = at_us as f64 / 1000.0;
            if self.now > started + COUNTED_MS {
                break;
            }
            self.process(event);
        }
        self.figures(started)
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::RoutersRestart => self.restart_routers(),
            ScheduledEvent::Request { router } => {
                self.advance(router);
                self.request(router);
            }
            ScheduledEvent::Listed { router } => {
                let entries = self.fleet.clone();
                let is_closed = |server: &ServerId| self.restarted.contains(server);
                self.connected_at.retain(|(other, _, server), _| *other != router || !is_closed(server));
                self.handle(router, Event::Endpoints { update: EndpointUpdate::Complete, entries });
            }
            ScheduledEvent::Response { router, incarnation, outcome } => {
                self.handle_if_running(router, incarnation, Event::Outcome(*outcome));
            }
            ScheduledEvent::Written { router, incarnation, request } => {
                let event = Event::RequestWritten { request, attempt: AttemptNo(0) };
                self.handle_if_running(router, incarnation, event);
            }
        }
    }

    fn restart_routers(&mut self) {
        let mut list = self.fleet.clone();
        list.iter_mut().for_each(|server| server.started = server.started.filter(|at| *at <= self.now));
        for k in 0..self.case.routers {
            self.incarnations[k] += 1;
            let seed = mix(self.seed, (k as u64) << (8 * self.incarnations[k]));
            self.routers[k] = Driver::at(self.now, self.settings.clone(), seed, list.clone());
            self.routers[k].router.expect_write_events();
        }
    }

    /// Advances a router's clock to the present; clears its log.
    fn advance(&mut self, router: usize) {
        let driver = &mut self.routers[router];
        driver.advance(self.now - driver.now);
        driver.log.clear();
    }

    fn handle(&mut self, router: usize, event: Event) {
        self.advance(router);
        self.routers[router].handle(event);
    }

    /// Hands a router an event of one of its processes, unless the process has ended.
    fn handle_if_running(&mut self, router: usize, incarnation: u64, event: Event) {
        self.advance(router);
        if incarnation == self.incarnations[router] {
            self.routers[router].handle(event);
        }
    }

    /// Compares every window that ends with an arrival with the bound. Of several restarted servers, the one closest to
    /// the bound and the one with the least used budget count.
    fn figures(mut self, started: Ms) -> Figures {
        let window = self.settings.slow_start(self.case.role).overload_window;
        let (mut max_bound_share, mut budget_used) = (0f64, f64::INFINITY);
        for arrivals in &mut self.arrivals {
            arrivals.retain(|at| *at >= started);
            arrivals.sort_by(f64::total_cmp);
            let mut first = 0;
            for (n, at) in arrivals.iter().enumerate() {
                while arrivals[first] <= at - window {
                    first += 1;
                }
                let allowed = allowed_requests(&self.settings, &self.case, at - started);
                max_bound_share = max_bound_share.max((n + 1 - first) as f64 / bound(allowed));
            }
            let steps = (0..(COUNTED_MS as usize)).step_by(100);
            let budget: f64 =
                steps.map(|t| allowed_requests(&self.settings, &self.case, t as f64) * 100.0 / window).sum();
            budget_used = budget_used.min(arrivals.len() as f64 / budget);
        }
        Figures { max_bound_share, budget_used }
    }
}
