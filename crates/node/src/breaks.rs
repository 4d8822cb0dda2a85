//! Deliberate faults that show that the soak test detects them. Only a build with the feature `breaks` has them, and it activates only the one
//! that the variable `GW_BREAK` names; in every other build [`broken`] is a constant.

/// A rule that can be broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// Purges are ignored.
    PurgeIgnored,
    /// Each answer is sent twice.
    SecondAnswer,
    /// A request that may have been executed counts as not executed.
    RepeatAfterExecution,
    /// Cancellations are ignored.
    CancelIgnored,
    /// Connections are closed over open requests.
    CloseOverRequest,
    /// Draining servers are sent attempts.
    DrainIgnored,
    /// The monotonic clock reads the wall clock.
    WallClock,
    /// Deadlines are passed on as they were when the request was read.
    StaleDeadline,
}

/// Whether this rule is broken.
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

/// No rule is broken in this build.
#[cfg(not(feature = "breaks"))]
pub const fn broken(_: Break) -> bool {
    false
}
