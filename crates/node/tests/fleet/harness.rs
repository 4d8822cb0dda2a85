//! The harness of the fleet tests: a rig of routers that replicate leases and outcomes, and requests through them.

use crate::common::{binary, wait_until, WAIT_LIMIT};
use basaltgw_emulator::rig::{
    check_history, ClientConnection, Event, HistoryCounts, Limits, Outcome, RequestNumber, Rig, Spec,
};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The deadline of requests, in milliseconds.
pub const DEADLINE_MS: u64 = 4_000;

/// A rig, and the last request id that it gave out.
pub struct FleetHarness {
    pub rig: Rig,
    last_id: u64,
}

/// Starts a fleet of this many routers with the usual settings.
pub fn start_fleet(routers: usize) -> FleetHarness {
    start_fleet_with(Spec::new(binary(), routers))
}

/// Starts a fleet, and waits until it serves and is bootstrapped.
pub fn start_fleet_with(spec: Spec) -> FleetHarness {
    let rig = Rig::start(spec).expect("the rig starts");
    let harness = FleetHarness { rig, last_id: 0xf1ee7 << 32 };
    (0..harness.rig.len()).for_each(|r| harness.wait_until_serving(r));
    harness.rig.wait_until_bootstrapped(WAIT_LIMIT).expect("the fleet is bootstrapped");
    harness
}

impl FleetHarness {
    /// An unused request id.
    pub fn new_id(&mut self) -> String {
        self.last_id += 1;
        format!("{:016x}", self.last_id)
    }

    /// Waits until a router is serving.
    pub fn wait_until_serving(&self, router: usize) {
        let serves = self.rig.wait_until_serving(router, WAIT_LIMIT);
        assert!(serves, "router {router} does not serve: {}", tail(&self.rig.routers[router].log_text()));
    }

    /// Sets how long the archive takes to execute a checkout.
    pub fn set_checkout_delay_ms(&self, ms: u64) {
        self.rig.archive.checkout_delay_ms.store(ms, Ordering::SeqCst);
    }

    /// Connects a client to a router.
    pub fn connect_client(&self, router: usize) -> ClientConnection {
        self.rig.connect_client(router).expect("the router accepts a connection")
    }

    /// The outcome of a request: `None` if its connection was lost.
    pub fn wait_for_outcome(&self, request: RequestNumber) -> Option<Outcome> {
        self.rig.history.wait_for_outcome(request, WAIT_LIMIT).expect("the request ends")
    }

    /// Presents a checkout to a router; returns its outcome.
    pub fn checkout(&self, router: usize, id: &str) -> Option<Outcome> {
        let client = self.connect_client(router);
        self.wait_for_outcome(client.checkout(id, DEADLINE_MS))
    }

    /// Register changes and leases that a router has counted as unavailable: the reasons of its rejections and unknown outcomes.
    fn unavailable_count(&self, router: usize) -> f64 {
        let counters = self.rig.counters(router);
        let is_unavailable = |name: &str| name.starts_with("holds_unkept_") || name.starts_with("promises_");
        counters.iter().filter(|(name, _)| is_unavailable(name)).map(|(_, n)| n).sum()
    }

    /// Presents a checkout to a router until its outcome is known there. It is unknown only where replicas don't answer in time, as on a
    /// busy machine, and the router counts that.
    pub fn known_outcome(&self, router: usize, id: &str) -> Option<Outcome> {
        let start = std::time::Instant::now();
        loop {
            let before = self.unavailable_count(router);
            let outcome = self.checkout(router, id);
            if !is_outcome_unknown(&outcome) || start.elapsed() > WAIT_LIMIT {
                return outcome;
            }
            wait_until("the router counts why the outcome is unknown", || {
                self.unavailable_count(router) > before
            });
        }
    }

    /// Asserts that a router answers a served checkout with the same bytes, and did not reject it before.
    pub fn assert_outcome(&self, router: usize, id: &str, bytes: &[u8]) {
        let outcome = self.known_outcome(router, id);
        assert_eq!(
            outcome,
            Some(Outcome::Served(bytes.to_vec())),
            "router {router}: {}",
            self.register_counters(router)
        );
    }

    /// The logs of all routers.
    pub fn logs(&self) -> String {
        self.rig.routers.iter().map(|r| r.log_text()).collect::<Vec<_>>().join("\n----\n")
    }

