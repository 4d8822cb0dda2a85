//! Decides when a process that was asked to end may exit, from the time in milliseconds and whether a client's connection is open.

use crate::limits::{SHUTDOWN_ACCEPT_MS, SHUTDOWN_IDLE_CLOSE_MS, SHUTDOWN_QUIET_MS};
use crate::permissions::{may_exit, ExitState};
use basaltgw::api::Ms;

/// The progress of a graceful shutdown: clients are accepted for [`SHUTDOWN_ACCEPT_MS`], and after that the process ends as soon as no
/// connection was open for [`SHUTDOWN_QUIET_MS`].
#[derive(Clone, Copy, Debug, Default)]
pub struct GracefulShutdown {
    begun_at: Option<Ms>,
    quiet_since: Option<Ms>,
}

impl GracefulShutdown {
    /// Begins the shutdown.
    pub fn begin(&mut self, now: Ms) {
        self.begun_at.get_or_insert(now);
    }

    /// Whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Whether new clients are accepted.
    pub fn accepts(&self, now: Ms) -> bool {
        self.begun_at.is_none_or(|t| now < t + SHUTDOWN_ACCEPT_MS)
    }

    /// Whether clients without an open request have had enough time to leave a gap between their messages, in which their connections
    /// could be closed.
    pub fn is_overdue(&self, now: Ms) -> bool {
        self.begun_at.is_some_and(|t| now >= t + SHUTDOWN_ACCEPT_MS + SHUTDOWN_IDLE_CLOSE_MS)
    }

    /// Whether the process may exit; `open` while a client's connection is open or may still be accepted from the backlog.
    pub fn may_exit(&mut self, now: Ms, open: bool) -> bool {
        let accepts = self.accepts(now);
        if accepts || open {
            self.quiet_since = None;
        }
        let since = if accepts || open { now } else { *self.quiet_since.get_or_insert(now) };
        let quiet = now >= since + SHUTDOWN_QUIET_MS;
        may_exit(&ExitState { accepts, connections_open: open, quiet }).is_ok()
    }
}
