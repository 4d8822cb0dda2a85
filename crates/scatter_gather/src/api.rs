//! The whole interface: ids, policies, events, actions, verdicts.

use crate::counters::Counters;
use basaltgw_types::{Ms, RouterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A gather, numbered by the caller, who uses no number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatherNo(pub u64);

/// A part within its gather, numbered by the caller; each once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartNo(pub u32);

/// The number of an attempt within its gather, in the order of the [`Action::Fetch`]es.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// Where a part is: a zone's caches, or a router that answers for them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Site(pub Arc<str>);

/// What may be answered in part, for a class; compiled from the rules (`crates/placement`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Parts without which there is no answer.
    pub needed: Vec<PartNo>,
    /// Least share of the parts, 0 to 1.
    pub least_count: f64,
    /// Least share of their worth, 0 to 1.
    pub least_worth: f64,
    /// The longest that a gather waits for parts once an answer could be given, in milliseconds.
    pub wait: Ms,
    /// What a missing part does.
    pub missing: Missing,
    /// Parts may be asked for at a second site while the first is out.
    pub second_copies: bool,
}

/// What a missing part does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Missing {
    /// The answer names it and says when to come back: a debt.
    Owed,
    /// The answer names it, and that it will not come.
    Dropped,
    /// There is no answer without it.
    Refused,
}

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated and refused freely; the only one that may be a gather.
    Safe,
    /// Repeats are dropped within a group of servers for a time.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Times left, as spans from the moment they are told: they shrink from tier to tier, and no clock is compared with another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// An answer within this earns the full worth, in milliseconds.
    pub aim: Ms,
    /// An answer after this earns nothing, in milliseconds.
    pub deadline: Ms,
    /// The share of the worth that an answer between the two earns, 0 to 1.
    pub late_worth: f64,
}

/// A purge of an object or a whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Purge {
    /// The group.
    pub group: u64,
    /// The object; `None` for all of the group.
    pub object: Option<u64>,
    /// When it happened, in Unix milliseconds of the archive, whose stamp is also in [`Came::born`]: no router's clock is in it.
    pub time: u64,
}

/// A part that is asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    /// Its number.
    pub part: PartNo,
    /// The object that it is a part of. Of one object, all parts of an answer are of one version.
    pub object: u64,
    /// The object's group, for purges.
    pub group: u64,
    /// The site that is asked first.
    pub site: Site,
    /// Sites that have it too, the preferred first.
    pub alternates: Vec<Site>,
    /// What it is worth, in relation to the other parts; above 0.
    pub worth: f64,
    /// Only this version counts: that of what was answered before, where a debt is asked for.
    pub version: Option<Arc<str>>,
}

/// A request for several parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Its number.
    pub no: GatherNo,
    /// What may be answered in part.
    pub policy: Arc<Policy>,
    /// What a repeat of it may do.
    pub effect: Effect,
    /// Its parts.
    pub parts: Vec<PartSpec>,
    /// Times left.
    pub times: Times,
    /// Purges that concern its objects and have not settled.
    pub purges: Vec<Purge>,
}

/// Bytes of a part have come, wholly readable; they stay with the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Came {
    /// Of which gather.
    pub no: GatherNo,
    /// Of which attempt.
    pub attempt: AttemptNo,
    /// Which version they are of.
    pub version: Arc<str>,
    /// When the archive gave that copy out, in Unix milliseconds of the archive.
    pub born: u64,
    /// False if the lower tier says that it is not all of the part.
    pub whole: bool,
    /// Bytes.
    pub len: u64,
    /// How long the site took by its own count, in milliseconds; the rest of the latency is travel.
    pub took: Ms,
    /// Purges that the site knows of and that concern the part's object.
    pub purges: Vec<Purge>,
}

/// How an attempt ended without bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    /// Turned away, never run, with a time to come back in milliseconds.
    Refused(Ms),
    /// It ran, or may have, and failed; the site gave a sign of life.
    Failed,
    /// The site could not be reached, or the link broke with it out.
    Unreached,
}

/// An attempt has ended without bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// Of which gather.
    pub no: GatherNo,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// How.
    pub how: How,
}

