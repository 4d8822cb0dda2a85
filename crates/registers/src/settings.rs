//! Bounds, paces and spans, with their units in their names; checked once, where they are read.

/// What the holds go by. Spans are counted on each keeper's own clock; safety rests on none of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Questions open at once, the own upkeep's included.
    pub max_open_requests: usize,
    /// Registers kept here.
    pub max_registers: usize,
    /// Bytes of registers kept here, by estimate.
    pub max_bytes: usize,
    /// The longest outcome kept with an effect, in bytes; a longer one is kept as served, untold.
    pub max_outcome_bytes: usize,
    /// The longest message, in bytes: longer ones are neither sent nor read.
    pub max_message_bytes: usize,
    /// Answers that may wait for the disk at once; beyond, keepers refuse.
    pub max_pending_replies: usize,
    /// Holds whose next change needs one round only, because the last one prepared it; the oldest are forgotten.
    pub max_prepared: usize,
    /// Silence after which a word is said again, in milliseconds.
    pub retransmit_interval_ms: f64,
    /// The least wait after others were quicker; doubled with each try and drawn between half and whole.
    pub min_backoff_ms: f64,
    /// Rounds for one question.
    pub max_attempts: u32,
    /// The least time to come back that a refusal names.
    pub min_retry_after_ms: f64,
    /// The longest.
    pub max_retry_after_ms: f64,
    /// How long effects are kept: no shorter than the time in which a client may ask again by the same key.
    pub execution_retention_ms: f64,
    /// How long a purge is kept: no shorter than it takes to settle everywhere.
    pub purge_retention_ms: f64,
    /// How long a ticket is good.
    pub ticket_retention_ms: f64,
    /// How long a debt is owed.
    pub continuation_retention_ms: f64,
    /// How long what has ended is remembered as such, for late words.
    pub tombstone_retention_ms: f64,
    /// How much longer than the one before it each further keeper of a group waits before it ends a hold.
    pub expiry_stagger_ms: f64,
    /// Between two looks at what has ended.
    pub expiry_interval_ms: f64,
    /// The most that is ended, or dropped, at one look.
    pub expiry_batch: usize,
    /// Holds that a new keeper asks for at once.
    pub sync_batch: usize,
    /// Its rest between two portions.
    pub sync_pause_ms: f64,
}

/// A setting that can't be.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("fleet.holds.{field}: expected {expected}, found {found}")]
pub struct InvalidSetting {
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
            max_open_requests: 4_096,
            max_registers: 200_000,
            max_bytes: 256 << 20,
            max_outcome_bytes: 16 << 10,
            max_message_bytes: 1 << 20,
            max_pending_replies: 4_096,
            max_prepared: 4_096,
            retransmit_interval_ms: 100.0,
            min_backoff_ms: 8.0,
            max_attempts: 8,
            min_retry_after_ms: 100.0,
            max_retry_after_ms: 5_000.0,
            execution_retention_ms: 600_000.0,
            purge_retention_ms: 600_000.0,
            ticket_retention_ms: 120_000.0,
            continuation_retention_ms: 120_000.0,
            tombstone_retention_ms: 60_000.0,
            expiry_stagger_ms: 2_000.0,
            expiry_interval_ms: 500.0,
            expiry_batch: 256,
            sync_batch: 64,
            sync_pause_ms: 10.0,
        }
    }

    /// Checks them.
    ///
    /// # Errors
    /// The first field that can't be.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let counts = [
            ("most_asks", self.max_open_requests),
            ("most_registers", self.max_registers),
            ("most_bytes", self.max_bytes),
            ("most_message_bytes", self.max_message_bytes),
            ("most_waiting", self.max_pending_replies),
            ("most_tries", self.max_attempts as usize),
            ("sweep_portion", self.expiry_batch),
            ("fill_portion", self.sync_batch),
        ];
        if let Some((field, found)) = counts.into_iter().find(|c| c.1 == 0) {
            return Err(InvalidSetting { field, expected: "at least 1", found: found as f64 });
        }
        let spans = [
            ("again_ms", self.retransmit_interval_ms),
            ("back_off_ms", self.min_backoff_ms),
            ("stay_away_least_ms", self.min_retry_after_ms),
            ("effect_keep_ms", self.execution_retention_ms),
            ("purge_keep_ms", self.purge_retention_ms),
            ("ticket_keep_ms", self.ticket_retention_ms),
            ("debt_keep_ms", self.continuation_retention_ms),
            ("late_ms", self.tombstone_retention_ms),
            ("stagger_ms", self.expiry_stagger_ms),
            ("sweep_ms", self.expiry_interval_ms),
            ("fill_pause_ms", self.sync_pause_ms),
        ];
        if let Some((field, found)) = spans.into_iter().find(|s| !(s.1.is_finite() && s.1 > 0.0)) {
            return Err(InvalidSetting { field, expected: "a finite number of milliseconds above 0", found });
        }
        let (least, most) = (self.min_retry_after_ms, self.max_retry_after_ms);
        if !(most.is_finite() && most >= least) {
            let expected = "a finite number of milliseconds, no less than stay_away_least_ms";
            return Err(InvalidSetting { field: "stay_away_most_ms", expected, found: most });
        }
        Ok(())
    }
}
