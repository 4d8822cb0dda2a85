//! The rule on nodes that have just started, as a count: what reaches one within a window against what it can do.

use crate::spec::ColdSpec;
use crate::Ms;
use std::collections::VecDeque;

/// What reached a node since it started.
#[derive(Clone, Debug)]
pub struct ColdCount {
    rule: ColdSpec,
    /// Sending time that it can do in a millisecond when warm.
    capacity: f64,
    started: Ms,
    reached: VecDeque<(Ms, f64)>,
    sum: f64,
    /// The largest share of the limit that was reached.
    most: f64,
}

impl ColdCount {
    /// A node of that capacity that started then.
    pub fn new(rule: ColdSpec, capacity: f64, started: Ms) -> Self {
        Self { rule, capacity, started, reached: VecDeque::new(), sum: 0.0, most: 0.0 }
    }

    /// True while the rule holds for it.
    pub fn cold(&self, now: Ms) -> bool {
        now - self.started < self.rule.span_ms
    }

    /// The part of its capacity that it has at a time.
    pub fn share(&self, now: Ms) -> f64 {
        let age = ((now - self.started) / self.rule.span_ms).clamp(0.0, 1.0);
        self.rule.share + (1.0 - self.rule.share) * age
    }

    /// So much reached it; true if that brings it down.
    pub fn reached(&mut self, now: Ms, weight: f64) -> bool {
        if !self.cold(now) {
            self.reached.clear();
            self.sum = 0.0;
            return false;
        }
        self.reached.push_back((now, weight));
        self.sum += weight;
        while let Some((at, old)) =
            self.reached.front().copied().filter(|(at, _)| *at < now - self.rule.window_ms)
        {
            let _ = at;
            self.sum -= old;
            self.reached.pop_front();
        }
        let limit = self.rule.multiple * self.share(now) * self.capacity * self.rule.window_ms;
        self.most = self.most.max(self.sum / limit);
        self.sum > limit
    }

    /// The largest share of the limit that was reached.
    pub fn most(&self) -> f64 {
        self.most
    }
}

#[cfg(test)]
mod tests;
