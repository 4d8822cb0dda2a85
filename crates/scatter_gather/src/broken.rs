//! Injected defects, for tests that must detect them. They can be selected only with the feature `broken`.

/// A defect that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Partial responses count as complete parts, and partial answers as complete ones.
    PartAsWhole,
    /// Purges are ignored.
    AcrossPurge,
    /// Versions are not compared.
    TwoVersions,
    /// A request stays pending after its answer.
    TwoAnswers,
}

/// The defect injected into one engine, if any.
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
