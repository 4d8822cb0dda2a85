//! A pending request and its attempts: the states that they pass through until the request is complete.
//!
//! A request is pending from its arrival until it has its final answer and no attempt is in flight. An
//! attempt is in flight from the `StartAttempt` action until its outcome. Times are in milliseconds of the
//! caller's clock.

use super::endpoints::ServerIndex;
use super::slow_start::SendKey;
use crate::api::{AttemptNo, AttemptResult, ClassId, FillReport, Ms, Outcome, Rank, Request, RequestId};
use indexmap::IndexMap;
use std::ops::{Index, IndexMut};

/// Latency ratio that an attempt starts with as last reported, as a natural logarithm: it is first reported
/// as slow when its ratio exceeds e times the factor between two reports.
const INITIAL_LATENCY_RATIO_LOG: f64 = 1.0;

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Route {
    /// The server that the attempt is sent to.
    pub server: ServerIndex,
    /// The source from which it fills a miss; `None` if it is to fill none.
    pub source: Option<ServerIndex>,
    /// Whether the source may answer from its cache only.
    pub cached_only: bool,
}

impl Route {
    /// The server and the source.
    pub fn servers(&self) -> impl Iterator<Item = ServerIndex> {
        [Some(self.server), self.source].into_iter().flatten()
    }
}

/// An attempt of a request.
pub(super) struct Attempt {
    pub route: Route,
    pub sent_at: Ms,
    /// Mean sending time of the request's class, in milliseconds, as added to the server's `in_flight_cost`.
    pub cost: Ms,
    /// Identifies the send in the ledgers of the server and the source.
    pub send_key: SendKey,
    /// Probability, 0 to 1, that the attempt needs a fill over the zone's link.
    pub fill_probability: f64,
    /// The server that the request's further attempts exclude: the cache or the source of this attempt.
    pub excluded: Option<ServerIndex>,
    /// How often the attempt was found overdue.
    pub times_overdue: u32,
    /// The latency ratio, as a logarithm, at which the attempt was last reported as slow.
    pub reported_ratio_log: f64,
    pub finished: bool,
}

impl Attempt {
    /// An attempt that was just sent. Its server is excluded from further attempts unless the outcome shows
    /// that the server is not at fault.
    pub fn new(route: Route, sent_at: Ms, cost: Ms, send_key: SendKey, fill_probability: f64) -> Self {
        Self {
            route,
            sent_at,
            cost,
            send_key,
            fill_probability,
            excluded: Some(route.server),
            times_overdue: 0,
            reported_ratio_log: INITIAL_LATENCY_RATIO_LOG,
            finished: false,
        }
    }

    /// Whether the attempt refers to a server, so that its index must not be reused.
    pub fn refers_to(&self, server: ServerIndex) -> bool {
        self.route.servers().any(|used| used == server) || self.excluded == Some(server)
    }

    /// Whether the attempt is in flight at a server or at its source.
    pub fn waits_on(&self, server: ServerIndex) -> bool {
        !self.finished && self.route.servers().any(|used| used == server)
    }

    /// Updates the excluded server by an outcome.
    fn attribute_failure(&mut self, outcome: &Outcome) {
        match outcome.fill_report {
            // A source that detects a loop is healthy but of no use to this request.
            FillReport::SourceFailed | FillReport::LoopDetected => self.excluded = self.route.source,
            FillReport::SourceRejected | FillReport::SourceMiss | FillReport::OriginFailed => {
                self.excluded = None;
            }
            _ if outcome.result == AttemptResult::CacheMiss => self.excluded = None,
            _ => {}
        }
    }
}

/// An attempt whose outcome has arrived, as the modules that evaluate the outcome need it.
#[derive(Clone, Copy)]
pub(super) struct FinishedAttempt {
    pub request: RequestIndex,
    pub class: ClassId,
    pub route: Route,
    pub sent_at: Ms,
    pub cost: Ms,
    pub send_key: SendKey,
    pub fill_probability: f64,
}

/// What earlier attempts have shown about the caches' contents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LookupResult {
    Unknown,
    /// The edge cache lacks the object.
    EdgeMiss,
    /// The edge cache and the parent lack the object.
    ParentMiss,
    /// A fill is in progress that a request can join.
    FillInProgress,
}

/// A request without a final answer, or with attempts still in flight.
pub(super) struct PendingRequest {
    pub request: Request,
    pub class: ClassId,
    /// The time by which the final answer is out: the client's deadline less the answer margin.
    pub deadline: Ms,
    pub rank: Rank,
    pub attempts: Vec<Attempt>,
    pub lookup: LookupResult,
    /// When the first finished attempt was sent that may have been executed.
    executed_since: Option<Ms>,
    /// Whether the final answer is out or a response has started.
    pub answered: bool,
}

impl PendingRequest {
    /// A request that has just arrived.
    pub fn new(request: Request, class: ClassId, deadline: Ms, rank: Rank) -> Self {
        Self {
            request,
            class,
            deadline,
            rank,
            attempts: Vec::new(),
            lookup: LookupResult::Unknown,
            executed_since: None,
            answered: false,
        }
    }

