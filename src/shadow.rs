//! A key-only LRU list that gives reuse distances and counts them.

/// A list of the last `size` keys, most recent first, with a histogram of the places at which keys are found.
#[derive(Clone, Debug)]
pub struct ShadowList {
    keys: std::collections::VecDeque<u64>,
    size: usize,
    /// `hc[k]`: how often a key was found at place k; the last entry counts keys not found.
    hc: Vec<f64>,
}

impl ShadowList {
    /// An empty list of that size.
    pub fn new(size: usize) -> Self {
        Self { keys: std::collections::VecDeque::with_capacity(size), size, hc: vec![0.0; size + 1] }
    }

    /// Files a key: returns its reuse distance (`None` if not held), counts it and moves the key to the front.
    pub fn file(&mut self, key: u64) -> Option<usize> {
        let found = self.keys.iter().position(|k| *k == key);
        match found {
            Some(place) => {
                self.keys.remove(place);
            }
            None if self.keys.len() == self.size => {
                self.keys.pop_back();
            }
            None => {}
        }
        self.keys.push_front(key);
        self.keys.truncate(self.size);
        self.hc[found.unwrap_or(self.size)] += 1.0;
        found
    }

    /// True if the key is held; nothing is counted.
    pub fn holds(&self, key: u64) -> bool {
        self.keys.contains(&key)
    }

    /// MR(i): the sum of the histogram from i on, for every i from 0 to the size.
    pub fn misses_from(&self) -> Vec<f64> {
        let mut sums = self.hc.clone();
        for i in (0..self.size).rev() {
            sums[i] += sums[i + 1];
        }
        sums
    }

    /// Halves the histogram.
    pub fn halve(&mut self) {
        self.hc.iter_mut().for_each(|c| *c /= 2.0);
    }
}
