//! Changes of the configuration: when each was made, and when every router went by a table with it or with a later one.

use crate::{ms, Micros, No};

/// One change.
#[derive(Clone, Debug)]
struct Made {
    at: Micros,
    /// Routers that go by it, and since when the last of them does.
    by: usize,
    last: Micros,
}

/// What came of a run's changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changed {
    /// Changes made.
    pub made: usize,
    /// Milliseconds until the last router went by each, in rising order; those that some router never went by are not among them.
    pub everywhere: Vec<f64>,
}

impl Changed {
    /// Changes that some router never went by.
    pub fn lost(&self) -> usize {
        self.made - self.everywhere.len()
    }
}

/// See the module. A later change takes an earlier one's place: whoever goes by it goes by both.
#[derive(Clone, Debug)]
pub struct Changes {
    made: Vec<Made>,
    /// How many changes each router goes by.
    goes_by: Vec<usize>,
}

impl Changes {
    /// Of so many routers.
    pub fn new(routers: usize) -> Self {
        Self { made: Vec::new(), goes_by: vec![0; routers] }
    }

    /// The next change is made.
    pub fn made(&mut self, at: Micros) {
        self.made.push(Made { at, by: 0, last: at });
    }

    /// A router goes by a table with that change, counted from 0.
    pub fn goes_by(&mut self, at: Micros, no: No, change: usize) {
        let Some(before) = self.goes_by.get_mut(no) else { return };
        let now = (change + 1).min(self.made.len()).max(*before);
        for made in &mut self.made[*before..now] {
            (made.by, made.last) = (made.by + 1, at);
        }
        *before = now;
    }

    /// What is to be said at the end.
    pub fn changed(&self) -> Changed {
        let whole = self.made.iter().filter(|m| m.by == self.goes_by.len());
        let mut everywhere: Vec<f64> = whole.map(|m| ms(m.last - m.at)).collect();
        everywhere.sort_by(f64::total_cmp);
        Changed { made: self.made.len(), everywhere }
    }
}
