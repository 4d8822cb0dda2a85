//! Completes attempts: handles answers of servers and closed connections, and reports the results to the decision module.

use super::{Attempt, AttemptReport, Delivery, NO_REPORT};
use crate::breaks::{broken, Break};
use crate::caches::{AttemptKey, ConnId, ConnectionFailure, ServerAnswer};
use crate::clients::Reply;
use crate::connection::CloseReason;
use crate::outbox::DeliveryState;
use crate::owner::requests::PendingRequest;
use crate::owner::{request_id, Owner};
use basaltgw::api::{AttemptResult, Event, Ms, Outcome};

impl Owner {
    /// Handles the close of a connection to a server, with which the attempts in flight on it end.
    pub(in crate::owner) fn on_connection_closed(&mut self, connection: ConnId, reason: ConnectionFailure) {
        let counters = &self.counters.conns;
        match reason {
            ConnectionFailure::ConnectFailed => counters.failed.increment(),
            ConnectionFailure::LocalShortage => counters.local_shortages.increment(),
            ConnectionFailure::Closed(
                CloseReason::PeerClosed
                | CloseReason::NoFirstMessage
                | CloseReason::IdleClose(_)
                | CloseReason::Dropped,
            ) => {}
            ConnectionFailure::Closed(CloseReason::Malformed(_)) => counters.malformed.increment(),
            ConnectionFailure::Closed(CloseReason::IncompleteMessage) => counters.incomplete.increment(),
        }
        self.reap_aborted(|aborting| aborting.connection == connection);
        for key in self.upstream.caches.on_closed(connection) {
            let result = match (reason, self.requests.attempt(key).and_then(Attempt::delivery_state)) {
                (ConnectionFailure::ConnectFailed, _) => AttemptResult::NoConnection,
                // Nothing was written, and the server did not cause the failure.
                (ConnectionFailure::LocalShortage, _) => AttemptResult::NotSent,
                (ConnectionFailure::Closed(_), Some(DeliveryState::Written)) => AttemptResult::ConnectionLost,
                // The last byte was not written, so the server can't have executed the attempt.
                (ConnectionFailure::Closed(_), _) => AttemptResult::NotSent,
            };
            self.end_attempt(key, result, NO_REPORT, Delivery::Now);
        }
    }

    /// Handles a server's answer to an attempt, or its confirmation of an abort.
    pub(in crate::owner) fn on_answer(&mut self, connection: ConnId, answer: ServerAnswer) {
        let is_abort_of = |aborting: &super::AbortingAttempt| aborting.tag == answer.id;
        if self.upstream.aborting.iter().any(|a| a.connection == connection && is_abort_of(a)) {
            self.reap_aborted(is_abort_of);
            return;
        }
        let key = self.upstream.caches.on_answer(self.time.now, connection, &answer.id);
        let (Some(key), Some(result)) = (key, answer.result) else {
            self.counters.attempts.late_answers.add(answer.result.is_some().into());
            return;
        };
        let is_write = self.requests.get(key.request).is_some_and(PendingRequest::is_write);
        if result == AttemptResult::Served && answer.copy.is_none() && !is_write {
            return self.on_malformed_answer(key, connection);
        }
        if let Some(copy) = &answer.copy {
            let shift = self.time.observe(copy.origin_time_ms as Ms);
            self.on_clock_corrected(shift);
        }
        if result == AttemptResult::Served {
            if let Some(pending) = self.requests.get_mut(key.request) {
                pending.copy.clone_from(&answer.copy);
            }
            let reply =
                if answer.not_modified { Reply::NotModified } else { Reply::Served(answer.body.bytes()) };
            self.answer(key.request, reply);
        }
        let report = AttemptReport {
            fill: answer.fill_report,
            source_wait: answer.source_wait_ms,
            load: answer.load,
            body_complete: result == AttemptResult::Served && !answer.not_modified,
        };
        self.end_attempt(key, result, report, Delivery::Now);
    }

    /// Handles an answer to a read without the copy's version. It is malformed, so the connection is closed; the other attempts that were
    /// sent on it stay in flight until its socket is closed.
    fn on_malformed_answer(&mut self, key: AttemptKey, connection: ConnId) {
        self.counters.conns.malformed.increment();
        self.upstream.caches.close(connection);
        self.recall(|_, attempt| attempt.is_on(connection));
        self.end_attempt(key, AttemptResult::ConnectionLost, NO_REPORT, Delivery::Now);
    }

    /// Ends an attempt, if it is in flight, with this result.
    pub(super) fn end_attempt(
        &mut self,
        key: AttemptKey,
        result: AttemptResult,
        report: AttemptReport,
        delivery: Delivery,
    ) {
        let attempt = self.requests.attempt_mut(key);
        if attempt.is_some_and(|attempt| attempt.in_flight.take().is_some()) {
            self.report(key, result, report, delivery);
        }
    }

    /// Records an attempt's result, and passes it to the slow-start watch, the cache tree and the decision module.
    pub(super) fn report(
        &mut self,
        key: AttemptKey,
        result: AttemptResult,
        report: AttemptReport,
        delivery: Delivery,
    ) {
        let breaks = broken(Break::RepeatAfterExecution) && result != AttemptResult::Served;
        let result = if breaks { AttemptResult::NotSent } else { result };
        let now = self.time.now;
        let Some(pending) = self.requests.get_mut(key.request) else { return };
        pending.lease.on_attempt_result(result);
        let Some(attempt) = pending.attempts.get_mut(key.attempt.0) else { return };
        attempt.result = Some(result);
        self.counters.attempts.count_result(result);
        let latency = now - attempt.started_at;
        let object = pending.request.object;
        if let Some(class) = pending.class.filter(|_| report.body_complete) {
            let elapsed = (latency - report.source_wait).max(1.0);
            self.monitors.slow_start.observe_response(class.0, object, elapsed);
        }
        if let Some(source) = &attempt.fill_source {
            let pair = (&attempt.server, source);
            let events = self.upstream.tree.on_attempt_result(now, pair, object, (result, report.fill));
            self.schedule.next_batch.extend(events);
        }
        let event = Event::Outcome(Outcome {
            request: request_id(key.request),
            attempt: key.attempt,
            server: attempt.server.clone(),
            result,
            latency,
            completes_request: pending.answered || pending.lease.is_completing(),
            fill_report: report.fill,
            source_wait: report.source_wait,
            load: report.load,
            body_complete: report.body_complete,
        });
        match delivery {
            Delivery::NextBatch => self.schedule.next_batch.push_back(event),
            Delivery::Now => self.dispatch(event),
        }
        self.remove_if_complete(key.request);
    }
}
