//! The mechanism of docs/design.md: ranks by reuse distance, and the split that a bounded search moves.

use super::Router;
use crate::api::*;
use crate::known::Known;

/// St, entries of each shadow list.
pub const SHADOW_ENTRIES: usize = 4096;
/// q, the furthest the split moves in a period, as a share of St.
pub const SPLIT_STEP: f64 = 0.05;
/// Milliseconds between two adaptations of the split.
pub const PERIOD_MS: Ms = 5000.0;
/// Weight of a new sample in the averages of latencies and sending times.
pub const AVERAGE_SHARE: f64 = 0.05;
/// Answers that tell an object's sending time.
const KNOWN_ANSWERS: u32 = 2;

/// The bounded search: among the splits within `step` of `split`, the one that minimizes MR1(s)*L1 +
/// MR2(St-s)*L2; the nearest of equals.
pub fn best_split(split: usize, step: usize, mr1: &[f64], mr2: &[f64], l1: f64, l2: f64) -> usize {
    let entries = mr1.len() - 1;
    let cost = |s: usize| mr1[s] * l1 + mr2[entries - s] * l2;
    let near = split.saturating_sub(step)..=(split + step).min(entries);
    let better =
        |a: &usize, b: &usize| cost(*a).total_cmp(&cost(*b)).then(a.abs_diff(split).cmp(&b.abs_diff(split)));
    near.min_by(better).unwrap_or(split)
}

impl Router {
    /// Files a first part in the edge list and ranks it by reuse distance; later parts follow it.
    pub(super) fn rank(&mut self, req: &Request, class: usize) -> Rank {
        if self.set.classes[class].uncacheable || req.write {
            return Rank::None;
        }
        if req.part != Part(0) {
            return self.known.get(&req.object).map_or(Rank::Low, |k| k.rank);
        }
        let near = self.edge.file(req.object.0).is_some_and(|distance| distance < self.split);
        let rank = if near { Rank::Top } else { Rank::Low };
        let known = self.known.shift_remove(&req.object).unwrap_or_default();
        self.known.insert(req.object, Known { rank, ..known });
        if self.known.len() > SHADOW_ENTRIES {
            self.known.shift_remove_index(0);
        }
        rank
    }

    /// Each period: the best split within q by expected latency; then both lists age.
    pub(super) fn adapt(&mut self) {
        if let (Some(l1), Some(l2)) = (self.latency[0].get(), self.latency[1].get()) {
            let step = (SPLIT_STEP * SHADOW_ENTRIES as f64) as usize;
            let (mr1, mr2) = (self.edge.misses_from(), self.missed.misses_from());
            self.split = best_split(self.split, step, &mr1, &mr2, l1, l2);
        }
        self.edge.halve();
        self.missed.halve();
    }

    /// Takes in what an outcome tells of latencies, sending times and what a server carries.
    pub(super) fn learn(&mut self, at: usize, o: &Outcome) {
        let open = &self.open[at];
        let (class, req) = (open.class, &open.req);
        let filled = matches!(o.fill_report, FillReport::FilledBySource | FillReport::FilledByOrigin);
        // Only what was sent whole tells what sending takes.
        if o.result == AttemptResult::Served && o.body_complete {
            let beyond = (o.latency - self.own_time(req).unwrap_or(0.0)).max(0.0);
            let (mean, deviation) = &mut self.delay[class];
            deviation.add((beyond - mean.get().unwrap_or(0.0)).abs(), AVERAGE_SHARE);
            mean.add(beyond, AVERAGE_SHARE);
            if let Some(known) =
                self.known.get_mut(&req.object).filter(|_| filled || o.fill_report == FillReport::Hit)
            {
                let took = (o.latency - o.source_wait).max(1.0);
                known.learn(took);
                self.sending[class].add(known.least, AVERAGE_SHARE);
            }
        }
        if filled && req.part == Part(0) && open.rank != Rank::None {
            self.missed.file(req.object.0);
        }
        if filled && o.source_wait > 0.0 {
            let layer = usize::from(o.fill_report == FillReport::FilledByOrigin);
            self.latency[layer].add(o.source_wait, AVERAGE_SHARE);
        }
        let open = &self.open[at];
        // Each attempt weighs what its object takes, served or not, if it has reached a server.
        let reached = !matches!(o.result, AttemptResult::NotSent | AttemptResult::NoConnection);
        if let Some(known) = self.known.get(&open.req.object).filter(|known| reached && known.seen > 0) {
            self.work[open.class].add(known.work());
        }
    }

    /// The sending time of a request's part: by its size where told, else the least that a part of the
    /// object took.
    pub(super) fn own_time(&self, req: &Request) -> Option<Ms> {
        if req.size_kb > 0.0 && self.set.response_rate_kb_per_s > 0.0 {
            return Some(req.size_kb / self.set.response_rate_kb_per_s * 1000.0);
        }
        self.known.get(&req.object).filter(|k| k.seen >= KNOWN_ANSWERS).map(|k| k.least)
    }

    /// The longest of the classes' mean sending times.
    pub(super) fn longest(&self) -> Ms {
        self.sending.iter().filter_map(|a| a.get()).fold(0.0, f64::max)
    }

    /// The mean sending time of a class.
    pub(super) fn mean_time(&self, class: usize) -> Ms {
        self.sending[class].get().unwrap_or(self.set.classes[class].latency_objective)
    }
}
