//! The progress of a change under way: which nodes move on to their next share, and when a step is complete.

use super::*;
use crate::plan::NodeId;
use crate::Ms;

impl Reshape {
    // ---- Steps ----

    /// The largest step that a node's age allows: no larger share of its load than it can do of its work.
    pub(super) fn allowed(&self, now: Ms, node: &NodeId) -> usize {
        let cold = self.set.cold;
        let started = self.listed.get(node).and_then(|(_, started)| *started);
        let age = started.map_or(f64::INFINITY, |t| now - t);
        let can =
            if age >= cold.span { 1.0 } else { cold.share + (1.0 - cold.share) * (age / cold.span).max(0.0) };
        SHARES.iter().rposition(|s| *s <= can).unwrap_or(NONE).max(FIRST)
    }

    pub(super) fn advance(&mut self, now: Ms, acts: &mut Vec<Act>) {
        let Some(c) = &self.change else { return };
        let set = self.set;
        match c.state {
            State::Offered | State::Checked | State::Gone => {}
            State::Warming => {
                let allowed: Vec<usize> = c.come.iter().map(|m| self.allowed(now, &m.node)).collect();
                let Some(c) = &mut self.change else { return };
                let mut moved = false;
                for (m, most) in c.come.iter_mut().zip(allowed) {
                    moved |= grow(m, most, now, &set);
                }
                if c.come.iter().all(|m| m.step == WHOLE) {
                    self.enter(State::Serving, "every newcomer has its whole share".into(), acts);
                }
                if moved {
                    acts.push(Act::Use(self.table()));
                }
            }
            State::Serving => {
                let Some(c) = &mut self.change else { return };
                // Nothing of the first portion is tried elsewhere before it is given up.
                c.go.iter_mut().for_each(|m| m.go(m.step.saturating_sub(1), now));
                self.enter(State::Retiring, "leavers give up their shares".into(), acts);
                acts.push(Act::Use(self.table()));
            }
            State::Retiring => {
                let down: Vec<bool> = c.go.iter().map(|m| !self.up(&m.node)).collect();
                let Some(c) = &mut self.change else { return };
                let mut moved = false;
                for (m, down) in c.go.iter_mut().zip(down) {
                    moved |= shrink(m, down, now, &set);
                }
                let quiet = c.go.iter().all(|m| m.step == NONE && now - m.last >= set.quiet);
                if moved {
                    acts.push(Act::Use(self.table()));
                }
                if quiet {
                    self.finish(now, acts);
                }
            }
        }
    }

    pub(super) fn finish(&mut self, now: Ms, acts: &mut Vec<Act>) {
        self.enter(State::Gone, "nothing is asked of leavers any more".into(), acts);
        let Some(c) = self.change.take() else { return };
        let old = self.plan.replace(c.next);
        let mut passed = c.passed;
        passed.extend(old);
        self.loops.clear();
        let plan = self.plan.clone();
        let named = |n: &NodeId| plan.iter().chain(&c.then).any(|p| p.node(n).is_some());
        self.listed.retain(|n, (up, _)| *up || named(n));
        acts.push(Act::Use(self.table()));
        self.begin(now, c.then, passed, acts);
        if let Some(change) = &mut self.change {
            change.back = c.back;
        }
    }
}
