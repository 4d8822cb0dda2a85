//! Which servers are ejected, and how they recover.
//!
//! Inputs: outcomes of attempts, and the time in milliseconds that attempts have been in flight. A server is
//! ejected when too many connections to it are refused, or when it is silent: attempts at it are overdue and
//! it has not responded since they were sent. Errors, rejections and timeouts do not eject a healthy server,
//! however many, since the request's next attempt goes elsewhere and the server may serve everything else
//! well. An ejected server is probed with one attempt at a time after a backoff that doubles with each failed
//! probe.

use super::endpoints::ServerIndex;
use super::request::{FinishedAttempt, PendingRequest, Route};
use super::retry::RetryPolicy;
use super::Router;
use crate::api::*;

/// Weight of a served request in a server's share of refused connections.
const SERVED_SAMPLE_WEIGHT: f64 = 0.05;
/// Weight of a refused connection in a server's share of refused connections. It is higher than that of a
/// served request, because a refusal concerns the whole process.
const REFUSED_SAMPLE_WEIGHT: f64 = 0.3;
/// Share of refused connections above which a server is ejected.
const MAX_REFUSED_SHARE: f64 = 0.45;
/// An attempt is overdue after the mean delay of its class, its response's sending time and this many mean
/// deviations of the delay.
const OVERDUE_DEVIATIONS: f64 = 5.0;
/// Number of responses of a class from which on its mean delay, and not its deadline, makes attempts overdue.
const MIN_DELAY_SAMPLES: u32 = 20;
/// Evidence of silence each time that an attempt at a server is overdue; at 1 the server counts as silent. It
/// takes three times, so that one lost response is not enough.
const OVERDUE_EVIDENCE: f64 = 0.34;
/// Least time without a response before a server counts as silent, so that short pauses pass.
const MIN_SILENCE_MS: Ms = 350.0;
/// A cache that responds after a longer silence, with several attempts in flight, counts as restarted.
const RESTART_SILENCE_MS: Ms = 1000.0;
/// Least number of attempts in flight at a cache that counts as restarted.
const RESTART_MIN_IN_FLIGHT: usize = 4;
/// Time until an ejected server's first probe, doubled with each failed probe.
const BASE_EJECTION_MS: Ms = 1000.0;
/// Longest time until an ejected server's next probe.
const MAX_EJECTION_MS: Ms = 8000.0;
/// Greatest number of doublings that is counted, so that the multiple does not overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Served probes, minus failed ones, that end an ejection.
const PROBE_SUCCESSES: u32 = 3;

/// Whether requests are sent to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Health {
    Healthy,
    /// No attempt is sent before a time.
    Ejected {
        until: Ms,
    },
    /// One attempt is sent at a time.
    Probing {
        /// Served probes, minus failed ones.
        successes: u32,
    },
}

/// What an outcome shows about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthSignal {
    Served,
    Failed,
    ConnectionRefused,
}

/// The health of a server and the evidence against it.
pub(super) struct OutlierState {
    pub health: Health,
    consecutive_ejections: u32,
    /// Whether the server refused connections or was silent when it was ejected, so that it may recover as
    /// a new process with an empty cache.
    may_have_restarted: bool,
    /// Decayed share of refused connections.
    refused_share: f64,
    /// When the server's present silence began: at its last response, or, if nothing was in flight, at the
    /// next attempt sent to it directly. A fill for which the server is only the source does not set this.
    pub silent_since: Ms,
    /// Evidence of silence since `silent_since`; at 1 the server counts as silent.
    silence_evidence: f64,
}

impl OutlierState {
    /// A healthy server.
    pub fn new(now: Ms) -> Self {
        Self {
            health: Health::Healthy,
            consecutive_ejections: 0,
            may_have_restarted: false,
            refused_share: 0.0,
            silent_since: now,
            silence_evidence: 0.0,
        }
    }

