//! The routing decisions: cache, fill source, rank, retry, rejection. The interface (settings, events,
//! actions, ids) is `src/api.rs`.
//!
//! The ordinary path is the mechanism of docs/design.md, from D3N: an edge cache by rendezvous hash of the
//! object, a parent by hash over all listed parents, all copies cached, ranked by two shadow lists and a
//! bounded search.
//!
//! A request passes through these files in order: it is admitted (`load_shedding`) and ranked (`ranking`); a
//! cache and a source are selected (`selection`) among servers that are listed (`endpoints`, `fill_sources`),
//! healthy (`outlier_ejection`) and have capacity (`concurrency_limit`, `slow_start`); an attempt is started
//! (`attempts`) with a limit on the copy's age (`freshness`); after its outcome (`feedback`,
//! `weight_penalty`, `statistics`) the request is complete (`request`), retried (`retry`), or rejected or
//! failed (`load_shedding`).

mod attempts;
mod concurrency_limit;
mod endpoints;
mod feedback;
mod fill_sources;
mod freshness;
mod load_shedding;
mod outlier_ejection;
mod ranking;
mod request;
pub mod retry;
mod selection;
pub mod shadow_list;
mod slow_start;
pub mod snapshot;
mod statistics;
mod weight_penalty;

pub use freshness::PurgeTarget;
pub use load_shedding::ANSWER_MARGIN_MS;
pub use ranking::{best_split, PERIOD_MS, SHADOW_ENTRIES, SPLIT_STEP};

use crate::api::*;
use concurrency_limit::ConcurrencyLimit;
use endpoints::Endpoints;
use fill_sources::FillSources;
use freshness::Purges;
use ranking::ReuseTracking;
use request::{PendingRequest, PendingRequests, RequestIndex};
use slow_start::SendKey;
use statistics::Statistics;

/// Milliseconds between two sweeps over pending requests and servers: the resolution of deadlines, penalties
/// and the detection of silent servers.
pub const SWEEP_MS: Ms = 20.0;
/// Token of the timer that triggers sweeps.
const SWEEP_TOKEN: u64 = 1;
/// Log lines in the lifetime of a router, so that no fault fills the log; further lines are dropped.
const MAX_LOG_LINES: usize = 120;

/// An operation on a pending request.
type RequestOperation = fn(&mut Router, RequestIndex, &mut Vec<Action>);

/// One router: decides for its own requests, by its own events only.
pub struct Router {
    settings: Settings,
    /// Sets this router's slow-start offsets apart from those of other routers.
    seed: u64,
    /// Time of the current event.
    now: Ms,
    first_event_at: Option<Ms>,
    /// When the split is next adapted, and purges and sends expire.
    next_period_at: Ms,
    endpoints: Endpoints,
    fill_sources: FillSources,
    requests: PendingRequests,
    statistics: Statistics,
    reuse: ReuseTracking,
    purges: Purges,
    /// Limit on fills over the zone's link.
    zone_link: ConcurrencyLimit,
    last_send_key: SendKey,
    /// Whether the caller sends [`Event::RequestWritten`].
    expects_write_events: bool,
    log_lines: usize,
}

