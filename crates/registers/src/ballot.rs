//! Ballots: they order the proposals for a register, and no two proposals have the same one.

use basaltgw_types::Member;
use serde::{Deserialize, Serialize};

/// All counters are below this bound, so that a next ballot always exists.
pub(crate) const MAX_BALLOT_COUNTER: u64 = 1 << 62;

/// A ballot. It is unique: a member counts up within a run, and its runs are counted on its disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Ballot {
    /// Counted up by each proposer, to a value above every counter that it has observed.
    pub counter: u64,
    /// The proposer.
    pub by: Member,
    /// The number of the proposer's run: process starts with its disk.
    pub run: u64,
}

impl Ballot {
    /// True if a next ballot exists.
    pub fn is_in_range(&self) -> bool {
        self.counter < MAX_BALLOT_COUNTER
    }
}

/// Generates the ballots of one proposer.
#[derive(Clone, Debug)]
pub(crate) struct BallotGenerator {
    me: Member,
    run: u64,
    counter: u64,
}

impl BallotGenerator {
    /// The generator of this run, which must be durable before the first ballot is sent.
    pub fn new(me: Member, run: u64) -> Self {
        Self { me, run, counter: 0 }
    }

    /// A ballot above all that were observed.
    pub fn next(&mut self) -> Ballot {
        self.counter = (self.counter + 1).min(MAX_BALLOT_COUNTER - 1);
        Ballot { counter: self.counter, by: self.me.clone(), run: self.run }
    }

    /// Raises the counter to one that another proposer has reached.
    pub fn observe(&mut self, counter: u64) {
        self.counter = self.counter.max(counter);
    }
}
