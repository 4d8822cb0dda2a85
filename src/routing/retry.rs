//! Whether a request may run again: the one rule that decides on retries and rejections.
//!
//! A rejection invites the client to send its request again, so it falls under the same rule as a retry. The
//! inputs are the idempotency that the class's settings state, and the time at which the first attempt was
//! sent that may have been executed. Times are in milliseconds.

use super::request::PendingRequest;
use super::Router;
use crate::api::{AttemptResult, Class, Idempotency, KeyScope, Ms};
use std::fmt;

/// What the settings of a request class say about running its requests more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// The servers that recognise a repeated request by its key.
    pub key_scope: KeyScope,
    /// How long servers recognise a key, in milliseconds from the first attempt that may have been executed.
    pub key_window: Ms,
}

/// Why a request may not run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRefusal {
    /// An earlier attempt may have been executed, and the request must not be executed twice.
    MayHaveExecuted,
    /// Servers no longer recognise the request by its key.
    KeyWindowExpired,
}

impl fmt::Display for RetryRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MayHaveExecuted => "an attempt may have been executed",
            Self::KeyWindowExpired => "the idempotency key's window has expired",
        })
    }
}

impl std::error::Error for RetryRefusal {}

/// Whether an attempt with this result was provably never executed by a server.
pub fn not_executed(result: AttemptResult) -> bool {
    match result {
        AttemptResult::Rejected
        | AttemptResult::NoConnection
        | AttemptResult::NotSent
        | AttemptResult::CacheMiss => true,
        AttemptResult::Served
        | AttemptResult::Error
        | AttemptResult::TimedOut
        | AttemptResult::ConnectionLost
        | AttemptResult::Cancelled => false,
    }
}

impl RetryPolicy {
    /// The policy of a request class.
    pub fn for_class(class: &Class) -> Self {
        Self { idempotency: class.idempotency, key_scope: class.key_scope, key_window: class.key_window }
    }

    /// The time until which the request may run again: infinite if it always may, negative infinity if it
    /// never may.
    ///
    /// `first_possible_execution` is the time at which the first attempt was sent that may have been
    /// executed, or may yet be. Servers outside a narrower [`KeyScope`] would not recognise the key, so such
    /// requests are not retried.
    pub fn safe_until(&self, first_possible_execution: Option<Ms>) -> Ms {
        match (self.idempotency, first_possible_execution) {
            (Idempotency::Idempotent, _) | (_, None) => f64::INFINITY,
            (Idempotency::IdempotencyKey, Some(since)) if self.key_scope == KeyScope::All => {
                since + self.key_window
            }
            (Idempotency::IdempotencyKey | Idempotency::NonIdempotent, Some(_)) => f64::NEG_INFINITY,
        }
    }

    /// Whether the request may always run again, whatever has been executed.
    pub(super) fn is_always_safe(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }

    /// Whether the request may run again at a time.
    ///
    /// # Errors
    /// [`RetryRefusal`] with the reason against it.
    pub fn check(&self, now: Ms, first_possible_execution: Option<Ms>) -> Result<(), RetryRefusal> {
        let safe_until = self.safe_until(first_possible_execution);
        if now < safe_until {
            Ok(())
        } else if safe_until == f64::NEG_INFINITY {
            Err(RetryRefusal::MayHaveExecuted)
        } else {
            Err(RetryRefusal::KeyWindowExpired)
        }
    }
}

impl Router {
    /// The time until which a request may run again, or be rejected.
    pub(super) fn retry_safe_until(&self, pending: &PendingRequest) -> Ms {
        let class = &self.settings.classes[pending.class.0];
        RetryPolicy::for_class(class).safe_until(pending.first_possible_execution())
    }
}
