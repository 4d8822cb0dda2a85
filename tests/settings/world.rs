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
    pub sent: Ms,
    pub until: Ms,
    pub over: bool,
}

/// What the checker knows about a request, from events and actions only.
pub struct Seen {
    pub class: Option<usize>,
    pub object: u64,
    pub due: Ms,
    pub answers: usize,
    pub attempts: Vec<TrackedAttempt>,
    /// When the first finished attempt was sent that may have been executed.
    pub executed_since: Option<Ms>,
}

impl Seen {
    pub fn in_flight_count(&self) -> usize {
        self.attempts.iter().filter(|t| !t.over).count()
    }

    /// When the first attempt was sent that may have been executed, or may yet be.
    pub fn first_possible_execution(&self) -> Option<Ms> {
        self.executed_since.or_else(|| self.attempts.iter().find(|t| !t.over).map(|t| t.sent))
    }
}

/// A router, its clock, and the state of the checker.
pub struct World {
    pub router: Router,
    pub settings: Settings,
    pub now: Ms,
    pub timers: Vec<(Ms, u64)>,
    /// Attempts end at their timeouts; otherwise only by random steps.
    pub prompt: bool,
    pub seen: BTreeMap<RequestId, Seen>,
    /// Servers that are up by the list.
    pub up: BTreeMap<ServerId, Endpoint>,
    pub listed: BTreeSet<ServerId>,
    pub purges: Vec<(Option<u64>, u64, Ms, Ms)>,
}

pub type Checked = Result<(), TestCaseError>;

impl World {
    pub fn new(settings: Settings, prompt: bool) -> Self {
        Self {
            router: Router::new(settings.clone(), 7),
            settings,
            now: 1_000_000.0,
            timers: Vec::new(),
            prompt,
            seen: BTreeMap::new(),
            up: BTreeMap::new(),
            listed: BTreeSet::new(),
            purges: Vec::new(),
        }
    }

    pub fn handle(&mut self, event: Event) -> Checked {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.into_iter().try_for_each(|action| self.check(action))?;
        for s in self.router.snapshot().servers {
            prop_assert!(
                s.weight_penalty_log.is_finite() && s.weight_penalty_log <= 0.0,
                "{:?} has the penalty {}",
                s.id,
                s.weight_penalty_log
            );
            prop_assert!(
                s.latency_ratio_log.is_none_or(f64::is_finite),
                "{:?} has the latency ratio {:?}",
                s.id,
                s.latency_ratio_log
            );
            prop_assert!(self.listed.contains(&s.id), "{:?} is not listed", s.id);
        }
        Ok(())
    }

    pub fn check(&mut self, action: Action) -> Checked {
        match action {
            Action::StartAttempt(fetch) => self.check_attempt(&fetch),
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
            Action::CancelAttempt { request: id, attempt: n } => {
                prop_assert!(self.settings.cancel, "cancelled where that is not allowed");
                prop_assert!(n.0 < self.seen[&id].attempts.len());
                Ok(())
            }
            Action::Timer { delay: after, token } => {
                prop_assert!(after.is_finite() && after > 0.0 && self.timers.len() < 4);
                self.timers.push((self.now + after, token));
                Ok(())
            }
            Action::WatchEndpoints => {
                prop_assert!(self.settings.must_watch_endpoints);
                Ok(())
            }
            Action::Log(_) => Ok(()),
        }
    }

    /// Checks a final answer; returns the request's class and when it was first possibly executed.
    pub fn answered(&mut self, id: &RequestId) -> Result<(Option<usize>, Option<Ms>), TestCaseError> {
        let now = self.now;
        let seen = self.seen.get_mut(id).expect("a known request");
        prop_assert_eq!(seen.answers, 0, "answered twice");
        prop_assert!(now <= seen.due, "answered {} ms late", now - seen.due);
        seen.answers += 1;
        Ok((seen.class, seen.first_possible_execution()))
    }

