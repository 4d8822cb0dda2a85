//! The events of a history, grouped by request, checkout, object and router.

use crate::rig::history::{Event, Outcome, RequestKind, RequestNumber, TimedEvent};
use std::collections::BTreeMap;
use std::fmt;

/// A request and what its client observed of it.
pub(super) struct ObservedRequest<'a> {
    pub(super) router: usize,
    pub(super) id: &'a str,
    pub(super) kind: &'a RequestKind,
    pub(super) timeout_ms: u64,
    pub(super) sent_at_ms: u64,
    /// The responses with their times; more than one violates [`Rule::OneResponse`](crate::rig::Rule::OneResponse).
    pub(super) responses: Vec<(u64, &'a Outcome)>,
    pub(super) connection_lost_at_ms: Option<u64>,
    pub(super) client_disconnected: bool,
}

impl ObservedRequest<'_> {
    /// The first response and its time.
    pub(super) fn outcome(&self) -> Option<(u64, &Outcome)> {
        self.responses.first().copied()
    }

    pub(super) fn rejected_at_ms(&self) -> Option<u64> {
        self.outcome()
            .filter(|(_, outcome)| matches!(outcome, Outcome::Rejected { .. }))
            .map(|(at_ms, _)| at_ms)
    }
}

impl fmt::Display for ObservedRequest<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at router {} at {} ms", self.id, self.router, self.sent_at_ms)
    }
}

/// An announced purge of an object.
pub(super) struct Purge {
    pub(super) announced_at_ms: u64,
    pub(super) purged_at_unix_ms: u64,
}

/// Time intervals in which a condition was true, by router; the last one may be open.
#[derive(Default)]
pub(super) struct Intervals(BTreeMap<usize, Vec<(u64, u64)>>);

impl Intervals {
    /// The end of an interval that is still open.
    const OPEN: u64 = u64::MAX;

    fn set(&mut self, router: usize, at_ms: u64, condition: bool) {
        let intervals = self.0.entry(router).or_default();
        match (intervals.last_mut().filter(|(_, end)| *end == Self::OPEN), condition) {
            (None, true) => intervals.push((at_ms, Self::OPEN)),
            (Some((_, end)), false) => *end = at_ms,
            (None, false) | (Some(_), true) => {}
        }
    }

    /// Whether the condition was true at any time from `from_ms` to `to_ms`.
    pub(super) fn overlaps(&self, router: usize, from_ms: u64, to_ms: u64) -> bool {
        let intervals = self.0.get(&router).into_iter().flatten();
        intervals.copied().any(|(start, end)| start <= to_ms && end >= from_ms)
    }
}

/// The events of a history, grouped as the rules need them.
#[derive(Default)]
pub(super) struct Observations<'a> {
    pub(super) requests: BTreeMap<RequestNumber, ObservedRequest<'a>>,
    /// Responses to requests that were never sent, with their times.
    pub(super) unmatched_responses: Vec<(u64, &'a Outcome)>,
    /// The times of each checkout's executions, by its id.
    pub(super) executions: BTreeMap<&'a str, Vec<u64>>,
    /// The purges of each object.
    pub(super) purges: BTreeMap<u64, Vec<Purge>>,
    /// The times at which routers were down.
    pub(super) down: Intervals,
    /// The times at which routers were isolated.
    pub(super) isolated: Intervals,
    /// The time of the last event.
    pub(super) end_ms: u64,
}

impl<'a> Observations<'a> {
    pub(super) fn collect(events: &'a [TimedEvent]) -> Self {
        let end_ms = events.last().map_or(0, |e| e.at_ms);
        let mut observations = Self { end_ms, ..Self::default() };
        for TimedEvent { at_ms, event } in events {
            observations.add(*at_ms, event);
        }
        observations
    }

    fn add(&mut self, at_ms: u64, event: &'a Event) {
        match event {
            Event::RequestSent { request, router, id, kind, timeout_ms } => {
                let observed = ObservedRequest {
                    router: *router,
                    id,
                    kind,
                    timeout_ms: *timeout_ms,
                    sent_at_ms: at_ms,
                    responses: Vec::new(),
                    connection_lost_at_ms: None,
                    client_disconnected: false,
                };
                self.requests.insert(*request, observed);
            }
            Event::ResponseReceived { request, outcome } => match self.requests.get_mut(request) {
                Some(observed) => observed.responses.push((at_ms, outcome)),
                None => self.unmatched_responses.push((at_ms, outcome)),
            },
            Event::ConnectionLost(request) => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.connection_lost_at_ms = Some(at_ms);
                }
            }
            Event::ClientDisconnected(request) => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.client_disconnected = true;
                }
            }
            Event::Executed { id } => self.executions.entry(id).or_default().push(at_ms),
            Event::PurgeAnnounced { object, purged_at_unix_ms, .. } => {
                let purge = Purge { announced_at_ms: at_ms, purged_at_unix_ms: *purged_at_unix_ms };
                self.purges.entry(*object).or_default().push(purge);
            }
            Event::RouterDown { router, down } => self.down.set(*router, at_ms, *down),
            Event::RouterIsolated { router, isolated } => self.isolated.set(*router, at_ms, *isolated),
            Event::Fault(_) => {}
        }
    }
}
