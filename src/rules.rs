//! Every decision of basaltgw. The interface (settings, events, actions, ids) is `src/api.rs`.
//!
//! The ordinary path is the mechanism of docs/design.md, from D3N: an edge cache by rendezvous hash of
//! the object, a parent by hash over all listed parents, all copies kept, ranked by two shadow lists and
//! a bounded search. All else is an exception and says when it acts. The sections follow a request's
//! life, from news to final answers.

pub mod carry;

use crate::api::*;
use crate::hash::{address, mix, unit, within_share};
use crate::shadow::ShadowList;
use crate::state::{place, Found, Gate, Health, Known, Mark, Open, Planned, Server, Try};
use crate::window::Average;
use basaltgw_structures::Candidates;
use indexmap::IndexMap;
use std::rc::Rc;
use std::sync::Arc;

// The mechanism.
/// St, entries of each shadow list.
pub const SHADOW_ENTRIES: usize = 4096;
/// q, the furthest the split moves in a period, as a share of St.
pub const SPLIT_STEP: f64 = 0.05;
/// Milliseconds between two adaptations of the split.
pub const PERIOD_MS: Ms = 5000.0;
/// Weight of a new sample in the averages of latencies and sending times.
pub const AVERAGE_SHARE: f64 = 0.05;

// Time.
/// Milliseconds between two sweeps over what is open: the grain of all guards that act by time.
pub const SWEEP_MS: Ms = 20.0;
/// Milliseconds before the client's time is up by which the final answer is out (and at least two ticks).
pub const ANSWER_MARGIN_MS: Ms = 25.0;
const SWEEP_TOKEN: u64 = 1;

// Health.
/// Weight of a success in a server's share of refused connections.
const SERVED_SHARE: f64 = 0.05;
/// Weight of a refused connection in it: it tells of the whole process, where an error tells of one
/// request.
const REFUSED_SHARE: f64 = 0.3;
/// A server whose share of refused connections is above this is taken out.
const REFUSED_LIMIT: f64 = 0.45;
/// An attempt is overdue after its class's mean delay, its sending time and so many mean deviations.
const OVERDUE_DEVIATIONS: f64 = 5.0;
/// Answers of a class before its delays tell anything.
const OVERDUE_SAMPLES: u32 = 20;
/// Evidence of a cache's silence in an overdue attempt (a source's: the chance of a fill); one is enough.
const SILENT_SHARE: f64 = 0.34;
/// No server is silent before this, so that short pauses pass.
const SILENT_LEAST_MS: Ms = 350.0;
/// A cache that answers after this, with so many still out, is taken for restarted.
const RESTART_GAP_MS: Ms = 1000.0;
const RESTART_OUT: usize = 4;
/// A server taken out gets its first trial after this, doubled with each failed trial up to the limit.
const OUT_MS: Ms = 1000.0;
const OUT_LIMIT_MS: Ms = 8000.0;
/// Served, beyond those that failed, that end a trial.
const TRIAL_WINS: u32 = 3;

// Load.
/// Weight of an answer in a server's lag; what one moves the cut of its size by, beyond this lag over what
/// is usual for its role; the least share left of its size; and the change that moves objects.
const LAG_SHARE: f64 = 0.2;
const CUT_STEP: f64 = 0.3;
const CUT_SLACK: f64 = 0.25;
const CUT_MOST: f64 = 0.05;
const CUT_GRAIN: f64 = 0.1;
/// Within this time a cut wears off.
const CUT_TAU_MS: Ms = 20_000.0;
/// A cache with over this multiple of its zone's mean work, and one request more, out passes parts on.
const SPILL: f64 = 1.25;
/// Mean slowness (delay over the least that the object took) above which a cache, or the link, is full; the
/// link also at the least stretch of a class's aim, since what takes longer is late.
const SLOW_CACHE: f64 = 3.0;
const SLOW_LINK: f64 = 2.0;
/// The chance that a request needs a fill before any was seen.
const FILL_UNTOLD: f64 = 0.5;
/// Weight of a sample in a cache's or the link's slowness.
const SLOW_SHARE: f64 = 0.1;
/// Answers that tell an object's sending time.
const KNOWN_ANSWERS: u32 = 2;
/// An object not known yet is taken to need this share of its class's mean: most are smaller.
const NEW_OF_MEAN: f64 = 0.6;
/// A class's usual hit takes no more than this share of its aim, unhurried.
const HIT_OF_AIM: f64 = 0.5;
/// A full gate's limit is cut to this share of what is out, once in the rest time, down to the least.
const GATE_CUT: f64 = 0.9;
const GATE_REST_MS: Ms = 150.0;
const GATE_LEAST: f64 = 4.0;
/// With fewer out than this, slowness is not of the routers' making. One with fewer out itself reckons with
/// as many at each of its peers: it goes by its mean number out over a time, and cuts after so many
/// answers, down to a least mean.
const GATE_FLOOR: f64 = 6.0;
const GATE_LEVEL_MS: Ms = 1000.0;
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
/// Attempts for one request; the site's limit holds too.
const MAX_ATTEMPTS: usize = 5;
/// Share of a cold server's budget, by its listed size, that all routers use; less where sizes are rough.
const COLD_SHARE: f64 = 1.0;
const COLD_SHARE_ROUGH: f64 = 0.8;
/// Requests that all routers' shares for a window must cover before one may send more than its own.
const COLD_AMPLE: f64 = 4.0;
/// A purge is heeded for this much longer than it takes to settle: a slow fill that began before it may leave
/// an old copy behind after that. Harms nothing but memory: copies made since are let through.
const PURGE_EXTRA_MS: Ms = 60_000.0;
/// Taken off an age limit for rounding; and the least limit, since 0 stands for the class's fresh time.
const AGE_MARGIN_MS: Ms = 2.0;
const AGE_LEAST_MS: Ms = 1.0;
/// A refused client is asked to stay away for this share of its class's aim.
const HOLD_OFF_OF_AIM: f64 = 0.25;
/// Lines a router reports in one life.
const REPORT_LINES: usize = 120;

