//! A key-only LRU list that measures reuse distances.
//!
//! The list decides nothing: `ranking` compares the distances with the split and searches the split by the
//! miss curves.

use std::collections::VecDeque;

/// The last `capacity` keys, most recent first, with a histogram of the positions at which keys are found.
#[derive(Clone, Debug)]
pub struct ShadowList {
    keys: VecDeque<u64>,
    capacity: usize,
    /// How often a key was found at each position; the last entry counts keys that were not found.
    histogram: Vec<f64>,
}

impl ShadowList {
    /// An empty list of at most `capacity` keys.
    pub fn new(capacity: usize) -> Self {
        Self { keys: VecDeque::with_capacity(capacity), capacity, histogram: vec![0.0; capacity + 1] }
    }

    /// Counts an access and moves the key to the front. Returns the reuse distance, `None` if the key was
    /// absent.
    pub fn access(&mut self, key: u64) -> Option<usize> {
        let found = self.keys.iter().position(|k| *k == key);
        match found {
            Some(position) => {
                self.keys.remove(position);
            }
            None if self.keys.len() == self.capacity => {
                self.keys.pop_back();
            }
            None => {}
        }
        self.keys.push_front(key);
        self.keys.truncate(self.capacity);
        self.histogram[found.unwrap_or(self.capacity)] += 1.0;
        found
    }

    /// Whether the list contains the key; not counted as an access.
    pub fn contains(&self, key: u64) -> bool {
        self.keys.contains(&key)
    }

    /// MR(i) for every i from 0 to the capacity: the accesses that a cache of i entries would have missed.
    pub fn miss_curve(&self) -> Vec<f64> {
        let mut sums = self.histogram.clone();
        for i in (0..self.capacity).rev() {
            sums[i] += sums[i + 1];
        }
        sums
    }

    /// Halves the histogram, so that older accesses count less.
    pub fn halve(&mut self) {
        self.histogram.iter_mut().for_each(|count| *count /= 2.0);
    }
}
