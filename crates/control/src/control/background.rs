//! Background changes: register changes that are retried until they take effect, conflict with the record, or are abandoned.
//!
//! Inputs: register responses, time in milliseconds. An unavailable change is retried after [`RETRY_DELAY_MS`] and abandoned after
//! [`ABANDON_AFTER_MS`], or at once if [`MAX_BACKGROUND_CHANGES`] are pending. The lease of an abandoned change is no longer held here, so the
//! next router that requests it finds the outcome unknown.

use super::requests::Requester;
use super::timers::Timer;
use super::Control;
use basaltgw_registers::{Change, Record, RecordKey, Response};
use basaltgw_types::Ms;
use std::collections::BTreeMap;

/// Time limit of an attempt, and delay before the next one.
const RETRY_DELAY_MS: Ms = 250.0;
/// Longer than the replacement of a router that lost its data takes.
const ABANDON_AFTER_MS: Ms = 60_000.0;
/// Bounds the memory of pending changes.
const MAX_BACKGROUND_CHANGES: usize = 65_536;

/// Number of a background change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BackgroundChangeNumber(u64);

/// What a background change does.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Operation {
    /// Apply this change.
    Apply(Change),
    /// Read the record, and release the lease if this process acquired it without reporting it to the owner.
    ReleaseUnreported,
}

/// Register change that nothing waits for.
#[derive(Debug)]
struct BackgroundChange {
    key: RecordKey,
    operation: Operation,
    abandon_at: Ms,
}

/// Pending background changes.
#[derive(Debug, Default)]
pub(super) struct BackgroundChanges {
    pending: BTreeMap<BackgroundChangeNumber, BackgroundChange>,
    last_number: u64,
}

impl BackgroundChanges {
    fn add(&mut self, change: BackgroundChange) -> BackgroundChangeNumber {
        self.last_number += 1;
        let number = BackgroundChangeNumber(self.last_number);
        self.pending.insert(number, change);
        number
    }

    /// Whether a change of this register is pending.
    pub fn is_changing(&self, key: &RecordKey) -> bool {
        self.pending.values().any(|change| change.key == *key)
    }

    /// Cancels releases of this lease that have not found its term yet.
    pub fn cancel_unreported_release(&mut self, key: &RecordKey) {
        self.pending
            .retain(|_, change| change.key != *key || change.operation != Operation::ReleaseUnreported);
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }
}

impl Control {
    /// Starts a background change.
    pub(super) fn start_background_change(&mut self, now: Ms, key: RecordKey, operation: Operation) {
        let change = BackgroundChange { key, operation, abandon_at: now + ABANDON_AFTER_MS };
        if self.background.len() >= MAX_BACKGROUND_CHANGES {
            return self.abandon(&change);
        }
        let number = self.background.add(change);
        self.attempt_background_change(now, number);
    }

    /// Requests the next attempt of a background change, or abandons it.
    pub(super) fn attempt_background_change(&mut self, now: Ms, number: BackgroundChangeNumber) {
        let Some(pending) = self.background.pending.get(&number) else { return };
        if now >= pending.abandon_at {
            if let Some(change) = self.background.pending.remove(&number) {
                self.abandon(&change);
            }
            return;
        }
        let key = pending.key;
        let change = match &pending.operation {
            Operation::Apply(change) => change.clone(),
            Operation::ReleaseUnreported => Change::Read,
        };
        self.request_change(now, Requester::BackgroundChange(number), key, change, RETRY_DELAY_MS);
    }

    /// An attempt of a background change has a response.
    pub(super) fn on_background_response(
        &mut self,
        now: Ms,
        number: BackgroundChangeNumber,
        response: Response,
    ) {
        let Some(change) = self.background.pending.get(&number) else { return };
        let record = match response {
            Response::Unavailable { .. } => return self.retry_later(now, number),
            Response::Committed(record) => Some(record),
            Response::Conflict(record) => record,
        };
        match (record, &change.operation) {
            (Some(Record::Leased { owner, term }), Operation::ReleaseUnreported)
                if owner == self.parts.me =>
            {
                self.release_unreported(now, number, term);
            }
            _ => {
                if let Some(change) = self.background.pending.remove(&number) {
                    self.remove_lease_of(&change);
                }
            }
        }
    }

    /// Releases a lease that this process acquired without reporting it. While the owner is acquiring it again, the
    /// release waits, so that it does not release that lease.
    fn release_unreported(&mut self, now: Ms, number: BackgroundChangeNumber, term: u32) {
        let Some(change) = self.background.pending.get_mut(&number) else { return };
        if self.requests.is_acquiring(&change.key) {
            return self.retry_later(now, number);
        }
        change.operation = Operation::Apply(Change::Release(self.parts.me.clone(), term));
        self.attempt_background_change(now, number);
    }

    fn retry_later(&mut self, now: Ms, number: BackgroundChangeNumber) {
        self.timers.schedule(now + RETRY_DELAY_MS, Timer::BackgroundChange(number));
    }

    /// Counts an abandoned change, and removes its lease.
    fn abandon(&mut self, change: &BackgroundChange) {
        self.counts.background_changes_abandoned += 1;
        self.remove_lease_of(change);
    }

    /// Removes the lease that a change released or completed, unless it was acquired again since.
    fn remove_lease_of(&mut self, change: &BackgroundChange) {
        if let Operation::Apply(Change::Release(_, term) | Change::Complete(_, term, _)) = &change.operation {
            self.leases.remove_term(&change.key, *term);
        }
    }
}
