//! Applies events to the pending requests: admission of requests, responses, ended attempts, purges and the
//! observations of other routers.

use super::{timer_key, ActiveProbe, Gathers};
use crate::api::{Action, Ask, AttemptNo, Came, Ended, Evidence, GatherNo, How, Purge, Site, Verdict};
use crate::broken::Broken;
use crate::pending_request::{PendingRequest, ReceivedPart};
use crate::request_validation::find_request_error;
use crate::settings::MOST_MS;
use crate::site_table::{AttemptSignal, SignalSource, SiteChange};
use basaltgw_types::{Ms, RouterId};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Gain of the smoothed time to assemble an answer.
const MERGE_TIME_GAIN: f64 = 0.125;

/// Why a response can't be used.
enum UnusableResponse {
    /// The lower tier marks it as partial.
    Partial,
    /// It is older than a purge.
    Purged,
    /// It has another version than the one requested.
    OtherVersion,
}

/// The attempt that an event refers to.
struct KnownAttempt {
    site: Site,
    sent_at: Ms,
    objective_at: Ms,
    source: SignalSource,
}

impl Gathers {
    /// Admits a request and sends its first sub-requests, or rejects it.
    pub(super) fn on_request(&mut self, ask: Ask, acts: &mut Vec<Action>) {
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
            let come_back = self.jittered_retry_after(self.settings.usual);
            return acts.push(Action::Answer(no, Verdict::Refused { come_back }));
        }
        let reserved = self.merge_time + self.settings.slack;
        let request = PendingRequest::new(self.now, ask, reserved, &self.settings);
        let parts = request.parts.len();
        self.evaluation_timers.insert((timer_key(self.now), no));
        self.pending.insert(no, request);
        for part in 0..parts {
            self.send_first(no, part, acts);
        }
        self.evaluate(no, acts);
    }

    /// Records a response's latency, and stores its part if it can be used.
    pub(super) fn on_response(&mut self, response: Came, acts: &mut Vec<Action>) {
        let (no, attempt) = (response.no, response.attempt);
        let Some(known) = self.take_known_attempt(no, attempt) else {
            self.counters.stray += 1;
            return;
        };
        let took = if response.took.is_finite() { response.took } else { 0.0 };
        let latency = self.now - known.sent_at;
        let signal = AttemptSignal::Answered { latency, took, in_time: self.now <= known.objective_at };
        self.record_signal(&known.site, signal, known.source, acts);
        if !self.pending.contains_key(&no) {
            return acts.push(Action::Drop(no, attempt));
        }
        self.apply_response_purges(&response, acts);
        if let Some(part) = self.part_of_attempt(no, attempt) {
            self.store_response(part, response, acts);
            self.evaluate(no, acts);
        }
    }

    /// The attempt in flight or the probe with this number; the probe is removed.
    fn take_known_attempt(&mut self, no: GatherNo, attempt: AttemptNo) -> Option<KnownAttempt> {
        let probe = self.remove_probe(no, attempt);
        let source = if probe.is_some() { SignalSource::Probe } else { SignalSource::Request };
        let in_flight = self.pending.get(&no).and_then(|request| {
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
    fn apply_response_purges(&mut self, response: &Came, acts: &mut Vec<Action>) {
        if self.injected_defect.is(Broken::AcrossPurge) {
            return;
        }
        let Some(request) = self.pending.get_mut(&response.no) else { return };
        let purged: Vec<AttemptNo> =
            response.purges.iter().flat_map(|purge| request.apply_purge(purge)).collect();
        self.counters.voided += purged.len() as u64;
        acts.extend(purged.into_iter().map(|attempt| Action::Drop(response.no, attempt)));
    }

    fn part_of_attempt(&self, no: GatherNo, attempt: AttemptNo) -> Option<usize> {
        self.pending.get(&no)?.attempts.get(&attempt).map(|attempt| attempt.part_index)
    }

    /// Stores a response's part, or counts and drops the response if it can't be used.
    fn store_response(&mut self, part: usize, response: Came, acts: &mut Vec<Action>) {
        let (no, number) = (response.no, response.attempt);
        let Some(request) = self.pending.get(&no) else { return };
        let unusable = self.find_unusable(request, part, &response);
        let Some(request) = self.pending.get_mut(&no) else { return };
        if let Some(cause) = unusable {
            match cause {
                UnusableResponse::Partial => self.counters.in_part += 1,
                UnusableResponse::Purged => self.counters.voided += 1,
                UnusableResponse::OtherVersion => self.counters.other_version += 1,
            }
            request.attempts.remove(&number);
            return acts.push(Action::Drop(no, number));
        }
        let ignores_versions = self.injected_defect.is(Broken::TwoVersions);
        let version = if ignores_versions { Arc::from("") } else { response.version };
        if let Some(attempt) = request.attempts.get_mut(&number) {
            attempt.received = Some(ReceivedPart { version, origin_time: response.born });
        }
        self.cancel_redundant_attempts(no, part, acts);
    }

    /// The reason for which a response must not be used in the answer.
    fn find_unusable(
        &self,
        request: &PendingRequest,
        part: usize,
        response: &Came,
    ) -> Option<UnusableResponse> {
        let part = &request.parts[part];
        if !response.whole && !self.injected_defect.is(Broken::PartAsWhole) {
            return Some(UnusableResponse::Partial);
        }
        let purged = part.purge_floor > 0 && response.born <= part.purge_floor;
        if purged && !self.injected_defect.is(Broken::AcrossPurge) {
            return Some(UnusableResponse::Purged);
        }
        let other_version = part.spec.version.as_ref().is_some_and(|version| *version != response.version);
        other_version.then_some(UnusableResponse::OtherVersion)
    }

    /// Cancels a part's attempts in flight once the part is received in the newest version of its object.
    fn cancel_redundant_attempts(&mut self, no: GatherNo, part: usize, acts: &mut Vec<Action>) {
        let Some(request) = self.pending.get(&no) else { return };
        let selection = request.select_versions(&request.newest_versions());
        if selection.attempt_by_part[part].is_none() {
            return;
        }
        let in_flight: Vec<AttemptNo> = request.in_flight(part).map(|(number, _)| *number).collect();
        for attempt in in_flight {
            self.cancel_attempt(no, attempt, acts);
        }
    }

    fn cancel_attempt(&mut self, no: GatherNo, number: AttemptNo, acts: &mut Vec<Action>) {
        let removed = self.pending.get_mut(&no).and_then(|request| request.attempts.remove(&number));
        let Some(attempt) = removed else { return };
        self.counters.given_up += 1;
        acts.push(Action::Drop(no, number));
        let signal = AttemptSignal::Silent(self.now - attempt.sent_at);
        self.record_signal(&attempt.site, signal, SignalSource::Request, acts);
    }

    /// Records an attempt that ended without a response.
    pub(super) fn on_attempt_ended(&mut self, ended: Ended, acts: &mut Vec<Action>) {
        let Some(known) = self.take_known_attempt(ended.no, ended.attempt) else {
            self.counters.stray += 1;
            return;
        };
        if let Some(request) = self.pending.get_mut(&ended.no) {
            let in_flight =
                request.attempts.get(&ended.attempt).is_some_and(|attempt| attempt.received.is_none());
            if in_flight {
                request.attempts.remove(&ended.attempt);
                let is_request = known.source == SignalSource::Request;
                request.attempt_failed |= is_request && !matches!(ended.how, How::Refused(_));
            }
        }
        let signal = match ended.how {
            How::Refused(after) if after.is_finite() => AttemptSignal::Rejected(after),
            How::Refused(_) => AttemptSignal::Rejected(self.settings.usual),
            How::Failed => AttemptSignal::Failed,
            How::Unreached => AttemptSignal::Unreachable,
        };
        self.record_signal(&known.site, signal, known.source, acts);
        self.evaluate(ended.no, acts);
    }

    fn remove_probe(&mut self, no: GatherNo, attempt: AttemptNo) -> Option<ActiveProbe> {
        let probe = self.probes.remove(&(no, attempt))?;
        self.probe_timers.remove(&(probe.expires, no, attempt));
        Some(probe)
    }

    /// Updates a site by an attempt's outcome. Notable changes are published to other routers; when the site is
    /// excluded or included again, the requests that wait for it are evaluated.
    pub(super) fn record_signal(
        &mut self,
        site: &Site,
        signal: AttemptSignal,
        source: SignalSource,
        acts: &mut Vec<Action>,
    ) {
        let change = self.sites.record(self.now, site, signal, source);
        if change != SiteChange::None {
            if let Some(evidence) = self.sites.take_observation(self.now, site) {
                self.counters.told += 1;
                acts.push(Action::Tell(evidence));
            }
        }
        if change == SiteChange::InclusionChanged {
            let waiting = self.pending.iter().filter(|(_, request)| request.waits_for(site));
            let waiting: Vec<GatherNo> = waiting.map(|(no, _)| *no).collect();
            for no in waiting {
                self.schedule_evaluation(no, self.now);
            }
        }
    }

    /// Drops the parts that are older than a purge, and evaluates their requests.
    pub(super) fn on_purge(&mut self, purge: Purge, acts: &mut Vec<Action>) {
        if self.injected_defect.is(Broken::AcrossPurge) {
            return;
        }
        let mut affected = Vec::new();
        for (no, request) in &mut self.pending {
            let purged = request.apply_purge(&purge);
            if !purged.is_empty() {
                affected.push(*no);
            }
            self.counters.voided += purged.len() as u64;
            acts.extend(purged.into_iter().map(|attempt| Action::Drop(*no, attempt)));
        }
        for no in affected {
            self.evaluate(no, acts);
        }
    }

    /// Takes another router's observation of a site into account.
    pub(super) fn on_peer_evidence(&mut self, from: RouterId, evidence: &Evidence) {
        if self.sites.observe_peer(self.now, from, evidence) {
            self.counters.heard += 1;
        } else {
            self.counters.unheard += 1;
        }
    }

    /// Updates the smoothed time to assemble an answer.
    pub(super) fn on_merged(&mut self, took: Ms) {
        if (0.0..MOST_MS).contains(&took) {
            self.merge_time += MERGE_TIME_GAIN * (took - self.merge_time);
        } else {
            self.counters.stray += 1;
        }
    }

    /// Ends the request of a client that has disconnected or cancelled.
    pub(super) fn on_client_left(&mut self, no: GatherNo, acts: &mut Vec<Action>) {
        if self.pending.contains_key(&no) {
            self.counters.left += 1;
            self.remove_request(no, &BTreeSet::new(), acts);
        } else {
            self.counters.stray += 1;
        }
    }
}
