//! Settings, servers and a driver for tests of the decision module.
#![allow(dead_code)]

use basaltgw::api::*;
use basaltgw::routing::Router;
use std::sync::Arc;

/// The classes of [`settings`].
pub const IDEMPOTENT: ClassId = ClassId(0);
pub const EXPIRING: ClassId = ClassId(1);
pub const NON_IDEMPOTENT: ClassId = ClassId(2);
pub const WITH_KEY: ClassId = ClassId(3);

/// All fill reports.
pub const FILL_REPORTS: [FillReport; 12] = [
    FillReport::NotReported,
    FillReport::Hit,
    FillReport::FilledBySource,
    FillReport::FilledByOrigin,
    FillReport::Joined,
    FillReport::Stale,
    FillReport::SourceRejected,
    FillReport::SourceFailed,
    FillReport::SourceMiss,
    FillReport::FillLimitReached,
    FillReport::OriginFailed,
    FillReport::LoopDetected,
];

/// Whether an attempt with this result was either not executed or served, so that no execution is left without an
/// answer. Stated apart from the module's own rule, so that a fault there does not hide in the checkers.
pub fn proves_no_pending_execution(result: AttemptResult) -> bool {
    matches!(
        result,
        AttemptResult::Rejected
            | AttemptResult::NoConnection
            | AttemptResult::NotSent
            | AttemptResult::CacheMiss
            | AttemptResult::Served
    )
}

pub fn server_id(name: &str) -> ServerId {
    ServerId(Arc::from(name))
}

pub fn request_id(n: usize) -> RequestId {
    RequestId(Arc::from(format!("r{n}").as_str()))
}

pub fn class(name: &str, idempotency: Idempotency) -> Class {
    Class {
        name: name.into(),
        latency_objective: 400.0,
        latency_objective_stretch: 2.0,
        deadline: 4000.0,
        idempotency,
        key_scope: KeyScope::All,
        key_window: 1000.0,
        priority_weight: 1.0,
        late_weight_share: 0.2,
        fresh_for: 0.0,
        stale_for: 0.0,
        uncacheable: false,
    }
}

