//! Offered plans: checked, split into steps, begun and rolled back.

use super::source_table::added_sources;
use super::transfer::{ShareTransfer, FIRST_SHARE, NO_SHARE, WHOLE_SHARE};
use super::{Action, Change, ChangeState, TopologyManager};
use crate::plan::{Plan, PlanError, PlanSpec};
use crate::{split_into_steps, Ms};
use std::collections::VecDeque;
use std::sync::Arc;

impl TopologyManager {
    /// Begins the change to an offered plan, or rejects the plan. The first plan takes effect at once.
    pub(super) fn offer(&mut self, now: Ms, spec: PlanSpec, actions: &mut Vec<Action>) {
        let version = spec.version;
        match self.steps_to(spec) {
            Err(error) => actions.push(Action::Rejected(error)),
            Ok(mut steps) => {
                self.highest_offered = Some(version);
                let entered = |state, reason: String| Action::StateEntered { version, state, reason };
                actions
                    .push(entered(ChangeState::Offered, "a plan with a higher version was offered".into()));
                actions.push(entered(ChangeState::Checked, format!("no fault found; {} steps", steps.len())));
                if self.plan.is_none() {
                    self.plan = steps.pop_back();
                    actions
                        .push(entered(ChangeState::Completed, "the first plan takes effect at once".into()));
                    actions.push(Action::UseSources(self.source_table()));
                    return;
                }
                self.begin_step(now, steps, Vec::new(), actions);
            }
        }
    }

    /// The checked plans that lead from the plan in use to the offered one.
    fn steps_to(&self, spec: PlanSpec) -> Result<VecDeque<Arc<Plan>>, PlanError> {
        if let Some(c) = &self.change {
            return Err(PlanError::ChangeInProgress(c.next.version()));
        }
        if let Some(highest) = self.highest_offered.filter(|highest| *highest >= spec.version) {
            return Err(PlanError::StaleVersion { offered: spec.version, highest });
        }
        let plan = Plan::from_spec(spec)?;
        match &self.plan {
            None => Ok(VecDeque::from([Arc::new(plan)])),
            Some(old) => {
                let steps = split_into_steps(old, &plan, self.settings.max_versions_behind)?;
                Ok(steps.into_iter().map(Arc::new).collect())
            }
        }
    }

    /// Begins the first of `steps`, if there is one.
    pub(super) fn begin_step(
        &mut self,
        now: Ms,
        mut steps: VecDeque<Arc<Plan>>,
        earlier_plans: Vec<Arc<Plan>>,
        actions: &mut Vec<Action>,
    ) {
        let (Some(old), Some(next)) = (self.plan.clone(), steps.pop_front()) else { return };
        let newcomers = added_sources(&old, &next).into_iter().map(|node| {
            let step = if self.is_up(&node) { FIRST_SHARE } else { NO_SHARE };
            ShareTransfer::new(node, step, now)
        });
        let newcomers = newcomers.collect();
        let leavers = added_sources(&next, &old)
            .into_iter()
            .map(|node| ShareTransfer::new(node, WHOLE_SHARE, now))
            .collect();
        self.loops.clear();
        self.change = Some(Change {
            next,
            later_steps: steps,
            earlier_plans,
            state: ChangeState::Checked,
            newcomers,
            leavers,
            rolling_back: false,
        });
        self.enter(ChangeState::Warming, "newcomers get their first share".into(), actions);
        actions.push(Action::UseSources(self.source_table()));
    }

    /// Reverses the change in progress: newcomers become leavers and leavers newcomers, with the shares that they have now.
    pub(super) fn roll_back(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let Some((c, plan)) = self.change.take().zip(self.plan.clone()) else {
            actions.push(Action::Rejected(PlanError::NoChangeInProgress));
            return;
        };
        let restarted = |transfers: Vec<ShareTransfer>| -> Vec<ShareTransfer> {
            let restart = |t: ShareTransfer| ShareTransfer {
                last_request: t.last_request,
                ..ShareTransfer::new(t.source, t.step, now)
            };
            transfers.into_iter().map(restart).collect()
        };
        let mut steps_back: VecDeque<Arc<Plan>> = c.earlier_plans.into_iter().rev().collect();
        if c.rolling_back {
            // A rollback that is itself rolled back goes forward again, to the end of the current step only.
            steps_back.clear();
        }
        let (mut newcomers, leavers) = (restarted(c.leavers), restarted(c.newcomers));
        // A leaver that had given up everything gets its first share again, if it is up.
        for t in newcomers.iter_mut().filter(|t| t.step == NO_SHARE && self.is_up(&t.source)) {
            t.step = FIRST_SHARE;
        }
        self.plan = Some(c.next);
        self.loops.clear();
        self.change = Some(Change {
            next: plan,
            later_steps: steps_back,
            earlier_plans: Vec::new(),
            state: ChangeState::Warming,
            newcomers,
            leavers,
            rolling_back: !c.rolling_back,
        });
        self.enter(ChangeState::Warming, "rolled back: leavers get their shares back".into(), actions);
        actions.push(Action::UseSources(self.source_table()));
    }
}
