//! Three simpler strategies for scatter-gather requests, for comparison with [`GatherEngine`](crate::GatherEngine) in
//! experiments.
//!
//! Each strategy sends one sub-request for each part, to the part's preferred site; they differ in when they answer. The invariants on
//! versions, purges and partial responses apply to them as well.

use crate::api::{
    Action, AttemptKind, AttemptNo, EndedAttempt, Event, GatherNo, GatherRequest, GatherStrategy,
    MissingParts, PartResponse, Purge, TimeBudget, Verdict,
};
use crate::counters::Counters;
use crate::pending_request::{Attempt, PendingRequest, ReceivedPart};
use crate::request_validation::find_request_error;
use crate::settings::{InvalidSetting, Settings};
use basaltgw_types::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// When a baseline strategy answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BaselineKind {
    /// With all parts; fails at the deadline.
    AllOrNothing,
    /// With all parts, or in part after a fixed share of the latency objective.
    FixedTimeout {
        /// The timeout as a share of the latency objective, 0 to 1.
        objective_share: f64,
    },
    /// With the first response of each site; in part at the deadline.
    FirstOfEachSite,
}

/// A baseline strategy.
#[derive(Clone, Debug)]
pub struct Baseline {
    kind: BaselineKind,
    settings: Settings,
    pending: BTreeMap<GatherNo, PendingRequest>,
    timer: Option<Ms>,
    counters: Counters,
}

impl Baseline {
    /// Starts without pending requests.
    ///
    /// # Errors
    /// [`InvalidSetting`] for the first setting that is out of its range.
    pub fn new(settings: Settings, kind: BaselineKind) -> Result<Self, InvalidSetting> {
        settings.check()?;
        Ok(Self { kind, settings, pending: BTreeMap::new(), timer: None, counters: Counters::default() })
    }

    fn on_request(&mut self, now: Ms, request: GatherRequest, actions: &mut Vec<Action>) {
        self.counters.requests += 1;
        let gather = request.gather;
        if self.pending.contains_key(&gather) {
            self.counters.duplicate_number += 1;
            return;
        }
        if let Some(error) = find_request_error(&request, &self.settings) {
            self.counters.invalid += 1;
            return actions.push(Action::Answer(gather, Verdict::Invalid(error)));
        }
        if self.pending.len() >= self.settings.max_pending_requests {
            self.counters.rejected_over_limit += 1;
            let retry_after = self.settings.default_latency_ms;
            return actions.push(Action::Answer(gather, Verdict::Rejected { retry_after }));
        }
        let mut request = PendingRequest::new(now, request, self.settings.reserved_time_ms, &self.settings);
        request.next_evaluation = match self.kind {
            BaselineKind::FixedTimeout { objective_share } => {
                request.started_at + objective_share * (request.objective_at - request.started_at)
            }
            BaselineKind::AllOrNothing | BaselineKind::FirstOfEachSite => request.deadline_at,
        };
        for part in 0..request.parts.len() {
            self.send_first(now, &mut request, gather, part, actions);
        }
        self.pending.insert(gather, request);
        self.evaluate(now, gather, actions);
    }

    fn send_first(
        &mut self,
        now: Ms,
        request: &mut PendingRequest,
        gather: GatherNo,
        part_index: usize,
        actions: &mut Vec<Action>,
    ) {
        let attempt = request.next_attempt_number();
        let pending = &request.parts[part_index];
        let (site, version) = (pending.spec.preferred_site.clone(), pending.spec.version.clone());
        let (newer_than_ms, part) = (pending.purge_floor, pending.spec.part);
        let budget = TimeBudget {
            latency_objective: request.objective_at - now,
            deadline: request.deadline_at - now,
            late_weight_share: request.late_weight_share,
        };
        let kind = AttemptKind::First;
        let sent = Attempt { part_index, site: site.clone(), sent_at: now, kind, received: None };
        request.attempts.insert(attempt, sent);
        actions.push(Action::Fetch { gather, attempt, part, site, kind, budget, version, newer_than_ms });
        self.counters.first_attempts += 1;
    }

    fn on_response(&mut self, now: Ms, response: PartResponse, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get_mut(&response.gather) else {
            self.counters.ignored_events += 1;
            return;
        };
        let mut dropped: Vec<AttemptNo> =
            response.purges.iter().flat_map(|purge| request.apply_purge(purge)).collect();
        self.counters.purged_responses += dropped.len() as u64;
        let drop_attempt = |attempt| Action::DropAttempt(response.gather, attempt);
        let in_flight =
            request.attempts.get_mut(&response.attempt).filter(|attempt| attempt.received.is_none());
        let Some(attempt) = in_flight else {
            self.counters.ignored_events += 1;
            return actions.extend(dropped.into_iter().map(drop_attempt));
        };
        let part = &request.parts[attempt.part_index];
        let is_purged = part.purge_floor > 0 && response.origin_time_ms <= part.purge_floor;
        let other_version = part.spec.version.as_ref().is_some_and(|version| *version != response.version);
        attempt.received =
            Some(ReceivedPart { version: response.version, origin_time: response.origin_time_ms });
        let site = attempt.site.clone();
        if is_purged || other_version || !response.complete {
            self.counters.purged_responses += u64::from(is_purged);
            self.counters.partial_responses += u64::from(!response.complete);
            self.counters.other_version_responses += u64::from(other_version);
            request.attempts.remove(&response.attempt);
            dropped.push(response.attempt);
        }
        if self.kind == BaselineKind::FirstOfEachSite {
            let is_superseded = |attempt: &Attempt| attempt.site == site && attempt.received.is_none();
            let superseded = request.attempts.iter().filter(|(_, attempt)| is_superseded(attempt));
            dropped.extend(superseded.map(|(number, _)| *number));
            request.attempts.retain(|_, attempt| !is_superseded(attempt));
        }
        actions.extend(dropped.into_iter().map(drop_attempt));
        self.evaluate(now, response.gather, actions);
    }

