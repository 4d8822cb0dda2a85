//! The rules of checkouts: executed once, with one outcome at every router.

use super::linearizability::is_linearizable;
use super::observations::{Intervals, Observations, ObservedRequest};
use super::{Report, Rule};
use crate::rig::history::{Outcome, RequestKind};
use std::collections::{BTreeMap, BTreeSet};

/// A checkout with all requests that presented it, in the order in which they were sent.
struct Checkout<'a> {
    id: &'a str,
    requests: Vec<&'a ObservedRequest<'a>>,
    /// The times at which the checkout was executed, in milliseconds.
    executions: &'a [u64],
}

/// Checks and counts all checkouts of a history.
pub(super) fn check_checkouts(report: &mut Report, observations: &Observations<'_>) {
    let mut requests_by_id: BTreeMap<&str, Vec<&ObservedRequest<'_>>> = BTreeMap::new();
    for request in observations.requests.values().filter(|r| *r.kind == RequestKind::Checkout) {
        requests_by_id.entry(request.id).or_default().push(request);
    }
    for (id, executions) in &observations.executions {
        report.counts.executed += 1;
        if executions.len() > 1 {
            report.counts.executed_more_than_once += 1;
            let description = format!("{id} was executed {} times, at {executions:?} ms", executions.len());
            report.violation(Rule::ExecutedOnce, description);
        }
    }
    for (id, requests) in requests_by_id {
        let executions = observations.executions.get(id).map_or(&[][..], Vec::as_slice);
        let checkout = Checkout { id, requests, executions };
        checkout.count(report);
        checkout.check_outcomes(report, &observations.isolated);
        checkout.check_rejections(report, &observations.isolated);
        if !is_linearizable(&checkout.requests, checkout.executed_at_ms(), &observations.isolated) {
            let description = format!("{id}: its responses are not linearizable as those of one register");
            report.violation(Rule::Linearizable, description);
        }
    }
}

impl Checkout<'_> {
    fn executed_at_ms(&self) -> Option<u64> {
        self.executions.first().copied()
    }

    fn count(&self, report: &mut Report) {
        let served = self.requests.iter().filter(|r| matches!(r.outcome(), Some((_, Outcome::Served(_)))));
        let serving_routers: BTreeSet<usize> = served.map(|r| r.router).collect();
        let executed_again = self.executions.len() > 1;
        let counts = &mut report.counts;
        counts.checkouts += 1;
        counts.checkouts_presented_again += u64::from(self.requests.len() > 1);
        counts.served_by_several_routers += u64::from(serving_routers.len() > 1);
        counts.executed_again_after_resend += u64::from(executed_again && self.is_presented_sequentially());
    }

    /// Whether each request was sent after the previous one had ended, or after its deadline.
    fn is_presented_sequentially(&self) -> bool {
        let end_ms = |request: &ObservedRequest<'_>| {
            let response = request.outcome().map(|(at_ms, _)| at_ms);
            response.or(request.connection_lost_at_ms).unwrap_or(request.sent_at_ms + request.timeout_ms)
        };
        self.requests.windows(2).all(|pair| end_ms(pair[0]) <= pair[1].sent_at_ms)
    }

    /// Checks that the checkout was executed before it was served, has one body, and is not rejected after it was served.
    fn check_outcomes(&self, report: &mut Report, isolated: &Intervals) {
        let id = self.id;
        let mut outcomes: Vec<_> = self.requests.iter().filter_map(|r| Some((r, r.outcome()?))).collect();
        outcomes.sort_by_key(|(_, (at_ms, _))| *at_ms);
        let mut first_served: Option<(u64, &[u8])> = None;
        for (request, (at_ms, outcome)) in outcomes {
            let router = request.router;
            match (outcome, first_served) {
                (Outcome::Served(body), None) => {
                    first_served = Some((at_ms, body));
                    let executed_at = self.executed_at_ms();
                    if executed_at.is_none_or(|executed| executed > at_ms) {
                        let description = format!("{id}: served at {at_ms} ms, executed at {executed_at:?}");
                        report.violation(Rule::SameOutcome, description);
                    }
                }
                (Outcome::Served(body), Some((_, first_body))) => {
                    if body != first_body {
                        let description = format!("{id}: router {router} served another body at {at_ms} ms");
                        report.violation(Rule::SameOutcome, description);
                    }
                }
                (Outcome::Rejected { .. }, Some((served_at, _)))
                    if request.sent_at_ms > served_at
                        && !isolated.overlaps(router, request.sent_at_ms, at_ms) =>
                {
                    let description =
                        format!("{id}: served at {served_at} ms, rejected by router {router} at {at_ms} ms");
                    report.violation(Rule::ServedNeverRejected, description);
                }
                (Outcome::Rejected { .. } | Outcome::Failed(_), _) => {}
            }
        }
    }

    /// Checks that rejected requests did not lead to an execution; see [`Rule::ServedNeverRejected`] for rejections by isolated routers.
    fn check_rejections(&self, report: &mut Report, isolated: &Intervals) {
        let id = self.id;
        let Some(executed_at) = self.executed_at_ms() else { return };
        for request in &self.requests {
            let Some(at_ms) = request.rejected_at_ms() else { continue };
            let router = request.router;
            if executed_at <= at_ms && !isolated.overlaps(router, request.sent_at_ms, at_ms) {
                let description =
                    format!("{id}: executed at {executed_at} ms, rejected by router {router} at {at_ms} ms");
                report.violation(Rule::RejectedNeverExecuted, description);
            }
        }
        let may_have_executed = |request: &&ObservedRequest<'_>| {
            request.sent_at_ms <= executed_at && request.rejected_at_ms().is_none_or(|at| at >= executed_at)
        };
        if !self.requests.iter().any(may_have_executed) {
            let description =
                format!("{id}: executed at {executed_at} ms, after all requests until then were rejected");
            report.violation(Rule::RejectedNeverExecuted, description);
        }
    }
}
