//! Decisions broken on purpose, so that the checks are seen to catch them. Without the feature `broken` none can be chosen.

/// What is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// A lower tier's part counts as whole, and an answer in part is given as the whole.
    PartAsWhole,
    /// Purges are not heeded.
    AcrossPurge,
    /// Versions are not compared.
    TwoVersions,
    /// A gather stays open after its answer.
    TwoAnswers,
}

/// What is broken of one router's gathers: nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InjectedDefect {
    #[cfg(feature = "broken")]
    pub broken: Option<Broken>,
}

impl InjectedDefect {
    #[cfg(feature = "broken")]
    pub fn is(self, broken: Broken) -> bool {
        self.broken == Some(broken)
    }

    #[cfg(not(feature = "broken"))]
    pub fn is(self, _: Broken) -> bool {
        false
    }
}
