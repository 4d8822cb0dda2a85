//! New plans: checked, split into steps, begun, and taken back.

use super::*;
use crate::plan::{Plan, PlanSpec, Refusal};
use crate::{steps, Ms};
use std::collections::VecDeque;
use std::sync::Arc;

impl Reshape {
    // ---- Offers ----

    pub(super) fn offer(&mut self, now: Ms, spec: PlanSpec, acts: &mut Vec<Act>) {
        let offered = spec.version;
        match self.steps_to(spec) {
            Err(refusal) => acts.push(Act::Refused(refusal)),
            Ok(mut steps) => {
                self.highest = Some(offered);
                let entered = |state, why: String| Act::Entered(offered, state, why);
                acts.push(entered(State::Offered, "a later version came in".into()));
                acts.push(entered(State::Checked, format!("no fault found; {} steps", steps.len())));
                if self.plan.is_none() {
                    self.plan = steps.pop_back();
                    acts.push(entered(State::Gone, "the first plan acts whole".into()));
                    acts.push(Act::Use(self.table()));
                    return;
                }
                self.begin(now, steps, Vec::new(), acts);
            }
        }
    }

    /// The checked steps to a plan.
    pub(super) fn steps_to(&self, spec: PlanSpec) -> Result<VecDeque<Arc<Plan>>, Refusal> {
        if let Some(c) = &self.change {
            return Err(Refusal::Busy(c.next.version()));
        }
        if let Some(has) = self.highest.filter(|has| *has >= spec.version) {
            return Err(Refusal::Version { offered: spec.version, has });
        }
        let plan = Plan::check(spec)?;
        match &self.plan {
            None => Ok(VecDeque::from([Arc::new(plan)])),
            Some(old) => Ok(steps(old, &plan, self.set.behind)?.into_iter().map(Arc::new).collect()),
        }
    }

    /// Begins the next step, if there is one.
    pub(super) fn begin(
        &mut self,
        now: Ms,
        mut then: VecDeque<Arc<Plan>>,
        passed: Vec<Arc<Plan>>,
        acts: &mut Vec<Act>,
    ) {
        let (Some(old), Some(next)) = (self.plan.clone(), then.pop_front()) else { return };
        let (come, go) = (gained(&old, &next), gained(&next, &old));
        let come = come.into_iter().map(|n| {
            let step = if self.up(&n) { FIRST } else { NONE };
            Moving::new(n, step, now)
        });
        let come = come.collect();
        let go = go.into_iter().map(|n| Moving::new(n, WHOLE, now)).collect();
        self.loops.clear();
        self.change = Some(Change { next, then, passed, state: State::Checked, come, go, back: false });
        self.enter(State::Warming, "newcomers take their first share".into(), acts);
        acts.push(Act::Use(self.table()));
    }

    /// Turns the change round: who came leaves again, who left comes back, from the shares that they have now.
    pub(super) fn take_back(&mut self, now: Ms, acts: &mut Vec<Act>) {
        let Some((c, plan)) = self.change.take().zip(self.plan.clone()) else {
            acts.push(Act::Refused(Refusal::Nothing));
            return;
        };
        let turned = |moving: Vec<Moving>| -> Vec<Moving> {
            moving.into_iter().map(|m| Moving { last: m.last, ..Moving::new(m.node, m.step, now) }).collect()
        };
        let mut back: VecDeque<Arc<Plan>> = c.passed.into_iter().rev().collect();
        if c.back {
            // Taken back once more: forward again, as far as this step goes.
            back.clear();
        }
        let (mut come, go) = (turned(c.go), turned(c.come));
        // Who had given up everything begins again with its first share, if it is there.
        for m in come.iter_mut().filter(|m| m.step == NONE && self.up(&m.node)) {
            m.step = FIRST;
        }
        self.plan = Some(c.next);
        self.loops.clear();
        self.change = Some(Change {
            next: plan,
            then: back,
            passed: Vec::new(),
            state: State::Warming,
            come,
            go,
            back: !c.back,
        });
        self.enter(State::Warming, "taken back: leavers take their shares again".into(), acts);
        acts.push(Act::Use(self.table()));
    }
}