/// What is heard of a site, for others to weigh: the same values as the roster carries.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// Which site.
    pub site: Site,
    /// Attempts that had no answer, of late.
    pub missed: u32,
    /// Attempts that had one, of late.
    pub answered: u32,
    /// The median latency of those, in milliseconds; 0 if there were none.
    pub latency: Ms,
    /// How old it is, in milliseconds.
    pub age: Ms,
}

/// What the decisions are told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request for several parts.
    Ask(Ask),
    /// Bytes of a part.
    Came(Came),
    /// An attempt without.
    Ended(Ended),
    /// A purge was heard.
    Purged(Purge),
    /// Another router's word on a site: advisory only.
    Heard(RouterId, Evidence),
    /// Routers in the fleet, this one included: how often each may probe a site that seems lost follows from it.
    Fleet(usize),
    /// It took this long to put an answer together and send it, in milliseconds.
    Merged(Ms),
    /// The client has left, or took its request back.
    Left(GatherNo),
    /// The time named by [`Action::Timer`] has come.
    Timer,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Copy {
    /// The part's first.
    First,
    /// An earlier one ended, or what it brought is of no use.
    Again,
    /// An earlier one is out.
    Second,
    /// The site seems lost or too slow: next to nothing is hoped of this, and it stays out after the answer.
    Probe,
}

/// Which bytes go into an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Used {
    /// Which part.
    pub part: PartNo,
    /// The attempt that brought them.
    pub attempt: AttemptNo,
    /// Their version.
    pub version: Arc<str>,
}

/// Why a request can't be a gather; nothing was asked for it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unfit {
    /// It may not run twice, so it is neither split nor answered in part.
    #[error("gather: expected a request without effect, found a {0:?} one")]
    Effect(Effect),
    /// Too few or too many.
    #[error("gather.parts: expected 1 to {most}, found {found}")]
    Parts {
        /// As it came.
        found: usize,
        /// By the settings.
        most: usize,
    },
    /// Twice in one request.
    #[error("gather.parts: expected each number once, found {} twice", .0 .0)]
    Twice(PartNo),
    /// Needed, and not asked for.
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

/// How a gather ended: one for each that was asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Answer with all parts.
    Whole {
        /// In the order of the request.
        used: Vec<Used>,
    },
    /// Answer in part; it must never be taken or kept for the whole.
    Part {
        /// In the order of the request; never empty.
        used: Vec<Used>,
        /// In the order of the request; never empty.
        missing: Vec<PartNo>,
        /// They are a debt, for the caller to hold; else they will not come.
        owed: bool,
        /// When they may be had, in milliseconds from now.
        come_back: Ms,
    },
    /// Turned away before its time was over.
    Refused {
        /// When to come back, in milliseconds from now.
        come_back: Ms,
    },
    /// Its time was over, or each part that was asked for failed, and the policy allows no answer with what there is.
    Failed,
    /// It can't be a gather; nothing was asked for it.
    Unfit(Unfit),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask a site for a part.
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
        /// Times left for the site: shorter than the gather's own by measured travel and the time to put the answer together.
        times: Times,
        /// Only this version is of use, if one is named.
        version: Option<Arc<str>>,
        /// Only what the archive gave out after this is of use, in Unix milliseconds of the archive; 0 for anything.
        after: u64,
    },
    /// Give an attempt up at once: call it off if it is out, free its bytes if they came. Each attempt is either used in the answer, ended, or
    /// dropped, and that once.
    Drop(GatherNo, AttemptNo),
    /// Answer the client; the gather has ended.
    Answer(GatherNo, Verdict),
    /// Pass this on to other routers, by the roster.
    Tell(Evidence),
    /// Tell [`Event::Timer`] at this time of the caller's clock; replaces the time named before.
    Timer(Ms),
}

/// A way to decide on gathers.
pub trait Decide {
    /// Takes an event; what is to be done is added to `acts`, in order. `now` is the caller's clock in milliseconds.
    fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>);
    /// What it counted.
    fn counters(&self) -> &Counters;
}
