//! The whole interface of the decision module: settings, events, actions and ids.
//!
//! Nothing here knows how a protocol spells these things and nothing here decides. Times are milliseconds;
//! the clock is whatever the caller passes to `Router::handle` and only ever moves forward.

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

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated and refused freely.
    Safe,
    /// Repeats are dropped within a group of servers for a time.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The group of servers within which a keyed request's repeats are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, for reports only.
    pub name: String,
    /// An answer within this time, plus `aim_stretch` times the sending time, earns the full worth.
    pub aim: Ms,
    /// Multiple of the request's own sending time that is added to the aim.
    pub aim_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Ms,
    /// What a repeat may do.
    pub effect: Effect,
    /// Where repeats of a keyed request are dropped.
    pub key_scope: KeyScope,
    /// How long they are, from the first attempt that may have run.
    pub key_window: Ms,
    /// What one answer is worth.
    pub worth: f64,
    /// The share of it that a late answer earns.
    pub late_worth: f64,
    /// How long a copy is fresh; 0 for no limit.
    pub fresh: Ms,
    /// How long past that it may still be served.
    pub grace: Ms,
    /// True if its requests run at the origin and are never kept.
    pub uncacheable: bool,
}

/// The figures of the rule on servers that have just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Least share of its capacity with which it starts.
    pub share: f64,
    /// Longest time until it is warm.
    pub span: Ms,
    /// The multiple of its present capacity that brings it down.
    pub multiple: f64,
    /// The time over which that is counted.
    pub window: Ms,
}

/// Which other edge caches may be named as a fill's source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lateral {
    /// None.
    None,
    /// Those of the own zone.
    Zone,
    /// Any.
    Any,
}

/// What the site allows and requires; handed over at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone of this router.
    pub zone: ZoneId,
    /// Routers in this router's zone.
    pub zone_routers: usize,
    /// Routers in all.
    pub routers: usize,
    /// The hub of each zone, in the order of zone ids.
    pub zone_hub: Vec<ZoneId>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Servers of edge caches that have just started.
    pub cold_edge: ColdRule,
    /// Parents that have just started.
    pub cold_parent: ColdRule,
    /// Time in which sends to a draining or gone server must end.
    pub drain_grace: Ms,
    /// Time to heed a purge notice.
    pub purge_grace: Ms,
    /// Time after which no copy older than a purge is left anywhere.
    pub purge_settles: Ms,
    /// A request may have two attempts out at once.
    pub second_copies: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Refusals carry a time to come back.
    pub retry_after: bool,
    /// The longest such time that clients heed.
    pub max_retry_after: Ms,
    /// Attempts a request may have.
    pub max_attempts: usize,
    /// Parents and the origin take requests themselves.
    pub direct: bool,
    /// A request may join a fill that is under way.
    pub joins: bool,
    /// Which caches may supply a fill.
    pub lateral: Lateral,
    /// Top pace of one answer, KB a second; 0 if not told.
    pub pace_kb_per_s: f64,
    /// The server list has to be asked for.
    pub must_subscribe: bool,
    /// The list's weights, sizes in answers at full pace, are so only give or take (or not told: then one).
    pub rough_sizes: bool,
    /// The list's weights follow the servers' load and change from list to list.
    pub weights_move: bool,
    /// The least interval between two batches of events.
    pub tick: Ms,
}

impl Settings {
    /// The cold rule that holds for servers of a role.
    pub fn cold(&self, role: Role) -> ColdRule {
        match role {
            Role::Edge => self.cold_edge,
            Role::Parent | Role::Origin => self.cold_parent,
        }
    }
}

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
pub enum Listed {
    /// Its process runs.
    Up,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It is gone.
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Its name.
    pub id: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its role.
    pub role: Role,
    /// Its cell, for keyed requests.
    pub cell: u64,
    /// Its state.
    pub listed: Listed,
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
pub enum End {
    /// Served.
    Served,
    /// The server returned an error; it may have run.
    Error,
    /// Turned away; it never ran.
    Full,
    /// No answer in time; it may have run or still run.
    Late,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Broken,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Nothing suitable was held; it never ran.
    Miss,
}

impl End {
    /// Every way in which an attempt may end.
    pub const ALL: [Self; 9] = [
        Self::Served,
        Self::Error,
        Self::Full,
        Self::Late,
        Self::NoConnection,
        Self::Broken,
        Self::Cancelled,
        Self::NotSent,
        Self::Miss,
    ];
}

/// What an outcome tells of how it came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// Nothing is told.
    Untold,
    /// Found here.
    Hit,
    /// Filled from the source's copy.
    FilledBySource,
    /// The origin was asked.
    FilledByOrigin,
    /// Joined a fill under way.
    Joined,
    /// An old copy.
    Old,
    /// The source said no.
    SourceRefused,
    /// The source was not reached, broke off or was too slow.
    SourceFailed,
    /// The source has none.
    SourceLacks,
    /// All places for fills were taken here.
    NoFillPlace,
    /// The parent's origin failed.
    OriginFailed,
    /// The fill met itself on its way and was refused for that.
    Looped,
}

/// A load report; values that were not told are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
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
    pub end: End,
    /// How long it took.
    pub delay: Ms,
    /// The request has its final answer, through this outcome or earlier.
    pub last: bool,
    /// How it came about.
    pub note: Note,
    /// Time to the source's first byte or to the fill's failure; 0 if not told.
    pub source_wait: Ms,
    /// The server's load report, if any.
    pub load: Load,
}

/// How a server list relates to the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Changed entries only.
    Changes,
    /// The complete list; what is not in it is gone.
    Whole,
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
pub struct SourceTable {
    /// By edge cache; caches with the same sources share them.
    pub of: HashMap<ServerId, Arc<Vec<SourceShare>>>,
    /// Edge caches that may have the origin when they have nobody else.
    pub origin: HashSet<ServerId>,
}

/// What a router is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the servers.
    Servers(ListMode, Vec<ServerEntry>),
    /// A request has come in; exactly one final answer is owed.
    Request(Request),
    /// A stream has begun to flow: the request is bound to this attempt.
    Flowing(RequestId, AttemptNo),
    /// An attempt is over.
    Outcome(Outcome),
    /// The client has left; nothing is owed any more.
    ClientLeft(RequestId),
    /// A timer has come due.
    Timer(u64),
    /// Sources are planned by this table from now on; `None` for every listed parent.
    Sources(Option<Arc<SourceTable>>),
    /// An object, or without one a whole group, was purged so long ago.
    Purged(GroupId, Option<ObjectId>, Ms),
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
pub struct Fetch {
    /// For which request.
    pub request: RequestId,
    /// Where to.
    pub server: ServerId,
    /// Time-out of the attempt.
    pub timeout: Ms,
    /// Who supplies a miss; the server itself to have none filled.
    pub fill_from: ServerId,
    /// How the copy is kept.
    pub rank: Rank,
    /// The oldest copy that will do; `None` for the class's fresh time.
    pub max_age: Option<Ms>,
    /// Wait for a fill that runs already.
    pub join: bool,
    /// The source gives only what it holds.
    pub held_only: bool,
    /// Fetch an ageing copy anew while serving it.
    pub renew: bool,
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make an attempt.
    Fetch(Fetch),
    /// Call an attempt off.
    Cancel(RequestId, AttemptNo),
    /// Final answer: refused, trying again is harmless, with a time to stay away (0 for none).
    Refuse(RequestId, Ms),
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// Wake the router after this time with this token.
    Timer(Ms, u64),
    /// Ask for the server list from now on.
    Subscribe,
    /// A line for the operators.
    Report(String),
}
