//! A router and a cache that restarts, in simulated time, and the count of arrivals at the cache.

use crate::common::*;
use crate::Step;
use basaltgw::api::*;
use basaltgw::hash::{mix, unit_interval};
use std::collections::{BTreeMap, BTreeSet};

/// Mean sending time of objects.
const MEAN_SENDING_TIME_MS: Ms = 100.0;
/// Least and greatest sending time of an object, as shares of the mean.
const SENDING_TIME_SHARES: [f64; 2] = [0.5, 1.5];
/// Latency of a response without a body.
const BODYLESS_RESPONSE_MS: Ms = 5.0;
const OBJECTS: u64 = 300;
const POLICY: SlowStartPolicy = SlowStartPolicy {
    initial_share: 0.24,
    ramp_duration: 18_000.0,
    overload_factor: 2.5,
    overload_window: 1_500.0,
};
/// The listed weight of each cache, in responses at full rate.
const LISTED_WEIGHT: f64 = 4.0;
const RESTARTED_CACHE: &str = "edge-0";
/// Time before the first step, in milliseconds, in which the router collects statistics.
const WARM_UP_MS: Ms = 2_000.0;

/// An event of the simulation.
enum ScheduledEvent {
    Request(u64),
    /// An attempt's last byte is written to the connection.
    Written(Attempt),
    /// An attempt's last byte has reached the cache's socket.
    Arrive(Attempt),
    Response(Attempt),
    TimeOut(Attempt),
    /// The crashed cache runs again.
    CacheRestarted,
    /// The list shows a process start.
    Listed(Ms),
}

/// An attempt of a router's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    incarnation: u64,
    request: usize,
    number: usize,
    server: ServerId,
}

