//! How a source takes over objects from another: in steps of a growing share, one node at a time.

use super::*;
use crate::plan::{NodeId, Plan};
use crate::{Ms, Settings};
use std::collections::VecDeque;
use std::sync::Arc;

/// A newcomer or leaver.
#[derive(Clone, Debug)]
pub(super) struct Moving {
    pub(super) node: NodeId,
    pub(super) step: usize,
    pub(super) since: Ms,
    pub(super) proofs: u32,
    pub(super) bad: u32,
    pub(super) last: Ms,
}

impl Moving {
    pub(super) fn new(node: NodeId, step: usize, now: Ms) -> Self {
        Self { node, step, since: now, proofs: 0, bad: 0, last: now }
    }

    pub(super) fn go(&mut self, step: usize, now: Ms) {
        (self.step, self.since, self.proofs, self.bad) = (step, now, 0, 0);
    }

    /// This step has shown enough: so many answers, or for some time nothing but answers, however few (with none at all, nothing
    /// here is touched by it).
    pub(super) fn shown(&self, now: Ms, set: &Settings) -> bool {
        self.proofs >= set.proofs || (self.bad == 0 && now - self.since >= set.idle)
    }
}

#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) next: Arc<Plan>,
    /// What follows it.
    pub(super) then: VecDeque<Arc<Plan>>,
    /// Plans passed since the offer, the first one first: the way back.
    pub(super) passed: Vec<Arc<Plan>>,
    pub(super) state: State,
    pub(super) come: Vec<Moving>,
    pub(super) go: Vec<Moving>,
    pub(super) back: bool,
}

/// Takes a newcomer's step up or down; true if its share changed.
pub(super) fn grow(m: &mut Moving, most: usize, now: Ms, set: &Settings) -> bool {
    if m.step == NONE || m.step == WHOLE {
        return false;
    }
    if m.bad >= set.setbacks {
        let back = m.step > FIRST;
        m.go(m.step.saturating_sub(1).max(FIRST), now + set.rest);
        return back;
    }
    if now < m.since || m.step + 1 > most || !m.shown(now, set) {
        return false;
    }
    m.go(m.step + 1, now);
    true
}

/// Takes a leaver's step down; true if its share changed.
pub(super) fn shrink(m: &mut Moving, down: bool, now: Ms, set: &Settings) -> bool {
    if m.step == NONE {
        return false;
    }
    if down {
        m.go(NONE, now);
        return true;
    }
    if m.bad >= set.setbacks {
        // The others are not ready for more; what was given up stays so.
        m.go(m.step, now + set.rest);
        return false;
    }
    if now < m.since || !m.shown(now, set) {
        return false;
    }
    m.go(m.step - 1, now);
    true
}
