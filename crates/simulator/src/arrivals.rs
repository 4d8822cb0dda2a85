//! Who asks for what, and when: open loop, so that arrivals do not wait for answers.

use crate::spec::{ClassSpec, EffectSpec, LoadSpec};
use crate::{rng, Ms, Rng};
use basaltgw::hash::{mix, unit_interval};
use rand::RngExt;

/// A request that comes in.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: Ms,
    /// Its place among the load's classes.
    pub class: usize,
    /// What it asks for.
    pub object: u64,
    /// Which part.
    pub part: u64,
    /// The object's group.
    pub group: u64,
    /// The part's size.
    pub kb: f64,
}

/// The requests that come to one router, in order of time.
pub struct Arrivals {
    load: LoadSpec,
    ranks: Vec<Vec<f64>>,
    shares: Vec<f64>,
    rng: Rng,
    at: Ms,
}

/// Objects of a class whose popularity is kept; the rest share what is left.
const RANKED: u64 = 100_000;

impl Arrivals {
    /// The requests to a router, by its number.
    pub fn new(load: &LoadSpec, seed: u64, router: u64) -> Self {
        let total: f64 = load.classes.iter().map(|c| c.share).sum();
        let mut sum = 0.0;
        let shares = load.classes.iter().map(|c| {
            sum += c.share / total;
            sum
        });
        let shares = shares.collect();
        let ranks = load.classes.iter().map(popularity).collect();
        Self { load: load.clone(), ranks, shares, rng: rng(seed, 1_000 + router), at: 0.0 }
    }

    fn pick(sums: &[f64], at: f64) -> usize {
        sums.partition_point(|s| *s < at).min(sums.len().saturating_sub(1))
    }
}

/// Sums of the shares of a class's objects, most asked first.
fn popularity(class: &ClassSpec) -> Vec<f64> {
    let each = |rank: u64| 1.0 / ((rank + 1) as f64).powf(class.zipf);
    let count = class.objects.clamp(1, RANKED);
    let total: f64 = (0..count).map(each).sum();
    let mut sum = 0.0;
    (0..count)
        .map(|rank| {
            sum += each(rank) / total;
            sum
        })
        .collect()
}

/// The object of a class and rank: ids carry no meaning.
pub fn object(class: usize, rank: u64) -> u64 {
    mix(class as u64 + 1, rank) >> 12
}

/// The size of an object's parts.
pub fn size(class: &ClassSpec, object: u64) -> f64 {
    let [least, most] = class.kb;
    least * (most / least).powf(unit_interval(mix(object, 77)))
}

/// The group of an object, of so many.
pub fn group_of(object: u64, groups: u64) -> u64 {
    mix(object, 91) % groups.max(1)
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap: f64 = self.rng.random();
        self.at += -(1.0 - gap).ln() * 1000.0 / self.load.per_router;
        let class = Self::pick(&self.shares, self.rng.random());
        let rank = Self::pick(&self.ranks[class], self.rng.random()) as u64;
        let of = &self.load.classes[class];
        // What has an effect is new each time.
        let rank = if of.effect == EffectSpec::Unsafe { self.rng.random::<u64>() >> 1 } else { rank };
        let object = object(class, rank);
        let part = self.rng.random_range(0..of.parts.max(1));
        let kb = size(of, object);
        Some(Arrival { at: self.at, class, object, part, group: group_of(object, self.load.groups), kb })
    }
}

#[cfg(test)]
mod tests;
