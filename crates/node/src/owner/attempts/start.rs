//! Starts attempts: checks the permission, encodes the message, and selects the connection.

use super::{Attempt, Delivery, InFlight, NO_REPORT};
use crate::caches::{with_timeout, AttemptKey, AttemptRequest, ConnId, OutgoingAttempt};
use crate::limits::MAX_DEADLINE_MS;
use crate::outbox::{AttemptRoute, AttemptTimes, BufferedBytes, SendConditions};
use crate::owner::requests::PendingRequest;
use crate::owner::timers::TimerKind;
use crate::owner::{request_no, Owner};
use crate::permissions::{may_run_again, may_start, AttemptRefusal, StartState};
use basaltgw::api::{AttemptNo, AttemptResult, AttemptSpec, Ms, ServerId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An attempt that is about to start.
struct NewAttempt<'a> {
    key: AttemptKey,
    spec: &'a AttemptSpec,
    /// When the attempt times out.
    deadline: Ms,
}

impl NewAttempt<'_> {
    /// The server from which a miss is filled, unless the attempt's server fills it itself.
    fn fill_source(&self) -> Option<&ServerId> {
        Some(&self.spec.fill_source).filter(|source| **source != self.spec.server)
    }
}

impl Owner {
    /// Starts an attempt if that is permitted; otherwise the attempt is reported to the decision module as not sent.
    pub(in crate::owner) fn start_attempt(&mut self, spec: AttemptSpec) {
        let Some(number) = request_no(&spec.request) else { return };
        // If the client has left and the owner has not handled that yet, the request is marked as answered, and no further attempt follows.
        if !self.requests.get(number).is_some_and(PendingRequest::client_waits) {
            self.abandon(number);
        }
        let Some(pending) = self.requests.get(number) else { return };
        let key = AttemptKey { request: number, attempt: AttemptNo(pending.attempts.len()) };
        self.counters.attempts.made.increment();
        let timeout = Some(spec.timeout).filter(|timeout| *timeout != 0.0);
        let deadline = timeout.map_or(pending.deadline, |t| pending.deadline.min(self.time.now + t));
        let new = NewAttempt { key, spec: &spec, deadline };
        let in_flight = match self.check_start(pending, &new) {
            Ok(()) => self.send(&new),
            Err(refusal) => {
                log::debug!("request {}, attempt {}: not started: {refusal}", number.0, key.attempt.0);
                None
            }
        };
        self.record_attempt(&new, in_flight);
    }

    /// Whether the attempt may start and the request may run again.
    fn check_start(&self, pending: &PendingRequest, new: &NewAttempt<'_>) -> Result<(), AttemptRefusal> {
        let state = StartState {
            client_waits: pending.client_waits(),
            answered: pending.answered,
            time_left: new.deadline - self.time.now,
            attempts: new.key.attempt.0,
            max_attempts: self.config.max_attempts,
            listed: self.upstream.endpoints.contains_key(&new.spec.server),
        };
        may_start(&state)?;
        let policy = self.config.retry_policy(pending.class);
        Ok(may_run_again(&policy, pending.earlier_attempts(self.time.now))?)
    }

    /// Records an attempt that was sent, with its timers, or that was not.
    fn record_attempt(&mut self, new: &NewAttempt<'_>, in_flight: Option<InFlight>) {
        let (key, spec) = (new.key, new.spec);
        let connection = in_flight.as_ref().map(|in_flight| in_flight.connection);
        let Some(pending) = self.requests.get_mut(key.request) else { return };
        pending.attempts.push(Attempt {
            server: spec.server.clone(),
            fill_source: new.fill_source().cloned(),
            started_at: self.time.now,
            connection,
            in_flight,
            result: None,
        });
        if connection.is_none() {
            // This includes the case that all connections are in use: that is a limit of the router and says nothing about the server.
            return self.report(key, AttemptResult::NotSent, NO_REPORT, Delivery::NextBatch);
        }
        self.schedule.timers.set(new.deadline, TimerKind::AttemptTimeout(key));
        if spec.start_before.is_finite() {
            self.schedule.timers.set(spec.start_before, TimerKind::AttemptStart(key));
        }
    }

    /// Queues an attempt on a connection; `None` if no connection takes it and none may be opened.
    fn send(&mut self, new: &NewAttempt<'_>) -> Option<InFlight> {
        let pending = self.requests.get(new.key.request)?;
        let process = self.upstream.endpoints.get(&new.spec.server)?.process();
        let message = self.encode(pending, new);
        let conditions = self.send_conditions(pending, new);
        let key = new.key;
        if let Some(class) = self.config.class(pending.class) {
            let ids = format_args!("request {}, attempt {}", key.request.0, key.attempt.0);
            self.monitors.invariants.check_attempt(class.idempotency, pending.results(), ids);
        }
        let used_connections: Vec<ConnId> = pending.attempts.iter().filter_map(|a| a.connection).collect();
        let attempt = OutgoingAttempt {
            key,
            id: &pending.request.id,
            used_connections: &used_connections,
            exclusive: pending.is_write(),
            message,
            conditions,
        };
        let sent = self.upstream.caches.send(self.time.now, &new.spec.server, process, attempt);
        sent.map(|(connection, message)| InFlight { connection, message })
    }

    /// Encodes the message of an attempt.
    fn encode(&self, pending: &PendingRequest, new: &NewAttempt<'_>) -> Vec<u8> {
        let (request, spec) = (&pending.request, new.spec);
        let message = AttemptRequest {
            id: &request.id,
            class: &request.class,
            object: &request.object_text,
            part: request.part.0,
            timeout_ms: new.deadline - self.time.now,
            fill_source: new.fill_source(),
            rank: spec.rank,
            max_age_ms: spec.max_age,
            join_fill: spec.join_fill,
            cached_only: spec.cached_only,
            revalidate: spec.revalidate,
            copy_tag: request.copy_tag.as_deref(),
            idempotency_key: request.idempotency_key.as_deref(),
            body: pending.body.as_ref().map_or(&[][..], BufferedBytes::bytes),
        };
        message.encode()
    }

    /// The conditions that the connection's writer checks before it writes the first byte.
    fn send_conditions(&self, pending: &PendingRequest, new: &NewAttempt<'_>) -> SendConditions {
        let now = Instant::now();
        let clock_now = self.time.clock.now();
        // Converts a time of the owner's clock to the `Instant` that the writers use.
        let instant = |at: Ms| now + duration((at - clock_now).clamp(0.0, MAX_DEADLINE_MS));
        let spec = new.spec;
        SendConditions {
            begin_by: spec.start_before.is_finite().then(|| instant(spec.start_before)),
            liveness: pending.liveness.clone(),
            times: Some(AttemptTimes {
                attempt_deadline: instant(new.deadline),
                client_deadline: instant(pending.deadline),
                encoded_at: now,
                encode_timeout: with_timeout,
            }),
            drained: Rc::default(),
            drain_grace: duration(self.config.drain_grace),
            key: new.key,
            invariants: Rc::clone(&self.monitors.invariants),
            pause_detector: Rc::clone(&self.monitors.pause_detector),
            route: pending.class.map(|class| AttemptRoute {
                servers: [Some(spec.server.clone()), new.fill_source().cloned()],
                class: class.0,
                watch: Rc::clone(&self.monitors.slow_start),
            }),
        }
    }
}

fn duration(span: Ms) -> Duration {
    Duration::from_secs_f64(span.max(0.0) / 1000.0)
}
