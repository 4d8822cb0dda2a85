//! Each permission is granted and refused from explicit states.

use super::*;
use basaltgw::api::{Idempotency, KeyScope};

const MAY_START: StartState = StartState {
    client_waits: true,
    answered: false,
    time_left: 1.0,
    attempts: 0,
    max_attempts: 1,
    listed: true,
};

#[test]
fn attempt_starts_only_while_the_client_waits_and_the_settings_allow_it() {
    assert_eq!(may_start(&MAY_START), Ok(()));
    let refusals = [
        (StartState { client_waits: false, ..MAY_START }, StartRefusal::ClientLeft),
        (StartState { answered: true, ..MAY_START }, StartRefusal::Answered),
        (StartState { time_left: 0.0, ..MAY_START }, StartRefusal::DeadlinePassed),
        (StartState { attempts: 1, ..MAY_START }, StartRefusal::AttemptsUsed),
        (StartState { listed: false, ..MAY_START }, StartRefusal::NotListed),
    ];
    for (state, refusal) in refusals {
        assert_eq!(may_start(&state), Err(refusal));
    }
}

#[test]
fn request_runs_again_only_if_it_cannot_be_executed_twice() {
    let policy = |idempotency| RetryPolicy { idempotency, key_scope: KeyScope::All, key_window: 100.0 };
    let ended = |result, age| [EarlierAttempt { state: AttemptState::Ended(result), age }];
    for result in AttemptResult::ALL {
        assert_eq!(may_run_again(&policy(Idempotency::Idempotent), ended(result, 1e9)), Ok(()));
        let non_idempotent = may_run_again(&policy(Idempotency::NonIdempotent), ended(result, 0.0));
        assert_eq!(non_idempotent.is_ok(), not_executed(result), "{result:?}");
    }
    let in_flight = [EarlierAttempt { state: AttemptState::InFlight, age: 0.0 }];
    assert_eq!(
        may_run_again(&policy(Idempotency::NonIdempotent), in_flight),
        Err(RetryRefusal::MayHaveExecuted)
    );
    assert_eq!(
        may_run_again(&policy(Idempotency::IdempotencyKey), ended(AttemptResult::ConnectionLost, 99.0)),
        Ok(())
    );
    let expired =
        may_run_again(&policy(Idempotency::IdempotencyKey), ended(AttemptResult::ConnectionLost, 100.0));
    assert_eq!(expired, Err(RetryRefusal::KeyWindowExpired));
    let cell_scoped = RetryPolicy { key_scope: KeyScope::Cell, ..policy(Idempotency::IdempotencyKey) };
    assert_eq!(
        may_run_again(&cell_scoped, ended(AttemptResult::ConnectionLost, 0.0)),
        Err(RetryRefusal::MayHaveExecuted)
    );
}

#[test]
fn message_is_written_only_while_the_client_waits_and_in_time() {
    let sendable = SendState {
        withdrawn: false,
        start_window_passed: false,
        deadline_passed: false,
        client_waits: true,
    };
    assert_eq!(may_send(&sendable), Ok(()));
    let refusals = [
        (SendState { withdrawn: true, ..sendable }, SendRefusal::Withdrawn),
        (SendState { start_window_passed: true, ..sendable }, SendRefusal::StartWindowPassed),
        (SendState { deadline_passed: true, ..sendable }, SendRefusal::DeadlinePassed),
        (SendState { client_waits: false, ..sendable }, SendRefusal::ClientLeft),
    ];
    for (state, refusal) in refusals {
        assert_eq!(may_send(&state), Err(refusal));
    }
}

#[test]
fn connection_closes_and_process_ends_only_with_nothing_pending() {
    assert_eq!(may_close(&CloseState { close_requested: true, queued_messages: 0 }), Ok(()));
    assert_eq!(
        may_close(&CloseState { close_requested: true, queued_messages: 1 }),
        Err(CloseRefusal::MessageQueued)
    );
    assert_eq!(
        may_close(&CloseState { close_requested: false, queued_messages: 0 }),
        Err(CloseRefusal::RequestLapsed)
    );
    let may_end = ExitState { accepts: false, connections_open: false, quiet: true };
    assert_eq!(may_exit(&may_end), Ok(()));
    assert_eq!(may_exit(&ExitState { accepts: true, ..may_end }), Err(ExitRefusal::Accepting));
    assert_eq!(may_exit(&ExitState { connections_open: true, ..may_end }), Err(ExitRefusal::ConnectionsOpen));
    assert_eq!(may_exit(&ExitState { quiet: false, ..may_end }), Err(ExitRefusal::NotQuiet));
}
