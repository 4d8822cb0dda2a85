//! The owner's timers.

use crate::caches::{AttemptKey, RequestNo};
use basaltgw::api::Ms;
use basaltgw_registers::RequestNumber;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// A timer of the decision module, with its token.
    Router(u64),
    /// An attempt times out.
    AttemptTimeout(AttemptKey),
    /// The time by which an attempt has to start has passed.
    AttemptStart(AttemptKey),
    /// A lease that another router holds is polled.
    LeasePoll(RequestNo),
    /// The response to a change of a record is overdue.
    LeaseTimeout {
        /// The request whose record is changed.
        request: RequestNo,
        /// The number of the change.
        change: RequestNumber,
    },
    /// A timer of the scatter-gather engine is due.
    ScatterGather,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due_us: u64,
    /// Timers due at the same time fire in the order in which they were set.
    sequence: u64,
    kind: TimerKind,
}

/// Unneeded timers are removed when there are this many timers, and then whenever their number has doubled.
const MIN_TIMERS_TO_PRUNE: usize = 1024;

/// Timers by due time. A timer stays until it is due or [`Timers::prune`] removes it, even if the attempt that it is for has ended.
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<Timer>>,
    last_sequence: u64,
    prune_at: usize,
}

impl Default for Timers {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), last_sequence: 0, prune_at: MIN_TIMERS_TO_PRUNE }
    }
}

impl Timers {
    /// Removes the timers that are not needed if their number has grown, so that there are never more than twice as many as were needed at
    /// one time.
    pub(super) fn prune(&mut self, is_needed: impl Fn(&TimerKind) -> bool) {
        if self.heap.len() < self.prune_at {
            return;
        }
        self.heap.retain(|Reverse(timer)| is_needed(&timer.kind));
        self.prune_at = MIN_TIMERS_TO_PRUNE.max(2 * self.heap.len());
        self.heap.shrink_to(self.prune_at);
    }

    /// The number of timers.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.heap.len()
    }

    pub(super) fn set(&mut self, at: Ms, kind: TimerKind) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Timer { due_us: micros(at), sequence: self.last_sequence, kind }));
    }

    /// When the next timer is due.
    pub(super) fn next_due(&self) -> Option<Ms> {
        self.heap.peek().map(|Reverse(timer)| timer.due_us as f64 / 1000.0)
    }

    /// Removes and returns the timers that are due.
    pub(super) fn take_due(&mut self, now: Ms) -> Vec<TimerKind> {
        let now_us = micros(now);
        let mut due = Vec::new();
        while let Some(Reverse(timer)) = self.heap.peek().filter(|Reverse(timer)| timer.due_us <= now_us) {
            due.push(timer.kind);
            self.heap.pop();
        }
        // The owner's timers go before the decision module's, at which that rejects or fails requests: it should know the attempts'
        // timeouts then.
        due.sort_by_key(|kind| matches!(kind, TimerKind::Router(_)));
        due
    }
}

/// A time in whole microseconds, so that it can be ordered and compared exactly.
pub(super) fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}