pub fn settings() -> Settings {
    let mut write = class("write", Idempotency::NonIdempotent);
    write.uncacheable = true;
    let mut small = class("small", Idempotency::Idempotent);
    small.fresh_for = 8000.0;
    Settings {
        zone: ZoneId(1),
        zone_routers: 1,
        routers: 2,
        zone_parent_group: vec![ZoneId(0), ZoneId(0)],
        classes: vec![
            class("safe", Idempotency::Idempotent),
            small,
            write,
            class("keyed", Idempotency::IdempotencyKey),
        ],
        edge_slow_start: SlowStartPolicy {
            initial_share: 0.2,
            ramp_duration: 10_000.0,
            overload_factor: 2.0,
            overload_window: 1000.0,
        },
        parent_slow_start: SlowStartPolicy {
            initial_share: 0.1,
            ramp_duration: 10_000.0,
            overload_factor: 2.0,
            overload_window: 1000.0,
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
        approximate_weights: true,
        dynamic_weights: false,
        tick: 2.0,
    }
}

pub fn endpoint(name: &str, role: Role) -> Endpoint {
    let zone = if role == Role::Edge { 1 } else { 0 };
    Endpoint {
        id: server_id(name),
        zone: ZoneId(zone),
        role,
        cell: 0,
        state: EndpointState::Up,
        weight: 1.0,
        started: None,
    }
}

/// Four caches, two parents and the origin.
pub fn fleet() -> Vec<Endpoint> {
    let mut all: Vec<Endpoint> = (0..4).map(|n| endpoint(&format!("edge-{n}"), Role::Edge)).collect();
    all.extend((0..2).map(|n| endpoint(&format!("parent-{n}"), Role::Parent)));
    all.push(endpoint("origin", Role::Origin));
    all
}

/// The servers of [`fleet`], three hundred more caches in 30 zones, and ten more parents.
pub fn large_fleet() -> Vec<Endpoint> {
    let mut all = fleet();
    for n in 0..300 {
        all.push(Endpoint { zone: ZoneId(1 + n % 30), ..endpoint(&format!("more-{n}"), Role::Edge) });
    }
    all.extend((2..12).map(|n| endpoint(&format!("parent-{n}"), Role::Parent)));
    all
}

pub fn request(n: usize, class: ClassId, object: u64, budget: Ms) -> Request {
    Request {
        id: request_id(n),
        class: Some(class),
        object: ObjectId(object),
        part: Part(0),
        group: GroupId(object % 8),
        size_kb: 0.0,
        write: class == NON_IDEMPOTENT,
        budget,
    }
}

/// A timer that the router has started.
struct Timer {
    due_at: Ms,
    token: u64,
}

/// A router with a clock. Timers expire as the clock advances.
pub struct Driver {
    pub router: Router,
    pub now: Ms,
    timers: Vec<Timer>,
    /// All actions so far, with their times.
    pub log: Vec<(Ms, Action)>,
}

impl Driver {
    pub fn new(settings: Settings, servers: Vec<Endpoint>) -> Self {
        Self::at(1000.0, settings, 7, servers)
    }

    /// A driver of a router that starts at a time with a seed.
    pub fn at(now: Ms, settings: Settings, seed: u64, servers: Vec<Endpoint>) -> Self {
        let router = Router::new(settings, seed);
        let mut driver = Self { router, now, timers: Vec::new(), log: Vec::new() };
        driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: servers });
        driver
    }

    /// Handles an event and returns its actions, except timers.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        let mut others = Vec::new();
        for action in actions {
            if let Action::Timer { delay, token } = action {
                self.timers.push(Timer { due_at: self.now + delay, token });
            } else {
                self.log.push((self.now, action.clone()));
                others.push(action);
            }
        }
        others
    }

    /// Advances the clock and returns the actions of expired timers.
    pub fn advance(&mut self, span: Ms) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while let Some(next) = (0..self.timers.len())
            .min_by(|a, b| self.timers[*a].due_at.total_cmp(&self.timers[*b].due_at))
            .filter(|index| self.timers[*index].due_at <= end)
        {
            let Timer { due_at, token } = self.timers.remove(next);
            self.now = due_at.max(self.now);
            all.extend(self.handle(Event::Timer(token)));
        }
        self.now = end;
        all
    }

    pub fn request(&mut self, n: usize, class: ClassId, object: u64) -> Vec<Action> {
        self.handle(Event::Request(request(n, class, object, 4000.0)))
    }

    /// Reports the outcome of an attempt of request `n` after 100 ms.
    pub fn finish(
        &mut self,
        n: usize,
        attempt: usize,
        server: &ServerId,
        result: AttemptResult,
        fill_report: FillReport,
    ) -> Vec<Action> {
        self.finish_after(n, attempt, server, result, fill_report, 100.0)
    }

    /// Reports the outcome of an attempt of request `n`, with a latency in milliseconds.
    pub fn finish_after(
        &mut self,
        n: usize,
        attempt: usize,
        server: &ServerId,
        result: AttemptResult,
        fill_report: FillReport,
        latency: Ms,
    ) -> Vec<Action> {
        self.handle(Event::Outcome(Outcome {
            request: request_id(n),
            attempt: AttemptNo(attempt),
            server: server.clone(),
            result,
            latency,
            completes_request: result == AttemptResult::Served,
            fill_report,
            source_wait: if fill_report == FillReport::Hit { 0.0 } else { 20.0 },
            load: LoadReport::default(),
            body_complete: true,
        }))
    }

    /// Lists a server as just restarted.
    pub fn restart(&mut self, name: &str, role: Role) {
        let entries = vec![Endpoint { started: Some(self.now), ..endpoint(name, role) }];
        self.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries });
    }

    /// Requests an object and serves it with a fill report; returns its attempt.
    pub fn serve(&mut self, n: usize, class: ClassId, object: u64, fill_report: FillReport) -> AttemptSpec {
        let spec = first_attempt(&self.request(n, class, object)).expect("an attempt");
        self.finish(n, 0, &spec.server, AttemptResult::Served, fill_report);
        spec
    }
}

/// The first attempt that the actions start.
pub fn first_attempt(actions: &[Action]) -> Option<AttemptSpec> {
    actions.iter().find_map(|a| match a {
        Action::StartAttempt(spec) => Some(spec.clone()),
        _ => None,
    })
}

pub fn is_rejected(actions: &[Action], n: usize) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == request_id(n)))
}

pub fn is_failed(actions: &[Action], n: usize) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(request) if *request == request_id(n)))
}

pub fn count_log_lines(actions: &[Action], pattern: &str) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Log(text) if text.contains(pattern))).count()
}
