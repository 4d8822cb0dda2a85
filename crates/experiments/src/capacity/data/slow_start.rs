//! The slow-start budget of one parent among all routers of a fleet, in simulated time: the load that all routers together send it in its first
//! window.

use super::driver::{server, settings, DEADLINE_MS, ORIGIN_NUMBER};
use super::{Expected, Sizes};
use crate::capacity::row::{Kind, Row};
use basaltgw::api::*;
use basaltgw::hash::{mix, unit_interval};
use basaltgw::routing::Router;
use basaltgw_simulator::{draw, rng, Rng};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Simulated time at which the routers start.
const START_MS: Ms = 1000.0;
/// Time from the start until the parent restarts; until then the routers send it requests as a warm parent.
const WARM_MS: Ms = 500.0;
/// When the parent restarts.
const RESTART_MS: Ms = START_MS + WARM_MS;
/// Time after the restart in which requests are counted.
const COUNTED_MS: Ms = 3000.0;
/// Maximum delay of the endpoint list with the restart.
const MAX_LIST_DELAY_MS: Ms = 10.0;
/// Time that a cache spends on a request, and a parent on a fill.
const SERVICE_MS: Ms = 100.0;
/// Time that a cache waits for its fill source.
const SOURCE_WAIT_MS: Ms = 20.0;
/// Concurrent responses of a server at full speed.
const SERVER_CAPACITY: f64 = 450.0;
/// Demand at a parent, as a multiple of the budget of a restarted one.
const DEMAND_FACTOR: f64 = 3.0;
/// Objects that are requested.
const OBJECTS: f64 = 500.0;
/// Edge caches of the fleet.
const CACHES: usize = 4;
/// Parents of the fleet, the restarted one included.
const PARENTS: usize = 2;
/// Step of the sum of the budgets over time, ms.
const STEP_MS: usize = 20;

/// Something that happens at a router.
enum Scheduled {
    /// A client sends a request.
    Request { router: usize },
    /// A timer expires.
    Timer { router: usize, token: u64 },
    /// The endpoint list with the restarted parent arrives.
    Restart { router: usize },
    /// A response arrives.
    Response { router: usize, outcome: Box<Outcome> },
}

/// A fleet whose routers all use one restarted parent.
struct Simulation {
    routers: Vec<Router>,
    /// What is scheduled, by time in microseconds and the order of scheduling.
    queue: BTreeMap<(u64, u64), Scheduled>,
    /// How much has been scheduled so far: it orders what is scheduled for the same time.
    scheduled: u64,
    rng: Rng,
    /// Mean time between two requests at a router.
    mean_interval: Ms,
    restarted_parent: ServerId,
    /// When fills reached the restarted parent.
    arrivals: Vec<Ms>,
}

/// Returns the requests that all routers together may send a parent in its first window.
fn budget(settings: &Settings) -> f64 {
    let policy = settings.parent_slow_start;
    policy.overload_factor * policy.initial_share * SERVER_CAPACITY * policy.overload_window / SERVICE_MS
}

/// Returns the budget with a margin for random variation, two standard deviations of a Poisson count and two requests. Only what is above is the
/// fault of the routers.
fn budget_with_margin(budget: f64) -> f64 {
    budget + 2.0 * budget.sqrt() + 2.0
}

/// Returns the share of its capacity at which a parent of this age is used, as a multiple of its initial share.
fn ramp_factor(settings: &Settings, age: Ms) -> f64 {
    let policy = settings.parent_slow_start;
    let ramped = (1.0 - policy.initial_share) * (age / policy.ramp_duration).clamp(0.0, 1.0);
    (policy.initial_share + ramped) / policy.initial_share
}

/// Returns the endpoint list, with the start time of the parent that restarts.
fn endpoint_list(parent_started: Option<Ms>) -> Vec<Endpoint> {
    let with_capacity = |e: Endpoint| Endpoint { weight: SERVER_CAPACITY, ..e };
    let edges = (0..CACHES).map(|n| server(n, Role::Edge, 0));
    let parents = (CACHES..CACHES + PARENTS).map(|n| server(n, Role::Parent, 0));
    let origin = server(ORIGIN_NUMBER, Role::Origin, 0);
    let mut all: Vec<Endpoint> = edges.chain(parents).chain([origin]).map(with_capacity).collect();
    all[CACHES].started = parent_started;
    all
}

fn list_event(parent_started: Option<Ms>) -> Event {
    Event::Endpoints { update: EndpointUpdate::Complete, entries: endpoint_list(parent_started) }
}

impl Simulation {
    fn new(routers: usize, settings: &Settings, seed: u64) -> Self {
        let new_router = |index: usize| Router::new(settings.clone(), mix(seed, index as u64));
        let window = settings.parent_slow_start.overload_window;
        let requests_per_ms = DEMAND_FACTOR * PARENTS as f64 * budget(settings) / window;
        let mut simulation = Self {
            routers: (0..routers).map(new_router).collect(),
            queue: BTreeMap::new(),
            scheduled: 0,
            rng: rng(seed, routers as u64),
            mean_interval: routers as f64 / requests_per_ms,
            restarted_parent: endpoint_list(None)[CACHES].id.clone(),
            arrivals: Vec::new(),
        };
        for router in 0..routers {
            simulation.handle(START_MS, router, list_event(None));
            let first_request = simulation.next_interval();
            let list_delay = MAX_LIST_DELAY_MS * draw(&mut simulation.rng);
            simulation.schedule(START_MS + first_request, Scheduled::Request { router });
            simulation.schedule(RESTART_MS + list_delay, Scheduled::Restart { router });
        }
        simulation
    }

