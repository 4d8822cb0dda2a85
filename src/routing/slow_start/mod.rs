//! Slow start: the cost that a server that is warming up may still be sent.
//!
//! Inputs: the settings' slow-start policy by role (initial share, ramp and window in milliseconds, overload
//! multiple), the server's process start, and its ledger of recent sends, whose costs are sending times in
//! milliseconds. All that can have arrived at a server within a window stays within this router's share of
//! the budget; all routers compute alike, so that their shares add up to the budget. A restart that is only
//! inferred lowers the budget and never raises it, since sends to the former process may still arrive at the
//! new one.

mod cost_estimate;
mod send_ledger;

pub(super) use cost_estimate::CostEstimate;
pub(super) use send_ledger::{SendKey, SendLedger};

use super::endpoints::{Server, ServerIndex};
use super::request::{FinishedAttempt, RequestIndex, Route};
use super::Router;
use crate::api::*;
use crate::hash::{mix, unit_interval};

/// Share of a warming server's budget that all routers use together.
const BUDGET_SHARE: f64 = 1.0;
/// The smaller share where listed weights are approximate.
const APPROXIMATE_BUDGET_SHARE: f64 = 0.8;
/// Requests that all routers' shares for a window must cover before one router may exceed its own share.
const MIN_REQUESTS_PER_WINDOW: f64 = 4.0;
/// A send that was on its way for less than this share of the window counts as arrived when it was written.
const ARRIVAL_TOLERANCE_SHARE: f64 = 0.1;

/// When the process of a server started.
#[derive(Clone, Copy)]
pub(super) struct Warmup {
    /// When the process started or presumably restarted; `None` if long ago.
    started: Option<Ms>,
    /// The listed start; earlier sends arrived at another process. `None` if the list has no start, or one
    /// that seemed to be in the future.
    listed_start: Option<Ms>,
}

impl Warmup {
    /// The warm-up of a server that was just listed with a process start.
    pub fn new(listed: Option<Ms>, now: Ms) -> Self {
        // A start in the future comes from a clock that is ahead of this one. With it as the start of the
        // process, sends until then would not count.
        Self { started: listed.map(|at| at.min(now)), listed_start: listed.filter(|at| *at <= now) }
    }

    /// Records that the list shows a new process. A later start that was inferred remains.
    pub fn process_started(&mut self, listed: Option<Ms>, now: Ms) {
        let process = Self::new(listed, now);
        self.started = process.started.into_iter().chain(self.started).reduce(f64::max);
        self.listed_start = process.listed_start;
    }

    /// Records that the server may have restarted just now.
    pub fn infer_restart(&mut self, now: Ms) {
        self.started = Some(now);
    }

    /// When the process started or presumably restarted.
    pub fn started(&self) -> Option<Ms> {
        self.started
    }

    /// Takes over the start of a snapshot, if it is later.
    pub fn restore(&mut self, started: Option<Ms>) {
        self.started = started.into_iter().chain(self.started).reduce(f64::max);
    }

    /// Moves listed starts into the past, in milliseconds.
    pub fn shift_listed(&mut self, listed: Option<Ms>, by: Ms) {
        if self.started == listed {
            self.started = self.started.map(|at| at - by);
        }
        self.listed_start = self.listed_start.map(|at| at - by);
    }
}

/// What slow start allows a server at its age.
struct Allowance {
    /// Cost per millisecond that this router may send.
    rate: f64,
    /// Cost per millisecond that all routers may send.
    total_rate: f64,
    /// Milliseconds since the server's start.
    age: Ms,
}

impl Router {
    /// How long ago a server started, in milliseconds; `None` if it is warm.
    fn warmup_age(&self, server: &Server) -> Option<Ms> {
        let policy = self.settings.slow_start(server.entry.role);
        // Without a multiple or a window nothing overloads a warming server.
        let has_budget = policy.overload_factor * policy.overload_window > 0.0;
        let ramp_duration = if has_budget { policy.ramp_duration } else { 0.0 };
        server.warmup.started.map(|at| self.now - at).filter(|age| *age < ramp_duration)
    }

    /// Whether a server is usable and warm.
    pub(super) fn is_warm(&self, server: ServerIndex) -> bool {
        self.is_usable(server) && self.warmup_age(&self.endpoints[server]).is_none()
    }

    /// What slow start allows a server; `None` for one that is warm, and for the origin.
    fn allowance(&self, server: &Server) -> Option<Allowance> {
        let age = self.warmup_age(server).filter(|_| server.entry.role != Role::Origin)?;
        let policy = self.settings.slow_start(server.entry.role);
        // Listed weights are in responses at full rate.
        let approximate = self.settings.approximate_weights;
        let budget_share = if approximate { APPROXIMATE_BUDGET_SHARE } else { BUDGET_SHARE };
        // The capacity at the start of the window counts, since sends within the window must fit what the
        // server could take then. At the end of the ramp there is no limit any more.
        let ramp_progress = ((age - policy.overload_window) / policy.ramp_duration).clamp(0.0, 1.0);
        let share = policy.initial_share + (1.0 - policy.initial_share) * ramp_progress;
        let total_rate = policy.overload_factor * share * budget_share * server.entry.weight;
        Some(Allowance { rate: total_rate / server.limit.senders(), total_rate, age })
    }

