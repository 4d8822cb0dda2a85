//! What must hold of all that the router does, watched where it is done.
//!
//! [`crate::permissions`] decides beforehand; this sees what really happens, by its own reckoning, and counts what breaks a rule, by name,
//! in every build. The first violation of each kind is logged with its ids; a debug build panics, so that tests fail where it happened.

use basaltgw::api::{AttemptResult, Idempotency, Ms};
use std::cell::Cell;
use std::fmt;
use std::time::Duration;

/// An attempt that begins later than this after its client has left is a lost request.
const AFTER_CLIENT_LEFT: Duration = Duration::from_millis(100);
/// The deadline that is passed to a server may exceed what the client has left by this.
const DEADLINE_SLACK_MS: Ms = 150.0;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request was answered that was not open.
    SecondAnswer,
    /// An attempt began after its client had left.
    AttemptAfterClientLeft,
    /// A request was sent again that must not run twice, and may have run.
    RepeatAfterExecution,
    /// A request was refused, which invites a repeat, that must not run twice and may have run.
    RefusalAfterExecution,
    /// Something was sent to a server that drains or is gone.
    SentToDrained,
    /// A server was told of more time than the client has left.
    DeadlineExceeded,
    /// A client's connection was closed here over a request that had no answer.
    ClosedOverRequest,
    /// This router alone sent a server that had just started more than all routers may.
    SlowStartExceeded,
}

impl Violation {
    /// All of them, in the order of their counters.
    pub const ALL: [Self; 8] = [
        Self::SecondAnswer,
        Self::AttemptAfterClientLeft,
        Self::RepeatAfterExecution,
        Self::RefusalAfterExecution,
        Self::SentToDrained,
        Self::DeadlineExceeded,
        Self::ClosedOverRequest,
        Self::SlowStartExceeded,
    ];
}

/// Counts of violations.
#[derive(Debug, Default)]
pub struct Invariants {
    counts: [Cell<u64>; Violation::ALL.len()],
}

/// A fetch whose first byte is being written.
#[derive(Clone, Copy, Debug)]
pub struct FetchBegun {
    /// For how long its client has been gone; `None` while it waits.
    pub client_gone_for: Option<Duration>,
    /// For how long its server has been told to drain, or to be gone, beyond the grace; `None` if it has not.
    pub drained_beyond_grace: Option<Duration>,
    /// How long the server is told that the router waits.
    pub passed_on_ms: Ms,
    /// How long the client still waits.
    pub client_left_ms: Ms,
}

impl Invariants {
    /// Counts a violation; the ids say of what.
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

    /// How often a rule was broken.
    pub fn count(&self, violation: Violation) -> u64 {
        self.counts[violation as usize].get()
    }

    /// An answer is put in line for a client.
    pub fn answered(&self, was_open: bool, ids: fmt::Arguments<'_>) {
        if !was_open {
            self.violated(Violation::SecondAnswer, ids);
        }
    }

    /// A request is sent (again), after attempts that ended so or are out.
    pub fn attempted(
        &self,
        effect: Idempotency,
        earlier: impl IntoIterator<Item = Option<AttemptResult>>,
        ids: fmt::Arguments<'_>,
    ) {
        if effect == Idempotency::NonIdempotent && earlier.into_iter().any(may_have_run) {
            self.violated(Violation::RepeatAfterExecution, ids);
        }
    }

    /// A request is refused, after attempts that ended so or are out.
    pub fn refused(
        &self,
        effect: Idempotency,
        earlier: impl IntoIterator<Item = Option<AttemptResult>>,
        ids: fmt::Arguments<'_>,
    ) {
        if effect == Idempotency::NonIdempotent && earlier.into_iter().any(may_have_run) {
            self.violated(Violation::RefusalAfterExecution, ids);
        }
    }

