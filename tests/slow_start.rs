//! Slow start under random orders of requests, pauses, slow connections, crashes, lists and restarts of the router, in
//! simulated time. The test counts arrivals at the restarted cache itself and shares no sum with the send ledger.

mod common;
use basaltgw::api::*;
use basaltgw::hash::{mix, unit_interval};
use common::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Mean sending time of objects, and the shares of it between which they lie.
const SENDING_TIME: Ms = 100.0;
const SENDING_TIME_SHARES: [f64; 2] = [0.5, 1.5];
/// Duration of a response without a body.
const UNCHANGED_MS: Ms = 5.0;
const OBJECTS: u64 = 300;
const POLICY: SlowStartPolicy = SlowStartPolicy {
    initial_share: 0.24,
    ramp_duration: 18_000.0,
    overload_factor: 2.5,
    overload_window: 1_500.0,
};
/// The listed weight of each cache, in responses at full rate.
const SIZE: f64 = 4.0;
const NAME: &str = "edge-0";
/// Time before the first step in which the router collects statistics.
const WARM_UP: Ms = 2_000.0;

#[derive(Clone, Debug)]
enum Step {
    /// Requests at random times within a duration.
    Requests {
        requests: u64,
        within: Ms,
    },
    /// From now on this many of ten responses have no body.
    Bodyless(u64),
    /// The cache neither reads nor responds for a duration.
    Pause(Ms),
    /// Connections to the cache are lost; a new one opens after a duration.
    SlowConnection(Ms),
    /// Its process crashes and restarts after a duration; the list shows it after another.
    Crash {
        down: Ms,
        listed_after: Ms,
    },
    /// A complete list: current, without starts, or with an earlier start of the cache.
    List(u8),
    /// The router restarts with the current list.
    Restart,
    Wait(Ms),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (5u64..80, 1.0..1_200.0f64).prop_map(|(requests, within)| Step::Requests { requests, within }),
        1 => (0u64..6).prop_map(Step::Bodyless),
        2 => (100.0..1_900.0f64).prop_map(Step::Pause),
        2 => (50.0..1_600.0f64).prop_map(Step::SlowConnection),
        2 => (50.0..1_500.0f64, 1.0..2_500.0f64).prop_map(|(down, listed_after)| Step::Crash { down, listed_after }),
        1 => (0u8..3).prop_map(Step::List),
        1 => Just(Step::Restart),
        3 => (10.0..1_600.0f64).prop_map(Step::Wait),
    ]
}

/// A scheduled event.
enum Due {
    Request(u64),
    Written(Attempt),
    /// An attempt's last byte has reached the cache's socket.
    Arrive(Attempt),
    Response(Attempt),
    TimeOut(Attempt),
    Start,
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

struct World {
    driver: Driver,
    settings: Settings,
    due: BTreeMap<(u64, u64), Due>,
    events: u64,
    incarnation: u64,
    requested: usize,
    bodyless_of_ten: u64,
    /// Attempts in flight with their start times, and those whose last byte is written.
    in_flight: BTreeMap<Attempt, Ms>,
    on_wire: BTreeSet<Attempt>,
    attempts: BTreeMap<usize, usize>,
    objects: BTreeMap<usize, u64>,
    connected: Ms,
    paused: Ms,
    up: bool,
    started: Ms,
    /// When the list showed the current process.
    listed_at: Option<Ms>,
    listed: Ms,
    arrived: Vec<Ms>,
    highest: f64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut settings = settings();
        (settings.zone_routers, settings.routers, settings.approximate_weights) = (1, 1, false);
        (settings.edge_slow_start, settings.parent_slow_start) = (POLICY, POLICY);
        let mut driver = Driver::at(1_000.0, settings.clone(), seed, Self::list(None));
        driver.router.expect_write_events();
        let mut world = Self {
            driver,
            settings,
            due: BTreeMap::new(),
            events: seed << 20,
            incarnation: 0,
            requested: 0,
            bodyless_of_ten: 0,
            in_flight: BTreeMap::new(),
            on_wire: BTreeSet::new(),
            attempts: BTreeMap::new(),
            objects: BTreeMap::new(),
            connected: 0.0,
            paused: 0.0,
            up: true,
            started: f64::NEG_INFINITY,
            listed_at: None,
            listed: 0.0,
            arrived: Vec::new(),
            highest: 0.0,
        };
        world.apply_step(&Step::Requests { requests: 120, within: WARM_UP });
        world.apply_step(&Step::Wait(WARM_UP + 500.0));
        world.apply_step(&Step::Crash { down: 200.0, listed_after: 10.0 });
        world.apply_step(&Step::Wait(250.0));
        world
    }

