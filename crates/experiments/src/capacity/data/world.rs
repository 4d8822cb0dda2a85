//! A router and its servers as the fleet is expected to have them, without sockets.

use super::Expected;
use crate::capacity::meter::{taken, Taken};
use basaltgw::api::*;
use basaltgw::routing::Router;
use basaltgw_simulator::{draw, Rng};
use std::collections::VecDeque;
use std::sync::Arc;

/// Milliseconds that every hit takes; what a fill takes beyond it.
const HIT_MS: Ms = 40.0;
const FILL_MS: Ms = 20.0;
/// One request in so many is a fill.
const FILLS: u64 = 5;
/// What an attempt takes on average.
pub const ANSWER_MS: Ms = HIT_MS + FILL_MS / FILLS as f64;

/// Settings of a router in a fleet of that size; every figure is a usual one of the platform's settings.
pub fn settings(routers: usize, zone_routers: usize, zones: usize) -> Settings {
    let class = Class {
        name: "pages".into(),
        latency_objective: 400.0,
        latency_objective_stretch: 2.0,
        deadline: 4000.0,
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

/// Settings of a router in the expected fleet.
pub fn usual(expected: &Expected) -> Settings {
    settings(expected.routers, expected.routers.div_ceil(expected.zones), expected.zones)
}

/// Milliseconds between two requests at one router of the expected fleet.
pub fn gap(expected: &Expected) -> Ms {
    1000.0 * expected.routers as f64 / expected.requests_per_s
}

/// A server by its number, named as the change log names it.
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

/// So many servers of all roles.
pub fn servers(expected: &Expected, servers: usize) -> Vec<Endpoint> {
    let without_origin = servers.saturating_sub(1);
    let parents = without_origin.div_ceil(expected.caches_per_parent + 1);
    let caches = without_origin.saturating_sub(parents).max(1);
    fleet(caches, zones(expected, caches), caches.div_ceil(parents.max(1)))
}

/// So many caches over so many zones, parents in proportion, and the origin.
pub fn fleet(caches: usize, zones: usize, caches_per_parent: usize) -> Vec<Endpoint> {
    let parents = caches.div_ceil(caches_per_parent);
    let edges = (0..caches).map(|n| server(n, Role::Edge, n % zones));
    let parents = (caches..caches + parents).map(|n| server(n, Role::Parent, 0));
    edges.chain(parents).chain([server(u32::MAX as usize, Role::Origin, 0)]).collect()
}

/// Zones of a fleet with so many caches, in proportion to the expected one.
pub fn zones(expected: &Expected, caches: usize) -> usize {
    (expected.zones * caches).div_ceil(expected.caches).max(1)
}

/// One router with its clock: requests come evenly, answers after their time, timers as they come due.
pub struct Drive {
    pub router: Router,
    now: Ms,
    gap: Ms,
    asked: usize,
    acts: Vec<Action>,
    timers: VecDeque<(Ms, u64)>,
    answers: VecDeque<(Ms, Outcome)>,
    /// Requests that went out.
    pub sent: usize,
    /// What timers took: they come by the clock, however many requests there are.
    pub swept: Taken,
}

impl Drive {
    /// A router of the expected fleet.
    pub fn usual(expected: &Expected) -> Self {
        let list = fleet(expected.caches, expected.zones, expected.caches_per_parent);
        Self::new(usual(expected), list, gap(expected))
    }

    /// A router that has been told a list and gets a request each `gap`.
    pub fn new(set: Settings, list: Vec<Endpoint>, gap: Ms) -> Self {
        let router = Router::new(set, 7);
        let (acts, timers, answers) = (Vec::new(), VecDeque::new(), VecDeque::new());
        let swept = Taken::default();
        let mut drive = Self { router, now: 1000.0, gap, asked: 0, acts, timers, answers, sent: 0, swept };
        drive.tell(Event::Endpoints { update: EndpointUpdate::Complete, entries: list });
        drive
    }

    /// Tells the router something now.
    pub fn tell(&mut self, event: Event) {
        self.router.handle(self.now, event, &mut self.acts);
        for act in self.acts.drain(..) {
            match act {
                Action::Timer { delay: after, token } => self.timers.push_back((self.now + after, token)),
                Action::StartAttempt(f) => {
                    self.sent += 1;
                    let filled = (self.sent as u64).is_multiple_of(FILLS);
                    let (note, source_wait) =
                        if filled { (FillReport::FilledBySource, FILL_MS) } else { (FillReport::Hit, 0.0) };
                    let delay = HIT_MS + source_wait;
                    let (attempt, end, last, load) =
                        (AttemptNo(0), AttemptResult::Served, true, LoadReport::default());
                    let (request, server) = (f.request, f.server);
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
                    self.answers.push_back((self.now + delay, outcome));
                }
                Action::CancelAttempt { .. } | Action::Reject { .. } | Action::Fail(_) => {}
                Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }

    /// Moves the clock, with the answers and timers that come due.
    pub fn pass(&mut self, span: Ms) {
        let until = self.now + span;
        loop {
            let answer = self.answers.front().map_or(f64::INFINITY, |a| a.0);
            let timer = self.timers.front().map_or(f64::INFINITY, |t| t.0);
            if answer.min(timer) > until {
                break;
            }
            self.now = self.now.max(answer.min(timer));
            if answer <= timer {
                let due = self.answers.pop_front();
                due.into_iter().for_each(|(_, outcome)| self.tell(Event::Outcome(outcome)));
            } else {
                let due = self.timers.pop_front();
                if let Some((_, token)) = due {
                    let ((), took) = taken(|| self.tell(Event::Timer(token)));
                    self.swept.add(took);
                }
            }
        }
        self.now = until;
    }

    /// Requests for drawn objects; so skewed that some come again soon and most do not.
    pub fn draw(&mut self, requests: usize, objects: usize, rng: &mut Rng) {
        for _ in 0..requests {
            let (a, b) = (draw(rng), draw(rng));
            self.ask((a * b * objects as f64) as u64);
        }
    }

    /// The next request, for that object.
    pub fn ask(&mut self, object: u64) {
        self.pass(self.gap);
        self.asked += 1;
        self.tell(Event::Request(Request {
            id: RequestId(Arc::from(format!("r{}", self.asked))),
            class: Some(ClassId(0)),
            object: ObjectId(object),
            part: Part(0),
            group: GroupId(object % 8),
            size_kb: 0.0,
            write: false,
            budget: 4000.0,
        }));
    }
}