    /// The first byte of a fetch is being written.
    pub fn begun(&self, fetch: &FetchBegun, ids: fmt::Arguments<'_>) {
        if fetch.client_gone_for.is_some_and(|gone| gone > AFTER_CLIENT_LEFT) {
            self.violated(Violation::AttemptAfterClientLeft, ids);
        }
        if fetch.drained_beyond_grace.is_some() {
            self.violated(Violation::SentToDrained, ids);
        }
        if fetch.passed_on_ms > fetch.client_left_ms + DEADLINE_SLACK_MS {
            self.violated(Violation::DeadlineExceeded, ids);
        }
    }

    /// A client's connection was closed on this side's wish, with so many requests that were neither answered nor taken back.
    pub fn closed(&self, unanswered: usize, ids: fmt::Arguments<'_>) {
        if unanswered > 0 {
            self.violated(Violation::ClosedOverRequest, ids);
        }
    }
}

/// An attempt that is out, or whose end proves nothing.
fn may_have_run(end: Option<AttemptResult>) -> bool {
    !matches!(
        end,
        Some(
            AttemptResult::Rejected
                | AttemptResult::NoConnection
                | AttemptResult::NotSent
                | AttemptResult::CacheMiss
        )
    )
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::panic::{catch_unwind, AssertUnwindSafe};

    /// Whether this is a violation of that kind.
    fn violates(violation: Violation, act: impl FnOnce(&Invariants)) -> bool {
        let invariants = Invariants::default();
        let panicked = catch_unwind(AssertUnwindSafe(|| act(&invariants))).is_err();
        assert_eq!(panicked, cfg!(debug_assertions) && invariants.count(violation) > 0);
        invariants.count(violation) == 1
    }

    const FETCH: FetchBegun = FetchBegun {
        client_gone_for: None,
        drained_beyond_grace: None,
        passed_on_ms: 1_150.0,
        client_left_ms: 1_000.0,
    };

    #[test]
    fn each_violation_is_counted_under_its_name() {
        let ids = || format_args!("request 1");
        assert!(violates(Violation::SecondAnswer, |i| i.answered(false, ids())));
        assert!(!violates(Violation::SecondAnswer, |i| i.answered(true, ids())));
        let broken = [Some(AttemptResult::ConnectionLost)];
        assert!(violates(Violation::RepeatAfterExecution, |i| i.attempted(
            Idempotency::NonIdempotent,
            broken,
            ids()
        )));
        assert!(violates(Violation::RepeatAfterExecution, |i| i.attempted(
            Idempotency::NonIdempotent,
            [None],
            ids()
        )));
        assert!(!violates(Violation::RepeatAfterExecution, |i| i.attempted(
            Idempotency::Idempotent,
            broken,
            ids()
        )));
        assert!(violates(Violation::RefusalAfterExecution, |i| i.refused(
            Idempotency::NonIdempotent,
            broken,
            ids()
        )));
        let full = [Some(AttemptResult::Rejected)];
        assert!(!violates(Violation::RefusalAfterExecution, |i| i.refused(
            Idempotency::NonIdempotent,
            full,
            ids()
        )));
        assert!(violates(Violation::ClosedOverRequest, |i| i.closed(1, ids())));
        assert!(!violates(Violation::ClosedOverRequest, |i| i.closed(0, ids())));
    }

    #[test]
    fn fetch_that_begins_is_held_against_client_server_and_deadline() {
        let begun = |fetch: FetchBegun| move |i: &Invariants| i.begun(&fetch, format_args!("request 1"));
        assert!(!violates(Violation::DeadlineExceeded, begun(FETCH)));
        let late = FetchBegun { passed_on_ms: 1_151.0, ..FETCH };
        assert!(violates(Violation::DeadlineExceeded, begun(late)));
        let left = |ms| FetchBegun { client_gone_for: Some(Duration::from_millis(ms)), ..FETCH };
        assert!(!violates(Violation::AttemptAfterClientLeft, begun(left(100))));
        assert!(violates(Violation::AttemptAfterClientLeft, begun(left(101))));
        let drained = FetchBegun { drained_beyond_grace: Some(Duration::ZERO), ..FETCH };
        assert!(violates(Violation::SentToDrained, begun(drained)));
    }
}
