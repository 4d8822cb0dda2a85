//! Checks the router's invariants at the places where it acts, and counts each violation under its name.
//!
//! [`crate::permissions`] decides beforehand; this checker observes what is really done, and shares no code with the modules that decide.
//! The first violation of each kind is logged with its ids. A debug build panics, so that a test fails where the violation occurs.

#[cfg(test)]
mod tests;

use basaltgw::api::{AttemptResult, Idempotency, Ms};
use std::cell::Cell;
use std::fmt;
use std::time::Duration;

/// An attempt may start for this long after its client has left, since the owner learns of that with a delay.
const CLIENT_LEFT_TOLERANCE: Duration = Duration::from_millis(100);
/// The timeout that is passed to a server may exceed the client's remaining time by this.
const TIMEOUT_TOLERANCE_MS: Ms = 150.0;

/// A violated invariant. The log line of a violation has the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A response was sent for a request that was not open.
    SecondResponse,
    /// An attempt started after its client had left.
    AttemptAfterClientLeft,
    /// A non-idempotent request was attempted again though it may have been executed.
    RepeatAfterExecution,
    /// A non-idempotent request was rejected, which invites a retry, though it may have been executed.
    RejectionAfterExecution,
    /// A request was sent to a server that is draining or removed.
    SentToDrained,
    /// The timeout that was passed to a server exceeds the client's remaining time.
    DeadlineExceeded,
    /// The router closed a client's connection with a request unanswered.
    ClosedWithOpenRequest,
    /// This router alone sent more requests to a server in slow start than all routers together may.
    SlowStartExceeded,
}

impl Violation {
    /// All violations, in the order of their counters.
    pub const ALL: [Self; 8] = [
        Self::SecondResponse,
        Self::AttemptAfterClientLeft,
        Self::RepeatAfterExecution,
        Self::RejectionAfterExecution,
        Self::SentToDrained,
        Self::DeadlineExceeded,
        Self::ClosedWithOpenRequest,
        Self::SlowStartExceeded,
    ];
}

/// The invariant checker, with its counts.
#[derive(Debug, Default)]
pub struct Invariants {
    counts: [Cell<u64>; Violation::ALL.len()],
}

/// The state of an attempt whose first byte is being written.
#[derive(Clone, Copy, Debug)]
pub struct FetchStart {
    /// How long ago the client left; `None` while it waits.
    pub since_client_left: Option<Duration>,
    /// How long ago the grace period after the server's drain or removal ended; `None` if it has not ended or the server is in service.
    pub past_drain_grace: Option<Duration>,
    /// The timeout that is passed to the server.
    pub timeout_ms: Ms,
    /// How long the client still waits.
    pub client_time_left_ms: Ms,
}

impl Invariants {
    /// Counts and logs a violation; `ids` names the request or connection.
    ///
    /// # Panics
    /// In debug builds, unless the feature `breaks` is enabled.
    pub fn violated(&self, violation: Violation, ids: fmt::Arguments<'_>) {
        let count = &self.counts[violation as usize];
        count.set(count.get() + 1);
        if count.get() == 1 {
            log::error!("invariant violated: {violation:?}: {ids}");
        }
        #[cfg(debug_assertions)]
        if !cfg!(feature = "breaks") {
            panic!("invariant violated: {violation:?}: {ids}");
        }
    }

    /// How often an invariant was violated.
    pub fn count(&self, violation: Violation) -> u64 {
        self.counts[violation as usize].get()
    }

    /// Checks a response that is queued for a client; `was_open` if its request was open.
    pub fn check_answer(&self, was_open: bool, ids: fmt::Arguments<'_>) {
        if !was_open {
            self.violated(Violation::SecondResponse, ids);
        }
    }

    /// Checks an attempt; `earlier` has the result of each earlier attempt of its request, `None` of one in flight.
    pub fn check_attempt(
        &self,
        idempotency: Idempotency,
        earlier: impl IntoIterator<Item = Option<AttemptResult>>,
        ids: fmt::Arguments<'_>,
    ) {
        if idempotency == Idempotency::NonIdempotent && earlier.into_iter().any(may_have_executed) {
            self.violated(Violation::RepeatAfterExecution, ids);
        }
    }

    /// Checks a rejection; `earlier` has the result of each attempt of its request, `None` of one in flight.
    pub fn check_rejection(
        &self,
        idempotency: Idempotency,
        earlier: impl IntoIterator<Item = Option<AttemptResult>>,
        ids: fmt::Arguments<'_>,
    ) {
        if idempotency == Idempotency::NonIdempotent && earlier.into_iter().any(may_have_executed) {
            self.violated(Violation::RejectionAfterExecution, ids);
        }
    }

    /// Checks an attempt whose first byte is being written.
    pub fn check_fetch(&self, fetch: &FetchStart, ids: fmt::Arguments<'_>) {
        if fetch.since_client_left.is_some_and(|since| since > CLIENT_LEFT_TOLERANCE) {
            self.violated(Violation::AttemptAfterClientLeft, ids);
        }
        if fetch.past_drain_grace.is_some() {
            self.violated(Violation::SentToDrained, ids);
        }
        if fetch.timeout_ms > fetch.client_time_left_ms + TIMEOUT_TOLERANCE_MS {
            self.violated(Violation::DeadlineExceeded, ids);
        }
    }

    /// Checks a client's connection that the router has closed; `unanswered` requests were neither answered nor cancelled.
    pub fn check_close(&self, unanswered: usize, ids: fmt::Arguments<'_>) {
        if unanswered > 0 {
            self.violated(Violation::ClosedWithOpenRequest, ids);
        }
    }
}

/// Whether a server may have executed an attempt, or may still do so. It repeats the rule of the decision module on purpose, since the
/// checker shares no code with what it checks.
fn may_have_executed(result: Option<AttemptResult>) -> bool {
    !matches!(
        result,
        Some(
            AttemptResult::Rejected
                | AttemptResult::NoConnection
                | AttemptResult::NotSent
                | AttemptResult::CacheMiss
        )
    )
}
