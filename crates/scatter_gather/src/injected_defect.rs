//! Injected defects, for tests that must detect them. They can be selected only with the feature `broken`.

/// A defect that can be injected into the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Partial responses count as complete parts, and partial answers as complete ones.
    PartialAsComplete,
    /// Purges are ignored.
    PurgesIgnored,
    /// Versions are not compared.
    VersionsIgnored,
    /// A request stays pending after its answer.
    AnsweredTwice,
}

/// The defect injected into one engine, if any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InjectedDefect {
    #[cfg(feature = "broken")]
    pub defect: Option<Defect>,
}

impl InjectedDefect {
    #[cfg(feature = "broken")]
    pub fn is(self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }

    #[cfg(not(feature = "broken"))]
    pub fn is(self, _: Defect) -> bool {
        false
    }
}
