//! Settings with units, ranges and defaults; the field names are keys of the configuration.

use basaltgw_types::Ms;
use serde::{Deserialize, Serialize};

/// Bounds and prices of the decisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of pending requests.
    pub open: usize,
    /// Maximum number of parts of a request.
    pub parts: usize,
    /// Maximum number of measured sites; the least recently used one is evicted.
    pub sites: usize,
    /// Maximum number of attempts for a part, probes excluded.
    pub tries: usize,
    /// Assumed latency of a site that is not measured yet, in milliseconds.
    pub usual: Ms,
    /// Time reserved from every deadline for the caller's own delays, in milliseconds.
    pub slack: Ms,
    /// Minimum time between two evaluations of a request without events, in milliseconds.
    pub tick: Ms,
    /// Share of its value that an answer loses by a wait up to the latency objective, so that no request waits for a
    /// negligible gain. 0 to 1.
    pub haste: f64,
    /// Value of an immediate rejection, as a share of the request's total weight: the client can retry in time. 0 to 1.
    pub turn_away: f64,
    /// Hedging budget, as a share of first attempts. 0 to 1.
    pub second_share: f64,
    /// Minimum gain of a hedged sub-request, as a share of its part's weight. 0 to 1.
    pub second_price: f64,
    /// Failure probability above which a site is excluded. Between 0 and 1, both excluded.
    pub leave_out: f64,
    /// Minimum probability of an answer within the latency objective for a first attempt. 0 to 1.
    pub least_hope: f64,
    /// Time constant at which a site's failure probability decays to its base rate, in milliseconds.
    pub fade: Ms,
    /// A site that answered here within this time is not excluded by peer evidence alone, in milliseconds.
    pub seen: Ms,
    /// Initial interval between probes of an excluded site, in milliseconds; it doubles until a probe is answered.
    pub probe_every: Ms,
    /// Maximum interval between probes, in milliseconds.
    pub probe_most: Ms,
    /// Timeout of a probe, in milliseconds.
    pub probe_wait: Ms,
    /// Minimum interval between probes of a site by the whole fleet, in milliseconds.
    pub probe_fleet: Ms,
    /// Initial share of its parts that a recovered site receives. Above 0, at most 1.
    pub portion: f64,
    /// Minimum time until that share doubles, in milliseconds; each step is lengthened at random, up to twice this.
    pub portion_step: Ms,
    /// Maximum age of peer evidence, in milliseconds.
    pub hearsay: Ms,
    /// Minimum interval between publications of evidence on a site, in milliseconds.
    pub tell_every: Ms,
    /// Maximum `Retry-After`, in milliseconds.
    pub come_back_most: Ms,
}

/// A setting that is out of its range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("gather.{field}: expected {expected}, found {found}")]
pub struct BadSetting {
    /// Name of the field.
    pub field: &'static str,
    /// Its range.
    pub expected: &'static str,
    /// The value found.
    pub found: f64,
}

/// The longest time in settings and requests, in milliseconds: one hour.
pub(crate) const MOST_MS: Ms = 3_600_000.0;

impl Default for Settings {
    fn default() -> Self {
        Self {
            open: 4_096,
            parts: 64,
            sites: 1_024,
            tries: 3,
            usual: 30.0,
            slack: 1.0,
            tick: 2.0,
            haste: 0.05,
            turn_away: 0.02,
            second_share: 0.05,
            second_price: 0.05,
            leave_out: 0.5,
            least_hope: 0.1,
            fade: 10_000.0,
            seen: 250.0,
            probe_every: 150.0,
            probe_most: 4_000.0,
            probe_wait: 2_000.0,
            probe_fleet: 1.0,
            portion: 0.125,
            portion_step: 100.0,
            hearsay: 10_000.0,
            tell_every: 250.0,
            come_back_most: 30_000.0,
        }
    }
}

impl Settings {
    /// Checks that all settings are in their ranges.
    ///
    /// # Errors
    /// [`BadSetting`] for the first one that is not.
    pub fn check(&self) -> Result<(), BadSetting> {
        let count = |n: usize, most: usize| (n as f64, (1..=most).contains(&n));
        let span = |t: Ms| (t, (0.0..=MOST_MS).contains(&t));
        let above = |t: Ms| (t, (0.1..=MOST_MS).contains(&t));
        let share = |s: f64| (s, (0.0..=1.0).contains(&s));
        let inner = |s: f64| (s, s > 0.0 && s < 1.0);
        const SPAN: &str = "0 to 3,600,000 ms";
        const ABOVE: &str = "0.1 to 3,600,000 ms";
        const SHARE: &str = "0 to 1";
        let checks = [
            ("open", count(self.open, 1_000_000), "1 to 1,000,000"),
            ("parts", count(self.parts, 1_024), "1 to 1,024"),
            ("sites", count(self.sites, 100_000), "1 to 100,000"),
            ("tries", count(self.tries, 16), "1 to 16"),
            ("usual", above(self.usual), ABOVE),
            ("slack", span(self.slack), SPAN),
            ("tick", above(self.tick), ABOVE),
            ("haste", share(self.haste), SHARE),
            ("turn_away", share(self.turn_away), SHARE),
            ("second_share", share(self.second_share), SHARE),
            ("second_price", share(self.second_price), SHARE),
            ("leave_out", inner(self.leave_out), "above 0, below 1"),
            ("least_hope", share(self.least_hope), SHARE),
            ("fade", above(self.fade), ABOVE),
            ("seen", span(self.seen), SPAN),
            ("probe_every", above(self.probe_every), ABOVE),
            ("probe_most", above(self.probe_most), ABOVE),
            ("probe_wait", above(self.probe_wait), ABOVE),
            ("probe_fleet", span(self.probe_fleet), SPAN),
            ("portion", (self.portion, self.portion > 0.0 && self.portion <= 1.0), "above 0, at most 1"),
            ("portion_step", above(self.portion_step), ABOVE),
            ("hearsay", above(self.hearsay), ABOVE),
            ("tell_every", span(self.tell_every), SPAN),
            ("come_back_most", above(self.come_back_most), ABOVE),
        ];
        let bad = checks.into_iter().find(|(_, (_, good), _)| !good);
        bad.map_or(Ok(()), |(field, (found, _), expected)| Err(BadSetting { field, expected, found }))
    }
}
