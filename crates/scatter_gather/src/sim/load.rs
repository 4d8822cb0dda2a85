//! Generates the requests and their arrival times, which are the same for each strategy.

use super::Setup;
use crate::api::{
    GatherNo, GatherRequest, Idempotency, MissingParts, PartNo, PartSpec, Policy, Site, TimeBudget,
};
use basaltgw_structures::hash::{mix, unit_interval};
use basaltgw_types::Ms;
use std::sync::Arc;

/// Latency objective of all requests, in milliseconds.
pub const LATENCY_OBJECTIVE_MS: Ms = 250.0;
/// Deadline of all requests, in milliseconds.
pub const DEADLINE_MS: Ms = 1_000.0;
/// Share of its weight that an answer between latency objective and deadline has.
pub const LATE_WEIGHT_SHARE: f64 = 0.2;
/// Share of requests that accept complete answers only.
const ALL_OR_NOTHING_SHARE: f64 = 0.1;
/// Share of requests that require their first part.
const REQUIRED_PART_SHARE: f64 = 0.2;
/// Share of parts that alternate sites have too.
const ALTERNATES_SHARE: f64 = 0.7;

/// A random sequence of its own for each user of a seed.
#[derive(Clone, Debug)]
pub struct RandomSequence {
    seed: u64,
    count: u64,
}

impl RandomSequence {
    /// The sequence with index `nth` of a user of the seed.
    pub fn new(seed: u64, user: u64, nth: u64) -> Self {
        Self { seed: mix(mix(seed, user), nth), count: 0 }
    }

    /// A uniform draw from 0 to 1, both excluded.
    pub fn next(&mut self) -> f64 {
        self.count += 1;
        unit_interval(mix(self.seed, self.count))
    }

    /// A uniform draw from 0 to `n`, the latter excluded.
    pub fn below(&mut self, n: usize) -> usize {
        (self.next() * n as f64) as usize
    }

    /// A log-normal draw by its median and the deviation of its logarithm (Box and Muller 1958).
    pub fn log_normal(&mut self, median: f64, deviation: f64) -> f64 {
        let normal = (-2.0 * self.next().ln()).sqrt() * (std::f64::consts::TAU * self.next()).cos();
        median * (deviation * normal).exp()
    }
}

pub fn site(i: usize) -> Site {
    Site(Arc::from(format!("site-{i}")))
}

/// Arrival times of a router's requests in milliseconds, in order.
pub fn arrivals(setup: &Setup, router: usize) -> Vec<Ms> {
    let mut draws = RandomSequence::new(setup.seed, 1, router as u64);
    let mut at = 0.0;
    let next = || {
        at -= draws.next().ln() * 1_000.0 / setup.requests_per_second;
        Some(at)
    };
    std::iter::from_fn(next).take_while(|t| *t < setup.duration).collect()
}

/// A request for 3 to 8 parts, most of them at different sites.
pub fn generate_request(setup: &Setup, router: usize, nth: usize) -> GatherRequest {
    let mut draws = RandomSequence::new(setup.seed, 2 + router as u64, nth as u64);
    let count = 3 + draws.below(6);
    let parts: Vec<PartSpec> = (0..count)
        .map(|i| {
            let preferred = draws.below(setup.sites);
            let alternates = if draws.next() < ALTERNATES_SHARE { 1 + draws.below(2) } else { 0 };
            PartSpec {
                part: PartNo(i as u32),
                object: (nth * 8 + i) as u64,
                group: 0,
                preferred_site: site(preferred),
                alternate_sites: (1..=alternates).map(|k| site((preferred + k * 3) % setup.sites)).collect(),
                priority_weight: 1.0 + 2.0 * draws.next(),
                version: None,
            }
        })
        .collect();
    let policy = generate_policy(draws.next());
    let budget = TimeBudget {
        latency_objective: LATENCY_OBJECTIVE_MS,
        deadline: DEADLINE_MS,
        late_weight_share: LATE_WEIGHT_SHARE,
    };
    GatherRequest {
        gather: GatherNo(nth as u64),
        policy: policy.into(),
        idempotency: Idempotency::Idempotent,
        parts,
        budget,
        purges: vec![],
    }
}

/// The policy for a draw from 0 to 1.
fn generate_policy(draw: f64) -> Policy {
    let complete_only = draw < ALL_OR_NOTHING_SHARE;
    let requires_first = (ALL_OR_NOTHING_SHARE..ALL_OR_NOTHING_SHARE + REQUIRED_PART_SHARE).contains(&draw);
    Policy {
        required_parts: if requires_first { vec![PartNo(0)] } else { vec![] },
        min_part_share: 0.5,
        min_weight_share: 0.4,
        max_wait: DEADLINE_MS,
        missing_parts: if complete_only { MissingParts::NotAllowed } else { MissingParts::Continuation },
        hedging: true,
    }
}
