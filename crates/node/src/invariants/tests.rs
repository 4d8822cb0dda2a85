//! Each violation is counted under its own name.

use super::*;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Whether the check counts one violation of that kind.
fn violates(violation: Violation, check: impl FnOnce(&Invariants)) -> bool {
    let invariants = Invariants::default();
    let panicked = catch_unwind(AssertUnwindSafe(|| check(&invariants))).is_err();
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
    assert!(violates(Violation::SecondAnswer, |i| i.check_answer(false, ids())));
    assert!(!violates(Violation::SecondAnswer, |i| i.check_answer(true, ids())));
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
    assert!(violates(Violation::RefusalAfterExecution, |i| i.check_rejection(
        Idempotency::NonIdempotent,
        connection_lost,
        ids()
    )));
    let rejected = [Some(AttemptResult::Rejected)];
    assert!(!violates(Violation::RefusalAfterExecution, |i| i.check_rejection(
        Idempotency::NonIdempotent,
        rejected,
        ids()
    )));
    assert!(violates(Violation::ClosedOverRequest, |i| i.check_close(1, ids())));
    assert!(!violates(Violation::ClosedOverRequest, |i| i.check_close(0, ids())));
}

#[test]
fn fetch_start_is_checked_against_client_server_and_deadline() {
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