/// A router, servers of which one cache restarts, and what has arrived at that cache.
pub struct World {
    driver: Driver,
    settings: Settings,
    /// Events by their time in microseconds and a sequence number.
    scheduled: BTreeMap<(u64, u64), ScheduledEvent>,
    sequence: u64,
    /// Number of restarts of the router.
    incarnation: u64,
    request_count: usize,
    /// How many of ten responses have no body.
    bodyless_per_ten: u64,
    /// Attempts in flight with their start times.
    in_flight: BTreeMap<Attempt, Ms>,
    /// Attempts whose last byte is written.
    written: BTreeSet<Attempt>,
    /// Number of attempts by request.
    attempt_counts: BTreeMap<usize, usize>,
    /// Requested object by request.
    objects: BTreeMap<usize, u64>,
    /// When the router's connection to the cache opens.
    connected_at: Ms,
    /// Until when the cache neither reads nor responds.
    paused_until: Ms,
    /// Whether the cache's process runs.
    up: bool,
    /// When the cache's current process started.
    started_at: Ms,
    /// When the list showed the current process.
    listed_at: Option<Ms>,
    /// The latest start that the list has shown.
    listed_start: Ms,
    /// Arrivals at the cache's current process.
    arrivals: Vec<Ms>,
    /// The largest share of the bound that arrivals within a window have reached.
    pub max_bound_share: f64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut settings = settings();
        (settings.zone_routers, settings.routers, settings.approximate_weights) = (1, 1, false);
        (settings.edge_slow_start, settings.parent_slow_start) = (POLICY, POLICY);
        let mut driver = Driver::at(1_000.0, settings.clone(), seed, Self::list(None));
        driver.router.expect_write_events();
        let mut world = Self {
            driver,
            settings,
            scheduled: BTreeMap::new(),
            sequence: seed << 20,
            incarnation: 0,
            request_count: 0,
            bodyless_per_ten: 0,
            in_flight: BTreeMap::new(),
            written: BTreeSet::new(),
            attempt_counts: BTreeMap::new(),
            objects: BTreeMap::new(),
            connected_at: 0.0,
            paused_until: 0.0,
            up: true,
            started_at: f64::NEG_INFINITY,
            listed_at: None,
            listed_start: 0.0,
            arrivals: Vec::new(),
            max_bound_share: 0.0,
        };
        world.apply_step(&Step::Requests { requests: 120, within: WARM_UP_MS });
        world.apply_step(&Step::Wait { duration: WARM_UP_MS + 500.0 });
        world.apply_step(&Step::Crash { down: 200.0, listed_after: 10.0 });
        world.apply_step(&Step::Wait { duration: 250.0 });
        world
    }

    fn list(started: Option<Ms>) -> Vec<Endpoint> {
        let weighted = |server: Endpoint| Endpoint { weight: LISTED_WEIGHT, ..server };
        let mut servers: Vec<Endpoint> = fleet().into_iter().map(weighted).collect();
        let restarted = servers.iter_mut().find(|server| server.id == server_id(RESTARTED_CACHE));
        restarted.expect("the restarted cache").started = started;
        servers
    }

    fn random(&mut self) -> f64 {
        self.sequence += 1;
        unit_interval(mix(self.sequence, 77))
    }

    fn schedule(&mut self, at: Ms, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.insert(((at * 1000.0) as u64, self.sequence), event);
    }

    /// Requests of mean sending time that slow start allows the process at its age in a window, with a tolerance for
    /// random fluctuations.
    fn bound(&self) -> f64 {
        let ramp_progress = ((self.driver.now - self.started_at) / POLICY.ramp_duration).clamp(0.0, 1.0);
        let share = POLICY.initial_share + (1.0 - POLICY.initial_share) * ramp_progress;
        let allowed =
            POLICY.overload_factor * share * LISTED_WEIGHT * POLICY.overload_window / MEAN_SENDING_TIME_MS;
        if allowed < 30.0 {
            allowed + 3.0 * allowed.sqrt() + 3.0
        } else {
            allowed + 2.0 * allowed.sqrt() + 2.0
        }
    }

    pub fn apply_step(&mut self, step: &Step) {
        let now = self.driver.now;
        match step {
            Step::Requests { requests, within } => {
                for _ in 0..*requests {
                    let (at, object) = (self.random() * within, (self.random() * OBJECTS as f64) as u64);
                    self.schedule(now + at, ScheduledEvent::Request(object));
                }
            }
            Step::ResponsesWithoutBody { per_ten } => self.bodyless_per_ten = *per_ten,
            Step::PauseCache { duration } => self.paused_until = self.paused_until.max(now + duration),
            Step::SlowConnection { duration } => {
                self.end_all(AttemptResult::ConnectionLost);
                self.connected_at = now + duration;
            }
            Step::Crash { down, listed_after } => {
                self.up = false;
                self.end_all(AttemptResult::ConnectionLost);
                self.schedule(now + down, ScheduledEvent::CacheRestarted);
                self.schedule(now + down + listed_after, ScheduledEvent::Listed(now + down));
            }
            Step::List { kind } => {
                let started =
                    [Some(self.listed_start), None, Some(self.listed_start - 3_000.0)][*kind as usize % 3];
                let entries = Self::list(started.filter(|at| *at > 0.0));
                self.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries });
            }
            Step::RestartRouter => {
                self.incarnation += 1;
                self.in_flight.clear();
                self.written.clear();
                let list = Self::list(Some(self.listed_start).filter(|at| *at > 0.0));
                self.driver = Driver::at(now, self.settings.clone(), self.incarnation, list);
                self.driver.router.expect_write_events();
            }
            Step::Wait { duration } => self.run(now + duration),
        }
    }

    fn run(&mut self, end: Ms) {
        while let Some(entry) = self.scheduled.first_entry().filter(|e| e.key().0 as f64 / 1000.0 <= end) {
            let ((at_us, _), event) = entry.remove_entry();
            self.advance((at_us as f64 / 1000.0).max(self.driver.now));
            self.process(event);
        }
        self.advance(end);
    }

    fn advance(&mut self, until: Ms) {
        let actions = self.driver.advance((until - self.driver.now).max(0.0));
        self.apply(actions);
    }

    fn handle(&mut self, event: Event) {
        let actions = self.driver.handle(event);
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartAttempt(spec) => self.begin(spec),
                Action::CancelAttempt { request, attempt: number } => {
                    let request = request.0[1..].parse().expect("a request id with a number");
                    let found = self.in_flight.keys().find(|a| (a.request, a.number) == (request, number.0));
                    if let Some(attempt) = found.cloned() {
                        self.finish(attempt, AttemptResult::Cancelled, FillReport::NotReported, false);
                    }
                }
                _ => {}
            }
        }
    }

    fn begin(&mut self, spec: AttemptSpec) {
        let request = spec.request.0[1..].parse().expect("a request id with a number");
        let number = self.attempt_counts.entry(request).or_default();
        let attempt =
            Attempt { incarnation: self.incarnation, request, number: *number, server: spec.server };
        *number += 1;
        let now = self.driver.now;
        self.in_flight.insert(attempt.clone(), now);
        let written_at =
            if attempt.server == server_id(RESTARTED_CACHE) { now.max(self.connected_at) } else { now };
        self.schedule(written_at, ScheduledEvent::Written(attempt.clone()));
        self.schedule(now + spec.timeout, ScheduledEvent::TimeOut(attempt));
    }

    /// Ends all attempts at the cache.
    fn end_all(&mut self, result: AttemptResult) {
        let at_cache: Vec<Attempt> =
            self.in_flight.keys().filter(|a| a.server == server_id(RESTARTED_CACHE)).cloned().collect();
        at_cache.into_iter().for_each(|attempt| self.finish(attempt, result, FillReport::NotReported, false));
    }

    fn finish(
        &mut self,
        attempt: Attempt,
        result: AttemptResult,
        fill_report: FillReport,
        body_complete: bool,
    ) {
        let Some(started_at) = self.in_flight.remove(&attempt) else { return };
        let result = if self.written.remove(&attempt) { result } else { AttemptResult::NotSent };
        self.handle(Event::Outcome(Outcome {
            request: request_id(attempt.request),
            attempt: AttemptNo(attempt.number),
            server: attempt.server,
            result,
            latency: self.driver.now - started_at,
            completes_request: result == AttemptResult::Served,
            fill_report,
            source_wait: 0.0,
            load: LoadReport::default(),
            body_complete,
        }));
    }

    fn process(&mut self, event: ScheduledEvent) {
        let now = self.driver.now;
        match event {
            ScheduledEvent::Request(object) => {
                self.request_count += 1;
                self.objects.insert(self.request_count, object);
                let actions = self.driver.request(self.request_count, IDEMPOTENT, object);
                self.apply(actions);
            }
            ScheduledEvent::Written(attempt) if self.in_flight.contains_key(&attempt) => {
                if attempt.server == server_id(RESTARTED_CACHE) && !self.up {
                    return self.finish(attempt, AttemptResult::NoConnection, FillReport::NotReported, false);
                }
                self.written.insert(attempt.clone());
                let (request, number) = (request_id(attempt.request), AttemptNo(attempt.number));
                self.handle(Event::RequestWritten { request, attempt: number });
                self.schedule(now, ScheduledEvent::Arrive(attempt));
            }
            ScheduledEvent::Arrive(attempt) => {
                let is_at_cache = attempt.server == server_id(RESTARTED_CACHE);
                if is_at_cache && now + 0.01 < self.paused_until {
                    return self.schedule(self.paused_until, ScheduledEvent::Arrive(attempt));
                }
                if is_at_cache && self.up {
                    self.arrive();
                }
                let is_bodyless = self.random() * 10.0 < self.bodyless_per_ten as f64;
                let object = self.objects[&attempt.request];
                let [least, greatest] = SENDING_TIME_SHARES;
                let sending_time =
                    MEAN_SENDING_TIME_MS * (least + (greatest - least) * unit_interval(mix(object, 5)));
                let latency = if is_bodyless { BODYLESS_RESPONSE_MS } else { sending_time };
                self.schedule(now + latency, ScheduledEvent::Response(attempt));
            }
            ScheduledEvent::Response(attempt) => {
                let is_at_cache = attempt.server == server_id(RESTARTED_CACHE);
                if is_at_cache && now + 0.01 < self.paused_until {
                    return self.schedule(self.paused_until, ScheduledEvent::Response(attempt));
                }
                let started_at = self.in_flight.get(&attempt).copied().unwrap_or(now);
                let body_complete = now - started_at > 2.0 * BODYLESS_RESPONSE_MS;
                self.finish(attempt, AttemptResult::Served, FillReport::Hit, body_complete);
            }
            ScheduledEvent::TimeOut(attempt) => {
                self.finish(attempt, AttemptResult::TimedOut, FillReport::NotReported, false)
            }
            ScheduledEvent::CacheRestarted => {
                self.up = true;
                (self.started_at, self.listed_at) = (now, None);
                self.arrivals.clear();
            }
            ScheduledEvent::Listed(started) => {
                if started == self.started_at || (started - self.started_at).abs() < 0.01 {
                    self.listed_at = Some(now);
                }
                self.listed_start = self.listed_start.max(started);
                let entries = Self::list(Some(started));
                self.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries });
            }
            ScheduledEvent::Written(_) => {}
        }
    }

    /// Records that an attempt reaches the restarted cache. Arrivals before the list shows the start don't count.
    fn arrive(&mut self) {
        let now = self.driver.now;
        if self.listed_at.is_none() || now - self.started_at > POLICY.ramp_duration {
            return;
        }
        self.arrivals.push(now);
        let in_window =
            self.arrivals.iter().rev().take_while(|at| **at > now - POLICY.overload_window).count();
        self.max_bound_share = self.max_bound_share.max(in_window as f64 / self.bound());
    }
}
