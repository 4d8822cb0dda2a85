//! The guarantees (one answer in time, no second execution, nothing to draining servers, purges respected) under random
//! sequences of events, without a model of servers.

mod common;
use basaltgw::api::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        object: u64,
        part: u64,
        budget: f64,
        /// Whether the settings have the class.
        known: bool,
    },
    FinishAttempt {
        /// Selects one of the attempts in flight.
        pick: usize,
        result: u8,
        fill_report: u8,
        latency: f64,
    },
    /// The client disconnects.
    Disconnect {
        /// Selects one of the unanswered requests.
        pick: usize,
    },
    /// The list changes one server.
    ListOne {
        server: usize,
        /// Up, draining or removed.
        state: u8,
        restart: bool,
    },
    CompleteList {
        /// A bit for each server, modulo 8: whether the list has it.
        kept: u8,
    },
    Purge {
        object: Option<u64>,
        group: u64,
        age: f64,
    },
    /// A fill plan with the first parents as sources; without shares no plan.
    FillPlan {
        /// The share of each parent, in quarters.
        shares: Vec<u8>,
        allows_origin: bool,
    },
    Wait {
        duration: f64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..4, 0u64..6, 0u64..3, -10.0..3000.0f64, prop::bool::weighted(0.95))
            .prop_map(|(class, object, part, budget, known)| Step::Request { class, object, part, budget, known }),
        8 => (any::<usize>(), 0u8..9, 0u8..FILL_REPORTS.len() as u8, 0.0..2000.0f64)
            .prop_map(|(pick, result, fill_report, latency)|
                Step::FinishAttempt { pick, result, fill_report, latency }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        1 => (0usize..7, 0u8..3, any::<bool>())
            .prop_map(|(server, state, restart)| Step::ListOne { server, state, restart }),
        1 => any::<u8>().prop_map(|kept| Step::CompleteList { kept }),
        1 => (prop::option::of(0u64..6), 0u64..6, 0.0..500.0f64)
            .prop_map(|(object, group, age)| Step::Purge { object, group, age }),
        1 => (proptest::collection::vec(0u8..6, 0..4), any::<bool>())
            .prop_map(|(shares, allows_origin)| Step::FillPlan { shares, allows_origin }),
        4 => (0.0..400.0f64).prop_map(|duration| Step::Wait { duration }),
    ]
}

/// What the test knows about a request, from events and actions only.
struct TrackedRequest {
    class: ClassId,
    object: u64,
    answer_due_at: Ms,
    answers: usize,
    ended: bool,
    attempts: Vec<TrackedAttempt>,
    may_have_been_executed: bool,
}

struct TrackedAttempt {
    server: ServerId,
    finished: bool,
}

/// A purge of an object or a group, and when the router was notified of it.
struct TrackedPurge {
    object: Option<u64>,
    group: u64,
    purged_at: Ms,
    notified_at: Ms,
}

impl TrackedPurge {
    fn concerns(&self, object: u64) -> bool {
        self.object.map_or(self.group == object % 8, |purged| purged == object)
    }
}

type CheckResult = Result<(), TestCaseError>;

/// A router, and what the test knows about its requests, servers and purges.
struct Checker {
    driver: Driver,
    settings: Settings,
    servers: Vec<Endpoint>,
    tracked: BTreeMap<RequestId, TrackedRequest>,
    /// Servers that are draining or removed.
    unusable: BTreeSet<ServerId>,
    purges: Vec<TrackedPurge>,
    /// Number of actions in the driver's log that are checked already.
    checked_actions: usize,
    request_count: usize,
}

impl Checker {
    fn new(settings: Settings, servers: Vec<Endpoint>) -> Self {
        Self {
            driver: Driver::new(settings.clone(), servers.clone()),
            settings,
            servers,
            tracked: BTreeMap::new(),
            unusable: BTreeSet::new(),
            purges: Vec::new(),
            checked_actions: 0,
            request_count: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Request { class, object, part, budget, known } => {
                self.request_count += 1;
                let class = ClassId(class);
                let sent = request(self.request_count, class, object, budget);
                let listed_class = Some(class).filter(|_| known);
                self.request(class, Request { class: listed_class, part: Part(part), ..sent });
            }
            Step::FinishAttempt { pick, result, fill_report, latency } => {
                self.finish(
                    pick,
                    AttemptResult::ALL[result as usize],
                    FILL_REPORTS[fill_report as usize],
                    latency,
                );
            }
            Step::Disconnect { pick } => self.disconnect(pick),
            Step::FillPlan { shares, allows_origin } => self.plan(&shares, allows_origin),
            Step::ListOne { server, state, restart } => self.list_one(server, state, restart),
            Step::CompleteList { kept } => self.list_all(kept),
            Step::Purge { object, group, age } => {
                let (purged_at, notified_at) = (self.driver.now - age, self.driver.now);
                self.purges.push(TrackedPurge { object, group, purged_at, notified_at });
                self.driver.handle(Event::Purged {
                    group: GroupId(group),
                    object: object.map(ObjectId),
                    age,
                });
            }
            Step::Wait { duration } => {
                self.driver.advance(duration);
            }
        }
    }

