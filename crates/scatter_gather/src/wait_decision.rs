//! Decides whether waiting is worth more than answering: the expected value of an answer at each later time.
//!
//! Inputs: each missing part's attempts, the failure probability and latency histogram of their sites, the priority
//! weights, and the value of an answer over time ([`PendingRequest::value_at`]). Times are in milliseconds; values are
//! in units of priority weight. The expected value at a time is the weight expected to have arrived by then, times the
//! probability that the policy allows an answer, times the value of an answer at that time.

use crate::api::Site;
use crate::pending_request::{PendingRequest, Selection, Shortfall};
use crate::settings::Settings;
use crate::site_state::SiteState;
use crate::site_table::SiteTable;
use basaltgw_types::Ms;

/// Times at which the expected value is evaluated, as fractions of the time to the latency objective and to the limit.
const EVALUATED_FRACTIONS: [f64; 7] = [0.03125, 0.0625, 0.125, 0.25, 0.5, 0.75, 1.0];
/// Tolerance for rounding in sums and quotients of weights and probabilities.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A part that is not in the newest version's selection, and the attempts that may bring it.
struct MissingPart<'a> {
    weight: f64,
    required: bool,
    /// Index of the part in the request.
    part_index: usize,
    /// Attempts in flight, and the retry that is scheduled.
    attempts: Vec<PendingAttempt<'a>>,
}

/// An attempt in flight, or one that may be sent.
struct PendingAttempt<'a> {
    sent_at: Ms,
    site: &'a SiteState,
    failure_probability: f64,
    /// The fraction of the site's answers that arrive within the time already elapsed.
    elapsed_fraction: f64,
}

/// A part and the site at which a hedged sub-request for it is worth most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HedgeTarget {
    /// Index of the part in the request.
    pub part_index: usize,
    /// Index of the site among the part's sites.
    pub site_index: usize,
}

/// A possible hedged sub-request.
struct HedgeCandidate {
    target: HedgeTarget,
    /// Increase of the part's arrival probability by the hedge, times the value of an answer.
    gain: f64,
    /// The part's priority weight.
    weight: f64,
}

impl HedgeCandidate {
    fn weighted_gain(&self) -> f64 {
        self.gain * self.weight
    }
}

/// The value of an answer now, and of the best later one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Evaluation {
    /// Value of answering, or rejecting, now.
    pub value_now: f64,
    /// Highest expected value at a later time.
    pub value_later: f64,
    /// The time of `value_later`; now if there is none.
    pub best_time: Ms,
}

/// The forecast of a request's missing parts, as of now.
pub(crate) struct ArrivalForecast<'a> {
    request: &'a PendingRequest,
    sites: &'a SiteTable,
    now: Ms,
    missing_parts: Vec<MissingPart<'a>>,
    /// The parts received in the newest versions, which further parts are expected to have.
    newest_selection: Selection,
    /// The parts that an answer now would have.
    best_selection: Selection,
    settings: &'a Settings,
}

impl<'a> ArrivalForecast<'a> {
    /// Collects the missing parts of `request` and the attempts that may bring them.
    pub fn new(
        request: &'a PendingRequest,
        sites: &'a SiteTable,
        settings: &'a Settings,
        now: Ms,
        best_selection: &Selection,
    ) -> Self {
        let newest_selection = request.select_versions(&request.newest_versions());
        let mut forecast = Self {
            request,
            sites,
            now,
            missing_parts: Vec::new(),
            newest_selection,
            best_selection: best_selection.clone(),
            settings,
        };
        let received = &forecast.newest_selection.attempt_by_part;
        let missing = (0..request.parts.len()).filter(|part| received[*part].is_none());
        forecast.missing_parts = missing.map(|part| forecast.missing_part(part)).collect();
        forecast
    }

