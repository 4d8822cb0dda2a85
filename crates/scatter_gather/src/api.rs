//! The interface: ids, policies, events, actions, verdicts.

use crate::counters::Counters;
use basaltgw_types::{Ms, RouterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of a scatter-gather request, assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatherNo(pub u64);

/// Number of a part within its request, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartNo(pub u32);

/// Number of an attempt within its request, in the order of the [`Action::Fetch`]es.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// The location of a part: a zone's caches, or a router in front of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Site(pub Arc<str>);

/// When a class of requests may be answered in part; compiled from the rules (`crates/placement`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Parts without which there is no answer.
    pub required_parts: Vec<PartNo>,
    /// Minimum share of the parts, 0 to 1.
    pub min_part_share: f64,
    /// Minimum share of the total priority weight, 0 to 1.
    pub min_weight_share: f64,
    /// The longest wait for further parts once the policy allows an answer, in milliseconds.
    pub max_wait: Ms,
    /// How missing parts are handled.
    pub missing_parts: MissingParts,
    /// Whether hedged sub-requests may be sent.
    pub hedging: bool,
}

/// How missing parts are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MissingParts {
    /// The answer names them with a `Retry-After`, and a continuation is stored for them.
    Continuation,
    /// The answer names them, without a continuation.
    Omitted,
    /// There is no answer without them.
    NotAllowed,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times; only such requests may be split and answered in part.
    Idempotent,
    /// With an idempotency key: a group of servers drops duplicates for a time.
    IdempotencyKey,
    /// Not more than once.
    NonIdempotent,
}

/// The time budget of a request, relative to its arrival: no clocks of different hosts are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeBudget {
    /// An answer within this time has the full value, in milliseconds.
    pub latency_objective: Ms,
    /// An answer later than this is worth nothing, in milliseconds.
    pub deadline: Ms,
    /// Value of an answer between the two, 0 to 1.
    pub late_weight_share: f64,
}

/// A purge of an object or a whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Purge {
    /// The group.
    pub group: u64,
    /// The object; `None` for all of the group.
    pub object: Option<u64>,
    /// The purge's time in Unix milliseconds of the origin, by the same clock as [`PartResponse::origin_time_ms`].
    pub time: u64,
}

/// A requested part.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    /// The part's number, unique within the request.
    pub part: PartNo,
    /// The object that it is a part of. All parts of one object in an answer have one version.
    pub object: u64,
    /// The object's group, for purges.
    pub group: u64,
    /// The site that is tried first.
    pub preferred_site: Site,
    /// Other sites that have the part, in order of preference.
    pub alternate_sites: Vec<Site>,
    /// Priority weight relative to the other parts; above 0.
    pub priority_weight: f64,
    /// The only usable version: for a continuation, the version of the partial answer.
    pub version: Option<Arc<str>>,
}

/// A scatter-gather request.
#[derive(Clone, Debug, PartialEq)]
pub struct GatherRequest {
    /// The request's number, unique within the router.
    pub gather: GatherNo,
    /// When the request may be answered in part.
    pub policy: Arc<Policy>,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
    /// The requested parts; answers keep their order.
    pub parts: Vec<PartSpec>,
    /// When an answer is in time, and when it is too late.
    pub budget: TimeBudget,
    /// Purges of the request's objects that have not converged yet.
    pub purges: Vec<Purge>,
}

/// A response with a part; the caller buffers the data.
#[derive(Clone, Debug, PartialEq)]
pub struct PartResponse {
    /// The request that the attempt belongs to.
    pub gather: GatherNo,
    /// The attempt that is answered.
    pub attempt: AttemptNo,
    /// Version of the object that the part belongs to.
    pub version: Arc<str>,
    /// When the origin served the copy, in Unix milliseconds of the origin.
    pub origin_time_ms: u64,
    /// False if the lower tier marks the response as partial.
    pub complete: bool,
    /// Size of the data in bytes.
    pub size_bytes: u64,
    /// The site's own processing time, in milliseconds; the rest of the latency is network delay.
    pub processing_time: Ms,
    /// Purges of the part's object that the site has received.
    pub purges: Vec<Purge>,
}

/// Why an attempt ended without a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndCause {
    /// The site rejected the attempt and did not execute it.
    Rejected {
        /// `Retry-After` in milliseconds.
        retry_after: Ms,
    },
    /// The attempt failed, possibly after its execution; the site is reachable.
    Failed,
    /// The site could not be reached, or the connection was lost.
    Unreachable,
}

/// An attempt that has ended without a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The request that the attempt belongs to.
    pub gather: GatherNo,
    /// The attempt's number within the request.
    pub attempt: AttemptNo,
    /// Why there is no response.
    pub cause: EndCause,
}

/// Observations of a site, as membership gossips them between routers; advisory.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// The observed site.
    pub site: Site,
    /// Recent attempts without an answer in time.
    pub missed: u32,
    /// Recent attempts with an answer.
    pub answered: u32,
    /// The median latency of the answers, in milliseconds; 0 if there were none.
    pub latency_ms: Ms,
    /// The age of the observations, in milliseconds.
    pub age_ms: Ms,
}

