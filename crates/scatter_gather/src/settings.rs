//! Settings with units, ranges and defaults. The serialized names are the keys of the configuration.

use basaltgw_types::Ms;
use serde::{Deserialize, Serialize};

/// Bounds and prices of the decisions on sub-requests and answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of pending requests.
    #[serde(rename = "open")]
    pub max_pending_requests: usize,
    /// Maximum number of parts of a request.
    #[serde(rename = "parts")]
    pub max_parts: usize,
    /// Maximum number of measured sites; the least recently used one is evicted.
    #[serde(rename = "sites")]
    pub max_sites: usize,
    /// Maximum number of attempts for a part, probes excluded.
    #[serde(rename = "tries")]
    pub max_attempts: usize,
    /// Assumed latency of a site that is not measured yet, in milliseconds.
    #[serde(rename = "usual")]
    pub default_latency_ms: Ms,
    /// Time reserved from every deadline for the caller's own delays, in milliseconds.
    #[serde(rename = "slack")]
    pub reserved_time_ms: Ms,
    /// Minimum time between two evaluations of a request without events, in milliseconds.
    #[serde(rename = "tick")]
    pub min_evaluation_interval_ms: Ms,
    /// Share of its value that an answer loses by a wait up to the latency objective, so that no request waits for a
    /// negligible gain. 0 to 1.
    #[serde(rename = "haste")]
    pub wait_discount: f64,
    /// Value of an immediate rejection, as a share of the request's total weight: the client can retry in time. 0 to 1.
    #[serde(rename = "turn_away")]
    pub rejection_value: f64,
    /// Hedging budget, as a share of first attempts. 0 to 1.
    #[serde(rename = "second_share")]
    pub hedge_budget_share: f64,
    /// Minimum gain of a hedged sub-request, as a share of its part's weight. 0 to 1.
    #[serde(rename = "second_price")]
    pub min_hedge_gain: f64,
    /// Failure probability above which a site is excluded. Between 0 and 1, both excluded.
    #[serde(rename = "leave_out")]
    pub exclusion_threshold: f64,
    /// Minimum probability of an answer within the latency objective for a first attempt. 0 to 1.
    #[serde(rename = "least_hope")]
    pub min_success_probability: f64,
    /// Time constant at which a site's failure probability decays to its base rate, in milliseconds.
    #[serde(rename = "fade")]
    pub failure_decay_ms: Ms,
    /// A site that answered here within this time is not excluded by peer evidence alone, in milliseconds.
    #[serde(rename = "seen")]
    pub recent_answer_window_ms: Ms,
    /// Initial interval between probes of an excluded site, in milliseconds; it doubles until a probe is answered.
    #[serde(rename = "probe_every")]
    pub initial_probe_interval_ms: Ms,
    /// Maximum interval between probes, in milliseconds.
    #[serde(rename = "probe_most")]
    pub max_probe_interval_ms: Ms,
    /// Timeout of a probe, in milliseconds.
    #[serde(rename = "probe_wait")]
    pub probe_timeout_ms: Ms,
    /// Minimum interval between probes of a site by the whole fleet, in milliseconds.
    #[serde(rename = "probe_fleet")]
    pub fleet_probe_interval_ms: Ms,
    /// Share of a recovered site's parts that it receives at first. Above 0, at most 1.
    #[serde(rename = "portion")]
    pub initial_ramp_share: f64,
    /// Minimum time until a recovered site's share doubles, in milliseconds; each step is lengthened at random, up
    /// to twice this.
    #[serde(rename = "portion_step")]
    pub ramp_step_ms: Ms,
    /// Maximum age of peer evidence, in milliseconds.
    #[serde(rename = "hearsay")]
    pub max_evidence_age_ms: Ms,
    /// Minimum interval between publications of evidence on a site, in milliseconds.
    #[serde(rename = "tell_every")]
    pub min_publish_interval_ms: Ms,
    /// Maximum `Retry-After`, in milliseconds.
    #[serde(rename = "come_back_most")]
    pub max_retry_after_ms: Ms,
}

/// A setting that is out of its range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("gather.{field}: expected {expected}, found {found}")]
pub struct InvalidSetting {
    /// The setting's key in the configuration.
    pub field: &'static str,
    /// The setting's range.
    pub expected: &'static str,
    /// The setting's value.
    pub found: f64,
}

