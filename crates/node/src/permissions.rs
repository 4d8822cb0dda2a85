//! Whether something may be begun, sent, sent again, refused or closed now: one function for each question, from explicit states.
//!
//! Each gives a typed reason against it. Nothing here does I/O or reads a clock, and nobody else answers these questions: the owner, the
//! writers of connections and the states of clients' connections ask here. [`crate::invariants`] watches what is done in the end.

use basaltgw::api::{AttemptResult, Ms};
pub use basaltgw::routing::retry::{not_executed, RetryPolicy, RetryRefusal};
use std::fmt;

/// A request and a server, as an attempt is about to begin.
#[derive(Clone, Copy, Debug)]
pub struct BeginState {
    /// The client still waits.
    pub client_waits: bool,
    /// The request has its answer.
    pub answered: bool,
    /// Time until the client stops waiting.
    pub time_left: Ms,
    /// Attempts made so far.
    pub attempts: usize,
    /// Attempts that the settings allow.
    pub max_attempts: usize,
    /// The server is on the list, and not as gone.
    pub listed: bool,
}

/// Why no attempt begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginRefusal {
    /// The client has left, or took the request back.
    ClientLeft,
    /// The request has its answer.
    Answered,
    /// The client's time is over.
    DeadlineOver,
    /// The settings allow no more.
    AttemptsUsed,
    /// The server is on no list.
    NotListed,
}

/// Whether an attempt may begin.
pub fn may_begin(state: &BeginState) -> Result<(), BeginRefusal> {
    match state {
        BeginState { client_waits: false, .. } => Err(BeginRefusal::ClientLeft),
        BeginState { answered: true, .. } => Err(BeginRefusal::Answered),
        BeginState { time_left, .. } if *time_left <= 0.0 => Err(BeginRefusal::DeadlineOver),
        BeginState { attempts, max_attempts, .. } if attempts >= max_attempts => {
            Err(BeginRefusal::AttemptsUsed)
        }
        BeginState { listed: false, .. } => Err(BeginRefusal::NotListed),
        BeginState { .. } => Ok(()),
    }
}

/// An earlier attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAttempt {
    /// How it ended; `None` while it is out.
    pub end: Option<AttemptResult>,
    /// How long ago it was made.
    pub age: Ms,
}

/// Whether a request may be sent again, or be rejected, which invites the client to send it again.
///
/// # Errors
/// [`RetryRefusal`] with the reason against it.
pub fn may_repeat(
    policy: &RetryPolicy,
    earlier: impl IntoIterator<Item = EarlierAttempt>,
) -> Result<(), RetryRefusal> {
    let may_have_run = earlier.into_iter().filter(|a| !a.end.is_some_and(not_executed));
    let oldest = may_have_run.map(|a| a.age).reduce(f64::max);
    // Ages count back from now, which is 0 here.
    policy.check(0.0, oldest.map(|age| -age))
}

/// A message to a server, as its first byte is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct SendState {
    /// It was taken back.
    pub taken_back: bool,
    /// The time by which it had to be begun is over.
    pub window_over: bool,
    /// The time of its client is over.
    pub deadline_over: bool,
    /// The client still waits.
    pub client_waits: bool,
}

/// Why nothing of a message is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// It was taken back.
    TakenBack,
    /// The time by which it had to be begun is over.
    WindowOver,
    /// The time of its client is over.
    DeadlineOver,
    /// The client has left, or took the request back.
    ClientLeft,
}

/// Whether a message's first byte may be written.
pub fn may_send(state: &SendState) -> Result<(), SendRefusal> {
    match state {
        SendState { taken_back: true, .. } => Err(SendRefusal::TakenBack),
        SendState { client_waits: false, .. } => Err(SendRefusal::ClientLeft),
        SendState { window_over: true, .. } => Err(SendRefusal::WindowOver),
        SendState { deadline_over: true, .. } => Err(SendRefusal::DeadlineOver),
        SendState { .. } => Ok(()),
    }
}

/// A client's connection that is to be closed though its client did not ask for it.
#[derive(Clone, Copy, Debug)]
pub struct CloseState {
    /// The owner still wants it closed.
    pub wanted: bool,
    /// Messages that were read and that the owner has not taken yet.
    pub on_way: u32,
}

/// Why a connection is not closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseRefusal {
    /// Something crossed the wish to close it.
    NotWanted,
    /// A message of its is on the way to the owner.
    MessageOnWay,
}

/// Whether a connection at rest may be closed.
pub fn may_close(state: &CloseState) -> Result<(), CloseRefusal> {
    match state {
        CloseState { on_way: 1.., .. } => Err(CloseRefusal::MessageOnWay),
        CloseState { wanted: false, .. } => Err(CloseRefusal::NotWanted),
        CloseState { .. } => Ok(()),
    }
}

