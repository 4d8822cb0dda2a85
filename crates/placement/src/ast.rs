//! Rules as they were written.

use crate::fault::At;

/// A thing with its place.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Sp<T> {
    pub it: T,
    pub at: At,
}

pub(crate) type Name = Sp<String>;

/// What stands in a file, with the place of its first words.
#[derive(Clone, Debug)]
pub(crate) enum Item {
    Domain(Name, Vec<(Sp<Part>, Vec<Name>)>),
    Set(Name, Sp<Of>, Option<Cond>),
    Holds(At, Vec<Sp<Keep>>),
    Root(At, Vec<Sp<Keep>>),
    Home(At, Vec<Sp<Head>>, Vec<Sp<Bound>>),
    Apart(At, Vec<(Sp<Thing>, Name)>),
    Gather(At, Vec<Name>, Vec<Sp<Wait>>),
    /// What could not be read; a fault says so.
    Lost,
}

/// What a domain takes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    Branch,
    Machine,
    Zone,
}

/// What a set is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Of {
    Routers,
    Caches,
    Parents,
}

/// What never goes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Thing {
    Router,
    Machine,
    Branch,
    Set,
}

/// A condition on an entry of the inventory.
#[derive(Clone, Debug)]
pub(crate) enum Cond {
    Or(Vec<Cond>),
    And(Vec<Cond>),
    Not(Box<Cond>),
    /// The attribute is one of these.
    Is(Name, Vec<Name>),
    /// The attribute compared with a number.
    Compare(Name, Op, u64),
    /// It is in a set or domain.
    In(Name),
}

/// A comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Op {
    Equal,
    AtLeast,
    AtMost,
    Over,
    Under,
}

/// A clause on keepers of shards or of the root.
#[derive(Clone, Debug)]
pub(crate) enum Keep {
    Shards(u64),
    Copies(u64),
    Spread(Spread, Option<u64>),
    From(Vec<Name>),
    Prefer(Vec<Name>),
    Room(u64),
    Pace(u64),
}

/// What copies are spread over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Spread {
    Branches,
    Machines,
}

/// Which objects a home is of.
#[derive(Clone, Debug)]
pub(crate) enum Head {
    Class(Vec<Name>),
    Group(Vec<Sp<u64>>),
    Pin(Vec<Sp<u64>>),
}

/// A clause on a home.
#[derive(Clone, Debug)]
pub(crate) enum Bound {
    Serve(Vec<Name>),
    Keep(Vec<Name>),
    Fill(Vec<Name>),
    Only(Name),
    Prefer(Vec<Name>),
    Width(u64),
    Else,
}

/// A clause on a gather.
#[derive(Clone, Debug)]
pub(crate) enum Wait {
    Needs(Vec<Sp<u64>>),
    Least(Vec<(Sp<u64>, Sp<Share>)>),
    Longest(u64),
    Missing(Missing),
    Second(bool),
}

/// What a share is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Share {
    Parts,
    Worth,
}

/// What a missing part does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Missing {
    /// The answer names it and says when to come back.
    Owed,
    /// The answer names it, and that it will not come.
    Dropped,
    /// There is no answer without it.
    Refused,
}