    /// Whether the server takes another attempt: it is healthy, or due for a probe with none in flight.
    fn accepts(&self, now: Ms, in_flight: usize) -> bool {
        match self.health {
            Health::Healthy => true,
            Health::Ejected { until } => now >= until && in_flight == 0,
            Health::Probing { .. } => in_flight == 0,
        }
    }

    /// Records that an attempt is sent that has the server in its route; if the server is ejected, that
    /// attempt is its first probe.
    pub fn record_send(&mut self) {
        if let Health::Ejected { .. } = self.health {
            self.health = Health::Probing { successes: 0 };
        }
    }

    fn record_response(&mut self, now: Ms) {
        (self.silent_since, self.silence_evidence) = (now, 0.0);
    }

    fn update_refused_share(&mut self, signal: HealthSignal) {
        match signal {
            HealthSignal::Served => self.refused_share -= SERVED_SAMPLE_WEIGHT * self.refused_share,
            HealthSignal::Failed => {}
            HealthSignal::ConnectionRefused => {
                self.refused_share += REFUSED_SAMPLE_WEIGHT * (1.0 - self.refused_share);
            }
        }
    }

    /// Ejects the server and returns for how many milliseconds.
    fn eject(&mut self, now: Ms, may_have_restarted: bool) -> Ms {
        let doublings = self.consecutive_ejections.min(MAX_DOUBLINGS);
        let duration = (BASE_EJECTION_MS * f64::from(1u32 << doublings)).min(MAX_EJECTION_MS);
        self.health = Health::Ejected { until: now + duration };
        self.consecutive_ejections += 1;
        self.may_have_restarted |= may_have_restarted;
        duration
    }

    /// Ends the ejection and returns whether the server may have been replaced by a new process.
    fn recover(&mut self) -> bool {
        (self.health, self.consecutive_ejections, self.refused_share) = (Health::Healthy, 0, 0.0);
        std::mem::take(&mut self.may_have_restarted)
    }
}

/// An attempt in flight that is overdue for the first time, or for one time more.
struct OverdueAttempt {
    request: RequestId,
    number: AttemptNo,
}

/// A server that may be silent: an overdue attempt waits for it.
struct Silence {
    server: ServerIndex,
    /// How much the attempt adds to the server's evidence of silence, 0 to 1.
    evidence: f64,
}

impl Router {
    /// Whether a server that is up takes another attempt.
    pub(super) fn is_usable(&self, server: ServerIndex) -> bool {
        let server = &self.endpoints[server];
        server.outlier.accepts(self.now, server.in_flight)
    }

    /// Updates the health of the servers that an outcome concerns.
    pub(super) fn record_health(
        &mut self,
        attempt: &FinishedAttempt,
        outcome: &Outcome,
        actions: &mut Vec<Action>,
    ) {
        self.record_responses(&attempt.route, outcome);
        let Route { server, source, .. } = attempt.route;
        use AttemptResult::{ConnectionLost, Error, NoConnection, Served};
        use FillReport::{FilledByOrigin, FilledBySource};
        match (outcome.fill_report, outcome.result) {
            (_, Served) => {
                self.apply_signal(server, HealthSignal::Served, actions);
                if let (Some(source), FilledBySource | FilledByOrigin) = (source, outcome.fill_report) {
                    self.apply_signal(source, HealthSignal::Served, actions);
                }
            }
            (FillReport::SourceFailed | FillReport::SourceRejected, _) => {
                if let Some(source) = source {
                    self.apply_signal(source, HealthSignal::Failed, actions);
                }
            }
            (FillReport::SourceMiss | FillReport::FillLimitReached | FillReport::OriginFailed, _) => {}
            // An error or a lost connection fails only a probe: the request continues elsewhere, and a cache
            // that fails some requests still serves the others.
            (_, Error | ConnectionLost) => self.apply_signal(server, HealthSignal::Failed, actions),
            (_, NoConnection) => self.apply_signal(server, HealthSignal::ConnectionRefused, actions),
            (
                _,
                AttemptResult::Rejected
                | AttemptResult::CacheMiss
                | AttemptResult::TimedOut
                | AttemptResult::Cancelled
                | AttemptResult::NotSent,
            ) => {}
        }
    }

