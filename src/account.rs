//! What one server was sent lately, by when it can have arrived there: the account that slow start goes by.
//!
//! A send is booked as it is decided and counts as arriving at any moment until its arrival is proven: by its own end, or by an answer
//! of its server some time after it was put on the wire. Nothing but time takes a booking out of a window, whatever is inferred of restarts.

use crate::api::Ms;
use std::collections::VecDeque;

/// An answer may have left its server this long before it is seen here, so it proves nothing of what was written since.
const TRANSIT_MS: Ms = 20.0;

/// A send whose arrival is not proven yet.
#[derive(Clone, Copy, Debug)]
struct Unproven {
    key: u64,
    weight: f64,
    /// When it was put on the wire; `None` while it waits for that.
    written: Option<Ms>,
}

/// A send that has arrived.
#[derive(Clone, Copy, Debug)]
struct Arrived {
    at: Ms,
    weight: f64,
    key: u64,
}

#[derive(Clone, Debug, Default)]
struct Sends {
    unproven: Vec<Unproven>,
    /// By time.
    arrived: VecDeque<Arrived>,
}

impl Sends {
    fn arrive(&mut self, now: Ms, send: Unproven, tolerance: Ms) {
        let at = send.written.filter(|at| now - at <= tolerance).unwrap_or(now);
        let place = self.arrived.iter().rposition(|other| other.at <= at).map_or(0, |before| before + 1);
        self.arrived.insert(place, Arrived { at, weight: send.weight, key: send.key });
    }
}

/// Sends to one server, under keys that the caller uses once. Of hundreds that are listed most are sent nothing, and hold nothing.
#[derive(Clone, Debug, Default)]
pub struct SendAccount(Option<Box<Sends>>);

impl SendAccount {
    /// Books a send that was decided.
    pub fn book(&mut self, weight: f64, key: u64) {
        self.0.get_or_insert_default().unproven.push(Unproven { key, weight, written: None });
    }

    /// The last byte of a send was put on the wire.
    pub fn written(&mut self, now: Ms, key: u64) {
        let sends = self.0.iter_mut().flat_map(|sends| &mut sends.unproven);
        if let Some(send) = sends.into_iter().find(|send| send.key == key) {
            send.written.get_or_insert(now);
        }
    }

    /// A send is over, so it has arrived by now or never will. Where it may have been on its way for longer than `tolerance`, it counts as
    /// having arrived now.
    pub fn settle(&mut self, now: Ms, key: u64, tolerance: Ms) {
        self.arrive_all(now, tolerance, |send| send.key == key);
    }

    /// The server has answered something, the send of that key for one: what was put on the wire well before has arrived, too.
    pub fn answered(&mut self, now: Ms, key: u64, tolerance: Ms) {
        self.settle(now, key, tolerance);
        self.arrive_all(now, tolerance, |send| send.written.is_some_and(|at| at <= now - TRANSIT_MS));
    }

    fn arrive_all(&mut self, now: Ms, tolerance: Ms, proven: impl Fn(&Unproven) -> bool) {
        let Some(sends) = &mut self.0 else { return };
        while let Some(index) = sends.unproven.iter().position(&proven) {
            let send = sends.unproven.swap_remove(index);
            sends.arrive(now, send, tolerance);
        }
    }

    /// Takes back a send that provably never arrived.
    pub fn take_back(&mut self, key: u64) {
        let Some(sends) = &mut self.0 else { return };
        sends.unproven.retain(|send| send.key != key);
        if let Some(index) = sends.arrived.iter().rposition(|send| send.key == key) {
            sends.arrived.remove(index);
        }
    }

    /// The most that can have arrived since then, or may still arrive.
    pub fn since(&self, since: Ms) -> f64 {
        let Some(sends) = &self.0 else { return 0.0 };
        let unproven: f64 = sends.unproven.iter().map(|send| send.weight).sum();
        let arrived = sends.arrived.iter().rev().take_while(|send| send.at >= since);
        unproven + arrived.map(|send| send.weight).sum::<f64>()
    }

    /// Drops what arrived before.
    pub fn forget(&mut self, before: Ms) {
        let Some(sends) = &mut self.0 else { return };
        while sends.arrived.front().is_some_and(|send| send.at < before) {
            sends.arrived.pop_front();
        }
        if self.is_empty() {
            self.0 = None;
        }
    }

    /// Nothing is booked.
    pub fn is_empty(&self) -> bool {
        self.0.as_ref().is_none_or(|sends| sends.unproven.is_empty() && sends.arrived.is_empty())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TOLERANCE_MS: Ms = 10.0;

    #[test]
    fn send_that_waits_for_its_connection_counts_until_a_window_after_it_arrived() {
        let mut account = SendAccount::default();
        account.book(1.0, 1);
        assert_eq!(account.since(5_000.0), 1.0, "not written yet");
        account.written(6_000.0, 1);
        assert_eq!(account.since(8_000.0), 1.0, "not answered yet");
        account.answered(9_000.0, 1, TOLERANCE_MS);
        assert_eq!((account.since(9_000.0), account.since(9_001.0)), (1.0, 0.0));
    }

    #[test]
    fn answer_proves_the_arrival_of_what_was_written_well_before() {
        let mut account = SendAccount::default();
        for (key, at) in [(1, 0.0), (2, 35.0), (3, 50.0)] {
            account.book(1.0, key);
            account.written(at, key);
        }
        account.answered(56.0, 1, 30.0);
        assert_eq!(account.since(51.0), 2.0, "the first took long and counts as new, the third may yet come");
        assert_eq!(account.since(35.0), 3.0, "the second arrived as it was written");
        account.settle(90.0, 3, 30.0);
        assert_eq!((account.since(57.0), account.since(91.0)), (1.0, 0.0));
    }

    #[test]
    fn send_that_was_taken_back_counts_nowhere_and_the_past_is_forgotten() {
        let mut account = SendAccount::default();
        account.book(2.0, 1);
        account.book(3.0, 2);
        account.settle(10.0, 1, TOLERANCE_MS);
        account.take_back(1);
        account.take_back(2);
        assert!(account.is_empty());
        account.book(1.0, 3);
        account.settle(20.0, 3, TOLERANCE_MS);
        account.forget(20.5);
        assert!(account.is_empty());
    }
}
