//! Decides when a scatter-gather request is answered, and with which parts.
//!
//! Inputs: the parts received so far, the policy of the request's class, the forecast of the missing parts
//! ([`ArrivalForecast`]) and the clock in milliseconds. The request is answered when it is complete, when its time is
//! over, or when no later answer is expected to be worth more than the present one.

use super::{timer_key, GatherEngine};
use crate::api::{Action, AttemptKind, AttemptNo, GatherNo, MissingParts, Verdict};
use crate::injected_defect::Defect;
use crate::pending_request::{Attempt, PendingPart, PendingRequest, Selection};
use crate::settings::MAX_TIME_MS;
use crate::site_table::{AttemptSignal, SignalSource};
use crate::wait_decision::{ArrivalForecast, HedgeTarget};
use basaltgw_types::Ms;
use std::collections::BTreeSet;

/// The next evaluation takes place after this fraction of the intended wait.
const EVALUATION_FRACTION: f64 = 0.25;
/// `Retry-After` is lengthened by up to this fraction, so that rejected clients don't return at the same moment.
const RETRY_AFTER_JITTER: f64 = 0.25;

/// What an evaluation of a pending request decides.
enum Decision {
    /// End the request, with the selected parts if the policy allows.
    End,
    /// Wait, and evaluate again at this time at the latest.
    WaitUntil(Ms),
}

/// The decision, and the hedged sub-request that is worth sending, if any.
struct EvaluationResult {
    decision: Decision,
    hedge: Option<HedgeTarget>,
}

impl GatherEngine {
    /// Answers the request, sends further sub-requests, or schedules the next evaluation.
    pub(super) fn evaluate(&mut self, gather: GatherNo, actions: &mut Vec<Action>) {
        let now = self.now;
        loop {
            let Some(request) = self.pending.get_mut(&gather) else { return };
            let selection = request.best_selection();
            if request.is_complete(&selection) {
                return self.end_request(gather, &selection, actions);
            }
            if request.policy_allows(&selection) && request.answerable_since.is_none() {
                request.answerable_since = Some(now);
            }
            if now < request.deadline_at {
                self.retry_missing_parts(gather, actions);
            }
            let Some(request) = self.pending.get(&gather) else { return };
            let EvaluationResult { decision, hedge } = self.decide(request, &selection);
            if hedge.is_some_and(|target| self.send_hedge(gather, target, actions)) {
                // The forecast has changed with the hedged sub-request.
                continue;
            }
            match decision {
                Decision::End => return self.end_request(gather, &selection, actions),
                Decision::WaitUntil(at) => return self.schedule_evaluation(gather, at),
            }
        }
    }

    /// Compares an answer now with the best later one.
    fn decide(&self, request: &PendingRequest, selection: &Selection) -> EvaluationResult {
        let now = self.now;
        let in_time = now < request.deadline_at;
        let forecast = ArrivalForecast::new(request, &self.sites, &self.settings, now, selection);
        let evaluation = forecast.evaluate();
        let wait = evaluation.value_later > evaluation.value_now && in_time;
        let hedge = if request.policy.hedging && in_time {
            let at = if wait { evaluation.best_time } else { request.wait_limit() };
            forecast.best_hedge(at, evaluation.value_now)
        } else {
            None
        };
        let decision = if wait {
            Decision::WaitUntil(self.next_evaluation(request, evaluation.best_time))
        } else {
            Decision::End
        };
        EvaluationResult { decision, hedge }
    }

    /// The time of the next evaluation: a fraction of the intended wait, or the next bound of the request if sooner.
    fn next_evaluation(&self, request: &PendingRequest, best_time: Ms) -> Ms {
        let now = self.now;
        let min_interval = self.settings.min_evaluation_interval_ms;
        let regular = now + ((best_time - now) * EVALUATION_FRACTION).max(min_interval);
        let retries = request.parts.iter().filter_map(|part| part.retry_at);
        let bounds = retries.chain([request.objective_at, request.wait_limit(), request.deadline_at]);
        bounds.filter(|bound| *bound > now).fold(regular, f64::min)
    }

