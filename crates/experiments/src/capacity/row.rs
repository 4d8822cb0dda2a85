//! A point of the table: what was found at one place on one axis.

/// How a figure was come by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Counted or timed where the real code ran.
    Measured,
    /// In simulated time: the real decisions, everything round them made up.
    Simulated,
    /// Worked out from others.
    Reckoned,
}

impl Kind {
    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Measured => "measured",
            Self::Simulated => "simulated",
            Self::Reckoned => "reckoned",
        }
    }
}

/// A point.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Along what.
    pub axis: &'static str,
    /// Where on it.
    pub x: f64,
    /// What was found.
    pub figure: &'static str,
    /// How much.
    pub value: f64,
    /// Of what.
    pub unit: &'static str,
    /// How it was come by.
    pub kind: Kind,
}

impl Row {
    /// A point.
    pub fn new(
        (axis, x): (&'static str, f64),
        (figure, value, unit): (&'static str, f64, &'static str),
        kind: Kind,
    ) -> Self {
        Self { axis, x, figure, value, unit, kind }
    }

    /// Its name among what must hold and in pages.
    pub fn name(&self) -> String {
        format!("{} {}={}", self.figure, self.axis, self.x)
    }
}
