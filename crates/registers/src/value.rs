//! The replicated value: a record with the ballots of the changes that led to it.
//!
//! A proposer that did not receive the replies to its accept messages looks for its ballot among them, and so learns whether its change was
//! made.

use crate::ballot::Ballot;
use crate::Record;
use serde::{Deserialize, Serialize};

/// The most changes that a value lists; older ones are dropped.
const MAX_LISTED_CHANGES: usize = 6;

/// A record, and the ballots of the latest changes that led to it, the latest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Value {
    pub record: Record,
    pub changes: Vec<Ballot>,
}

/// Whether a change is among those that led to a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeStatus {
    /// The latest change.
    Latest,
    /// Made, and followed by others.
    Superseded,
    /// Not made.
    Absent,
    /// Older than the changes that the value lists.
    Unknown,
}

impl Value {
    /// The value after a change of `previous`.
    pub fn after_change(record: Record, previous: Option<&Value>, by: Ballot) -> Self {
        let earlier = previous.iter().flat_map(|v| &v.changes).cloned();
        Self { record, changes: std::iter::once(by).chain(earlier).take(MAX_LISTED_CHANGES).collect() }
    }

    /// Whether the change of that ballot led to this value. The ballots of successive changes only grow.
    pub fn status_of(&self, by: &Ballot) -> ChangeStatus {
        match self.changes.iter().position(|b| b == by) {
            Some(0) => ChangeStatus::Latest,
            Some(_) => ChangeStatus::Superseded,
            None if self.changes.len() < MAX_LISTED_CHANGES => ChangeStatus::Absent,
            None if self.changes.last().is_some_and(|oldest| by > oldest) => ChangeStatus::Absent,
            None => ChangeStatus::Unknown,
        }
    }
}