    /// Presents new checkouts to a router until one is served; returns its id and bytes.
    pub fn serve_eventually(&mut self, router: usize) -> (String, Vec<u8>) {
        let start = std::time::Instant::now();
        loop {
            let id = self.new_id();
            match self.checkout(router, &id) {
                Some(Outcome::Served(bytes)) => return (id, bytes),
                outcome => assert!(
                    start.elapsed() < WAIT_LIMIT,
                    "router {router} never serves again: {outcome:?}\n{}",
                    self.logs()
                ),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Presents a checkout to a router, which has to be served, or another one if replicas did not answer in time, which is counted; returns
    /// its id and bytes.
    pub fn serve_checkout(&mut self, router: usize) -> (String, Vec<u8>) {
        let start = std::time::Instant::now();
        loop {
            let (id, before) = (self.new_id(), self.unavailable_count(router));
            match self.checkout(router, &id) {
                Some(Outcome::Served(bytes)) => return (id, bytes),
                outcome => assert!(
                    start.elapsed() < WAIT_LIMIT,
                    "router {router}: {outcome:?}; {}",
                    self.register_counters(router)
                ),
            }
            wait_until("the router counts why it did not serve", || self.unavailable_count(router) > before);
        }
    }

    /// A router's counters of its table and registers.
    pub fn register_counters(&self, router: usize) -> String {
        let counters = self.rig.counters(router);
        let selected = counters
            .iter()
            .filter(|(n, _)| n.starts_with("holds") || n.starts_with("table") || *n == "peers_up");
        selected.map(|(n, v)| format!("{n}={v}")).collect::<Vec<_>>().join(" ")
    }

    /// Presents new checkouts to a router until one is executed; those before it are rejected, as on a machine on which messages are late.
    pub fn start_checkout(&mut self, router: usize) -> (String, ClientConnection, RequestNumber) {
        let start = std::time::Instant::now();
        loop {
            let (id, client) = (self.new_id(), self.connect_client(router));
            let request = client.checkout(&id, DEADLINE_MS);
            let ended = || self.rig.history.wait_for_outcome(request, Duration::ZERO);
            wait_until("the checkout is executed or rejected", || {
                self.rig.archive.executions(&id) == 1 || ended().is_some()
            });
            if self.rig.archive.executions(&id) == 1 {
                return (id, client, request);
            }
            assert!(ended().is_some_and(|e| is_rejected(&e)), "{:?}", ended());
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "router {router} executes no checkout: {}",
                self.register_counters(router)
            );
        }
    }

    /// Waits until a request was executed at the archive.
    pub fn wait_until_executed(&self, id: &str) {
        wait_until("the checkout is executed", || self.rig.archive.executions(id) == 1);
    }

    /// Asserts that the history breaks no rule.
    pub fn assert_history(&self) -> HistoryCounts {
        self.assert_history_within(&Limits::default())
    }

    /// Asserts that the history breaks no rule if purges take effect at once, where each router is known to have received a purge before the
    /// next request.
    pub fn assert_history_with_immediate_purges(&self) -> HistoryCounts {
        self.assert_history_within(&Limits { purge_effect_ms: 0, ..Limits::default() })
    }

    fn assert_history_within(&self, limits: &Limits) -> HistoryCounts {
        let (events, left_out) = self.rig.history.events();
        let (violations, counted) = check_history(&events, left_out, limits);
        assert!(violations.is_empty(), "{violations:#?}");
        counted
    }

    /// Waits until the first purge is so old that ignoring it breaks a rule.
    pub fn wait_until_purge_due(&self) {
        wait_until("the purge has to be in effect", || {
            let (events, _) = self.rig.history.events();
            let purged_at =
                events.iter().find(|e| matches!(e.event, Event::PurgeAnnounced { .. })).map(|e| e.at_ms);
            purged_at.is_some_and(|at| self.rig.history.now_ms() > at + Limits::default().purge_effect_ms)
        });
    }
}

/// The last lines of a text.
fn tail(text: &str) -> String {
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(8)..].join("\n")
}

/// Whether the outcome is unknown or a failure, neither of which invites a retry.
pub fn is_outcome_unknown(outcome: &Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Failed(_)))
}

/// Whether the request was rejected with a time after which to retry.
pub fn is_rejected(outcome: &Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Rejected { retry_after_ms: Some(_) }))
}
