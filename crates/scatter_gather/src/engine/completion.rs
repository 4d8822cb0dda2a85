//! Decides when a scatter-gather request is answered, and with which parts.
//!
//! Inputs: the parts received so far, the policy of the request's class, the forecast of the missing parts
//! ([`ArrivalForecast`]) and the clock in milliseconds. The request is answered when it is complete, when its time is
//! over, or when no later answer is expected to be worth more than the present one.

use super::{timer_key, Gathers};
use crate::api::{Action, AttemptNo, Copy, GatherNo, Missing, Verdict};
use crate::broken::Broken;
use crate::pending_request::{Attempt, PendingPart, PendingRequest, Selection};
use crate::settings::MOST_MS;
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
    /// Answer with the selected parts.
    Complete,
    /// Wait, and evaluate again at this time at the latest.
    WaitUntil(Ms),
}

/// The decision, and the hedged sub-request that is worth its price.
struct EvaluationResult {
    decision: Decision,
    hedge: Option<HedgeTarget>,
}

impl Gathers {
    /// Answers the request, sends further sub-requests, or schedules the next evaluation.
    pub(super) fn evaluate(&mut self, no: GatherNo, acts: &mut Vec<Action>) {
        let now = self.now;
        loop {
            let Some(request) = self.pending.get_mut(&no) else { return };
            let selection = request.best_selection();
            if request.is_complete(&selection) {
                return self.complete(no, &selection, acts);
            }
            if request.policy_allows(&selection) && request.answerable_since.is_none() {
                request.answerable_since = Some(now);
            }
            if now < request.deadline_at {
                self.retry_missing_parts(no, acts);
            }
            let Some(request) = self.pending.get(&no) else { return };
            let EvaluationResult { decision, hedge } = self.decide(request, &selection);
            if hedge.is_some_and(|target| self.send_hedge(no, target, acts)) {
                // The forecast has changed with the hedged sub-request.
                continue;
            }
            match decision {
                Decision::Complete => return self.complete(no, &selection, acts),
                Decision::WaitUntil(at) => return self.schedule_evaluation(no, at),
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
        let hedge = if request.policy.second_copies && in_time {
            let at = if wait { evaluation.best_time } else { request.wait_limit() };
            forecast.best_hedge(at, evaluation.value_now)
        } else {
            None
        };
        let decision = if wait {
            Decision::WaitUntil(self.next_evaluation(request, evaluation.best_time))
        } else {
            Decision::Complete
        };
        EvaluationResult { decision, hedge }
    }

    /// The time of the next evaluation: a fraction of the intended wait, or the next bound of the request if sooner.
    fn next_evaluation(&self, request: &PendingRequest, best_time: Ms) -> Ms {
        let now = self.now;
        let regular = now + ((best_time - now) * EVALUATION_FRACTION).max(self.settings.tick);
        let retries = request.parts.iter().filter_map(|part| part.retry_at);
        let bounds = retries.chain([request.objective_at, request.wait_limit(), request.deadline_at]);
        bounds.filter(|bound| *bound > now).fold(regular, f64::min)
    }

    /// Ends a request with the selected parts, or without an answer if its policy does not allow one.
    pub(super) fn complete(&mut self, no: GatherNo, selection: &Selection, acts: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&no) else { return };
        let retry_after = self.retry_after(request, selection);
        let verdict = if request.policy_allows(selection) {
            self.answer_verdict(no, selection, retry_after)
        } else {
            self.rejection_verdict(no, retry_after)
        };
        let Some(verdict) = verdict else { return };
        let used = match &verdict {
            Verdict::Whole { used } | Verdict::Part { used, .. } => {
                used.iter().map(|part| part.attempt).collect()
            }
            Verdict::Refused { .. } | Verdict::Failed | Verdict::Unfit(_) => BTreeSet::new(),
        };
        acts.push(Action::Answer(no, verdict));
        if !self.injected_defect.is(Broken::TwoAnswers) {
            self.remove_request(no, &used, acts);
        }
    }

    /// The complete or partial answer that the policy allows.
    fn answer_verdict(&mut self, no: GatherNo, selection: &Selection, retry_after: Ms) -> Option<Verdict> {
        let request = self.pending.get(&no)?;
        let used = request.used_parts(selection);
        let missing = request.missing_parts(selection);
        if missing.is_empty() || self.injected_defect.is(Broken::PartAsWhole) {
            self.counters.whole += 1;
            return Some(Verdict::Whole { used });
        }
        let owed = request.policy.missing == Missing::Owed;
        self.counters.part += 1;
        self.counters.missing += missing.len() as u64;
        self.counters.owed += u64::from(owed);
        Some(Verdict::Part { used, missing, owed, come_back: self.jittered_retry_after(retry_after) })
    }

    /// Failure once the time is over or all attempts have failed; rejection with `Retry-After` before.
    fn rejection_verdict(&mut self, no: GatherNo, retry_after: Ms) -> Option<Verdict> {
        let request = self.pending.get(&no)?;
        if self.now >= request.deadline_at {
            self.counters.failed_late += 1;
            return Some(Verdict::Failed);
        }
        let none_in_flight = (0..request.parts.len()).all(|part| request.in_flight(part).next().is_none());
        if request.attempt_failed && none_in_flight {
            self.counters.failed_parts += 1;
            return Some(Verdict::Failed);
        }
        self.counters.refused_hopeless += 1;
        Some(Verdict::Refused { come_back: self.jittered_retry_after(retry_after) })
    }

    /// Removes a request and drops its attempts, except those in `used` and probes that are in flight.
    pub(super) fn remove_request(
        &mut self,
        no: GatherNo,
        used: &BTreeSet<AttemptNo>,
        acts: &mut Vec<Action>,
    ) {
        let Some(request) = self.pending.remove(&no) else { return };
        self.evaluation_timers.remove(&(timer_key(request.next_evaluation), no));
        let is_active_probe = |number: &AttemptNo, attempt: &Attempt| {
            attempt.kind == Copy::Probe
                && attempt.received.is_none()
                && self.probes.contains_key(&(no, *number))
        };
        let dropped = request
            .attempts
            .into_iter()
            .filter(|(number, attempt)| !used.contains(number) && !is_active_probe(number, attempt));
        let dropped: Vec<(AttemptNo, Attempt)> = dropped.collect();
        for (number, attempt) in dropped {
            acts.push(Action::Drop(no, number));
            if attempt.received.is_none() {
                self.counters.given_up += 1;
                let signal = AttemptSignal::Silent(self.now - attempt.sent_at);
                self.record_signal(&attempt.site, signal, SignalSource::Request, acts);
            }
        }
    }

    /// The time in milliseconds after which all missing parts are expected to be available.
    fn retry_after(&self, request: &PendingRequest, selection: &Selection) -> Ms {
        let missing = request.parts.iter().zip(&selection.attempt_by_part).filter(|(_, of)| of.is_none());
        let soonest = |part: &PendingPart| {
            part.sites().map(|site| self.sites.expected_recovery(self.now, site)).fold(MOST_MS, f64::min)
        };
        missing.map(|(part, _)| soonest(part)).fold(self.settings.tick, f64::max)
    }

    /// Adds random jitter to `Retry-After`, up to the longest time that may be named.
    pub(super) fn jittered_retry_after(&mut self, retry_after: Ms) -> Ms {
        (retry_after * (1.0 + RETRY_AFTER_JITTER * self.sites.random())).min(self.settings.come_back_most)
    }
}
