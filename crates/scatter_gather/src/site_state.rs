//! One site: how its condition is weighed, and how its share of parts shrinks and grows.

use crate::api::Evidence;
use crate::latency_histogram::LatencyHistogram;
use crate::settings::Settings;
use basaltgw_types::{Ms, RouterId};

/// A site that just answered is lost with this probability: it may have gone since.
const MIN_FAILURE_PROBABILITY: f64 = 0.005;
/// No evidence makes a site surely lost, so that one answer brings it back.
const MAX_FAILURE_PROBABILITY: f64 = 0.995;
/// An answer so late that all before it came sooner is still possible with this probability.
const MIN_LATE_PROBABILITY: f64 = 0.02;
/// How an attempt that failed, and one that could not reach the site, weigh: odds that it is lost, multiplied.
const FAILED_ODDS_FACTOR: f64 = 4.0;
/// See [`FAILED`].
const UNREACHABLE_ODDS_FACTOR: f64 = 20.0;
/// How usual a site's losses are, from about so many attempts.
const BASE_RATE_WINDOW_ATTEMPTS: f64 = 64.0;
/// Bounds of that.
const BASE_RATE_RANGE: (f64, f64) = (0.005, 0.6);
/// Other routers whose words on a site are kept; the oldest goes first.
const MAX_PEER_OBSERVATIONS: usize = 8;
/// So many attempts make another router's word a full one.
const FULL_EVIDENCE_ATTEMPTS: f64 = 2.0;
/// A full word that a site is lost multiplies the odds by e to this, all words together at most by e to [`ALL_WORDS`].
const PEER_LOG_ODDS: f64 = 1.5;
/// See [`ONE_WORD`].
const MAX_PEERS_LOG_ODDS: f64 = 6.0;
/// A probe's answer counts as so many: few are made.
const PROBE_ANSWER_WEIGHT: f64 = 4.0;
/// Probes of a site that may be out at once: one that vanished must not hold up the next.
const MAX_PROBES_IN_FLIGHT: u32 = 4;
/// Doublings of a site's share without another answer.
const MAX_UNCONFIRMED_DOUBLINGS: f64 = 2.0;
/// Each probe makes the time to the next longer by this, until one is answered.
pub(crate) const PROBE_BACKOFF_FACTOR: f64 = 2.0;
/// Travel is reckoned as so many mean deviations longer than on average.
pub(crate) const NETWORK_DELAY_DEVIATIONS: f64 = 2.0;
/// Weight of a new measurement of travel, as in TCP's smoothed round trip.
const NETWORK_DELAY_GAIN: f64 = 0.125;

/// How an attempt turned out, for its site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptSignal {
    /// It answered with bytes.
    Answered {
        /// After so long.
        latency: Ms,
        /// By its own count it took this.
        took: Ms,
        /// Within the gather's aim.
        in_time: bool,
    },
    /// Given up on after this time.
    Silent(Ms),
    /// It failed.
    Failed,
    /// It could not be reached.
    Unreachable,
    /// It is there and turns requests away for so long.
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

/// What an attempt's end changed for its site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SiteChange {
    /// Nothing that others need to know.
    None,
    /// Others may want to know.
    Noteworthy,
    /// It is left out from now on, or no more.
    InclusionChanged,
}

/// Whether a site is asked now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Admitted,
    Excluded,
    /// Not for the answer's sake, but a probe is due.
    ProbeOnly,
}

#[derive(Clone, Debug)]
pub(crate) struct PeerObservation {
    from: RouterId,
    /// -1 answers, 1 lost.
    failure_evidence: f64,
    observed_at: Ms,
}

#[derive(Clone, Debug)]
pub(crate) struct SiteState {
    pub latency: LatencyHistogram,
    pub estimated_failure: f64,
    pub estimated_at: Ms,
    pub base_failure_rate: f64,
    pub last_answer: Option<Ms>,
    pub retry_after_until: Ms,
    /// The share of its parts that it gets; 0 while only probes go there.
    pub share_at_ramp_start: f64,
    pub ramp_started: Ms,
    pub ramp_step: Ms,
    pub next_probe: Ms,
    pub probe_backoff: Ms,
    pub probes_in_flight: u32,
    pub network_delay: Ms,
    pub network_delay_deviation: Ms,
    pub peer_observations: Vec<PeerObservation>,
    pub missed: u32,
    pub answered: u32,
    pub last_published: Option<Ms>,
    pub last_used: Ms,
}

/// Between two probes by one router, if the fleet's together keep their distance.
pub(crate) fn fleet_probe_interval(set: &Settings, routers: usize) -> Ms {
    set.probe_every.max(set.probe_fleet * routers as f64)
}

