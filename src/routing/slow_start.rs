//! Slow start: how much more a server that has just started may be sent.
//!
//! What a server may still get is bounded by all that can have arrived there within the window, whoever it is
//! taken for. A start that is only inferred lowers what it may get and never raises it.

use super::Router;
use crate::api::*;
use crate::hash::{mix, unit};
use crate::state::{Server, Try};

/// Share of a cold server's budget, by its listed size, that all routers use; less where sizes are rough.
const BUDGET_SHARE: f64 = 1.0;
const BUDGET_SHARE_ROUGH: f64 = 0.8;
/// Requests that all routers' shares for a window must cover before one may send more than its own.
const AMPLE_REQUESTS: f64 = 4.0;
/// A send that was on its way for less than this share of the window arrived as it was written.
const ARRIVAL_TOLERANCE: f64 = 0.1;

/// What slow start allows a server at its age.
struct Allowance {
    /// Sending time a millisecond, of this router and of all.
    rate: f64,
    rate_of_all: f64,
    age: Ms,
}

impl Router {
    /// What slow start allows a server; `None` for one that is warm, or the origin.
    fn allowance(&self, s: &Server) -> Option<Allowance> {
        let age = self.age_if_cold(s).filter(|_| s.entry.role != Role::Origin)?;
        let rule = self.set.slow_start(s.entry.role);
        // Listed sizes are in answers at full pace.
        let part = if self.set.approximate_weights { BUDGET_SHARE_ROUGH } else { BUDGET_SHARE };
        let share = rule.share + (1.0 - rule.share) * ((age - rule.window) / rule.span).clamp(0.0, 1.0);
        let rate_of_all = rule.multiple * share * part * s.entry.weight;
        Some(Allowance { rate: rate_of_all / s.gate.routers, rate_of_all, age })
    }

    /// True if a server may get this much more now. Only one that started lately has a budget: its share
    /// of what its listed size allows (all routers reckon alike, so their shares add up).
    pub(super) fn has_room(&self, i: usize, weight: f64) -> bool {
        let s = &self.servers[i];
        let Some(allowed) = self.allowance(s) else { return true };
        let (window, rate) = (self.set.slow_start(s.entry.role).window, allowed.rate);
        let budget = rate * window;
        // This router's former process may have sent all of a window, unless the server started since.
        let born = self.born.unwrap_or(self.now);
        let life = (self.now - born).min(allowed.age);
        let alone = s.account_from.is_some_and(|start| start >= born) || self.now - born >= window;
        // Before any answer nothing tells what work takes, and an aim may be far less: one a window.
        let longest = self.longest_work();
        let weight = if longest > 0.0 { weight } else { weight.max(budget) };
        let from = s.account_from.unwrap_or(f64::NEG_INFINITY);
        let sent = |span: Ms| s.sent.since((self.now - span).max(from)) + weight;
        // With many routers a request may be more than one's share for a window. It goes in turn: in a time
        // in which the share covers it, at a moment of this router's own, if all shares cover it amply.
        let turn = window.max(longest.max(weight) / rate);
        let own = life >= turn * unit(mix(self.seed, s.hash));
        let ample = AMPLE_REQUESTS * weight <= allowed.rate_of_all * window;
        let fits = if weight <= budget { sent(window) <= budget } else { own && ample };
        alone && sent(turn) <= rate * turn && fits
    }

    /// What an attempt of a class weighs in a server's account. A class of which little is known weighs no
    /// less than any other.
    pub(super) fn attempt_weight(&self, class: usize) -> Ms {
        let unknown = || self.longest_work().max(self.mean_time(class));
        self.work[class].upper().unwrap_or_else(unknown)
    }

    /// What a fill for a request weighs in its source's account.
    pub(super) fn fill_weight(&self, req: &Request, class: usize) -> Ms {
        self.own_time(req).unwrap_or(0.0).max(self.attempt_weight(class))
    }

    /// The most that an attempt of a class weighs of which something is known.
    pub(super) fn longest_work(&self) -> Ms {
        self.work.iter().filter_map(|work| work.upper()).fold(0.0, f64::max)
    }

    /// Books an attempt that goes out, by what it weighs at its server and at its source.
    pub(super) fn book(&mut self, at: usize, server: usize, source: Option<usize>, key: u64) {
        let open = &self.open[at];
        let attempt = self.attempt_weight(open.class);
        let fill = self.fill_weight(&open.req, open.class);
        let edge = self.servers[server].entry.role == Role::Edge;
        self.servers[server].sent.book(if edge { attempt } else { fill }, key);
        source.into_iter().for_each(|i| self.servers[i].sent.book(fill, key));
        if !self.writes_told {
            self.written([Some(server), source], key);
        }
    }

    fn written(&mut self, to: [Option<usize>; 2], key: u64) {
        for i in to.into_iter().flatten() {
            self.servers[i].sent.written(self.now, key);
        }
    }

    /// The last byte of an attempt is on the wire.
    pub(super) fn on_written(&mut self, request: &RequestId, attempt: AttemptNo) {
        let found = self.open.get(request).and_then(|open| open.tries.get(attempt.0));
        let Some(Try { server, source, key, .. }) = found else { return };
        let (to, key) = ([Some(*server), *source], *key);
        self.written(to, key);
    }

    /// An attempt is over: what its end proves of arrivals.
    pub(super) fn settle(&mut self, server: usize, source: Option<usize>, key: u64, o: &Outcome) {
        let tolerance = |role: Role| ARRIVAL_TOLERANCE * self.set.slow_start(role).window;
        let (edge, parent) = (tolerance(Role::Edge), tolerance(Role::Parent));
        let now = self.now;
        let s = &mut self.servers[server];
        let tolerance = if s.entry.role == Role::Edge { edge } else { parent };
        if matches!(
            o.result,
            AttemptResult::Served | AttemptResult::Error | AttemptResult::Rejected | AttemptResult::CacheMiss
        ) {
            s.sent.answered(now, key, tolerance);
        } else {
            s.sent.settle(now, key, tolerance);
        }
        let Some(i) = source else { return };
        // What was held, or filled by another request, took nothing from the source; an old copy is renewed
        // from it behind the answer.
        if o.result == AttemptResult::Served && matches!(o.fill_report, FillReport::Hit | FillReport::Joined)
        {
            self.servers[i].sent.take_back(key);
        } else {
            self.servers[i].sent.settle(now, key, parent);
        }
    }
}
