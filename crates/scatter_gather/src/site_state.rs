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

/// The lowest probability of an answer that is later than all before it.
const MIN_LATE_PROBABILITY: f64 = 0.02;
/// A silence counts as a miss if an answer was at least this likely to have arrived.
const MISS_THRESHOLD: f64 = 0.5;
/// A failed attempt multiplies the odds of a failure by this factor.
const FAILED_ODDS_FACTOR: f64 = 4.0;
/// An attempt that could not reach the site multiplies them by this one.
const UNREACHABLE_ODDS_FACTOR: f64 = 20.0;
/// The weight of a probe's answer in the latency histogram: probes are rare.
const PROBE_ANSWER_WEIGHT: f64 = 4.0;

/// How an attempt turned out, for its site. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptSignal {
    /// The site answered with data.
    Answered {
        /// Time from sending to the answer.
        latency: Ms,
        /// The site's own measurement of its part of it.
        took: Ms,
        /// Whether it was within the request's latency objective.
        in_time: bool,
    },
    /// Cancelled after this time without an answer.
    Silent(Ms),
    /// The attempt failed at the site.
    Failed,
    /// The site could not be reached.
    Unreachable,
    /// The site rejected the attempt, with this `Retry-After`.
    Rejected(Ms),
}

/// Which kind of attempt a signal comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalSource {
    /// A first, repeated or hedged sub-request.
    Request,
    /// A probe of an excluded or slow site.
    Probe,
}

/// What an attempt's outcome changes for its site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SiteChange {
    /// Nothing to publish.
    None,
    /// Worth publishing to other routers.
    Noteworthy,
    /// The site is excluded from now on, or no longer.
    InclusionChanged,
}

/// Whether a sub-request may be sent to a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Admitted,
    Excluded,
    /// Excluded, but a probe is due.
    ProbeOnly,
}

/// Random numbers for one decision, each from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Draws {
    /// For the share of parts that is admitted, and the length of a ramp's step.
    pub share: f64,
    /// For the time of the next probe.
    pub probe: f64,
}

/// What a site's decisions depend on beside its own state.
pub(crate) struct DecisionContext<'a> {
    pub now: Ms,
    pub draws: Draws,
    pub settings: &'a Settings,
    /// Routers in the fleet.
    pub routers: usize,
}

/// What is known of one site.
#[derive(Clone, Debug)]
pub(crate) struct SiteState {
    pub latency: LatencyHistogram,
    pub failure: FailureEstimate,
    pub network_delay: NetworkDelay,
    pub ramp: TrafficRamp,
    pub probes: ProbeSchedule,
    /// The site rejects attempts until then.
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
            latency: LatencyHistogram::prior(settings.usual),
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
        let too_slow = success < context.settings.least_hope;
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

    /// Records how an attempt turned out.
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
            AttemptSignal::Answered { latency, took, in_time } => {
                let weight = if source == SignalSource::Probe { PROBE_ANSWER_WEIGHT } else { 1.0 };
                self.latency.record(latency, weight);
                self.network_delay.record(latency, took);
                self.failure.record_answer(now);
                self.answered = self.answered.saturating_add(1);
                if in_time {
                    self.ramp_up(source, context);
                }
                !in_time
            }
            AttemptSignal::Silent(after) => self.record_silence(after, context),
            AttemptSignal::Failed => {
                self.failure.multiply_odds(now, FAILED_ODDS_FACTOR, settings);
                true
            }
            AttemptSignal::Unreachable => {
                self.failure.multiply_odds(now, UNREACHABLE_ODDS_FACTOR, settings);
                true
            }
            AttemptSignal::Rejected(after) => {
                self.retry_after_until = now + after.clamp(0.0, settings.come_back_most);
                false
            }
        }
    }

    /// Applies Bayes' rule to a silence. A silence in which an answer was not yet to be expected is no miss.
    fn record_silence(&mut self, after: Ms, context: &DecisionContext) -> bool {
        let late = (1.0 - self.latency.probability_within(after)).max(MIN_LATE_PROBABILITY);
        let prior = self.failure.local(context.now, context.settings);
        let posterior = prior / (prior + (1.0 - prior) * late);
        self.latency.record_timeout(after, 1.0 - posterior);
        self.failure.set(context.now, posterior);
        let missed = late < MISS_THRESHOLD;
        if missed {
            self.failure.raise_base_rate(posterior);
        }
        missed
    }

    /// The probability that the site does not answer, by all that is known.
    pub fn failure_probability(&self, now: Ms, settings: &Settings) -> f64 {
        self.failure.combined(now, settings)
    }

    pub fn probe_is_due(&self, now: Ms) -> bool {
        self.probes.is_due(now) && now >= self.retry_after_until
    }

    fn exclude_if_failed(&mut self, context: &DecisionContext) {
        let failure = |state: &Self| state.failure_probability(context.now, context.settings);
        if !self.ramp.is_excluded() && failure(self) > context.settings.leave_out {
            self.exclude(context);
        }
    }

    fn exclude(&mut self, context: &DecisionContext) {
        self.ramp.exclude();
        self.probes.restart(context.now, context.settings, context.routers, context.draws.probe);
    }

    /// Halves the share of a site that is ramping up; below half of the first portion it is excluded again.
    fn reduce_share(&mut self, share: f64, context: &DecisionContext) {
        self.ramp.restart(context.now, share / 2.0, context.draws.share, context.settings);
        if self.ramp.initial_share() < context.settings.portion / 2.0 {
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
            self.ramp.restart(now, settings.portion, context.draws.share, settings);
        }
    }
}
