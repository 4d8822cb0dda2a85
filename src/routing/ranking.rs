//! At which rank a copy is cached: by reuse distance, and by a split that a bounded search moves.
//!
//! The mechanism is that of D3N (docs/design.md). Inputs: the objects whose first parts are requested, the
//! objects that edge caches fill, and the mean latencies in milliseconds of fills from a source and from the
//! origin. One shadow list of `SHADOW_ENTRIES` keys records requests at the edge, the other one the misses.
//! An object whose reuse distance at the edge is below the split gets the top rank, every other one the low
//! rank. In each period the split moves to the position within one step at which the expected latency of
//! misses is lowest.

use super::shadow_list::ShadowList;
use super::statistics::is_filled;
use super::Router;
use crate::api::*;
use crate::averages::{MovingAverage, SAMPLE_WEIGHT};

/// St, the entries of each shadow list.
pub const SHADOW_ENTRIES: usize = 4096;
/// q, the furthest that the split moves in a period, as a share of St.
pub const SPLIT_STEP: f64 = 0.05;
/// Time between two adaptations of the split, in milliseconds.
pub const PERIOD_MS: Ms = 5000.0;

/// The position within `step` of `split` that minimizes MR1(s) * L1 + MR2(St - s) * L2; the nearest of
/// equals.
///
/// `mr1` and `mr2` are the miss curves of the edge's and the parents' shadow lists, both with St + 1 values;
/// `l1` and `l2` the mean latencies of a fill from a source and from the origin, in milliseconds.
pub fn best_split(split: usize, step: usize, mr1: &[f64], mr2: &[f64], l1: f64, l2: f64) -> usize {
    let entries = mr1.len() - 1;
    let cost = |s: usize| mr1[s] * l1 + mr2[entries - s] * l2;
    let reachable = split.saturating_sub(step)..=(split + step).min(entries);
    let by_cost_then_distance =
        |a: &usize, b: &usize| cost(*a).total_cmp(&cost(*b)).then(a.abs_diff(split).cmp(&b.abs_diff(split)));
    reachable.min_by(by_cost_then_distance).unwrap_or(split)
}

/// The shadow lists, and the split between the ranks.
pub(super) struct ReuseTracking {
    /// First parts requested at the edge.
    edge: ShadowList,
    /// First parts that edge caches lacked, as a shadow of the parents.
    parent: ShadowList,
    split: usize,
    /// L1, the mean latency of a fill from a source's copy.
    source_latency: MovingAverage,
    /// L2, the mean latency of a fill from the origin.
    origin_latency: MovingAverage,
}

impl ReuseTracking {
    /// Empty lists with the split in the middle.
    pub fn new() -> Self {
        Self {
            edge: ShadowList::new(SHADOW_ENTRIES),
            parent: ShadowList::new(SHADOW_ENTRIES),
            split: SHADOW_ENTRIES / 2,
            source_latency: MovingAverage::default(),
            origin_latency: MovingAverage::default(),
        }
    }

    /// Records a request for an object's first part and returns the object's rank.
    fn rank(&mut self, object: ObjectId) -> Rank {
        let within_split = self.edge.access(object.0).is_some_and(|distance| distance < self.split);
        if within_split {
            Rank::Top
        } else {
            Rank::Low
        }
    }

    /// Records a fill: a miss of the edge, and its latency if reported.
    pub fn record_fill(&mut self, request: &Request, rank: Rank, outcome: &Outcome) {
        if !is_filled(outcome) {
            return;
        }
        if request.part == Part(0) && rank != Rank::None {
            self.parent.access(request.object.0);
        }
        if outcome.source_wait > 0.0 {
            let from_origin = outcome.fill_report == FillReport::FilledByOrigin;
            let latency = if from_origin { &mut self.origin_latency } else { &mut self.source_latency };
            latency.add(outcome.source_wait, SAMPLE_WEIGHT);
        }
    }

    /// Moves the split and ages both lists. Without both latencies the split does not move.
    pub fn adapt(&mut self) {
        if let (Some(l1), Some(l2)) = (self.source_latency.get(), self.origin_latency.get()) {
            let step = (SPLIT_STEP * SHADOW_ENTRIES as f64) as usize;
            let (mr1, mr2) = (self.edge.miss_curve(), self.parent.miss_curve());
            self.split = best_split(self.split, step, &mr1, &mr2, l1, l2);
        }
        self.edge.halve();
        self.parent.halve();
    }
}

impl Router {
    /// s1: a reuse distance below it, in entries of the shadow list, gets the top rank.
    pub fn split(&self) -> usize {
        self.reuse.split
    }

    /// The rank of the copy that serves a request. Later parts of an object get the rank of its first part.
    pub(super) fn rank(&mut self, request: &Request, class: ClassId) -> Rank {
        if self.runs_at_origin(request, class) {
            return Rank::None;
        }
        if request.part != Part(0) {
            return self.statistics.rank(request.object).unwrap_or(Rank::Low);
        }
        let rank = self.reuse.rank(request.object);
        self.statistics.set_rank(request.object, rank);
        rank
    }
}
