//! When a request gets no further attempt, and whether its final answer is a rejection or a failure.
//!
//! Inputs: the client's remaining time and the sending time of the response, in milliseconds, the attempts
//! made so far, and the retry policy. A rejection tells the client that a new request is safe, and when to
//! send it, so it falls under the same rule as a retry; where that rule forbids a retry, the request fails.
//! The final answer is out at least a margin before the client's deadline.

use super::request::RequestIndex;
use super::{Router, SWEEP_MS};
use crate::api::*;

/// Lower bound of the answer margin, in milliseconds.
pub const ANSWER_MARGIN_MS: Ms = 25.0;
/// Greatest number of attempts of a request; the settings' limit applies as well.
const MAX_ATTEMPTS: usize = 5;
/// Retry-After of a rejection, as a share of the class's latency objective: the client's next request may
/// still be in time.
const RETRY_AFTER_OBJECTIVE_SHARE: f64 = 0.25;

impl Router {
    /// The answer margin: milliseconds before the client's deadline by which the final answer is out. The
    /// largest of `ANSWER_MARGIN_MS`, two ticks, and a sweep that a tick delays. A request with less time
    /// left is rejected at once.
    pub(super) fn answer_margin(&self) -> Ms {
        ANSWER_MARGIN_MS.max(2.0 * self.settings.tick).max(SWEEP_MS + self.settings.tick)
    }

    /// The class of a request that is admitted; `None` for one that is rejected, because its class is unknown
    /// or its time is too short for an attempt.
    pub(super) fn admitted_class(&self, request: &Request) -> Option<ClassId> {
        let class = request.class.filter(|class| class.0 < self.settings.classes.len())?;
        (request.budget > self.answer_margin()).then_some(class)
    }

    /// Whether a request with no attempt in flight gets no further one: its response can't arrive in time, it
    /// has used up its attempts, or another execution may not be safe.
    pub(super) fn is_exhausted(&self, index: RequestIndex) -> bool {
        let pending = &self.requests[index];
        let time_left = pending.deadline - self.now;
        let too_long = || self.statistics.sending_time(&pending.request).is_some_and(|t| t > time_left);
        let from_cache = !self.runs_at_origin(&pending.request, pending.class);
        time_left <= 0.0
            || (from_cache && too_long())
            || pending.attempts.len() >= MAX_ATTEMPTS.min(self.settings.max_attempts)
            || self.now >= self.retry_safe_until(pending) - self.answer_margin()
    }

    /// Gives a request its final answer without a response: a rejection where a new request is safe, else a
    /// failure.
    pub(super) fn reject_or_fail(&mut self, index: RequestIndex, actions: &mut Vec<Action>) {
        let pending = &self.requests[index];
        if !pending.answered {
            let request = pending.request.id.clone();
            let is_safe = self.now < self.retry_safe_until(pending);
            let retry_after = self.retry_after(pending.class);
            actions.push(if is_safe {
                Action::Reject { request, retry_after }
            } else {
                Action::Fail(request)
            });
        }
        self.complete(index, actions);
    }

    /// The Retry-After of a rejection in milliseconds; 0 if rejections carry none.
    fn retry_after(&self, class: ClassId) -> Ms {
        let objective = self.settings.classes[class.0].latency_objective;
        if self.settings.retry_after {
            (RETRY_AFTER_OBJECTIVE_SHARE * objective).min(self.settings.max_retry_after)
        } else {
            0.0
        }
    }
}
