//! Bounds, paces and spans, with their units in their names; checked once, where they are read.

/// What the holds go by. Spans are counted on each keeper's own clock; safety rests on none of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Questions open at once, the own upkeep's included.
    pub most_asks: usize,
    /// Registers kept here.
    pub most_registers: usize,
    /// Bytes of registers kept here, by estimate.
    pub most_bytes: usize,
    /// The longest outcome kept with an effect, in bytes; a longer one is kept as served, untold.
    pub most_outcome_bytes: usize,
    /// The longest message, in bytes: longer ones are neither sent nor read.
    pub most_message_bytes: usize,
    /// Answers that may wait for the disk at once; beyond, keepers refuse.
    pub most_waiting: usize,
    /// Holds whose next change needs one round only, because the last one prepared it; the oldest are forgotten.
    pub most_primed: usize,
    /// Silence after which a word is said again, in milliseconds.
    pub again_ms: f64,
    /// The least wait after others were quicker; doubled with each try and drawn between half and whole.
    pub back_off_ms: f64,
    /// Rounds for one question.
    pub most_tries: u32,
    /// The least time to come back that a refusal names.
    pub stay_away_least_ms: f64,
    /// The longest.
    pub stay_away_most_ms: f64,
    /// How long effects are kept: no shorter than the time in which a client may ask again by the same key.
    pub effect_keep_ms: f64,
    /// How long a purge is kept: no shorter than it takes to settle everywhere.
    pub purge_keep_ms: f64,
    /// How long a ticket is good.
    pub ticket_keep_ms: f64,
    /// How long a debt is owed.
    pub debt_keep_ms: f64,
    /// How long what has ended is remembered as such, for late words.
    pub late_ms: f64,
    /// How much longer than the one before it each further keeper of a group waits before it ends a hold.
    pub stagger_ms: f64,
    /// Between two looks at what has ended.
    pub sweep_ms: f64,
    /// The most that is ended, or dropped, at one look.
    pub sweep_portion: usize,
    /// Holds that a new keeper asks for at once.
    pub fill_portion: usize,
    /// Its rest between two portions.
    pub fill_pause_ms: f64,
}

/// A setting that can't be.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("fleet.holds.{field}: expected {expected}, found {found}")]
pub struct BadSettings {
    /// The field.
    pub field: &'static str,
    /// What it may be.
    pub expected: &'static str,
    /// What it is.
    pub found: f64,
}

impl Settings {
    /// Fit for some hundred routers: a round takes a few milliseconds, a promise tens of thousands of registers' room.
    pub fn usual() -> Self {
        Self {
            most_asks: 4_096,
            most_registers: 200_000,
            most_bytes: 256 << 20,
            most_outcome_bytes: 16 << 10,
            most_message_bytes: 1 << 20,
            most_waiting: 4_096,
            most_primed: 4_096,
            again_ms: 100.0,
            back_off_ms: 8.0,
            most_tries: 8,
            stay_away_least_ms: 100.0,
            stay_away_most_ms: 5_000.0,
            effect_keep_ms: 600_000.0,
            purge_keep_ms: 600_000.0,
            ticket_keep_ms: 120_000.0,
            debt_keep_ms: 120_000.0,
            late_ms: 60_000.0,
            stagger_ms: 2_000.0,
            sweep_ms: 500.0,
            sweep_portion: 256,
            fill_portion: 64,
            fill_pause_ms: 10.0,
        }
    }

    /// Checks them.
    ///
    /// # Errors
    /// The first field that can't be.
    pub fn check(&self) -> Result<(), BadSettings> {
        let counts = [
            ("most_asks", self.most_asks),
            ("most_registers", self.most_registers),
            ("most_bytes", self.most_bytes),
            ("most_message_bytes", self.most_message_bytes),
            ("most_waiting", self.most_waiting),
            ("most_tries", self.most_tries as usize),
            ("sweep_portion", self.sweep_portion),
            ("fill_portion", self.fill_portion),
        ];
        if let Some((field, found)) = counts.into_iter().find(|c| c.1 == 0) {
            return Err(BadSettings { field, expected: "at least 1", found: found as f64 });
        }
        let spans = [
            ("again_ms", self.again_ms),
            ("back_off_ms", self.back_off_ms),
            ("stay_away_least_ms", self.stay_away_least_ms),
            ("effect_keep_ms", self.effect_keep_ms),
            ("purge_keep_ms", self.purge_keep_ms),
            ("ticket_keep_ms", self.ticket_keep_ms),
            ("debt_keep_ms", self.debt_keep_ms),
            ("late_ms", self.late_ms),
            ("stagger_ms", self.stagger_ms),
            ("sweep_ms", self.sweep_ms),
            ("fill_pause_ms", self.fill_pause_ms),
        ];
        if let Some((field, found)) = spans.into_iter().find(|s| !(s.1.is_finite() && s.1 > 0.0)) {
            return Err(BadSettings { field, expected: "a finite number of milliseconds above 0", found });
        }
        let (least, most) = (self.stay_away_least_ms, self.stay_away_most_ms);
        if !(most.is_finite() && most >= least) {
            let expected = "a finite number of milliseconds, no less than stay_away_least_ms";
            return Err(BadSettings { field: "stay_away_most_ms", expected, found: most });
        }
        Ok(())
    }
}
