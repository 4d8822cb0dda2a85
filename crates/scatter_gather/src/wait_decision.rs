//! Waiting against answering: what an answer at each later time is likely to be worth.

use crate::api::Site;
use crate::pending_request::{PendingRequest, Selection};
use crate::settings::Settings;
use crate::site_state::SiteState;
use crate::site_table::SiteTable;
use basaltgw_types::Ms;

/// Times that are looked at, as shares of the time to the aim, and to the limit.
const EVALUATED_FRACTIONS: [f64; 7] = [0.03125, 0.0625, 0.125, 0.25, 0.5, 0.75, 1.0];

/// How a missing part may come.
struct MissingPart<'a> {
    weight: f64,
    required: bool,
    /// Place of the part.
    part_index: usize,
    /// Attempts that are out.
    attempts: Vec<PendingAttempt<'a>>,
}

/// An attempt that is out, or might be.
struct PendingAttempt<'a> {
    sent_at: Ms,
    site: &'a SiteState,
    /// How likely the site is lost.
    failure_probability: f64,
    /// Share of the site's answers that would have come by now.
    elapsed_fraction: f64,
}

/// A part and the site at which a hedged sub-request for it is worth most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HedgeTarget {
    /// Index of the part in the request.
    pub part: usize,
    /// Index of the site among the part's sites.
    pub site: usize,
}

/// What came of weighing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Evaluation {
    /// The worth of answering now, and the most that is to be had later.
    pub value_now: f64,
    /// See `now`.
    pub value_later: f64,
    /// When that is.
    pub best_time: Ms,
}

/// The forecast of what is out, as of now.
pub(crate) struct ArrivalForecast<'a> {
    request: &'a PendingRequest,
    sites: &'a SiteTable,
    now: Ms,
    missing_parts: Vec<MissingPart<'a>>,
    /// Worth and count that have come in the versions that further parts will be of.
    newest_selection: Selection,
    best_selection: Selection,
    settings: &'a Settings,
}

impl<'a> ArrivalForecast<'a> {
    pub fn new(
        request: &'a PendingRequest,
        sites: &'a SiteTable,
        set: &'a Settings,
        now: Ms,
        has: &Selection,
    ) -> Self {
        let newest_selection = request.select_versions(&request.newest_versions());
        let mut forecast = Self {
            request,
            sites,
            now,
            missing_parts: Vec::new(),
            newest_selection,
            best_selection: has.clone(),
            settings: set,
        };
        let missing =
            (0..request.parts.len()).filter(|i| forecast.newest_selection.attempt_by_part[*i].is_none());
        forecast.missing_parts = missing.map(|i| forecast.missing_part(i)).collect();
        forecast
    }

