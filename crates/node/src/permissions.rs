//! Permissions: whether an attempt may start, a message may be sent, a request may run again, a connection may close, the process may end.
//!
//! One function decides each question from an explicit state and returns a typed refusal, without I/O or a clock. The owner, the
//! connections' writers and the state machine of clients' connections use these functions. Whether a request may run again is the decision
//! module's rule ([`basaltgw::routing::retry`]); [`may_run_again`] applies it to the attempts that the owner knows of.
//! [`crate::invariants`] checks independently what is done in the end. Times are in milliseconds.

#[cfg(test)]
mod tests;

use basaltgw::api::{AttemptResult, Idempotency, KeyScope, Ms};
pub use basaltgw::routing::retry::{not_executed, RetryPolicy, RetryRefusal};
use std::fmt;

/// The state of a request and a server when an attempt is about to start.
#[derive(Clone, Copy, Debug)]
pub struct StartState {
    /// The client still waits.
    pub client_waits: bool,
    /// The request has been answered.
    pub answered: bool,
    /// Time until the client stops waiting.
    pub time_left: Ms,
    /// Attempts made so far.
    pub attempts: usize,
    /// Attempts that the settings allow.
    pub max_attempts: usize,
    /// The server is on the endpoint list and not removed.
    pub listed: bool,
}

/// Why an attempt may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The client has disconnected or cancelled the request.
    ClientLeft,
    /// The request has been answered.
    Answered,
    /// The client's deadline has passed.
    DeadlinePassed,
    /// The settings allow no further attempt.
    AttemptsUsed,
    /// The server is not on the endpoint list.
    NotListed,
}

/// Whether an attempt may start.
///
/// # Errors
/// [`StartRefusal`] with the reason against it.
pub fn may_start(state: &StartState) -> Result<(), StartRefusal> {
    match state {
        StartState { client_waits: false, .. } => Err(StartRefusal::ClientLeft),
        StartState { answered: true, .. } => Err(StartRefusal::Answered),
        StartState { time_left, .. } if *time_left <= 0.0 => Err(StartRefusal::DeadlinePassed),
        StartState { attempts, max_attempts, .. } if attempts >= max_attempts => {
            Err(StartRefusal::AttemptsUsed)
        }
        StartState { listed: false, .. } => Err(StartRefusal::NotListed),
        StartState { .. } => Ok(()),
    }
}

/// Whether an earlier attempt of a request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt has no result yet.
    InFlight,
    /// The attempt has ended with this result.
    Ended(AttemptResult),
}

/// An earlier attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EarlierAttempt {
    /// Whether the attempt has ended.
    pub state: AttemptState,
    /// How long ago the attempt was started.
    pub age: Ms,
}

impl EarlierAttempt {
    /// Whether a server may have executed the attempt, or may still do so.
    pub fn may_have_executed(&self) -> bool {
        match self.state {
            AttemptState::InFlight => true,
            AttemptState::Ended(result) => !not_executed(result),
        }
    }
}

/// The policy of a request whose class is not in the settings: the request never runs again.
pub const NO_RETRIES: RetryPolicy =
    RetryPolicy { idempotency: Idempotency::NonIdempotent, key_scope: KeyScope::Cell, key_window: 0.0 };

/// Whether a request may run again: by a further attempt, or after a rejection, which invites its client to send it again.
///
/// # Errors
/// [`RetryRefusal`] with the reason against it.
pub fn may_run_again(
    policy: &RetryPolicy,
    earlier: impl IntoIterator<Item = EarlierAttempt>,
) -> Result<(), RetryRefusal> {
    let executions = earlier.into_iter().filter(EarlierAttempt::may_have_executed);
    let oldest_age = executions.map(|attempt| attempt.age).reduce(f64::max);
    // Ages count back from now, which is 0 here.
    policy.check(0.0, oldest_age.map(|age| -age))
}

/// Why an attempt of a request is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptRefusal {
    /// The attempt may not start.
    Start(StartRefusal),
    /// The request may not run again.
    Retry(RetryRefusal),
}

impl From<StartRefusal> for AttemptRefusal {
    fn from(refusal: StartRefusal) -> Self {
        Self::Start(refusal)
    }
}

impl From<RetryRefusal> for AttemptRefusal {
    fn from(refusal: RetryRefusal) -> Self {
        Self::Retry(refusal)
    }
}

/// The state of a message to a server when its first byte is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct SendState {
    /// The owner has withdrawn the message.
    pub withdrawn: bool,
    /// The time by which the attempt had to start has passed.
    pub start_window_passed: bool,
    /// The attempt's deadline has passed.
    pub deadline_passed: bool,
    /// The client still waits.
    pub client_waits: bool,
}

