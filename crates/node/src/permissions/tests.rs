//! Each permission is granted and refused from explicit states.

use super::*;
use basaltgw::api::{Idempotency, KeyScope};

const BEGIN: BeginState = BeginState {
    client_waits: true,
    answered: false,
    time_left: 1.0,
    attempts: 0,
    max_attempts: 1,
    listed: true,
};

#[test]
fn attempt_starts_only_while_the_client_waits_and_the_settings_allow_it() {
    assert_eq!(may_begin(&BEGIN), Ok(()));
    let refusals = [
        (BeginState { client_waits: false, ..BEGIN }, BeginRefusal::ClientLeft),
        (BeginState { answered: true, ..BEGIN }, BeginRefusal::Answered),
        (BeginState { time_left: 0.0, ..BEGIN }, BeginRefusal::DeadlineOver),
        (BeginState { attempts: 1, ..BEGIN }, BeginRefusal::AttemptsUsed),
        (BeginState { listed: false, ..BEGIN }, BeginRefusal::NotListed),
    ];
    for (state, refusal) in refusals {
        assert_eq!(may_begin(&state), Err(refusal));
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
    let narrow = RetryPolicy { key_scope: KeyScope::Cell, ..policy(Idempotency::IdempotencyKey) };
    assert_eq!(
        may_run_again(&narrow, ended(AttemptResult::ConnectionLost, 0.0)),
        Err(RetryRefusal::MayHaveExecuted)
    );
}

#[test]
fn message_is_written_only_while_the_client_waits_and_in_time() {
    let sends = SendState { taken_back: false, window_over: false, deadline_over: false, client_waits: true };
    assert_eq!(may_send(&sends), Ok(()));
    let refusals = [
        (SendState { taken_back: true, ..sends }, SendRefusal::TakenBack),
        (SendState { window_over: true, ..sends }, SendRefusal::WindowOver),
        (SendState { deadline_over: true, ..sends }, SendRefusal::DeadlineOver),
        (SendState { client_waits: false, ..sends }, SendRefusal::ClientLeft),
    ];
    for (state, refusal) in refusals {
        assert_eq!(may_send(&state), Err(refusal));
    }
}

#[test]
fn connection_closes_and_process_ends_only_with_nothing_pending() {
    assert_eq!(may_close(&CloseState { wanted: true, on_way: 0 }), Ok(()));
    assert_eq!(may_close(&CloseState { wanted: true, on_way: 1 }), Err(CloseRefusal::MessageOnWay));
    assert_eq!(may_close(&CloseState { wanted: false, on_way: 0 }), Err(CloseRefusal::NotWanted));
    let ends = EndState { accepts: false, connections_open: false, quiet: true };
    assert_eq!(may_end(&ends), Ok(()));
    assert_eq!(may_end(&EndState { accepts: true, ..ends }), Err(EndRefusal::Accepting));
    assert_eq!(may_end(&EndState { connections_open: true, ..ends }), Err(EndRefusal::ConnectionsOpen));
    assert_eq!(may_end(&EndState { quiet: false, ..ends }), Err(EndRefusal::NotQuiet));
}
