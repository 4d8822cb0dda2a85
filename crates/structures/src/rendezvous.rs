//! The rendezvous order of servers for a key, computed lazily: one server at a time.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998: every server has a score for a key, and the highest
//! wins; each wins with a probability in proportion to its weight. Sorting all servers costs a logarithm for each and n log n comparisons,
//! though the first server alone is nearly always enough. Here servers of equal weight form a group: within it the order of scores is the
//! order of the mixed hashes, so the best of each group is found by comparing integers, and only the groups' best need a logarithm.
//!
//! Cost, with n servers in g groups: the first server O(n) integer steps and g logarithms, no allocation; the second O(n) logarithms and a
//! heap; each further one O(log n). The order equals that of the sort to the last bit (see the property test).

use crate::hash::{mix, rendezvous_score};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The low bits of a mixed hash that do not affect the score (see [`crate::hash::unit_interval`]).
const IGNORED_LOW_BITS: u32 = 11;
/// Mixed hashes, without the ignored bits, that differ by no more than this may round to the same score; then scores are compared. Rounding
/// of the logarithm and the division moves a score by under two units in the last place; a unit of the hash moves it by at least a half.
const ROUNDING_DISTANCE: u64 = 16;

/// Servers that may be chosen, grouped by weight.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    groups: Vec<Group>,
}

/// Servers of one weight.
#[derive(Clone, Debug)]
struct Group {
    weight: f64,
    hashes: Vec<u64>,
    /// The caller's index of the server whose hash is at the same position of `hashes`.
    indices: Vec<usize>,
}

/// A server with its score; the greatest is the first in order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Scored {
    score: f64,
    hash: u64,
    index: usize,
}

impl Eq for Scored {}

impl Ord for Scored {
    fn cmp(&self, other: &Self) -> Ordering {
        self.score.total_cmp(&other.score).then(other.hash.cmp(&self.hash)).then(other.index.cmp(&self.index))
    }
}

impl PartialOrd for Scored {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Candidates {
    /// Candidates from triples of the caller's index of a server, its hash and its weight (above 0).
    pub fn new(servers: impl IntoIterator<Item = (usize, u64, f64)>) -> Self {
        let mut groups: Vec<Group> = Vec::new();
        // Sorted by weight, so that finding a group is a binary search.
        for (index, hash, weight) in servers {
            let at = match groups.binary_search_by(|g| g.weight.total_cmp(&weight)) {
                Ok(at) => at,
                Err(at) => {
                    groups.insert(at, Group { weight, hashes: Vec::new(), indices: Vec::new() });
                    at
                }
            };
            groups[at].hashes.push(hash);
            groups[at].indices.push(index);
        }
        Self { groups }
    }

    /// The number of candidates.
    pub fn len(&self) -> usize {
        self.groups.iter().map(|g| g.hashes.len()).sum()
    }

    /// Whether there are no candidates.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// The indices of all candidates, in no particular order.
    pub fn indices(&self) -> impl Iterator<Item = usize> + '_ {
        self.groups.iter().flat_map(|g| g.indices.iter().copied())
    }

    /// The candidates' indices for a key, highest score first; computed as the iterator advances.
    pub fn order(&self, key: u64) -> RendezvousOrder<'_> {
        RendezvousOrder { candidates: self, key, progress: Progress::NotStarted }
    }

    /// The candidates' indices for a key, highest score first; all computed at once.
    pub fn sorted(&self, key: u64) -> Vec<usize> {
        let mut all: Vec<Scored> = self.scored(key).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().map(|s| s.index).collect()
    }

    fn scored(&self, key: u64) -> impl Iterator<Item = Scored> + '_ {
        self.groups.iter().flat_map(move |g| g.scored(key))
    }

    fn first(&self, key: u64) -> Option<Scored> {
        self.groups.iter().filter_map(|g| g.first(key)).max()
    }
}

impl Group {
    fn score(&self, key: u64, position: usize) -> Scored {
        let (hash, index) = (self.hashes[position], self.indices[position]);
        Scored { score: rendezvous_score(key, hash, self.weight), hash, index }
    }

    fn scored(&self, key: u64) -> impl Iterator<Item = Scored> + '_ {
        (0..self.hashes.len()).map(move |position| self.score(key, position))
    }

    /// The server with the highest score: by its mixed hash, or by scores where another mixed hash is within [`ROUNDING_DISTANCE`].
    fn first(&self, key: u64) -> Option<Scored> {
        let (mut highest, mut position, mut may_tie) = (0, usize::MAX, false);
        for (i, hash) in self.hashes.iter().enumerate() {
            let mixed = mix(key, *hash) >> IGNORED_LOW_BITS;
            if position == usize::MAX || mixed > highest {
                may_tie = position != usize::MAX && mixed - highest <= ROUNDING_DISTANCE;
                (highest, position) = (mixed, i);
            } else if highest - mixed <= ROUNDING_DISTANCE {
                may_tie = true;
            }
        }
        match position {
            usize::MAX => None,
            _ if may_tie => self.scored(key).max(),
            _ => Some(self.score(key, position)),
        }
    }
}

/// How far the order has been computed.
enum Progress {
    NotStarted,
    /// The first server was returned: its index.
    FirstReturned(usize),
    /// All servers that were not returned.
    Remaining(BinaryHeap<Scored>),
}

/// An iterator over candidates from the highest score to the lowest, which computes scores only as far as it is advanced.
pub struct RendezvousOrder<'a> {
    candidates: &'a Candidates,
    key: u64,
    progress: Progress,
}

impl Iterator for RendezvousOrder<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        match &mut self.progress {
            Progress::NotStarted => {
                let first = self.candidates.first(self.key)?.index;
                self.progress = Progress::FirstReturned(first);
                Some(first)
            }
            Progress::FirstReturned(first) => {
                let first = *first;
                let rest: Vec<Scored> =
                    self.candidates.scored(self.key).filter(|s| s.index != first).collect();
                let mut heap = BinaryHeap::from(rest);
                let next = heap.pop().map(|s| s.index);
                self.progress = Progress::Remaining(heap);
                next
            }
            Progress::Remaining(heap) => heap.pop().map(|s| s.index),
        }
    }
}

#[cfg(test)]
mod tests;
