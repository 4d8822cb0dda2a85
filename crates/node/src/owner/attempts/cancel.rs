//! Withdraws, aborts and times out attempts.

use super::{Attempt, Delivery, NO_REPORT};
use crate::caches::{AttemptKey, CancelOutcome, ConnId, RequestNo};
use crate::clients::WireId;
use crate::owner::requests::PendingRequest;
use crate::owner::Owner;
use basaltgw::api::{AttemptNo, AttemptResult, Ms};

/// The result of a cancelled attempt, depending on whether any byte of it was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::owner) struct CancelResults {
    pub(in crate::owner) sent: AttemptResult,
    pub(in crate::owner) unsent: AttemptResult,
}

impl CancelResults {
    pub(in crate::owner) const CANCELLED: Self =
        Self { sent: AttemptResult::Cancelled, unsent: AttemptResult::NotSent };
}

/// A cancelled attempt, in flight until its server has confirmed the abort or its connection is closed.
pub(in crate::owner) struct AbortingAttempt {
    key: AttemptKey,
    result: AttemptResult,
    pub(in crate::owner) connection: ConnId,
    /// The tag under which the server confirms the abort.
    pub(in crate::owner) tag: WireId,
    /// When it was cancelled.
    pub(in crate::owner) since: Ms,
}

impl Owner {
    /// Cancels an attempt. If it was not sent, it ends at once. If it was, it stays in flight until the server confirms the abort: the
    /// request's next attempt, on another connection, could overtake the abort, and two attempts would be in flight.
    pub(in crate::owner) fn cancel_attempt(
        &mut self,
        key: AttemptKey,
        results: CancelResults,
        delivery: Delivery,
    ) {
        let Some(pending) = self.requests.get(key.request) else { return };
        let Some(in_flight) = pending.attempts.get(key.attempt.0).and_then(|a| a.in_flight.as_ref()) else {
            return;
        };
        if self.upstream.aborting.iter().any(|aborting| aborting.key == key) {
            return;
        }
        let connection = in_flight.connection;
        match self.upstream.caches.cancel(connection, &pending.request.id, &in_flight.message) {
            CancelOutcome::NotSent => self.end_attempt(key, results.unsent, NO_REPORT, delivery),
            CancelOutcome::Closed => self.end_attempt(key, results.sent, NO_REPORT, delivery),
            CancelOutcome::AwaitingConfirmation(tag) => {
                let (result, since) = (results.sent, self.time.now);
                self.upstream.aborting.push(AbortingAttempt { key, result, connection, tag, since });
            }
        }
    }

    /// Ends the aborted attempts that match; returns how many.
    pub(in crate::owner) fn reap_aborted(&mut self, matches: impl Fn(&AbortingAttempt) -> bool) -> u64 {
        let aborting = std::mem::take(&mut self.upstream.aborting).into_iter();
        let (ended, aborting): (Vec<_>, Vec<_>) = aborting.partition(matches);
        self.upstream.aborting = aborting;
        let count = ended.len() as u64;
        for attempt in ended {
            self.end_attempt(attempt.key, attempt.result, NO_REPORT, Delivery::Now);
        }
        count
    }

    /// Cancels a request's attempts of which nothing is written, including those that the writer of their connection has recalled.
    pub(in crate::owner) fn withdraw_unsent(&mut self, number: RequestNo) {
        let Some(pending) = self.requests.get(number) else { return };
        let attempts = pending.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_unsent());
        let key = |n| AttemptKey { request: number, attempt: AttemptNo(n) };
        let keys: Vec<AttemptKey> = attempts.map(|(n, _)| key(n)).collect();
        for key in keys {
            self.cancel_attempt(key, CancelResults::CANCELLED, Delivery::NextBatch);
        }
    }

    /// Cancels the matching attempts of which nothing is written, so that their requests are routed again: they were decided before an
    /// endpoint list or purge that concerns them.
    pub(in crate::owner) fn recall(&mut self, is_outdated: impl Fn(&PendingRequest, &Attempt) -> bool) {
        for key in self.requests.unsent_attempts(is_outdated) {
            self.cancel_attempt(key, CancelResults::CANCELLED, Delivery::Now);
        }
    }

    pub(in crate::owner) fn on_attempt_timeout(&mut self, key: AttemptKey) {
        let attempt = self.requests.attempt(key);
        let Some(in_flight) = attempt.and_then(|attempt| attempt.in_flight.as_ref()) else { return };
        let unsent = if self.upstream.caches.is_connecting(in_flight.connection) {
            AttemptResult::NoConnection
        } else {
            AttemptResult::NotSent
        };
        let results = CancelResults { sent: AttemptResult::TimedOut, unsent };
        self.cancel_attempt(key, results, Delivery::Now);
    }

    /// Handles the time by which an attempt had to start: the attempt ends unless its first byte is written.
    pub(in crate::owner) fn on_start_window_closed(&mut self, key: AttemptKey) {
        if self.requests.attempt(key).is_some_and(Attempt::is_unsent) {
            self.counters.attempts.start_window_closed.increment();
            let results = CancelResults { sent: AttemptResult::NotSent, unsent: AttemptResult::NotSent };
            self.cancel_attempt(key, results, Delivery::Now);
        }
    }
}