    fn request(&mut self, class: ClassId, request: Request) {
        let tracked = TrackedRequest {
            class,
            object: request.object.0,
            answer_due_at: self.driver.now + request.budget.max(0.0),
            answers: 0,
            ended: false,
            attempts: Vec::new(),
            may_have_been_executed: false,
        };
        self.tracked.insert(request.id.clone(), tracked);
        self.driver.handle(Event::Request(request));
    }

    fn finish(&mut self, pick: usize, result: AttemptResult, fill_report: FillReport, latency: Ms) {
        let mut in_flight: Vec<(RequestId, usize)> = Vec::new();
        for (id, tracked) in &self.tracked {
            let unfinished = tracked.attempts.iter().enumerate().filter(|(_, attempt)| !attempt.finished);
            in_flight.extend(unfinished.map(|(n, _)| (id.clone(), n)));
        }
        if in_flight.is_empty() {
            return;
        }
        let (id, n) = in_flight[pick % in_flight.len()].clone();
        let tracked = self.tracked.get_mut(&id).expect("a tracked request");
        tracked.attempts[n].finished = true;
        tracked.may_have_been_executed |= !proves_no_pending_execution(result);
        if result == AttemptResult::Served && !tracked.ended {
            tracked.ended = true;
            tracked.answers += 1;
        }
        let (server, completes_request) = (tracked.attempts[n].server.clone(), tracked.ended);
        self.driver.handle(Event::Outcome(Outcome {
            request: id,
            attempt: AttemptNo(n),
            server,
            result,
            latency,
            completes_request,
            fill_report,
            source_wait: latency / 3.0,
            load: LoadReport::default(),
            body_complete: true,
        }));
    }

    fn disconnect(&mut self, pick: usize) {
        let unanswered = self.tracked.iter().filter(|(_, tracked)| !tracked.ended);
        let unanswered: Vec<RequestId> = unanswered.map(|(id, _)| id.clone()).collect();
        if !unanswered.is_empty() {
            let id = unanswered[pick % unanswered.len()].clone();
            let tracked = self.tracked.get_mut(&id).expect("a tracked request");
            (tracked.ended, tracked.answers) = (true, 1);
            self.driver.handle(Event::ClientDisconnected(id));
        }
    }

    fn plan(&mut self, shares: &[u8], allows_origin: bool) {
        let source = |(n, share): (usize, &u8)| SourceShare {
            id: server_id(&format!("parent-{n}")),
            weight: 1.0,
            share: f64::from(*share) / 4.0,
        };
        let sources = Arc::new(shares.iter().enumerate().map(source).collect::<Vec<_>>());
        let edges = ["edge-0", "edge-2", "edge-3"].map(server_id);
        let plan = FillPlan {
            sources: edges.iter().map(|edge| (edge.clone(), Arc::clone(&sources))).collect(),
            origin_allowed: edges.into_iter().filter(|_| allows_origin).collect(),
        };
        self.driver.handle(Event::FillPlan((!shares.is_empty()).then(|| Arc::new(plan))));
    }

