//! The guarantees under random sequences of events, without a model of servers.

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
        known: bool,
    },
    End {
        pick: usize,
        end: u8,
        fill_report: u8,
        delay: f64,
    },
    Leave {
        pick: usize,
    },
    List {
        server: usize,
        listed: u8,
        restart: bool,
    },
    Whole {
        keep: u8,
    },
    Purge {
        object: Option<u64>,
        group: u64,
        age: f64,
    },
    /// A fill plan of some parents with shares, with or without the origin; or none.
    Plan {
        shares: Vec<u8>,
        origin: bool,
    },
    Wait {
        span: f64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..4, 0u64..6, 0u64..3, -10.0..3000.0f64, prop::bool::weighted(0.95))
            .prop_map(|(class, object, part, budget, known)| Step::Request { class, object, part, budget, known }),
        8 => (any::<usize>(), 0u8..9, 0u8..FILL_REPORTS.len() as u8, 0.0..2000.0f64)
            .prop_map(|(pick, end, fill_report, delay)| Step::End { pick, end, fill_report, delay }),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
        1 => (0usize..7, 0u8..3, any::<bool>())
            .prop_map(|(server, listed, restart)| Step::List { server, listed, restart }),
        1 => any::<u8>().prop_map(|keep| Step::Whole { keep }),
        1 => (prop::option::of(0u64..6), 0u64..6, 0.0..500.0f64)
            .prop_map(|(object, group, age)| Step::Purge { object, group, age }),
        1 => (proptest::collection::vec(0u8..6, 0..4), any::<bool>())
            .prop_map(|(shares, origin)| Step::Plan { shares, origin }),
        4 => (0.0..400.0f64).prop_map(|span| Step::Wait { span }),
    ]
}

/// What the test knows about a request, from events and actions only.
struct Seen {
    class: ClassId,
    object: u64,
    due: Ms,
    answers: usize,
    ended: bool,
    attempts: Vec<SeenAttempt>,
    may_have_been_executed: bool,
}

struct SeenAttempt {
    server: ServerId,
    finished: bool,
}

/// A purge, and when the router was notified of it.
struct SeenPurge {
    object: Option<u64>,
    group: u64,
    purged_at: Ms,
    notified_at: Ms,
}

impl SeenPurge {
    fn concerns(&self, object: u64) -> bool {
        self.object.map_or(self.group == object % 8, |purged| purged == object)
    }
}

type Checked = Result<(), TestCaseError>;

/// A router, and what the test knows about its requests, servers and purges.
struct Checker {
    driver: Driver,
    settings: Settings,
    servers: Vec<Endpoint>,
    seen: BTreeMap<RequestId, Seen>,
    /// Servers that are draining or removed.
    banned: BTreeSet<ServerId>,
    purges: Vec<SeenPurge>,
    /// Number of actions that are checked already.
    checked: usize,
    requests: usize,
}

impl Checker {
    fn new(settings: Settings, servers: Vec<Endpoint>) -> Self {
        Self {
            driver: Driver::new(settings.clone(), servers.clone()),
            settings,
            servers,
            seen: BTreeMap::new(),
            banned: BTreeSet::new(),
            purges: Vec::new(),
            checked: 0,
            requests: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Request { class, object, part, budget, known } => {
                self.requests += 1;
                let class = ClassId(class);
                let sent = request(self.requests, class, object, budget);
                let named = Some(class).filter(|_| known);
                self.request(class, Request { class: named, part: Part(part), ..sent });
            }
            Step::End { pick, end, fill_report, delay } => {
                self.finish(
                    pick,
                    AttemptResult::ALL[end as usize],
                    FILL_REPORTS[fill_report as usize],
                    delay,
                );
            }
            Step::Leave { pick } => self.disconnect(pick),
            Step::Plan { shares, origin } => self.plan(&shares, origin),
            Step::List { server, listed, restart } => self.list_one(server, listed, restart),
            Step::Whole { keep } => self.list_all(keep),
            Step::Purge { object, group, age } => {
                let (purged_at, notified_at) = (self.driver.now - age, self.driver.now);
                self.purges.push(SeenPurge { object, group, purged_at, notified_at });
                self.driver.handle(Event::Purged {
                    group: GroupId(group),
                    object: object.map(ObjectId),
                    age,
                });
            }
            Step::Wait { span } => {
                self.driver.advance(span);
            }
        }
    }

