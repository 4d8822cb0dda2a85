//! The start and the end of an attempt: the contents of its message, and the use of its outcome.
//!
//! Inputs: the route of `selection`, and outcomes with latencies in milliseconds. Every outcome first updates
//! statistics, limits, penalties and health; then its request is complete, waits for another attempt in
//! flight, or gets its next attempt.

use super::request::{Attempt, LookupResult, RequestIndex, Route};
use super::{retry, Router};
use crate::api::*;

/// Assumed probability that a request needs a fill, before its class has a sample.
const DEFAULT_FILL_PROBABILITY: f64 = 0.5;

impl Router {
    /// Starts the next attempt of a request that has none in flight, or gives the request its final answer.
    pub(super) fn dispatch(&mut self, index: RequestIndex, actions: &mut Vec<Action>) {
        let route = if self.is_exhausted(index) { None } else { self.select_route(index) };
        match route {
            Some(route) => self.start_attempt(index, route, actions),
            None => self.reject_or_fail(index, actions),
        }
    }

    fn start_attempt(&mut self, index: RequestIndex, route: Route, actions: &mut Vec<Action>) {
        let cost = self.statistics.mean_sending_time(self.requests[index].class);
        let fill_probability = self.fill_probability(index, &route);
        let spec = self.attempt_spec(index, &route);
        self.last_send_key = self.last_send_key.next();
        self.book_send(index, &route, self.last_send_key);
        self.endpoints.begin_attempt(&route, cost, self.now);
        let attempt = Attempt::new(route, self.now, cost, self.last_send_key, fill_probability);
        self.requests[index].attempts.push(attempt);
        actions.push(Action::StartAttempt(spec));
    }

    /// The probability that an attempt needs a fill over the zone's link.
    fn fill_probability(&self, index: RequestIndex, route: &Route) -> f64 {
        let pending = &self.requests[index];
        let is_edge = self.endpoints.is_edge(route.server);
        match (route.source, pending.lookup) {
            (Some(_), LookupResult::EdgeMiss | LookupResult::ParentMiss) => 1.0,
            (Some(_), LookupResult::FillInProgress) => 0.0,
            (None, _) if is_edge => 0.0,
            _ if !is_edge => 1.0,
            _ => self.statistics.class(pending.class).fill_share.get().unwrap_or(DEFAULT_FILL_PROBABILITY),
        }
    }

    /// The message that starts an attempt.
    fn attempt_spec(&self, index: RequestIndex, route: &Route) -> AttemptSpec {
        let pending = &self.requests[index];
        let server = &self.endpoints[route.server];
        let is_edge = server.entry.role == Role::Edge;
        AttemptSpec {
            request: pending.request.id.clone(),
            server: server.entry.id.clone(),
            timeout: pending.deadline - self.now,
            start_before: self.retry_safe_until(pending) - self.answer_margin(),
            fill_source: self.endpoints[route.source.unwrap_or(route.server)].entry.id.clone(),
            rank: if is_edge { pending.rank } else { Rank::None },
            max_age: self.max_age(pending, route),
            join_fill: self.settings.fill_joining && pending.only_lookups(),
            cached_only: route.cached_only,
            revalidate: self.settings.classes[pending.class.0].fresh_for > 0.0,
        }
    }

    /// Evaluates the end of an attempt, and completes its request or starts the next attempt.
    pub(super) fn on_outcome(&mut self, outcome: &Outcome, actions: &mut Vec<Action>) {
        let Some(attempt) = self.requests.finish_attempt(&outcome.request, outcome.attempt) else { return };
        let index = attempt.request;
        let in_flight = self.endpoints[attempt.route.server].in_flight as f64;
        self.endpoints.end_attempt(&attempt.route, attempt.cost);
        self.record_arrival(&attempt, outcome);
        let pending = &mut self.requests[index];
        self.statistics.record(attempt.class, &pending.request, outcome);
        self.record_cost(&attempt, outcome);
        let pending = &mut self.requests[index];
        self.reuse.record_fill(&pending.request, pending.rank, outcome);
        if !retry::not_executed(outcome.result) {
            pending.record_possible_execution(attempt.sent_at);
        }
        pending.record_lookup(outcome, self.settings.fill_joining);
        self.record_feedback(&attempt, in_flight, outcome);
        self.record_health(&attempt, outcome, actions);
        self.proceed(index, outcome, actions);
    }

    /// Continues a request after one of its attempts has ended.
    fn proceed(&mut self, index: RequestIndex, outcome: &Outcome, actions: &mut Vec<Action>) {
        let pending = &self.requests[index];
        if outcome.completes_request || outcome.result == AttemptResult::Served {
            self.complete(index, actions);
        } else if pending.answered || pending.in_flight().next().is_some() {
            self.remove_if_finished(index);
        } else if matches!(outcome.fill_report, FillReport::OriginFailed | FillReport::SourceRejected) {
            // Any other source would ask the same origin.
            self.reject_or_fail(index, actions);
        } else {
            self.dispatch(index, actions);
        }
    }

    /// Marks a request as answered, cancels its attempts in flight, and removes it once all have ended.
    pub(super) fn complete(&mut self, index: RequestIndex, actions: &mut Vec<Action>) {
        self.requests[index].answered = true;
        self.cancel_attempts(index, actions);
        self.remove_if_finished(index);
    }

    /// Cancels the attempts of a request that are in flight, if the settings allow it.
    pub(super) fn cancel_attempts(&mut self, index: RequestIndex, actions: &mut Vec<Action>) {
        if !self.settings.cancel {
            return;
        }
        let pending = &self.requests[index];
        for (number, _) in pending.attempts.iter().enumerate().filter(|(_, attempt)| !attempt.finished) {
            let (request, attempt) = (pending.request.id.clone(), AttemptNo(number));
            actions.push(Action::CancelAttempt { request, attempt });
        }
    }

    fn remove_if_finished(&mut self, index: RequestIndex) {
        let pending = &self.requests[index];
        if pending.answered && pending.in_flight().next().is_none() {
            self.requests.remove(index);
        }
    }
}