/// A process that was asked to end.
#[derive(Clone, Copy, Debug)]
pub struct EndState {
    /// New clients are still taken.
    pub accepts: bool,
    /// Connections of clients are open, or may still come from the backlog.
    pub connections_open: bool,
    /// Nothing has been open for the time that this takes to be sure of.
    pub quiet: bool,
}

/// Why a process does not end yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndRefusal {
    /// New clients are still taken.
    Accepting,
    /// Something is open.
    ConnectionsOpen,
    /// Nothing is open, but not for long enough.
    NotQuiet,
}

/// Whether a process that was asked to end may do so.
pub fn may_end(state: &EndState) -> Result<(), EndRefusal> {
    match state {
        EndState { accepts: true, .. } => Err(EndRefusal::Accepting),
        EndState { connections_open: true, .. } => Err(EndRefusal::ConnectionsOpen),
        EndState { quiet: false, .. } => Err(EndRefusal::NotQuiet),
        EndState { .. } => Ok(()),
    }
}

macro_rules! displayed {
    ($($refusal:ident { $($reason:ident => $text:literal,)+ })+) => {
        $(impl fmt::Display for $refusal {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$reason => $text,)+ })
            }
        })+
    };
}

displayed! {
    BeginRefusal {
        ClientLeft => "its client has left",
        Answered => "it is answered",
        DeadlineOver => "its client's time is over",
        AttemptsUsed => "no more attempts are allowed",
        NotListed => "the server is not listed",
    }
    SendRefusal {
        TakenBack => "it was taken back",
        WindowOver => "the time to begin it is over",
        DeadlineOver => "its client's time is over",
        ClientLeft => "its client has left",
    }
    CloseRefusal {
        NotWanted => "something crossed the wish to close",
        MessageOnWay => "a message is on its way to the owner",
    }
    EndRefusal {
        Accepting => "clients are still accepted",
        ConnectionsOpen => "connections are open",
        NotQuiet => "nothing has been open for too short a time",
    }
}

#[cfg(test)]
mod tests {
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
    fn attempt_begins_only_while_its_client_waits_and_the_settings_allow_it() {
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
    fn request_is_repeated_only_if_no_repeat_can_run_twice() {
        let policy = |idempotency| RetryPolicy { idempotency, key_scope: KeyScope::All, key_window: 100.0 };
        let ended = |end, age| [EarlierAttempt { end: Some(end), age }];
        for end in AttemptResult::ALL {
            assert_eq!(may_repeat(&policy(Idempotency::Idempotent), ended(end, 1e9)), Ok(()));
            let unsafe_one = may_repeat(&policy(Idempotency::NonIdempotent), ended(end, 0.0));
            assert_eq!(unsafe_one.is_ok(), not_executed(end), "{end:?}");
        }
        let out = [EarlierAttempt { end: None, age: 0.0 }];
        assert_eq!(may_repeat(&policy(Idempotency::NonIdempotent), out), Err(RetryRefusal::MayHaveExecuted));
        assert_eq!(
            may_repeat(&policy(Idempotency::IdempotencyKey), ended(AttemptResult::ConnectionLost, 99.0)),
            Ok(())
        );
        let over =
            may_repeat(&policy(Idempotency::IdempotencyKey), ended(AttemptResult::ConnectionLost, 100.0));
        assert_eq!(over, Err(RetryRefusal::KeyWindowExpired));
        let narrow = RetryPolicy { key_scope: KeyScope::Cell, ..policy(Idempotency::IdempotencyKey) };
        assert_eq!(
            may_repeat(&narrow, ended(AttemptResult::ConnectionLost, 0.0)),
            Err(RetryRefusal::MayHaveExecuted)
        );
    }

    #[test]
    fn message_is_written_only_while_it_is_wanted_in_time() {
        let sends =
            SendState { taken_back: false, window_over: false, deadline_over: false, client_waits: true };
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
    fn connection_is_closed_and_the_process_ends_over_nothing_that_is_owed() {
        assert_eq!(may_close(&CloseState { wanted: true, on_way: 0 }), Ok(()));
        assert_eq!(may_close(&CloseState { wanted: true, on_way: 1 }), Err(CloseRefusal::MessageOnWay));
        assert_eq!(may_close(&CloseState { wanted: false, on_way: 0 }), Err(CloseRefusal::NotWanted));
        let ends = EndState { accepts: false, connections_open: false, quiet: true };
        assert_eq!(may_end(&ends), Ok(()));
        assert_eq!(may_end(&EndState { accepts: true, ..ends }), Err(EndRefusal::Accepting));
        assert_eq!(may_end(&EndState { connections_open: true, ..ends }), Err(EndRefusal::ConnectionsOpen));
        assert_eq!(may_end(&EndState { quiet: false, ..ends }), Err(EndRefusal::NotQuiet));
    }
}
