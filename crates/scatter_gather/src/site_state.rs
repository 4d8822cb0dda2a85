//! The state of one site: whether it is admitted for a part, and how an attempt's outcome changes that.
//!
//! Inputs: the outcomes of attempts, other routers' observations, the clock in milliseconds, and random draws. A site
//! is excluded once its failure probability exceeds the threshold of the settings; excluded sites receive only probes,
//! and ramp up after an answered one.

mod failure_estimate;
mod network_delay;
mod probe_schedule;
mod traffic_ramp;

use crate::latency_histogram::LatencyHistogram;
use crate::settings::Settings;
use basaltgw_types::Ms;
use failure_estimate::FailureEstimate;
use network_delay::NetworkDelay;
pub(crate) use probe_schedule::fleet_probe_interval;
use probe_schedule::ProbeSchedule;
use traffic_ramp::TrafficRamp;

/// Minimum probability that an answer is later than all earlier ones.
const MIN_LATE_PROBABILITY: f64 = 0.02;
/// An attempt without an answer counts as missed if an answer was at least this likely to have arrived.
const MISS_THRESHOLD: f64 = 0.5;
/// A failed attempt multiplies the odds of a failure by this factor.
const FAILED_ODDS_FACTOR: f64 = 4.0;
/// An attempt that could not reach the site multiplies the odds of a failure by this factor.
const UNREACHABLE_ODDS_FACTOR: f64 = 20.0;
/// The weight of a probe's answer in the latency histogram, above 1 since probes are rare.
const PROBE_ANSWER_WEIGHT: f64 = 4.0;

/// The outcome of an attempt, as a signal on the state of its site. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptSignal {
    /// The site answered with data.
    Answered {
        /// Time from sending to the answer.
        latency: Ms,
        /// The part of the latency that the site measured as its own processing time.
        processing_time: Ms,
        /// Whether it was within the request's latency objective.
        in_time: bool,
    },
    /// Cancelled without an answer.
    Silent {
        /// Time from sending to the cancellation.
        elapsed: Ms,
    },
    /// The attempt failed at the site.
    Failed,
    /// The site could not be reached.
    Unreachable,
    /// The site rejected the attempt.
    Rejected {
        /// `Retry-After` in milliseconds.
        retry_after: Ms,
    },
}

/// Which kind of attempt a signal comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalSource {
    /// A first, retried or hedged sub-request.
    Request,
    /// A probe of an excluded or slow site.
    Probe,
}

/// What an attempt's outcome changes for its site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SiteChange {
    /// No change that other routers need to know.
    None,
    /// A change that is published to other routers.
    Noteworthy,
    /// The site is excluded from now on, or included again.
    InclusionChanged,
}

/// Whether a sub-request may be sent to a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Admitted,
    /// Neither a sub-request nor a probe: the site is excluded or too slow for the time left, its `Retry-After` is not
    /// over, or the part is outside its share of parts.
    Excluded,
    /// Excluded or too slow for the time left, but a probe is due.
    ProbeOnly,
}

/// Random numbers for one decision, each from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Draws {
    /// A part is admitted if this is below the site's share of parts. It also lengthens the step of a ramp that
    /// restarts.
    pub share: f64,
    /// Jitter of the time of the next probe.
    pub probe: f64,
}

/// The inputs of a site's decisions besides its own state.
pub(crate) struct DecisionContext<'a> {
    pub now: Ms,
    pub draws: Draws,
    pub settings: &'a Settings,
    /// Routers in the fleet.
    pub routers: usize,
}

/// The estimates for one site, and whether it is admitted.
#[derive(Clone, Debug)]
pub(crate) struct SiteState {
    pub latency: LatencyHistogram,
    pub failure: FailureEstimate,
    pub network_delay: NetworkDelay,
    pub ramp: TrafficRamp,
    pub probes: ProbeSchedule,
    /// The end of the site's last `Retry-After`.
    pub retry_after_until: Ms,
    /// Attempts without an answer in time since the last publication.
    pub missed: u32,
    /// Answered attempts since the last publication.
    pub answered: u32,
    pub last_published: Option<Ms>,
    pub last_used: Ms,
}

impl SiteState {
    pub fn new(now: Ms, settings: &Settings) -> Self {
        Self {
            latency: LatencyHistogram::prior(settings.default_latency_ms),
            failure: FailureEstimate::new(now),
            network_delay: NetworkDelay::default(),
            ramp: TrafficRamp::full(now, settings),
            probes: ProbeSchedule::new(now, settings),
            retry_after_until: 0.0,
            missed: 0,
            answered: 0,
            last_published: None,
            last_used: now,
        }
    }

    /// Decides whether a sub-request with `time_left` for its answer may be sent.
    pub fn admit(&mut self, time_left: Ms, context: &DecisionContext) -> Admission {
        let now = context.now;
        self.exclude_if_failed(context);
        let success = (1.0 - self.failure_probability(now, context.settings))
            * self.latency.probability_within(time_left);
        let too_slow = success < context.settings.min_success_probability;
        let share = self.ramp.share(now);
        if now < self.retry_after_until {
            Admission::Excluded
        } else if share <= 0.0 || too_slow {
            if self.probe_is_due(now) {
                Admission::ProbeOnly
            } else {
                Admission::Excluded
            }
        } else if share > context.draws.share {
            Admission::Admitted
        } else {
            Admission::Excluded
        }
    }

