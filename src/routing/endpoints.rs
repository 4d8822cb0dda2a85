//! What is known of the servers: the list, their order by hash, and how well each keeps up with its size.

use super::{Router, GATE_LEVEL_MS, SWEEP_MS};
use crate::api::*;
use crate::hash::address;
use crate::snapshot::Snapshot;
use crate::state::{place, Gate, Health, Open, Planned, Server};
use crate::window::{sorted, Average};
use crate::work::WorkEstimate;
use basaltgw_structures::Candidates;
use std::rc::Rc;
use std::sync::Arc;

/// Weight of an answer in a server's lag; what one moves the cut of its size by, beyond this lag over what
/// is usual for its role; the least share left of its size; and the change that moves objects.
const LAG_SHARE: f64 = 0.2;
const CUT_STEP: f64 = 0.3;
const CUT_SLACK: f64 = 0.25;
const CUT_MOST: f64 = 0.05;
const CUT_GRAIN: f64 = 0.1;
/// Within this time a cut wears off.
const CUT_TAU_MS: Ms = 20_000.0;
/// An object not known yet is taken to need this share of its class's mean: most are smaller.
const NEW_OF_MEAN: f64 = 0.6;

impl Router {
    /// Takes in what the list says. The state of servers that it no longer names stays while it is needed.
    pub(super) fn on_list(&mut self, mode: EndpointUpdate, entries: Vec<Endpoint>, acts: &mut Vec<Action>) {
        if mode == EndpointUpdate::Failed {
            if self.set.must_watch_endpoints {
                acts.push(Action::WatchEndpoints);
            }
            return;
        }
        if mode == EndpointUpdate::Complete {
            self.servers.values_mut().for_each(|s| s.entry.state = EndpointState::Removed);
        }
        for mut entry in entries {
            // Weights that follow the load would move every object's home with each list.
            let steady = !self.set.dynamic_weights && entry.weight > 0.0;
            entry.weight = if steady { entry.weight } else { 1.0 };
            let routers = if entry.role == Role::Edge { self.set.zone_routers } else { self.set.routers };
            let gate = Gate::new(self.now, GATE_LEVEL_MS, routers);
            let new = || Server::new(entry.clone(), address(&entry.id.0), self.now, gate);
            let held = |i| self.open.values().flat_map(|o| &o.tries).any(|t| t.names(i));
            let server = place(&mut self.servers, &entry.id, new, held);
            if entry.started > server.entry.started {
                // A new process, cold by now at the latest: what was held against the old one is void. It may
                // have started again since; what was inferred of that stays.
                let told = entry.started.map(|t| t.min(self.now));
                server.started = told.into_iter().chain(server.started).reduce(f64::max);
                server.account_from = entry.started.filter(|at| *at <= self.now);
                (server.health, server.strikes, server.refused) = (Health::Good, 0, 0.0);
                server.vanished = false;
                (server.lag, server.cut) = (Average::default(), 0.0);
                (server.answered, server.mute) = (self.now, 0.0);
            }
            // A list that is late, or says nothing of the start, does not make the process an older one.
            let started = entry.started.into_iter().chain(server.entry.started).reduce(f64::max);
            server.entry = Endpoint { started, ..entry };
        }
        for role in [Role::Edge, Role::Parent, Role::Origin] {
            let near = |s: &Server| role != Role::Edge || s.entry.zone == self.set.zone;
            let fits = |s: &Server| s.entry.role == role && s.entry.state == EndpointState::Up && near(s);
            let all = self.servers.values().enumerate().filter(|(_, s)| fits(s));
            self.up[role as usize] = all.map(|(i, _)| i).collect();
            self.place(role);
        }
        self.plan_sources();
    }

    /// Puts the servers of a role in hash order, by what is now held to be their size.
    pub(super) fn place(&mut self, role: Role) {
        let up = &self.up[role as usize];
        up.iter().for_each(|i| self.servers[*i].stands = self.servers[*i].cut);
        let one = |i: &usize| (*i, self.servers[*i].hash, self.servers[*i].size());
        self.order[role as usize] = Candidates::new(up.iter().map(one));
    }