    fn on_attempt_ended(&mut self, now: Ms, ended: EndedAttempt, actions: &mut Vec<Action>) {
        let request = self.pending.get_mut(&ended.gather);
        let with_attempt_in_flight = request.filter(|request| {
            request.attempts.get(&ended.attempt).is_some_and(|attempt| attempt.received.is_none())
        });
        match with_attempt_in_flight {
            Some(request) => drop(request.attempts.remove(&ended.attempt)),
            None => self.counters.ignored_events += 1,
        }
        self.evaluate(now, ended.gather, actions);
    }

    fn on_purge(&mut self, purge: Purge, actions: &mut Vec<Action>) {
        for (gather, request) in &mut self.pending {
            let purged = request.apply_purge(&purge);
            self.counters.purged_responses += purged.len() as u64;
            actions.extend(purged.into_iter().map(|attempt| Action::DropAttempt(*gather, attempt)));
        }
    }

    fn evaluate(&mut self, now: Ms, gather: GatherNo, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&gather) else { return };
        let selection = request.best_selection();
        let is_complete = request.is_complete(&selection);
        let none_in_flight = request.attempts.values().all(|attempt| attempt.received.is_some());
        let allows_partial = self.kind != BaselineKind::AllOrNothing && request.policy_allows(&selection);
        if !is_complete && !none_in_flight && now < request.next_evaluation {
            return;
        }
        let verdict = match () {
            () if is_complete => Verdict::Complete { used: request.used_parts(&selection) },
            () if allows_partial => {
                let store_continuation = request.policy.missing_parts == MissingParts::Continuation;
                let (used, missing) = (request.used_parts(&selection), request.missing_parts(&selection));
                self.counters.missing_parts += missing.len() as u64;
                let retry_after = self.settings.default_latency_ms;
                Verdict::Partial { used, missing, store_continuation, retry_after }
            }
            () => Verdict::Failed,
        };
        let kept: BTreeSet<AttemptNo> = match &verdict {
            Verdict::Complete { used } | Verdict::Partial { used, .. } => {
                used.iter().map(|part| part.attempt).collect()
            }
            Verdict::Rejected { .. } | Verdict::Failed | Verdict::Invalid(_) => BTreeSet::new(),
        };
        match &verdict {
            Verdict::Complete { .. } => self.counters.complete += 1,
            Verdict::Partial { .. } => self.counters.partial += 1,
            Verdict::Rejected { .. } | Verdict::Failed | Verdict::Invalid(_) => {
                self.counters.failed_at_deadline += 1;
            }
        }
        actions.push(Action::Answer(gather, verdict));
        self.remove_request(gather, &kept, actions);
    }

    fn remove_request(&mut self, gather: GatherNo, kept: &BTreeSet<AttemptNo>, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.remove(&gather) else { return };
        let dropped = request.attempts.into_iter().filter(|(number, _)| !kept.contains(number));
        actions.extend(dropped.map(|(number, _)| Action::DropAttempt(gather, number)));
    }
}

impl GatherStrategy for Baseline {
    fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.on_request(now, request, actions),
            Event::Response(response) => self.on_response(now, response, actions),
            Event::AttemptEnded(ended) => self.on_attempt_ended(now, ended, actions),
            Event::Purge(purge) => self.on_purge(purge, actions),
            Event::Cancelled(gather) => {
                self.counters.cancelled += u64::from(self.pending.contains_key(&gather));
                self.remove_request(gather, &BTreeSet::new(), actions);
            }
            Event::PeerEvidence { .. } | Event::FleetSize { .. } | Event::AnswerSent { .. } => {}
            Event::Timer => self.timer = None,
        }
        let due = self.pending.iter().filter(|(_, request)| request.next_evaluation <= now);
        let due: Vec<GatherNo> = due.map(|(gather, _)| *gather).collect();
        due.into_iter().for_each(|gather| self.evaluate(now, gather, actions));
        let next = self.pending.values().map(|request| request.next_evaluation).fold(Ms::INFINITY, f64::min);
        if next.is_finite() && self.timer != Some(next) {
            self.timer = Some(next);
            actions.push(Action::SetTimer { at: next });
        }
    }

    fn counters(&self) -> &Counters {
        &self.counters
    }
}