impl Router {
    /// A router without any observations. The seed sets its slow-start offsets apart from those of other
    /// routers, so that each router needs another seed.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            seed,
            now: 0.0,
            first_event_at: None,
            next_period_at: 0.0,
            endpoints: Endpoints::default(),
            fill_sources: FillSources::default(),
            requests: PendingRequests::default(),
            statistics: Statistics::new(&settings),
            reuse: ReuseTracking::new(),
            purges: Purges::default(),
            zone_link: ConcurrencyLimit::new(0.0, settings.zone_routers),
            last_send_key: SendKey::default(),
            expects_write_events: false,
            log_lines: 0,
            settings,
        }
    }

    /// Expects an [`Event::RequestWritten`] for each attempt from now on. Without this, attempts count as
    /// written when they are decided.
    pub fn expect_write_events(&mut self) {
        self.expects_write_events = true;
    }

    /// Handles an event and appends the resulting actions. `now` is in milliseconds and never decreases.
    pub fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        if self.first_event_at.is_none() {
            self.start(actions);
        }
        match event {
            Event::Endpoints { update, entries } => self.on_endpoints(update, entries, actions),
            Event::Request(request) => self.on_request(request, actions),
            Event::ResponseStarted { request, .. } => {
                if let Some(pending) = self.requests.get_mut(&request) {
                    pending.answered = true;
                }
            }
            Event::RequestWritten { request, attempt } => self.on_request_written(&request, attempt),
            Event::Outcome(outcome) => self.on_outcome(&outcome, actions),
            Event::ClientDisconnected(id) => {
                if let Some(index) = self.requests.index_of(&id) {
                    self.complete(index, actions);
                }
            }
            Event::Timer(SWEEP_TOKEN) => {
                self.sweep(actions);
                actions.push(Action::Timer { delay: SWEEP_MS, token: SWEEP_TOKEN });
            }
            Event::Timer(_) => {}
            Event::FillPlan(plan) => self.on_fill_plan(plan),
            Event::Purged { group, object, age } => self.on_purged(group, object, age),
            Event::ClockCorrected { shift } => self.on_clock_corrected(shift.max(0.0)),
        }
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.first_event_at = Some(self.now);
        self.next_period_at = self.now + PERIOD_MS;
        actions.push(Action::Timer { delay: SWEEP_MS, token: SWEEP_TOKEN });
        if self.settings.must_watch_endpoints {
            actions.push(Action::WatchEndpoints);
        }
    }

    /// Admits a request and starts its first attempt, or rejects it.
    fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        if self.requests.contains(&request.id) {
            return;
        }
        let Some(class) = self.admitted_class(&request) else {
            // Nothing was sent, so a new request is safe whatever the class.
            actions.push(Action::Reject { request: request.id, retry_after: 0.0 });
            return;
        };
        let rank = self.rank(&request, class);
        let deadline = self.now + request.budget - self.answer_margin();
        let index = self.requests.insert(PendingRequest::new(request, class, deadline, rank));
        self.dispatch(index, actions);
    }

    /// Runs every `SWEEP_MS`: answers expired requests, decays penalties, ejects silent servers; and every
    /// `PERIOD_MS` adapts the split and expires purges and sends.
    fn sweep(&mut self, actions: &mut Vec<Action>) {
        if self.now >= self.next_period_at {
            self.next_period_at = self.now + PERIOD_MS;
            self.reuse.adapt();
            self.expire_state();
        }
        let now = self.now;
        let expired = self.requests.unanswered_ids(|pending| now >= pending.deadline);
        self.for_each_request(expired, actions, Self::reject_or_fail);
        self.update_costs();
        self.decay_penalties();
        self.penalize_slow_attempts();
        self.eject_silent_servers(actions);
    }

    /// Removes purges and sends that no longer affect a decision.
    fn expire_state(&mut self) {
        self.purges.expire(self.now - self.purge_lifetime());
        let longest_warmup =
            self.settings.edge_slow_start.ramp_duration.max(self.settings.parent_slow_start.ramp_duration);
        let before = self.now - longest_warmup;
        self.endpoints.iter_mut().for_each(|server| server.ledger.expire(before));
    }

    /// Applies an operation to those of the given requests that are still pending.
    fn for_each_request(
        &mut self,
        ids: Vec<RequestId>,
        actions: &mut Vec<Action>,
        operation: RequestOperation,
    ) {
        for id in ids {
            if let Some(index) = self.requests.index_of(&id) {
                operation(self, index, actions);
            }
        }
    }

    /// Writes a line for the operators, unless the router has written too many.
    fn log(&mut self, actions: &mut Vec<Action>, text: String) {
        if self.log_lines < MAX_LOG_LINES {
            self.log_lines += 1;
            actions.push(Action::Log(text));
        }
    }
}
