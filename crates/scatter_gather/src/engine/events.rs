//! Applies events to the pending requests: admission of requests, responses, ended attempts, purges and the
//! observations of other routers.

use super::{timer_key, ActiveProbe, GatherEngine};
use crate::api::{
    Action, AttemptNo, EndCause, EndedAttempt, Evidence, GatherNo, GatherRequest, PartResponse, Purge, Site,
    Verdict,
};
use crate::injected_defect::Defect;
use crate::pending_request::{PendingRequest, ReceivedPart};
use crate::request_validation::find_request_error;
use crate::settings::MAX_TIME_MS;
use crate::site_table::{AttemptSignal, SignalSource, SiteChange};
use basaltgw_types::{Ms, RouterId};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Weight of a new sample in the smoothed time to assemble an answer.
const ASSEMBLY_TIME_GAIN: f64 = 0.125;

/// Why a response can't be used.
enum UnusableResponse {
    /// The lower tier marks the response as partial.
    Partial,
    /// The copy is older than a purge.
    Purged,
    /// The copy has another version than the one requested.
    OtherVersion,
}

/// The attempt that an event refers to.
struct KnownAttempt {
    site: Site,
    sent_at: Ms,
    objective_at: Ms,
    source: SignalSource,
}

impl GatherEngine {
    /// Admits a request and sends its first sub-requests, or rejects it.
    pub(super) fn on_request(&mut self, request: GatherRequest, actions: &mut Vec<Action>) {
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
            let retry_after = self.jittered_retry_after(self.settings.default_latency_ms);
            return actions.push(Action::Answer(gather, Verdict::Rejected { retry_after }));
        }
        let reserved = self.assembly_time + self.settings.reserved_time_ms;
        let request = PendingRequest::new(self.now, request, reserved, &self.settings);
        let parts = request.parts.len();
        self.evaluation_timers.insert((timer_key(self.now), gather));
        self.pending.insert(gather, request);
        for part in 0..parts {
            self.send_first(gather, part, actions);
        }
        self.evaluate(gather, actions);
    }

    /// Records a response's latency, and stores its part if it can be used.
    pub(super) fn on_response(&mut self, response: PartResponse, actions: &mut Vec<Action>) {
        let (gather, attempt) = (response.gather, response.attempt);
        let Some(known) = self.take_known_attempt(gather, attempt) else {
            self.counters.ignored_events += 1;
            return;
        };
        let processing_time =
            if response.processing_time.is_finite() { response.processing_time } else { 0.0 };
        let latency = self.now - known.sent_at;
        let signal =
            AttemptSignal::Answered { latency, processing_time, in_time: self.now <= known.objective_at };
        self.record_signal(&known.site, signal, known.source, actions);
        if !self.pending.contains_key(&gather) {
            return actions.push(Action::DropAttempt(gather, attempt));
        }
        self.apply_response_purges(&response, actions);
        if let Some(part) = self.part_of_attempt(gather, attempt) {
            self.store_response(part, response, actions);
            self.evaluate(gather, actions);
        }
    }

    /// Finds the attempt in flight or the probe with this number; a probe is removed.
    fn take_known_attempt(&mut self, gather: GatherNo, attempt: AttemptNo) -> Option<KnownAttempt> {
        let probe = self.remove_probe(gather, attempt);
        let source = if probe.is_some() { SignalSource::Probe } else { SignalSource::Request };
        let in_flight = self.pending.get(&gather).and_then(|request| {
            let attempt = request.attempts.get(&attempt).filter(|attempt| attempt.received.is_none())?;
            let (site, sent_at) = (attempt.site.clone(), attempt.sent_at);
            Some(KnownAttempt { site, sent_at, objective_at: request.objective_at, source })
        });
        in_flight.or(probe.map(|probe| KnownAttempt {
            site: probe.site,
            sent_at: probe.sent_at,
            objective_at: probe.objective_at,
            source,
        }))
    }

    /// Drops parts that are older than the purges listed in a response.
    fn apply_response_purges(&mut self, response: &PartResponse, actions: &mut Vec<Action>) {
        if self.injected_defect.is(Defect::PurgesIgnored) {
            return;
        }
        let Some(request) = self.pending.get_mut(&response.gather) else { return };
        let purged: Vec<AttemptNo> =
            response.purges.iter().flat_map(|purge| request.apply_purge(purge)).collect();
        self.counters.purged_responses += purged.len() as u64;
        actions.extend(purged.into_iter().map(|attempt| Action::DropAttempt(response.gather, attempt)));
    }

    fn part_of_attempt(&self, gather: GatherNo, attempt: AttemptNo) -> Option<usize> {
        self.pending.get(&gather)?.attempts.get(&attempt).map(|attempt| attempt.part_index)
    }

    /// Stores a response's part, or counts and drops the response if it can't be used.
    fn store_response(&mut self, part: usize, response: PartResponse, actions: &mut Vec<Action>) {
        let (gather, number) = (response.gather, response.attempt);
        let Some(request) = self.pending.get(&gather) else { return };
        let unusable = self.find_unusable(request, part, &response);
        let Some(request) = self.pending.get_mut(&gather) else { return };
        if let Some(cause) = unusable {
            match cause {
                UnusableResponse::Partial => self.counters.partial_responses += 1,
                UnusableResponse::Purged => self.counters.purged_responses += 1,
                UnusableResponse::OtherVersion => self.counters.other_version_responses += 1,
            }
            request.attempts.remove(&number);
            return actions.push(Action::DropAttempt(gather, number));
        }
        let ignores_versions = self.injected_defect.is(Defect::VersionsIgnored);
        let version = if ignores_versions { Arc::from("") } else { response.version };
        if let Some(attempt) = request.attempts.get_mut(&number) {
            attempt.received = Some(ReceivedPart { version, origin_time: response.origin_time_ms });
        }
        self.cancel_redundant_attempts(gather, part, actions);
    }

    /// Finds the reason for which a response must not be used in the answer.
    fn find_unusable(
        &self,
        request: &PendingRequest,
        part: usize,
        response: &PartResponse,
    ) -> Option<UnusableResponse> {
        let part = &request.parts[part];
        if !response.complete && !self.injected_defect.is(Defect::PartialAsComplete) {
            return Some(UnusableResponse::Partial);
        }
        let purged = part.purge_floor > 0 && response.origin_time_ms <= part.purge_floor;
        if purged && !self.injected_defect.is(Defect::PurgesIgnored) {
            return Some(UnusableResponse::Purged);
        }
        let other_version = part.spec.version.as_ref().is_some_and(|version| *version != response.version);
        other_version.then_some(UnusableResponse::OtherVersion)
    }

    /// Cancels a part's attempts in flight once the part is received in the newest version of its object.
    fn cancel_redundant_attempts(&mut self, gather: GatherNo, part: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&gather) else { return };
        let selection = request.select_versions(&request.newest_versions());
        if selection.attempt_by_part[part].is_none() {
            return;
        }
        let in_flight: Vec<AttemptNo> = request.in_flight(part).map(|(number, _)| *number).collect();
        for attempt in in_flight {
            self.cancel_attempt(gather, attempt, actions);
        }
    }

    fn cancel_attempt(&mut self, gather: GatherNo, number: AttemptNo, actions: &mut Vec<Action>) {
        let removed = self.pending.get_mut(&gather).and_then(|request| request.attempts.remove(&number));
        let Some(attempt) = removed else { return };
        self.counters.cancelled_attempts += 1;
        actions.push(Action::DropAttempt(gather, number));
        let signal = AttemptSignal::Silent { elapsed: self.now - attempt.sent_at };
        self.record_signal(&attempt.site, signal, SignalSource::Request, actions);
    }

    /// Records an attempt that ended without a response.
    pub(super) fn on_attempt_ended(&mut self, ended: EndedAttempt, actions: &mut Vec<Action>) {
        let Some(known) = self.take_known_attempt(ended.gather, ended.attempt) else {
            self.counters.ignored_events += 1;
            return;
        };
        if let Some(request) = self.pending.get_mut(&ended.gather) {
            let in_flight =
                request.attempts.get(&ended.attempt).is_some_and(|attempt| attempt.received.is_none());
            if in_flight {
                request.attempts.remove(&ended.attempt);
                let is_request = known.source == SignalSource::Request;
                request.attempt_failed |= is_request && !matches!(ended.cause, EndCause::Rejected { .. });
            }
        }
        let signal = match ended.cause {
            EndCause::Rejected { retry_after } if retry_after.is_finite() => {
                AttemptSignal::Rejected { retry_after }
            }
            EndCause::Rejected { .. } => {
                AttemptSignal::Rejected { retry_after: self.settings.default_latency_ms }
            }
            EndCause::Failed => AttemptSignal::Failed,
            EndCause::Unreachable => AttemptSignal::Unreachable,
        };
        self.record_signal(&known.site, signal, known.source, actions);
        self.evaluate(ended.gather, actions);
    }

    fn remove_probe(&mut self, gather: GatherNo, attempt: AttemptNo) -> Option<ActiveProbe> {
        let probe = self.probes.remove(&(gather, attempt))?;
        self.probe_timers.remove(&(probe.expires, gather, attempt));
        Some(probe)
    }

    /// Updates a site by an attempt's outcome. Notable changes are published to other routers; when the site is
    /// excluded or included again, the requests that wait for it are evaluated.
    pub(super) fn record_signal(
        &mut self,
        site: &Site,
        signal: AttemptSignal,
        source: SignalSource,
        actions: &mut Vec<Action>,
    ) {
        let change = self.sites.record(self.now, site, signal, source);
        if change != SiteChange::None {
            if let Some(evidence) = self.sites.take_observation(self.now, site) {
                self.counters.evidence_published += 1;
                actions.push(Action::PublishEvidence(evidence));
            }
        }
        if change == SiteChange::InclusionChanged {
            let waiting = self.pending.iter().filter(|(_, request)| request.waits_for(site));
            let waiting: Vec<GatherNo> = waiting.map(|(gather, _)| *gather).collect();
            for gather in waiting {
                self.schedule_evaluation(gather, self.now);
            }
        }
    }

    /// Drops the parts that are older than a purge, and evaluates their requests.
    pub(super) fn on_purge(&mut self, purge: Purge, actions: &mut Vec<Action>) {
        if self.injected_defect.is(Defect::PurgesIgnored) {
            return;
        }
        let mut affected = Vec::new();
        for (gather, request) in &mut self.pending {
            let purged = request.apply_purge(&purge);
            if !purged.is_empty() {
                affected.push(*gather);
            }
            self.counters.purged_responses += purged.len() as u64;
            actions.extend(purged.into_iter().map(|attempt| Action::DropAttempt(*gather, attempt)));
        }
        for gather in affected {
            self.evaluate(gather, actions);
        }
    }

    /// Records another router's observation of a site, or ignores it.
    pub(super) fn on_peer_evidence(&mut self, from: RouterId, evidence: &Evidence) {
        if self.sites.observe_peer(self.now, from, evidence) {
            self.counters.evidence_accepted += 1;
        } else {
            self.counters.evidence_ignored += 1;
        }
    }

    /// Updates the smoothed time to assemble and send an answer.
    pub(super) fn on_answer_sent(&mut self, assembly_time: Ms) {
        if (0.0..MAX_TIME_MS).contains(&assembly_time) {
            self.assembly_time += ASSEMBLY_TIME_GAIN * (assembly_time - self.assembly_time);
        } else {
            self.counters.ignored_events += 1;
        }
    }

    /// Ends the request of a client that has disconnected or cancelled.
    pub(super) fn on_cancelled(&mut self, gather: GatherNo, actions: &mut Vec<Action>) {
        if self.pending.contains_key(&gather) {
            self.counters.cancelled += 1;
            self.remove_request(gather, &BTreeSet::new(), actions);
        } else {
            self.counters.ignored_events += 1;
        }
    }
}