    /// Ends a request with the selected parts, or without an answer if its policy does not allow one.
    pub(super) fn end_request(&mut self, gather: GatherNo, selection: &Selection, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&gather) else { return };
        let retry_after = self.retry_after(request, selection);
        let verdict = if request.policy_allows(selection) {
            self.answer_verdict(gather, selection, retry_after)
        } else {
            self.verdict_without_answer(gather, retry_after)
        };
        let Some(verdict) = verdict else { return };
        let used = match &verdict {
            Verdict::Complete { used } | Verdict::Partial { used, .. } => {
                used.iter().map(|part| part.attempt).collect()
            }
            Verdict::Rejected { .. } | Verdict::Failed | Verdict::Invalid(_) => BTreeSet::new(),
        };
        actions.push(Action::Answer(gather, verdict));
        if !self.injected_defect.is(Defect::AnsweredTwice) {
            self.remove_request(gather, &used, actions);
        }
    }

    /// The complete or partial answer that the policy allows.
    fn answer_verdict(
        &mut self,
        gather: GatherNo,
        selection: &Selection,
        retry_after: Ms,
    ) -> Option<Verdict> {
        let request = self.pending.get(&gather)?;
        let used = request.used_parts(selection);
        let missing = request.missing_parts(selection);
        if missing.is_empty() || self.injected_defect.is(Defect::PartialAsComplete) {
            self.counters.complete += 1;
            return Some(Verdict::Complete { used });
        }
        let store_continuation = request.policy.missing_parts == MissingParts::Continuation;
        self.counters.partial += 1;
        self.counters.missing_parts += missing.len() as u64;
        self.counters.with_continuation += u64::from(store_continuation);
        let retry_after = self.jittered_retry_after(retry_after);
        Some(Verdict::Partial { used, missing, store_continuation, retry_after })
    }

    /// The verdict without an answer: failure once the deadline has passed, or after a failed attempt if none is in
    /// flight any more; else rejection with `Retry-After`.
    fn verdict_without_answer(&mut self, gather: GatherNo, retry_after: Ms) -> Option<Verdict> {
        let request = self.pending.get(&gather)?;
        if self.now >= request.deadline_at {
            self.counters.failed_at_deadline += 1;
            return Some(Verdict::Failed);
        }
        let none_in_flight = (0..request.parts.len()).all(|part| request.in_flight(part).next().is_none());
        if request.attempt_failed && none_in_flight {
            self.counters.failed_all_attempts += 1;
            return Some(Verdict::Failed);
        }
        self.counters.rejected_as_unlikely += 1;
        Some(Verdict::Rejected { retry_after: self.jittered_retry_after(retry_after) })
    }

    /// Removes a request and drops its attempts, except those in `used` and probes that are in flight.
    pub(super) fn remove_request(
        &mut self,
        gather: GatherNo,
        used: &BTreeSet<AttemptNo>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.pending.remove(&gather) else { return };
        self.evaluation_timers.remove(&(timer_key(request.next_evaluation), gather));
        let is_active_probe = |number: &AttemptNo, attempt: &Attempt| {
            attempt.kind == AttemptKind::Probe
                && attempt.received.is_none()
                && self.probes.contains_key(&(gather, *number))
        };
        let dropped = request
            .attempts
            .into_iter()
            .filter(|(number, attempt)| !used.contains(number) && !is_active_probe(number, attempt));
        let dropped: Vec<(AttemptNo, Attempt)> = dropped.collect();
        for (number, attempt) in dropped {
            actions.push(Action::DropAttempt(gather, number));
            if attempt.received.is_none() {
                self.counters.cancelled_attempts += 1;
                let signal = AttemptSignal::Silent { elapsed: self.now - attempt.sent_at };
                self.record_signal(&attempt.site, signal, SignalSource::Request, actions);
            }
        }
    }

    /// The time in milliseconds after which all missing parts are expected to be available.
    fn retry_after(&self, request: &PendingRequest, selection: &Selection) -> Ms {
        let selected = request.parts.iter().zip(&selection.attempt_by_part);
        let missing = selected.filter(|(_, attempt)| attempt.is_none());
        let earliest = |part: &PendingPart| {
            part.sites().map(|site| self.sites.expected_recovery(self.now, site)).fold(MAX_TIME_MS, f64::min)
        };
        missing.map(|(part, _)| earliest(part)).fold(self.settings.min_evaluation_interval_ms, f64::max)
    }

    /// Adds random jitter to `Retry-After`, up to the maximum of the settings.
    pub(super) fn jittered_retry_after(&mut self, retry_after: Ms) -> Ms {
        let jittered = retry_after * (1.0 + RETRY_AFTER_JITTER * self.sites.random());
        jittered.min(self.settings.max_retry_after_ms)
    }
}
