//! The text of the table register in log lines.

use crate::register::{ProposedTable, Register, Stage};
use std::fmt;

impl fmt::Display for Register {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} (hash {}) is in effect", self.table.version().0, self.table.hash())?;
        let Some(ProposedTable { table, proposer, steps }) = &self.proposed else { return Ok(()) };
        write!(f, "; version {} (hash {}) by {proposer} is ", table.version().0, table.hash())?;
        match self.stage {
            Stage::Idle | Stage::Proposed => f.write_str("proposed"),
            Stage::Durable => f.write_str("durable at all members"),
            Stage::Joint { step, withdrawing } => {
                let action = if withdrawing { "withdrawn" } else { "adopted" };
                write!(f, "{action}, joint step {} of {steps}", step + 1)
            }
        }
    }
}
