//! Drives the decision module of one router of the expected fleet, without sockets.

use super::Expected;
use crate::capacity::meter::{count_allocations, Allocations};
use basaltgw::api::*;
use basaltgw::routing::Router;
use basaltgw_simulator::{draw, Rng};
use std::collections::VecDeque;
use std::sync::Arc;

/// Latency of a hit.
const HIT_MS: Ms = 40.0;
/// Additional latency of a fill.
const FILL_MS: Ms = 20.0;
/// One attempt in this many is a fill.
const FILL_INTERVAL: u64 = 5;
/// Mean latency of an attempt.
pub const MEAN_LATENCY_MS: Ms = HIT_MS + FILL_MS / FILL_INTERVAL as f64;
/// Deadline of a request.
pub const DEADLINE_MS: Ms = 4000.0;
/// Purge groups of the requested objects.
const GROUPS: u64 = 8;
/// Number of the origin among the servers.
pub const ORIGIN_NUMBER: usize = u32::MAX as usize;
/// Simulated time at which a driver starts.
const START_MS: Ms = 1000.0;
/// Seed of the driven router.
const ROUTER_SEED: u64 = 7;

/// Returns the settings of a router in a fleet of this size. The values are common ones of the platform's settings.
pub fn settings(routers: usize, zone_routers: usize, zones: usize) -> Settings {
    let class = Class {
        name: "pages".into(),
        latency_objective: 400.0,
        latency_objective_stretch: 2.0,
        deadline: DEADLINE_MS,
        idempotency: Idempotency::Idempotent,
        key_scope: KeyScope::All,
        key_window: 1000.0,
        priority_weight: 1.0,
        late_weight_share: 0.2,
        fresh_for: 0.0,
        stale_for: 0.0,
        uncacheable: false,
    };
    Settings {
        zone: ZoneId(0),
        zone_routers,
        routers,
        zone_parent_group: vec![ZoneId(0); zones],
        classes: vec![class],
        edge_slow_start: SlowStartPolicy {
            initial_share: 0.24,
            ramp_duration: 17_000.0,
            overload_factor: 4.0,
            overload_window: 1500.0,
        },
        parent_slow_start: SlowStartPolicy {
            initial_share: 0.062,
            ramp_duration: 21_000.0,
            overload_factor: 2.0,
            overload_window: 1500.0,
        },
        drain_grace: 250.0,
        purge_grace: 300.0,
        purge_convergence_time: 6000.0,
        hedging: false,
        cancel: true,
        retry_after: true,
        max_retry_after: 500.0,
        max_attempts: 8,
        direct_to_parents: true,
        fill_joining: true,
        peer_fill: PeerFill::None,
        response_rate_kb_per_s: 8000.0,
        must_watch_endpoints: false,
        approximate_weights: false,
        dynamic_weights: false,
        tick: 2.0,
    }
}

/// Returns the settings of a router in the expected fleet.
pub fn expected_settings(expected: &Expected) -> Settings {
    settings(expected.routers, expected.routers.div_ceil(expected.zones), expected.zones)
}

/// Returns the time between two requests at one router of the expected fleet.
pub fn request_interval(expected: &Expected) -> Ms {
    1000.0 * expected.routers as f64 / expected.requests_per_s
}

/// Returns the server with this number, named like the servers in the change log.
pub fn server(n: usize, role: Role, zone: usize) -> Endpoint {
    Endpoint {
        id: ServerId(Arc::from(format!("s-{n:08x}"))),
        zone: ZoneId(zone),
        role,
        cell: 0,
        state: EndpointState::Up,
        weight: 1.0,
        started: None,
    }
}

/// Returns an endpoint list with this number of servers of all roles.
pub fn servers(expected: &Expected, servers: usize) -> Vec<Endpoint> {
    let without_origin = servers.saturating_sub(1);
    let parents = without_origin.div_ceil(expected.caches_per_parent + 1);
    let caches = without_origin.saturating_sub(parents).max(1);
    endpoints(caches, zones_for(expected, caches), caches.div_ceil(parents.max(1)))
}

/// Returns the endpoint list of a fleet: edge caches spread over zones, parents in proportion, and the origin.
pub fn endpoints(caches: usize, zones: usize, caches_per_parent: usize) -> Vec<Endpoint> {
    let parents = caches.div_ceil(caches_per_parent);
    let edges = (0..caches).map(|n| server(n, Role::Edge, n % zones));
    let parents = (caches..caches + parents).map(|n| server(n, Role::Parent, 0));
    edges.chain(parents).chain([server(ORIGIN_NUMBER, Role::Origin, 0)]).collect()
}

