//! Cold budgets and gates: how much more a server that has just started, a cache, a source or the link takes.

use super::{Router, AVERAGE_SHARE};
use crate::api::*;
use crate::hash::{mix, unit};
use crate::state::{Gate, Try};
use crate::window::sorted;

/// Share of a cold server's budget, by its listed size, that all routers use; less where sizes are rough.
const COLD_SHARE: f64 = 1.0;
const COLD_SHARE_ROUGH: f64 = 0.8;
/// Requests that all routers' shares for a window must cover before one may send more than its own.
const COLD_AMPLE: f64 = 4.0;
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
    /// True if a server may get this much more now. Only one that started lately has a budget: its share
    /// of what its listed size allows (all routers reckon alike, so their shares add up).
    pub(super) fn has_room(&self, i: usize, weight: f64) -> bool {
        let entry = &self.servers[i].entry;
        let cold = self.age_if_cold(&self.servers[i]).filter(|_| entry.role != Role::Origin);
        let (Some(age), rule) = (cold, self.set.cold(entry.role)) else { return true };
        // Listed sizes are in answers at full pace.
        let part = if self.set.rough_sizes { COLD_SHARE_ROUGH } else { COLD_SHARE };
        let capacity = part * entry.weight / self.servers[i].gate.routers;
        let share = rule.share + (1.0 - rule.share) * ((age - rule.window) / rule.span).clamp(0.0, 1.0);
        let rate = rule.multiple * share * capacity;
        let (budget, s) = (rate * rule.window, &self.servers[i]);
        // This router's former process may have sent all of a window, unless the server started since.
        let (born, started) = (self.born.unwrap_or(self.now), s.started.unwrap_or(f64::NEG_INFINITY));
        let life = (self.now - born).min(age);
        let alone = started >= born || life >= rule.window;
        // Before any answer nothing tells what work takes, and an aim may be far less: one a window.
        let weight = if self.longest() > 0.0 { weight } else { weight.max(budget) };
        let sent = |span: Ms| s.sent.since(self.now - span.min(age)) + weight;
        // With many routers a request may be more than one's share for a window. It goes in turn: in a time
        // in which the share covers it, at a moment of this router's own, if all shares cover it amply.
        let turn = rule.window.max(self.longest().max(weight) / rate);
        let own = life >= turn * unit(mix(self.seed, s.hash));
        let ample = COLD_AMPLE * weight <= budget * s.gate.routers;
        let fits = if weight <= budget { sent(rule.window) <= budget } else { own && ample };
        alone && sent(turn) <= rate * turn && fits
    }

    /// Whether this router alone has sent a server that started lately more than all routers may send it
    /// together, with what chance adds (twice the root, and two). It never should: its own share is far less.
    pub fn beyond_slow_start(&self, server: &ServerId) -> bool {
        let Some(s) = self.servers.get(server) else { return false };
        let cold = self.age_if_cold(s).filter(|_| s.entry.role != Role::Origin);
        let (Some(age), mean) = (cold, self.longest()) else { return false };
        let rule = self.set.cold(s.entry.role);
        let share = rule.share + (1.0 - rule.share) * (age / rule.span).clamp(0.0, 1.0);
        let all = rule.multiple * share * s.entry.weight * rule.window;
        let most = all + 2.0 * (all * mean).sqrt() + 2.0 * mean;
        mean > 0.0 && s.sent.since(self.now - rule.window.min(age)) > most
    }

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
        let share = match o.note {
            Note::Hit | Note::Old | Note::Joined | Note::Looped => 0.0,
            Note::Untold => self.open[at].tries[o.attempt.0].fill,
            _ => 1.0,
        };
        self.servers[server].gate.level.add(self.now, o.delay);
        self.link.level.add(self.now, o.delay * share);
        if let Some(i) = source {
            self.servers[i].gate.level.add(self.now, o.delay * share);
            // What a parent's origin did is the origin's, so that what the parent holds still comes.
            // So is what ran out of time at a parent that has answered since.
            let held_up = o.note == Note::SourceFailed && self.servers[i].answered > self.now - o.delay;
            let behind = held_up || matches!(o.note, Note::FilledByOrigin | Note::OriginFailed);
            let at_fault = self.origin().filter(|_| behind).unwrap_or(i);
            let untold = if o.note == Note::Untold { self.beyond.get().unwrap_or(1.0) } else { 0.0 };
            if let Some(origin) = self.origin().filter(|p| *p != i) {
                let asked = if behind { 1.0 } else { untold };
                self.servers[origin].gate.level.add(self.now, o.delay * share * asked);
            }
            let fills = self.fills_out(Some(at_fault)) + 1.0;
            let gate = &mut self.servers[at_fault].gate;
            match o.note {
                Note::FilledBySource | Note::FilledByOrigin => gate.grow(self.now, fills),
                Note::OriginFailed if o.end != End::Full => gate.full(self.now, fills, GATE_WASTE),
                Note::SourceFailed if held_up => gate.full(self.now, fills, GATE_WASTE),
                Note::SourceRefused | Note::OriginFailed => gate.full(self.now, fills, GATE_CUT),
                _ => {}
            }
            if behind || o.note == Note::FilledBySource {
                self.beyond.add(f64::from(u8::from(behind)), AVERAGE_SHARE);
            }
        }
        let edge = self.servers[server].entry.role == Role::Edge;
        let took = self.slowness(&self.open[at], o.delay - o.source_wait);
        let (behind, here) = (source.map_or(0.0, |i| self.excess(i)), self.excess(server));
        match (o.end, o.note, source) {
            (End::Served, Note::Hit, _) if edge => self.resize(server, took, true),
            (End::Served, Note::FilledBySource | Note::FilledByOrigin, Some(i)) if edge => {
                self.resize(server, took - behind, true);
                self.resize(i, took - here, true);
            }
            (_, Note::SourceRefused | Note::SourceFailed, Some(i)) => self.resize(i, f64::INFINITY, false),
            (End::Late, ..) => self.find_lag(server, source, took),
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
        let gate = &mut self.servers[server].gate;
        match (o.end, o.note) {
            (End::Served, Note::Hit) if edge => {
                self.fills[class].add(0.0, AVERAGE_SHARE);
                // A router that starts amid overload has seen no unhurried answer; there the aim tells.
                self.hits[class].add(o.delay.max(1.0).ln(), AVERAGE_SHARE);
                let aim = HIT_OF_AIM * self.set.classes[class].aim;
                let late = self.hits[class].get().filter(|_| aim > 0.0).map(|h| h - aim.ln());
                if known {
                    gate.answer(self.now, took.max(late.unwrap_or(took)), SLOW_CACHE, out);
                }
            }
            (End::Served, Note::Hit | Note::FilledBySource | Note::FilledByOrigin) => {
                if edge {
                    self.fills[class].add(1.0, AVERAGE_SHARE);
                }
                // What the cache is slower by with hits than its zone's middle one is not the link's.
                let slow = took - gate.slow.get().zip(middle).map_or(0.0, |(s, m)| (s - m).max(0.0));
                let aims = self.set.classes.iter().filter(|c| !c.uncacheable && c.aim_stretch > 1.0);
                let limit = aims.map(|c| c.aim_stretch).fold(SLOW_LINK, f64::min);
                self.link.answer(self.now, slow, limit, fills);
            }
            // What goes past the caches, or fills for sure, and is late, is late on the link.
            (End::Late, _) if sure => self.link.full(self.now, fills, GATE_CUT),
            (End::Full, Note::Untold) => gate.full(self.now, out, GATE_CUT),
            _ => {}
        }
    }
}
