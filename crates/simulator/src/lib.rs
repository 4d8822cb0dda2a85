//! All that a router talks to, as state machines without I/O and without a clock: edge caches, parents, the archive, links, clients and
//! the news of lists, purges and plans; with troubles that a script switches on.
//!
//! - [`spec`]: how large a fleet is, what is asked of it, and what happens to it;
//! - [`store`]: what a cache holds;
//! - [`fleet`]: caches and links: asks in, answers out;
//! - [`arrivals`]: who asks for what, and when;
//! - [`cold`]: the rule on nodes that have just started, as a count;
//! - [`checker`]: the five rules, by what was sent and answered alone;
//! - [`sim`]: routers round the decision module, and everything above, in simulated time.
//!
//! The same seed and description give the same run to the last bit.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod arrivals;
pub mod checker;
pub mod cold;
pub mod fleet;
pub mod sim;
pub mod spec;
pub mod store;

/// Milliseconds, fractional, from the start of the run.
pub type Ms = f64;

/// The generator of a run's random numbers.
pub type Rng = rand_pcg::Pcg64Mcg;

/// A generator of its own for each user of a seed, so that one who draws more does not move the others.
pub fn rng(seed: u64, user: u64) -> Rng {
    use rand::SeedableRng;
    Rng::seed_from_u64(basaltgw::hash::mix(seed, user))
}

/// A number of 0 to 1, the latter excluded.
pub fn draw(rng: &mut Rng) -> f64 {
    use rand::RngExt;
    rng.random()
}

/// Whole microseconds, by which events are ordered.
pub(crate) fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1000.0).round() as u64
}