    fn list_one(&mut self, server: usize, state: u8, restart: bool) {
        let mut entry = self.servers[server * self.servers.len() / 7].clone();
        entry.state = [EndpointState::Up, EndpointState::Draining, EndpointState::Removed][state as usize];
        entry.started = restart.then_some(self.driver.now);
        if entry.state == EndpointState::Up {
            self.unusable.remove(&entry.id);
        } else {
            self.unusable.insert(entry.id.clone());
        }
        self.driver.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries: vec![entry] });
    }

    fn list_all(&mut self, kept: u8) {
        let remaining = self.servers.iter().enumerate().filter(|(n, _)| kept >> (n % 8) & 1 == 1);
        let remaining: Vec<Endpoint> = remaining.map(|(_, entry)| entry.clone()).collect();
        self.unusable = self.servers.iter().map(|entry| entry.id.clone()).collect();
        remaining.iter().for_each(|entry| {
            self.unusable.remove(&entry.id);
        });
        self.driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: remaining });
    }

    /// Checks the actions since the last check.
    fn check(&mut self) -> CheckResult {
        for (at, action) in self.driver.log.split_off(self.checked_actions) {
            self.check_action(at, &action)?;
            self.driver.log.push((at, action));
        }
        self.checked_actions = self.driver.log.len();
        Ok(())
    }

    fn check_action(&mut self, at: Ms, action: &Action) -> CheckResult {
        match action {
            Action::StartAttempt(spec) => self.check_attempt(at, spec),
            Action::Reject { request: id, .. } | Action::Fail(id) => {
                let tracked = self.tracked.get_mut(id).expect("a known request");
                prop_assert!(!tracked.ended, "answered twice");
                prop_assert!(at <= tracked.answer_due_at, "answered late");
                let unexecuted =
                    !tracked.may_have_been_executed && tracked.attempts.iter().all(|a| a.finished);
                let idempotency = self.settings.classes[tracked.class.0].idempotency;
                if matches!(action, Action::Reject { .. }) && idempotency == Idempotency::NonIdempotent {
                    prop_assert!(unexecuted, "rejected though it may have been executed");
                }
                (tracked.ended, tracked.answers) = (true, tracked.answers + 1);
                Ok(())
            }
            Action::CancelAttempt { request: id, attempt: number } => {
                prop_assert!(number.0 < self.tracked[id].attempts.len());
                Ok(())
            }
            Action::Timer { .. } | Action::WatchEndpoints | Action::Log(_) => Ok(()),
        }
    }

    fn check_attempt(&mut self, at: Ms, spec: &AttemptSpec) -> CheckResult {
        let settings = &self.settings;
        let tracked = self.tracked.get_mut(&spec.request).expect("a known request");
        prop_assert!(!tracked.ended, "started after the final answer");
        let in_flight = tracked.attempts.iter().filter(|attempt| !attempt.finished).count();
        let idempotency = settings.classes[tracked.class.0].idempotency;
        let may_hedge = settings.hedging && idempotency == Idempotency::Idempotent;
        prop_assert!(in_flight == 0 || (in_flight == 1 && may_hedge));
        let may_have_been_executed = tracked.may_have_been_executed;
        prop_assert!(idempotency != Idempotency::NonIdempotent || !may_have_been_executed, "executed twice");
        for id in [&spec.server, &spec.fill_source] {
            prop_assert!(!self.unusable.contains(id), "{id:?} is draining or removed");
        }
        for purge in self.purges.iter().filter(|purge| purge.concerns(tracked.object)) {
            let must_respect = at > purge.notified_at + settings.purge_grace;
            if must_respect && at < purge.purged_at + settings.purge_convergence_time {
                let age = spec.max_age.expect("an age limit");
                prop_assert!(age > 0.0 && age <= at - purge.purged_at);
            }
        }
        tracked.attempts.push(TrackedAttempt { server: spec.server.clone(), finished: false });
        Ok(())
    }

    /// Advances past all deadlines and checks that each request has one answer.
    fn finish_all(&mut self) -> CheckResult {
        self.driver.advance(5000.0);
        for (at, action) in &self.driver.log[self.checked_actions..] {
            if let Action::Reject { request: id, .. } | Action::Fail(id) = action {
                let tracked = self.tracked.get_mut(id).expect("a known request");
                prop_assert!(!tracked.ended && *at <= tracked.answer_due_at);
                (tracked.ended, tracked.answers) = (true, tracked.answers + 1);
            }
        }
        for (id, tracked) in &self.tracked {
            prop_assert_eq!(tracked.answers, 1, "{:?}", id);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn guarantees_hold_for_any_sequence_of_events(
        steps in prop::collection::vec(step(), 1..160), hedging in any::<bool>(), direct in any::<bool>(),
        large in any::<bool>(),
    ) {
        let settings = Settings { hedging, direct_to_parents: direct, ..settings() };
        let mut checker = Checker::new(settings, if large { large_fleet() } else { fleet() });
        for step in steps {
            checker.apply(step);
            checker.check()?;
        }
        checker.finish_all()?;
    }
}