    fn list(started: Option<Ms>) -> Vec<Endpoint> {
        let mut all: Vec<Endpoint> = fleet().into_iter().map(|e| Endpoint { weight: SIZE, ..e }).collect();
        all.iter_mut().filter(|e| e.id == server_id(NAME)).for_each(|e| e.started = started);
        all
    }

    fn random(&mut self) -> f64 {
        self.events += 1;
        unit_interval(mix(self.events, 77))
    }

    fn schedule(&mut self, at: Ms, due: Due) {
        self.events += 1;
        self.due.insert(((at * 1000.0) as u64, self.events), due);
    }

    /// What slow start allows the process at its age, in requests of mean sending time, with an allowance for chance.
    fn bound(&self) -> f64 {
        let age = ((self.driver.now - self.started) / POLICY.ramp_duration).clamp(0.0, 1.0);
        let share = POLICY.initial_share + (1.0 - POLICY.initial_share) * age;
        let allowed = POLICY.overload_factor * share * SIZE * POLICY.overload_window / SENDING_TIME;
        if allowed < 30.0 {
            allowed + 3.0 * allowed.sqrt() + 3.0
        } else {
            allowed + 2.0 * allowed.sqrt() + 2.0
        }
    }

    fn apply_step(&mut self, step: &Step) {
        let now = self.driver.now;
        match step {
            Step::Requests { requests, within } => {
                for _ in 0..*requests {
                    let (at, object) = (self.random() * within, (self.random() * OBJECTS as f64) as u64);
                    self.schedule(now + at, Due::Request(object));
                }
            }
            Step::Bodyless(of_ten) => self.bodyless_of_ten = *of_ten,
            Step::Pause(span) => self.paused = self.paused.max(now + span),
            Step::SlowConnection(span) => {
                self.end_all(AttemptResult::ConnectionLost);
                self.connected = now + span;
            }
            Step::Crash { down, listed_after } => {
                self.up = false;
                self.end_all(AttemptResult::ConnectionLost);
                self.schedule(now + down, Due::Start);
                self.schedule(now + down + listed_after, Due::Listed(now + down));
            }
            Step::List(kind) => {
                let started = [Some(self.listed), None, Some(self.listed - 3_000.0)][*kind as usize % 3];
                self.handle(Event::Endpoints {
                    update: EndpointUpdate::Complete,
                    entries: Self::list(started.filter(|at| *at > 0.0)),
                });
            }
            Step::Restart => {
                self.incarnation += 1;
                self.in_flight.clear();
                self.on_wire.clear();
                let list = Self::list(Some(self.listed).filter(|at| *at > 0.0));
                self.driver = Driver::at(now, self.settings.clone(), self.incarnation, list);
                self.driver.router.expect_write_events();
            }
            Step::Wait(span) => self.run(now + span),
        }
    }

