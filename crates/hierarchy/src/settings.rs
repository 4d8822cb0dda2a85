//! What may be set, with units.

use crate::Ms;

/// The figures of the rule on nodes that have just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Least share of its capacity with which a node starts, 0 to 1.
    pub share: f64,
    /// Longest time until it is warm.
    pub span: Ms,
}

/// How a reshape goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Versions that routers and caches may be behind: so many steps stay in every mixture that is checked. 1 or more.
    pub behind: usize,
    /// Answers that a step of a newcomer's or leaver's share needs.
    pub proofs: u32,
    /// Refusals and failures in a step that take it back.
    pub setbacks: u32,
    /// The rest after a step taken back.
    pub rest: Ms,
    /// A step in which all that was asked was answered, however little, ends after this. Longer than requests wait, so that what
    /// hangs is known by then.
    pub idle: Ms,
    /// A leaver is gone when nothing was asked of it for so long.
    pub quiet: Ms,
    /// Loops that set a pair aside until the plan changes.
    pub loops: u32,
    /// For nodes that have just started.
    pub cold: Cold,
    /// How long a cache asks an object's homes of versions before: longer than anyone is behind, and as long as what they hold is
    /// worth a question.
    pub handover: Ms,
    /// Fills under way at a node.
    pub fills: usize,
    /// That wait for one of them.
    pub waiters: usize,
    /// How long a failed fill is told to those who come.
    pub failed: Ms,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            behind: 2,
            proofs: 8,
            setbacks: 4,
            rest: 1_000.0,
            idle: 5_000.0,
            quiet: 2_000.0,
            loops: 2,
            cold: Cold { share: 0.1, span: 20_000.0 },
            handover: 120_000.0,
            fills: 4_096,
            waiters: 256,
            failed: 250.0,
        }
    }
}

impl Settings {
    /// The name of a setting that can't be used, and what is expected.
    pub fn fault(&self) -> Option<(&'static str, &'static str)> {
        let time = |t: Ms| t.is_finite() && (0.0..=86_400_000.0).contains(&t);
        let checks = [
            ("behind", (1..=8).contains(&self.behind), "1 to 8"),
            ("proofs", (1..=10_000).contains(&self.proofs), "1 to 10,000"),
            ("setbacks", (1..=10_000).contains(&self.setbacks), "1 to 10,000"),
            ("rest", time(self.rest), "0 to 86,400,000 ms"),
            ("idle", time(self.idle), "0 to 86,400,000 ms"),
            ("quiet", time(self.quiet), "0 to 86,400,000 ms"),
            ("loops", (1..=1_000).contains(&self.loops), "1 to 1,000"),
            ("cold.share", self.cold.share > 0.0 && self.cold.share <= 1.0, "above 0, at most 1"),
            ("cold.span", time(self.cold.span), "0 to 86,400,000 ms"),
            ("handover", time(self.handover), "0 to 86,400,000 ms"),
            ("fills", (1..=1_000_000).contains(&self.fills), "1 to 1,000,000"),
            ("waiters", (1..=100_000).contains(&self.waiters), "1 to 100,000"),
            ("failed", time(self.failed), "0 to 86,400,000 ms"),
        ];
        checks.into_iter().find(|(_, good, _)| !good).map(|(name, _, expected)| (name, expected))
    }
}
