//! Every decision of basaltgw. The interface (settings, events, actions, ids) is `src/api.rs`.
//!
//! The ordinary path is the mechanism of docs/design.md, from D3N: an edge cache by rendezvous hash of
//! the object, a parent by hash over all listed parents, all copies kept, ranked by two shadow lists and
//! a bounded search. All else is an exception and says when it acts.
//!
//! Here is the one way of a request through all of it, each step with the file that decides it: filed and
//! ranked (`ranking`), a target and a source chosen (`selection`) among servers that are known (`endpoints`),
//! healthy (`outlier_ejection`) and have capacity (`concurrency_limit`, `slow_start`), sent (`attempts`), and
//! retried (`retry`) or given up (`load_shedding`).

mod attempts;
mod concurrency_limit;
mod endpoints;
mod load_shedding;
mod outlier_ejection;
mod ranking;
pub mod retry;
mod selection;
mod slow_start;

pub use crate::snapshot;
pub use crate::state::Router;
pub use ranking::{best_split, AVERAGE_SHARE, PERIOD_MS, SHADOW_ENTRIES, SPLIT_STEP};

use crate::api::*;
use crate::state::{Found, Open};
pub(crate) use concurrency_limit::GATE_LEVEL_MS;

/// Milliseconds between two sweeps over what is open: the grain of all guards that act by time.
pub const SWEEP_MS: Ms = 20.0;
/// Milliseconds before the client's time is up by which the final answer is out: at least two ticks, and a
/// sweep that a tick holds up. Who waits no longer than that is refused at once.
pub const ANSWER_MARGIN_MS: Ms = 25.0;
const SWEEP_TOKEN: u64 = 1;
/// Attempts for one request; the site's limit holds too.
const MAX_ATTEMPTS: usize = 5;
/// Lines a router reports in one life.
const REPORT_LINES: usize = 120;

/// What is done to the open request at a place.
type Step = fn(&mut Router, usize, &mut Vec<Action>);

impl Router {
    /// Takes an event in and appends what is to be done.
    pub fn handle(&mut self, now: Ms, event: Event, acts: &mut Vec<Action>) {
        self.now = now;
        if self.born.is_none() {
            self.born = Some(now);
            self.next_period = now + PERIOD_MS;
            acts.push(Action::Timer(SWEEP_MS, SWEEP_TOKEN));
            if self.set.must_watch_endpoints {
                acts.push(Action::WatchEndpoints);
            }
        }
        match event {
            Event::Endpoints(mode, entries) => self.on_list(mode, entries, acts),
            Event::Request(req) => self.on_request(req, acts),
            Event::ResponseStarted(id, _) => {
                self.open.get_mut(&id).into_iter().for_each(|open| open.done = true)
            }
            Event::RequestWritten(id, attempt) => self.on_written(&id, attempt),
            Event::Outcome(outcome) => self.on_outcome(outcome, acts),
            Event::ClientDisconnected(id) => {
                self.open.get_index_of(&id).into_iter().for_each(|at| self.finish(at, acts));
            }
            Event::Timer(SWEEP_TOKEN) => {
                self.sweep(acts);
                acts.push(Action::Timer(SWEEP_MS, SWEEP_TOKEN));
            }
            Event::Timer(_) => {}
            Event::FillPlan(table) => {
                self.table = table;
                self.plan_sources();
            }
            Event::Purged(group, object, age) => {
                let at = now - age.max(0.0);
                let named = (object, Some(group).filter(|_| object.is_none()));
                let known = self.purged.entry(named).or_insert(at);
                *known = known.max(at);
            }
            Event::ClockCorrected(more) => self.age_by(more.max(0.0)),
        }
    }

    fn report(&mut self, acts: &mut Vec<Action>, text: String) {
        if self.lines < REPORT_LINES {
            self.lines += 1;
            acts.push(Action::Log(text));
        }
    }

