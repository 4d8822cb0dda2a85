//! Bugs that checks inject to see that they detect them. Without the feature `broken` none can be injected.

/// Injected bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Received updates are recorded as known, but neither forwarded nor served.
    DropsForwarding,
    /// Digests and announcements omit streams with an odd number.
    #[cfg(feature = "broken")]
    DigestOmitsStreams,
    /// A router reports itself as caught up before it has compared with a neighbor.
    ReportsCaughtUpAtStart,
    /// An update is delivered again when another router publishes it too.
    DeliversDuplicates,
    /// Every queried update is reported as known.
    ClaimsToKnowAll,
    /// A queried update is dropped instead of sent to a parent that does not know it.
    DropsQueriedUpdates,
    /// Every short hash is reported as known, as if it were that of another update. The worst case of a collision, which is no bug.
    ShortHashesCollide,
}

/// The bug injected into one overlay, if any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InjectedBugs {
    #[cfg(feature = "broken")]
    pub injected: Option<InjectedBug>,
}

impl InjectedBugs {
    #[cfg(feature = "broken")]
    pub fn has(self, bug: InjectedBug) -> bool {
        self.injected == Some(bug)
    }

    #[cfg(not(feature = "broken"))]
    pub fn has(self, _: InjectedBug) -> bool {
        false
    }
}
