//! The interface of the decision module: settings, events, actions and ids.
//!
//! The interface is independent of any protocol and decides nothing. Times are in milliseconds; the clock is
//! what the caller passes to [`Router::handle`](crate::routing::Router::handle) and never moves backward.

mod settings;

pub use settings::{Class, Idempotency, KeyScope, PeerFill, Settings, SlowStartPolicy};

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Milliseconds, fractional.
pub type Ms = f64;

/// The id of a request, assigned by the caller and returned unchanged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);
/// The id of a server of any role, the same at all routers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);
/// The id of an object, all of its parts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);
/// The id of a group of objects that can be purged together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);
/// The number of a part of an object, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part(pub u64);
/// The position of a request class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
/// The number of an attempt within its request, from 0 in the order of the [`Action::StartAttempt`] actions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub usize);
/// The position of a zone in the settings' list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// The role of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An edge cache.
    Edge,
    /// A parent cache.
    Parent,
    /// The origin.
    Origin,
}

/// The state of a server by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The server takes requests.
    Up,
    /// The server completes its requests and takes no new ones.
    Draining,
    /// The server has left the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Unique among the servers of all roles.
    pub id: ServerId,
    /// Edge caches are used by the routers of this zone only, parents and the origin by all routers.
    pub zone: ZoneId,
    /// Edge cache, parent or origin.
    pub role: Role,
    /// The cell, within which repeated idempotency keys may be recognised. No decision depends on it at
    /// present.
    pub cell: u64,
    /// Whether the server takes new requests.
    pub state: EndpointState,
    /// Capacity relative to other servers; a weight that is not above 0 counts as 1.
    pub weight: f64,
    /// When the server's process last started; `None` if long ago.
    pub started: Option<Ms>,
}

/// A request from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Used once; a second request with the id of a pending one is ignored.
    pub id: RequestId,
    /// The request class; `None` if the settings have none for the request, which is then rejected.
    pub class: Option<ClassId>,
    /// The requested object.
    pub object: ObjectId,
    /// The requested part of the object.
    pub part: Part,
    /// The group with which the object may be purged.
    pub group: GroupId,
    /// The part's size in KB; 0 if unknown.
    pub size_kb: f64,
    /// Whether the request changes something at the origin, where it is executed.
    pub write: bool,
    /// How long the client still waits, in milliseconds.
    pub budget: Ms,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server returned a response.
    Served,
    /// The server returned an error; the request may have been executed.
    Error,
    /// The server rejected the request; it was not executed.
    Rejected,
    /// No response arrived in time; the request may have been executed, or may yet be.
    TimedOut,
    /// No connection was established; the request was not executed.
    NoConnection,
    /// The connection was lost; the request may have been executed.
    ConnectionLost,
    /// The router cancelled the attempt; the request may have been executed.
    Cancelled,
    /// The request was not sent.
    NotSent,
    /// The cache has no suitable copy; the request was not executed.
    CacheMiss,
}

impl AttemptResult {
    /// All results.
    pub const ALL: [Self; 9] = [
        Self::Served,
        Self::Error,
        Self::Rejected,
        Self::TimedOut,
        Self::NoConnection,
        Self::ConnectionLost,
        Self::Cancelled,
        Self::NotSent,
        Self::CacheMiss,
    ];
}

/// How a cache obtained its response, or why it has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillReport {
    /// The server reports nothing.
    NotReported,
    /// The copy was cached.
    Hit,
    /// The copy was filled from the source's cache.
    FilledBySource,
    /// The copy was filled from the origin.
    FilledByOrigin,
    /// The request joined a fill in progress.
    Joined,
    /// A stale copy was served.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source was unreachable, lost the connection or timed out.
    SourceFailed,
    /// The source has no copy.
    SourceMiss,
    /// The cache has reached its limit on fills.
    FillLimitReached,
    /// The origin behind the parent failed.
    OriginFailed,
    /// The fill was rejected because its path contains a loop.
    LoopDetected,
}

/// A load report; missing values are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// CPU utilization, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Share of recent requests that were hits, 0 to 1.
    pub hit_ratio: Option<f64>,
    /// At an edge cache the utilization of its zone's link; at a parent the number of fills in flight.
    pub fill_load: Option<f64>,
}