    pub fn check_attempt(&mut self, f: &AttemptSpec) -> Checked {
        let (now, settings) = (self.now, &self.settings);
        let seen = self.seen.get_mut(&f.request).expect("a known request");
        prop_assert_eq!(seen.answers, 0, "started after the final answer");
        let class = &settings.classes[seen.class.expect("a class of the settings")];
        prop_assert!(f.timeout.is_finite() && f.timeout > 0.0 && now + f.timeout <= seen.due);
        prop_assert!(seen.attempts.len() < settings.max_attempts, "beyond the limit on attempts");
        let in_flight = seen.in_flight_count();
        prop_assert!(
            in_flight == 0
                || (settings.hedging && in_flight == 1 && class.idempotency == Idempotency::Idempotent)
        );
        if let Some(since) = seen.first_possible_execution() {
            prop_assert!(class.idempotency != Idempotency::NonIdempotent, "executed twice");
            let ends = since + class.key_window;
            if class.idempotency == Idempotency::IdempotencyKey {
                prop_assert!(class.key_scope == KeyScope::All, "retried outside the key's scope");
                // An attempt that waits for a connection starts by then or never.
                prop_assert!(now < f.start_before && f.start_before < ends, "retried after the key's window");
            }
        }
        let target = self.up.get(&f.server);
        prop_assert!(target.is_some(), "{:?} is not up", f.server);
        let target = target.expect("just seen");
        let near = target.role != Role::Edge || target.zone == settings.zone;
        prop_assert!(
            near && (target.role == Role::Edge || settings.direct_to_parents),
            "{:?} may not be used",
            f.server
        );
        if f.fill_source != f.server {
            let source = self.up.get(&f.fill_source);
            prop_assert!(source.is_some_and(|s| s.role != Role::Edge), "{:?} is no source", f.fill_source);
        }
        for (object, group, purged, notified) in &self.purges {
            let named = object.map_or(*group == seen.object % 3, |o| o == seen.object);
            if named
                && now > notified + settings.purge_grace
                && now < purged + settings.purge_convergence_time
            {
                let age = f.max_age.unwrap_or(f64::INFINITY);
                prop_assert!(
                    age > 0.0 && age <= (now - purged).max(MIN_AGE_MS),
                    "a copy of age {age} is accepted"
                );
            }
        }
        let server = f.server.clone();
        seen.attempts.push(TrackedAttempt { server, sent: now, until: now + f.timeout, over: false });
        Ok(())
    }

    /// Ends an attempt, as a transport would.
    pub fn finish(
        &mut self,
        id: &RequestId,
        n: usize,
        end: AttemptResult,
        fill_report: FillReport,
        delay: Ms,
        wait: Ms,
    ) -> Checked {
        let seen = self.seen.get_mut(id).expect("a known request");
        let over = std::mem::replace(&mut seen.attempts[n].over, true);
        let proved = proves_no_pending_execution(end);
        if !proved && !over {
            seen.executed_since = seen.executed_since.or(Some(seen.attempts[n].sent));
        }
        if end == AttemptResult::Served && !over {
            seen.answers = 1;
        }
        let (server, last) = (seen.attempts[n].server.clone(), seen.answers > 0);
        let outcome = Outcome {
            request: id.clone(),
            attempt: AttemptNo(n),
            server,
            result: end,
            latency: delay,
            completes_request: last,
            fill_report,
            source_wait: wait,
            load: LoadReport::default(),
            body_complete: true,
        };
        self.handle(Event::Outcome(outcome))
    }

    pub fn in_flight(&self) -> Vec<(RequestId, usize)> {
        let of = |(id, s): (&RequestId, &Seen)| {
            let in_flight = s.attempts.iter().enumerate().filter(|(_, t)| !t.over);
            in_flight.map(|(n, _)| (id.clone(), n)).collect::<Vec<_>>()
        };
        self.seen.iter().flat_map(of).collect()
    }

    /// Processes what is due now.
    pub fn process_due(&mut self) -> Checked {
        if self.prompt {
            for (id, n) in self.in_flight() {
                // The end of another one may have ended it as well.
                let t = &self.seen[&id].attempts[n];
                if t.until <= self.now && !t.over {
                    let took = self.now - t.sent;
                    self.finish(&id, n, AttemptResult::TimedOut, FillReport::NotReported, took, 0.0)?;
                }
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = self.timers.drain(..).partition(|t| t.0 <= self.now);
        self.timers = later;
        due.into_iter().try_for_each(|(_, token)| self.handle(Event::Timer(token)))
    }

    /// Lets time pass; due events come in batches at least a tick apart.
    pub fn advance(&mut self, span: Ms) -> Checked {
        let end = self.now + span;
        loop {
            let ends = self
                .in_flight()
                .into_iter()
                .filter(|_| self.prompt)
                .map(|(id, n)| self.seen[&id].attempts[n].until);
            let next = self.timers.iter().map(|t| t.0).chain(ends).fold(f64::INFINITY, f64::min);
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

    pub fn list(&mut self, mode: EndpointUpdate, entries: Vec<Endpoint>) -> Checked {
        if mode == EndpointUpdate::Complete {
            self.up.clear();
            self.listed.clear();
        }
        for e in &entries {
            self.up.remove(&e.id);
            self.listed.remove(&e.id);
            if e.state == EndpointState::Up {
                self.up.insert(e.id.clone(), e.clone());
            }
            if e.state != EndpointState::Removed {
                self.listed.insert(e.id.clone());
            }
        }
        self.handle(Event::Endpoints { update: mode, entries })
    }
}
