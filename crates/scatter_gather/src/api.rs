//! The interface: ids, policies, events, actions, verdicts.

use crate::counters::Counters;
use basaltgw_types::{Ms, RouterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Id of a request, assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatherNo(pub u64);

/// Id of a part within its request, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartNo(pub u32);

/// Id of an attempt within its request, in the order of the [`Action::Fetch`]es.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// The location of a part: a zone's caches, or a router in front of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Site(pub Arc<str>);

/// When a class of requests may be answered in part; compiled from the rules (`crates/placement`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Required parts: there is no answer without them.
    pub needed: Vec<PartNo>,
    /// Minimum share of the parts, 0 to 1.
    pub least_count: f64,
    /// Minimum share of the total priority weight, 0 to 1.
    pub least_worth: f64,
    /// The longest wait for further parts once the policy allows an answer, in milliseconds.
    pub wait: Ms,
    /// How missing parts are handled.
    pub missing: Missing,
    /// Whether hedged sub-requests may be sent.
    pub second_copies: bool,
}

/// How missing parts are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Missing {
    /// The answer names them with a `Retry-After`: a continuation.
    Owed,
    /// The answer names them, without a continuation.
    Dropped,
    /// There is no answer without them.
    Refused,
}

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent; the only kind that may be split and answered in part.
    Safe,
    /// With an idempotency key: a group of servers drops duplicates for a time.
    Keyed,
    /// Not idempotent.
    Unsafe,
}

/// The time budget of a request, relative to its arrival: no clocks of different hosts are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Latency objective in milliseconds: an answer within it has the full value.
    pub aim: Ms,
    /// Deadline in milliseconds: a later answer is worth nothing.
    pub deadline: Ms,
    /// Value of an answer between the two, 0 to 1.
    pub late_worth: f64,
}

/// A purge of an object or a whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Purge {
    /// The group.
    pub group: u64,
    /// The object; `None` for all of the group.
    pub object: Option<u64>,
    /// Its time in Unix milliseconds of the origin, whose clock is also the one of [`Came::born`].
    pub time: u64,
}

/// A requested part.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    /// Its id.
    pub part: PartNo,
    /// The object that it is a part of. All parts of one object in an answer have one version.
    pub object: u64,
    /// The object's group, for purges.
    pub group: u64,
    /// The preferred site.
    pub site: Site,
    /// Other sites that have it, in order of preference.
    pub alternates: Vec<Site>,
    /// Priority weight relative to the other parts; above 0.
    pub worth: f64,
    /// The only usable version: for a continuation, the one answered before.
    pub version: Option<Arc<str>>,
}

/// A scatter-gather request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Its id.
    pub no: GatherNo,
    /// When it may be answered in part.
    pub policy: Arc<Policy>,
    /// Whether it may be retried.
    pub effect: Effect,
    /// Its parts.
    pub parts: Vec<PartSpec>,
    /// Its time budget.
    pub times: Times,
    /// Purges of its objects that have not converged yet.
    pub purges: Vec<Purge>,
}

/// A response with a part; the caller buffers the data.
#[derive(Clone, Debug, PartialEq)]
pub struct Came {
    /// Of which gather.
    pub no: GatherNo,
    /// Of which attempt.
    pub attempt: AttemptNo,
    /// Which version they are of.
    pub version: Arc<str>,
    /// When the origin served that copy, in Unix milliseconds of the origin.
    pub born: u64,
    /// False if the lower tier marks it as partial.
    pub whole: bool,
    /// Size in bytes.
    pub len: u64,
    /// The site's own processing time, in milliseconds; the rest of the latency is network delay.
    pub took: Ms,
    /// Purges of the part's object that the site has received.
    pub purges: Vec<Purge>,
}

/// How an attempt ended without a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    /// Rejected and not executed, with a `Retry-After` in milliseconds.
    Refused(Ms),
    /// Failed, possibly executed; the site is reachable.
    Failed,
    /// The site could not be reached, or the connection was lost.
    Unreached,
}

/// An attempt has ended without a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// Of which gather.
    pub no: GatherNo,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// How.
    pub how: How,
}

/// Observations of a site, as membership gossips them between routers; advisory.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// Which site.
    pub site: Site,
    /// Recent attempts without an answer in time.
    pub missed: u32,
    /// Recent attempts with an answer.
    pub answered: u32,
    /// The median latency of those, in milliseconds; 0 if there were none.
    pub latency: Ms,
    /// Its age in milliseconds.
    pub age: Ms,
}

