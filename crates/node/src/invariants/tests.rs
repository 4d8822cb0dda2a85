//! Each check counts its violation, and no other.

use super::*;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Whether the check counts one violation of that kind.
fn violates(violation: Violation, check: impl FnOnce(&Invariants)) -> bool {
    let invariants = Invariants::default();
    let panicked = catch_unwind(AssertUnwindSafe(|| check(&invariants))).is_err();
    assert_eq!(panicked, cfg!(debug_assertions) && invariants.count(violation) > 0);
    invariants.count(violation) == 1
}

const FETCH: FetchStart = FetchStart {
    since_client_left: None,
    past_drain_grace: None,
    timeout_ms: 1_150.0,
    client_time_left_ms: 1_000.0,
};

#[test]
fn each_violation_is_counted_under_its_name() {
    let ids = || format_args!("request 1");
    assert!(violates(Violation::SecondResponse, |i| i.check_answer(false, ids())));
    assert!(!violates(Violation::SecondResponse, |i| i.check_answer(true, ids())));
    let connection_lost = [Some(AttemptResult::ConnectionLost)];
    assert!(violates(Violation::RepeatAfterExecution, |i| i.check_attempt(
        Idempotency::NonIdempotent,
        connection_lost,
        ids()
    )));
    assert!(violates(Violation::RepeatAfterExecution, |i| i.check_attempt(
        Idempotency::NonIdempotent,
        [None],
        ids()
    )));
    assert!(!violates(Violation::RepeatAfterExecution, |i| i.check_attempt(
        Idempotency::Idempotent,
        connection_lost,
        ids()
    )));
    assert!(violates(Violation::RejectionAfterExecution, |i| i.check_rejection(
        Idempotency::NonIdempotent,
        connection_lost,
        ids()
    )));
    let rejected = [Some(AttemptResult::Rejected)];
    assert!(!violates(Violation::RejectionAfterExecution, |i| i.check_rejection(
        Idempotency::NonIdempotent,
        rejected,
        ids()
    )));
    assert!(violates(Violation::ClosedWithOpenRequest, |i| i.check_close(1, ids())));
    assert!(!violates(Violation::ClosedWithOpenRequest, |i| i.check_close(0, ids())));
}

#[test]
fn fetch_start_is_checked_against_client_server_and_deadline() {
    let check = |fetch: FetchStart| move |i: &Invariants| i.check_fetch(&fetch, format_args!("request 1"));
    assert!(!violates(Violation::DeadlineExceeded, check(FETCH)));
    let late = FetchStart { timeout_ms: 1_151.0, ..FETCH };
    assert!(violates(Violation::DeadlineExceeded, check(late)));
    let left = |ms| FetchStart { since_client_left: Some(Duration::from_millis(ms)), ..FETCH };
    assert!(!violates(Violation::AttemptAfterClientLeft, check(left(100))));
    assert!(violates(Violation::AttemptAfterClientLeft, check(left(101))));
    let drained = FetchStart { past_drain_grace: Some(Duration::ZERO), ..FETCH };
    assert!(violates(Violation::SentToDrained, check(drained)));
}
