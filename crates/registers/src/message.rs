//! What keepers and askers say to each other: in a version of its own, to one member by its full name, under one epoch of the map.

use crate::{Record, RecordKey};
use basaltgw_types::{Member, Shard};
use serde::{Deserialize, Serialize};

/// The version of messages and records; others are not read.
pub(crate) const VERSION: u8 = 1;

/// Counters of ballots stay below it, so that a next one can always be named.
pub(crate) const MOST_COUNTER: u64 = 1 << 62;

/// A ballot: no two are alike, since a member counts up within a run and its runs are counted on its disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Ballot {
    /// Counted up by each member, beyond whatever it has seen.
    pub counter: u64,
    /// Whose it is.
    pub by: Member,
    /// In which run of its program.
    pub run: u64,
}

/// Changes that a value names; older ones are forgotten.
const MOST_CHANGES: usize = 6;

/// What a register holds, and the ballots of the changes that led to it, the latest first. Copies made later keep them, so whoever proposed
/// a change can tell whether it was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Value {
    pub hold: Record,
    pub changes: Vec<Ballot>,
}

/// Whether a change is among those that led to a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Led {
    /// It is the latest.
    Last,
    /// It is, and others came after it.
    Before,
    /// It is not.
    Not,
    /// It is older than those that the value names.
    Unknown,
}

impl Value {
    /// What a change made of what stood.
    pub fn made(hold: Record, before: Option<&Value>, by: Ballot) -> Self {
        let before = before.iter().flat_map(|v| &v.changes).cloned();
        Self { hold, changes: std::iter::once(by).chain(before).take(MOST_CHANGES).collect() }
    }

    /// Whether the change of that ballot led to it. Ballots only grow along the way.
    pub fn led(&self, by: &Ballot) -> Led {
        match self.changes.iter().position(|b| b == by) {
            Some(0) => Led::Last,
            Some(_) => Led::Before,
            None if self.changes.len() < MOST_CHANGES => Led::Not,
            None if self.changes.last().is_some_and(|oldest| by > oldest) => Led::Not,
            None => Led::Unknown,
        }
    }
}

/// Where registers are kept together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Place {
    Shard(Shard),
    Root,
}

/// Why a keeper refuses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Why {
    /// It has promised to a later ballot, of this counter.
    Outvoted(u64),
    /// It goes by a later epoch than the word's.
    OldTable,
    /// It goes by an earlier epoch, or none.
    NotYet,
    /// It does not keep that hold.
    NoKeeper,
    /// Its disk takes nothing.
    NoDisk,
    /// It has no room.
    Full,
}

/// A register's name with the ballot of what is accepted there, if anything is.
pub(crate) type Listed = (RecordKey, Option<Ballot>);

/// A word, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    Prepare(RecordKey, Ballot),
    /// With a ballot that is promised along with it, so that the same member's next change needs one round.
    Accept(RecordKey, Ballot, Value, Option<Ballot>),
    /// The registers of a place, after one, at most so many.
    List(Place, Option<RecordKey>, u32),
    Promised(Ballot, Option<(Ballot, Value)>),
    Accepted(Ballot),
    Refused(Ballot, Why),
    /// In order; with whether there are more.
    Listed(Place, Option<RecordKey>, Vec<Listed>, bool),
}

impl Body {
    /// True for the answer to a word.
    #[cfg(test)]
    pub fn answers(&self) -> bool {
        match self {
            Body::Prepare(..) | Body::Accept(..) | Body::List(..) => false,
            Body::Promised(..) | Body::Accepted(_) | Body::Refused(..) | Body::Listed(..) => true,
        }
    }
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Letter {
    /// For whom: a member with another disk is another.
    pub to: Member,
    /// The epoch under which it is said; for a refusal by epoch, the one that the refuser goes by.
    pub epoch: u64,
    /// The asker's number, returned with the answer.
    pub round: u64,
    pub body: Body,
}

/// Bytes that are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BadBytes {
    #[error("a message or record of version {0}, expected version {VERSION}")]
    Version(u8),
    #[error("expected a whole message or record of version {VERSION}")]
    Form,
}

/// The bytes of a message or record.
pub(crate) fn encode<T: Serialize>(what: &T) -> Option<Vec<u8>> {
    postcard::to_extend(what, vec![VERSION]).ok()
}

/// Reads them back.
///
/// # Errors
/// If they are of another version, not whole, or more than one.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, BadBytes> {
    let (version, rest) = bytes.split_first().ok_or(BadBytes::Form)?;
    if *version != VERSION {
        return Err(BadBytes::Version(*version));
    }
    match postcard::take_from_bytes(rest) {
        Ok((what, [])) => Ok(what),
        Ok(_) | Err(_) => Err(BadBytes::Form),
    }
}

impl Letter {
    /// Reads a message.
    ///
    /// # Errors
    /// As [`decode`], and if a ballot's counter is beyond all bounds.
    pub(crate) fn read(bytes: &[u8]) -> Result<Self, BadBytes> {
        let letter: Self = decode(bytes)?;
        let sane = |b: &Ballot| b.counter < MOST_COUNTER;
        let ok = match &letter.body {
            Body::Prepare(_, b) | Body::Accepted(b) => sane(b),
            Body::Accept(_, b, v, next) => sane(b) && v.changes.iter().all(sane) && next.iter().all(sane),
            Body::Promised(b, at) => sane(b) && at.iter().all(|(b, v)| sane(b) && v.changes.iter().all(sane)),
            Body::Refused(b, Why::Outvoted(counter)) => sane(b) && *counter < MOST_COUNTER,
            Body::Refused(b, _) => sane(b),
            Body::Listed(_, _, keys, _) => keys.iter().all(|k| k.1.iter().all(sane)),
            Body::List(..) => true,
        };
        ok.then_some(letter).ok_or(BadBytes::Form)
    }
}