/// Input of the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request has arrived.
    Ask(Ask),
    /// A response with a part.
    Came(Came),
    /// An attempt has ended without a response.
    Ended(Ended),
    /// A purge was received.
    Purged(Purge),
    /// Another router's observation of a site: advisory only.
    Heard(RouterId, Evidence),
    /// Number of routers in the fleet, this one included; it bounds the rate of probes.
    Fleet(usize),
    /// Measured time to assemble and send an answer, in milliseconds.
    Merged(Ms),
    /// The client has disconnected or cancelled its request.
    Left(GatherNo),
    /// The time named by [`Action::Timer`] has come.
    Timer,
}

/// The kind of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Copy {
    /// The part's first.
    First,
    /// A retry: an earlier one ended, or its response is unusable.
    Again,
    /// A hedge: an earlier one is in flight.
    Second,
    /// A probe of an excluded or slow site; it stays in flight after the answer.
    Probe,
}

/// A part that an answer has.
#[derive(Clone, Debug, PartialEq)]
pub struct Used {
    /// Which part.
    pub part: PartNo,
    /// The attempt that it is taken from.
    pub attempt: AttemptNo,
    /// Its version.
    pub version: Arc<str>,
}

/// Why a request is invalid; no sub-request was sent for it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unfit {
    /// It is not idempotent.
    #[error("gather: expected a request without effect, found a {0:?} one")]
    Effect(Effect),
    /// Too few or too many parts.
    #[error("gather.parts: expected 1 to {most}, found {found}")]
    Parts {
        /// As it came.
        found: usize,
        /// By the settings.
        most: usize,
    },
    /// A part is listed twice.
    #[error("gather.parts: expected each number once, found {} twice", .0 .0)]
    Twice(PartNo),
    /// A required part is not requested.
    #[error("gather.needed: expected a part that is asked for, found {}", .0 .0)]
    Unknown(PartNo),
    /// A number out of range.
    #[error("gather.{field}: expected {expected}, found {found}")]
    Field {
        /// Which.
        field: &'static str,
        /// What it may be.
        expected: &'static str,
        /// As it came.
        found: f64,
    },
}

/// How a request ended: one for each request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// A complete answer.
    Whole {
        /// In the order of the request.
        used: Vec<Used>,
    },
    /// A partial answer; it must never be cached or used as a complete one.
    Part {
        /// In the order of the request; never empty.
        used: Vec<Used>,
        /// In the order of the request; never empty.
        missing: Vec<PartNo>,
        /// Whether the caller stores a continuation for the missing parts.
        owed: bool,
        /// `Retry-After` for the missing parts, in milliseconds.
        come_back: Ms,
    },
    /// Rejected before the deadline.
    Refused {
        /// `Retry-After` in milliseconds.
        come_back: Ms,
    },
    /// The deadline has passed, or all attempts failed, and the policy allows no answer with the received parts.
    Failed,
    /// Invalid; no sub-request was sent.
    Unfit(Unfit),
}

/// Output of the engine, for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a sub-request to a site.
    Fetch {
        /// For which gather.
        no: GatherNo,
        /// Which attempt of it.
        attempt: AttemptNo,
        /// The part.
        part: PartNo,
        /// The site.
        site: Site,
        /// Why.
        copy: Copy,
        /// The site's time budget: the request's own, less network delay and the time to assemble the answer.
        times: Times,
        /// The only usable version, if one is given.
        version: Option<Arc<str>>,
        /// Only copies that the origin served after this are usable, in Unix milliseconds of the origin; 0 for any.
        after: u64,
    },
    /// Drop an attempt: cancel it if it is in flight, free its data if it was received. Each attempt is used in the
    /// answer, ended or dropped exactly once.
    Drop(GatherNo, AttemptNo),
    /// Answer the client; the request has ended.
    Answer(GatherNo, Verdict),
    /// Publish an observation to other routers through membership.
    Tell(Evidence),
    /// Send [`Event::Timer`] at this time of the caller's clock; replaces the previous timer.
    Timer(Ms),
}

/// A strategy for scatter-gather requests.
pub trait Decide {
    /// Handles an event and appends actions to `acts`, in order. `now` is the caller's clock in milliseconds.
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>);
    /// Counters since the start.
    fn counters(&self) -> &Counters;
}
