//! Deliberate breaks, for showing that the soak test catches them. Only a build with the feature `breaks` has any, and it breaks only what the
//! variable `GW_BREAK` names; in every other build this is a constant.

/// A rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// Purges are not heeded.
    PurgeIgnored,
    /// Each answer is given twice.
    SecondAnswer,
    /// What may have run is said to have never run.
    RepeatAfterExecution,
    /// What clients take back goes on.
    CancelIgnored,
    /// Connections are closed over open requests.
    CloseOverRequest,
    /// Drains are not heeded.
    DrainIgnored,
    /// All time is taken from the wall clock.
    WallClock,
    /// Deadlines are passed on as they were when a request was read.
    StaleDeadline,
}

/// Whether this is broken here.
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

/// Nothing is broken in this build.
#[cfg(not(feature = "breaks"))]
pub const fn broken(_: Break) -> bool {
    false
}