/// The longest time in settings and requests, in milliseconds: one hour.
pub(crate) const MAX_TIME_MS: Ms = 3_600_000.0;

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_pending_requests: 4_096,
            max_parts: 64,
            max_sites: 1_024,
            max_attempts: 3,
            default_latency_ms: 30.0,
            reserved_time_ms: 1.0,
            min_evaluation_interval_ms: 2.0,
            wait_discount: 0.05,
            rejection_value: 0.02,
            hedge_budget_share: 0.05,
            min_hedge_gain: 0.05,
            exclusion_threshold: 0.5,
            min_success_probability: 0.1,
            failure_decay_ms: 10_000.0,
            recent_answer_window_ms: 250.0,
            initial_probe_interval_ms: 150.0,
            max_probe_interval_ms: 4_000.0,
            probe_timeout_ms: 2_000.0,
            fleet_probe_interval_ms: 1.0,
            initial_ramp_share: 0.125,
            ramp_step_ms: 100.0,
            max_evidence_age_ms: 10_000.0,
            min_publish_interval_ms: 250.0,
            max_retry_after_ms: 30_000.0,
        }
    }
}

impl Settings {
    /// Checks that all settings are in their ranges.
    ///
    /// # Errors
    /// [`InvalidSetting`] for the first one that is not.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let count = |n: usize, max: usize| (n as f64, (1..=max).contains(&n));
        let time = |t: Ms| (t, (0.0..=MAX_TIME_MS).contains(&t));
        let positive_time = |t: Ms| (t, (0.1..=MAX_TIME_MS).contains(&t));
        let share = |s: f64| (s, (0.0..=1.0).contains(&s));
        let open_share = |s: f64| (s, s > 0.0 && s < 1.0);
        let positive_share = |s: f64| (s, s > 0.0 && s <= 1.0);
        const TIME: &str = "0 to 3,600,000 ms";
        const POSITIVE_TIME: &str = "0.1 to 3,600,000 ms";
        const SHARE: &str = "0 to 1";
        let checks = [
            ("open", count(self.max_pending_requests, 1_000_000), "1 to 1,000,000"),
            ("parts", count(self.max_parts, 1_024), "1 to 1,024"),
            ("sites", count(self.max_sites, 100_000), "1 to 100,000"),
            ("tries", count(self.max_attempts, 16), "1 to 16"),
            ("usual", positive_time(self.default_latency_ms), POSITIVE_TIME),
            ("slack", time(self.reserved_time_ms), TIME),
            ("tick", positive_time(self.min_evaluation_interval_ms), POSITIVE_TIME),
            ("haste", share(self.wait_discount), SHARE),
            ("turn_away", share(self.rejection_value), SHARE),
            ("second_share", share(self.hedge_budget_share), SHARE),
            ("second_price", share(self.min_hedge_gain), SHARE),
            ("leave_out", open_share(self.exclusion_threshold), "above 0, below 1"),
            ("least_hope", share(self.min_success_probability), SHARE),
            ("fade", positive_time(self.failure_decay_ms), POSITIVE_TIME),
            ("seen", time(self.recent_answer_window_ms), TIME),
            ("probe_every", positive_time(self.initial_probe_interval_ms), POSITIVE_TIME),
            ("probe_most", positive_time(self.max_probe_interval_ms), POSITIVE_TIME),
            ("probe_wait", positive_time(self.probe_timeout_ms), POSITIVE_TIME),
            ("probe_fleet", time(self.fleet_probe_interval_ms), TIME),
            ("portion", positive_share(self.initial_ramp_share), "above 0, at most 1"),
            ("portion_step", positive_time(self.ramp_step_ms), POSITIVE_TIME),
            ("hearsay", positive_time(self.max_evidence_age_ms), POSITIVE_TIME),
            ("tell_every", time(self.min_publish_interval_ms), TIME),
            ("come_back_most", positive_time(self.max_retry_after_ms), POSITIVE_TIME),
        ];
        let invalid = checks.into_iter().find(|(_, (_, valid), _)| !valid);
        invalid.map_or(Ok(()), |(field, (found, _), expected)| Err(InvalidSetting { field, expected, found }))
    }
}
