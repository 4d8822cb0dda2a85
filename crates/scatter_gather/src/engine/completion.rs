//! When a gather is answered, and with what.

use super::{timer_key, Gathers};
use crate::api::{Action, AttemptNo, Copy, GatherNo, Missing, Verdict};
use crate::broken::Broken;
use crate::pending_request::{Attempt, PendingPart, Selection};
use crate::settings::MOST_MS;
use crate::site_table::AttemptSignal;
use crate::wait_decision::ArrivalForecast;
use basaltgw_types::Ms;
use std::collections::BTreeSet;

/// A gather is looked at again after this share of the time that it means to wait.
const EVALUATION_FRACTION: f64 = 0.25;
/// Times to come back are spread by up to this share, so that those who were told together do not come together.
const RETRY_AFTER_JITTER: f64 = 0.25;

impl Gathers {
    /// Answers a gather, asks again, or sets the time of the next look.
    pub(super) fn evaluate(&mut self, no: GatherNo, acts: &mut Vec<Action>) {
        let now = self.now;
        loop {
            let Some(open) = self.pending.get_mut(&no) else { return };
            let has = open.best_selection();
            let allows = open.policy_allows(&has);
            if open.is_complete(&has) {
                return self.complete(no, &has, acts);
            }
            if allows && open.answerable_since.is_none() {
                open.answerable_since = Some(now);
            }
            let over = now >= open.deadline_at;
            if !over {
                self.retry_missing_parts(no, acts);
            }
            let Some(open) = self.pending.get(&no) else { return };
            let chances = ArrivalForecast::new(open, &self.sites, &self.settings, now, &has);
            let weighed = chances.evaluate();
            let worth_it = weighed.value_later > weighed.value_now && !over;
            if open.policy.second_copies && !over {
                let at = if worth_it { weighed.best_time } else { open.wait_limit() };
                if let Some((part, site)) = chances.best_hedge(at, weighed.value_now) {
                    if self.send_hedge(no, part, site, acts) {
                        continue;
                    }
                }
            }
            if !worth_it {
                return self.complete(no, &has, acts);
            }
            let Some(open) = self.pending.get(&no) else { return };
            let mut at = now + ((weighed.best_time - now) * EVALUATION_FRACTION).max(self.settings.tick);
            let again = open.parts.iter().filter_map(|p| p.retry_at);
            let bounds = again.chain([open.objective_at, open.wait_limit(), open.deadline_at]);
            at = bounds.filter(|b| *b > now).fold(at, f64::min);
            return self.schedule_evaluation(no, at);
        }
    }

    /// Ends a gather with what it has, or without an answer if the policy allows none.
    pub(super) fn complete(&mut self, no: GatherNo, has: &Selection, acts: &mut Vec<Action>) {
        let Some(open) = self.pending.get(&no) else { return };
        let (used, missing) = (open.used_parts(has), open.missing_parts(has));
        let back = self.retry_after(no, has);
        let verdict = match open.policy_allows(has) {
            true if missing.is_empty() || self.injected_defect.is(Broken::PartAsWhole) => {
                self.counters.whole += 1;
                Verdict::Whole { used }
            }
            true => {
                let owed = open.policy.missing == Missing::Owed;
                self.counters.part += 1;
                self.counters.missing += missing.len() as u64;
                self.counters.owed += u64::from(owed);
                Verdict::Part { used, missing, owed, come_back: self.jittered_retry_after(back) }
            }
            false if self.now >= open.deadline_at => {
                self.counters.failed_late += 1;
                Verdict::Failed
            }
            false
                if open.attempt_failed
                    && (0..open.parts.len()).all(|p| open.in_flight(p).next().is_none()) =>
            {
                self.counters.failed_parts += 1;
                Verdict::Failed
            }
            false => {
                self.counters.refused_hopeless += 1;
                Verdict::Refused { come_back: self.jittered_retry_after(back) }
            }
        };
        let kept = match &verdict {
            Verdict::Whole { used } | Verdict::Part { used, .. } => used.iter().map(|u| u.attempt).collect(),
            Verdict::Refused { .. } | Verdict::Failed | Verdict::Unfit(_) => BTreeSet::new(),
        };
        acts.push(Action::Answer(no, verdict));
        if !self.injected_defect.is(Broken::TwoAnswers) {
            self.remove_request(no, &kept, acts);
        }
    }

    /// Forgets a gather, and gives up what is out for it and what came and is not used. Probes stay out.
    pub(super) fn remove_request(
        &mut self,
        no: GatherNo,
        used: &BTreeSet<AttemptNo>,
        acts: &mut Vec<Action>,
    ) {
        let Some(open) = self.pending.remove(&no) else { return };
        self.evaluation_timers.remove(&(timer_key(open.next_evaluation), no));
        let kept = |a: &AttemptNo, copy: Copy, came: bool| {
            used.contains(a) || (copy == Copy::Probe && !came && self.probes.contains_key(&(no, *a)))
        };
        let drops = open.attempts.into_iter().filter(|(n, a)| !kept(n, a.kind, a.received.is_some()));
        let drops: Vec<(AttemptNo, Attempt)> = drops.collect();
        for (n, a) in drops {
            acts.push(Action::Drop(no, n));
            if a.received.is_none() {
                self.counters.given_up += 1;
                self.record_signal(&a.site, AttemptSignal::Silent(self.now - a.sent_at), false, acts);
            }
        }
    }

    /// When what is missing may be had.
    pub(super) fn retry_after(&self, no: GatherNo, has: &Selection) -> Ms {
        let Some(open) = self.pending.get(&no) else { return 0.0 };
        let missing = open.parts.iter().zip(&has.attempt_by_part).filter(|(_, of)| of.is_none());
        let soonest = |p: &PendingPart| {
            p.sites().map(|s| self.sites.expected_recovery(self.now, s)).fold(MOST_MS, f64::min)
        };
        missing.map(|(p, _)| soonest(p)).fold(self.settings.tick, f64::max)
    }

    pub(super) fn jittered_retry_after(&mut self, back: Ms) -> Ms {
        (back * (1.0 + RETRY_AFTER_JITTER * self.sites.random())).min(self.settings.come_back_most)
    }
}