    fn request(&mut self, class: ClassId, request: Request) {
        let seen = Seen {
            class,
            object: request.object.0,
            due: self.driver.now + request.budget.max(0.0),
            answers: 0,
            ended: false,
            attempts: Vec::new(),
            may_have_been_executed: false,
        };
        self.seen.insert(request.id.clone(), seen);
        self.driver.handle(Event::Request(request));
    }

    fn finish(&mut self, pick: usize, result: AttemptResult, fill_report: FillReport, delay: Ms) {
        let mut in_flight: Vec<(RequestId, usize)> = Vec::new();
        for (id, seen) in &self.seen {
            let unfinished = seen.attempts.iter().enumerate().filter(|(_, attempt)| !attempt.finished);
            in_flight.extend(unfinished.map(|(n, _)| (id.clone(), n)));
        }
        if in_flight.is_empty() {
            return;
        }
        let (id, n) = in_flight[pick % in_flight.len()].clone();
        let seen = self.seen.get_mut(&id).expect("seen");
        seen.attempts[n].finished = true;
        seen.may_have_been_executed |= !proves_no_pending_execution(result);
        if result == AttemptResult::Served && !seen.ended {
            seen.ended = true;
            seen.answers += 1;
        }
        let (server, completes_request) = (seen.attempts[n].server.clone(), seen.ended);
        self.driver.handle(Event::Outcome(Outcome {
            request: id,
            attempt: AttemptNo(n),
            server,
            result,
            latency: delay,
            completes_request,
            fill_report,
            source_wait: delay / 3.0,
            load: LoadReport::default(),
            body_complete: true,
        }));
    }

    fn disconnect(&mut self, pick: usize) {
        let unanswered = self.seen.iter().filter(|(_, seen)| !seen.ended);
        let unanswered: Vec<RequestId> = unanswered.map(|(id, _)| id.clone()).collect();
        if !unanswered.is_empty() {
            let id = unanswered[pick % unanswered.len()].clone();
            let seen = self.seen.get_mut(&id).expect("seen");
            (seen.ended, seen.answers) = (true, 1);
            self.driver.handle(Event::ClientDisconnected(id));
        }
    }

    fn plan(&mut self, shares: &[u8], origin: bool) {
        let source = |(n, share): (usize, &u8)| SourceShare {
            id: server_id(&format!("parent-{n}")),
            weight: 1.0,
            share: f64::from(*share) / 4.0,
        };
        let sources = Arc::new(shares.iter().enumerate().map(source).collect::<Vec<_>>());
        let edges = ["edge-0", "edge-2", "edge-3"].map(server_id);
        let plan = FillPlan {
            sources: edges.iter().map(|edge| (edge.clone(), Arc::clone(&sources))).collect(),
            origin_allowed: edges.into_iter().filter(|_| origin).collect(),
        };
        self.driver.handle(Event::FillPlan((!shares.is_empty()).then(|| Arc::new(plan))));
    }

    fn list_one(&mut self, server: usize, listed: u8, restart: bool) {
        let mut entry = self.servers[server * self.servers.len() / 7].clone();
        entry.state = [EndpointState::Up, EndpointState::Draining, EndpointState::Removed][listed as usize];
        entry.started = restart.then_some(self.driver.now);
        if entry.state == EndpointState::Up {
            self.banned.remove(&entry.id);
        } else {
            self.banned.insert(entry.id.clone());
        }
        self.driver.handle(Event::Endpoints { update: EndpointUpdate::Delta, entries: vec![entry] });
    }

