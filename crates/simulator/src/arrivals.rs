//! Generates client requests as an open loop: arrivals do not wait for answers.

use crate::spec::{ClassSpec, EffectSpec, LoadSpec};
use crate::{random_stream, rng, Ms, Rng};
use basaltgw::hash::{mix, unit_interval};
use rand::RngExt;

/// The arrival of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The time of arrival.
    pub at: Ms,
    /// The index of the request's class in the load.
    pub class: usize,
    /// The requested object.
    pub object: u64,
    /// The requested part of the object.
    pub part: u64,
    /// The object's group.
    pub group: u64,
    /// The size of the part.
    pub size_kb: f64,
}

/// The requests that arrive at one router, in order of time.
pub struct Arrivals {
    load: LoadSpec,
    /// By class: cumulative shares of the class's objects, the most popular first.
    cumulative_popularity: Vec<Vec<f64>>,
    /// Cumulative shares of the classes.
    cumulative_class_shares: Vec<f64>,
    rng: Rng,
    last_arrival: Ms,
}

/// The maximum number of objects of a class, whose popularity table is computed for each router.
const MAX_OBJECTS_PER_CLASS: u64 = 100_000;

impl Arrivals {
    /// Creates the arrivals of the router with this index.
    pub fn new(load: &LoadSpec, seed: u64, router: u64) -> Self {
        let total: f64 = load.classes.iter().map(|c| c.share).sum();
        let mut sum = 0.0;
        let cumulative_class_shares = load.classes.iter().map(|c| {
            sum += c.share / total;
            sum
        });
        let cumulative_class_shares = cumulative_class_shares.collect();
        let cumulative_popularity = load.classes.iter().map(cumulative_popularity).collect();
        let rng = rng(seed, random_stream::FIRST_ARRIVALS + router);
        Self { load: load.clone(), cumulative_popularity, cumulative_class_shares, rng, last_arrival: 0.0 }
    }

    /// The index of the cumulative share into which a draw from 0 to 1 falls.
    fn pick(cumulative: &[f64], draw: f64) -> usize {
        cumulative.partition_point(|s| *s < draw).min(cumulative.len().saturating_sub(1))
    }
}

/// Cumulative shares of a class's objects by the Zipf distribution, the most popular first.
fn cumulative_popularity(class: &ClassSpec) -> Vec<f64> {
    let weight = |rank: u64| 1.0 / ((rank + 1) as f64).powf(class.zipf);
    let count = class.objects.clamp(1, MAX_OBJECTS_PER_CLASS);
    let total: f64 = (0..count).map(weight).sum();
    let mut sum = 0.0;
    (0..count)
        .map(|rank| {
            sum += weight(rank) / total;
            sum
        })
        .collect()
}

/// Salts of the hashes of an object's id, so that its size does not depend on its group.
const SIZE_SALT: u64 = 77;
const GROUP_SALT: u64 = 91;
/// The low bits of the hash that are not part of an object's id, so that ids have 52 bits.
const DROPPED_ID_BITS: u32 = 12;

/// The id of a class's object by rank of popularity. Ids are hashed, so that they show neither class nor rank.
pub fn object_id(class: usize, rank: u64) -> u64 {
    mix(class as u64 + 1, rank) >> DROPPED_ID_BITS
}

/// The size of each part of an object in KB, log-uniform between the class's bounds.
pub fn part_size_kb(class: &ClassSpec, object: u64) -> f64 {
    let [min, max] = class.kb;
    min * (max / min).powf(unit_interval(mix(object, SIZE_SALT)))
}

/// The group of an object, out of `groups` groups.
pub fn group_of(object: u64, groups: u64) -> u64 {
    mix(object, GROUP_SALT) % groups.max(1)
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap: f64 = self.rng.random();
        self.last_arrival += -(1.0 - gap).ln() * 1000.0 / self.load.per_router;
        let class = Self::pick(&self.cumulative_class_shares, self.rng.random());
        let rank = Self::pick(&self.cumulative_popularity[class], self.rng.random()) as u64;
        let spec = &self.load.classes[class];
        // Every non-idempotent request has an object of its own.
        let rank = if spec.effect == EffectSpec::Unsafe { self.rng.random::<u64>() >> 1 } else { rank };
        let object = object_id(class, rank);
        let part = self.rng.random_range(0..spec.parts.max(1));
        let size_kb = part_size_kb(spec, object);
        let group = group_of(object, self.load.groups);
        Some(Arrival { at: self.last_arrival, class, object, part, group, size_kb })
    }
}

#[cfg(test)]
mod tests;
