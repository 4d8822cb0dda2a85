//! The whole interface of the decision module: settings, events, actions and ids.
//!
//! Nothing here knows how a protocol spells these things and nothing here decides. Times are milliseconds;
//! the clock is whatever the caller passes to `Router::handle` and only ever moves forward.

mod settings;

pub use settings::{Class, Idempotency, KeyScope, PeerFill, Settings, SlowStartPolicy};

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Milliseconds, fractional.
pub type Ms = f64;

/// A request, named by the caller; given back unchanged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);
/// A server of any role (edge cache, parent, origin), named alike at all routers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);
/// An object, whatever the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);
/// A group of objects that may be purged together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);
/// A part of an object, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part(pub u64);
/// The place of a request class in `Settings::classes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
/// The number of an attempt within its request, counted from 0 in the order of the `Fetch` actions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub usize);
/// A zone by its place in the settings' list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// What a server is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An edge cache.
    Edge,
    /// A parent cache.
    Parent,
    /// The origin.
    Origin,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Its process runs.
    Up,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It is gone.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub id: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its role.
    pub role: Role,
    /// Its cell, for keyed requests.
    pub cell: u64,
    /// Its state.
    pub state: EndpointState,
    /// Its size in relation to the others.
    pub weight: f64,
    /// When its process last started; `None` if long ago.
    pub started: Option<Ms>,
}

/// A request from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id, never used twice.
    pub id: RequestId,
    /// Its class; `None` if it is not among the settings' classes.
    pub class: Option<ClassId>,
    /// The object asked for.
    pub object: ObjectId,
    /// The part of it.
    pub part: Part,
    /// The object's group.
    pub group: GroupId,
    /// The part's size in KB; 0 if not told.
    pub size_kb: f64,
    /// It changes something at the origin.
    pub write: bool,
    /// How long the client still waits for this try.
    pub budget: Ms,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Served.
    Served,
    /// The server returned an error; it may have run.
    Error,
    /// Turned away; it never ran.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Nothing suitable was held; it never ran.
    CacheMiss,
}

impl AttemptResult {
    /// Every way in which an attempt may end.
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

/// What an outcome tells of how it came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillReport {
    /// Nothing is told.
    NotReported,
    /// Found here.
    Hit,
    /// Filled from the source's copy.
    FilledBySource,
    /// The origin was asked.
    FilledByOrigin,
    /// Joined a fill under way.
    Joined,
    /// An old copy.
    Stale,
    /// The source said no.
    SourceRejected,
    /// The source was not reached, broke off or was too slow.
    SourceFailed,
    /// The source has none.
    SourceMiss,
    /// All places for fills were taken here.
    FillLimitReached,
    /// The parent's origin failed.
    OriginFailed,
    /// The fill met itself on its way and was refused for that.
    LoopDetected,
}

/// A load report; values that were not told are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being handled.
    pub inflight: Option<f64>,
    /// Share of CPU busy.
    pub util: Option<f64>,
    /// Share of hits lately.
    pub hits: Option<f64>,
    /// At an edge cache how full its location's link is; at a parent, fetches out.
    pub link: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Its request.
    pub request: RequestId,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// Where it went.
    pub server: ServerId,
    /// How it ended.
    pub result: AttemptResult,
    /// How long it took.
    pub latency: Ms,
    /// The request has its final answer, through this outcome or earlier.
    pub completes_request: bool,
    /// How it came about.
    pub fill_report: FillReport,
    /// Time to the source's first byte or to the fill's failure; 0 if not told.
    pub source_wait: Ms,
    /// The server's load report, if any.
    pub load: LoadReport,
    /// The answer carried the object's bytes whole; false where it only says that the client's copy is the one.
    pub body_complete: bool,
}

/// How a server list relates to the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The complete list; what is not in it is gone.
    Complete,
    /// Asking for the list failed; the previous one remains.
    Failed,
}

/// A source, beside the others that a cache may name.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceShare {
    /// Which.
    pub id: ServerId,
    /// Its size in relation to the others.
    pub weight: f64,
    /// The share of its objects for which it may be named now, 0 to 1 (see `hash::within_share`).
    pub share: f64,
}

/// The sources of a miss by edge cache, where they are planned. A cache that it does not name has every listed parent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FillPlan {
    /// By edge cache; caches with the same sources share them.
    pub sources: HashMap<ServerId, Arc<Vec<SourceShare>>>,
    /// Edge caches that may have the origin when they have nobody else.
    pub origin_allowed: HashSet<ServerId>,
}

/// What a router is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the servers.
    Endpoints(EndpointUpdate, Vec<Endpoint>),
    /// A request has come in; exactly one final answer is owed.
    Request(Request),
    /// A stream has begun to flow: the request is bound to this attempt.
    ResponseStarted(RequestId, AttemptNo),
    /// The last byte of an attempt is on the wire.
    RequestWritten(RequestId, AttemptNo),
    /// An attempt is over.
    Outcome(Outcome),
    /// The client has left; nothing is owed any more.
    ClientDisconnected(RequestId),
    /// A timer has come due.
    Timer(u64),
    /// Sources are planned by this table from now on; `None` for every listed parent.
    FillPlan(Option<Arc<FillPlan>>),
    /// An object, or without one a whole group, was purged so long ago.
    Purged(GroupId, Option<ObjectId>, Ms),
    /// Purges and listed starts of servers that were told lie further in the past by this than was reckoned then.
    ClockCorrected(Ms),
}

/// How long a copy is kept against others; low ranks leave first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Not kept.
    None,
    /// Leaves first.
    Low,
    /// Between the two.
    Middle,
    /// Leaves last.
    Top,
}

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSpec {
    /// For which request.
    pub request: RequestId,
    /// Where to.
    pub server: ServerId,
    /// Time-out of the attempt.
    pub timeout: Ms,
    /// Its first byte leaves before this, or none does; infinite where any time will do.
    pub start_before: Ms,
    /// Who supplies a miss; the server itself to have none filled.
    pub fill_source: ServerId,
    /// How the copy is kept.
    pub rank: Rank,
    /// The oldest copy that will do; `None` for the class's fresh time.
    pub max_age: Option<Ms>,
    /// Wait for a fill that runs already.
    pub join_fill: bool,
    /// The source gives only what it holds.
    pub cached_only: bool,
    /// Fetch an ageing copy anew while serving it.
    pub revalidate: bool,
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an attempt.
    StartAttempt(AttemptSpec),
    /// Call an attempt off.
    CancelAttempt(RequestId, AttemptNo),
    /// Final answer: refused, trying again is harmless, with a time to stay away (0 for none).
    Reject(RequestId, Ms),
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// Wake the router after this time with this token.
    Timer(Ms, u64),
    /// Ask for the server list from now on.
    WatchEndpoints,
    /// A line for the operators.
    Log(String),
}
