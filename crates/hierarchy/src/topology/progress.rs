//! The progress of a topology change: which shares change, and when a state or the whole step is complete.

use super::transfer::{FIRST_SHARE, NO_SHARE, SHARES, WHOLE_SHARE};
use super::{Action, ChangeState, TopologyManager};
use crate::plan::NodeId;
use crate::Ms;

impl TopologyManager {
    /// The highest step that slow start allows a newcomer: its share is at most the part of its capacity that its age allows.
    fn max_step(&self, now: Ms, node: &NodeId) -> usize {
        let slow_start = self.settings.slow_start;
        let started = self.listed.get(node).and_then(|listed| listed.started);
        let age = started.map_or(f64::INFINITY, |t| now - t);
        let capacity_share = if age >= slow_start.ramp_duration {
            1.0
        } else {
            let initial = slow_start.initial_share;
            initial + (1.0 - initial) * (age / slow_start.ramp_duration).max(0.0)
        };
        SHARES.iter().rposition(|s| *s <= capacity_share).unwrap_or(NO_SHARE).max(FIRST_SHARE)
    }

    /// Changes the shares that may change now, and enters the next state once this one is complete.
    pub(super) fn advance(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let Some(c) = &self.change else { return };
        match c.state {
            ChangeState::Offered | ChangeState::Checked | ChangeState::Completed => {}
            ChangeState::Warming => self.grow_newcomers(now, actions),
            ChangeState::Serving => self.begin_retiring(now, actions),
            ChangeState::Retiring => self.shrink_leavers(now, actions),
        }
    }

    fn grow_newcomers(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let Some(c) = &self.change else { return };
        let settings = self.settings;
        let max_steps: Vec<usize> = c.newcomers.iter().map(|t| self.max_step(now, &t.source)).collect();
        let Some(c) = &mut self.change else { return };
        let mut changed = false;
        for (newcomer, max_step) in c.newcomers.iter_mut().zip(max_steps) {
            changed |= newcomer.grow(max_step, now, &settings);
        }
        if c.newcomers.iter().all(|t| t.step == WHOLE_SHARE) {
            self.enter(ChangeState::Serving, "every newcomer has its whole share".into(), actions);
        }
        if changed {
            actions.push(Action::UseSources(self.source_table()));
        }
    }

    fn begin_retiring(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let Some(c) = &mut self.change else { return };
        // The leavers' first step down needs no results: no other source can be tried with these objects before.
        c.leavers.iter_mut().for_each(|t| t.set_step(t.step.saturating_sub(1), now));
        self.enter(ChangeState::Retiring, "leavers give up their shares".into(), actions);
        actions.push(Action::UseSources(self.source_table()));
    }

    fn shrink_leavers(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let Some(c) = &self.change else { return };
        let settings = self.settings;
        let up: Vec<bool> = c.leavers.iter().map(|t| self.is_up(&t.source)).collect();
        let Some(c) = &mut self.change else { return };
        let mut changed = false;
        for (leaver, is_up) in c.leavers.iter_mut().zip(up) {
            changed |= leaver.shrink(is_up, now, &settings);
        }
        let is_drained =
            c.leavers.iter().all(|t| t.step == NO_SHARE && now - t.last_request >= settings.quiet_period);
        if changed {
            actions.push(Action::UseSources(self.source_table()));
        }
        if is_drained {
            self.complete_step(now, actions);
        }
    }

    /// Puts the plan of the current step in use, and begins the next step.
    fn complete_step(&mut self, now: Ms, actions: &mut Vec<Action>) {
        self.enter(ChangeState::Completed, "leavers get no more requests".into(), actions);
        let Some(c) = self.change.take() else { return };
        let old = self.plan.replace(c.next);
        let mut earlier_plans = c.earlier_plans;
        earlier_plans.extend(old);
        self.loops.clear();
        let plan = self.plan.clone();
        let is_named = |n: &NodeId| plan.iter().chain(&c.later_steps).any(|p| p.node(n).is_some());
        self.listed.retain(|node, listed| listed.up || is_named(node));
        actions.push(Action::UseSources(self.source_table()));
        self.begin_step(now, c.later_steps, earlier_plans, actions);
        if let Some(change) = &mut self.change {
            change.rolling_back = c.rolling_back;
        }
    }
}