    /// Records the outcome of an attempt.
    pub fn record(
        &mut self,
        signal: AttemptSignal,
        source: SignalSource,
        context: &DecisionContext,
    ) -> SiteChange {
        let share_before = self.ramp.share(context.now);
        if source == SignalSource::Probe {
            self.probes.ended();
        }
        let missed = self.apply_signal(signal, source, context);
        if missed {
            self.missed = self.missed.saturating_add(1);
            if source == SignalSource::Request && share_before > 0.0 && share_before < 1.0 {
                self.reduce_share(share_before, context);
            }
        }
        self.exclude_if_failed(context);
        let excluded = self.ramp.is_excluded();
        let fully_included = share_before < 1.0 && self.ramp.initial_share() >= 1.0;
        if excluded != (share_before <= 0.0) {
            SiteChange::InclusionChanged
        } else if (excluded && missed) || fully_included {
            SiteChange::Noteworthy
        } else {
            SiteChange::None
        }
    }

    /// Updates the estimates. Returns whether the attempt counts as missed.
    fn apply_signal(
        &mut self,
        signal: AttemptSignal,
        source: SignalSource,
        context: &DecisionContext,
    ) -> bool {
        let (now, settings) = (context.now, context.settings);
        match signal {
            AttemptSignal::Answered { latency, processing_time, in_time } => {
                let weight = if source == SignalSource::Probe { PROBE_ANSWER_WEIGHT } else { 1.0 };
                self.latency.record(latency, weight);
                self.network_delay.record(latency, processing_time);
                self.failure.record_answer(now);
                self.answered = self.answered.saturating_add(1);
                if in_time {
                    self.ramp_up(source, context);
                }
                !in_time
            }
            AttemptSignal::Silent { elapsed } => self.record_silence(elapsed, context),
            AttemptSignal::Failed => {
                self.failure.multiply_odds(now, FAILED_ODDS_FACTOR, settings);
                true
            }
            AttemptSignal::Unreachable => {
                self.failure.multiply_odds(now, UNREACHABLE_ODDS_FACTOR, settings);
                true
            }
            AttemptSignal::Rejected { retry_after } => {
                self.retry_after_until = now + retry_after.clamp(0.0, settings.max_retry_after_ms);
                false
            }
        }
    }

    /// Applies Bayes' rule to an attempt that was cancelled without an answer. The attempt is not missed if an answer was
    /// not to be expected yet.
    fn record_silence(&mut self, elapsed: Ms, context: &DecisionContext) -> bool {
        let late = (1.0 - self.latency.probability_within(elapsed)).max(MIN_LATE_PROBABILITY);
        let prior = self.failure.local(context.now, context.settings);
        let posterior = prior / (prior + (1.0 - prior) * late);
        self.latency.record_timeout(elapsed, 1.0 - posterior);
        self.failure.set(context.now, posterior);
        let missed = late < MISS_THRESHOLD;
        if missed {
            self.failure.raise_base_rate(posterior);
        }
        missed
    }

    /// The probability that the site does not answer, by its attempts here and the observations of other routers.
    pub fn failure_probability(&self, now: Ms, settings: &Settings) -> f64 {
        self.failure.combined(now, settings)
    }

    /// Whether a probe may be sent now: one is scheduled, and the site's `Retry-After` is over.
    pub fn probe_is_due(&self, now: Ms) -> bool {
        self.probes.is_due(now) && now >= self.retry_after_until
    }

    fn exclude_if_failed(&mut self, context: &DecisionContext) {
        let is_failed = |state: &Self| {
            let failure_probability = state.failure_probability(context.now, context.settings);
            failure_probability > context.settings.exclusion_threshold
        };
        if !self.ramp.is_excluded() && is_failed(self) {
            self.exclude(context);
        }
    }

    fn exclude(&mut self, context: &DecisionContext) {
        self.ramp.exclude();
        self.probes.restart(context.now, context.settings, context.routers, context.draws.probe);
    }

    /// Halves the share of a site that is ramping up. Below half of `initial_ramp_share`, the site is excluded again.
    fn reduce_share(&mut self, share: f64, context: &DecisionContext) {
        self.ramp.restart(context.now, share / 2.0, context.draws.share, context.settings);
        if self.ramp.initial_share() < context.settings.initial_ramp_share / 2.0 {
            self.exclude(context);
        }
    }

    /// Continues the ramp after an answer in time; an answered probe starts it.
    fn ramp_up(&mut self, source: SignalSource, context: &DecisionContext) {
        let (now, settings) = (context.now, context.settings);
        self.probes.reset_backoff(settings);
        let share = self.ramp.share(now);
        if share > 0.0 {
            self.ramp.restart(now, share, context.draws.share, settings);
        } else if source == SignalSource::Probe {
            self.ramp.restart(now, settings.initial_ramp_share, context.draws.share, settings);
        }
    }
}
