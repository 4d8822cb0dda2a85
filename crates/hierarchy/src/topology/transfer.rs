//! The transfer of objects to a newcomer or from a leaver: its share changes in steps, each judged by the results of attempts.

use super::SourceResult;
use crate::plan::NodeId;
use crate::{Ms, Settings};

/// The shares by step. Each is twice the one before, since the results of a step justify at most twice the load that it tried.
pub(super) const SHARES: [f64; 6] = [0.0, 1.0 / 16.0, 1.0 / 8.0, 1.0 / 4.0, 1.0 / 2.0, 1.0];
/// The step without a share.
pub(super) const NO_SHARE: usize = 0;
/// The step with the smallest share.
pub(super) const FIRST_SHARE: usize = 1;
/// The step with the whole share.
pub(super) const WHOLE_SHARE: usize = SHARES.len() - 1;

/// The share of a newcomer or leaver, and the results in its current step.
#[derive(Clone, Debug)]
pub(super) struct ShareTransfer {
    pub(super) source: NodeId,
    /// Index into [`SHARES`].
    pub(super) step: usize,
    /// When the step begins; after a step back, the end of the pause.
    pub(super) step_begin: Ms,
    pub(super) successes: u32,
    pub(super) failures: u32,
    pub(super) last_request: Ms,
}

impl ShareTransfer {
    pub(super) fn new(source: NodeId, step: usize, now: Ms) -> Self {
        Self { source, step, step_begin: now, successes: 0, failures: 0, last_request: now }
    }

    pub(super) fn set_step(&mut self, step: usize, step_begin: Ms) {
        (self.step, self.step_begin, self.successes, self.failures) = (step, step_begin, 0, 0);
    }

    pub(super) fn count(&mut self, result: SourceResult) {
        match result {
            SourceResult::Filled => self.successes += 1,
            SourceResult::Rejected | SourceResult::Failed | SourceResult::LoopDetected => self.failures += 1,
        }
    }

    /// The step is complete after enough successes, or after some time without a failure, however few the successes: a source
    /// that gets no requests from this router has no effect on it.
    fn is_step_complete(&self, now: Ms, settings: &Settings) -> bool {
        self.successes >= settings.successes_per_step
            || (self.failures == 0 && now - self.step_begin >= settings.idle_step_duration)
    }

    /// Moves a newcomer a step up or back, up to `max_step`; returns true if its share changed.
    pub(super) fn grow(&mut self, max_step: usize, now: Ms, settings: &Settings) -> bool {
        if self.step == NO_SHARE || self.step == WHOLE_SHARE {
            return false;
        }
        if self.failures >= settings.failures_to_step_back {
            let changed = self.step > FIRST_SHARE;
            self.set_step(self.step.saturating_sub(1).max(FIRST_SHARE), now + settings.step_back_pause);
            return changed;
        }
        if now < self.step_begin || self.step + 1 > max_step || !self.is_step_complete(now, settings) {
            return false;
        }
        self.set_step(self.step + 1, now);
        true
    }

    /// Moves a leaver a step down, and to no share once it is not up; returns true if its share changed.
    pub(super) fn shrink(&mut self, is_up: bool, now: Ms, settings: &Settings) -> bool {
        if self.step == NO_SHARE {
            return false;
        }
        if !is_up {
            self.set_step(NO_SHARE, now);
            return true;
        }
        if self.failures >= settings.failures_to_step_back {
            // The other sources cannot take more objects yet; they keep those that the leaver gave up.
            self.set_step(self.step, now + settings.step_back_pause);
            return false;
        }
        if now < self.step_begin || !self.is_step_complete(now, settings) {
            return false;
        }
        self.set_step(self.step - 1, now);
        true
    }
}
