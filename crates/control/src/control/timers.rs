//! Pending timers, and the interval of maintenance.

use super::background::BackgroundChangeNumber;
use basaltgw_types::Ms;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Interval at which purges and the table are checked.
pub const MAINTENANCE_INTERVAL_MS: Ms = 250.0;

const MICROS_PER_MS: f64 = 1_000.0;

/// What is due when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Registers, with their token.
    Registers(u64),
    /// Membership, with its token.
    Membership(u64),
    /// Next attempt of a background change.
    BackgroundChange(BackgroundChangeNumber),
}

/// Entry of the queue; ordered by due time, then by the order of scheduling.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    due_us: u64,
    sequence: u64,
    timer: Timer,
}

/// Pending timers in microseconds, and the time of the last maintenance.
#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: BinaryHeap<Reverse<Entry>>,
    last_sequence: u64,
    last_maintenance_at: Ms,
}

impl Timers {
    pub fn schedule(&mut self, at: Ms, timer: Timer) {
        self.last_sequence += 1;
        self.queue.push(Reverse(Entry { due_us: to_micros(at), sequence: self.last_sequence, timer }));
    }

    /// Removes the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Ms) -> Option<Timer> {
        let Reverse(earliest) = self.queue.peek()?;
        if earliest.due_us > to_micros(now) {
            return None;
        }
        self.queue.pop().map(|Reverse(entry)| entry.timer)
    }

    /// Whether maintenance is due; if so, the next interval begins.
    pub fn begin_due_maintenance(&mut self, now: Ms) -> bool {
        let is_due = now >= self.next_maintenance();
        if is_due {
            self.last_maintenance_at = now;
        }
        is_due
    }

    fn next_maintenance(&self) -> Ms {
        self.last_maintenance_at + MAINTENANCE_INTERVAL_MS
    }

    /// When the earliest timer or the next maintenance is due.
    pub fn next_due(&self) -> Ms {
        let maintenance = self.next_maintenance();
        // Half a microsecond is added so that a timer is due at the returned time despite rounding.
        let to_ms = |due_us: u64| (due_us as f64 + 0.5) / MICROS_PER_MS;
        self.queue.peek().map_or(maintenance, |Reverse(entry)| maintenance.min(to_ms(entry.due_us)))
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }
}

fn to_micros(at: Ms) -> u64 {
    (at.max(0.0) * MICROS_PER_MS) as u64
}
