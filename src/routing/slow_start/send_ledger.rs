//! What one server was sent recently, by the time at which it can have arrived there.
//!
//! A send is booked when it is decided, and counts as arriving at any moment until its arrival is proven: by
//! its own outcome, or by a response of its server some time after it was written to the connection. Only
//! time takes an arrived send out of a window, whatever is inferred about restarts. Times and costs are in
//! milliseconds.

use crate::api::Ms;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// A response may have left its server this long before it is observed, so it proves nothing about sends
/// written since.
const TRANSIT_MS: Ms = 20.0;

/// Identifies a send in a ledger; used once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::routing) struct SendKey(u64);

impl SendKey {
    /// The key that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A send whose arrival is not proven yet.
#[derive(Clone, Copy, Debug)]
struct UnprovenSend {
    key: SendKey,
    cost: Ms,
    /// When the send was written to the connection; `None` before that.
    written: Option<Ms>,
}

/// A send that has arrived.
#[derive(Clone, Copy, Debug)]
struct ArrivedSend {
    at: Ms,
    cost: Ms,
    key: SendKey,
}

#[derive(Clone, Debug, Default)]
struct Sends {
    unproven: Vec<UnprovenSend>,
    /// In ascending order of arrival.
    arrived: VecDeque<ArrivedSend>,
}

impl Sends {
    /// Records the arrival of a send: when it was written if that was at most `tolerance` ago, else now.
    fn record_arrival(&mut self, now: Ms, send: UnprovenSend, tolerance: Ms) {
        let at = send.written.filter(|at| now - at <= tolerance).unwrap_or(now);
        let position = self.arrived.iter().rposition(|other| other.at <= at).map_or(0, |before| before + 1);
        self.arrived.insert(position, ArrivedSend { at, cost: send.cost, key: send.key });
    }
}

/// Recent sends to one server. Boxed, because most of many listed servers are sent nothing.
#[derive(Clone, Debug, Default)]
pub(in crate::routing) struct SendLedger {
    sends: Option<Box<Sends>>,
}

impl SendLedger {
    /// Books a send.
    pub fn book(&mut self, cost: Ms, key: SendKey) {
        self.sends.get_or_insert_default().unproven.push(UnprovenSend { key, cost, written: None });
    }

    /// Records that the last byte of a send was written to the connection.
    pub fn record_written(&mut self, now: Ms, key: SendKey) {
        let sends = self.sends.iter_mut().flat_map(|sends| &mut sends.unproven);
        if let Some(send) = sends.into_iter().find(|send| send.key == key) {
            send.written.get_or_insert(now);
        }
    }

    /// Records that a send has ended, so that it has arrived by now or never will. One that may have been on
    /// its way for longer than `tolerance` counts as having arrived now.
    pub fn record_end(&mut self, now: Ms, key: SendKey, tolerance: Ms) {
        self.record_arrivals(now, tolerance, |send| send.key == key);
    }

    /// Records a response to a send. Sends that were written well before it have arrived as well.
    pub fn record_response(&mut self, now: Ms, key: SendKey, tolerance: Ms) {
        self.record_end(now, key, tolerance);
        self.record_arrivals(now, tolerance, |send| send.written.is_some_and(|at| at <= now - TRANSIT_MS));
    }

    fn record_arrivals(&mut self, now: Ms, tolerance: Ms, is_proven: impl Fn(&UnprovenSend) -> bool) {
        let Some(sends) = &mut self.sends else { return };
        while let Some(index) = sends.unproven.iter().position(&is_proven) {
            let send = sends.unproven.swap_remove(index);
            sends.record_arrival(now, send, tolerance);
        }
    }

    /// Removes a send that provably never arrived.
    pub fn cancel(&mut self, key: SendKey) {
        let Some(sends) = &mut self.sends else { return };
        sends.unproven.retain(|send| send.key != key);
        if let Some(index) = sends.arrived.iter().rposition(|send| send.key == key) {
            sends.arrived.remove(index);
        }
    }

    /// Upper bound of the cost that has arrived since a time or may still arrive.
    pub fn cost_since(&self, since: Ms) -> Ms {
        let Some(sends) = &self.sends else { return 0.0 };
        let unproven: f64 = sends.unproven.iter().map(|send| send.cost).sum();
        let arrived = sends.arrived.iter().rev().take_while(|send| send.at >= since);
        unproven + arrived.map(|send| send.cost).sum::<f64>()
    }

    /// Removes sends that arrived before a time.
    pub fn expire(&mut self, before: Ms) {
        let Some(sends) = &mut self.sends else { return };
        while sends.arrived.front().is_some_and(|send| send.at < before) {
            sends.arrived.pop_front();
        }
        if self.is_empty() {
            self.sends = None;
        }
    }

    /// Whether no send is booked.
    pub fn is_empty(&self) -> bool {
        self.sends.as_ref().is_none_or(|sends| sends.unproven.is_empty() && sends.arrived.is_empty())
    }
}