    fn missing_part(&self, part_index: usize) -> MissingPart<'a> {
        let part = &self.request.parts[part_index];
        let in_flight = self
            .request
            .in_flight_with_probes(part_index)
            .filter_map(|(_, attempt)| self.pending_attempt(&attempt.site, attempt.sent_at));
        // The retry may go to any of the part's sites; the forecast takes the preferred one.
        let retry = part.retry_at.and_then(|at| self.pending_attempt(&part.spec.preferred_site, at));
        MissingPart {
            weight: part.spec.priority_weight,
            required: part.required,
            part_index,
            attempts: in_flight.chain(retry).collect(),
        }
    }

    fn pending_attempt(&self, site: &Site, sent_at: Ms) -> Option<PendingAttempt<'a>> {
        let site = self.sites.get(site)?;
        let failure_probability = site.failure_probability(self.now, self.settings);
        let elapsed_fraction = site.latency.probability_within(self.now - sent_at);
        Some(PendingAttempt { sent_at, site, failure_probability, elapsed_fraction })
    }

    /// The probability that an attempt answers by `at`, given that it has not answered yet.
    fn arrival_probability(attempt: &PendingAttempt, at: Ms) -> f64 {
        let (failure, elapsed) = (attempt.failure_probability, attempt.elapsed_fraction);
        let until = attempt.site.latency.probability_within(at - attempt.sent_at);
        let unanswered = (1.0 - failure) * (1.0 - elapsed) + failure;
        ((1.0 - failure) * (until - elapsed) / unanswered.max(ROUNDING_TOLERANCE)).clamp(0.0, 1.0)
    }

    /// The probability that a part arrives by `at`, from any of its attempts.
    fn part_probability(part: &MissingPart, at: Ms) -> f64 {
        let none_arrives = part.attempts.iter().map(|attempt| 1.0 - Self::arrival_probability(attempt, at));
        1.0 - none_arrives.product::<f64>()
    }

    /// The expected value of an answer at `at`.
    fn expected_value(&self, at: Ms) -> f64 {
        let probabilities: Vec<f64> =
            self.missing_parts.iter().map(|part| Self::part_probability(part, at)).collect();
        let expected = self.missing_parts.iter().zip(&probabilities).map(|(part, p)| part.weight * p);
        let arriving: f64 = expected.sum();
        let value = self.request.value_at(at, self.settings.wait_discount);
        let with_newest =
            (self.newest_selection.weight + arriving) * self.policy_probability(&probabilities) * value;
        let with_present = if self.request.policy_allows(&self.best_selection) {
            self.best_selection.weight * value
        } else {
            0.0
        };
        with_newest.max(with_present)
    }

    /// The probability that the policy allows an answer once the missing parts arrive with these probabilities: all
    /// required parts, and as many of the others as the minimum shares need.
    fn policy_probability(&self, probabilities: &[f64]) -> f64 {
        if self.request.policy_allows(&self.newest_selection) {
            return 1.0;
        }
        let parts = || self.missing_parts.iter().zip(probabilities);
        let all_required: f64 = parts().filter(|(part, _)| part.required).map(|(_, p)| p).product();
        let optional: Vec<f64> = parts().filter(|(part, _)| !part.required).map(|(_, p)| *p).collect();
        let required = self.missing_parts.len() - optional.len();
        all_required * probability_of_at_least(self.parts_short().saturating_sub(required), &optional)
    }

    /// How many of the missing parts the policy's minimum shares need. Lacking weight is converted into parts of the
    /// mean weight of the missing ones.
    fn parts_short(&self) -> usize {
        let Shortfall { count, weight } = self.request.shortfall(&self.newest_selection);
        let mean_weight = self.missing_parts.iter().map(|part| part.weight).sum::<f64>()
            / self.missing_parts.len().max(1) as f64;
        let by_weight = weight / mean_weight.max(f64::MIN_POSITIVE) - ROUNDING_TOLERANCE;
        count.max(by_weight.ceil().max(0.0) as usize)
    }

    /// The value of ending the request now: that of the present answer, or of a rejection, which leaves the client
    /// the remaining time for a retry.
    fn value_now(&self) -> f64 {
        let request = self.request;
        if request.policy_allows(&self.best_selection) {
            return self.best_selection.weight * request.value_at(self.now, self.settings.wait_discount);
        }
        let total_time = (request.deadline_at - request.started_at).max(1.0);
        let time_left_share = (request.deadline_at - self.now) / total_time;
        self.settings.rejection_value * request.total_weight * time_left_share
    }

    /// Compares ending the request now with the best of the evaluated later times.
    pub fn evaluate(&self) -> Evaluation {
        let limit = self.request.wait_limit();
        let objective = self.request.objective_at.min(limit);
        let mut best = Evaluation { value_now: self.value_now(), value_later: 0.0, best_time: self.now };
        let ends = if objective < limit { [objective, limit] } else { [limit, limit] };
        for end in ends.into_iter().filter(|end| *end > self.now) {
            for at in EVALUATED_FRACTIONS.iter().map(|fraction| self.now + fraction * (end - self.now)) {
                let value = self.expected_value(at);
                if value > best.value_later {
                    best = Evaluation { value_later: value, best_time: at, ..best };
                }
            }
        }
        best
    }

    /// The hedged sub-request with the highest weighted gain by `at`, if its gain is above `min_hedge_gain` of the
    /// settings and waiting with it is worth more than `value_now`.
    pub fn best_hedge(&self, at: Ms, value_now: f64) -> Option<HedgeTarget> {
        let candidates = self.missing_parts.iter().flat_map(|part| self.hedge_candidates(part, at));
        let worthwhile = candidates.filter(|candidate| candidate.gain > self.settings.min_hedge_gain);
        let best = worthwhile.max_by(|a, b| a.weighted_gain().total_cmp(&b.weighted_gain()))?;
        (self.expected_value(at) + best.weighted_gain() > value_now).then_some(best.target)
    }

    /// Hedged sub-requests for a part: at sites without an attempt, while an attempt is in flight and attempts are
    /// left.
    fn hedge_candidates(&self, missing: &MissingPart, at: Ms) -> Vec<HedgeCandidate> {
        let part = &self.request.parts[missing.part_index];
        let attempts: usize = part.attempts_by_site.iter().sum();
        if missing.attempts.is_empty() || attempts >= self.settings.max_attempts {
            return Vec::new();
        }
        let value = self.request.value_at(at, self.settings.wait_discount);
        let candidate = |(index, site): (usize, &Site)| {
            let arrival = self
                .pending_attempt(site, self.now)
                .map_or(0.0, |attempt| Self::arrival_probability(&attempt, at));
            HedgeCandidate {
                target: HedgeTarget { part_index: missing.part_index, site_index: index },
                gain: (1.0 - Self::part_probability(missing, at)) * arrival * value,
                weight: missing.weight,
            }
        };
        let sites = part.sites().enumerate();
        sites.filter(|(index, _)| part.attempts_by_site[*index] == 0).map(candidate).collect()
    }
}

/// The probability that at least `k` of independent events with these probabilities happen.
fn probability_of_at_least(k: usize, probabilities: &[f64]) -> f64 {
    if k == 0 {
        return 1.0;
    }
    if k > probabilities.len() {
        return 0.0;
    }
    // distribution[i]: the probability that i events have happened; the last entry stands for k or more.
    let mut distribution = vec![0.0; k + 1];
    distribution[0] = 1.0;
    for p in probabilities {
        distribution[k] += distribution[k - 1] * p;
        for i in (1..k).rev() {
            distribution[i] = distribution[i] * (1.0 - p) + distribution[i - 1] * p;
        }
        distribution[0] *= 1.0 - p;
    }
    distribution[k]
}

#[cfg(test)]
mod tests;
