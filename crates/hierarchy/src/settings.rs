//! Settings of topology changes and of fills, with their units and bounds.

use crate::Ms;

/// Slow start of a node that was started a short time ago.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that a node may use at its start, 0 to 1.
    pub initial_share: f64,
    /// Time until a node may use its whole capacity.
    pub ramp_duration: Ms,
}

/// Settings of topology changes and of fills. Durations are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Versions by which routers and caches may be behind, 1 or more: every checked mixture contains so many earlier steps.
    pub max_versions_behind: usize,
    /// Successful fills that complete a step of a newcomer's or leaver's share.
    pub successes_per_step: u32,
    /// Rejections and failures within a step after which the step is undone.
    pub failures_to_step_back: u32,
    /// Pause after a step was undone.
    pub step_back_pause: Ms,
    /// A step without a failure is complete after this time, however few its successes. Longer than a request waits, so that a
    /// source that does not respond is known by then.
    pub idle_step_duration: Ms,
    /// A leaver is removed once no request has named it for this long.
    pub quiet_period: Ms,
    /// Loops after which a pair of requester and source is disabled until the plan changes.
    pub loops_to_disable_pair: u32,
    /// Slow start of newcomers.
    pub slow_start: SlowStart,
    /// How long a cache requests an object from its home in earlier versions: longer than any node is behind, and only while
    /// the old home is likely to have a copy still.
    pub handover_duration: Ms,
    /// Maximum number of fills in progress at a node.
    pub max_fills: usize,
    /// Maximum number of requests that wait for one fill.
    pub max_waiters_per_fill: usize,
    /// How long later requests are answered with the failure of a fill.
    pub failed_fill_ttl: Ms,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_versions_behind: 2,
            successes_per_step: 8,
            failures_to_step_back: 4,
            step_back_pause: 1_000.0,
            idle_step_duration: 5_000.0,
            quiet_period: 2_000.0,
            loops_to_disable_pair: 2,
            slow_start: SlowStart { initial_share: 0.1, ramp_duration: 20_000.0 },
            handover_duration: 120_000.0,
            max_fills: 4_096,
            max_waiters_per_fill: 256,
            failed_fill_ttl: 250.0,
        }
    }
}

impl Settings {
    /// The key of the first setting that is out of bounds, as the settings file names it, and the expected range.
    pub fn out_of_bounds(&self) -> Option<(&'static str, &'static str)> {
        let duration = |t: Ms| t.is_finite() && (0.0..=86_400_000.0).contains(&t);
        let slow_start = &self.slow_start;
        let initial_share = slow_start.initial_share;
        let checks = [
            ("behind", (1..=8).contains(&self.max_versions_behind), "1 to 8"),
            ("proofs", (1..=10_000).contains(&self.successes_per_step), "1 to 10,000"),
            ("setbacks", (1..=10_000).contains(&self.failures_to_step_back), "1 to 10,000"),
            ("rest", duration(self.step_back_pause), "0 to 86,400,000 ms"),
            ("idle", duration(self.idle_step_duration), "0 to 86,400,000 ms"),
            ("quiet", duration(self.quiet_period), "0 to 86,400,000 ms"),
            ("loops", (1..=1_000).contains(&self.loops_to_disable_pair), "1 to 1,000"),
            ("cold.share", initial_share > 0.0 && initial_share <= 1.0, "above 0, at most 1"),
            ("cold.span", duration(slow_start.ramp_duration), "0 to 86,400,000 ms"),
            ("handover", duration(self.handover_duration), "0 to 86,400,000 ms"),
            ("fills", (1..=1_000_000).contains(&self.max_fills), "1 to 1,000,000"),
            ("waiters", (1..=100_000).contains(&self.max_waiters_per_fill), "1 to 100,000"),
            ("failed", duration(self.failed_fill_ttl), "0 to 86,400,000 ms"),
        ];
        checks.into_iter().find(|(_, in_bounds, _)| !in_bounds).map(|(key, _, expected)| (key, expected))
    }
}