impl SiteState {
    pub fn new(now: Ms, set: &Settings) -> Self {
        Self {
            latency: LatencyHistogram::prior(set.usual),
            estimated_failure: MIN_FAILURE_PROBABILITY,
            estimated_at: now,
            base_failure_rate: 0.02,
            last_answer: None,
            retry_after_until: 0.0,
            share_at_ramp_start: 1.0,
            ramp_started: now,
            ramp_step: set.portion_step,
            next_probe: now,
            probe_backoff: set.probe_every,
            probes_in_flight: 0,
            network_delay: 0.0,
            network_delay_deviation: 0.0,
            peer_observations: Vec::new(),
            missed: 0,
            answered: 0,
            last_published: None,
            last_used: now,
        }
    }

    /// Whether it is asked for a part whose answer is to come within `left`.
    pub fn admit(
        &mut self,
        now: Ms,
        left: Ms,
        draws: (f64, f64),
        set: &Settings,
        routers: usize,
    ) -> Admission {
        self.exclude_if_failed(now, set, routers, draws.1);
        let slow = (1.0 - self.failure_probability(now, set)) * self.latency.probability_within(left)
            < set.least_hope;
        match self.traffic_share(now) {
            _ if now < self.retry_after_until => Admission::Excluded,
            s if s <= 0.0 || slow => match self.probe_is_due(now) {
                true => Admission::ProbeOnly,
                false => Admission::Excluded,
            },
            s if s > draws.0 => Admission::Admitted,
            _ => Admission::Excluded,
        }
    }

    /// An attempt has turned out.
    pub fn record(
        &mut self,
        now: Ms,
        sign: AttemptSignal,
        source: SignalSource,
        draws: (f64, f64),
        set: &Settings,
        routers: usize,
    ) -> SiteChange {
        let probe = source == SignalSource::Probe;
        let before = self.traffic_share(now);
        if probe {
            self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        }
        let weight = if probe { PROBE_ANSWER_WEIGHT } else { 1.0 };
        let mut missed = true;
        match sign {
            AttemptSignal::Answered { latency, took, in_time } => {
                self.latency.record(latency, weight);
                let off = (latency - took).clamp(0.0, latency) - self.network_delay;
                self.network_delay += NETWORK_DELAY_GAIN * off;
                self.network_delay_deviation +=
                    NETWORK_DELAY_GAIN * (off.abs() - self.network_delay_deviation);
                self.set_failure_probability(now, MIN_FAILURE_PROBABILITY);
                self.base_failure_rate = (self.base_failure_rate
                    - self.base_failure_rate / BASE_RATE_WINDOW_ATTEMPTS)
                    .max(BASE_RATE_RANGE.0);
                self.last_answer = Some(now);
                self.answered = self.answered.saturating_add(1);
                missed = !in_time;
                if in_time {
                    self.ramp_up(now, draws.0, probe, set);
                }
            }
            AttemptSignal::Silent(after) => {
                let tail = (1.0 - self.latency.probability_within(after)).max(MIN_LATE_PROBABILITY);
                let lost = self.local_failure_probability(now, set);
                let weighed = lost / (lost + (1.0 - lost) * tail);
                self.latency.record_timeout(after, 1.0 - weighed);
                self.set_failure_probability(now, weighed);
                // Of a silence that was to be expected nobody learns that the site is lost.
                missed = tail < 0.5;
                if missed {
                    self.base_failure_rate = (self.base_failure_rate
                        + (weighed - self.base_failure_rate) / BASE_RATE_WINDOW_ATTEMPTS)
                        .clamp(BASE_RATE_RANGE.0, BASE_RATE_RANGE.1);
                }
            }
            AttemptSignal::Failed => self.multiply_failure_odds(now, FAILED_ODDS_FACTOR, set),
            AttemptSignal::Unreachable => self.multiply_failure_odds(now, UNREACHABLE_ODDS_FACTOR, set),
            AttemptSignal::Rejected(time) => {
                self.retry_after_until = now + time.clamp(0.0, set.come_back_most);
                missed = false;
            }
        }
        if missed {
            self.missed = self.missed.saturating_add(1);
            if !probe && before > 0.0 && before < 1.0 {
                self.restart_ramp(now, before / 2.0, draws.0, set);
                if self.share_at_ramp_start < set.portion / 2.0 {
                    self.exclude(now, set, routers, draws.1);
                }
            }
        }
        self.exclude_if_failed(now, set, routers, draws.1);
        match self.share_at_ramp_start <= 0.0 {
            out if out != (before <= 0.0) => SiteChange::InclusionChanged,
            out if (out && missed) || (before < 1.0 && self.share_at_ramp_start >= 1.0) => {
                SiteChange::Noteworthy
            }
            _ => SiteChange::None,
        }
    }