    fn missing_part(&self, part: usize) -> MissingPart<'a> {
        let p = &self.request.parts[part];
        let out = self
            .request
            .in_flight_with_probes(part)
            .filter_map(|(_, a)| self.pending_attempt(&a.site, a.sent_at));
        let again = p.retry_at.and_then(|at| self.pending_attempt(&p.spec.site, at));
        MissingPart {
            weight: p.spec.worth,
            required: p.required,
            part_index: part,
            attempts: out.chain(again).collect(),
        }
    }

    fn pending_attempt(&self, site: &Site, asked: Ms) -> Option<PendingAttempt<'a>> {
        let site = self.sites.get(site)?;
        let (lost, before) = (
            site.failure_probability(self.now, self.settings),
            site.latency.probability_within(self.now - asked),
        );
        Some(PendingAttempt { sent_at: asked, site, failure_probability: lost, elapsed_fraction: before })
    }

    /// The probability that an attempt answers by `at`, as it has not yet.
    fn arrival_probability(out: &PendingAttempt, at: Ms) -> f64 {
        let until = out.site.latency.probability_within(at - out.sent_at);
        let still = (1.0 - out.failure_probability) * (1.0 - out.elapsed_fraction) + out.failure_probability;
        ((1.0 - out.failure_probability) * (until - out.elapsed_fraction) / still.max(1e-9)).clamp(0.0, 1.0)
    }

    /// The probability that a part comes by `at`.
    fn part_probability(hope: &MissingPart, at: Ms) -> f64 {
        1.0 - hope.attempts.iter().map(|out| 1.0 - Self::arrival_probability(out, at)).product::<f64>()
    }

    /// What an answer at `at` is likely to be worth.
    fn expected_value(&self, at: Ms) -> f64 {
        let p: Vec<f64> = self.missing_parts.iter().map(|h| Self::part_probability(h, at)).collect();
        let more: f64 = self.missing_parts.iter().zip(&p).map(|(h, p)| h.weight * p).sum();
        let value = self.request.value_at(at, self.settings.haste);
        let grown = (self.newest_selection.weight + more) * self.policy_probability(&p) * value;
        let stands = if self.request.policy_allows(&self.best_selection) {
            self.best_selection.weight * value
        } else {
            0.0
        };
        grown.max(stands)
    }

    /// The probability that the policy then allows an answer: all needed ones, and enough of the others.
    fn policy_probability(&self, p: &[f64]) -> f64 {
        if self.request.policy_allows(&self.newest_selection) {
            return 1.0;
        }
        let all: f64 = self.missing_parts.iter().zip(p).filter(|(h, _)| h.required).map(|(_, p)| p).product();
        let (count, worth) = self.request.shortfall(&self.newest_selection);
        let left =
            self.missing_parts.iter().map(|h| h.weight).sum::<f64>() / self.missing_parts.len().max(1) as f64;
        // Worth is counted in parts of the mean worth of those that are missing.
        let short = count.max((worth / left.max(f64::MIN_POSITIVE) - 1e-9).ceil().max(0.0) as usize);
        // Of the others there must be so many.
        let needed = self.missing_parts.iter().filter(|h| h.required).count();
        let others: Vec<f64> =
            self.missing_parts.iter().zip(p).filter(|(h, _)| !h.required).map(|(_, p)| *p).collect();
        all * probability_of_at_least(short.saturating_sub(needed), &others)
    }

    /// The time at which an answer is worth most, among now and what is looked at.
    pub fn evaluate(&self) -> Evaluation {
        let open = self.request;
        let now = match open.policy_allows(&self.best_selection) {
            true => self.best_selection.weight * open.value_at(self.now, self.settings.haste),
            // Turned away it has all its time for another try, and the less the longer it waited.
            false => {
                self.settings.turn_away
                    * open.total_weight
                    * ((open.deadline_at - self.now) / (open.deadline_at - open.started_at).max(1.0))
            }
        };
        let limit = open.wait_limit();
        let aim = open.objective_at.min(limit);
        let mut best = Evaluation { value_now: now, value_later: 0.0, best_time: self.now };
        let ends = if aim < limit { [aim, limit] } else { [limit, limit] };
        for end in ends.into_iter().filter(|e| *e > self.now) {
            for at in EVALUATED_FRACTIONS.iter().map(|share| self.now + share * (end - self.now)) {
                let worth = self.expected_value(at);
                if worth > best.value_later {
                    best = Evaluation { value_later: worth, best_time: at, ..best };
                }
            }
        }
        best
    }

    /// The part for which a second copy at one of its other sites brings most by `at`: its place and the site's. With it, waiting must be worth more than
    /// answering now is.
    pub fn best_hedge(&self, at: Ms, now: f64) -> Option<HedgeTarget> {
        let value = self.request.value_at(at, self.settings.haste);
        let gain = |h: &MissingPart, site: usize| {
            let site = self.request.parts[h.part_index].sites().nth(site);
            let comes = site
                .and_then(|s| self.pending_attempt(s, self.now))
                .map_or(0.0, |o| Self::arrival_probability(&o, at));
            (1.0 - Self::part_probability(h, at)) * comes * value
        };
        let free = |h: &MissingPart, site: &usize| {
            let part = &self.request.parts[h.part_index];
            part.attempts_by_site[*site] == 0
                && !h.attempts.is_empty()
                && part.attempts_by_site.iter().sum::<usize>() < self.settings.tries
        };
        let all = self.missing_parts.iter().flat_map(|h| {
            let sites =
                (0..self.request.parts[h.part_index].attempts_by_site.len()).filter(move |s| free(h, s));
            sites.map(move |s| (h, s))
        });
        let gains = all.map(|(h, s)| (h.part_index, s, gain(h, s), h.weight));
        let good = gains.filter(|g| g.2 > self.settings.second_price);
        let best = good.max_by(|a, b| (a.2 * a.3).total_cmp(&(b.2 * b.3)));
        best.filter(|(_, _, gain, worth)| self.expected_value(at) + gain * worth > now)
            .map(|(part, site, ..)| HedgeTarget { part, site })
    }
}

/// The probability that at least `k` of independent events happen.
fn probability_of_at_least(k: usize, p: &[f64]) -> f64 {
    if k == 0 {
        return 1.0;
    }
    if k > p.len() {
        return 0.0;
    }
    // By number that happened, `k` standing for all from there on.
    let mut of = vec![0.0; k + 1];
    of[0] = 1.0;
    for p in p {
        of[k] += of[k - 1] * p;
        for i in (1..k).rev() {
            of[i] = of[i] * (1.0 - p) + of[i - 1] * p;
        }
        of[0] *= 1.0 - p;
    }
    of[k]
}

#[cfg(test)]
mod tests;
