//! Decisions broken on purpose, so that the checks are seen to catch them. Without the feature `broken` none can be chosen.

/// What is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Words that came are taken for known and neither handed on nor shown to others.
    ForgetsToHandOn,
    /// Digests and what is announced leave out the streams whose number is odd.
    #[cfg(feature = "broken")]
    DigestSkips,
    /// A newcomer counts itself up to date before it has compared with anybody.
    NewcomerIsUpToDate,
    /// A word is told again when another router says it too.
    TellsTwice,
    /// It says that it knows whatever it is asked about.
    ClaimsToKnow,
    /// What it asked about is dropped, and not given when it turns out not to be known above.
    DropsAsked,
    /// The first half of a hash is that of another word whenever it is asked by; no fault, but chance at its worst.
    HalvesCollide,
}

/// What is broken of one router's overlay: nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    #[cfg(feature = "broken")]
    pub broken: Option<InjectedBug>,
}

impl Faults {
    #[cfg(feature = "broken")]
    pub fn has(self, broken: InjectedBug) -> bool {
        self.broken == Some(broken)
    }

    #[cfg(not(feature = "broken"))]
    pub fn has(self, _: InjectedBug) -> bool {
        false
    }
}
