//! Three simpler strategies for scatter-gather requests, for comparison with [`Gathers`](crate::Gathers) in experiments.
//!
//! Each sends one sub-request for each part, to its preferred site; they differ in when they answer. The invariants on
//! versions, purges and partial responses apply to them as well.

use crate::api::{
    Action, Ask, AttemptNo, Came, Copy, Decide, Ended, Event, GatherNo, Missing, Purge, Times, Verdict,
};
use crate::counters::Counters;
use crate::pending_request::{Attempt, PendingRequest, ReceivedPart};
use crate::request_validation::find_request_error;
use crate::settings::{BadSetting, Settings};
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// When a baseline strategy answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum When {
    /// With all parts; at the deadline it fails.
    AllOrNothing,
    /// With all parts, or in part after a fixed share of the latency objective, 0 to 1.
    FixedTimeout(f64),
    /// With the first response of each site; in part at the deadline.
    FirstOfEachSite,
}

/// A baseline strategy.
#[derive(Clone, Debug)]
pub struct Baseline {
    when: When,
    settings: Settings,
    pending: BTreeMap<GatherNo, PendingRequest>,
    timer: Option<Ms>,
    counters: Counters,
}

impl Baseline {
    /// Starts without pending requests.
    ///
    /// # Errors
    /// [`BadSetting`] for the first setting that is out of its range.
    pub fn new(set: Settings, when: When) -> Result<Self, BadSetting> {
        set.check()?;
        Ok(Self { when, settings: set, pending: BTreeMap::new(), timer: None, counters: Counters::default() })
    }

    fn on_request(&mut self, now: Ms, ask: Ask, acts: &mut Vec<Action>) {
        self.counters.asked += 1;
        let no = ask.no;
        if self.pending.contains_key(&no) {
            self.counters.same_number += 1;
            return;
        }
        if let Some(error) = find_request_error(&ask, &self.settings) {
            self.counters.unfit += 1;
            return acts.push(Action::Answer(no, Verdict::Unfit(error)));
        }
        if self.pending.len() >= self.settings.open {
            self.counters.refused_full += 1;
            return acts.push(Action::Answer(no, Verdict::Refused { come_back: self.settings.usual }));
        }
        let mut request = PendingRequest::new(now, ask, self.settings.slack, &self.settings);
        request.next_evaluation = match self.when {
            When::FixedTimeout(share) => {
                request.started_at + share * (request.objective_at - request.started_at)
            }
            When::AllOrNothing | When::FirstOfEachSite => request.deadline_at,
        };
        for part in 0..request.parts.len() {
            self.send_first(now, &mut request, no, part, acts);
        }
        self.pending.insert(no, request);
        self.evaluate(now, no, acts);
    }

    fn send_first(
        &mut self,
        now: Ms,
        request: &mut PendingRequest,
        no: GatherNo,
        part: usize,
        acts: &mut Vec<Action>,
    ) {
        let attempt = request.next_attempt_number();
        let pending = &request.parts[part];
        let (site, version) = (pending.spec.site.clone(), pending.spec.version.clone());
        let (after, part_no) = (pending.purge_floor, pending.spec.part);
        let times = Times {
            aim: request.objective_at - now,
            deadline: request.deadline_at - now,
            late_worth: request.late_value,
        };
        let copy = Copy::First;
        let sent = Attempt { part_index: part, site: site.clone(), sent_at: now, kind: copy, received: None };
        request.attempts.insert(attempt, sent);
        acts.push(Action::Fetch { no, attempt, part: part_no, site, copy, times, version, after });
        self.counters.first += 1;
    }

    fn on_response(&mut self, now: Ms, response: Came, acts: &mut Vec<Action>) {
        let Some(request) = self.pending.get_mut(&response.no) else {
            self.counters.stray += 1;
            return;
        };
        let mut dropped: Vec<AttemptNo> =
            response.purges.iter().flat_map(|p| request.apply_purge(p)).collect();
        self.counters.voided += dropped.len() as u64;
        let Some(attempt) = request.attempts.get_mut(&response.attempt).filter(|a| a.received.is_none())
        else {
            self.counters.stray += 1;
            return acts.extend(dropped.into_iter().map(|a| Action::Drop(response.no, a)));
        };
        let part = &request.parts[attempt.part_index];
        let is_purged = part.purge_floor > 0 && response.born <= part.purge_floor;
        let other_version = part.spec.version.as_ref().is_some_and(|v| *v != response.version);
        attempt.received = Some(ReceivedPart { version: response.version, origin_time: response.born });
        let site = attempt.site.clone();
        if is_purged || other_version || !response.whole {
            self.counters.voided += u64::from(is_purged);
            self.counters.in_part += u64::from(!response.whole);
            self.counters.other_version += u64::from(other_version);
            request.attempts.remove(&response.attempt);
            dropped.push(response.attempt);
        }
        if self.when == When::FirstOfEachSite {
            let rest = request.attempts.iter().filter(|(_, a)| a.site == site && a.received.is_none());
            dropped.extend(rest.map(|(n, _)| *n).collect::<Vec<_>>());
            request.attempts.retain(|_, a| a.site != site || a.received.is_some());
        }
        acts.extend(dropped.into_iter().map(|a| Action::Drop(response.no, a)));
        self.evaluate(now, response.no, acts);
    }

