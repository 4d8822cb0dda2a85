//! A router, its clock, and the guarantees that are checked after every event.

use crate::common::proves_no_pending_execution;
use basaltgw::api::*;
use basaltgw::routing::Router;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use std::collections::{BTreeMap, BTreeSet};

/// Least age limit of an attempt, since 0 stands for no limit.
pub const MIN_AGE_MS: Ms = 1.0;

pub struct TrackedAttempt {
    pub server: ServerId,
    pub sent_at: Ms,
    pub timeout_at: Ms,
    pub finished: bool,
}

/// What the checker knows about a request, from events and actions only.
pub struct TrackedRequest {
    pub class: Option<usize>,
    pub object: u64,
    pub answer_due_at: Ms,
    pub answers: usize,
    pub attempts: Vec<TrackedAttempt>,
    /// When the first finished attempt was sent that may have been executed.
    pub executed_since: Option<Ms>,
}

impl TrackedRequest {
    fn in_flight(&self) -> impl Iterator<Item = &TrackedAttempt> {
        self.attempts.iter().filter(|attempt| !attempt.finished)
    }

    /// When the first attempt was sent that may have been executed, or may yet be.
    pub fn first_possible_execution(&self) -> Option<Ms> {
        self.executed_since.or_else(|| self.in_flight().next().map(|attempt| attempt.sent_at))
    }
}

/// A purge of an object or a group, and when the router was notified of it.
pub struct TrackedPurge {
    pub object: Option<u64>,
    pub group: u64,
    pub purged_at: Ms,
    pub notified_at: Ms,
}

impl TrackedPurge {
    fn concerns(&self, object: u64) -> bool {
        self.object.map_or(self.group == object % 3, |purged| purged == object)
    }
}

/// A timer that the router has started.
pub struct Timer {
    pub due_at: Ms,
    pub token: u64,
}

/// A router, its clock, and the state of the checker.
pub struct World {
    pub router: Router,
    pub settings: Settings,
    pub now: Ms,
    pub timers: Vec<Timer>,
    /// Whether attempts end at their timeouts; otherwise only random steps end them.
    pub times_out: bool,
    pub tracked: BTreeMap<RequestId, TrackedRequest>,
    /// Servers that are up by the list.
    pub up: BTreeMap<ServerId, Endpoint>,
    pub listed: BTreeSet<ServerId>,
    pub purges: Vec<TrackedPurge>,
}

pub type CheckResult = Result<(), TestCaseError>;

impl World {
    pub fn new(settings: Settings, times_out: bool) -> Self {
        Self {
            router: Router::new(settings.clone(), 7),
            settings,
            now: 1_000_000.0,
            timers: Vec::new(),
            times_out,
            tracked: BTreeMap::new(),
            up: BTreeMap::new(),
            listed: BTreeSet::new(),
            purges: Vec::new(),
        }
    }

    pub fn handle(&mut self, event: Event) -> CheckResult {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.into_iter().try_for_each(|action| self.check(action))?;
        for server in self.router.snapshot().servers {
            prop_assert!(
                server.weight_penalty_log.is_finite() && server.weight_penalty_log <= 0.0,
                "{:?} has the penalty {}",
                server.id,
                server.weight_penalty_log
            );
            prop_assert!(
                server.latency_ratio_log.is_none_or(f64::is_finite),
                "{:?} has the latency ratio {:?}",
                server.id,
                server.latency_ratio_log
            );
            prop_assert!(self.listed.contains(&server.id), "{:?} is not listed", server.id);
        }
        Ok(())
    }