impl Gate {
    /// Where few are out, what counts is how many were out on average lately.
    fn lets(&self, now: Ms, out: f64, ease: f64) -> bool {
        let level = self.level.rate(now);
        out + 1.0 <= self.limit * ease || (self.limit < GATE_LEAST && level <= self.limit * ease)
    }

    /// Takes in how slow an answer was, as a logarithm, while so much was out.
    fn answer(&mut self, now: Ms, slow: f64, limit: f64, out: f64) {
        // Where answers are few, one moves the mean by as much as the time since the last takes off.
        self.slow.add(slow, SLOW_SHARE.max(1.0 - ((self.heard - now) / GATE_FEW_MS).exp()));
        self.heard = now;
        self.pace.add(now, SLOW_SHARE);
        let few = out < GATE_FLOOR && self.pace.rate(now) * GATE_FEW_MS < 1.0;
        let limit = if few { GATE_FEW * limit.ln() } else { limit.ln() };
        if self.slow.get().is_some_and(|s| s > limit) {
            self.full(now, out);
        } else {
            self.grow(now, out);
        }
    }

    fn grow(&mut self, now: Ms, out: f64) {
        self.answers += 1;
        if out.max(self.level.rate(now)) >= GATE_USED * self.limit {
            self.limit += (1.0 / self.limit).min(self.limit * GATE_GROWTH);
        }
    }

    fn full(&mut self, now: Ms, out: f64) {
        self.answers += 1;
        let (level, dense) = (self.level.rate(now), out >= GATE_FLOOR);
        let used = self.limit.is_infinite() || out.max(level) >= GATE_USED * self.limit;
        let sure = dense || (self.answers >= GATE_ANSWERS && level * self.routers >= GATE_FLOOR);
        if used && sure && now - self.cut >= GATE_REST_MS {
            let (least, used) = if dense { (GATE_LEAST, out) } else { (GATE_LEAST_LEVEL, level) };
            self.limit = (self.limit.min(used) * GATE_CUT).max(least);
            (self.cut, self.answers) = (now, 0);
        }
    }
}

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

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut all: Vec<f64> = values.collect();
    all.sort_unstable_by(f64::total_cmp);
    all
}

/// What is done to the open request at a place.
type Step = fn(&mut Router, usize, &mut Vec<Action>);

/// One router: decides for its own requests from its own events alone.
pub struct Router {
    set: Settings,
    now: Ms,
    armed: bool,
    servers: IndexMap<ServerId, Server>,
    /// By role: what the list has up, edge caches of the own zone only.
    up: [Vec<usize>; 3],
    /// The same, by hash order.
    order: [Candidates; 3],
    /// Where sources are planned: the plan, and by edge cache what it comes to.
    table: Option<Arc<SourceTable>>,
    planned: IndexMap<usize, Rc<Planned>>,
    open: IndexMap<RequestId, Open>,
    edge: ShadowList,
    missed: ShadowList,
    /// Objects seen lately.
    known: IndexMap<ObjectId, Known>,
    split: usize,
    next_period: Ms,
    /// L1 and L2.
    latency: [Average; 2],
    /// By class: delay of what was served, and sending time.
    delay: Vec<(Average, Average)>,
    sending: Vec<Average>,
    /// By class: the logarithm of what a hit takes.
    hits: Vec<Average>,
    /// By class: the share of answers that needed a fill.
    fills: Vec<Average>,
    /// The share of fills for which the origin was asked.
    beyond: Average,
    /// The fills over the zone's link.
    link: Gate,
    /// When an object, or a group, was purged.
    purged: IndexMap<(Option<ObjectId>, Option<GroupId>), Ms>,
    keys: u64,
    seed: u64,
    lines: usize,
}

impl Router {
    /// A router that knows nothing yet. The seed sets its turns at cold servers apart from its peers'.
    pub fn new(set: Settings, seed: u64) -> Self {
        let classes = set.classes.len();
        Self {
            now: 0.0,
            armed: false,
            servers: IndexMap::new(),
            up: Default::default(),
            order: Default::default(),
            table: None,
            planned: IndexMap::new(),
            open: IndexMap::new(),
            edge: ShadowList::new(SHADOW_ENTRIES),
            missed: ShadowList::new(SHADOW_ENTRIES),
            known: IndexMap::new(),
            split: SHADOW_ENTRIES / 2,
            next_period: 0.0,
            latency: [Average::default(); 2],
            delay: vec![Default::default(); classes],
            sending: vec![Average::default(); classes],
            hits: vec![Average::default(); classes],
            fills: vec![Average::default(); classes],
            beyond: Average::default(),
            link: Gate::new(0.0, GATE_LEVEL_MS, set.zone_routers),
            purged: IndexMap::new(),
            keys: 0,
            lines: 0,
            seed,
            set,
        }
    }

    /// s1, the share of the shadow list that earns top rank, in entries.
    pub fn split(&self) -> usize {
        self.split
    }

