//! Who asks for what, and when: the same for every way to decide.

use super::Setup;
use crate::api::{Ask, Effect, GatherNo, Missing, PartNo, PartSpec, Policy, Site, Times};
use basaltgw_structures::hash::{mix, unit_interval};
use basaltgw_types::Ms;
use std::sync::Arc;

/// Full worth until then, and none after the deadline, in milliseconds.
pub const LATENCY_OBJECTIVE_MS: Ms = 250.0;
/// See [`LATENCY_OBJECTIVE_MS`].
pub const DEADLINE_MS: Ms = 1_000.0;
/// Share of the worth in between.
pub const LATE_VALUE: f64 = 0.2;
/// One in so many requests takes all parts or none, and one in so many others needs its first.
const ALL_OR_NOTHING_SHARE: f64 = 0.1;
/// See [`ALL_OR_NOTHING_SHARE`].
const REQUIRED_PART_SHARE: f64 = 0.2;
/// Parts that further sites have too.
const ALTERNATES_SHARE: f64 = 0.7;

/// A row of draws of its own for each user of a seed.
#[derive(Clone, Debug)]
pub struct Draws(u64, u64);

impl Draws {
    pub fn new(seed: u64, user: u64, nth: u64) -> Self {
        Self(mix(mix(seed, user), nth), 0)
    }

    /// 0 to 1, both excluded.
    pub fn next(&mut self) -> f64 {
        self.1 += 1;
        unit_interval(mix(self.0, self.1))
    }

    /// 0 to `n`, the latter excluded.
    pub fn below(&mut self, n: usize) -> usize {
        (self.next() * n as f64) as usize
    }

    /// Log-normal by its median and the deviation of its logarithm (Box and Muller 1958).
    pub fn log_normal(&mut self, median: f64, deviation: f64) -> f64 {
        let normal = (-2.0 * self.next().ln()).sqrt() * (std::f64::consts::TAU * self.next()).cos();
        median * (deviation * normal).exp()
    }
}

pub fn site(i: usize) -> Site {
    Site(Arc::from(format!("site-{i}")))
}

/// When each gather of a router is asked, in order.
pub fn arrivals(setup: &Setup, router: usize) -> Vec<Ms> {
    let mut draws = Draws::new(setup.seed, 1, router as u64);
    let mut at = 0.0;
    let next = || {
        at -= draws.next().ln() * 1_000.0 / setup.rate;
        Some(at)
    };
    std::iter::from_fn(next).take_while(|t| *t < setup.length).collect()
}

/// A gather: 3 to 8 parts, each at a site of its own or nearly so.
pub fn generate_request(setup: &Setup, router: usize, nth: usize) -> Ask {
    let mut draws = Draws::new(setup.seed, 2 + router as u64, nth as u64);
    let count = 3 + draws.below(6);
    let parts: Vec<PartSpec> = (0..count)
        .map(|i| {
            let first = draws.below(setup.sites);
            let others = if draws.next() < ALTERNATES_SHARE { 1 + draws.below(2) } else { 0 };
            let alternates = (1..=others).map(|k| site((first + k * 3) % setup.sites)).collect();
            let (part, object) = (PartNo(i as u32), (nth * 8 + i) as u64);
            let worth = 1.0 + 2.0 * draws.next();
            PartSpec { part, object, group: 0, site: site(first), alternates, worth, version: None }
        })
        .collect();
    let kind = draws.next();
    let missing = if kind < ALL_OR_NOTHING_SHARE { Missing::Refused } else { Missing::Owed };
    let needed = if (ALL_OR_NOTHING_SHARE..ALL_OR_NOTHING_SHARE + REQUIRED_PART_SHARE).contains(&kind) {
        vec![PartNo(0)]
    } else {
        vec![]
    };
    let policy = Policy {
        needed,
        least_count: 0.5,
        least_worth: 0.4,
        wait: DEADLINE_MS,
        missing,
        second_copies: true,
    };
    let times = Times { aim: LATENCY_OBJECTIVE_MS, deadline: DEADLINE_MS, late_worth: LATE_VALUE };
    let no = GatherNo(nth as u64);
    Ask { no, policy: policy.into(), effect: Effect::Safe, parts, times, purges: vec![] }
}
