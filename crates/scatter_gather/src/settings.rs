//! What may be set, with units.

use basaltgw_types::Ms;
use serde::{Deserialize, Serialize};

/// Bounds and prices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Gathers open at once.
    pub open: usize,
    /// Parts of a gather.
    pub parts: usize,
    /// Sites that are measured; beyond them the one unused for longest is forgotten.
    pub sites: usize,
    /// Attempts for a part, probes not counted.
    pub tries: usize,
    /// What a site is taken to need before it was measured, in milliseconds.
    pub usual: Ms,
    /// Time kept back from every deadline for the caller's own delays, in milliseconds.
    pub slack: Ms,
    /// The least time between two looks at a gather that nothing happened to, in milliseconds.
    pub tick: Ms,
    /// The share of its worth that an answer loses by a wait as long as the aim, although the class pays the same: so that nobody waits for
    /// next to nothing. 0 to 1.
    pub haste: f64,
    /// What turning a client away at once is worth, as a share of the gather's worth: it comes back in time. 0 to 1.
    pub turn_away: f64,
    /// Second copies, as a share of first attempts. 0 to 1.
    pub second_share: f64,
    /// What a second copy must bring, as a share of its part's worth. 0 to 1.
    pub second_price: f64,
    /// A site that is lost with a higher probability than this is left out. 0 to 1, both excluded.
    pub leave_out: f64,
    /// A site is asked first only if its answer comes within the aim with at least this probability. 0 to 1.
    pub least_hope: f64,
    /// In what time what is known of a lost or found site fades to how it usually is, in milliseconds.
    pub fade: Ms,
    /// A site that answered here within this time is not left out on others' word alone, in milliseconds.
    pub seen: Ms,
    /// Time between two probes of a site that seems lost, at first, in milliseconds; each makes it twice as long, until one is answered.
    pub probe_every: Ms,
    /// The longest time between two, in milliseconds.
    pub probe_most: Ms,
    /// How long a probe is waited for, in milliseconds.
    pub probe_wait: Ms,
    /// Time between two probes of a site by all routers of the fleet together, in milliseconds.
    pub probe_fleet: Ms,
    /// The share of its parts that a site gets once it answers again. Above 0, at most 1.
    pub portion: f64,
    /// The least time until that share about doubles, in milliseconds; drawn anew for each step, up to twice as long.
    pub portion_step: Ms,
    /// Words on a site older than this are not heeded, in milliseconds.
    pub hearsay: Ms,
    /// The least time between two words on a site to others, in milliseconds.
    pub tell_every: Ms,
    /// The longest time to come back that is named, in milliseconds.
    pub come_back_most: Ms,
}

/// A setting that can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("gather.{field}: expected {expected}, found {found}")]
pub struct BadSetting {
    /// Which.
    pub field: &'static str,
    /// What it may be.
    pub expected: &'static str,
    /// As it came.
    pub found: f64,
}

/// The longest time that may be set or asked, in milliseconds: an hour; beyond it nobody waits.
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
    /// Checks them once, where they are read.
    ///
    /// # Errors
    /// For the first that is out of its range, with its name and range.
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