    /// Takes an event in and appends what is to be done.
    pub fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        self.now = now;
        if !self.armed {
            self.armed = true;
            self.next_period = now + PERIOD_MS;
            acts.push(Action::Timer(SWEEP_MS, SWEEP_TOKEN));
            if self.set.must_subscribe {
                acts.push(Action::Subscribe);
            }
        }
        match event {
            Event::Servers(mode, entries) => self.on_list(mode, entries, acts),
            Event::Request(req) => self.on_request(req, acts),
            Event::Flowing(id, _) => self.open.get_mut(&id).into_iter().for_each(|open| open.done = true),
            Event::Outcome(outcome) => self.on_outcome(outcome, acts),
            Event::ClientLeft(id) => {
                self.open.get_index_of(&id).into_iter().for_each(|at| self.finish(at, acts));
            }
            Event::Timer(SWEEP_TOKEN) => {
                self.sweep(acts);
                acts.push(Action::Timer(SWEEP_MS, SWEEP_TOKEN));
            }
            Event::Timer(_) => {}
            Event::Sources(table) => {
                self.table = table;
                self.plan_sources();
            }
            Event::Purged(group, object, age) => {
                let at = now - age.max(0.0);
                let named = (object, Some(group).filter(|_| object.is_none()));
                let known = self.purged.entry(named).or_insert(at);
                *known = known.max(at);
            }
        }
    }

    fn report(&mut self, acts: &mut Vec<Action>, text: String) {
        if self.lines < REPORT_LINES {
            self.lines += 1;
            acts.push(Action::Report(text));
        }
    }

    // ---- News of the servers ----

    fn on_list(&mut self, mode: ListMode, entries: Vec<ServerEntry>, acts: &mut Vec<Action>) {
        if mode == ListMode::Failed {
            if self.set.must_subscribe {
                acts.push(Action::Subscribe);
            }
            return;
        }
        if mode == ListMode::Whole {
            self.servers.values_mut().for_each(|s| s.entry.listed = Listed::Gone);
        }
        for mut entry in entries {
            // Weights that follow the load would move every object's home with each list.
            let steady = !self.set.weights_move && entry.weight > 0.0;
            entry.weight = if steady { entry.weight } else { 1.0 };
            let routers = if entry.role == Role::Edge { self.set.zone_routers } else { self.set.routers };
            let gate = Gate::new(self.now, GATE_LEVEL_MS, routers);
            let new = || Server::new(entry.clone(), address(&entry.id.0), self.now, gate);
            let held = |i| self.open.values().flat_map(|o| &o.tries).any(|t| t.names(i));
            let server = place(&mut self.servers, &entry.id, new, held);
            if entry.started > server.entry.started {
                // A new process: what was held against the old one is void, and it is cold.
                server.started = entry.started;
                (server.health, server.strikes, server.refused) = (Health::Good, 0, 0.0);
                server.vanished = false;
                (server.lag, server.cut) = (Average::default(), 0.0);
                (server.answered, server.mute) = (self.now, 0.0);
            }
            server.entry = entry;
        }
        for role in [Role::Edge, Role::Parent, Role::Origin] {
            let near = |s: &Server| role != Role::Edge || s.entry.zone == self.set.zone;
            let fits = |s: &Server| s.entry.role == role && s.entry.listed == Listed::Up && near(s);
            let all = self.servers.values().enumerate().filter(|(_, s)| fits(s));
            self.up[role as usize] = all.map(|(i, _)| i).collect();
            self.place(role);
        }
        self.plan_sources();
    }

    /// Puts the servers of a role in hash order, by what is now held to be their size.
    fn place(&mut self, role: Role) {
        let up = &self.up[role as usize];
        up.iter().for_each(|i| self.servers[*i].stands = self.servers[*i].cut);
        let one = |i: &usize| (*i, self.servers[*i].hash, self.servers[*i].size());
        self.order[role as usize] = Candidates::new(up.iter().map(one));
    }

    /// What the plan comes to for the edge caches that are up; those with the same sources share it.
    fn plan_sources(&mut self) {
        self.planned.clear();
        let Some(table) = &self.table else { return };
        let mut same: Vec<(*const Vec<SourceShare>, bool, Rc<Planned>)> = Vec::new();
        for edge in &self.up[Role::Edge as usize] {
            let id = &self.servers[*edge].entry.id;
            let Some(of) = table.of.get(id) else { continue };
            let (at, origin) = (Arc::as_ptr(of), table.origin.contains(id));
            let made = same.iter().find(|s| (s.0, s.1) == (at, origin)).map(|s| Rc::clone(&s.2));
            let planned = made.unwrap_or_else(|| {
                let up =
                    |s: &&SourceShare| self.servers.get(&s.id).is_some_and(|s| s.entry.listed == Listed::Up);
                let place =
                    |s: &SourceShare| self.servers.get_index_of(&s.id).map(|i| (i, s.weight, s.share));
                let all: Vec<_> = of.iter().filter(up).filter_map(place).collect();
                let order =
                    Candidates::new(all.iter().map(|(i, weight, _)| (*i, self.servers[*i].hash, *weight)));
                let share = all.into_iter().map(|(i, _, share)| (i, share)).collect();
                same.push((at, origin, Rc::new(Planned { order, share, origin })));
                Rc::clone(&same[same.len() - 1].2)
            });
            self.planned.insert(*edge, planned);
        }
    }

    // ---- Arrival ----

    fn on_request(&mut self, req: Request, acts: &mut Vec<Action>) {
        if self.open.contains_key(&req.id) {
            return;
        }
        let margin = ANSWER_MARGIN_MS.max(2.0 * self.set.tick);
        let class = req.class.map(|c| c.0).filter(|c| *c < self.set.classes.len());
        let (Some(class), true) = (class, req.budget > margin) else {
            // Nothing was sent, so a refusal is harmless whatever the class.
            acts.push(Action::Refuse(req.id, 0.0));
            return;
        };
        let rank = self.rank(&req, class);
        let end = self.now + req.budget - margin;
        let (at, _) = self.open.insert_full(req.id.clone(), Open::new(req, class, end, rank));
        self.dispatch(at, acts);
    }

    /// Files a first part in the edge list and ranks it by reuse distance; later parts follow it.
    fn rank(&mut self, req: &Request, class: usize) -> Rank {
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
    fn adapt(&mut self) {
        if let (Some(l1), Some(l2)) = (self.latency[0].get(), self.latency[1].get()) {
            let step = (SPLIT_STEP * SHADOW_ENTRIES as f64) as usize;
            let (mr1, mr2) = (self.edge.misses_from(), self.missed.misses_from());
            self.split = best_split(self.split, step, &mr1, &mr2, l1, l2);
        }
        self.edge.halve();
        self.missed.halve();
    }

    // ---- Placement ----

    /// Healthy, or due for a trial with nothing out; the list has it up if it is in hash order.
    fn usable(&self, i: usize) -> bool {
        let s = &self.servers[i];
        match s.health {
            Health::Good => true,
            Health::Out(until) => self.now >= until && s.out == 0,
            Health::Trial(_) => s.out == 0,
        }
    }

    /// How long ago a server started that may still be cold.
    fn age_if_cold(&self, s: &Server) -> Option<Ms> {
        let span = self.set.cold(s.entry.role).span;
        s.started.map(|t| self.now - t).filter(|age| *age < span)
    }

    /// Usable, and not cold.
    fn warm(&self, i: &usize) -> bool {
        self.usable(*i) && self.age_if_cold(&self.servers[*i]).is_none()
    }

    fn origin(&self) -> Option<usize> {
        self.up[Role::Origin as usize].first().copied()
    }

    /// True if a server may get this much more now. Only one that started lately has a budget: its share
    /// of what its listed size allows (all routers reckon alike, so their shares add up).
    fn has_room(&self, i: usize, weight: f64) -> bool {
        let entry = &self.servers[i].entry;
        let cold = self.age_if_cold(&self.servers[i]).filter(|_| entry.role != Role::Origin);
        let (Some(age), rule) = (cold, self.set.cold(entry.role)) else { return true };
        // Listed sizes are in answers at full pace.
        let part = if self.set.rough_sizes { COLD_SHARE_ROUGH } else { COLD_SHARE };
        let capacity = part * entry.weight / self.servers[i].gate.routers;
        let share = rule.share + (1.0 - rule.share) * ((age - rule.window) / rule.span).clamp(0.0, 1.0);
        let rate = rule.multiple * share * capacity;
        let (budget, s) = (rate * rule.window, &self.servers[i]);
        // What its former process was sent does not count.
        let sent = |span: Ms| s.sent.since(self.now - span.min(age)) + weight;
        // With many routers a request may be more than one's share for a window. It goes in turn: in a time
        // in which the share covers it, at a moment of this router's own, if all shares cover it amply.
        let turn = rule.window.max(self.longest().max(weight) / rate);
        let own = age >= turn * unit(mix(self.seed, s.hash));
        let ample = COLD_AMPLE * weight <= budget * s.gate.routers;
        sent(turn) <= rate * turn && if weight <= budget { sent(rule.window) <= budget } else { own && ample }
    }

    /// The edge cache: the first in hash order that is usable and has room; its parts go on if it is hot.
    fn pick_edge(&self, at: usize, weight: f64) -> Option<usize> {
        let key = self.open[at].req.object.0;
        let edges = &self.order[Role::Edge as usize];
        let (mut order, ease) = (edges.sorted(key), self.ease(self.open[at].class));
        order.retain(|i| self.usable(*i) && !self.open[at].blames(*i));
        order.retain(|i| {
            self.servers[*i].gate.lets(self.now, self.servers[*i].out as f64, ease)
                && self.has_room(*i, weight)
        });
        let size = |i: &usize| self.servers[*i].size();
        let load = |i: &usize| self.servers[*i].work / size(i);
        let all = order.iter().map(size).sum::<f64>();
        let mean = order.iter().map(|i| self.servers[*i].work).sum::<f64>() / all;
        let bound = SPILL * (mean + weight * order.len() as f64 / all);
        let home = order.first().copied()?;
        if load(&home) <= bound {
            return Some(home);
        }
        let place = mix(key, self.open[at].req.part.0 + 1);
        let mut spread = edges.order(place).filter(|i| order.contains(i));
        spread.find(|i| load(i) <= bound).or(Some(home))
    }

    /// The source for a miss at an edge cache: the object's home among all listed parents, or among those
    /// that the plan gives the cache for it, else the next in hash order, else the origin if it may.
    fn pick_source(&self, at: usize, weight: f64, edge: Option<usize>) -> Option<usize> {
        let object = self.open[at].req.object.0;
        let ready = |i: &usize| self.usable(*i) && !self.open[at].blames(*i) && self.has_room(*i, weight);
        let edge = edge.or(self.up[Role::Edge as usize].first().copied());
        let planned = edge.and_then(|i| self.planned.get(&i));
        let parents = planned.map_or(&self.order[Role::Parent as usize], |p| &p.order);
        let share = |i: &usize| planned.map_or(1.0, |p| p.share[i]);
        let takes = |i: &usize| within_share(object, self.servers[*i].hash, share(i)) && ready(i);
        let parent = parents.order(mix(object, 0)).find(takes);
        // Where nobody else is left, one that is still to take more is better than none.
        let parent = parent.or_else(|| planned.and_then(|p| p.order.order(mix(object, 0)).find(ready)));
        let origin = self.origin().filter(|_| planned.is_none_or(|p| p.origin));
        parent.or_else(|| origin.filter(|i| self.usable(*i)))
    }

    // ---- Sending ----

    /// The sending time of a request's part: by its size where told, else the least that a part of the
    /// object took.
    fn own_time(&self, req: &Request) -> Option<Ms> {
        if req.size_kb > 0.0 && self.set.pace_kb_per_s > 0.0 {
            return Some(req.size_kb / self.set.pace_kb_per_s * 1000.0);
        }
        self.known.get(&req.object).filter(|k| k.seen >= KNOWN_ANSWERS).map(|k| k.least)
    }

    /// By how much a class may go beyond a gate's limit: one that takes little earns more for the same
    /// room.
    fn ease(&self, class: usize) -> f64 {
        if self.mean_time(class) < SMALL_SHARE * self.longest() {
            SMALL_EASE
        } else {
            1.0
        }
    }

    /// The longest of the classes' mean sending times.
    fn longest(&self) -> Ms {
        self.sending.iter().filter_map(|a| a.get()).fold(0.0, f64::max)
    }

    /// The mean sending time of a class.
    fn mean_time(&self, class: usize) -> Ms {
        self.sending[class].get().unwrap_or(self.set.classes[class].aim)
    }

    /// Makes the next attempt, or gives up at once if none can help.
    fn dispatch(&mut self, at: usize, acts: &mut Vec<Action>) {
        let open = &self.open[at];
        let class = &self.set.classes[open.class];
        let left = open.end - self.now;
        let (mean, known) = (self.mean_time(open.class), self.own_time(&open.req));
        let own = known.unwrap_or(mean);
        let through = class.uncacheable || open.req.write;
        let hopeless = left <= 0.0 || (known.is_some_and(|own| own > left) && !through);
        if hopeless || open.tries.len() >= MAX_ATTEMPTS.min(self.set.max_attempts) || !self.may_send(open) {
            if self.open[at].out() == 0 {
                self.give_up(at, acts);
            }
            return;
        }
        let mut held_only = false;
        let (server, source) = if through {
            self.pick_through(at)
        } else {
            let (ease, origin) = (self.ease(self.open[at].class), self.origin());
            let edge = self.pick_edge(at, mean);
            let source = self.pick_source(at, own, edge);
            let place = |i: usize| self.servers[i].gate.lets(self.now, self.fills_out(Some(i)), ease);
            let lets = source.is_some_and(place) && self.link.lets(self.now, self.fills_out(None), ease);
            let whole = origin.is_none_or(place);
            match (edge, self.open[at].found) {
                (Some(_), Found::FillUnderWay) => (edge, source),
                (Some(_), Found::Beyond) if lets && whole => (edge, source),
                (Some(_), Found::Unknown | Found::Nothing) if lets => {
                    // While the origin is full, only what the parent holds.
                    held_only = !whole && source != origin;
                    (edge, source)
                }
                // While the link or the source is full, a look: only what the cache lacks needs it.
                (Some(_), Found::Unknown) => (edge, None),
                // No warm cache of the zone can serve: the parent itself, with the origin behind it.
                (None, _)
                    if lets
                        && self.set.direct
                        && !self.up[Role::Edge as usize].iter().any(|i| self.warm(i)) =>
                {
                    (source, origin.filter(|o| source != Some(*o)))
                }
                _ => (None, None),
            }
        };
        match server {
            Some(server) => self.send(at, (server, source), held_only, acts),
            None if self.open[at].out() > 0 => {}
            None => self.give_up(at, acts),
        }
    }

    /// Fills expected to be out over the link, or from a source; from the origin also those that parents
    /// lack.
    fn fills_out(&self, source: Option<usize>) -> f64 {
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

    /// Where a request that runs at the origin goes: straight there, else by a parent or an edge cache.
    fn pick_through(&self, at: usize) -> (Option<usize>, Option<usize>) {
        let key = self.open[at].req.object.0;
        let fresh = |i: &usize| !self.open[at].tries.iter().any(|t| t.server == *i);
        let origin = self.origin();
        let straight = origin.filter(|i| self.set.direct && fresh(i));
        let role = if self.set.direct { Role::Parent } else { Role::Edge };
        let mut way = self.order[role as usize].order(mix(key, 0));
        match straight.filter(|i| self.usable(*i)) {
            Some(_) => (straight, None),
            None => (way.find(|i| self.warm(i) && fresh(i)).or(straight), origin),
        }
    }

    /// Whether the class allows another attempt: an unsafe request only if none may have run, a keyed one
    /// within its window if its group is all servers (narrower groups get none).
    fn may_send(&self, open: &Open) -> bool {
        let class = &self.set.classes[open.class];
        match (class.effect, open.may_have_run) {
            (Effect::Safe, _) => true,
            (_, _) if open.out() > 0 => false,
            (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed, Some(since)) => {
                class.key_scope == KeyScope::All && self.now < since + class.key_window
            }
        }
    }

    fn send(&mut self, at: usize, to: (usize, Option<usize>), held_only: bool, acts: &mut Vec<Action>) {
        let (server, source) = to;
        let mean = self.mean_time(self.open[at].class);
        let own = self.own_time(&self.open[at].req).unwrap_or(mean);
        self.keys += 1;
        let (key, now) = (self.keys, self.now);
        let max_age = self.max_age(&self.open[at], source.is_none());
        let class = &self.set.classes[self.open[at].class];
        let open = &self.open[at];
        let looked = open.tries.iter().all(|t| t.source.is_none());
        let (renew, join) = (class.fresh > 0.0, self.set.joins && looked);
        let edge = self.servers[server].entry.role == Role::Edge;
        let fill = match source {
            Some(_) if matches!(open.found, Found::Nothing | Found::Beyond) => 1.0,
            Some(_) if open.found == Found::FillUnderWay => 0.0,
            None if edge => 0.0,
            _ if !edge => 1.0,
            _ => self.fills[open.class].get().unwrap_or(FILL_UNTOLD),
        };
        let s = &mut self.servers[server];
        if s.out == 0 {
            s.answered = now;
        }
        s.work += mean;
        s.sent.add(now, if edge { mean } else { own }, key);
        source.into_iter().for_each(|i| self.servers[i].sent.add(now, own, key));
        for i in [Some(server), source].into_iter().flatten() {
            let s = &mut self.servers[i];
            s.out += 1;
            if let Health::Out(_) = s.health {
                s.health = Health::Trial(0);
            }
        }
        let open = &mut self.open[at];
        open.tries.push(Try::new(to, now, mean, key, fill, held_only));
        acts.push(Action::Fetch(Fetch {
            request: open.req.id.clone(),
            server: self.servers[server].entry.id.clone(),
            timeout: open.end - now,
            fill_from: self.servers[source.unwrap_or(server)].entry.id.clone(),
            rank: if edge { open.rank } else { Rank::None },
            max_age,
            join,
            held_only,
            renew,
        }));
    }

    /// How long a purge is heeded.
    fn purge_life(&self) -> Ms {
        self.set.purge_settles.max(self.set.purge_grace) + PURGE_EXTRA_MS
    }

    /// The age limit: the class's fresh time, for a look its grace too, and while a purge may be unsettled no
    /// copy older than it.
    fn max_age(&self, open: &Open, look: bool) -> Option<Ms> {
        let names = [(Some(open.req.object), None), (None, Some(open.req.group))];
        let purged =
            names.iter().filter_map(|n| self.purged.get(n)).copied().fold(f64::NEG_INFINITY, f64::max);
        let class = &self.set.classes[open.class];
        // An old copy earns less than a fresh one, and more than a refusal.
        let fresh = if look { class.fresh + class.grace } else { class.fresh };
        if self.now > purged + self.purge_life() {
            return Some(fresh).filter(|f| *f > class.fresh);
        }
        let age = (self.now - purged - AGE_MARGIN_MS).max(AGE_LEAST_MS);
        Some(if fresh > 0.0 { age.min(fresh) } else { age })
    }

    // ---- Outcomes ----

    fn on_outcome(&mut self, o: Outcome, acts: &mut Vec<Action>) {
        let Some((at, _, open)) = self.open.get_full_mut(&o.request) else { return };
        let Some(t) = open.tries.get_mut(o.attempt.0).filter(|t| !t.over) else { return };
        t.over = true;
        let (server, source, sent, weight, key) = (t.server, t.source, t.sent, t.weight, t.key);
        let s = &mut self.servers[server];
        let out = s.out as f64;
        s.out = s.out.saturating_sub(1);
        s.work = (s.work - weight).max(0.0);
        source.into_iter().for_each(|i| self.servers[i].out = self.servers[i].out.saturating_sub(1));
        self.learn(at, source, key, &o);
        let proved = matches!(o.end, End::Full | End::NoConnection | End::NotSent | End::Miss | End::Served);
        let open = &mut self.open[at];
        if !proved {
            open.may_have_run.get_or_insert(sent);
        }
        if o.end == End::Miss && o.note != Note::Looped {
            // Where a fill is under way, joining it takes no place on the link.
            open.found = match o.note {
                Note::Joined if self.set.joins => Found::FillUnderWay,
                _ if source.is_some() => Found::Beyond,
                _ => Found::Nothing,
            };
        }
        let fault = &mut open.tries[o.attempt.0].fault;
        match o.note {
            // One that refuses a loop is well, and of no use to this request.
            Note::SourceFailed | Note::Looped => *fault = source,
            Note::SourceRefused | Note::SourceLacks | Note::OriginFailed => *fault = None,
            _ => *fault = fault.filter(|_| o.end != End::Miss),
        }
        self.gates(at, server, source, out, &o);
        self.judge(server, source, &o, acts);
        if o.last || o.end == End::Served {
            self.finish(at, acts);
        } else if self.open[at].done || self.open[at].out() > 0 {
            self.forget(at);
        } else if matches!(o.note, Note::OriginFailed | Note::SourceRefused) {
            // Any other source would ask the same origin.
            self.give_up(at, acts);
        } else {
            self.dispatch(at, acts);
        }
    }

    /// Takes in what an outcome tells of latencies, sending times and what a server carries.
    fn learn(&mut self, at: usize, source: Option<usize>, key: u64, o: &Outcome) {
        let open = &self.open[at];
        let (class, req) = (open.class, &open.req);
        let filled = matches!(o.note, Note::FilledBySource | Note::FilledByOrigin);
        if o.end == End::Served {
            let beyond = (o.delay - self.own_time(req).unwrap_or(0.0)).max(0.0);
            let (mean, deviation) = &mut self.delay[class];
            deviation.add((beyond - mean.get().unwrap_or(0.0)).abs(), AVERAGE_SHARE);
            mean.add(beyond, AVERAGE_SHARE);
            if let Some(known) = self.known.get_mut(&req.object).filter(|_| filled || o.note == Note::Hit) {
                let took = (o.delay - o.source_wait).max(1.0);
                known.least = if known.seen == 0 { took } else { known.least.min(took) };
                known.seen += 1;
                self.sending[class].add(known.least, AVERAGE_SHARE);
            }
        }
        if filled && req.part == Part(0) && open.rank != Rank::None {
            self.missed.file(req.object.0);
        }
        if filled && o.source_wait > 0.0 {
            let layer = usize::from(o.note == Note::FilledByOrigin);
            self.latency[layer].add(o.source_wait, AVERAGE_SHARE);
        }
        if let Some(source) = source.filter(|_| !filled && o.end == End::Served) {
            // No fill came to the source, so it weighs nothing there.
            self.servers[source].sent.take_back(key);
        }
    }

    /// Tells the cache's gate and the link's how an attempt went.
    fn gates(&mut self, at: usize, server: usize, source: Option<usize>, out: f64, o: &Outcome) {
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
            let behind = matches!(o.note, Note::FilledByOrigin | Note::OriginFailed);
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
                Note::SourceRefused | Note::OriginFailed => gate.full(self.now, fills),
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
                let late =
                    self.hits[class].get().map(|h| h - (HIT_OF_AIM * self.set.classes[class].aim).ln());
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
            (End::Late, _) if sure => self.link.full(self.now, fills),
            (End::Full, Note::Untold) => gate.full(self.now, out),
            _ => {}
        }
    }

    /// The logarithm of how slow it is that a request takes so long, by its class where it is not known yet.
    fn slowness(&self, open: &Open, took: Ms) -> f64 {
        let own = self.own_time(&open.req).unwrap_or(self.mean_time(open.class) * NEW_OF_MEAN);
        (took.max(1.0) / own.max(1.0)).ln()
    }

    /// What a server of a role usually lags by: the middle cache; of sources, which are few, the quickest.
    fn usual_lag(&self, role: Role) -> Option<f64> {
        let all = &self.up[role as usize];
        let lags = sorted(all.iter().filter_map(|i| self.servers[*i].lag.get()));
        lags.get(if role == Role::Edge { lags.len().saturating_sub(1) / 2 } else { 0 }).copied()
    }

    /// By how much a server lags behind what is usual for its role.
    fn excess(&self, i: usize) -> f64 {
        let s = &self.servers[i];
        s.lag.get().zip(self.usual_lag(s.entry.role)).map_or(0.0, |(lag, usual)| (lag - usual).max(0.0))
    }

    /// Holds how slow an answer was against the size that the list gives a server.
    fn resize(&mut self, i: usize, slow: f64, served: bool) {
        let role = self.servers[i].entry.role;
        let usual = self.usual_lag(role).unwrap_or(slow);
        let s = &mut self.servers[i];
        if served {
            s.lag.add(slow, LAG_SHARE);
        }
        s.cut = (s.cut + CUT_STEP * (usual + CUT_SLACK - slow).clamp(-1.0, 1.0)).clamp(CUT_MOST.ln(), 0.0);
    }

    // ---- Health ----

    /// Holds an outcome against the server it speaks of: the source where the note names it, else the
    /// server.
    fn judge(&mut self, server: usize, source: Option<usize>, o: &Outcome, acts: &mut Vec<Action>) {
        let now = self.now;
        if !matches!(o.end, End::Late | End::Cancelled | End::NotSent) {
            let s = &mut self.servers[server];
            if now - s.answered > RESTART_GAP_MS && s.out >= RESTART_OUT && s.entry.role == Role::Edge {
                // It may have restarted cold before the list tells; harms where it had only paused.
                s.started = Some(now);
            }
            (s.answered, s.mute) = (now, 0.0);
        }
        use Note::{Hit, Joined, NoFillPlace, Old, SourceFailed, Untold};
        let mute = matches!(o.note, Untold | Hit | Old | Joined | NoFillPlace | SourceFailed);
        let heard = source.filter(|_| !mute).map(|i| &mut self.servers[i]);
        heard.into_iter().for_each(|s| (s.answered, s.mute) = (now, 0.0));
        match (o.note, o.end) {
            (_, End::Served) => {
                self.mark(server, Mark::Served, acts);
                if let (Some(i), Note::FilledBySource | Note::FilledByOrigin) = (source, o.note) {
                    self.mark(i, Mark::Served, acts);
                }
            }
            (Note::SourceFailed | Note::SourceRefused, _) => {
                source.into_iter().for_each(|i| self.mark(i, Mark::Failed, acts));
            }
            (Note::SourceLacks | Note::NoFillPlace | Note::OriginFailed, _) => {}
            // Only a trial minds: the request goes on at once, and a share of failures is no reason to
            // leave a cache that serves the rest.
            (_, End::Error | End::Broken) => self.mark(server, Mark::Failed, acts),
            (_, End::NoConnection) => self.mark(server, Mark::Refused, acts),
            (_, End::Full | End::Miss | End::Late | End::Cancelled | End::NotSent) => {}
        }
    }

    /// Moves a server's share of refused connections and takes it out, or brings it back by its trial.
    fn mark(&mut self, i: usize, mark: Mark, acts: &mut Vec<Action>) {
        let s = &mut self.servers[i];
        match mark {
            Mark::Served => s.refused -= SERVED_SHARE * s.refused,
            Mark::Failed => {}
            Mark::Refused => s.refused += REFUSED_SHARE * (1.0 - s.refused),
        }
        let (bad, broke) = (mark != Mark::Served, mark == Mark::Refused);
        match s.health {
            Health::Good if s.refused > REFUSED_LIMIT => self.take_out(i, broke, "refuses connections", acts),
            Health::Trial(0) if bad => self.take_out(i, broke, "failed its trial", acts),
            Health::Trial(wins) if bad => s.health = Health::Trial(wins - 1),
            Health::Trial(wins) if wins + 1 >= TRIAL_WINS => {
                (s.health, s.strikes, s.refused) = (Health::Good, 0, 0.0);
                if s.vanished {
                    // It may have been replaced by a cold process that the list does not show yet.
                    s.started = Some(self.now);
                    s.vanished = false;
                }
                self.report(acts, format!("{} back after its trial", self.servers[i].entry.id.0));
            }
            Health::Trial(wins) => s.health = Health::Trial(wins + 1),
            Health::Good | Health::Out(_) => {}
        }
    }

    fn take_out(&mut self, i: usize, vanished: bool, why: &str, acts: &mut Vec<Action>) {
        let s = &mut self.servers[i];
        let span = (OUT_MS * f64::from(1u32 << s.strikes.min(16))).min(OUT_LIMIT_MS);
        s.health = Health::Out(self.now + span);
        s.strikes += 1;
        s.vanished |= vanished;
        self.report(acts, format!("{} out for {span:.0} ms: {why}", self.servers[i].entry.id.0));
    }

    // ---- Sweep ----

    fn sweep(&mut self, acts: &mut Vec<Action>) {
        if self.now >= self.next_period {
            self.next_period = self.now + PERIOD_MS;
            self.adapt();
            let keep = self.now - self.purge_life();
            self.purged.retain(|_, at| *at >= keep);
            let since = self.now - self.set.cold_edge.span.max(self.set.cold_parent.span);
            self.servers.values_mut().for_each(|s| s.sent.forget(since));
        }
        let now = self.now;
        self.each(|o| now >= o.end, acts, Self::give_up);
        // Where nothing is sent nothing is heard, so a cut wears off by itself.
        self.servers.values_mut().for_each(|s| s.cut *= (-SWEEP_MS / CUT_TAU_MS).exp());
        for role in [Role::Edge, Role::Parent] {
            let moved = |i: &usize| (self.servers[*i].cut - self.servers[*i].stands).abs() > CUT_GRAIN;
            if self.up[role as usize].iter().any(moved) {
                self.place(role);
            }
        }
        self.find_slow();
        self.find_silent(acts);
    }

    /// Does something for each open request of a kind.
    fn each(&mut self, kind: impl Fn(&Open) -> bool, acts: &mut Vec<Action>, what: Step) {
        let of_kind = self.open.values().filter(|o| !o.done && kind(o));
        for id in of_kind.map(|o| o.req.id.clone()).collect::<Vec<_>>() {
            if let Some(at) = self.open.get_index_of(&id) {
                what(self, at, acts);
            }
        }
    }

    /// How long an attempt for a request takes at the outside, as delays go.
    fn overdue_after(&self, open: &Open) -> Ms {
        let (mean, deviation) = self.delay[open.class];
        let usual =
            mean.after(OVERDUE_SAMPLES).map(|m| m + OVERDUE_DEVIATIONS * deviation.get().unwrap_or(m));
        usual.unwrap_or(self.set.classes[open.class].deadline) + self.own_time(&open.req).unwrap_or(0.0)
    }

    /// What is out for long tells of its cache before it is over, each time that it has doubled.
    fn find_slow(&mut self) {
        let mut told = Vec::new();
        for (at, open) in self.open.values().enumerate().filter(|(_, o)| !o.done) {
            for (n, t) in open.tries.iter().enumerate().filter(|(_, t)| !t.over) {
                let slow = self.slowness(open, self.now - t.sent);
                if self.servers[t.server].entry.role == Role::Edge && slow > t.slow + 2f64.ln() {
                    told.push((at, n, slow));
                }
            }
        }
        for (at, n, slow) in told {
            let t = &mut self.open[at].tries[n];
            t.slow = slow;
            let (server, source) = (t.server, t.source);
            self.find_lag(server, source, slow);
        }
    }

    /// What is late is held against the cache or its source, whichever lags more.
    fn find_lag(&mut self, server: usize, source: Option<usize>, slow: f64) {
        let source = source.filter(|i| self.excess(*i) > self.excess(server));
        self.resize(source.unwrap_or(server), slow, false);
    }

    /// An overdue attempt is held, once in each such time, against the cache if that has answered nothing
    /// since, else against its source if that has not; so many in a row are silence, and what waits there is
    /// moved. A single one may be an answer that was lost. Harms where a pause passes for silence.
    fn find_silent(&mut self, acts: &mut Vec<Action>) {
        let mut overdue = Vec::new();
        for open in self.open.values().filter(|o| !o.done) {
            let after = self.overdue_after(open);
            let late = open.tries.iter().enumerate().filter(|(_, t)| !t.over);
            let late = late.filter(|(_, t)| self.now - t.sent > after * f64::from(t.overdue + 1));
            overdue.extend(late.map(|(n, _)| (open.req.id.clone(), n)));
        }
        for (id, n) in overdue {
            let Some(at) = self.open.get_index_of(&id) else { continue };
            let t = &mut self.open[at].tries[n];
            t.overdue += 1;
            let mute = |i: &usize| self.servers[*i].answered <= t.sent;
            let (evidence, at_fault) = match t.source {
                _ if mute(&t.server) => (SILENT_SHARE, Some(t.server)),
                Some(source) if mute(&source) => (t.fill, Some(source)),
                _ => (0.0, None),
            };
            t.fault = at_fault;
            let Some(i) = at_fault else { continue };
            self.servers[i].mute += evidence;
            let s = &self.servers[i];
            let well = |p: &usize| *p != i && self.servers[*p].health == Health::Good;
            let alone = s.entry.role != Role::Edge && !self.up[s.entry.role as usize].iter().any(well);
            let sure = s.mute >= 1.0 || matches!(s.health, Health::Trial(_));
            let enough = sure && !alone && !matches!(s.health, Health::Out(_));
            if enough && self.now - s.answered >= SILENT_LEAST_MS {
                self.take_out(i, true, "silent", acts);
                self.move_off(i, acts);
            }
        }
    }

    /// Calls off what waits on a server; the request's next attempt passes it over.
    fn move_off(&mut self, silent: usize, acts: &mut Vec<Action>) {
        let waits_on = |t: &Try| !t.over && (t.server == silent || t.source == Some(silent));
        let safe: Vec<bool> = self.set.classes.iter().map(|c| c.effect == Effect::Safe).collect();
        for t in self.open.values_mut().flat_map(|o| &mut o.tries).filter(|t| waits_on(t)) {
            t.fault = Some(silent);
        }
        self.each(|o| safe[o.class] && o.tries.iter().any(waits_on), acts, Self::cancel_all);
    }

    // ---- Final answers ----

    /// Gives a request up, at once: a refusal where trying again is harmless, else a failure.
    fn give_up(&mut self, at: usize, acts: &mut Vec<Action>) {
        let open = &self.open[at];
        let class = &self.set.classes[open.class];
        let untouched = open.may_have_run.is_none() && open.out() == 0;
        let refuse = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => untouched || class.key_scope == KeyScope::All,
            Effect::Unsafe => untouched,
        };
        let id = open.req.id.clone();
        if !open.done {
            // So long that the client's next try may still be in time.
            let hold_off = (HOLD_OFF_OF_AIM * class.aim).min(self.set.max_retry_after);
            let hold_off = if self.set.retry_after { hold_off } else { 0.0 };
            acts.push(if refuse { Action::Refuse(id, hold_off) } else { Action::Fail(id) });
        }
        self.finish(at, acts);
    }

    /// The request has its answer: calls off what is still out and forgets it once all is over.
    fn finish(&mut self, at: usize, acts: &mut Vec<Action>) {
        self.open[at].done = true;
        self.cancel_all(at, acts);
        self.forget(at);
    }

    fn cancel_all(&mut self, at: usize, acts: &mut Vec<Action>) {
        let open = &self.open[at];
        for (n, _) in open.tries.iter().enumerate().filter(|(_, t)| self.set.cancel && !t.over) {
            acts.push(Action::Cancel(open.req.id.clone(), AttemptNo(n)));
        }
    }

    fn forget(&mut self, at: usize) {
        if self.open[at].done && self.open[at].out() == 0 {
            self.open.swap_remove_index(at);
        }
    }
}
