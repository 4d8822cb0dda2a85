//! Checks a history against the guarantees that routers give their clients. The history is the only input: the checker knows nothing of how
//! routers implement the guarantees.

mod checkouts;
mod linearizability;
mod observations;

use super::archive::copy_creation_ms;
use super::history::{Outcome, RequestKind, TimedEvent};
use checkouts::check_checkouts;
use observations::{Observations, ObservedRequest};

/// How long after its deadline a client still accepts a response, in milliseconds.
const CLIENT_SLACK_MS: u64 = 50;
/// The tolerance for delays of a busy machine, in milliseconds.
const MACHINE_DELAY_MS: u64 = 450;
/// The grace period of purges, `heed-within` of the stand-ins' configuration, in milliseconds.
const PURGE_GRACE_MS: u64 = 300;
/// The tolerance that is added to the grace period of a purge, in milliseconds.
const PURGE_SLACK_MS: u64 = 50;

/// Tolerances of the checker, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How late a response may be: what clients allow, and the delays of a busy machine.
    pub response_slack_ms: u64,
    /// The time from the announcement of a purge to the first request that it has to affect.
    pub purge_effect_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            response_slack_ms: CLIENT_SLACK_MS + MACHINE_DELAY_MS,
            purge_effect_ms: PURGE_GRACE_MS + PURGE_SLACK_MS,
        }
    }
}

/// A guarantee that the checker verifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request gets exactly one response, in time, unless its router was down.
    OneResponse,
    /// A checkout is executed at most once.
    ExecutedOnce,
    /// A served checkout was executed, and every router serves it with the same body.
    SameOutcome,
    /// A checkout that was answered `200` is later answered `200` or with a failure, never rejected. A rejection by an isolated router
    /// counts as [`HistoryCounts::rejected_while_isolated`] instead: such a router can know of its own attempt only.
    ServedNeverRejected,
    /// A rejected request was not executed before its rejection, nor because of it.
    RejectedNeverExecuted,
    /// The responses of all routers to one checkout are linearizable as the responses of a single register.
    Linearizable,
    /// After a purge of an object only copies made since the purge are served.
    PurgeTakesEffect,
    /// The history has all events.
    HistoryComplete,
}

impl Rule {
    /// All rules.
    pub const ALL: [Self; 8] = [
        Self::OneResponse,
        Self::ExecutedOnce,
        Self::SameOutcome,
        Self::ServedNeverRejected,
        Self::RejectedNeverExecuted,
        Self::Linearizable,
        Self::PurgeTakesEffect,
        Self::HistoryComplete,
    ];

    /// The rule's name in figures.
    pub(super) fn figure_name(self) -> &'static str {
        match self {
            Self::OneResponse => "one_answer",
            Self::ExecutedOnce => "once",
            Self::SameOutcome => "same_outcome",
            Self::ServedNeverRejected => "kept_word",
            Self::RejectedNeverExecuted => "refused_never_ran",
            Self::Linearizable => "linearizable",
            Self::PurgeTakesEffect => "purged",
            Self::HistoryComplete => "whole",
        }
    }
}

/// A violated rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// What happened, with ids and times.
    pub description: String,
}

/// The number of requests and checkouts in a history by what happened to them. Experiments check with these that the faults that they test
/// did occur.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HistoryCounts {
    /// Requests that clients sent.
    pub requests: u64,
    /// Requests answered `200`.
    pub served: u64,
    /// Requests answered `503`.
    pub rejected: u64,
    /// Requests rejected by a router that was isolated.
    pub rejected_while_isolated: u64,
    /// Requests answered with another status.
    pub failed: u64,
    /// Requests without a response because their router was down or their client disconnected.
    pub lost: u64,
    /// Checkouts, counted by their ids.
    pub checkouts: u64,
    /// Checkouts that were presented more than once.
    pub checkouts_presented_again: u64,
    /// Checkouts that more than one router answered `200`.
    pub served_by_several_routers: u64,
    /// Checkouts that were executed.
    pub executed: u64,
    /// Checkouts that were executed more than once.
    pub executed_more_than_once: u64,
    /// Checkouts that were executed more than once although clients presented them one after another: each time the previous request had
    /// ended, or its deadline had passed.
    pub executed_again_after_resend: u64,
    /// Reads served from a copy made after a purge of the object.
    pub reads_after_purge: u64,
}

