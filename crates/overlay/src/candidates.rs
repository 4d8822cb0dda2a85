//! Routers that may be dialed, and the state of each.

use basaltgw_types::{Ms, RouterId};

/// State of a candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CandidateState {
    Idle,
    /// Dialed at this time.
    Dialed(Ms),
    /// Linked since this time.
    Up(Ms),
    /// Not dialed until this time.
    BackingOff(Ms),
}

/// Router that may be dialed.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub router: RouterId,
    pub state: CandidateState,
    pub consecutive_failures: u32,
}

impl Candidate {
    pub fn is_up_for(&self, span: Ms, now: Ms) -> bool {
        match self.state {
            CandidateState::Up(since) => now - since >= span,
            CandidateState::Idle | CandidateState::Dialed(_) | CandidateState::BackingOff(_) => false,
        }
    }

    fn is_backing_off(&self) -> bool {
        matches!(self.state, CandidateState::BackingOff(_))
    }
}

/// Candidates of which `need` are to be linked, the best first.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub need: usize,
    pub candidates: Vec<Candidate>,
}

impl Group {
    /// Indices of the best candidates that are not backing off: as many as needed, and `extra` more.
    pub fn wanted(&self, extra: usize) -> Vec<usize> {
        let usable = (0..self.candidates.len()).filter(|i| !self.candidates[*i].is_backing_off());
        usable.take(self.need + extra).collect()
    }
}