    /// What the plan comes to for the edge caches that are up; those with the same sources share it.
    pub(super) fn plan_sources(&mut self) {
        self.planned.clear();
        let Some(table) = &self.table else { return };
        let mut same: Vec<(*const Vec<SourceShare>, bool, Rc<Planned>)> = Vec::new();
        for edge in &self.up[Role::Edge as usize] {
            let id = &self.servers[*edge].entry.id;
            let Some(of) = table.sources.get(id) else { continue };
            let (at, origin) = (Arc::as_ptr(of), table.origin_allowed.contains(id));
            let made = same.iter().find(|s| (s.0, s.1) == (at, origin)).map(|s| Rc::clone(&s.2));
            let planned = made.unwrap_or_else(|| {
                let up = |s: &&SourceShare| {
                    self.servers.get(&s.id).is_some_and(|s| s.entry.state == EndpointState::Up)
                };
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

    /// Healthy, or due for a trial with nothing out; the list has it up if it is in hash order.
    pub(super) fn usable(&self, i: usize) -> bool {
        let s = &self.servers[i];
        match s.health {
            Health::Good => true,
            Health::Out(until) => self.now >= until && s.out == 0,
            Health::Trial(_) => s.out == 0,
        }
    }

    /// Moves purges and listed starts into the past. A start that was inferred here was seen by this router's
    /// own clock and stays.
    pub(super) fn age_by(&mut self, more: Ms) {
        self.purged.values_mut().for_each(|at| *at -= more);
        for s in self.servers.values_mut() {
            if s.started == s.entry.started {
                s.started = s.started.map(|t| t - more);
            }
            s.entry.started = s.entry.started.map(|t| t - more);
            s.account_from = s.account_from.map(|t| t - more);
        }
    }

    /// How long ago a server started that may still be cold.
    pub(super) fn age_if_cold(&self, s: &Server) -> Option<Ms> {
        let rule = self.set.slow_start(s.entry.role);
        // Without a multiple or a window nothing brings one down.
        let span = if rule.multiple * rule.window > 0.0 { rule.span } else { 0.0 };
        s.started.map(|t| self.now - t).filter(|age| *age < span)
    }

    /// Usable, and not cold.
    pub(super) fn warm(&self, i: &usize) -> bool {
        self.usable(*i) && self.age_if_cold(&self.servers[*i]).is_none()
    }

    pub(super) fn origin(&self) -> Option<usize> {
        self.up[Role::Origin as usize].first().copied()
    }

    /// The logarithm of how slow it is that a request takes so long, by its class where it is not known yet.
    pub(super) fn slowness(&self, open: &Open, took: Ms) -> f64 {
        let own = self.own_time(&open.req).unwrap_or(self.mean_time(open.class) * NEW_OF_MEAN);
        (took.max(1.0) / own.max(1.0)).ln()
    }

    /// What a server of a role usually lags by: the middle cache; of sources, which are few, the quickest.
    pub(super) fn usual_lag(&self, role: Role) -> Option<f64> {
        let all = &self.up[role as usize];
        let lags = sorted(all.iter().filter_map(|i| self.servers[*i].lag.get()));
        lags.get(if role == Role::Edge { lags.len().saturating_sub(1) / 2 } else { 0 }).copied()
    }

    /// By how much a server lags behind what is usual for its role.
    pub(super) fn excess(&self, i: usize) -> f64 {
        let s = &self.servers[i];
        s.lag.get().zip(self.usual_lag(s.entry.role)).map_or(0.0, |(lag, usual)| (lag - usual).max(0.0))
    }

    /// Holds how slow an answer was against the size that the list gives a server.
    pub(super) fn resize(&mut self, i: usize, slow: f64, served: bool) {
        let role = self.servers[i].entry.role;
        // Where nothing is usual yet, one without any answer moves the cut by a step, and not to no number.
        let usual = self.usual_lag(role).unwrap_or(slow).min(f64::MAX);
        let s = &mut self.servers[i];
        if served {
            s.lag.add(slow, LAG_SHARE);
        }
        s.cut = (s.cut + CUT_STEP * (usual + CUT_SLACK - slow).clamp(-1.0, 1.0)).clamp(CUT_MOST.ln(), 0.0);
    }

    /// What is out for long tells of its cache before it is over, each time that it has doubled.
    pub(super) fn find_slow(&mut self) {
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
    pub(super) fn find_lag(&mut self, server: usize, source: Option<usize>, slow: f64) {
        let source = source.filter(|i| self.excess(*i) > self.excess(server));
        self.resize(source.unwrap_or(server), slow, false);
    }

    /// Where nothing is sent nothing is heard, so a cut wears off by itself; what has moved far is put in its
    /// place in the order.
    pub(super) fn wear_off(&mut self) {
        self.servers.values_mut().for_each(|s| s.cut *= (-SWEEP_MS / CUT_TAU_MS).exp());
        for role in [Role::Edge, Role::Parent] {
            let moved = |i: &usize| (self.servers[*i].cut - self.servers[*i].stands).abs() > CUT_GRAIN;
            if self.up[role as usize].iter().any(moved) {
                self.place(role);
            }
        }
    }

    /// Takes over what another life has learnt; gives how many of its servers are listed here as the same
    /// process. Nothing of it makes a cold server warm or a purge undone.
    pub fn restore(&mut self, now: Ms, learnt: Snapshot) -> usize {
        let mut known = 0;
        for of in learnt.servers {
            let Some(s) = self.servers.get_mut(&of.id).filter(|s| s.entry.started == of.listed_start) else {
                continue;
            };
            known += 1;
            s.cut = of.weight_penalty_log.clamp(CUT_MOST.ln(), 0.0);
            s.lag = of.latency_ratio_log.map_or(s.lag, |lag| Average::of(lag, 1));
            if of.ejected {
                s.health = Health::Out(now);
            }
            s.started = of.warmup_started.into_iter().chain(s.started).reduce(f64::max);
        }
        for (name, mean, answers) in learnt.sending_times {
            let class = self.set.classes.iter().position(|c| c.name == name);
            if let Some(c) = class {
                self.sending[c] = Average::of(mean, answers);
                self.work[c] = WorkEstimate::of(mean, answers);
            }
        }
        for (object, group, at) in learnt.purges {
            let known = self.purged.entry((object, group)).or_insert(at);
            *known = known.max(at);
        }
        [Role::Edge, Role::Parent].into_iter().for_each(|role| self.place(role));
        known
    }
}
