//! Gates: how much more a cache, a source or the link takes.

use super::{Router, AVERAGE_SHARE};
use crate::api::*;
use crate::state::{Gate, Try};
use crate::window::sorted;

/// Mean slowness (delay over the least that the object took) above which a cache, or the link, is full; the
/// link also at the least stretch of a class's aim, since what takes longer is late.
const SLOW_CACHE: f64 = 3.0;
const SLOW_LINK: f64 = 2.0;
/// Weight of a sample in a cache's or the link's slowness.
const SLOW_SHARE: f64 = 0.1;
/// A class's usual hit takes no more than this share of its aim, unhurried.
const HIT_OF_AIM: f64 = 0.5;
/// A full gate's limit is cut to this share of what is out, once in the rest time, down to the least.
const GATE_CUT: f64 = 0.9;
/// To this share where what was asked of it ran out of time: its work went for nothing.
const GATE_WASTE: f64 = 0.5;
const GATE_REST_MS: Ms = 150.0;
const GATE_LEAST: f64 = 4.0;
/// With fewer out than this, slowness is not of the routers' making. One with fewer out itself reckons with
/// as many at each of its peers: it goes by its mean number out over a time, and cuts after so many
/// answers, down to a least mean.
const GATE_FLOOR: f64 = 6.0;
pub(crate) const GATE_LEVEL_MS: Ms = 1000.0;
const GATE_ANSWERS: u32 = 3;
/// Mean slowness moves within this time however few the answers; where they alone would take longer, it calls
/// full what is slow by this power of the limit.
const GATE_FEW_MS: Ms = 1500.0;
const GATE_FEW: f64 = 0.75;
const GATE_LEAST_LEVEL: f64 = 0.1;
/// There it grows by no more than this share with an answer.
const GATE_GROWTH: f64 = 0.1;
/// It grows by one in each round of answers while this share of it is in use.
const GATE_USED: f64 = 0.7;
/// A class with under this share of the longest sending time may go beyond a gate's limit by this.
const SMALL_SHARE: f64 = 0.5;
const SMALL_EASE: f64 = 1.5;

impl Gate {
    /// Where few are out, what counts is how many were out on average lately.
    pub(super) fn lets(&self, now: Ms, out: f64, ease: f64) -> bool {
        let level = self.level.rate(now);
        out + 1.0 <= self.limit * ease || (self.limit < GATE_LEAST && level <= self.limit * ease)
    }

    /// Takes in how slow an answer was, as a logarithm, while so much was out.
    pub(super) fn answer(&mut self, now: Ms, slow: f64, limit: f64, out: f64) {
        // Where answers are few, one moves the mean by as much as the time since the last takes off.
        self.slow.add(slow, SLOW_SHARE.max(1.0 - ((self.heard - now) / GATE_FEW_MS).exp()));
        self.heard = now;
        self.pace.add(now, SLOW_SHARE);
        let few = out < GATE_FLOOR && self.pace.rate(now) * GATE_FEW_MS < 1.0;
        let limit = if few { GATE_FEW * limit.ln() } else { limit.ln() };
        if self.slow.get().is_some_and(|s| s > limit) {
            self.full(now, out, GATE_CUT);
        } else {
            self.grow(now, out);
        }
    }

    pub(super) fn grow(&mut self, now: Ms, out: f64) {
        self.answers += 1;
        if out.max(self.level.rate(now)) >= GATE_USED * self.limit {
            self.limit += (1.0 / self.limit).min(self.limit * GATE_GROWTH);
        }
    }

    pub(super) fn full(&mut self, now: Ms, out: f64, left: f64) {
        self.answers += 1;
        let (level, dense) = (self.level.rate(now), out >= GATE_FLOOR);
        let used = self.limit.is_infinite() || out.max(level) >= GATE_USED * self.limit;
        let sure = dense || (self.answers >= GATE_ANSWERS && level * self.routers >= GATE_FLOOR);
        if used && sure && now - self.cut >= GATE_REST_MS {
            let (least, used) = if dense { (GATE_LEAST, out) } else { (GATE_LEAST_LEVEL, level) };
            self.limit = (self.limit.min(used) * left).max(least);
            (self.cut, self.answers) = (now, 0);
        }
    }
}

impl Router {
    /// By how much a class may go beyond a gate's limit: one that takes little earns more for the same
    /// room.
    pub(super) fn ease(&self, class: usize) -> f64 {
        if self.mean_time(class) < SMALL_SHARE * self.longest() {
            SMALL_EASE
        } else {
            1.0
        }
    }

    /// Fills expected to be out over the link, or from a source; from the origin also those that parents
    /// lack.
    pub(super) fn fills_out(&self, source: Option<usize>) -> f64 {
        let origin = source.is_some_and(|i| self.servers[i].entry.role == Role::Origin);
        let beyond = if origin { self.beyond.get().unwrap_or(1.0) } else { 0.0 };
        let share = |t: &Try| match source {
            None => t.fill,
            Some(_) if t.source == source || source == Some(t.server) => t.fill,
            Some(_) if t.held_only || t.source.is_none() => 0.0,
            Some(_) => t.fill * beyond,
        };
        self.open.values().flat_map(|o| &o.tries).filter(|t| !t.over).map(share).sum()
    }

