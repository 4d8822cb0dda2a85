//! Deliberate faults, with which the soak test is shown to detect such faults. Only a build with the feature `breaks` has them, and
//! activates the one that the environment variable `GW_BREAK` names; in every other build [`broken`] is a constant.

/// A rule of the router that can be broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// Purges are ignored.
    PurgeIgnored,
    /// Each answer to a client is sent twice.
    SecondAnswer,
    /// A request that may have been executed counts as not executed.
    RepeatAfterExecution,
    /// Cancellations are ignored.
    CancelIgnored,
    /// Clients' connections are closed with open requests.
    CloseOverRequest,
    /// Draining and removed servers are still sent attempts.
    DrainIgnored,
    /// The monotonic clock reads the wall clock.
    WallClock,
    /// The time that a request waits in sockets and queues is not subtracted from its deadline.
    StaleDeadline,
}

/// Whether `GW_BREAK` breaks this rule.
#[cfg(feature = "breaks")]
pub fn broken(which: Break) -> bool {
    static NAMED: std::sync::OnceLock<Option<Break>> = std::sync::OnceLock::new();
    let named = NAMED.get_or_init(|| {
        Some(match std::env::var("GW_BREAK").ok()?.as_str() {
            "purge_ignored" => Break::PurgeIgnored,
            "second_answer" => Break::SecondAnswer,
            "repeat_after_execution" => Break::RepeatAfterExecution,
            "cancel_ignored" => Break::CancelIgnored,
            "close_over_request" => Break::CloseOverRequest,
            "drain_ignored" => Break::DrainIgnored,
            "wall_clock" => Break::WallClock,
            "stale_deadline" => Break::StaleDeadline,
            _ => return None,
        })
    });
    *named == Some(which)
}

/// Always false: no rule can be broken in this build.
#[cfg(not(feature = "breaks"))]
pub const fn broken(_: Break) -> bool {
    false
}
