//! When a gather is answered, and with what.

use super::{bits, Gathers};
use crate::api::{Action, AttemptNo, Copy, GatherNo, Missing, Verdict};
use crate::broken::Broken;
use crate::open::{Attempt, Choice, Part};
use crate::settings::MOST_MS;
use crate::sites::Sign;
use crate::weigh::Chances;
use basaltgw_types::Ms;
use std::collections::BTreeSet;

/// A gather is looked at again after this share of the time that it means to wait.
const LOOK: f64 = 0.25;
/// Times to come back are spread by up to this share, so that those who were told together do not come together.
const SPREAD: f64 = 0.25;

impl Gathers {
    /// Answers a gather, asks again, or sets the time of the next look.
    pub(super) fn look(&mut self, no: GatherNo, acts: &mut Vec<Action>) {
        let now = self.now;
        loop {
            let Some(open) = self.open.get_mut(&no) else { return };
            let has = open.best();
            let allows = open.allows(&has);
            if open.whole(&has) {
                return self.answer(no, &has, acts);
            }
            if allows && open.could.is_none() {
                open.could = Some(now);
            }
            let over = now >= open.end_at;
            if !over {
                self.refill(no, acts);
            }
            let Some(open) = self.open.get(&no) else { return };
            let chances = Chances::new(open, &self.sites, &self.set, now, &has);
            let weighed = chances.weigh();
            let worth_it = weighed.later > weighed.now && !over;
            if open.policy.second_copies && !over {
                let at = if worth_it { weighed.at } else { open.limit() };
                if let Some((part, site)) = chances.second(at, weighed.now) {
                    if self.second(no, part, site, acts) {
                        continue;
                    }
                }
            }
            if !worth_it {
                return self.answer(no, &has, acts);
            }
            let Some(open) = self.open.get(&no) else { return };
            let mut at = now + ((weighed.at - now) * LOOK).max(self.set.tick);
            let again = open.parts.iter().filter_map(|p| p.again);
            let bounds = again.chain([open.aim_at, open.limit(), open.end_at]);
            at = bounds.filter(|b| *b > now).fold(at, f64::min);
            return self.wake(no, at);
        }
    }

    /// Ends a gather with what it has, or without an answer if the policy allows none.
    pub(super) fn answer(&mut self, no: GatherNo, has: &Choice, acts: &mut Vec<Action>) {
        let Some(open) = self.open.get(&no) else { return };
        let (used, missing) = (open.used(has), open.missing(has));
        let back = self.come_back(no, has);
        let verdict = match open.allows(has) {
            true if missing.is_empty() || self.faults.has(Broken::PartAsWhole) => {
                self.counters.whole += 1;
                Verdict::Whole { used }
            }
            true => {
                let owed = open.policy.missing == Missing::Owed;
                self.counters.part += 1;
                self.counters.missing += missing.len() as u64;
                self.counters.owed += u64::from(owed);
                Verdict::Part { used, missing, owed, come_back: self.spread(back) }
            }
            false if self.now >= open.end_at => {
                self.counters.failed_late += 1;
                Verdict::Failed
            }
            false if open.failed && (0..open.parts.len()).all(|p| open.out(p).next().is_none()) => {
                self.counters.failed_parts += 1;
                Verdict::Failed
            }
            false => {
                self.counters.refused_hopeless += 1;
                Verdict::Refused { come_back: self.spread(back) }
            }
        };
        let kept = match &verdict {
            Verdict::Whole { used } | Verdict::Part { used, .. } => used.iter().map(|u| u.attempt).collect(),
            Verdict::Refused { .. } | Verdict::Failed | Verdict::Unfit(_) => BTreeSet::new(),
        };
        acts.push(Action::Answer(no, verdict));
        if !self.faults.has(Broken::TwoAnswers) {
            self.close(no, &kept, acts);
        }
    }

    /// Forgets a gather, and gives up what is out for it and what came and is not used. Probes stay out.
    pub(super) fn close(&mut self, no: GatherNo, used: &BTreeSet<AttemptNo>, acts: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&no) else { return };
        self.wakes.remove(&(bits(open.wake), no));
        let kept = |a: &AttemptNo, copy: Copy, came: bool| {
            used.contains(a) || (copy == Copy::Probe && !came && self.probes.contains_key(&(no, *a)))
        };
        let drops = open.attempts.into_iter().filter(|(n, a)| !kept(n, a.copy, a.bytes.is_some()));
        let drops: Vec<(AttemptNo, Attempt)> = drops.collect();
        for (n, a) in drops {
            acts.push(Action::Drop(no, n));
            if a.bytes.is_none() {
                self.counters.given_up += 1;
                self.sign(&a.site, Sign::Silent(self.now - a.asked), false, acts);
            }
        }
    }

    /// When what is missing may be had.
    pub(super) fn come_back(&self, no: GatherNo, has: &Choice) -> Ms {
        let Some(open) = self.open.get(&no) else { return 0.0 };
        let missing = open.parts.iter().zip(&has.of).filter(|(_, of)| of.is_none());
        let soonest = |p: &Part| p.sites().map(|s| self.sites.back_in(self.now, s)).fold(MOST_MS, f64::min);
        missing.map(|(p, _)| soonest(p)).fold(self.set.tick, f64::max)
    }

    pub(super) fn spread(&mut self, back: Ms) -> Ms {
        (back * (1.0 + SPREAD * self.sites.draw())).min(self.set.come_back_most)
    }
}
