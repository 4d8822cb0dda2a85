//! Bugs injected on purpose, which the checkers of the tests must detect.

/// A bug injected into a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// No bug.
    None,
    /// A proposer reports a change as committed once a single replica has accepted it.
    CommitWithoutQuorum,
    /// An acceptor accepts ballots below the one that it promised.
    ForgetPromise,
}
