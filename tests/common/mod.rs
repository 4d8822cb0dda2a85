//! Settings, servers and a driver for tests without the bench.
#![allow(dead_code)]

use basaltgw::api::*;
use basaltgw::routing::Router;
use std::sync::Arc;

pub const SAFE: ClassId = ClassId(0);
pub const SMALL: ClassId = ClassId(1);
pub const WRITE: ClassId = ClassId(2);
pub const KEYED: ClassId = ClassId(3);

pub fn id(s: &str) -> ServerId {
    ServerId(Arc::from(s))
}

pub fn rid(n: usize) -> RequestId {
    RequestId(Arc::from(format!("r{n}").as_str()))
}

pub fn class(name: &str, effect: Idempotency) -> Class {
    Class {
        name: name.into(),
        latency_objective: 400.0,
        latency_objective_stretch: 2.0,
        deadline: 4000.0,
        idempotency: effect,
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
        edge_slow_start: SlowStartPolicy { share: 0.2, span: 10_000.0, multiple: 2.0, window: 1000.0 },
        parent_slow_start: SlowStartPolicy { share: 0.1, span: 10_000.0, multiple: 2.0, window: 1000.0 },
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

pub fn entry(name: &str, role: Role) -> Endpoint {
    let zone = if role == Role::Edge { 1 } else { 0 };
    Endpoint {
        id: id(name),
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
    let mut all: Vec<Endpoint> = (0..4).map(|n| entry(&format!("edge-{n}"), Role::Edge)).collect();
    all.extend((0..2).map(|n| entry(&format!("parent-{n}"), Role::Parent)));
    all.push(entry("origin", Role::Origin));
    all
}

/// The same, with hundreds of caches more here and in other zones, and a few parents more.
pub fn large_fleet() -> Vec<Endpoint> {
    let mut all = fleet();
    for n in 0..300 {
        all.push(Endpoint { zone: ZoneId(1 + n % 30), ..entry(&format!("more-{n}"), Role::Edge) });
    }
    all.extend((2..12).map(|n| entry(&format!("parent-{n}"), Role::Parent)));
    all
}

pub fn request(n: usize, class: ClassId, object: u64, budget: Ms) -> Request {
    Request {
        id: rid(n),
        class: Some(class),
        object: ObjectId(object),
        part: Part(0),
        group: GroupId(object % 8),
        size_kb: 0.0,
        write: class == WRITE,
        budget,
    }
}

/// A router with a clock; timers come due as the clock is moved.
pub struct Driver {
    pub router: Router,
    pub now: Ms,
    timers: Vec<(Ms, u64)>,
    /// Everything decided so far.
    pub log: Vec<(Ms, Action)>,
}

impl Driver {
    pub fn new(settings: Settings, servers: Vec<Endpoint>) -> Self {
        Self::at(1000.0, settings, 7, servers)
    }

    /// One of that seed that starts then.
    pub fn at(now: Ms, settings: Settings, seed: u64, servers: Vec<Endpoint>) -> Self {
        let router = Router::new(settings, seed);
        let mut driver = Self { router, now, timers: Vec::new(), log: Vec::new() };
        driver.tell(Event::Endpoints(EndpointUpdate::Complete, servers));
        driver
    }

    /// Hands an event over and returns what was decided, timers apart.
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut acts = Vec::new();
        self.router.handle(self.now, event, &mut acts);
        let mut rest = Vec::new();
        for act in acts {
            if let Action::Timer(delay, token) = act {
                self.timers.push((self.now + delay, token));
            } else {
                self.log.push((self.now, act.clone()));
                rest.push(act);
            }
        }
        rest
    }

    /// Moves the clock, timers included, and returns what they led to.
    pub fn wait(&mut self, span: Ms) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while let Some(at) = (0..self.timers.len())
            .min_by(|a, b| self.timers[*a].0.total_cmp(&self.timers[*b].0))
            .filter(|at| self.timers[*at].0 <= end)
        {
            let (due, token) = self.timers.remove(at);
            self.now = due.max(self.now);
            all.extend(self.tell(Event::Timer(token)));
        }
        self.now = end;
        all
    }

    pub fn ask(&mut self, n: usize, class: ClassId, object: u64) -> Vec<Action> {
        self.tell(Event::Request(request(n, class, object, 4000.0)))
    }

    pub fn end(
        &mut self,
        n: usize,
        attempt: usize,
        server: &ServerId,
        end: AttemptResult,
        note: FillReport,
    ) -> Vec<Action> {
        self.outcome(n, attempt, server, end, note, 100.0)
    }

    pub fn outcome(
        &mut self,
        n: usize,
        attempt: usize,
        server: &ServerId,
        end: AttemptResult,
        note: FillReport,
        delay: Ms,
    ) -> Vec<Action> {
        self.tell(Event::Outcome(Outcome {
            request: rid(n),
            attempt: AttemptNo(attempt),
            server: server.clone(),
            result: end,
            latency: delay,
            completes_request: end == AttemptResult::Served,
            fill_report: note,
            source_wait: if note == FillReport::Hit { 0.0 } else { 20.0 },
            load: LoadReport::default(),
            body_complete: true,
        }))
    }

    /// The list tells that a server has just started anew.
    pub fn restart(&mut self, name: &str, role: Role) {
        let started = Some(self.now);
        self.tell(Event::Endpoints(EndpointUpdate::Delta, vec![Endpoint { started, ..entry(name, role) }]));
    }

    /// Asks for an object and serves it as a hit; returns where it went.
    pub fn serve(&mut self, n: usize, class: ClassId, object: u64, note: FillReport) -> AttemptSpec {
        let fetch = fetch(&self.ask(n, class, object)).expect("a fetch");
        self.end(n, 0, &fetch.server, AttemptResult::Served, note);
        fetch
    }
}

/// The first attempt among some actions.
pub fn fetch(acts: &[Action]) -> Option<AttemptSpec> {
    acts.iter().find_map(|a| match a {
        Action::StartAttempt(f) => Some(f.clone()),
        _ => None,
    })
}

pub fn refused(acts: &[Action], n: usize) -> bool {
    acts.iter().any(|a| matches!(a, Action::Reject(r, _) if *r == rid(n)))
}

pub fn failed(acts: &[Action], n: usize) -> bool {
    acts.iter().any(|a| matches!(a, Action::Fail(r) if *r == rid(n)))
}

pub fn reports(acts: &[Action], what: &str) -> usize {
    acts.iter().filter(|a| matches!(a, Action::Log(text) if text.contains(what))).count()
}
