//! What a router knows of an object: its rank, and what sending a part of it takes.

use crate::api::{Ms, Rank};

/// What is known of an object.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// The rank of its first part, for the later ones.
    pub rank: Rank,
    /// The least time in which a part was sent, and of how many.
    pub least: Ms,
    pub seen: u32,
    /// The least but one.
    pub second: Ms,
}

impl Known {
    /// A part was sent in that time.
    pub fn learn(&mut self, took: Ms) {
        (self.least, self.second) = match self.seen {
            0 => (took, f64::INFINITY),
            _ if took < self.least => (took, self.least),
            _ => (self.least, self.second.min(took)),
        };
        self.seen += 1;
    }

    /// What sending a part takes, by the least but one of its answers, so that a single one that is wrong does not make it too little.
    pub fn work(&self) -> Ms {
        if self.seen > 1 {
            self.second
        } else {
            self.least
        }
    }
}

impl Default for Known {
    fn default() -> Self {
        Self { rank: Rank::Low, least: 0.0, seen: 0, second: f64::INFINITY }
    }
}
