//! Tracks changes of the configuration: when each was made, and when every router applied a placement table that contains it.

use crate::{ms, Micros, RouterIndex};

/// A change of the configuration.
#[derive(Clone, Debug)]
struct Change {
    made_at: Micros,
    /// Number of routers that apply the change.
    applied_by: usize,
    /// When the last of these routers applied it.
    last_applied_at: Micros,
}

/// Whether and when the configuration changes of a run reached all routers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigChangeFindings {
    /// Number of changes made.
    pub made: usize,
    /// Time until the last router applied each change, ms, ascending. Changes that some router never applied are left out.
    pub completion_ms: Vec<f64>,
}

impl ConfigChangeFindings {
    /// Number of changes that some router never applied.
    pub fn lost(&self) -> usize {
        self.made - self.completion_ms.len()
    }
}

/// Follows each change to all routers. A later change supersedes the earlier ones: a router that applies it has applied all of them.
#[derive(Clone, Debug)]
pub struct ConfigChanges {
    changes: Vec<Change>,
    /// For each router, how many changes it applies.
    applied: Vec<usize>,
}

impl ConfigChanges {
    /// Creates a tracker for this number of routers.
    pub fn new(routers: usize) -> Self {
        Self { changes: Vec::new(), applied: vec![0; routers] }
    }

    /// Records that the next change is made.
    pub fn made(&mut self, at: Micros) {
        self.changes.push(Change { made_at: at, applied_by: 0, last_applied_at: at });
    }

    /// Records that a router applies a table with this change, counted from 0.
    pub fn applied(&mut self, at: Micros, router: RouterIndex, change: usize) {
        let Some(applied) = self.applied.get_mut(router) else { return };
        let now = (change + 1).min(self.changes.len()).max(*applied);
        for change in &mut self.changes[*applied..now] {
            change.applied_by += 1;
            change.last_applied_at = at;
        }
        *applied = now;
    }

    /// Summarizes the changes at the end of a run.
    pub fn findings(&self) -> ConfigChangeFindings {
        let complete = self.changes.iter().filter(|c| c.applied_by == self.applied.len());
        let mut completion_ms: Vec<f64> = complete.map(|c| ms(c.last_applied_at - c.made_at)).collect();
        completion_ms.sort_by(f64::total_cmp);
        ConfigChangeFindings { made: self.changes.len(), completion_ms }
    }
}