/// Returns the number of zones of a fleet with this number of caches, in proportion to the expected fleet.
pub fn zones_for(expected: &Expected, caches: usize) -> usize {
    (expected.zones * caches).div_ceil(expected.caches).max(1)
}

/// Drives one router with a simulated clock: requests arrive at a fixed interval, responses after their latency, timers when they expire.
pub struct RouterDriver {
    pub router: Router,
    now: Ms,
    interval: Ms,
    requests: usize,
    actions: Vec<Action>,
    timers: VecDeque<(Ms, u64)>,
    responses: VecDeque<(Ms, Outcome)>,
    /// Attempts that were sent.
    pub attempts: usize,
    /// Allocations of timer events. These run by the clock, independently of the number of requests.
    pub sweep_allocations: Allocations,
}

impl RouterDriver {
    /// Returns the driver of a router in the expected fleet.
    pub fn expected(expected: &Expected) -> Self {
        let list = endpoints(expected.caches, expected.zones, expected.caches_per_parent);
        Self::new(expected_settings(expected), list, request_interval(expected))
    }

    /// Returns the driver of a router that has received an endpoint list and gets a request at each interval.
    pub fn new(settings: Settings, list: Vec<Endpoint>, interval: Ms) -> Self {
        let mut driver = Self {
            router: Router::new(settings, ROUTER_SEED),
            now: START_MS,
            interval,
            requests: 0,
            actions: Vec::new(),
            timers: VecDeque::new(),
            responses: VecDeque::new(),
            attempts: 0,
            sweep_allocations: Allocations::default(),
        };
        driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: list });
        driver
    }

    /// Passes an event to the router now, and performs its actions.
    pub fn handle(&mut self, event: Event) {
        self.router.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::Timer { delay, token } => self.timers.push_back((self.now + delay, token)),
                Action::StartAttempt(attempt) => {
                    self.attempts += 1;
                    let filled = (self.attempts as u64).is_multiple_of(FILL_INTERVAL);
                    let (fill_report, source_wait) =
                        if filled { (FillReport::FilledBySource, FILL_MS) } else { (FillReport::Hit, 0.0) };
                    let latency = HIT_MS + source_wait;
                    let outcome = Outcome {
                        request: attempt.request,
                        attempt: AttemptNo(0),
                        server: attempt.server,
                        result: AttemptResult::Served,
                        latency,
                        completes_request: true,
                        fill_report,
                        source_wait,
                        load: LoadReport::default(),
                        body_complete: true,
                    };
                    self.responses.push_back((self.now + latency, outcome));
                }
                Action::CancelAttempt { .. } | Action::Reject { .. } | Action::Fail(_) => {}
                Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }

    /// Moves the clock, and delivers the responses and timers that are due until then.
    pub fn advance(&mut self, duration: Ms) {
        let until = self.now + duration;
        loop {
            let response = self.responses.front().map_or(f64::INFINITY, |r| r.0);
            let timer = self.timers.front().map_or(f64::INFINITY, |t| t.0);
            if response.min(timer) > until {
                break;
            }
            self.now = self.now.max(response.min(timer));
            if response <= timer {
                if let Some((_, outcome)) = self.responses.pop_front() {
                    self.handle(Event::Outcome(outcome));
                }
            } else if let Some((_, token)) = self.timers.pop_front() {
                let ((), allocations) = count_allocations(|| self.handle(Event::Timer(token)));
                self.sweep_allocations.add(allocations);
            }
        }
        self.now = until;
    }

    /// Sends requests for random objects, skewed so that some objects repeat soon and most do not.
    pub fn request_random_objects(&mut self, requests: usize, objects: usize, rng: &mut Rng) {
        for _ in 0..requests {
            let (a, b) = (draw(rng), draw(rng));
            self.request_object((a * b * objects as f64) as u64);
        }
    }

    /// Sends the next request, for this object.
    pub fn request_object(&mut self, object: u64) {
        self.advance(self.interval);
        self.requests += 1;
        self.handle(Event::Request(Request {
            id: RequestId(Arc::from(format!("r{}", self.requests))),
            class: Some(ClassId(0)),
            object: ObjectId(object),
            part: Part(0),
            group: GroupId(object % GROUPS),
            size_kb: 0.0,
            write: false,
            budget: DEADLINE_MS,
        }));
    }
}
