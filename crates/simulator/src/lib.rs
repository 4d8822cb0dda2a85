//! Simulates everything that a router communicates with, as state machines without I/O and without a clock: edge caches, parent caches,
//! the origin, links, clients and notifications of endpoint lists, purges and plans, with faults from a script.
//!
//! - [`spec`]: the description of a fleet, its load and its script;
//! - [`store`]: the store of a cache;
//! - [`fleet`]: caches, the origin and links, from requests to responses;
//! - [`arrivals`]: the clients' requests;
//! - [`cold`]: the overload limit of nodes that have just started;
//! - [`checker`]: checks the five routing rules from requests and responses alone;
//! - [`sim`]: runs routers with their decision modules and all of the above in simulated time.
//!
//! Runs are deterministic: the same seed and description give bit-identical results.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod arrivals;
pub mod checker;
pub mod cold;
pub mod fleet;
pub mod sim;
pub mod spec;
pub mod store;

/// Random streams of a run; each has a generator of its own.
pub(crate) mod random_stream {
    /// Latencies and losses of the fleet, and delays of its notifications.
    pub const FLEET: u64 = 1;
    /// Purges, and delays of the routers' notifications.
    pub const SIM: u64 = 2;
    /// Arrivals at the first router; each further router has the next stream.
    pub const FIRST_ARRIVALS: u64 = 1_000;
}

/// Milliseconds, fractional, from the start of the run.
pub type Ms = f64;

/// The generator of a run's random numbers.
pub type Rng = rand_pcg::Pcg64Mcg;

/// A separate generator for each stream of a seed, so that additional draws in one stream do not change the others.
pub fn rng(seed: u64, stream: u64) -> Rng {
    use rand::SeedableRng;
    Rng::seed_from_u64(basaltgw::hash::mix(seed, stream))
}

/// A uniform random number in `[0, 1)`.
pub fn draw(rng: &mut Rng) -> f64 {
    use rand::RngExt;
    rng.random()
}

/// A time in whole microseconds, the resolution in which events are ordered.
pub(crate) fn micros(at: Ms) -> u64 {
    (at.max(0.0) * 1000.0).round() as u64
}
