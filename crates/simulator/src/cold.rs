//! The overload limit of a node that has just started: its load within a sliding window against its present capacity.

use crate::spec::ColdSpec;
use crate::Ms;
use std::collections::VecDeque;

/// The load of a node since its start.
#[derive(Clone, Debug)]
pub struct ColdLoad {
    rule: ColdSpec,
    /// The capacity of the warm node, as sending time per time: its number of slots.
    warm_capacity: f64,
    started: Ms,
    /// Time and weight of the requests within the window.
    recent: VecDeque<(Ms, f64)>,
    recent_weight: f64,
    /// The maximum of `recent_weight` so far, as a share of the limit at that time.
    max_limit_share: f64,
}

impl ColdLoad {
    /// Creates the load of a node that starts now.
    pub fn new(rule: ColdSpec, warm_capacity: f64, started: Ms) -> Self {
        Self {
            rule,
            warm_capacity,
            started,
            recent: VecDeque::new(),
            recent_weight: 0.0,
            max_limit_share: 0.0,
        }
    }

    /// True while the limit applies.
    pub fn is_cold(&self, now: Ms) -> bool {
        now - self.started < self.rule.span_ms
    }

    /// The share of the warm capacity that the node has now, rising linearly until it is warm.
    pub fn capacity_share(&self, now: Ms) -> f64 {
        let age = ((now - self.started) / self.rule.span_ms).clamp(0.0, 1.0);
        self.rule.share + (1.0 - self.rule.share) * age
    }

    /// Records a request by its sending time in ms; true if the load exceeds the limit.
    pub fn record(&mut self, now: Ms, weight: f64) -> bool {
        if !self.is_cold(now) {
            self.recent.clear();
            self.recent_weight = 0.0;
            return false;
        }
        self.recent.push_back((now, weight));
        self.recent_weight += weight;
        while let Some((_, expired)) =
            self.recent.front().copied().filter(|(at, _)| *at < now - self.rule.window_ms)
        {
            self.recent_weight -= expired;
            self.recent.pop_front();
        }
        let limit = self.rule.multiple * self.capacity_share(now) * self.warm_capacity * self.rule.window_ms;
        self.max_limit_share = self.max_limit_share.max(self.recent_weight / limit);
        self.recent_weight > limit
    }

    /// The maximum load since the start, as a share of the limit.
    pub fn max_limit_share(&self) -> f64 {
        self.max_limit_share
    }
}

#[cfg(test)]
mod tests;