    fn run(&mut self, end: Ms) {
        while let Some(entry) = self.due.first_entry().filter(|e| e.key().0 as f64 / 1000.0 <= end) {
            let ((at, _), due) = entry.remove_entry();
            self.advance((at as f64 / 1000.0).max(self.driver.now));
            self.process(due);
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
                Action::StartAttempt(fetch) => self.begin(fetch),
                Action::CancelAttempt { request, attempt: number } => {
                    let request = request.0[1..].parse().expect("a number");
                    let found = self.in_flight.keys().find(|a| (a.request, a.number) == (request, number.0));
                    if let Some(attempt) = found.cloned() {
                        self.finish(attempt, AttemptResult::Cancelled, FillReport::NotReported, false);
                    }
                }
                _ => {}
            }
        }
    }

    fn begin(&mut self, fetch: AttemptSpec) {
        let request = fetch.request.0[1..].parse().expect("a number");
        let number = self.attempts.entry(request).or_default();
        let attempt =
            Attempt { incarnation: self.incarnation, request, number: *number, server: fetch.server };
        *number += 1;
        let now = self.driver.now;
        self.in_flight.insert(attempt.clone(), now);
        let on_wire = if attempt.server == server_id(NAME) { now.max(self.connected) } else { now };
        self.schedule(on_wire, Due::Written(attempt.clone()));
        self.schedule(now + fetch.timeout, Due::TimeOut(attempt));
    }

    fn end_all(&mut self, end: AttemptResult) {
        let here: Vec<Attempt> =
            self.in_flight.keys().filter(|a| a.server == server_id(NAME)).cloned().collect();
        here.into_iter().for_each(|attempt| self.finish(attempt, end, FillReport::NotReported, false));
    }

    fn finish(&mut self, attempt: Attempt, end: AttemptResult, fill_report: FillReport, whole: bool) {
        let Some(began) = self.in_flight.remove(&attempt) else { return };
        let end = if self.on_wire.remove(&attempt) { end } else { AttemptResult::NotSent };
        self.handle(Event::Outcome(Outcome {
            request: request_id(attempt.request),
            attempt: AttemptNo(attempt.number),
            server: attempt.server,
            result: end,
            latency: self.driver.now - began,
            completes_request: end == AttemptResult::Served,
            fill_report,
            source_wait: 0.0,
            load: LoadReport::default(),
            body_complete: whole,
        }));
    }

    fn process(&mut self, due: Due) {
        let now = self.driver.now;
        match due {
            Due::Request(object) => {
                self.requested += 1;
                self.objects.insert(self.requested, object);
                let actions = self.driver.request(self.requested, IDEMPOTENT, object);
                self.apply(actions);
            }
            Due::Written(attempt) if self.in_flight.contains_key(&attempt) => {
                if attempt.server == server_id(NAME) && !self.up {
                    return self.finish(attempt, AttemptResult::NoConnection, FillReport::NotReported, false);
                }
                self.on_wire.insert(attempt.clone());
                self.handle(Event::RequestWritten {
                    request: request_id(attempt.request),
                    attempt: AttemptNo(attempt.number),
                });
                self.schedule(now, Due::Arrive(attempt));
            }
            Due::Arrive(attempt) => {
                let here = attempt.server == server_id(NAME);
                if here && now + 0.01 < self.paused {
                    return self.schedule(self.paused, Due::Arrive(attempt));
                }
                if here && self.up {
                    self.arrive();
                }
                let copy = self.random() * 10.0 < self.bodyless_of_ten as f64;
                let object = self.objects[&attempt.request];
                let [least, most] = SENDING_TIME_SHARES;
                let work = SENDING_TIME * (least + (most - least) * unit_interval(mix(object, 5)));
                self.schedule(now + if copy { UNCHANGED_MS } else { work }, Due::Response(attempt));
            }
            Due::Response(attempt) => {
                let here = attempt.server == server_id(NAME);
                if here && now + 0.01 < self.paused {
                    return self.schedule(self.paused, Due::Response(attempt));
                }
                let began = self.in_flight.get(&attempt).copied().unwrap_or(now);
                let whole = now - began > 2.0 * UNCHANGED_MS;
                self.finish(attempt, AttemptResult::Served, FillReport::Hit, whole);
            }
            Due::TimeOut(attempt) => {
                self.finish(attempt, AttemptResult::TimedOut, FillReport::NotReported, false)
            }
            Due::Start => {
                self.up = true;
                (self.started, self.listed_at) = (now, None);
                self.arrived.clear();
            }
            Due::Listed(started) => {
                if started == self.started || (started - self.started).abs() < 0.01 {
                    self.listed_at = Some(now);
                }
                self.listed = self.listed.max(started);
                self.handle(Event::Endpoints {
                    update: EndpointUpdate::Complete,
                    entries: Self::list(Some(started)),
                });
            }
            Due::Written(_) => {}
        }
    }

    /// An attempt reaches the restarted cache. Those that do before the list shows the start don't count.
    fn arrive(&mut self) {
        let now = self.driver.now;
        if self.listed_at.is_none() || now - self.started > POLICY.ramp_duration {
            return;
        }
        self.arrived.push(now);
        let in_window =
            self.arrived.iter().rev().take_while(|at| **at > now - POLICY.overload_window).count();
        self.highest = self.highest.max(in_window as f64 / self.bound());
    }
}

fn highest(seed: u64, steps: &[Step]) -> f64 {
    let mut world = World::new(seed);
    steps.iter().for_each(|step| world.apply_step(step));
    world.apply_step(&Step::Wait(3_000.0));
    world.highest
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn restarted_cache_stays_within_its_budget_in_any_order_of_events(
        seed in 0u64..1_000,
        steps in prop::collection::vec(step(), 4..40),
    ) {
        let highest = highest(seed, &steps);
        prop_assert!(highest <= 1.0, "{highest:.2} of the bound");
    }
}

/// Under a demand of several times the budget most of it is used, so that the property above is not empty.
#[test]
fn runs_come_near_the_bound() {
    let shares: Vec<f64> = (0..20)
        .map(|seed| {
            let steps = [Step::Requests { requests: 900, within: 6_000.0 }, Step::Wait(6_000.0)];
            highest(seed, &steps)
        })
        .collect();
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    println!("without faults {mean:.2} of the bound");
    assert!(mean >= 0.5, "{shares:?}");
}
