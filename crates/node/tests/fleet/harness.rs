//! The harness of the fleet's tests: a rig of routers that replicate leases and outcomes, and requests through it.

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
    ids: u64,
}

pub fn start_fleet(routers: usize) -> FleetHarness {
    start_fleet_with(Spec::new(binary(), routers))
}

pub fn start_fleet_with(spec: Spec) -> FleetHarness {
    let rig = Rig::start(spec).expect("a rig");
    let harness = FleetHarness { rig, ids: 0xf1ee7 << 32 };
    (0..harness.rig.len()).for_each(|r| harness.wait_until_serving(r));
    harness.rig.wait_until_bootstrapped(WAIT_LIMIT).expect("a fleet");
    harness
}

impl FleetHarness {
    /// An unused request id.
    pub fn new_id(&mut self) -> String {
        self.ids += 1;
        format!("{:016x}", self.ids)
    }

    /// Waits until a router is serving.
    pub fn wait_until_serving(&self, router: usize) {
        let serves = self.rig.wait_until_serving(router, WAIT_LIMIT);
        assert!(serves, "router {router} does not serve: {}", tail(&self.rig.routers[router].log()));
    }

    pub fn set_effect_duration_ms(&self, ms: u64) {
        self.rig.archive.effect_duration_ms.store(ms, Ordering::SeqCst);
    }

    pub fn caller(&self, router: usize) -> ClientConnection {
        self.rig.connect_client(router).expect("a connection")
    }

    /// The outcome of a request: `None` if its connection was lost.
    pub fn wait_for_outcome(&self, ask: RequestNumber) -> Option<Outcome> {
        self.rig.history.wait_for_outcome(ask, WAIT_LIMIT).expect("an end")
    }

    /// Presents a checkout to a router; returns its outcome.
    pub fn checkout(&self, router: usize, id: &str) -> Option<Outcome> {
        let caller = self.caller(router);
        self.wait_for_outcome(caller.checkout(id, DEADLINE_MS))
    }

    /// Register changes and leases that a router has counted as unavailable: the reasons of its rejections and unknown outcomes.
    fn unavailable_count(&self, router: usize) -> f64 {
        let counters = self.rig.counters(router);
        let why = |name: &str| name.starts_with("holds_unkept_") || name.starts_with("promises_");
        counters.iter().filter(|(name, _)| why(name)).map(|(_, n)| n).sum()
    }

    /// Presents a checkout to a router until its end is known there. It is in doubt only where keepers are not heard in time, as on a busy machine, and
    /// that is counted.
    pub fn known_outcome(&self, router: usize, id: &str) -> Option<Outcome> {
        let begun = std::time::Instant::now();
        loop {
            let before = self.unavailable_count(router);
            let end = self.checkout(router, id);
            if !is_outcome_unknown(&end) || begun.elapsed() > WAIT_LIMIT {
                return end;
            }
            wait_until("it is counted why it does not know", || self.unavailable_count(router) > before);
        }
    }

    /// Asserts that a router answers a served checkout with the same bytes, and did not reject it before.
    pub fn assert_outcome(&self, router: usize, id: &str, bytes: &[u8]) {
        let end = self.known_outcome(router, id);
        assert_eq!(
            end,
            Some(Outcome::Served(bytes.to_vec())),
            "router {router}: {}",
            self.register_counters(router)
        );
    }

    /// The logs of all routers.
    pub fn logs(&self) -> String {
        self.rig.routers.iter().map(|r| r.log()).collect::<Vec<_>>().join("\n----\n")
    }