    /// Takes a request in, if there is time for an attempt.
    fn on_request(&mut self, req: Request, acts: &mut Vec<Action>) {
        if self.open.contains_key(&req.id) {
            return;
        }
        let class = req.class.map(|c| c.0).filter(|c| *c < self.set.classes.len());
        let (Some(class), true) = (class, req.budget > self.margin()) else {
            // Nothing was sent, so a refusal is harmless whatever the class.
            acts.push(Action::Reject(req.id, 0.0));
            return;
        };
        let rank = self.rank(&req, class);
        let end = self.now + req.budget - self.margin();
        let (at, _) = self.open.insert_full(req.id.clone(), Open::new(req, class, end, rank));
        self.dispatch(at, acts);
    }

    fn margin(&self) -> Ms {
        ANSWER_MARGIN_MS.max(2.0 * self.set.tick).max(SWEEP_MS + self.set.tick)
    }

    /// Makes the next attempt, or gives up at once if none can help. Nothing of the request is out then.
    fn dispatch(&mut self, at: usize, acts: &mut Vec<Action>) {
        let open = &self.open[at];
        let left = open.end - self.now;
        let through = self.set.classes[open.class].uncacheable || open.req.write;
        let hopeless = left <= 0.0 || (!through && self.own_time(&open.req).is_some_and(|own| own > left));
        let spent = open.tries.len() >= MAX_ATTEMPTS.min(self.set.max_attempts);
        if hopeless || spent || self.now >= self.harmless_until(open) - self.margin() {
            return self.give_up(at, acts);
        }
        match if through { self.pick_through(at) } else { self.pick_way(at) } {
            (Some(server), source, held_only) => self.send(at, (server, source, held_only), acts),
            (None, ..) => self.give_up(at, acts),
        }
    }

    /// An attempt is over: what it tells is learnt, and the request is answered, sent again or given up.
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
        self.settle(server, source, key, &o);
        self.learn(at, &o);
        let open = &mut self.open[at];
        if !retry::not_executed(o.result) {
            open.may_have_run.get_or_insert(sent);
        }
        if o.result == AttemptResult::CacheMiss && o.fill_report != FillReport::LoopDetected {
            // Where a fill is under way, joining it takes no place on the link.
            open.found = match o.fill_report {
                FillReport::Joined if self.set.fill_joining => Found::FillUnderWay,
                _ if source.is_some() => Found::Beyond,
                _ => Found::Nothing,
            };
        }
        let fault = &mut open.tries[o.attempt.0].fault;
        match o.fill_report {
            // One that refuses a loop is well, and of no use to this request.
            FillReport::SourceFailed | FillReport::LoopDetected => *fault = source,
            FillReport::SourceRejected | FillReport::SourceMiss | FillReport::OriginFailed => *fault = None,
            _ => *fault = fault.filter(|_| o.result != AttemptResult::CacheMiss),
        }
        self.gates(at, server, source, out, &o);
        self.judge(server, source, &o, acts);
        if o.completes_request || o.result == AttemptResult::Served {
            self.finish(at, acts);
        } else if self.open[at].done || self.open[at].out() > 0 {
            self.forget(at);
        } else if matches!(o.fill_report, FillReport::OriginFailed | FillReport::SourceRejected) {
            // Any other source would ask the same origin.
            self.give_up(at, acts);
        } else {
            self.dispatch(at, acts);
        }
    }

    /// What acts by time.
    fn sweep(&mut self, acts: &mut Vec<Action>) {
        if self.now >= self.next_period {
            self.next_period = self.now + PERIOD_MS;
            self.adapt();
            let keep = self.now - self.purge_life();
            self.purged.retain(|_, at| *at >= keep);
            let since = self.now - self.set.edge_slow_start.span.max(self.set.parent_slow_start.span);
            self.servers.values_mut().for_each(|s| s.sent.forget(since));
        }
        let now = self.now;
        self.each(|o| now >= o.end, acts, Self::give_up);
        self.wear_off();
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
}
