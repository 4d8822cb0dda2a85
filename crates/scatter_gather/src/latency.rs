//! A site's latencies: a histogram in steps of a fixed ratio, in which old answers fade. Its size never changes.
//!
//! Sketches of the libraries (HDR histogram, t-digest) keep all that they were given; what is needed here is the last few dozen answers, and room for
//! answers that were given up on, which are known only to take longer.

use basaltgw_types::Ms;
use std::fmt;

/// Steps: 0.25 ms times 1.25 to the 72nd is some 40 minutes.
const STEPS: usize = 72;
/// The upper end of the first step, in milliseconds: less is a memory's answer.
const FIRST: Ms = 0.25;
/// Ratio of a step's ends: a quarter is about the spread of a quiet link.
const RATIO: f64 = 1.25;
/// Of the weight that there is, this is left at each answer: the last 50 make up two thirds.
const KEPT: f64 = 0.98;
/// This share of answers is taken to come later than nearly all that were seen: a few dozen tell nothing of one in a hundred.
const TAIL: f64 = 0.03;
/// From this quantile on, to so many times its latency, evenly in the logarithm.
const TAIL_FROM: (f64, f64) = (0.9, 8.0);
/// Weight of the first guess, in answers: a few real ones outweigh it.
const GUESS: f64 = 3.0;

/// A decayed histogram of latencies.
#[derive(Clone, PartialEq)]
pub(crate) struct Latency {
    /// Weight by step.
    steps: [f32; STEPS],
    /// Weight of each step and all below, since it is read far more often than changed.
    sums: [f32; STEPS],
    /// Where the tail begins, among the steps.
    high: f64,
}

/// The steps that have weight, by number.
impl fmt::Debug for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.steps.iter().enumerate().filter(|s| *s.1 > 0.0)).finish()
    }
}

/// Where a latency is among the steps, the first ending at 0.
fn place(t: Ms) -> f64 {
    (t / FIRST).ln() / RATIO.ln()
}

fn step(t: Ms) -> usize {
    (place(t).ceil().max(0.0) as usize).min(STEPS - 1)
}

fn upper(step: usize) -> Ms {
    FIRST * RATIO.powi(step as i32)
}

impl Latency {
    /// Before anything was measured: around `usual`, wide.
    pub fn guess(usual: Ms) -> Self {
        let mut new = Self { steps: [0.0; STEPS], sums: [0.0; STEPS], high: 0.0 };
        for (by, weight) in [(0.5, 1.0), (1.0, 2.0), (2.0, 2.0), (4.0, 1.0)] {
            new.put(usual * by, weight * GUESS / 6.0);
        }
        new
    }

    fn put(&mut self, t: Ms, weight: f64) {
        self.steps[step(t)] += weight as f32;
        self.sum();
    }

    fn sum(&mut self) {
        let mut sum = 0.0;
        for (s, below) in self.steps.iter().zip(&mut self.sums) {
            sum += s;
            *below = sum;
        }
        self.high = self.quantile_step(TAIL_FROM.0) as f64;
    }

    fn total(&self) -> f64 {
        f64::from(self.sums[STEPS - 1])
    }

    fn fade(&mut self) {
        self.steps.iter_mut().for_each(|s| *s *= KEPT as f32);
    }

    /// An answer came after `t`, and counts as `weight` of them.
    pub fn came(&mut self, t: Ms, weight: f64) {
        (0..weight.ceil() as usize).for_each(|_| self.fade());
        self.put(t, weight);
    }

    /// An answer would have come, but was given up on after `t`: it is spread over the latencies above, as they are; if there are none, it is put a
    /// step above.
    pub fn longer(&mut self, t: Ms, weight: f64) {
        self.fade();
        let from = step(t) + 1;
        let above = self.steps.iter().skip(from).map(|s| f64::from(*s)).sum::<f64>();
        if above <= weight * 0.5 {
            return self.put(upper(from), weight);
        }
        let by = 1.0 + weight / above;
        self.steps.iter_mut().skip(from).for_each(|s| *s = (f64::from(*s) * by) as f32);
        self.sum();
    }

    /// The probability that an answer takes at most `t`; 0 to 1.
    pub fn within(&self, t: Ms) -> f64 {
        if t <= 0.0 || self.total() <= 0.0 {
            return 0.0;
        }
        let place = place(t);
        let last = (place.ceil().max(0.0) as usize).min(STEPS - 1);
        let below = if last == 0 { 0.0 } else { f64::from(self.sums[last - 1]) };
        let into = (place - last as f64 + 1.0).clamp(0.0, 1.0);
        let seen = ((below + into * f64::from(self.steps[last])) / self.total()).clamp(0.0, 1.0);
        let tail = ((place - self.high) * RATIO.ln() / TAIL_FROM.1.ln()).clamp(0.0, 1.0);
        (1.0 - TAIL) * seen + TAIL * tail
    }

    fn quantile_step(&self, share: f64) -> usize {
        let want = (share * self.total()) as f32;
        self.sums.iter().position(|s| *s >= want).unwrap_or(STEPS - 1)
    }

    /// The latency that this share of answers keeps, in milliseconds.
    pub fn quantile(&self, share: f64) -> Ms {
        upper(self.quantile_step(share))
    }
}

#[cfg(test)]
mod tests;