/// Why nothing of a message is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The owner has withdrawn the message.
    Withdrawn,
    /// The time by which the attempt had to start has passed.
    StartWindowPassed,
    /// The attempt's deadline has passed.
    DeadlinePassed,
    /// The client has disconnected or cancelled the request.
    ClientLeft,
}

/// Whether a message's first byte may be written.
///
/// # Errors
/// [`SendRefusal`] with the reason against it.
pub fn may_send(state: &SendState) -> Result<(), SendRefusal> {
    match state {
        SendState { withdrawn: true, .. } => Err(SendRefusal::Withdrawn),
        SendState { client_waits: false, .. } => Err(SendRefusal::ClientLeft),
        SendState { start_window_passed: true, .. } => Err(SendRefusal::StartWindowPassed),
        SendState { deadline_passed: true, .. } => Err(SendRefusal::DeadlinePassed),
        SendState { .. } => Ok(()),
    }
}

/// The state of a client's connection that the router is about to close.
#[derive(Clone, Copy, Debug)]
pub struct CloseState {
    /// The owner has requested the close, and no message has crossed the request.
    pub close_requested: bool,
    /// Messages that were read and are queued for the owner.
    pub queued_messages: u32,
}

/// Why a connection is not closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseRefusal {
    /// The close request has lapsed: the client sent a message after it was made.
    RequestLapsed,
    /// A message is queued for the owner.
    MessageQueued,
}

/// Whether an idle connection may be closed.
///
/// # Errors
/// [`CloseRefusal`] with the reason against it.
pub fn may_close(state: &CloseState) -> Result<(), CloseRefusal> {
    match state {
        CloseState { queued_messages: 1.., .. } => Err(CloseRefusal::MessageQueued),
        CloseState { close_requested: false, .. } => Err(CloseRefusal::RequestLapsed),
        CloseState { .. } => Ok(()),
    }
}

/// The state of a process that was asked to shut down.
#[derive(Clone, Copy, Debug)]
pub struct ExitState {
    /// New clients are still accepted.
    pub accepts: bool,
    /// Clients' connections are open, or may still be in the backlog.
    pub connections_open: bool,
    /// No connection has been open for the quiet period.
    pub quiet: bool,
}

/// Why a process does not exit yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitRefusal {
    /// New clients are still accepted.
    Accepting,
    /// Connections are open.
    ConnectionsOpen,
    /// The quiet period is not over.
    NotQuiet,
}

/// Whether a process that was asked to shut down may exit.
///
/// # Errors
/// [`ExitRefusal`] with the reason against it.
pub fn may_exit(state: &ExitState) -> Result<(), ExitRefusal> {
    match state {
        ExitState { accepts: true, .. } => Err(ExitRefusal::Accepting),
        ExitState { connections_open: true, .. } => Err(ExitRefusal::ConnectionsOpen),
        ExitState { quiet: false, .. } => Err(ExitRefusal::NotQuiet),
        ExitState { .. } => Ok(()),
    }
}

impl fmt::Display for StartRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ClientLeft => "the client has disconnected or cancelled",
            Self::Answered => "the request has been answered",
            Self::DeadlinePassed => "the client's deadline has passed",
            Self::AttemptsUsed => "the settings allow no further attempt",
            Self::NotListed => "the server is not on the endpoint list",
        })
    }
}

impl fmt::Display for AttemptRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(refusal) => refusal.fmt(f),
            Self::Retry(refusal) => refusal.fmt(f),
        }
    }
}

impl fmt::Display for SendRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Withdrawn => "the owner has withdrawn the message",
            Self::StartWindowPassed => "the time by which the attempt had to start has passed",
            Self::DeadlinePassed => "the attempt's deadline has passed",
            Self::ClientLeft => "the client has disconnected or cancelled",
        })
    }
}

impl fmt::Display for CloseRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RequestLapsed => "the client sent a message after the close was requested",
            Self::MessageQueued => "a message is queued for the owner",
        })
    }
}

impl fmt::Display for ExitRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Accepting => "clients are still accepted",
            Self::ConnectionsOpen => "connections are open",
            Self::NotQuiet => "the quiet period is not over",
        })
    }
}

impl std::error::Error for StartRefusal {}
impl std::error::Error for AttemptRefusal {}
impl std::error::Error for SendRefusal {}
impl std::error::Error for CloseRefusal {}
impl std::error::Error for ExitRefusal {}