    /// Draws an exponentially distributed time until the next request of a router.
    fn next_interval(&mut self) -> Ms {
        -self.mean_interval * unit_interval((draw(&mut self.rng) * u64::MAX as f64) as u64).ln()
    }

    fn schedule(&mut self, at: Ms, scheduled: Scheduled) {
        self.scheduled += 1;
        self.queue.insert(((at * 1000.0) as u64, self.scheduled), scheduled);
    }

    /// Passes an event to a router, and performs its actions.
    fn handle(&mut self, now: Ms, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { delay, token } => {
                    self.schedule(now + delay, Scheduled::Timer { router, token })
                }
                Action::StartAttempt(attempt) => {
                    if attempt.fill_source == self.restarted_parent {
                        self.arrivals.push(now);
                    }
                    let latency = SERVICE_MS + SOURCE_WAIT_MS;
                    let outcome = Outcome {
                        request: attempt.request,
                        attempt: AttemptNo(0),
                        server: attempt.server,
                        result: AttemptResult::Served,
                        latency,
                        completes_request: true,
                        fill_report: FillReport::FilledBySource,
                        source_wait: SOURCE_WAIT_MS,
                        load: LoadReport::default(),
                        body_complete: true,
                    };
                    self.schedule(now + latency, Scheduled::Response { router, outcome: Box::new(outcome) });
                }
                Action::CancelAttempt { .. } | Action::Reject { .. } | Action::Fail(_) => {}
                Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }

    /// Runs to the end of the counted time; returns when fills reached the restarted parent.
    fn run(mut self) -> Vec<Ms> {
        while let Some(((at, _), scheduled)) = self.queue.pop_first() {
            let now = at as f64 / 1000.0;
            if now > RESTART_MS + COUNTED_MS {
                break;
            }
            match scheduled {
                Scheduled::Request { router } => self.send_request(now, router),
                Scheduled::Timer { router, token } => self.handle(now, router, Event::Timer(token)),
                Scheduled::Restart { router } => self.handle(now, router, list_event(Some(RESTART_MS))),
                Scheduled::Response { router, outcome } => self.handle(now, router, Event::Outcome(*outcome)),
            }
        }
        self.arrivals.retain(|at| *at >= RESTART_MS);
        self.arrivals
    }

    fn send_request(&mut self, now: Ms, router: usize) {
        let interval = self.next_interval();
        let object = (draw(&mut self.rng) * OBJECTS) as u64;
        self.schedule(now + interval, Scheduled::Request { router });
        let request = Request {
            id: RequestId(Arc::from(format!("r{}", self.scheduled))),
            class: Some(ClassId(0)),
            object: ObjectId(object),
            part: Part(0),
            group: GroupId(0),
            size_kb: 0.0,
            write: false,
            budget: DEADLINE_MS,
        };
        self.handle(now, router, Event::Request(request));
    }
}

/// Returns the maximum load of any window that ends with an arrival, as a share of the budget of a parent of that age.
fn max_budget_share(arrivals: &[Ms], settings: &Settings) -> f64 {
    let window = settings.parent_slow_start.overload_window;
    let budget = budget(settings);
    let mut max = 0f64;
    let mut first = 0;
    for (n, at) in arrivals.iter().enumerate() {
        while arrivals[first] <= at - window {
            first += 1;
        }
        let limit = budget_with_margin(budget * ramp_factor(settings, at - RESTART_MS));
        max = max.max((n + 1 - first) as f64 / limit);
    }
    max
}

/// Returns the rows of all sizes.
pub fn rows(expected: &Expected, sizes: &Sizes, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for routers in &sizes.routers {
        let settings = settings(*routers, routers.div_ceil(expected.zones), 1);
        let arrivals = Simulation::new(*routers, &settings, seed).run();
        let (window, budget) = (settings.parent_slow_start.overload_window, budget(&settings));
        let in_first_window = arrivals.iter().filter(|at| **at < RESTART_MS + window).count() as f64;
        let steps = (0..COUNTED_MS as usize).step_by(STEP_MS);
        let total_budget: f64 =
            steps.map(|t| budget * ramp_factor(&settings, t as f64) * STEP_MS as f64 / window).sum();
        let used = arrivals.len() as f64 / total_budget;
        let max = max_budget_share(&arrivals, &settings);
        let x = *routers as f64;
        let row = |name, value, unit, kind| Row::new(("routers", x), (name, value, unit), kind);
        rows.extend([
            row("cold_share", budget / x, "requests", Kind::Computed),
            row("cold_first_window", in_first_window, "requests", Kind::Simulated),
            row("cold_bound", budget_with_margin(budget), "requests", Kind::Computed),
            row("cold_most_of_bound", max, "share", Kind::Simulated),
            row("cold_used", used, "share", Kind::Simulated),
        ]);
    }
    rows
}