    /// Another router's word. False if a later one of it is known.
    pub fn observe_peer(&mut self, now: Ms, from: RouterId, word: &Evidence, set: &Settings) -> bool {
        let tried = f64::from(word.missed) + f64::from(word.answered);
        let at = now - word.age;
        if self.peer_observations.iter().any(|w| w.from == from && w.observed_at > at) {
            return false;
        }
        self.peer_observations.retain(|w| w.from != from && now - w.observed_at < set.hearsay);
        if self.peer_observations.len() >= MAX_PEER_OBSERVATIONS {
            let oldest = (0..self.peer_observations.len()).min_by(|a, b| {
                self.peer_observations[*a].observed_at.total_cmp(&self.peer_observations[*b].observed_at)
            });
            oldest.into_iter().for_each(|i| drop(self.peer_observations.remove(i)));
        }
        let lean = (f64::from(word.missed) - f64::from(word.answered)) / tried
            * (tried / FULL_EVIDENCE_ATTEMPTS).min(1.0);
        self.peer_observations.push(PeerObservation { from, failure_evidence: lean, observed_at: at });
        true
    }

    /// The probability that it is lost, by what was seen here.
    fn local_failure_probability(&self, now: Ms, set: &Settings) -> f64 {
        let left = (-(now - self.estimated_at).max(0.0) / set.fade).exp();
        self.base_failure_rate + (self.estimated_failure - self.base_failure_rate) * left
    }

    fn set_failure_probability(&mut self, now: Ms, lost: f64) {
        (self.estimated_failure, self.estimated_at) =
            (lost.clamp(MIN_FAILURE_PROBABILITY, MAX_FAILURE_PROBABILITY), now);
    }

    fn multiply_failure_odds(&mut self, now: Ms, by: f64, set: &Settings) {
        let lost = self.local_failure_probability(now, set);
        self.set_failure_probability(now, lost * by / (lost * by + 1.0 - lost));
        self.base_failure_rate = (self.base_failure_rate
            + (self.estimated_failure - self.base_failure_rate) / BASE_RATE_WINDOW_ATTEMPTS)
            .clamp(BASE_RATE_RANGE.0, BASE_RATE_RANGE.1);
    }

    /// The probability that it is lost, by all that is known.
    pub fn failure_probability(&self, now: Ms, set: &Settings) -> f64 {
        let own = self.local_failure_probability(now, set);
        // What was heard before its last answer here is void.
        let lean = |w: &PeerObservation| {
            w.failure_evidence * (1.0 - (now - w.observed_at) / set.hearsay).max(0.0) * PEER_LOG_ODDS
        };
        let newer =
            self.peer_observations.iter().filter(|w| self.last_answer.is_none_or(|t| t < w.observed_at));
        let words: f64 = newer.map(lean).sum();
        let odds = own / (1.0 - own) * words.clamp(-MAX_PEERS_LOG_ODDS, MAX_PEERS_LOG_ODDS).exp();
        let all = (odds / (1.0 + odds)).clamp(MIN_FAILURE_PROBABILITY, MAX_FAILURE_PROBABILITY);
        match self.last_answer.is_some_and(|t| now - t < set.seen) {
            true => all.min(own.max(set.leave_out * 0.9)),
            false => all,
        }
    }

    pub fn probe_is_due(&self, now: Ms) -> bool {
        now >= self.next_probe
            && self.probes_in_flight < MAX_PROBES_IN_FLIGHT
            && now >= self.retry_after_until
    }

    /// Leaves it out if it seems lost.
    fn exclude_if_failed(&mut self, now: Ms, set: &Settings, routers: usize, jitter: f64) {
        if self.share_at_ramp_start > 0.0 && self.failure_probability(now, set) > set.leave_out {
            self.exclude(now, set, routers, jitter);
        }
    }

    fn exclude(&mut self, now: Ms, set: &Settings, routers: usize, jitter: f64) {
        self.share_at_ramp_start = 0.0;
        self.probe_backoff = set.probe_every;
        self.next_probe = now + fleet_probe_interval(set, routers) * (0.5 + jitter);
    }

    /// The share of its parts that it gets: it doubles with time, but only so far without another answer.
    pub fn traffic_share(&self, now: Ms) -> f64 {
        let steps = ((now - self.ramp_started) / self.ramp_step).clamp(0.0, MAX_UNCONFIRMED_DOUBLINGS);
        (self.share_at_ramp_start * steps.exp2()).min(1.0)
    }

    /// It answered in time: its share grows on, in a time of each router's own.
    fn ramp_up(&mut self, now: Ms, draw: f64, probe: bool, set: &Settings) {
        self.probe_backoff = set.probe_every;
        let share = self.traffic_share(now);
        if share > 0.0 {
            self.restart_ramp(now, share, draw, set);
        } else if probe {
            self.restart_ramp(now, set.portion, draw, set);
        }
    }

    fn restart_ramp(&mut self, now: Ms, share: f64, draw: f64, set: &Settings) {
        (self.share_at_ramp_start, self.ramp_started) = (share, now);
        self.ramp_step = set.portion_step * (1.0 + draw);
    }
}
