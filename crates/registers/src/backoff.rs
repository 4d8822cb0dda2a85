//! Whether a failed round is retried, the backoff before the next one, and the Retry-After of a request that failed.
//!
//! Inputs: the replicas' rejections, the number of attempts, the mean duration of a request, and the settings; all spans in milliseconds. Both
//! delays have jitter, so that proposers that conflicted once do not conflict again.

use crate::message::RejectReason;
use crate::{Settings, UnavailableReason};
use basaltgw_structures::hash::{mix, unit_interval};
use basaltgw_types::Ms;

/// The most doublings of the backoff.
const MAX_DOUBLINGS: i32 = 6;

/// The Retry-After, in rounds, of a request that failed by contention or by a limit.
const BUSY_RETRY_ROUNDS: f64 = 4.0;

/// The Retry-After, in rounds, of a request that can succeed only once replicas, disks or the shard map have recovered.
const FAULT_RETRY_ROUNDS: f64 = 16.0;

/// A deterministic source of jitter.
#[derive(Clone, Debug)]
pub(crate) struct Jitter {
    seed: u64,
    samples: u64,
}

impl Jitter {
    pub fn new(seed: u64) -> Self {
        Self { seed, samples: 0 }
    }

    /// A factor from 0.5 to 1.
    fn factor(&mut self) -> f64 {
        self.samples += 1;
        0.5 + 0.5 * unit_interval(mix(self.seed, self.samples))
    }
}

/// Whether a failed round is followed by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoundFailure {
    /// Another round may succeed. The reason applies if no attempts are left.
    Retryable(UnavailableReason),
    /// No further round succeeds before replicas recover.
    Final(UnavailableReason),
}

/// Classifies a failed round by its rejections. Contention and an epoch mismatch are retryable; of the two, contention is reported.
pub(crate) fn classify<'a>(rejections: impl Iterator<Item = &'a RejectReason> + Clone) -> RoundFailure {
    if rejections.clone().any(|r| matches!(r, RejectReason::BallotTooOld(_))) {
        return RoundFailure::Retryable(UnavailableReason::Contended);
    }
    if rejections.clone().any(RejectReason::is_epoch_mismatch) {
        return RoundFailure::Retryable(UnavailableReason::StalePlacement);
    }
    let final_reason = rejections.clone().find_map(|reason| match reason {
        RejectReason::StorageFailed => Some(UnavailableReason::StorageFailed),
        RejectReason::ResourceExhausted => Some(UnavailableReason::ResourceExhausted),
        RejectReason::NotReplica => Some(UnavailableReason::StalePlacement),
        RejectReason::BallotTooOld(_) | RejectReason::StaleEpoch | RejectReason::FutureEpoch => None,
    });
    RoundFailure::Final(final_reason.unwrap_or(UnavailableReason::NoQuorum))
}

/// The delay before the next round. The first contention is retried at once: usually the ballot's counter was merely too low.
pub(crate) fn retry_delay(
    reason: UnavailableReason,
    attempts: u32,
    settings: &Settings,
    jitter: &mut Jitter,
) -> Ms {
    if reason == UnavailableReason::Contended && attempts == 1 {
        return 0.0;
    }
    let doublings = i32::try_from(attempts).unwrap_or(MAX_DOUBLINGS).min(MAX_DOUBLINGS);
    settings.min_backoff_ms * 2f64.powi(doublings) * jitter.factor()
}

/// The Retry-After of a failed request, within the bounds of the settings.
pub(crate) fn retry_after(
    reason: UnavailableReason,
    mean_request_ms: Ms,
    settings: &Settings,
    jitter: &mut Jitter,
) -> Ms {
    let rounds = match reason {
        UnavailableReason::DeadlineExceeded
        | UnavailableReason::Contended
        | UnavailableReason::ResourceExhausted => BUSY_RETRY_ROUNDS,
        UnavailableReason::NoPlacement
        | UnavailableReason::NoQuorum
        | UnavailableReason::StorageFailed
        | UnavailableReason::StalePlacement
        | UnavailableReason::NotCaughtUp
        | UnavailableReason::InvalidTransition => FAULT_RETRY_ROUNDS,
    };
    let (least, most) = (settings.min_retry_after_ms, settings.max_retry_after_ms);
    (mean_request_ms.max(least) * rounds * jitter.factor()).clamp(least, most)
}