    fn list_all(&mut self, keep: u8) {
        let remaining = self.servers.iter().enumerate().filter(|(n, _)| keep >> (n % 8) & 1 == 1);
        let remaining: Vec<Endpoint> = remaining.map(|(_, entry)| entry.clone()).collect();
        self.banned = self.servers.iter().map(|entry| entry.id.clone()).collect();
        remaining.iter().for_each(|entry| {
            self.banned.remove(&entry.id);
        });
        self.driver.handle(Event::Endpoints { update: EndpointUpdate::Complete, entries: remaining });
    }

    /// Checks the actions since the last check.
    fn check(&mut self) -> Checked {
        for (at, action) in self.driver.log.split_off(self.checked) {
            self.check_action(at, &action)?;
            self.driver.log.push((at, action));
        }
        self.checked = self.driver.log.len();
        Ok(())
    }

    fn check_action(&mut self, at: Ms, action: &Action) -> Checked {
        match action {
            Action::StartAttempt(spec) => self.check_attempt(at, spec),
            Action::Reject { request: id, .. } | Action::Fail(id) => {
                let seen = self.seen.get_mut(id).expect("a known request");
                prop_assert!(!seen.ended, "answered twice");
                prop_assert!(at <= seen.due, "answered late");
                let unexecuted = !seen.may_have_been_executed && seen.attempts.iter().all(|a| a.finished);
                let idempotency = self.settings.classes[seen.class.0].idempotency;
                if matches!(action, Action::Reject { .. }) && idempotency == Idempotency::NonIdempotent {
                    prop_assert!(unexecuted, "rejected though it may have been executed");
                }
                (seen.ended, seen.answers) = (true, seen.answers + 1);
                Ok(())
            }
            Action::CancelAttempt { request: id, attempt: number } => {
                prop_assert!(number.0 < self.seen[id].attempts.len());
                Ok(())
            }
            Action::Timer { .. } | Action::WatchEndpoints | Action::Log(_) => Ok(()),
        }
    }

    fn check_attempt(&mut self, at: Ms, spec: &AttemptSpec) -> Checked {
        let settings = &self.settings;
        let seen = self.seen.get_mut(&spec.request).expect("a known request");
        prop_assert!(!seen.ended, "started after the final answer");
        let in_flight = seen.attempts.iter().filter(|attempt| !attempt.finished).count();
        let idempotency = settings.classes[seen.class.0].idempotency;
        let may_hedge = settings.hedging && idempotency == Idempotency::Idempotent;
        prop_assert!(in_flight == 0 || (in_flight == 1 && may_hedge));
        let executed = seen.may_have_been_executed;
        prop_assert!(idempotency != Idempotency::NonIdempotent || !executed, "executed twice");
        for id in [&spec.server, &spec.fill_source] {
            prop_assert!(!self.banned.contains(id), "{id:?} is draining or removed");
        }
        for purge in self.purges.iter().filter(|purge| purge.concerns(seen.object)) {
            let respected = at > purge.notified_at + settings.purge_grace;
            if respected && at < purge.purged_at + settings.purge_convergence_time {
                let age = spec.max_age.expect("an age limit");
                prop_assert!(age > 0.0 && age <= at - purge.purged_at);
            }
        }
        seen.attempts.push(SeenAttempt { server: spec.server.clone(), finished: false });
        Ok(())
    }

    /// Lets the remaining requests end and checks that each has one answer.
    fn finish_all(&mut self) -> Checked {
        self.driver.advance(5000.0);
        for (at, action) in &self.driver.log[self.checked..] {
            if let Action::Reject { request: id, .. } | Action::Fail(id) = action {
                let seen = self.seen.get_mut(id).expect("a known request");
                prop_assert!(!seen.ended && *at <= seen.due);
                (seen.ended, seen.answers) = (true, seen.answers + 1);
            }
        }
        for (id, seen) in &self.seen {
            prop_assert_eq!(seen.answers, 1, "{:?}", id);
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