    /// Presents new checkouts to a router until one is served; returns its id and bytes.
    pub fn serve_eventually(&mut self, router: usize) -> (String, Vec<u8>) {
        let begun = std::time::Instant::now();
        loop {
            let id = self.new_id();
            match self.checkout(router, &id) {
                Some(Outcome::Served(bytes)) => return (id, bytes),
                end => {
                    let said =
                        || self.rig.routers.iter().map(|r| r.log()).collect::<Vec<_>>().join("\n----\n");
                    assert!(
                        begun.elapsed() < WAIT_LIMIT,
                        "router {router} never serves again: {end:?}\n{}",
                        said()
                    );
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Presents a checkout to a router, which has to be served; another one if keepers were not heard in time, which is counted.
    pub fn serve_checkout(&mut self, router: usize) -> (String, Vec<u8>) {
        let begun = std::time::Instant::now();
        loop {
            let (id, before) = (self.new_id(), self.unavailable_count(router));
            match self.checkout(router, &id) {
                Some(Outcome::Served(bytes)) => return (id, bytes),
                end => assert!(
                    begun.elapsed() < WAIT_LIMIT,
                    "router {router}: {end:?}; {}",
                    self.register_counters(router)
                ),
            }
            wait_until("it is counted why it did not serve", || self.unavailable_count(router) > before);
        }
    }

    /// A router's counters of its table and registers.
    pub fn register_counters(&self, router: usize) -> String {
        let counters = self.rig.counters(router);
        let of_holds = counters
            .iter()
            .filter(|(n, _)| n.starts_with("holds") || n.starts_with("table") || *n == "peers_up");
        of_holds.map(|(n, v)| format!("{n}={v}")).collect::<Vec<_>>().join(" ")
    }

    /// Presents new checkouts to a router until one runs: those before are turned away, as on a machine on which words come late.
    pub fn start_checkout(&mut self, router: usize) -> (String, ClientConnection, RequestNumber) {
        let begun = std::time::Instant::now();
        loop {
            let (id, caller) = (self.new_id(), self.caller(router));
            let ask = caller.checkout(&id, DEADLINE_MS);
            let ended = || self.rig.history.wait_for_outcome(ask, Duration::ZERO);
            wait_until("the effect runs, or never does", || {
                self.rig.archive.executions(&id) == 1 || ended().is_some()
            });
            if self.rig.archive.executions(&id) == 1 {
                return (id, caller, ask);
            }
            assert!(ended().is_some_and(|e| is_rejected(&e)), "{:?}", ended());
            assert!(
                begun.elapsed() < WAIT_LIMIT,
                "router {router} takes none: {}",
                self.register_counters(router)
            );
        }
    }

    /// Waits until a request was executed at the archive.
    pub fn wait_until_executed(&self, id: &str) {
        wait_until("the effect runs", || self.rig.archive.executions(id) == 1);
    }

    /// Asserts that the history breaks no rule.
    pub fn assert_history(&self) -> HistoryCounts {
        self.assert_history_within(&Limits::default())
    }

    /// The same where the routers are known to have received each purge before the next request: purges take effect at once.
    pub fn assert_history_with_immediate_purges(&self) -> HistoryCounts {
        self.assert_history_within(&Limits { purge_effect_ms: 0, ..Limits::default() })
    }

    fn assert_history_within(&self, limits: &Limits) -> HistoryCounts {
        let (events, left_out) = self.rig.history.events();
        let (broken, counted) = check_history(&events, left_out, limits);
        assert!(broken.is_empty(), "{broken:#?}");
        counted
    }

    /// Waits until the first purge is so old that ignoring it breaks a rule.
    pub fn wait_until_purge_due(&self) {
        wait_until("it is to be heeded", || {
            let (events, _) = self.rig.history.events();
            let told =
                events.iter().find(|e| matches!(e.event, Event::PurgeAnnounced { .. })).map(|e| e.at_ms);
            told.is_some_and(|at| self.rig.history.now_ms() > at + Limits::default().purge_effect_ms)
        });
    }
}

/// The last lines of a text.
fn tail(text: &str) -> String {
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(8)..].join("\n")
}

/// Whether the outcome is unknown or a failure, neither of which invites a retry.
pub fn is_outcome_unknown(end: &Option<Outcome>) -> bool {
    matches!(end, Some(Outcome::Failed(_)))
}

pub fn is_rejected(end: &Option<Outcome>) -> bool {
    matches!(end, Some(Outcome::Rejected { retry_after_ms: Some(_) }))
}