/// The violations and counts found so far.
#[derive(Default)]
struct Report {
    violations: Vec<Violation>,
    counts: HistoryCounts,
}

impl Report {
    fn violation(&mut self, rule: Rule, description: String) {
        self.violations.push(Violation { rule, description });
    }
}

/// Checks a history; returns the violations and the counts.
pub fn check_history(
    events: &[TimedEvent],
    omitted_events: u64,
    limits: &Limits,
) -> (Vec<Violation>, HistoryCounts) {
    let mut report = Report::default();
    if omitted_events > 0 {
        report.violation(Rule::HistoryComplete, format!("{omitted_events} events were omitted"));
    }
    let observations = Observations::collect(events);
    for (at_ms, outcome) in &observations.unmatched_responses {
        let description = format!("a response to an unknown request at {at_ms} ms: {outcome:?}");
        report.violation(Rule::OneResponse, description);
    }
    for request in observations.requests.values() {
        check_response(&mut report, request, &observations, limits);
        check_purges(&mut report, request, &observations, limits);
    }
    check_checkouts(&mut report, &observations);
    (report.violations, report.counts)
}

/// Checks that a request got exactly one response in time, and counts it by its outcome.
fn check_response(
    report: &mut Report,
    request: &ObservedRequest<'_>,
    observations: &Observations<'_>,
    limits: &Limits,
) {
    let due_ms = request.sent_at_ms + request.timeout_ms + limits.response_slack_ms;
    let router_was_down = observations.down.overlaps(request.router, request.sent_at_ms, due_ms);
    let counts = &mut report.counts;
    counts.requests += 1;
    match request.outcome() {
        Some((at_ms, Outcome::Served(_))) => {
            counts.served += 1;
            if at_ms > due_ms && !router_was_down {
                report.violation(Rule::OneResponse, format!("{request}: served late, at {at_ms} ms"));
            }
        }
        Some((at_ms, Outcome::Rejected { .. })) => {
            let isolated = observations.isolated.overlaps(request.router, request.sent_at_ms, at_ms);
            counts.rejected += 1;
            counts.rejected_while_isolated += u64::from(isolated);
        }
        Some((_, Outcome::Failed(_))) => counts.failed += 1,
        None if router_was_down || request.client_disconnected => counts.lost += 1,
        // The history ends before the response is due.
        None if request.connection_lost_at_ms.is_none() && observations.end_ms < due_ms => {}
        None => {
            let lost_at = request.connection_lost_at_ms;
            report.violation(
                Rule::OneResponse,
                format!("{request}: no response, connection lost at {lost_at:?}"),
            );
        }
    }
    let responses = request.responses.len();
    if responses > 1 {
        report.violation(Rule::OneResponse, format!("{request}: {responses} responses"));
    }
}

/// Checks that a read was served a copy made after the last purge that had to take effect by then.
fn check_purges(
    report: &mut Report,
    request: &ObservedRequest<'_>,
    observations: &Observations<'_>,
    limits: &Limits,
) {
    let (RequestKind::Read { object }, Some((_, Outcome::Served(body)))) = (request.kind, request.outcome())
    else {
        return;
    };
    let Some(copied_at) = copy_creation_ms(body) else {
        report.violation(Rule::SameOutcome, format!("{request}: the body is not that of a copy"));
        return;
    };
    let announced = observations.purges.get(object).into_iter().flatten();
    let in_effect = announced.filter(|p| p.announced_at_ms + limits.purge_effect_ms <= request.sent_at_ms);
    let Some(purged_at) = in_effect.map(|p| p.purged_at_unix_ms).max() else { return };
    if copied_at < purged_at {
        let age = purged_at - copied_at;
        report.violation(
            Rule::PurgeTakesEffect,
            format!("{request}: served a copy made {age} ms before its purge"),
        );
    } else {
        report.counts.reads_after_purge += 1;
    }
}