    /// Whether slow start allows a server a send of this cost now.
    pub(super) fn has_slow_start_capacity(&self, index: ServerIndex, cost: Ms) -> bool {
        let server = &self.endpoints[index];
        let Some(allowance) = self.allowance(server) else { return true };
        let window = self.settings.slow_start(server.entry.role).overload_window;
        let rate = allowance.rate;
        let budget = rate * window;
        // Before the first response no cost is known, and the class's latency objective may be far less than
        // the cost: one request per window.
        let highest_cost = self.statistics.highest_cost();
        let cost = if highest_cost > 0.0 { cost } else { cost.max(budget) };
        let process_start = server.warmup.listed_start.unwrap_or(f64::NEG_INFINITY);
        let cost_within = |span: Ms| server.ledger.cost_since((self.now - span).max(process_start)) + cost;
        // With many routers one request may cost more than a router's share of a window. The share then
        // accumulates over an interval that covers the request; the routers' first intervals start at offsets
        // that are spread by their seeds.
        let interval = window.max(highest_cost.max(cost) / rate);
        let fits = if cost <= budget {
            cost_within(window) <= budget
        } else {
            let fits_all_routers = MIN_REQUESTS_PER_WINDOW * cost <= allowance.total_rate * window;
            self.offset_has_passed(server, allowance.age, interval) && fits_all_routers
        };
        self.previous_process_sends_expired(server, window)
            && cost_within(interval) <= rate * interval
            && fits
    }

    /// Whether sends of this router's former process can no longer arrive within the window: the server
    /// started after this process did, or a window has passed since.
    fn previous_process_sends_expired(&self, server: &Server, window: Ms) -> bool {
        let first_event_at = self.first_event_at.unwrap_or(self.now);
        server.warmup.listed_start.is_some_and(|start| start >= first_event_at)
            || self.now - first_event_at >= window
    }

    /// Whether this router's offset within its first interval at a server has passed. The offsets of all
    /// routers are spread by their seeds.
    fn offset_has_passed(&self, server: &Server, age: Ms, interval: Ms) -> bool {
        let first_event_at = self.first_event_at.unwrap_or(self.now);
        let observed = (self.now - first_event_at).min(age);
        observed >= interval * unit_interval(mix(self.seed, server.hash))
    }

    /// Books an attempt in the ledgers of its server and its source.
    pub(super) fn book_send(&mut self, request: RequestIndex, route: &Route, key: SendKey) {
        let pending = &self.requests[request];
        let attempt_cost = self.statistics.attempt_cost(pending.class);
        let fill_cost = self.statistics.fill_cost(&pending.request, pending.class);
        let cost = if self.endpoints.is_edge(route.server) { attempt_cost } else { fill_cost };
        self.endpoints[route.server].ledger.book(cost, key);
        if let Some(source) = route.source {
            self.endpoints[source].ledger.book(fill_cost, key);
        }
        if !self.expects_write_events {
            self.record_written(*route, key);
        }
    }

    fn record_written(&mut self, route: Route, key: SendKey) {
        for index in route.servers() {
            self.endpoints[index].ledger.record_written(self.now, key);
        }
    }

    /// Records that the last byte of an attempt was written to its connection.
    pub(super) fn on_request_written(&mut self, request: &RequestId, number: AttemptNo) {
        let pending = self.requests.get(request);
        let Some(attempt) = pending.and_then(|pending| pending.attempts.get(number.0)) else { return };
        self.record_written(attempt.route, attempt.send_key);
    }

    /// Records what the end of an attempt proves about its arrival at the server and at the source.
    pub(super) fn record_arrival(&mut self, attempt: &FinishedAttempt, outcome: &Outcome) {
        let tolerance = |role: Role| ARRIVAL_TOLERANCE_SHARE * self.settings.slow_start(role).overload_window;
        let (edge_tolerance, parent_tolerance) = (tolerance(Role::Edge), tolerance(Role::Parent));
        let (now, key) = (self.now, attempt.send_key);
        let is_edge = self.endpoints.is_edge(attempt.route.server);
        let tolerance = if is_edge { edge_tolerance } else { parent_tolerance };
        let ledger = &mut self.endpoints[attempt.route.server].ledger;
        match outcome.result {
            AttemptResult::Served
            | AttemptResult::Error
            | AttemptResult::Rejected
            | AttemptResult::CacheMiss => ledger.record_response(now, key, tolerance),
            AttemptResult::TimedOut
            | AttemptResult::NoConnection
            | AttemptResult::ConnectionLost
            | AttemptResult::Cancelled
            | AttemptResult::NotSent => ledger.record_end(now, key, tolerance),
        }
        let Some(source) = attempt.route.source else { return };
        let ledger = &mut self.endpoints[source].ledger;
        // A hit or a joined fill took nothing from the source; a stale copy is revalidated there afterwards.
        let unused = matches!(outcome.fill_report, FillReport::Hit | FillReport::Joined);
        if outcome.result == AttemptResult::Served && unused {
            ledger.cancel(key);
        } else {
            ledger.record_end(now, key, parent_tolerance);
        }
    }
}