/// Input of the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request has arrived.
    Request(GatherRequest),
    /// A response with a part.
    Response(PartResponse),
    /// An attempt has ended without a response.
    AttemptEnded(EndedAttempt),
    /// A purge was received.
    Purge(Purge),
    /// Another router's observation of a site; advisory.
    PeerEvidence {
        /// The router that observed the site.
        from: RouterId,
        /// The observation.
        evidence: Evidence,
    },
    /// The size of the fleet, which bounds the rate of probes.
    FleetSize {
        /// Number of routers, this one included.
        routers: usize,
    },
    /// An answer was assembled and sent; later requests reserve this time.
    AnswerSent {
        /// Time to assemble and send the answer, in milliseconds.
        assembly_time: Ms,
    },
    /// The client has disconnected or cancelled its request.
    Cancelled(GatherNo),
    /// The time named by [`Action::SetTimer`] has come.
    Timer,
}

/// The kind of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The part's first attempt.
    First,
    /// A retry: an earlier attempt ended, or its response is unusable.
    Retry,
    /// A hedged sub-request: an earlier attempt is in flight.
    Hedge,
    /// A probe of an excluded or slow site; it stays in flight after the answer.
    Probe,
}

/// A part that an answer has.
#[derive(Clone, Debug, PartialEq)]
pub struct UsedPart {
    /// The part's number within the request.
    pub part: PartNo,
    /// The attempt whose response has the part's data.
    pub attempt: AttemptNo,
    /// Version of the object that the part belongs to.
    pub version: Arc<str>,
}

/// Why a request is invalid; no sub-request was sent for it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidRequest {
    /// The request is not idempotent.
    #[error("gather: expected an idempotent request, found {0:?}")]
    NotIdempotent(Idempotency),
    /// Too few or too many parts.
    #[error("gather.parts: expected 1 to {max}, found {found}")]
    PartCount {
        /// Number of requested parts.
        found: usize,
        /// Maximum number of parts by the settings.
        max: usize,
    },
    /// A part is listed twice.
    #[error("gather.parts: expected each number once, found {} twice", .0 .0)]
    DuplicatePart(PartNo),
    /// A part that the policy requires is not requested.
    #[error("gather.needed: expected a requested part, found {}", .0 .0)]
    RequiredPartNotRequested(PartNo),
    /// A number out of range.
    #[error("gather.{field}: expected {expected}, found {found}")]
    FieldOutOfRange {
        /// The field's name in the rules and settings.
        field: &'static str,
        /// The field's range.
        expected: &'static str,
        /// The field's value.
        found: f64,
    },
}

/// How a request ended: one for each request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// A complete answer.
    Complete {
        /// The parts of the answer, in the order of the request.
        used: Vec<UsedPart>,
    },
    /// A partial answer; it must never be cached or used as a complete one.
    Partial {
        /// The parts of the answer, in the order of the request; never empty.
        used: Vec<UsedPart>,
        /// The other parts, in the order of the request; never empty.
        missing: Vec<PartNo>,
        /// Whether the caller stores a continuation for the missing parts.
        store_continuation: bool,
        /// `Retry-After` for the missing parts, in milliseconds.
        retry_after: Ms,
    },
    /// Rejected before the deadline.
    Rejected {
        /// `Retry-After` in milliseconds.
        retry_after: Ms,
    },
    /// The deadline has passed, or all attempts failed, and the policy allows no answer with the received parts.
    Failed,
    /// Invalid; no sub-request was sent.
    Invalid(InvalidRequest),
}

/// Output of the engine, for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a sub-request to a site.
    Fetch {
        /// The request that the attempt belongs to.
        gather: GatherNo,
        /// The attempt's number within the request.
        attempt: AttemptNo,
        /// The part to fetch.
        part: PartNo,
        /// The site to fetch it from.
        site: Site,
        /// Whether the attempt is the first, a retry, a hedge or a probe.
        kind: AttemptKind,
        /// The site's time budget: the request's own, less network delay and the time to assemble the answer.
        budget: TimeBudget,
        /// The only usable version, if one is given.
        version: Option<Arc<str>>,
        /// Only copies that the origin served after this are usable, in Unix milliseconds of the origin; 0 for any.
        newer_than_ms: u64,
    },
    /// Drop an attempt: cancel it if it is in flight, free its data if it was received. Each attempt is used in the
    /// answer, ended or dropped exactly once.
    DropAttempt(GatherNo, AttemptNo),
    /// Answer the client; the request has ended.
    Answer(GatherNo, Verdict),
    /// Publish an observation to other routers through membership.
    PublishEvidence(Evidence),
    /// Send [`Event::Timer`]; replaces the previous timer.
    SetTimer {
        /// Time of the event by the caller's clock, in milliseconds.
        at: Ms,
    },
}

/// A strategy for scatter-gather requests: decides on sub-requests and answers, without I/O.
pub trait GatherStrategy {
    /// Handles an event and appends actions to `actions`, in order. `now` is the caller's clock in milliseconds.
    fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>);
    /// Counters since the start.
    fn counters(&self) -> &Counters;
}
