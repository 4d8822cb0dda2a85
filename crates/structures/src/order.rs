//! Rendezvous order of servers for a key, found one at a time.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998: every server has a score for a key, and the highest
//! wins, each in proportion to its weight. Sorting all of them for the one that is nearly always enough costs a logarithm for each
//! and n log n comparisons. Here servers of equal weight stand together: within such a group the order of scores is the order of
//! their hash words, so the best of each group is found by comparing whole numbers, and only the groups' best need a logarithm.
//!
//! Cost, with n servers in g groups: the first O(n) whole-number steps and g logarithms, no allocation; the second O(n) logarithms and a
//! heap; each further one O(log n). The order is the same as that of the sort to the last bit (see the property test).

use crate::hash::{mix, rendezvous};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Bits of a hash word that a score does not see (see [`crate::hash::unit`]).
const UNSEEN_BITS: u32 = 11;
/// Words nearer than this may round to one score; then scores are compared. Rounding of the logarithm and the division moves a score by
/// under two units in the last place; a unit of the word moves it by at least a half.
const NEAR: u64 = 16;

/// Servers that may be chosen, by weight.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    groups: Vec<Group>,
}

/// Servers of one weight.
#[derive(Clone, Debug)]
struct Group {
    weight: f64,
    hashes: Vec<u64>,
    places: Vec<usize>,
}

/// A server with its score; the greatest is the first in order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Scored {
    score: f64,
    hash: u64,
    place: usize,
}

impl Eq for Scored {}

impl Ord for Scored {
    fn cmp(&self, other: &Self) -> Ordering {
        self.score.total_cmp(&other.score).then(other.hash.cmp(&self.hash)).then(other.place.cmp(&self.place))
    }
}

impl PartialOrd for Scored {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Candidates {
    /// Candidates by the caller's place for each, its hash and its weight (above 0).
    pub fn new(servers: impl IntoIterator<Item = (usize, u64, f64)>) -> Self {
        let mut groups: Vec<Group> = Vec::new();
        // By weight, so that finding a group costs a logarithm of their number.
        for (place, hash, weight) in servers {
            let at = match groups.binary_search_by(|g| g.weight.total_cmp(&weight)) {
                Ok(at) => at,
                Err(at) => {
                    groups.insert(at, Group { weight, hashes: Vec::new(), places: Vec::new() });
                    at
                }
            };
            groups[at].hashes.push(hash);
            groups[at].places.push(place);
        }
        Self { groups }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.groups.iter().map(|g| g.hashes.len()).sum()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// All places, in no particular order.
    pub fn places(&self) -> impl Iterator<Item = usize> + '_ {
        self.groups.iter().flat_map(|g| g.places.iter().copied())
    }

    /// The order for a key, found as it is asked for.
    pub fn order(&self, key: u64) -> Order<'_> {
        Order { of: self, key, rest: Rest::Untouched }
    }

    /// The whole order for a key.
    pub fn sorted(&self, key: u64) -> Vec<usize> {
        let mut all: Vec<Scored> = self.scored(key).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().map(|s| s.place).collect()
    }

    fn scored(&self, key: u64) -> impl Iterator<Item = Scored> + '_ {
        self.groups.iter().flat_map(move |g| g.scored(key))
    }

    fn first(&self, key: u64) -> Option<Scored> {
        self.groups.iter().filter_map(|g| g.first(key)).max()
    }
}

impl Group {
    fn one(&self, key: u64, at: usize) -> Scored {
        let (hash, place) = (self.hashes[at], self.places[at]);
        Scored { score: rendezvous(key, hash, self.weight), hash, place }
    }

    fn scored(&self, key: u64) -> impl Iterator<Item = Scored> + '_ {
        (0..self.hashes.len()).map(move |at| self.one(key, at))
    }

    /// The first by whole numbers; by scores where two words are nearly the same.
    fn first(&self, key: u64) -> Option<Scored> {
        let (mut best, mut at, mut near) = (0, usize::MAX, false);
        for (i, hash) in self.hashes.iter().enumerate() {
            let word = mix(key, *hash) >> UNSEEN_BITS;
            if at == usize::MAX || word > best {
                near = at != usize::MAX && word - best <= NEAR;
                (best, at) = (word, i);
            } else if best - word <= NEAR {
                near = true;
            }
        }
        match at {
            usize::MAX => None,
            _ if near => self.scored(key).max(),
            _ => Some(self.one(key, at)),
        }
    }
}

enum Rest {
    Untouched,
    First(usize),
    Heap(BinaryHeap<Scored>),
}

/// An order that is found as it is asked for.
pub struct Order<'a> {
    of: &'a Candidates,
    key: u64,
    rest: Rest,
}

impl Iterator for Order<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        match &mut self.rest {
            Rest::Untouched => {
                let first = self.of.first(self.key)?.place;
                self.rest = Rest::First(first);
                Some(first)
            }
            Rest::First(first) => {
                let first = *first;
                let rest: Vec<Scored> = self.of.scored(self.key).filter(|s| s.place != first).collect();
                let mut heap = BinaryHeap::from(rest);
                let next = heap.pop().map(|s| s.place);
                self.rest = Rest::Heap(heap);
                next
            }
            Rest::Heap(heap) => heap.pop().map(|s| s.place),
        }
    }
}

#[cfg(test)]
mod tests;