    /// Tells the cache's gate and the link's how an attempt went.
    pub(super) fn gates(&mut self, at: usize, server: usize, source: Option<usize>, out: f64, o: &Outcome) {
        let share = match o.fill_report {
            FillReport::Hit | FillReport::Stale | FillReport::Joined | FillReport::LoopDetected => 0.0,
            FillReport::NotReported => self.open[at].tries[o.attempt.0].fill,
            _ => 1.0,
        };
        self.servers[server].gate.level.add(self.now, o.latency);
        self.link.level.add(self.now, o.latency * share);
        if let Some(i) = source {
            self.servers[i].gate.level.add(self.now, o.latency * share);
            // What a parent's origin did is the origin's, so that what the parent holds still comes.
            // So is what ran out of time at a parent that has answered since.
            let held_up =
                o.fill_report == FillReport::SourceFailed && self.servers[i].answered > self.now - o.latency;
            let behind =
                held_up || matches!(o.fill_report, FillReport::FilledByOrigin | FillReport::OriginFailed);
            let at_fault = self.origin().filter(|_| behind).unwrap_or(i);
            let untold =
                if o.fill_report == FillReport::NotReported { self.beyond.get().unwrap_or(1.0) } else { 0.0 };
            if let Some(origin) = self.origin().filter(|p| *p != i) {
                let asked = if behind { 1.0 } else { untold };
                self.servers[origin].gate.level.add(self.now, o.latency * share * asked);
            }
            let fills = self.fills_out(Some(at_fault)) + 1.0;
            let gate = &mut self.servers[at_fault].gate;
            match o.fill_report {
                FillReport::FilledBySource | FillReport::FilledByOrigin => gate.grow(self.now, fills),
                FillReport::OriginFailed if o.result != AttemptResult::Rejected => {
                    gate.full(self.now, fills, GATE_WASTE)
                }
                FillReport::SourceFailed if held_up => gate.full(self.now, fills, GATE_WASTE),
                FillReport::SourceRejected | FillReport::OriginFailed => gate.full(self.now, fills, GATE_CUT),
                _ => {}
            }
            if behind || o.fill_report == FillReport::FilledBySource {
                self.beyond.add(f64::from(u8::from(behind)), AVERAGE_SHARE);
            }
        }
        let edge = self.servers[server].entry.role == Role::Edge;
        // An answer without bytes tells nothing of how quickly they would have come.
        let timed = o.result != AttemptResult::Served || o.body_complete;
        let took = self.slowness(&self.open[at], o.latency - o.source_wait);
        let (behind, here) = (source.map_or(0.0, |i| self.excess(i)), self.excess(server));
        match (o.result, o.fill_report, source) {
            (AttemptResult::Served, FillReport::Hit, _) if edge && timed => self.resize(server, took, true),
            (AttemptResult::Served, FillReport::FilledBySource | FillReport::FilledByOrigin, Some(i))
                if edge && timed =>
            {
                self.resize(server, took - behind, true);
                self.resize(i, took - here, true);
            }
            (_, FillReport::SourceRejected | FillReport::SourceFailed, Some(i)) => {
                self.resize(i, f64::INFINITY, false)
            }
            (AttemptResult::TimedOut, ..) => self.find_lag(server, source, took),
            _ => {}
        }
        if !edge && self.open[at].rank == Rank::None {
            return;
        }
        let (class, sure) = (self.open[at].class, self.open[at].tries[o.attempt.0].fill >= 1.0);
        let known = self.own_time(&self.open[at].req).is_some();
        let fills = self.fills_out(None);
        let near =
            sorted(self.up[Role::Edge as usize].iter().filter_map(|i| self.servers[*i].gate.slow.get()));
        let middle = near.get(near.len() / 2).copied();
        let filled = match o.fill_report {
            FillReport::Hit => Some(0.0),
            FillReport::FilledBySource | FillReport::FilledByOrigin => Some(1.0),
            _ => None,
        };
        if let Some(share) = filled.filter(|_| edge && o.result == AttemptResult::Served) {
            self.fills[class].add(share, AVERAGE_SHARE);
        }
        if !timed {
            return;
        }
        let gate = &mut self.servers[server].gate;
        match (o.result, o.fill_report) {
            (AttemptResult::Served, FillReport::Hit) if edge => {
                // A router that starts amid overload has seen no unhurried answer; there the aim tells.
                self.hits[class].add(o.latency.max(1.0).ln(), AVERAGE_SHARE);
                let aim = HIT_OF_AIM * self.set.classes[class].latency_objective;
                let late = self.hits[class].get().filter(|_| aim > 0.0).map(|h| h - aim.ln());
                if known {
                    gate.answer(self.now, took.max(late.unwrap_or(took)), SLOW_CACHE, out);
                }
            }
            (
                AttemptResult::Served,
                FillReport::Hit | FillReport::FilledBySource | FillReport::FilledByOrigin,
            ) => {
                // What the cache is slower by with hits than its zone's middle one is not the link's.
                let slow = took - gate.slow.get().zip(middle).map_or(0.0, |(s, m)| (s - m).max(0.0));
                let aims =
                    self.set.classes.iter().filter(|c| !c.uncacheable && c.latency_objective_stretch > 1.0);
                let limit = aims.map(|c| c.latency_objective_stretch).fold(SLOW_LINK, f64::min);
                self.link.answer(self.now, slow, limit, fills);
            }
            // What goes past the caches, or fills for sure, and is late, is late on the link.
            (AttemptResult::TimedOut, _) if sure => self.link.full(self.now, fills, GATE_CUT),
            (AttemptResult::Rejected, FillReport::NotReported) => gate.full(self.now, out, GATE_CUT),
            _ => {}
        }
    }
}
