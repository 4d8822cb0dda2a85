//! Estimates the probability that a site does not answer.
//!
//! Whether a site answers at present is hidden. Each attempt updates the probability that it does not by Bayes' rule;
//! the probability decays to the site's base failure rate. Observations of other routers add log odds, but can't exclude a site that
//! answered here a short time ago.

use crate::api::Evidence;
use crate::settings::Settings;
use basaltgw_types::{Ms, RouterId};

/// Above 0, since a site may have failed after its last answer.
const MIN_FAILURE_PROBABILITY: f64 = 0.005;
/// Below 1, so that one answer outweighs any earlier evidence.
const MAX_FAILURE_PROBABILITY: f64 = 0.995;
/// The base failure rate is smoothed over about this many attempts.
const BASE_RATE_WINDOW_ATTEMPTS: f64 = 64.0;
const MIN_BASE_RATE: f64 = 0.005;
const MAX_BASE_RATE: f64 = 0.6;
const INITIAL_BASE_RATE: f64 = 0.02;
/// Routers whose observations of a site are stored; the oldest is evicted first.
const MAX_PEER_OBSERVATIONS: usize = 8;
/// From this many attempts on, an observation has its full weight.
const FULL_EVIDENCE_ATTEMPTS: f64 = 2.0;
/// Log odds that one observation of full weight adds.
const PEER_LOG_ODDS: f64 = 1.5;
/// Bound of the log odds that all observations add together.
const MAX_PEERS_LOG_ODDS: f64 = 6.0;
/// Bound of the failure probability of a site that answered here recently, as a fraction of the exclusion threshold.
const RECENT_ANSWER_BOUND: f64 = 0.9;

/// Another router's observation of a site.
#[derive(Clone, Debug)]
struct PeerObservation {
    from: RouterId,
    /// From -1, all attempts answered, to 1, all attempts missed.
    failure_evidence: f64,
    observed_at: Ms,
}

/// The probability that a site does not answer, with the observations behind it.
#[derive(Clone, Debug)]
pub(crate) struct FailureEstimate {
    probability: f64,
    estimated_at: Ms,
    base_rate: f64,
    last_answer: Option<Ms>,
    peer_observations: Vec<PeerObservation>,
}

impl FailureEstimate {
    pub fn new(now: Ms) -> Self {
        Self {
            probability: MIN_FAILURE_PROBABILITY,
            estimated_at: now,
            base_rate: INITIAL_BASE_RATE,
            last_answer: None,
            peer_observations: Vec::new(),
        }
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Ms) {
        self.set(now, MIN_FAILURE_PROBABILITY);
        self.base_rate = (self.base_rate - self.base_rate / BASE_RATE_WINDOW_ATTEMPTS).max(MIN_BASE_RATE);
        self.last_answer = Some(now);
    }

    /// Sets the probability, bounded to the range of the estimate.
    pub fn set(&mut self, now: Ms, probability: f64) {
        self.probability = probability.clamp(MIN_FAILURE_PROBABILITY, MAX_FAILURE_PROBABILITY);
        self.estimated_at = now;
    }

    /// Moves the base failure rate towards a probability.
    pub fn raise_base_rate(&mut self, probability: f64) {
        self.base_rate = (self.base_rate + (probability - self.base_rate) / BASE_RATE_WINDOW_ATTEMPTS)
            .clamp(MIN_BASE_RATE, MAX_BASE_RATE);
    }

    /// Multiplies the odds of a failure.
    pub fn multiply_odds(&mut self, now: Ms, factor: f64, settings: &Settings) {
        let prior = self.local(now, settings);
        self.set(now, prior * factor / (prior * factor + 1.0 - prior));
        self.raise_base_rate(self.probability);
    }

    /// The probability by this router's own attempts.
    pub fn local(&self, now: Ms, settings: &Settings) -> f64 {
        let remaining = (-(now - self.estimated_at).max(0.0) / settings.failure_decay_ms).exp();
        self.base_rate + (self.probability - self.base_rate) * remaining
    }

    /// The probability by this router's own attempts and other routers' observations.
    pub fn combined(&self, now: Ms, settings: &Settings) -> f64 {
        let local = self.local(now, settings);
        let log_odds = self.peer_log_odds(now, settings);
        let odds = local / (1.0 - local) * log_odds.clamp(-MAX_PEERS_LOG_ODDS, MAX_PEERS_LOG_ODDS).exp();
        let combined = (odds / (1.0 + odds)).clamp(MIN_FAILURE_PROBABILITY, MAX_FAILURE_PROBABILITY);
        if self.last_answer.is_some_and(|at| now - at < settings.recent_answer_window_ms) {
            combined.min(local.max(settings.exclusion_threshold * RECENT_ANSWER_BOUND))
        } else {
            combined
        }
    }

    /// The sum of the observations that are newer than the last answer here; each decays linearly with its age.
    fn peer_log_odds(&self, now: Ms, settings: &Settings) -> f64 {
        let newer = self
            .peer_observations
            .iter()
            .filter(|observation| self.last_answer.is_none_or(|at| at < observation.observed_at));
        let log_odds = |observation: &PeerObservation| {
            let freshness = (1.0 - (now - observation.observed_at) / settings.max_evidence_age_ms).max(0.0);
            observation.failure_evidence * freshness * PEER_LOG_ODDS
        };
        newer.map(log_odds).sum()
    }

    /// Stores another router's observation. Returns false if a later one of that router is stored.
    pub fn observe_peer(
        &mut self,
        now: Ms,
        from: RouterId,
        evidence: &Evidence,
        settings: &Settings,
    ) -> bool {
        let observed_at = now - evidence.age_ms;
        let observations = &mut self.peer_observations;
        if observations.iter().any(|known| known.from == from && known.observed_at > observed_at) {
            return false;
        }
        observations
            .retain(|known| known.from != from && now - known.observed_at < settings.max_evidence_age_ms);
        if observations.len() >= MAX_PEER_OBSERVATIONS {
            let oldest = (0..observations.len())
                .min_by(|a, b| observations[*a].observed_at.total_cmp(&observations[*b].observed_at));
            if let Some(oldest) = oldest {
                observations.remove(oldest);
            }
        }
        let (missed, answered) = (f64::from(evidence.missed), f64::from(evidence.answered));
        let attempts = missed + answered;
        let failure_evidence = (missed - answered) / attempts * (attempts / FULL_EVIDENCE_ATTEMPTS).min(1.0);
        observations.push(PeerObservation { from, failure_evidence, observed_at });
        true
    }
}
