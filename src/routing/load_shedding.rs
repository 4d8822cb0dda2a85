//! Final answers: what is given up is refused where trying again is harmless, else failed, at once.

use super::Router;
use crate::api::*;

/// A refused client is asked to stay away for this share of its class's aim.
const HOLD_OFF_OF_AIM: f64 = 0.25;

impl Router {
    /// Gives a request up, at once: a refusal where trying again is harmless, else a failure.
    pub(super) fn give_up(&mut self, at: usize, acts: &mut Vec<Action>) {
        let open = &self.open[at];
        let refuse = self.now < self.harmless_until(open);
        let id = open.req.id.clone();
        if !open.done {
            // So long that the client's next try may still be in time.
            let hold_off = (HOLD_OFF_OF_AIM * self.set.classes[open.class].latency_objective)
                .min(self.set.max_retry_after);
            let hold_off = if self.set.retry_after { hold_off } else { 0.0 };
            acts.push(if refuse { Action::Reject(id, hold_off) } else { Action::Fail(id) });
        }
        self.finish(at, acts);
    }

    /// The request has its answer: calls off what is still out and forgets it once all is over.
    pub(super) fn finish(&mut self, at: usize, acts: &mut Vec<Action>) {
        self.open[at].done = true;
        self.cancel_all(at, acts);
        self.forget(at);
    }

    pub(super) fn cancel_all(&mut self, at: usize, acts: &mut Vec<Action>) {
        let open = &self.open[at];
        for (n, _) in open.tries.iter().enumerate().filter(|(_, t)| self.set.cancel && !t.over) {
            acts.push(Action::CancelAttempt(open.req.id.clone(), AttemptNo(n)));
        }
    }

    pub(super) fn forget(&mut self, at: usize) {
        if self.open[at].done && self.open[at].out() == 0 {
            self.open.swap_remove_index(at);
        }
    }
}