    fn on_attempt_ended(&mut self, now: Ms, ended: Ended, acts: &mut Vec<Action>) {
        let request = self.pending.get_mut(&ended.no);
        let in_flight = request
            .filter(|request| request.attempts.get(&ended.attempt).is_some_and(|a| a.received.is_none()));
        match in_flight {
            Some(request) => drop(request.attempts.remove(&ended.attempt)),
            None => self.counters.stray += 1,
        }
        self.evaluate(now, ended.no, acts);
    }

    fn on_purge(&mut self, purge: Purge, acts: &mut Vec<Action>) {
        for (no, request) in &mut self.pending {
            let purged = request.apply_purge(&purge);
            self.counters.voided += purged.len() as u64;
            acts.extend(purged.into_iter().map(|a| Action::Drop(*no, a)));
        }
    }

    fn evaluate(&mut self, now: Ms, no: GatherNo, acts: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&no) else { return };
        let selection = request.best_selection();
        let is_complete = request.is_complete(&selection);
        let none_in_flight = request.attempts.values().all(|a| a.received.is_some());
        let in_part = self.when != When::AllOrNothing && request.policy_allows(&selection);
        if !is_complete && !none_in_flight && now < request.next_evaluation {
            return;
        }
        let verdict = match () {
            () if is_complete => Verdict::Whole { used: request.used_parts(&selection) },
            () if in_part => {
                let owed = request.policy.missing == Missing::Owed;
                let (used, missing) = (request.used_parts(&selection), request.missing_parts(&selection));
                self.counters.missing += missing.len() as u64;
                Verdict::Part { used, missing, owed, come_back: self.settings.usual }
            }
            () => Verdict::Failed,
        };
        let kept: BTreeSet<AttemptNo> = match &verdict {
            Verdict::Whole { used } | Verdict::Part { used, .. } => used.iter().map(|u| u.attempt).collect(),
            Verdict::Refused { .. } | Verdict::Failed | Verdict::Unfit(_) => BTreeSet::new(),
        };
        match &verdict {
            Verdict::Whole { .. } => self.counters.whole += 1,
            Verdict::Part { .. } => self.counters.part += 1,
            Verdict::Refused { .. } | Verdict::Failed | Verdict::Unfit(_) => self.counters.failed_late += 1,
        }
        acts.push(Action::Answer(no, verdict));
        self.remove_request(no, &kept, acts);
    }

    fn remove_request(&mut self, no: GatherNo, kept: &BTreeSet<AttemptNo>, acts: &mut Vec<Action>) {
        let Some(request) = self.pending.remove(&no) else { return };
        let dropped = request.attempts.into_iter().filter(|(a, _)| !kept.contains(a));
        acts.extend(dropped.map(|(a, _)| Action::Drop(no, a)));
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        match event {
            Event::Ask(ask) => self.on_request(now, ask, acts),
            Event::Came(came) => self.on_response(now, came, acts),
            Event::Ended(ended) => self.on_attempt_ended(now, ended, acts),
            Event::Purged(purge) => self.on_purge(purge, acts),
            Event::Left(no) => {
                self.counters.left += u64::from(self.pending.contains_key(&no));
                self.remove_request(no, &BTreeSet::new(), acts);
            }
            Event::Heard(..) | Event::Fleet(_) | Event::Merged(_) => {}
            Event::Timer => self.timer = None,
        }
        let due: Vec<GatherNo> =
            self.pending.iter().filter(|(_, o)| o.next_evaluation <= now).map(|(no, _)| *no).collect();
        due.into_iter().for_each(|no| self.evaluate(now, no, acts));
        let next = self.pending.values().map(|o| o.next_evaluation).fold(Ms::INFINITY, f64::min);
        if next.is_finite() && self.timer != Some(next) {
            self.timer = Some(next);
            acts.push(Action::Timer(next));
        }
    }

    fn counters(&self) -> &Counters {
        &self.counters
    }
}