    pub fn check(&mut self, action: Action) -> CheckResult {
        match action {
            Action::StartAttempt(spec) => self.check_attempt(&spec),
            Action::Reject { request: id, retry_after } => {
                let max = if self.settings.retry_after { self.settings.max_retry_after } else { 0.0 };
                prop_assert!((0.0..=max).contains(&retry_after), "Retry-After of {retry_after} above {max}");
                let (class, since) = self.answered(&id)?;
                let Some((class, since)) = class.map(|c| &self.settings.classes[c]).zip(since) else {
                    return Ok(());
                };
                let within = self.now < since + class.key_window;
                match class.idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::IdempotencyKey => prop_assert!(
                        class.key_scope == KeyScope::All && within,
                        "rejected though a retry may be executed twice"
                    ),
                    Idempotency::NonIdempotent => {
                        prop_assert!(false, "rejected though it may have been executed")
                    }
                }
                Ok(())
            }
            Action::Fail(id) => self.answered(&id).map(|_| ()),
            Action::CancelAttempt { request, attempt } => {
                prop_assert!(self.settings.cancel, "cancelled where that is not allowed");
                prop_assert!(attempt.0 < self.tracked[&request].attempts.len());
                Ok(())
            }
            Action::Timer { delay, token } => {
                prop_assert!(delay.is_finite() && delay > 0.0 && self.timers.len() < 4);
                self.timers.push(Timer { due_at: self.now + delay, token });
                Ok(())
            }
            Action::WatchEndpoints => {
                prop_assert!(self.settings.must_watch_endpoints);
                Ok(())
            }
            Action::Log(_) => Ok(()),
        }
    }

    /// Checks a final answer; returns the request's class, and when the request may first have been executed.
    pub fn answered(&mut self, id: &RequestId) -> Result<(Option<usize>, Option<Ms>), TestCaseError> {
        let now = self.now;
        let tracked = self.tracked.get_mut(id).expect("a known request");
        prop_assert_eq!(tracked.answers, 0, "answered twice");
        prop_assert!(now <= tracked.answer_due_at, "answered {} ms late", now - tracked.answer_due_at);
        tracked.answers += 1;
        Ok((tracked.class, tracked.first_possible_execution()))
    }

    pub fn check_attempt(&mut self, spec: &AttemptSpec) -> CheckResult {
        let (now, settings) = (self.now, &self.settings);
        let tracked = self.tracked.get_mut(&spec.request).expect("a known request");
        prop_assert_eq!(tracked.answers, 0, "started after the final answer");
        let class = &settings.classes[tracked.class.expect("a class of the settings")];
        prop_assert!(
            spec.timeout.is_finite() && spec.timeout > 0.0 && now + spec.timeout <= tracked.answer_due_at
        );
        prop_assert!(tracked.attempts.len() < settings.max_attempts, "more attempts than max_attempts");
        let in_flight = tracked.in_flight().count();
        prop_assert!(
            in_flight == 0
                || (settings.hedging && in_flight == 1 && class.idempotency == Idempotency::Idempotent)
        );
        if let Some(since) = tracked.first_possible_execution() {
            prop_assert!(class.idempotency != Idempotency::NonIdempotent, "executed twice");
            let window_end = since + class.key_window;
            if class.idempotency == Idempotency::IdempotencyKey {
                prop_assert!(class.key_scope == KeyScope::All, "retried outside the key's scope");
                // An attempt that waits for a connection starts by then or never.
                prop_assert!(
                    now < spec.start_before && spec.start_before < window_end,
                    "retried after the key's window"
                );
            }
        }
        let server = self.up.get(&spec.server);
        prop_assert!(server.is_some(), "{:?} is not up", spec.server);
        let server = server.expect("checked above");
        let in_scope = server.role != Role::Edge || server.zone == settings.zone;
        prop_assert!(
            in_scope && (server.role == Role::Edge || settings.direct_to_parents),
            "{:?} may not be used",
            spec.server
        );
        if spec.fill_source != spec.server {
            let source = self.up.get(&spec.fill_source);
            prop_assert!(source.is_some_and(|s| s.role != Role::Edge), "{:?} is no source", spec.fill_source);
        }
        for purge in self.purges.iter().filter(|purge| purge.concerns(tracked.object)) {
            let must_respect = now > purge.notified_at + settings.purge_grace;
            if must_respect && now < purge.purged_at + settings.purge_convergence_time {
                let age = spec.max_age.unwrap_or(f64::INFINITY);
                prop_assert!(
                    age > 0.0 && age <= (now - purge.purged_at).max(MIN_AGE_MS),
                    "a copy of age {age} is accepted"
                );
            }
        }
        let server = spec.server.clone();
        tracked.attempts.push(TrackedAttempt {
            server,
            sent_at: now,
            timeout_at: now + spec.timeout,
            finished: false,
        });
        Ok(())
    }

    /// Reports the outcome of an attempt, as the caller of the router would.
    pub fn finish(
        &mut self,
        id: &RequestId,
        n: usize,
        result: AttemptResult,
        fill_report: FillReport,
        latency: Ms,
        source_wait: Ms,
    ) -> CheckResult {
        let tracked = self.tracked.get_mut(id).expect("a known request");
        let finished = std::mem::replace(&mut tracked.attempts[n].finished, true);
        let proved = proves_no_pending_execution(result);
        if !proved && !finished {
            tracked.executed_since = tracked.executed_since.or(Some(tracked.attempts[n].sent_at));
        }
        if result == AttemptResult::Served && !finished {
            tracked.answers = 1;
        }
        let (server, completes_request) = (tracked.attempts[n].server.clone(), tracked.answers > 0);
        let outcome = Outcome {
            request: id.clone(),
            attempt: AttemptNo(n),
            server,
            result,
            latency,
            completes_request,
            fill_report,
            source_wait,
            load: LoadReport::default(),
            body_complete: true,
        };
        self.handle(Event::Outcome(outcome))
    }

    pub fn in_flight(&self) -> Vec<(RequestId, usize)> {
        let attempts_of = |(id, request): (&RequestId, &TrackedRequest)| {
            let in_flight = request.attempts.iter().enumerate().filter(|(_, attempt)| !attempt.finished);
            in_flight.map(|(n, _)| (id.clone(), n)).collect::<Vec<_>>()
        };
        self.tracked.iter().flat_map(attempts_of).collect()
    }

    /// Processes what is due now.
    pub fn process_due(&mut self) -> CheckResult {
        if self.times_out {
            for (id, n) in self.in_flight() {
                // The end of another attempt may have ended this one as well.
                let attempt = &self.tracked[&id].attempts[n];
                if attempt.timeout_at <= self.now && !attempt.finished {
                    let latency = self.now - attempt.sent_at;
                    self.finish(&id, n, AttemptResult::TimedOut, FillReport::NotReported, latency, 0.0)?;
                }
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            self.timers.drain(..).partition(|timer| timer.due_at <= self.now);
        self.timers = later;
        due.into_iter().try_for_each(|timer| self.handle(Event::Timer(timer.token)))
    }

    /// Lets time pass; due events come in batches at least a tick apart.
    pub fn advance(&mut self, duration: Ms) -> CheckResult {
        let end = self.now + duration;
        loop {
            let timeouts = self
                .in_flight()
                .into_iter()
                .filter(|_| self.times_out)
                .map(|(id, n)| self.tracked[&id].attempts[n].timeout_at);
            let next =
                self.timers.iter().map(|timer| timer.due_at).chain(timeouts).fold(f64::INFINITY, f64::min);
            let batch = next.max(self.now + self.settings.tick);
            if batch > end {
                break;
            }
            self.now = batch;
            self.process_due()?;
        }
        self.now = end.max(self.now + self.settings.tick);
        Ok(())
    }

    pub fn list(&mut self, update: EndpointUpdate, entries: Vec<Endpoint>) -> CheckResult {
        if update == EndpointUpdate::Complete {
            self.up.clear();
            self.listed.clear();
        }
        for entry in &entries {
            self.up.remove(&entry.id);
            self.listed.remove(&entry.id);
            if entry.state == EndpointState::Up {
                self.up.insert(entry.id.clone(), entry.clone());
            }
            if entry.state != EndpointState::Removed {
                self.listed.insert(entry.id.clone());
            }
        }
        self.handle(Event::Endpoints { update, entries })
    }
}
