//! Limits, intervals and retentions, with their units in their names; checked once, when the registers are opened.

/// The settings of the registers. Spans are measured on each replica's own monotonic clock; safety depends on none of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The most open requests, those of expiry and replica synchronisation included.
    pub max_open_requests: usize,
    /// The most registers stored by this replica.
    pub max_registers: usize,
    /// The most estimated memory of the registers stored by this replica.
    pub max_bytes: usize,
    /// The longest response body stored with an outcome; a longer one is omitted.
    pub max_outcome_bytes: usize,
    /// The longest message; longer ones are neither sent nor read.
    pub max_message_bytes: usize,
    /// The most replies that wait for the disk; above that, the replica rejects requests.
    pub max_pending_replies: usize,
    /// The most registers whose next change skips the prepare phase; the oldest are evicted. 0 disables this.
    pub max_prepared: usize,
    /// The interval after which messages without a reply are sent again.
    pub retransmit_interval_ms: f64,
    /// Base of the exponential backoff after contention; the first contention is retried at once. Jitter multiplies
    /// each backoff by 0.5 to 1.
    pub min_backoff_ms: f64,
    /// The most rounds of one request.
    pub max_attempts: u32,
    /// The least Retry-After.
    pub min_retry_after_ms: f64,
    /// The greatest Retry-After.
    pub max_retry_after_ms: f64,
    /// The retention of executions; at least the time in which a client may retry with the same idempotency key.
    pub execution_retention_ms: f64,
    /// The retention of purges; at least the time in which a purge converges.
    pub purge_retention_ms: f64,
    /// The retention of tickets.
    pub ticket_retention_ms: f64,
    /// The retention of continuations.
    pub continuation_retention_ms: f64,
    /// The retention of tombstones; longer than a message may be delayed.
    pub tombstone_retention_ms: f64,
    /// How much longer than the one before it each further replica of a group waits before it expires a record.
    pub expiry_stagger_ms: f64,
    /// The interval of the expiry scan.
    pub expiry_interval_ms: f64,
    /// The most records that one scan expires or removes.
    pub expiry_batch: usize,
    /// The most registers that a replica synchronises at the same time.
    pub sync_batch: usize,
    /// The pause between two steps of the synchronisation.
    pub sync_pause_ms: f64,
}

/// A setting that is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("register setting {field}: expected {expected}, found {found}")]
pub struct InvalidSetting {
    /// The setting's name.
    pub field: &'static str,
    /// The range.
    pub expected: &'static str,
    /// The value.
    pub found: f64,
}

impl Settings {
    /// The settings for some hundreds of routers, with rounds of a few milliseconds.
    pub fn standard() -> Self {
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

    /// Checks the ranges.
    ///
    /// # Errors
    /// The first setting that is out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let counts = [
            ("max_open_requests", self.max_open_requests),
            ("max_registers", self.max_registers),
            ("max_bytes", self.max_bytes),
            ("max_message_bytes", self.max_message_bytes),
            ("max_pending_replies", self.max_pending_replies),
            ("max_attempts", self.max_attempts as usize),
            ("expiry_batch", self.expiry_batch),
            ("sync_batch", self.sync_batch),
        ];
        if let Some((field, found)) = counts.into_iter().find(|c| c.1 == 0) {
            return Err(InvalidSetting { field, expected: "at least 1", found: found as f64 });
        }
        let spans = [
            ("retransmit_interval_ms", self.retransmit_interval_ms),
            ("min_backoff_ms", self.min_backoff_ms),
            ("min_retry_after_ms", self.min_retry_after_ms),
            ("execution_retention_ms", self.execution_retention_ms),
            ("purge_retention_ms", self.purge_retention_ms),
            ("ticket_retention_ms", self.ticket_retention_ms),
            ("continuation_retention_ms", self.continuation_retention_ms),
            ("tombstone_retention_ms", self.tombstone_retention_ms),
            ("expiry_stagger_ms", self.expiry_stagger_ms),
            ("expiry_interval_ms", self.expiry_interval_ms),
            ("sync_pause_ms", self.sync_pause_ms),
        ];
        if let Some((field, found)) = spans.into_iter().find(|s| !(s.1.is_finite() && s.1 > 0.0)) {
            return Err(InvalidSetting { field, expected: "a finite number of milliseconds above 0", found });
        }
        let (least, most) = (self.min_retry_after_ms, self.max_retry_after_ms);
        if !(most.is_finite() && most >= least) {
            let expected = "a finite number of milliseconds, no less than min_retry_after_ms";
            return Err(InvalidSetting { field: "max_retry_after_ms", expected, found: most });
        }
        Ok(())
    }
}