/// The outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub attempt: AttemptNo,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// How the attempt ended.
    pub result: AttemptResult,
    /// How long the attempt took, in milliseconds.
    pub latency: Ms,
    /// Whether the request has its final answer, by this outcome or an earlier one.
    pub completes_request: bool,
    /// How the cache obtained its response.
    pub fill_report: FillReport,
    /// Milliseconds until the source's first byte or the fill's failure; 0 if not reported.
    pub source_wait: Ms,
    /// The server's load report. No decision depends on it at present.
    pub load: LoadReport,
    /// Whether the response contains the complete object; false if it only confirms the client's copy.
    pub body_complete: bool,
}

/// How an endpoint list relates to the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The list has only the changed entries.
    Delta,
    /// The list is complete; servers that it lacks are removed.
    Complete,
    /// Polling the list failed; the previous list remains valid.
    Failed,
}

/// A source that a cache may be filled from.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceShare {
    /// The server that the cache is filled from.
    pub id: ServerId,
    /// Capacity relative to the cache's other sources.
    pub weight: f64,
    /// Share of the source's objects for which it may be used now, 0 to 1 (see
    /// [`crate::hash::within_share`]).
    pub share: f64,
}

/// The sources of misses by edge cache. A cache that the plan does not name may use every listed parent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FillPlan {
    /// Sources by edge cache; caches with the same sources share one list.
    pub sources: HashMap<ServerId, Arc<Vec<SourceShare>>>,
    /// Edge caches that may use the origin when no other source is available.
    pub origin_allowed: HashSet<ServerId>,
}

/// An input of a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    Endpoints {
        /// How the entries relate to the list before them.
        update: EndpointUpdate,
        /// The listed servers; empty if polling failed.
        entries: Vec<Endpoint>,
    },
    /// A request has arrived; the router gives it exactly one final answer.
    Request(Request),
    /// A streamed response has started: the request is bound to this attempt.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt whose response has started.
        attempt: AttemptNo,
    },
    /// The last byte of an attempt was written to its connection.
    RequestWritten {
        /// The request.
        request: RequestId,
        /// The attempt that was written.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client has disconnected; the request gets no answer.
    ClientDisconnected(RequestId),
    /// The timer that [`Action::Timer`] started with this token has expired.
    Timer(u64),
    /// The plan of fill sources has changed; `None` allows every listed parent.
    FillPlan(Option<Arc<FillPlan>>),
    /// An object or a whole group was purged.
    Purged {
        /// The object's group.
        group: GroupId,
        /// The purged object; `None` for all objects of the group.
        object: Option<ObjectId>,
        /// Milliseconds since the purge.
        age: Ms,
    },
    /// Known purges and listed process starts are older than assumed.
    ClockCorrected {
        /// By how many milliseconds.
        shift: Ms,
    },
}

/// The priority of a cached copy; low ranks are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// The copy is not cached.
    None,
    /// Evicted first.
    Low,
    /// Evicted after low ranks.
    Middle,
    /// Evicted last.
    Top,
}

/// An attempt to be started.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSpec {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The server to send the attempt to.
    pub server: ServerId,
    /// Timeout of the attempt, in milliseconds.
    pub timeout: Ms,
    /// The time before which the attempt's first byte must be written, or none may be; infinite without a
    /// limit.
    pub start_before: Ms,
    /// The source of a miss; the server itself if a miss is not to be filled.
    pub fill_source: ServerId,
    /// The rank at which the copy is cached.
    pub rank: Rank,
    /// Greatest accepted age of a copy in milliseconds; `None` for the class's freshness lifetime.
    pub max_age: Option<Ms>,
    /// Whether to join a fill in progress.
    pub join_fill: bool,
    /// Whether the source may answer from its cache only.
    pub cached_only: bool,
    /// Whether to revalidate an ageing copy while serving it.
    pub revalidate: bool,
}

/// An output of a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt(AttemptSpec),
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt to be cancelled.
        attempt: AttemptNo,
    },
    /// Final answer: rejected, a new request is safe.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After in milliseconds; 0 for none.
        retry_after: Ms,
    },
    /// Final answer: failed, the request may have been executed.
    Fail(RequestId),
    /// Start a timer.
    Timer {
        /// Milliseconds until it expires.
        delay: Ms,
        /// Returned by [`Event::Timer`].
        token: u64,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
    /// Write a log line for the operators.
    Log(String),
}