    /// Records from which servers an outcome carries a response.
    fn record_responses(&mut self, route: &Route, outcome: &Outcome) {
        let now = self.now;
        let no_response = [AttemptResult::TimedOut, AttemptResult::Cancelled, AttemptResult::NotSent];
        if !no_response.contains(&outcome.result) {
            let server = &mut self.endpoints[route.server];
            let silence = now - server.outlier.silent_since;
            let many_in_flight = server.in_flight >= RESTART_MIN_IN_FLIGHT;
            if silence > RESTART_SILENCE_MS && many_in_flight && server.entry.role == Role::Edge {
                // The cache may have restarted empty before the list shows the restart.
                server.warmup.infer_restart(now);
            }
            server.outlier.record_response(now);
        }
        let source_responded = match outcome.fill_report {
            FillReport::NotReported
            | FillReport::Hit
            | FillReport::Stale
            | FillReport::Joined
            | FillReport::FillLimitReached
            | FillReport::SourceFailed => false,
            FillReport::FilledBySource
            | FillReport::FilledByOrigin
            | FillReport::SourceRejected
            | FillReport::SourceMiss
            | FillReport::OriginFailed
            | FillReport::LoopDetected => true,
        };
        if let Some(source) = route.source.filter(|_| source_responded) {
            self.endpoints[source].outlier.record_response(now);
        }
    }

    /// Updates a server's share of refused connections, and ejects it or advances its probes.
    fn apply_signal(&mut self, index: ServerIndex, signal: HealthSignal, actions: &mut Vec<Action>) {
        let server = &mut self.endpoints[index];
        let outlier = &mut server.outlier;
        outlier.update_refused_share(signal);
        let failed = signal != HealthSignal::Served;
        let may_have_restarted = signal == HealthSignal::ConnectionRefused;
        match outlier.health {
            Health::Healthy if outlier.refused_share > MAX_REFUSED_SHARE => {
                self.eject(index, may_have_restarted, "refuses connections", actions);
            }
            Health::Probing { successes: 0 } if failed => {
                self.eject(index, may_have_restarted, "failed a probe", actions);
            }
            Health::Probing { successes } if failed => {
                outlier.health = Health::Probing { successes: successes - 1 };
            }
            Health::Probing { successes } if successes + 1 >= PROBE_SUCCESSES => {
                if outlier.recover() {
                    // The list may not show the new process yet.
                    server.warmup.infer_restart(self.now);
                }
                let text = format!("{} recovered after probing", server.entry.id.0);
                self.log(actions, text);
            }
            Health::Probing { successes } => {
                outlier.health = Health::Probing { successes: successes + 1 };
            }
            Health::Healthy | Health::Ejected { .. } => {}
        }
    }

    fn eject(
        &mut self,
        index: ServerIndex,
        may_have_restarted: bool,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        let server = &mut self.endpoints[index];
        let duration = server.outlier.eject(self.now, may_have_restarted);
        let text = format!("{} ejected for {duration:.0} ms: {reason}", server.entry.id.0);
        self.log(actions, text);
    }

    /// The time in milliseconds after which an attempt of a request is overdue. The class's deadline stands
    /// for a mean delay that is not known yet.
    fn overdue_after(&self, pending: &PendingRequest) -> Ms {
        let class = self.statistics.class(pending.class);
        let mean = class.delay.get_after(MIN_DELAY_SAMPLES);
        let usual = mean.map(|m| m + OVERDUE_DEVIATIONS * class.delay_deviation.get().unwrap_or(m));
        let longest = usual.unwrap_or(self.settings.classes[pending.class.0].deadline);
        longest + self.statistics.sending_time(&pending.request).unwrap_or(0.0)
    }