    /// Whether an attempt has shown that the request's further attempts must exclude a server.
    pub fn excludes(&self, server: ServerIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.excluded == Some(server))
    }

    /// Whether an attempt is in flight whose source may need the origin.
    pub fn may_fill_from_origin(&self) -> bool {
        self.in_flight().any(|a| !a.route.cached_only && a.route.source.is_some() && a.fill_probability > 0.0)
    }

    /// When the first attempt was sent that may have been executed, or may yet be.
    pub fn first_possible_execution(&self) -> Option<Ms> {
        self.executed_since.or_else(|| self.in_flight().next().map(|attempt| attempt.sent_at))
    }

    /// Records that an attempt that was sent at a time may have been executed.
    pub fn record_possible_execution(&mut self, sent_at: Ms) {
        self.executed_since.get_or_insert(sent_at);
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| !attempt.finished)
    }

    /// Whether no attempt has named a source yet.
    pub fn only_lookups(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.route.source.is_none())
    }

    /// Updates what is known of the caches' contents, and the server to exclude, by an outcome.
    pub fn record_lookup(&mut self, outcome: &Outcome, fill_joining: bool) {
        let attempt = &mut self.attempts[outcome.attempt.0];
        let has_source = attempt.route.source.is_some();
        attempt.attribute_failure(outcome);
        if outcome.result == AttemptResult::CacheMiss && outcome.fill_report != FillReport::LoopDetected {
            // Joining a fill in progress uses no capacity of the link.
            self.lookup = match outcome.fill_report {
                FillReport::Joined if fill_joining => LookupResult::FillInProgress,
                _ if has_source => LookupResult::ParentMiss,
                _ => LookupResult::EdgeMiss,
            };
        }
    }
}

/// Position of a request in [`PendingRequests`]; valid until a request is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestIndex(usize);

/// All pending requests of a router.
#[derive(Default)]
pub(super) struct PendingRequests {
    by_id: IndexMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    pub fn contains(&self, id: &RequestId) -> bool {
        self.by_id.contains_key(id)
    }

    pub fn insert(&mut self, pending: PendingRequest) -> RequestIndex {
        RequestIndex(self.by_id.insert_full(pending.request.id.clone(), pending).0)
    }

    pub fn remove(&mut self, index: RequestIndex) {
        self.by_id.swap_remove_index(index.0);
    }

    pub fn index_of(&self, id: &RequestId) -> Option<RequestIndex> {
        self.by_id.get_index_of(id).map(RequestIndex)
    }

    pub fn get(&self, id: &RequestId) -> Option<&PendingRequest> {
        self.by_id.get(id)
    }

    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &PendingRequest> {
        self.by_id.values()
    }

    /// Requests without a final answer, with their positions.
    pub fn unanswered(&self) -> impl Iterator<Item = (RequestIndex, &PendingRequest)> {
        let all = self.by_id.values().enumerate();
        all.filter(|(_, pending)| !pending.answered)
            .map(|(position, pending)| (RequestIndex(position), pending))
    }

    /// The ids of requests without a final answer that satisfy a condition.
    pub fn unanswered_ids(&self, condition: impl Fn(&PendingRequest) -> bool) -> Vec<RequestId> {
        let selected = self.unanswered().filter(|(_, pending)| condition(pending));
        selected.map(|(_, pending)| pending.request.id.clone()).collect()
    }

    /// All attempts in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.iter().flat_map(PendingRequest::in_flight)
    }

    /// All attempts of all pending requests.
    pub fn attempts_mut(&mut self) -> impl Iterator<Item = &mut Attempt> {
        self.by_id.values_mut().flat_map(|pending| &mut pending.attempts)
    }

    /// Whether an attempt refers to a server.
    pub fn any_refers_to(&self, server: ServerIndex) -> bool {
        self.iter().flat_map(|pending| &pending.attempts).any(|attempt| attempt.refers_to(server))
    }

    /// Marks an attempt in flight as finished; `None` if there is none of that number.
    pub fn finish_attempt(&mut self, id: &RequestId, number: AttemptNo) -> Option<FinishedAttempt> {
        let (position, _, pending) = self.by_id.get_full_mut(id)?;
        let attempt = pending.attempts.get_mut(number.0).filter(|attempt| !attempt.finished)?;
        attempt.finished = true;
        Some(FinishedAttempt {
            request: RequestIndex(position),
            class: pending.class,
            route: attempt.route,
            sent_at: attempt.sent_at,
            cost: attempt.cost,
            send_key: attempt.send_key,
            fill_probability: attempt.fill_probability,
        })
    }
}

impl Index<RequestIndex> for PendingRequests {
    type Output = PendingRequest;

    fn index(&self, index: RequestIndex) -> &PendingRequest {
        &self.by_id[index.0]
    }
}

impl IndexMut<RequestIndex> for PendingRequests {
    fn index_mut(&mut self, index: RequestIndex) -> &mut PendingRequest {
        &mut self.by_id[index.0]
    }
}
