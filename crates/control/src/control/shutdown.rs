//! Graceful shutdown.

use super::background::Operation;
use super::Control;
use basaltgw_registers::{Change, RequestNumber};
use basaltgw_types::Ms;

/// Requested shutdown.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    /// Latest end; `None` before the request.
    deadline: Option<Ms>,
}

impl Shutdown {
    pub fn is_requested(&self) -> bool {
        self.deadline.is_some()
    }

    pub fn is_past_deadline(&self, now: Ms) -> bool {
        self.deadline.is_some_and(|deadline| now >= deadline)
    }
}

impl Control {
    /// Begins the shutdown, and releases the leases acquired by the unanswered requests, given in ascending order.
    pub(super) fn on_shutdown(&mut self, now: Ms, unanswered: &[RequestNumber]) {
        self.shutdown.deadline = Some(now + self.parts.shutdown_timeout);
        for (key, term) in self.leases.acquired_by(unanswered) {
            let release = Change::Release(self.parts.me.clone(), term);
            self.start_background_change(now, key, Operation::Apply(release));
        }
    }
}
