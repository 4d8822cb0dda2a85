//! A row of the table: one figure at one position on one axis.

use crate::out::format_short;

/// How a figure was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Counted or timed where the real code ran.
    Measured,
    /// Taken from a run in simulated time: real decisions in a simulated environment.
    Simulated,
    /// Computed from other figures.
    Computed,
}

impl Kind {
    /// The name of the kind in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Measured => "measured",
            Self::Simulated => "simulated",
            Self::Computed => "reckoned",
        }
    }
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The axis.
    pub axis: &'static str,
    /// The position on the axis.
    pub x: f64,
    /// The name of the figure.
    pub figure: &'static str,
    /// The value of the figure.
    pub value: f64,
    /// The unit of the figure.
    pub unit: &'static str,
    /// How the figure was obtained.
    pub kind: Kind,
}

impl Row {
    /// Returns a row: axis and position, the figure with its value and unit, and its kind.
    pub fn new(
        (axis, x): (&'static str, f64),
        (figure, value, unit): (&'static str, f64, &'static str),
        kind: Kind,
    ) -> Self {
        Self { axis, x, figure, value, unit, kind }
    }

    /// Returns the name of the point, for bounds and pages.
    pub fn key(&self) -> String {
        format!("{} {}={}", self.figure, self.axis, self.x)
    }

    /// Prints the row as one line.
    pub fn print(&self) {
        println!(
            "  {:18} {:>10} {:26} {:>14} {:9} {}",
            self.axis,
            format_short(self.x),
            self.figure,
            format_short(self.value),
            self.unit,
            self.kind.name()
        );
    }
}