    /// Ejects silent servers and cancels the attempts that wait for them.
    pub(super) fn eject_silent_servers(&mut self, actions: &mut Vec<Action>) {
        for OverdueAttempt { request, number } in self.overdue_attempts() {
            let Some(silence) = self.record_overdue(&request, number) else { continue };
            self.endpoints[silence.server].outlier.silence_evidence += silence.evidence;
            if self.may_eject_as_silent(silence.server) {
                let may_have_restarted = true;
                self.eject(silence.server, may_have_restarted, "silent", actions);
                self.cancel_attempts_on(silence.server, actions);
            }
        }
    }

    /// Attempts in flight that have become overdue once more: each is listed after one, two, three times
    /// [`Self::overdue_after`] and so on.
    fn overdue_attempts(&self) -> Vec<OverdueAttempt> {
        let mut overdue = Vec::new();
        for (_, pending) in self.requests.unanswered() {
            let after = self.overdue_after(pending);
            for (number, attempt) in pending.attempts.iter().enumerate().filter(|(_, a)| !a.finished) {
                if self.now - attempt.sent_at > after * f64::from(attempt.times_overdue + 1) {
                    let (request, number) = (pending.request.id.clone(), AttemptNo(number));
                    overdue.push(OverdueAttempt { request, number });
                }
            }
        }
        overdue
    }

    /// Records that an attempt is overdue, and finds the server that has not responded since the attempt was
    /// sent: the one that it was sent to, else its source. The request's further attempts exclude that
    /// server; if there is none, this attempt excludes no server.
    fn record_overdue(&mut self, request: &RequestId, number: AttemptNo) -> Option<Silence> {
        let endpoints = &self.endpoints;
        let attempt = &mut self.requests.get_mut(request)?.attempts[number.0];
        attempt.times_overdue += 1;
        let Route { server, source, .. } = attempt.route;
        let is_unresponsive =
            |server: &ServerIndex| endpoints[*server].outlier.silent_since <= attempt.sent_at;
        let silence = if is_unresponsive(&server) {
            Some(Silence { server, evidence: OVERDUE_EVIDENCE })
        } else {
            let source = source.filter(is_unresponsive);
            source.map(|server| Silence { server, evidence: attempt.fill_probability })
        };
        attempt.excluded = silence.as_ref().map(|silence| silence.server);
        silence
    }

    /// Whether there is enough evidence of silence to eject a server. The last healthy parent or origin is
    /// not ejected for silence; refused connections and failed probes eject it all the same.
    fn may_eject_as_silent(&self, index: ServerIndex) -> bool {
        let server = &self.endpoints[index];
        let role = server.entry.role;
        let is_replacement =
            |other: &ServerIndex| *other != index && self.endpoints[*other].outlier.health == Health::Healthy;
        let is_last = role != Role::Edge && !self.endpoints.up(role).iter().any(is_replacement);
        let outlier = &server.outlier;
        let is_silent = match outlier.health {
            Health::Healthy => outlier.silence_evidence >= 1.0,
            // Attempts are rare, since the server is probed with one at a time: one that is overdue is
            // enough.
            Health::Probing { .. } => true,
            Health::Ejected { .. } => false,
        };
        is_silent && !is_last && self.now - outlier.silent_since >= MIN_SILENCE_MS
    }

    /// Cancels the attempts that wait for a server; their requests' next attempts exclude it. Requests that
    /// may not be executed twice keep waiting.
    fn cancel_attempts_on(&mut self, silent: ServerIndex, actions: &mut Vec<Action>) {
        for attempt in self.requests.attempts_mut().filter(|attempt| attempt.waits_on(silent)) {
            attempt.excluded = Some(silent);
        }
        let classes = &self.settings.classes;
        let affected = self.requests.unanswered_ids(|pending| {
            RetryPolicy::for_class(&classes[pending.class.0]).is_always_safe()
                && pending.attempts.iter().any(|attempt| attempt.waits_on(silent))
        });
        self.for_each_request(affected, actions, Self::cancel_attempts);
    }
}
